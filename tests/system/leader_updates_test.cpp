// Updates from the leader to the edges: configurations as deltas, full states, batches of changes, shared
// retry tokens, and the initial coverage of an edge.
#include <cppunit/extensions/HelperMacros.h>

#include <map>
#include <random>

#include "control_plane/followers.h"
#include "protocol/delta.h"
#include "retry_tokens/token_pool.h"
#include "simulation/cluster.h"

namespace pearspar {

namespace {

std::string configuration_text(int revision, int routes, int changed = -1) {
  std::string text = "{\"edition\":" + std::to_string(revision) + ",\"postalRoutes\":[";
  for (int i = 0; i < routes; ++i)
    text += std::string(i > 0 ? "," : "") + "{\"name\":\"r" + std::to_string(i) +
            "\",\"hostName\":\"h\",\"pathPrefix\":\"/" + std::to_string(i) +
            "/\",\"lineKind\":\"safe\",\"deadlineMs\":" + (i == changed ? "900" : "1200") +
            ",\"depot\":\"d\",\"tries\":2}";
  return text + "],\"depots\":[{\"name\":\"d\"}],\"limits\":{}}";
}

catalog::ConfigurationPtr parse(const std::string& text) {
  catalog::Fault fault;
  auto found = catalog::parse_configuration(text, fault);
  CPPUNIT_ASSERT_EQUAL(std::string(), fault.text());
  return found;
}

}  // namespace

class LeaderUpdatesTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(LeaderUpdatesTest);
  CPPUNIT_TEST(deltaReproducesTheNewText);
  CPPUNIT_TEST(corruptDeltaIsRejected);
  CPPUNIT_TEST(configurationChangeIsSentAsDelta);
  CPPUNIT_TEST(unusableDeltaIsFollowedByFullState);
  CPPUNIT_TEST(changesAreBatched);
  CPPUNIT_TEST(reconnectedFollowerCatchesUpAtOnce);
  CPPUNIT_TEST(fullStateBytesInFlightAreBounded);
  CPPUNIT_TEST(cachedStateOlderThanFollowerIsNotSent);
  CPPUNIT_TEST(helloCrossingFullStateIsNotAnsweredTwice);
  CPPUNIT_TEST(followerBehindJournalGetsFullState);
  CPPUNIT_TEST(newLeaderSendsListOnlyWhereDigestDiffers);
  CPPUNIT_TEST(forwardedCallReachesTheNextLeader);
  CPPUNIT_TEST(unreadableConfigurationIsResentAtPingRate);
  CPPUNIT_TEST(journalIsBoundedInBytes);
  CPPUNIT_TEST(laggingMemberDoesNotReplaceMemberList);
  CPPUNIT_TEST(grantedTokensStayWithinShareOfEachWindow);
  CPPUNIT_TEST(newLeaderGrantsNothingUntilOldTokensExpire);
  CPPUNIT_TEST(busyEdgeUsesSharedBudget);
  CPPUNIT_TEST(restartedEdgeStartsAtAverageCoverage);
  CPPUNIT_TEST_SUITE_END();

 public:
  void deltaReproducesTheNewText() {
    std::string before = configuration_text(3, 200);
    for (const std::string& after : {configuration_text(4, 200, 77), configuration_text(4, 190),
                                     configuration_text(9, 260, 3), std::string("{}"), before}) {
      std::string delta = protocol::make_delta(before, after);
      CPPUNIT_ASSERT(protocol::apply_delta(before, delta) == after);
      CPPUNIT_ASSERT(!protocol::apply_delta(before + " ", delta));
    }
    CPPUNIT_ASSERT(protocol::make_delta(before, configuration_text(4, 200, 77)).size() < before.size() / 20);
  }

  void corruptDeltaIsRejected() {
    std::mt19937 random(3);
    std::string before = configuration_text(3, 20), after = configuration_text(4, 22, 5);
    std::string whole = protocol::make_delta(before, after);
    for (int i = 0; i < 20000; ++i) {
      std::string bytes = whole;
      if (i % 3 == 0) bytes.resize(random() % whole.size());
      for (unsigned flips = 1 + random() % 4; flips > 0 && !bytes.empty(); --flips)
        bytes[random() % bytes.size()] = static_cast<char>(random());
      auto made = protocol::apply_delta(before, bytes);
      CPPUNIT_ASSERT(!made || *made == after);
    }
  }

