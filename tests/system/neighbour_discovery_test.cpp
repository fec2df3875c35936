// Edges that have lost all members of the core find it through other edges, and trust these only as far as
// needed.
#include <cppunit/extensions/HelperMacros.h>

#include <map>
#include <set>

#include "control_plane/neighbour_ring.h"
#include "protocol/pack.h"
#include "simulation/cluster.h"
#include "transport/tcp_transport.h"

namespace pearspar {

namespace {

using catalog::Duration;
using catalog::Time;

// Records what an edge asks of its transport.
struct RecordingTransport : transport::Transport {
  std::vector<std::string> kept;
  std::vector<protocol::Message> sent;
  void set_targets(const std::vector<std::string>& addresses) override { kept = addresses; }
  bool send_to(const std::string&, std::string_view) override { return true; }
  bool send(transport::LinkId, std::string_view frame) override {
    sent.push_back(*protocol::unpack(frame));
    return true;
  }
  bool keeps(const std::string& address) const {
    return std::find(kept.begin(), kept.end(), address) != kept.end();
  }
};

const std::vector<std::string> members{"m1", "m2", "m3"};

// An edge that follows m1 and knows four other edges.
struct FollowingEdge {
  RecordingTransport wire;
  subscription::Follower follower;
  Time now{Duration(50)};
  explicit FollowingEdge(protocol::Incarnation life = 5) : follower(wire, {life, "e", "z", {"seed"}}) {
    follower.start(now);
    follower.link_up(1, "m1");
    receive(1, protocol::Welcome{4, true, members});
    receive(1, protocol::StateSnapshot{{4, 1}, true, 1, 0, "", {}, {}, 100});
    receive(1, protocol::Neighbours{{"e1", "e2", "e3", "e4"}});
  }
  void receive(transport::LinkId link, const protocol::Message& message) {
    follower.link_frame(now, link, protocol::pack(message));
  }
  // Loses the members, and runs until another edge is asked by link 9.
  void lose_members() {
    follower.link_down(1);
    for (int i = 0; i < 100 && follower.discovery().queried().empty(); ++i) {
      now += Duration(0.1);
      follower.tick(now);
    }
    CPPUNIT_ASSERT(!follower.discovery().queried().empty());
    follower.link_up(9, follower.discovery().queried().front());
    CPPUNIT_ASSERT(std::get_if<protocol::CoreQuery>(&wire.sent.back()));
  }
};

}  // namespace

class NeighbourDiscoveryTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(NeighbourDiscoveryTest);
  CPPUNIT_TEST(edgeFindsReplacedMembersThroughOtherEdges);
  CPPUNIT_TEST(restartedEdgeTellsOthersTheNewMembers);
  CPPUNIT_TEST(memberAddressesFromEdgesAreOnlyDialled);
  CPPUNIT_TEST(onlyMembersAreTrusted);
  CPPUNIT_TEST(askingIsBoundedAndSpreadOverTime);
  CPPUNIT_TEST(neighboursSpanZonesAndAreStable);
  CPPUNIT_TEST(olderProgramsGetNoNeighbours);
  CPPUNIT_TEST_SUITE_END();

 public:
  // An edge is partitioned while all three members are replaced; after it is healed it gets the newest
  // configuration in time.
  void edgeFindsReplacedMembersThroughOtherEdges() {
    for (unsigned seed = 1; seed <= 6; ++seed) {
      simulation::ClusterOptions options;
      options.seed = seed;
      options.edges = 4;
      options.plain_nodes = 2;
      options.nodes_per_shard = 1;
      simulation::Cluster cluster(options);
      cluster.run(2);
      cluster.change(0);
      cluster.run(2.4);
      std::string edge = cluster.edge_address(0);
      cluster.cut_off(edge, seed % 3 != 1, seed % 3 != 2, seed % 2 == 0);
      for (std::size_t place = 0; place < 3; ++place) {
        cluster.replace_core(place, 0.5);
        cluster.run(8);
        cluster.change(0);
        cluster.run(1);
      }
      std::uint64_t newest = cluster.newest_seen(0);
      CPPUNIT_ASSERT(cluster.follower(0)->view().revision() < newest);
      cluster.heal(edge);
      cluster.run(3);
      CPPUNIT_ASSERT_EQUAL(newest, cluster.follower(0)->view().revision());
      CPPUNIT_ASSERT(cluster.follower(0)->discovery().candidates().empty());
      cluster.run(2);
      cluster.check_settled();
      for (const std::string& fault : cluster.checker().faults()) CPPUNIT_FAIL(fault);
    }
  }

