// Starting Raft members: founders in any order, late or repeatedly; new member ids; replacement of members.
#include "raft_cluster.h"

namespace pearspar::raft {
namespace {

// Fails all writes after the first `writes`, as a power loss does.
class FailingStore : public Store {
 public:
  FailingStore(Store& store, int writes) : store_(store), writes_left_(writes) {}
  std::error_code load(PersistentState& stored) override { return store_.load(stored); }
  std::error_code save_self(MemberId self) override {
    return write([&] { return store_.save_self(self); });
  }
  std::error_code save_vote(const Vote& vote) override {
    return write([&] { return store_.save_vote(vote); });
  }
  std::error_code replace_tail(Index from, const std::vector<Entry>& entries) override {
    return write([&] { return store_.replace_tail(from, entries); });
  }
  std::error_code save_snapshot(const Snapshot& snapshot, bool drop_rest) override {
    return write([&] { return store_.save_snapshot(snapshot, drop_rest); });
  }
  std::error_code save_note(Index commit, const std::string& note) override {
    return write([&] { return store_.save_note(commit, note); });
  }

 private:
  template <typename Work>
  std::error_code write(Work work) {
    if (writes_left_-- <= 0) return std::make_error_code(std::errc::io_error);
    return work();
  }
  Store& store_;
  int writes_left_;
};

}  // namespace

class StartTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(StartTest);
  CPPUNIT_TEST(foundersStartInAnyOrderAndOneIsAbsent);
  CPPUNIT_TEST(lateFounderJoins);
  CPPUNIT_TEST(interruptedFirstStartIsRepeatable);
  CPPUNIT_TEST(founderThatLeftAndReturnsCountsOnce);
  CPPUNIT_TEST(eachNewMemberIdIsUnique);
  CPPUNIT_TEST(smallClustersReplaceMembers);
  CPPUNIT_TEST(removedMemberIsNotReadmittedUntilRestart);
  CPPUNIT_TEST(leaderWithWipedDiskRejoins);
  CPPUNIT_TEST(fullDiskDuringReplacementLosesNothing);
  CPPUNIT_TEST(leaderLeavesWhileNewcomerCatchesUp);
  CPPUNIT_TEST_SUITE_END();

 public:
  void foundersStartInAnyOrderAndOneIsAbsent() {
    for (std::size_t members : {3, 5})
      for (std::uint64_t seed = 1; seed <= 12; ++seed) {
        RaftCluster cluster(members, seed);
        std::size_t absent = cluster.world().below(members);
        for (std::size_t at = 0; at < members; ++at) cluster.wipe(at);
        std::vector<std::size_t> order;
        for (std::size_t at = 0; at < members; ++at)
          if (at != absent) order.push_back(at);
        while (!order.empty()) {
          std::size_t at = cluster.world().below(order.size());
          cluster.start(order[at], true);
          order.erase(order.begin() + static_cast<std::ptrdiff_t>(at));
          cluster.run(order.empty() ? 0 : cluster.world().uniform(0, 0.3));
        }
        CPPUNIT_ASSERT(cluster.until(2, [&] { return cluster.lease_holder() < members; }));
        CPPUNIT_ASSERT(cluster.commit_change(cluster.wait_for_leader()));
        CPPUNIT_ASSERT_EQUAL(members, cluster.voter_count(cluster.wait_for_leader()));
        cluster.expect_no_violation();
      }
  }

  // Meanwhile the others run, their log is compacted, or another member has started at its address.
  void lateFounderJoins() {
    for (int how = 0; how < 3; ++how) {
      RaftCluster cluster(3, 5);
      cluster.wipe(2);
      CPPUNIT_ASSERT(cluster.commit_change(cluster.wait_for_leader()));
      if (how == 1)
        for (int i = 0; i < 100; ++i) CPPUNIT_ASSERT(cluster.commit_change(cluster.wait_for_leader()));
      if (how == 2) {
        cluster.start(2);
        CPPUNIT_ASSERT(cluster.until(3, [&] { return cluster.is_voter(2); }));
        cluster.wipe(2);
      }
      cluster.run(20);
      cluster.start(2, true);
      CPPUNIT_ASSERT(cluster.until(3, [&] { return cluster.is_voter(2); }));
      CPPUNIT_ASSERT_EQUAL(3u, cluster.membership(cluster.wait_for_leader()).target_size);
      CPPUNIT_ASSERT_EQUAL(std::size_t{3}, cluster.voter_count(cluster.wait_for_leader()));
      cluster.stop(cluster.wait_for_leader() == 0 ? 1 : 0);
      CPPUNIT_ASSERT(cluster.commit_change(cluster.wait_for_leader()));
      cluster.expect_no_violation();
    }
  }

