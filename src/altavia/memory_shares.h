// Division of a process's memory limit (`memoryMb` of the settings) among connections. Each share bounds the
// bytes held for all connections of one kind; the rest is for the program, its state and its log
// (docs/memory.md).
#pragma once

namespace pearspar::altavia {

// Fractions of the memory limit.
struct MemoryShares {
  double clients;  // requests received and responses not read yet
  double servers;  // responses of index servers
  double links;    // frames to and from other edges and members

  constexpr double sum() const { return clients + servers + links; }
};

// An edge receives small frames over the few links that it opens.
inline constexpr MemoryShares edge_shares{0.35, 0.2, 0.1};
// A member has a link to every edge and every other member, and calls no index servers.
inline constexpr MemoryShares member_shares{0.25, 0, 0.25};

// The rest holds the program with its state (up to 16 MB, also while it is sent) and 36 MB of the log.
inline constexpr double max_total_share = 0.65;
static_assert(edge_shares.sum() <= max_total_share && member_shares.sum() <= max_total_share);

}  // namespace pearspar::altavia
