// Long, legal, random sequences of events under widely varied settings, with a checker that shares no code
// with the module and holds all six rules against what it does. It is no model of servers: outcomes, lists
// and departures are drawn at random, not played.
#include <gtest/gtest.h>

#include <map>
#include <random>

#include "harness.h"

namespace pearspar::testing {
namespace {

class Draw {
 public:
  explicit Draw(std::uint64_t seed) : engine_(seed) {}
  double unit() { return static_cast<double>(engine_() >> 11) * 0x1.0p-53; }
  double in(double low, double high) { return low + unit() * (high - low); }
  int whole(int low, int high) { return low + static_cast<int>(unit() * (high - low + 1)); }
  bool chance(double share) { return unit() < share; }

 private:
  std::mt19937_64 engine_;
};

Settings draw_settings(Draw& draw) {
  Settings s;
  s.broker_count = draw.whole(1, 5);
  for (int i = draw.whole(1, 3); i > 0; --i) {
    ClassSettings cls;
    cls.name = "class" + std::to_string(i);
    cls.latency_target = Duration(draw.in(0.1, 2));
    cls.client_timeout = cls.latency_target * draw.in(1, 3);
    cls.worth = draw.in(0.5, 10);
    cls.late_worth = draw.chance(0.5) ? 0 : draw.in(0, 0.8);
    cls.idempotency = static_cast<Idempotency>(draw.whole(0, 2));
    cls.dedup_window = Duration(draw.in(0.05, 2));
    cls.whole_coverage = draw.chance(0.7) ? 1 : draw.in(0.5, 1);
    cls.min_coverage = draw.chance(0.5) ? cls.whole_coverage : cls.whole_coverage * draw.in(0.2, 1);
    cls.partial_worth = 0.9;
    cls.fetch_parts = draw.chance(0.3) ? draw.whole(1, 4) : 0;
    s.classes.push_back(cls);
  }
  s.cells = draw.whole(1, 4);
  s.cells_per_shard = draw.whole(1, s.cells);
  s.shards = s.cells * draw.whole(1, 3);
  s.parts_per_call = draw.chance(0.5) ? 1 : 8;
  s.may_cancel = draw.chance(0.7);
  s.may_probe = draw.chance(0.7);
  s.may_hedge = draw.chance(0.6);
  s.may_send_retry_after = draw.chance(0.5);
  s.max_retry_after = Duration(draw.in(0, 2));
  s.connect_timeout = 250ms;
  s.max_attempts = draw.whole(1, 5);
  s.max_open = 400;
  s.min_batch_interval = Duration(draw.in(0.001, 0.01));
  s.answer_slack = 20ms;
  s.drain_grace = Duration(draw.in(0.01, 1));
  s.membership_by_subscription = draw.chance(0.3);
  s.subscribe_within = 5s;
  s.cold_load_multiple = draw.in(2, 4);
  s.cold_load_window = Duration(draw.in(1, 3));
  s.cold_start_capacity = draw.in(0.1, 0.4);
  s.warm_up_time = Duration(draw.in(3, 15));
  s.has_retry_budget = draw.chance(0.4);
  s.retry_budget_base = draw.whole(0, 4);
  s.retry_budget_ratio = draw.in(0, 0.2);
  s.retry_budget_window = Duration(draw.in(0.5, 3));
  s.report_source = draw.chance(0.5) ? ReportSource::pull : ReportSource::piggyback;
  s.report_fields = {ReportField::utilization, ReportField::recent_ms};
  return s;
}

struct SeenAttempt {
  NodeId node = 0;
  Time sent{};
  bool out = true;
  bool may_have_run = true;
  bool called_off = false;
  Outcome ended = Outcome::not_sent;
};

struct SeenPart {
  QueryId query = 0;
  int step = 1;
  int shard = 0;
  double weight = 0;
  bool in = false;
  std::vector<SeenAttempt> attempts;
};

struct SeenQuery {
  int cls = 0;
  Time deadline{};
  std::vector<PartId> parts;
  int step = 1;
  bool first_whole = false;
  bool ended = false;  // by the module
  bool left = false;   // by its client
};

// Plays the events of one run and checks each action as it comes.
class Sequence {
 public:
  // With `nodes`, a fleet of that many in place of a few, and queries of up to 200 parts.
  explicit Sequence(std::uint64_t seed, int nodes = 0)
      : draw_(seed),
        s_(widened(draw_settings(draw_), nodes)),
        policy_(make_policy(s_, seed)),
        wide_(nodes > 0) {
    for (int i = 0; i < (wide_ ? nodes : draw_.whole(1, 12)); ++i) {
      Member member;
      member.node = static_cast<NodeId>(100 + i);
      member.cell = draw_.whole(0, s_.cells - 1);
      listed_[member.node] = member;
    }
    busy_ = draw_.in(0.02, 0.6);
    trouble_ = draw_.in(0, 0.6);
  }

