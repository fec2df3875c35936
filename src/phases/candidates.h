// What a first phase finds: the ranked candidates in the values of its parts. The form is ours and published
// in docs/two-phase.md:
//   {"candidates":[{"id":"m-1984-17","score":3.25,"cost_us":900}, ...]}
// `cost_us` may be absent. A value that is no such object is a part without candidates, and said to be
// unreadable; a candidate that cannot be used is left out and counted.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace pearspar::phases {

struct Candidate {
  std::string id;
  double score = 0;
  double cost_us = 0;  // 0 = not told
};

struct Found {
  int shard = 0;
  std::vector<Candidate> candidates;  // ranked, an id once
  bool readable = true;
  std::size_t left_out = 0;  // without an id, with a score that is no number, or of an id that stands already
  std::size_t beyond = 0;    // over the limit: the worst ones
};

struct CandidateLimits {
  std::size_t candidates = 1000;  // kept of one part
  std::size_t id = 256;           // bytes
};

// By score, best first, then by id: the same order whatever the order in which they came.
bool ranks_before(const Candidate& a, const Candidate& b);

Found read_candidates(int shard, std::string_view value, const CandidateLimits& limits);

}  // namespace pearspar::phases
