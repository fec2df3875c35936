// Statistics of each route's calls: response time and size. They give the cost of calls to other zones and
// the time after which a call is hedged.
#pragma once

#include <cstddef>
#include <string>
#include <unordered_map>

#include "catalog/configuration.h"
#include "dispatch/types.h"

namespace pearspar::dispatch {

class RouteStatistics {
 public:
  // Records a successful call; `bytes` counts both directions.
  void record_answer(const catalog::Route& route, Duration took, std::size_t bytes);

  // The factor by which a node of another zone counts as slower; grows with the size of the calls.
  double other_zone_factor(const catalog::Route& route) const;
  // How long after the first call a hedged call is sent, or zero while there are too few answers to tell.
  Duration hedge_delay(const catalog::Route& route) const;
  // The mean duration of a call; zero if unknown.
  Duration mean_duration(const catalog::Route& route) const;

 private:
  struct Entry {
    double bytes = 0;
    double mean_ms = 0;
    double deviation_ms = 0;  // mean absolute deviation
    int answers = 0;
  };
  const Entry* find(const catalog::Route& route) const;

  std::unordered_map<std::string, Entry> entries_;  // by host and prefix, which outlast a configuration
};

}  // namespace pearspar::dispatch
