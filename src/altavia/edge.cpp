#include "altavia/edge.h"

#include <algorithm>
#include <system_error>

#include "allocation/allocation.h"
#include "altavia/memory_shares.h"
#include "invariants/invariants.h"
#include "logging/log.h"

namespace pearspar::altavia {
namespace {

using namespace std::chrono_literals;
using logging::Level;
using logging::log;

constexpr net::Duration leave_after = 2600ms;  // of an end: by then two checks have missed us
constexpr double leave_share = 0.45;           // of a grace that is shorter, at most
// Before the grace is over; a request is served on into the last sixth of it.
constexpr net::Duration leave_before = 700ms;
constexpr double most_left_of_grace = 0.14;
constexpr net::Duration answers_taken_within = 200ms;  // of what is answered then
constexpr transport::TcpTransport::InboundLimits asked_by_edges{64, 1024};
constexpr std::size_t other_files = 300;  // descriptors that are no client's

std::size_t most_clients(const process_settings::Settings& settings) {
  auto files = static_cast<std::size_t>(settings.open_file_limit);
  return files > 2 * other_files ? (files - other_files) / 2 : 100;
}

void warn(std::string_view what) { log(Level::warning, "front_door", {{"what", what}}); }

}  // namespace

Edge::Edge(net::Loop& loop, const process_settings::Settings& settings, std::uint64_t life)
    : loop_(loop),
      settings_(settings),
      check_(loop, warn, 64, *this, {30s, 5s}),
      links_(loop, *this),
      proxy_(loop, links_,
             {{life, settings.node_name, settings.zone, settings.inner_seeds(), listen_to_edges()},
              {settings.retry_ratio, settings.retry_slack, net::Duration(settings.retry_window_s)},
              most_clients(settings),
              warn}) {
  proxy_.gateway().dispatcher().load_balancer().set_home_zone(settings.zone);
  proxy_.set_memory_bounds(settings.memory_bytes(edge_shares.clients),
                           settings.memory_bytes(edge_shares.servers));
  links_.set_memory_bound(settings.memory_bytes(edge_shares.links));
  proxy_.start(net::Address::of(settings.client_listen_address));
  check_.leave_heads_bare();
  if (!settings.readiness_listen_address.empty())
    check_.listen(net::Address::of(settings.readiness_listen_address));
  each_second();
}

void Edge::request_arrived(net::SlotId connection, const http::Message& message) {
  clients::Answer answer;
  if (message.target == "/pearspar/ready") {
    answer.status = ready() ? 200 : 503;
    answer.body = ready() ? "{\"ready\":true}" : "{\"ready\":false}";
  } else if (message.target == "/pearspar/counters") {
    answer.body = metrics::as_json(samples());
  } else if (message.target == "/pearspar/failures") {
    answer.body = proxy_.gateway().dispatcher().failure_log().as_json(loop_.now());
  } else if (message.target == "/pearspar/metrics") {
    answer.type = "text/plain; version=0.0.4";
    answer.body = metrics::as_text(samples(), settings_.node_name, settings_.zone);
  } else {
    answer.status = 404;
  }
  check_.answer(connection, answer);
}

std::string Edge::listen_to_edges() {
  std::string address = settings_.edge_address();
  if (address.empty()) return address;
  try {
    links_.listen(net::Address::of(address), asked_by_edges);
  } catch (const std::system_error& error) {
    log(Level::warning, "edges_not_heard", {{"why", error.what()}});
    address.clear();
  }
  return address;
}

void Edge::link_up(transport::LinkId link, const std::string& address) {
  proxy_.gateway().link_up(link, address);
}
void Edge::link_down(transport::LinkId link) { proxy_.gateway().link_down(link); }
void Edge::link_frame(transport::LinkId link, std::string_view frame) {
  proxy_.gateway().link_frame(loop_.now(), link, frame);
  take_configuration();
}

void Edge::take_configuration() {
  if (!proxy_.take_configuration()) return;
  const auto& configuration = proxy_.gateway().follower().view().configuration();
  log(Level::info, "configuration",
      {{"edition", configuration->revision}, {"routes", configuration->routes.size()}});
}

void Edge::each_second() {
  second_ = loop_.at(loop_.now() + 1s, [this] { each_second(); });
  proxy_.sweep();
}

void Edge::after_turn() {
  const allocation::Activity activity("requests that are due");
  net::Time now = loop_.now();
  proxy_.after_turn();
  take_configuration();
  if (stopping_) wind_down();
  net::Time due = proxy_.gateway().due(now);
  if (stopping_) due = std::min(due, now + net::Duration(0.05));
  due_ = loop_.at(std::max(due, now), [] {});
}

void Edge::settings_changed(const process_settings::Settings& settings) {
  settings_.seeds = settings.seeds;
  proxy_.gateway().follower().set_seeds(settings_.inner_seeds());
}

void Edge::stop() {
  if (stopping_) return;
  stopping_ = true;
  net::Duration grace(settings_.shutdown_grace_s);
  stop_at_ = loop_.now() + std::min(leave_after, grace * leave_share);
  end_at_ = loop_.now() + grace - std::min(leave_before, grace * most_left_of_grace);
  proxy_.front().wind_down();
  log(Level::info, "edge_stops", {{"open", proxy_.gateway().dispatcher().open_requests()}});
}

void Edge::wind_down() {
  if (loop_.now() < stop_at_) return;
  proxy_.front().stop_listening();
  proxy_.front().close_idle();
  if (proxy_.front().busy() > 0 && loop_.now() < end_at_) return;
  if (answers_taken_by_ == net::Time{}) {
    answers_taken_by_ = loop_.now() + answers_taken_within;
    proxy_.finish_open_requests();
    proxy_.after_turn();
  }
  if (proxy_.front().busy() > 0 && loop_.now() < answers_taken_by_) return;
  proxy_.gateway().follower().send_goodbye();
  ended_ = true;
}

std::vector<metrics::Sample> Edge::samples() const {
  const dispatch::DispatcherCounters& dispatcher = proxy_.gateway().dispatcher().counters();
  const pramperet::PurseCounters& purse = proxy_.gateway().purse().counters();
  const upstream::LinkCounters& links = proxy_.nodes().counters();
  const clients::FrontCounters& front = proxy_.front().counters();
  auto n = [](auto value) { return static_cast<double>(value); };
  return {
      {"altavia_requests_total", "requests of clients", n(dispatcher.requests)},
      {"altavia_gathered_total", "of those on routes that gather", n(dispatcher.gathered)},
      {"altavia_whole_total", "gathered answers with all parts", n(dispatcher.whole)},
      {"altavia_partial_total", "gathered answers that left parts out", n(dispatcher.partial)},
      {"altavia_single_total", "other answers", n(dispatcher.single)},
      {"altavia_refused_total", "given up before anything ran, with a time to come back",
       n(dispatcher.refused)},
      {"altavia_given_up_total", "of those, for services that were asked for more than they can do",
       n(dispatcher.given_up)},
      {"altavia_allowance_drawn_total", "tokens of allowances spent here", n(purse.drawn)},
      {"altavia_allowance_repeated_total", "tries of what was counted here before", n(purse.repeated)},
      {"altavia_allowance_waited_total", "requests that waited for the leader's word", n(purse.waited)},
      {"altavia_allowance_refused_total", "refused: nothing was left, or no word came", n(purse.refused)},
      {"altavia_allowance_given_back_total", "drawn, and run by nobody", n(purse.given_back)},
      {"altavia_failed_total", "given up after something may have run", n(dispatcher.failed)},
      {"altavia_no_route_total", "404", n(dispatcher.no_route)},
      {"altavia_calls_total", "requests sent to nodes", n(dispatcher.calls)},
      {"altavia_second_calls_total", "of those past the first of a part", n(dispatcher.second_calls)},
      {"altavia_withheld_total", "second calls that the allowance did not cover", n(dispatcher.withheld)},
      {"altavia_not_run_total", "calls that a node turned away", n(dispatcher.not_run)},
      {"altavia_misplaced_total", "calls that met another node (421)", n(dispatcher.misdirected)},
      {"altavia_no_way_total", "calls without a connection", n(dispatcher.no_connection)},
      {"altavia_broken_total", "calls whose connection broke or carried no answer", n(dispatcher.broken)},
      {"altavia_late_total", "calls out at their request's aim", n(dispatcher.late)},
      {"altavia_opened_total", "connections opened to nodes", n(links.opened)},
      {"altavia_reused_total", "calls on a connection that stood", n(links.reused)},
      {"altavia_spoilt_total", "answers to something else, or none", n(links.spoilt)},
      {"altavia_surplus_total", "connections with bytes behind an answer", n(links.surplus)},
      {"altavia_unnamed_total", "answers that did not echo the id", n(links.unnamed)},
      {"altavia_overdue_total", "calls without any answer", n(links.overdue)},
      {"altavia_unwritten_total", "calls of which nothing was written", n(links.unwritten)},
      {"altavia_forgotten_total", "idle connections that had ended as they were to be used",
       n(links.forgotten)},
      {"altavia_accepted_total", "connections of clients", n(front.accepted)},
      {"altavia_bad_requests_total", "what was no request", n(front.bad_requests)},
      {"altavia_closed_for_room_total", "idle clients that made way", n(front.closed_for_room)},
      {"altavia_client_bytes", "held for clients' connections", n(proxy_.front().held_bytes())},
      {"altavia_refused_for_memory_total",
       "requests answered 503 since clients' bytes had reached their bound", n(front.refused_for_memory)},
      {"altavia_closed_for_memory_total", "clients cut off for it that did not take their answer",
       n(front.closed_for_memory)},
      {"altavia_answers_without_memory_total", "answers of nodes broken off since theirs had reached it",
       n(links.without_memory)},
      {"altavia_link_bytes", "held for links to other processes", n(links_.held_bytes())},
      {"altavia_links_closed_for_memory_total", "links cut off since their bytes had reached their bound",
       n(links_.closed_for_memory())},
      {"altavia_unread_total", "frames that could not be read",
       n(proxy_.gateway().follower().unreadable_frames())},
      {"altavia_log_lines_dropped_total", "lines that would have waited, or were too many",
       n(logging::dropped_lines())},
      {"altavia_cancelled_total", "calls ended since their client had left", n(dispatcher.cancelled)},
      {"altavia_allocations_refused_total", "served from the reserve", n(allocation::refusals())},
      {"altavia_violations_total", "of invariants; never to be more than none", n(invariants::violations())},
      {"altavia_open", "requests under way", n(proxy_.gateway().dispatcher().open_requests())},
      {"altavia_coverage", "share of the weight that is asked", proxy_.gateway().dispatcher().coverage()},
      {"altavia_edition", "configuration in force", n(proxy_.gateway().follower().view().revision())},
      {"altavia_nodes", "nodes known", n(proxy_.gateway().follower().view().nodes().all().size())},
      {"altavia_edges", "edges that hold a lease", n(proxy_.gateway().follower().view().edge_count())},
      {"altavia_ready", "whether it takes clients", ready() ? 1.0 : 0.0},
  };
}

}  // namespace pearspar::altavia
