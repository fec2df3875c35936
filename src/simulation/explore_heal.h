// Whether a core gets a leader again once nothing fails any more: simulated time, every message arrives.
#pragma once

#include <string>
#include <vector>

#include "simulation/explore_judge.h"

namespace pearspar::simulation {

struct Healed {
  double seconds = 0;  // simulated, until a member might speak
  std::string fault;   // no leader in time, or one that lacks what was committed
  bool tried = false;  // false: more is lost than a core can lose
};

// Of these members as they stand, with nothing on its way.
Healed heal(const ExploreOptions& options, std::vector<Body> bodies, Past past);
// Whether those whose disks are there are a majority of every membership that somebody may still act on: the
// one that was committed last, and those behind it.
bool has_majority(const std::vector<Body>& bodies, const Past& past);

}  // namespace pearspar::simulation
