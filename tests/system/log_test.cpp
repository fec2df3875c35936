// The log on its way: snapshots in pieces, storms, silent members, what the wire must not do.
#include <random>
#include <set>

#include "log_rig.h"

namespace pearspar::raft {

class LogTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(LogTest);
  CPPUNIT_TEST(aLargeSnapshotComesInPiecesBesideRounds);
  CPPUNIT_TEST(aTransferGoesOnAfterLoss);
  CPPUNIT_TEST(aTransferIsBrokenOffByPowerLoss);
  CPPUNIT_TEST(aTransferIsBrokenOffByAChangeOfLeader);
  CPPUNIT_TEST(aFullDiskTakesTheWholeLater);
  CPPUNIT_TEST(aDeposedLeaderSendsNothingThatIsTaken);
  CPPUNIT_TEST(aTooLargeSnapshotIsRefused);
  CPPUNIT_TEST(aStormDoesNotMakeATransferStartAgain);
  CPPUNIT_TEST(transfersUnderWaySendOneSnapshot);
  CPPUNIT_TEST(beyondTheBoundANewSnapshotStarts);
  CPPUNIT_TEST(aLateSnapshotDropsNothingAcknowledged);
  CPPUNIT_TEST(restartsInTurnUnderAStorm);
  CPPUNIT_TEST(aSilentMemberIsSentNoMoreThanOnce);
  CPPUNIT_TEST(aMemberWithAFullDiskIsCaughtUpLater);
  CPPUNIT_TEST(theWireIsNotTrusted);
  CPPUNIT_TEST(aLeaderTrustsNoAnswerBeyondItsLog);
  CPPUNIT_TEST(anOlderMemberIsSentTheWhole);
  CPPUNIT_TEST(manySmallEntriesAreAnAppendThatReads);
  CPPUNIT_TEST_SUITE_END();

