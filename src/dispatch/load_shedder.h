// Load shedding: decides which requests are rejected while a service is overloaded and reducing coverage no
// longer helps. Per window, the level of a service rises by one step while too many of its calls are refused
// or late, and falls by one step when few are. The level is the share of requested work that is rejected;
// routes with the lowest value per unit of work go first. A gathered request is rejected only where too few
// of its shards would remain.
#pragma once

#include <string>
#include <unordered_map>
#include <vector>

#include "catalog/configuration.h"
#include "dispatch/types.h"

namespace pearspar::dispatch {

class LoadShedder {
 public:
  // Records how a call to a service ended. `at_min_coverage`: its request could not have queried fewer
  // shards.
  void record_outcome(Time now, const std::string& service, bool refused_or_late, bool at_min_coverage);
  // Whether to accept a request to `services`, of which at least `min_parts` must be queried. `part_ms` is
  // the expected duration of one part.
  bool admit(Time now, const catalog::Route& route, const std::vector<std::string>& services,
             std::size_t min_parts, double part_ms);
  // The share of a service's work that is rejected.
  double shed_share(const std::string& service) const;

 private:
  static constexpr double level_step = 0.1;
  static constexpr double max_level = 0.9;  // some requests still pass, to detect the end of the overload
  static constexpr double overload_ratio = 0.25;
  static constexpr int min_outcomes = 20;
  static constexpr Duration window = std::chrono::seconds(2);

  struct RouteLoad {
    double value_per_work = 0;
    double work = 0;        // requested in this window
    double shed_ratio = 0;  // of its requests
  };
  struct ServiceLoad {
    Time window_start{};
    int outcomes = 0;
    int bad_outcomes = 0;
    bool at_min_coverage = true;
    double level = 0;
    std::unordered_map<std::string, RouteLoad> routes;  // by host and prefix; empty while the level is 0
  };
  void close_window(Time now, ServiceLoad& load);
  void distribute_level(ServiceLoad& load);

  std::unordered_map<std::string, ServiceLoad> services_;
  int shedding_services_ = 0;  // with a level above 0
  std::uint64_t sequence_ = 0;
};

}  // namespace pearspar::dispatch
