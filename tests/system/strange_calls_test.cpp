// What nobody should send and somebody may: calls, orders and frames at the edges of what is spoken, and
// moments at which the office could take the past for the present. One member alone.
#include <cppunit/extensions/HelperMacros.h>

#include <map>

#include "biella/disk.h"
#include "protocol/messages.h"
#include "sennes/member.h"

namespace pearspar::sennes {
namespace {

struct KeptWire : transport::Transport {
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
  std::vector<Kind> told(const std::vector<std::string>& frames) const {
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

struct Alone {
  biella::World world{1};
  biella::SimDisk disk{world};
  KeptWire wire;
  Member member;
  Asker next = 0;
  std::map<Asker, Reply> replies;

  explicit Alone(bool start = true) : member(wire, disk, agreement(), office()) {
    if (start) lead();
  }
  static raft::Options agreement() {
    raft::Options options;
    options.address = "a:1";
    options.founders = options.seeds = {"a:1"};
    options.first_start = true;
    options.fresh_id = 5;
    return options;
  }
  static OfficeOptions office() {
    OfficeOptions options;
    options.inner_address = "a:1";
    options.control_address = "a:2";
    options.incarnation = 5;
    return options;
  }
  void lead() {
    CPPUNIT_ASSERT(!member.start(world.now()));
    run(2);
    CPPUNIT_ASSERT(member.office().in_office());
  }
  void advance() {
    for (Reply& reply : member.advance([this] { return world.now(); })) replies[reply.asker] = reply;
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
  int order(const std::string& match, const std::string& text) {
    return call("PUT", "/pearspar/config", match, text);
  }
  int beat(const std::string& id, int seq, const std::string& state) {
    return call("PUT", "/pearspar/nodes/" + id, "",
                R"({"depot":"d","address":"1.1.1.1:)" + std::to_string(id[0]) + R"(","nodeState":")" + state +
                    R"(","callSeq":)" + std::to_string(seq) + "}");
  }
  void frame(LinkId link, protocol::Message message) {
    member.link_frame(world.now(), link, protocol::pack(message));
    advance();
  }
  const catalog::Node* node(const char* id) const { return member.office().view().nodes().find(id); }
};

}  // namespace

class StrangeCallsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(StrangeCallsTest);
  CPPUNIT_TEST(onlyWholeMethodsAreKnown);
  CPPUNIT_TEST(statusOverALinkIsNoLeave);
  CPPUNIT_TEST(ordersOfEveryShape);
  CPPUNIT_TEST(aNodeThatClosedAndFellSilentNeverOpens);
  CPPUNIT_TEST(whoStoodStillLosesNoNodes);
  CPPUNIT_TEST(whoWasHeardBeforeTheStoreOpenedIsTold);
  CPPUNIT_TEST(aLongAnswerIsNotPassedOn);
  CPPUNIT_TEST(aStateThatDoesNotReadLeadsNowhere);
  CPPUNIT_TEST_SUITE_END();

 public:
  void onlyWholeMethodsAreKnown() {
    Alone one;
    one.beat("n", 1, "at_post");
    for (const char* method : {"", "D", "DEL", "or", "P", "PU", " ", "delete", "E"})
      for (const char* path :
           {"/pearspar/nodes/n", "/pearspar/config", "/pearspar/status", "/pearspar/nodes"})
        CPPUNIT_ASSERT_EQUAL_MESSAGE(std::string(method) + " " + path, 405, one.call(method, path));
    CPPUNIT_ASSERT(one.node("n"));
    Alone early(false);  // whoever leads
    CPPUNIT_ASSERT(!early.member.start(early.world.now()));
    CPPUNIT_ASSERT_EQUAL(405, early.call("P", "/pearspar/config"));
    CPPUNIT_ASSERT_EQUAL(404, early.call("PUT", "/pearspar/other"));
  }

  // A member's status is its own, and another revision of the program may pass such a call on.
  void statusOverALinkIsNoLeave() {
    Alone one;
    auto before = one.member.office().view().at();
    one.frame(7, protocol::ControlCall{1, "b:1", "GET", "/pearspar/status", "", "", 500});
    CPPUNIT_ASSERT(before == one.member.office().view().at());
    one.run(0.1);
    auto answers = one.wire.told<protocol::ControlReply>(one.wire.to_members);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, answers.size());
    CPPUNIT_ASSERT_EQUAL(std::uint32_t{404}, answers[0].status);
  }

  void ordersOfEveryShape() {
    Alone one;
    for (const char* match : {"", "x", "-1", "1.0", "0x0", "18446744073709551616", "\"", "0,0", "*"})
      CPPUNIT_ASSERT_EQUAL_MESSAGE(match, 400, one.order(match, config("5")));
    for (const char* revision : {"0", "-1", "0.5", "7.5", "9223372036854775808", "\"7\"", "null", "1e400"})
      CPPUNIT_ASSERT_EQUAL_MESSAGE(revision, 400, one.order("0", config(revision)));
    CPPUNIT_ASSERT_EQUAL(400, one.order("0", config("5") + "x"));
    CPPUNIT_ASSERT_EQUAL(400, one.order("0", ""));
    CPPUNIT_ASSERT_EQUAL(400, one.order("18446744073709551615", config("5")));
    CPPUNIT_ASSERT_EQUAL(catalog::Revision{0}, one.member.state().revision());
    CPPUNIT_ASSERT_EQUAL(200, one.order("\"0\"", config("5")));
    CPPUNIT_ASSERT_EQUAL(400, one.order("5", config("5", "b")));
    CPPUNIT_ASSERT_EQUAL(200, one.order("9", config("5")));  // that very text, whatever it builds on
    CPPUNIT_ASSERT_EQUAL(200, one.order("5", config("7")));
    CPPUNIT_ASSERT_EQUAL(412, one.order("5", config("7") + "\n"));  // other bytes are another text
    int both = one.order("5", R"({"edition":9,"postalRoutes":[{}],"depots":[]})");
    CPPUNIT_ASSERT(both == 400 || both == 412);
    CPPUNIT_ASSERT_EQUAL(200, one.order("0", config("5")));
  }

