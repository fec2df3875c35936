#include "broker/broker.h"

#include <sys/resource.h>

#include <bit>
#include <chrono>

#include "broker/member_source.h"

namespace pearspar::broker {
namespace {

using namespace std::chrono_literals;

// File descriptors for the listener, discovery, signals and the log.
constexpr std::size_t reserved_descriptors = 24;
// Share of the process memory for client input and unsent responses. The rest covers node connections (up to
// 66 KB each) and open queries, both limited in number.
constexpr double client_memory_share = 0.35;

// New queries are accepted this long after shutdown starts, until clients have noticed it.
constexpr net::Duration drain_accept_period = 700ms;

nodelink::LinkLimits link_limits(const config::Config& config) {
  return {config.broker.calls_per_connection, config.policy.connect_timeout, config.broker.idle_close,
          config.policy.may_cancel};
}

// A quarter of the descriptors is reserved for node connections.
std::size_t max_clients(const config::Config& config) {
  return static_cast<std::size_t>(config.max_sockets) * 3 / 4;
}

// A client request is identified by its connection.
engine::ClientId client_id_of(net::SlotId connection) {
  return std::uint64_t{connection.generation} << 32 | connection.index;
}
net::SlotId connection_of(engine::ClientId client) {
  return {static_cast<std::uint32_t>(client), static_cast<std::uint32_t>(client >> 32)};
}

// Interval at which the broker publishes its load to the fleet.
constexpr net::Duration publish_interval = 1s;

constexpr std::string_view outcome_names[] = {"error",          "served", "turned_away", "timed_out",
                                              "connect_failed", "reset",  "called_off",  "moot"};

}  // namespace

Broker::Broker(net::Loop& loop, log::Logger& log, const config::Config& config,
               std::unique_ptr<Policy> policy, const options::Options& options)
    : loop_(loop),
      log_(log),
      config_(config),
      options_(options),
      front_(
          loop, [&log](std::string_view what) { log.write(log::Level::warning, what); }, max_clients(config),
          *this),
      links_(loop, log, link_limits(config), *this),
      members_(log, make_member_source(loop, log, config, options), *this),
      engine_(config.policy, {config.broker.zones, config.broker.kinds}, std::move(policy),
              {*this, *this, *this, *this}) {
  front_.set_memory_bound(static_cast<std::size_t>(config_.memory_mb * client_memory_share * (1 << 20)));
  for (std::size_t i = 0; i < config_.policy.classes.size(); ++i)
    classes_[config_.policy.classes[i].name] = static_cast<int>(i);
  for (std::size_t i = 0; i < config_.policy.tenants.size(); ++i)
    tenants_[config_.policy.tenants[i].name] = static_cast<int>(i);
}

// Registers the broker under its bound address, which may differ from the configured one.
void Broker::make_registration() {
  if (!options_.registration) return;
  const options::RegistrationOptions& registration = *options_.registration;
  membership::Entry self;
  self.id = config_.name;
  self.address = front_.address();
  self.zone = registration.zone;
  self.kind = "broker";
  self.up_since_ms = std::chrono::duration<double, std::milli>(loop_.now().time_since_epoch()).count();
  registration_ = std::make_unique<registry::Registration>(
      loop_, log_, registration.registry, registration.prefix + config_.name, registry::write_record(self),
      registration.lease, config_.seed);
}

void Broker::make_fleet() {
  if (!options_.fleet) return;
  const options::FleetOptions& fleet = *options_.fleet;
  fleet_ =
      std::make_unique<peerlink::Fleet>(loop_, log_, fleet, config_.name, front_.address(), config_.seed);
  if (fleet.registry_prefix && options_.registration)
    seeds_ = std::make_unique<peerlink::RegistrySeeds>(
        loop_, log_, *options_.registration, *fleet.registry_prefix, config_.name, config_.seed, *fleet_);
  fleet_->publish("settings", fmt::format("{:016x}", config_.settings.fingerprint()));
  publish_records();
}

// Publishes this broker's records to the other members of the fleet.
void Broker::publish_records() {
  // Rounded to a power of two, since every change is gossiped to all members.
  fleet_->publish("load", std::to_string(std::bit_floor(engine_.open())));
  fleet_->publish("drain", winding_down_ ? "yes" : "no");
  records_timer_ = loop_.at(loop_.now() + publish_interval, [this] { publish_records(); });
}

void Broker::start() {
  engine_.restore_members(loop_.now(), config_.known);
  front_.listen(config_.listen);
  log_.info("{} listens on {}, {} nodes known", config_.name, front_.address().text(), engine_.nodes());
  if (!config_.policy.membership_by_subscription) members_.start();
  make_registration();
  if (registration_) registration_->start();
  make_fleet();
  engine_.start(loop_.now());
  end_turn();
}

void Broker::end_turn() {
  if (listener_closed_ && !done_) {
    front_.close_idle();
    const bool quiet = front_.busy() == 0 && (!registration_ || registration_->done());
    if (quiet && fleet_ && !fleet_finished_) {
      fleet_finished_ = true;
      fleet_->finish();
    }
    done_ = quiet && (!fleet_ || fleet_->done()) && (!seeds_ || seeds_->done());
  }
  if (fleet_ && engine_.ready()) fleet_->ready();
  engine_.end_turn(loop_.now());
  net::Time due = engine_.due();
  if (due == net::Time::max())
    engine_timer_.reset();
  else
    engine_timer_ = loop_.at(due, [this] { engine_.tick(loop_.now()); });  // end_turn() follows
}

void Broker::reload(const config::Config& config, const options::Options& options) {
  std::string unchanged;
  for (const std::string& key : config::restart_required_changes(config_, config))
    unchanged += (unchanged.empty() ? "" : ", ") + key;
  for (const std::string& key : options::restart_required_changes(options_, options))
    unchanged += (unchanged.empty() ? "" : ", ") + key;
  if (!unchanged.empty()) log_.warning("reload: changes only with a restart: {}", unchanged);
  members_.move(make_member_source(loop_, log_, config, options));
  log_.info("reload: the list of nodes comes from {}", members_.where());
}

void Broker::start_draining() {
  if (winding_down_) return;
  winding_down_ = true;
  log_.info("ending: {} queries open", engine_.open());
  front_.start_draining();
  if (registration_) registration_->withdraw();
  if (seeds_) seeds_->withdraw();
  if (fleet_) {
    fleet_->leave();
    publish_records();
  }
  wind_down_timer_ = loop_.at(loop_.now() + drain_accept_period, [this] {
    front_.stop_listening();
    listener_closed_ = true;
  });
}

// ---- clients ----

void Broker::request_arrived(net::SlotId connection, const http::Message& message) {
  if (handle_builtin_path(connection, message)) return;
  std::string_view path = message.target.substr(0, message.target.find('?'));
  std::string_view relative = path.substr(0, 1) == "/" ? path.substr(1) : path;
  auto cls = classes_.find(relative.substr(0, relative.find('/')));
  if (cls == classes_.end()) return reject_request(connection, 404, "path: no such class");
  if (message.method != "POST") return reject_request(connection, 405, "a query is a POST", "POST");
  clients::Query query;
  clients::QueryLimits limits{config_.policy.shards, static_cast<std::size_t>(config_.policy.max_open),
                              !tenants_.empty()};
  if (auto fault = clients::read_query(message, limits, query))
    return reject_request(connection, fault->status, fault->why);
  int tenant = 0;
  if (!tenants_.empty()) {
    auto found = tenants_.find(query.tenant);
    if (found == tenants_.end()) return reject_request(connection, 400, "X-Account: no such tenant");
    tenant = found->second;
  }
  engine::QueryRequest arrival;
  arrival.client = client_id_of(connection);
  arrival.id = query.id;
  arrival.text = std::move(query.text);
  arrival.cls = cls->second;
  arrival.tenant = tenant;
  arrival.deadline = loop_.now() + net::Duration(query.time_left_ms / 1000);
  arrival.repeat = query.repeat;
  for (const clients::QueryPart& part : query.parts)
    arrival.parts.push_back({part.shard, part.weight, part.key, part.cost_us.has_value(),
                             Duration(part.cost_us.value_or(0) / 1e6)});
  switch (engine_.submit(loop_.now(), std::move(arrival))) {
    case engine::Engine::Admission::accepted:
      return;
    case engine::Engine::Admission::full:
      return front_.answer(connection,
                           {503, clients::error_body("all places are taken"), "application/json", {}, 0});
    case engine::Engine::Admission::duplicate_id:
      return reject_request(connection, 409, "X-Correlation-Id: a request under this id is open");
  }
}

bool Broker::handle_builtin_path(net::SlotId connection, const http::Message& message) {
  std::string_view path = message.target.substr(0, message.target.find('?'));
  if (fleet_ && path.starts_with("/fleet") && handle_fleet_path(connection, message, path)) return true;
  bool ready = path == "/health/ready", live = path == "/health/live", counters = path == "/counters";
  if (!ready && !live && !counters) return false;
  if (message.method != "GET") {
    reject_request(connection, 405, "only GET", "GET");
  } else if (counters) {
    front_.answer(connection, {200, counters_json(), "application/json", {}, 0});
  } else if (live || (engine_.ready() && !winding_down_)) {
    front_.answer(connection, {200, "{\"ok\":true}", "application/json", {}, 0});
  } else {
    std::string_view why = winding_down_ ? "ending" : "no node is known yet";
    front_.answer(connection, {503, clients::error_body(why), "application/json", {}, 0});
  }
  return true;
}

bool Broker::handle_fleet_path(net::SlotId connection, const http::Message& message, std::string_view path) {
  if (path == "/fleet") {
    if (message.method != "GET") {
      reject_request(connection, 405, "only GET", "GET");
    } else {
      front_.answer(connection, {200, fleet_->view_json(), "application/json", {}, 0});
    }
    return true;
  }
  if (path != "/fleet/leave") return false;
  if (message.method != "POST") {
    reject_request(connection, 405, "only POST", "POST");
  } else if (!options_.fleet->leave_by_request) {
    reject_request(connection, 403, "fleet.leave_by_request is not set");
  } else {
    log_.info("fleet: leaving on request");
    front_.answer(connection, {200, "{\"leaving\":true}", "application/json", {}, 0});
    start_draining();
  }
  return true;
}

void Broker::reject_request(net::SlotId connection, int status, std::string_view why,
                            std::string_view allow) {
  ++bad_queries_;
  log_.debug("request rejected: {}", why);
  front_.answer(connection, {status, clients::error_body(why), "application/json", allow, 0});
}

void Broker::client_left(net::SlotId connection) {
  engine_.client_left(loop_.now(), client_id_of(connection));
}

void Broker::answered(engine::ClientId client, const engine::Result& result) {
  using Kind = engine::Result::Kind;
  clients::Answer answer{500, {}, "application/json", {}, 0};
  switch (result.kind) {
    case Kind::whole:
    case Kind::partial:
      answer.status = 200;
      answer.body = clients::answer_body(result.kind == Kind::whole, result.values);
      break;
    case Kind::refused:
      answer.status = 503;
      answer.body = clients::error_body("refused");
      answer.retry_after_s = result.retry_after.count();
      break;
    case Kind::failed:
      answer.body = clients::error_body("failed");
      break;
    case Kind::out_of_time:
      answer.status = 504;
      answer.body = clients::error_body("out of time");
  }
  front_.answer(connection_of(client), answer);
}

// ---- nodes ----

bool Broker::make_room() {
  std::size_t used = front_.connections() + links_.connections() + reserved_descriptors;
  return used < static_cast<std::size_t>(config_.max_sockets) || front_.close_one_idle() ||
         links_.close_one_idle();
}

void Broker::attempt_ended(const nodelink::AttemptEnd& end) {
  engine_.attempt_ended(end, nodelink::parse_report(end.report, config_.broker.report_fields));
}

void Broker::probe_ended(const nodelink::ProbeEnd& end) {
  engine_.probe_ended(end, nodelink::parse_report(end.report, config_.broker.report_fields));
}

void Broker::node_numbered(NodeId node, std::string_view id, const net::Address& address) {
  log_.debug("node {} is {} at {}", node, id, address.text());
}

void Broker::probe(NodeId node) { links_.probe(node, config_.policy.report_source == ReportSource::pull); }

void Broker::members_told(const membership::MemberList& list) { engine_.members_told(loop_.now(), list); }
void Broker::members_failed() { engine_.members_failed(); }

void Broker::write_line(bool fault, std::string_view text) {
  fault ? log_.error("{}", text) : log_.info("{}", text);
}

std::string Broker::counters_json() const {
  const engine::Counters& counters = engine_.counters();
  std::string out = fmt::format(
      "{{\"queries\":{},\"whole\":{},\"partial\":{},\"refused\":{},\"failed\":{},\"clients_left\":{},"
      "\"out_of_time\":{},\"turned_away\":{},\"bad_queries\":{},\"sends\":{},\"attempts\":{{",
      counters.queries, counters.whole, counters.partial, counters.refused, counters.failed,
      counters.clients_left, counters.out_of_time, counters.turned_away, bad_queries_, counters.sends);
  for (std::size_t i = 0; i < std::size(outcome_names); ++i)
    out += fmt::format("{}\"{}\":{}", i == 0 ? "" : ",", outcome_names[i], counters.attempts[i]);
  const clients::HttpServerCounters& front = front_.counters();
  const nodelink::LinkCounters& links = links_.counters();
  const membership::SourceCounters lists = members_.counters();
  out += fmt::format(
      "}},\"probes\":{},\"batches\":{},\"clients\":{{\"accepted\":{},\"open\":{},\"requests\":{},"
      "\"bad_requests\":{},\"closed_for_room\":{},\"timed_out\":{},\"closed_unused\":{},\"accept_failures\":{"
      "},\"held_bytes\":{},\"refused_for_memory\":{},\"closed_for_memory\":{}}},",
      counters.probes, counters.batches, front.accepted, front_.connections(), front.requests,
      front.bad_requests, front.closed_for_room, front.timed_out, front.closed_unused, front.accept_failures,
      front_.held_bytes(), front.refused_for_memory, front.closed_for_memory);
  out += fmt::format(
      "\"nodes\":{{\"connects\":{},\"connects_failed\":{},\"open\":{},\"frames\":{},\"give_ups\":{},"
      "\"closed_idle\":{},\"closed_for_room\":{},\"fell_silent\":{},\"closed_silent\":{},\"late_answers\":{},"
      "\"unknown_answers\":{},"
      "\"broken_frames\":{},\"complaints\":{}}}"
      ",",
      links.connects, links.connects_failed, links_.connections(), links.frames_sent, links.give_ups_sent,
      links.closed_idle, links.closed_for_room, links.fell_silent, links.closed_silent, links.late_answers,
      links.unknown_answers, links.broken_frames, links.complaints);
  out += fmt::format(
      "\"discovery\":{{\"lists\":{},\"changes\":{},\"stale\":{},\"failures\":{},\"revision\":{}}},",
      lists.lists, lists.changes, lists.stale, lists.failures, members_.revision());
  if (std::string details = members_.details_json(); !details.empty())
    out += "\"registry\":{" + details + "},";
  if (registration_) out += "\"registration\":{" + registration_->counters_json() + "},";
  if (fleet_) out += "\"fleet\":{" + fleet_->counters_json() + "},";
  rusage usage{};
  ::getrusage(RUSAGE_SELF, &usage);
  auto ms = [](const timeval& time) { return time.tv_sec * 1000 + time.tv_usec / 1000; };
  out += fmt::format("\"process\":{{\"peak_memory_kb\":{},\"cpu_ms\":{}}},\"log_lines_dropped\":{}}}",
                     usage.ru_maxrss, ms(usage.ru_utime) + ms(usage.ru_stime), log_.dropped());
  return out;
}

}  // namespace pearspar::broker
