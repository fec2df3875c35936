// Snapshot transfer to a member whose missing entries are no longer in the leader's log. The state is sent in
// chunks, one at a time, alongside heartbeats. The receiver buffers the chunks in memory and writes the
// complete snapshot to its store in one transaction.
#pragma once

#include <algorithm>
#include <cstdint>
#include <memory>
#include <string>

#include "raft/types.h"

namespace pearspar::raft {

// Flow control for one peer: at most one message with entries or a chunk is unanswered, and the leader backs
// off exponentially after repeated losses. Times are heartbeat rounds.
struct InFlight {
  bool waiting = false;           // for a response
  std::uint64_t round = 0;        // in which the message was sent
  Index last_index = 0;           // last entry in the message
  int losses = 0;                 // in a row
  std::uint64_t retry_round = 0;  // first round in which the next message may be sent

  bool can_send(std::uint64_t now) const { return !waiting && now >= retry_round; }
  void send(std::uint64_t now, Index last) { waiting = true, round = now, last_index = last; }
  // Links preserve order, so a response to a later round means that the message was lost or rejected.
  bool overtaken_by(std::uint64_t answered) const { return waiting && answered > round; }
  void record_loss(std::uint64_t now) {
    waiting = false;
    losses = std::min(losses + 1, 5);
    retry_round = losses > 1 ? now + (1u << (losses - 1)) : now;
  }
};

// XXH3 of a snapshot's state.
std::uint64_t state_digest(const std::string& state);

// A transfer to one peer, on the leader.
struct OutgoingSnapshot {
  std::shared_ptr<const Snapshot> snapshot;
  std::uint64_t digest = 0;
  std::uint64_t received_bytes = 0;  // as reported by the receiver
};

// A transfer in progress, on the receiver.
struct IncomingSnapshot {
  Snapshot snapshot;  // its state holds the bytes received so far
  std::uint64_t total = 0;
  std::uint64_t digest = 0;
  Time retry_at{};  // after a failed write to the store

  // Whether `chunk` belongs to this transfer.
  bool matches(const Message& chunk) const {
    return snapshot.index == chunk.snapshot.index && snapshot.term == chunk.snapshot.term &&
           snapshot.membership == chunk.snapshot.membership && total == chunk.total && digest == chunk.digest;
  }
};

}  // namespace pearspar::raft
