// The agreement alone, by scripts.
#include "raft_cluster.h"

namespace pearspar::raft {
namespace {

// Sanitizers take eight times as long.
#ifdef __SANITIZE_ADDRESS__
constexpr std::uint64_t walks = 1;
#else
constexpr std::uint64_t walks = 20;
#endif

}  // namespace

class AgreementTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(AgreementTest);
  CPPUNIT_TEST(anOldDiskThatComesBackMeetsAMajority);
  CPPUNIT_TEST(theLeaderDiesBetweenShrinkAndGrowth);
  CPPUNIT_TEST(twoOfFiveAreReplacedOneByOne);
  CPPUNIT_TEST(whoStillAnswersIsNotReplaced);
  CPPUNIT_TEST(aDiskFromThePastIsTakenInAnew);
  CPPUNIT_TEST(aLeaverGoesAndTheFrozenOneStays);
  CPPUNIT_TEST(aFounderThatReturnsIsWantedOnce);
  CPPUNIT_TEST(aLeaverHoldsOnWhileItsSuccessorIsSentTheState);
  CPPUNIT_TEST(aLeaverWaitsUntilOthersHoldAll);
  CPPUNIT_TEST(aSilentOneStaysWhileSomebodyLeaves);
  CPPUNIT_TEST(aLeaverStaysWhereItIsNeeded);
  CPPUNIT_TEST(aLeaverThatLeadsHandsOver);
  CPPUNIT_TEST(aLeaverThatHoldsMostLeadsAgainFirst);
  CPPUNIT_TEST(aRestartWaitsForNobody);
  CPPUNIT_TEST(aRestartBesideALossWaitsForNobody);
  CPPUNIT_TEST(aNewLeadersFirstWordsReleaseNoLeaver);
  CPPUNIT_TEST(aLeaverThatReturnsIsTakenInAnew);
  CPPUNIT_TEST(whoIsNotCountedDoesNotStand);
  CPPUNIT_TEST(aVoteFromOutsideDoesNotCount);
  CPPUNIT_TEST(nothingIsServedBeforeTheTermHasCommitted);
  CPPUNIT_TEST(clocksApartBreakNoLease);
  CPPUNIT_TEST(aLeaseTooLongIsRefused);
  CPPUNIT_TEST(cutOffForTwentySeconds);
  CPPUNIT_TEST(frozenAtEachMoment);
  CPPUNIT_TEST(anyOrderOfLossesLeavesAMajority);
  CPPUNIT_TEST_SUITE_END();

  // m3 stands in beside m0, m1, m2.
  static void stand_in(RaftCluster& band) {
    std::size_t newcomer = band.add();
    band.start(newcomer);
    CPPUNIT_ASSERT(band.until(3, [&] { return band.counts(newcomer); }));
    CPPUNIT_ASSERT_EQUAL(std::size_t{4}, band.voters(band.led()));
    band.run(0.2);
  }
  static std::size_t other_than(std::initializer_list<std::size_t> those) {
    std::size_t at = 0;
    while (std::find(those.begin(), those.end(), at) != those.end()) ++at;
    return at;
  }

