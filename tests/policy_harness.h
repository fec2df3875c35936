// Drives a policy without a broker: delivers events and collects actions. Nodes are not simulated; each test
// supplies the outcome of every attempt.
#pragma once

#include <algorithm>
#include <memory>
#include <vector>

#include "policy/policy.h"

namespace pearspar::testing {

using namespace std::chrono_literals;

inline ClassSettings class_of(double floor, double need, Idempotency idempotency = Idempotency::idempotent) {
  ClassSettings cls;
  cls.name = "any";
  cls.latency_target = 2s;
  cls.client_timeout = 4s;
  cls.worth = 1;
  cls.late_worth = 0.3;
  cls.idempotency = idempotency;
  cls.dedup_window = 1s;
  cls.min_coverage = floor;
  cls.whole_coverage = need;
  cls.partial_worth = 0.9;
  return cls;
}

// Two cells, one cell per shard; class 0 accepts partial results from 40% coverage, class 1 needs full
// coverage.
inline Settings plain_settings() {
  Settings s;
  s.broker_count = 2;
  s.classes = {class_of(0.4, 1), class_of(1, 1)};
  s.cells = 2;
  s.cells_per_shard = 1;
  s.shards = 8;
  s.may_cancel = true;
  s.may_hedge = true;
  s.may_send_retry_after = true;
  s.max_retry_after = 2s;
  s.connect_timeout = 250ms;
  s.max_attempts = 4;
  s.max_open = 200;
  s.min_batch_interval = 5ms;
  s.answer_slack = 20ms;
  s.drain_grace = 1s;
  s.subscribe_within = 10s;
  s.cold_load_multiple = 2;
  s.cold_load_window = 3s;
  s.cold_start_capacity = 0.2;
  s.warm_up_time = 15s;
  return s;
}

// One policy instance with a simulated clock.
struct PolicyHarness {
  Settings settings;
  std::unique_ptr<Policy> policy;
  Time now{100s};
  std::vector<Event> pending;
  std::vector<Action> actions;  // of the last step
  std::uint32_t version = 0;
  QueryId next_query = 1;
  PartId next_part = 1000;

  explicit PolicyHarness(Settings s = plain_settings(), std::uint64_t seed = 7) : settings(std::move(s)) {
    policy = make_policy(settings, seed);
  }

  static Member member(NodeId node, int cell, NodeStatus status = NodeStatus::ready) {
    Member m;
    m.node = node;
    m.cell = cell;
    m.status = status;
    return m;
  }

  void list(std::vector<Member> members, MemberListForm form = MemberListForm::delta) {
    pending.emplace_back(
        MembersChanged{form, ++version, std::make_shared<const std::vector<Member>>(std::move(members))});
  }

  // Lists nodes 1..per_cell in cell 0, 11.. in cell 1, and so on.
  void list_all(int per_cell = 3) {
    std::vector<Member> members;
    for (int cell = 0; cell < settings.cells; ++cell)
      for (int i = 1; i <= per_cell; ++i) members.push_back(member(static_cast<NodeId>(cell * 10 + i), cell));
    list(members, MemberListForm::saved);
  }

  // Submits a query with one part per weight; part i needs shard shards[i], or shard 0.
  QueryId query(int cls, std::vector<double> weights, std::vector<int> shards = {}, Duration wait = 4s) {
    QueryArrived q;
    q.query = next_query++;
    q.ordinal = q.query;
    q.cls = cls;
    q.deadline = now + wait;
    q.parts = static_cast<int>(weights.size());
    pending.emplace_back(q);
    parts(q.query, weights, shards);
    return q.query;
  }

  void parts(QueryId ordinal, std::vector<double> weights, std::vector<int> shards = {}) {
    for (std::size_t i = 0; i < weights.size(); ++i) {
      PartArrived p;
      p.part = next_part++;
      p.ordinal = ordinal;
      p.weight = weights[i];
      p.shard = i < shards.size() ? shards[i] : 0;
      pending.emplace_back(p);
    }
  }

  void outcome(PartId part, NodeId node, int attempt, Outcome outcome, Duration took = 100ms) {
    AttemptEnded e;
    e.part = part;
    e.node = node;
    e.attempt = attempt;
    e.outcome = outcome;
    e.took = took;
    pending.emplace_back(e);
  }

  std::vector<Action>& step(Duration after = 5ms) {
    now += after;
    actions.clear();
    if (pending.empty()) pending.emplace_back(TimerFired{0});
    policy->handle(now, pending, actions);
    pending.clear();
    return actions;
  }

  // Runs timer events for `length` and returns all actions.
  std::vector<Action> run(Duration length, Duration pace = 5ms) {
    std::vector<Action> all;
    for (Time end = now + length; now < end;) {
      step(pace);
      all.insert(all.end(), actions.begin(), actions.end());
    }
    actions = all;
    return all;
  }

  template <typename T>
  std::vector<T> of() const {
    std::vector<T> found;
    for (const Action& action : actions)
      if (auto* a = std::get_if<T>(&action)) found.push_back(*a);
    return found;
  }
  std::vector<SendPart> sends() const { return of<SendPart>(); }
  std::vector<AnswerQuery> answers() const { return of<AnswerQuery>(); }
  std::vector<RefuseQuery> refusals() const { return of<RefuseQuery>(); }
  std::vector<FailQuery> failures() const { return of<FailQuery>(); }

  // Completes every send of the last step successfully after `took`.
  void answer_sends(Duration took = 100ms) {
    for (const SendPart& send : sends()) outcome(send.part, send.node, 0, Outcome::ok, took);
    step(took);
  }

  // Runs one-part queries one after another, so that every node has a latency and a rate.
  void warm_up(int queries, Duration took = 100ms, Duration pause = 5ms) {
    for (int i = 0; i < queries; ++i) {
      query(1, {1.0}, {i % settings.shards});
      step(pause);
      answer_sends(took);
    }
  }
};

}  // namespace pearspar::testing
