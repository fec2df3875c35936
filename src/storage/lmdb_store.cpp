#include "storage/lmdb_store.h"

#include <cstring>

#include "allocation/allocation.h"
#include "protocol/raft_codec.h"
#include "storage/files.h"

namespace pearspar::storage {
namespace {

using namespace raft;

constexpr std::uint64_t format = 1;
constexpr std::size_t min_allocation = 4096;  // one page, the least that LMDB may have failed to allocate

class FaultCategory : public std::error_category {
 public:
  const char* name() const noexcept override { return "store"; }
  std::string message(int value) const override {
    return value == static_cast<int>(StoreError::unsupported_format) ? "written in another format"
                                                                     : "does not read";
  }
};

class LmdbCategory : public std::error_category {
 public:
  const char* name() const noexcept override { return "lmdb"; }
  std::string message(int value) const override { return mdb_strerror(value); }
};

std::error_code error_of(int result) {
  static const LmdbCategory category;
  if (result == MDB_SUCCESS) return {};
  return result > 0 ? std::error_code(result, std::generic_category()) : std::error_code(result, category);
}

MDB_val value_of(std::string_view bytes) { return {bytes.size(), const_cast<char*>(bytes.data())}; }
std::string_view view_of(const MDB_val& value) {
  return {static_cast<const char*>(value.mv_data), value.mv_size};
}

std::string entry_key(Index index) {
  std::string key = "e";
  for (int shift = 56; shift >= 0; shift -= 8) key += static_cast<char>((index >> shift) & 255);
  return key;
}

int put(MDB_txn* txn, MDB_dbi dbi, std::string_view key, std::string_view bytes) {
  MDB_val name = value_of(key), value = value_of(bytes);
  return mdb_put(txn, dbi, &name, &value, 0);
}

std::string pack_number(std::uint64_t value) {
  protocol::Packer packer;
  packer.array(1);
  packer.number(value);
  return std::string(packer.view());
}

// Removes entries from `from` on as long as `drop` is true for their index.
template <typename Drop>
int drop_entries(MDB_txn* txn, MDB_dbi dbi, Index from, Drop drop) {
  MDB_cursor* cursor = nullptr;
  if (int result = mdb_cursor_open(txn, dbi, &cursor)) return result;
  std::string start = entry_key(from);
  MDB_val key = value_of(start), value{};
  int result = mdb_cursor_get(cursor, &key, &value, MDB_SET_RANGE);
  while (result == MDB_SUCCESS && key.mv_size == start.size() && view_of(key)[0] == 'e') {
    Index index = 0;
    for (char byte : view_of(key).substr(1)) index = index << 8 | static_cast<unsigned char>(byte);
    if (!drop(index)) break;
    if ((result = mdb_cursor_del(cursor, 0))) break;
    // After a deletion this returns the entry that took its place.
    result = mdb_cursor_get(cursor, &key, &value, MDB_NEXT);
  }
  mdb_cursor_close(cursor);
  return result == MDB_NOTFOUND ? MDB_SUCCESS : result;
}

// Whether a database without a format key is empty or was started by an older version; anything else belongs
// to another program.
bool is_unfinished_store(MDB_txn* txn, MDB_dbi dbi) {
  MDB_cursor* cursor = nullptr;
  if (mdb_cursor_open(txn, dbi, &cursor)) return false;
  MDB_val key{}, value{};
  int result = mdb_cursor_get(cursor, &key, &value, MDB_FIRST);
  while (result == MDB_SUCCESS && (view_of(key) == "snapshot" || view_of(key) == "vote"))
    result = mdb_cursor_get(cursor, &key, &value, MDB_NEXT);
  mdb_cursor_close(cursor);
  return result == MDB_NOTFOUND;
}

}  // namespace

std::error_code make_error_code(StoreError error) {
  static const FaultCategory category;
  return {static_cast<int>(error), category};
}

LmdbStore::LmdbStore(std::string folder, std::size_t map_mb, std::size_t max_map_mb)
    : folder_(std::move(folder)), map_mb_(map_mb), max_map_mb_(max_map_mb) {}

LmdbStore::~LmdbStore() { close(); }

void LmdbStore::close() {
  if (env_) mdb_env_close(env_);
  env_ = nullptr;
}

std::error_code LmdbStore::open() {
  if (env_) return {};
  if (auto error = make_directory(folder_)) return error;
  std::string file = folder_ + "/data.mdb";
  if (!exists(file))
    if (auto error = make_file(file)) return error;
  if (int result = open_at(file)) return error_of(result);
  // Makes the name of the data file durable.
  if (auto error = directory_synced_ ? std::error_code() : sync_directory(folder_)) {
    close();
    return error;
  }
  directory_synced_ = true;
  return {};
}

// Used by one thread of one process only, so LMDB's reader table is not needed.
int LmdbStore::open_at(const std::string& file) {
  int result = mdb_env_create(&env_);
  if (result == MDB_SUCCESS) result = mdb_env_set_mapsize(env_, map_mb_ << 20);
  if (result == MDB_SUCCESS)
    result = mdb_env_open(env_, file.c_str(), MDB_NOSUBDIR | MDB_NOLOCK | MDB_NOTLS, 0644);
  MDB_envinfo info{};
  MDB_stat stat{};
  mdb_filehandle_t fd = -1;
  if (result == MDB_SUCCESS) result = mdb_env_info(env_, &info);
  if (result == MDB_SUCCESS) result = mdb_env_stat(env_, &stat);
  if (result == MDB_SUCCESS) result = mdb_env_get_fd(env_, &fd);
  // Reading a page beyond the end of a truncated file would raise SIGBUS; LMDB rejects a page of zeros.
  if (result == MDB_SUCCESS) result = extend_file(fd, (info.me_last_pgno + 1) * stat.ms_psize);
  if (result != MDB_SUCCESS) close();
  return result;
}

// Renames the file only after its first commit, so that a power loss leaves no incomplete store.
std::error_code LmdbStore::make_file(const std::string& file) {
  std::string fresh = folder_ + "/data.new";
  if (auto error = remove_file(fresh)) return error;
  if (int result = open_at(fresh)) return error_of(result);
  auto error = commit([](MDB_txn* txn, MDB_dbi dbi) { return put(txn, dbi, "format", pack_number(format)); });
  close();
  return error ? error : rename_file(fresh, file);
}

std::error_code LmdbStore::write(const std::function<int(MDB_txn*, MDB_dbi)>& work) {
  while (true) {
    std::error_code error = open();
    if (!error) error = commit(work);
    if (error != std::errc::not_enough_memory) return error;
    // Nothing was written and the environment is closed, so the call can be repeated.
    allocation::make_room(min_allocation);
  }
}

std::error_code LmdbStore::commit(const std::function<int(MDB_txn*, MDB_dbi)>& work) {
  MDB_txn* txn = nullptr;
  int result = mdb_txn_begin(env_, nullptr, 0, &txn);
  if (result == MDB_SUCCESS) {
    MDB_dbi dbi = 0;
    result = mdb_dbi_open(txn, nullptr, 0, &dbi);
    if (result == MDB_SUCCESS) result = work(txn, dbi);
    if (result == MDB_SUCCESS)
      result = mdb_txn_commit(txn);
    else
      mdb_txn_abort(txn);
  }
  if (result != MDB_SUCCESS) close();
  return error_of(result);
}

std::error_code LmdbStore::write_with_reserve(const std::function<int(MDB_txn*, MDB_dbi)>& work) {
  auto error = write(work);
  if (error != error_of(MDB_MAP_FULL)) return error;
  if (auto open_error = open()) return open_error;
  if (int result = mdb_env_set_mapsize(env_, max_map_mb_ << 20)) return error_of(result);
  error = write(work);
  // LMDB reuses pages freed by a transaction only in the second one after it, so commit one more while there
  // is room.
  if (!error)
    static_cast<void>(
        write([](MDB_txn* txn, MDB_dbi dbi) { return put(txn, dbi, "format", pack_number(format)); }));
  // Back to the usual limit, or to the size in use.
  if (env_ && mdb_env_set_mapsize(env_, map_mb_ << 20) != MDB_SUCCESS) close();
  return error;
}

std::error_code LmdbStore::load(PersistentState& stored) {
  stored = {};
  if (auto error = open()) return error;
  MDB_txn* txn = nullptr;
  MDB_dbi dbi = 0;
  if (int result = mdb_txn_begin(env_, nullptr, MDB_RDONLY, &txn)) return error_of(result);
  std::error_code error;
  auto read = [&](std::string_view name, std::string& bytes) {
    MDB_val key = value_of(name), value{};
    int result = mdb_get(txn, dbi, &key, &value);
    if (result == MDB_SUCCESS) bytes = view_of(value);
    return result == MDB_SUCCESS;
  };
  auto number = [&](const std::string& bytes) {
    protocol::Unpacker unpacker(bytes);
    std::uint64_t value = unpacker.number();
    if (!unpacker.at_end()) error = StoreError::corrupt;
    return value;
  };
  int result = mdb_dbi_open(txn, nullptr, 0, &dbi);
  std::string bytes;
  if (result == MDB_SUCCESS) {
    if (read("format", bytes) ? number(bytes) != format : !is_unfinished_store(txn, dbi))
      error = StoreError::unsupported_format;
  }
  if (result == MDB_SUCCESS && !error) {
    if (read("self", bytes)) stored.self = number(bytes);
    if (read("vote", bytes)) {
      auto vote = protocol::unpack_vote(bytes);
      if (vote)
        stored.vote = *vote;
      else
        error = StoreError::corrupt;
    }
    if (read("note", bytes)) {
      protocol::Unpacker unpacker(bytes);
      stored.commit = unpacker.number();
      stored.note = unpacker.text();
      if (!unpacker.at_end()) error = StoreError::corrupt;
    }
    if (read("snapshot", bytes)) {
      auto snapshot = protocol::unpack_snapshot(bytes);
      if (snapshot)
        stored.snapshot = std::move(*snapshot);
      else
        error = StoreError::corrupt;
    }
    MDB_cursor* cursor = nullptr;
    result = mdb_cursor_open(txn, dbi, &cursor);
    if (result == MDB_SUCCESS) {
      std::string start = entry_key(0);
      MDB_val key = value_of(start), value{};
      for (result = mdb_cursor_get(cursor, &key, &value, MDB_SET_RANGE);
           result == MDB_SUCCESS && key.mv_size == start.size() && view_of(key)[0] == 'e';
           result = mdb_cursor_get(cursor, &key, &value, MDB_NEXT)) {
        auto entry = protocol::unpack_entry(view_of(value));
        Index expected = stored.snapshot.index + stored.entries.size() + 1;
        if (!entry || (entry->index >= expected && entry->index != expected)) {
          error = StoreError::corrupt;
          break;
        }
        if (entry->index == expected) stored.entries.push_back(std::move(*entry));
      }
      mdb_cursor_close(cursor);
      if (result == MDB_NOTFOUND) result = MDB_SUCCESS;
    }
  }
  mdb_txn_abort(txn);
  if (error) return error;
  return error_of(result);
}

std::error_code LmdbStore::save_self(MemberId self) {
  return write_with_reserve([&](MDB_txn* txn, MDB_dbi dbi) {
    int result = put(txn, dbi, "format", pack_number(format));
    return result ? result : put(txn, dbi, "self", pack_number(self));
  });
}

std::error_code LmdbStore::save_vote(const Vote& vote) {
  return write_with_reserve(
      [&](MDB_txn* txn, MDB_dbi dbi) { return put(txn, dbi, "vote", protocol::pack_vote(vote)); });
}

std::error_code LmdbStore::replace_tail(Index from, const std::vector<Entry>& entries) {
  return write([&](MDB_txn* txn, MDB_dbi dbi) {
    int result = drop_entries(txn, dbi, from, [](Index) { return true; });
    for (const Entry& entry : entries) {
      if (result) break;
      result = put(txn, dbi, entry_key(entry.index), protocol::pack_entry(entry));
    }
    return result;
  });
}

std::error_code LmdbStore::save_note(Index commit, const std::string& note) {
  protocol::Packer packer;
  packer.array(2);
  packer.number(commit);
  packer.text(note);
  return write([&](MDB_txn* txn, MDB_dbi dbi) { return put(txn, dbi, "note", packer.view()); });
}

std::error_code LmdbStore::save_snapshot(const Snapshot& snapshot, bool drop_rest) {
  return write_with_reserve([&](MDB_txn* txn, MDB_dbi dbi) {
    int result = put(txn, dbi, "snapshot", protocol::pack_snapshot(snapshot));
    if (result) return result;
    return drop_entries(txn, dbi, 0, [&](Index index) { return drop_rest || index <= snapshot.index; });
  });
}

}  // namespace pearspar::storage
