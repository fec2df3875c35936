// Log replication and snapshot transfer: losses, heavy writes, silent members and malformed messages.
#include <random>
#include <set>

#include "replication_harness.h"

namespace pearspar::raft {

class ReplicationTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ReplicationTest);
  CPPUNIT_TEST(largeSnapshotIsSentInChunksAlongsideHeartbeats);
  CPPUNIT_TEST(transferContinuesAfterLoss);
  CPPUNIT_TEST(transferRestartsAfterPowerLoss);
  CPPUNIT_TEST(transferRestartsAfterLeaderChange);
  CPPUNIT_TEST(receivedSnapshotIsInstalledOnceDiskHasRoom);
  CPPUNIT_TEST(chunkFromDeposedLeaderIsIgnored);
  CPPUNIT_TEST(oversizedSnapshotIsRejected);
  CPPUNIT_TEST(transferIsNotRestartedUnderHeavyWrites);
  CPPUNIT_TEST(concurrentTransfersShareOneSnapshot);
  CPPUNIT_TEST(transferRestartsWhenRetainedEntriesExceedLimit);
  CPPUNIT_TEST(delayedSnapshotKeepsAcknowledgedEntries);
  CPPUNIT_TEST(rollingPowerLossUnderHeavyWrites);
  CPPUNIT_TEST(silentMemberGetsOneUnansweredAppend);
  CPPUNIT_TEST(memberWithFullDiskCatchesUpLater);
  CPPUNIT_TEST(malformedMessagesDoNotCorruptTheLog);
  CPPUNIT_TEST(leaderRejectsResponseBeyondItsLog);
  CPPUNIT_TEST(memberWithoutChunkSupportGetsWholeSnapshot);
  CPPUNIT_TEST(appendOfManySmallEntriesIsDecodable);
  CPPUNIT_TEST_SUITE_END();

 public:
  // A transfer of 10 MB takes about 5 s; meanwhile the leader must set_targets its lease and accept changes.
  void largeSnapshotIsSentInChunksAlongsideHeartbeats() {
    LaggingMember lagging(10 * mb);
    ReplicationHarness& harness = lagging.harness;
    ReplicationHarness::Node& leader_node = harness.wait_for_leader();
    harness.max_queued_bytes = 0;
    lagging.receive(1);
    int accepted = 0, polls = 0;
    double elapsed_s = harness.run_until(20, [&] {
      CPPUNIT_ASSERT(harness.leader() == &leader_node);
      if (++polls % 10 == 0) accepted += harness.propose(1000, 7);
      return harness.in_sync(*lagging.member) && lagging.member->core->counters().snapshots_installed == 1;
    });
    CPPUNIT_ASSERT(elapsed_s < 8 && accepted > 40);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, leader_node.core->counters().snapshot_transfers);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{40},
                         leader_node.core->counters().chunks_sent);  // 256 KB each, sent once
    CPPUNIT_ASSERT(harness.bytes_sent_to[lagging.member->address] < 11 * mb);
    CPPUNIT_ASSERT(harness.max_queued_bytes < 600 << 10);
  }

  void transferContinuesAfterLoss() {
    LaggingMember lagging(4 * mb);
    ReplicationHarness& harness = lagging.harness;
    harness.should_drop = [&](const Message& message, const std::string&) {
      return (message.kind == MessageKind::snapshot_chunk ||
              message.kind == MessageKind::snapshot_chunk_response) &&
             harness.world.chance(0.1);
    };
    lagging.receive(2 * mb);
    lagging.member->isolated = true;  // for one second
    harness.run_for(1);
    lagging.member->isolated = false;
    lagging.expect_caught_up(30);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, harness.wait_for_leader().core->counters().snapshot_transfers);
    // 16 chunks, and repetitions of lost ones.
    CPPUNIT_ASSERT(harness.wait_for_leader().core->counters().chunks_sent < 28);
  }

  void transferRestartsAfterPowerLoss() {
    LaggingMember lagging(4 * mb);
    Index before = 0;
    for (int i = 0; i < 2; ++i) {
      lagging.receive(2 * mb);
      before = lagging.member->core->applied();
      lagging.harness.kill(*lagging.member, true);
      PersistentState stored;
      lagging.member->disk.load(stored);
      CPPUNIT_ASSERT(stored.snapshot.index <= before);  // nothing of the partial transfer is stored
      lagging.harness.run_for(0.3);
    }
    lagging.receive(1);
    lagging.expect_caught_up(20);
  }

  void transferRestartsAfterLeaderChange() {
    LaggingMember lagging(4 * mb);
    ReplicationHarness& harness = lagging.harness;
    lagging.receive(2 * mb);
    ReplicationHarness::Node& first = harness.wait_for_leader();
    harness.kill(first, true);
    harness.run_for(2);
    harness.start(first);
    harness.run_until(10, [&] { return harness.leader() && harness.leader() != &first; });
    lagging.expect_caught_up(30);
    harness.run_until(20, [&] { return harness.in_sync(first); });
  }

  void receivedSnapshotIsInstalledOnceDiskHasRoom() {
    LaggingMember lagging(4 * mb);
    ReplicationHarness& harness = lagging.harness;
    lagging.receive(1 * mb);
    lagging.member->disk.set_full(true);
    harness.run_for(20);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, lagging.member->core->counters().snapshots_installed);
    CPPUNIT_ASSERT(lagging.member->core->store_failed());
    PersistentState stored;
    lagging.member->disk.load(stored);
    CPPUNIT_ASSERT(stored.snapshot.index < harness.wait_for_leader().core->log().snapshot().index);
    // Received chunks are not sent again.
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{16}, harness.wait_for_leader().core->counters().chunks_sent);
    lagging.member->disk.set_full(false);
    lagging.expect_caught_up(2);
  }

  void chunkFromDeposedLeaderIsIgnored() {
    SingleMember member;
    Core& core = member.core;
    core.step(member.world.now(), chunk(5, "abcdef", 0, 3));
    core.step(member.world.now(), heartbeat(6));
    core.step(member.world.now(), chunk(5, "abcdef", 3, 6));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, core.counters().snapshots_installed);
    bool informed = false;
    for (const OutgoingMessage& out : core.take_out())
      informed =
          informed || (out.message.kind == MessageKind::snapshot_chunk_response && out.message.term == 6);
    CPPUNIT_ASSERT(informed);
    // A chunk of the same snapshot from the new leader continues the transfer.
    core.step(member.world.now(), chunk(6, "abcdef", 3, 6));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, core.counters().snapshots_installed);
    CPPUNIT_ASSERT_EQUAL(std::string("abcdef"), core.log().snapshot().state);
  }

  void oversizedSnapshotIsRejected() {
    LaggingMember lagging(17 * mb);  // over the limit, so no transfer is started
    ReplicationHarness& harness = lagging.harness;
    lagging.receive(1);
    harness.run_for(5);
    CPPUNIT_ASSERT(harness.wait_for_leader().core->counters().refused_snapshots > 0);
    CPPUNIT_ASSERT(harness.bytes_sent_to[lagging.member->address] < 100000);
    SingleMember member;
    Core& core = member.core;
    Message large = chunk(5, "abcdef", 0, 3);
    large.total = 17 * mb;
    core.step(member.world.now(), large);
    Message corrupt = chunk(5, "abcdef", 0, 6);
    corrupt.digest += 1;
    core.step(member.world.now(), corrupt);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, core.counters().refused_snapshots);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, core.counters().snapshots_installed);
  }

  // The leader compacts its log repeatedly during the transfer.
  void transferIsNotRestartedUnderHeavyWrites() {
    LaggingMember lagging(8 * mb);
    ReplicationHarness& harness = lagging.harness;
    lagging.receive(1);
    Index first_snapshot = harness.wait_for_leader().core->log().snapshot().index;
    int accepted = 0;
    for (int i = 0; i < 200; ++i) {
      accepted += harness.propose(100000, static_cast<std::uint64_t>(i));
      harness.run_for(0.08);
    }
    CPPUNIT_ASSERT(accepted > 190);
    lagging.expect_caught_up(30);
    CPPUNIT_ASSERT(harness.wait_for_leader().core->log().snapshot().index > first_snapshot + 100);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, harness.wait_for_leader().core->counters().snapshot_transfers);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0},
                         harness.wait_for_leader().core->counters().snapshot_transfers_restarted);
    // Entries retained for the transfer are dropped after it.
    harness.run_for(1);
    CPPUNIT_ASSERT(harness.wait_for_leader().core->log().retained_bytes() < 1000000);
  }

  // Even if the leader compacts its log between the starts of the transfers.
  void concurrentTransfersShareOneSnapshot() {
    LaggingMember lagging(600000, 5);
    ReplicationHarness& harness = lagging.harness;
    ReplicationHarness::Node& second = harness.follower(&harness.follower() == lagging.member ? 1 : 0);
    harness.kill(second, true);
    harness.run_for(3);
    lagging.compact_leader();
    std::set<Index> sent_snapshots;
    bool dropping = true;
    harness.should_drop = [&](const Message& message, const std::string& to) {
      if (message.kind == MessageKind::snapshot_chunk) sent_snapshots.insert(message.snapshot.index);
      return dropping && message.kind == MessageKind::snapshot_chunk && !message.snapshot.state.empty() &&
             to == lagging.member->address;
    };
    lagging.receive(1);
    lagging.compact_leader();
    harness.start(second);
    harness.run_until(10, [&] { return harness.in_sync(second); });
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, sent_snapshots.size());
    dropping = false;
    lagging.expect_caught_up(10);
  }

  void transferRestartsWhenRetainedEntriesExceedLimit() {
    LaggingMember lagging(4 * mb);
    ReplicationHarness& harness = lagging.harness;
    harness.should_drop = [&](const Message& message, const std::string& to) {
      return to == lagging.member->address && message.kind == MessageKind::snapshot_chunk &&
             !message.snapshot.state.empty();
    };
    lagging.receive(1);
    for (int i = 0; i < 60; ++i) {
      harness.propose(900000, static_cast<std::uint64_t>(i));
      harness.run_for(0.6);
      CPPUNIT_ASSERT(harness.wait_for_leader().core->log().retained_bytes() < 38 * mb);
    }
    CPPUNIT_ASSERT(harness.wait_for_leader().core->counters().snapshot_transfers_restarted > 0);
    harness.should_drop = [](const Message&, const std::string&) { return false; };
    lagging.expect_caught_up(30);
  }

  // A delayed snapshot arrives when the log already extends beyond it.
  void delayedSnapshotKeepsAcknowledgedEntries() {
    SingleMember member;
    Core& core = member.core;
    core.step(member.world.now(), chunk(5, "ab", 0, 2));
    Message append = heartbeat(5);
    append.index = 10;
    append.log_term = 4;
    for (Index i = 11; i <= 14; ++i) append.entries.push_back({i, 5, EntryKind::change, "x", {}});
    core.step(member.world.now(), append);
    Message late = chunk(5, "abc", 0, 3);
    late.snapshot.index = 12;
    late.snapshot.term = 5;
    core.step(member.world.now(), late);
    CPPUNIT_ASSERT_EQUAL(Index{12}, core.commit());
    CPPUNIT_ASSERT_EQUAL(Index{14}, core.log().last());
    PersistentState stored;
    member.disk.load(stored);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, stored.entries.size());
  }

  // Each member loses power as soon as the previous one has caught up.
  void rollingPowerLossUnderHeavyWrites() {
    ReplicationHarness harness(3, 600000);
    harness.wait_for_leader();
    int accepted = 0;
    for (std::size_t i = 0; i < 9; ++i) {
      ReplicationHarness::Node& node = *harness.nodes[i % 3];
      harness.kill(node, true);
      for (int k = 0; k < 40; ++k) {
        accepted += harness.propose(100000, i * 100 + static_cast<std::size_t>(k));
        harness.run_for(0.08);
      }
      harness.start(node);
      harness.run_until(30, [&] {
        accepted += harness.propose(20000, i);
        harness.run_for(0.05);
        // Up to what the next heartbeat will tell it.
        return harness.leader() && node.core->applied() + 8 > harness.leader()->core->commit();
      });
    }
    CPPUNIT_ASSERT(accepted > 300);
    CPPUNIT_ASSERT_EQUAL(static_cast<std::uint64_t>(accepted), harness.wait_for_leader().machine.count);
    for (auto& node : harness.nodes) harness.run_until(5, [&] { return harness.in_sync(*node); });
  }

  // A member paused for 20 s must not be sent more than one append with entries, besides heartbeats.
  void silentMemberGetsOneUnansweredAppend() {
    ReplicationHarness harness(3, 1000);
    ReplicationHarness::Node& paused = harness.follower();
    harness.wait_for_leader();
    harness.run_for(1);
    paused.paused_until = harness.world.now() + Duration(20);
    harness.bytes_sent_to.clear();
    for (int i = 0; i < 38; ++i) {
      harness.propose(100000, static_cast<std::uint64_t>(i));
      harness.run_for(0.5);
    }
    CPPUNIT_ASSERT(harness.bytes_sent_to[paused.address] < 1300000);
    harness.run_until(20, [&] { return harness.in_sync(paused); });
  }

  void memberWithFullDiskCatchesUpLater() {
    ReplicationHarness harness(3, 1000);
    ReplicationHarness::Node& full = harness.follower();
    harness.run_for(1);
    full.disk.set_full(true);
    harness.bytes_sent_to.clear();
    for (int i = 0; i < 40; ++i) {
      harness.propose(100000, static_cast<std::uint64_t>(i));
      harness.run_for(0.5);
    }
    CPPUNIT_ASSERT(harness.bytes_sent_to[full.address] < 4000000);
    CPPUNIT_ASSERT(full.core->counters().refused_writes > 0);
    full.disk.set_full(false);
    CPPUNIT_ASSERT(harness.run_until(10, [&] { return harness.in_sync(full); }) < 5);
  }

  // Committed entries must stay, the log must have no gaps, and the store must agree with it.
  void malformedMessagesDoNotCorruptTheLog() {
    std::mt19937_64 random(5);
    std::uint64_t refused = 0;
    for (int round = 0; round < 300; ++round) {
      SingleMember member;
      Core& core = member.core;
      core.step(member.world.now(), chunk(5, "ab", 0, 2));
      Message valid = heartbeat(5);
      valid.index = 10;
      valid.log_term = 4;
      for (Index i = 11; i <= 16; ++i)
        valid.entries.push_back({i, 5, EntryKind::change, "x" + std::to_string(i), {}});
      valid.commit = 14;
      core.step(member.world.now(), valid);
      CPPUNIT_ASSERT_EQUAL(Index{14}, core.commit());
      for (int i = 0; i < 40; ++i) {
        Message malformed = valid;
        auto draw = [&](std::uint64_t most) { return random() % (most + 1); };
        malformed.kind = draw(3)   ? MessageKind::append_entries
                         : draw(1) ? MessageKind::snapshot_chunk
                                   : MessageKind::install_snapshot;
        malformed.term = 4 + draw(2);
        malformed.index = draw(20);
        malformed.log_term = draw(7);
        malformed.commit = draw(2) ? draw(20) : ~0ull;
        malformed.entries.clear();
        for (std::uint64_t e = draw(4); e > 0; --e)
          malformed.entries.push_back({draw(3) ? malformed.index + 1 + malformed.entries.size() : draw(30),
                                       draw(7),
                                       draw(5) ? EntryKind::change : EntryKind::membership,
                                       "y",
                                       {}});
        malformed.snapshot = {draw(16), draw(7), draw(1) ? members() : Membership{}, "zz"};
        malformed.offset = draw(3);
        malformed.total = draw(3) ? 2 : ~0ull;
        Index commit = core.commit();
        std::vector<Entry> committed;
        for (Index at = core.log().first(); at <= commit; ++at) committed.push_back(core.log().at(at));
        core.step(member.world.now(), malformed);
        core.take_out();
        CPPUNIT_ASSERT(core.commit() >= commit && core.commit() <= core.log().last());
        CPPUNIT_ASSERT_EQUAL(core.commit(), core.applied());
        for (const Entry& entry : committed)
          if (entry.index >= core.log().first()) CPPUNIT_ASSERT(core.log().at(entry.index) == entry);
        PersistentState stored;
        member.disk.load(stored);
        Index expected = stored.snapshot.index;
        CPPUNIT_ASSERT_EQUAL(core.log().snapshot().index, expected);
        Term term = stored.snapshot.term;
        for (const Entry& entry : stored.entries) {
          CPPUNIT_ASSERT_EQUAL(++expected, entry.index);
          CPPUNIT_ASSERT(entry.term >= term && entry.term <= core.term());
          term = entry.term;
        }
        CPPUNIT_ASSERT_EQUAL(expected, core.log().last());
      }
      refused += core.counters().refused_messages;
    }
    CPPUNIT_ASSERT(refused > 1000);
  }

  void leaderRejectsResponseBeyondItsLog() {
    ReplicationHarness harness(3, 1000);
    ReplicationHarness::Node& leader_node = harness.wait_for_leader();
    harness.propose(100);
    harness.run_for(0.5);
    Core& core = *leader_node.core;
    Message response = heartbeat(core.term());
    response.kind = MessageKind::append_response;
    response.from = harness.follower().core->self();
    response.from_address = harness.follower().address;
    response.flag = true;
    response.index = core.log().last() + 1000;
    core.step(harness.world.now(), response);
    core.step(harness.world.now(), heartbeat(core.term()));  // from another leader of the same term
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, core.counters().refused_messages);
    CPPUNIT_ASSERT(core.role() == Core::Role::leader);
    CPPUNIT_ASSERT(harness.propose(100));
    harness.run_for(0.5);
    CPPUNIT_ASSERT(harness.in_sync(harness.follower()) && harness.in_sync(harness.follower(1)));
  }

  // An older version gets the whole snapshot in one message, if it fits in a frame.
  void memberWithoutChunkSupportGetsWholeSnapshot() {
    LaggingMember lagging(2 * mb);
    lagging.member->without_chunks = true;
    lagging.harness.messages_sent.clear();
    lagging.receive(1);
    lagging.expect_caught_up(20);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, lagging.harness.messages_sent[MessageKind::snapshot_chunk]);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, lagging.harness.messages_sent[MessageKind::install_snapshot]);
    LaggingMember large(5 * mb);  // does not fit in a frame: refused and counted
    large.member->without_chunks = true;
    large.receive(1);
    large.harness.run_for(3);
    CPPUNIT_ASSERT(large.harness.wait_for_leader().core->counters().refused_snapshots > 0);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, large.member->core->counters().snapshots_installed);
    large.harness.kill(*large.member, false);  // upgraded, it can receive it
    large.member->without_chunks = false;
    large.receive(1);
    large.expect_caught_up(20);
  }

  void appendOfManySmallEntriesIsDecodable() {
    simulation::World world(1);
    simulation::SimDisk disk(world);
    Log log(disk);
    std::vector<Entry> entries;
    for (Index i = 1; i <= 5000; ++i) entries.push_back({i, 1, EntryKind::change, "c", {}});
    CPPUNIT_ASSERT(!log.replace_tail(1, std::move(entries)));
    Message message = heartbeat(1);
    message.entries = log.entries_from(1, mb);
    CPPUNIT_ASSERT(protocol::unpack(protocol::pack(message)));
  }

 private:
  static Membership members() { return {{{11, "a:1"}, {12, "b:2"}, {13, "c:3"}}, 3}; }
  static Message heartbeat(Term term) {
    Message message;
    message.kind = MessageKind::append_entries;
    message.from = 11;
    message.from_address = "a:1";
    message.term = term;
    return message;
  }
  // Bytes `from` to `to` of a snapshot at index 10, term 4.
  static Message chunk(Term term, const std::string& state, std::size_t from, std::size_t to);
};

Message ReplicationTest::chunk(Term term, const std::string& state, std::size_t from, std::size_t to) {
  Message message = heartbeat(term);
  message.kind = MessageKind::snapshot_chunk;
  message.snapshot = {10, 4, members(), state.substr(from, to - from)};
  message.offset = from;
  message.total = state.size();
  message.digest = state_digest(state);
  return message;
}

CPPUNIT_TEST_SUITE_REGISTRATION(ReplicationTest);

}  // namespace pearspar::raft