  void play(int batches) {
    tell_list(MemberListForm::saved);
    for (int i = 0; i < batches; ++i) batch(i < batches * 2 / 3);
    // What is left must end by itself, with nothing but the module's own timers.
    for (int i = 0; i < 4000 && open_queries() > 0; ++i) batch(false, true);
    EXPECT_EQ(open_queries(), 0u) << "a query got no final answer";
  }

  std::size_t sends = 0, further = 0, answers = 0, refusals = 0, failures = 0;
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
    for (const auto& [id, query] : queries_) open += !query.ended && !query.left;
    return open;
  }

  void batch(bool arrivals, bool quiet = false) {
    now_ +=
        std::max(s_.min_batch_interval, Duration(draw_.chance(0.9) ? draw_.in(0, 0.02) : draw_.in(0, 0.3)));
    // The clock does not run past a timer: real hosts fire it in time.
    if (!timers_.empty())
      now_ = std::min(now_, std::max(timers_.begin()->first, last_ + s_.min_batch_interval));
    last_ = now_;
    while (!timers_.empty() && timers_.begin()->first <= now_ + Duration(1e-6)) {
      events_.emplace_back(TimerFired{timers_.begin()->second});
      timers_.erase(timers_.begin());
    }
    for (const auto& [id, query] : queries_) {
      if (!query.ended && !query.left) {
        EXPECT_LE(now_, query.deadline + s_.answer_slack) << "query " << id << " lost";
      }
    }
    if (arrivals && draw_.chance(busy_)) arrive();
    if (!quiet && draw_.chance(0.03)) change_list();
    if (!quiet && draw_.chance(0.02)) depart();
    outcomes();
    fetches();
    if (events_.empty()) return;
    std::vector<Action> actions;
    std::vector<Event> events;
    events.swap(events_);
    policy_->handle(now_, events, actions);
    for (const Action& action : actions) std::visit([this](const auto& a) { check(a); }, action);
  }

  void tell_list(MemberListForm form) {
    auto members = std::make_shared<std::vector<Member>>();
    for (auto& [id, member] : listed_)
      if (form == MemberListForm::delta || member.status != NodeStatus::gone) members->push_back(member);
    for (auto& [id, member] : listed_) {
      bool leaving = member.status != NodeStatus::ready;
      if (leaving && !told_leaving_.count(id)) told_leaving_[id] = now_;
      if (!leaving) told_leaving_.erase(id);
      if (form == MemberListForm::delta || member.status != NodeStatus::gone) told_[id] = member;
    }
    events_.emplace_back(MembersChanged{form, ++version_, std::move(members)});
  }

