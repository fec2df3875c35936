// What the core's members agree on, and the words between them. Free of I/O; the codec is protocol'.
// Agreement follows Raft (Ongaro and Ousterhout, 2014) with pre-votes, a lease by rounds and membership by
// single changes in the log; docs/system.md says where it departs.
#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace pearspar::raft {

using Duration = std::chrono::duration<double>;
using Time = std::chrono::time_point<std::chrono::steady_clock, Duration>;
using Term = std::uint64_t;
using Index = std::uint64_t;  // of an entry in the log, from 1
// Drawn anew whenever a member starts with an empty disk: who has forgotten what it promised is somebody
// else.
using MemberId = std::uint64_t;  // 0 = nobody

struct Member {
  MemberId id = 0;
  std::string address;  // "10.1.0.32:7120", where the other members reach it
  bool operator==(const Member&) const = default;
};

// The voters; part of the log.
struct Membership {
  std::vector<Member> voters;
  std::uint32_t wanted = 0;  // so many voters make up the core; one more stands in only while one is replaced

  bool operator==(const Membership&) const = default;
  bool has(MemberId id) const {
    for (const Member& voter : voters)
      if (voter.id == id) return true;
    return false;
  }
  std::size_t majority() const { return voters.size() / 2 + 1; }
};

enum class EntryKind : std::uint8_t { start_of_term, change, membership };

struct Entry {
  Index index = 0;
  Term term = 0;
  EntryKind kind = EntryKind::start_of_term;
  std::string data;       // of a change: the state machine's
  Membership membership;  // of a membership entry
  bool operator==(const Entry&) const = default;
};

struct Vote {
  Term term = 0;
  MemberId given_to = 0;
  bool operator==(const Vote&) const = default;
};

// All up to `index`, folded.
struct Snapshot {
  Index index = 0;
  Term term = 0;
  Membership membership;
  std::string state;  // the state machine's
};

enum class MessageKind : std::uint8_t {
  ask_pre_vote,
  pre_vote,
  ask_vote,
  vote,
  append,      // entries, or none: a heartbeat
  appended,    // the answer to append and install
  install,     // a snapshot
  join,        // a newcomer asks to be taken in
  take_over,   // the leader leaves: stand for election now
  piece,       // of a snapshot's state; without bytes: asks how much is held
  piece_held,  // the answer to it
  leave        // a member was asked to end, and wants to be let go
};

// What a program can beside what the first one could; each message says it of its sender.
inline constexpr std::uint64_t can_take_pieces = 1;

struct Message {
  MessageKind kind = MessageKind::append;
  MemberId from = 0;
  MemberId to = 0;  // 0 = whoever is at the address
  std::string from_address;
  Term term = 0;
  Index index = 0;    // append: before the entries; asks: the last one held; appended: held up to
  Term log_term = 0;  // of `index`
  Index commit = 0;
  Index acknowledged = 0;   // append: what this leader was told that the one asked holds
  std::uint64_t round = 0;  // of the leader; comes back with the answer
  // Granted, accepted. join: this is the first start of the whole system. append, install, piece: were the
  // one asked to end, it is to stay until a newcomer counts.
  bool yes = false;
  std::vector<Entry> entries;
  Snapshot snapshot;  // install; piece: its state is the bytes from `offset` on
  std::uint64_t can = 0;
  std::uint64_t offset = 0;  // piece: where it stands in the state; piece_held: held without a gap
  std::uint64_t total = 0;   // piece: bytes of the whole state
  std::uint64_t digest = 0;  // piece: XXH3 of the whole state
};

}  // namespace pearspar::raft