  // A word of its better days comes in late, after its silence has taken it off the list.
  void aNodeThatClosedAndFellSilentNeverOpens() {
    Alone one;
    one.beat("n", 1, "at_post");
    one.beat("n", 9, "closing_out");
    one.run(9);
    CPPUNIT_ASSERT(!one.node("n"));
    CPPUNIT_ASSERT_EQUAL(200, one.beat("n", 8, "at_post"));
    CPPUNIT_ASSERT(!one.node("n"));
    CPPUNIT_ASSERT_EQUAL(200, one.beat("n", 10, "closing_out"));
    // So too at who follows, where a leader that never heard of it tells what stands.
    subscription::ClusterView view;
    catalog::Node node;
    node.id = "n";
    node.address = "1.1.1.1:1";
    node.closing = true;
    view.apply(one.world.now(), protocol::StateSnapshot{{2, 1}, true, 0, 0, "", {{node, 0}}, {}, 100});
    view.apply(one.world.now(), protocol::StateSnapshot{{3, 1}, true, 0, 0, "", {}, {}, 100});
    node.closing = false;
    view.apply(one.world.now(),
               protocol::Changes{{3, 1}, {{protocol::ChangeKind::node_updated, 0, "", {node, 0}}}});
    CPPUNIT_ASSERT(!view.nodes().find("n"));
  }

  // Its clock runs on while it stands still: that nothing was heard says nothing about the nodes.
  void whoStoodStillLosesNoNodes() {
    Alone one;
    one.run(4);
    one.beat("n", 1, "at_post");
    one.beat("m", 1, "at_post");
    one.world.run_until(one.world.now() + Duration(20));
    one.advance();
    CPPUNIT_ASSERT(one.node("n"));
    one.run(2);
    CPPUNIT_ASSERT(one.node("n"));
    one.beat("n", 2, "at_post");
    one.run(5);
    CPPUNIT_ASSERT(one.node("n"));
    CPPUNIT_ASSERT(!one.node("m"));  // silent for as long as it takes, while we listened
  }

  // An edge says hello once on each link, and the disk takes nothing yet.
  void whoWasHeardBeforeTheStoreOpenedIsTold() {
    Alone one(false);
    one.disk.set_full(true);
    CPPUNIT_ASSERT(one.member.start(one.world.now()));
    for (LinkId link : {7, 8, 9})
      one.frame(link, protocol::Hello{link, protocol::FollowerKind::edge, "e", "z", {}, 0});
    one.member.link_down(8);
    one.disk.set_full(false);
    one.lead();
    CPPUNIT_ASSERT(!one.wire.told<protocol::Welcome>(one.wire.to_links[7]).empty());
    CPPUNIT_ASSERT(!one.wire.told<protocol::StateSnapshot>(one.wire.to_links[9]).empty());
    CPPUNIT_ASSERT(one.wire.to_links[8].empty());
  }

  // A frame over the bound ends the link that it goes on, and the agreement's words with it.
  void aLongAnswerIsNotPassedOn() {
    Alone one;
    CPPUNIT_ASSERT_EQUAL(200, one.order("0", config("1", std::string(1'000'000, '\x01'))));
    one.frame(7, protocol::ControlCall{1, "b:1", "GET", "/pearspar/snapshot", "", "", 500});
    for (std::uint64_t i = 2; i < 12; ++i)
      one.member.link_frame(
          one.world.now(), 7,
          protocol::pack(protocol::ControlCall{i, "b:1", "GET", "/pearspar/config", "", "", 500}));
    one.advance();
    std::size_t bytes = 0, told = 0;
    for (const std::string& frame : one.wire.to_members) {
      CPPUNIT_ASSERT(frame.size() <= protocol::max_frame_bytes);
      bytes += frame.size();
    }
    for (const auto& answer : one.wire.told<protocol::ControlReply>(one.wire.to_members))
      told += answer.status == 200;
    CPPUNIT_ASSERT_EQUAL(std::size_t{11}, one.wire.told<protocol::ControlReply>(one.wire.to_members).size());
    CPPUNIT_ASSERT(told >= 2 && bytes <= protocol::max_frame_bytes);
  }

  // Bytes of a snapshot that end too soon, or that are of a later program: nobody is told of an empty state,
  // and no order is taken on top of it.
  void aStateThatDoesNotReadLeadsNowhere() {
    State state;
    std::string text = config("3");
    state.apply({1, 1, raft::EntryKind::change, State::change(0, 3, digest_of(text), text), {}});
    std::string whole = state.fold();
    for (std::size_t size = 1; size < whole.size(); ++size) {
      State other;
      other.restore(whole.substr(0, size));
      CPPUNIT_ASSERT_MESSAGE(std::to_string(size), !other.may_serve());
      State third;
      third.restore(other.fold());
      CPPUNIT_ASSERT_MESSAGE(std::to_string(size), !third.may_serve());
      other.restore(whole);
      CPPUNIT_ASSERT(other.may_serve() && other.revision() == 3);
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(StrangeCallsTest);

}  // namespace pearspar::sennes
