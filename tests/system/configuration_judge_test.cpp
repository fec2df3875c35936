// The judge of real processes that tells from outside which configuration an edge goes by.
#include "processes/configuration_judge.h"

#include <cppunit/extensions/HelperMacros.h>

namespace pearspar {

namespace {

using processes::Change;
using processes::ConfigurationJudge;
using processes::ConfigurationVerdict;
using processes::ProbeOutcome;
using processes::ProbeRoute;

constexpr double old_acknowledged_at = 10;
constexpr double new_acknowledged_at = 20;
constexpr std::uint64_t old_revision = 100;
constexpr std::uint64_t new_revision = 200;  // shares no brief or steady route with the old one

// Sent some time after the newer revision was acknowledged, and handled at once.
ProbeOutcome probe(const ProbeRoute& route, double after_s, std::optional<std::string> service) {
  const double at = new_acknowledged_at + after_s;
  return {"id", "edge", route.path_prefix() + "x", at, at + 0.01, std::move(service)};
}

ProbeRoute dropped_route() { return {ProbeRoute::Family::brief, processes::brief_block_added(old_revision)}; }
ProbeRoute added_route() { return {ProbeRoute::Family::steady, processes::steady_block_added(new_revision)}; }
ProbeRoute moved_route() { return {ProbeRoute::Family::moved, 0}; }

ConfigurationVerdict verdict_on(const ConfigurationJudge& judge, const ProbeOutcome& outcome) {
  return judge.judge({Change{old_revision, old_acknowledged_at - 0.1, old_acknowledged_at},
                      Change{new_revision, new_acknowledged_at - 0.1, new_acknowledged_at}},
                     {outcome});
}

std::size_t late(const ConfigurationJudge& judge, const ProbeOutcome& outcome) {
  return verdict_on(judge, outcome).late.size();
}

}  // namespace

class ConfigurationJudgeTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ConfigurationJudgeTest);
  CPPUNIT_TEST(aDroppedRouteThatStillRunsAfterTheBoundIsLate);
  CPPUNIT_TEST(an404OnAnAddedRouteAfterTheBoundIsLate);
  CPPUNIT_TEST(aRequestRunByTheOldServiceAfterTheBoundIsLate);
  CPPUNIT_TEST(theNewConfigurationIsNeverLate);
  CPPUNIT_TEST(theOldOneIsAllowedWithinTheBoundAndItsLagIsMeasured);
  CPPUNIT_TEST(aChangeUnderWayMayBeInForce);
  CPPUNIT_TEST(anEdgeIsNotJudgedDuringItsTroubleNorUntilItIsInTouch);
  CPPUNIT_TEST(anUnsettledCoreStretchesTheBoundAndDoesNotLiftIt);
  CPPUNIT_TEST(aCoreWithoutMajorityLiftsTheStretchedBound);
  CPPUNIT_TEST(aRouteIsInForceOnlyWhereEveryRevisionThatMayBeHasIt);
  CPPUNIT_TEST_SUITE_END();

 public:
  // A judge that never finds an edge late by a route that is gone.
  void aDroppedRouteThatStillRunsAfterTheBoundIsLate() {
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, late({}, probe(dropped_route(), 3.1, "plain")));
  }

  // A judge that takes every 404 for an answer of the newest configuration.
  void an404OnAnAddedRouteAfterTheBoundIsLate() {
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, late({}, probe(added_route(), 3.1, std::nullopt)));
  }

  // A judge that looks at success alone, not at who ran the request.
  void aRequestRunByTheOldServiceAfterTheBoundIsLate() {
    const auto old_service = moved_route().service_at(old_revision);
    CPPUNIT_ASSERT(old_service != moved_route().service_at(new_revision));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, late({}, probe(moved_route(), 3.1, old_service)));
  }

  // Edges in order that are called late.
  void theNewConfigurationIsNeverLate() {
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, late({}, probe(dropped_route(), 100, std::nullopt)));
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, late({}, probe(added_route(), 100, "plain")));
    CPPUNIT_ASSERT_EQUAL(std::size_t{0},
                         late({}, probe(moved_route(), 100, moved_route().service_at(new_revision))));
  }

  // A bound that is tighter than the rule's, or a lag that goes unreported within it.
  void theOldOneIsAllowedWithinTheBoundAndItsLagIsMeasured() {
    const ConfigurationVerdict verdict = verdict_on({}, probe(dropped_route(), 2.9, "plain"));
    CPPUNIT_ASSERT(verdict.late.empty());
    CPPUNIT_ASSERT_DOUBLES_EQUAL(2.9, verdict.largest_settled.seconds, 1e-6);
  }

  // An edge that applies a change before the operator has the acknowledgement.
  void aChangeUnderWayMayBeInForce() {
    const ConfigurationVerdict verdict = verdict_on({}, probe(added_route(), -0.05, "plain"));
    CPPUNIT_ASSERT(verdict.late.empty());
    CPPUNIT_ASSERT_DOUBLES_EQUAL(0, verdict.largest_settled.seconds, 1e-6);
  }

  // A bound that is applied to an edge that cannot know, or never again after its trouble.
  void anEdgeIsNotJudgedDuringItsTroubleNorUntilItIsInTouch() {
    ConfigurationJudge judge;
    judge.edge_troubled("edge", new_acknowledged_at, new_acknowledged_at + 10);
    judge.edge_troubled("another edge", 0, 1000);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, late(judge, probe(dropped_route(), 5, "plain")));
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, late(judge, probe(dropped_route(), 13.9, "plain")));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, late(judge, probe(dropped_route(), 14.1, "plain")));
  }

  // Trouble on a member that lifts the bound for good, or that leaves it as it is.
  void anUnsettledCoreStretchesTheBoundAndDoesNotLiftIt() {
    ConfigurationJudge judge;
    judge.core_disturbed(new_acknowledged_at + 1);
    judge.core_disturbed(new_acknowledged_at + 14);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, late(judge, probe(dropped_route(), 4.9, "plain")));
    // Stopped for long: the core is settled without that member.
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, late(judge, probe(dropped_route(), 5.1, "plain")));
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, late(judge, probe(dropped_route(), 14.9, "plain")));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, late(judge, probe(dropped_route(), 15.1, "plain")));
  }

  // A stretched bound beside a core that could not tell anybody.
  void aCoreWithoutMajorityLiftsTheStretchedBound() {
    ConfigurationJudge judge;
    judge.core_disturbed(new_acknowledged_at + 2);
    judge.core_disturbed(new_acknowledged_at + 14);
    judge.core_lost(new_acknowledged_at + 2, new_acknowledged_at + 14);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, late(judge, probe(dropped_route(), 17, "plain")));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, late(judge, probe(dropped_route(), 18.1, "plain")));
  }

  // A request that an older or newer configuration lets repeat would be judged as one that none does.
  void aRouteIsInForceOnlyWhereEveryRevisionThatMayBeHasIt() {
    const std::uint64_t added = 480, dropped = 480 + 5 * 48;
    const ProbeRoute route{ProbeRoute::Family::once, processes::once_block_added(added)};
    std::vector<Change> changes{{added - 1, 99.9, 100}, {added, 199.9, 200}};
    CPPUNIT_ASSERT(!is_in_force(route, changes, 150, 150));
    CPPUNIT_ASSERT(!is_in_force(route, changes, 202.9, 203));
    CPPUNIT_ASSERT(is_in_force(route, changes, 203.1, 203.2));
    changes.push_back({dropped, 204, processes::never_acknowledged});
    CPPUNIT_ASSERT(is_in_force(route, changes, 203.1, 203.2));
    CPPUNIT_ASSERT(!is_in_force(route, changes, 203.1, 204.5));
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(ConfigurationJudgeTest);

}  // namespace pearspar
