// Checks every action of the decision module against its rules, on long random but valid sequences of events
// under varied settings. The checker shares no code with the module. Nodes are not simulated: outcomes,
// member lists and disconnects are random.
#include <gtest/gtest.h>

#include <map>
#include <random>

#include "policy_harness.h"

namespace pearspar::testing {
namespace {

class Random {
 public:
  explicit Random(std::uint64_t seed) : engine_(seed) {}
  double unit() { return static_cast<double>(engine_() >> 11) * 0x1.0p-53; }
  double between(double low, double high) { return low + unit() * (high - low); }
  int integer(int low, int high) { return low + static_cast<int>(unit() * (high - low + 1)); }
  bool chance(double share) { return unit() < share; }

 private:
  std::mt19937_64 engine_;
};

Settings random_settings(Random& random) {
  Settings s;
  s.broker_count = random.integer(1, 5);
  for (int i = random.integer(1, 3); i > 0; --i) {
    ClassSettings cls;
    cls.name = "class" + std::to_string(i);
    cls.latency_target = Duration(random.between(0.1, 2));
    cls.client_timeout = cls.latency_target * random.between(1, 3);
    cls.worth = random.between(0.5, 10);
    cls.late_worth = random.chance(0.5) ? 0 : random.between(0, 0.8);
    cls.idempotency = static_cast<Idempotency>(random.integer(0, 2));
    cls.dedup_window = Duration(random.between(0.05, 2));
    cls.whole_coverage = random.chance(0.7) ? 1 : random.between(0.5, 1);
    cls.min_coverage = random.chance(0.5) ? cls.whole_coverage : cls.whole_coverage * random.between(0.2, 1);
    cls.partial_worth = 0.9;
    cls.fetch_parts = random.chance(0.3) ? random.integer(1, 4) : 0;
    s.classes.push_back(cls);
  }
  s.cells = random.integer(1, 4);
  s.cells_per_shard = random.integer(1, s.cells);
  s.shards = s.cells * random.integer(1, 3);
  s.parts_per_call = random.chance(0.5) ? 1 : 8;
  s.may_cancel = random.chance(0.7);
  s.may_probe = random.chance(0.7);
  s.may_hedge = random.chance(0.6);
  s.may_send_retry_after = random.chance(0.5);
  s.max_retry_after = Duration(random.between(0, 2));
  s.connect_timeout = 250ms;
  s.max_attempts = random.integer(1, 5);
  s.max_open = 400;
  s.min_batch_interval = Duration(random.between(0.001, 0.01));
  s.answer_slack = 20ms;
  s.drain_grace = Duration(random.between(0.01, 1));
  s.membership_by_subscription = random.chance(0.3);
  s.subscribe_within = 5s;
  s.cold_load_multiple = random.between(2, 4);
  s.cold_load_window = Duration(random.between(1, 3));
  s.cold_start_capacity = random.between(0.1, 0.4);
  s.warm_up_time = Duration(random.between(3, 15));
  s.has_retry_budget = random.chance(0.4);
  s.retry_budget_base = random.integer(0, 4);
  s.retry_budget_ratio = random.between(0, 0.2);
  s.retry_budget_window = Duration(random.between(0.5, 3));
  s.report_source = random.chance(0.5) ? ReportSource::pull : ReportSource::piggyback;
  s.report_fields = {ReportField::utilization, ReportField::recent_ms};
  return s;
}

struct TrackedAttempt {
  NodeId node = 0;
  Time sent{};
  bool in_flight = true;
  bool may_have_run = true;
  bool cancel_requested = false;
  Outcome ended = Outcome::not_sent;
};

struct TrackedPart {
  QueryId query = 0;
  int step = 1;
  int shard = 0;
  double weight = 0;
  bool answered = false;
  std::vector<TrackedAttempt> attempts;
};

struct TrackedQuery {
  int cls = 0;
  Time deadline{};
  std::vector<PartId> parts;
  int step = 1;
  bool first_whole = false;
  bool ended = false;         // by the module
  bool disconnected = false;  // its client has left
};

// Generates the events of one run and checks each action.
class RandomSequence {
 public:
  // If `nodes` is positive, uses that many nodes and queries of up to 200 parts.
  explicit RandomSequence(std::uint64_t seed, int nodes = 0)
      : random_(seed),
        settings_(widened(random_settings(random_), nodes)),
        policy_(make_policy(settings_, seed)),
        many_nodes_(nodes > 0) {
    for (int i = 0; i < (many_nodes_ ? nodes : random_.integer(1, 12)); ++i) {
      Member member;
      member.node = static_cast<NodeId>(100 + i);
      member.cell = random_.integer(0, settings_.cells - 1);
      listed_[member.node] = member;
    }
    arrival_probability_ = random_.between(0.02, 0.6);
    failure_probability_ = random_.between(0, 0.6);
  }

