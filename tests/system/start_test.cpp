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
        CPPUNIT_ASSERT(cluster.until(2, [&] { return cluster.speaker() < members; }));
        CPPUNIT_ASSERT(cluster.change(cluster.led()));
        CPPUNIT_ASSERT_EQUAL(members, cluster.voters(cluster.led()));
        cluster.good();
      }
  }

  // Meanwhile the others run, their log is compacted, or another member has started at its address.
  void lateFounderJoins() {
    for (int how = 0; how < 3; ++how) {
      RaftCluster cluster(3, 5);
      cluster.wipe(2);
      CPPUNIT_ASSERT(cluster.change(cluster.led()));
      if (how == 1)
        for (int i = 0; i < 100; ++i) CPPUNIT_ASSERT(cluster.change(cluster.led()));
      if (how == 2) {
        cluster.start(2);
        CPPUNIT_ASSERT(cluster.until(3, [&] { return cluster.counts(2); }));
        cluster.wipe(2);
      }
      cluster.run(20);
      cluster.start(2, true);
      CPPUNIT_ASSERT(cluster.until(3, [&] { return cluster.counts(2); }));
      CPPUNIT_ASSERT_EQUAL(3u, cluster.count(cluster.led()).wanted);
      CPPUNIT_ASSERT_EQUAL(std::size_t{3}, cluster.voters(cluster.led()));
      cluster.end(cluster.led() == 0 ? 1 : 0);
      CPPUNIT_ASSERT(cluster.change(cluster.led()));
      cluster.good();
    }
  }

  void interruptedFirstStartIsRepeatable() {
    for (bool first : {true, false})
      for (int writes = 0; writes < 3; ++writes) {
        RaftCluster cluster(3, 9);
        cluster.wipe(2);
        CPPUNIT_ASSERT(cluster.change(cluster.led()));
        Place state_machine;
        FailingStore failing_store(*cluster.place(2).disk, writes);
        Options options;
        options.address = "m2";
        options.founders = options.seeds = {"m0", "m1", "m2"};
        options.first_start = true;
        options.fresh_id = 77;
        CPPUNIT_ASSERT(Core(failing_store, state_machine, options).start(cluster.now(2)));
        cluster.run(1);
        cluster.start(2, first);
        CPPUNIT_ASSERT(cluster.until(3, [&] { return cluster.counts(2); }));
        // Started once more, before anything else was written.
        cluster.end(2);
        cluster.start(2, false);
        CPPUNIT_ASSERT(cluster.until(3, [&] { return cluster.counts(2); }));
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, cluster.voters(cluster.led()));
        cluster.end(cluster.led() == 0 ? 1 : 0);
        CPPUNIT_ASSERT(cluster.change(cluster.led()));
        cluster.good();
      }
  }

  // The member left, and its settings still declare a first start.
  void founderThatLeftAndReturnsCountsOnce() {
    RaftCluster cluster(3);
    std::size_t newcomer = cluster.add();
    cluster.start(newcomer);
    CPPUNIT_ASSERT(cluster.until(3, [&] { return cluster.counts(newcomer); }));
    std::size_t b = cluster.led() == 0 ? 1 : 0;
    cluster.core(b).leave(cluster.now(b));
    CPPUNIT_ASSERT(cluster.until(2, [&] { return cluster.core(b).may_shut_down() && !cluster.counts(b); }));
    cluster.end(b);
    cluster.run(2);
    cluster.start(b, true);
    CPPUNIT_ASSERT(cluster.until(3, [&] { return cluster.counts(b); }));
    CPPUNIT_ASSERT_EQUAL(3u, cluster.count(cluster.led()).wanted);
    cluster.good();
  }

  // The member has to draw a new id five times, each time since the leader claims an entry that it has lost.
  void eachNewMemberIdIsUnique() {
    RaftCluster cluster(3);
    std::size_t a = cluster.led(), c = a == 2 ? 1 : 2;
    std::set<MemberId> ids{cluster.core(c).self()};
    for (int i = 0; i < 5; ++i) {
      Message append;
      append.kind = MessageKind::append_entries;
      append.from = cluster.core(a).self();
      append.from_address = cluster.place(a).address;
      append.to = cluster.core(c).self();
      append.term = cluster.core(c).term();
      append.index = append.acknowledged = cluster.core(c).log().last() + 1;
      append.log_term = append.term;
      cluster.hand(c, append);
      CPPUNIT_ASSERT_MESSAGE("the id was used before", ids.insert(cluster.core(c).self()).second);
    }
    CPPUNIT_ASSERT(cluster.until(3, [&] { return cluster.counts(c); }));
    cluster.good();
  }

  // In clusters of one, two and four a newcomer joins, then a member or the leader is asked to leave, twice.
  void smallClustersReplaceMembers() {
    for (std::size_t members : {1, 2, 4})
      for (bool leader : {true, false}) {
        RaftCluster cluster(members, 3);
        std::size_t a = cluster.led(), newcomer = cluster.add();
        CPPUNIT_ASSERT(cluster.change(a));
        cluster.start(newcomer);
        CPPUNIT_ASSERT(cluster.until(3, [&] { return cluster.counts(newcomer); }));
        a = cluster.led();
        std::size_t leaver = leader ? a : (a + 1) % members;
        cluster.core(leaver).leave(cluster.now(leaver));
        cluster.run(0.02);
        cluster.core(leaver).leave(cluster.now(leaver));
        CPPUNIT_ASSERT(cluster.until(4, [&] { return cluster.core(leaver).may_shut_down(); }));
        cluster.end(leaver);
        CPPUNIT_ASSERT(cluster.change(cluster.led()));
        CPPUNIT_ASSERT_EQUAL(members, cluster.voters(cluster.led()));
        CPPUNIT_ASSERT_EQUAL(static_cast<std::uint32_t>(members), cluster.count(cluster.led()).wanted);
        // A restart withdraws the request to leave.
        cluster.start(leaver);
        CPPUNIT_ASSERT(cluster.until(4, [&] { return cluster.counts(leaver); }));
        cluster.run(3);
        CPPUNIT_ASSERT(cluster.counts(leaver));
        cluster.good();
      }
  }

  // A member that has been removed and still runs must not become a voter again, since it is about to end.
  // After a restart it rejoins, although messages of the leader reach it first.
  void removedMemberIsNotReadmittedUntilRestart() {
    RaftCluster cluster(3);
    std::size_t newcomer = cluster.add();
    cluster.start(newcomer);
    CPPUNIT_ASSERT(cluster.until(3, [&] { return cluster.counts(newcomer); }));
    std::size_t b = cluster.led() == 0 ? 1 : 0;
    cluster.core(b).leave(cluster.now(b));
    CPPUNIT_ASSERT(cluster.until(2, [&] { return cluster.core(b).may_shut_down() && !cluster.counts(b); }));
    Index out = cluster.core(cluster.led()).log().membership_index();
    cluster.run(5);
    CPPUNIT_ASSERT_EQUAL(out, cluster.core(cluster.led()).log().membership_index());
    cluster.end(b);
    cluster.run(0.1);
    cluster.start(b);
    Message round;
    round.kind = MessageKind::append_entries;
    round.from = cluster.core(cluster.led()).self();
    round.from_address = cluster.place(cluster.led()).address;
    round.term = cluster.core(cluster.led()).term();
    round.index = cluster.core(b).log().last();
    round.log_term = cluster.core(b).log().last_term();
    cluster.hand(b, round);
    CPPUNIT_ASSERT(cluster.until(1, [&] { return cluster.counts(b); }));
    cluster.good();
  }

  void leaderWithWipedDiskRejoins() {
    for (std::size_t members : {3, 4, 5})
      for (std::uint64_t seed = 1; seed <= 6; ++seed) {
        RaftCluster cluster(members, seed);
        std::size_t a = cluster.led();
        CPPUNIT_ASSERT(cluster.change(a));
        cluster.core(a).propose(cluster.now(a), "under way");
        if (seed % 2) cluster.run(0.003);
        cluster.wipe(a);
        cluster.start(a);
        CPPUNIT_ASSERT(cluster.until(4, [&] { return cluster.speaker() < members && cluster.counts(a); }));
        CPPUNIT_ASSERT_EQUAL(members, cluster.voters(cluster.led()));
        CPPUNIT_ASSERT(cluster.change(cluster.led()));
        cluster.good();
      }
  }

  // The disk of one member is full while another one with a wiped disk rejoins and needs a snapshot.
  void fullDiskDuringReplacementLosesNothing() {
    for (int moment = 0; moment < 60; ++moment) {
      RaftCluster cluster(3, 13);
      std::size_t a = cluster.led(), c = a == 2 ? 1 : 2, full = static_cast<std::size_t>(moment) % 3;
      for (int i = 0; i < 70; ++i) CPPUNIT_ASSERT(cluster.change(a));
      cluster.wipe(c);
      cluster.start(c);
      cluster.run(0.02 * moment);
      cluster.place(full).disk->set_full(true);
      cluster.core(a).propose(cluster.now(a), "as it is full");
      cluster.run(0.7);
      cluster.place(full).disk->set_full(false);
      CPPUNIT_ASSERT(cluster.until(4, [&] { return cluster.speaker() < 3 && cluster.counts(c); }));
      CPPUNIT_ASSERT(cluster.change(cluster.led()));
      CPPUNIT_ASSERT(cluster.until(2, [&] {
        return cluster.core(0).commit() == cluster.core(1).commit() &&
               cluster.core(1).commit() == cluster.core(2).commit();
      }));
      cluster.good();
    }
  }

  void leaderLeavesWhileNewcomerCatchesUp() {
    for (int moment = 0; moment < 40; ++moment) {
      RaftCluster cluster(3, 11);
      std::size_t a = cluster.led(), newcomer = cluster.add();
      CPPUNIT_ASSERT(cluster.change(a));
      cluster.start(newcomer);
      cluster.run(0.001 * moment);
      cluster.core(a).leave(cluster.now(a));
      double asked = cluster.seconds();
      CPPUNIT_ASSERT(cluster.until(
          4, [&] { return cluster.seconds() > asked + 0.4 && cluster.core(a).may_shut_down(); }));
      cluster.end(a);
      CPPUNIT_ASSERT(cluster.until(4, [&] { return cluster.speaker() < 4 && cluster.counts(newcomer); }));
      cluster.run(3);
      CPPUNIT_ASSERT_EQUAL(std::size_t{3}, cluster.voters(cluster.led()));
      CPPUNIT_ASSERT(cluster.change(cluster.led()));
      cluster.good();
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(StartTest);

}  // namespace pearspar::raft
