// Chooses the candidates that a second phase fetches. Performs no I/O; the result does not depend on the
// order of the parts.
//
// Invariants: each candidate is either chosen or counted under one cause; a candidate cut for score or count
// never ranks before a chosen one, except for those kept for the minimum number of parts.
#pragma once

#include <cstddef>
#include <string>
#include <vector>

#include "net/clock.h"
#include "phases/candidates.h"

namespace pearspar::phases {

// Limits of a second phase.
struct PruneRules {
  std::size_t max_candidates = 100;
  std::size_t max_parts = 16;
  std::size_t min_parts = 1;  // with fewer parts there is no answer
  double score_share = 0;     // cut candidates below this share of a positive best score; 0 = off
};

// Time and replicas available to the second phase.
struct FetchCapacity {
  net::Duration time{};          // for each part; parts run in parallel
  net::Duration part_cost{};     // fixed cost of a part
  double us_per_cost = 1;        // microseconds per unit of Candidate::cost_us
  net::Duration default_cost{};  // of a candidate without a cost
  std::vector<int> unservable;   // shards without a serving replica, ascending
};

// Why a candidate was cut.
enum class Cause { score, count, parts, time, no_replica, duplicate };
inline constexpr int cause_count = 6;
const char* name_of(Cause cause);

// The candidates to fetch from one shard.
struct ChosenPart {
  int shard = 0;
  std::vector<Candidate> candidates;  // ranked
  net::Duration expected{};
};

// Result of prune().
struct FetchPlan {
  std::vector<ChosenPart> parts;      // ordered by their best candidate
  std::size_t candidates = 0;         // chosen
  std::size_t cut[cause_count] = {};  // candidates by cause
  std::size_t kept_for_floor = 0;     // parts kept only to reach the minimum number
  bool enough = false;                // at least the minimum number of parts
  // If not enough: whether time or replicas were missing.
  bool for_time = false;
  bool for_replicas = false;

  std::size_t total_cut() const;
};

FetchPlan prune(const std::vector<PartCandidates>& found, const PruneRules& rules,
                const FetchCapacity& means);

}  // namespace pearspar::phases
