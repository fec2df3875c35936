// The judge of configuration lags by itself, and that a cluster tells it what it needs.
#include "simulation/lag_judge.h"

#include <cppunit/extensions/HelperMacros.h>

#include <string>
#include <vector>

#include "simulation/cluster.h"

namespace pearspar {

namespace {

using simulation::Cluster;
using simulation::ClusterOptions;
using simulation::LagJudge;

constexpr double bound_s = 3;
constexpr double in_touch_s = 4;
constexpr double time_tolerance_s = 1e-9;

struct JudgedEdge {
  std::vector<std::string> broken;
  LagJudge judge{bound_s, in_touch_s,
                 [this](const std::string& rule, const std::string&) { broken.push_back(rule); }};
  // Goes by revision 1 and is in touch from 4 s on.
  JudgedEdge() {
    judge.edge_started(0, "edge");
    judge.acknowledged(0, 1);
    judge.edge_routes_by(0.1, "edge", 1);
  }
  void advance(double from, double to) {
    constexpr double step_s = 0.05;
    for (double at = from; at <= to; at += step_s) judge.advance(at);
  }
};

}  // namespace

class LagJudgeTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(LagJudgeTest);
  CPPUNIT_TEST(lagOfAnEdgeInTouchIsMeasured);
  CPPUNIT_TEST(edgeThatStaysLateBreaksTheRuleOnce);
  CPPUNIT_TEST(newerConfigurationCountsForTheOlder);
  CPPUNIT_TEST(lagBeginsWithTheFirstAcknowledgement);
  CPPUNIT_TEST(edgeInTroubleIsNotJudged);
  CPPUNIT_TEST(edgeLateInTouchAfterTroubleIsJudgedByItsWholeLag);
  CPPUNIT_TEST(noEdgeIsJudgedWhileTheCoreIsUnsettled);
  CPPUNIT_TEST(edgeWithoutAConfigurationIsNotJudged);
  CPPUNIT_TEST(clusterSeesAnEdgeThatStandsStill);
  CPPUNIT_TEST(clusterExcusesAnEdgeThatIsCutOff);
  CPPUNIT_TEST_SUITE_END();

