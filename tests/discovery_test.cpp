#include <gtest/gtest.h>

#include "config_text.h"
#include "discovery/client.h"
#include "membership/source_switch.h"
#include "peers.h"

namespace pearspar::discovery {
namespace {

using peers::list_text;
using peers::member_text;

class DiscoveryTest : public ::testing::Test, protected MembersHandler {
 protected:
  void members_told(const MemberList& list) override { received.push_back(list); }
  void members_failed() override { ++failed; }

  bool until(const std::function<bool()>& enough) {
    return peers::turn_until(
        loop, [&] { agent.poll(); }, enough);
  }
  // True once the agent has read a request on its newest connection; stores its target.
  bool request_arrives() {
    return until([&] {
      if (agent.peers.empty()) return false;
      peers::Peer& peer = *agent.peers.back();
      std::size_t end = peer.seen().find("\r\n\r\n");
      if (end == std::string_view::npos) return false;
      target = std::string(peer.seen().substr(4, peer.seen().find(" HTTP") - 4));
      peer.drop(end + 4);
      return true;
    });
  }
  void reply(const std::string& body, const std::string& more = "") {
    ASSERT_TRUE(agent.peers.back()->write(
        "HTTP/1.1 200 OK\r\n" + more + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body));
  }
  bool receives_lists(std::size_t count) {
    return until([&] { return received.size() == count; });
  }
  void start_with_list() {
    client.start();
    ASSERT_TRUE(request_arrives());
    EXPECT_EQ(target, "/registry/instances");
    reply(list_text(41, true, one));
    ASSERT_TRUE(receives_lists(1));
    ASSERT_TRUE(request_arrives());
  }