  void run_batches(int batches) {
    add_member_list(MemberListForm::saved);
    for (int i = 0; i < batches; ++i) run_batch(i < batches * 2 / 3);
    // Open queries must end without further events, by the module's timers.
    for (int i = 0; i < 4000 && open_queries() > 0; ++i) run_batch(false, true);
    EXPECT_EQ(open_queries(), 0u) << "a query got no final answer";
  }

  std::size_t sends = 0, retries = 0, answers = 0, refusals = 0, failures = 0;
  std::string trace;

 private:
  static Settings widened(Settings s, int nodes) {
    if (nodes == 0) return s;
    s.cells = std::max(1, nodes / 4);
    s.cells_per_shard = std::min(s.cells_per_shard, 3);
    s.shards = s.cells * 2;
    return s;
  }

  std::size_t open_queries() const {
    std::size_t open = 0;
    for (const auto& [id, query] : queries_) open += !query.ended && !query.disconnected;
    return open;
  }

  void run_batch(bool arrivals, bool timers_only = false) {
    now_ += std::max(settings_.min_batch_interval,
                     Duration(random_.chance(0.9) ? random_.between(0, 0.02) : random_.between(0, 0.3)));
    // Timers fire in time.
    if (!timers_.empty())
      now_ = std::min(now_, std::max(timers_.begin()->first, last_batch_at_ + settings_.min_batch_interval));
    last_batch_at_ = now_;
    while (!timers_.empty() && timers_.begin()->first <= now_ + Duration(1e-6)) {
      events_.emplace_back(TimerFired{timers_.begin()->second});
      timers_.erase(timers_.begin());
    }
    for (const auto& [id, query] : queries_) {
      if (!query.ended && !query.disconnected) {
        EXPECT_LE(now_, query.deadline + settings_.answer_slack) << "query " << id << " has no final answer";
      }
    }
    if (arrivals && random_.chance(arrival_probability_)) add_query();
    if (!timers_only && random_.chance(0.03)) change_members();
    if (!timers_only && random_.chance(0.02)) disconnect_clients();
    end_attempts();
    add_second_steps();
    if (events_.empty()) return;
    std::vector<Action> actions;
    std::vector<Event> events;
    events.swap(events_);
    policy_->handle(now_, events, actions);
    for (const Action& action : actions) std::visit([this](const auto& a) { check(a); }, action);
  }

  void add_member_list(MemberListForm form) {
    auto members = std::make_shared<std::vector<Member>>();
    for (auto& [id, member] : listed_)
      if (form == MemberListForm::delta || member.status != NodeStatus::gone) members->push_back(member);
    for (auto& [id, member] : listed_) {
      bool leaving = member.status != NodeStatus::ready;
      if (leaving && !leaving_since_.count(id)) leaving_since_[id] = now_;
      if (!leaving) leaving_since_.erase(id);
      if (form == MemberListForm::delta || member.status != NodeStatus::gone) told_members_[id] = member;
    }
    events_.emplace_back(MembersChanged{form, ++version_, std::move(members)});
  }

