// The control office, one member alone: what each call gets, and that the OpenAPI file says the same.
#include <cppunit/extensions/HelperMacros.h>

#include <fstream>
#include <map>
#include <sstream>

#include "biella/disk.h"
#include "catalog/json.h"
#include "sennes/member.h"

namespace pearspar::sennes {

namespace {

struct NoWire : transport::Transport {
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

class OfficeTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(OfficeTest);
  CPPUNIT_TEST(theSameChangeAgainIsStillTaken);
  CPPUNIT_TEST(aChangeOnAnotherEditionLoses);
  CPPUNIT_TEST(anInvalidChangeIsToldItsKey);
  CPPUNIT_TEST(beforeAnybodyLeadsCallsWaitAndThenAreRefused);
  CPPUNIT_TEST(leavingIsAcknowledgedWhenAllHaveIt);
  CPPUNIT_TEST(anEdgeThatIsSilentHoldsNobodyUp);
  CPPUNIT_TEST(aSilentNodeIsLostAndMayComeBack);
  CPPUNIT_TEST(whoStoodStillRefusesFirst);
  CPPUNIT_TEST(historyIsToldInBounds);
  CPPUNIT_TEST(whatIsReadOutAtOnceIsBounded);
  CPPUNIT_TEST(aCallThatIsUnknownHereIsNoLeave);
  CPPUNIT_TEST(theFileOfCallsHolds);
  CPPUNIT_TEST_SUITE_END();

  struct Fixture {
    biella::World world{1};
    biella::SimDisk disk{world};
    NoWire wire;
    Member member;
    Asker next = 0;
    std::map<Asker, Reply> replies;
    Fixture() : member(wire, disk, agreement(), office()) { member.start(world.now()); }
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
    void advance() {
      for (Reply& reply : member.advance([this] { return world.now(); })) replies[reply.asker] = reply;
    }
    void run(double seconds) {
      for (double t = 0; t < seconds; t += 0.01) {
        world.run_until(world.now() + Duration(0.01));
        advance();
      }
    }
    Asker call(const std::string& method, const std::string& path, const std::string& match = "",
               const std::string& body = "") {
      member.call(world.now(), ++next, method, path, match, body);
      advance();
      return next;
    }
    int status(Asker asker) { return replies.count(asker) ? replies[asker].status : 0; }
    int put(int base, const std::string& text) {
      return status(call("PUT", "/pearspar/config", std::to_string(base), text));
    }
    std::string beat(int call, const std::string& state) {
      return R"({"depot":"d","address":"1.1.1.1:1","nodeState":")" + state + R"(","callSeq":)" +
             std::to_string(call) + "}";
    }
  };

 public:
  void theSameChangeAgainIsStillTaken() {
    Fixture f;
    f.run(2);
    CPPUNIT_ASSERT_EQUAL(200, f.put(0, config(3)));
    CPPUNIT_ASSERT_EQUAL(200, f.put(3, config(4)));
    CPPUNIT_ASSERT_EQUAL(200, f.put(0, config(3)));  // superseded, and still the answer is that it was taken
    CPPUNIT_ASSERT_EQUAL(412, f.put(0, config(3, "b")));
    Asker read = f.call("GET", "/pearspar/config");
    CPPUNIT_ASSERT_EQUAL(config(4), f.replies[read].body);
  }

  void aChangeOnAnotherEditionLoses() {
    Fixture f;
    f.run(2);
    CPPUNIT_ASSERT_EQUAL(200, f.put(0, config(3)));
    CPPUNIT_ASSERT_EQUAL(412, f.put(0, config(5)));
    CPPUNIT_ASSERT_EQUAL(400, f.put(3, config(2)));
    CPPUNIT_ASSERT_EQUAL(400, f.status(f.call("PUT", "/pearspar/config", "x", config(9))));
  }

  void anInvalidChangeIsToldItsKey() {
    Fixture f;
    f.run(2);
    Asker asker = f.call("PUT", "/pearspar/config", "0", R"({"edition":1,"postalRoutes":[{}],"depots":[]})");
    CPPUNIT_ASSERT_EQUAL(400, f.status(asker));
    CPPUNIT_ASSERT_EQUAL(std::string(R"({"errorText":"postalRoutes[0].hostName: is missing"})"),
                         f.replies[asker].body);
  }

