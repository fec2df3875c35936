// The log in memory beside its store: entries behind a snapshot, and the membership that each prefix has.
// Between calls: memory holds what the store has confirmed, never more.
#pragma once

#include <system_error>
#include <utility>
#include <vector>

#include "lagazuoi/store.h"

namespace pearspar::lagazuoi {

class Log {
 public:
  explicit Log(Store& store) : store_(store) {}

  void load(const Stored& stored);

  Index first() const { return snapshot_.index + 1; }
  Index last() const { return snapshot_.index + entries_.size(); }
  Term last_term() const { return entries_.empty() ? snapshot_.term : entries_.back().term; }
  // 0 where the index is not held any more, or not yet.
  Term term_at(Index index) const;
  const Entry& at(Index index) const { return entries_[index - first()]; }
  // Those from `from` on, until they hold about so many bytes (one at least).
  std::vector<Entry> from(Index from, std::size_t bytes) const;
  const Snapshot& snapshot() const { return snapshot_; }
  bool empty() const { return last() == 0; }

  // The newest membership in the log, committed or not; `since` is its entry (or the snapshot's index).
  const Membership& membership() const { return memberships_.back().second; }
  Index membership_since() const { return memberships_.back().first; }

  std::error_code append(std::vector<Entry> entries) { return replace_tail(last() + 1, std::move(entries)); }
  std::error_code replace_tail(Index from, std::vector<Entry> entries);
  // Ours, of what is applied.
  std::error_code fold(Snapshot snapshot);
  // The leader's, in place of a log that lacks it.
  std::error_code install(const Snapshot& snapshot);

  std::size_t bytes() const { return bytes_; }

 private:
  void fold_memberships();

  Store& store_;
  Snapshot snapshot_;
  std::vector<Entry> entries_;
  std::vector<std::pair<Index, Membership>> memberships_{{0, {}}};
  std::size_t bytes_ = 0;
};

}  // namespace pearspar::lagazuoi