  // Nodes drain, disappear, restart under the same id or join; sometimes the list is empty or repeated.
  void change_members() {
    for (auto& [id, member] : listed_) {
      if (!random_.chance(0.3)) continue;
      member.status = static_cast<NodeStatus>(random_.integer(0, 2));
      if (member.status == NodeStatus::ready && random_.chance(0.7)) {
        member.start_known = true;
        member.started = now_ - Duration(random_.between(0, 2));
      }
    }
    if (random_.chance(0.05))
      for (auto& [id, member] : listed_) member.status = NodeStatus::gone;
    if (listed_.size() < 20 && random_.chance(0.3)) {
      Member member;
      member.node = static_cast<NodeId>(200 + version_);
      member.cell = random_.integer(0, settings_.cells - 1);
      listed_[member.node] = member;
    }
    if (settings_.membership_by_subscription && random_.chance(0.2))
      events_.emplace_back(MembersChanged{MemberListForm::failed, version_, nullptr});
    else
      add_member_list(random_.chance(0.5) ? MemberListForm::delta : MemberListForm::full);
  }

  void add_query() {
    QueryArrived q;
    q.query = next_query_++;
    q.ordinal = q.query;
    q.cls = random_.integer(0, static_cast<int>(settings_.classes.size()) - 1);
    const ClassSettings& cls = settings_.classes[static_cast<std::size_t>(q.cls)];
    q.deadline = now_ + cls.client_timeout * random_.between(random_.chance(0.1) ? 0 : 0.5, 1);
    q.parts = random_.chance(0.05) ? 0 : random_.integer(1, many_nodes_ ? 200 : random_.chance(0.1) ? 30 : 6);
    arrival_times_.push_back(now_);
    TrackedQuery& query = queries_[q.query];
    query.cls = q.cls;
    query.deadline = q.deadline;
    events_.emplace_back(q);
    add_parts(q.query, query, q.parts);
  }

  void add_parts(QueryId id, TrackedQuery& query, int count) {
    std::vector<double> weights;
    double sum = 0;
    for (int i = 0; i < count; ++i) weights.push_back(random_.between(0.1, 1)), sum += weights.back();
    for (int i = 0; i < count; ++i) {
      PartArrived p;
      p.part = next_part_++;
      p.ordinal = id;
      p.shard = random_.integer(0, settings_.shards - 1);
      p.weight = weights[static_cast<std::size_t>(i)] / sum;
      events_.emplace_back(p);
      arrival_times_.push_back(now_);
      query.parts.push_back(p.part);
      TrackedPart& part = parts_[p.part];
      part.query = id;
      part.step = query.step;
      part.shard = p.shard;
      part.weight = p.weight;
    }
  }

  void disconnect_clients() {
    for (auto& [id, query] : queries_) {
      if (!random_.chance(0.1)) continue;
      if (!query.ended && !query.disconnected) {
        query.disconnected = true;
        events_.emplace_back(ClientDisconnected{id});
      } else if (query.ended && random_.chance(0.1)) {
        events_.emplace_back(ClientDisconnected{id});  // for a query that has just ended
      }
    }
  }

