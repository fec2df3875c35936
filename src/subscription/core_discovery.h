// How an edge that has lost the core queries other edges for the addresses of the core's members. Addresses
// that it gets this way are only tried. Free of I/O.
//
// Invariants: at most two edges are queried at once, at most max_candidates addresses are kept, and no edge
// is queried while updates of a leader arrive.
#pragma once

#include <chrono>
#include <cstdint>
#include <random>
#include <string>
#include <vector>

#include "catalog/node_list.h"

namespace pearspar::subscription {

using catalog::Duration;
using catalog::Time;

class CoreDiscovery {
 public:
  static constexpr std::size_t max_queried = 2;
  static constexpr std::size_t max_candidates = 16;

  explicit CoreDiscovery(std::uint64_t seed) : random_(static_cast<std::minstd_rand::result_type>(seed)) {}

  // The edges to query, as named by the leader.
  void set_neighbours(std::vector<std::string> edges) { neighbours_ = std::move(edges); }
  const std::vector<std::string>& neighbours() const { return neighbours_; }
  // Starts and ends queries. Returns whether queried() has changed.
  bool tick(Time now, bool core_lost, bool members_reachable);
  Time due() const { return due_; }
  // The edges that are being queried: a link to each is needed.
  const std::vector<std::string>& queried() const { return queried_; }
  // Adds the addresses of a reply.
  void add_candidates(const std::vector<std::string>& addresses);
  const std::vector<std::string>& candidates() const { return candidates_; }
  void clear_candidates() { candidates_.clear(); }

 private:
  Duration random_duration(Duration min, Duration max) {
    return Duration(std::uniform_real_distribution<double>(min.count(), max.count())(random_));
  }

  std::minstd_rand random_;
  std::vector<std::string> neighbours_;
  std::vector<std::string> queried_;
  std::vector<std::string> candidates_;
  std::size_t next_ = 0;  // index of the next neighbour to query
  Duration delay_{};      // between queries
  Time due_ = Time::max();
};

}  // namespace pearspar::subscription
