// Events that hit many machines at once, and machines that are added late, in the simulated cluster.
#include <cppunit/extensions/HelperMacros.h>
#include <fmt/format.h>

#include <string>
#include <vector>

#include "simulation/cluster.h"

namespace pearspar {

namespace {

using simulation::Cluster;
using simulation::ClusterOptions;

constexpr std::uint64_t seeds = 10;
constexpr double start_spread_s = 0.3;  // between the first and the last machine of a common start
constexpr double max_takeover_s = 3;    // from the event's end to a change that is in force at each edge

ClusterOptions small_cluster(std::uint64_t seed) {
  ClusterOptions options;
  options.seed = seed;
  options.edges = 6;
  options.plain_nodes = 6;
  options.nodes_per_shard = 3;
  return options;
}

std::string label(std::uint64_t seed, const char* what) { return fmt::format("seed {}: {}", seed, what); }

// Whether each edge is up and goes by the newest configuration that the operator knows.
bool edges_are_current(const Cluster& cluster) {
  const std::uint64_t newest = cluster.newest_seen(0);
  for (std::size_t edge = 0; edge < cluster.edges(); ++edge) {
    const auto* follower = cluster.follower(edge);
    if (!follower || !follower->is_usable() || follower->view().revision() < newest) return false;
  }
  return true;
}

void change_configuration(Cluster& cluster, std::uint64_t seed) {
  const std::size_t before = cluster.checker().acknowledged();
  cluster.change(0);
  const double end = cluster.seconds() + max_takeover_s;
  auto in_force = [&] { return cluster.checker().acknowledged() > before && edges_are_current(cluster); };
  while (!in_force() && cluster.seconds() < end) cluster.run(0.05);
  CPPUNIT_ASSERT_MESSAGE(label(seed, "acknowledged"), cluster.checker().acknowledged() > before);
  CPPUNIT_ASSERT_MESSAGE(label(seed, "in force at each edge"), edges_are_current(cluster));
}

void expect_no_broken_rule(Cluster& cluster, std::uint64_t seed) {
  cluster.run(8);
  cluster.check_settled();
  for (const std::string& fault : cluster.checker().faults()) CPPUNIT_FAIL(label(seed, fault.c_str()));
}

std::vector<std::string> standing_members(const Cluster& cluster) {
  std::vector<std::string> addresses;
  for (std::size_t core = 0; core < cluster.cores(); ++core)
    if (cluster.core_up(core)) addresses.push_back(cluster.core_address(core));
  return addresses;
}

}  // namespace

class FleetEventsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(FleetEventsTest);
  CPPUNIT_TEST(allMachinesStartInNoOrderAfterAKillOfAll);
  CPPUNIT_TEST(addedEdgesFindTheCoreByOneSeedThatStands);
  CPPUNIT_TEST(changeSurvivesResetsOfAllMembersLinks);
  CPPUNIT_TEST(fullDisksOfAllMembersAcknowledgeNothing);
  CPPUNIT_TEST_SUITE_END();

 public:
  // RECOVER: an edge that starts before any member listens would wait for a long redial, and members that
  // start in another order than before would not elect a leader.
  void allMachinesStartInNoOrderAfterAKillOfAll() {
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
      Cluster cluster(small_cluster(seed));
      cluster.run(3);
      change_configuration(cluster, seed);
      const bool loses_power = seed % 2 == 0;
      cluster.disturbed(cluster.seconds() + start_spread_s);
      cluster.edges_disturbed(cluster.seconds() + start_spread_s);
      for (std::size_t core = 0; core < cluster.cores(); ++core)
        cluster.kill_core(core, cluster.world().uniform(0, start_spread_s), loses_power);
      for (std::size_t edge = 0; edge < cluster.edges(); ++edge)
        cluster.kill_edge(edge, cluster.world().uniform(0, start_spread_s));
      cluster.run(start_spread_s);
      change_configuration(cluster, seed);
      expect_no_broken_rule(cluster, seed);
    }
  }

  // Edges that are added after the core has moved are told two seeds that are gone and one that stands. No
  // other edge is there that could tell them the members.
  void addedEdgesFindTheCoreByOneSeedThatStands() {
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
      Cluster cluster(small_cluster(seed));
      cluster.run(3);
      change_configuration(cluster, seed);
      const std::vector<std::string> gone{cluster.core_address(0), cluster.core_address(1)};
      constexpr double absence_s = 32;  // longer than the replacements take
      for (std::size_t edge = 0; edge < cluster.edges(); ++edge) cluster.kill_edge(edge, absence_s);
      const double starts_at = cluster.seconds() + absence_s;
      for (std::size_t place = 0; place < 3; ++place) {
        cluster.replace_core(place, 0.5);
        cluster.run(9);
      }
      const std::vector<std::string> standing = standing_members(cluster);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(label(seed, "members"), std::size_t{3}, standing.size());
      cluster.set_seeds_of_added_edges({gone[0], gone[1], standing[seed % standing.size()]});
      cluster.run(starts_at - cluster.seconds() + 0.05);
      for (std::size_t edge = 0; edge < cluster.edges(); ++edge)
        CPPUNIT_ASSERT_MESSAGE(label(seed, "each edge has started"), cluster.follower(edge));
      change_configuration(cluster, seed);
      expect_no_broken_rule(cluster, seed);
    }
  }

  // CONFIG, ACKS: a change that is under way while the links of all members are reset would be lost, or
  // would not reach an edge whose link has ended.
  void changeSurvivesResetsOfAllMembersLinks() {
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
      Cluster cluster(small_cluster(seed));
      cluster.run(3);
      change_configuration(cluster, seed);
      cluster.world().in(simulation::Duration(cluster.world().uniform(0, 0.02)), [&cluster] {
        for (std::size_t core = 0; core < cluster.cores(); ++core) cluster.reset_links(core, 1);
      });
      change_configuration(cluster, seed);
      expect_no_broken_rule(cluster, seed);
    }
  }

  // LOST: a disk that refuses every write, of all members at once: a change must not be acknowledged, edges
  // go on, and the change is taken once there is room.
  void fullDisksOfAllMembersAcknowledgeNothing() {
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
      ClusterOptions options = small_cluster(seed);
      options.requests_per_s = 100;
      Cluster cluster(options);
      cluster.run(3);
      change_configuration(cluster, seed);
      cluster.run(1);
      for (std::size_t core = 0; core < cluster.cores(); ++core) cluster.disk(core).set_full(true);
      cluster.disturbed(cluster.seconds() + 4);
      const std::size_t acknowledged = cluster.checker().acknowledged();
      const Cluster::Totals before = cluster.totals();
      cluster.change(0);
      cluster.run(4);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(label(seed, "acknowledged"), acknowledged,
                                   cluster.checker().acknowledged());
      const std::uint64_t asked = cluster.totals().asked - before.asked;
      CPPUNIT_ASSERT_MESSAGE(label(seed, "edges go on"),
                             asked > 100 && cluster.totals().served - before.served > asked * 9 / 10);
      for (std::size_t core = 0; core < cluster.cores(); ++core) cluster.disk(core).set_full(false);
      cluster.run(max_takeover_s);
      CPPUNIT_ASSERT_MESSAGE(label(seed, "taken once there is room"),
                             cluster.checker().acknowledged() > acknowledged);
      expect_no_broken_rule(cluster, seed);
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(FleetEventsTest);

}  // namespace pearspar
