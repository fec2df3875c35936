// Configurations apart from the leader's stream of updates: told and sent by any member to edges that are
// behind.
#include <cppunit/extensions/HelperMacros.h>

#include <set>

#include "control_plane/configuration_server.h"
#include "simulation/cluster.h"

namespace pearspar {

namespace {

using control_plane::ConfigurationServer;
using control_plane::LinkFrame;
using control_plane::LinkId;
using simulation::Cluster;
using simulation::ClusterOptions;
using namespace std::chrono_literals;

std::string configuration_text(int revision, int routes) {
  std::string text = R"({"edition":)" + std::to_string(revision) + R"(,"postalRoutes":[)";
  for (int i = 0; i < routes; ++i)
    text += std::string(i > 0 ? "," : "") + R"({"hostName":"h","pathPrefix":"/)" + std::to_string(i) +
            R"(/","lineKind":"safe","deadlineMs":1000,"depot":"d"})";
  return text + R"(],"depots":[{"name":"d"}]})";
}

protocol::Hello hello(protocol::Incarnation incarnation, catalog::Revision revision) {
  return {incarnation, protocol::FollowerKind::edge, "e", "z", {}, revision, {}, true};
}

protocol::Ack ack(protocol::Incarnation incarnation, catalog::Revision revision) {
  return {incarnation, {}, revision, 100, 0};
}

template <typename Message>
std::vector<std::pair<LinkId, Message>> messages_in(const std::vector<LinkFrame>& frames) {
  std::vector<std::pair<LinkId, Message>> found;
  for (const LinkFrame& frame : frames) {
    const auto message = protocol::unpack(frame.bytes);
    CPPUNIT_ASSERT(message);
    if (const auto* wanted = std::get_if<Message>(&*message)) found.emplace_back(frame.link, *wanted);
  }
  return found;
}

using protocol::ConfigurationNotice;
using protocol::ConfigurationUpdate;

struct TestedServer {
  catalog::Time now{catalog::Duration(100)};
  ConfigurationServer server{"z"};
  void configure(int revision, int routes) {
    server.set_configuration(now, static_cast<catalog::Revision>(revision),
                             configuration_text(revision, routes));
  }
  std::vector<LinkFrame> take() { return server.take_frames(now); }
};

}  // namespace

class ConfigurationDeliveryTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ConfigurationDeliveryTest);
  CPPUNIT_TEST(anyMemberTellsAnEdgeThatIsBehind);
  CPPUNIT_TEST(requestIsAnsweredByADeltaWhereTheBaseIsKnown);
  CPPUNIT_TEST(bytesInFlightAreBoundedAndRequestsKeepTheirOrder);
  CPPUNIT_TEST(edgeIsNotSentACopyOfWhatIsOnItsWay);
  CPPUNIT_TEST(largeTextIsLeftOutForThoseThatAsk);
  CPPUNIT_TEST(departuresDoNotWaitForWholeLists);
  CPPUNIT_TEST(linkOnWhichAProcessSpeaksCounts);
  CPPUNIT_TEST(edgeThatTheLeaderDoesNotReachIsNotLate);
  CPPUNIT_TEST(edgeThatDoesNotReachTheLeaderIsNotLate);
  CPPUNIT_TEST_SUITE_END();

 public:
  // An edge heard of a change from nobody but the leader.
  void anyMemberTellsAnEdgeThatIsBehind() {
    TestedServer member;
    member.configure(3, 5);
    member.server.on_hello(member.now, 1, hello(11, 2));
    member.server.on_hello(member.now, 2, hello(12, 3));
    const auto told = messages_in<ConfigurationNotice>(member.take());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, told.size());
    CPPUNIT_ASSERT_EQUAL(LinkId{1}, told[0].first);
    CPPUNIT_ASSERT_EQUAL(catalog::Revision{3}, told[0].second.revision);
    CPPUNIT_ASSERT_EQUAL(std::string("z"), told[0].second.zone);
    // With each contact while it is behind, and no more afterwards.
    member.now += 1s;
    member.take();
    member.server.on_ack(member.now, 1, ack(11, 2));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, messages_in<ConfigurationNotice>(member.take()).size());
    member.server.on_ack(member.now, 1, ack(11, 3));
    CPPUNIT_ASSERT(member.take().empty());
    // Without any contact a short time after a change.
    member.configure(4, 5);
    CPPUNIT_ASSERT(member.take().empty());
    CPPUNIT_ASSERT(member.server.due() <= member.now + 200ms);
    member.now = member.server.due();
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, messages_in<ConfigurationNotice>(member.take()).size());
    CPPUNIT_ASSERT(member.server.due() == catalog::Time::max());
  }

  void requestIsAnsweredByADeltaWhereTheBaseIsKnown() {
    TestedServer member;
    member.configure(2, 300);
    member.configure(3, 301);
    for (const catalog::Revision known : {catalog::Revision{2}, catalog::Revision{1}}) {
      subscription::ClusterView edge;
      if (known == 2) edge.apply(ConfigurationUpdate{0, 2, 0, configuration_text(2, 300)});
      const LinkId link = known;
      member.server.on_hello(member.now, link, hello(11, known));
      member.server.on_request(member.now, link, {11, known});
      member.server.on_request(member.now, link, {11, known});  // asked twice, answered once
      const auto updates = messages_in<ConfigurationUpdate>(member.take());
      CPPUNIT_ASSERT_EQUAL(std::size_t{1}, updates.size());
      CPPUNIT_ASSERT_EQUAL(catalog::Revision{known == 2 ? 2u : 0u}, updates[0].second.base);
      CPPUNIT_ASSERT((updates[0].second.text.size() < 1000) == (known == 2));
      edge.apply(updates[0].second);
      CPPUNIT_ASSERT_EQUAL(catalog::Revision{3}, edge.revision());
      CPPUNIT_ASSERT(edge.configuration()->text == configuration_text(3, 301));
    }
    // A stranger's request, and one of an earlier run of the process, are passed over.
    member.server.on_request(member.now, 9, {11, 1});
    member.server.on_request(member.now, 1, {10, 1});
    CPPUNIT_ASSERT(messages_in<ConfigurationUpdate>(member.take()).empty());
  }

  // Edges that went dark with a configuration on its way do not hold up others for long.
  void bytesInFlightAreBoundedAndRequestsKeepTheirOrder() {
    constexpr std::size_t bound = 16 << 20;
    constexpr LinkId edges = 300;
    TestedServer member;
    member.configure(2, 10000);
    for (LinkId link = 1; link <= edges; ++link) member.server.on_hello(member.now, link, hello(link, 1));
    member.now += 200ms;
    member.take();  // notices
    for (LinkId link = edges; link >= 1; --link) member.server.on_request(member.now, link, {link, 1});
    LinkId next = edges;
    for (int turn = 0; turn < 100 && next > 0; ++turn) {
      const std::vector<LinkFrame> frames = member.take();
      std::size_t bytes = 0;
      for (const auto& [link, update] : messages_in<ConfigurationUpdate>(frames)) {
        CPPUNIT_ASSERT_EQUAL(next--, link);
        bytes += update.text.size();
      }
      CPPUNIT_ASSERT(bytes <= bound + configuration_text(2, 10000).size());
      CPPUNIT_ASSERT(next == 0 || bytes > 0);
      // Nobody acknowledges; a second later the others have their turn, and the member does not spin until
      // then.
      CPPUNIT_ASSERT(messages_in<ConfigurationUpdate>(member.take()).empty());
      if (next == 0) break;
      CPPUNIT_ASSERT(member.server.due() > member.now && member.server.due() <= member.now + 1s);
      member.now = member.server.due();
    }
    CPPUNIT_ASSERT_EQUAL(LinkId{0}, next);
  }

  // An edge that asks again and again, or slowly takes what it gets, was sent copies behind each other.
  void edgeIsNotSentACopyOfWhatIsOnItsWay() {
    TestedServer member;
    member.configure(2, 300);
    member.server.on_hello(member.now, 1, hello(11, 1));
    std::size_t copies = 0;
    for (int i = 0; i < 200; ++i) {
      member.now += 1ms;
      member.server.on_request(member.now, 1, {11, 1});
      copies += messages_in<ConfigurationUpdate>(member.take()).size();
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, copies);
    // A newer one is another matter.
    member.configure(3, 300);
    member.server.on_request(member.now, 1, {11, 1});
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, messages_in<ConfigurationUpdate>(member.take()).size());
  }

  // A large text goes at once to followers that cannot ask for it, and to no other with the journal.
  void largeTextIsLeftOutForThoseThatAsk() {
    catalog::Time now{catalog::Duration(50)};
    subscription::ClusterView view;
    control_plane::Followers followers(view);
    followers.open(now, 2, true);
    followers.add(now, {});
    for (LinkId link = 1; link <= 40; ++link) {
      protocol::Hello edge = hello(link, 0);
      edge.position = {2, 1};
      edge.fetches_configurations = link % 2 == 0;
      followers.on_hello(now, link, edge);
    }
    for (const int revision : {3, 4}) {
      catalog::Fault fault;
      followers.add_configuration(
          now, catalog::parse_configuration(configuration_text(revision, 3000 + revision), fault));
    }
    const auto sent = messages_in<protocol::Changes>(followers.take_frames(now));
    CPPUNIT_ASSERT_EQUAL(std::size_t{40}, sent.size());
    for (const auto& [link, changes] : sent) {
      subscription::ClusterView edge;
      protocol::StateSnapshot empty;
      empty.at = {2, 1};
      edge.apply(now, empty);
      edge.apply(now, changes);
      CPPUNIT_ASSERT_EQUAL(catalog::Revision{4}, edge.announced_revision());
      CPPUNIT_ASSERT_EQUAL(catalog::Revision{link % 2 == 0 ? 0u : 4u}, edge.revision());
    }
    CPPUNIT_ASSERT_EQUAL(catalog::Revision{4}, view.revision());
  }

  // DRAIN: departures waited with the whole lists that go out in turns behind a new leader.
  void departuresDoNotWaitForWholeLists() {
    constexpr LinkId edges = 300;
    catalog::Time now{catalog::Duration(50)};
    subscription::ClusterView view;
    control_plane::Followers followers(view);
    followers.open(now, 2, true);
    for (int i = 0; i < 2000; ++i) {
      protocol::Change change;
      change.kind = protocol::ChangeKind::node_updated;
      change.update.node.id = "n" + std::to_string(i);
      change.update.node.address = "1.1.1.1:" + std::to_string(i);
      change.update.node.closing = i < 20;
      followers.add(now, change);
    }
    for (LinkId link = 1; link <= edges; ++link) {
      protocol::Hello edge = hello(link, 0);
      edge.position = {1, 9};
      followers.on_hello(now, link, edge);
    }
    now += 20ms;
    const auto states = messages_in<protocol::StateSnapshot>(followers.take_frames(now));
    CPPUNIT_ASSERT_EQUAL(std::size_t{edges}, states.size());
    for (const auto& [link, state] : states) {
      CPPUNIT_ASSERT(!state.complete);
      CPPUNIT_ASSERT_EQUAL(std::size_t{20}, state.nodes.size());
    }
    // None has the same list: each waits for the whole one, and gets changes meanwhile.
    for (LinkId link = 1; link <= edges; ++link) {
      protocol::Ack other_list = ack(link, 0);
      other_list.at = states[0].second.at;
      other_list.node_list_digest = 1;
      followers.on_ack(now, link, other_list);
    }
    protocol::Change departure;
    departure.kind = protocol::ChangeKind::node_retired;
    departure.text = "n30";
    followers.add(now, departure);
    now += 20ms;
    std::set<LinkId> told, complete;
    for (int turn = 0; turn < 200 && complete.size() < edges; ++turn) {
      const auto frames = followers.take_frames(now);
      for (const auto& [link, changes] : messages_in<protocol::Changes>(frames)) told.insert(link);
      for (const auto& [link, state] : messages_in<protocol::StateSnapshot>(frames))
        if (state.complete) complete.insert(link), told.insert(link);
      CPPUNIT_ASSERT_EQUAL(std::size_t{edges}, told.size());
      CPPUNIT_ASSERT(turn > 0 || complete.size() < edges);
      now += 500ms;
      for (LinkId link = 1; link <= edges; ++link) followers.on_ack(now, link, ack(link, 0));
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{edges}, complete.size());
  }

  // CONFIG, H3 of the incident: after a late hello on an earlier link the leader's updates went into that
  // one.
  void linkOnWhichAProcessSpeaksCounts() {
    catalog::Time now{catalog::Duration(50)};
    subscription::ClusterView view;
    control_plane::Followers followers(view);
    followers.open(now, 2, true);
    followers.add(now, {});
    protocol::Hello edge = hello(11, 0);
    edge.position = {2, 1};
    followers.on_hello(now, 8, edge);
    followers.on_hello(now, 7, edge);  // on its way since before the link broke
    followers.add(now, {});
    now += 20ms;
    followers.take_frames(now);  // into the dead link
    protocol::Ack contact = ack(11, 0);
    contact.at = {2, 1};
    contact.node_list_digest = view.nodes().digest();
    followers.on_ack(now, 8, contact);
    const auto sent = messages_in<protocol::Changes>(followers.take_frames(now));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, sent.size());
    CPPUNIT_ASSERT_EQUAL(LinkId{8}, sent[0].first);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, followers.all().size());
  }

  // CONFIG: there was one way from the leader to an edge and no second one.
  void edgeThatTheLeaderDoesNotReachIsNotLate() { play_cut(true); }
  void edgeThatDoesNotReachTheLeaderIsNotLate() { play_cut(false); }

 private:
  static void play_cut(bool from_leader) {
    constexpr double max_lag_s = 1.5;  // half of the smallest `configWithinMs`
    ClusterOptions options;
    options.edges = 4;
    options.plain_nodes = 6;
    options.nodes_per_shard = 3;
    Cluster cluster(options);
    cluster.run(3);
    cluster.change(0);
    cluster.run(3);
    const std::string leader = cluster.core_address(static_cast<std::size_t>(cluster.leader()));
    const std::string edge = cluster.edge_address(1);
    if (from_leader)
      cluster.net().cut(leader, edge);
    else
      cluster.net().cut(edge, leader);
    cluster.change(0);
    const std::size_t before = cluster.checker().acknowledged();
    while (cluster.checker().acknowledged() == before) cluster.run(0.01);
    cluster.run(max_lag_s);
    CPPUNIT_ASSERT_EQUAL(cluster.checker().newest_acknowledged(),
                         std::uint64_t{cluster.follower(1)->view().revision()});
    for (const std::string& fault : cluster.checker().faults()) CPPUNIT_FAIL(fault);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ConfigurationDeliveryTest);

}  // namespace pearspar