  // Nodes drain, go, come back young under the same id, or new ones join; sometimes the list empties or
  // repeats.
  void change_list() {
    for (auto& [id, member] : listed_) {
      if (!draw_.chance(0.3)) continue;
      member.status = static_cast<NodeStatus>(draw_.whole(0, 2));
      if (member.status == NodeStatus::ready && draw_.chance(0.7)) {
        member.start_known = true;
        member.started = now_ - Duration(draw_.in(0, 2));
      }
    }
    if (draw_.chance(0.05))
      for (auto& [id, member] : listed_) member.status = NodeStatus::gone;
    if (listed_.size() < 20 && draw_.chance(0.3)) {
      Member member;
      member.node = static_cast<NodeId>(200 + version_);
      member.cell = draw_.whole(0, s_.cells - 1);
      listed_[member.node] = member;
    }
    if (s_.membership_by_subscription && draw_.chance(0.2))
      events_.emplace_back(MembersChanged{MemberListForm::failed, version_, nullptr});
    else
      tell_list(draw_.chance(0.5) ? MemberListForm::delta : MemberListForm::full);
  }

  void arrive() {
    QueryArrived q;
    q.query = next_query_++;
    q.ordinal = q.query;
    q.cls = draw_.whole(0, static_cast<int>(s_.classes.size()) - 1);
    const ClassSettings& cls = s_.classes[static_cast<std::size_t>(q.cls)];
    q.deadline = now_ + cls.client_timeout * draw_.in(draw_.chance(0.1) ? 0 : 0.5, 1);
    q.parts = draw_.chance(0.05) ? 0 : draw_.whole(1, wide_ ? 200 : draw_.chance(0.1) ? 30 : 6);
    taken_.push_back(now_);
    SeenQuery& query = queries_[q.query];
    query.cls = q.cls;
    query.deadline = q.deadline;
    events_.emplace_back(q);
    add_parts(q.query, query, q.parts);
  }

  void add_parts(QueryId id, SeenQuery& query, int count) {
    std::vector<double> weights;
    double sum = 0;
    for (int i = 0; i < count; ++i) weights.push_back(draw_.in(0.1, 1)), sum += weights.back();
    for (int i = 0; i < count; ++i) {
      PartArrived p;
      p.part = next_part_++;
      p.ordinal = id;
      p.shard = draw_.whole(0, s_.shards - 1);
      p.weight = weights[static_cast<std::size_t>(i)] / sum;
      events_.emplace_back(p);
      taken_.push_back(now_);
      query.parts.push_back(p.part);
      SeenPart& part = parts_[p.part];
      part.query = id;
      part.step = query.step;
      part.shard = p.shard;
      part.weight = p.weight;
    }
  }

  void depart() {
    for (auto& [id, query] : queries_) {
      if (!draw_.chance(0.1)) continue;
      if (!query.ended && !query.left) {
        query.left = true;
        events_.emplace_back(ClientDisconnected{id});
      } else if (query.ended && draw_.chance(0.1)) {
        events_.emplace_back(ClientDisconnected{id});  // it may name a query that ended a moment ago
      }
    }
  }

