// Hundreds of brokers in one process: the engine and the module as they are, over nodes that queue, warm up,
// drain, die and fall silent. What must hold whatever happens, and what the module's guards are worth.
#include <gtest/gtest.h>

#include <algorithm>
#include <string>
#include <tuple>

#include "fleet/days.h"

namespace pearspar::fleet {
namespace {

constexpr int brokers = 300, nodes = 60;

class FleetDays : public ::testing::TestWithParam<std::string> {};

// On each day every query has one honest answer in its client's time, drains are kept, no node that has just
// started is pushed over by the sum of all brokers, and no part is tried too often.
TEST_P(FleetDays, KeepTheRulesOverAllBrokers) {
  DayResult day = play(GetParam(), usual_shape(brokers, nodes, 0.5), 1);
  EXPECT_EQ(day.audit.answered_twice, 0u);
  EXPECT_EQ(day.audit.answered_late, 0u);
  EXPECT_EQ(day.audit.dishonest, 0u);
  EXPECT_EQ(day.audit.after_grace, 0u);
  EXPECT_EQ(day.audit.pushed_over, 0u);
  EXPECT_EQ(day.audit.too_many_tries, 0u);
  std::uint64_t asked = 0;
  for (const std::vector<Tally>* stretch : {&day.before, &day.during, &day.after})
    for (const Tally& tally : *stretch) {
      asked += tally.asked;
      EXPECT_EQ(tally.asked, tally.whole + tally.partial + tally.late + tally.lost);
    }
  EXPECT_GT(asked, 700u);
  EXPECT_GT(day.served(), 0.6);
}

std::vector<std::string> names() {
  std::vector<std::string> all;
  for (const Day& day : days()) all.emplace_back(day.name);
  return all;
}

INSTANTIATE_TEST_SUITE_P(All, FleetDays, ::testing::ValuesIn(names()), [](const auto& test) {
  std::string name = test.param;
  std::replace(name.begin(), name.end(), '-', '_');
  return name;
});

// A burst of half as much again, of which each broker sees less than one query in two seconds: the cells
// whose nodes are all of the slower kind are asked for more than they can do. Wide queries do without their
// light parts there, and the narrow ones, which need every part, go on.
TEST(Fleet, ABurstDoesNotJamTheWeakestCells) {
  Shape shape = usual_shape(brokers, nodes, 0.55);
  ASSERT_LT(shape.rate * 1.5 / brokers, 0.5);
  for (std::uint64_t seed : {1, 2}) {
    DayResult day = play("burst", shape, seed);
    EXPECT_GT(day.during[1].served(), 0.92) << "seed " << seed;
    EXPECT_GT(day.after[1].served(), 0.95) << "seed " << seed;
    EXPECT_GT(day.during[0].served(), 0.9) << "seed " << seed;
  }
}

// What a fifth of the nodes took with them when they fell silent is made good within their absence, and all
// is well at once when they are back.
TEST(Fleet, AFifthOfTheNodesSilentWithALateListCostsTheirAbsenceOnly) {
  DayResult day = play("silent-fifth", usual_shape(brokers, nodes, 0.5), 2);
  EXPECT_GT(day.during[0].served(), 0.85);
  EXPECT_GT(day.after[0].served(), 0.93);
  EXPECT_GT(day.after[1].served(), 0.95);
}

// All brokers come up in the same instant with a list in which a third of the nodes is gone and their
// successors are not: the first second is served from those that are left, and no successor is pushed over
// when it is told.
TEST(Fleet, TheFirstSecondOfBrokersThatKnowOnlyAnOldList) {
  Shape shape = usual_shape(brokers, nodes, 0.35);
  Fleet fleet(shape, 3);
  fleet.set_list_delay(2);
  fleet.run_until(1004);
  for (int i = 0; i < nodes; i += 3) {
    fleet.add(i % shape.settings.cells, fleet.zone_of(i));
    fleet.remove(i);
  }
  for (int i = 0; i < brokers; ++i) fleet.restart_broker(i, 0.1);
  fleet.run_until(1004.2);
  fleet.mark();
  fleet.run_until(1005.2);
  fleet.mark();
  fleet.run_until(1012);
  EXPECT_GT(fleet.tally(1)[0].asked, 5u);
  EXPECT_GT(fleet.tally(1)[0].served(), 0.7);
  EXPECT_GT(fleet.tally(1)[1].served(), 0.6);
  EXPECT_EQ(fleet.audit().sum(), 0u);
}

TEST(Fleet, OneSeedOneResult) {
  auto sums = [](std::uint64_t seed) {
    DayResult day = play("herd", usual_shape(60, 30, 0.5), seed);
    return std::tuple(day.sends, day.refused_unsent, day.served());
  };
  EXPECT_EQ(sums(5), sums(5));
  EXPECT_NE(sums(5), sums(6));
}

// The account itself: what it is to find is found, where the rule is far stricter than what the brokers plan
// by can meet, each sending its one part.
TEST(Fleet, AColdNodeThatGetsTooMuchIsCounted) {
  Shape shape = usual_shape(brokers, 30, 0.5);
  shape.settings.cold_start_capacity = 0.01;
  shape.settings.cold_load_multiple = 0.5;
  Fleet fleet(shape, 1);
  fleet.run_until(1003);
  for (int i = 0; i < 30; ++i) {
    if (i % shape.settings.cells >= 5) continue;
    fleet.kill(i);
    fleet.start(i);
  }
  fleet.run_until(1010);
  EXPECT_GT(fleet.audit().pushed_over, 0u);
}

}  // namespace
}  // namespace pearspar::fleet