  // Attempts end late, out of order and with any outcome, some only at their deadline.
  void end_attempts() {
    for (auto& [id, part] : parts_) {
      for (std::size_t i = 0; i < part.attempts.size(); ++i) {
        TrackedAttempt& attempt = part.attempts[i];
        if (!attempt.in_flight) continue;
        Time ends_by = queries_.at(part.query).deadline;
        if (max_waits_.count({id, i})) ends_by = std::min(ends_by, attempt.sent + max_waits_.at({id, i}));
        bool overdue = now_ >= ends_by;
        if (!attempt.cancel_requested && !overdue && !random_.chance(0.08)) continue;
        Outcome outcome = Outcome::ok;
        if (overdue)
          outcome = Outcome::timeout;
        else if (attempt.cancel_requested && random_.chance(0.8))
          outcome = Outcome::cancelled;
        else if (random_.chance(failure_probability_))
          outcome = std::vector<Outcome>{Outcome::error, Outcome::refused, Outcome::connect_failed,
                                         Outcome::reset}[static_cast<std::size_t>(random_.integer(0, 3))];
        attempt.in_flight = false;
        attempt.ended = outcome;
        attempt.may_have_run = outcome != Outcome::refused && outcome != Outcome::connect_failed;
        bool open = !queries_.at(part.query).ended && !queries_.at(part.query).disconnected && !part.answered;
        if (outcome == Outcome::ok) part.answered = true;
        AttemptEnded ended;
        ended.part = id;
        ended.node = attempt.node;
        ended.attempt = static_cast<int>(i);
        ended.outcome = outcome;
        ended.took = now_ - attempt.sent;
        ended.part_open = open;
        if (random_.chance(0.3)) ended.report = {random_.between(0, 1), random_.between(0, 9999)};
        events_.emplace_back(ended);
        if (random_.chance(0.02)) events_.emplace_back(ended);  // a duplicate, to be ignored
      }
    }
    for (auto it = probes_.begin(); it != probes_.end();) {
      if (!random_.chance(0.2)) {
        ++it;
        continue;
      }
      ProbeEnded ended;
      ended.node = *it;
      ended.outcome = random_.chance(0.7) ? Outcome::ok : Outcome::timeout;
      events_.emplace_back(ended);
      it = probes_.erase(it);
    }
  }

  void add_second_steps() {
    for (QueryId id : second_steps_) {
      TrackedQuery& query = queries_.at(id);
      if (query.disconnected) continue;
      int answered = 0;
      for (PartId part : query.parts) answered += parts_.at(part).answered;
      query.step = 2;
      add_parts(id, query,
                std::min(answered, settings_.classes[static_cast<std::size_t>(query.cls)].fetch_parts));
    }
    second_steps_.clear();
  }

  bool holds_shard(NodeId node, int shard) const {
    for (int j = 0; j < settings_.cells_per_shard; ++j)
      if (listed_.at(node).cell == (shard + j) % settings_.cells) return true;
    return false;
  }

  // ---- checks ----

  void check(const SendPart& a) {
    ++sends;
    trace.append(std::to_string(a.part)).append(">").append(std::to_string(a.node)).append(" ");
    ASSERT_TRUE(parts_.count(a.part)) << "unknown part";
    TrackedPart& part = parts_.at(a.part);
    TrackedQuery& query = queries_.at(part.query);
    const ClassSettings& cls = settings_.classes[static_cast<std::size_t>(query.cls)];
    EXPECT_FALSE(query.ended) << "sent after the end";
    EXPECT_FALSE(query.disconnected) << "sent for a client that left";
    EXPECT_EQ(part.step, query.step);
    EXPECT_FALSE(part.answered) << "sent after its answer";
    ASSERT_TRUE(told_members_.count(a.node)) << "node never listed";
    EXPECT_TRUE(holds_shard(a.node, part.shard)) << "node does not hold the shard";
    if (leaving_since_.count(a.node)) {
      EXPECT_LE(now_, leaving_since_.at(a.node) + settings_.drain_grace) << "drain grace is over";
    }
    EXPECT_LT(static_cast<int>(part.attempts.size()), settings_.max_attempts);
    if (!part.attempts.empty()) {
      ++retries;
      for (const TrackedAttempt& earlier : part.attempts) {
        if (!settings_.may_hedge) {
          EXPECT_FALSE(earlier.in_flight) << "two attempts at once";
        }
        if (cls.idempotency == Idempotency::non_idempotent) {
          EXPECT_FALSE(earlier.in_flight || earlier.may_have_run) << "a non-idempotent part may run twice";
        }
        if (cls.idempotency == Idempotency::deduplicated && (earlier.in_flight || earlier.may_have_run)) {
          EXPECT_LE(now_, earlier.sent + cls.dedup_window) << "a deduplicated part outside its window";
        }
      }
      retry_times_.push_back(now_);
      if (settings_.has_retry_budget) {
        auto recent = [&](Time t) { return t > now_ - settings_.retry_budget_window; };
        auto sent = std::count_if(retry_times_.begin(), retry_times_.end(), recent);
        auto arrivals = std::count_if(arrival_times_.begin(), arrival_times_.end(), recent);
        EXPECT_LE(
            static_cast<double>(sent),
            settings_.retry_budget_base + settings_.retry_budget_ratio * static_cast<double>(arrivals) + 1e-9)
            << "attempt budget";
      }
    }
    if (a.max_wait > Duration{}) max_waits_[{a.part, part.attempts.size()}] = a.max_wait;
    TrackedAttempt attempt;
    attempt.node = a.node;
    attempt.sent = now_;
    part.attempts.push_back(attempt);
    check_cold_node(a.node);
  }

