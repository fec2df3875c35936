// Files of a store: power loss while a file is created, and truncated, foreign or unreadable files, none of
// which may crash the process.
#include <cppunit/extensions/HelperMacros.h>
#include <lmdb.h>
#include <sys/stat.h>
#include <sys/syscall.h>
#include <unistd.h>

#include <cerrno>
#include <fstream>
#include <functional>

#include "storage/lmdb_store.h"
#include "temp_folder.h"

namespace {

std::function<int()> on_folder_sync;  // if set, returns the errno of a directory sync, 0 = success
std::function<void()> on_file_sync;

bool is_folder(int fd) {
  struct stat found {};
  return ::fstat(fd, &found) == 0 && S_ISDIR(found.st_mode);
}

}  // namespace

// Replace the C library's functions in this program.
extern "C" int fsync(int fd) {
  if (on_folder_sync && is_folder(fd))
    if (int fault = on_folder_sync()) {
      errno = fault;
      return -1;
    }
  return static_cast<int>(::syscall(SYS_fsync, fd));
}

extern "C" int fdatasync(int fd) {
  if (on_file_sync) on_file_sync();
  return static_cast<int>(::syscall(SYS_fdatasync, fd));
}

namespace pearspar::storage {

using raft::EntryKind;
using raft::PersistentState;

class StoreFolderTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(StoreFolderTest);
  CPPUNIT_TEST(directoryIsSyncedBeforeWritesAreConfirmed);
  CPPUNIT_TEST(unfinishedStoreFileIsDiscarded);
  CPPUNIT_TEST(truncatedFileIsRejected);
  CPPUNIT_TEST(foreignFileIsLeftUnchanged);
  CPPUNIT_TEST_SUITE_END();

 public:
  void tearDown() override {
    on_folder_sync = nullptr;
    on_file_sync = nullptr;
  }

  void directoryIsSyncedBeforeWritesAreConfirmed() {
    TempFolder folder;
    LmdbStore store(folder.path());
    bool lasts = false;
    int fault = EIO;
    on_folder_sync = [&] {
      if (fault == 0) lasts = folder.size() > 0;
      return fault;
    };
    CPPUNIT_ASSERT_EQUAL(EIO, store.save_self(5).value());
    fault = 0;
    CPPUNIT_ASSERT(!lasts);
    CPPUNIT_ASSERT(!store.save_self(5));
    CPPUNIT_ASSERT(lasts);
    lasts = false;
    LmdbStore again(folder.path());  // also when an existing store is opened
    PersistentState stored;
    CPPUNIT_ASSERT(!again.load(stored));
    CPPUNIT_ASSERT(lasts);
    CPPUNIT_ASSERT_EQUAL(raft::MemberId{5}, stored.self);
  }

  // Before the first sync pages may be missing or torn, so the file must not have its final name yet.
  void unfinishedStoreFileIsDiscarded() {
    int syncs = 0;
    {
      TempFolder folder;
      LmdbStore store(folder.path());
      on_file_sync = [&] {
        if (++syncs == 1) CPPUNIT_ASSERT_EQUAL(std::size_t{0}, folder.size());
      };
      CPPUNIT_ASSERT(!store.save_self(5));
      on_file_sync = nullptr;
    }
    CPPUNIT_ASSERT(syncs > 1);
    for (std::size_t size : {0, 1, 4096, 5000, 8192, 12288}) {
      TempFolder folder;
      std::ofstream(folder.path() + "/data.new", std::ios::binary) << std::string(size, '\x7f');
      LmdbStore store(folder.path());
      PersistentState stored;
      CPPUNIT_ASSERT(!store.load(stored) && stored.self == 0);
      CPPUNIT_ASSERT(!store.save_self(7));
      CPPUNIT_ASSERT(::access((folder.path() + "/data.new").c_str(), F_OK) != 0);
    }
  }

  // Each truncated file is rejected or, if only unused pages are missing, loaded completely.
  void truncatedFileIsRejected() {
    TempFolder folder;
    {
      LmdbStore store(folder.path());
      CPPUNIT_ASSERT(!store.save_self(5));
      CPPUNIT_ASSERT(!store.save_snapshot({1, 1, {{{5, "a"}}, 1}, std::string(300000, 's')}, false));
      for (raft::Index i = 2; i < 200; ++i)
        CPPUNIT_ASSERT(!store.replace_tail(i, {{i, 1, EntryKind::change, std::string(3000, 'e'), {}}}));
    }
    std::string file = folder.path() + "/data.mdb", all(folder.size(), 0);
    std::ifstream(file, std::ios::binary).read(all.data(), static_cast<std::streamsize>(all.size()));
    int refused = 0;
    for (std::size_t size = 100; size < all.size(); size += 5 * 4096) {
      std::ofstream(file, std::ios::binary | std::ios::trunc) << all.substr(0, size);
      LmdbStore store(folder.path());
      PersistentState stored;
      if (store.load(stored))
        ++refused;
      else
        CPPUNIT_ASSERT_EQUAL(std::size_t{198}, stored.entries.size());
    }
    CPPUNIT_ASSERT(refused > 10);
  }

  void foreignFileIsLeftUnchanged() {
    TempFolder folder;
    {
      MDB_env* env = nullptr;
      MDB_txn* txn = nullptr;
      MDB_dbi dbi = 0;
      mdb_env_create(&env);
      CPPUNIT_ASSERT_EQUAL(0, mdb_env_open(env, folder.path().c_str(), MDB_NOLOCK, 0644));
      mdb_txn_begin(env, nullptr, 0, &txn);
      mdb_dbi_open(txn, nullptr, 0, &dbi);
      std::string bytes = "word";
      MDB_val value{bytes.size(), bytes.data()};
      CPPUNIT_ASSERT_EQUAL(0, mdb_put(txn, dbi, &value, &value, 0));
      CPPUNIT_ASSERT_EQUAL(0, mdb_txn_commit(txn));
      mdb_env_close(env);
    }
    PersistentState stored;
    CPPUNIT_ASSERT(LmdbStore(folder.path()).load(stored) == StoreError::unsupported_format);
    std::ofstream(folder.path() + "/data.mdb", std::ios::trunc) << std::string(20000, 'x');
    CPPUNIT_ASSERT(LmdbStore(folder.path()).load(stored));
    CPPUNIT_ASSERT_EQUAL(std::size_t{20000}, folder.size());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(StoreFolderTest);

}  // namespace pearspar::storage
