#include "engine/engine.h"

#include <algorithm>

namespace pearspar::engine {
namespace {

// The index of a name; names that are not configured all get the index after the last.
int place_in(const std::vector<std::string>& names, const std::string& name) {
  return static_cast<int>(std::find(names.begin(), names.end(), name) - names.begin());
}

}  // namespace

Engine::Engine(const Settings& settings, Names names, std::unique_ptr<Policy> policy, const Ports& ports)
    : settings_(settings), names_(std::move(names)), policy_(std::move(policy)), ports_(ports) {}

void Engine::restore_members(net::Time now, const membership::MemberList& saved) {
  now_ = now;
  if (!saved.entries.empty()) apply_list(saved, MemberListForm::saved);
}

void Engine::start(net::Time now) {
  now_ = now;
  run_batch();
}

void Engine::end_turn(net::Time now) {
  now_ = now;
  if (has_events() && now_ >= last_batch_ + settings_.min_batch_interval) run_batch();
}

// Includes events that a batch itself has caused (a cancelled or unsent attempt), which would otherwise wait
// for the next incoming event.
net::Time Engine::due() const {
  net::Time first = net::Time::max();
  if (has_events()) first = last_batch_ + settings_.min_batch_interval;
  if (!deadlines_.empty()) first = std::min(first, deadlines_.begin()->first);
  if (!timers_.empty()) first = std::min(first, timers_.begin()->first);
  return first;
}

void Engine::tick(net::Time now) {
  now_ = now;
  while (!deadlines_.empty() && deadlines_.begin()->first <= now) out_of_time(deadlines_.begin()->second);
  while (!timers_.empty() && timers_.begin()->first <= now)
    events_.emplace_back(TimerFired{timers_.extract(timers_.begin()).mapped()});
}

// ---- clients ----

Engine::Admission Engine::submit(net::Time now, QueryRequest request) {
  now_ = now;
  if (queries_.size() + parts_.size() >= static_cast<std::size_t>(settings_.max_open)) {
    ++counters_.turned_away;
    return Admission::full;
  }
  // The ids of parts on the wire derive from the query id.
  if (open_ids_.count(request.id) != 0) return Admission::duplicate_id;
  ++counters_.queries;
  QueryId id = ++last_id_;
  std::uint32_t ordinal = ++last_ordinal_;
  net::SlotId slot = queries_.add();
  query_slots_[id] = slot;
  by_client_[request.client] = id;
  Query& query = *queries_.find(slot);
  query.client = request.client;
  query.id = std::move(request.id);
  open_ids_.insert(query.id);
  query.text = std::move(request.text);
  query.deadline = request.deadline;
  deadlines_.emplace(query.deadline, id);

  QueryArrived arrival;
  arrival.query = id;
  arrival.ordinal = ordinal;
  arrival.cls = request.cls;
  arrival.tenant = request.tenant;
  arrival.deadline = query.deadline;
  arrival.parts = static_cast<int>(request.parts.size());
  arrival.repeat = request.repeat;
  arrival.cost_known = !request.parts.empty();
  for (const QueryRequestPart& part : request.parts) {
    arrival.cost_known = arrival.cost_known && part.cost_known;
    arrival.cost += part.cost;
  }
  if (!arrival.cost_known) arrival.cost = Duration{};
  events_.emplace_back(arrival);
  for (const QueryRequestPart& part : request.parts) {
    PartArrived part_arrived;
    part_arrived.part = ++last_id_;
    part_arrived.ordinal = ordinal;
    part_arrived.shard = part.shard;
    part_arrived.weight = part.weight;
    part_arrived.key = part.key;
    part_arrived.cost_known = part.cost_known;
    part_arrived.cost = part.cost;
    parts_[part_arrived.part] = {id, query.parts.size()};
    query.parts.push_back({part_arrived.part, part.shard, 0, false, {}});
    events_.emplace_back(part_arrived);
  }
  return Admission::accepted;
}

void Engine::client_left(net::Time now, ClientId client) {
  now_ = now;
  auto found = by_client_.find(client);
  if (found == by_client_.end()) return;
  ++counters_.clients_left;
  QueryId id = found->second;
  events_.emplace_back(ClientDisconnected{id});
  end_query(id, nullptr);
}

// Fallback for a query that the policy has not ended in time: the client still gets an answer.
void Engine::out_of_time(QueryId id) {
  ++counters_.out_of_time;
  ports_.policy_log.write_line(true, "a query was still open at its deadline");
  events_.emplace_back(ClientDisconnected{id});
  Result result{Result::Kind::out_of_time, {}, {}};
  end_query(id, &result);
}

Engine::Query* Engine::find(QueryId id) {
  auto found = query_slots_.find(id);
  return found == query_slots_.end() ? nullptr : queries_.find(found->second);
}

void Engine::end_query(QueryId id, const Result* result) {
  auto found = query_slots_.find(id);
  if (found == query_slots_.end()) return;
  // Pending sends refer to the text of the query.
  flush_sends();
  net::SlotId slot = found->second;
  Query& query = *queries_.find(slot);
  ClientId client = query.client;
  for (const Part& part : query.parts) {
    ports_.nodes.withdraw(part.id);
    parts_.erase(part.id);
  }
  deadlines_.erase({query.deadline, id});
  by_client_.erase(client);
  open_ids_.erase(query.id);
  query_slots_.erase(found);
  // The result refers to values of the parts, so they are kept until the client is answered. The slot is
  // released first, since the client may submit its next query within the callback.
  std::vector<Part> parts = std::move(query.parts);
  queries_.release(slot);
  if (result) ports_.clients.answered(client, *result);
}

// ---- nodes ----

// May be called from within Nodes::send, so it only records the event.
void Engine::attempt_ended(const AttemptEnd& end, std::vector<double> report) {
  ++counters_.attempts[static_cast<std::size_t>(end.outcome)];
  AttemptEnded event;
  event.part = end.part;
  event.node = end.node;
  event.attempt = end.attempt;
  event.outcome = end.outcome;
  event.took = end.took;
  event.report = std::move(report);
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

void Engine::probe_ended(const ProbeEnd& end, std::vector<double> report) {
  events_.emplace_back(ProbeEnded{end.node, end.outcome, end.took, std::move(report)});
}

// ---- members ----

void Engine::members_told(net::Time now, const membership::MemberList& list) {
  now_ = now;
  apply_list(list, list.complete ? MemberListForm::full : MemberListForm::delta);
}

void Engine::members_failed() {
  if (settings_.membership_by_subscription)
    member_events_.emplace_back(MembersChanged{MemberListForm::failed, 0, nullptr});
}

Member Engine::member_of(const membership::Entry& entry) const {
  Member member;
  member.zone = place_in(names_.zones, entry.zone);
  member.kind = place_in(names_.kinds, entry.kind);
  member.cell = entry.cell;
  member.status = entry.phase == membership::Phase::ready      ? NodeStatus::ready
                  : entry.phase == membership::Phase::draining ? NodeStatus::draining
                                                               : NodeStatus::gone;
  member.rating = entry.size;
  member.start_known = entry.up_since_ms > 0;
  if (member.start_known) member.started = net::Clock::from_unix_ms(entry.up_since_ms);
  return member;
}

void Engine::mark_gone(KnownNode& node) {
  if (node.member.status != NodeStatus::gone) node.gone_at = now_;
  node.member.status = NodeStatus::gone;
  ports_.nodes.retire(node.number);
}

// Removes nodes that are gone, so that the table stays bounded when nodes keep coming under new ids. A node
// that returns while it would still count as cold keeps its number.
void Engine::forget_gone() {
  net::Duration keep = settings_.warm_up_time + settings_.cold_load_window;
  std::erase_if(nodes_, [&](const auto& entry) {
    const KnownNode& node = entry.second;
    return node.member.status == NodeStatus::gone && now_ > node.gone_at + keep;
  });
}

void Engine::apply_list(const membership::MemberList& list, MemberListForm form) {
  auto members = std::make_shared<std::vector<Member>>();
  std::set<NodeId> listed;
  for (const membership::Entry& entry : list.entries) {
    auto found = nodes_.find(entry.id);
    if (found == nodes_.end()) {
      if (entry.phase == membership::Phase::gone) continue;  // unknown node
      found = nodes_.emplace(entry.id, KnownNode{++last_node_, {}, {}}).first;
      ports_.policy_log.node_numbered(found->second.number, entry.id, entry.address);
    }
    KnownNode& node = found->second;
    if (entry.phase == membership::Phase::gone) {
      mark_gone(node);
    } else {
      node.member = member_of(entry);
      node.member.node = node.number;
      ports_.nodes.place(node.number, entry.address, entry.up_since_ms);
    }
    listed.insert(node.number);
    members->push_back(node.member);
  }
  if (form != MemberListForm::delta) {
    for (auto& [name, node] : nodes_) {
      if (listed.count(node.number) == 0) mark_gone(node);
    }
  }
  forget_gone();
  ready_ = ready_ || !members->empty();
  member_events_.emplace_back(
      MembersChanged{form, static_cast<std::uint32_t>(list.revision), std::move(members)});
}

// ---- policy ----

void Engine::run_batch() {
  std::vector<Event> batch = std::move(member_events_);
  member_events_.clear();
  std::move(events_.begin(), events_.end(), std::back_inserter(batch));
  events_.clear();
  last_batch_ = now_;
  ++counters_.batches;
  std::vector<Action> actions;
  policy_->handle(last_batch_, batch, actions);
  for (const Action& action : actions) std::visit([this](const auto& chosen) { act(chosen); }, action);
  flush_sends();
}

void Engine::act(const SendPart& send) {
  auto place = parts_.find(send.part);
  if (place == parts_.end()) {
    // The query has ended.
    events_.emplace_back(AttemptEnded{send.part, send.node, 0, Outcome::not_sent, {}, false, {}});
    return;
  }
  Query& query = *find(place->second.query);
  Part& part = query.parts[place->second.index];
  int attempt = part.attempts++;
  net::Time give_up_at = query.deadline;
  if (send.max_wait > Duration{}) give_up_at = std::min(give_up_at, now_ + send.max_wait);
  if (attempt >= settings_.max_attempts || give_up_at <= now_) {
    ++counters_.attempts[static_cast<std::size_t>(Outcome::not_sent)];
    events_.emplace_back(AttemptEnded{send.part, send.node, attempt, Outcome::not_sent, {}, !part.in, {}});
    return;
  }
  ++counters_.sends;
  std::vector<Send>& sends = sends_[send.node];
  sends.push_back({&part, &query, attempt, give_up_at});
  if (sends.size() >= static_cast<std::size_t>(settings_.parts_per_call)) flush_node(send.node, sends);
}

void Engine::flush_node(NodeId node, std::vector<Send>& sends) {
  std::vector<std::string> ids;
  ids.reserve(sends.size());
  std::vector<Call> call;
  for (const Send& send : sends) {
    ids.push_back(send.query->id + "." + std::to_string(send.part->shard));
    call.push_back({send.part->id, send.attempt, ids.back(), send.part->shard, send.query->text,
                    send.give_up_at, send.query->deadline});
  }
  sends.clear();
  if (!call.empty()) ports_.nodes.send(node, call);
}

void Engine::flush_sends() {
  for (auto& [node, sends] : sends_) flush_node(node, sends);
  sends_.clear();
}

void Engine::act(const CancelAttempt& cancel) {
  for (const auto& [node, sends] : sends_) {
    if (std::none_of(sends.begin(), sends.end(),
                     [&](const Send& send) { return send.part->id == cancel.part; }))
      continue;
    flush_sends();
    break;
  }
  ports_.nodes.give_up(cancel.part, cancel.attempt);
}

void Engine::act(const AnswerQuery& answer) {
  Query* query = find(answer.query);
  if (!query) return;
  std::vector<PartValue> values;
  for (const Part& part : query->parts)
    if (part.in) values.push_back({part.shard, part.value});
  ++(answer.whole ? counters_.whole : counters_.partial);
  Result result{answer.whole ? Result::Kind::whole : Result::Kind::partial, values, {}};
  end_query(answer.query, &result);
}

void Engine::act(const RefuseQuery& refuse) {
  if (!find(refuse.query)) return;
  ++counters_.refused;
  Result result{Result::Kind::refused, {}, settings_.may_send_retry_after ? refuse.retry_after : Duration{}};
  end_query(refuse.query, &result);
}

void Engine::act(const FailQuery& fail) {
  if (!find(fail.query)) return;
  ++counters_.failed;
  Result result{Result::Kind::failed, {}, {}};
  end_query(fail.query, &result);
}

void Engine::act(const ProbeNode& probe) {
  if (!settings_.may_probe) return;
  ++counters_.probes;
  ports_.nodes.probe(probe.node);
}

void Engine::act(const SendToPeer&) {}  // peer messages are not supported
void Engine::act(const FetchMembers&) { ports_.members.fetch(); }
void Engine::act(const SubscribeMembers& subscribe) {
  if (settings_.membership_by_subscription) ports_.members.subscribe(subscribe.on);
}
void Engine::act(const SetTimer& timer) { timers_.emplace(now_ + timer.after, timer.token); }
void Engine::act(const DropIdleConnections& drop) { ports_.nodes.drop_idle(drop.node); }
void Engine::act(const LogLine& line) { ports_.policy_log.write_line(false, line.text); }

}  // namespace pearspar::engine
