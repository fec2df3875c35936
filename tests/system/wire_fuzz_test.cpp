// Frames between our processes: what each kind becomes when its bytes are spoilt, and what a member and an
// edge make of it. None may end the process; what reads must read the same when it is written again.
// PEARSPAR_WIRE_ROUNDS in the environment makes the search longer.
#include <cppunit/extensions/HelperMacros.h>

#include <cstdlib>
#include <random>

#include "biella/disk.h"
#include "control_plane/member.h"
#include "fanes/agreement.h"
#include "fanes/allowance.h"
#include "fanes/delta.h"
#include "vazzoler/follower.h"

namespace pearspar {
namespace {

using fanes::ChangeKind;

std::string config(int edition, std::size_t note) {
  return "{\"edition\":" + std::to_string(edition) + ",\"note\":\"" + std::string(note, 'n') +
         "\",\"postalRoutes\":[],\"depots\":[]}";
}

fanes::NodeNews news(const std::string& id) {
  averau::Node node;
  node.id = id;
  node.depot = "d";
  node.address = "1.1.1.1:1";
  return {node, 20};
}

// One of each kind, and of each kind of the agreement's.
std::vector<std::string> true_frames() {
  std::vector<fanes::Message> all{
      fanes::Hello{7, fanes::FollowerKind::edge, "e", "z", {2, 3}, 4},
      fanes::Hello{9, fanes::FollowerKind::core, "c", "z", {}, 0},
      fanes::Welcome{3, true, {"a:1", "b:1"}},
      fanes::Standing{{2, 3}, true, 4, 5, config(5, 40), {news("n"), news("m")}, {"x", "y"}, 90},
      fanes::Standing{{}, false, 4, 5, config(5, 40), {news("n")}, {}, 100},
      fanes::Changes{{2, 3},
                     {{ChangeKind::node, 0, "", news("k")},
                      {ChangeKind::gone, 0, "n", {}},
                      {ChangeKind::lost, 0, "m", {}},
                      {ChangeKind::configuration, 6, config(6, 9), {}},
                      {ChangeKind::configuration_delta, 7, fanes::make_delta(config(6, 9), config(7, 9)), {}},
                      {}}},
      fanes::Ping{{2, 9}, 4, 90},
      fanes::Ack{7, {2, 3}, 5, 80, 99},
      fanes::Farewell{7},
      fanes::Call{32, "b:1", "PUT", "/pearspar/config", "0", config(1, 9), 400},
      fanes::Call{48, "b:1", "DELETE", "/pearspar/nodes/n", "", "", 0},
      fanes::CallAnswer{16, 200, "{}"},
      fanes::Want{7, 2, {{"d", 3}}},
      fanes::Grant{2, {{"d", 3}}},
      pramperet::Ask{7, 1, 2, {{{"f", "k"}, 2, {5, 6}}}, {{{"f", "k"}, 5}}, {}, {{{"f/b", "k"}, 3}}, {}, {}},
      pramperet::Tell{1, 2, 500, false, {{{"f", "k"}, 4, true}}, {{"f", "k"}}}};
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
  for (const fanes::Message& message : all) frames.push_back(fanes::pack(message));
  return frames;
}

class Spoiler {
 public:
  explicit Spoiler(std::uint64_t seed) : random_(seed) {}

