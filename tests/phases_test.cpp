// Tests of candidates, pruning and time budgets.
#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <random>
#include <set>

#include "phases/budget.h"
#include "phases/prune.h"

namespace pearspar::phases {
namespace {

using namespace std::chrono_literals;

TEST(Candidates, InvalidCandidatesAreSkippedAndCounted) {
  PartCandidates found = read_candidates(
      3,
      R"({"candidates":[{"id":"a","score":1},{"id":"b","score":2,"cost_us":700},{"id":"a","score":9},)"
      R"({"score":1},)"
      R"({"id":"","score":1},{"id":"c","score":"3"},{"id":"d","score":1e999},)"
      R"({"id":"e","score":1,"cost_us":-1},7]})",
      {});
  ASSERT_TRUE(found.readable);
  ASSERT_EQ(found.candidates.size(), 2u);
  EXPECT_EQ(found.candidates[0].id, "a");
  EXPECT_EQ(found.candidates[0].score, 9);  // the better of two under one id
  EXPECT_EQ(found.candidates[1].cost_us, 700);
  EXPECT_EQ(found.left_out, 7u);
  for (const char* text : {"", "7", "{}", R"({"candidates":7})", R"({"candidates":[)"})
    EXPECT_FALSE(read_candidates(0, text, {}).readable) << text;
  EXPECT_TRUE(read_candidates(0, R"({"candidates":[]})", {}).readable);
}

TEST(Candidates, LongListIsCutToTheBest) {
  std::string text = R"({"candidates":[)";
  for (int i = 0; i < 100'000; ++i)
    text += (i == 0 ? "" : ",") + std::string(R"({"id":"m)") + std::to_string(i) + R"(","score":)" +
            std::to_string(i * 7919 % 100'003) + "}";
  PartCandidates found = read_candidates(0, text + "]}", {50, 256});
  ASSERT_EQ(found.candidates.size(), 50u);
  EXPECT_EQ(found.beyond, 99'950u);
  EXPECT_TRUE(std::is_sorted(found.candidates.begin(), found.candidates.end(), ranks_before));
  EXPECT_GE(found.candidates.back().score, 99'900);
}

PartCandidates part(int shard, std::vector<Candidate> candidates) {
  std::sort(candidates.begin(), candidates.end(), ranks_before);
  PartCandidates found;
  found.shard = shard;
  found.candidates = std::move(candidates);
  return found;
}

FetchCapacity ample_capacity() {
  FetchCapacity capacity;
  capacity.time = 1s;
  capacity.part_cost = 10ms;
  capacity.default_cost = 1ms;
  return capacity;
}

TEST(Prune, TiesAreOrderedByShardThenId) {
  PruneRules rules;
  rules.max_candidates = 3;
  auto found =
      std::vector<PartCandidates>{part(2, {{"a", 5, 0}, {"z", 5, 0}}), part(1, {{"y", 5, 0}, {"x", 5, 0}})};
  FetchPlan plan = prune(found, rules, ample_capacity());
  ASSERT_EQ(plan.parts.size(), 2u);
  EXPECT_EQ(plan.parts[0].shard, 1);
  EXPECT_EQ(plan.parts[0].candidates[0].id, "x");
  EXPECT_EQ(plan.parts[0].candidates[1].id, "y");
  EXPECT_EQ(plan.parts[1].candidates[0].id, "a");
  std::reverse(found.begin(), found.end());
  FetchPlan again = prune(found, rules, ample_capacity());
  EXPECT_EQ(again.parts[0].candidates[0].id, "x");
  EXPECT_EQ(again.cut[static_cast<int>(Cause::count)], 1u);
}

TEST(Prune, DuplicateIsFetchedWhereItRanksFirst) {
  FetchPlan plan = prune({part(1, {{"a", 3, 0}}), part(2, {{"a", 4, 0}, {"b", 1, 0}})}, {}, ample_capacity());
  ASSERT_EQ(plan.parts.size(), 1u);
  EXPECT_EQ(plan.parts[0].shard, 2);
  EXPECT_EQ(plan.cut[static_cast<int>(Cause::duplicate)], 1u);
}

TEST(Prune, MinimumPartsOverrideScoreAndCountButNotTime) {
  PruneRules rules;
  rules.max_candidates = 1;
  rules.score_share = 0.9;
  rules.min_parts = 2;
  FetchPlan kept = prune({part(1, {{"a", 10, 0}}), part(2, {{"b", 1, 0}}), part(3, {{"c", 2, 0}})}, rules,
                         ample_capacity());
  EXPECT_TRUE(kept.enough);
  EXPECT_EQ(kept.kept_for_floor, 1u);
  EXPECT_EQ(kept.parts[1].shard, 3);  // the better of the two
  FetchPlan slow = prune({part(1, {{"a", 10, 0}}), part(2, {{"b", 1, 5e6}})}, rules, ample_capacity());
  EXPECT_FALSE(slow.enough);
  EXPECT_TRUE(slow.for_time);
  EXPECT_FALSE(slow.for_replicas);
  FetchCapacity capacity = ample_capacity();
  capacity.unservable = {2};
  FetchPlan gone = prune({part(1, {{"a", 10, 0}}), part(2, {{"b", 1, 0}})}, rules, capacity);
  EXPECT_FALSE(gone.enough);
  EXPECT_TRUE(gone.for_replicas);
}

TEST(Prune, NegativeBestScoreDisablesScoreShare) {
  PruneRules rules;
  rules.score_share = 0.5;
  EXPECT_EQ(prune({part(1, {{"a", -1, 0}, {"b", -9, 0}})}, rules, ample_capacity()).candidates, 2u);
}

TEST(Prune, NoCandidatesGiveAnEmptyPlan) {
  FetchPlan plan = prune({part(1, {})}, {}, ample_capacity());
  EXPECT_FALSE(plan.enough);
  EXPECT_FALSE(plan.for_time);
  EXPECT_TRUE(plan.parts.empty());
}

// Randomized check against the rules, one candidate at a time.
TEST(Prune, ChosenCandidatesAreTheBestAvailable) {
  std::mt19937_64 random(5);
  for (int round = 0; round < 3000; ++round) {
    PruneRules rules;
    rules.max_candidates = 1 + random() % 12;
    rules.max_parts = 1 + random() % 5;
    rules.min_parts = 1 + random() % 3;
    rules.score_share = random() % 2 == 0 ? 0 : 0.4;
    FetchCapacity capacity = ample_capacity();
    capacity.time = net::Duration(static_cast<double>(random() % 40) / 1000);
    std::vector<PartCandidates> found;
    std::size_t all = 0;
    for (int shard = 0; shard < 5; ++shard) {
      if (random() % 5 == 0) capacity.unservable.push_back(shard);
      std::vector<Candidate> candidates;
      std::set<std::string> ids;
      for (std::uint64_t n = random() % 6; n > 0; --n) {
        std::string id = "d" + std::to_string(random() % 20);
        if (ids.insert(id).second)
          candidates.push_back(
              {id, static_cast<double>(random() % 8), static_cast<double>(random() % 3 * 5000)});
      }
      all += candidates.size();
      found.push_back(part(shard, candidates));
    }
    std::shuffle(found.begin(), found.end(), random);
    FetchPlan plan = prune(found, rules, capacity);
    ASSERT_EQ(plan.candidates + plan.total_cut(), all);
    ASSERT_EQ(plan.enough, plan.parts.size() >= rules.min_parts);
    ASSERT_LE(plan.parts.size(), std::max(rules.max_parts, rules.min_parts));
    ASSERT_LE(plan.candidates, rules.max_candidates + plan.kept_for_floor);
    std::set<std::string> chosen;
    std::map<int, const ChosenPart*> parts;
    double worst = 1e9;
    for (const ChosenPart& each : plan.parts) {
      parts[each.shard] = &each;
      net::Duration cost = capacity.part_cost;
      ASSERT_FALSE(std::binary_search(capacity.unservable.begin(), capacity.unservable.end(), each.shard));
      for (const Candidate& candidate : each.candidates) {
        ASSERT_TRUE(chosen.insert(candidate.id).second);
        cost += candidate.cost_us > 0 ? net::Duration(candidate.cost_us / 1e6)
                                      : net::Duration(capacity.default_cost);
        worst = std::min(worst, candidate.score);
      }
      ASSERT_LE(cost, capacity.time);
    }
    // No candidate that ranks before a chosen one was cut although its shard is served and its part, or a new
    // part, had room for it.
    if (plan.kept_for_floor > 0) continue;
    for (const PartCandidates& each : found) {
      if (std::binary_search(capacity.unservable.begin(), capacity.unservable.end(), each.shard)) continue;
      for (const Candidate& candidate : each.candidates) {
        if (chosen.count(candidate.id) != 0 || candidate.score <= worst) continue;
        net::Duration cost = candidate.cost_us > 0 ? net::Duration(candidate.cost_us / 1e6)
                                                   : net::Duration(capacity.default_cost);
        auto open = parts.find(each.shard);
        bool room = open != parts.end()
                        ? open->second->expected + cost <= capacity.time
                        : parts.size() < rules.max_parts && capacity.part_cost + cost <= capacity.time;
        bool elsewhere = std::any_of(found.begin(), found.end(), [&](const PartCandidates& other) {
          return other.shard != each.shard &&
                 std::any_of(other.candidates.begin(), other.candidates.end(), [&](const Candidate& c) {
                   return c.id == candidate.id && (c.score > candidate.score ||
                                                   (c.score == candidate.score && other.shard < each.shard));
                 });
        });
        ASSERT_TRUE(!room || elsewhere) << candidate.id << " of " << each.shard;
      }
    }
  }
}

// ---- budgets ----

FirstPhase first_of(net::Time started, int parts, int in, double weight) {
  FirstPhase first;
  first.started = started;
  first.deadline = started + 1s;
  first.parts = parts;
  first.received = in;
  first.weight = weight;
  first.min_weight = 0.4;
  first.second_phase_parts = 4;
  return first;
}

TEST(Budget, InitialShareAppliesUntilEnoughSamples) {
  Budget budget({});
  net::Time now{100s};
  EXPECT_EQ(budget.needed(now, 4, 1s), net::Duration(0.5));
  for (int i = 0; i < 100; ++i) budget.record(now, 100ms, true);
  net::Duration needed = budget.needed(now, 1, 1s);
  EXPECT_GT(needed, net::Duration(200ms - 1ms));  // minimum for a second phase: 1 - max_first_share
  EXPECT_LT(needed, net::Duration(250ms));
}

// A phase ends with its last part, so more parts need a higher quantile.
TEST(Budget, MorePartsNeedMoreTime) {
  Budget budget({});
  std::mt19937_64 random(3);
  std::exponential_distribution<double> draw(10);
  net::Time now{100s};
  for (int i = 0; i < 5000; ++i) budget.record(now, net::Duration(0.2 + draw(random)), true);
  net::Duration whole = 10s;
  BudgetRules rules;
  rules.max_first_share = 0.999;
  Budget wide(rules);
  for (int i = 0; i < 5000; ++i) wide.record(now, net::Duration(0.2 + draw(random)), true);
  net::Duration one = wide.needed(now, 1, whole), sixteen = wide.needed(now, 16, whole);
  EXPECT_GT(sixteen, one + 150ms);
  // The share of phases of sixteen parts that finish in time matches `confidence`.
  int done = 0;
  for (int i = 0; i < 2000; ++i) {
    double last = 0;
    for (int part = 0; part < 16; ++part) last = std::max(last, 0.2 + draw(random));
    if (last <= (sixteen - rules.slack).count()) ++done;
  }
  EXPECT_NEAR(done / 2000.0, rules.confidence, 0.03);
}

TEST(Budget, OldSamplesDecay) {
  Budget budget({});
  net::Time now{100s};
  for (int i = 0; i < 200; ++i) budget.record(now, 600ms, true);
  net::Duration slow = budget.needed(now, 1, 1s);
  for (int i = 0; i < 200; ++i) budget.record(now += 1s, 50ms, true);
  EXPECT_LT(budget.needed(now, 1, 1s), slow);
  EXPECT_LT(budget.samples(now + 600s), 1);
  EXPECT_EQ(budget.needed(now + 600s, 1, 1s), net::Duration(0.5));
}

TEST(Budget, CompletePhaseProceedsAndMissingMinimumFailsAtTheCut) {
  Budget budget({});
  net::Time start{100s};
  EXPECT_EQ(budget.advise(start, first_of(start, 4, 0, 0)).step, Step::wait);
  EXPECT_EQ(budget.advise(start, first_of(start, 4, 0, 0)).until, start + 500ms);
  EXPECT_EQ(budget.advise(start + 100ms, first_of(start, 4, 4, 1)).step, Step::go_on);
  EXPECT_EQ(budget.advise(start + 499ms, first_of(start, 4, 2, 0.5)).step, Step::wait);
  EXPECT_EQ(budget.advise(start + 500ms, first_of(start, 4, 2, 0.5)).step, Step::go_on);
  EXPECT_EQ(budget.advise(start + 500ms, first_of(start, 4, 1, 0.2)).step, Step::fail);
  EXPECT_EQ(budget.advise(start + 100ms, first_of(start, 4, 4, 0.2)).step, Step::fail);
}

// A delayed event loop leaves too little time for a second phase.
TEST(Budget, TooLittleTimeForSecondPhaseIsRefused) {
  Budget budget({});
  net::Time start{100s};
  EXPECT_EQ(budget.advise(start + 850ms, first_of(start, 4, 2, 0.9)).step, Step::refuse);
  EXPECT_EQ(budget.advise(start + 850ms, first_of(start, 4, 4, 1)).step, Step::go_on);
  EXPECT_EQ(budget.advise(start + 990ms, first_of(start, 4, 4, 1)).step, Step::refuse);
}

TEST(Budget, WaitingEndsAfterTwiceTheTypicalDuration) {
  Budget budget({});
  net::Time start{100s};
  FirstPhase first = first_of(start, 4, 3, 0.8);
  first.typical_part_time = 60ms;
  Advice advice = budget.advise(start + 70ms, first);
  EXPECT_EQ(advice.step, Step::wait);
  EXPECT_EQ(advice.until, start + 120ms);
  EXPECT_EQ(budget.advise(start + 120ms, first).step, Step::go_on);
  first.weight = 0.3;  // below the minimum weight
  EXPECT_EQ(budget.advise(start + 120ms, first).step, Step::wait);
}

}  // namespace
}  // namespace pearspar::phases