  void interruptedFirstStartIsRepeatable() {
    for (bool first : {true, false})
      for (int writes = 0; writes < 3; ++writes) {
        RaftCluster cluster(3, 9);
        cluster.wipe(2);
        CPPUNIT_ASSERT(cluster.commit_change(cluster.wait_for_leader()));
        TestMember state_machine;
        FailingStore failing_store(*cluster.member(2).disk, writes);
        Options options;
        options.address = "m2";
        options.founders = options.seeds = {"m0", "m1", "m2"};
        options.first_start = true;
        options.fresh_id = 77;
        CPPUNIT_ASSERT(Core(failing_store, state_machine, options).start(cluster.now(2)));
        cluster.run(1);
        cluster.start(2, first);
        CPPUNIT_ASSERT(cluster.until(3, [&] { return cluster.is_voter(2); }));
        // Started once more, before anything else was written.
        cluster.stop(2);
        cluster.start(2, false);
        CPPUNIT_ASSERT(cluster.until(3, [&] { return cluster.is_voter(2); }));
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, cluster.voter_count(cluster.wait_for_leader()));
        cluster.stop(cluster.wait_for_leader() == 0 ? 1 : 0);
        CPPUNIT_ASSERT(cluster.commit_change(cluster.wait_for_leader()));
        cluster.expect_no_violation();
      }
  }

  // The member left, and its settings still declare a first start.
  void founderThatLeftAndReturnsCountsOnce() {
    RaftCluster cluster(3);
    std::size_t newcomer = cluster.add();
    cluster.start(newcomer);
    CPPUNIT_ASSERT(cluster.until(3, [&] { return cluster.is_voter(newcomer); }));
    std::size_t b = cluster.wait_for_leader() == 0 ? 1 : 0;
    cluster.core(b).leave(cluster.now(b));
    CPPUNIT_ASSERT(cluster.until(2, [&] { return cluster.core(b).may_shut_down() && !cluster.is_voter(b); }));
    cluster.stop(b);
    cluster.run(2);
    cluster.start(b, true);
    CPPUNIT_ASSERT(cluster.until(3, [&] { return cluster.is_voter(b); }));
    CPPUNIT_ASSERT_EQUAL(3u, cluster.membership(cluster.wait_for_leader()).target_size);
    cluster.expect_no_violation();
  }

  // The member has to draw a new id five times, each time since the leader claims an entry that it has lost.
  void eachNewMemberIdIsUnique() {
    RaftCluster cluster(3);
    std::size_t a = cluster.wait_for_leader(), c = a == 2 ? 1 : 2;
    std::set<MemberId> ids{cluster.core(c).self()};
    for (int i = 0; i < 5; ++i) {
      Message append;
      append.kind = MessageKind::append_entries;
      append.from = cluster.core(a).self();
      append.from_address = cluster.member(a).address;
      append.to = cluster.core(c).self();
      append.term = cluster.core(c).term();
      append.index = append.acknowledged = cluster.core(c).log().last() + 1;
      append.log_term = append.term;
      cluster.deliver(c, append);
      CPPUNIT_ASSERT_MESSAGE("the id was used before", ids.insert(cluster.core(c).self()).second);
    }
    CPPUNIT_ASSERT(cluster.until(3, [&] { return cluster.is_voter(c); }));
    cluster.expect_no_violation();
  }

  // In clusters of one, two and four a newcomer joins, then a member or the leader is asked to leave, twice.
  void smallClustersReplaceMembers() {
    for (std::size_t members : {1, 2, 4})
      for (bool leader : {true, false}) {
        RaftCluster cluster(members, 3);
        std::size_t a = cluster.wait_for_leader(), newcomer = cluster.add();
        CPPUNIT_ASSERT(cluster.commit_change(a));
        cluster.start(newcomer);
        CPPUNIT_ASSERT(cluster.until(3, [&] { return cluster.is_voter(newcomer); }));
        a = cluster.wait_for_leader();
        std::size_t leaver = leader ? a : (a + 1) % members;
        cluster.core(leaver).leave(cluster.now(leaver));
        cluster.run(0.02);
        cluster.core(leaver).leave(cluster.now(leaver));
        CPPUNIT_ASSERT(cluster.until(4, [&] { return cluster.core(leaver).may_shut_down(); }));
        cluster.stop(leaver);
        CPPUNIT_ASSERT(cluster.commit_change(cluster.wait_for_leader()));
        CPPUNIT_ASSERT_EQUAL(members, cluster.voter_count(cluster.wait_for_leader()));
        CPPUNIT_ASSERT_EQUAL(static_cast<std::uint32_t>(members),
                             cluster.membership(cluster.wait_for_leader()).target_size);
        // A restart withdraws the request to leave.
        cluster.start(leaver);
        CPPUNIT_ASSERT(cluster.until(4, [&] { return cluster.is_voter(leaver); }));
        cluster.run(3);
        CPPUNIT_ASSERT(cluster.is_voter(leaver));
        cluster.expect_no_violation();
      }
  }

  // A member that has been removed and still runs must not become a voter again, since it is about to end.
  // After a restart it rejoins, although messages of the leader reach it first.
  void removedMemberIsNotReadmittedUntilRestart() {
    RaftCluster cluster(3);
    std::size_t newcomer = cluster.add();
    cluster.start(newcomer);
    CPPUNIT_ASSERT(cluster.until(3, [&] { return cluster.is_voter(newcomer); }));
    std::size_t b = cluster.wait_for_leader() == 0 ? 1 : 0;
    cluster.core(b).leave(cluster.now(b));
    CPPUNIT_ASSERT(cluster.until(2, [&] { return cluster.core(b).may_shut_down() && !cluster.is_voter(b); }));
    Index out = cluster.core(cluster.wait_for_leader()).log().membership_index();
    cluster.run(5);
    CPPUNIT_ASSERT_EQUAL(out, cluster.core(cluster.wait_for_leader()).log().membership_index());
    cluster.stop(b);
    cluster.run(0.1);
    cluster.start(b);
    Message round;
    round.kind = MessageKind::append_entries;
    round.from = cluster.core(cluster.wait_for_leader()).self();
    round.from_address = cluster.member(cluster.wait_for_leader()).address;
    round.term = cluster.core(cluster.wait_for_leader()).term();
    round.index = cluster.core(b).log().last();
    round.log_term = cluster.core(b).log().last_term();
    cluster.deliver(b, round);
    CPPUNIT_ASSERT(cluster.until(1, [&] { return cluster.is_voter(b); }));
    cluster.expect_no_violation();
  }

  void leaderWithWipedDiskRejoins() {
    for (std::size_t members : {3, 4, 5})
      for (std::uint64_t seed = 1; seed <= 6; ++seed) {
        RaftCluster cluster(members, seed);
        std::size_t a = cluster.wait_for_leader();
        CPPUNIT_ASSERT(cluster.commit_change(a));
        cluster.core(a).propose(cluster.now(a), "under way");
        if (seed % 2) cluster.run(0.003);
        cluster.wipe(a);
        cluster.start(a);
        CPPUNIT_ASSERT(
            cluster.until(4, [&] { return cluster.lease_holder() < members && cluster.is_voter(a); }));
        CPPUNIT_ASSERT_EQUAL(members, cluster.voter_count(cluster.wait_for_leader()));
        CPPUNIT_ASSERT(cluster.commit_change(cluster.wait_for_leader()));
        cluster.expect_no_violation();
      }
  }

  // The disk of one member is full while another one with a wiped disk rejoins and needs a snapshot.
  void fullDiskDuringReplacementLosesNothing() {
    for (int moment = 0; moment < 60; ++moment) {
      RaftCluster cluster(3, 13);
      std::size_t a = cluster.wait_for_leader(), c = a == 2 ? 1 : 2,
                  full = static_cast<std::size_t>(moment) % 3;
      for (int i = 0; i < 70; ++i) CPPUNIT_ASSERT(cluster.commit_change(a));
      cluster.wipe(c);
      cluster.start(c);
      cluster.run(0.02 * moment);
      cluster.member(full).disk->set_full(true);
      cluster.core(a).propose(cluster.now(a), "as it is full");
      cluster.run(0.7);
      cluster.member(full).disk->set_full(false);
      CPPUNIT_ASSERT(cluster.until(4, [&] { return cluster.lease_holder() < 3 && cluster.is_voter(c); }));
      CPPUNIT_ASSERT(cluster.commit_change(cluster.wait_for_leader()));
      CPPUNIT_ASSERT(cluster.until(2, [&] {
        return cluster.core(0).commit() == cluster.core(1).commit() &&
               cluster.core(1).commit() == cluster.core(2).commit();
      }));
      cluster.expect_no_violation();
    }
  }

  void leaderLeavesWhileNewcomerCatchesUp() {
    for (int moment = 0; moment < 40; ++moment) {
      RaftCluster cluster(3, 11);
      std::size_t a = cluster.wait_for_leader(), newcomer = cluster.add();
      CPPUNIT_ASSERT(cluster.commit_change(a));
      cluster.start(newcomer);
      cluster.run(0.001 * moment);
      cluster.core(a).leave(cluster.now(a));
      double asked = cluster.seconds();
      CPPUNIT_ASSERT(cluster.until(
          4, [&] { return cluster.seconds() > asked + 0.4 && cluster.core(a).may_shut_down(); }));
      cluster.stop(a);
      CPPUNIT_ASSERT(
          cluster.until(4, [&] { return cluster.lease_holder() < 4 && cluster.is_voter(newcomer); }));
      cluster.run(3);
      CPPUNIT_ASSERT_EQUAL(std::size_t{3}, cluster.voter_count(cluster.wait_for_leader()));
      CPPUNIT_ASSERT(cluster.commit_change(cluster.wait_for_leader()));
      cluster.expect_no_violation();
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(StartTest);

}  // namespace pearspar::raft
