// The log on its disk: bounds of the store and of a start, and what the first program wrote.
#include <lmdb.h>

#include <random>

#include "folder.h"
#include "log_rig.h"
#include "protocol/raft_codec.h"
#include "storage/lmdb_store.h"

namespace pearspar::raft {
namespace {

std::string from_hex(std::string_view hex) {
  std::string out;
  for (std::size_t i = 0; i + 1 < hex.size(); i += 2)
    out += static_cast<char>(std::stoi(std::string(hex.substr(i, 2)), nullptr, 16));
  return out;
}

}  // namespace

class LogStoreTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(LogStoreTest);
  CPPUNIT_TEST(bytesOfTheFirstProgramRead);
  CPPUNIT_TEST(aStoreOfTheFirstProgramReads);
  CPPUNIT_TEST(aFoldIsPossibleWhereTheLogHasFilledTheStore);
  CPPUNIT_TEST(aMemberFoldsWhereItsStoreIsFull);
  CPPUNIT_TEST(theFileStaysUnderItsBound);
  CPPUNIT_TEST(aStartReadsABoundedLog);
  CPPUNIT_TEST_SUITE_END();

 public:
  void bytesOfTheFirstProgramRead() {
    auto read = [](const char* hex) {
      auto message = protocol::unpack(from_hex(hex));
      CPPUNIT_ASSERT(message);
      return std::get<Message>(*message);
    };
    Message append = read(append_bytes);
    CPPUNIT_ASSERT(append.kind == MessageKind::append && append.from_address == "a:1" && append.can == 0);
    CPPUNIT_ASSERT(append.entries.size() == 1 && append.entries[0].data == "change");
    Message install = read(install_bytes);
    CPPUNIT_ASSERT(install.snapshot.index == 7 && install.snapshot.state == "state");
    CPPUNIT_ASSERT(install.snapshot.membership == members());
    CPPUNIT_ASSERT(read(appended_bytes).yes);
    // What we send begins with the bytes that the first program knows, but for the length of the array, and
    // holds more behind them; its reader passes over that.
    Message ours = install;
    ours.can = can_take_pieces;
    std::string bytes = protocol::pack(ours), theirs = from_hex(install_bytes);
    CPPUNIT_ASSERT_EQUAL(theirs.substr(3), bytes.substr(3, theirs.size() - 3));
    // An entry of a kind that nobody here knows is no entry.
    std::string entry = protocol::pack_entry({8, 3, static_cast<EntryKind>(9), "", {}});
    CPPUNIT_ASSERT(!protocol::unpack_entry(entry));
  }