  void beforeAnybodyLeadsCallsWaitAndThenAreRefused() {
    Fixture f;
    Asker early = f.call("GET", "/pearspar/config");
    CPPUNIT_ASSERT_EQUAL(0, f.status(early));
    f.run(2);
    CPPUNIT_ASSERT(f.status(early) == 404 || f.status(early) == 503);
    f.disk.set_full(true);
    CPPUNIT_ASSERT_EQUAL(503, f.put(0, config(3)));
    Asker late = f.call("GET", "/pearspar/config");
    f.run(0.8);
    CPPUNIT_ASSERT_EQUAL(0, f.status(late));
    f.run(0.1);
    CPPUNIT_ASSERT_EQUAL(503, f.status(late));
  }

  // An edge on link 7 that acknowledges when it is told to.
  static protocol::Position last_news(Fixture& f) {
    protocol::Position at;
    for (const auto& [link, frame] : f.wire.sent) {
      auto message = protocol::unpack(frame);
      if (const auto* changes = std::get_if<protocol::Changes>(&*message))
        at = {changes->after.term, changes->after.number + changes->changes.size()};
      if (const auto* standing = std::get_if<protocol::StateSnapshot>(&*message)) at = standing->at;
    }
    return at;
  }
  static void acknowledge(Fixture& f) {
    f.member.link_frame(f.world.now(), 7, protocol::pack(protocol::Ack{77, last_news(f), 0}));
    f.advance();
  }
  static void follow(Fixture& f) {
    f.member.link_frame(f.world.now(), 7,
                        protocol::pack(protocol::Hello{77, protocol::FollowerKind::edge, "e", "z", {}, 0}));
    f.advance();
    acknowledge(f);
  }

  void leavingIsAcknowledgedWhenAllHaveIt() {
    Fixture f;
    f.run(2);
    follow(f);
    CPPUNIT_ASSERT_EQUAL(200, f.status(f.call("PUT", "/pearspar/nodes/n", "", f.beat(1, "at_post"))));
    acknowledge(f);
    Asker leaving = f.call("PUT", "/pearspar/nodes/n", "", f.beat(2, "closing_out"));
    f.run(0.1);
    CPPUNIT_ASSERT_EQUAL(0, f.status(leaving));
    acknowledge(f);
    CPPUNIT_ASSERT_EQUAL(200, f.status(leaving));
    // A late word of its better days changes nothing.
    CPPUNIT_ASSERT_EQUAL(200, f.status(f.call("PUT", "/pearspar/nodes/n", "", f.beat(1, "at_post"))));
    CPPUNIT_ASSERT(f.member.office().view().nodes().find("n")->closing);
    Asker gone = f.call("DELETE", "/pearspar/nodes/n");
    f.run(0.02);
    acknowledge(f);
    CPPUNIT_ASSERT_EQUAL(200, f.status(gone));
    f.call("PUT", "/pearspar/nodes/n", "", f.beat(3, "at_post"));
    CPPUNIT_ASSERT(!f.member.office().view().nodes().find("n"));
  }

  void anEdgeThatIsSilentHoldsNobodyUp() {
    Fixture f;
    f.run(2);
    follow(f);
    Asker leaving = f.call("PUT", "/pearspar/nodes/n", "", f.beat(1, "closing_out"));
    f.run(0.6);
    CPPUNIT_ASSERT_EQUAL(200, f.status(leaving));
    f.run(3);  // its lease is over
    Asker second = f.call("PUT", "/pearspar/nodes/m", "", f.beat(1, "closing_out"));
    CPPUNIT_ASSERT_EQUAL(200, f.status(second));
    CPPUNIT_ASSERT_EQUAL(std::uint32_t{0}, f.member.office().followers().edges(f.world.now()));
  }

  void aSilentNodeIsLostAndMayComeBack() {
    Fixture f;
    f.run(2);
    f.call("PUT", "/pearspar/nodes/n", "", f.beat(1, "at_post"));
    f.run(5);
    CPPUNIT_ASSERT(f.member.office().view().nodes().find("n"));
    f.run(3);
    CPPUNIT_ASSERT(!f.member.office().view().nodes().find("n"));
    f.call("PUT", "/pearspar/nodes/n", "", f.beat(2, "at_post"));
    CPPUNIT_ASSERT(f.member.office().view().nodes().find("n"));
  }

