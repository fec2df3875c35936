// Reads the ranked candidates in the part values of a first phase:
//   {"candidates":[{"id":"m-1984-17","score":3.25,"cost_us":900}, ...]}
// `cost_us` is optional. A malformed value yields an unreadable part without candidates; invalid candidates
// are skipped and counted.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace pearspar::phases {

// A document found by a first phase.
struct Candidate {
  std::string id;
  double score = 0;
  double cost_us = 0;  // 0 = unknown
};

// The candidates of one first-phase part.
struct PartCandidates {
  int shard = 0;
  std::vector<Candidate> candidates;  // ranked, with unique ids
  bool readable = true;
  std::size_t left_out = 0;  // invalid candidates and duplicate ids
  std::size_t beyond = 0;    // the worst ones, over the limit
};

// Limits on the candidates of one part.
struct CandidateLimits {
  std::size_t candidates = 1000;  // kept
  std::size_t id = 256;           // bytes
};

// Orders by score, best first, then by id.
bool ranks_before(const Candidate& a, const Candidate& b);

PartCandidates read_candidates(int shard, std::string_view value, const CandidateLimits& limits);

}  // namespace pearspar::phases
