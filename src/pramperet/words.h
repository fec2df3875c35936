// The allowance: what edges and the leader say to each other, and what the log holds of it. Counts are of
// retrievals; a window is a number that the log's order gives, not a time of day.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace pearspar::pramperet {

using Life = std::uint64_t;  // of an edge's purse; drawn anew when an older one was given up
using Window = std::uint64_t;
using Key = std::uint64_t;  // digest of holder, kind and the client's key: one retrieval over all its tries

// Who draws, as the request names it: "firm" or "firm/branch", and of which kind.
struct Leaf {
  std::string holder;
  std::string kind;
  auto operator<=>(const Leaf&) const = default;
};

struct Amount {
  Leaf leaf;
  std::uint64_t count = 0;
};

struct Settled {
  Leaf leaf;
  Window window = 0;  // whose token was spent
  std::vector<Key> keys;
};

struct Back {
  Leaf leaf;
  Key key = 0;
};

// An edge's report and question. One is under way at a time; it is sent again unchanged until it is answered.
struct Ask {
  Life life = 0;
  std::uint64_t number = 0;  // rises by one
  Window window = 0;         // that it knows
  std::vector<Settled> settled;
  std::vector<Back> back;        // not run by any node
  std::vector<Back> unsure;      // ended so that nobody knows whether they ran
  std::vector<Amount> returned;  // tokens of its window that it will not spend
  std::vector<Amount> refused;
  std::vector<Amount> wants;
};

struct Given {
  Leaf leaf;
  std::uint64_t count = 0;
  bool exhausted = false;  // nothing of it is out anywhere: refuse until the window ends
};

struct Tell {
  std::uint64_t number = 0;  // of the question; 0 = said unasked
  Window window = 0;
  std::uint64_t left_ms = 0;  // of the window
  bool gone = false;          // this life was given up: draw another
  std::vector<Given> given;
  std::vector<Leaf> recalled;  // others lack what lies idle there
};

// An edge may have spent so many tokens of one leaf that the log does not know of; so many are in doubt when
// it dies.
inline constexpr std::uint64_t most_unsettled = 16;

}  // namespace pearspar::pramperet
