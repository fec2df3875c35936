// Tests of the rules that every decision has to obey: one final answer per query, no repeated side effects,
// drains, load on cold nodes, accurate answers and the retry budget.
#include <gtest/gtest.h>

#include <map>

#include "policy_harness.h"

namespace pearspar::testing {
namespace {

// Number of final answers in the last step.
std::size_t final_answers(const PolicyHarness& bench) {
  return bench.answers().size() + bench.refusals().size() + bench.failures().size();
}

// ---- exactly one final answer ----

TEST(ClientResponse, OneAnswerBeforeTheDeadline) {
  PolicyHarness bench;
  bench.list_all();
  bench.query(1, {0.5, 0.5}, {}, 3s);
  Time deadline = bench.now + 3s;
  std::size_t ended = 0;
  Time at{};
  while (bench.now < deadline + 2s) {
    bench.step();
    if (final_answers(bench) > 0) at = bench.now;
    ended += final_answers(bench);
  }
  EXPECT_EQ(ended, 1u);
  EXPECT_LE(at, deadline);
}

TEST(ClientResponse, ArrivalNearItsDeadlineEndsInTheSameBatch) {
  PolicyHarness bench;
  bench.list_all();
  bench.query(1, {1.0}, {}, 6ms);
  bench.step();
  EXPECT_EQ(final_answers(bench), 1u);
  EXPECT_TRUE(bench.sends().empty());
}

TEST(ClientResponse, NoSendAfterTheEnd) {
  PolicyHarness bench;
  bench.list_all();
  bench.query(0, {0.6, 0.4});
  bench.step();
  auto sends = bench.sends();
  bench.outcome(sends[0].part, sends[0].node, 0, Outcome::ok);
  bool ended = false;
  for (int i = 0; i < 900; ++i) {
    bench.step();
    if (ended) {
      EXPECT_TRUE(bench.sends().empty());
    }
    ended = ended || final_answers(bench) > 0;
  }
  EXPECT_TRUE(ended);
  bench.outcome(sends[1].part, sends[1].node, 0, Outcome::error);
  bench.step();
  EXPECT_TRUE(bench.sends().empty());
}

TEST(ClientResponse, NoSendForADisconnectedClient) {
  PolicyHarness bench;
  bench.list_all();
  QueryId id = bench.query(1, {1.0});
  bench.step();
  auto send = bench.sends().at(0);
  bench.pending.emplace_back(ClientDisconnected{id});
  bench.outcome(send.part, send.node, 0, Outcome::refused);
  bench.step();
  EXPECT_TRUE(bench.sends().empty());
  EXPECT_EQ(final_answers(bench), 0u);
}

// A timer may fire slightly early, since its time is rounded on the way. If the module still took it for
// pending, it would set no other, and waiting queries would never end.
TEST(ClientResponse, TimerThatFiresEarlyIsSetAgain) {
  PolicyHarness bench;
  bench.list_all();
  bench.query(1, {1.0}, {}, 3s);
  Time deadline = bench.now + 3s;
  bench.step();
  std::size_t ended = 0;
  for (int i = 0; i < 10000 && ended == 0; ++i) {
    auto timers = bench.of<SetTimer>();
    ASSERT_FALSE(timers.empty());
    bench.pending.emplace_back(TimerFired{timers.back().token});
    bench.step(timers.back().after - Duration(1e-7));
    ended += final_answers(bench);
  }
  EXPECT_EQ(ended, 1u);
  EXPECT_LE(bench.now, deadline);
}

// ---- no repeated side effects ----

Settings with_idempotency(Idempotency idempotency) {
  Settings settings = plain_settings();
  settings.classes[1].idempotency = idempotency;
  return settings;
}

TEST(RetrySafety, NonIdempotentPartThatMayHaveRunFailsItsQuery) {
  for (Outcome outcome : {Outcome::error, Outcome::timeout, Outcome::reset}) {
    PolicyHarness bench(with_idempotency(Idempotency::non_idempotent));
    bench.list_all();
    bench.query(1, {1.0});
    bench.step();
    auto send = bench.sends().at(0);
    bench.outcome(send.part, send.node, 0, outcome);
    bench.run(4s);
    EXPECT_TRUE(bench.sends().empty());
    EXPECT_TRUE(bench.refusals().empty());
    EXPECT_EQ(bench.failures().size(), 1u);
  }
}

TEST(RetrySafety, NonIdempotentPartThatDidNotRunIsRetried) {
  for (Outcome outcome : {Outcome::refused, Outcome::connect_failed}) {
    PolicyHarness bench(with_idempotency(Idempotency::non_idempotent));
    bench.list_all();
    bench.query(1, {1.0});
    bench.step();
    auto send = bench.sends().at(0);
    bench.outcome(send.part, send.node, 0, outcome);
    bench.step();
    EXPECT_EQ(bench.sends().size(), 1u);
  }
}

TEST(RetrySafety, NonIdempotentPartIsNotHedged) {
  PolicyHarness bench(with_idempotency(Idempotency::non_idempotent));
  bench.list_all();
  bench.query(1, {1.0});
  bench.step();
  bench.run(3s);
  EXPECT_TRUE(bench.sends().empty());
}

TEST(RetrySafety, DeduplicatedPartIsRetriedOnlyWithinItsWindow) {
  for (bool late : {false, true}) {
    Settings settings = with_idempotency(Idempotency::deduplicated);
    settings.may_hedge = false;
    PolicyHarness bench(settings);
    bench.list_all();
    bench.query(1, {1.0});
    bench.step();
    auto send = bench.sends().at(0);
    bench.outcome(send.part, send.node, 0, Outcome::error);
    bench.step(late ? 1000ms : 900ms);
    EXPECT_EQ(bench.sends().size(), late ? 0u : 1u);
  }
}

TEST(RetrySafety, OneAttemptAtATimeWithoutHedging) {
  for (bool may_cancel : {false, true}) {
    Settings settings = plain_settings();
    settings.may_hedge = false;
    settings.may_cancel = may_cancel;
    PolicyHarness bench(settings);
    bench.list_all();
    bench.warm_up(40);
    bench.query(1, {1.0});
    bench.step();
    auto send = bench.sends().at(0);
    bench.run(1800ms);
    EXPECT_TRUE(bench.sends().empty());
    EXPECT_EQ(bench.of<CancelAttempt>().size(), may_cancel ? 1u : 0u);
    bench.outcome(send.part, send.node, 0, may_cancel ? Outcome::cancelled : Outcome::timeout);
    bench.step();
    EXPECT_EQ(bench.sends().size(), 1u);
  }
}

// ---- drains ----

TEST(Drains, NoSendToADrainingNode) {
  PolicyHarness bench;
  bench.list_all(2);
  bench.step();
  bench.list({PolicyHarness::member(1, 0, NodeStatus::draining)});
  bench.query(1, std::vector<double>(8, 0.125));
  bench.step();
  EXPECT_EQ(bench.sends().size(), 8u);
  for (const SendPart& send : bench.sends()) EXPECT_EQ(send.node, 2u);
}

TEST(Drains, NoSendEvenIfNoOtherNodeIsLeft) {
  for (NodeStatus status : {NodeStatus::draining, NodeStatus::gone}) {
    PolicyHarness bench;
    bench.list({PolicyHarness::member(1, 0)}, MemberListForm::saved);
    bench.step();
    bench.list({PolicyHarness::member(1, 0, status)});
    bench.step();
    for (int i = 0; i < 300; ++i) {
      bench.query(1, {1.0});
      bench.step(20ms);
      EXPECT_TRUE(bench.sends().empty());
    }
  }
}

TEST(Drains, NodeMissingFromAFullListIsGone) {
  PolicyHarness bench;
  bench.list_all(2);
  bench.step();
  bench.list({PolicyHarness::member(2, 0), PolicyHarness::member(12, 1)}, MemberListForm::full);
  bench.step();
  for (int i = 0; i < 40; ++i) {
    bench.query(1, {0.5, 0.5}, {0, 1});
    bench.step(50ms);
    for (const SendPart& send : bench.sends()) EXPECT_TRUE(send.node == 2 || send.node == 12);
  }
}

TEST(Drains, SubscribesAgainAfterAFailure) {
  Settings settings = plain_settings();
  settings.membership_by_subscription = true;
  PolicyHarness bench(settings);
  bench.list_all();
  bench.step();
  EXPECT_EQ(bench.of<SubscribeMembers>().size(), 1u);
  bench.pending.emplace_back(MembersChanged{MemberListForm::failed, 2, nullptr});
  bench.step();
  bench.run(settings.subscribe_within);
  EXPECT_GE(bench.of<SubscribeMembers>().size(), 1u);
}

// ---- load on cold nodes ----

TEST(ColdNode, GetsAFractionOfTheLoadOfWarmNodes) {
  PolicyHarness bench;
  bench.list_all(2);
  bench.warm_up(60, 50ms);
  Member fresh = PolicyHarness::member(1, 0);
  fresh.start_known = true;
  fresh.started = bench.now;
  bench.list({fresh});
  int to_cold = 0, to_warm = 0;
  Time start = bench.now;
  while (bench.now < start + 3s) {
    bench.query(1, {0.5, 0.5}, {0, 0});
    bench.step(25ms);
    for (const SendPart& send : bench.sends()) {
      ++(send.node == 1 ? to_cold : to_warm);
      // The cold node answers fast, so that only the cold node rule limits its sends.
      bench.outcome(send.part, send.node, 0, Outcome::ok, send.node == 1 ? 10ms : 60ms);
    }
  }
  EXPECT_GT(to_cold, 0);
  EXPECT_GT(to_warm, 100);
  EXPECT_LT(to_cold, to_warm / 4);
}

TEST(ColdNode, PartsWaitWhenEveryReplicaIsCold) {
  PolicyHarness bench;
  std::vector<Member> members;
  for (NodeId node = 1; node <= 2; ++node) {
    members.push_back(PolicyHarness::member(node, 0));
    members.back().start_known = true;
    members.back().started = bench.now;
  }
  bench.list(members, MemberListForm::saved);
  bench.query(1, std::vector<double>(50, 0.02));
  bench.step();
  EXPECT_LE(bench.sends().size(), 6u);
}

TEST(ColdNode, UnreachableNodeThatAnswersAgainIsCold) {
  PolicyHarness bench;
  bench.list_all(2);
  bench.warm_up(60, 50ms);
  for (int i = 0; i < 40; ++i) {  // node 1 is down
    bench.query(1, {1.0});
    bench.step();
    auto send = bench.sends().at(0);
    bench.outcome(send.part, send.node, 0, send.node == 1 ? Outcome::connect_failed : Outcome::ok, 90ms);
    bench.step(100ms);
    for (const SendPart& again : bench.sends()) bench.outcome(again.part, again.node, 1, Outcome::ok, 90ms);
    bench.step(20ms);
  }
  bench.run(3s);
  int to_cold = 0, to_warm = 0;
  Time start = bench.now;
  while (bench.now < start + 4s) {
    bench.query(1, {0.5, 0.5}, {0, 0});
    bench.step(25ms);
    for (const SendPart& send : bench.sends()) {
      ++(send.node == 1 ? to_cold : to_warm);
      bench.outcome(send.part, send.node, 0, Outcome::ok, send.node == 1 ? 10ms : 60ms);
    }
  }
  EXPECT_LT(to_cold, to_warm / 4);
}

// If every broken connection were taken for a restart, a lossy network would make all nodes cold and nearly
// all queries would be refused.
TEST(ColdNode, BrokenConnectionsDoNotMakeNodesCold) {
  PolicyHarness bench;
  bench.list_all(3);
  bench.warm_up(30, 50ms);
  int broken = 0, sent = 0;
  for (int i = 0; i < 300; ++i) {
    bench.query(1, {0.5, 0.5}, {0, 1});
    bench.step(25ms);
    for (const SendPart& send : bench.sends()) {
      bool breaks = ++sent % 5 == 0;
      broken += breaks;
      bench.outcome(send.part, send.node, 0, breaks ? Outcome::reset : Outcome::ok, 25ms);
    }
    bench.step(25ms);
    for (const SendPart& again : bench.sends()) bench.outcome(again.part, again.node, 1, Outcome::ok, 25ms);
    bench.step(5ms);
    EXPECT_TRUE(bench.refusals().empty());
  }
  EXPECT_GT(broken, 50);
  EXPECT_EQ(sent, 600);
}

// ---- answer accuracy ----

TEST(AnswerAccuracy, NoAnswerBelowTheMinimumCoverage) {
  PolicyHarness bench;
  bench.list_all();
  bench.query(0, {0.35, 0.33, 0.32});
  bench.step();
  auto sends = bench.sends();
  bench.outcome(sends[0].part, sends[0].node, 0, Outcome::ok);
  bench.run(4s);
  EXPECT_TRUE(bench.answers().empty());
  EXPECT_EQ(final_answers(bench), 1u);
}

TEST(AnswerAccuracy, PartCountsOnce) {
  PolicyHarness bench;
  bench.list_all(2);
  bench.query(0, {0.3, 0.7});
  bench.step();
  PartId light = bench.next_part - 2;
  for (const SendPart& send : bench.sends())
    if (send.part == light)
      for (int i = 0; i < 3; ++i) bench.outcome(send.part, send.node, 0, Outcome::ok);
  bench.run(4s);
  EXPECT_TRUE(bench.answers().empty());
}

TEST(AnswerAccuracy, PartialAnswerIsNotMarkedWhole) {
  Settings settings = plain_settings();
  settings.classes[0].whole_coverage = 0.9;
  for (bool whole : {false, true}) {
    PolicyHarness bench(settings);
    bench.list_all();
    bench.query(0, {0.5, 0.38, 0.12});
    bench.step();
    for (const SendPart& send : bench.sends())
      if (send.part != bench.next_part - (whole ? 2u : 1u))
        bench.outcome(send.part, send.node, 0, Outcome::ok);
    bench.run(4s);
    ASSERT_EQ(bench.answers().size(), 1u);
    EXPECT_FALSE(bench.answers()[0].whole);
  }
}

TEST(AnswerAccuracy, SecondStepAfterAPartialFirstIsNotWhole) {
  Settings settings = plain_settings();
  settings.classes[0].fetch_parts = 1;
  PolicyHarness bench(settings);
  bench.list_all();
  QueryId id = bench.query(0, {0.5, 0.5});
  bench.step();
  auto sends = bench.sends();
  bench.outcome(sends[0].part, sends[0].node, 0, Outcome::ok);
  while (bench.answers().empty() && bench.now < Time{110s}) bench.step();
  ASSERT_EQ(bench.answers().size(), 1u);
  EXPECT_FALSE(bench.answers()[0].whole);
  bench.parts(id, {1.0});
  bench.step();
  ASSERT_EQ(bench.sends().size(), 1u);
  bench.answer_sends();
  ASSERT_EQ(bench.answers().size(), 1u);
  EXPECT_FALSE(bench.answers()[0].whole);
}

// ---- retry budget ----

TEST(RetryBudget, IsNotExceededInAnyWindow) {
  Settings settings = plain_settings();
  settings.has_retry_budget = true;
  settings.retry_budget_base = 2;
  settings.retry_budget_ratio = 0.1;
  settings.retry_budget_window = 2s;
  PolicyHarness bench(settings);
  bench.list_all();
  std::vector<Time> arrivals, retries;
  std::map<PartId, int> attempts;
  for (int i = 0; i < 400; ++i) {
    if (i % 10 == 0 && i < 200) {
      bench.query(1, {0.5, 0.5}, {0, 1});
      for (int n = 0; n < 3; ++n) arrivals.push_back(bench.now + 10ms);
    }
    bench.step(10ms);
    for (const SendPart& send : bench.sends()) {
      int attempt = attempts[send.part]++;
      if (attempt > 0) retries.push_back(bench.now);
      bench.outcome(send.part, send.node, attempt, Outcome::error, 10ms);
    }
  }
  EXPECT_GT(retries.size(), 3u);
  for (Time end : retries) {
    auto within = [&](Time t) { return t > end - 2s && t <= end; };
    auto sent = std::count_if(retries.begin(), retries.end(), within);
    auto arrived = std::count_if(arrivals.begin(), arrivals.end(), within);
    EXPECT_LE(static_cast<double>(sent), 2 + 0.1 * static_cast<double>(arrived) + 1e-9);
  }
}

}  // namespace
}  // namespace pearspar::testing
