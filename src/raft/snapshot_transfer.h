// A snapshot on its way to a member that lacks what the log begins with: its state in pieces, one out at a
// time, beside the leader's rounds. A chunk goes out when the one before it is acknowledged, or when a later
// round was answered without it. The receiver holds the pieces in memory; the store gets the whole, in one
// write, or nothing.
#pragma once

#include <algorithm>
#include <cstdint>
#include <memory>
#include <string>

#include "raft/types.h"

namespace pearspar::raft {

// What is out to a member, and how often it was in vain. One thing at a time, so at most one append's or one
// chunk's bytes are out and unanswered, however long the member is silent.
struct InFlight {
  bool waiting = false;     // for an answer
  std::uint64_t round = 0;  // when it went out
  Index through = 0;        // its last entry
  int losses = 0;           // one after the other
  std::uint64_t again = 0;  // not before this round

  bool free(std::uint64_t now) const { return !waiting && now >= again; }
  void send(std::uint64_t now, Index last) { waiting = true, round = now, through = last; }
  // Links keep the order: what a later round's answer does not know of has not come, or was refused.
  bool passed(std::uint64_t answered) const { return waiting && answered > round; }
  void lost(std::uint64_t now) {
    waiting = false;
    losses = std::min(losses + 1, 5);
    again = losses > 1 ? now + (1u << (losses - 1)) : now;
  }
};

std::uint64_t state_digest(const std::string& state);

struct OutgoingSnapshot {
  std::shared_ptr<const Snapshot> snapshot;
  std::uint64_t digest = 0;
  std::uint64_t held = 0;  // bytes, by the receiver
};

struct IncomingSnapshot {
  Snapshot snapshot;  // its state: what has come
  std::uint64_t total = 0;
  std::uint64_t digest = 0;
  Time retry{};  // of a write that the disk has refused

  bool of(const Message& chunk) const {
    return snapshot.index == chunk.snapshot.index && snapshot.term == chunk.snapshot.term &&
           snapshot.membership == chunk.snapshot.membership && total == chunk.total && digest == chunk.digest;
  }
};

}  // namespace pearspar::raft
