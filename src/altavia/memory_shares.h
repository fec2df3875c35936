// How a process's memory (`memoryMb` of its settings) is divided among what others can make it hold. Each
// share is a bound on the bytes of all connections of its kind together; the rest is for the program, its
// state and its log (docs/memory.md).
#pragma once

namespace pearspar::altavia {

struct MemoryShares {
  double clients;  // what callers send and have not taken yet
  double servers;  // what index servers answer
  double links;    // frames between the system's own processes, both ways

  constexpr double sum() const { return clients + servers + links; }
};

// An edge takes small frames of others, and holds the few links that it dials.
inline constexpr MemoryShares edge_shares{0.35, 0.2, 0.1};
// A member holds a link of every edge and of every other member, and calls no index server.
inline constexpr MemoryShares member_shares{0.25, 0, 0.25};

// Beside them: the program with its state (up to 16 MB, folded and as it is sent) and 36 MB of the log.
inline constexpr double most_shared = 0.65;
static_assert(edge_shares.sum() <= most_shared && member_shares.sum() <= most_shared);

}  // namespace pearspar::altavia
