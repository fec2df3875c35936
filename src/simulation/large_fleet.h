// The shape of a large deployment: many edges on narrow links and with small shares of a processor, and large
// configurations.
#pragma once

#include <cstddef>

#include "simulation/cluster.h"

namespace pearspar::simulation {

struct LargeFleet {
  static constexpr std::size_t edges = 295;
  static constexpr double edge_megabits_s = 43;
  static constexpr double core_megabits_s = 1000;
  static constexpr double config_within_s = 5;  // `configWithinMs`
  // As large as one with 1,520 routes; by a note, since 295 edges that parse as many routes take long.
  static constexpr std::size_t configuration_bytes = 176 << 10;
  static constexpr double edge_processor_share = 0.04;
  static constexpr double core_processor_share = 0.4;
  // Assumed, not measured.
  static constexpr ProcessorCosts processor_costs{Duration(25e-6), Duration(2e-9), Duration(50e-9)};
};

// Gives a cluster this shape; processors are so many times slower than the shares above.
void set_large_fleet(ClusterOptions& options, double slowness = 1);

}  // namespace pearspar::simulation