  // The part of the cold node rule that applies to a single broker: in a cold load window it may send a cold
  // node a multiple of that node's share of the sends to the busiest node, and a few more.
  void check_cold_node(NodeId node) {
    auto& times = sends_by_node_[node];
    times.push_back(now_);
    const Member& member = told_members_.at(node);
    if (!member.start_known || now_ >= member.started + settings_.warm_up_time || leaving_since_.count(node))
      return;
    auto recent = [&](Time t) { return t > now_ - settings_.cold_load_window && t >= member.started; };
    std::size_t most = 0;
    for (const auto& [other, sent] : sends_by_node_) {
      most = std::max(most, static_cast<std::size_t>(std::count_if(sent.begin(), sent.end(), [&](Time t) {
                        return t > now_ - std::max(settings_.cold_load_window * 4, Duration(20s)) &&
                               (other != node || t < member.started);
                      })));
    }
    double share = settings_.cold_start_capacity + (1 - settings_.cold_start_capacity) *
                                                       std::min(1.0, Duration(now_ - member.started).count() /
                                                                         settings_.warm_up_time.count());
    EXPECT_LE(static_cast<double>(std::count_if(times.begin(), times.end(), recent)),
              4 + settings_.cold_load_multiple * share * static_cast<double>(most) * 4)
        << "too many sends to a cold node";
  }

  double answered_weight(const TrackedQuery& query) const {
    double sum = 0;
    for (PartId id : query.parts)
      if (parts_.at(id).step == query.step && parts_.at(id).answered) sum += parts_.at(id).weight;
    return sum;
  }

  TrackedQuery* end_query(QueryId id) {
    trace.append("e").append(std::to_string(id)).append(" ");
    EXPECT_TRUE(queries_.count(id)) << "unknown query";
    TrackedQuery& query = queries_.at(id);
    EXPECT_FALSE(query.ended) << "two final answers";
    EXPECT_LE(now_, query.deadline + settings_.answer_slack) << "a final answer too late";
    query.ended = true;
    return &query;
  }

  void check(const AnswerQuery& a) {
    ++answers;
    TrackedQuery& query = *end_query(a.query);
    const ClassSettings& cls = settings_.classes[static_cast<std::size_t>(query.cls)];
    double weight = answered_weight(query);
    double floor = query.step == 1 || cls.min_coverage < cls.whole_coverage ? cls.min_coverage : 1;
    EXPECT_GE(weight, floor - 1e-4) << "an answer under the floor";
    if (a.whole) {
      EXPECT_GE(weight, (query.step == 1 ? cls.whole_coverage : 1) - 1e-4) << "marked whole and is not";
      EXPECT_TRUE(query.step == 1 || query.first_whole) << "whole after a first step that was not";
    }
    if (query.step == 1 && cls.fetch_parts > 0) {
      query.ended = false;
      query.first_whole = a.whole;
      second_steps_.push_back(a.query);
    }
  }

  void check(const RefuseQuery& a) {
    ++refusals;
    TrackedQuery& query = *end_query(a.query);
    const ClassSettings& cls = settings_.classes[static_cast<std::size_t>(query.cls)];
    if (cls.idempotency != Idempotency::non_idempotent) return;
    for (PartId id : query.parts)
      for (const TrackedAttempt& attempt : parts_.at(id).attempts)
        EXPECT_FALSE(attempt.in_flight || attempt.may_have_run)
            << "refused though a non-idempotent part may have run";
  }

