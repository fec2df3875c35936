// Malformed and unexpected calls, changes and frames, and outdated information, at a single member.
#include <cppunit/extensions/HelperMacros.h>

#include <map>

#include "control_plane/member.h"
#include "protocol/messages.h"
#include "simulation/disk.h"

namespace pearspar::control_plane {
namespace {

struct RecordingTransport : transport::Transport {
  std::vector<std::string> to_members;
  std::map<LinkId, std::vector<std::string>> to_links;
  void set_targets(const std::vector<std::string>&) override {}
  bool send_to(const std::string&, std::string_view frame) override {
    to_members.emplace_back(frame);
    return true;
  }
  bool send(LinkId link, std::string_view frame) override {
    to_links[link].emplace_back(frame);
    return true;
  }
  template <typename Kind>
  std::vector<Kind> decode_all(const std::vector<std::string>& frames) const {
    std::vector<Kind> found;
    for (const std::string& frame : frames)
      if (auto message = protocol::unpack(frame))
        if (auto* kind = std::get_if<Kind>(&*message)) found.push_back(*kind);
    return found;
  }
};

std::string config(const std::string& revision, const std::string& note = "a") {
  return R"({"edition":)" + revision + R"(,"note":")" + note + R"(","postalRoutes":[],"depots":[]})";
}

struct SingleMember {
  simulation::World world{1};
  simulation::SimDisk disk{world};
  RecordingTransport wire;
  Member member;
  CallerId next = 0;
  std::map<CallerId, Reply> replies;

  explicit SingleMember(bool start = true) : member(wire, disk, raft_options(), controller_options()) {
    if (start) lead();
  }
  static raft::Options raft_options() {
    raft::Options options;
    options.address = "a:1";
    options.founders = options.seeds = {"a:1"};
    options.first_start = true;
    options.fresh_id = 5;
    return options;
  }
  static ControllerOptions controller_options() {
    ControllerOptions options;
    options.inner_address = "a:1";
    options.control_address = "a:2";
    options.incarnation = 5;
    return options;
  }
  void lead() {
    CPPUNIT_ASSERT(!member.start(world.now()));
    run(2);
    CPPUNIT_ASSERT(member.controller().is_active());
  }
  void advance() {
    for (Reply& reply : member.advance([this] { return world.now(); })) replies[reply.caller] = reply;
  }
  void run(double seconds) {
    for (double t = 0; t < seconds; t += 0.01) {
      world.run_until(world.now() + Duration(0.01));
      advance();
    }
  }
  int call(const std::string& method, const std::string& path, const std::string& match = "",
           const std::string& body = "") {
    member.call(world.now(), ++next, method, path, match, body);
    advance();
    return replies.count(next) ? replies[next].status : 0;
  }
  int change_configuration(const std::string& match, const std::string& text) {
    return call("PUT", "/pearspar/config", match, text);
  }
  int heartbeat(const std::string& id, int seq, const std::string& state) {
    return call("PUT", "/pearspar/nodes/" + id, "",
                R"({"depot":"d","address":"1.1.1.1:)" + std::to_string(id[0]) + R"(","nodeState":")" + state +
                    R"(","callSeq":)" + std::to_string(seq) + "}");
  }
  void frame(LinkId link, protocol::Message message) {
    member.link_frame(world.now(), link, protocol::pack(message));
    advance();
  }
  const catalog::Node* node(const char* id) const { return member.controller().view().nodes().find(id); }
};

}  // namespace

class MalformedCallsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(MalformedCallsTest);
  CPPUNIT_TEST(methodFragmentsAreRejected);
  CPPUNIT_TEST(forwardedStatusCallIsRejected);
  CPPUNIT_TEST(malformedConfigurationChangesAreRejected);
  CPPUNIT_TEST(closingNodeThatExpiredStaysGone);
  CPPUNIT_TEST(stalledLeaderKeepsItsNodes);
  CPPUNIT_TEST(hellosBeforeStoreOpensAreAnswered);
  CPPUNIT_TEST(oversizedAnswerIsNotForwarded);
  CPPUNIT_TEST(unreadableStateDoesNotServe);
  CPPUNIT_TEST_SUITE_END();

 public:
  void methodFragmentsAreRejected() {
    SingleMember harness;
    harness.heartbeat("n", 1, "at_post");
    for (const char* method : {"", "D", "DEL", "or", "P", "PU", " ", "delete", "E"})
      for (const char* path :
           {"/pearspar/nodes/n", "/pearspar/config", "/pearspar/status", "/pearspar/nodes"})
        CPPUNIT_ASSERT_EQUAL_MESSAGE(std::string(method) + " " + path, 405, harness.call(method, path));
    CPPUNIT_ASSERT(harness.node("n"));
    SingleMember leaderless(false);  // also before there is a leader
    CPPUNIT_ASSERT(!leaderless.member.start(leaderless.world.now()));
    CPPUNIT_ASSERT_EQUAL(405, leaderless.call("P", "/pearspar/config"));
    CPPUNIT_ASSERT_EQUAL(404, leaderless.call("PUT", "/pearspar/other"));
  }

  // A status is local to its member; another program version may forward the call all the same.
  void forwardedStatusCallIsRejected() {
    SingleMember harness;
    auto before = harness.member.controller().view().at();
    harness.frame(7, protocol::ControlCall{1, "b:1", "GET", "/pearspar/status", "", "", 500});
    CPPUNIT_ASSERT(before == harness.member.controller().view().at());
    harness.run(0.1);
    auto answers = harness.wire.decode_all<protocol::ControlReply>(harness.wire.to_members);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, answers.size());
    CPPUNIT_ASSERT_EQUAL(std::uint32_t{404}, answers[0].status);
  }

  void malformedConfigurationChangesAreRejected() {
    SingleMember harness;
    for (const char* match : {"", "x", "-1", "1.0", "0x0", "18446744073709551616", "\"", "0,0", "*"})
      CPPUNIT_ASSERT_EQUAL_MESSAGE(match, 400, harness.change_configuration(match, config("5")));
    for (const char* revision : {"0", "-1", "0.5", "7.5", "9223372036854775808", "\"7\"", "null", "1e400"})
      CPPUNIT_ASSERT_EQUAL_MESSAGE(revision, 400, harness.change_configuration("0", config(revision)));
    CPPUNIT_ASSERT_EQUAL(400, harness.change_configuration("0", config("5") + "x"));
    CPPUNIT_ASSERT_EQUAL(400, harness.change_configuration("0", ""));
    CPPUNIT_ASSERT_EQUAL(400, harness.change_configuration("18446744073709551615", config("5")));
    CPPUNIT_ASSERT_EQUAL(catalog::Revision{0}, harness.member.state().revision());
    CPPUNIT_ASSERT_EQUAL(200, harness.change_configuration("\"0\"", config("5")));
    CPPUNIT_ASSERT_EQUAL(400, harness.change_configuration("5", config("5", "b")));
    CPPUNIT_ASSERT_EQUAL(200,
                         harness.change_configuration("9", config("5")));  // the same text, whatever its base
    CPPUNIT_ASSERT_EQUAL(200, harness.change_configuration("5", config("7")));
    CPPUNIT_ASSERT_EQUAL(
        412, harness.change_configuration("5", config("7") + "\n"));  // other bytes, so another change
    int both = harness.change_configuration("5", R"({"edition":9,"postalRoutes":[{}],"depots":[]})");
    CPPUNIT_ASSERT(both == 400 || both == 412);
    CPPUNIT_ASSERT_EQUAL(200, harness.change_configuration("0", config("5")));
  }

  // A late heartbeat from before it was closing arrives after it has expired.
  void closingNodeThatExpiredStaysGone() {
    SingleMember harness;
    harness.heartbeat("n", 1, "at_post");
    harness.heartbeat("n", 9, "closing_out");
    harness.run(9);
    CPPUNIT_ASSERT(!harness.node("n"));
    CPPUNIT_ASSERT_EQUAL(200, harness.heartbeat("n", 8, "at_post"));
    CPPUNIT_ASSERT(!harness.node("n"));
    CPPUNIT_ASSERT_EQUAL(200, harness.heartbeat("n", 10, "closing_out"));
    // The same at a follower, when a new leader that does not know the node sends its full state.
    subscription::ClusterView view;
    catalog::Node node;
    node.id = "n";
    node.address = "1.1.1.1:1";
    node.closing = true;
    view.apply(harness.world.now(), protocol::StateSnapshot{{2, 1}, true, 0, 0, "", {{node, 0}}, {}, 100});
    view.apply(harness.world.now(), protocol::StateSnapshot{{3, 1}, true, 0, 0, "", {}, {}, 100});
    node.closing = false;
    view.apply(harness.world.now(),
               protocol::Changes{{3, 1}, {{protocol::ChangeKind::node_updated, 0, "", {node, 0}}}});
    CPPUNIT_ASSERT(!view.nodes().find("n"));
  }

  // Time during a stall of the leader itself must not count as silence of the nodes.
  void stalledLeaderKeepsItsNodes() {
    SingleMember harness;
    harness.run(4);
    harness.heartbeat("n", 1, "at_post");
    harness.heartbeat("m", 1, "at_post");
    harness.world.run_until(harness.world.now() + Duration(20));
    harness.advance();
    CPPUNIT_ASSERT(harness.node("n"));
    harness.run(2);
    CPPUNIT_ASSERT(harness.node("n"));
    harness.heartbeat("n", 2, "at_post");
    harness.run(5);
    CPPUNIT_ASSERT(harness.node("n"));
    CPPUNIT_ASSERT(!harness.node("m"));  // silent long enough while the leader was running
  }

  // Edges send a hello once per link, here while the disk is still full.
  void hellosBeforeStoreOpensAreAnswered() {
    SingleMember harness(false);
    harness.disk.set_full(true);
    CPPUNIT_ASSERT(harness.member.start(harness.world.now()));
    for (LinkId link : {7, 8, 9})
      harness.frame(link, protocol::Hello{link, protocol::FollowerKind::edge, "e", "z", {}, 0});
    harness.member.link_down(8);
    harness.disk.set_full(false);
    harness.lead();
    CPPUNIT_ASSERT(!harness.wire.decode_all<protocol::Welcome>(harness.wire.to_links[7]).empty());
    CPPUNIT_ASSERT(!harness.wire.decode_all<protocol::StateSnapshot>(harness.wire.to_links[9]).empty());
    CPPUNIT_ASSERT(harness.wire.to_links[8].empty());
  }

  // A frame beyond the limit would close the link, and the raft messages on it would be lost.
  void oversizedAnswerIsNotForwarded() {
    SingleMember harness;
    CPPUNIT_ASSERT_EQUAL(200, harness.change_configuration("0", config("1", std::string(1'000'000, '\x01'))));
    harness.frame(7, protocol::ControlCall{1, "b:1", "GET", "/pearspar/snapshot", "", "", 500});
    for (std::uint64_t i = 2; i < 12; ++i)
      harness.member.link_frame(
          harness.world.now(), 7,
          protocol::pack(protocol::ControlCall{i, "b:1", "GET", "/pearspar/config", "", "", 500}));
    harness.advance();
    std::size_t bytes = 0, answered = 0;
    for (const std::string& frame : harness.wire.to_members) {
      CPPUNIT_ASSERT(frame.size() <= protocol::max_frame_bytes);
      bytes += frame.size();
    }
    for (const auto& answer : harness.wire.decode_all<protocol::ControlReply>(harness.wire.to_members))
      answered += answer.status == 200;
    CPPUNIT_ASSERT_EQUAL(std::size_t{11},
                         harness.wire.decode_all<protocol::ControlReply>(harness.wire.to_members).size());
    CPPUNIT_ASSERT(answered >= 2 && bytes <= protocol::max_frame_bytes);
  }

  // A truncated snapshot must not pass for an empty state.
  void unreadableStateDoesNotServe() {
    ReplicatedState state;
    std::string text = config("3");
    state.apply(
        {1, 1, raft::EntryKind::change, ReplicatedState::encode_change(0, 3, digest_of(text), text), {}});
    std::string whole = state.take_snapshot();
    for (std::size_t size = 1; size < whole.size(); ++size) {
      ReplicatedState other;
      other.restore(whole.substr(0, size));
      CPPUNIT_ASSERT_MESSAGE(std::to_string(size), !other.may_serve());
      ReplicatedState third;
      third.restore(other.take_snapshot());
      CPPUNIT_ASSERT_MESSAGE(std::to_string(size), !third.may_serve());
      other.restore(whole);
      CPPUNIT_ASSERT(other.may_serve() && other.revision() == 3);
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(MalformedCallsTest);

}  // namespace pearspar::control_plane
