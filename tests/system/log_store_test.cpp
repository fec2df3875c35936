// The log in its LMDB store: size limits, and compatibility with data of the first version.
#include <lmdb.h>

#include <random>

#include "protocol/raft_codec.h"
#include "replication_harness.h"
#include "storage/lmdb_store.h"
#include "temp_folder.h"

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
  CPPUNIT_TEST(messagesOfFirstVersionAreDecoded);
  CPPUNIT_TEST(storeOfFirstVersionIsLoaded);
  CPPUNIT_TEST(fullStoreCanBeCompacted);
  CPPUNIT_TEST(memberCompactsWhenStoreIsFull);
  CPPUNIT_TEST(fileSizeStaysWithinLimit);
  CPPUNIT_TEST(restartReadsABoundedLog);
  CPPUNIT_TEST_SUITE_END();

 public:
  void messagesOfFirstVersionAreDecoded() {
    auto read = [](const char* hex) {
      auto message = protocol::unpack(from_hex(hex));
      CPPUNIT_ASSERT(message);
      return std::get<Message>(*message);
    };
    Message append = read(append_bytes);
    CPPUNIT_ASSERT(append.kind == MessageKind::append_entries && append.from_address == "a:1" &&
                   append.capabilities == 0);
    CPPUNIT_ASSERT(append.entries.size() == 1 && append.entries[0].data == "change");
    Message install = read(install_bytes);
    CPPUNIT_ASSERT(install.snapshot.index == 7 && install.snapshot.state == "state");
    CPPUNIT_ASSERT(install.snapshot.membership == members());
    CPPUNIT_ASSERT(read(appended_bytes).flag);
    // Except for the array length, a message starts with the fields of the first version, which skips the
    // rest.
    Message with_capabilities = install;
    with_capabilities.capabilities = supports_snapshot_chunks;
    std::string new_bytes = protocol::pack(with_capabilities), old_bytes = from_hex(install_bytes);
    CPPUNIT_ASSERT_EQUAL(old_bytes.substr(3), new_bytes.substr(3, old_bytes.size() - 3));
    // An entry of an unknown kind is rejected.
    std::string entry = protocol::pack_entry({8, 3, static_cast<EntryKind>(9), "", {}});
    CPPUNIT_ASSERT(!protocol::unpack_entry(entry));
  }

  // A database as the first version wrote it.
  void storeOfFirstVersionIsLoaded() {
    TempFolder folder;
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
    PersistentState stored;
    CPPUNIT_ASSERT(!store.load(stored));
    CPPUNIT_ASSERT(stored.self == 12 && stored.vote == (Vote{4, 12}));
    CPPUNIT_ASSERT(stored.snapshot.index == 7 && stored.snapshot.state == "state");
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, stored.entries.size());
    CPPUNIT_ASSERT(stored.entries[1].membership == members());
    // Entries are still encoded to the same bytes.
    CPPUNIT_ASSERT_EQUAL(from_hex("9195080301c4066368616e6765920090"),
                         protocol::pack_entry(stored.entries[0]));
  }

  void fullStoreCanBeCompacted() {
    TempFolder folder;
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
    PersistentState stored;
    CPPUNIT_ASSERT(!store.load(stored));
    CPPUNIT_ASSERT_EQUAL(index - 1, stored.snapshot.index + stored.entries.size());  // no entry is lost
    CPPUNIT_ASSERT(!store.save_vote({9, 9}));
    CPPUNIT_ASSERT(!store.save_snapshot({index - 1, 1, members(), state + "t"}, false));
    for (Index i = 0; i < 20; ++i)
      CPPUNIT_ASSERT(
          !store.replace_tail(index + i, {{index + i, 1, EntryKind::change, std::string(20000, 'e'), {}}}));
    CPPUNIT_ASSERT(!store.load(stored));
    CPPUNIT_ASSERT_EQUAL(std::size_t{20}, stored.entries.size());
    CPPUNIT_ASSERT(folder.size() <= 12 * mb);
  }

  // A full store forces a compaction even if the log is still small compared with the state.
  void memberCompactsWhenStoreIsFull() {
    TempFolder folder;
    storage::LmdbStore store(folder.path(), 4, 12);
    CountingMachine machine(3 * mb);
    Options founder;
    founder.address = "m0";
    founder.founders = {"m0"};
    founder.first_start = true;
    Core core(store, machine, founder);
    Time now{Duration(1000)};
    CPPUNIT_ASSERT(!core.start(now));
    while (!core.holds_lease(now)) core.tick(now += Duration(0.1));
    for (int i = 0; i < 120; ++i) CPPUNIT_ASSERT(core.propose(now, std::string(20000, 'c')));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{120}, machine.count);
    CPPUNIT_ASSERT(core.counters().refused_writes > 0 && !core.store_failed());
    CPPUNIT_ASSERT(folder.size() <= 12 * mb);
  }

  // Changes of all sizes, notes, and snapshots of a state that grows and shrinks.
  void fileSizeStaysWithinLimit() {
    TempFolder folder;
    storage::LmdbStore store(folder.path());
    Workload workload(200, 3 * mb);
    workload.run(store);
    CPPUNIT_ASSERT(folder.size() < 128 * mb);
    CPPUNIT_ASSERT_EQUAL(0, workload.failed_writes);
  }

  // Besides the snapshot a restart reads at most 4096 entries and less than 4 MB of them.
  void restartReadsABoundedLog() {
    for (std::size_t state : {std::size_t{1000}, std::size_t{800000}}) {
      ReplicationHarness harness(1, state, 1e9);
      harness.wait_for_leader();
      std::size_t max_entries = 0, bytes = 0;
      for (int i = 0; i < 5000; ++i) {
        harness.propose(20, static_cast<std::uint64_t>(i));
        harness.nodes[0]->core->take_out();
        const Log& log = harness.nodes[0]->core->log();
        max_entries = std::max<std::size_t>(max_entries, log.last() - log.snapshot().index);
        bytes = std::max(bytes, log.bytes());
        if (i % 500 == 0) harness.run_for(0.1);
      }
      CPPUNIT_ASSERT(max_entries <= (state > 1000 ? 4096u : 64u));
      // Large entries: limited by their size instead of their number.
      for (std::uint64_t i = 0; i < 60; ++i) {
        harness.propose(200000, 5000 + i);
        harness.nodes[0]->core->take_out();
        bytes = std::max(bytes, harness.nodes[0]->core->log().bytes());
      }
      CPPUNIT_ASSERT(bytes < 4 * mb);
      ReplicationHarness::Node& node = *harness.nodes[0];
      std::uint64_t digest = node.machine.digest;
      harness.kill(node, false);
      harness.start(node);
      harness.run_until(5, [&] { return node.machine.digest == digest; });
    }
  }

 private:
  struct Workload {
    Workload(int changes, std::size_t state) : changes(changes), state(state) {}
    void run(Store& store) {
      std::mt19937_64 random(7);
      Index index = 0, snapshot_index = 0;
      std::size_t bytes = 0;
      for (int i = 0; i < changes; ++i) {
        std::size_t size = random() % 4 ? random() % 2000 : random() % 200000;
        ++index;
        bytes += size;
        std::string data(size, static_cast<char>('a' + i % 26));
        if (store.replace_tail(index, {{index, 1, EntryKind::change, std::move(data), {}}}))
          ++failed_writes, --index;
        if (i % 5 == 0 && store.save_note(index, std::string(random() % 30000, 'n'))) ++failed_writes;
        if (index - snapshot_index < 64 && bytes < 4 * mb) continue;
        if (store.save_snapshot({index, 1, members(), std::string(random() % state, 's')}, false))
          ++failed_writes;
        snapshot_index = index;
        bytes = 0;
      }
    }
    int changes;
    std::size_t state;
    int failed_writes = 0;
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
