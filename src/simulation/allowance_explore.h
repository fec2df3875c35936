// All states of the allowance's protocol up to a bound: edges with their purses, the agreed accounts,
// questions and answers that are lost, repeated or late, edges that die, lives that are given up, a window
// that turns. The real code takes every step; the check knows only which keys were spent where.
#pragma once

#include <cstddef>
#include <string>
#include <vector>

namespace pearspar::simulation {

struct AllowanceExploreOptions {
  int edges = 3;
  int limit = 2;
  int unsettled = 1;  // in place of max_unsettled, so that something comes back
  int keys = 2;
  int crashes = 1;
  int losses = 1;  // messages
  int asks = 3;    // of each edge's life
  int turns = 1;   // of the window
  int ticks = 3;   // of 1.6 s; two end a lease, and are a silence
  std::size_t most_states = 1000000;
  bool forget_silence = false;  // lives are given up at any time: the fault that must be found
};

struct AllowanceExplored {
  std::size_t states = 0;
  std::size_t steps = 0;
  std::size_t depth = 0;
  std::size_t given_up = 0;  // states with a life given up
  std::size_t spent = 0;     // most keys spent in a history
  bool exhausted = false;
  std::string fault;
  std::vector<std::string> history;
};

AllowanceExplored explore_allowance(const AllowanceExploreOptions& options);

}  // namespace pearspar::simulation
