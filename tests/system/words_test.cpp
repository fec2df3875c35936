// What a member may promise, commit, count and say, by words handed to it.
#include "raft_cluster.h"

namespace pearspar::raft {

class WordsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(WordsTest);
  CPPUNIT_TEST(anEntryOfAnEarlierTermIsNotCommittedByCount);
  CPPUNIT_TEST(oneChangeOfTheMembershipAtATime);
  CPPUNIT_TEST(noChangeOfTheMembershipBeforeTheTermHasCommitted);
  CPPUNIT_TEST(aLeaseCountsFromTheSendingOfARound);
  CPPUNIT_TEST(oneVoteInATermAlsoAfterAStart);
  CPPUNIT_TEST(whoIsBehindGetsNoVote);
  CPPUNIT_TEST(aMajorityElects);
  CPPUNIT_TEST(aWordForAnEarlierIdIsNotTaken);
  CPPUNIT_TEST(aPieceOfAnotherSnapshotBeginsAnew);
  CPPUNIT_TEST_SUITE_END();

  static Message held(const Core& leader, MemberId by, Index index) {
    Message answer;
    answer.kind = MessageKind::appended;
    answer.from = by;
    answer.to = leader.self();
    answer.term = leader.term();
    answer.round = 1;
    answer.index = index;
    answer.yes = true;
    return answer;
  }
  static Message join(const Core& leader, MemberId who, const std::string& address) {
    Message message;
    message.kind = MessageKind::join;
    message.from = who;
    message.from_address = address;
    message.term = leader.term();
    message.index = leader.log().last();
    return message;
  }
  // By whom the leader has handed the lead over to, so that it is looked at while the leader lives.
  static Message ask(RaftCluster& band, std::size_t by, std::size_t of) {
    Message message;
    message.kind = MessageKind::ask_vote;
    message.from = band.core(by).self();
    message.from_address = band.place(by).address;
    message.to = band.core(of).self();
    message.term = band.core(by).term() + 1;
    message.index = band.core(by).log().last();
    message.log_term = band.core(by).log().last_term();
    message.yes = true;
    return message;
  }
  static bool votes(RaftCluster& band, std::size_t at, const Message& message) {
    static_cast<void>(band.core(at).take_out());
    band.hand(at, message);
    for (const Outgoing& out : band.core(at).take_out())
      if (out.message.kind == MessageKind::vote && out.message.yes) return true;
    return false;
  }
  // Just elected: nobody has answered yet.
  static std::size_t elected(RaftCluster& band) {
    std::size_t at = 0;
    CPPUNIT_ASSERT(band.until(5, [&] {
      for (at = 0; at < band.places(); ++at)
        if (band.up(at) && band.core(at).role() == Core::Role::leader) return true;
      return false;
    }));
    CPPUNIT_ASSERT(band.core(at).commit() < band.core(at).log().last());
    return at;
  }

 public:
  // "late" stands on b's disk alone. Once c has it too it is on a majority's, and yet a member whose last
  // entry is of a term in between would be elected without it: it counts only under an entry of b's own term.
  void anEntryOfAnEarlierTermIsNotCommittedByCount() {
    RaftCluster band(3);
    std::size_t a = band.led(), b = (a + 1) % 3, c = (a + 2) % 3;
    CPPUNIT_ASSERT(band.change(a));
    band.run(0.3);
    band.cut(a, c);
    band.cut(b, a);
    auto late = band.core(a).propose(band.now(a), "late");
    CPPUNIT_ASSERT(late.has_value());
    band.run(0.05);
    band.end(a);
    band.heal();
    CPPUNIT_ASSERT_EQUAL(*late, band.core(b).log().last());
    CPPUNIT_ASSERT_EQUAL(b, elected(band));
    MemberId other = band.core(c).self();
    band.hand(b, held(band.core(b), other, *late));
    CPPUNIT_ASSERT(band.core(b).commit() < *late);
    band.hand(b, held(band.core(b), other, *late + 1));
    CPPUNIT_ASSERT_EQUAL(*late + 1, band.core(b).commit());
  }

  // Two newcomers have caught up, and nobody has written down that the first is in: three and five would not
  // need to share a member.
  void oneChangeOfTheMembershipAtATime() {
    RaftCluster band(3);
    std::size_t a = band.led();
    CPPUNIT_ASSERT(band.change(a));
    Core& leader = band.core(a);
    for (MemberId who : {4711, 4712}) {
      std::string address = "m" + std::to_string(band.add());
      band.hand(a, join(leader, who, address));
      band.hand(a, held(leader, who, leader.log().last()));
      CPPUNIT_ASSERT_EQUAL(std::size_t{4}, band.voters(a));
      CPPUNIT_ASSERT(leader.commit() < leader.log().membership_since());
    }
  }

