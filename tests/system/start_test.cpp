// Starts of members: founders in any order, again and late; ids drawn anew; small cores that change hands.
#include "band.h"

namespace pearspar::raft {
namespace {

// Power is lost before one of the writes.
class CutStore : public Store {
 public:
  CutStore(Store& store, int writes) : store_(store), left_(writes) {}
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
    if (left_-- <= 0) return std::make_error_code(std::errc::io_error);
    return work();
  }
  Store& store_;
  int left_;
};

}  // namespace

class StartTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(StartTest);
  CPPUNIT_TEST(foundersInAnyOrderAndOneNever);
  CPPUNIT_TEST(aFounderThatComesLate);
  CPPUNIT_TEST(aFirstStartThatIsCutOffBetweenItsWrites);
  CPPUNIT_TEST(aFounderStartedAgainAsForTheFirstTimeIsWantedOnce);
  CPPUNIT_TEST(eachIdIsDrawnOnce);
  CPPUNIT_TEST(smallCoresChangeHands);
  CPPUNIT_TEST(whoWasLetGoStaysOut);
  CPPUNIT_TEST(theLeaderIsReplaced);
  CPPUNIT_TEST(aFullDiskAtAnyMomentOfAReplacement);
  CPPUNIT_TEST(theLeaderLeavesWhileANewcomerCatchesUp);
  CPPUNIT_TEST_SUITE_END();

 public:
  void foundersInAnyOrderAndOneNever() {
    for (std::size_t members : {3, 5})
      for (std::uint64_t seed = 1; seed <= 12; ++seed) {
        Band band(members, seed);
        std::size_t never = band.world().below(members);
        for (std::size_t at = 0; at < members; ++at) band.wipe(at);
        std::vector<std::size_t> order;
        for (std::size_t at = 0; at < members; ++at)
          if (at != never) order.push_back(at);
        while (!order.empty()) {
          std::size_t at = band.world().below(order.size());
          band.start(order[at], true);
          order.erase(order.begin() + static_cast<std::ptrdiff_t>(at));
          band.run(order.empty() ? 0 : band.world().uniform(0, 0.3));
        }
        CPPUNIT_ASSERT(band.until(2, [&] { return band.speaker() < members; }));
        CPPUNIT_ASSERT(band.change(band.led()));
        CPPUNIT_ASSERT_EQUAL(members, band.voters(band.led()));
        band.good();
      }
  }

  // The whole system runs, its log is folded, or somebody else has come to its address meanwhile.
  void aFounderThatComesLate() {
    for (int how = 0; how < 3; ++how) {
      Band band(3, 5);
      band.wipe(2);
      CPPUNIT_ASSERT(band.change(band.led()));
      if (how == 1)
        for (int i = 0; i < 100; ++i) CPPUNIT_ASSERT(band.change(band.led()));
      if (how == 2) {
        band.start(2);
        CPPUNIT_ASSERT(band.until(3, [&] { return band.counts(2); }));
        band.wipe(2);
      }
      band.run(20);
      band.start(2, true);
      CPPUNIT_ASSERT(band.until(3, [&] { return band.counts(2); }));
      CPPUNIT_ASSERT_EQUAL(3u, band.count(band.led()).target_size);
      CPPUNIT_ASSERT_EQUAL(std::size_t{3}, band.voters(band.led()));
      band.end(band.led() == 0 ? 1 : 0);
      CPPUNIT_ASSERT(band.change(band.led()));
      band.good();
    }
  }

  void aFirstStartThatIsCutOffBetweenItsWrites() {
    for (bool first : {true, false})
      for (int writes = 0; writes < 3; ++writes) {
        Band band(3, 9);
        band.wipe(2);
        CPPUNIT_ASSERT(band.change(band.led()));
        Place machine;
        CutStore cut(*band.place(2).disk, writes);
        Options options;
        options.address = "m2";
        options.founders = options.seeds = {"m0", "m1", "m2"};
        options.first_start = true;
        options.fresh_id = 77;
        CPPUNIT_ASSERT(Core(cut, machine, options).start(band.now(2)));
        band.run(1);
        band.start(2, first);
        CPPUNIT_ASSERT(band.until(3, [&] { return band.counts(2); }));
        // Once more, before anything was written since.
        band.end(2);
        band.start(2, false);
        CPPUNIT_ASSERT(band.until(3, [&] { return band.counts(2); }));
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, band.voters(band.led()));
        band.end(band.led() == 0 ? 1 : 0);
        CPPUNIT_ASSERT(band.change(band.led()));
        band.good();
      }
  }

  // Let go, it knows of it; then its settings say once more that all start for the first time.
  void aFounderStartedAgainAsForTheFirstTimeIsWantedOnce() {
    Band band(3);
    std::size_t newcomer = band.add();
    band.start(newcomer);
    CPPUNIT_ASSERT(band.until(3, [&] { return band.counts(newcomer); }));
    std::size_t b = band.led() == 0 ? 1 : 0;
    band.core(b).leave(band.now(b));
    CPPUNIT_ASSERT(band.until(2, [&] { return band.core(b).may_shut_down() && !band.counts(b); }));
    band.end(b);
    band.run(2);
    band.start(b, true);
    CPPUNIT_ASSERT(band.until(3, [&] { return band.counts(b); }));
    CPPUNIT_ASSERT_EQUAL(3u, band.count(band.led()).target_size);
    band.good();
  }

  // Found out three times in one life: by words of a leader that no disk brings about so often.
  void eachIdIsDrawnOnce() {
    Band band(3);
    std::size_t a = band.led(), c = a == 2 ? 1 : 2;
    std::set<MemberId> ids{band.core(c).self()};
    for (int i = 0; i < 5; ++i) {
      Message append;
      append.kind = MessageKind::append_entries;
      append.from = band.core(a).self();
      append.from_address = band.place(a).address;
      append.to = band.core(c).self();
      append.term = band.core(c).term();
      append.index = append.acknowledged = band.core(c).log().last() + 1;
      append.log_term = append.term;
      band.hand(c, append);
      CPPUNIT_ASSERT_MESSAGE("an id that was not there before", ids.insert(band.core(c).self()).second);
    }
    CPPUNIT_ASSERT(band.until(3, [&] { return band.counts(c); }));
    band.good();
  }

  // One, two, four: a successor comes, and somebody is asked to end, twice, the leader too.
  void smallCoresChangeHands() {
    for (std::size_t members : {1, 2, 4})
      for (bool leader : {true, false}) {
        Band band(members, 3);
        std::size_t a = band.led(), fresh = band.add();
        CPPUNIT_ASSERT(band.change(a));
        band.start(fresh);
        CPPUNIT_ASSERT(band.until(3, [&] { return band.counts(fresh); }));
        a = band.led();
        std::size_t leaver = leader ? a : (a + 1) % members;
        band.core(leaver).leave(band.now(leaver));
        band.run(0.02);
        band.core(leaver).leave(band.now(leaver));
        CPPUNIT_ASSERT(band.until(4, [&] { return band.core(leaver).may_shut_down(); }));
        band.end(leaver);
        CPPUNIT_ASSERT(band.change(band.led()));
        CPPUNIT_ASSERT_EQUAL(members, band.voters(band.led()));
        CPPUNIT_ASSERT_EQUAL(static_cast<std::uint32_t>(members), band.count(band.led()).target_size);
        // Back, its wish is forgotten.
        band.start(leaver);
        CPPUNIT_ASSERT(band.until(4, [&] { return band.counts(leaver); }));
        band.run(3);
        CPPUNIT_ASSERT(band.counts(leaver));
        band.good();
      }
  }

  // Out, and slow to end: taken in again it would leave a voter that is about to go. Started anew it asks,
  // and is, though the leader's rounds reach it first.
  void whoWasLetGoStaysOut() {
    Band band(3);
    std::size_t newcomer = band.add();
    band.start(newcomer);
    CPPUNIT_ASSERT(band.until(3, [&] { return band.counts(newcomer); }));
    std::size_t b = band.led() == 0 ? 1 : 0;
    band.core(b).leave(band.now(b));
    CPPUNIT_ASSERT(band.until(2, [&] { return band.core(b).may_shut_down() && !band.counts(b); }));
    Index out = band.core(band.led()).log().membership_index();
    band.run(5);
    CPPUNIT_ASSERT_EQUAL(out, band.core(band.led()).log().membership_index());
    band.end(b);
    band.run(0.1);
    band.start(b);
    Message round;
    round.kind = MessageKind::append_entries;
    round.from = band.core(band.led()).self();
    round.from_address = band.place(band.led()).address;
    round.term = band.core(band.led()).term();
    round.index = band.core(b).log().last();
    round.log_term = band.core(b).log().last_term();
    band.hand(b, round);
    CPPUNIT_ASSERT(band.until(1, [&] { return band.counts(b); }));
    band.good();
  }

  void theLeaderIsReplaced() {
    for (std::size_t members : {3, 4, 5})
      for (std::uint64_t seed = 1; seed <= 6; ++seed) {
        Band band(members, seed);
        std::size_t a = band.led();
        CPPUNIT_ASSERT(band.change(a));
        band.core(a).propose(band.now(a), "under way");
        if (seed % 2) band.run(0.003);
        band.wipe(a);
        band.start(a);
        CPPUNIT_ASSERT(band.until(4, [&] { return band.speaker() < members && band.counts(a); }));
        CPPUNIT_ASSERT_EQUAL(members, band.voters(band.led()));
        CPPUNIT_ASSERT(band.change(band.led()));
        band.good();
      }
  }

  // Of each member in turn, while one with a lost disk comes back to a folded log.
  void aFullDiskAtAnyMomentOfAReplacement() {
    for (int moment = 0; moment < 60; ++moment) {
      Band band(3, 13);
      std::size_t a = band.led(), c = a == 2 ? 1 : 2, full = static_cast<std::size_t>(moment) % 3;
      for (int i = 0; i < 70; ++i) CPPUNIT_ASSERT(band.change(a));
      band.wipe(c);
      band.start(c);
      band.run(0.02 * moment);
      band.place(full).disk->set_full(true);
      band.core(a).propose(band.now(a), "as it is full");
      band.run(0.7);
      band.place(full).disk->set_full(false);
      CPPUNIT_ASSERT(band.until(4, [&] { return band.speaker() < 3 && band.counts(c); }));
      CPPUNIT_ASSERT(band.change(band.led()));
      CPPUNIT_ASSERT(band.until(2, [&] {
        return band.core(0).commit() == band.core(1).commit() &&
               band.core(1).commit() == band.core(2).commit();
      }));
      band.good();
    }
  }

  void theLeaderLeavesWhileANewcomerCatchesUp() {
    for (int moment = 0; moment < 40; ++moment) {
      Band band(3, 11);
      std::size_t a = band.led(), fresh = band.add();
      CPPUNIT_ASSERT(band.change(a));
      band.start(fresh);
      band.run(0.001 * moment);
      band.core(a).leave(band.now(a));
      double asked = band.seconds();
      CPPUNIT_ASSERT(
          band.until(4, [&] { return band.seconds() > asked + 0.4 && band.core(a).may_shut_down(); }));
      band.end(a);
      CPPUNIT_ASSERT(band.until(4, [&] { return band.speaker() < 4 && band.counts(fresh); }));
      band.run(3);
      CPPUNIT_ASSERT_EQUAL(std::size_t{3}, band.voters(band.led()));
      CPPUNIT_ASSERT(band.change(band.led()));
      band.good();
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(StartTest);

}  // namespace pearspar::raft
