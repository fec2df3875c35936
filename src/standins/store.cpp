#include "standins/store.h"

#include <algorithm>
#include <cmath>

namespace pearspar::standins {
namespace {

bool within(const std::string& key, const std::string& from, const std::string& to) {
  if (to.empty()) return key == from;
  if (to == std::string(1, '\0')) return key >= from;
  return key >= from && key < to;
}

void take_in(std::map<std::string, Kv>& state, const StoreEvent& event) {
  if (event.removed)
    state.erase(event.kv.key);
  else
    state[event.kv.key] = event.kv;
}

}  // namespace

std::int64_t Store::write(const std::vector<Write>& writes) {
  bool any = std::any_of(writes.begin(), writes.end(),
                         [&](const Write& each) { return each.value || now_.count(each.key) != 0; });
  if (!any) return revision_;
  ++revision_;
  for (const Write& each : writes) {
    auto held = now_.find(each.key);
    if (held != now_.end() && held->second.lease != 0) leases_[held->second.lease].keys.erase(each.key);
    StoreEvent event;
    event.revision = revision_;
    if (!each.value) {
      if (held == now_.end()) continue;
      event.removed = true;
      event.kv.key = each.key;
      event.kv.modified = revision_;
    } else {
      event.kv = {each.key, *each.value, revision_, revision_, 1, each.lease};
      if (held != now_.end()) {
        event.kv.created = held->second.created;
        event.kv.version = held->second.version + 1;
      }
      if (each.lease != 0) leases_[each.lease].keys.insert(each.key);
    }
    take_in(now_, event);
    events_.push_back(std::move(event));
  }
  changed();
  return revision_;
}

std::vector<Kv> Store::range(const std::string& from, const std::string& to, std::int64_t at) const {
  std::map<std::string, Kv> past;
  const std::map<std::string, Kv>* state = &now_;
  if (at > 0 && at < revision_) {
    past = base_;
    for (const StoreEvent& event : events_) {
      if (event.revision > at) break;
      take_in(past, event);
    }
    state = &past;
  }
  std::vector<Kv> found;
  for (auto it = state->lower_bound(from); it != state->end() && within(it->first, from, to); ++it)
    found.push_back(it->second);
  return found;
}

std::size_t Store::count(const std::string& from, const std::string& to) const {
  std::size_t count = 0;
  for (auto it = now_.lower_bound(from); it != now_.end() && within(it->first, from, to); ++it) ++count;
  return count;
}

const Kv* Store::find(const std::string& key) const {
  auto found = now_.find(key);
  return found == now_.end() ? nullptr : &found->second;
}

std::size_t Store::first_event_from(std::int64_t revision) const {
  auto at = std::partition_point(events_.begin(), events_.end(),
                                 [&](const StoreEvent& event) { return event.revision < revision; });
  return static_cast<std::size_t>(at - events_.begin());
}

void Store::compact(std::int64_t revision) {
  revision = std::min(revision, revision_);
  if (revision <= compacted_) return;
  // The state at that revision stays readable, what led to it does not.
  std::size_t end = first_event_from(revision + 1);
  for (std::size_t i = 0; i < end; ++i) take_in(base_, events_[i]);
  events_.erase(events_.begin(), events_.begin() + static_cast<std::ptrdiff_t>(end));
  compacted_ = revision;
}

std::int64_t Store::grant(net::Duration ttl, net::Time now) {
  leases_[++last_lease_] = {ttl, now + ttl, {}};
  return last_lease_;
}

std::int64_t Store::keep_alive(std::int64_t lease, net::Time now) {
  auto found = leases_.find(lease);
  if (found == leases_.end()) return 0;
  found->second.until = now + found->second.ttl;
  return std::max<std::int64_t>(1, std::llround(found->second.ttl.count()));
}

void Store::revoke(std::int64_t lease) {
  auto found = leases_.find(lease);
  if (found == leases_.end()) return;
  std::vector<Write> writes;
  for (const std::string& key : found->second.keys) writes.push_back({key, std::nullopt, 0});
  leases_.erase(found);
  // The lease is gone: its keys must not look for it.
  for (const Write& each : writes)
    if (auto held = now_.find(each.key); held != now_.end()) held->second.lease = 0;
  if (!writes.empty()) write(writes);
}

void Store::expire(net::Time now) {
  std::vector<std::int64_t> over;
  for (const auto& [id, lease] : leases_)
    if (lease.until <= now) over.push_back(id);
  for (std::int64_t id : over) revoke(id);
}

net::Time Store::next_expiry() const {
  net::Time first = net::Time::max();
  for (const auto& [id, lease] : leases_) first = std::min(first, lease.until);
  return first;
}

void Store::restore(const Store& backup, bool new_identity) {
  auto on_change_kept = std::move(on_change);
  std::uint64_t cluster = new_identity ? cluster_ + 1 : cluster_;
  *this = backup;
  on_change = std::move(on_change_kept);
  cluster_ = cluster;
  term_ = 2;
  changed();
}

void Store::wipe() { restore(Store(cluster_), true); }

}  // namespace pearspar::standins
