// The agreement's states, searched through for a small core. The large searches are
// pearspar-measure-search's.
#include "simulation/explore.h"

#include <cppunit/extensions/HelperMacros.h>

#include "simulation/explore_parts.h"
#include "simulation/explore_walk.h"

namespace pearspar::simulation {

class ExploreTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ExploreTest);
  CPPUNIT_TEST(electionsAndChanges);
  CPPUNIT_TEST(crashes);
  CPPUNIT_TEST(lostDisks);
  CPPUNIT_TEST(aForgetfulMemberIsFound);
  CPPUNIT_TEST(guardsOutAreFound);
  CPPUNIT_TEST(walks);
  CPPUNIT_TEST(aWalkFindsALostMembership);
  CPPUNIT_TEST_SUITE_END();

  static Explored search(ExploreOptions options) {
    Explored found = explore(options);
    CPPUNIT_ASSERT_EQUAL(std::string(), found.fault);
    return found;
  }

 public:
  // All there is within the bounds.
  void electionsAndChanges() {
    ExploreOptions options;
    options.timeouts = 1;
    options.crashes = options.wipes = 0;
    options.in_flight = 2;
    Explored found = search(options);
    CPPUNIT_ASSERT(found.exhausted && found.committed > 0);
  }
  void crashes() {
    ExploreOptions options;
    options.timeouts = 1;
    options.crashes = options.lapses = 1;
    options.in_flight = 2;
    options.most_states = 8000;
    search(options);
  }
  void lostDisks() {
    ExploreOptions options;
    options.timeouts = 2;
    options.wipes = 1;
    options.crashes = options.changes = 0;
    options.in_flight = 1;
    Explored found = search(options);
    CPPUNIT_ASSERT(found.exhausted && found.leaders > 1);
  }
  // With the old id on the empty disk the search finds a leader that lacks what was committed, or two in a
  // term.
  void aForgetfulMemberIsFound() {
    ExploreOptions options;
    options.members = 3;
    options.timeouts = 2;
    options.crashes = 0;
    options.changes = 0;
    options.in_flight = 2;
    options.lapses = options.wipes = 1;
    options.mutant = Mutant::forgetful;
    options.most_states = 400000;
    CPPUNIT_ASSERT(!explore(options).fault.empty());
  }
  // Those that are found soon; the others are the command's.
  void guardsOutAreFound() {
    int found = 0;
    for (ExplorePart part : explore_mutants()) {
      part.options.most_states = 10000;
      part.options.threads = 2;
      found += !explore(part.options).fault.empty();
    }
    CPPUNIT_ASSERT(found >= 7);
  }
  void walks() {
    for (int members : {3, 5}) {
      WalkOptions options;
      options.members = members;
      options.walks = 5;
      options.threads = 2;
      options.seed = 1000;
      Walks found = walk(options);
      CPPUNIT_ASSERT_EQUAL(std::string(), found.fault);
      CPPUNIT_ASSERT(found.steps == 100000 && found.committed > 100 && found.memberships > 5);
    }
  }
  void aWalkFindsALostMembership() {
    WalkOptions options;
    options.seed = 5;
    options.walks = 3;
    options.threads = 2;
    options.mutant = Mutant::lost_membership;
    CPPUNIT_ASSERT(!walk(options).fault.empty());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ExploreTest);

}  // namespace pearspar::simulation
