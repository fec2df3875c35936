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
      RaftCluster cluster(3, seed);
      const std::size_t leader = cluster.wait_for_leader(), member = (leader + 1) % 3;
      CPPUNIT_ASSERT(cluster.commit_change(leader));
      cluster.run(0.2);
      const auto old_disk = cluster.copy(member);
      const MemberId before = cluster.core(member).self();
      CPPUNIT_ASSERT(cluster.commit_change(leader));
      cluster.run(0.2);  // acknowledged by the member and lost by the rollback
      cluster.put_disk(member, *old_disk);
      for (int i = 0; i < changes_per_snapshot; ++i) CPPUNIT_ASSERT(cluster.commit_change(leader));
      cluster.run(retention_s);
      for (int i = 0; i < changes_per_snapshot; ++i) CPPUNIT_ASSERT(cluster.commit_change(leader));
      cluster.start(member);
      CPPUNIT_ASSERT_MESSAGE("the member has adopted a new id",
                             cluster.until(3, [&] { return cluster.core(member).self() != before; }));
      CPPUNIT_ASSERT(cluster.until(3, [&] { return cluster.is_voter(member); }));
      CPPUNIT_ASSERT(!cluster.membership(leader).has(before));
      CPPUNIT_ASSERT_EQUAL(std::size_t{3}, cluster.voter_count(leader));
      cluster.expect_no_violation();
    }
  }

  // Without a rollback, receiving a snapshot must not change the id.
  void longAbsentMemberKeepsItsId() {
    RaftCluster cluster(3);
    const std::size_t leader = cluster.wait_for_leader(), member = (leader + 1) % 3;
    CPPUNIT_ASSERT(cluster.commit_change(leader));
    cluster.run(0.2);
    const MemberId before = cluster.core(member).self();
    cluster.stop(member);
    for (int i = 0; i < changes_per_snapshot; ++i) CPPUNIT_ASSERT(cluster.commit_change(leader));
    cluster.run(retention_s);
    for (int i = 0; i < changes_per_snapshot; ++i) CPPUNIT_ASSERT(cluster.commit_change(leader));
    cluster.start(member);
    CPPUNIT_ASSERT(
        cluster.until(3, [&] { return cluster.core(member).commit() == cluster.core(leader).commit(); }));
    CPPUNIT_ASSERT_EQUAL(before, cluster.core(member).self());
    CPPUNIT_ASSERT(cluster.core(member).counters().snapshots_installed > 0);
    cluster.expect_no_violation();
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(DiskRollbackTest);

}  // namespace pearspar::raft
