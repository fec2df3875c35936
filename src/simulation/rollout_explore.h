// All states of the leases and votes of one roll-out up to a bound: a leader, edges that watch, reports and
// grants that are late or lost, links that break, edges that start anew, leaders that change, a share of the
// calls, and a verdict at any moment. The real code takes every step; the checks know only which calls were
// made and when edges heard of the leader.
#pragma once

#include <cstddef>
#include <string>
#include <vector>

namespace pearspar::simulation {

// Faults that the search has to find.
enum class RolloutExploreFault {
  none,
  forgotten_reservations,  // a new leader does not know what earlier ones have reserved
  reused_incarnation,      // an edge that starts anew keeps its incarnation
  endless_shares,          // an edge takes itself for one that has just heard of the leader
};

struct RolloutExploreOptions {
  int edges = 3;
  int requests = 4;  // after the start, of all edges together
  int reports = 2;   // after the start, of each edge
  int broken_links = 1;
  int restarts = 1;
  int leader_changes = 1;
  int ticks = 3;             // of 0.6 s; two of them outlive a lease
  bool moves_share = false;  // a share of the calls goes to the version
  bool verdict = false;      // the version may be returned at any moment
  std::size_t most_states = 1000000;
  RolloutExploreFault fault = RolloutExploreFault::none;
};

struct RolloutExplored {
  std::size_t states = 0;
  std::size_t steps = 0;
  std::size_t depth = 0;
  int most_calls = 0;      // to the new version, in one history
  bool exhausted = false;  // nothing was left out
  std::string fault;       // empty: none was found
  std::vector<std::string> history;
};

RolloutExplored explore_rollout(const RolloutExploreOptions& options);

}  // namespace pearspar::simulation
