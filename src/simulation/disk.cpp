#include "simulation/disk.h"

#include <algorithm>

namespace pearspar::simulation {

using namespace raft;

template <typename Work>
std::error_code SimDisk::write(std::size_t bytes, Work work) {
  Time start = std::max({world_.now(), busy_, stalled_});
  if (full_) {
    busy_ = start;
    return std::make_error_code(std::errc::no_space_on_device);
  }
  ++writes_;
  before_ = held_;
  work(held_);
  busy_ = start + sync_ + Duration(rate_ > 0 ? static_cast<double>(bytes) / rate_ : 0);
  if (lying_ && world_.now() >= durable_due_) {
    durable_ = before_;  // its cache reaches the disk at times of its own
    durable_due_ = world_.now() + Duration(0.3);
  }
  return {};
}

PersistentState SimDisk::kept() const {
  PersistentState stored;
  stored.self = held_.self;
  stored.vote = held_.vote;
  if (held_.snapshot) stored.snapshot = *held_.snapshot;
  for (const auto& entry : held_.entries) stored.entries.push_back(*entry);
  stored.commit = held_.commit;
  stored.note = held_.note;
  return stored;
}

std::error_code SimDisk::load(PersistentState& stored) {
  stored = kept();
  return {};
}

std::error_code SimDisk::save_self(MemberId self) {
  return write(8, [&](Held& held) { held.self = self; });
}

std::error_code SimDisk::save_vote(const Vote& vote) {
  return write(16, [&](Held& held) { held.vote = vote; });
}

std::error_code SimDisk::replace_tail(Index from, const std::vector<Entry>& entries) {
  std::size_t bytes = 0;
  for (const Entry& entry : entries) bytes += entry.data.size() + 64;
  return write(bytes, [&](Held& held) {
    std::erase_if(held.entries, [&](const auto& entry) { return entry->index >= from; });
    for (const Entry& entry : entries) held.entries.push_back(std::make_shared<const Entry>(entry));
  });
}

std::error_code SimDisk::save_snapshot(const Snapshot& snapshot, bool drop_rest) {
  return write(snapshot.state.size(), [&](Held& held) {
    held.snapshot = std::make_shared<const Snapshot>(snapshot);
    std::erase_if(held.entries,
                  [&](const auto& entry) { return drop_rest || entry->index <= snapshot.index; });
  });
}

std::error_code SimDisk::save_note(Index commit, const std::string& note) {
  return write(note.size(), [&](Held& held) {
    held.commit = commit;
    held.note = note;
  });
}

void SimDisk::lose_power() {
  if (lying_)
    held_ = durable_;
  else if (world_.now() < busy_ && world_.chance(0.5))
    held_ = before_;  // nobody was told of it
  busy_ = stalled_ = Time{};
}

void SimDisk::put_back(PersistentState kept) {
  wipe();
  held_.self = kept.self;
  held_.vote = kept.vote;
  held_.snapshot = std::make_shared<const Snapshot>(std::move(kept.snapshot));
  for (Entry& entry : kept.entries) held_.entries.push_back(std::make_shared<const Entry>(std::move(entry)));
  held_.commit = kept.commit;
  held_.note = std::move(kept.note);
  before_ = durable_ = held_;
}

void SimDisk::wipe() {
  held_ = before_ = durable_ = {};
  busy_ = Time{};
}

}  // namespace pearspar::simulation
