// What this edge has learnt of each route: how long a part takes, and what it weighs. From it: how much
// slower a node of another zone counts, and when a second call pays.
#pragma once

#include <cstddef>
#include <string>
#include <unordered_map>

#include "averau/config.h"
#include "dispatch/types.h"

namespace pearspar::dispatch {

class RouteStatistics {
 public:
  // A good answer of a node; `bytes` there and back.
  void answered(const averau::Route& route, Duration took, std::size_t bytes);

  // A kilobyte from another zone weighs as much as so much of the latency.
  double away_factor(const averau::Route& route) const;
  // So long after a call was sent another pays: past what nearly all take. Zero where too little is known.
  Duration second_after(const averau::Route& route) const;
  Duration typical(const averau::Route& route) const;

 private:
  struct Known {
    double bytes = 0;
    double mean_ms = 0;
    double deviation_ms = 0;  // mean distance from the mean
    int answers = 0;
  };
  const Known* find(const averau::Route& route) const;

  std::unordered_map<std::string, Known> known_;  // by host and prefix: a route's life over editions
};

}  // namespace pearspar::dispatch