  // Attempts end late, out of order and each in any way; some only when their client's time is over.
  void outcomes() {
    for (auto& [id, part] : parts_) {
      for (std::size_t i = 0; i < part.attempts.size(); ++i) {
        SeenAttempt& attempt = part.attempts[i];
        if (!attempt.out) continue;
        Time over = queries_.at(part.query).deadline;
        if (waits_.count({id, i})) over = std::min(over, attempt.sent + waits_.at({id, i}));
        bool overdue = now_ >= over;
        if (!attempt.called_off && !overdue && !draw_.chance(0.08)) continue;
        Outcome outcome = Outcome::ok;
        if (overdue)
          outcome = Outcome::timeout;
        else if (attempt.called_off && draw_.chance(0.8))
          outcome = Outcome::cancelled;
        else if (draw_.chance(trouble_))
          outcome = std::vector<Outcome>{Outcome::error, Outcome::refused, Outcome::connect_failed,
                                         Outcome::reset}[static_cast<std::size_t>(draw_.whole(0, 3))];
        attempt.out = false;
        attempt.ended = outcome;
        attempt.may_have_run = outcome != Outcome::refused && outcome != Outcome::connect_failed;
        bool open = !queries_.at(part.query).ended && !queries_.at(part.query).left && !part.in;
        if (outcome == Outcome::ok) part.in = true;
        AttemptEnded ended;
        ended.part = id;
        ended.node = attempt.node;
        ended.attempt = static_cast<int>(i);
        ended.outcome = outcome;
        ended.took = now_ - attempt.sent;
        ended.part_open = open;
        if (draw_.chance(0.3)) ended.report = {draw_.in(0, 1), draw_.in(0, 9999)};
        events_.emplace_back(ended);
        if (draw_.chance(0.02)) events_.emplace_back(ended);  // and again, which is to be ignored
      }
    }
    for (auto it = probes_.begin(); it != probes_.end();) {
      if (!draw_.chance(0.2)) {
        ++it;
        continue;
      }
      ProbeEnded ended;
      ended.node = *it;
      ended.outcome = draw_.chance(0.7) ? Outcome::ok : Outcome::timeout;
      events_.emplace_back(ended);
      it = probes_.erase(it);
    }
  }

  void fetches() {
    for (QueryId id : to_fetch_) {
      SeenQuery& query = queries_.at(id);
      if (query.left) continue;
      int in = 0;
      for (PartId part : query.parts) in += parts_.at(part).in;
      query.step = 2;
      add_parts(id, query, std::min(in, s_.classes[static_cast<std::size_t>(query.cls)].fetch_parts));
    }
    to_fetch_.clear();
  }

  bool holds(NodeId node, int shard) const {
    for (int j = 0; j < s_.cells_per_shard; ++j)
      if (listed_.at(node).cell == (shard + j) % s_.cells) return true;
    return false;
  }

  // ---- the checker ----

  void check(const SendPart& a) {
    ++sends;
    trace.append(std::to_string(a.part)).append(">").append(std::to_string(a.node)).append(" ");
    ASSERT_TRUE(parts_.count(a.part)) << "unknown part";
    SeenPart& part = parts_.at(a.part);
    SeenQuery& query = queries_.at(part.query);
    const ClassSettings& cls = s_.classes[static_cast<std::size_t>(query.cls)];
    EXPECT_FALSE(query.ended) << "sent after the end";
    EXPECT_FALSE(query.left) << "sent for a client that left";
    EXPECT_EQ(part.step, query.step);
    EXPECT_FALSE(part.in) << "sent though its answer is in";
    ASSERT_TRUE(told_.count(a.node)) << "node never listed";
    EXPECT_TRUE(holds(a.node, part.shard)) << "node does not hold the shard";
    if (told_leaving_.count(a.node)) {
      EXPECT_LE(now_, told_leaving_.at(a.node) + s_.drain_grace) << "drain grace is over";
    }
    EXPECT_LT(static_cast<int>(part.attempts.size()), s_.max_attempts);
    if (!part.attempts.empty()) {
      ++further;
      for (const SeenAttempt& earlier : part.attempts) {
        if (!s_.may_hedge) {
          EXPECT_FALSE(earlier.out) << "two attempts at once";
        }
        if (cls.idempotency == Idempotency::non_idempotent) {
          EXPECT_FALSE(earlier.out || earlier.may_have_run) << "an unsafe part may run twice";
        }
        if (cls.idempotency == Idempotency::deduplicated && (earlier.out || earlier.may_have_run)) {
          EXPECT_LE(now_, earlier.sent + cls.dedup_window) << "a keyed part outside its window";
        }
      }
      extras_.push_back(now_);
      if (s_.has_retry_budget) {
        auto recent = [&](Time t) { return t > now_ - s_.retry_budget_window; };
        auto sent = std::count_if(extras_.begin(), extras_.end(), recent);
        auto took = std::count_if(taken_.begin(), taken_.end(), recent);
        EXPECT_LE(static_cast<double>(sent),
                  s_.retry_budget_base + s_.retry_budget_ratio * static_cast<double>(took) + 1e-9)
            << "attempt budget";
      }
    }
    if (a.max_wait > Duration{}) waits_[{a.part, part.attempts.size()}] = a.max_wait;
    SeenAttempt attempt;
    attempt.node = a.node;
    attempt.sent = now_;
    part.attempts.push_back(attempt);
    cold(a.node);
  }