  const std::string one = member_text("s-1", "127.0.0.1:9", 0);
  net::Loop loop;
  peers::Listener agent;
  std::vector<MemberList> received;
  int failed = 0;
  std::string target;
  Client client{loop, peers::quiet_log(), agent.address(), *this};
};

TEST_F(DiscoveryTest, FetchesFullListThenLongPolls) {
  start_with_list();
  EXPECT_TRUE(received[0].complete);
  EXPECT_EQ(target.substr(0, 37), "/registry/instances?after=41&wait_ms=");
  reply(list_text(43, false, member_text("s-1", "127.0.0.1:9", 0, "draining")));
  ASSERT_TRUE(receives_lists(2));
  EXPECT_EQ(received[1].entries[0].phase, Phase::draining);
  ASSERT_TRUE(request_arrives());
  EXPECT_EQ(target.substr(0, 28), "/registry/instances?after=43");
  reply(list_text(44, false, R"({"id":"s-1","phase":"gone"})"));
  ASSERT_TRUE(receives_lists(3));
  EXPECT_EQ(received[2].entries[0].phase, Phase::gone);
  EXPECT_EQ(agent.peers.size(), 1u);  // one connection for all requests
  EXPECT_EQ(failed, 0);
}

TEST_F(DiscoveryTest, LongPollMayReturnNothingOrAFullList) {
  start_with_list();
  reply(list_text(41, false, ""));
  ASSERT_TRUE(request_arrives());
  EXPECT_EQ(received.size(), 1u);
  reply(list_text(50, true, one), "Connection: close\r\n");
  ASSERT_TRUE(receives_lists(2));
  EXPECT_TRUE(received[1].complete);
  ASSERT_TRUE(until([&] { return agent.peers.size() == 2; }));
  ASSERT_TRUE(request_arrives());
  EXPECT_EQ(target.substr(0, 28), "/registry/instances?after=50");
}

TEST_F(DiscoveryTest, ReplyMayBeChunkedAndFragmented) {
  client.start();
  ASSERT_TRUE(request_arrives());
  std::string body = list_text(41, true, one),
              bytes = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
  char size[16];
  for (std::size_t at = 0; at < body.size(); at += 7) {
    std::string piece = body.substr(at, 7);
    std::snprintf(size, sizeof size, "%zx\r\n", piece.size());
    bytes += size + piece + "\r\n";
  }
  for (char c : bytes + "0\r\n\r\n") {
    ASSERT_TRUE(agent.peers.back()->write(std::string_view(&c, 1)));
    loop.run_once(net::Duration(0));
  }
  ASSERT_TRUE(receives_lists(1));
}

TEST_F(DiscoveryTest, StaleChangesAreIgnored) {
  start_with_list();
  for (int revision : {41, 40}) {
    reply(list_text(revision, false, member_text("s-1", "127.0.0.1:9", 0, "draining")));
    ASSERT_TRUE(request_arrives());
    EXPECT_EQ(target.substr(0, 28), "/registry/instances?after=41");
  }
  EXPECT_EQ(received.size(), 1u);
  EXPECT_EQ(client.counters().stale, 2u);
}

// A single older list is stale, but a registry that was reset must be accepted at its lower revision.
TEST_F(DiscoveryTest, OlderListIsAcceptedOnlyWhenRepeated) {
  start_with_list();
  int requests = 0;
  while (received.size() == 1 && requests < 20) {
    reply(list_text(3, true, ""));
    ASSERT_TRUE(request_arrives());
    ++requests;
  }
  EXPECT_EQ(received.size(), 2u);
  EXPECT_GT(requests, 2);
  EXPECT_EQ(client.revision(), 3);
}

TEST_F(DiscoveryTest, InvalidReplyKeepsTheListAndIsRetried) {
  start_with_list();
  const std::string bad[] = {"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\n{]}",
                             "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}",
                             "HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n", "garbage\r\n\r\n",
                             "HTTP/1.1 200 OK\r\nContent-Length: 99999999\r\n\r\n"};
  int failures = 0;
  for (const std::string& bytes : bad) {
    ASSERT_TRUE(agent.peers.back()->write(bytes));
    ++failures;
    ASSERT_TRUE(until([&] { return failed == failures; }));
    std::size_t connections = agent.peers.size() + 1;
    ASSERT_TRUE(until([&] { return agent.peers.size() == connections; }));
    ASSERT_TRUE(request_arrives());
    EXPECT_EQ(target.substr(0, 28), "/registry/instances?after=41");
  }
  EXPECT_EQ(received.size(), 1u);
  reply(list_text(42, false, one));
  ASSERT_TRUE(receives_lists(2));
}

TEST_F(DiscoveryTest, BrokenConnectionIsReopened) {
  start_with_list();
  agent.peers.back()->reset();
  ASSERT_TRUE(until([&] { return agent.peers.size() == 2; }));
  ASSERT_TRUE(request_arrives());
  agent.peers.back()->close();
  ASSERT_TRUE(until([&] { return agent.peers.size() == 3; }));
  ASSERT_TRUE(request_arrives());
  EXPECT_EQ(received.size(), 1u);
}

TEST_F(DiscoveryTest, UnansweredRequestTimesOutAndIsRetried) {
  client.start();
  ASSERT_TRUE(request_arrives());
  ASSERT_TRUE(until([&] { return failed == 1; }));
  ASSERT_TRUE(until([&] { return agent.peers.size() == 2; }));
  ASSERT_TRUE(request_arrives());
  reply(list_text(41, true, one));
  ASSERT_TRUE(receives_lists(1));
}

// Immediate refusals must not cause a busy loop.
TEST_F(DiscoveryTest, RefusedConnectionsAreRetriedWithBackoff) {
  net::Address address = agent.address();
  agent.close();
  client.start();
  ASSERT_TRUE(until([&] { return failed >= 3; }));
  int before = failed;
  for (int i = 0; i < 100; ++i) loop.run_once(net::Duration(0));
  EXPECT_LE(failed, before + 1);
  peers::Listener again(address);
  ASSERT_TRUE(peers::turn_until(
      loop, [&] { again.poll(); }, [&] { return !again.peers.empty(); }));
}

// Replies without delay or changes must not cause a busy loop.
TEST_F(DiscoveryTest, ImmediateEmptyRepliesAreRateLimited) {
  start_with_list();
  int requests = 0;
  for (int i = 0; i < 300; ++i) {
    peers::Peer& peer = *agent.peers.back();
    peer.read();
    if (peer.seen().find("\r\n\r\n") != std::string_view::npos || i == 0) {
      ++requests;
      peer.drop(peer.seen().size());
      reply(list_text(41, false, ""));
    }
    loop.run_once(net::Duration(0));
  }
  EXPECT_LT(requests, 100);
  reply(list_text(42, false, one));  // answers the open request or arrives unrequested
  ASSERT_TRUE(request_arrives());
}

TEST_F(DiscoveryTest, StopEndsRequestsUntilFetch) {
  start_with_list();
  client.stop();
  ASSERT_TRUE(until([&] { return agent.peers.back()->ended(); }));
  for (int i = 0; i < 20; ++i) loop.run_once(net::Duration(0.001));
  agent.poll();
  EXPECT_EQ(agent.peers.size(), 1u);
  client.fetch();
  ASSERT_TRUE(until([&] { return agent.peers.size() == 2; }));
  ASSERT_TRUE(request_arrives());
  EXPECT_EQ(target, "/registry/instances");
}

// A reload may select another discovery agent while the broker runs.
class SwitchTest : public ::testing::Test, protected MembersHandler {
 protected:
  struct Agent : peers::Listener {
    std::string target;
    // True if a request was read on the newest connection; stores its target.
    bool request_arrived() {
      if (peers.empty()) return false;
      peers::Peer& peer = *peers.back();
      std::size_t end = peer.seen().find("\r\n\r\n");
      if (end == std::string_view::npos) return false;
      target = std::string(peer.seen().substr(4, peer.seen().find(" HTTP") - 4));
      peer.drop(end + 4);
      return true;
    }
    void reply(const std::string& body) {
      ASSERT_TRUE(peers.back()->write("HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) +
                                      "\r\n\r\n" + body));
    }
  };
  void members_told(const MemberList& list) override { received.push_back(list.revision); }
  void members_failed() override {}
  bool until(const std::function<bool()>& enough) {
    return peers::turn_until(
        loop,
        [&] {
          for (Agent* agent : {&first, &second, &third}) agent->poll();
        },
        enough);
  }
  void start_at_first() {
    registry.start();
    ASSERT_TRUE(until([&] { return first.request_arrived(); }));
    first.reply(list_text(41, true, one));
    ASSERT_TRUE(until([&] { return first.request_arrived(); }));
    ASSERT_EQ(received, std::vector<std::int64_t>{41});
  }

