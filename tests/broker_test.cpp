#include "broker/broker.h"

#include <gtest/gtest.h>

#include "config_text.h"
#include "peers.h"

namespace pearspar::broker {
namespace {

using peers::list_text;
using peers::member_text;
using peers::Peer;

// A policy that records its events and replies with the actions of the test's script.
class ScriptedPolicy final : public Policy {
 public:
  struct Script {
    std::vector<std::vector<Event>> batches;
    std::vector<Action> next;
    std::function<void(const Event&, std::vector<Action>&)> on_event;
    std::vector<Time> times;

    template <typename T>
    std::vector<T> all() const {
      std::vector<T> found;
      for (const auto& batch : batches)
        for (const Event& event : batch)
          if (auto* one = std::get_if<T>(&event)) found.push_back(*one);
      return found;
    }
  };
  explicit ScriptedPolicy(std::shared_ptr<Script> script) : script_(std::move(script)) {}

  void handle(Time now, const std::vector<Event>& events, std::vector<Action>& actions) override {
    script_->batches.push_back(events);
    script_->times.push_back(now);
    actions = std::move(script_->next);
    script_->next.clear();
    if (script_->on_event)
      for (const Event& event : events) script_->on_event(event, actions);
  }

 private:
  std::shared_ptr<Script> script_;
};

class BrokerTest : public ::testing::Test {
 protected:
  // Starts a broker with one node in each of the two cells.
  void start(bool scripted, peers::ConfigText text = {}) {
    text.discovery = agent.address().text();
    if (text.known.find("[]") != std::string::npos)
      text.known = list_text(1, true,
                             member_text("s-0", nodes[0].address().text(), 0) + "," +
                                 member_text("s-1", nodes[1].address().text(), 1));
    config = config::read_config(text.text());
    std::unique_ptr<Policy> policy;
    if (scripted)
      policy = std::make_unique<ScriptedPolicy>(script);
    else
      policy = make_policy(config.policy, config.seed);
    broker = std::make_unique<Broker>(loop, peers::quiet_log(), config, std::move(policy));
    broker->start();
  }

  void poll() {
    broker->end_turn();
    agent.poll();
    for (auto& node : nodes) node.poll();
    if (!nodes_serve) return;
    for (auto& node : nodes)
      for (auto& peer : node.peers) serve(*peer);
  }
  bool until(const std::function<bool()>& enough) {
    return peers::turn_until(
        loop, [&] { poll(); }, enough);
  }

  static std::string node_frame(char letter, const std::string& rest) {
    std::size_t size = rest.size() + 1;
    return std::string{static_cast<char>(size >> 24), static_cast<char>(size >> 16),
                       static_cast<char>(size >> 8), static_cast<char>(size), letter} +
           rest;
  }
  // Answers each part with a value that contains its id.
  void serve(Peer& peer) {
    nodelink::FrameView frame;
    while (nodelink::next_frame(peer.seen(), frame) == nodelink::FrameResult::whole) {
      if (frame.letter == 'm') {
        std::string id(frame.rest.substr(0, frame.rest.find(' ')));
        peer.write(node_frame('q', id + " good 1 -\nvalue of " + id));
      }
      peer.drop(frame.size);
    }
  }

  static std::string query(const std::string& id, const std::string& parts, const std::string& left = "3000",
                           const std::string& path = "/search") {
    std::string body = R"({"ranges":[)" + parts + R"(],"predicate":"c41e77d0"})";
    return "POST " + path + " HTTP/1.1\r\nX-Correlation-Id: " + id +
           "\r\nX-Account: acme\r\nX-Time-Left-Ms: " + left +
           "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
  }
  static std::string two_parts() { return R"({"range":3,"portion":0.5},{"range":8,"portion":0.5})"; }

  bool connect(Peer& peer) {
    peer = peers::connect_to(broker->address());
    return until([&] { return peer.write(""); });
  }
  // Sends a request and returns the reply's status and body.
  std::string ask(Peer& peer, const std::string& request) {
    if (!until([&] { return peer.write(request); })) return "not sent";
    return reply_to(peer);
  }
  std::string reply_to(Peer& peer) {
    std::string reply;
    until([&] {
      peer.read();
      http::MessageReader reader(http::MessageKind::reply);
      net::Buffer copy;
      copy.append(peer.seen());
      if (reader.advance(copy) != http::Progress::done) return false;
      reply = std::to_string(reader.message().status) + " " + std::string(reader.message().body);
      if (auto after = reader.message().header("Retry-After")) reply += " after " + std::string(*after);
      reader.next(copy);
      peer.drop(peer.seen().size() - copy.size());
      return true;
    });
    return reply;
  }