 public:
  // A lag that is within the bound went by unmeasured.
  void lagOfAnEdgeInTouchIsMeasured() {
    JudgedEdge one;
    one.judge.acknowledged(10, 2);
    one.judge.edge_routes_by(11.5, "edge", 2);
    one.judge.advance(20);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(1.5, one.judge.largest().seconds, time_tolerance_s);
    CPPUNIT_ASSERT_EQUAL(std::string("edge"), one.judge.largest().edge);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, one.judge.largest().revision);
    CPPUNIT_ASSERT(one.broken.empty());
  }

  // An edge that never takes a configuration was not seen, since it says nothing.
  void edgeThatStaysLateBreaksTheRuleOnce() {
    JudgedEdge one;
    one.judge.acknowledged(10, 2);
    one.advance(10, 12.95);
    CPPUNIT_ASSERT(one.broken.empty());
    one.advance(13.05, 20);
    CPPUNIT_ASSERT(one.broken == std::vector<std::string>{"CONFIG"});
  }

  // An edge that skipped a revision counted as late for ever.
  void newerConfigurationCountsForTheOlder() {
    JudgedEdge one;
    one.judge.acknowledged(10, 2);
    one.judge.acknowledged(11, 4);
    one.judge.edge_routes_by(12, "edge", 4);
    one.advance(12, 30);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(2, one.judge.largest().seconds, time_tolerance_s);
    CPPUNIT_ASSERT(one.broken.empty());
  }

  // Answers that come in another order than their revisions, or twice, made a lag look shorter.
  void lagBeginsWithTheFirstAcknowledgement() {
    JudgedEdge one;
    one.judge.acknowledged(10, 4);
    one.judge.acknowledged(12, 2);
    one.judge.acknowledged(12.5, 4);
    one.judge.edge_routes_by(12.8, "edge", 4);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(2.8, one.judge.largest().seconds, time_tolerance_s);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{4}, one.judge.largest().revision);
  }

  // A dark edge broke the rule though nothing can reach it.
  void edgeInTroubleIsNotJudged() {
    JudgedEdge one;
    one.judge.acknowledged(10, 2);
    one.judge.edge_disturbed("edge", 30);
    one.advance(10, 33.9);
    one.judge.edge_routes_by(33.95, "edge", 2);
    one.advance(34, 60);
    CPPUNIT_ASSERT(one.broken.empty());
    CPPUNIT_ASSERT_EQUAL(std::string(), one.judge.largest().edge);
  }

  // The bound began anew with each trouble: it runs from the acknowledgement.
  void edgeLateInTouchAfterTroubleIsJudgedByItsWholeLag() {
    JudgedEdge one;
    one.judge.acknowledged(10, 2);
    one.judge.edge_disturbed("edge", 30);
    one.judge.advance(34.1);
    CPPUNIT_ASSERT(one.broken == std::vector<std::string>{"CONFIG"});
    CPPUNIT_ASSERT_DOUBLES_EQUAL(24.1, one.judge.largest().seconds, time_tolerance_s);
  }

  // An election counted as lateness of edges.
  void noEdgeIsJudgedWhileTheCoreIsUnsettled() {
    JudgedEdge one;
    one.judge.acknowledged(10, 2);
    one.judge.core_unsettled(15);
    one.advance(10, 18.9);
    CPPUNIT_ASSERT(one.broken.empty());
    one.judge.advance(19);
    CPPUNIT_ASSERT(one.broken == std::vector<std::string>{"CONFIG"});
  }

  // A fresh process, which serves nothing yet, was late by the age of the system.
  void edgeWithoutAConfigurationIsNotJudged() {
    JudgedEdge one;
    one.judge.edge_ended(20, "edge");
    one.advance(20, 30);
    one.judge.edge_started(30, "edge");
    one.advance(30, 60);
    one.judge.edge_routes_by(60, "edge", 1);
    CPPUNIT_ASSERT(one.broken.empty());
  }

  // The judge of a cluster was told nothing of an edge that hears nothing, for a reason that is no trouble.
  void clusterSeesAnEdgeThatStandsStill() {
    ClusterOptions options;
    options.config_within_s = bound_s;
    Cluster cluster(options);
    cluster.run(3);
    cluster.change(0);
    cluster.run(5);
    cluster.stop_responding(3, 2 * bound_s);
    cluster.change(0);
    cluster.run(bound_s - 1);
    CPPUNIT_ASSERT(cluster.checker().faults().empty());
    cluster.run(2);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, cluster.checker().faults().size());
    const std::string& fault = cluster.checker().faults().front();
    CPPUNIT_ASSERT_MESSAGE(fault, fault.starts_with("CONFIG: "));
    CPPUNIT_ASSERT_MESSAGE(fault, fault.find("edge3 goes by ") != fault.npos);
    CPPUNIT_ASSERT_EQUAL(std::string("edge3"), cluster.lag_judge().largest().edge);
    CPPUNIT_ASSERT(cluster.lag_judge().largest().seconds > bound_s);
  }

  // A cut that lasts counted as trouble only at its begin.
  void clusterExcusesAnEdgeThatIsCutOff() {
    ClusterOptions options;
    options.config_within_s = bound_s;
    Cluster cluster(options);
    cluster.run(3);
    cluster.change(0);
    cluster.run(5);
    cluster.cut_off(cluster.edge_address(3), true, true);
    cluster.run(1);
    cluster.change(0);
    cluster.run(12);
    cluster.heal(cluster.edge_address(3));
    cluster.run(12);
    for (const std::string& fault : cluster.checker().faults()) CPPUNIT_FAIL(fault);
    CPPUNIT_ASSERT(cluster.lag_judge().largest().seconds < 1);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LagJudgeTest);

}  // namespace pearspar
