// Durable storage of a member. Each call is atomic and returns only after its data has been synced to disk;
// after a failure the store is unchanged and the call may be retried.
#pragma once

#include <optional>
#include <system_error>
#include <vector>

#include "raft/types.h"

namespace pearspar::raft {

// Everything that a member restores when it restarts.
struct PersistentState {
  MemberId self = 0;  // 0 = the store is empty
  Vote vote;
  Snapshot snapshot;
  std::vector<Entry> entries;  // the entries after the snapshot, without gaps
  Index commit = 0;            // a lower bound of the commit index
  std::string note;            // opaque data of the host; losing it is harmless
};

// Interface that the Raft core writes through.
class Store {
 public:
  virtual ~Store() = default;
  virtual std::error_code load(PersistentState& stored) = 0;
  virtual std::error_code save_self(MemberId self) = 0;
  virtual std::error_code save_vote(const Vote& vote) = 0;
  // Removes all entries from `from` on and appends `entries`, the first of which has index `from`.
  virtual std::error_code replace_tail(Index from, const std::vector<Entry>& entries) = 0;
  // Replaces all entries up to the snapshot's index; with `drop_rest` also removes the entries after it.
  virtual std::error_code save_snapshot(const Snapshot& snapshot, bool drop_rest) = 0;
  // Stores the commit index and the host's opaque data.
  virtual std::error_code save_note(Index commit, const std::string& note) = 0;
};

}  // namespace pearspar::raft
