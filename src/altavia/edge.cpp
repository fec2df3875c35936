#include "altavia/edge.h"

#include <fmt/format.h>

#include <algorithm>
#include <charconv>

#include "lavarella/log.h"

namespace pearspar::altavia {
namespace {

using namespace std::chrono_literals;
using lavarella::Level;
using lavarella::log;

constexpr net::Duration leave_after = 2600ms;  // of an end: by then two checks have missed us
constexpr double leave_share = 0.45;           // of a grace that is shorter, at most
constexpr net::Duration leave_before = 700ms;  // of the grace
constexpr std::size_t other_files = 300;       // descriptors that are no client's

std::size_t most_clients(const coldai::Settings& settings) {
  auto files = static_cast<std::size_t>(settings.files);
  return files > 2 * other_files ? (files - other_files) / 2 : 100;
}

std::uint64_t key(net::SlotId id) { return std::uint64_t{id.index} << 32 | id.generation; }

bool one_of(std::string_view name, std::initializer_list<std::string_view> names) {
  return std::any_of(names.begin(), names.end(),
                     [&](std::string_view each) { return http::same_word(each, name); });
}

// What concerns one connection only, or is said anew.
bool stays_here(std::string_view name) {
  return one_of(name, {"Connection", "Keep-Alive", "Proxy-Connection", "TE", "Trailer", "Transfer-Encoding",
                       "Upgrade", "Expect", "Content-Length", "Deadline-Ms", "Addressee"});
}

void warn(std::string_view what) { log(Level::warning, "front_door", {{"what", what}}); }

}  // namespace

Edge::Edge(net::Loop& loop, const coldai::Settings& settings, std::uint64_t life)
    : loop_(loop),
      settings_(settings),
      front_(loop, warn, most_clients(settings), front_user_, {3s, 10s}, {16 * 1024, 256 * 1024}),
      check_(loop, warn, 64, check_user_, {30s, 5s}),
      links_(loop, *this),
      nodes_(loop, [this](pederu::CallId call,
                          const pederu::CallEnd& end) { station_.desk().ended(loop_.now(), call, end); }),
      station_(links_, {life, settings.node_name, settings.zone, settings.inner_seeds()}, nodes_,
               {settings.retry_ratio, settings.retry_slack, net::Duration(settings.retry_window_s)}) {
  station_.desk().nodes().set_home(settings.zone);
  front_.listen(*net::Address::parse(settings.front_door));
  if (!settings.ready_check.empty()) check_.listen(*net::Address::parse(settings.ready_check));
  station_.start(loop.now());
  each_second();
}

void Edge::Door::request_arrived(net::SlotId connection, const http::Message& message) {
  checks_ ? edge_.check(connection, message) : edge_.serve(connection, message);
}

void Edge::Door::client_left(net::SlotId connection) {
  if (checks_) return;
  auto found = edge_.requests_.find(key(connection));
  if (found == edge_.requests_.end()) return;
  edge_.station_.left(found->second);
  edge_.clients_.erase(key(found->second));
  edge_.requests_.erase(found);
}

void Edge::check(net::SlotId connection, const http::Message& message) {
  clients::Answer answer;
  if (message.target == "/pearspar/ready") {
    answer.status = ready() ? 200 : 503;
    answer.body = ready() ? "{\"ready\":true}" : "{\"ready\":false}";
  } else if (message.target == "/pearspar/counters") {
    answer.body = scoiattoli::as_json(samples());
  } else if (message.target == "/pearspar/metrics") {
    answer.type = "text/plain; version=0.0.4";
    answer.body = scoiattoli::as_text(samples(), settings_.node_name, settings_.zone);
  } else {
    answer.status = 404;
  }
  check_.answer(connection, answer);
}

void Edge::serve(net::SlotId connection, const http::Message& message) {
  pederu::Arrival arrival;
  arrival.method = message.method;
  arrival.target = message.target;
  arrival.host = message.header("Host").value_or(std::string_view());
  arrival.id = message.header("Request-Id").value_or(std::string_view());
  arrival.body = message.body;
  if (auto deadline = message.header("Deadline-Ms")) {
    double ms = 0;
    auto [stop, error] = std::from_chars(deadline->data(), deadline->data() + deadline->size(), ms);
    if (error == std::errc() && stop == deadline->data() + deadline->size()) arrival.deadline_ms = ms;
  }
  std::string_view named = message.header("Connection").value_or(std::string_view());
  arrival.head = fmt::format("{} {} HTTP/1.1\r\n", message.method, message.target);
  for (const auto& [name, value] : message.headers) {
    if (stays_here(name) || (!named.empty() && http::same_word(named, name))) continue;
    arrival.head.append(name).append(": ").append(value).append("\r\n");
  }
  if (message.body.empty() && (message.header("Content-Length") || message.header("Transfer-Encoding")))
    arrival.head += "Content-Length: 0\r\n";
  pederu::FinalAnswer final;
  if (arrival.id.empty()) {
    final.status = 400;
    return answer(connection, std::move(final));
  }
  vandelli::Drawer drawer;
  if (const averau::Allowances* allowances = station_.allowances()) {
    drawer.holder = message.header(allowances->holder_header).value_or(std::string_view());
    drawer.key = allowances->key_header.empty() ? arrival.id
                                                : message.header(allowances->key_header).value_or(arrival.id);
  }
  pederu::RequestId request = station_.arrive(loop_.now(), arrival, drawer, final);
  if (!request) return answer(connection, std::move(final));
  clients_[key(request)] = connection;
  requests_[key(connection)] = request;
}

void Edge::answer(net::SlotId connection, pederu::FinalAnswer final) {
  clients::Answer answer;
  answer.status = final.status;
  answer.type = final.type;
  answer.retry_after_s = final.retry_after_s;
  answer.headers = std::move(final.headers);
  answer.body = std::move(final.body);
  front_.answer(connection, answer);
}

void Edge::link_up(puez::LinkId link, const std::string&) { station_.link_up(link); }
void Edge::link_down(puez::LinkId link) { station_.link_down(link); }
void Edge::link_frame(puez::LinkId link, std::string_view frame) {
  station_.link_frame(loop_.now(), link, frame);
  take_configuration();
}

void Edge::take_configuration() {
  if (station_.routed() == routed_) return;
  routed_ = station_.routed();
  const auto& configuration = station_.follower().view().configuration();
  const averau::Limits& limits = configuration->limits;
  front_.set_bounds({pederu::from_ms(limits.header_wait_ms), 10s}, {limits.header_bytes, limits.body_bytes});
  log(Level::info, "configuration", {{"edition", routed_}, {"routes", configuration->routes.size()}});
}

void Edge::each_second() {
  second_ = loop_.at(loop_.now() + 1s, [this] { each_second(); });
  nodes_.sweep();
  if (const auto& configuration = station_.follower().view().configuration())
    front_.close_idle_since(loop_.now() - pederu::from_ms(configuration->limits.idle_ms));
}

void Edge::after_turn() {
  net::Time now = loop_.now();
  station_.advance(now);
  take_configuration();
  for (auto& [request, final] : station_.take_answers(now)) {
    auto found = clients_.find(key(request));
    if (found == clients_.end()) continue;
    net::SlotId connection = found->second;
    clients_.erase(found);
    requests_.erase(key(connection));
    answer(connection, std::move(final));
  }
  if (stopping_) wind_down();
  net::Time due = station_.due(now);
  if (stopping_) due = std::min(due, now + net::Duration(0.05));
  due_ = loop_.at(std::max(due, now), [] {});
}

void Edge::settings_changed(const coldai::Settings& settings) {
  settings_.seeds = settings.seeds;
  station_.follower().set_seeds(settings_.inner_seeds());
}

void Edge::stop() {
  if (stopping_) return;
  stopping_ = true;
  net::Duration grace(settings_.grace_s);
  stop_at_ = loop_.now() + std::min(leave_after, grace * leave_share);
  end_at_ = loop_.now() + std::max(grace - leave_before, grace * leave_share);
  front_.wind_down();
  log(Level::info, "edge_stops", {{"open", station_.desk().open()}});
}

void Edge::wind_down() {
  if (loop_.now() < stop_at_) return;
  front_.stop_listening();
  front_.close_idle();
  if (front_.busy() > 0 && loop_.now() < end_at_) return;
  station_.follower().farewell();
  ended_ = true;
}

std::vector<scoiattoli::Sample> Edge::samples() const {
  const pederu::DeskCounters& desk = station_.desk().counters();
  const pramperet::PurseCounters& purse = station_.purse().counters();
  const croda::LinkCounters& links = nodes_.counters();
  const clients::FrontCounters& front = front_.counters();
  auto n = [](auto value) { return static_cast<double>(value); };
  return {
      {"altavia_requests_total", "requests of clients", n(desk.requests)},
      {"altavia_gathered_total", "of those on routes that gather", n(desk.gathered)},
      {"altavia_whole_total", "gathered answers with all parts", n(desk.whole)},
      {"altavia_partial_total", "gathered answers that left parts out", n(desk.partial)},
      {"altavia_single_total", "other answers", n(desk.single)},
      {"altavia_refused_total", "given up before anything ran, with a time to come back", n(desk.refused)},
      {"altavia_given_up_total", "of those, for services that were asked for more than they can do",
       n(desk.given_up)},
      {"altavia_allowance_drawn_total", "tokens of allowances spent here", n(purse.drawn)},
      {"altavia_allowance_repeated_total", "tries of what was counted here before", n(purse.repeated)},
      {"altavia_allowance_waited_total", "requests that waited for the leader's word", n(purse.waited)},
      {"altavia_allowance_refused_total", "refused: nothing was left, or no word came", n(purse.refused)},
      {"altavia_allowance_given_back_total", "drawn, and run by nobody", n(purse.given_back)},
      {"altavia_failed_total", "given up after something may have run", n(desk.failed)},
      {"altavia_no_route_total", "404", n(desk.no_route)},
      {"altavia_calls_total", "requests sent to nodes", n(desk.calls)},
      {"altavia_second_calls_total", "of those past the first of a part", n(desk.second_calls)},
      {"altavia_withheld_total", "second calls that the allowance did not cover", n(desk.withheld)},
      {"altavia_not_run_total", "calls that a node turned away", n(desk.not_run)},
      {"altavia_misplaced_total", "calls that met another node (421)", n(desk.misplaced)},
      {"altavia_no_way_total", "calls without a connection", n(desk.no_way)},
      {"altavia_broken_total", "calls whose connection broke or carried no answer", n(desk.broken)},
      {"altavia_late_total", "calls out at their request's aim", n(desk.late)},
      {"altavia_opened_total", "connections opened to nodes", n(links.opened)},
      {"altavia_reused_total", "calls on a connection that stood", n(links.reused)},
      {"altavia_spoilt_total", "answers to something else, or none", n(links.spoilt)},
      {"altavia_surplus_total", "connections with bytes behind an answer", n(links.surplus)},
      {"altavia_unnamed_total", "answers that did not echo the id", n(links.unnamed)},
      {"altavia_overdue_total", "calls without any answer", n(links.overdue)},
      {"altavia_accepted_total", "connections of clients", n(front.accepted)},
      {"altavia_bad_requests_total", "what was no request", n(front.bad_requests)},
      {"altavia_closed_for_room_total", "idle clients that made way", n(front.closed_for_room)},
      {"altavia_unread_total", "frames that could not be read", n(station_.follower().unread())},
      {"altavia_open", "requests under way", n(station_.desk().open())},
      {"altavia_coverage", "share of the weight that is asked", station_.desk().coverage()},
      {"altavia_edition", "configuration in force", n(station_.follower().view().edition())},
      {"altavia_nodes", "nodes known", n(station_.follower().view().nodes().all().size())},
      {"altavia_edges", "edges that hold a lease", n(station_.follower().view().edges())},
      {"altavia_ready", "whether it takes clients", ready() ? 1.0 : 0.0},
  };
}

}  // namespace pearspar::altavia
