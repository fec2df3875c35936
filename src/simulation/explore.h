// A search through the states of the agreement itself - the code that runs in service - for a small core:
// every order of deliveries, losses, time-outs, crashes, lost disks and newcomers within bounds. States that
// were met before, by all that their next steps depend on, are not gone into again.
//
// What a step of one member does is worked out once and remembered, by the member and by what happens to it;
// a state of the whole is then a row of numbers.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "raft/core.h"

namespace pearspar::simulation {

// Whole steps, and few of them until something is due.
raft::Timing search_timing();

// A guard taken out, to see the search find what it keeps.
enum class Mutant : std::uint8_t {
  none,
  forgetful,          // a lost disk comes back under the old id
  votes_unsaved,      // a vote is told before it is on disk
  entries_unsaved,    // an entry is acknowledged before it is on disk
  half,               // half of the voters elect
  blind_votes,        // votes for who lacks entries
  old_terms,          // entries of an older term's leader are taken
  promise_forgotten,  // after a start votes are given at once
  long_lease,         // as long as the silence after which others stand
  late_lease,         // counted from a later round than the one that was answered
  lost_membership,    // a snapshot without its membership
  one_entry,          // a lost disk's successor takes its place in one entry
  shared_ids,         // a disk restored from a copy is the member that it was copied from
  early_install,      // a snapshot is installed on its first piece
  mixed_pieces,       // a piece of another transfer is taken
  mixed_unchecked,    // the same, and the digest of the whole is not looked at
  older_commits,      // entries of older terms are committed by counting those who hold them
  two_changes,        // of members, the second before the first is committed
  early_membership,   // changes of members before an entry of the own term is committed
  outsider_stands,    // who is out of the membership that it knows stands
  outsider_votes,     // a vote from outside counts
};

// Bounds on one history; counts are of events in it, of all members together.
struct ExploreOptions {
  int members = 3;
  int newcomers = 0;  // empty ones at other addresses
  int timeouts = 2;   // of members that do not lead
  int beats = 0;      // of leaders
  int lapses = 0;     // a member hears its leader no more, and does not stand itself
  int changes = 1;    // proposed
  int doubles = 0;    // messages that arrive and stay on their way
  int crashes = 0;
  int power = 0;     // lost in the middle of a step, between two writes
  int refusals = 0;  // a full disk for one step
  int wipes = 0;     // a disk lost, the member back at its address
  int put_back = 0;  // the lost disk returns in the place of the other
  int copies = 0;    // a disk is copied, and the copy comes back later (by put_back)
  int hand_overs = 0;
  int leaves = 0;  // a member is asked to end; it ends when it may
  int ends = 0;    // a member ends for good
  int passes = 0;  // steps of time, for all clocks; without any, clocks run as a time-out needs it
  bool timed = false;
  bool lease = false;         // judged: never two that may speak, no reader sees less than was acknowledged
  bool all_joins = false;     // voters that hear no leader ask to be taken in too, as they do in service
  bool settled = false;       // begins with a leader that has committed its first entry
  bool notes = false;         // what is known to be committed is on disk after each step
  std::size_t in_flight = 4;  // messages on their way; those sent beyond it are lost
  std::size_t snapshot_after_entries = 64;
  std::size_t append_bytes = 1 << 20;
  std::size_t piece_bytes = 256 << 10;
  // Of whom these may be, a bit each; 0 = of all.
  int timeouts_of = 0, beats_of = 0, lapses_of = 0, changes_of = 0, doubles_of = 0, crashes_of = 0;
  int wipes_of = 0, leaves_of = 0, ends_of = 0;
  // What has befallen before the search, in order: "appear3 beat0:013 leave1": the event, of whom, and who
  // hears what is said in it and in answer to it: all, where nobody is named; behind ":" alone it stays on
  // its way until "to2" delivers the first to m2, or "lost2" loses all to m2. None of it is counted.
  std::string opening;
  raft::Timing timing = search_timing();
  std::vector<double>
      rates;  // what each clock goes on by in a step of time; also the grain of draws: the first
  double grain = 1;
  std::uint64_t seed = 0;  // of draws, where they are drawn
  Mutant mutant = Mutant::none;
  std::uint64_t heal_every = 0;  // one state of so many is healed and must then get a leader; 0 = none
  std::size_t most_states = 100'000'000;
  int threads = 4;
};

struct Explored {
  std::size_t states = 0;
  std::size_t steps = 0;
  std::size_t depth = 0;
  std::size_t committed = 0;   // states in which a change was committed
  std::size_t leaders = 0;     // terms with a leader, at most in one history
  std::size_t members = 0;     // different states of single members
  std::size_t worked_out = 0;  // different steps of single members
  std::size_t healed = 0;      // states from which healing was tried
  double heal_worst_s = 0;     // simulated, until a leader might speak
  double seconds = 0;
  bool exhausted = false;            // all that the bounds allow was seen
  std::string fault;                 // the first; empty = none
  std::vector<std::string> history;  // that led to it
};

using Progress = std::function<void(const Explored&, std::size_t frontier)>;
Explored explore(const ExploreOptions& options, const Progress& progress = {});
// Random events within the bounds, over and over, beside members that are never taken for others described
// alike: where the two part, or nothing. So it is seen that the description leaves out nothing that counts.
std::string hold_against(const ExploreOptions& options, std::uint64_t seed, std::size_t steps);

}  // namespace pearspar::simulation
