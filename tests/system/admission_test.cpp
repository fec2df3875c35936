// Who is served in an overload: a service that can do so much work a second, two kinds of request that want
// more.
#include "pederu/admission.h"

#include <cppunit/extensions/HelperMacros.h>

#include <random>

namespace pearspar::pederu {

class AdmissionTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(AdmissionTest);
  CPPUNIT_TEST(whatIsWorthMostForItsWorkIsServed);
  CPPUNIT_TEST(nothingIsGivenUpWhileThereIsRoomOrNarrowingHelps);
  CPPUNIT_TEST(oneStrainedShardGivesUpNothingThatCanDoWithoutIt);
  CPPUNIT_TEST(whatIsOverIsFoundOut);
  CPPUNIT_TEST_SUITE_END();

  static catalog::Route route(const std::string& prefix, int precedence) {
    catalog::Route route;
    route.host = "h";
    route.path_prefix = prefix;
    route.precedence = precedence;
    route.services.push_back({"d", 1});
    return route;
  }

  struct Played {
    double light = 0, heavy = 0;  // shares served
    double worth = 0;             // a second
  };
  // Light ones take 5 ms and are worth 1, heavy ones 20 ms and worth 1: 100 of each a second, and the service
  // can do `capacity` seconds of work a second. It turns away what comes while 30 ms of work wait.
  static Played play(Admission* admission, double capacity, double from = 20, double to = 40) {
    std::mt19937 random(5);
    catalog::Route light = route("/l/", 1), heavy = route("/h/", 1);
    double served[2] = {0, 0}, asked[2] = {0, 0}, backlog = 0;
    for (double at = 0; at < to; at += 0.01) {
      backlog = std::max(0.0, backlog - capacity * 0.01);
      std::vector<int> kinds{0, 1};
      std::shuffle(kinds.begin(), kinds.end(), random);
      for (int kind : kinds) {
        Time now{Duration(100 + at)};
        double ms = kind == 0 ? 5 : 20;
        if (at >= from) asked[kind] += 1;
        if (admission && !admission->admit(now, kind == 0 ? light : heavy, {"d"}, 1, ms)) continue;
        bool fits = backlog < 0.03;
        if (fits) backlog += ms / 1000;
        if (admission) admission->outcome(now, "d", !fits, true);
        if (fits && at >= from) served[kind] += 1;
      }
    }
    return {served[0] / asked[0], served[1] / asked[1], (served[0] + served[1]) / (to - from)};
  }

 public:
  void whatIsWorthMostForItsWorkIsServed() {
    Admission admission;
    Played with = play(&admission, 1.2), without = play(nullptr, 1.2);
    CPPUNIT_ASSERT(without.light < 0.6);
    CPPUNIT_ASSERT(with.light > 0.7);
    CPPUNIT_ASSERT(with.light > with.heavy);
    CPPUNIT_ASSERT(with.worth > without.worth * 1.25);
    CPPUNIT_ASSERT(admission.given_up("d") > 0.2 && admission.given_up("d") < 0.9);
  }

  void nothingIsGivenUpWhileThereIsRoomOrNarrowingHelps() {
    Admission roomy;
    Played calm = play(&roomy, 40);
    CPPUNIT_ASSERT_EQUAL(0.0, roomy.given_up("d"));
    CPPUNIT_ASSERT(calm.light > 0.999 && calm.heavy > 0.999);
    Admission narrowing;
    for (int i = 0; i < 1000; ++i) narrowing.outcome(Time{Duration(100 + i * 0.01)}, "d", true, false);
    CPPUNIT_ASSERT_EQUAL(0.0, narrowing.given_up("d"));
    // Too few outcomes tell nothing.
    Admission few;
    for (int i = 0; i < 60; ++i) few.outcome(Time{Duration(100 + i * 0.2)}, "d", true, true);
    CPPUNIT_ASSERT_EQUAL(0.0, few.given_up("d"));
  }

  void oneStrainedShardGivesUpNothingThatCanDoWithoutIt() {
    Admission admission;
    Time now{Duration(100)};
    for (int i = 0; i < 1000; ++i)
      for (const char* service : {"a", "b", "c", "d"}) {
        now += Duration(0.003);
        admission.outcome(now, service, service[0] == 'a', true);
      }
    CPPUNIT_ASSERT(admission.given_up("a") > 0.3);
    catalog::Route gathers = route("/g/", 0);
    std::vector<std::string> shards{"a", "b", "c", "d"};
    int three = 0, four = 0;
    for (int i = 0; i < 100; ++i) {
      three += admission.admit(now, gathers, shards, 3, 10);
      four += admission.admit(now, gathers, shards, 4, 10);
    }
    CPPUNIT_ASSERT_EQUAL(100, three);
    CPPUNIT_ASSERT(four < 80);
  }

  void whatIsOverIsFoundOut() {
    Admission admission;
    play(&admission, 0.5);
    double level = admission.given_up("d");
    CPPUNIT_ASSERT(level > 0.4);
    catalog::Route heavy = route("/h/", 1);
    Time now{Duration(140)};
    int served = 0;
    for (int i = 0; i < 3000; ++i) {
      now += Duration(0.01);
      if (!admission.admit(now, heavy, {"d"}, 1, 20)) continue;
      admission.outcome(now, "d", false, true);
      ++served;
    }
    CPPUNIT_ASSERT_EQUAL(0.0, admission.given_up("d"));
    CPPUNIT_ASSERT(served > 1500);
    // And without any outcome: after two windows the next one is served.
    Admission silent;
    play(&silent, 0.5);
    CPPUNIT_ASSERT(silent.admit(Time{Duration(200)}, heavy, {"d"}, 1, 20));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(AdmissionTest);

}  // namespace pearspar::pederu