  // All edges are partitioned while all members are replaced. One that restarts gets the current seeds, and
  // the others learn the members from it.
  void restartedEdgeTellsOthersTheNewMembers() {
    simulation::ClusterOptions options;
    options.edges = 4;
    options.plain_nodes = 2;
    options.nodes_per_shard = 1;
    simulation::Cluster cluster(options);
    cluster.run(2);
    cluster.change(0);
    cluster.run(3);
    for (std::size_t edge = 0; edge < 4; ++edge) cluster.cut_off(cluster.edge_address(edge), true, true);
    for (std::size_t place = 0; place < 3; ++place) {
      cluster.replace_core(place, 0.5);
      cluster.run(8);
      cluster.change(0);
      cluster.run(1);
    }
    cluster.heal_all();
    cluster.run(6);
    std::uint64_t newest = cluster.newest_seen(0);
    for (std::size_t edge = 0; edge < 4; ++edge)
      CPPUNIT_ASSERT(cluster.follower(edge)->view().revision() < newest);
    cluster.kill_edge(2, 0.3);
    cluster.run(4);
    for (std::size_t edge = 0; edge < 4; ++edge)
      CPPUNIT_ASSERT_EQUAL(newest, cluster.follower(edge)->view().revision());
  }

  // Addresses of an older term are ignored. Others are dialled in bounded number until a leader answers; the
  // known members are still tried.
  void memberAddressesFromEdgesAreOnlyDialled() {
    FollowingEdge edge;
    edge.lose_members();
    edge.receive(9, protocol::CoreAddresses{3, {"gone"}});
    CPPUNIT_ASSERT(!edge.wire.keeps("gone"));
    for (int lie = 0; lie < 300; lie += 3) {
      protocol::CoreAddresses there{4 + static_cast<raft::Term>(lie), {}};
      for (int i = 0; i < 40; ++i) there.addresses.push_back("lie" + std::to_string(lie + i));
      edge.receive(9, there);
    }
    for (const std::string& member : members) CPPUNIT_ASSERT(edge.wire.keeps(member));
    CPPUNIT_ASSERT(edge.wire.kept.size() <= 4 + subscription::CoreDiscovery::max_candidates +
                                                subscription::CoreDiscovery::max_queried);
    CPPUNIT_ASSERT(members == edge.follower.core_addresses());
    edge.follower.link_up(11, "lie299");
    edge.receive(11, protocol::Welcome{4, true, {"m7", "m8"}});
    edge.receive(11, protocol::Ping{{4, 1}, 1, 100});
    edge.follower.tick(edge.now);
    CPPUNIT_ASSERT((std::vector<std::string>{"m7", "m8"}) == edge.wire.kept);
  }

  // Neither an edge that was asked nor the peer of an incoming link may supply state, members or neighbours.
  void onlyMembersAreTrusted() {
    FollowingEdge edge;
    edge.follower.link_up(2, "m2");  // not the leader
    edge.receive(2, protocol::Neighbours{{"liar"}});
    edge.lose_members();
    protocol::StateSnapshot standing{{9, 1}, true, 1, 0, "", {{}}, {}, 100};
    standing.nodes[0].node.id = "n";
    for (transport::LinkId link : {9, 77}) {
      edge.receive(link, standing);
      edge.receive(link, protocol::Welcome{9, true, {"gone"}});
      edge.receive(link, protocol::Neighbours{{"liar"}});
    }
    edge.receive(77, protocol::CoreAddresses{9, {"gone"}});
    CPPUNIT_ASSERT(edge.follower.view().at() == (protocol::Position{4, 1}));
    CPPUNIT_ASSERT(edge.follower.view().nodes().all().empty());
    CPPUNIT_ASSERT(members == edge.follower.core_addresses() && !edge.wire.keeps("gone"));
    CPPUNIT_ASSERT_EQUAL(std::string("e1"), edge.follower.discovery().neighbours().front());
    // Only addresses learned from members are passed on to other edges.
    edge.receive(9, protocol::CoreAddresses{9, {"m9"}});
    edge.receive(77, protocol::CoreQuery{});
    CPPUNIT_ASSERT(members == std::get<protocol::CoreAddresses>(edge.wire.sent.back()).addresses);
  }

  // 400 edges lose the whole core at once.
  void askingIsBoundedAndSpreadOverTime() {
    std::map<int, int> started;  // by tenth of a second
    int asks = 0;
    for (protocol::Incarnation life = 1; life <= 400; ++life) {
      FollowingEdge edge(life * 0x9e3779b97f4a7c15u);
      edge.follower.link_down(1);
      std::set<std::string> asked;
      Time start = edge.now;
      for (int tick = 0; tick < 2000; ++tick) {
        edge.now += Duration(0.01);
        bool before = edge.follower.discovery().queried().empty();
        edge.follower.tick(edge.now);
        const auto& asked_now = edge.follower.discovery().queried();
        CPPUNIT_ASSERT(asked_now.size() <= 2);
        if (asked_now.empty() || !before) continue;
        asked.insert(asked_now.begin(), asked_now.end());
        ++started[static_cast<int>((edge.now - start).count() * 10)];
        ++asks;
      }
      CPPUNIT_ASSERT_EQUAL(std::size_t{4}, asked.size());
    }
    CPPUNIT_ASSERT(started.begin()->first >= 35);
    for (const auto& [tenth, count] : started) CPPUNIT_ASSERT(count < 400 / 4);
    CPPUNIT_ASSERT(asks > 400 * 6 && asks < 400 * 12);
  }

