// The log in memory beside its store: a snapshot, the entries behind it, and the membership that each prefix
// has. Entries that the snapshot holds already are kept in memory for a while, for members that lack them.
//
// Between calls: memory holds what the store has confirmed, never more; entries stand without a gap from
// first() to last(), and first() - 1 is the snapshot's index or before it.
#pragma once

#include <deque>
#include <memory>
#include <system_error>
#include <utility>
#include <vector>

#include "raft/store.h"

namespace pearspar::raft {

// What an entry counts for where bytes are bounded: its data and about what lies around it.
inline std::size_t entry_size(const Entry& entry) { return entry.data.size() + 64; }

class Log {
 public:
  explicit Log(Store& store) : store_(store) {}

  void load(const PersistentState& stored);

  Index first() const { return base_ + 1; }
  Index last() const { return base_ + entries_.size(); }
  Term last_term() const { return entries_.empty() ? base_term_ : entries_.back().term; }
  // 0 where the index is not held any more, or not yet.
  Term term_at(Index index) const;
  const Entry& at(Index index) const { return entries_[index - first()]; }
  // Those from `from` on, until they hold about so many bytes (one at least, so many at the most).
  std::vector<Entry> entries_from(Index from, std::size_t bytes) const;
  const Snapshot& snapshot() const { return *snapshot_; }
  std::shared_ptr<const Snapshot> shared_snapshot() const { return snapshot_; }
  bool empty() const { return last() == 0; }

  // The newest membership in the log, committed or not; `since` is its entry (or the snapshot's index).
  const Membership& membership() const { return memberships_.back().second; }
  Index membership_index() const { return memberships_.back().first; }
  // As of an index that is not before the snapshot's.
  const Membership& membership_at(Index index) const;

  // `from` is behind the snapshot, and not behind last() + 1. After a failure the entries are the caller's
  // still.
  std::error_code replace_tail(Index from, std::vector<Entry>&& entries);
  // Ours, of what is applied. The entries that it holds stay in memory until trim() lets them go.
  std::error_code compact(Snapshot snapshot);
  // Of the entries that the snapshot holds, those behind `floor` stay, as long as they are `most` bytes.
  void trim(Index floor, std::size_t most);
  // The leader's. What we hold behind it stays where it continues it: we may have acknowledged that.
  std::error_code install(const Snapshot& snapshot);

  // Of the entries behind the snapshot: what a start has to read beside it.
  std::size_t bytes() const { return bytes_; }
  std::size_t retained_bytes() const { return retained_bytes_; }

 private:
  void drop_first();
  void count_compacted(Index before);

  Store& store_;
  std::shared_ptr<const Snapshot> snapshot_ = std::make_shared<Snapshot>();
  Index base_ = 0;  // of the entry before first()
  Term base_term_ = 0;
  std::deque<Entry> entries_;
  std::vector<std::pair<Index, Membership>> memberships_{{0, {}}};  // the snapshot's, then each entry's
  std::size_t bytes_ = 0;
  std::size_t retained_bytes_ = 0;  // of the entries that the snapshot holds
};

}  // namespace pearspar::raft
