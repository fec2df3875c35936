// Leases for calls to a new version: the leader's budget, and an edge that spends them.
#include <cppunit/extensions/HelperMacros.h>

#include "protocol/messages.h"
#include "rollout/edge_rollouts.h"
#include "rollout/exposure_budget.h"
#include "rollout/rollout_coordinator.h"

namespace pearspar::rollout {

using catalog::NodeGroup;

class RolloutLeasesTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RolloutLeasesTest);
  CPPUNIT_TEST(edgeWithoutALeaseCallsTheOldVersion);
  CPPUNIT_TEST(leaseEndsByTheEdgesClockFromItsReportOn);
  CPPUNIT_TEST(grantOfAnotherRolloutOrReportCountsNothing);
  CPPUNIT_TEST(retriesAndHedgesNeedNoLeaseSinceTheyGoToTheOldVersion);
  CPPUNIT_TEST(rareRouteIsNotLeftBehind);
  CPPUNIT_TEST(shareEndsWhereTheLeaderIsNotHeard);
  CPPUNIT_TEST(votesAreSentUntilTheLeaderHasThem);
  CPPUNIT_TEST(budgetCountsLeasesUntilTheyAreKnownToBeUnspent);
  CPPUNIT_TEST(budgetOfANewLeaderTakesAllThatWasReservedAsSpent);
  CPPUNIT_TEST(edgeThatIsGoneKeepsItsLeasesCounted);
  CPPUNIT_TEST(nothingIsGrantedBeforeItIsReserved);
  CPPUNIT_TEST(reportsRoundTrip);
  CPPUNIT_TEST_SUITE_END();

  static catalog::Route route(const std::string& prefix = "/g/") {
    catalog::Route route;
    route.host = "h";
    route.path_prefix = prefix;
    return route;
  }
  static catalog::ServiceVersions versions(std::uint32_t permille = 0) {
    return {"s", 5, {"v1"}, "v2", 7, permille};
  }
  static Time at(double seconds) { return Time{Duration(1000 + seconds)}; }
  // An edge that has reported once, and what it was granted.
  struct Reporting {
    EdgeRollouts edge{3};
    std::uint64_t number = 0;
    explicit Reporting(std::uint32_t granted, std::uint32_t permille = 0) {
      edge.set_versions(at(0), versions(permille));
      auto reports = edge.take_reports(at(0.3));
      CPPUNIT_ASSERT_EQUAL(std::size_t{1}, reports.size());
      number = reports[0].number;
      if (granted > 0) edge.on_grant(at(0.31), {7, number, granted, 0, true});
    }
    bool calls_candidate(double seconds, bool first_call = true, const std::string& prefix = "/g/") {
      NodeGroup group = edge.select(at(seconds), "s", route(prefix), first_call);
      edge.call_started(at(seconds), "s", group, first_call);
      return group == NodeGroup::candidate;
    }
  };
  static RolloutReport report(std::uint64_t number, std::uint64_t requests, std::uint64_t spent,
                              std::uint32_t held = 0, std::uint64_t last_grant = 0,
                              std::uint64_t incarnation = 1) {
    return {incarnation, 7, number, requests, spent, held, 0, last_grant, {}};
  }

 public:
  void edgeWithoutALeaseCallsTheOldVersion() {
    Reporting none(0);
    CPPUNIT_ASSERT(!none.calls_candidate(0.4));
    Reporting two(2);
    CPPUNIT_ASSERT(two.calls_candidate(0.4) && two.calls_candidate(0.5) && !two.calls_candidate(0.6));
    EdgeRollouts idle(3);
    CPPUNIT_ASSERT(idle.select(at(0), "s", route(), true) == NodeGroup::current);
    CPPUNIT_ASSERT(idle.due() == Time::max());
  }

  // Also where the edge was frozen, or the grant was long on its way.
  void leaseEndsByTheEdgesClockFromItsReportOn() {
    Reporting tested(9);
    CPPUNIT_ASSERT(tested.calls_candidate(1.29));
    CPPUNIT_ASSERT(!tested.calls_candidate(1.31));
    auto reports = tested.edge.take_reports(at(2));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, reports[0].spent);
    CPPUNIT_ASSERT_EQUAL(0u, reports[0].held);
    tested.edge.on_grant(at(5), {7, reports[0].number, 9, 0, true});
    CPPUNIT_ASSERT(!tested.calls_candidate(5));
  }

  void grantOfAnotherRolloutOrReportCountsNothing() {
    Reporting tested(0);
    tested.edge.on_grant(at(0.4), {8, tested.number, 5, 0, true});
    tested.edge.on_grant(at(0.4), {7, tested.number + 1, 5, 0, true});
    CPPUNIT_ASSERT(!tested.calls_candidate(0.5));
    tested.edge.on_grant(at(0.4), {7, tested.number, 1, 0, true});
    tested.edge.on_grant(at(0.4), {7, tested.number, 1, 0, true});  // twice
    CPPUNIT_ASSERT(tested.calls_candidate(0.5) && !tested.calls_candidate(0.5));
    tested.edge.set_versions(at(0.6), {"s", 6, {"v1"}, "v3", 9, 0});  // the next roll-out
    CPPUNIT_ASSERT(!tested.calls_candidate(0.7));
  }

  void retriesAndHedgesNeedNoLeaseSinceTheyGoToTheOldVersion() {
    Reporting tested(5);
    CPPUNIT_ASSERT(!tested.calls_candidate(0.4, false));
    CPPUNIT_ASSERT(tested.calls_candidate(0.4, true));
  }

  // One request in six is on the rare route; the other one waits for it.
  void rareRouteIsNotLeftBehind() {
    Reporting tested(0);
    int rare = 0, often = 0;
    for (int i = 0; i < 120; ++i) {
      double now = 0.4 + i * 0.02;
      if (i % 10 == 0) {
        auto reports = tested.edge.take_reports(at(now));
        if (!reports.empty()) tested.edge.on_grant(at(now), {7, reports[0].number, 10, 0, true});
      }
      if (i % 6 == 0)
        rare += tested.calls_candidate(now, true, "/k/");
      else
        often += tested.calls_candidate(now, true, "/g/");
    }
    CPPUNIT_ASSERT(rare >= 8);
    CPPUNIT_ASSERT(often >= rare && often <= 3 * rare + 3);
  }

  void shareEndsWhereTheLeaderIsNotHeard() {
    Reporting half(0, 500);
    half.edge.set_leader_heard(at(1));
    int candidates = 0;
    for (int i = 0; i < 100; ++i) candidates += half.calls_candidate(2.9);
    CPPUNIT_ASSERT(candidates >= 48 && candidates <= 52);
    CPPUNIT_ASSERT(!half.calls_candidate(2.9, false));
    for (int i = 0; i < 20; ++i) CPPUNIT_ASSERT(!half.calls_candidate(3.1));
    Reporting whole(0, 1000);
    whole.edge.set_leader_heard(at(1));
    CPPUNIT_ASSERT(whole.calls_candidate(2) && whole.calls_candidate(2, false));
    CPPUNIT_ASSERT(whole.edge.main_group(at(2), "s") == NodeGroup::candidate);
    CPPUNIT_ASSERT(whole.edge.main_group(at(3.1), "s") == NodeGroup::current);
  }

  void votesAreSentUntilTheLeaderHasThem() {
    Reporting tested(0);
    auto ended = [&](double seconds, const char* version, dispatch::VersionOutcome outcome) {
      tested.edge.call_ended(at(seconds), "s", route(), "n1", version, outcome, Duration(0.01));
    };
    ended(0.4, "v1", dispatch::VersionOutcome::success);
    ended(0.4, "v2", dispatch::VersionOutcome::failure);
    ended(0.4, "v2", dispatch::VersionOutcome::refused);
    auto first = tested.edge.take_reports(at(1.4))[0];
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, first.votes.size());
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, first.votes[0].counts.size());
    CPPUNIT_ASSERT_EQUAL(std::string(), first.votes[0].counts[0].node);
    CPPUNIT_ASSERT_EQUAL(std::string("n1"), first.votes[0].counts[1].node);
    CPPUNIT_ASSERT_EQUAL(1u, first.votes[0].counts[1].failed);
    CPPUNIT_ASSERT_EQUAL(1u, first.votes[0].counts[1].refused);
    auto again = tested.edge.take_reports(at(2.4))[0];  // the grant was lost
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, again.votes.size());
    CPPUNIT_ASSERT_EQUAL(1000u, again.votes[0].age_ms);
    tested.edge.on_grant(at(2.5), {7, again.number, 0, 1, false});
    ended(3, "v1", dispatch::VersionOutcome::success);
    auto next = tested.edge.take_reports(at(3.6))[0];
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, next.votes.size());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, next.votes[0].number);
    tested.edge.on_leader_changed();
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, tested.edge.take_reports(at(4.7))[0].votes.size());
    CPPUNIT_ASSERT(tested.edge.take_reports(at(15))[0].votes.empty());  // too old to tell anything
  }

  void budgetCountsLeasesUntilTheyAreKnownToBeUnspent() {
    ExposureBudget budget({0.1, 50}, 0, 0);
    CPPUNIT_ASSERT_EQUAL(40.0, budget.limit(1));
    CPPUNIT_ASSERT_EQUAL(20.0, budget.limit(0.5));
    budget.on_report(1, report(1, 100, 0));
    CPPUNIT_ASSERT_EQUAL(45.0, budget.limit(1));
    CPPUNIT_ASSERT_EQUAL(6u, budget.grant(1, report(1, 100, 0), 6, 10, 100));
    CPPUNIT_ASSERT_EQUAL(4u, budget.grant(1, report(1, 100, 0), 6, 10, 100));
    CPPUNIT_ASSERT_EQUAL(0u, budget.grant(1, report(1, 100, 0), 6, 10, 100));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{10}, budget.exposed());
    budget.on_report(1, report(2, 100, 0));  // on its way before the grants came
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{10}, budget.exposed());
    budget.on_report(1, report(3, 120, 3, 7, 1));  // they have come
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{10}, budget.exposed());
    budget.on_report(1, report(4, 130, 4, 0, 1));  // six have expired
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{4}, budget.exposed());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{130}, budget.requests());
    CPPUNIT_ASSERT_EQUAL(5u, budget.grant(1, report(4, 130, 4, 0, 1), 5, 10, 100));
    budget.on_report(1, report(3, 120, 3, 7, 1));  // late: counts nothing
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{9}, budget.exposed());
    budget.on_report(2, report(5, 140, 6, 0, 1));  // on another link: what was sent on the first is lost
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{6}, budget.exposed());
  }

  void budgetOfANewLeaderTakesAllThatWasReservedAsSpent() {
    ExposureBudget budget({0.1, 50}, 32, 150);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{32}, budget.exposed());
    budget.on_report(1, report(9, 200, 10, 4));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{32}, budget.exposed());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{150},
                         budget.requests());  // its 200 are among them, as far as it knows
    CPPUNIT_ASSERT_EQUAL(0u, budget.grant(1, report(9, 200, 10, 4), 5, 50, 32));
    CPPUNIT_ASSERT_EQUAL(5u, budget.grant(1, report(9, 200, 10, 4), 5, 50, 64));
    budget.on_report(1, report(10, 210, 14, 5, 9));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{37}, budget.exposed());
    budget.on_report(2, report(1, 30, 0, 0, 0, 2));  // an edge that has just started
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{190}, budget.requests());
  }

  void edgeThatIsGoneKeepsItsLeasesCounted() {
    ExposureBudget budget({0.1, 50}, 0, 0);
    budget.on_report(1, report(1, 100, 0));
    CPPUNIT_ASSERT_EQUAL(8u, budget.grant(1, report(1, 100, 0), 8, 10, 100));
    budget.on_report(2, report(1, 0, 0, 0, 0, 2));  // its next run, under another incarnation
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{8}, budget.exposed());
    CPPUNIT_ASSERT_EQUAL(2u, budget.grant(2, report(1, 0, 0, 0, 0, 2), 8, 10, 100));
  }

  void nothingIsGrantedBeforeItIsReserved() {
    RolloutLedger ledger;
    RolloutCoordinator coordinator({0.1, 50});
    coordinator.observe(at(0), ledger);
    ledger.apply(StartRollout{"s", "v2", 10000, {"v1"}}, 1);
    coordinator.observe(at(0), ledger);
    auto granted = [&](double seconds, std::uint64_t number) {
      RolloutReport sent{1, 1, number, 10 * number, 0, 0, 0, number - 1, {}};
      coordinator.on_report(at(seconds), 1, "z", sent, ledger);
      return coordinator.take_grants().at(0).second.calls;
    };
    CPPUNIT_ASSERT_EQUAL(0u, granted(1, 1));
    CPPUNIT_ASSERT_EQUAL(0u, granted(1.6, 2));  // it watches now
    auto commands =
        coordinator.next_commands(at(1.6), ledger, [](const std::string&) { return ServiceStatus{}; });
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, commands.size());
    const auto& reserve = std::get<ReserveCalls>(commands[0]);
    CPPUNIT_ASSERT(reserve.calls > 0 && reserve.calls <= 12);  // as far as the limit goes by now
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1600}, reserve.elapsed_ms);
    ledger.apply(reserve, 2);
    coordinator.observe(at(1.6), ledger);
    CPPUNIT_ASSERT(granted(1.7, 3) > 0);
  }

  void reportsRoundTrip() {
    RolloutReport sent{1, 7, 3, 100, 4, 2, 6, 2, {}};
    sent.votes.push_back({5, 120, {{"h/g/", "", 9, 1, 2, {{3, 7}, {9, 1}}}, {"h/g/", "n1", 1, 1, 0, {}}}});
    auto report = protocol::unpack(protocol::pack(sent));
    CPPUNIT_ASSERT(report && std::get<RolloutReport>(*report) == sent);
    RolloutGrant grant{7, 3, 5, 4, true};
    auto received = protocol::unpack(protocol::pack(grant));
    CPPUNIT_ASSERT(received && std::get<RolloutGrant>(*received) == grant);
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(RolloutLeasesTest);

}  // namespace pearspar::rollout
