#include "broker/broker.h"

#include <sys/resource.h>

#include <algorithm>
#include <chrono>
#include <set>

#include "broker/sources.h"

namespace pearspar::broker {
namespace {

using namespace std::chrono_literals;

// Descriptors that are neither a client's nor a node's: the listener, discovery, signals, the log.
constexpr std::size_t other_descriptors = 24;
// How long after the word to end new queries are still taken: those who send them learn of it by then.
constexpr net::Duration taking_on = 700ms;

nodelink::LinkLimits link_limits(const config::Config& config) {
  return {config.broker.calls_per_connection, config.module.connect_timeout, config.broker.idle_close,
          config.module.may_cancel};
}

// A quarter of the descriptors is kept for nodes.
std::size_t most_clients(const config::Config& config) {
  return static_cast<std::size_t>(config.max_sockets) * 3 / 4;
}

// A name that stands in no list of the settings gets a number of its own behind them.
int place_in(const std::vector<std::string>& names, const std::string& name) {
  return static_cast<int>(std::find(names.begin(), names.end(), name) - names.begin());
}

constexpr std::string_view outcome_names[] = {"error",          "served", "turned_away", "timed_out",
                                              "connect_failed", "reset",  "called_off",  "moot"};

}  // namespace

Broker::Broker(net::Loop& loop, log::Logger& log, const config::Config& config,
               std::unique_ptr<Policy> policy, const options::Options& options)
    : loop_(loop),
      log_(log),
      config_(config),
      options_(options),
      front_(loop, log, most_clients(config), *this),
      links_(loop, log, link_limits(config), *this),
      members_(log, source_of(loop, log, config, options), *this),
      policy_(std::move(policy)) {
  for (std::size_t i = 0; i < config_.module.classes.size(); ++i)
    classes_[config_.module.classes[i].name] = static_cast<int>(i);
  for (std::size_t i = 0; i < config_.module.tenants.size(); ++i)
    tenants_[config_.module.tenants[i].name] = static_cast<int>(i);
}

// The broker's own record, with the address at which it really listens.
void Broker::make_registration() {
  if (!options_.registration) return;
  const options::RegistrationOptions& wanted = *options_.registration;
  membership::Entry self;
  self.id = config_.name;
  self.address = front_.address();
  self.zone = wanted.zone;
  self.kind = "broker";
  self.up_since_ms = std::chrono::duration<double, std::milli>(loop_.now().time_since_epoch()).count();
  registration_ =
      std::make_unique<registry::Registration>(loop_, log_, wanted.registry, wanted.prefix + config_.name,
                                               registry::write_record(self), wanted.lease, config_.seed);
}

void Broker::start() {
  if (!config_.known.entries.empty()) take_list(config_.known, ListForm::saved);
  front_.listen(config_.listen);
  log_.info("{} listens on {}, {} nodes known", config_.name, front_.address().text(), nodes_.size());
  if (!config_.module.membership_by_asking) members_.start();
  make_registration();
  if (registration_) registration_->start();
  // The module's first batch: where the list does not come by itself, it asks for it.
  hand_batch();
}

void Broker::end_turn() {
  if (listening_ended_ && !done_) {
    front_.close_idle();
    done_ = front_.busy() == 0 && (!registration_ || registration_->done());
  }
  net::Time due = last_batch_ + config_.module.quantum;
  if (something_to_tell() && loop_.now() >= due) hand_batch();
  // Also for what the batch itself brought about (an attempt called off, one not sent): without a deadline
  // the loop could sleep on it until something else happens.
  if (something_to_tell() && !batch_timer_.pending())
    batch_timer_ = loop_.at(last_batch_ + config_.module.quantum, [] {});  // the turn's end does the rest
}

void Broker::reload(const config::Config& config, const options::Options& options) {
  std::string fixed;
  for (const std::string& key : config::fixed_differences(config_, config))
    fixed += (fixed.empty() ? "" : ", ") + key;
  for (const std::string& key : options::fixed_differences(options_, options))
    fixed += (fixed.empty() ? "" : ", ") + key;
  if (!fixed.empty()) log_.warning("reload: changes only with a restart: {}", fixed);
  members_.move(source_of(loop_, log_, config, options));
  log_.info("reload: the list of nodes comes from {}", members_.where());
}

void Broker::wind_down() {
  if (winding_down_) return;
  winding_down_ = true;
  log_.info("ending: {} queries open", queries_.size());
  front_.wind_down();
  if (registration_) registration_->withdraw();
  wind_down_timer_ = loop_.at(loop_.now() + taking_on, [this] {
    front_.stop_listening();
    listening_ended_ = true;
  });
}

// ---- clients ----

void Broker::request_arrived(net::SlotId connection, const http::Message& message) {
  if (answer_own_paths(connection, message)) return;
  std::string_view path = message.target.substr(0, message.target.find('?'));
  std::string_view first = path.substr(0, 1) == "/" ? path.substr(1) : path;
  auto cls = classes_.find(first.substr(0, first.find('/')));
  if (cls == classes_.end()) return refuse_bad(connection, 404, "path: no such class");
  if (message.method != "POST") return refuse_bad(connection, 405, "a query is a POST", "POST");
  clients::Query asked;
  clients::QueryLimits limits{config_.module.shards, static_cast<std::size_t>(config_.module.max_open),
                              !tenants_.empty()};
  if (auto fault = clients::read_query(message, limits, asked))
    return refuse_bad(connection, fault->status, fault->why);
  int tenant = 0;
  if (!tenants_.empty()) {
    auto found = tenants_.find(asked.tenant);
    if (found == tenants_.end()) return refuse_bad(connection, 400, "X-Account: no such tenant");
    tenant = found->second;
  }
  if (queries_.size() + parts_.size() >= static_cast<std::size_t>(config_.module.max_open)) {
    ++counters_.turned_away;
    return front_.answer(connection,
                         {503, clients::error_body("all places are taken"), "application/json", {}, 0});
  }
  // Two queries under one id would share the ids of their parts at the nodes.
  if (open_ids_.count(asked.id) != 0)
    return refuse_bad(connection, 409, "X-Correlation-Id: a request under this id is open");
  take_query(connection, asked, cls->second, tenant);
}

bool Broker::answer_own_paths(net::SlotId connection, const http::Message& message) {
  std::string_view path = message.target.substr(0, message.target.find('?'));
  bool ready = path == "/health/ready", live = path == "/health/live", counters = path == "/counters";
  if (!ready && !live && !counters) return false;
  if (message.method != "GET") {
    refuse_bad(connection, 405, "only GET", "GET");
  } else if (counters) {
    front_.answer(connection, {200, counters_json(), "application/json", {}, 0});
  } else if (live || (ready_ && !winding_down_)) {
    front_.answer(connection, {200, "{\"ok\":true}", "application/json", {}, 0});
  } else {
    std::string_view why = winding_down_ ? "ending" : "no node is known yet";
    front_.answer(connection, {503, clients::error_body(why), "application/json", {}, 0});
  }
  return true;
}

void Broker::refuse_bad(net::SlotId connection, int status, std::string_view why, std::string_view allow) {
  ++counters_.bad_queries;
  log_.debug("no query: {}", why);
  front_.answer(connection, {status, clients::error_body(why), "application/json", allow, 0});
}

void Broker::take_query(net::SlotId connection, const clients::Query& asked, int cls, int tenant) {
  ++counters_.queries;
  QueryId id = ++last_id_;
  std::uint32_t ordinal = ++last_ordinal_;
  net::SlotId slot = queries_.add();
  query_slots_[id] = slot;
  by_connection_[connection] = id;
  Query& query = *queries_.find(slot);
  query.connection = connection;
  query.id = asked.id;
  open_ids_.insert(query.id);
  query.text = asked.text;
  query.deadline = loop_.now() + net::Duration(asked.time_left_ms / 1000);
  query.timer = loop_.at(query.deadline, [this, id] { out_of_time(id); });

  QueryArrived arrival;
  arrival.query = id;
  arrival.ordinal = ordinal;
  arrival.cls = cls;
  arrival.tenant = tenant;
  arrival.deadline = query.deadline;
  arrival.parts = static_cast<int>(asked.parts.size());
  arrival.repeat = asked.repeat;
  arrival.cost_known = !asked.parts.empty();
  for (const clients::QueryPart& part : asked.parts) {
    arrival.cost_known = arrival.cost_known && part.cost_us;
    arrival.cost += Duration(part.cost_us.value_or(0) / 1e6);
  }
  if (!arrival.cost_known) arrival.cost = Duration{};
  events_.emplace_back(arrival);
  for (const clients::QueryPart& part : asked.parts) {
    PartArrived told;
    told.part = ++last_id_;
    told.ordinal = ordinal;
    told.shard = part.shard;
    told.weight = part.weight;
    told.key = part.key;
    told.cost_known = part.cost_us.has_value();
    told.cost = Duration(part.cost_us.value_or(0) / 1e6);
    parts_[told.part] = {id, query.parts.size()};
    query.parts.push_back({told.part, part.shard, 0, false, {}});
    events_.emplace_back(told);
  }
}

void Broker::client_left(net::SlotId connection) {
  auto found = by_connection_.find(connection);
  if (found == by_connection_.end()) return;
  ++counters_.clients_left;
  QueryId id = found->second;
  events_.emplace_back(ClientLeft{id});
  end_query(id, nullptr);
}

// The module ends each query in time; this is the net under it, so that no client is left without an answer.
void Broker::out_of_time(QueryId id) {
  if (!find(id)) return;
  ++counters_.out_of_time;
  log_.error("a query was still open at its deadline");
  events_.emplace_back(ClientLeft{id});
  clients::Answer answer{504, clients::error_body("out of time"), "application/json", {}, 0};
  end_query(id, &answer);
}

Broker::Query* Broker::find(QueryId id) {
  auto found = query_slots_.find(id);
  return found == query_slots_.end() ? nullptr : queries_.find(found->second);
}

// The one place where a query ends: its slot and its parts are given back, and its client is answered.
void Broker::end_query(QueryId id, const clients::Answer* answer) {
  auto found = query_slots_.find(id);
  if (found == query_slots_.end()) return;
  // What this batch sends for it goes out first; the text is the query's.
  flush_sends();
  net::SlotId slot = found->second;
  Query& query = *queries_.find(slot);
  net::SlotId connection = query.connection;
  for (const Part& part : query.parts) {
    links_.withdraw(part.id);
    parts_.erase(part.id);
  }
  by_connection_.erase(connection);
  open_ids_.erase(query.id);
  query_slots_.erase(found);
  queries_.release(slot);
  if (answer) front_.answer(connection, *answer);
}

// ---- nodes ----

bool Broker::make_room() {
  std::size_t used = front_.connections() + links_.connections() + other_descriptors;
  return used < static_cast<std::size_t>(config_.max_sockets) || front_.close_one_idle();
}

// Only notes what came: it may be called from within a send.
void Broker::attempt_ended(const nodelink::AttemptEnd& end) {
  ++counters_.attempts[static_cast<std::size_t>(end.outcome)];
  AttemptEnded event;
  event.part = end.part;
  event.node = end.node;
  event.attempt = end.attempt;
  event.outcome = end.outcome;
  event.took = end.took;
  event.report = nodelink::read_report(end.report, config_.broker.report_fields);
  if (auto place = parts_.find(end.part); place != parts_.end()) {
    Part& part = find(place->second.query)->parts[place->second.index];
    if (end.outcome == Outcome::ok && !part.in) {
      part.in = true;
      part.value = end.value;
    }
    event.part_open = !part.in;
  }
  events_.emplace_back(std::move(event));
}

void Broker::probe_ended(const nodelink::ProbeEnd& end) {
  events_.emplace_back(ProbeEnded{end.node, end.outcome, end.took,
                                  nodelink::read_report(end.report, config_.broker.report_fields)});
}

// ---- discovery ----

void Broker::members_told(const membership::MemberList& list) {
  take_list(list, list.complete ? ListForm::whole : ListForm::changes);
}

void Broker::members_failed() {
  if (config_.module.membership_by_asking)
    list_news_.emplace_back(MembersChanged{ListForm::failed, 0, nullptr});
}

Member Broker::member_of(const membership::Entry& entry) {
  Member member;
  member.zone = place_in(config_.broker.zones, entry.zone);
  member.kind = place_in(config_.broker.kinds, entry.kind);
  member.cell = entry.cell;
  member.status = entry.phase == membership::Phase::ready      ? NodeStatus::ready
                  : entry.phase == membership::Phase::draining ? NodeStatus::draining
                                                               : NodeStatus::gone;
  member.rating = entry.size;
  member.start_known = entry.up_since_ms > 0;
  if (member.start_known) member.started = net::Clock::from_unix_ms(entry.up_since_ms);
  return member;
}

void Broker::note_gone(KnownNode& node) {
  if (node.member.status != NodeStatus::gone) node.gone_at = loop_.now();
  node.member.status = NodeStatus::gone;
  links_.retire(node.number);
}

// Where nodes come under new ids all day, those that are gone must not be kept. Within the time in which a
// node counts as cold its number stays: should it return, the module has to know it again.
void Broker::forget_gone() {
  net::Duration keep = config_.module.warm_within + config_.module.fall_span;
  std::erase_if(nodes_, [&](const auto& entry) {
    const KnownNode& node = entry.second;
    return node.member.status == NodeStatus::gone && loop_.now() > node.gone_at + keep;
  });
}

void Broker::take_list(const membership::MemberList& list, ListForm form) {
  auto members = std::make_shared<std::vector<Member>>();
  std::set<NodeId> listed;
  for (const membership::Entry& entry : list.entries) {
    auto found = nodes_.find(entry.id);
    if (found == nodes_.end()) {
      if (entry.phase == membership::Phase::gone) continue;  // never heard of
      found = nodes_.emplace(entry.id, KnownNode{++last_node_, {}}).first;
      log_.debug("node {} is {} at {}", found->second.number, entry.id, entry.address.text());
    }
    KnownNode& node = found->second;
    if (entry.phase == membership::Phase::gone) {
      note_gone(node);
    } else {
      node.member = member_of(entry);
      node.member.node = node.number;
      links_.place(node.number, entry.address, entry.up_since_ms);
    }
    listed.insert(node.number);
    members->push_back(node.member);
  }
  if (form != ListForm::changes) {
    for (auto& [name, node] : nodes_) {
      if (listed.count(node.number) == 0) note_gone(node);
    }
  }
  forget_gone();
  ready_ = ready_ || !members->empty();
  list_news_.emplace_back(
      MembersChanged{form, static_cast<std::uint32_t>(list.revision), std::move(members)});
}

// ---- the module ----

void Broker::hand_batch() {
  batch_timer_.reset();
  std::vector<Event> batch = std::move(list_news_);
  list_news_.clear();
  std::move(events_.begin(), events_.end(), std::back_inserter(batch));
  events_.clear();
  last_batch_ = loop_.now();
  ++counters_.batches;
  std::vector<Action> actions;
  policy_->handle(last_batch_, batch, actions);
  for (const Action& action : actions) std::visit([this](const auto& asked) { act(asked); }, action);
  flush_sends();
}

void Broker::act(const SendPart& send) {
  auto place = parts_.find(send.part);
  if (place == parts_.end()) {
    // The query is over: not sent.
    events_.emplace_back(AttemptEnded{send.part, send.node, 0, Outcome::moot, {}, false, {}});
    return;
  }
  Query& query = *find(place->second.query);
  Part& part = query.parts[place->second.index];
  int attempt = part.attempts++;
  net::Time give_up_at = query.deadline;
  if (send.max_wait > Duration{}) give_up_at = std::min(give_up_at, loop_.now() + send.max_wait);
  if (attempt >= config_.module.max_attempts || give_up_at <= loop_.now()) {
    ++counters_.attempts[static_cast<std::size_t>(Outcome::moot)];
    events_.emplace_back(AttemptEnded{send.part, send.node, attempt, Outcome::moot, {}, !part.in, {}});
    return;
  }
  ++counters_.sends;
  std::vector<Send>& sends = sends_[send.node];
  sends.push_back({&part, &query, attempt, give_up_at});
  if (sends.size() >= static_cast<std::size_t>(config_.module.parts_per_call)) flush_node(send.node, sends);
}

void Broker::flush_node(NodeId node, std::vector<Send>& sends) {
  std::vector<std::string> ids;
  ids.reserve(sends.size());
  std::vector<nodelink::Call> call;
  for (const Send& send : sends) {
    ids.push_back(send.query->id + "." + std::to_string(send.part->shard));
    call.push_back({send.part->id, send.attempt, ids.back(), send.part->shard, send.query->text,
                    send.give_up_at, send.query->deadline});
  }
  sends.clear();
  if (!call.empty()) links_.send(node, call);
}

void Broker::flush_sends() {
  for (auto& [node, sends] : sends_) flush_node(node, sends);
  sends_.clear();
}

void Broker::act(const CancelAttempt& cancel) {
  for (const auto& [node, sends] : sends_) {
    if (std::none_of(sends.begin(), sends.end(),
                     [&](const Send& send) { return send.part->id == cancel.part; }))
      continue;
    flush_sends();
    break;
  }
  links_.give_up(cancel.part, cancel.attempt);
}

void Broker::act(const AnswerQuery& answer) {
  Query* query = find(answer.query);
  if (!query) return;
  std::vector<clients::PartValue> values;
  for (const Part& part : query->parts)
    if (part.in) values.push_back({part.shard, part.value});
  ++(answer.whole ? counters_.whole : counters_.partial);
  clients::Answer served{200, clients::answer_body(answer.whole, values), "application/json", {}, 0};
  end_query(answer.query, &served);
}

void Broker::act(const RefuseQuery& refuse) {
  if (!find(refuse.query)) return;
  ++counters_.refused;
  double come_back = config_.module.may_advise_return ? refuse.come_back.count() : 0;
  clients::Answer answer{503, clients::error_body("refused"), "application/json", {}, come_back};
  end_query(refuse.query, &answer);
}

void Broker::act(const FailQuery& fail) {
  if (!find(fail.query)) return;
  ++counters_.failed;
  clients::Answer answer{500, clients::error_body("failed"), "application/json", {}, 0};
  end_query(fail.query, &answer);
}

void Broker::act(const ProbeNode& probe) {
  if (!config_.module.may_probe) return;
  ++counters_.probes;
  links_.probe(probe.node, config_.module.report_source == ReportSource::by_probe);
}

void Broker::act(const TellPeer&) { log_.debug("a message to peers: no way leads there yet"); }
void Broker::act(const FetchMembers&) { members_.fetch(); }
void Broker::act(const SubscribeMembers& subscribe) {
  if (!config_.module.membership_by_asking) return;
  subscribe.on ? members_.start() : members_.stop();
}

void Broker::act(const SetTimer& timer) {
  std::uint64_t number = ++last_timer_;
  timers_[number] = loop_.at(loop_.now() + timer.after, [this, number, token = timer.token] {
    timers_.erase(number);
    events_.emplace_back(TimerFired{token});
  });
}

void Broker::act(const DropIdleConnections& drop) { links_.drop_idle(drop.node); }
void Broker::act(const LogLine& line) { log_.info("{}", line.text); }

std::string Broker::counters_json() const {
  std::string out = fmt::format(
      "{{\"queries\":{},\"whole\":{},\"partial\":{},\"refused\":{},\"failed\":{},\"clients_left\":{},"
      "\"out_of_time\":{},\"turned_away\":{},\"bad_queries\":{},\"sends\":{},\"attempts\":{{",
      counters_.queries, counters_.whole, counters_.partial, counters_.refused, counters_.failed,
      counters_.clients_left, counters_.out_of_time, counters_.turned_away, counters_.bad_queries,
      counters_.sends);
  for (std::size_t i = 0; i < std::size(outcome_names); ++i)
    out += fmt::format("{}\"{}\":{}", i == 0 ? "" : ",", outcome_names[i], counters_.attempts[i]);
  const clients::FrontCounters& front = front_.counters();
  const nodelink::LinkCounters& links = links_.counters();
  const membership::SourceCounters lists = members_.counters();
  out += fmt::format(
      "}},\"probes\":{},\"batches\":{},\"clients\":{{\"accepted\":{},\"open\":{},\"requests\":{},"
      "\"bad_requests\":{},\"closed_for_room\":{},\"timed_out\":{},\"closed_unused\":{},\"accept_failures\":{"
      "}}},",
      counters_.probes, counters_.batches, front.accepted, front_.connections(), front.requests,
      front.bad_requests, front.closed_for_room, front.timed_out, front.closed_unused, front.accept_failures);
  out += fmt::format(
      "\"nodes\":{{\"connects\":{},\"connects_failed\":{},\"open\":{},\"frames\":{},\"give_ups\":{},"
      "\"closed_idle\":{},\"fell_silent\":{},\"closed_silent\":{},\"late_answers\":{},\"unknown_answers\":{},"
      "\"broken_frames\":{},\"complaints\":{}}}"
      ",",
      links.connects, links.connects_failed, links_.connections(), links.frames_sent, links.give_ups_sent,
      links.closed_idle, links.fell_silent, links.closed_silent, links.late_answers, links.unknown_answers,
      links.broken_frames, links.complaints);
  out += fmt::format(
      "\"discovery\":{{\"lists\":{},\"changes\":{},\"stale\":{},\"failures\":{},\"revision\":{}}},",
      lists.lists, lists.changes, lists.stale, lists.failures, members_.revision());
  if (std::string details = members_.details_json(); !details.empty())
    out += "\"registry\":{" + details + "},";
  if (registration_) out += "\"registration\":{" + registration_->counters_json() + "},";
  rusage used{};
  ::getrusage(RUSAGE_SELF, &used);
  auto ms = [](const timeval& time) { return time.tv_sec * 1000 + time.tv_usec / 1000; };
  out += fmt::format("\"process\":{{\"peak_memory_kb\":{},\"cpu_ms\":{}}},\"log_lines_dropped\":{}}}",
                     used.ru_maxrss, ms(used.ru_utime) + ms(used.ru_stime), log_.dropped());
  return out;
}

}  // namespace pearspar::broker
