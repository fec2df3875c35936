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
  static Message vote_request(RaftCluster& cluster, std::size_t by, std::size_t of) {
    Message message;
    message.kind = MessageKind::vote_request;
    message.from = cluster.core(by).self();
    message.from_address = cluster.member(by).address;
    message.to = cluster.core(of).self();
    message.term = cluster.core(by).term() + 1;
    message.index = cluster.core(by).log().last();
    message.log_term = cluster.core(by).log().last_term();
    message.flag = true;
    return message;
  }
  static bool grants_vote(RaftCluster& cluster, std::size_t at, const Message& message) {
    static_cast<void>(cluster.core(at).take_out());
    cluster.deliver(at, message);
    for (const OutgoingMessage& out : cluster.core(at).take_out())
      if (out.message.kind == MessageKind::vote_response && out.message.flag) return true;
    return false;
  }
  // Returns a leader that has not received any response yet.
  static std::size_t wait_for_new_leader(RaftCluster& cluster) {
    std::size_t at = 0;
    CPPUNIT_ASSERT(cluster.until(5, [&] {
      for (at = 0; at < cluster.size(); ++at)
        if (cluster.up(at) && cluster.core(at).role() == Core::Role::leader) return true;
      return false;
    }));
    CPPUNIT_ASSERT(cluster.core(at).commit() < cluster.core(at).log().last());
    return at;
  }

 public:
  // An entry of an earlier term that reaches a majority could still be replaced by a leader of a term in
  // between, so it is committed only together with an entry of the leader's own term.
  void entryOfEarlierTermIsNotCommittedByReplicaCount() {
    RaftCluster cluster(3);
    std::size_t a = cluster.wait_for_leader(), b = (a + 1) % 3, c = (a + 2) % 3;
    CPPUNIT_ASSERT(cluster.commit_change(a));
    cluster.run(0.3);
    cluster.cut(a, c);
    cluster.cut(b, a);
    auto late = cluster.core(a).propose(cluster.now(a), "late");
    CPPUNIT_ASSERT(late.has_value());
    cluster.run(0.05);
    cluster.stop(a);
    cluster.heal();
    CPPUNIT_ASSERT_EQUAL(*late, cluster.core(b).log().last());
    CPPUNIT_ASSERT_EQUAL(b, wait_for_new_leader(cluster));
    MemberId other = cluster.core(c).self();
    cluster.deliver(b, append_response(cluster.core(b), other, *late));
    CPPUNIT_ASSERT(cluster.core(b).commit() < *late);
    cluster.deliver(b, append_response(cluster.core(b), other, *late + 1));
    CPPUNIT_ASSERT_EQUAL(*late + 1, cluster.core(b).commit());
  }

  // Two members are ready to join. The second must wait until the first addition is committed, since
  // majorities of three and of five voters need not overlap.
  void oneMembershipChangeAtATime() {
    RaftCluster cluster(3);
    std::size_t a = cluster.wait_for_leader();
    CPPUNIT_ASSERT(cluster.commit_change(a));
    Core& leader = cluster.core(a);
    for (MemberId id : {4711, 4712}) {
      std::string address = "m" + std::to_string(cluster.add());
      cluster.deliver(a, join(leader, id, address));
      cluster.deliver(a, append_response(leader, id, leader.log().last()));
      CPPUNIT_ASSERT_EQUAL(std::size_t{4}, cluster.voter_count(a));
      CPPUNIT_ASSERT(leader.commit() < leader.log().membership_index());
    }
  }

  // An earlier leader may have left an uncommitted membership change that this one does not know of; the two
  // resulting memberships might have majorities that do not overlap.
  void noMembershipChangeBeforeEntryOfOwnTermIsCommitted() {
    RaftCluster cluster(3);
    std::size_t a = cluster.wait_for_leader();
    CPPUNIT_ASSERT(cluster.commit_change(a));
    cluster.stop(a);
    std::size_t b = wait_for_new_leader(cluster), newcomer = cluster.add();
    Core& leader = cluster.core(b);
    cluster.deliver(b, join(leader, 4711, cluster.member(newcomer).address));
    cluster.deliver(b, append_response(leader, 4711, leader.log().last()));
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, cluster.voter_count(b));
    CPPUNIT_ASSERT(cluster.until(0.3, [&] { return cluster.holds_lease(b); }));
    cluster.deliver(b, append_response(leader, 4711, leader.log().last()));
    CPPUNIT_ASSERT_EQUAL(std::size_t{4}, cluster.voter_count(b));
  }

  // Responses that were sent before a partition and arrive late must not extend the lease.
  void leaseStartsWhenRoundIsSent() {
    RaftCluster cluster(3);
    std::size_t a = cluster.wait_for_leader();
    CPPUNIT_ASSERT(cluster.commit_change(a));
    cluster.cut_off(a, true, true);
    for (int i = 0; i < 31; ++i) {
      for (const Member& voter : Membership(cluster.membership(a)).voters)
        if (voter.id != cluster.core(a).self())
          cluster.deliver(a, append_response(cluster.core(a), voter.id, cluster.core(a).commit()));
      cluster.run(0.01);
    }
    CPPUNIT_ASSERT(cluster.core(a).role() == Core::Role::leader);
    CPPUNIT_ASSERT(!cluster.holds_lease(a));
  }

  void oneVotePerTermAcrossRestart() {
    RaftCluster cluster(3);
    std::size_t a = cluster.wait_for_leader(), b = (a + 1) % 3, c = (a + 2) % 3;
    cluster.run(0.2);
    Message of_a = vote_request(cluster, a, b), of_c = vote_request(cluster, c, b);
    CPPUNIT_ASSERT(grants_vote(cluster, b, of_c));
    CPPUNIT_ASSERT(!grants_vote(cluster, b, of_a));
    CPPUNIT_ASSERT(grants_vote(cluster, b, of_c));
    cluster.stop(b);
    CPPUNIT_ASSERT(!cluster.start(b));
    CPPUNIT_ASSERT(!grants_vote(cluster, b, of_a));
    CPPUNIT_ASSERT(grants_vote(cluster, b, of_c));
  }

  void candidateWithOlderLogGetsNoVote() {
    RaftCluster cluster(3);
    std::size_t a = cluster.wait_for_leader(), b = (a + 1) % 3, c = (a + 2) % 3;
    CPPUNIT_ASSERT(cluster.commit_change(a));
    cluster.run(0.2);
    Message behind = vote_request(cluster, c, b);
    --behind.index;
    CPPUNIT_ASSERT(!grants_vote(cluster, b, behind));
    Message older_term = vote_request(cluster, c, b);
    older_term.index += 10;
    --older_term.log_term;
    older_term.term += 1;
    CPPUNIT_ASSERT(!grants_vote(cluster, b, older_term));
    Message current = vote_request(cluster, c, b);
    current.term += 2;
    CPPUNIT_ASSERT(grants_vote(cluster, b, current));
  }

  void candidateNeedsMajority() {
    RaftCluster cluster(5);
    std::size_t a = cluster.wait_for_leader(), b = (a + 1) % 5;
    Message message;
    message.kind = MessageKind::timeout_now;
    message.from = cluster.core(a).self();
    message.to = cluster.core(b).self();
    message.term = cluster.core(b).term();
    cluster.deliver(b, message);
    Message vote;
    vote.kind = MessageKind::vote_response;
    vote.to = cluster.core(b).self();
    vote.term = cluster.core(b).term();
    vote.flag = true;
    for (std::size_t by : {(a + 2) % 5, (a + 3) % 5}) {
      CPPUNIT_ASSERT(cluster.core(b).role() == Core::Role::candidate);
      vote.from = cluster.core(by).self();
      cluster.deliver(b, vote);
    }
    CPPUNIT_ASSERT(cluster.core(b).role() == Core::Role::leader);
  }

  // The earlier id of a member that lost its disk may have voted differently.
  void messageForEarlierIdIsIgnored() {
    RaftCluster cluster(3);
    std::size_t a = cluster.wait_for_leader(), b = (a + 1) % 3, c = (a + 2) % 3;
    Message for_old_id = vote_request(cluster, c, b);
    cluster.wipe(b);
    cluster.start(b);
    CPPUNIT_ASSERT(for_old_id.to != cluster.core(b).self());
    CPPUNIT_ASSERT(!grants_vote(cluster, b, for_old_id));
    Message for_new_id = for_old_id;
    for_new_id.to = cluster.core(b).self();
    CPPUNIT_ASSERT(grants_vote(cluster, b, for_new_id));
  }

  // Chunks of two snapshots must not be combined.
  void chunkOfAnotherSnapshotRestartsTransfer() {
    RaftCluster cluster(3);
    std::size_t a = cluster.wait_for_leader(), c = (a + 1) % 3;
    Message chunk;
    chunk.kind = MessageKind::snapshot_chunk;
    chunk.from = cluster.core(a).self();
    chunk.from_address = cluster.member(a).address;
    chunk.to = cluster.core(c).self();
    chunk.term = cluster.core(a).term();
    chunk.snapshot.index = cluster.core(c).commit() + 100;
    chunk.snapshot.term = chunk.term;
    chunk.snapshot.membership = cluster.membership(c);
    chunk.total = 8;
    auto received_bytes = [&](const std::string& bytes, std::uint64_t digest) {
      chunk.snapshot.state = bytes;
      chunk.digest = digest;
      static_cast<void>(cluster.core(c).take_out());
      cluster.deliver(c, chunk);
      for (const OutgoingMessage& out : cluster.core(c).take_out())
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