 public:
  // b hears nothing as c's machine comes up with an empty disk; then a is gone, and c's old disk is back: b
  // and c are a majority of what they know, and must hold all that was taken.
  void anOldDiskThatComesBackMeetsAMajority() {
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
      RaftCluster band(3, seed);
      std::size_t a = band.led(), b = (a + 1) % 3, c = (a + 2) % 3;
      CPPUNIT_ASSERT(band.change(a));
      band.run(0.3);
      band.cut_off(b, true, false);
      auto old = band.copy(c);
      band.wipe(c);
      band.start(c);
      band.run(0.5);
      if (band.speaks(a)) band.change(a, 0.3);
      band.run(1);
      band.end(a);
      band.put_disk(c, *old);
      band.heal();
      band.start(c);
      band.run(3);
      band.good();
      band.start(a);
      band.run(3);
      CPPUNIT_ASSERT_EQUAL(std::size_t{3}, band.voters(band.led()));
      band.good();
    }
  }

  // Between the two entries two stand where three are wanted. With the leader gone nobody leads, as nobody
  // would have with the dead one in the count; with it back, the newcomer comes in.
  void theLeaderDiesBetweenShrinkAndGrowth() {
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
      RaftCluster band(3, seed);
      std::size_t a = band.led(), b = (a + 1) % 3, c = (a + 2) % 3;
      CPPUNIT_ASSERT(band.change(a));
      band.wipe(c);
      band.start(c);
      CPPUNIT_ASSERT(band.until(3, [&] { return band.voters(a) == 2; }));
      band.end(a);
      band.run(2);
      CPPUNIT_ASSERT(!band.speaks(b) && !band.speaks(c));
      band.start(a);
      CPPUNIT_ASSERT(band.until(4, [&] { return band.speaker() < 3 && band.counts(c); }));
      CPPUNIT_ASSERT_EQUAL(std::size_t{3}, band.voters(band.led()));
      CPPUNIT_ASSERT_EQUAL(3u, band.count(band.led()).wanted);
      CPPUNIT_ASSERT(band.change(band.led()));
      band.good();
    }
  }

  void twoOfFiveAreReplacedOneByOne() {
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
      RaftCluster band(5, seed);
      std::size_t a = band.led(), d = (a + 1) % 5, e = (a + 2) % 5;
      CPPUNIT_ASSERT(band.change(a));
      band.wipe(d);
      band.wipe(e);
      band.start(d);
      band.start(e);
      CPPUNIT_ASSERT(band.until(4, [&] { return band.counts(d) && band.counts(e); }));
      CPPUNIT_ASSERT_EQUAL(std::size_t{4}, band.least_count());
      CPPUNIT_ASSERT_EQUAL(std::size_t{5}, band.voters(band.led()));
      // They bear two more losses.
      band.end((a + 3) % 5);
      band.end((a + 4) % 5);
      CPPUNIT_ASSERT(band.change(band.led()));
      band.good();
    }
  }

  // A second process at the address of a voter that lives.
  void whoStillAnswersIsNotReplaced() {
    RaftCluster band(3);
    std::size_t a = band.led(), b = other_than({a});
    Message word;
    word.from = 4711;
    word.from_address = band.place(b).address;
    word.term = band.core(a).term();
    for (int i = 0; i < 20; ++i) {
      word.kind = i == 0 ? MessageKind::join : MessageKind::appended;
      word.index = band.core(a).commit();
      word.yes = i > 0;
      band.hand(a, word);
      band.run(0.05);
      CPPUNIT_ASSERT(band.count(a).has(band.core(b).self()));
      CPPUNIT_ASSERT_EQUAL(std::size_t{3}, band.voters(a));
    }
  }

  void aDiskFromThePastIsTakenInAnew() {
    for (bool folded : {false, true}) {
      RaftCluster band(3);
      std::size_t a = band.led(), c = (a + 1) % 3;
      CPPUNIT_ASSERT(band.change(a));
      band.run(0.2);
      auto yesterday = band.copy(c);
      MemberId old = band.core(c).self();
      for (int i = 0; i < (folded ? 100 : 5); ++i) CPPUNIT_ASSERT(band.change(a));
      band.run(0.2);
      band.put_disk(c, *yesterday);
      band.start(c);
      CPPUNIT_ASSERT(band.until(3, [&] {
        return band.core(c).self() != old && band.counts(c) && band.core(c).commit() == band.core(a).commit();
      }));
      CPPUNIT_ASSERT(!band.count(a).has(old));
      CPPUNIT_ASSERT_EQUAL(std::size_t{3}, band.voters(a));
      band.end((a + 2) % 3);
      CPPUNIT_ASSERT(band.change(a));
      band.good();
      // Its new id is on its disk.
      MemberId now = band.core(c).self();
      band.end(c);
      band.start(c);
      CPPUNIT_ASSERT_EQUAL(now, band.core(c).self());
    }
  }

  // Four stand where three are wanted. One freezes, one is asked to end: the one that was asked goes, and the
  // frozen one, longer silent, stays. In four with two away nobody would lead.
  void aLeaverGoesAndTheFrozenOneStays() {
    for (double head_start : {0.0, 0.2, 1.0}) {
      RaftCluster band(3);
      stand_in(band);
      std::size_t a = band.led(), b = other_than({a}), c = other_than({a, b});
      band.freeze(b, 30);
      band.run(head_start);
      band.core(c).leave(band.now(c));
      CPPUNIT_ASSERT(!band.core(c).may_end());
      CPPUNIT_ASSERT(band.until(1, [&] { return band.core(c).may_end(); }));
      band.end(c);
      band.run(3);
      a = band.led();
      CPPUNIT_ASSERT_EQUAL(std::size_t{3}, band.voters(a));
      CPPUNIT_ASSERT(band.count(a).has(band.core(b).self()));
      CPPUNIT_ASSERT(band.change(a));
      band.good();
    }
  }

  // Taken for gone while a successor stands, it thaws in the life in which the whole system started: three
  // are wanted as before, and of the four the next that falls silent goes.
  void aFounderThatReturnsIsWantedOnce() {
    RaftCluster band(3);
    stand_in(band);
    std::size_t a = band.led(), b = other_than({a}), c = other_than({a, b});
    band.freeze(b, 2.5);
    band.run(2.4);
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, band.voters(a));
    CPPUNIT_ASSERT(band.until(0.8, [&] { return band.counts(b); }));
    CPPUNIT_ASSERT_EQUAL(3u, band.count(a).wanted);
    band.end(c);
    CPPUNIT_ASSERT(band.until(2, [&] { return band.voters(a) == 3; }));
    band.good();
  }

  // b is gone for good, its successor and c's are still being sent the state when c is told to end: as many
  // stand as are wanted, and yet a and c alone make up the majority.
  void aLeaverHoldsOnWhileItsSuccessorIsSentTheState() {
    RaftCluster band(3);
    std::size_t a = band.led(), b = other_than({a}), c = other_than({a, b});
    // Newcomers need a snapshot, of many pieces; their disks refuse the whole until later.
    CPPUNIT_ASSERT(band.core(a).propose(band.now(a), std::string(5 << 20, 'x')));
    CPPUNIT_ASSERT(band.change(a));
    band.end(b);
    std::size_t after_b = band.add(), after_c = band.add();
    for (std::size_t fresh : {after_b, after_c}) {
      CPPUNIT_ASSERT(!band.start(fresh));
      CPPUNIT_ASSERT(band.until(1, [&] { return band.core(fresh).term() == band.core(a).term(); }));
      band.place(fresh).disk->set_full(true);
    }
    band.run(1);
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, band.voters(a));
    band.core(c).leave(band.now(c));
    // Longer than a restart waits.
    for (int i = 0; i < 20; ++i) {
      band.run(0.1);
      CPPUNIT_ASSERT_MESSAGE("the leaver goes on while it is needed", !band.core(c).may_end());
    }
    for (std::size_t fresh : {after_b, after_c}) band.place(fresh).disk->set_full(false);
    CPPUNIT_ASSERT(band.until(4, [&] { return band.core(c).may_end(); }));
    band.end(c);
    CPPUNIT_ASSERT(band.change(band.led()));
    band.good();
  }

  // It knows of a newcomer only when that one has asked it.
  void aNewLeadersFirstWordsReleaseNoLeaver() {
    RaftCluster band(3);
    std::size_t a = band.led(), c = other_than({a});
    Message word;
    word.kind = MessageKind::append;
    word.from = band.core(a).self();
    word.from_address = band.place(a).address;
    word.term = band.core(a).term();
    word.index = band.core(c).log().last();
    word.log_term = band.core(c).log().term_at(word.index);
    word.commit = band.core(c).commit();
    word.yes = true;
    band.hand(c, word);
    band.core(c).leave(band.now(c));
    CPPUNIT_ASSERT(!band.core(c).may_end());
    // Heartbeats without the word: the first of them change nothing.
    band.run(0.2);
    CPPUNIT_ASSERT(!band.core(c).may_end());
    CPPUNIT_ASSERT(band.until(1, [&] { return band.core(c).may_end(); }));
  }

  // Nobody is coming: what is missing without it is missing whether it waits or not.
  void aRestartBesideALossWaitsForNobody() {
    RaftCluster band(3);
    std::size_t a = band.led(), b = other_than({a}), c = other_than({a, b});
    band.end(b);
    band.run(1);
    band.core(c).leave(band.now(c));
    band.run(0.3);
    CPPUNIT_ASSERT(band.core(c).may_end());
  }

  // What the leaver holds is held by a majority of the others when it ends, also where one of them was away.
  void aLeaverWaitsUntilOthersHoldAll() {
    RaftCluster band(3);
    stand_in(band);
    std::size_t a = band.led(), b = other_than({a}), c = other_than({a, b}), d = other_than({a, b, c});
    band.end(b);
    CPPUNIT_ASSERT(band.change(a));
    // d hears nothing more: a and c alone are no majority of four, and c must not go.
    band.cut_off(d, true, false);
    auto index = band.core(a).propose(band.now(a), "late");
    CPPUNIT_ASSERT(index.has_value());
    band.run(0.1);
    band.core(c).leave(band.now(c));
    for (int i = 0; i < 20; ++i) {
      band.run(0.1);
      CPPUNIT_ASSERT(!band.core(c).may_end());
    }
    band.heal();
    CPPUNIT_ASSERT(band.until(4, [&] { return band.core(c).may_end(); }));
    band.end(c);
    CPPUNIT_ASSERT(band.change(band.led()));
    band.good();
  }

  // b has been silent for nearly long enough as c asks to end, and d does not answer for a moment: c cannot
  // be let go yet. To drop b now would let c end as one of three, and two would be gone.
  void aSilentOneStaysWhileSomebodyLeaves() {
    RaftCluster band(3);
    stand_in(band);
    std::size_t a = band.led(), b = other_than({a}), c = other_than({a, b}), d = other_than({a, b, c});
    MemberId silent = band.core(b).self();
    band.end(b);
    band.run(1.0);
    band.cut_off(d, true, false);
    band.run(0.45);
    CPPUNIT_ASSERT(band.core(a).role() == Core::Role::leader);
    band.core(c).leave(band.now(c));
    band.run(0.3);
    CPPUNIT_ASSERT(!band.core(c).may_end());
    band.heal();
    CPPUNIT_ASSERT(band.until(4, [&] { return band.core(c).may_end(); }));
    a = band.led();
    CPPUNIT_ASSERT(band.count(a).has(silent) && !band.count(a).has(band.core(c).self()));
    band.good();
  }

  // Two are wanted, three stand, one is dead: without the leaver the other would be alone.
  void aLeaverStaysWhereItIsNeeded() {
    RaftCluster band(2);
    std::size_t c = band.add();
    band.start(c);
    CPPUNIT_ASSERT(band.until(3, [&] { return band.counts(c); }));
    std::size_t a = band.led(), b = other_than({a, c});
    CPPUNIT_ASSERT(a != c);
    band.end(b);
    band.run(0.5);
    band.core(c).leave(band.now(c));
    band.run(0.3);
    CPPUNIT_ASSERT(!band.core(c).may_end());
    CPPUNIT_ASSERT(band.change(a));
    band.start(b);
    CPPUNIT_ASSERT(band.until(2, [&] { return band.core(c).may_end(); }));
    band.end(c);
    CPPUNIT_ASSERT(band.change(band.led()));
    band.good();
  }

  // What it wrote last is on no other disk yet, so nobody else can be elected without the frozen one.
  void aLeaverThatHoldsMostLeadsAgainFirst() {
    RaftCluster band(3);
    stand_in(band);
    std::size_t a = band.led(), b = other_than({a});
    band.freeze(b, 30);
    CPPUNIT_ASSERT(band.change(a));
    band.core(a).propose(band.now(a), "sent");
    band.core(a).propose(band.now(a), "not sent yet");
    band.core(a).leave(band.now(a));
    CPPUNIT_ASSERT(band.until(4, [&] { return band.core(a).may_end(); }));
    band.end(a);
    std::size_t leader = band.led();
    CPPUNIT_ASSERT_EQUAL(std::string("not sent yet"), band.place(leader).held.back());
    CPPUNIT_ASSERT(band.count(leader).has(band.core(b).self()));
    CPPUNIT_ASSERT(band.change(leader));
    band.good();
  }

  void aLeaverThatLeadsHandsOver() {
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
      RaftCluster band(3, seed);
      stand_in(band);
      std::size_t a = band.led();
      CPPUNIT_ASSERT(band.change(a));
      band.core(a).leave(band.now(a));
      CPPUNIT_ASSERT(!band.speaks(a));
      CPPUNIT_ASSERT(band.until(1, [&] { return band.core(a).may_end(); }));
      band.end(a);
      CPPUNIT_ASSERT_EQUAL(std::size_t{3}, band.voters(band.led()));
      CPPUNIT_ASSERT(band.change(band.led()));
      band.good();
    }
  }

  // A roll of restarts, a second apart: nobody waits, nobody leaves the count.
  void aRestartWaitsForNobody() {
    RaftCluster band(3);
    for (std::size_t at = 0; at < 3; ++at) {
      band.led();
      band.core(at).leave(band.now(at));
      CPPUNIT_ASSERT(band.core(at).may_end());
      band.run(0.4);
      band.end(at);
      band.run(0.3);
      band.start(at);
      band.run(1);
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, band.voters(band.led()));
    CPPUNIT_ASSERT(band.change(band.led()));
    for (std::size_t at = 0; at < 3; ++at)
      for (Index i = 2; i <= band.core(at).log().last(); ++i)
        CPPUNIT_ASSERT(band.core(at).log().at(i).kind != EntryKind::membership);
    band.good();
  }

  void aLeaverThatReturnsIsTakenInAnew() {
    RaftCluster band(3);
    stand_in(band);
    std::size_t a = band.led(), c = other_than({a});
    band.core(c).leave(band.now(c));
    // It is told when it asks again.
    CPPUNIT_ASSERT(band.until(0.15, [&] { return band.core(c).may_end(); }));
    // Alive for a while yet, it is not taken in again.
    Index out = band.core(a).log().membership_since();
    band.run(0.4);
    CPPUNIT_ASSERT_EQUAL(out, band.core(a).log().membership_since());
    band.end(c);
    band.run(0.5);
    band.start(c);
    CPPUNIT_ASSERT(band.until(0.3, [&] { return band.counts(c); }));
    band.good();
  }

  // A word that reaches somebody who was never taken in, or is out.
  void whoIsNotCountedDoesNotStand() {
    RaftCluster band(3);
    stand_in(band);
    std::size_t a = band.led(), c = other_than({a});
    band.core(c).leave(band.now(c));
    CPPUNIT_ASSERT(band.until(1, [&] { return band.core(c).may_end(); }));
    Message word;
    word.kind = MessageKind::take_over;
    word.from = band.core(a).self();
    word.to = band.core(c).self();
    word.term = band.core(c).term();
    band.hand(c, word);
    CPPUNIT_ASSERT(band.core(c).role() == Core::Role::follower);
    CPPUNIT_ASSERT_EQUAL(word.term, band.core(c).term());
  }

  void aVoteFromOutsideDoesNotCount() {
    RaftCluster band(3);
    std::size_t a = band.led(), b = other_than({a});
    Message word;
    word.kind = MessageKind::take_over;
    word.from = band.core(a).self();
    word.to = band.core(b).self();
    word.term = band.core(b).term();
    band.hand(b, word);
    CPPUNIT_ASSERT(band.core(b).role() == Core::Role::candidate);
    Message vote;
    vote.kind = MessageKind::vote;
    vote.from = 12345;
    vote.to = band.core(b).self();
    vote.term = band.core(b).term();
    vote.yes = true;
    band.hand(b, vote);
    CPPUNIT_ASSERT(band.core(b).role() == Core::Role::candidate);
    vote.from = band.core(a).self();
    band.hand(b, vote);
    CPPUNIT_ASSERT(band.core(b).role() == Core::Role::leader);
  }

  // Elected, its rounds answered, and yet not sure of what is committed: nothing is said.
  void nothingIsServedBeforeTheTermHasCommitted() {
    RaftCluster band(3);
    std::size_t a = band.led(), b = other_than({a});
    CPPUNIT_ASSERT(band.change(a));
    band.end(a);
    CPPUNIT_ASSERT(band.until(5, [&] {
      for (std::size_t at = 0; at < 3; ++at)
        if (band.up(at) && band.core(at).role() == Core::Role::leader) return b = at, true;
      return false;
    }));
    std::size_t c = other_than({a, b});
    Message answer;
    answer.kind = MessageKind::appended;
    answer.from = band.core(c).self();
    answer.to = band.core(b).self();
    answer.term = band.core(b).term();
    answer.round = 1;
    CPPUNIT_ASSERT(band.core(b).commit() < band.core(b).log().last());
    for (; answer.round < 100; ++answer.round) band.hand(b, answer);  // heard, but it holds less
    CPPUNIT_ASSERT(!band.speaks(b));
    CPPUNIT_ASSERT(band.until(1, [&] { return band.speaks(b); }));
    band.good();
  }

  // Leaders cut off, their clocks slow, all others' fast: by as much as Timing says.
  void clocksApartBreakNoLease() {
    auto play = [](std::uint64_t seed, Timing timing) {
      RaftCluster band(3, seed, timing);
      for (int i = 0; i < 6; ++i) {
        std::size_t a = band.led();
        for (std::size_t at = 0; at < 3; ++at) band.place(at).rate = at == a ? 0.95 : 1.05;
        band.run(0.4);
        band.cut_off(a, i % 3 != 1, i % 3 != 2);
        band.run(2);
        band.heal();
        band.run(1);
      }
      return band.fault();
    };
    for (std::uint64_t seed = 1; seed <= 10; ++seed) CPPUNIT_ASSERT_EQUAL(std::string(), play(seed, {}));
    // With a lease for clocks that agree, the same clocks are seen to break it.
    Timing wrong;
    wrong.lease = std::chrono::milliseconds(398);
    wrong.drift = 0;
    std::size_t seen = 0;
    for (std::uint64_t seed = 1; seed <= 10; ++seed) seen += !play(seed, wrong).empty();
    CPPUNIT_ASSERT(seen > 0);
  }

  void aLeaseTooLongIsRefused() {
    Timing timing;
    timing.lease = std::chrono::milliseconds(365);  // 383.3 of a fast clock's, 380 of a slow one's
    World world(1);
    SimDisk disk(world);
    Place machine;
    Options options;
    options.address = "m0";
    options.fresh_id = 1;
    options.timing = timing;
    CPPUNIT_ASSERT(Core(disk, machine, options).start(world.now()));
    options.timing.lease = std::chrono::milliseconds(360);
    CPPUNIT_ASSERT(!Core(disk, machine, options).start(world.now()));
  }

  // 0 both ways, 1 in, 2 out, 3 from one follower.
  void cutOffForTwentySeconds() {
    for (std::size_t members : {3, 5})
      for (int way = 0; way < 4; ++way)
        for (std::uint64_t seed = 1; seed <= 3; ++seed) {
          RaftCluster band(members, seed);
          std::size_t a = band.led(), b = (a + 1) % members;
          CPPUNIT_ASSERT(band.change(a));
          Term term = band.core(a).term();
          if (way == 3) {
            band.cut(a, b);
            band.cut(b, a);
          } else {
            band.cut_off(a, way != 2, way != 1);
          }
          double cut = band.seconds();
          if (way != 3) {
            auto index = band.core(a).propose(band.now(a), "to the smaller side");
            CPPUNIT_ASSERT(index.has_value());
            band.run(0.301);
            CPPUNIT_ASSERT_MESSAGE("a lease is over", !band.speaks(a));
            CPPUNIT_ASSERT(band.until(3, [&] { return band.speaker() < members; }));
            band.run(0.7);
            CPPUNIT_ASSERT(band.core(a).role() != Core::Role::leader);
          } else {
            // One follower's silence takes the lead from nobody, and its own tries raise no term.
            band.run(5);
            CPPUNIT_ASSERT(band.speaks(a));
            CPPUNIT_ASSERT_EQUAL(term, band.core(a).term());
          }
          CPPUNIT_ASSERT(band.change(band.led()));
          band.run(cut + 20 - band.seconds());
          std::size_t leader = band.led();
          CPPUNIT_ASSERT((leader == a) == (way == 3));
          Term settled = band.core(leader).term();
          band.heal();
          // Healing costs nothing: the leader goes on, and whoever was away follows it.
          for (int i = 0; i < 100; ++i) {
            band.run(0.01);
            CPPUNIT_ASSERT(band.speaks(leader));
          }
          CPPUNIT_ASSERT_EQUAL(settled, band.core(leader).term());
          for (std::size_t at = 0; at < members; ++at)
            CPPUNIT_ASSERT_EQUAL(band.core(leader).commit(), band.core(at).commit());
          band.good();
        }
  }

  // A leader that has just answered a change, proposed one, been answered by one: frozen for two seconds at
  // each millisecond of three heartbeats. It wakes with nothing to say.
  void frozenAtEachMoment() {
    for (int moment = 0; moment < 240; moment += 3) {
      RaftCluster band(3, 7);
      std::size_t a = band.led();
      CPPUNIT_ASSERT(band.change(a));
      band.core(a).propose(band.now(a), "under way");
      band.run(0.001 * moment);
      band.freeze(a, 2);
      band.run(1.9);
      CPPUNIT_ASSERT(band.led() != a);
      CPPUNIT_ASSERT(band.change(band.led()));
      // All that it knows as it wakes, before it has read a word.
      CPPUNIT_ASSERT(!band.core(a).may_speak(band.now(a)));
      band.run(0.2);
      CPPUNIT_ASSERT(!band.speaks(a));
      band.run(0.5);
      CPPUNIT_ASSERT(band.core(a).role() == Core::Role::follower);
      band.good();
    }
  }

  void anyOrderOfLossesLeavesAMajority() {
    for (std::size_t members : {3, 5})
      for (std::uint64_t seed = 1; seed <= walks; ++seed) {
        Walk walk(members, seed);
        std::string fault = walk.play(25, most_without);
        if (fault.empty()) continue;
        std::string told = std::to_string(members) + " members, seed " + std::to_string(seed) + ": " + fault;
        for (const std::string& line : walk.story()) told += "\n  " + line;
        CPPUNIT_FAIL(told);
      }
  }

 private:
  static constexpr double most_without = 4;
};

CPPUNIT_TEST_SUITE_REGISTRATION(AgreementTest);

}  // namespace pearspar::raft
