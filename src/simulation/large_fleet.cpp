#include "simulation/large_fleet.h"

namespace pearspar::simulation {

void set_large_fleet(ClusterOptions& options, double slowness) {
  constexpr double megabit = 1e6 / 8;
  options.edges = static_cast<int>(LargeFleet::edges);
  options.plain_nodes = 6;
  options.nodes_per_shard = 2;
  options.edge_bandwidth = LargeFleet::edge_megabits_s * megabit;
  options.bandwidth = LargeFleet::core_megabits_s * megabit;
  options.fat_note = LargeFleet::configuration_bytes;
  options.more_routes = 0;
  options.ballast = 0;
  options.http = false;
  options.config_within_s = LargeFleet::config_within_s;
  options.processor_costs = LargeFleet::processor_costs;
  options.edge_processor_share = LargeFleet::edge_processor_share / slowness;
  options.core_processor_share = LargeFleet::core_processor_share / slowness;
}

}  // namespace pearspar::simulation
