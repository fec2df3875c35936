// Load shedding in a simulated overload: a service of limited capacity and two routes that together request
// more.
#include "dispatch/load_shedder.h"

#include <cppunit/extensions/HelperMacros.h>

#include <random>

namespace pearspar::dispatch {

class LoadShedderTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(LoadShedderTest);
  CPPUNIT_TEST(highestValuePerWorkIsServed);
  CPPUNIT_TEST(nothingIsShedWhileCapacityOrNarrowingSuffices);
  CPPUNIT_TEST(overloadOfAnOptionalShardShedsNothing);
  CPPUNIT_TEST(sheddingStopsAfterRecovery);
  CPPUNIT_TEST_SUITE_END();

  static catalog::Route route(const std::string& prefix, int precedence) {
    catalog::Route route;
    route.host = "h";
    route.path_prefix = prefix;
    route.precedence = precedence;
    route.services.push_back({"d", 1});
    return route;
  }

  struct Result {
    double light = 0, heavy = 0;  // shares of the requests that were served
    double value_per_s = 0;
  };
  // 100 light (5 ms) and 100 heavy (20 ms) requests a second, each of value 1, to a service that does
  // `capacity` seconds of work a second and refuses requests while 30 ms of work are queued.
  static Result simulate(LoadShedder* load_shedder, double capacity, double from = 20, double to = 40) {
    std::mt19937 random(5);
    catalog::Route light = route("/l/", 1), heavy = route("/h/", 1);
    double served[2] = {0, 0}, requested[2] = {0, 0}, backlog = 0;
    for (double at = 0; at < to; at += 0.01) {
      backlog = std::max(0.0, backlog - capacity * 0.01);
      std::vector<int> kinds{0, 1};
      std::shuffle(kinds.begin(), kinds.end(), random);
      for (int kind : kinds) {
        Time now{Duration(100 + at)};
        double ms = kind == 0 ? 5 : 20;
        if (at >= from) requested[kind] += 1;
        if (load_shedder && !load_shedder->admit(now, kind == 0 ? light : heavy, {"d"}, 1, ms)) continue;
        bool fits = backlog < 0.03;
        if (fits) backlog += ms / 1000;
        if (load_shedder) load_shedder->record_outcome(now, "d", !fits, true);
        if (fits && at >= from) served[kind] += 1;
      }
    }
    return {served[0] / requested[0], served[1] / requested[1], (served[0] + served[1]) / (to - from)};
  }

 public:
  void highestValuePerWorkIsServed() {
    LoadShedder load_shedder;
    Result with = simulate(&load_shedder, 1.2), without = simulate(nullptr, 1.2);
    CPPUNIT_ASSERT(without.light < 0.6);
    CPPUNIT_ASSERT(with.light > 0.7);
    CPPUNIT_ASSERT(with.light > with.heavy);
    CPPUNIT_ASSERT(with.value_per_s > without.value_per_s * 1.25);
    CPPUNIT_ASSERT(load_shedder.shed_share("d") > 0.2 && load_shedder.shed_share("d") < 0.9);
  }

  void nothingIsShedWhileCapacityOrNarrowingSuffices() {
    LoadShedder roomy;
    Result calm = simulate(&roomy, 40);
    CPPUNIT_ASSERT_EQUAL(0.0, roomy.shed_share("d"));
    CPPUNIT_ASSERT(calm.light > 0.999 && calm.heavy > 0.999);
    LoadShedder narrowing;
    for (int i = 0; i < 1000; ++i) narrowing.record_outcome(Time{Duration(100 + i * 0.01)}, "d", true, false);
    CPPUNIT_ASSERT_EQUAL(0.0, narrowing.shed_share("d"));
    // Too few outcomes in each window.
    LoadShedder few;
    for (int i = 0; i < 60; ++i) few.record_outcome(Time{Duration(100 + i * 0.2)}, "d", true, true);
    CPPUNIT_ASSERT_EQUAL(0.0, few.shed_share("d"));
  }

  void overloadOfAnOptionalShardShedsNothing() {
    LoadShedder load_shedder;
    Time now{Duration(100)};
    for (int i = 0; i < 1000; ++i)
      for (const char* service : {"a", "b", "c", "d"}) {
        now += Duration(0.003);
        load_shedder.record_outcome(now, service, service[0] == 'a', true);
      }
    CPPUNIT_ASSERT(load_shedder.shed_share("a") > 0.3);
    catalog::Route gathers = route("/g/", 0);
    std::vector<std::string> shards{"a", "b", "c", "d"};
    int three = 0, four = 0;
    for (int i = 0; i < 100; ++i) {
      three += load_shedder.admit(now, gathers, shards, 3, 10);
      four += load_shedder.admit(now, gathers, shards, 4, 10);
    }
    CPPUNIT_ASSERT_EQUAL(100, three);
    CPPUNIT_ASSERT(four < 80);
  }

  void sheddingStopsAfterRecovery() {
    LoadShedder load_shedder;
    simulate(&load_shedder, 0.5);
    double level = load_shedder.shed_share("d");
    CPPUNIT_ASSERT(level > 0.4);
    catalog::Route heavy = route("/h/", 1);
    Time now{Duration(140)};
    int served = 0;
    for (int i = 0; i < 3000; ++i) {
      now += Duration(0.01);
      if (!load_shedder.admit(now, heavy, {"d"}, 1, 20)) continue;
      load_shedder.record_outcome(now, "d", false, true);
      ++served;
    }
    CPPUNIT_ASSERT_EQUAL(0.0, load_shedder.shed_share("d"));
    CPPUNIT_ASSERT(served > 1500);
    // Without outcomes the level is reset after two windows.
    LoadShedder silent;
    simulate(&silent, 0.5);
    CPPUNIT_ASSERT(silent.admit(Time{Duration(200)}, heavy, {"d"}, 1, 20));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LoadShedderTest);

}  // namespace pearspar::dispatch
