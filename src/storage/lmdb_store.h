// A member's store in LMDB: one environment in one folder, one transaction a call, synced by its commit.
//
// Layout, format 1 (key -> msgpack): "format" -> [1]; "self" -> [id]; "vote" -> [term, given to];
// "note" -> [commit, bytes]; "snapshot" -> [[index, term, membership, state]]; 'e' and the index in 8 bytes,
// greatest first -> [entry]. A store of another format is refused at the start, and left as it is.
#pragma once

#include <lmdb.h>

#include <functional>
#include <string>
#include <string_view>

#include "raft/store.h"

namespace pearspar::storage {

enum class StoreError { unsupported_format = 1, corrupt };
std::error_code make_error_code(StoreError fault);

class LmdbStore : public raft::Store {
 public:
  // `folder` is made where it is not there. `map_mb`: how far entries and notes may let the file grow, in MB;
  // `max_map_mb`: how far anything may. What lies between is for votes and for a snapshot that takes the
  // place of entries: a store that these have filled can still be folded. Beyond it a write is refused as by
  // a full disk.
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
  // Opens the environment where it is closed; closes it after a failure, so that the next call starts from
  // what the disk really holds.
  std::error_code write(const std::function<int(MDB_txn*, MDB_dbi)>& work);
  std::error_code commit(const std::function<int(MDB_txn*, MDB_dbi)>& work);
  // With all the room there is, where the usual does not do.
  std::error_code write_with_reserve(const std::function<int(MDB_txn*, MDB_dbi)>& work);

  std::string folder_;
  std::size_t map_mb_;
  std::size_t max_map_mb_;
  MDB_env* env_ = nullptr;
  bool directory_synced_ = false;  // its names are there to stay
};

}  // namespace pearspar::storage

template <>
struct std::is_error_code_enum<pearspar::storage::StoreError> : std::true_type {};