  void check(const FailQuery& a) {
    ++failures;
    end_query(a.query);
  }

  void check(const CancelAttempt& a) {
    EXPECT_TRUE(settings_.may_cancel);
    TrackedPart& part = parts_.at(a.part);
    ASSERT_LT(static_cast<std::size_t>(a.attempt), part.attempts.size());
    part.attempts[static_cast<std::size_t>(a.attempt)].cancel_requested = true;
  }

  void check(const ProbeNode& a) {
    EXPECT_TRUE(settings_.may_probe);
    EXPECT_TRUE(told_members_.count(a.node));
    probes_.push_back(a.node);
  }

  void check(const SetTimer& a) { timers_.emplace(now_ + a.after, a.token); }
  void check(const SendToPeer&) { EXPECT_TRUE(settings_.may_message_peers); }
  void check(const SubscribeMembers&) { EXPECT_TRUE(settings_.membership_by_subscription); }
  void check(const FetchMembers&) { EXPECT_TRUE(settings_.membership_by_subscription); }
  void check(const DropIdleConnections&) {}
  void check(const LogLine& a) { EXPECT_FALSE(a.text.empty()); }

  Random random_;
  Settings settings_;
  std::unique_ptr<Policy> policy_;
  Time now_{50s};
  Time last_batch_at_{50s};
  double arrival_probability_ = 0, failure_probability_ = 0;
  std::vector<Event> events_;
  std::map<NodeId, Member> listed_;
  std::map<NodeId, Member> told_members_;  // as in the last event
  std::map<NodeId, Time> leaving_since_;
  std::uint32_t version_ = 0;
  QueryId next_query_ = 1;
  PartId next_part_ = 100000;
  std::map<QueryId, TrackedQuery> queries_;
  std::map<PartId, TrackedPart> parts_;
  std::map<std::pair<PartId, std::size_t>, Duration> max_waits_;
  std::vector<QueryId> second_steps_;
  std::vector<NodeId> probes_;
  std::multimap<Time, std::uint64_t> timers_;
  std::vector<Time> arrival_times_, retry_times_;
  std::map<NodeId, std::vector<Time>> sends_by_node_;
  bool many_nodes_ = false;
};

TEST(RandomSequences, ObeyTheRules) {
  std::size_t sends = 0, retries = 0, answers = 0, refusals = 0, failures = 0;
  for (std::uint64_t seed = 1; seed <= 150 && !::testing::Test::HasFailure(); ++seed) {
    SCOPED_TRACE("seed " + std::to_string(seed));
    RandomSequence run(seed);
    run.run_batches(500);
    sends += run.sends;
    retries += run.retries;
    answers += run.answers;
    refusals += run.refusals;
    failures += run.failures;
  }
  // The sequences have to exercise the checks.
  EXPECT_GT(sends, 8000u);
  EXPECT_GT(retries, 500u);
  EXPECT_GT(answers, 1000u);
  EXPECT_GT(refusals, 500u);
  EXPECT_GT(failures, 100u);
}

TEST(RandomSequences, ObeyTheRulesWithManyNodesAndParts) {
  std::size_t sends = 0, answers = 0;
  for (std::uint64_t seed = 1; seed <= 6 && !::testing::Test::HasFailure(); ++seed) {
    SCOPED_TRACE("seed " + std::to_string(seed));
    RandomSequence run(seed, 300);
    run.run_batches(120);
    sends += run.sends;
    answers += run.answers;
  }
  EXPECT_GT(sends, 1000u);
  EXPECT_GT(answers, 5u);
}

TEST(RandomSequences, SameSequenceGivesSameActions) {
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    RandomSequence first(seed), second(seed);
    first.run_batches(300);
    second.run_batches(300);
    EXPECT_EQ(first.trace, second.trace);
    EXPECT_FALSE(first.trace.empty());
  }
}

}  // namespace
}  // namespace pearspar::testing