  const std::string one = member_text("s-1", "127.0.0.1:9", 0);
  net::Loop loop;
  Agent first, second, third;
  std::vector<std::int64_t> received;
  membership::MakeSource at(const net::Address& address) {
    return [this, address](MembersHandler& user) {
      return std::make_unique<Client>(loop, peers::quiet_log(), address, user);
    };
  }
  membership::SourceSwitch registry{peers::quiet_log(), at(first.address()), *this};
};

// Revisions of another registry are unrelated: its first list is accepted even if its revision is lower.
TEST_F(SwitchTest, NewSourceTakesOverWithAnyRevision) {
  start_at_first();
  registry.move(at(second.address()));
  ASSERT_TRUE(until([&] { return second.request_arrived(); }));
  EXPECT_EQ(second.target, "/registry/instances");
  // The previous source stays in use until the new one has delivered its list.
  first.reply(list_text(42, false, one));
  ASSERT_TRUE(until([&] { return received.size() == 2; }));
  EXPECT_TRUE(registry.moving());
  second.reply(list_text(3, true, one));
  ASSERT_TRUE(until([&] { return received.size() == 3; }));
  EXPECT_EQ(received.back(), 3);
  EXPECT_FALSE(registry.moving());
  ASSERT_TRUE(until([&] { return second.request_arrived() && first.peers.back()->ended(); }));
  EXPECT_EQ(second.target.substr(0, 27), "/registry/instances?after=3");
  EXPECT_EQ(registry.counters().lists, 2u);  // includes those of the previous source
}

TEST_F(SwitchTest, PreviousSourceIsNotReconnected) {
  start_at_first();
  std::size_t connections = first.peers.size();
  registry.move(at(second.address()));
  first.peers.back()->close();
  ASSERT_TRUE(until([&] { return second.request_arrived(); }));
  // Long enough for a reconnect attempt.
  for (int i = 0; i < 100; ++i) {
    loop.run_once(net::Duration(0.002));
    first.poll();
  }
  EXPECT_EQ(first.peers.size(), connections);
  second.reply(list_text(1, true, one));
  ASSERT_TRUE(until([&] { return received.size() == 2; }));
}

TEST_F(SwitchTest, LastOfSeveralMovesWins) {
  start_at_first();
  registry.move(at(second.address()));
  ASSERT_TRUE(until([&] { return second.request_arrived(); }));
  registry.move(at(third.address()));
  registry.move(at(third.address()));
  ASSERT_TRUE(until([&] { return third.request_arrived() && second.peers.back()->ended(); }));
  EXPECT_EQ(third.peers.size(), 1u);
  third.reply(list_text(2, true, one));
  ASSERT_TRUE(until([&] { return received.size() == 2; }));
  registry.move(at(first.address()));
  ASSERT_TRUE(until([&] { return first.peers.size() == 2 && first.request_arrived(); }));
  first.reply(list_text(50, true, one));
  ASSERT_TRUE(until([&] { return received.size() == 3; }));
}

TEST(Members, InvalidMemberIsNamed) {
  auto fault = [](const std::string& text) {
    try {
      read_members(json::parse(text));
    } catch (const json::ParseError& error) {
      return std::string(error.what());
    }
    return std::string();
  };
  EXPECT_EQ(fault(list_text(1, true, member_text("s", "1.2.3.4:5", 0))), "");
  EXPECT_NE(fault("[]"), "");
  EXPECT_NE(fault(R"({"complete":true,"members":[]})").find("revision"), std::string::npos);
  EXPECT_NE(fault(R"({"revision":1,"members":[]})").find("complete"), std::string::npos);
  EXPECT_NE(fault(R"({"revision":1,"complete":true})").find("members"), std::string::npos);
  EXPECT_NE(fault(list_text(1, true, "7")).find("members"), std::string::npos);
  EXPECT_NE(fault(list_text(1, true, member_text("", "1.2.3.4:5", 0))).find("id"), std::string::npos);
  EXPECT_NE(fault(list_text(1, true, member_text("s", "nowhere", 0))).find("host_port"), std::string::npos);
  EXPECT_NE(fault(list_text(1, true, member_text("s", "1.2.3.4:5", -1))).find("cell"), std::string::npos);
  EXPECT_NE(fault(list_text(1, true, member_text("s", "1.2.3.4:5", 0, "odd"))).find("phase"),
            std::string::npos);
  EXPECT_NE(fault(list_text(1, true, member_text("s", "1.2.3.4:5", 0, "ready", "\"x\""))).find("up_since_ms"),
            std::string::npos);
}

}  // namespace
}  // namespace pearspar::discovery
