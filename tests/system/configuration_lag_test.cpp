// From the acknowledgement of a configuration to the last edge that goes by it, judged from outside.
#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <map>

#include "simulation/cluster.h"

namespace pearspar {

namespace {

using simulation::Cluster;
using simulation::ClusterOptions;

// `configWithinMs` of the large deployments, less the half that the design keeps as room.
constexpr double max_lag_s = 2.5;

constexpr int large_configuration_routes = 1520;

// A state with the large configuration takes an edge a second to receive, so states go out in turns for
// several seconds.
ClusterOptions slow_edges(std::uint64_t seed) {
  ClusterOptions options;
  options.seed = seed;
  options.edges = 150;
  options.plain_nodes = 6;
  options.nodes_per_shard = 3;
  options.edge_bandwidth = 170e3;
  return options;
}

// When each edge first went by a revision.
struct RevisionTimes {
  std::map<std::size_t, std::map<std::uint64_t, double>> by_edge;
  explicit RevisionTimes(Cluster& cluster) {
    cluster.edge_told = [this, &cluster](std::size_t edge, std::uint64_t revision) {
      by_edge[edge].emplace(revision, cluster.seconds());
    };
  }
  // When the last edge went by this revision or a newer one; 1e9 if one does not yet.
  double last(std::uint64_t revision, std::size_t edges) const {
    if (by_edge.size() < edges) return 1e9;
    double last = 0;
    for (const auto& [edge, times] : by_edge) {
      const auto found = times.lower_bound(revision);
      last = std::max(last, found == times.end() ? 1e9 : found->second);
    }
    return last;
  }
};

// Runs until one more change is acknowledged, and returns when that was.
double change(Cluster& cluster) {
  const std::size_t before = cluster.checker().acknowledged();
  cluster.change(0);
  for (int i = 0; i < 4000 && cluster.checker().acknowledged() == before; ++i) cluster.run(0.005);
  CPPUNIT_ASSERT_EQUAL(before + 1, cluster.checker().acknowledged());
  return cluster.seconds();
}

}  // namespace

class ConfigurationLagTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ConfigurationLagTest);
  CPPUNIT_TEST(changeReachesEdgesThatWaitForAState);
  CPPUNIT_TEST_SUITE_END();

 public:
  // CONFIG: behind a new leader a change waited with the whole states that go out in turns, for as long as
  // these took.
  void changeReachesEdgesThatWaitForAState() {
    const ClusterOptions options = slow_edges(1);
    const auto edges = static_cast<std::size_t>(options.edges);
    Cluster cluster(options);
    RevisionTimes times(cluster);
    cluster.run(3);
    change(cluster);
    cluster.run(6);
    // The leader ends when all members have the large configuration, and no edge has received it whole.
    cluster.set_more_routes(large_configuration_routes);
    change(cluster);
    cluster.run(0.3);
    cluster.kill_core(static_cast<std::size_t>(cluster.leader()), 3);
    while (cluster.leader() < 0) cluster.run(0.01);
    cluster.run(0.5);
    const double acknowledged_at = change(cluster);
    const std::uint64_t revision = cluster.checker().newest_acknowledged();
    cluster.run(30);
    const double lag = times.last(revision, edges) - acknowledged_at;
    CPPUNIT_ASSERT_MESSAGE("the last edge goes by the change after " + std::to_string(lag) + " s",
                           lag <= max_lag_s);
    for (const std::string& fault : cluster.checker().faults()) CPPUNIT_FAIL(fault);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ConfigurationLagTest);

}  // namespace pearspar
