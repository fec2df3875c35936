// All states of the leases and votes of a roll-out, up to a bound that takes seconds; larger ones by
// pearspar-measure-rollouts.
#include "simulation/rollout_explore.h"

#include <cppunit/extensions/HelperMacros.h>

namespace pearspar::simulation {

class RolloutExploreTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RolloutExploreTest);
  CPPUNIT_TEST(leasesHoldBesideANewLeader);
  CPPUNIT_TEST(leasesHoldBesideBrokenLinksAndRestarts);
  CPPUNIT_TEST(returnedVersionGetsNothingAfterItsLeases);
  CPPUNIT_TEST(sharesEndWithTheLeader);
  CPPUNIT_TEST(forgottenReservationsAreFound);
  CPPUNIT_TEST(reusedIncarnationIsFound);
  CPPUNIT_TEST(endlessSharesAreFound);
  CPPUNIT_TEST_SUITE_END();

  static RolloutExploreOptions two_edges() {
    RolloutExploreOptions options;
    options.edges = 2;
    options.requests = 2;
    options.ticks = 2;
    options.broken_links = 0;
    options.restarts = 0;
    // Sanitizers take eight times as long.
#ifdef __SANITIZE_ADDRESS__
    options.reports = 1;
#endif
    return options;
  }
  static RolloutExploreOptions with_restarts() {
    RolloutExploreOptions options = two_edges();
    options.reports = 1;
    options.broken_links = 1;
    options.restarts = 1;
    options.leader_changes = 0;
    return options;
  }
  static RolloutExploreOptions with_shares() {
    RolloutExploreOptions options = two_edges();
    options.reports = 0;
    options.leader_changes = 0;
    options.moves_share = true;
    options.verdict = true;
    options.ticks = 4;
    return options;
  }
  static RolloutExplored expect_no_fault(const RolloutExploreOptions& options) {
    RolloutExplored found = explore_rollout(options);
    CPPUNIT_ASSERT_EQUAL(std::string(), found.fault);
    CPPUNIT_ASSERT(found.exhausted);
    return found;
  }
  static void expect_fault(RolloutExploreOptions options, RolloutExploreFault fault) {
    options.fault = fault;
    RolloutExplored found = explore_rollout(options);
    CPPUNIT_ASSERT(!found.fault.empty());
    CPPUNIT_ASSERT(!found.history.empty());
  }

 public:
  void leasesHoldBesideANewLeader() { CPPUNIT_ASSERT(expect_no_fault(two_edges()).most_calls > 0); }

  void leasesHoldBesideBrokenLinksAndRestarts() {
    CPPUNIT_ASSERT(expect_no_fault(with_restarts()).most_calls > 0);
  }

  void returnedVersionGetsNothingAfterItsLeases() {
    RolloutExploreOptions options = with_restarts();
    options.verdict = true;
    options.ticks = 3;  // so that leases end
    CPPUNIT_ASSERT(expect_no_fault(options).most_calls > 0);
  }

  void sharesEndWithTheLeader() { CPPUNIT_ASSERT(expect_no_fault(with_shares()).most_calls > 0); }

  void forgottenReservationsAreFound() {
    RolloutExploreOptions options = two_edges();
    options.requests = 4;
    expect_fault(options, RolloutExploreFault::forgotten_reservations);
  }

  void reusedIncarnationIsFound() {
    RolloutExploreOptions options = with_restarts();
    options.reports = 2;
    expect_fault(options, RolloutExploreFault::reused_incarnation);
  }

  void endlessSharesAreFound() { expect_fault(with_shares(), RolloutExploreFault::endless_shares); }
};
CPPUNIT_TEST_SUITE_REGISTRATION(RolloutExploreTest);

}  // namespace pearspar::simulation