  void neighboursSpanZonesAndAreStable() {
    control_plane::NeighbourRing ring;
    auto address = [](std::uint64_t i) { return "10.1." + std::to_string(i) + ":7135"; };
    auto zone = [](std::uint64_t i) { return "z" + std::to_string(i % 5); };
    auto known = [&] {
      std::vector<std::vector<std::string>> all;
      for (std::uint64_t i = 1; i <= 300; ++i) all.push_back(ring.neighbours_of(address(i), zone(i)));
      return all;
    };
    for (std::uint64_t i = 1; i <= 300; ++i) ring.add(i, address(i), zone(i));
    auto before = known();
    std::map<std::string, int> known_by;
    for (std::uint64_t i = 1; i <= 300; ++i) {
      std::set<std::string> zones{zone(i)};
      for (const std::string& other : before[i - 1]) {
        ++known_by[other];
        zones.insert(zone(std::stoul(other.substr(5))));
      }
      CPPUNIT_ASSERT_EQUAL(std::size_t{5}, zones.size());
    }
    for (const auto& [edge, count] : known_by) CPPUNIT_ASSERT(count <= 24);
    // A restart changes nothing; a permanent loss changes only the lists that contain the lost edge.
    Time now{Duration(50)};
    std::uint64_t version = ring.version();
    for (int second = 0; second < 20; ++second) ring.remove_expired(now += Duration(1));
    ring.disconnect(7, address(7));
    for (int second = 0; second < 20; ++second) ring.remove_expired(now += Duration(1));
    ring.add(1007, address(7), zone(7));
    ring.disconnect(7, address(7));  // its old link, late
    for (int second = 0; second < 90; ++second) ring.remove_expired(now += Duration(1));
    CPPUNIT_ASSERT(version == ring.version() && before == known());
    ring.disconnect(1007, address(7));
    for (int second = 0; second < 90; ++second) ring.remove_expired(now += Duration(1));
    auto after = known();
    int changed = 0;
    for (std::size_t i = 0; i < 300; ++i)
      if (i != 6 && before[i] != after[i]) ++changed;
    CPPUNIT_ASSERT(version != ring.version());
    CPPUNIT_ASSERT_EQUAL(known_by[address(7)], changed);
  }

  // An older program sends no address, and is sent no neighbours.
  void olderProgramsGetNoNeighbours() {
    protocol::Packer older;
    older.array(8);
    older.number(2);
    older.number(77);
    older.number(0);
    older.text("e");
    older.text("z");
    for (int i = 0; i < 3; ++i) older.number(0);
    auto hello = std::get<protocol::Hello>(*protocol::unpack(older.view()));
    CPPUNIT_ASSERT_EQUAL(std::string(), hello.address);
    CPPUNIT_ASSERT_EQUAL(std::string("z"), hello.zone);
    subscription::ClusterView view;
    control_plane::Followers followers(view);
    Time now{Duration(50)};
    followers.open(now, 2, true);
    followers.add(now, {});
    std::map<control_plane::LinkId, int> lists_sent;
    for (control_plane::LinkId link = 1; link <= 20; ++link) {
      hello.incarnation = link;
      hello.address = link == 1 ? "" : "e" + std::to_string(link);
      followers.on_hello(now, link, hello);
    }
    auto run = [&] {
      for (int i = 0; i < 30; ++i, now += Duration(0.1))
        for (const control_plane::LinkFrame& out : followers.take_frames(now))
          lists_sent[out.link] += std::holds_alternative<protocol::Neighbours>(*protocol::unpack(out.bytes));
    };
    run();
    for (const auto& [link, count] : lists_sent) CPPUNIT_ASSERT_EQUAL(link == 1 ? 0 : 1, count);
    // One more edge: only the few that get it as a neighbour are sent a new list.
    hello.incarnation = 21;
    hello.address = "e21";
    followers.on_hello(now, 21, hello);
    run();
    int again = 0;
    for (const auto& [link, count] : lists_sent) again += link < 21 && count > 1;
    CPPUNIT_ASSERT_EQUAL(4, again);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(NeighbourDiscoveryTest);

}  // namespace pearspar
