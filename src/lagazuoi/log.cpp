#include "lagazuoi/log.h"

#include <algorithm>

namespace pearspar::lagazuoi {

void Log::load(const Stored& stored) {
  snapshot_ = stored.snapshot;
  entries_ = stored.entries;
  fold_memberships();
}

void Log::fold_memberships() {
  memberships_.assign(1, {snapshot_.index, snapshot_.membership});
  bytes_ = 0;
  for (const Entry& entry : entries_) {
    if (entry.kind == EntryKind::membership) memberships_.emplace_back(entry.index, entry.membership);
    bytes_ += entry.data.size() + 64;
  }
}

Term Log::term_at(Index index) const {
  if (index == snapshot_.index) return snapshot_.term;
  if (index < first() || index > last()) return 0;
  return at(index).term;
}

std::vector<Entry> Log::from(Index from, std::size_t bytes) const {
  std::vector<Entry> found;
  std::size_t size = 0;
  for (Index i = from; i <= last() && (found.empty() || size < bytes); ++i) {
    found.push_back(at(i));
    size += found.back().data.size() + 64;
  }
  return found;
}

std::error_code Log::replace_tail(Index from, std::vector<Entry> entries) {
  if (auto error = store_.replace_tail(from, entries)) return error;
  entries_.resize(from - first());
  for (Entry& entry : entries) entries_.push_back(std::move(entry));
  fold_memberships();
  return {};
}

std::error_code Log::fold(Snapshot snapshot) {
  if (auto error = store_.save_snapshot(snapshot, false)) return error;
  Index dropped = snapshot.index - snapshot_.index;
  entries_.erase(entries_.begin(),
                 entries_.begin() + static_cast<std::ptrdiff_t>(std::min<Index>(dropped, entries_.size())));
  snapshot_ = std::move(snapshot);
  fold_memberships();
  return {};
}

std::error_code Log::install(const Snapshot& snapshot) {
  if (auto error = store_.save_snapshot(snapshot, true)) return error;
  snapshot_ = snapshot;
  entries_.clear();
  fold_memberships();
  return {};
}

}  // namespace pearspar::lagazuoi
