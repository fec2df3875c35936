// Roll-outs of a schedule: good and bad versions of services drawn by lot, ordered beside the troubles.
#include "simulation/player.h"

namespace pearspar::simulation {
namespace {

constexpr double shortest_term_s = 11;
constexpr double longest_term_s = 17;
// No verdict is given so soon after an order.
constexpr double surely_under_way_s = 1;

VersionFault draw_fault(World& world) {
  using Kind = VersionFault::Kind;
  constexpr Kind kinds[] = {Kind::errors, Kind::slow, Kind::under_load, Kind::one_route, Kind::late};
  VersionFault fault;
  fault.kind = kinds[world.below(std::size(kinds))];
  fault.share = world.uniform(0.3, 0.6);
  fault.late_after_s = world.uniform(1, 3.5);
  if (world.chance(0.5)) fault.route_path = "/k/";
  return fault;
}

}  // namespace

void Player::order_rollouts() {
  if (over()) return;
  in(world_.chance(0.2) ? world_.uniform(0.1, 0.8) : world_.uniform(2, 9), [this] { order_rollouts(); });
  std::string service = world_.chance(0.2) ? "plain" : "shard" + std::to_string(world_.below(2));
  RolloutOrder order;
  order.service = service;
  order.version = "v" + std::to_string(++last_version_);
  order.over_s = world_.uniform(shortest_term_s, longest_term_s);
  order.bad = world_.chance(0.6);
  VersionFault fault = order.bad ? draw_fault(world_) : VersionFault{};
  // A plain service has no lookups, on which alone it could fail.
  if (service == "plain") fault.route_path = "/s/";
  // Now and then another order is under way.
  if (cluster_.rollout_under_way(service)) {
    double acknowledged = cluster_.rollout_judge().acknowledged_at(service);
    if (acknowledged == 0 || cluster_.seconds() - acknowledged > surely_under_way_s) return;
    order.proper = false;
  }
  say("rollout " + service + " " + order.version + (order.bad ? " bad" : " good"));
  cluster_.order_rollout(order, fault);
}

ScheduleOptions drawn_rollout_schedule(std::uint64_t seed) {
  ScheduleOptions options;
  ClusterOptions& cluster = options.cluster;
  cluster.seed = seed;
  cluster.cores = seed % 2 == 0 ? 5 : 3;
  cluster.edges = 6 + static_cast<int>(seed % 7);
  cluster.shards = 3;
  cluster.nodes_per_shard = 4;
  cluster.plain_nodes = 6;
  cluster.requests_per_s = seed % 5 == 0 ? 20 : 150;
  cluster.lookups = true;
  cluster.sync_s = seed % 3 == 0 ? 0.005 : 0.0005;
  options.troubled_s = 40;
  options.trouble_every_s = seed % 4 == 0 ? 1.2 : 3;
  options.mended_s = 14;
  options.rollouts = true;
  return options;
}

}  // namespace pearspar::simulation
