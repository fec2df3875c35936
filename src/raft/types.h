// Types of the Raft log and the messages between members. No I/O; encoding is a separate module.
// Follows Raft (Ongaro and Ousterhout, 2014) with pre-votes, leader leases and single-server membership
// changes; docs/system.md lists the differences.
#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace pearspar::raft {

using Duration = std::chrono::duration<double>;
using Time = std::chrono::time_point<std::chrono::steady_clock, Duration>;
using Term = std::uint64_t;
using Index = std::uint64_t;  // position of an entry in the log, starting at 1
// A member that starts with an empty disk gets a new id, since it has lost the votes of the old one.
using MemberId = std::uint64_t;  // 0 = none

// A voter of the Raft group.

struct Member {
  MemberId id = 0;
  std::string address;  // where other members connect to it, e.g. "10.1.0.32:7120"
  bool operator==(const Member&) const = default;
};

// The set of voters, replicated as a log entry.
struct Membership {
  std::vector<Member> voters;
  // Number of voters the group should have; there may be one more while a voter is being replaced.
  std::uint32_t target_size = 0;

  bool operator==(const Membership&) const = default;
  bool has(MemberId id) const {
    for (const Member& voter : voters)
      if (voter.id == id) return true;
    return false;
  }
  // Smallest number of voters that is a quorum.
  std::size_t majority() const { return voters.size() / 2 + 1; }
};

// `term_start` is the empty entry that a leader appends when it is elected.
enum class EntryKind : std::uint8_t { term_start, change, membership };

// One entry of the replicated log.
struct Entry {
  Index index = 0;
  Term term = 0;
  EntryKind kind = EntryKind::term_start;
  std::string data;       // command for the state machine, if `kind` is change
  Membership membership;  // new set of voters, if `kind` is membership
  bool operator==(const Entry&) const = default;
};

// Current term and the candidate that received this member's vote in it (0 = none).
struct Vote {
  Term term = 0;
  MemberId voted_for = 0;
  bool operator==(const Vote&) const = default;
};

// State that results from all entries up to and including `index`.
struct Snapshot {
  Index index = 0;
  Term term = 0;
  Membership membership;
  std::string state;  // as returned by StateMachine::take_snapshot()
};

// Values are sent on the wire.
enum class MessageKind : std::uint8_t {
  pre_vote_request,
  pre_vote_response,
  vote_request,
  vote_response,
  append_entries,           // a heartbeat if it carries no entries
  append_response,          // reply to append_entries and to a complete snapshot
  install_snapshot,         // a whole snapshot in one message
  join,                     // the sender asks to become a voter
  timeout_now,              // leadership transfer: the receiver starts an election at once
  snapshot_chunk,           // part of a snapshot's state; without bytes it only asks for the offset received
  snapshot_chunk_response,  // reply to snapshot_chunk
  leave                     // the sender is shutting down and asks to be removed
};

// Capability bits: features that older versions lack. Each message carries those of its sender.
inline constexpr std::uint64_t supports_snapshot_chunks = 1;

// A message between members; which fields are used depends on `kind`.
struct Message {
  MessageKind kind = MessageKind::append_entries;
  MemberId from = 0;
  MemberId to = 0;  // 0 = any member at the address
  std::string from_address;
  Term term = 0;
  // append_entries: entry before `entries`; vote requests, join, leave: last entry of the sender's log;
  // append_response: last entry replicated; snapshot_chunk_response: the snapshot's index.
  Index index = 0;
  Term log_term = 0;  // term of the entry at `index`
  Index commit = 0;
  Index acknowledged = 0;   // from the leader: last index that the receiver has acknowledged to it
  std::uint64_t round = 0;  // number of the leader's heartbeat round; echoed in the response
  // Responses: vote granted, entries accepted. vote_request: caused by a leadership transfer. join: the group
  // is being bootstrapped. append_entries, install_snapshot, snapshot_chunk: the receiver must not shut down
  // before a new voter has been added.
  bool flag = false;
  std::vector<Entry> entries;
  Snapshot snapshot;  // install_snapshot; snapshot_chunk, with the bytes from `offset` on as its state
  std::uint64_t capabilities = 0;
  std::uint64_t offset = 0;  // snapshot_chunk: position in the state; its response: bytes received so far
  std::uint64_t total = 0;   // snapshot_chunk: size of the whole state in bytes
  std::uint64_t digest = 0;  // snapshot_chunk: XXH3 of the whole state
};

}  // namespace pearspar::raft
