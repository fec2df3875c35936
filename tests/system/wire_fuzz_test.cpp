// Corrupt frames between the system's processes: none may crash a member or an edge, and a frame that is
// readable must be unchanged when it is encoded and decoded again. PEARSPAR_WIRE_ROUNDS sets the number of
// rounds.
#include <cppunit/extensions/HelperMacros.h>

#include <cstdlib>
#include <random>

#include "control_plane/member.h"
#include "protocol/delta.h"
#include "protocol/quota_codec.h"
#include "protocol/raft_codec.h"
#include "simulation/disk.h"
#include "subscription/follower.h"

namespace pearspar {
namespace {

using protocol::ChangeKind;

std::string config(int revision, std::size_t note) {
  return "{\"edition\":" + std::to_string(revision) + ",\"note\":\"" + std::string(note, 'n') +
         "\",\"postalRoutes\":[],\"depots\":[]}";
}

protocol::NodeUpdate node_update(const std::string& id) {
  catalog::Node node;
  node.id = id;
  node.service = "d";
  node.address = "1.1.1.1:1";
  return {node, 20};
}

// A message of each kind, and a Raft message of each kind.
std::vector<std::string> valid_frames() {
  std::vector<protocol::Message> all{
      protocol::Hello{7, protocol::FollowerKind::edge, "e", "z", {2, 3}, 4},
      protocol::Hello{9, protocol::FollowerKind::core, "c", "z", {}, 0},
      protocol::Welcome{3, true, {"a:1", "b:1"}},
      protocol::StateSnapshot{
          {2, 3}, true, 4, 5, config(5, 40), {node_update("n"), node_update("m")}, {"x", "y"}, 90},
      protocol::StateSnapshot{{}, false, 4, 5, config(5, 40), {node_update("n")}, {}, 100},
      protocol::Changes{
          {2, 3},
          {{ChangeKind::node_updated, 0, "", node_update("k")},
           {ChangeKind::node_retired, 0, "n", {}},
           {ChangeKind::node_removed, 0, "m", {}},
           {ChangeKind::configuration, 6, config(6, 9), {}},
           {ChangeKind::configuration_delta, 7, protocol::make_delta(config(6, 9), config(7, 9)), {}},
           {}}},
      protocol::Ping{{2, 9}, 4, 90},
      protocol::Ack{7, {2, 3}, 5, 80, 99},
      protocol::Goodbye{7},
      protocol::ControlCall{32, "b:1", "PUT", "/pearspar/config", "0", config(1, 9), 400},
      protocol::ControlCall{48, "b:1", "DELETE", "/pearspar/nodes/n", "", "", 0},
      protocol::ControlReply{16, 200, "{}"},
      protocol::TokenRequest{7, 2, {{"d", 3}}},
      protocol::TokenGrant{2, {{"d", 3}}},
      quota::QuotaRequest{
          7, 1, 2, {{{"f", "k"}, 2, {5, 6}}}, {{{"f", "k"}, 5}}, {}, {{{"f/b", "k"}, 3}}, {}, {}},
      quota::QuotaReply{1, 2, 500, false, {{{"f", "k"}, 4, true}}, {{"f", "k"}}}};
  for (int kind = 0; kind <= static_cast<int>(raft::MessageKind::leave); ++kind) {
    raft::Message message;
    message.kind = static_cast<raft::MessageKind>(kind);
    message.from = 11;
    message.to = 5;
    message.from_address = "b:1";
    message.term = 2;
    message.index = 3;
    message.log_term = 1;
    message.entries = {{4, 2, raft::EntryKind::change, "data", {}},
                       {5, 2, raft::EntryKind::membership, "", {{{11, "b:1"}, {5, "a:1"}}, 2}}};
    message.snapshot = {9, 2, {{{11, "b:1"}, {5, "a:1"}}, 2}, "state"};
    message.total = 5;
    all.emplace_back(message);
  }
  std::vector<std::string> frames;
  for (const protocol::Message& message : all) frames.push_back(protocol::pack(message));
  return frames;
}

class FrameCorrupter {
 public:
  explicit FrameCorrupter(std::uint64_t seed) : random_(seed) {}