  // The part of the cold-node rule that one broker can be held to alone: to a node it knows to be young it
  // sends no more, within a span, than the rule's multiple of the share it may have of its fastest node's own
  // traffic, and a few more that no rule could forbid.
  void cold(NodeId node) {
    auto& times = sent_to_[node];
    times.push_back(now_);
    const Member& member = told_.at(node);
    if (!member.start_known || now_ >= member.started + s_.warm_up_time || told_leaving_.count(node)) return;
    auto recent = [&](Time t) { return t > now_ - s_.cold_load_window && t >= member.started; };
    std::size_t most = 0;
    for (const auto& [other, sent] : sent_to_) {
      most = std::max(most, static_cast<std::size_t>(std::count_if(sent.begin(), sent.end(), [&](Time t) {
                        return t > now_ - std::max(s_.cold_load_window * 4, Duration(20s)) &&
                               (other != node || t < member.started);
                      })));
    }
    double share = s_.cold_start_capacity +
                   (1 - s_.cold_start_capacity) *
                       std::min(1.0, Duration(now_ - member.started).count() / s_.warm_up_time.count());
    EXPECT_LE(static_cast<double>(std::count_if(times.begin(), times.end(), recent)),
              4 + s_.cold_load_multiple * share * static_cast<double>(most) * 4)
        << "a cold node is flooded";
  }

  double weight_in(const SeenQuery& query) const {
    double sum = 0;
    for (PartId id : query.parts)
      if (parts_.at(id).step == query.step && parts_.at(id).in) sum += parts_.at(id).weight;
    return sum;
  }

  SeenQuery* end(QueryId id) {
    trace.append("e").append(std::to_string(id)).append(" ");
    EXPECT_TRUE(queries_.count(id)) << "unknown query";
    SeenQuery& query = queries_.at(id);
    EXPECT_FALSE(query.ended) << "two final answers";
    EXPECT_LE(now_, query.deadline + s_.answer_slack) << "a final answer too late";
    query.ended = true;
    return &query;
  }

  void check(const AnswerQuery& a) {
    ++answers;
    SeenQuery& query = *end(a.query);
    const ClassSettings& cls = s_.classes[static_cast<std::size_t>(query.cls)];
    double weight = weight_in(query);
    double floor = query.step == 1 || cls.min_coverage < cls.whole_coverage ? cls.min_coverage : 1;
    EXPECT_GE(weight, floor - 1e-4) << "an answer under the floor";
    if (a.whole) {
      EXPECT_GE(weight, (query.step == 1 ? cls.whole_coverage : 1) - 1e-4) << "marked whole and is not";
      EXPECT_TRUE(query.step == 1 || query.first_whole) << "whole after a first step that was not";
    }
    if (query.step == 1 && cls.fetch_parts > 0) {
      query.ended = false;
      query.first_whole = a.whole;
      to_fetch_.push_back(a.query);
    }
  }

  void check(const RefuseQuery& a) {
    ++refusals;
    SeenQuery& query = *end(a.query);
    const ClassSettings& cls = s_.classes[static_cast<std::size_t>(query.cls)];
    if (cls.idempotency != Idempotency::non_idempotent) return;
    for (PartId id : query.parts)
      for (const SeenAttempt& attempt : parts_.at(id).attempts)
        EXPECT_FALSE(attempt.out || attempt.may_have_run) << "refused though an unsafe part may have run";
  }

