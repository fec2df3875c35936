// Clusters in which tests order roll-outs, and troubles beside them.
#pragma once

#include <cppunit/extensions/HelperMacros.h>

#include <functional>
#include <string>

#include "simulation/schedule.h"

namespace pearspar::simulation {

// Sanitizers take eight times as long; what they look for shows in fewer runs.
#ifdef __SANITIZE_ADDRESS__
inline constexpr std::uint64_t rollout_seeds = 1;
#else
inline constexpr std::uint64_t rollout_seeds = 2;
#endif

// A few servers, no requests.
inline ClusterOptions small_cluster(std::uint64_t seed = 1) {
  ClusterOptions options;
  options.seed = seed;
  options.edges = 4;
  options.plain_nodes = 6;
  options.nodes_per_shard = 3;
  return options;
}

inline ClusterOptions busy_cluster(std::uint64_t seed = 1) {
  ClusterOptions options = small_cluster(seed);
  options.requests_per_s = 200;
  return options;
}

inline void check_rules(Cluster& cluster) {
  for (const std::string& fault : cluster.checker().faults()) CPPUNIT_FAIL(fault);
}

// Until the first configuration is everywhere and all versions are recorded.
inline void start_cluster(Cluster& cluster) {
  cluster.run(2);
  cluster.change(0);
  cluster.run(4);
  CPPUNIT_ASSERT_EQUAL(std::size_t{1}, cluster.checker().acknowledged());
}

inline VersionFault failing_answers(double share = 0.5) {
  VersionFault fault;
  fault.kind = VersionFault::Kind::errors;
  fault.share = share;
  return fault;
}

// As many requests for a shard, and as many servers of it, as a deployment of the operators has.
inline ClusterOptions large_cluster(std::uint64_t seed) {
  ClusterOptions options = small_cluster(seed);
  options.edges = 16;
  options.cores = 5;
  options.nodes_per_shard = 8;
  options.requests_per_s = 400;
  options.lookups = true;
  return options;
}

using Trouble = std::function<void(Cluster&)>;

// A roll-out of shard0 with a trouble beside it, from the order to the end of its term. A bad version is to
// be returned and a good one delivered.
inline void play_rollout(const ClusterOptions& options, bool bad, const VersionFault& fault,
                         const Trouble& trouble) {
  Cluster cluster(options);
  start_cluster(cluster);
  std::size_t order = cluster.order_rollout({"shard0", "v2", 15, true, bad}, fault);
  double end = cluster.seconds() + 17;
  trouble(cluster);
  cluster.run(end - cluster.seconds());
  cluster.check_settled();
  check_rules(cluster);
  std::string wanted = bad ? "returned" : "delivered";
  std::string seed = "seed " + std::to_string(options.seed);
  CPPUNIT_ASSERT_EQUAL_MESSAGE(seed, wanted, cluster.rollout_judge().state(order));
  CPPUNIT_ASSERT_EQUAL_MESSAGE(seed, std::size_t{0}, cluster.rollout_judge().missed_duties());
}

inline std::size_t leader_of(const Cluster& cluster) {
  CPPUNIT_ASSERT_MESSAGE("somebody leads", cluster.leader() >= 0);
  return static_cast<std::size_t>(cluster.leader());
}

inline void wait_for_acknowledgement(Cluster& cluster, std::size_t order) {
  for (int i = 0; i < 20000 && !cluster.rollout_judge().acknowledged(order); ++i) cluster.run(0.0005);
  CPPUNIT_ASSERT(cluster.rollout_judge().acknowledged(order));
}

}  // namespace pearspar::simulation