  std::string frame() {
    std::string bytes = pick();
    switch (below(8)) {
      case 0:
        bytes.resize(below(bytes.size() + 1));
        break;
      case 1:
        bytes = bytes.substr(0, below(bytes.size())) + pick().substr(below(3));
        break;
      case 2:  // deep nesting, and an array longer than the frame
        bytes = std::string(below(5000), '\x91') + "\xdd\xff\xff\xff\xff" + bytes;
        break;
      case 3:
        for (std::size_t i = below(60); i > 0; --i) bytes.insert(below(bytes.size() + 1), 1, any());
        break;
      case 4: {  // a number that is far too large
        static const std::string great = "\xcf\xff\xff\xff\xff\xff\xff\xff\xff";
        bytes.replace(below(bytes.size()), 1, great.substr(0, below(2) ? 9 : 5));
        break;
      }
      case 5:
        bytes.assign(below(300), 0);
        for (char& byte : bytes) byte = any();
        break;
      default:
        for (std::size_t i = 1 + below(4); i > 0; --i) bytes[below(bytes.size())] = any();
    }
    return bytes;
  }
  std::size_t below(std::size_t end) { return random_() % end; }

 private:
  const std::string& pick() { return frames_[below(frames_.size())]; }
  char any() { return static_cast<char>(random_()); }
  std::mt19937_64 random_;
  std::vector<std::string> frames_ = valid_frames();
};

int rounds(int usual) {
  const char* more = std::getenv("PEARSPAR_WIRE_ROUNDS");
  return more ? std::atoi(more) : usual;
}

struct NullTransport : transport::Transport {
  void set_targets(const std::vector<std::string>&) override {}
  bool send_to(const std::string&, std::string_view) override { return true; }
  bool send(transport::LinkId, std::string_view) override { return true; }
};

}  // namespace

class WireFuzzTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(WireFuzzTest);
  CPPUNIT_TEST(readableFramesRoundTrip);
  CPPUNIT_TEST(memberAndEdgeSurviveCorruptFrames);
  CPPUNIT_TEST(unknownChangeKeepsItsNumber);
  CPPUNIT_TEST(laggingEdgeGetsFramesWithinTheLimit);
  CPPUNIT_TEST_SUITE_END();

 public:
  void readableFramesRoundTrip() {
    for (const std::string& frame : valid_frames()) {
      auto message = protocol::unpack(frame);
      CPPUNIT_ASSERT(message && protocol::pack(*message) == frame);
    }
    FrameCorrupter corrupter(11);
    int read = 0;
    for (int i = rounds(20000); i > 0; --i) {
      std::string bytes = corrupter.frame();
      if (auto message = protocol::unpack(bytes)) {
        ++read;
        std::string again = protocol::pack(*message);
        auto second = protocol::unpack(again);
        CPPUNIT_ASSERT(second && protocol::pack(*second) == again);
      }
      // The decoders of stored data and of log entries must not crash either.
      static_cast<void>(protocol::unpack_entry(bytes));
      static_cast<void>(protocol::unpack_snapshot(bytes));
      static_cast<void>(protocol::unpack_vote(bytes));
      static_cast<void>(protocol::unpack_quota_commands(bytes));
      static_cast<void>(protocol::apply_delta(config(1, 9), bytes));
      control_plane::ReplicatedState state;
      state.restore(bytes);
      state.apply({1, 1, raft::EntryKind::change, bytes, {}});
    }
    CPPUNIT_ASSERT(read > 1000);
  }

