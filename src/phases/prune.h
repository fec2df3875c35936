// Chooses what a second phase fetches. Free of I/O; the same input gives the same output, whatever order the
// parts came in.
//
// Holds always: what is chosen is the best of what was found and can be had - nothing that was pruned ranks
// before something chosen, unless its cause (time, no replica, its part's place) stands beside it; every
// candidate that came in is either chosen or counted under one cause.
#pragma once

#include <cstddef>
#include <string>
#include <vector>

#include "net/clock.h"
#include "phases/candidates.h"

namespace pearspar::phases {

struct PruneRules {
  std::size_t most_candidates = 100;
  std::size_t most_parts = 16;
  std::size_t least_parts = 1;  // of the second phase, below which the class has no answer
  double score_share =
      0;  // candidates below so much of the best score, where that is above 0, go; 0 = none do
};

// What the second phase can do in the time it has.
struct Means {
  net::Duration time{};         // for one part of it, all parts running side by side
  net::Duration part_cost{};    // what a part takes beside its candidates
  double us_per_cost = 1;       // how long a microsecond of told cost takes, as learnt
  net::Duration untold_cost{};  // of a candidate whose cost was not told
  std::vector<int> unservable;  // shards that no replica serves now, ascending
};

enum class Cause { score, count, parts, time, no_replica, duplicate };
inline constexpr int causes = 6;
const char* word(Cause cause);

struct ChosenPart {
  int shard = 0;
  std::vector<Candidate> candidates;  // ranked
  net::Duration expected{};
};

struct Pruned {
  std::vector<ChosenPart> parts;   // by their best candidate
  std::size_t candidates = 0;      // chosen
  std::size_t cut[causes] = {};    // candidates by cause
  std::size_t kept_for_floor = 0;  // parts that score or count would have pruned, but for the least number
  bool enough = false;             // as many parts as the class needs
  // Where they are too few: what more would have needed. Refused for time, there is a time to come back at.
  bool for_time = false;
  bool for_replicas = false;

  std::size_t cut_in_all() const;
};

Pruned prune(const std::vector<Found>& found, const PruneRules& rules, const Means& means);

}  // namespace pearspar::phases