  // The values that the first program put under each key.
  void aStoreOfTheFirstProgramReads() {
    Folder folder;
    MDB_env* env = nullptr;
    MDB_txn* txn = nullptr;
    MDB_dbi dbi = 0;
    mdb_env_create(&env);
    CPPUNIT_ASSERT_EQUAL(0, mdb_env_open(env, folder.path().c_str(), MDB_NOLOCK, 0644));
    mdb_txn_begin(env, nullptr, 0, &txn);
    mdb_dbi_open(txn, nullptr, 0, &dbi);
    auto put = [&](std::string key, const char* hex) {
      std::string bytes = from_hex(hex);
      MDB_val name{key.size(), key.data()}, value{bytes.size(), bytes.data()};
      CPPUNIT_ASSERT_EQUAL(0, mdb_put(txn, dbi, &name, &value, 0));
    };
    put("format", "9101");
    put("self", "910c");
    put("vote", "92040c");
    put("snapshot", "91940702920393920bc403613a31920cc403623a32920dc403633a33c4057374617465");
    put(std::string("e\0\0\0\0\0\0\0\x08", 9), "9195080301c4066368616e6765920090");
    put(std::string("e\0\0\0\0\0\0\0\x09", 9),
        "9195090302c400920393920bc403613a31920cc403623a32920dc403633a33");
    CPPUNIT_ASSERT_EQUAL(0, mdb_txn_commit(txn));
    mdb_env_close(env);
    storage::LmdbStore store(folder.path());
    Stored stored;
    CPPUNIT_ASSERT(!store.load(stored));
    CPPUNIT_ASSERT(stored.self == 12 && stored.vote == (Vote{4, 12}));
    CPPUNIT_ASSERT(stored.snapshot.index == 7 && stored.snapshot.state == "state");
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, stored.entries.size());
    CPPUNIT_ASSERT(stored.entries[1].membership == members());
    // And what we write are the same bytes.
    CPPUNIT_ASSERT_EQUAL(from_hex("9195080301c4066368616e6765920090"),
                         protocol::pack_entry(stored.entries[0]));
  }

  void aFoldIsPossibleWhereTheLogHasFilledTheStore() {
    Folder folder;
    storage::LmdbStore store(folder.path(), 4, 12);
    std::string state(1500000, 's');
    CPPUNIT_ASSERT(!store.save_snapshot({1, 1, members(), state}, false));
    Index index = 1;
    std::error_code error;
    while (!error && index < 1000) {
      ++index;
      error = store.replace_tail(index, {{index, 1, EntryKind::change, std::string(20000, 'e'), {}}});
    }
    CPPUNIT_ASSERT(error && index > 50);
    Stored stored;
    CPPUNIT_ASSERT(!store.load(stored));
    CPPUNIT_ASSERT_EQUAL(index - 1, stored.snapshot.index + stored.entries.size());  // nothing is lost
    CPPUNIT_ASSERT(!store.save_vote({9, 9}));
    CPPUNIT_ASSERT(!store.save_snapshot({index - 1, 1, members(), state + "t"}, false));
    for (Index i = 0; i < 20; ++i)
      CPPUNIT_ASSERT(
          !store.replace_tail(index + i, {{index + i, 1, EntryKind::change, std::string(20000, 'e'), {}}}));
    CPPUNIT_ASSERT(!store.load(stored));
    CPPUNIT_ASSERT_EQUAL(std::size_t{20}, stored.entries.size());
    CPPUNIT_ASSERT(folder.size() <= 12 * mb);
  }

  // A state that is not worth folding yet, and a store that takes no more: it is folded all the same.
  void aMemberFoldsWhereItsStoreIsFull() {
    Folder folder;
    storage::LmdbStore store(folder.path(), 4, 12);
    Book book(3 * mb);
    Options founder;
    founder.address = "m0";
    founder.founders = {"m0"};
    founder.first_start = true;
    Core core(store, book, founder);
    Time now{Duration(1000)};
    CPPUNIT_ASSERT(!core.start(now));
    while (!core.may_speak(now)) core.tick(now += Duration(0.1));
    for (int i = 0; i < 120; ++i) CPPUNIT_ASSERT(core.propose(now, std::string(20000, 'c')));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{120}, book.count);
    CPPUNIT_ASSERT(core.counters().refused_writes > 0 && !core.ill());
    CPPUNIT_ASSERT(folder.size() <= 12 * mb);
  }

  // A day in short: changes of all sizes, notes, folds of a state that grows and shrinks.
  void theFileStaysUnderItsBound() {
    Folder folder;
    storage::LmdbStore store(folder.path());
    Day day(200, 3 * mb);
    day.run(store);
    CPPUNIT_ASSERT(folder.size() < 128 * mb);
    CPPUNIT_ASSERT_EQUAL(0, day.refused);
  }

  // What a restart reads: a snapshot, under 4096 applied entries, and under 4 MB of them and one change.
  void aStartReadsABoundedLog() {
    for (std::size_t state : {std::size_t{1000}, std::size_t{800000}}) {
      Rig rig(1, state, 1e9);
      rig.lead();
      std::size_t most = 0, bytes = 0;
      for (int i = 0; i < 5000; ++i) {
        rig.change(20, static_cast<std::uint64_t>(i));
        rig.nodes[0]->core->take_out();
        const Log& log = rig.nodes[0]->core->log();
        most = std::max<std::size_t>(most, log.last() - log.snapshot().index);
        bytes = std::max(bytes, log.bytes());
        if (i % 500 == 0) rig.run(0.1);
      }
      CPPUNIT_ASSERT(most <= (state > 1000 ? 4096u : 64u));
      // Few and large: the bytes count, not the number.
      for (std::uint64_t i = 0; i < 60; ++i) {
        rig.change(200000, 5000 + i);
        rig.nodes[0]->core->take_out();
        bytes = std::max(bytes, rig.nodes[0]->core->log().bytes());
      }
      CPPUNIT_ASSERT(bytes < 4 * mb);
      Rig::Node& node = *rig.nodes[0];
      std::uint64_t digest = node.book.digest;
      rig.kill(node, false);
      rig.start(node);
      rig.until(5, [&] { return node.book.digest == digest; });
    }
  }

 private:
  struct Day {
    Day(int changes, std::size_t state) : changes(changes), state(state) {}
    void run(Store& store) {
      std::mt19937_64 random(7);
      Index index = 0, folded = 0;
      std::size_t bytes = 0;
      for (int i = 0; i < changes; ++i) {
        std::size_t size = random() % 4 ? random() % 2000 : random() % 200000;
        ++index;
        bytes += size;
        std::string data(size, static_cast<char>('a' + i % 26));
        if (store.replace_tail(index, {{index, 1, EntryKind::change, std::move(data), {}}}))
          ++refused, --index;
        if (i % 5 == 0 && store.save_note(index, std::string(random() % 30000, 'n'))) ++refused;
        if (index - folded < 64 && bytes < 4 * mb) continue;
        if (store.save_snapshot({index, 1, members(), std::string(random() % state, 's')}, false)) ++refused;
        folded = index;
        bytes = 0;
      }
    }
    int changes;
    std::size_t state;
    int refused = 0;
  };

  static Membership members() { return {{{11, "a:1"}, {12, "b:2"}, {13, "c:3"}}, 3}; }
  static constexpr const char* append_bytes =
      "92019c040b0cc403613a310407020705c29195080301c4066368616e676592009090";
  static constexpr const char* install_bytes =
      "92019c060b0cc403613a310407020705c29091940702920393920bc403613a31920cc403623a32920dc403633a33c405737461"
      "7465";
  static constexpr const char* appended_bytes = "92019c050c0bc403623a320408000005c39090";
};

CPPUNIT_TEST_SUITE_REGISTRATION(LogStoreTest);

}  // namespace pearspar::raft