  struct Leader {
    catalog::Time now{catalog::Duration(50)};
    subscription::ClusterView view;
    control_plane::Followers followers{view};
    subscription::ClusterView edge;
    std::size_t bytes = 0;
    Leader() {
      followers.open(now, 2, true);
      followers.add(now, {});
      followers.on_hello(now, 7, {77, protocol::FollowerKind::edge, "e", "z", {}, 0});
    }
    // Delivers due frames to the edge and its acknowledgements to the leader.
    void exchange() {
      for (int rounds = 0; rounds < 3; ++rounds) {
        now += catalog::Duration(0.02);
        for (const control_plane::LinkFrame& out : followers.take_frames(now)) {
          bytes += out.bytes.size();
          auto message = protocol::unpack(out.bytes);
          CPPUNIT_ASSERT(message);
          if (const auto* standing = std::get_if<protocol::StateSnapshot>(&*message))
            edge.apply(now, *standing);
          if (const auto* changes = std::get_if<protocol::Changes>(&*message)) edge.apply(now, *changes);
          followers.on_ack(now, 7, {77, edge.at(), edge.revision()});
        }
      }
    }
  };

  void configurationChangeIsSentAsDelta() {
    Leader leader;
    leader.followers.add_configuration(leader.now, parse(configuration_text(3, 300)));
    leader.exchange();
    CPPUNIT_ASSERT_EQUAL(catalog::Revision{3}, leader.edge.revision());
    std::size_t first = leader.bytes;
    CPPUNIT_ASSERT(first > configuration_text(3, 300).size());
    leader.followers.add_configuration(leader.now, parse(configuration_text(4, 300, 8)));
    leader.followers.add_configuration(leader.now, parse(configuration_text(6, 301, 9)));
    leader.exchange();
    CPPUNIT_ASSERT(configuration_text(6, 301, 9) == leader.edge.configuration()->text);
    CPPUNIT_ASSERT(configuration_text(6, 301, 9) == leader.view.configuration()->text);
    CPPUNIT_ASSERT(leader.bytes - first < first / 10);
  }

  // An older program ignores an unknown kind of change, and a delta does not apply to a different text.
  void unusableDeltaIsFollowedByFullState() {
    Leader leader;
    leader.followers.add_configuration(leader.now, parse(configuration_text(3, 30)));
    leader.exchange();
    subscription::ClusterView other;
    protocol::StateSnapshot standing;
    standing.at = leader.edge.at();
    standing.revision = 3;
    standing.configuration = configuration_text(3, 31);
    other.apply(leader.now, standing);
    leader.edge = std::move(other);
    leader.followers.add_configuration(leader.now, parse(configuration_text(4, 30, 2)));
    leader.exchange();
    CPPUNIT_ASSERT(configuration_text(4, 30, 2) == leader.edge.configuration()->text);
    // The same for an edge that reconnects at a position after the change but with the previous revision.
    leader.followers.on_hello(leader.now, 8,
                              {78, protocol::FollowerKind::edge, "f", "z", leader.edge.at(), 3});
    bool sent = false;
    for (const control_plane::LinkFrame& out : leader.followers.take_frames(leader.now))
      if (auto message = protocol::unpack(out.bytes); out.link == 8)
        if (const auto* all = std::get_if<protocol::StateSnapshot>(&*message))
          sent = !all->configuration.empty();
    CPPUNIT_ASSERT(sent);
  }

  // An older program that cannot parse the configuration acknowledges the previous revision each time.
  void unreadableConfigurationIsResentAtPingRate() {
    Leader leader;
    leader.followers.add_configuration(leader.now, parse(configuration_text(3, 30)));
    leader.exchange();
    leader.followers.add_configuration(leader.now, parse(configuration_text(4, 300)));
    int full_states = 0;
    for (int i = 0; i < 500; ++i) {
      leader.now += catalog::Duration(0.01);
      for (const control_plane::LinkFrame& out : leader.followers.take_frames(leader.now)) {
        auto message = protocol::unpack(out.bytes);
        full_states += std::holds_alternative<protocol::StateSnapshot>(*message);
        leader.followers.on_ack(leader.now, 7, {77, {2, 3}, 3});
      }
    }
    CPPUNIT_ASSERT(full_states >= 4 && full_states <= 7);
  }