  // It wakes after twenty seconds, and leads in the same turn.
  void whoStoodStillRefusesFirst() {
    Fixture f;
    Asker order = f.call("PUT", "/pearspar/config", "0", config(1));
    f.world.run_until(f.world.now() + Duration(20));
    f.advance();
    CPPUNIT_ASSERT(f.member.office().in_office());
    CPPUNIT_ASSERT_EQUAL(503, f.status(order));
    f.run(1);
    CPPUNIT_ASSERT_EQUAL(catalog::Revision{0}, f.member.state().revision());
  }

  void historyIsToldInBounds() {
    Fixture f;
    f.run(2);
    for (int e = 1; e <= 250; ++e) CPPUNIT_ASSERT_EQUAL(200, f.put(e - 1, config(e)));
    auto told = [&](const std::string& query) {
      Asker asker = f.call("GET", "/pearspar/history" + query);
      if (f.status(asker) != 200) return -f.status(asker);
      catalog::Fault fault;
      catalog::Json json = catalog::parse_json(f.replies[asker].body, fault);
      CPPUNIT_ASSERT_EQUAL(250, cJSON_GetObjectItem(json.get(), "remembered")->valueint);
      const cJSON* taken = cJSON_GetObjectItem(json.get(), "taken");
      int count = cJSON_GetArraySize(taken);
      if (count > 0)
        CPPUNIT_ASSERT_EQUAL(250,
                             cJSON_GetObjectItem(cJSON_GetArrayItem(taken, count - 1), "edition")->valueint);
      return count;
    };
    CPPUNIT_ASSERT_EQUAL(200, told(""));
    CPPUNIT_ASSERT_EQUAL(3, told("?newest=3"));
    CPPUNIT_ASSERT_EQUAL(250, told("?newest=99999"));
    for (const char* wrong : {"?newest=", "?newest=-1", "?newest=3x", "?other=3", "/1"})
      CPPUNIT_ASSERT_EQUAL(-404, told(wrong));
  }

  // Sixty callers want a megabyte each in one turn of the loop: who goes past 32 of them comes back later.
  void whatIsReadOutAtOnceIsBounded() {
    Fixture f;
    f.run(2);
    CPPUNIT_ASSERT_EQUAL(200, f.put(0, config(1, std::string(1 << 20, 'x'))));
    for (int i = 0; i < 60; ++i) f.member.call(f.world.now(), ++f.next, "GET", "/pearspar/config", "", "");
    f.replies.clear();
    f.advance();
    std::size_t bytes = 0;
    int told = 0;
    for (const auto& [asker, reply] : f.replies) bytes += reply.body.size(), told += reply.status == 200;
    CPPUNIT_ASSERT_EQUAL(std::size_t{60}, f.replies.size());
    CPPUNIT_ASSERT(told >= 30 && bytes <= (std::size_t{32} << 20) + 60 * 100);
    CPPUNIT_ASSERT_EQUAL(200, f.status(f.call("GET", "/pearspar/config")));
  }

  // A member of another revision may pass on what it knows and we do not.
  void aCallThatIsUnknownHereIsNoLeave() {
    Fixture f;
    f.run(2);
    f.call("PUT", "/pearspar/nodes/n", "", f.beat(1, "at_post"));
    auto before = f.member.office().list_changes();
    for (const char* path : {"/pearspar/history?oldest=1", "/pearspar/nodeset/n", "/"})
      f.member.link_frame(f.world.now(), 7,
                          protocol::pack(protocol::ControlCall{1, "b:1", "POST", path, "", "", 0}));
    f.run(0.1);
    CPPUNIT_ASSERT_EQUAL(before, f.member.office().list_changes());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, f.member.office().view().nodes().all().size());
  }

  // Every call of the core in api/altavia.json is one that the office knows, and no other is.
  void theFileOfCallsHolds() {
    std::ifstream file(PEARSPAR_ROOT "/api/altavia.json");
    std::ostringstream text;
    text << file.rdbuf();
    catalog::Fault fault;
    catalog::Json api = catalog::parse_json(text.str(), fault);
    CPPUNIT_ASSERT_EQUAL_MESSAGE("api/altavia.json", std::string(), fault.text());
    Fixture f;
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
    CPPUNIT_ASSERT_EQUAL(9, calls);
    CPPUNIT_ASSERT_EQUAL(404, f.status(f.call("GET", "/pearspar/other")));
    CPPUNIT_ASSERT_EQUAL(404, f.status(f.call("PUT", "/pearspar/nodes/a/b")));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(OfficeTest);

}  // namespace pearspar::sennes
