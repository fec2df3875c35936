// A search through the states of the agreement itself - the code that runs in service - for a small core:
// every order of deliveries, losses, time-outs, crashes, lost disks and newcomers within bounds. States that
// were met before, by all that their next steps depend on, are not gone into again.
#pragma once

#include <cstddef>
#include <string>
#include <vector>

namespace pearspar::biella {

struct ExploreOptions {
  int members = 3;
  int timeouts = 4;  // in one history, of all members
  int crashes = 1;
  int wipes = 1;              // a disk lost, the member back at its address
  int newcomers = 0;          // empty ones at other addresses
  int changes = 1;            // proposed
  std::size_t in_flight = 6;  // messages kept; what comes beyond is lost
  std::size_t most_states = 100000;
  bool forgetful = false;  // a lost disk comes back under the old id: to see the search find it
};

struct Explored {
  std::size_t states = 0;
  std::size_t steps = 0;
  std::size_t depth = 0;
  std::size_t committed = 0;         // states in which a change was committed
  std::size_t leaders = 0;           // terms with a leader, at most in one history
  bool exhausted = false;            // all that the bounds allow was seen
  std::string fault;                 // the first; empty = none
  std::vector<std::string> history;  // that led to it
};

Explored explore(const ExploreOptions& options);

}  // namespace pearspar::biella