  void journalIsBoundedInBytes() {
    Leader leader;
    leader.exchange();
    // Texts without common parts, so that deltas do not help, all within one batch.
    for (int i = 1; i <= 200; ++i) {
      std::string note(60000, ' ');
      for (std::size_t at = 0; at < note.size(); ++at)
        note[at] = static_cast<char>('a' + (at * i * 7919) % 25);
      std::string text = configuration_text(i, 3);
      text.insert(1, "\"note\":\"" + note + "\",");
      leader.followers.add_configuration(leader.now, parse(text));
      leader.now += catalog::Duration(0.00001);
    }
    CPPUNIT_ASSERT(leader.followers.journal_bytes() <= std::size_t{8} << 20);
    leader.exchange();
    CPPUNIT_ASSERT_EQUAL(catalog::Revision{200}, leader.edge.revision());
  }

  struct RecordingTransport : transport::Transport {
    std::vector<std::string> addresses;
    void set_targets(const std::vector<std::string>& wanted) override { addresses = wanted; }
    bool send_to(const std::string&, std::string_view) override { return true; }
    bool send(transport::LinkId, std::string_view) override { return true; }
  };

  void laggingMemberDoesNotReplaceMemberList() {
    RecordingTransport wire;
    subscription::Follower follower(wire, {5, "e", "z", {"a", "b", "c"}});
    catalog::Time now{catalog::Duration(50)};
    follower.start(now);
    follower.link_up(1, "a");
    auto receive = [&](raft::Term term, bool leads, std::vector<std::string> cores) {
      follower.link_frame(now, 1, protocol::pack(protocol::Welcome{term, leads, std::move(cores)}));
      return wire.addresses.back();
    };
    CPPUNIT_ASSERT_EQUAL(std::string("c"), receive(4, false, {"a", "b", "c"}));
    CPPUNIT_ASSERT_EQUAL(std::string("d"), receive(4, true, {"a", "b", "d"}));
    CPPUNIT_ASSERT_EQUAL(std::string("d"),
                         receive(4, false, {"a", "b", "c"}));  // restarted and behind with its log
    CPPUNIT_ASSERT_EQUAL(std::string("e"), receive(4, true, {"a", "b", "e"}));
    CPPUNIT_ASSERT_EQUAL(std::string("f"), receive(5, false, {"a", "b", "f"}));
    CPPUNIT_ASSERT_EQUAL(std::string("f"), receive(4, true, {"a", "b", "e"}));
  }

  static protocol::Change node(int number) {
    protocol::Change change;
    change.kind = protocol::ChangeKind::node_updated;
    change.update.node.id = "n" + std::to_string(number);
    change.update.node.address = "1.1.1.1:" + std::to_string(number);
    return change;
  }

