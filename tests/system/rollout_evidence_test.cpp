// What votes prove of a new version, and the steps that the leader takes by it.
#include <cppunit/extensions/HelperMacros.h>

#include "rollout/evidence.h"
#include "rollout/rollout_coordinator.h"

namespace pearspar::rollout {

class RolloutEvidenceTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RolloutEvidenceTest);
  CPPUNIT_TEST(latencyBucketsHoldWhatTheirFloorsSay);
  CPPUNIT_TEST(fewBadCallsProveLittleAndManyProveMuch);
  CPPUNIT_TEST(slowCallsAreBadBesideTheOldVersion);
  CPPUNIT_TEST(oneNodeConvictsNobody);
  CPPUNIT_TEST(oneEdgeConvictsNobody);
  CPPUNIT_TEST(oldVersionThatFailsItselfProvesNothing);
  CPPUNIT_TEST(oneRouteConvicts);
  CPPUNIT_TEST(lateFaultConvictsAfterManyGoodCalls);
  CPPUNIT_TEST(stepsFollowTheVotes);
  CPPUNIT_TEST(deliveryWaitsForTheEdges);
  CPPUNIT_TEST(termEndsInDoubt);
  CPPUNIT_TEST_SUITE_END();

  static Time at(double seconds) { return Time{Duration(1000 + seconds)}; }
  static constexpr LatencyBucket normal = 8;
  static constexpr LatencyBucket slow = 14;
  static CallCounts counts(const std::string& node, std::uint32_t good, std::uint32_t failed,
                           LatencyBucket bucket = normal, const std::string& route = "h/g/") {
    CallCounts counts{route, node, good + failed, failed, 0, {}};
    if (good > 0) counts.latencies.emplace_back(bucket, good);
    return counts;
  }
  // Votes of as many edges in a second, each with calls to the old version and to one node of the new one.
  static void vote(Evidence& evidence, double seconds, int edges, std::uint32_t good, std::uint32_t failed,
                   int nodes = 4, const std::string& route = "h/g/", std::uint32_t old_failed = 0) {
    for (int i = 0; i < edges; ++i) {
      Vote vote;
      vote.counts = {counts("", 20 - old_failed, old_failed, normal, route),
                     counts("n" + std::to_string(i % nodes), good, failed, normal, route)};
      evidence.add(at(seconds), static_cast<Evidence::Watcher>(i), i % 2 == 0 ? "a" : "b", vote);
    }
  }
  static bool convicts(const Evidence& evidence, double seconds) {
    Findings findings;
    return evidence.convicts(at(seconds), findings);
  }

 public:
  void latencyBucketsHoldWhatTheirFloorsSay() {
    CPPUNIT_ASSERT_EQUAL(0u, bucket_of(0.3));
    for (LatencyBucket bucket = 1; bucket < last_bucket; ++bucket) {
      CPPUNIT_ASSERT_EQUAL(bucket, bucket_of(bucket_floor_ms(bucket) * 1.001));
      CPPUNIT_ASSERT_EQUAL(bucket, bucket_of(bucket_floor_ms(bucket + 1) * 0.999));
    }
    CPPUNIT_ASSERT_EQUAL(last_bucket, bucket_of(1e12));
  }

  void fewBadCallsProveLittleAndManyProveMuch() {
    CPPUNIT_ASSERT(evidence_of(20, 0, 0.05) < -4.6 && evidence_of(20, 0, 0.05) > -4.8);
    CPPUNIT_ASSERT(evidence_of(5, 5, 0.05) > 6.9);
    CPPUNIT_ASSERT(evidence_of(10, 1, 0.05) < 0);
    Evidence good(Duration(0.5)), bad(Duration(0.5));
    vote(good, 1, 6, 10, 0);
    vote(bad, 1, 6, 7, 3);
    CPPUNIT_ASSERT(!convicts(good, 1.1) && convicts(bad, 1.1));
    Findings findings = good.findings(at(0));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{60}, findings.calls);
    CPPUNIT_ASSERT_EQUAL(std::size_t{6}, findings.good_votes);
    CPPUNIT_ASSERT(findings.zones_agree && findings.weakest < -4.6);
    CPPUNIT_ASSERT(bad.findings(at(0)).weakest > 0);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, good.findings(at(3)).calls);
  }

  void slowCallsAreBadBesideTheOldVersion() {
    Evidence evidence(Duration(0.5));
    for (int i = 0; i < 6; ++i) {
      Vote vote;
      vote.counts = {counts("", 20, 0), counts("n" + std::to_string(i), 5, 0, slow)};
      evidence.add(at(1), static_cast<Evidence::Watcher>(i), "a", vote);
    }
    CPPUNIT_ASSERT(convicts(evidence, 1.1));
    Evidence alike(Duration(0.5));
    for (int i = 0; i < 6; ++i) {
      Vote vote;
      vote.counts = {counts("", 20, 0, slow), counts("n" + std::to_string(i), 5, 0, slow)};
      alike.add(at(1), static_cast<Evidence::Watcher>(i), "a", vote);
    }
    CPPUNIT_ASSERT(!convicts(alike, 1.1));
    CPPUNIT_ASSERT(alike.findings(at(0)).weakest < -4.6);
  }

  // A grey server of a good version, or one that crashed.
  void oneNodeConvictsNobody() {
    Evidence evidence(Duration(0.5));
    for (int i = 0; i < 8; ++i) {
      Vote vote;
      vote.counts = {counts("", 20, 0), counts("n0", 0, 6), counts("n" + std::to_string(1 + i % 4), 3, 0)};
      evidence.add(at(1), static_cast<Evidence::Watcher>(i), "a", vote);
    }
    CPPUNIT_ASSERT(!convicts(evidence, 1.1));
  }

  // A bad link, or an edge that is ill.
  void oneEdgeConvictsNobody() {
    Evidence evidence(Duration(0.5));
    for (int i = 0; i < 8; ++i) {
      Vote vote;
      vote.counts = {counts("", 20, 0)};
      for (int node = 0; node < 4; ++node)
        vote.counts.push_back(counts("n" + std::to_string(node), i == 0 ? 0 : 1, i == 0 ? 6 : 0));
      evidence.add(at(1), static_cast<Evidence::Watcher>(i), "a", vote);
    }
    CPPUNIT_ASSERT(!convicts(evidence, 1.1));
  }

  // The whole shard is dark.
  void oldVersionThatFailsItselfProvesNothing() {
    Evidence evidence(Duration(0.5));
    vote(evidence, 1, 6, 10, 0);
    vote(evidence, 5, 6, 0, 10, 4, "h/g/", 18);
    CPPUNIT_ASSERT(!convicts(evidence, 5.1));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{60}, evidence.findings(at(0)).calls);
  }

  void oneRouteConvicts() {
    Evidence evidence(Duration(0.5));
    vote(evidence, 1, 8, 40, 0);
    vote(evidence, 1, 8, 3, 2, 4, "h/k/");
    Findings findings;
    CPPUNIT_ASSERT(evidence.convicts(at(1.1), findings));
    CPPUNIT_ASSERT_EQUAL(std::string("h/k/"), findings.worst_route);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{16}, findings.bad);
  }

  void lateFaultConvictsAfterManyGoodCalls() {
    Evidence evidence(Duration(0.5));
    for (int second = 1; second <= 8; ++second) vote(evidence, second, 8, 20, 0);
    CPPUNIT_ASSERT(!convicts(evidence, 8.1));
    vote(evidence, 9, 8, 2, 2);
    CPPUNIT_ASSERT(convicts(evidence, 9.1));
  }

  // A leader with its ledger, and edges that report each quarter of a second.
  struct Leader {
    RolloutLedger ledger;
    RolloutCoordinator coordinator{{0.1, 50}};
    ServiceStatus status{true, false, 4};
    std::uint64_t index = 1;
    std::uint64_t report = 0;
    std::uint32_t old_calls_open = 0;
    double now = 0;
    Leader() {
      coordinator.observe(at(0), ledger);
      ledger.apply(StartRollout{"s", "v2", 15000, {"v1"}}, index);
      coordinator.observe(at(0), ledger);
    }
    // Runs until then. Each edge sees as many good and failed calls of the new version in each report.
    void run(double until, std::uint32_t good, std::uint32_t failed) {
      for (; now < until; now += 0.25) {
        ++report;
        for (std::uint64_t edge = 0; edge < 4; ++edge) {
          RolloutReport sent{edge, 1, report, 20 * report, 0, 0, old_calls_open, 0, {}};
          sent.votes.push_back(
              {report, 0, {counts("", 20, 0), counts("n" + std::to_string(edge), good, failed)}});
          coordinator.on_report(at(now), edge, edge % 2 == 0 ? "a" : "b", sent, ledger);
        }
        for (const RolloutCommand& command :
             coordinator.next_commands(at(now), ledger, [&](const std::string&) { return status; })) {
          ledger.apply(command, ++index);
          coordinator.observe(at(now), ledger);
        }
      }
    }
    const Rollout& rollout() const { return *ledger.find("s")->rollout; }
  };

  void stepsFollowTheVotes() {
    Leader leader;
    leader.run(5, 5, 0);
    CPPUNIT_ASSERT_EQUAL(0u, leader.rollout().share_permille);  // observed for 0.35 of the term
    leader.run(5.6, 5, 0);
    CPPUNIT_ASSERT_EQUAL(250u, leader.rollout().share_permille);
    leader.run(6.4, 5, 0);
    CPPUNIT_ASSERT_EQUAL(500u, leader.rollout().share_permille);
    leader.run(8, 5, 0);
    CPPUNIT_ASSERT_EQUAL(1000u, leader.rollout().share_permille);
    leader.run(9, 2, 3);  // turns bad
    CPPUNIT_ASSERT(leader.rollout().state == RolloutState::returned);
    CPPUNIT_ASSERT(leader.rollout().reason.starts_with("convicted: "));
    CPPUNIT_ASSERT(leader.ledger.find("s")->allowed == std::vector<std::string>{"v1"});
  }

  void deliveryWaitsForTheEdges() {
    Leader leader;
    leader.old_calls_open = 2;
    leader.run(9, 5, 0);
    leader.status.acknowledged = true;
    leader.run(11, 5, 0);
    CPPUNIT_ASSERT(leader.rollout().state == RolloutState::in_transit);
    leader.old_calls_open = 0;
    leader.status.edges = 5;  // one has not reported
    leader.run(12, 5, 0);
    CPPUNIT_ASSERT(leader.rollout().state == RolloutState::in_transit);
    leader.status.edges = 4;
    leader.run(12.6, 5, 0);
    CPPUNIT_ASSERT(leader.rollout().state == RolloutState::delivered);
    CPPUNIT_ASSERT(leader.ledger.find("s")->allowed == std::vector<std::string>{"v2"});
  }

  void termEndsInDoubt() {
    Leader leader;
    leader.run(13.4, 0, 0);
    CPPUNIT_ASSERT(leader.rollout().state == RolloutState::in_transit);
    leader.run(13.8, 0, 0);
    CPPUNIT_ASSERT(leader.rollout().state == RolloutState::returned);
    CPPUNIT_ASSERT(leader.rollout().reason.starts_with("no verdict before the end of the term"));
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(RolloutEvidenceTest);

}  // namespace pearspar::rollout
