// What a member keeps on disk. Each call returns only when what it wrote is there to stay, or has failed
// whole; after a failure the store holds what it held before, and may be asked again.
#pragma once

#include <optional>
#include <system_error>
#include <vector>

#include "raft/types.h"

namespace pearspar::raft {

struct PersistentState {
  MemberId self = 0;  // 0 = this disk is empty
  Vote vote;
  Snapshot snapshot;
  std::vector<Entry> entries;  // those behind the snapshot, without gaps
  Index commit = 0;            // known to be committed; may lag
  std::string note;            // the host's own, as it was last kept; nothing rests on it
};

class Store {
 public:
  virtual ~Store() = default;
  virtual std::error_code load(PersistentState& stored) = 0;
  virtual std::error_code save_self(MemberId self) = 0;
  virtual std::error_code save_vote(const Vote& vote) = 0;
  // Drops every entry from `from` on, then adds these (the first of which is `from`, if there is one).
  virtual std::error_code replace_tail(Index from, const std::vector<Entry>& entries) = 0;
  // Takes the place of all entries up to its index; where `drop_rest` is set, of those behind it too.
  virtual std::error_code save_snapshot(const Snapshot& snapshot, bool drop_rest) = 0;
  virtual std::error_code save_note(Index commit, const std::string& note) = 0;
};

}  // namespace pearspar::raft
