#include "registry/view.h"

#include <algorithm>
#include <cassert>

namespace pearspar::registry {
namespace {

constexpr std::size_t most_deleted = 1024;

std::size_t size_of(const std::string& key, const Item& item) { return key.size() + item.value.size(); }

}  // namespace

const char* word(Fault fault) {
  switch (fault) {
    case Fault::refused:
      return "refused";
    case Fault::timeout:
      return "timeout";
    case Fault::ended:
      return "ended";
    case Fault::malformed:
      return "malformed";
    case Fault::status:
      return "status";
    case Fault::too_large:
      return "too_large";
    case Fault::cancelled:
      return "cancelled";
    case Fault::compacted:
      return "compacted";
  }
  return "unknown";
}

void View::begin_snapshot(Revision revision) {
  abandon_snapshot();
  gathered_at_ = revision;
  state_ = stands() ? ViewState::resyncing : ViewState::loading;
}

Verdict View::add_page(Revision revision, const std::vector<KeyItem>& items) {
  if (state_ != ViewState::loading && state_ != ViewState::resyncing) return Verdict::misplaced;
  if (revision != gathered_at_) return Verdict::misplaced;
  for (const KeyItem& each : items) {
    // Keys come ascending over all pages: one that does not was on an earlier page or belongs before it.
    if (!gathered_.empty() && each.key <= gathered_.rbegin()->first) return Verdict::misplaced;
    if (each.item.modified > gathered_at_) return Verdict::misplaced;
    gathered_bytes_ += size_of(each.key, each.item);
    if (gathered_.size() >= limits_.keys || gathered_bytes_ > limits_.bytes) return Verdict::too_large;
    gathered_.emplace_hint(gathered_.end(), each.key, each.item);
  }
  return Verdict::applied;
}

Verdict View::finish_snapshot(bool whole) {
  if (state_ != ViewState::loading && state_ != ViewState::resyncing) return Verdict::misplaced;
  if (whole || state_ == ViewState::loading) {
    news_.clear();
    whole_news_ = true;
  } else {
    for (const auto& [key, item] : items_)
      if (auto now = gathered_.find(key); now == gathered_.end() || now->second != item) news_.insert(key);
    for (const auto& [key, item] : gathered_)
      if (items_.count(key) == 0) news_.insert(key);
  }
  deleted_.clear();
  deleted_order_.clear();
  items_ = std::move(gathered_);
  bytes_ = gathered_bytes_;
  revision_ = gathered_at_;
  gathered_.clear();
  gathered_bytes_ = 0;
  state_ = ViewState::stale;
  return Verdict::applied;
}

void View::abandon_snapshot() {
  gathered_.clear();
  gathered_bytes_ = 0;
  if (state_ == ViewState::loading) state_ = ViewState::empty;
  if (state_ == ViewState::resyncing) state_ = ViewState::stale;
}

void View::follow() {
  assert(state_ == ViewState::stale || state_ == ViewState::following);
  state_ = ViewState::following;
}

void View::lose() {
  if (state_ == ViewState::following) state_ = ViewState::stale;
}

// Whether a change can be the next of its key. Where the wire counts a key's puts, what was missed shows: a
// put is the next of the same creation, or the first of one that we hold nothing under.
bool View::follows(const Change& change) const {
  auto held = items_.find(change.key);
  if (!change.item) return held != items_.end();
  const Item& item = *change.item;
  if (item.version == 0) return true;
  if (item.version == 1) return held == items_.end();
  return held != items_.end() && held->second.created == item.created &&
         held->second.version + 1 == item.version;
}

// Of a change at or below our revision. One that we never saw came out of its order, behind others that we
// took.
bool View::was_applied(const Change& change) const {
  auto held = items_.find(change.key);
  if (held != items_.end()) return held->second.modified >= change.revision;
  if (!change.item) return true;
  auto deleted = deleted_.find(change.key);
  return deleted != deleted_.end() && deleted->second > change.revision;
}

void View::set(const Change& change) {
  auto held = items_.find(change.key);
  if (held != items_.end()) bytes_ -= size_of(held->first, held->second);
  if (!change.item) {
    if (held != items_.end()) items_.erase(held);
    deleted_[change.key] = change.revision;
    deleted_order_.emplace_back(change.revision, change.key);
    if (deleted_order_.size() > most_deleted) {
      auto oldest = deleted_.find(deleted_order_.front().second);
      if (oldest != deleted_.end() && oldest->second == deleted_order_.front().first) deleted_.erase(oldest);
      deleted_order_.pop_front();
    }
  } else {
    bytes_ += size_of(change.key, *change.item);
    items_[change.key] = *change.item;
  }
  news_.insert(change.key);
}

Verdict View::apply(const std::vector<Change>& changes) {
  if (state_ != ViewState::following) return Verdict::misplaced;
  Verdict verdict = Verdict::nothing;
  Revision last = 0;
  for (auto from = changes.begin(); from != changes.end();) {
    auto to =
        std::find_if(from, changes.end(), [&](const Change& c) { return c.revision != from->revision; });
    if (from->revision <= last) return Verdict::misplaced;  // out of order: what comes is no history
    last = from->revision;
    if (last <= revision_) {
      if (!std::all_of(from, to, [&](const Change& c) { return was_applied(c); })) return Verdict::hole;
      if (verdict == Verdict::nothing) verdict = Verdict::repeated;
      from = to;
      continue;
    }
    // All of it is looked at before any of it is done.
    std::set<std::string_view> keys;
    std::size_t bytes = bytes_;
    std::size_t count = items_.size();
    for (auto at = from; at != to; ++at) {
      if (!keys.insert(at->key).second) return Verdict::misplaced;  // one revision changes a key once
      if (!follows(*at)) return Verdict::hole;
      auto held = items_.find(at->key);
      if (held != items_.end()) {
        bytes -= size_of(held->first, held->second);
        --count;
      }
      if (!at->item) continue;
      bytes += size_of(at->key, *at->item);
      ++count;
    }
    if (count > limits_.keys || bytes > limits_.bytes) return Verdict::too_large;
    for (auto at = from; at != to; ++at) set(*at);
    revision_ = last;
    verdict = Verdict::applied;
    from = to;
  }
  return verdict;
}

Verdict View::progress(Revision revision) {
  if (state_ != ViewState::following) return Verdict::misplaced;
  if (revision < revision_) return Verdict::older;
  if (revision == revision_) return Verdict::nothing;
  revision_ = revision;
  return Verdict::applied;
}

Revision View::newest() const {
  Revision newest = 0;
  for (const auto& [key, item] : items_) newest = std::max(newest, item.modified);
  return newest;
}

View::News View::take_news() {
  News news;
  news.whole = std::exchange(whole_news_, false);
  if (!news.whole) news.keys.assign(news_.begin(), news_.end());
  news_.clear();
  return news;
}

}  // namespace pearspar::registry
