// Raft store in LMDB: one environment per directory and one synced transaction per call.
//
// Layout of format 1 (key -> msgpack): "format" -> [1]; "self" -> [id]; "vote" -> [term, voted for];
// "note" -> [commit, bytes]; "snapshot" -> [[index, term, membership, state]]; 'e' followed by the index as 8
// bytes, big-endian -> [entry]. A store of another format is rejected when it is opened and left unchanged.
#pragma once

#include <lmdb.h>

#include <functional>
#include <string>
#include <string_view>

#include "raft/store.h"

namespace pearspar::storage {

// Errors of the stored data itself; LMDB and the system have their own categories.
enum class StoreError { unsupported_format = 1, corrupt };
std::error_code make_error_code(StoreError error);

// Store of one Raft member.
class LmdbStore : public raft::Store {
 public:
  // Creates `folder` if it does not exist. Entries and notes may grow the file up to `map_mb` MB, votes and
  // snapshots up to `max_map_mb` MB, so that a full store can still be compacted. A write beyond these limits
  // fails as on a full disk.
  explicit LmdbStore(std::string folder, std::size_t map_mb = 64, std::size_t max_map_mb = 120);
  ~LmdbStore() override;

  std::error_code load(raft::PersistentState& stored) override;
  std::error_code save_self(raft::MemberId self) override;
  std::error_code save_vote(const raft::Vote& vote) override;
  std::error_code replace_tail(raft::Index from, const std::vector<raft::Entry>& entries) override;
  std::error_code save_snapshot(const raft::Snapshot& snapshot, bool drop_rest) override;
  std::error_code save_note(raft::Index commit, const std::string& note) override;

 private:
  std::error_code open();
  int open_at(const std::string& file);
  std::error_code make_file(const std::string& file);
  void close();
  // Runs `work` in a transaction, opening the environment if necessary. A failure closes it, so that the next
  // call starts from what is on disk.
  std::error_code write(const std::function<int(MDB_txn*, MDB_dbi)>& work);
  std::error_code commit(const std::function<int(MDB_txn*, MDB_dbi)>& work);
  // Like write(), but with the larger limit if the usual one is exceeded.
  std::error_code write_with_reserve(const std::function<int(MDB_txn*, MDB_dbi)>& work);

  std::string folder_;
  std::size_t map_mb_;
  std::size_t max_map_mb_;
  MDB_env* env_ = nullptr;
  bool directory_synced_ = false;
};

}  // namespace pearspar::storage

template <>
struct std::is_error_code_enum<pearspar::storage::StoreError> : std::true_type {};
