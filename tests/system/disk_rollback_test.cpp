// A member whose store was replaced by an older copy must detect it, whatever it receives first from the
// leader.
#include <cppunit/extensions/HelperMacros.h>

#include "raft_cluster.h"

namespace pearspar::raft {

class DiskRollbackTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(DiskRollbackTest);
  CPPUNIT_TEST(rollbackIsDetectedBehindASnapshot);
  CPPUNIT_TEST(longAbsentMemberKeepsItsId);
  CPPUNIT_TEST_SUITE_END();

  static constexpr double retention_s = 2;  // longer than the leader retains entries for a silent member
  static constexpr int changes_per_snapshot = 100;

 public:
  // The leader has compacted the missing entries, so that the member receives a snapshot first.
  void rollbackIsDetectedBehindASnapshot() {
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
      RaftCluster band(3, seed);
      const std::size_t leader = band.led(), member = (leader + 1) % 3;
      CPPUNIT_ASSERT(band.change(leader));
      band.run(0.2);
      const auto old_disk = band.copy(member);
      const MemberId before = band.core(member).self();
      CPPUNIT_ASSERT(band.change(leader));
      band.run(0.2);  // acknowledged by the member and lost by the rollback
      band.put_disk(member, *old_disk);
      for (int i = 0; i < changes_per_snapshot; ++i) CPPUNIT_ASSERT(band.change(leader));
      band.run(retention_s);
      for (int i = 0; i < changes_per_snapshot; ++i) CPPUNIT_ASSERT(band.change(leader));
      band.start(member);
      CPPUNIT_ASSERT_MESSAGE("the member has adopted a new id",
                             band.until(3, [&] { return band.core(member).self() != before; }));
      CPPUNIT_ASSERT(band.until(3, [&] { return band.counts(member); }));
      CPPUNIT_ASSERT(!band.count(leader).has(before));
      CPPUNIT_ASSERT_EQUAL(std::size_t{3}, band.voters(leader));
      band.good();
    }
  }

  // Without a rollback, receiving a snapshot must not change the id.
  void longAbsentMemberKeepsItsId() {
    RaftCluster band(3);
    const std::size_t leader = band.led(), member = (leader + 1) % 3;
    CPPUNIT_ASSERT(band.change(leader));
    band.run(0.2);
    const MemberId before = band.core(member).self();
    band.end(member);
    for (int i = 0; i < changes_per_snapshot; ++i) CPPUNIT_ASSERT(band.change(leader));
    band.run(retention_s);
    for (int i = 0; i < changes_per_snapshot; ++i) CPPUNIT_ASSERT(band.change(leader));
    band.start(member);
    CPPUNIT_ASSERT(band.until(3, [&] { return band.core(member).commit() == band.core(leader).commit(); }));
    CPPUNIT_ASSERT_EQUAL(before, band.core(member).self());
    CPPUNIT_ASSERT(band.core(member).counters().snapshots_installed > 0);
    band.good();
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(DiskRollbackTest);

}  // namespace pearspar::raft
