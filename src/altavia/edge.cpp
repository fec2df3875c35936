#include "altavia/edge.h"

#include <algorithm>
#include <system_error>
#include <utility>

#include "allocation/allocation.h"
#include "altavia/memory_shares.h"
#include "invariants/invariants.h"
#include "logging/log.h"

namespace pearspar::altavia {
namespace {

using namespace std::chrono_literals;
using logging::Level;
using logging::log;

constexpr net::Duration drain_time = 2600ms;       // two readiness checks have failed by then
constexpr double max_drain_share_of_grace = 0.45;  // if the grace period is short
// Remaining requests are ended this long before the grace period is over.
constexpr net::Duration end_margin = 700ms;
constexpr double max_end_margin_share_of_grace = 0.14;
constexpr net::Duration final_answer_time = 200ms;  // for clients to read the last answers
constexpr transport::TcpTransport::InboundLimits edge_link_limits{64, 1024};
constexpr net::Duration min_logged_pause = 1500ms;  // a timer ends each wait of the loop after a second
constexpr std::size_t reserved_descriptors = 300;   // not available for clients

std::size_t max_clients(const process_settings::Settings& settings) {
  auto file_limit = static_cast<std::size_t>(settings.open_file_limit);
  return file_limit > 2 * reserved_descriptors ? (file_limit - reserved_descriptors) / 2 : 100;
}

subscription::FollowerOptions follower_options(const process_settings::Settings& settings,
                                               std::uint64_t incarnation, std::string address) {
  subscription::FollowerOptions options{incarnation, settings.node_name, settings.zone,
                                        settings.inner_seeds(), std::move(address)};
  options.set_configuration_bound(dispatch::from_ms(settings.config_within_ms));
  return options;
}

// For how long the edge has known of a newer configuration than its own; zero if it knows of none.
net::Duration behind_for(const subscription::ConfigurationWatch& watch, net::Time now) {
  return watch.is_behind() ? std::max(net::Duration{}, net::Duration(now - watch.behind_since()))
                           : net::Duration{};
}

void warn(std::string_view what) { log(Level::warning, "front_door", {{"what", what}}); }

}  // namespace

Edge::Edge(net::Loop& loop, const process_settings::Settings& settings, std::uint64_t incarnation)
    : loop_(loop),
      settings_(settings),
      readiness_(loop, warn, 64, *this, {30s, 5s}),
      links_(loop, *this),
      proxy_(loop, links_,
             {follower_options(settings, incarnation, listen_to_edges()),
              {settings.retry_ratio, settings.retry_slack, net::Duration(settings.retry_window_s)},
              max_clients(settings),
              warn}) {
  proxy_.gateway().dispatcher().load_balancer().set_home_zone(settings.zone);
  proxy_.set_memory_bounds(settings.memory_bytes(edge_shares.clients),
                           settings.memory_bytes(edge_shares.servers));
  links_.set_memory_bound(settings.memory_bytes(edge_shares.links));
  proxy_.start(net::Address::of(settings.client_listen_address));
  readiness_.omit_body_for_head();
  if (!settings.readiness_listen_address.empty())
    readiness_.listen(net::Address::of(settings.readiness_listen_address));
  last_turn_ = loop_.now();
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
  readiness_.answer(connection, answer);
}

std::string Edge::listen_to_edges() {
  std::string address = settings_.edge_address();
  if (address.empty()) return address;
  try {
    links_.listen(net::Address::of(address), edge_link_limits);
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
  apply_configuration();
}

void Edge::apply_configuration() {
  if (!proxy_.take_configuration()) return;
  const auto& configuration = proxy_.gateway().follower().view().configuration();
  log(Level::info, "configuration",
      {{"edition", configuration->revision},
       {"routes", configuration->routes.size()},
       {"confirmed", proxy_.gateway().dispatcher().routes_confirmed(loop_.now())},
       {"from", name_of(proxy_.gateway().follower().configuration_arrival().source())}});
}

// Logs when the edge begins to refuse requests, since it has not received a configuration that it knows of.
void Edge::log_outdated_configuration() {
  const subscription::Follower& follower = proxy_.gateway().follower();
  const subscription::ConfigurationWatch& watch = follower.configuration_watch();
  const bool outdated = loop_.now() >= watch.outdated_from();
  if (outdated == configuration_outdated_) return;
  configuration_outdated_ = outdated;
  if (!outdated) return;
  log(Level::warning, "configuration_outdated",
      {{"edition", follower.view().revision()},
       {"newest", watch.newest_announced()},
       {"behind_s", behind_for(watch, loop_.now()).count()},
       {"from", name_of(follower.configuration_arrival().source())}});
}

// Logs a configuration that the edge knew of for long before it came.
void Edge::log_late_configuration() {
  subscription::Follower& follower = proxy_.gateway().follower();
  const std::uint64_t refused = proxy_.gateway().dispatcher().counters().outdated_requests;
  const auto late = follower.take_late_configuration();
  if (late)
    log(Level::warning, "configuration_late",
        {{"edition", late->revision},
         {"from", name_of(late->source)},
         {"behind_s", late->behind_for.count()},
         {"age_s", late->age.count()},
         {"refused", refused - refused_before_}});
  if (late || !follower.configuration_watch().is_behind()) refused_before_ = refused;
}

// Logs when a leader has confirmed the configuration, and when that is too long ago.
void Edge::log_confirmation() {
  const dispatch::Dispatcher& dispatcher = proxy_.gateway().dispatcher();
  const subscription::Follower& follower = proxy_.gateway().follower();
  const bool confirmed = dispatcher.routes_confirmed(loop_.now());
  if (confirmed == configuration_confirmed_) return;
  configuration_confirmed_ = confirmed;
  log(Level::info, confirmed ? "configuration_confirmed" : "configuration_unconfirmed",
      {{"edition", follower.view().revision()},
       {"leader_silent_s", follower.leader_silence(loop_.now()).count()},
       {"unconfirmed_requests", dispatcher.counters().unconfirmed_requests},
       {"unconfirmed_gathered", dispatcher.counters().unconfirmed_gathered},
       {"unconfirmed_refused", dispatcher.counters().unconfirmed_refused},
       {"unconfirmed_second_calls", dispatcher.counters().unconfirmed_second_calls}});
}

// Logs that this process stood still: frozen, or without the processor.
void Edge::log_pause() {
  const net::Duration since_last_turn = loop_.now() - std::exchange(last_turn_, loop_.now());
  if (since_last_turn < min_logged_pause) return;
  log(Level::warning, "process_paused", {{"for_s", since_last_turn.count()}});
}

void Edge::each_second() {
  second_timer_ = loop_.at(loop_.now() + 1s, [this] { each_second(); });
  proxy_.sweep();
}

void Edge::after_turn() {
  const allocation::Activity activity("requests that are due");
  net::Time now = loop_.now();
  proxy_.after_turn();
  apply_configuration();
  log_pause();
  log_confirmation();
  log_outdated_configuration();
  log_late_configuration();
  if (stopping_) start_draining();
  net::Time due = proxy_.gateway().due(now);
  if (!configuration_outdated_)
    due = std::min(due, proxy_.gateway().follower().configuration_watch().outdated_from());
  if (stopping_) due = std::min(due, now + net::Duration(0.05));
  due_timer_ = loop_.at(std::max(due, now), [] {});
}

void Edge::settings_changed(const process_settings::Settings& settings) {
  settings_.seeds = settings.seeds;
  proxy_.gateway().follower().set_seeds(settings_.inner_seeds());
}

void Edge::stop() {
  if (stopping_) return;
  stopping_ = true;
  net::Duration grace(settings_.shutdown_grace_s);
  stop_listening_at_ = loop_.now() + std::min(drain_time, grace * max_drain_share_of_grace);
  finish_requests_at_ = loop_.now() + grace - std::min(end_margin, grace * max_end_margin_share_of_grace);
  proxy_.front().start_draining();
  log(Level::info, "edge_stops", {{"open", proxy_.gateway().dispatcher().open_requests()}});
}

void Edge::start_draining() {
  if (loop_.now() < stop_listening_at_) return;
  proxy_.front().stop_listening();
  proxy_.front().close_idle();
  if (proxy_.front().busy() > 0 && loop_.now() < finish_requests_at_) return;
  if (close_connections_at_ == net::Time{}) {
    close_connections_at_ = loop_.now() + final_answer_time;
    proxy_.finish_open_requests();
    proxy_.after_turn();
  }
  if (proxy_.front().busy() > 0 && loop_.now() < close_connections_at_) return;
  proxy_.gateway().follower().send_goodbye();
  stopped_ = true;
}

std::vector<metrics::Sample> Edge::samples() const {
  const dispatch::DispatcherCounters& dispatcher = proxy_.gateway().dispatcher().counters();
  const quota::EdgeQuotaCounters& edge_quota = proxy_.gateway().edge_quota().counters();
  const upstream::LinkCounters& links = proxy_.nodes().counters();
  const clients::HttpServerCounters& front = proxy_.front().counters();
  const subscription::ConfigurationWatch& watch = proxy_.gateway().follower().configuration_watch();
  const subscription::ConfigurationArrival& arrival = proxy_.gateway().follower().configuration_arrival();
  const rollout::EdgeRolloutCounters& rollouts = proxy_.gateway().edge_rollouts().counters();
  auto number = [](auto value) { return static_cast<double>(value); };
  return {
      {"altavia_requests_total", "requests of clients", number(dispatcher.requests)},
      {"altavia_gathered_total", "of those on routes that gather", number(dispatcher.gathered)},
      {"altavia_whole_total", "gathered answers with all parts", number(dispatcher.whole)},
      {"altavia_partial_total", "gathered answers that left parts out", number(dispatcher.partial)},
      {"altavia_single_total", "other answers", number(dispatcher.single)},
      {"altavia_refused_total", "given up before anything ran, with a time to come back",
       number(dispatcher.refused)},
      {"altavia_given_up_total", "of those, for services that were asked for more than they can do",
       number(dispatcher.given_up)},
      {"altavia_allowance_drawn_total", "tokens of allowances spent here", number(edge_quota.drawn)},
      {"altavia_allowance_repeated_total", "tries of what was counted here before",
       number(edge_quota.repeated)},
      {"altavia_allowance_waited_total", "requests that waited for the leader's word",
       number(edge_quota.waited)},
      {"altavia_allowance_refused_total", "refused: nothing was left, or no word came",
       number(edge_quota.refused)},
      {"altavia_allowance_given_back_total", "drawn, and run by nobody", number(edge_quota.given_back)},
      {"altavia_failed_total", "given up after something may have run", number(dispatcher.failed)},
      {"altavia_no_route_total", "404", number(dispatcher.no_route)},
      {"altavia_calls_total", "requests sent to nodes", number(dispatcher.calls)},
      {"altavia_second_calls_total", "of those past the first of a part", number(dispatcher.second_calls)},
      {"altavia_unconfirmed_total", "requests while no leader had confirmed the configuration of late",
       number(dispatcher.unconfirmed_requests)},
      {"altavia_unconfirmed_gathered_total", "of those, sent to one shard of a route that gathers",
       number(dispatcher.unconfirmed_gathered)},
      {"altavia_unconfirmed_refused_total", "of those, refused since several shards would have to run them",
       number(dispatcher.unconfirmed_refused)},
      {"altavia_outdated_refused_total",
       "refused since a newer configuration was known to be in force and had not been received",
       number(dispatcher.outdated_requests)},
      {"altavia_unconfirmed_second_calls_total", "second calls of those",
       number(dispatcher.unconfirmed_second_calls)},
      {"altavia_withheld_total", "second calls that the allowance did not cover",
       number(dispatcher.withheld)},
      {"altavia_not_run_total", "calls that a node turned away", number(dispatcher.not_run)},
      {"altavia_misplaced_total", "calls that met another node (421)", number(dispatcher.misdirected)},
      {"altavia_no_way_total", "calls without a connection", number(dispatcher.no_connection)},
      {"altavia_broken_total", "calls whose connection broke or carried no answer",
       number(dispatcher.broken)},
      {"altavia_late_total", "calls out at their request's aim", number(dispatcher.late)},
      {"altavia_rollout_calls_total", "calls to editions that were being rolled out",
       number(rollouts.candidate_calls)},
      {"altavia_rollout_leases_total", "leases granted for such calls", number(rollouts.leases)},
      {"altavia_rollout_leases_expired_total", "of those, not spent in their time",
       number(rollouts.leases_expired)},
      {"altavia_rollout_votes_total", "votes on them", number(rollouts.votes)},
      {"altavia_opened_total", "connections opened to nodes", number(links.opened)},
      {"altavia_reused_total", "calls on a connection that stood", number(links.reused)},
      {"altavia_spoilt_total", "answers to something else, or none", number(links.spoilt)},
      {"altavia_surplus_total", "connections with bytes behind an answer", number(links.surplus)},
      {"altavia_unnamed_total", "answers that did not echo the id", number(links.unnamed)},
      {"altavia_overdue_total", "calls without any answer", number(links.overdue)},
      {"altavia_unwritten_total", "calls of which nothing was written", number(links.unwritten)},
      {"altavia_forgotten_total", "idle connections that had ended as they were to be used",
       number(links.forgotten)},
      {"altavia_accepted_total", "connections of clients", number(front.accepted)},
      {"altavia_bad_requests_total", "what was no request", number(front.bad_requests)},
      {"altavia_closed_for_room_total", "idle clients that made way", number(front.closed_for_room)},
      {"altavia_client_bytes", "held for clients' connections", number(proxy_.front().held_bytes())},
      {"altavia_refused_for_memory_total",
       "requests answered 503 since clients' bytes had reached their bound",
       number(front.refused_for_memory)},
      {"altavia_closed_for_memory_total", "clients cut off for it that did not take their answer",
       number(front.closed_for_memory)},
      {"altavia_answers_without_memory_total", "answers of nodes broken off since theirs had reached it",
       number(links.without_memory)},
      {"altavia_link_bytes", "held for links to other processes", number(links_.held_bytes())},
      {"altavia_links_closed_for_memory_total", "links cut off since their bytes had reached their bound",
       number(links_.closed_for_memory())},
      {"altavia_unread_total", "frames that could not be read",
       number(proxy_.gateway().follower().unreadable_frames())},
      {"altavia_log_lines_dropped_total", "lines that would have waited, or were too many",
       number(logging::dropped_lines())},
      {"altavia_cancelled_total", "calls ended since their client had left", number(dispatcher.cancelled)},
      {"altavia_allocations_refused_total", "served from the reserve", number(allocation::refusals())},
      {"altavia_violations_total", "of invariants; never to be more than none",
       number(invariants::violations())},
      {"altavia_open", "requests under way", number(proxy_.gateway().dispatcher().open_requests())},
      {"altavia_coverage", "share of the weight that is asked", proxy_.gateway().dispatcher().coverage()},
      {"altavia_edition", "configuration in force", number(proxy_.gateway().follower().view().revision())},
      {"altavia_configuration_behind", "whether members have announced a newer configuration",
       watch.is_behind() ? 1.0 : 0.0},
      {"altavia_configuration_behind_seconds", "for how long that has been known",
       behind_for(watch, loop_.now()).count()},
      {"altavia_configuration_age_seconds", "since the configuration was first known to be in force",
       arrival.age(loop_.now()).count()},
      {"altavia_configuration_from",
       "1: by which way the configuration came",
       1,
       {{"source", std::string(name_of(arrival.source()))}}},
      {"altavia_nodes", "nodes known", number(proxy_.gateway().follower().view().nodes().all().size())},
      {"altavia_edges", "edges that hold a lease", number(proxy_.gateway().follower().view().edge_count())},
      {"altavia_ready", "whether it takes clients", ready() ? 1.0 : 0.0},
  };
}

}  // namespace pearspar::altavia