 public:
  // A state of 10 MB over 17 Mbit/s takes some 5 s: the leader keeps its lease and takes changes all along.
  void aLargeSnapshotComesInPiecesBesideRounds() {
    Behind behind(10 * mb);
    Rig& rig = behind.rig;
    Rig::Node& leads = rig.lead();
    rig.most_out = 0;
    behind.begin(1);
    int taken = 0, asked = 0;
    double took = rig.until(20, [&] {
      CPPUNIT_ASSERT(rig.leader() == &leads);
      if (++asked % 10 == 0) taken += rig.change(1000, 7);
      return rig.same(*behind.away) && behind.away->core->counters().installed == 1;
    });
    CPPUNIT_ASSERT(took < 8 && taken > 40);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, leads.core->counters().transfers);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{40}, leads.core->counters().pieces);  // 256 KB each, each once
    CPPUNIT_ASSERT(rig.bytes_to[behind.away->address] < 11 * mb);
    CPPUNIT_ASSERT(rig.most_out < 600 << 10);
  }

  void aTransferGoesOnAfterLoss() {
    Behind behind(4 * mb);
    Rig& rig = behind.rig;
    rig.lose = [&](const Message& word, const std::string&) {
      return (word.kind == MessageKind::piece || word.kind == MessageKind::piece_held) &&
             rig.world.chance(0.1);
    };
    behind.begin(2 * mb);
    behind.away->cut = true;  // for a short while
    rig.run(1);
    behind.away->cut = false;
    behind.arrives(30);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, rig.lead().core->counters().transfers);
    // 16, and again where one or its answer was lost.
    CPPUNIT_ASSERT(rig.lead().core->counters().pieces < 28);
  }

  void aTransferIsBrokenOffByPowerLoss() {
    Behind behind(4 * mb);
    Index before = 0;
    for (int i = 0; i < 2; ++i) {
      behind.begin(2 * mb);
      before = behind.away->core->applied();
      behind.rig.kill(*behind.away, true);
      Stored stored;
      behind.away->disk.load(stored);
      CPPUNIT_ASSERT(stored.snapshot.index <= before);  // no rest of it is there
      behind.rig.run(0.3);
    }
    behind.begin(1);
    behind.arrives(20);
  }

  void aTransferIsBrokenOffByAChangeOfLeader() {
    Behind behind(4 * mb);
    Rig& rig = behind.rig;
    behind.begin(2 * mb);
    Rig::Node& first = rig.lead();
    rig.kill(first, true);
    rig.run(2);
    rig.start(first);
    rig.until(10, [&] { return rig.leader() && rig.leader() != &first; });
    behind.arrives(30);
    rig.until(20, [&] { return rig.same(first); });
  }

  void aFullDiskTakesTheWholeLater() {
    Behind behind(4 * mb);
    Rig& rig = behind.rig;
    behind.begin(1 * mb);
    behind.away->disk.set_full(true);
    rig.run(20);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, behind.away->core->counters().installed);
    CPPUNIT_ASSERT(behind.away->core->ill());
    Stored stored;
    behind.away->disk.load(stored);
    CPPUNIT_ASSERT(stored.snapshot.index < rig.lead().core->log().snapshot().index);
    // What it holds is not sent again.
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{16}, rig.lead().core->counters().pieces);
    behind.away->disk.set_full(false);
    behind.arrives(2);
  }

  void aDeposedLeaderSendsNothingThatIsTaken() {
    Lone lone;
    Core& core = lone.core;
    core.step(lone.world.now(), piece(5, "abcdef", 0, 3));
    core.step(lone.world.now(), heartbeat(6));
    core.step(lone.world.now(), piece(5, "abcdef", 3, 6));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, core.counters().installed);
    bool told = false;
    for (const Outgoing& out : core.take_out())
      told = told || (out.message.kind == MessageKind::piece_held && out.message.term == 6);
    CPPUNIT_ASSERT(told);
    // The newer leader has the same snapshot: what has come counts.
    core.step(lone.world.now(), piece(6, "abcdef", 3, 6));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, core.counters().installed);
    CPPUNIT_ASSERT_EQUAL(std::string("abcdef"), core.log().snapshot().state);
  }

  void aTooLargeSnapshotIsRefused() {
    Behind behind(17 * mb);  // over the bound: it is not begun, and everything else goes on
    Rig& rig = behind.rig;
    behind.begin(1);
    rig.run(5);
    CPPUNIT_ASSERT(rig.lead().core->counters().refused_snapshots > 0);
    CPPUNIT_ASSERT(rig.bytes_to[behind.away->address] < 100000);
    Lone lone;
    Core& core = lone.core;
    Message large = piece(5, "abcdef", 0, 3);
    large.total = 17 * mb;
    core.step(lone.world.now(), large);
    Message noise = piece(5, "abcdef", 0, 6);
    noise.digest += 1;
    core.step(lone.world.now(), noise);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, core.counters().refused_snapshots);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, core.counters().installed);
  }

  // 200 configurations of 100 KB at gaps of 0.08 s fold every 64 entries; the transfer, begun under the
  // storm, is the only one, and ends in it or right after.
  void aStormDoesNotMakeATransferStartAgain() {
    Behind behind(8 * mb);
    Rig& rig = behind.rig;
    behind.begin(1);
    Index folded = rig.lead().core->log().snapshot().index;
    int taken = 0;
    for (int i = 0; i < 200; ++i) {
      taken += rig.change(100000, static_cast<std::uint64_t>(i));
      rig.run(0.08);
    }
    CPPUNIT_ASSERT(taken > 190);
    behind.arrives(30);
    CPPUNIT_ASSERT(rig.lead().core->log().snapshot().index > folded + 100);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, rig.lead().core->counters().transfers);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, rig.lead().core->counters().transfers_restarted);
    // What was kept for it is let go.
    rig.run(1);
    CPPUNIT_ASSERT(rig.lead().core->log().kept_bytes() < 1000000);
  }

  // However often the leader folds meanwhile: it holds one beside its newest.
  void transfersUnderWaySendOneSnapshot() {
    Behind behind(600000, 5);
    Rig& rig = behind.rig;
    Rig::Node& second = rig.other(&rig.other() == behind.away ? 1 : 0);
    rig.kill(second, true);
    rig.run(3);
    behind.fill();
    std::set<Index> sent;
    bool lost = true;
    rig.lose = [&](const Message& word, const std::string& to) {
      if (word.kind == MessageKind::piece) sent.insert(word.snapshot.index);
      return lost && word.kind == MessageKind::piece && !word.snapshot.state.empty() &&
             to == behind.away->address;
    };
    behind.begin(1);
    behind.fill();
    rig.start(second);
    rig.until(10, [&] { return rig.same(second); });
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, sent.size());
    lost = false;
    behind.arrives(10);
  }

  void beyondTheBoundANewSnapshotStarts() {
    Behind behind(4 * mb);
    Rig& rig = behind.rig;
    rig.lose = [&](const Message& word, const std::string& to) {
      return to == behind.away->address && word.kind == MessageKind::piece && !word.snapshot.state.empty();
    };
    behind.begin(1);
    for (int i = 0; i < 60; ++i) {
      rig.change(900000, static_cast<std::uint64_t>(i));
      rig.run(0.6);
      CPPUNIT_ASSERT(rig.lead().core->log().kept_bytes() < 38 * mb);
    }
    CPPUNIT_ASSERT(rig.lead().core->counters().transfers_restarted > 0);
    rig.lose = [](const Message&, const std::string&) { return false; };
    behind.arrives(30);
  }

  // Sent while the answer to the one before was on its way, held up in the net, and met by a longer log.
  void aLateSnapshotDropsNothingAcknowledged() {
    Lone lone;
    Core& core = lone.core;
    core.step(lone.world.now(), piece(5, "ab", 0, 2));
    Message append = heartbeat(5);
    append.index = 10;
    append.log_term = 4;
    for (Index i = 11; i <= 14; ++i) append.entries.push_back({i, 5, EntryKind::change, "x", {}});
    core.step(lone.world.now(), append);
    Message late = piece(5, "abc", 0, 3);
    late.snapshot.index = 12;
    late.snapshot.term = 5;
    core.step(lone.world.now(), late);
    CPPUNIT_ASSERT_EQUAL(Index{12}, core.commit());
    CPPUNIT_ASSERT_EQUAL(Index{14}, core.log().last());
    Stored stored;
    lone.disk.load(stored);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, stored.entries.size());
  }

  // Each loses its power as soon as the one before it has all again; changes come all along.
  void restartsInTurnUnderAStorm() {
    Rig rig(3, 600000);
    rig.lead();
    int taken = 0;
    for (std::size_t i = 0; i < 9; ++i) {
      Rig::Node& node = *rig.nodes[i % 3];
      rig.kill(node, true);
      for (int k = 0; k < 40; ++k) {
        taken += rig.change(100000, i * 100 + static_cast<std::size_t>(k));
        rig.run(0.08);
      }
      rig.start(node);
      rig.until(30, [&] {
        taken += rig.change(20000, i);
        rig.run(0.05);
        // All but what its next round tells it.
        return rig.leader() && node.core->applied() + 8 > rig.leader()->core->commit();
      });
    }
    CPPUNIT_ASSERT(taken > 300);
    CPPUNIT_ASSERT_EQUAL(static_cast<std::uint64_t>(taken), rig.lead().book.count);
    for (auto& node : rig.nodes) rig.until(5, [&] { return rig.same(*node); });
  }

  // Its process stands still for 20 s in the middle of changes: one append is out, and small words.
  void aSilentMemberIsSentNoMoreThanOnce() {
    Rig rig(3, 1000);
    Rig::Node& asleep = rig.other();
    rig.lead();
    rig.run(1);
    asleep.awake = rig.world.now() + Duration(20);
    rig.bytes_to.clear();
    for (int i = 0; i < 38; ++i) {
      rig.change(100000, static_cast<std::uint64_t>(i));
      rig.run(0.5);
    }
    CPPUNIT_ASSERT(rig.bytes_to[asleep.address] < 1300000);
    rig.until(20, [&] { return rig.same(asleep); });
  }

  void aMemberWithAFullDiskIsCaughtUpLater() {
    Rig rig(3, 1000);
    Rig::Node& full = rig.other();
    rig.run(1);
    full.disk.set_full(true);
    rig.bytes_to.clear();
    for (int i = 0; i < 40; ++i) {
      rig.change(100000, static_cast<std::uint64_t>(i));
      rig.run(0.5);
    }
    CPPUNIT_ASSERT(rig.bytes_to[full.address] < 4000000);
    CPPUNIT_ASSERT(full.core->counters().refused_writes > 0);
    full.disk.set_full(false);
    CPPUNIT_ASSERT(rig.until(10, [&] { return rig.same(full); }) < 5);
  }

  // Whatever comes: what is committed stays, the log has no gap, and the store holds the same.
  void theWireIsNotTrusted() {
    std::mt19937_64 random(5);
    std::uint64_t refused = 0;
    for (int round = 0; round < 300; ++round) {
      Lone lone;
      Core& core = lone.core;
      core.step(lone.world.now(), piece(5, "ab", 0, 2));
      Message good = heartbeat(5);
      good.index = 10;
      good.log_term = 4;
      for (Index i = 11; i <= 16; ++i)
        good.entries.push_back({i, 5, EntryKind::change, "x" + std::to_string(i), {}});
      good.commit = 14;
      core.step(lone.world.now(), good);
      CPPUNIT_ASSERT_EQUAL(Index{14}, core.commit());
      for (int i = 0; i < 40; ++i) {
        Message bad = good;
        auto draw = [&](std::uint64_t most) { return random() % (most + 1); };
        bad.kind = draw(3) ? MessageKind::append : draw(1) ? MessageKind::piece : MessageKind::install;
        bad.term = 4 + draw(2);
        bad.index = draw(20);
        bad.log_term = draw(7);
        bad.commit = draw(2) ? draw(20) : ~0ull;
        bad.entries.clear();
        for (std::uint64_t e = draw(4); e > 0; --e)
          bad.entries.push_back({draw(3) ? bad.index + 1 + bad.entries.size() : draw(30),
                                 draw(7),
                                 draw(5) ? EntryKind::change : EntryKind::membership,
                                 "y",
                                 {}});
        bad.snapshot = {draw(16), draw(7), draw(1) ? members() : Membership{}, "zz"};
        bad.offset = draw(3);
        bad.total = draw(3) ? 2 : ~0ull;
        Index commit = core.commit();
        std::vector<Entry> held;
        for (Index at = core.log().first(); at <= commit; ++at) held.push_back(core.log().at(at));
        core.step(lone.world.now(), bad);
        core.take_out();
        CPPUNIT_ASSERT(core.commit() >= commit && core.commit() <= core.log().last());
        CPPUNIT_ASSERT_EQUAL(core.commit(), core.applied());
        for (const Entry& entry : held)
          if (entry.index >= core.log().first()) CPPUNIT_ASSERT(core.log().at(entry.index) == entry);
        Stored stored;
        lone.disk.load(stored);
        Index due = stored.snapshot.index;
        CPPUNIT_ASSERT_EQUAL(core.log().snapshot().index, due);
        Term term = stored.snapshot.term;
        for (const Entry& entry : stored.entries) {
          CPPUNIT_ASSERT_EQUAL(++due, entry.index);
          CPPUNIT_ASSERT(entry.term >= term && entry.term <= core.term());
          term = entry.term;
        }
        CPPUNIT_ASSERT_EQUAL(due, core.log().last());
      }
      refused += core.counters().refused_messages;
    }
    CPPUNIT_ASSERT(refused > 1000);
  }

  void aLeaderTrustsNoAnswerBeyondItsLog() {
    Rig rig(3, 1000);
    Rig::Node& leads = rig.lead();
    rig.change(100);
    rig.run(0.5);
    Core& core = *leads.core;
    Message answer = heartbeat(core.term());
    answer.kind = MessageKind::appended;
    answer.from = rig.other().core->self();
    answer.from_address = rig.other().address;
    answer.yes = true;
    answer.index = core.log().last() + 1000;
    core.step(rig.world.now(), answer);
    core.step(rig.world.now(), heartbeat(core.term()));  // somebody else leads in our term
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, core.counters().refused_messages);
    CPPUNIT_ASSERT(core.role() == Core::Role::leader);
    CPPUNIT_ASSERT(rig.change(100));
    rig.run(0.5);
    CPPUNIT_ASSERT(rig.same(rig.other()) && rig.same(rig.other(1)));
  }

  // It reads no pieces and does not say that it could: the whole in one word, as before, where that fits.
  void anOlderMemberIsSentTheWhole() {
    Behind behind(2 * mb);
    behind.away->older = true;
    behind.rig.words.clear();
    behind.begin(1);
    behind.arrives(20);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, behind.rig.words[MessageKind::piece]);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, behind.rig.words[MessageKind::install]);
    Behind large(5 * mb);  // what no frame of it holds is not sent, and counted
    large.away->older = true;
    large.begin(1);
    large.rig.run(3);
    CPPUNIT_ASSERT(large.rig.lead().core->counters().refused_snapshots > 0);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, large.away->core->counters().installed);
    large.rig.kill(*large.away, false);  // brought up to date, it has all
    large.away->older = false;
    large.begin(1);
    large.arrives(20);
  }

  void manySmallEntriesAreAnAppendThatReads() {
    biella::World world(1);
    biella::SimDisk disk(world);
    Log log(disk);
    std::vector<Entry> entries;
    for (Index i = 1; i <= 5000; ++i) entries.push_back({i, 1, EntryKind::change, "c", {}});
    CPPUNIT_ASSERT(!log.replace_tail(1, std::move(entries)));
    Message word = heartbeat(1);
    word.entries = log.from(1, mb);
    CPPUNIT_ASSERT(protocol::unpack(protocol::pack(word)));
  }

 private:
  static Membership members() { return {{{11, "a:1"}, {12, "b:2"}, {13, "c:3"}}, 3}; }
  static Message heartbeat(Term term) {
    Message word;
    word.kind = MessageKind::append;
    word.from = 11;
    word.from_address = "a:1";
    word.term = term;
    return word;
  }
  // Of a snapshot of entry 10 of term 4.
  static Message piece(Term term, const std::string& state, std::size_t from, std::size_t to);
};

Message LogTest::piece(Term term, const std::string& state, std::size_t from, std::size_t to) {
  Message word = heartbeat(term);
  word.kind = MessageKind::piece;
  word.snapshot = {10, 4, members(), state.substr(from, to - from)};
  word.offset = from;
  word.total = state.size();
  word.digest = state_digest(state);
  return word;
}

CPPUNIT_TEST_SUITE_REGISTRATION(LogTest);

}  // namespace pearspar::raft
