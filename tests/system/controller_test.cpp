// The controller of a single member: the answer to each control call, and its agreement with the OpenAPI
// file.
#include <cppunit/extensions/HelperMacros.h>

#include <fstream>
#include <map>
#include <sstream>

#include "catalog/json.h"
#include "control_plane/follower_lag.h"
#include "control_plane/member.h"
#include "simulation/disk.h"

namespace pearspar::control_plane {

namespace {

struct RecordingTransport : transport::Transport {
  std::vector<std::pair<LinkId, std::string>> sent;
  void set_targets(const std::vector<std::string>&) override {}
  bool send_to(const std::string&, std::string_view) override { return true; }
  bool send(LinkId link, std::string_view frame) override {
    sent.emplace_back(link, frame);
    return true;
  }
};

std::string config(int revision, const std::string& note = "a") {
  return R"({"edition":)" + std::to_string(revision) + R"(,"note":")" + note +
         R"(","postalRoutes":[],"depots":[]})";
}

}  // namespace

class ControllerTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ControllerTest);
  CPPUNIT_TEST(repeatedChangeIsAcknowledgedAgain);
  CPPUNIT_TEST(changeOnStaleBaseIsRejected);
  CPPUNIT_TEST(invalidChangeNamesTheFaultyKey);
  CPPUNIT_TEST(callsWithoutLeaderWaitThenFail);
  CPPUNIT_TEST(nodeLeaveIsAnsweredAfterAllEdgesAcknowledge);
  CPPUNIT_TEST(silentEdgeDoesNotBlockNodeLeave);
  CPPUNIT_TEST(silentNodeExpiresAndMayReturn);
  CPPUNIT_TEST(expiredCallsAreRejectedFirst);
  CPPUNIT_TEST(historyLengthIsBounded);
  CPPUNIT_TEST(replyBytesPerTurnAreBounded);
  CPPUNIT_TEST(unknownForwardedCallChangesNothing);
  CPPUNIT_TEST(refusedCallsAreCountedByPathAndStatus);
  CPPUNIT_TEST(statusNamesTheSlowestEdge);
  CPPUNIT_TEST(statusOfALeaderCountsWaitingEdges);
  CPPUNIT_TEST(openApiFileMatchesTheCalls);
  CPPUNIT_TEST_SUITE_END();

  struct SingleMember {
    simulation::World world{1};
    simulation::SimDisk disk{world};
    RecordingTransport wire;
    Member member;
    CallerId next = 0;
    std::map<CallerId, Reply> replies;
    catalog::Json status_document;
    SingleMember() : member(wire, disk, raft_options(), controller_options()) { member.start(world.now()); }
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
    void advance() {
      for (Reply& reply : member.advance([this] { return world.now(); })) replies[reply.caller] = reply;
    }
    void run(double seconds) {
      for (double t = 0; t < seconds; t += 0.01) {
        world.run_until(world.now() + Duration(0.01));
        advance();
      }
    }
    CallerId call(const std::string& method, const std::string& path, const std::string& match = "",
                  const std::string& body = "") {
      member.call(world.now(), ++next, method, path, match, body);
      advance();
      return next;
    }
    int status(CallerId caller) { return replies.count(caller) ? replies[caller].status : 0; }
    // A field of /pearspar/status; valid until the next call.
    const cJSON* status_field(const char* field) {
      catalog::Fault fault;
      status_document = catalog::parse_json(replies[call("GET", "/pearspar/status")].body, fault);
      CPPUNIT_ASSERT_EQUAL(std::string(), fault.text());
      return cJSON_GetObjectItem(status_document.get(), field);
    }
    int put(int base, const std::string& text) {
      return status(call("PUT", "/pearspar/config", std::to_string(base), text));
    }
    std::string heartbeat(int call, const std::string& state) {
      return R"({"depot":"d","address":"1.1.1.1:1","nodeState":")" + state + R"(","callSeq":)" +
             std::to_string(call) + "}";
    }
  };

 public:
  void repeatedChangeIsAcknowledgedAgain() {
    SingleMember f;
    f.run(2);
    CPPUNIT_ASSERT_EQUAL(200, f.put(0, config(3)));
    CPPUNIT_ASSERT_EQUAL(200, f.put(3, config(4)));
    CPPUNIT_ASSERT_EQUAL(200, f.put(0, config(3)));  // superseded, but it was applied
    CPPUNIT_ASSERT_EQUAL(412, f.put(0, config(3, "b")));
    CallerId read = f.call("GET", "/pearspar/config");
    CPPUNIT_ASSERT_EQUAL(config(4), f.replies[read].body);
  }

  void changeOnStaleBaseIsRejected() {
    SingleMember f;
    f.run(2);
    CPPUNIT_ASSERT_EQUAL(200, f.put(0, config(3)));
    CPPUNIT_ASSERT_EQUAL(412, f.put(0, config(5)));
    CPPUNIT_ASSERT_EQUAL(400, f.put(3, config(2)));
    CPPUNIT_ASSERT_EQUAL(400, f.status(f.call("PUT", "/pearspar/config", "x", config(9))));
  }

  void invalidChangeNamesTheFaultyKey() {
    SingleMember f;
    f.run(2);
    CallerId caller =
        f.call("PUT", "/pearspar/config", "0", R"({"edition":1,"postalRoutes":[{}],"depots":[]})");
    CPPUNIT_ASSERT_EQUAL(400, f.status(caller));
    CPPUNIT_ASSERT_EQUAL(std::string(R"({"errorText":"postalRoutes[0].hostName: is missing"})"),
                         f.replies[caller].body);
  }

  void callsWithoutLeaderWaitThenFail() {
    SingleMember f;
    CallerId early = f.call("GET", "/pearspar/config");
    CPPUNIT_ASSERT_EQUAL(0, f.status(early));
    f.run(2);
    CPPUNIT_ASSERT(f.status(early) == 404 || f.status(early) == 503);
    f.disk.set_full(true);
    CPPUNIT_ASSERT_EQUAL(503, f.put(0, config(3)));
    CallerId late = f.call("GET", "/pearspar/config");
    f.run(0.8);
    CPPUNIT_ASSERT_EQUAL(0, f.status(late));
    f.run(0.1);
    CPPUNIT_ASSERT_EQUAL(503, f.status(late));
  }

  // Position of the last update sent to the edge on link 7.
  static protocol::Position last_update(SingleMember& f) {
    protocol::Position at;
    for (const auto& [link, frame] : f.wire.sent) {
      auto message = protocol::unpack(frame);
      if (const auto* changes = std::get_if<protocol::Changes>(&*message))
        at = {changes->after.term, changes->after.number + changes->changes.size()};
      if (const auto* standing = std::get_if<protocol::StateSnapshot>(&*message)) at = standing->at;
    }
    return at;
  }
  static void acknowledge(SingleMember& f) {
    f.member.link_frame(f.world.now(), 7, protocol::pack(protocol::Ack{77, last_update(f), 0}));
    f.advance();
  }
  static void follow(SingleMember& f) {
    f.member.link_frame(f.world.now(), 7,
                        protocol::pack(protocol::Hello{77, protocol::FollowerKind::edge, "e", "z", {}, 0}));
    f.advance();
    acknowledge(f);
  }

  void nodeLeaveIsAnsweredAfterAllEdgesAcknowledge() {
    SingleMember f;
    f.run(2);
    follow(f);
    CPPUNIT_ASSERT_EQUAL(200, f.status(f.call("PUT", "/pearspar/nodes/n", "", f.heartbeat(1, "at_post"))));
    acknowledge(f);
    CallerId leaving = f.call("PUT", "/pearspar/nodes/n", "", f.heartbeat(2, "closing_out"));
    f.run(0.1);
    CPPUNIT_ASSERT_EQUAL(0, f.status(leaving));
    acknowledge(f);
    CPPUNIT_ASSERT_EQUAL(200, f.status(leaving));
    // A late heartbeat from before changes nothing.
    CPPUNIT_ASSERT_EQUAL(200, f.status(f.call("PUT", "/pearspar/nodes/n", "", f.heartbeat(1, "at_post"))));
    CPPUNIT_ASSERT(f.member.controller().view().nodes().find("n")->closing);
    CallerId gone = f.call("DELETE", "/pearspar/nodes/n");
    f.run(0.02);
    acknowledge(f);
    CPPUNIT_ASSERT_EQUAL(200, f.status(gone));
    f.call("PUT", "/pearspar/nodes/n", "", f.heartbeat(3, "at_post"));
    CPPUNIT_ASSERT(!f.member.controller().view().nodes().find("n"));
  }

  void silentEdgeDoesNotBlockNodeLeave() {
    SingleMember f;
    f.run(2);
    follow(f);
    CallerId leaving = f.call("PUT", "/pearspar/nodes/n", "", f.heartbeat(1, "closing_out"));
    f.run(0.6);
    CPPUNIT_ASSERT_EQUAL(200, f.status(leaving));
    f.run(3);  // its lease expires
    CallerId second = f.call("PUT", "/pearspar/nodes/m", "", f.heartbeat(1, "closing_out"));
    CPPUNIT_ASSERT_EQUAL(200, f.status(second));
    CPPUNIT_ASSERT_EQUAL(std::uint32_t{0}, f.member.controller().followers().edges(f.world.now()));
  }

  void silentNodeExpiresAndMayReturn() {
    SingleMember f;
    f.run(2);
    f.call("PUT", "/pearspar/nodes/n", "", f.heartbeat(1, "at_post"));
    f.run(5);
    CPPUNIT_ASSERT(f.member.controller().view().nodes().find("n"));
    f.run(3);
    CPPUNIT_ASSERT(!f.member.controller().view().nodes().find("n"));
    f.call("PUT", "/pearspar/nodes/n", "", f.heartbeat(2, "at_post"));
    CPPUNIT_ASSERT(f.member.controller().view().nodes().find("n"));
  }

  // After a stall of twenty seconds the member becomes leader in the same turn in which the call expires.
  void expiredCallsAreRejectedFirst() {
    SingleMember f;
    CallerId change = f.call("PUT", "/pearspar/config", "0", config(1));
    f.world.run_until(f.world.now() + Duration(20));
    f.advance();
    CPPUNIT_ASSERT(f.member.controller().is_active());
    CPPUNIT_ASSERT_EQUAL(503, f.status(change));
    f.run(1);
    CPPUNIT_ASSERT_EQUAL(catalog::Revision{0}, f.member.state().revision());
  }

  void historyLengthIsBounded() {
    SingleMember f;
    f.run(2);
    for (int e = 1; e <= 250; ++e) CPPUNIT_ASSERT_EQUAL(200, f.put(e - 1, config(e)));
    auto entry_count = [&](const std::string& query) {
      CallerId caller = f.call("GET", "/pearspar/history" + query);
      if (f.status(caller) != 200) return -f.status(caller);
      catalog::Fault fault;
      catalog::Json json = catalog::parse_json(f.replies[caller].body, fault);
      CPPUNIT_ASSERT_EQUAL(250, cJSON_GetObjectItem(json.get(), "remembered")->valueint);
      const cJSON* taken = cJSON_GetObjectItem(json.get(), "taken");
      int count = cJSON_GetArraySize(taken);
      if (count > 0)
        CPPUNIT_ASSERT_EQUAL(250,
                             cJSON_GetObjectItem(cJSON_GetArrayItem(taken, count - 1), "edition")->valueint);
      return count;
    };
    CPPUNIT_ASSERT_EQUAL(200, entry_count(""));
    CPPUNIT_ASSERT_EQUAL(3, entry_count("?newest=3"));
    CPPUNIT_ASSERT_EQUAL(250, entry_count("?newest=99999"));
    for (const char* wrong : {"?newest=", "?newest=-1", "?newest=3x", "?other=3", "/1"})
      CPPUNIT_ASSERT_EQUAL(-404, entry_count(wrong));
  }

  // Sixty reads of a megabyte each in one turn: those beyond 32 MB are answered 503.
  void replyBytesPerTurnAreBounded() {
    SingleMember f;
    f.run(2);
    CPPUNIT_ASSERT_EQUAL(200, f.put(0, config(1, std::string(1 << 20, 'x'))));
    for (int i = 0; i < 60; ++i) f.member.call(f.world.now(), ++f.next, "GET", "/pearspar/config", "", "");
    f.replies.clear();
    f.advance();
    std::size_t bytes = 0;
    int answered = 0;
    for (const auto& [caller, reply] : f.replies) bytes += reply.body.size(), answered += reply.status == 200;
    CPPUNIT_ASSERT_EQUAL(std::size_t{60}, f.replies.size());
    CPPUNIT_ASSERT(answered >= 30 && bytes <= (std::size_t{32} << 20) + 60 * 100);
    CPPUNIT_ASSERT_EQUAL(200, f.status(f.call("GET", "/pearspar/config")));
  }

  // A member with another program version may forward calls that are unknown here.
  void unknownForwardedCallChangesNothing() {
    SingleMember f;
    f.run(2);
    f.call("PUT", "/pearspar/nodes/n", "", f.heartbeat(1, "at_post"));
    auto before = f.member.controller().node_list_changes();
    for (const char* path : {"/pearspar/history?oldest=1", "/pearspar/nodeset/n", "/"})
      f.member.link_frame(f.world.now(), 7,
                          protocol::pack(protocol::ControlCall{1, "b:1", "POST", path, "", "", 0}));
    f.run(0.1);
    CPPUNIT_ASSERT_EQUAL(before, f.member.controller().node_list_changes());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, f.member.controller().view().nodes().all().size());
  }

  // Issue 66: neither counters nor log told which calls a member had refused.
  void refusedCallsAreCountedByPathAndStatus() {
    SingleMember f;
    f.run(2);
    f.call("POST", "/pearspar/other", "", "{}");
    f.call("POST", "/pearspar/other", "", "{}");
    f.put(0, "no configuration");
    f.put(0, config(3));
    std::map<std::pair<CallPath, int>, std::uint64_t> counted;
    for (const CallLog::Count& count : f.member.controller().call_log().counts())
      counted[{count.path, count.status}] = count.calls;
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, counted.size());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, (counted[{CallPath::unknown, 404}]));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, (counted[{CallPath::configuration, 400}]));
    auto refused = f.member.take_refused_calls();
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, refused.size());
    CPPUNIT_ASSERT_EQUAL(std::string("POST"), refused[0].method);
    CPPUNIT_ASSERT_EQUAL(std::string("/pearspar/other"), refused[0].path);
    CPPUNIT_ASSERT_EQUAL(404, refused[0].status);
    CPPUNIT_ASSERT_EQUAL(400, refused[2].status);
    CPPUNIT_ASSERT(f.member.take_refused_calls().empty());
  }

  // An operator could not tell which edge a change had not reached.
  void statusNamesTheSlowestEdge() {
    SingleMember f;
    f.run(2);
    CPPUNIT_ASSERT_EQUAL(200, f.put(0, config(3)));
    const auto contact = [&](LinkId link, const std::string& name, catalog::Revision revision) {
      protocol::Hello hello;
      hello.incarnation = link;
      hello.kind = protocol::FollowerKind::edge;
      hello.name = name;
      hello.zone = "b";
      hello.revision = revision;
      f.member.link_frame(f.world.now(), link, protocol::pack(hello));
      f.advance();
    };
    contact(21, "newest", 3);
    CPPUNIT_ASSERT(cJSON_IsNull(f.status_field("slowestEdge")));
    CPPUNIT_ASSERT_EQUAL(0, f.status_field("edgesBehind")->valueint);
    contact(22, "older", 2);
    contact(23, "oldest", 1);
    CPPUNIT_ASSERT_EQUAL(2, f.status_field("edgesBehind")->valueint);
    const cJSON* slowest = f.status_field("slowestEdge");
    CPPUNIT_ASSERT_EQUAL(std::string("oldest"),
                         std::string(cJSON_GetObjectItem(slowest, "nodeName")->valuestring));
    CPPUNIT_ASSERT_EQUAL(1, cJSON_GetObjectItem(slowest, "edition")->valueint);
    CPPUNIT_ASSERT(cJSON_IsTrue(cJSON_GetObjectItem(slowest, "behind")));
    // One that is cut off is listed, and no longer counts.
    f.run(3);
    CPPUNIT_ASSERT_EQUAL(0, f.status_field("edgesBehind")->valueint);
    CPPUNIT_ASSERT_EQUAL(3, cJSON_GetArraySize(f.status_field("edges")));
  }

  // An edge that waited its turn for a full state looked like one in sync.
  void statusOfALeaderCountsWaitingEdges() {
    subscription::ClusterView view;
    Followers followers(view);
    Time now = Time(Duration(100));
    protocol::Hello hello;
    hello.incarnation = 21;
    hello.kind = protocol::FollowerKind::edge;
    followers.on_hello(now, 21, hello);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, follower_lag(now, followers, 0).waiting);  // no leader
    followers.open(now, 1, true);
    now += Duration(1.5);
    FollowerLag lag = follower_lag(now, followers, 0);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, lag.waiting);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, lag.edges_waiting);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, lag.in_sync);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(1.5, lag.longest_wait.count(), 1e-6);
    CPPUNIT_ASSERT(lag.slowest_edge && lag.slowest_edge->incarnation == 21);
    followers.take_frames(now);
    lag = follower_lag(now, followers, 0);
    CPPUNIT_ASSERT(lag.in_sync == 1 && lag.waiting == 0 && !lag.slowest_edge);
    CPPUNIT_ASSERT_EQUAL(0.0, lag.longest_wait.count());
  }

  // api/altavia.json lists exactly the calls that the controller serves, with their statuses.
  void openApiFileMatchesTheCalls() {
    std::ifstream file(PEARSPAR_ROOT "/api/altavia.json");
    std::ostringstream text;
    text << file.rdbuf();
    catalog::Fault fault;
    catalog::Json api = catalog::parse_json(text.str(), fault);
    CPPUNIT_ASSERT_EQUAL_MESSAGE("api/altavia.json", std::string(), fault.text());
    SingleMember f;
    f.run(2);
    int calls = 0;
    const cJSON* paths = cJSON_GetObjectItem(api.get(), "paths");
    for (const cJSON* path = paths->child; path; path = path->next) {
      std::string at = path->string;
      if (std::size_t id = at.find("{id}"); id != at.npos) at.replace(id, 4, "n");
      bool core = false;
      std::map<std::string, const cJSON*> described;
      for (const char* method : {"get", "put", "delete", "post"})
        if (const cJSON* call = cJSON_GetObjectItem(path, method)) {
          described[method] = call;
          core = core || std::string(cJSON_GetObjectItem(call, "x-served-by")->valuestring) == "core";
        }
      if (!core) continue;
      for (const char* method : {"get", "put", "delete", "post"}) {
        std::string upper = method;
        for (char& c : upper) c = static_cast<char>(c - 32);
        int status = f.status(f.call(upper, at, "0", "{}"));
        if (!described.count(method)) {
          CPPUNIT_ASSERT_EQUAL_MESSAGE(at + " " + method, 405, status);
          continue;
        }
        ++calls;
        const cJSON* responses = cJSON_GetObjectItem(described[method], "responses");
        CPPUNIT_ASSERT_MESSAGE(at + " " + method + " answers " + std::to_string(status),
                               cJSON_GetObjectItem(responses, std::to_string(status).c_str()));
      }
    }
    CPPUNIT_ASSERT_EQUAL(12, calls);
    CPPUNIT_ASSERT_EQUAL(404, f.status(f.call("GET", "/pearspar/other")));
    CPPUNIT_ASSERT_EQUAL(404, f.status(f.call("PUT", "/pearspar/nodes/a/b")));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ControllerTest);

}  // namespace pearspar::control_plane
