// The parts of the search: each a small core under some kinds of trouble, within bounds that let it be
// searched to its end; and each guard that is taken out, with the part that finds it.
#pragma once

#include <string>
#include <vector>

#include "simulation/explore.h"

namespace pearspar::simulation {

struct ExplorePart {
  std::string name;
  std::string about;
  ExploreOptions options;
  bool breaks = false;  // a guard is out: a fault is to be found
};

// In order of the table in docs; those whose guards are in.
std::vector<ExplorePart> explore_parts();
// One for each guard that is out and that the bounds of a part reach.
std::vector<ExplorePart> explore_mutants();

// "crashes=2" of these options; false where there is none of the name.
bool set_bound(ExploreOptions& options, const std::string& bound);
// Those that are not 0, as set_bound reads them.
std::string bounds_of(const ExploreOptions& options);
bool mutant_of(const std::string& name, Mutant& mutant);

}  // namespace pearspar::simulation
