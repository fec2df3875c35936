// In-memory view of the replicated log: the latest snapshot, the entries after it and the membership at each
// index. Entries that the snapshot covers can be retained in memory for members that still need them.
//
// Invariants: memory holds only what the store has confirmed; entries are contiguous from first() to last(),
// and first() - 1 is at most the snapshot's index.
#pragma once

#include <deque>
#include <memory>
#include <system_error>
#include <utility>
#include <vector>

#include "raft/store.h"

namespace pearspar::raft {

// Approximate size of an entry in bytes, including its overhead.
inline std::size_t entry_size(const Entry& entry) { return entry.data.size() + 64; }

// The replicated log of one member, written through to its store.
class Log {
 public:
  explicit Log(Store& store) : store_(store) {}

  void load(const PersistentState& stored);

  Index first() const { return base_ + 1; }
  Index last() const { return base_ + entries_.size(); }
  Term last_term() const { return entries_.empty() ? base_term_ : entries_.back().term; }
  // 0 if the index is not in memory.
  Term term_at(Index index) const;
  const Entry& at(Index index) const { return entries_[index - first()]; }
  // Entries from `from` on, up to about `bytes` bytes: at least one, and no more than one message may hold.
  std::vector<Entry> entries_from(Index from, std::size_t bytes) const;
  const Snapshot& snapshot() const { return *snapshot_; }
  std::shared_ptr<const Snapshot> shared_snapshot() const { return snapshot_; }
  bool empty() const { return last() == 0; }

  // The latest membership in the log, committed or not, and the index of its entry (or of the snapshot).
  const Membership& membership() const { return memberships_.back().second; }
  Index membership_index() const { return memberships_.back().first; }
  // Membership at `index`, which must not be before the snapshot's index.
  const Membership& membership_at(Index index) const;

  // Replaces the entries from `from` on; `from` must be after the snapshot and at most last() + 1.
  // On failure `entries` is left unchanged.
  std::error_code replace_tail(Index from, std::vector<Entry>&& entries);
  // Installs a snapshot of our own applied state. The entries it covers stay in memory until trim().
  std::error_code compact(Snapshot snapshot);
  // Drops entries that the snapshot covers, except those after `floor` as far as they fit in `max_bytes`.
  void trim(Index floor, std::size_t max_bytes);
  // Installs a leader's snapshot. Entries after it are kept if they continue it, since they may have been
  // acknowledged.
  std::error_code install(const Snapshot& snapshot);

  // Size of the entries after the snapshot, which a restart has to read.
  std::size_t bytes() const { return bytes_; }
  // Size of the entries in memory that the snapshot covers.
  std::size_t retained_bytes() const { return retained_bytes_; }

 private:
  void drop_first();
  void count_compacted(Index before);

  Store& store_;
  std::shared_ptr<const Snapshot> snapshot_ = std::make_shared<Snapshot>();
  Index base_ = 0;  // index of the entry before first()
  Term base_term_ = 0;
  std::deque<Entry> entries_;
  // Membership of the snapshot, then of each membership entry after it.
  std::vector<std::pair<Index, Membership>> memberships_{{0, {}}};
  std::size_t bytes_ = 0;
  std::size_t retained_bytes_ = 0;
};

}  // namespace pearspar::raft