  void check(const FailQuery& a) {
    ++failures;
    end(a.query);
  }

  void check(const CancelAttempt& a) {
    EXPECT_TRUE(s_.may_cancel);
    SeenPart& part = parts_.at(a.part);
    ASSERT_LT(static_cast<std::size_t>(a.attempt), part.attempts.size());
    part.attempts[static_cast<std::size_t>(a.attempt)].called_off = true;
  }

  void check(const ProbeNode& a) {
    EXPECT_TRUE(s_.may_probe);
    EXPECT_TRUE(told_.count(a.node));
    probes_.push_back(a.node);
  }

  void check(const SetTimer& a) { timers_.emplace(now_ + a.after, a.token); }
  void check(const SendToPeer&) { EXPECT_TRUE(s_.may_message_peers); }
  void check(const SubscribeMembers&) { EXPECT_TRUE(s_.membership_by_subscription); }
  void check(const FetchMembers&) { EXPECT_TRUE(s_.membership_by_subscription); }
  void check(const DropIdleConnections&) {}
  void check(const LogLine& a) { EXPECT_FALSE(a.text.empty()); }

  Draw draw_;
  Settings s_;
  std::unique_ptr<Policy> policy_;
  Time now_{50s};
  Time last_{50s};
  double busy_ = 0, trouble_ = 0;
  std::vector<Event> events_;
  std::map<NodeId, Member> listed_;
  std::map<NodeId, Member> told_;  // entries as last told
  std::map<NodeId, Time> told_leaving_;
  std::uint32_t version_ = 0;
  QueryId next_query_ = 1;
  PartId next_part_ = 100000;
  std::map<QueryId, SeenQuery> queries_;
  std::map<PartId, SeenPart> parts_;
  std::map<std::pair<PartId, std::size_t>, Duration> waits_;
  std::vector<QueryId> to_fetch_;
  std::vector<NodeId> probes_;
  std::multimap<Time, std::uint64_t> timers_;
  std::vector<Time> taken_, extras_;
  std::map<NodeId, std::vector<Time>> sent_to_;
  bool wide_ = false;
};

TEST(EventOrder, TheRulesHoldOnRandomSequences) {
  std::size_t sends = 0, further = 0, answers = 0, refusals = 0, failures = 0;
  for (std::uint64_t seed = 1; seed <= 150 && !::testing::Test::HasFailure(); ++seed) {
    SCOPED_TRACE("seed " + std::to_string(seed));
    Sequence run(seed);
    run.play(500);
    sends += run.sends;
    further += run.further;
    answers += run.answers;
    refusals += run.refusals;
    failures += run.failures;
  }
  // The sequences reach what the checker is there for.
  EXPECT_GT(sends, 8000u);
  EXPECT_GT(further, 500u);
  EXPECT_GT(answers, 1000u);
  EXPECT_GT(refusals, 500u);
  EXPECT_GT(failures, 100u);
}

TEST(EventOrder, TheRulesHoldAtSeveralHundredNodesAndTwoHundredParts) {
  std::size_t sends = 0, answers = 0;
  for (std::uint64_t seed = 1; seed <= 6 && !::testing::Test::HasFailure(); ++seed) {
    SCOPED_TRACE("seed " + std::to_string(seed));
    Sequence run(seed, 300);
    run.play(120);
    sends += run.sends;
    answers += run.answers;
  }
  EXPECT_GT(sends, 1000u);
  EXPECT_GT(answers, 5u);
}

TEST(EventOrder, TheSameSequenceGivesTheSameActions) {
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    Sequence first(seed), second(seed);
    first.play(300);
    second.play(300);
    EXPECT_EQ(first.trace, second.trace);
    EXPECT_FALSE(first.trace.empty());
  }
}

}  // namespace
}  // namespace pearspar::testing
