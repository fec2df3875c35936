// How far the followers of a member lag behind it: who waits for a full state, which edges go by an older
// configuration, and which edge is the slowest. A summary for operators; nothing is decided by it.
#pragma once

#include <cstddef>

#include "control_plane/followers.h"

namespace pearspar::control_plane {

// Only followers that hold a lease count: one that is cut off lags in any case.
struct FollowerLag {
  std::size_t in_sync = 0;        // followers that need only changes
  std::size_t waiting = 0;        // followers that wait for a full state
  Duration longest_wait{};        // of those
  std::size_t edges_waiting = 0;  // of those, edges
  std::size_t edges_behind = 0;   // edges that have not acknowledged the newest configuration
  // Of the edges that wait or are behind, the one with the oldest configuration; among equals, the one that
  // has waited the longest. Null if there is none. Valid until the followers change.
  const Followers::Follower* slowest_edge = nullptr;
};

// Whether the follower waits for a full state. Only a leader sends any.
bool waits_for_state(const Followers& followers, const Followers::Follower& follower);
// For how long it has; zero if it does not wait.
Duration waited(Time now, const Followers& followers, const Followers::Follower& follower);
// `newest` is the revision that this member has applied.
FollowerLag follower_lag(Time now, const Followers& followers, catalog::Revision newest);

}  // namespace pearspar::control_plane