  // A leader before it may have left an entry on a change that this one does not know: two changes that both
  // begin at three are not neighbours.
  void noChangeOfTheMembershipBeforeTheTermHasCommitted() {
    RaftCluster band(3);
    std::size_t a = band.led();
    CPPUNIT_ASSERT(band.change(a));
    band.end(a);
    std::size_t b = elected(band), newcomer = band.add();
    Core& leader = band.core(b);
    band.hand(b, join(leader, 4711, band.place(newcomer).address));
    band.hand(b, held(leader, 4711, leader.log().last()));
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, band.voters(b));
    CPPUNIT_ASSERT(band.until(0.3, [&] { return band.speaks(b); }));
    band.hand(b, held(leader, 4711, leader.log().last()));
    CPPUNIT_ASSERT_EQUAL(std::size_t{4}, band.voters(b));
  }

  // Cut off, it is told by a slow link what was answered before the cut: that says nothing of now.
  void aLeaseCountsFromTheSendingOfARound() {
    RaftCluster band(3);
    std::size_t a = band.led();
    CPPUNIT_ASSERT(band.change(a));
    band.cut_off(a, true, true);
    for (int i = 0; i < 31; ++i) {
      for (const Member& voter : Membership(band.count(a)).voters)
        if (voter.id != band.core(a).self())
          band.hand(a, held(band.core(a), voter.id, band.core(a).commit()));
      band.run(0.01);
    }
    CPPUNIT_ASSERT(band.core(a).role() == Core::Role::leader);
    CPPUNIT_ASSERT(!band.speaks(a));
  }

  void oneVoteInATermAlsoAfterAStart() {
    RaftCluster band(3);
    std::size_t a = band.led(), b = (a + 1) % 3, c = (a + 2) % 3;
    band.run(0.2);
    Message of_a = ask(band, a, b), of_c = ask(band, c, b);
    CPPUNIT_ASSERT(votes(band, b, of_c));
    CPPUNIT_ASSERT(!votes(band, b, of_a));
    CPPUNIT_ASSERT(votes(band, b, of_c));
    band.end(b);
    CPPUNIT_ASSERT(!band.start(b));
    CPPUNIT_ASSERT(!votes(band, b, of_a));
    CPPUNIT_ASSERT(votes(band, b, of_c));
  }

  void whoIsBehindGetsNoVote() {
    RaftCluster band(3);
    std::size_t a = band.led(), b = (a + 1) % 3, c = (a + 2) % 3;
    CPPUNIT_ASSERT(band.change(a));
    band.run(0.2);
    Message behind = ask(band, c, b);
    --behind.index;
    CPPUNIT_ASSERT(!votes(band, b, behind));
    Message older = ask(band, c, b);
    older.index += 10;
    --older.log_term;
    older.term += 1;
    CPPUNIT_ASSERT(!votes(band, b, older));
    Message good = ask(band, c, b);
    good.term += 2;
    CPPUNIT_ASSERT(votes(band, b, good));
  }

  void aMajorityElects() {
    RaftCluster band(5);
    std::size_t a = band.led(), b = (a + 1) % 5;
    Message word;
    word.kind = MessageKind::take_over;
    word.from = band.core(a).self();
    word.to = band.core(b).self();
    word.term = band.core(b).term();
    band.hand(b, word);
    Message vote;
    vote.kind = MessageKind::vote;
    vote.to = band.core(b).self();
    vote.term = band.core(b).term();
    vote.yes = true;
    for (std::size_t by : {(a + 2) % 5, (a + 3) % 5}) {
      CPPUNIT_ASSERT(band.core(b).role() == Core::Role::candidate);
      vote.from = band.core(by).self();
      band.hand(b, vote);
    }
    CPPUNIT_ASSERT(band.core(b).role() == Core::Role::leader);
  }

  // Meant for who was there before its disk was lost: that one may have promised otherwise.
  void aWordForAnEarlierIdIsNotTaken() {
    RaftCluster band(3);
    std::size_t a = band.led(), b = (a + 1) % 3, c = (a + 2) % 3;
    Message for_before = ask(band, c, b);
    band.wipe(b);
    band.start(b);
    CPPUNIT_ASSERT(for_before.to != band.core(b).self());
    CPPUNIT_ASSERT(!votes(band, b, for_before));
    Message for_now = for_before;
    for_now.to = band.core(b).self();
    CPPUNIT_ASSERT(votes(band, b, for_now));
  }

  // Half of one and half of another are no snapshot.
  void aPieceOfAnotherSnapshotBeginsAnew() {
    RaftCluster band(3);
    std::size_t a = band.led(), c = (a + 1) % 3;
    Message piece;
    piece.kind = MessageKind::piece;
    piece.from = band.core(a).self();
    piece.from_address = band.place(a).address;
    piece.to = band.core(c).self();
    piece.term = band.core(a).term();
    piece.snapshot.index = band.core(c).commit() + 100;
    piece.snapshot.term = piece.term;
    piece.snapshot.membership = band.count(c);
    piece.total = 8;
    auto held = [&](const std::string& bytes, std::uint64_t digest) {
      piece.snapshot.state = bytes;
      piece.digest = digest;
      static_cast<void>(band.core(c).take_out());
      band.hand(c, piece);
      for (const Outgoing& out : band.core(c).take_out())
        if (out.message.kind == MessageKind::piece_held) return out.message.offset;
      return std::uint64_t{99};
    };
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{4}, held("aaaa", 1));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, held("bb", 2));
    ++piece.snapshot.index;
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{3}, held("ccc", 2));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(WordsTest);

}  // namespace pearspar::raft