  net::Loop loop;
  peers::Listener agent;
  peers::Listener nodes[2];
  bool nodes_serve = true;
  config::Config config;
  std::shared_ptr<ScriptedPolicy::Script> script = std::make_shared<ScriptedPolicy::Script>();
  std::unique_ptr<Broker> broker;
  Peer client;
};

TEST_F(BrokerTest, QueryReturnsTheValuesOfAllShards) {
  start(false);
  ASSERT_TRUE(connect(client));
  EXPECT_EQ(ask(client, query("9b1f", two_parts())),
            R"(200 {"total":true,"answers":[{"range":3,"blob":"value of 9b1f.3"},)"
            R"({"range":8,"blob":"value of 9b1f.8"}]})");
  EXPECT_EQ(ask(client, query("9b20", two_parts())).substr(0, 18), R"(200 {"total":true,)");
}

// Clients within their own limits must not exceed the total memory for clients together.
TEST_F(BrokerTest, ClientMemoryIsBoundedInTotal) {
  peers::ConfigText text;
  text.limits = R"({"memory_mb":16,"sockets":1024})";
  start(false, text);
  constexpr int clients = 150;
  constexpr std::size_t most_held = 16 * 35 * (1 << 20) / 100, length = 60'000;
  std::vector<Peer> slow(clients);
  std::size_t peak = 0;
  for (Peer& each : slow) {
    ASSERT_TRUE(connect(each));
    each.write("POST /search HTTP/1.1\r\nContent-Length: " + std::to_string(length) + "\r\n\r\n" +
               std::string(length - 1, 'x'));
    int turns = 0;
    until([&] { return ++turns > 3; });
    const std::string counters = broker->counters_json();
    const std::size_t at = counters.find("\"held_bytes\":");
    peak = std::max<std::size_t>(peak, std::strtoul(counters.c_str() + at + 13, nullptr, 10));
  }
  EXPECT_GT(peak, most_held / 2);
  EXPECT_LE(peak, most_held);
  EXPECT_EQ(broker->counters_json().find("\"refused_for_memory\":0,"), std::string::npos);
  int refused_with_retry_after = 0;
  until([&] {
    refused_with_retry_after = 0;
    for (Peer& each : slow) {
      each.read();
      if (each.seen().substr(0, 12) == "HTTP/1.1 503" &&
          each.seen().find("Retry-After") != std::string_view::npos)
        ++refused_with_retry_after;
    }
    return refused_with_retry_after > 0;
  });
  EXPECT_GT(refused_with_retry_after, 0);
  ASSERT_TRUE(connect(client));
  EXPECT_EQ(ask(client, query("9b1f", two_parts())).substr(0, 4), "200 ");
}

// The broker must be ready at once on the saved list while discovery is down.
TEST_F(BrokerTest, SavedMemberListServesWhileDiscoveryIsDown) {
  agent.close();
  start(false);
  ASSERT_TRUE(connect(client));
  EXPECT_EQ(ask(client, "GET /health/ready HTTP/1.1\r\n\r\n").substr(0, 3), "200");
  EXPECT_EQ(ask(client, query("9b1f", two_parts())).substr(0, 3), "200");
}

TEST_F(BrokerTest, NotReadyWithoutNodes) {
  peers::ConfigText text;
  text.known = "null";
  start(false, text);
  ASSERT_TRUE(connect(client));
  EXPECT_EQ(ask(client, "GET /health/ready HTTP/1.1\r\n\r\n").substr(0, 3), "503");
  EXPECT_EQ(ask(client, "GET /health/live HTTP/1.1\r\n\r\n").substr(0, 3), "200");
  ASSERT_TRUE(until([&] { return !agent.peers.empty() && !agent.peers[0]->seen().empty(); }));
  std::string list = list_text(5, true, member_text("s-0", nodes[0].address().text(), 0));
  agent.peers[0]->write("HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(list.size()) + "\r\n\r\n" +
                        list);
  std::string reply;
  for (int i = 0; i < 100 && reply.substr(0, 3) != "200"; ++i)
    reply = ask(client, "GET /health/ready HTTP/1.1\r\n\r\n");
  EXPECT_EQ(reply.substr(0, 3), "200");
}

TEST_F(BrokerTest, InvalidRequestsDoNotReachThePolicy) {
  start(true);
  ASSERT_TRUE(connect(client));
  EXPECT_EQ(ask(client, query("q", two_parts(), "3000", "/unknown")).substr(0, 3), "404");
  EXPECT_EQ(ask(client, "GET /search HTTP/1.1\r\n\r\n").substr(0, 3), "405");
  EXPECT_EQ(ask(client, "DELETE /counters HTTP/1.1\r\n\r\n").substr(0, 3), "405");
  EXPECT_EQ(ask(client, query("q", R"({"range":99,"portion":1})")),
            R"(400 {"error":"range: no such shard"})");
  std::string stranger = query("q", two_parts());
  stranger.replace(stranger.find("acme"), 4, "whom");
  EXPECT_EQ(ask(client, stranger), R"(400 {"error":"X-Account: no such tenant"})");
  EXPECT_TRUE(script->all<QueryArrived>().empty());
  EXPECT_NE(broker->counters_json().find("\"bad_queries\":5"), std::string::npos);
}

TEST_F(BrokerTest, MemberListIsDeliveredBeforeQueryAndParts) {
  start(true);
  ASSERT_TRUE(connect(client));
  ASSERT_TRUE(client.write(query(
      "q", R"({"range":3,"portion":0.25,"price":9000},{"range":8,"portion":0.75,"price":1000})", "480")));
  ASSERT_TRUE(until([&] { return !script->all<PartArrived>().empty(); }));
  auto saved = script->all<MembersChanged>();
  ASSERT_FALSE(saved.empty());
  EXPECT_EQ(saved[0].form, MemberListForm::saved);
  ASSERT_EQ(saved[0].members->size(), 2u);
  EXPECT_EQ(saved[0].members->at(1).cell, 1);
  EXPECT_EQ(saved[0].members->at(1).kind, 1);
  EXPECT_FALSE(saved[0].members->at(1).start_known);
  auto arrived = script->all<QueryArrived>();
  ASSERT_EQ(arrived.size(), 1u);
  EXPECT_EQ(arrived[0].cls, 0);
  EXPECT_EQ(arrived[0].parts, 2);
  EXPECT_TRUE(arrived[0].cost_known);
  EXPECT_DOUBLE_EQ(arrived[0].cost.count(), 0.01);
  EXPECT_NEAR(Duration(arrived[0].deadline - script->times.back()).count(), 0.48, 0.4);
  auto parts = script->all<PartArrived>();
  ASSERT_EQ(parts.size(), 2u);
  EXPECT_EQ(parts[1].shard, 8);
  EXPECT_EQ(parts[1].weight, 0.75);
  EXPECT_EQ(parts[1].ordinal, arrived[0].ordinal);
}

// Events are delivered in batches that are at least the minimum interval apart.
TEST_F(BrokerTest, BatchesKeepTheMinimumInterval) {
  start(true);
  ASSERT_TRUE(connect(client));
  script->on_event = [](const Event& event, std::vector<Action>& actions) {
    if (auto* query = std::get_if<QueryArrived>(&event))
      actions.push_back(RefuseQuery{query->query, Duration(0.5)});
  };
  for (int i = 0; i < 30; ++i)
    EXPECT_EQ(ask(client, query("q", two_parts())), R"(503 {"error":"refused"} after 0.500)");
  for (std::size_t i = 1; i < script->times.size(); ++i)
    EXPECT_GE(Duration(script->times[i] - script->times[i - 1]).count(), 0.005 - 1e-9);
}

TEST_F(BrokerTest, PartialAnswerContainsReceivedParts) {
  start(true);
  ASSERT_TRUE(connect(client));
  QueryId asked = 0;
  script->on_event = [&](const Event& event, std::vector<Action>& actions) {
    if (auto* query = std::get_if<QueryArrived>(&event)) asked = query->query;
    if (auto* part = std::get_if<PartArrived>(&event); part && part->shard == 8)
      actions.push_back(SendPart{part->part, 1, Duration{}});
    if (auto* ended = std::get_if<AttemptEnded>(&event)) {
      EXPECT_EQ(ended->outcome, Outcome::ok);
      EXPECT_FALSE(ended->part_open);
      actions.push_back(AnswerQuery{asked, false});
    }
  };
  EXPECT_EQ(ask(client, query("q", two_parts())),
            R"(200 {"total":false,"answers":[{"range":8,"blob":"value of q.8"}]})");
}

TEST_F(BrokerTest, FailedQueryReturns500) {
  start(true);
  ASSERT_TRUE(connect(client));
  script->on_event = [](const Event& event, std::vector<Action>& actions) {
    if (auto* query = std::get_if<QueryArrived>(&event)) actions.push_back(FailQuery{query->query});
  };
  EXPECT_EQ(ask(client, query("q", two_parts())).substr(0, 3), "500");
}

// A query that the policy leaves open must still be answered, and the policy must learn that it has ended.
TEST_F(BrokerTest, UnfinishedQueryReturns504AtDeadline) {
  start(true);
  ASSERT_TRUE(connect(client));
  EXPECT_EQ(ask(client, query("q", two_parts(), "20")).substr(0, 3), "504");
  ASSERT_TRUE(until([&] { return script->all<ClientDisconnected>().size() == 1; }));
}

TEST_F(BrokerTest, DisconnectIsReportedAndLateAnswerIsDropped) {
  start(true);
  ASSERT_TRUE(connect(client));
  ASSERT_TRUE(client.write(query("q", two_parts())));
  ASSERT_TRUE(until([&] { return script->all<QueryArrived>().size() == 1; }));
  client.close();
  ASSERT_TRUE(until([&] { return script->all<ClientDisconnected>().size() == 1; }));
  EXPECT_EQ(script->all<ClientDisconnected>()[0].query, script->all<QueryArrived>()[0].query);
  script->next = {AnswerQuery{script->all<QueryArrived>()[0].query, true}, SetTimer{Duration(0.001), 7}};
  Peer other;
  ASSERT_TRUE(connect(other));
  ASSERT_TRUE(other.write(query("r", two_parts())));
  ASSERT_TRUE(until([&] { return script->all<TimerFired>().size() == 1; }));
  EXPECT_EQ(script->all<TimerFired>()[0].token, 7u);
}

// Two open queries with one id would use the same part ids at the nodes.
TEST_F(BrokerTest, DuplicateIdOfOpenQueryIsRejected) {
  start(true);
  Peer other;
  ASSERT_TRUE(connect(client));
  ASSERT_TRUE(connect(other));
  ASSERT_TRUE(client.write(query("q", two_parts())));
  ASSERT_TRUE(until([&] { return script->all<QueryArrived>().size() == 1; }));
  EXPECT_EQ(ask(other, query("q", two_parts())).substr(0, 3), "409");
  EXPECT_EQ(script->all<QueryArrived>().size(), 1u);
  script->next = {RefuseQuery{script->all<QueryArrived>()[0].query}, SetTimer{Duration(0.001), 7}};
  ASSERT_TRUE(other.write(query("r", two_parts())));
  EXPECT_EQ(reply_to(client).substr(0, 3), "503");
  Peer third;
  ASSERT_TRUE(connect(third));
  ASSERT_TRUE(third.write(query("q", two_parts())));
  ASSERT_TRUE(until([&] { return script->all<QueryArrived>().size() == 3; }));
}

// A query beyond max_open is refused before it reaches the policy, until an open one has ended.
TEST_F(BrokerTest, QueryBeyondMaxOpenIsRefused) {
  peers::ConfigText text;
  text.max_open = "6";
  start(true, text);
  Peer held[2], next;
  for (Peer& peer : held) {
    ASSERT_TRUE(connect(peer));
    ASSERT_TRUE(peer.write(query(&peer == held ? "p" : "q", two_parts())));
  }
  ASSERT_TRUE(until([&] { return script->all<QueryArrived>().size() == 2; }));
  ASSERT_TRUE(connect(next));
  EXPECT_EQ(ask(next, query("r", two_parts())).substr(0, 3), "503");
  EXPECT_EQ(script->all<QueryArrived>().size(), 2u);
  held[0].close();
  ASSERT_TRUE(until([&] { return script->all<ClientDisconnected>().size() == 1; }));
  ASSERT_TRUE(next.write(query("s", two_parts())));
  ASSERT_TRUE(until([&] { return script->all<QueryArrived>().size() == 3; }));
}

// An attempt beyond the limit, or for an ended query, must be reported as not sent.
TEST_F(BrokerTest, AttemptsBeyondTheLimitAreNotSent) {
  start(true);
  nodes_serve = false;
  ASSERT_TRUE(connect(client));
  PartId part = 0;
  script->on_event = [&](const Event& event, std::vector<Action>& actions) {
    auto* arrived = std::get_if<PartArrived>(&event);
    if (!arrived || arrived->shard != 8) return;
    part = arrived->part;
    for (int i = 0; i < 5; ++i) actions.push_back(SendPart{part, 1, Duration(2)});
    actions.push_back(CancelAttempt{part, 0});
  };
  ASSERT_TRUE(client.write(query("q", two_parts())));
  ASSERT_TRUE(until([&] { return script->all<AttemptEnded>().size() == 2; }));
  auto ended = script->all<AttemptEnded>();
  EXPECT_EQ(ended[0].outcome, Outcome::not_sent);
  EXPECT_EQ(ended[0].attempt, 4);
  EXPECT_EQ(ended[1].outcome, Outcome::cancelled);
  EXPECT_EQ(ended[1].attempt, 0);
  client.close();
  ASSERT_TRUE(until([&] { return script->all<ClientDisconnected>().size() == 1; }));
  script->next = {SendPart{part, 1, Duration(2)}};
  Peer other;
  ASSERT_TRUE(connect(other));
  ASSERT_TRUE(other.write(query("r", R"({"range":1,"portion":1})")));
  ASSERT_TRUE(until([&] { return script->all<AttemptEnded>().size() == 3; }));
  EXPECT_EQ(script->all<AttemptEnded>()[2].outcome, Outcome::not_sent);
  EXPECT_FALSE(script->all<AttemptEnded>()[2].part_open);
}

// Events caused by a batch must be delivered even if nothing else wakes the loop.
TEST_F(BrokerTest, CancelledAttemptIsReportedWithoutOtherEvents) {
  start(true);
  nodes_serve = false;
  ASSERT_TRUE(connect(client));
  script->on_event = [&](const Event& event, std::vector<Action>& actions) {
    if (auto* part = std::get_if<PartArrived>(&event)) {
      actions.push_back(SendPart{part->part, 1, Duration(2)});
      actions.push_back(CancelAttempt{part->part, 0});
    }
  };
  ASSERT_TRUE(client.write(query("q", R"({"range":0,"portion":1})", "700")));
  while (script->all<AttemptEnded>().empty() && script->all<ClientDisconnected>().empty()) {
    loop.run_once();
    broker->end_turn();
  }
  EXPECT_EQ(script->all<AttemptEnded>().size(), 1u);
  EXPECT_TRUE(script->all<ClientDisconnected>().empty());
}

// Idle client connections must not keep the broker from connecting to nodes.
TEST_F(BrokerTest, IdleClientsAreClosedForNodeConnections) {
  peers::ConfigText text;
  text.limits = R"({"sockets":64})";
  start(false, text);
  std::vector<Peer> idle(44);
  for (Peer& peer : idle) ASSERT_TRUE(connect(peer));
  ASSERT_TRUE(connect(client));
  EXPECT_EQ(ask(client, query("q", two_parts())).substr(0, 3), "200");
  EXPECT_NE(broker->counters_json().find("\"closed_for_room\":2"), std::string::npos);
}

// A part that still waits for its connection must not be sent after its query has been answered.
TEST_F(BrokerTest, PendingPartIsNotSentAfterQueryEnds) {
  start(true);
  ASSERT_TRUE(connect(client));
  script->on_event = [&](const Event& event, std::vector<Action>& actions) {
    auto* part = std::get_if<PartArrived>(&event);
    if (!part) return;
    actions.push_back(SendPart{part->part, 1, Duration(2)});
    actions.push_back(RefuseQuery{script->all<QueryArrived>().back().query, Duration{}});
  };
  EXPECT_EQ(ask(client, query("q", R"({"range":0,"portion":1})")).substr(0, 3), "503");
  ASSERT_TRUE(until([&] { return script->all<AttemptEnded>().size() == 1; }));
  EXPECT_EQ(script->all<AttemptEnded>()[0].outcome, Outcome::not_sent);
  ASSERT_TRUE(until([&] { return nodes[0].peers.size() == 1; }));  // connected, but unused
  for (int i = 0; i < 20; ++i) {
    loop.run_once(net::Duration(0.001));
    poll();
  }
  EXPECT_NE(broker->counters_json().find("\"frames\":0"), std::string::npos);
}

TEST_F(BrokerTest, SendsOfOneBatchToOneNodeShareFrames) {
  peers::ConfigText text;
  text.parts_a_call = "2";
  start(true, text);
  nodes_serve = false;
  ASSERT_TRUE(connect(client));
  script->on_event = [&](const Event& event, std::vector<Action>& actions) {
    if (auto* part = std::get_if<PartArrived>(&event))
      actions.push_back(SendPart{part->part, 1, Duration(2)});
  };
  ASSERT_TRUE(client.write(
      query("q", R"({"range":0,"portion":0.3},{"range":2,"portion":0.3},{"range":4,"portion":0.4})")));
  ASSERT_TRUE(until([&] {
    return !nodes[0].peers.empty() && nodes[0].peers[0]->seen().find("q.4 4") != std::string_view::npos;
  }));
  nodelink::FrameView frame;
  std::vector<std::string> frames;
  std::string_view seen = nodes[0].peers[0]->seen();
  while (nodelink::next_frame(seen, frame) == nodelink::FrameResult::whole) {
    frames.emplace_back(frame.rest);
    seen.remove_prefix(frame.size);
  }
  ASSERT_EQ(frames.size(), 2u);
  EXPECT_NE(frames[0].find("q.0 0"), std::string::npos);
  EXPECT_NE(frames[0].find("q.2 2"), std::string::npos);
  EXPECT_NE(frames[1].find("q.4 4"), std::string::npos);
}

TEST_F(BrokerTest, MemberChangesReachThePolicyWithStableNodeIds) {
  start(true);
  ASSERT_TRUE(until([&] { return !agent.peers.empty() && !agent.peers[0]->seen().empty(); }));
  std::string address = nodes[0].address().text();
  auto tell = [&](const std::string& list, std::size_t count) {
    agent.peers[0]->drop(agent.peers[0]->seen().size());
    agent.peers[0]->write("HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(list.size()) + "\r\n\r\n" +
                          list);
    return until([&] { return script->all<MembersChanged>().size() == count; });
  };
  ASSERT_TRUE(tell(list_text(5, true,
                             member_text("s-0", address, 0) + "," +
                                 member_text("s-9", address, 1, "ready", "1700000000500")),
                   2));
  auto full = script->all<MembersChanged>()[1];
  EXPECT_EQ(full.form, MemberListForm::full);
  EXPECT_EQ(full.version, 5u);
  ASSERT_EQ(full.members->size(), 2u);
  EXPECT_EQ(full.members->at(0).node, 1u);
  EXPECT_EQ(full.members->at(1).node, 3u);
  EXPECT_TRUE(full.members->at(1).start_known);
  EXPECT_EQ(full.members->at(1).started.time_since_epoch().count(), 1700000000.5);
  ASSERT_TRUE(
      tell(list_text(6, false, R"({"id":"s-9","phase":"gone"},{"id":"never-heard-of","phase":"gone"})"), 3));
  auto changes = script->all<MembersChanged>()[2];
  EXPECT_EQ(changes.form, MemberListForm::delta);
  ASSERT_EQ(changes.members->size(), 1u);
  EXPECT_EQ(changes.members->at(0).node, 3u);
  EXPECT_EQ(changes.members->at(0).status, NodeStatus::gone);
}

// State of removed nodes must be freed, but not before a returning node would count as cold.
TEST_F(BrokerTest, RemovedNodeIsForgottenAfterTheWarmUpTime) {
  peers::ConfigText text;
  text.fall_s = text.warm_up_time = "0.25";
  start(true, text);
  ASSERT_TRUE(until([&] { return !agent.peers.empty() && !agent.peers[0]->seen().empty(); }));
  std::string address = nodes[0].address().text();
  int revision = 4;
  auto tell = [&](const std::string& members) {
    std::string list = list_text(++revision, false, members);
    std::size_t count = script->all<MembersChanged>().size() + 1;
    agent.peers[0]->drop(agent.peers[0]->seen().size());
    agent.peers[0]->write("HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(list.size()) + "\r\n\r\n" +
                          list);
    EXPECT_TRUE(until([&] { return script->all<MembersChanged>().size() == count; }));
    return script->all<MembersChanged>().back().members->at(0).node;
  };
  // The full list is requested first.
  std::string full = list_text(4, true, member_text("s-0", address, 0));
  agent.peers[0]->drop(agent.peers[0]->seen().size());
  agent.peers[0]->write("HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(full.size()) + "\r\n\r\n" +
                        full);
  ASSERT_TRUE(until([&] { return script->all<MembersChanged>().size() == 2; }));
  const std::string gone = R"({"id":"s-0","phase":"gone"})", back = member_text("s-0", address, 0);
  NodeId first = tell(back);
  EXPECT_EQ(tell(gone), first);
  EXPECT_EQ(tell(back), first);
  EXPECT_EQ(tell(gone), first);
  auto since = loop.now();
  ASSERT_TRUE(until([&] { return loop.now() > since + Duration(0.6); }));
  tell(member_text("s-1", address, 1));
  EXPECT_NE(tell(back), first);
}

TEST_F(BrokerTest, ProbeResultCarriesTheReport) {
  start(true);
  nodes_serve = false;
  script->next = {ProbeNode{2}};
  ASSERT_TRUE(connect(client));
  ASSERT_TRUE(client.write(query("q", two_parts())));
  ASSERT_TRUE(until([&] { return !nodes[1].peers.empty() && !nodes[1].peers[0]->seen().empty(); }));
  nodes[1].peers[0]->write(node_frame('p', "qps=12"));
  ASSERT_TRUE(until([&] { return script->all<ProbeEnded>().size() == 1; }));
  EXPECT_EQ(script->all<ProbeEnded>()[0].node, 2u);
  EXPECT_EQ(script->all<ProbeEnded>()[0].report, std::vector<double>{12});
}

// Shutdown must wait for open queries and for those accepted shortly after it started.
TEST_F(BrokerTest, ShutdownAnswersOpenQueries) {
  start(true);
  ASSERT_TRUE(connect(client));
  QueryId open = 0;
  script->on_event = [&](const Event& event, std::vector<Action>& actions) {
    if (auto* query = std::get_if<QueryArrived>(&event)) {
      if (open == 0)
        open = query->query;
      else
        actions.push_back(RefuseQuery{query->query, {}});
    }
    if (std::get_if<TimerFired>(&event)) actions.push_back(FailQuery{open});
  };
  script->next = {};
  ASSERT_TRUE(client.write(query("q", two_parts(), "10000")));
  ASSERT_TRUE(until([&] { return open != 0; }));
  broker->start_draining();
  Peer late;
  ASSERT_TRUE(connect(late));
  EXPECT_EQ(ask(late, "GET /health/ready HTTP/1.1\r\n\r\n").substr(0, 3), "503");
  Peer later;
  ASSERT_TRUE(connect(later));
  EXPECT_EQ(ask(later, query("r", two_parts())).substr(0, 3), "503");
  EXPECT_FALSE(broker->done());
  late.close();
  later.close();
  // The open query delays the end after the listener has closed.
  auto listening = [&] {
    Peer probe = peers::connect_to(broker->address());
    return probe.open();
  };
  ASSERT_TRUE(until([&] { return broker->address().port == 0 || !listening(); }));
  EXPECT_FALSE(broker->done());
  script->next = {FailQuery{open}};
  std::string list = list_text(9, true, member_text("s-0", nodes[0].address().text(), 0));
  agent.peers[0]->write("HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(list.size()) + "\r\n\r\n" +
                        list);
  EXPECT_EQ(reply_to(client).substr(0, 3), "500");
  client.close();
  ASSERT_TRUE(until([&] { return broker->done(); }));
}

}  // namespace
}  // namespace pearspar::broker
