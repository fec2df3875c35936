// Safety rules of the Raft core for voting, commits, membership changes and leases, tested with single
// messages.
#include "raft_cluster.h"

namespace pearspar::raft {

class RaftMessageTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RaftMessageTest);
  CPPUNIT_TEST(entryOfEarlierTermIsNotCommittedByReplicaCount);
  CPPUNIT_TEST(oneMembershipChangeAtATime);
  CPPUNIT_TEST(noMembershipChangeBeforeEntryOfOwnTermIsCommitted);
  CPPUNIT_TEST(leaseStartsWhenRoundIsSent);
  CPPUNIT_TEST(oneVotePerTermAcrossRestart);
  CPPUNIT_TEST(candidateWithOlderLogGetsNoVote);
  CPPUNIT_TEST(candidateNeedsMajority);
  CPPUNIT_TEST(messageForEarlierIdIsIgnored);
  CPPUNIT_TEST(chunkOfAnotherSnapshotRestartsTransfer);
  CPPUNIT_TEST_SUITE_END();

  static Message append_response(const Core& leader, MemberId by, Index index) {
    Message response;
    response.kind = MessageKind::append_response;
    response.from = by;
    response.to = leader.self();
    response.term = leader.term();
    response.round = 1;
    response.index = index;
    response.flag = true;
    return response;
  }
  static Message join(const Core& leader, MemberId id, const std::string& address) {
    Message message;
    message.kind = MessageKind::join;
    message.from = id;
    message.from_address = address;
    message.term = leader.term();
    message.index = leader.log().last();
    return message;
  }
  // Marked as a leadership transfer, so that it is considered while the leader is alive.
  static Message vote_request(RaftCluster& band, std::size_t by, std::size_t of) {
    Message message;
    message.kind = MessageKind::vote_request;
    message.from = band.core(by).self();
    message.from_address = band.place(by).address;
    message.to = band.core(of).self();
    message.term = band.core(by).term() + 1;
    message.index = band.core(by).log().last();
    message.log_term = band.core(by).log().last_term();
    message.flag = true;
    return message;
  }
  static bool grants_vote(RaftCluster& band, std::size_t at, const Message& message) {
    static_cast<void>(band.core(at).take_out());
    band.hand(at, message);
    for (const OutgoingMessage& out : band.core(at).take_out())
      if (out.message.kind == MessageKind::vote_response && out.message.flag) return true;
    return false;
  }
  // Returns a leader that has not received any response yet.
  static std::size_t wait_for_new_leader(RaftCluster& band) {
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
  // An entry of an earlier term that reaches a majority could still be replaced by a leader of a term in
  // between, so it is committed only together with an entry of the leader's own term.
  void entryOfEarlierTermIsNotCommittedByReplicaCount() {
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
    CPPUNIT_ASSERT_EQUAL(b, wait_for_new_leader(band));
    MemberId other = band.core(c).self();
    band.hand(b, append_response(band.core(b), other, *late));
    CPPUNIT_ASSERT(band.core(b).commit() < *late);
    band.hand(b, append_response(band.core(b), other, *late + 1));
    CPPUNIT_ASSERT_EQUAL(*late + 1, band.core(b).commit());
  }

  // Two members are ready to join. The second must wait until the first addition is committed, since
  // majorities of three and of five voters need not overlap.
  void oneMembershipChangeAtATime() {
    RaftCluster band(3);
    std::size_t a = band.led();
    CPPUNIT_ASSERT(band.change(a));
    Core& leader = band.core(a);
    for (MemberId id : {4711, 4712}) {
      std::string address = "m" + std::to_string(band.add());
      band.hand(a, join(leader, id, address));
      band.hand(a, append_response(leader, id, leader.log().last()));
      CPPUNIT_ASSERT_EQUAL(std::size_t{4}, band.voters(a));
      CPPUNIT_ASSERT(leader.commit() < leader.log().membership_index());
    }
  }

  // An earlier leader may have left an uncommitted membership change that this one does not know of; the two
  // resulting memberships might have majorities that do not overlap.
  void noMembershipChangeBeforeEntryOfOwnTermIsCommitted() {
    RaftCluster band(3);
    std::size_t a = band.led();
    CPPUNIT_ASSERT(band.change(a));
    band.end(a);
    std::size_t b = wait_for_new_leader(band), newcomer = band.add();
    Core& leader = band.core(b);
    band.hand(b, join(leader, 4711, band.place(newcomer).address));
    band.hand(b, append_response(leader, 4711, leader.log().last()));
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, band.voters(b));
    CPPUNIT_ASSERT(band.until(0.3, [&] { return band.speaks(b); }));
    band.hand(b, append_response(leader, 4711, leader.log().last()));
    CPPUNIT_ASSERT_EQUAL(std::size_t{4}, band.voters(b));
  }

  // Responses that were sent before a partition and arrive late must not extend the lease.
  void leaseStartsWhenRoundIsSent() {
    RaftCluster band(3);
    std::size_t a = band.led();
    CPPUNIT_ASSERT(band.change(a));
    band.cut_off(a, true, true);
    for (int i = 0; i < 31; ++i) {
      for (const Member& voter : Membership(band.count(a)).voters)
        if (voter.id != band.core(a).self())
          band.hand(a, append_response(band.core(a), voter.id, band.core(a).commit()));
      band.run(0.01);
    }
    CPPUNIT_ASSERT(band.core(a).role() == Core::Role::leader);
    CPPUNIT_ASSERT(!band.speaks(a));
  }

  void oneVotePerTermAcrossRestart() {
    RaftCluster band(3);
    std::size_t a = band.led(), b = (a + 1) % 3, c = (a + 2) % 3;
    band.run(0.2);
    Message of_a = vote_request(band, a, b), of_c = vote_request(band, c, b);
    CPPUNIT_ASSERT(grants_vote(band, b, of_c));
    CPPUNIT_ASSERT(!grants_vote(band, b, of_a));
    CPPUNIT_ASSERT(grants_vote(band, b, of_c));
    band.end(b);
    CPPUNIT_ASSERT(!band.start(b));
    CPPUNIT_ASSERT(!grants_vote(band, b, of_a));
    CPPUNIT_ASSERT(grants_vote(band, b, of_c));
  }

  void candidateWithOlderLogGetsNoVote() {
    RaftCluster band(3);
    std::size_t a = band.led(), b = (a + 1) % 3, c = (a + 2) % 3;
    CPPUNIT_ASSERT(band.change(a));
    band.run(0.2);
    Message behind = vote_request(band, c, b);
    --behind.index;
    CPPUNIT_ASSERT(!grants_vote(band, b, behind));
    Message older_term = vote_request(band, c, b);
    older_term.index += 10;
    --older_term.log_term;
    older_term.term += 1;
    CPPUNIT_ASSERT(!grants_vote(band, b, older_term));
    Message current = vote_request(band, c, b);
    current.term += 2;
    CPPUNIT_ASSERT(grants_vote(band, b, current));
  }

  void candidateNeedsMajority() {
    RaftCluster band(5);
    std::size_t a = band.led(), b = (a + 1) % 5;
    Message message;
    message.kind = MessageKind::timeout_now;
    message.from = band.core(a).self();
    message.to = band.core(b).self();
    message.term = band.core(b).term();
    band.hand(b, message);
    Message vote;
    vote.kind = MessageKind::vote_response;
    vote.to = band.core(b).self();
    vote.term = band.core(b).term();
    vote.flag = true;
    for (std::size_t by : {(a + 2) % 5, (a + 3) % 5}) {
      CPPUNIT_ASSERT(band.core(b).role() == Core::Role::candidate);
      vote.from = band.core(by).self();
      band.hand(b, vote);
    }
    CPPUNIT_ASSERT(band.core(b).role() == Core::Role::leader);
  }

  // The earlier id of a member that lost its disk may have voted differently.
  void messageForEarlierIdIsIgnored() {
    RaftCluster band(3);
    std::size_t a = band.led(), b = (a + 1) % 3, c = (a + 2) % 3;
    Message for_old_id = vote_request(band, c, b);
    band.wipe(b);
    band.start(b);
    CPPUNIT_ASSERT(for_old_id.to != band.core(b).self());
    CPPUNIT_ASSERT(!grants_vote(band, b, for_old_id));
    Message for_new_id = for_old_id;
    for_new_id.to = band.core(b).self();
    CPPUNIT_ASSERT(grants_vote(band, b, for_new_id));
  }

  // Chunks of two snapshots must not be combined.
  void chunkOfAnotherSnapshotRestartsTransfer() {
    RaftCluster band(3);
    std::size_t a = band.led(), c = (a + 1) % 3;
    Message chunk;
    chunk.kind = MessageKind::snapshot_chunk;
    chunk.from = band.core(a).self();
    chunk.from_address = band.place(a).address;
    chunk.to = band.core(c).self();
    chunk.term = band.core(a).term();
    chunk.snapshot.index = band.core(c).commit() + 100;
    chunk.snapshot.term = chunk.term;
    chunk.snapshot.membership = band.count(c);
    chunk.total = 8;
    auto received_bytes = [&](const std::string& bytes, std::uint64_t digest) {
      chunk.snapshot.state = bytes;
      chunk.digest = digest;
      static_cast<void>(band.core(c).take_out());
      band.hand(c, chunk);
      for (const OutgoingMessage& out : band.core(c).take_out())
        if (out.message.kind == MessageKind::snapshot_chunk_response) return out.message.offset;
      return std::uint64_t{99};
    };
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{4}, received_bytes("aaaa", 1));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, received_bytes("bb", 2));
    ++chunk.snapshot.index;
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{3}, received_bytes("ccc", 2));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RaftMessageTest);

}  // namespace pearspar::raft
