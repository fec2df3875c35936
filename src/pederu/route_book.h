// What this edge has learnt of each route: how long a part takes, and what it weighs. From it: how much
// slower a node of another zone counts, and when a second call pays.
#pragma once

#include <cstddef>
#include <string>
#include <unordered_map>

#include "catalog/configuration.h"
#include "pederu/types.h"

namespace pearspar::pederu {

class RouteBook {
 public:
  // A good answer of a node; `bytes` there and back.
  void answered(const catalog::Route& route, Duration took, std::size_t bytes);

  // A kilobyte from another zone weighs as much as so much of the latency.
  double away_factor(const catalog::Route& route) const;
  // So long after a call was sent another pays: past what nearly all take. Zero where too little is known.
  Duration second_after(const catalog::Route& route) const;
  Duration typical(const catalog::Route& route) const;

 private:
  struct Known {
    double bytes = 0;
    double mean_ms = 0;
    double deviation_ms = 0;  // mean distance from the mean
    int answers = 0;
  };
  const Known* find(const catalog::Route& route) const;

  std::unordered_map<std::string, Known> known_;  // by host and prefix: a route's life over revisions
};

}  // namespace pearspar::pederu