  std::string frame() {
    std::string bytes = pick();
    switch (below(8)) {
      case 0:
        bytes.resize(below(bytes.size() + 1));
        break;
      case 1:
        bytes = bytes.substr(0, below(bytes.size())) + pick().substr(below(3));
        break;
      case 2:  // nested as deep as it goes, and a claim to more than there is
        bytes = std::string(below(5000), '\x91') + "\xdd\xff\xff\xff\xff" + bytes;
        break;
      case 3:
        for (std::size_t i = below(60); i > 0; --i) bytes.insert(below(bytes.size() + 1), 1, any());
        break;
      case 4: {  // a number far beyond what is meant, where one stands
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
  std::vector<std::string> frames_ = true_frames();
};

int rounds(int usual) {
  const char* more = std::getenv("PEARSPAR_WIRE_ROUNDS");
  return more ? std::atoi(more) : usual;
}

struct NoWire : transport::Wire {
  void keep(const std::vector<std::string>&) override {}
  bool send_to(const std::string&, std::string_view) override { return true; }
  bool send(transport::LinkId, std::string_view) override { return true; }
};

}  // namespace

class WireFuzzTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(WireFuzzTest);
  CPPUNIT_TEST(whatReadsReadsTheSameAgain);
  CPPUNIT_TEST(aMemberAndAnEdgeStandWhateverComes);
  CPPUNIT_TEST(aChangeOfANewerProgramIsCounted);
  CPPUNIT_TEST(whoIsFarBehindIsToldInFramesThatRead);
  CPPUNIT_TEST_SUITE_END();

 public:
  void whatReadsReadsTheSameAgain() {
    for (const std::string& frame : true_frames()) {
      auto message = fanes::unpack(frame);
      CPPUNIT_ASSERT(message && fanes::pack(*message) == frame);
    }
    Spoiler spoiler(11);
    int read = 0;
    for (int i = rounds(20000); i > 0; --i) {
      std::string bytes = spoiler.frame();
      if (auto message = fanes::unpack(bytes)) {
        ++read;
        std::string again = fanes::pack(*message);
        auto second = fanes::unpack(again);
        CPPUNIT_ASSERT(second && fanes::pack(*second) == again);
      }
      // And the readers of what lies on the disk and in the log.
      static_cast<void>(fanes::unpack_entry(bytes));
      static_cast<void>(fanes::unpack_snapshot(bytes));
      static_cast<void>(fanes::unpack_vote(bytes));
      static_cast<void>(fanes::unpack_steps(bytes));
      static_cast<void>(fanes::apply_delta(config(1, 9), bytes));
      control_plane::ReplicatedState state;
      state.restore(bytes);
      state.apply({1, 1, raft::EntryKind::change, bytes, {}});
    }
    CPPUNIT_ASSERT(read > 1000);
  }

  // The member may lose its lead by them, and stands for it again.
  void aMemberAndAnEdgeStandWhateverComes() {
    for (std::uint64_t seed = 1; seed <= static_cast<std::uint64_t>(rounds(20)); ++seed) {
      Spoiler spoiler(seed);
      biella::World world{seed};
      biella::SimDisk disk{world};
      NoWire wire;
      raft::Options agreement;
      agreement.address = "a:1";
      agreement.founders = agreement.seeds = {"a:1"};
      agreement.first_start = true;
      agreement.fresh_id = 5;
      control_plane::ControllerOptions controller;
      controller.inner_address = "a:1";
      controller.life = 5;
      control_plane::Member member(wire, disk, agreement, controller);
      CPPUNIT_ASSERT(!member.start(world.now()));
      vazzoler::Follower edge(wire, {77, "e", "z", {"a:1"}});
      edge.start(world.now());
      edge.link_up(1, "a:1");
      for (int i = 0; i < 300; ++i) {
        world.run_until(world.now() + averau::Duration(0.01));
        std::string frame = spoiler.frame();
        member.link_frame(world.now(), 1 + spoiler.below(4), frame);
        if (spoiler.below(40) == 0) member.link_down(1 + spoiler.below(4));
        member.advance([&] { return world.now(); });
        edge.frame(world.now(), 1, frame);
        edge.tick(world.now());
      }
      CPPUNIT_ASSERT(member.unreadable_frames() > 0 && edge.unread() > 0);
    }
  }

  // Passed over, and its number with it: else all that follow it stand one place too early.
  void aChangeOfANewerProgramIsCounted() {
    fanes::Changes changes{{2, 3}, {{ChangeKind::gone, 0, "n", {}}, {}, {ChangeKind::gone, 0, "m", {}}}};
    changes.changes[1].kind = static_cast<ChangeKind>(40);
    auto message = fanes::unpack(fanes::pack(changes));
    vazzoler::View view;
    averau::Time now{averau::Duration(50)};
    view.apply(now, fanes::Standing{{2, 3}, true, 0, 0, "", {}, {}, 100});
    CPPUNIT_ASSERT(view.apply(now, std::get<fanes::Changes>(*message)) == vazzoler::View::Taken::news);
    CPPUNIT_ASSERT(view.at() == (fanes::Position{2, 6}));
    CPPUNIT_ASSERT(view.nodes().is_gone("n") && view.nodes().is_gone("m"));
  }

  // Configurations like nothing before them, while an edge is cut off: a frame of them all would end its link
  // each time that it comes back.
  void whoIsFarBehindIsToldInFramesThatRead() {
    averau::Time now{averau::Duration(50)};
    vazzoler::View view, edge;
    control_plane::Followers followers{view};
    followers.open(now, 2, true);
    followers.add(now, {});
    auto exchange = [&] {
      for (int i = 0; i < 3; ++i) {
        now += averau::Duration(0.02);
        for (const control_plane::LinkFrame& out : followers.take_frames(now)) {
          CPPUNIT_ASSERT(out.bytes.size() <= fanes::most_frame);
          auto message = fanes::unpack(out.bytes);
          if (const auto* standing = std::get_if<fanes::Standing>(&*message)) edge.apply(now, *standing);
          if (const auto* changes = std::get_if<fanes::Changes>(&*message)) edge.apply(now, *changes);
          followers.on_ack(now, out.link, {77, edge.at(), edge.edition()});
        }
      }
    };
    fanes::Hello hello{77, fanes::FollowerKind::edge, "e", "z", {}, 0};
    followers.on_hello(now, 7, hello);
    exchange();
    CPPUNIT_ASSERT(edge.at() == view.at());
    followers.on_closed(7);
    for (int edition = 1; edition <= 6; ++edition) {
      averau::Fault fault;
      std::string note(900'000, ' ');
      for (std::size_t at = 0; at < note.size(); ++at)
        note[at] = static_cast<char>('a' + (at * static_cast<std::size_t>(edition) * 7919) % 25);
      std::string text = config(edition, 0);
      text.insert(text.find("\"postal"), "\"more\":\"" + note + "\",");
      followers.add_configuration(now, averau::read_configuration(text, fault));
      exchange();
    }
    hello.have = edge.at();
    hello.edition = edge.edition();
    followers.on_hello(now, 8, hello);
    exchange();
    CPPUNIT_ASSERT_EQUAL(averau::Edition{6}, edge.edition());
    CPPUNIT_ASSERT(edge.at() == view.at());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(WireFuzzTest);

}  // namespace pearspar
