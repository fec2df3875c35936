#include "control_plane/follower_lag.h"

#include <algorithm>

namespace pearspar::control_plane {
namespace {

// A follower that lags is slower than one with a newer configuration, or with a shorter wait.
bool is_slower(Time now, const Followers& followers, const Followers::Follower& one,
               const Followers::Follower& other) {
  if (one.revision != other.revision) return one.revision < other.revision;
  return waited(now, followers, one) > waited(now, followers, other);
}

}  // namespace

bool waits_for_state(const Followers& followers, const Followers::Follower& follower) {
  return followers.is_open() && !follower.synced;
}

Duration waited(Time now, const Followers& followers, const Followers::Follower& follower) {
  if (!waits_for_state(followers, follower) || follower.waiting_since == Time{}) return Duration{};
  return std::max(Duration{}, Duration(now - follower.waiting_since));
}

FollowerLag follower_lag(Time now, const Followers& followers, catalog::Revision newest) {
  FollowerLag lag;
  for (const auto& [link, follower] : followers.all()) {
    if (!Followers::has_lease(now, follower)) continue;
    const bool waits = waits_for_state(followers, follower);
    if (waits) {
      ++lag.waiting;
      lag.longest_wait = std::max(lag.longest_wait, waited(now, followers, follower));
    } else if (followers.is_open()) {
      ++lag.in_sync;
    }
    if (follower.kind != protocol::FollowerKind::edge) continue;
    const bool behind = follower.revision < newest;
    lag.edges_waiting += waits ? 1 : 0;
    lag.edges_behind += behind ? 1 : 0;
    if (!waits && !behind) continue;
    if (!lag.slowest_edge || is_slower(now, followers, follower, *lag.slowest_edge))
      lag.slowest_edge = &follower;
  }
  return lag;
}

}  // namespace pearspar::control_plane
