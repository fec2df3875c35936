// An edge that hears of no leader asks other edges where the core is: whom, when, and what they said. Their
// word adds addresses to be tried and nothing else. Free of I/O.
//
// Always true: at most two are asked at once, at most most_heard addresses are tried for it, and nobody is
// asked while a leader is heard.
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
  static constexpr std::size_t at_once = 2;
  static constexpr std::size_t most_heard = 16;

  explicit CoreDiscovery(std::uint64_t seed) : random_(static_cast<std::minstd_rand::result_type>(seed)) {}

  // By the leader.
  void set_neighbours(std::vector<std::string> edges) { neighbours_ = std::move(edges); }
  const std::vector<std::string>& neighbours() const { return neighbours_; }
  // To be called often. True where other edges are asked than before.
  bool tick(Time now, bool lost, bool members_answer);
  Time due() const { return due_; }
  // Those that are asked now: a link to each is wanted.
  const std::vector<std::string>& asked() const { return asked_; }
  // What one of them said.
  void hear(const std::vector<std::string>& cores);
  const std::vector<std::string>& heard() const { return heard_; }
  void forget() { heard_.clear(); }

 private:
  Duration drawn(Duration least, Duration most) {
    return Duration(std::uniform_real_distribution<double>(least.count(), most.count())(random_));
  }

  std::minstd_rand random_;
  std::vector<std::string> neighbours_;
  std::vector<std::string> asked_;
  std::vector<std::string> heard_;
  std::size_t next_ = 0;  // of the neighbours
  Duration pause_{};
  Time due_ = Time::max();
};

}  // namespace pearspar::subscription