  // The member may lose its leadership by a corrupt frame; it then stands for election again.
  void memberAndEdgeSurviveCorruptFrames() {
    for (std::uint64_t seed = 1; seed <= static_cast<std::uint64_t>(rounds(20)); ++seed) {
      FrameCorrupter corrupter(seed);
      simulation::World world{seed};
      simulation::SimDisk disk{world};
      NullTransport transport;
      raft::Options raft_options;
      raft_options.address = "a:1";
      raft_options.founders = raft_options.seeds = {"a:1"};
      raft_options.first_start = true;
      raft_options.fresh_id = 5;
      control_plane::ControllerOptions controller;
      controller.inner_address = "a:1";
      controller.incarnation = 5;
      control_plane::Member member(transport, disk, raft_options, controller);
      CPPUNIT_ASSERT(!member.start(world.now()));
      subscription::Follower edge(transport, {77, "e", "z", {"a:1"}});
      edge.start(world.now());
      edge.link_up(1, "a:1");
      for (int i = 0; i < 300; ++i) {
        world.run_until(world.now() + catalog::Duration(0.01));
        std::string frame = corrupter.frame();
        member.link_frame(world.now(), 1 + corrupter.below(4), frame);
        if (corrupter.below(40) == 0) member.link_down(1 + corrupter.below(4));
        member.advance([&] { return world.now(); });
        edge.link_frame(world.now(), 1, frame);
        edge.tick(world.now());
      }
      CPPUNIT_ASSERT(member.unreadable_frames() > 0 && edge.unreadable_frames() > 0);
    }
  }

  // A change of an unknown kind is skipped, but counted: the changes after it must keep their numbers.
  void unknownChangeKeepsItsNumber() {
    protocol::Changes changes{
        {2, 3}, {{ChangeKind::node_retired, 0, "n", {}}, {}, {ChangeKind::node_retired, 0, "m", {}}}};
    changes.changes[1].kind = static_cast<ChangeKind>(40);
    auto message = protocol::unpack(protocol::pack(changes));
    subscription::ClusterView view;
    catalog::Time now{catalog::Duration(50)};
    view.apply(now, protocol::StateSnapshot{{2, 3}, true, 0, 0, "", {}, {}, 100});
    CPPUNIT_ASSERT(view.apply(now, std::get<protocol::Changes>(*message)) ==
                   subscription::ClusterView::ApplyResult::applied);
    CPPUNIT_ASSERT(view.at() == (protocol::Position{2, 6}));
    CPPUNIT_ASSERT(view.nodes().is_retired("n") && view.nodes().is_retired("m"));
  }

  // Large configurations without common parts, while an edge is disconnected: one frame with all of them
  // would exceed the limit and close the link each time.
  void laggingEdgeGetsFramesWithinTheLimit() {
    catalog::Time now{catalog::Duration(50)};
    subscription::ClusterView view, edge;
    control_plane::Followers followers{view};
    followers.open(now, 2, true);
    followers.add(now, {});
    auto exchange = [&] {
      for (int i = 0; i < 3; ++i) {
        now += catalog::Duration(0.02);
        for (const control_plane::LinkFrame& out : followers.take_frames(now)) {
          CPPUNIT_ASSERT(out.bytes.size() <= protocol::max_frame_bytes);
          auto message = protocol::unpack(out.bytes);
          if (const auto* standing = std::get_if<protocol::StateSnapshot>(&*message))
            edge.apply(now, *standing);
          if (const auto* changes = std::get_if<protocol::Changes>(&*message)) edge.apply(now, *changes);
          followers.on_ack(now, out.link, {77, edge.at(), edge.revision()});
        }
      }
    };
    protocol::Hello hello{77, protocol::FollowerKind::edge, "e", "z", {}, 0};
    followers.on_hello(now, 7, hello);
    exchange();
    CPPUNIT_ASSERT(edge.at() == view.at());
    followers.on_closed(7);
    for (int revision = 1; revision <= 6; ++revision) {
      catalog::Fault fault;
      std::string note(900'000, ' ');
      for (std::size_t at = 0; at < note.size(); ++at)
        note[at] = static_cast<char>('a' + (at * static_cast<std::size_t>(revision) * 7919) % 25);
      std::string text = config(revision, 0);
      text.insert(text.find("\"postal"), "\"more\":\"" + note + "\",");
      followers.add_configuration(now, catalog::parse_configuration(text, fault));
      exchange();
    }
    hello.position = edge.at();
    hello.revision = edge.revision();
    followers.on_hello(now, 8, hello);
    exchange();
    CPPUNIT_ASSERT_EQUAL(catalog::Revision{6}, edge.revision());
    CPPUNIT_ASSERT(edge.at() == view.at());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(WireFuzzTest);

}  // namespace pearspar
