// A whole broker whose list comes from a registry, under load, while the registry is restarted and nodes come
// and go.
#include "broker/broker.h"
#include "config_text.h"
#include "registry_harness.h"
#include "standins/node.h"

namespace pearspar::broker {
namespace {

using namespace std::chrono_literals;
using registry::testing::RegistryTest;
using standins::NodeStandin;
using standins::Wire;

class RegistryBroker : public RegistryTest, public ::testing::WithParamInterface<Wire> {
 protected:
  // A client that asks without end, one query after the other; every one must be served whole.
  struct Client {
    peers::Peer peer;
    bool asked = false;
    int served = 0;
    std::vector<std::string> other;
  };

  void start() {
    make(GetParam(), 3);
    // Two nodes to each of the two cells.
    for (int i = 0; i < 4; ++i) {
      nodes.push_back(std::make_unique<NodeStandin>(loop, net::Address{0x7f000001, 0},
                                                    standins::NodeBehaviour{1ms, 2ms},
                                                    static_cast<std::uint64_t>(i)));
      write(i, false);
    }
    config = config::read_config(text.text());
    broker_options.membership = options::MembershipKind::registry;
    broker_options.registry = options;
    broker = std::make_unique<Broker>(loop, peers::quiet_log(), config,
                                      make_policy(config.policy, config.seed), broker_options);
    broker->start();
    ASSERT_TRUE(turn([&] { return ready(); }));
    clients.resize(6);
    for (Client& client : clients) client.peer = peers::connect_to(broker->address());
    ASSERT_TRUE(turn([&] { return served() > 30; }));
  }
  void write(int i, bool draining) {
    membership::Entry entry;
    entry.id = "s-" + std::to_string(i);
    entry.address = nodes[static_cast<std::size_t>(i)]->address();
    entry.zone = "a";
    entry.kind = "m1";
    entry.cell = i % 2;
    entry.phase = draining ? membership::Phase::draining : membership::Phase::ready;
    world->store().put(key(entry.id), registry::write_record(entry));
  }
  bool ready() { return broker->counters_json().find("\"revision\":-1") == std::string::npos; }

  void step(Client& client) {
    if (!client.asked) {
      std::string body =
          R"({"ranges":[{"range":3,"portion":0.5},{"range":8,"portion":0.5}],"predicate":"x"})";
      std::string request =
          "POST /search HTTP/1.1\r\nX-Correlation-Id: " + std::to_string(++last_query) +
          "\r\nX-Account: acme\r\nX-Time-Left-Ms: 3000\r\nContent-Length: " + std::to_string(body.size()) +
          "\r\n\r\n" + body;
      client.asked = client.peer.write(request);
      return;
    }
    client.peer.read();
    http::MessageReader reader(http::MessageKind::reply);
    net::Buffer copy;
    copy.append(client.peer.seen());
    if (reader.advance(copy) != http::Progress::done) {
      if (client.peer.ended()) client.other.push_back("ended");
      return;
    }
    std::string body(reader.message().body);
    if (reader.message().status == 200 && body.find("\"total\":true") != std::string::npos)
      ++client.served;
    else
      client.other.push_back(std::to_string(reader.message().status) + body);
    client.peer.drop(client.peer.seen().size());
    client.asked = false;
  }
  bool turn(const std::function<bool()>& enough) {
    return peers::turn_until(
        loop,
        [&] {
          broker->end_turn();
          for (Client& client : clients)
            if (client.peer.open() && client.other.empty()) step(client);
        },
        enough);
  }
  void turn_for(net::Duration time) {
    net::Time end = loop.read_clock() + time;
    turn([&] { return loop.read_clock() >= end; });
  }
  int served() const {
    int sum = 0;
    for (const Client& client : clients) sum += client.served;
    return sum;
  }
  void expect_all_served() {
    for (const Client& client : clients) EXPECT_TRUE(client.other.empty()) << client.other.front();
  }

  peers::ConfigText text;
  config::Config config;
  options::Options broker_options;
  std::vector<std::unique_ptr<NodeStandin>> nodes;
  std::unique_ptr<Broker> broker;
  std::vector<Client> clients;
  std::uint64_t last_query = 0;
};

TEST_P(RegistryBroker, NoQueryIsDroppedAndARemovedNodeGetsNothingPastTheGrace) {
  start();
  for (int i = 0; i < 4; ++i) {
    world->restart();
    turn_for(60ms);
    NodeStandin& node = *nodes[static_cast<std::size_t>(i)];
    write(i, true);  // drained while the watches are being made again
    world->server(i % 3).reset_all();
    std::string revision = "\"revision\":" + std::to_string(world->store().revision());
    ASSERT_TRUE(turn([&] { return broker->counters_json().find(revision) != std::string::npos; }));
    net::Time told = loop.now();
    if (i % 2 == 1) world->store().remove(key("s-" + std::to_string(i)));
    turn_for(config.policy.drain_grace + 300ms);
    EXPECT_LE(node.last_part(), told + config.policy.drain_grace) << "node " << i;
    std::uint64_t parts = node.parts();
    turn_for(100ms);
    EXPECT_EQ(node.parts(), parts);
    write(i, false);
    ASSERT_TRUE(turn([&] { return node.parts() > parts; })) << "node " << i << " is not taken back";
  }
  expect_all_served();
  EXPECT_GT(served(), 200);
}

TEST_P(RegistryBroker, AllEndpointsDownUnderLoadTheListServesOn) {
  start();
  for (int m = 0; m < 3; ++m) world->server(m).go_down();
  int before = served();
  turn_for(1500ms);
  EXPECT_GT(served(), before + 100);
  for (int m = 0; m < 3; ++m) world->server(m).come_up();
  write(0, true);
  std::uint64_t last = 0;
  ASSERT_TRUE(
      turn([&] { return broker->counters_json().find("\"state\":\"following\"") != std::string::npos; }));
  turn_for(config.policy.drain_grace);
  last = nodes[0]->parts();
  turn_for(200ms);
  EXPECT_EQ(nodes[0]->parts(), last);
  expect_all_served();
}

// From the agent to the registry, to a fixed list and back, under load.
TEST_P(RegistryBroker, ASwitchOfSourcesLeavesNoGap) {
  start();
  options::Options fixed;
  fixed.membership = options::MembershipKind::fixed;
  fixed.fixed.complete = true;
  fixed.fixed.revision = 1;
  for (int i = 0; i < 4; ++i) {
    membership::Entry entry;
    entry.id = "s-" + std::to_string(i);
    entry.address = nodes[static_cast<std::size_t>(i)]->address();
    entry.cell = i % 2;
    fixed.fixed.entries.push_back(entry);
  }
  for (int i = 0; i < 3; ++i) {
    broker->reload(config, fixed);
    turn_for(30ms);
    // The registry is down just when it is switched to: what stands serves until it has told.
    world->server(0).go_down();
    world->server(1).go_down();
    world->server(2).go_down();
    broker->reload(config, broker_options);
    turn_for(80ms);
    for (int m = 0; m < 3; ++m) world->server(m).come_up();
    ASSERT_TRUE(
        turn([&] { return broker->counters_json().find("\"state\":\"following\"") != std::string::npos; }));
  }
  int before = served();
  turn_for(100ms);
  EXPECT_GT(served(), before);
  expect_all_served();
}

INSTANTIATE_TEST_SUITE_P(Dialects, RegistryBroker, ::testing::Values(Wire::etcd, Wire::consul),
                         [](const auto& info) { return info.param == Wire::etcd ? "etcd" : "consul"; });

}  // namespace
}  // namespace pearspar::broker