  void changesAreBatched() {
    Leader leader;
    leader.exchange();
    for (int i = 0; i < 50; ++i) {
      leader.followers.add(leader.now, node(i));
      CPPUNIT_ASSERT(leader.followers.take_frames(leader.now).empty());
      leader.now += catalog::Duration(0.0001);
    }
    CPPUNIT_ASSERT(leader.followers.due() < leader.now + catalog::Duration(0.01));
    leader.now = leader.followers.due();
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, leader.followers.take_frames(leader.now).size());
  }

  // Full states in flight are bounded whatever the number of followers; one that never answers blocks nobody.
  void fullStateBytesInFlightAreBounded() {
    catalog::Time now{catalog::Duration(50)};
    subscription::ClusterView view;
    control_plane::Followers followers(view);
    followers.open(now, 2, true);
    for (int i = 0; i < 2000; ++i) followers.add(now, node(i));
    std::map<control_plane::LinkId, subscription::ClusterView> edges;
    for (control_plane::LinkId link = 1; link <= 300; ++link)
      followers.on_hello(now, link, {link, protocol::FollowerKind::edge, "e", "z", {}, 0});
    for (int round = 0; round < 400 && edges.size() < 299; ++round) {
      std::size_t bytes = 0, whole = 0;
      std::vector<control_plane::LinkId> behind;  // hear a ping, and lack what it counts
      std::vector<control_plane::LinkFrame> sent = followers.take_frames(now);
      for (const control_plane::LinkFrame& out : sent) {
        auto message = protocol::unpack(out.bytes);
        CPPUNIT_ASSERT(message);
        if (const auto* standing = std::get_if<protocol::StateSnapshot>(&*message)) {
          bytes += out.bytes.size();
          whole = out.bytes.size();
          if (out.link != 1) edges[out.link].apply(now, *standing);  // the first one never answers
        }
        if (const auto* changes = std::get_if<protocol::Changes>(&*message))
          edges[out.link].apply(now, *changes);
        if (std::get_if<protocol::Ping>(&*message) && !edges.count(out.link) && out.link != 1)
          behind.push_back(out.link);
      }
      CPPUNIT_ASSERT(bytes <= (4 << 20) + whole);
      followers.add(now, node(2000 + round));
      now += catalog::Duration(0.02);
      for (control_plane::LinkId link : behind)
        followers.on_hello(now, link, {link, protocol::FollowerKind::edge, "e", "z", {}, 0});
      for (const control_plane::LinkFrame& out : sent)
        if (out.link != 1 && edges.count(out.link))
          followers.on_ack(now, out.link, {out.link, edges[out.link].at(), 0});
    }
    for (int i = 0; i < 3; ++i) {
      now += catalog::Duration(0.02);
      for (const control_plane::LinkFrame& out : followers.take_frames(now))
        if (auto message = protocol::unpack(out.bytes))
          if (const auto* changes = std::get_if<protocol::Changes>(&*message))
            edges[out.link].apply(now, *changes);
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{299}, edges.size() - edges.count(1));
    for (const auto& [link, edge] : edges)
      if (link != 1) CPPUNIT_ASSERT_EQUAL(view.nodes().all().size(), edge.nodes().all().size());
  }

  // A hello that crosses the full state does not trigger another one, unless it comes two seconds later.
  void helloCrossingFullStateIsNotAnsweredTwice() {
    Leader leader;
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, leader.followers.take_frames(leader.now).size());
    leader.followers.on_hello(leader.now, 7, {77, protocol::FollowerKind::edge, "e", "z", {}, 0});
    CPPUNIT_ASSERT(leader.followers.take_frames(leader.now).empty());
    leader.now += catalog::Duration(2.1);
    leader.followers.on_hello(leader.now, 7, {77, protocol::FollowerKind::edge, "e", "z", {}, 0});
    leader.exchange();
    CPPUNIT_ASSERT(leader.edge.at() == leader.view.at());
  }

  // A cached full state may be older than what the follower has received since.
  void cachedStateOlderThanFollowerIsNotSent() {
    Leader leader;
    leader.exchange();
    leader.followers.add(leader.now, node(1));
    leader.exchange();
    leader.followers.on_hello(leader.now, 7,
                              {77, protocol::FollowerKind::edge, "e", "z", leader.edge.at(), 0});
    leader.followers.on_ack(leader.now, 7, {77, leader.edge.at(), 0, 100, leader.edge.nodes().digest() ^ 2});
    auto out = leader.followers.take_frames(leader.now);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, out.size());
    auto message = protocol::unpack(out[0].bytes);
    CPPUNIT_ASSERT(std::get<protocol::StateSnapshot>(*message).at >= leader.edge.at());
  }

  // More changes between two acknowledgements than the journal holds.
  void followerBehindJournalGetsFullState() {
    Leader leader;
    leader.exchange();
    for (int i = 0; i < 5000; ++i) leader.followers.add(leader.now, node(i));
    leader.exchange();
    CPPUNIT_ASSERT_EQUAL(std::size_t{5000}, leader.edge.nodes().all().size());
    CPPUNIT_ASSERT(leader.edge.at() == leader.view.at());
  }

  // Three edges of the previous leader: one has the same list, one lacks a node, one has an extra node.
  void newLeaderSendsListOnlyWhereDigestDiffers() {
    catalog::Time now{catalog::Duration(50)};
    subscription::ClusterView view;
    control_plane::Followers followers(view);
    std::map<control_plane::LinkId, subscription::ClusterView> edges;
    for (control_plane::LinkId link : {1, 2, 3}) {
      protocol::StateSnapshot before{{1, 9}, true, 3, 0, "", {}, {}, 100};
      for (int i = 0; i < 200; ++i)
        if (link != 2 || i != 7) before.nodes.push_back(node(i).update);
      if (link == 3) before.nodes.push_back(node(300).update);
      edges[link].apply(now, before);
      followers.on_hello(now, link, {link, protocol::FollowerKind::edge, "e", "z", edges[link].at(), 0});
    }
    protocol::StateSnapshot ours{{1, 9}, true, 3, 0, "", {}, {}, 100};
    for (int i = 0; i < 200; ++i) ours.nodes.push_back(node(i).update);
    view.apply(now, ours);
    followers.open(now, 2, false);
    followers.add(now, {});
    std::map<control_plane::LinkId, std::size_t> bytes;
    auto exchange = [&] {
      for (int round = 0; round < 4; ++round) {
        for (const control_plane::LinkFrame& out : followers.take_frames(now)) {
          bytes[out.link] += out.bytes.size();
          auto message = protocol::unpack(out.bytes);
          CPPUNIT_ASSERT(message);
          subscription::ClusterView& edge = edges[out.link];
          if (const auto* standing = std::get_if<protocol::StateSnapshot>(&*message))
            edge.apply(now, *standing);
          if (const auto* changes = std::get_if<protocol::Changes>(&*message)) edge.apply(now, *changes);
          auto ack = protocol::unpack(
              protocol::pack(protocol::Ack{out.link, edge.at(), 0, 100, edge.nodes().digest()}));
          followers.on_ack(now, out.link, std::get<protocol::Ack>(*ack));
        }
        now += catalog::Duration(0.02);
      }
    };
    exchange();
    followers.add(now, node(200));  // before the list is complete
    protocol::Change leaves = node(3);
    leaves.update.node.closing = true;
    leaves.update.node.sequence = 1;
    followers.add(now, leaves);
    exchange();
    for (auto& [link, edge] : edges) CPPUNIT_ASSERT(edge.nodes().find("n3")->closing);
    followers.complete_list(now);
    exchange();
    for (auto& [link, edge] : edges) CPPUNIT_ASSERT_EQUAL(view.nodes().digest(), edge.nodes().digest());
    CPPUNIT_ASSERT(!edges[3].nodes().find("n300") && edges[2].nodes().find("n7"));
    CPPUNIT_ASSERT(bytes[1] < 400);
    CPPUNIT_ASSERT(bytes[2] > 5000 && bytes[3] > 5000);
  }

  void reconnectedFollowerCatchesUpAtOnce() {
    Leader leader;
    leader.exchange();
    leader.followers.add(leader.now, node(1));
    leader.exchange();
    leader.now += catalog::Duration(0.5);
    protocol::Position before = leader.edge.at();
    --before.number;
    leader.followers.on_hello(leader.now, 9, {77, protocol::FollowerKind::edge, "e", "z", before, 0});
    CPPUNIT_ASSERT(leader.followers.due() <= leader.now);
    bool sent = false;
    for (const control_plane::LinkFrame& out : leader.followers.take_frames(leader.now))
      sent = sent || out.link == 9;
    CPPUNIT_ASSERT(sent);
  }

  // The leader that a call was forwarded to dies; the call goes to the next leader.
  void forwardedCallReachesTheNextLeader() {
    for (unsigned seed = 1; seed <= 6; ++seed) {
      simulation::ClusterOptions options;
      options.seed = seed;
      options.edges = 2;
      options.plain_nodes = 2;
      options.ask_the_living = true;
      simulation::Cluster cluster(options);
      cluster.run(2);
      cluster.change(0);
      cluster.run(2);
      CPPUNIT_ASSERT(cluster.leader() >= 0);
      cluster.kill_core(static_cast<std::size_t>(cluster.leader()), 30, true);
      cluster.change(0);
      cluster.run(0.9);
      CPPUNIT_ASSERT_EQUAL(std::size_t{2}, cluster.checker().acknowledged());
    }
  }

  // With random delays between request, grant and use, no window may see more tokens spent than the leader
  // may grant.
  void grantedTokensStayWithinShareOfEachWindow() {
    using retry_tokens::Duration;
    using retry_tokens::Time;
    for (unsigned seed = 1; seed <= 20; ++seed) {
      std::mt19937 random(seed);
      auto uniform = [&](double least, double most) {
        return std::uniform_real_distribution<double>(least, most)(random);
      };
      retry_tokens::TokenPool pool;
      pool.set({56, std::chrono::seconds(10)});
      Time start{Duration(100)};
      pool.open(start);
      std::vector<double> spent;
      for (double at = 0; at < 120; at += uniform(0, 0.05)) {
        double arrives = at + uniform(0, 0.3);
        std::uint32_t count = pool.grant(start + Duration(arrives), "d", 1 + random() % 4);
        for (std::uint32_t i = 0; i < count; ++i)
          spent.push_back(uniform(arrives, at + retry_tokens::token_lifetime.count()));
      }
      std::sort(spent.begin(), spent.end());
      std::size_t most = 0;
      for (std::size_t first = 0, last = 0; last < spent.size(); ++last) {
        while (spent[last] - spent[first] > 10) ++first;
        most = std::max(most, last - first + 1);
      }
      CPPUNIT_ASSERT(most <= 56 * retry_tokens::shared_slack);
      CPPUNIT_ASSERT(spent.size() > 8 * 56 * retry_tokens::shared_slack);  // nearly all tokens are used
    }
  }

  void newLeaderGrantsNothingUntilOldTokensExpire() {
    retry_tokens::TokenPool pool;
    pool.set({56, std::chrono::seconds(10)});
    retry_tokens::Time now{retry_tokens::Duration(100)};
    pool.open(now);
    CPPUNIT_ASSERT_EQUAL(std::uint32_t{0}, pool.grant(now + retry_tokens::Duration(11.9), "d", 4));
    CPPUNIT_ASSERT_EQUAL(std::uint32_t{4}, pool.grant(now + retry_tokens::Duration(12), "d", 4));
    // A request for everything gets half of what is left.
    CPPUNIT_ASSERT_EQUAL(std::uint32_t{8}, pool.grant(now + retry_tokens::Duration(12), "d", 100));
    CPPUNIT_ASSERT_EQUAL(std::uint32_t{4}, pool.grant(now + retry_tokens::Duration(12), "d", 100));
  }

  // Most requests come to one edge while nodes crash: the shared tokens allow it more retries within the
  // rule.
  void busyEdgeUsesSharedBudget() {
    std::map<bool, std::uint64_t> withheld, second;
    for (unsigned run = 0; run < 12; ++run) {
      bool shared = run % 2 == 1;
      simulation::ClusterOptions options;
      options.seed = 1 + run / 2;
      options.requests_per_s = 150;
      options.edges = 6;
      options.first_edge = 0.6;
      options.plain_nodes = 8;
      options.retry_ratio = 0.02;
      options.retry_slack = 60;
      options.shared_budget = shared;
      simulation::Cluster cluster(options);
      cluster.run(2);
      cluster.change(0);
      cluster.run(14);
      for (int i = 0; i < 60; ++i) {
        cluster.crash_node(static_cast<std::size_t>(i) % cluster.nodes(), 0.3, false);
        cluster.run(0.25);
      }
      for (const std::string& fault : cluster.checker().faults()) CPPUNIT_FAIL(fault);
      withheld[shared] += cluster.dispatcher(0)->counters().withheld;
      second[shared] += cluster.dispatcher(0)->counters().second_calls;
    }
    CPPUNIT_ASSERT(withheld[false] > 0);
    CPPUNIT_ASSERT(withheld[true] * 3 < withheld[false] * 2);
    CPPUNIT_ASSERT(second[true] > second[false]);
  }

  // Under overload all edges have reduced coverage; a restarted one must not begin at full coverage.
  void restartedEdgeStartsAtAverageCoverage() {
    simulation::ClusterOptions options;
    options.edges = 4;
    options.nodes_per_shard = 1;
    options.plain_nodes = 20;
    options.slots = 1;
    options.requests_per_s = 150;
    simulation::Cluster cluster(options);
    cluster.run(2);
    cluster.change(0);
    cluster.run(16);
    double neighbours = 0;
    for (std::size_t edge = 1; edge < 4; ++edge) neighbours += cluster.dispatcher(edge)->coverage() / 3;
    CPPUNIT_ASSERT(neighbours < 0.85);
    cluster.kill_edge(0, 0.3);
    while (!cluster.dispatcher(0) || cluster.dispatcher(0)->counters().requests == 0) cluster.run(0.05);
    CPPUNIT_ASSERT(cluster.dispatcher(0)->coverage() < neighbours + 0.15);
    for (const std::string& fault : cluster.checker().faults()) CPPUNIT_FAIL(fault);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LeaderUpdatesTest);

}  // namespace pearspar
