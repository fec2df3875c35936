#include "raft/log.h"

#include <algorithm>

namespace pearspar::raft {
namespace {

constexpr std::size_t max_entries = 1024;  // per message; receivers accept up to 4096

}  // namespace

void Log::load(const PersistentState& stored) {
  snapshot_ = std::make_shared<const Snapshot>(stored.snapshot);
  base_ = snapshot_->index;
  base_term_ = snapshot_->term;
  entries_.assign(stored.entries.begin(), stored.entries.end());
  memberships_.assign(1, {snapshot_->index, snapshot_->membership});
  bytes_ = retained_bytes_ = 0;
  for (const Entry& entry : entries_) {
    if (entry.kind == EntryKind::membership) memberships_.emplace_back(entry.index, entry.membership);
    bytes_ += entry_size(entry);
  }
}

Term Log::term_at(Index index) const {
  if (index == base_) return base_term_;
  if (index < first() || index > last()) return 0;
  return at(index).term;
}

std::vector<Entry> Log::entries_from(Index from, std::size_t bytes) const {
  std::vector<Entry> entries;
  std::size_t size = 0;
  for (Index i = from; i <= last() && entries.size() < max_entries && (entries.empty() || size < bytes);
       ++i) {
    entries.push_back(at(i));
    size += entry_size(entries.back());
  }
  return entries;
}

const Membership& Log::membership_at(Index index) const {
  std::size_t i = memberships_.size() - 1;
  while (i > 0 && memberships_[i].first > index) --i;
  return memberships_[i].second;
}

std::error_code Log::replace_tail(Index from, std::vector<Entry>&& entries) {
  if (from <= snapshot_->index || from > last() + 1) return std::make_error_code(std::errc::invalid_argument);
  if (auto error = store_.replace_tail(from, entries)) return error;
  while (last() >= from) {
    bytes_ -= entry_size(entries_.back());
    entries_.pop_back();
  }
  while (memberships_.size() > 1 && memberships_.back().first >= from) memberships_.pop_back();
  for (Entry& entry : entries) {
    if (entry.kind == EntryKind::membership) memberships_.emplace_back(entry.index, entry.membership);
    bytes_ += entry_size(entry);
    entries_.push_back(std::move(entry));
  }
  return {};
}

// Updates sizes and memberships after the snapshot's index has advanced from `before`.
void Log::count_compacted(Index before) {
  for (Index i = std::max(before + 1, first()); i <= std::min(snapshot_->index, last()); ++i) {
    bytes_ -= entry_size(at(i));
    retained_bytes_ += entry_size(at(i));
  }
  std::erase_if(memberships_, [&](const auto& each) { return each.first <= snapshot_->index; });
  memberships_.insert(memberships_.begin(), {snapshot_->index, snapshot_->membership});
}

std::error_code Log::compact(Snapshot snapshot) {
  if (auto error = store_.save_snapshot(snapshot, false)) return error;
  Index before = snapshot_->index;
  snapshot_ = std::make_shared<const Snapshot>(std::move(snapshot));
  count_compacted(before);
  return {};
}

void Log::drop_first() {
  base_ = entries_.front().index;
  base_term_ = entries_.front().term;
  retained_bytes_ -= entry_size(entries_.front());
  entries_.pop_front();
}

void Log::trim(Index floor, std::size_t max_bytes) {
  while (base_ < snapshot_->index && (base_ < floor || retained_bytes_ > max_bytes)) drop_first();
}

std::error_code Log::install(const Snapshot& snapshot) {
  bool continues_log = snapshot.index >= first() && term_at(snapshot.index) == snapshot.term;
  if (auto error = store_.save_snapshot(snapshot, !continues_log)) return error;
  Index before = snapshot_->index;
  snapshot_ = std::make_shared<const Snapshot>(snapshot);
  if (continues_log) {
    count_compacted(before);
    trim(snapshot.index, 0);
    return {};
  }
  entries_.clear();
  base_ = snapshot.index;
  base_term_ = snapshot.term;
  memberships_.assign(1, {snapshot.index, snapshot.membership});
  bytes_ = retained_bytes_ = 0;
  return {};
}

}  // namespace pearspar::raft
