// A member whose folder was set back to an older copy, by whatever word of the leader it first hears.
#include <cppunit/extensions/HelperMacros.h>

#include "raft_cluster.h"

namespace pearspar::raft {

class SetBackTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(SetBackTest);
  CPPUNIT_TEST(aFolderSetBackIsFoundOutBehindASnapshot);
  CPPUNIT_TEST(whoWasAwayForLongKeepsItsId);
  CPPUNIT_TEST_SUITE_END();

  static constexpr double let_go_after_s = 2;  // by then the leader keeps nothing for it
  static constexpr int folded = 100;           // changes

 public:
  // Its leader has folded beyond what it lacks, so that the first it hears of the log is a snapshot.
  void aFolderSetBackIsFoundOutBehindASnapshot() {
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
      RaftCluster band(3, seed);
      const std::size_t leader = band.led(), member = (leader + 1) % 3;
      CPPUNIT_ASSERT(band.change(leader));
      band.run(0.2);
      const auto yesterday = band.copy(member);
      const MemberId before = band.core(member).self();
      CPPUNIT_ASSERT(band.change(leader));
      band.run(0.2);  // which it acknowledges, and then forgets
      band.put_disk(member, *yesterday);
      for (int i = 0; i < folded; ++i) CPPUNIT_ASSERT(band.change(leader));
      band.run(let_go_after_s);
      for (int i = 0; i < folded; ++i) CPPUNIT_ASSERT(band.change(leader));
      band.start(member);
      CPPUNIT_ASSERT_MESSAGE("it is another from here on",
                             band.until(3, [&] { return band.core(member).self() != before; }));
      CPPUNIT_ASSERT(band.until(3, [&] { return band.counts(member); }));
      CPPUNIT_ASSERT(!band.count(leader).has(before));
      CPPUNIT_ASSERT_EQUAL(std::size_t{3}, band.voters(leader));
      band.good();
    }
  }

  // The same without the set back: a snapshot alone makes nobody another.
  void whoWasAwayForLongKeepsItsId() {
    RaftCluster band(3);
    const std::size_t leader = band.led(), member = (leader + 1) % 3;
    CPPUNIT_ASSERT(band.change(leader));
    band.run(0.2);
    const MemberId before = band.core(member).self();
    band.end(member);
    for (int i = 0; i < folded; ++i) CPPUNIT_ASSERT(band.change(leader));
    band.run(let_go_after_s);
    for (int i = 0; i < folded; ++i) CPPUNIT_ASSERT(band.change(leader));
    band.start(member);
    CPPUNIT_ASSERT(band.until(3, [&] { return band.core(member).commit() == band.core(leader).commit(); }));
    CPPUNIT_ASSERT_EQUAL(before, band.core(member).self());
    CPPUNIT_ASSERT(band.core(member).counters().installed > 0);
    band.good();
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SetBackTest);

}  // namespace pearspar::raft
