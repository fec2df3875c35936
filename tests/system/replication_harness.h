// Raft members on simulated disks and links of limited bandwidth, using the real message codec.
#pragma once

#include <cppunit/extensions/HelperMacros.h>
#include <stdlib.h>

#include <functional>
#include <map>
#include <memory>
#include <stdexcept>
#include <string>

#include "protocol/messages.h"
#include "raft/core.h"
#include "simulation/disk.h"

namespace pearspar::raft {

// State machine that counts and hashes the changes; its snapshots are padded to a given size.
class CountingMachine : public StateMachine {
 public:
  explicit CountingMachine(std::size_t bytes) : bytes_(bytes) {}
  void apply(const Entry& change) override {
    ++count;
    digest = digest * 1099511628211u + std::hash<std::string>()(change.data);
  }
  std::string take_snapshot() const override {
    std::string out = std::to_string(count) + " " + std::to_string(digest) + " ";
    out.resize(std::max(out.size(), bytes_), static_cast<char>('a' + count % 26));
    return out;
  }
  void restore(const std::string& state) override {
    char* rest = nullptr;
    count = std::strtoull(state.c_str(), &rest, 10);
    digest = std::strtoull(rest, nullptr, 10);
  }

  std::uint64_t count = 0, digest = 0;

 private:
  std::size_t bytes_;
};

// A Raft group in simulated time.
class ReplicationHarness {
 public:
  struct Node {
    Node(simulation::World& world, std::size_t bytes) : disk(world), machine(bytes), state_bytes(bytes) {}
    std::string address;
    simulation::SimDisk disk;
    CountingMachine machine;
    std::size_t state_bytes;
    std::unique_ptr<Core> core;
    std::uint64_t incarnation = 0;
    bool isolated = false;
    bool without_chunks = false;  // an older version that does not know snapshot chunks
    Time paused_until{};
  };

  explicit ReplicationHarness(std::size_t count, std::size_t state_bytes, double bytes_per_s = 17e6 / 8,
                              std::uint64_t seed = 1)
      : rate_(bytes_per_s), state_bytes_(state_bytes), world(seed) {
    for (std::size_t i = 0; i < count; ++i) founders_.push_back("m" + std::to_string(i));
    for (std::size_t i = 0; i < count; ++i) add(true);
  }

  Node& add(bool first) {
    nodes.push_back(std::make_unique<Node>(world, state_bytes_));
    nodes.back()->address = "m" + std::to_string(nodes.size() - 1);
    start(*nodes.back(), first);
    return *nodes.back();
  }
  void start(Node& node, bool first = false) {
    node.machine = CountingMachine(node.state_bytes);
    Options options;
    options.address = node.address;
    options.founders = options.seeds = founders_;
    options.first_start = first;
    options.fresh_id = options.seed = world.number() | 1;
    node.core = std::make_unique<Core>(node.disk, node.machine, options);
    ++node.incarnation;
    node.core->start(world.now());
    pump(node);
  }
  void kill(Node& node, bool power) {
    node.core.reset();
    ++node.incarnation;
    if (power) node.disk.lose_power();
  }
  void run_for(double seconds) { world.run_until(world.now() + Duration(seconds)); }
  // Runs until `done` holds, at most for `within` seconds, and returns the time it took in seconds.
  double run_until(double within, const std::function<bool()>& done) {
    Time start = world.now();
    while (!done() && world.now() - start < Duration(within)) run_for(0.01);
    CPPUNIT_ASSERT(done());
    return (world.now() - start).count();
  }
  Node* leader() {
    for (auto& node : nodes)
      if (node->core && node->core->holds_lease(world.now())) return node.get();
    return nullptr;
  }
  Node& wait_for_leader() {
    run_until(10, [&] { return leader() != nullptr; });
    return *leader();
  }
  Node& follower(std::size_t skip = 0) {
    Node* leader_node = &wait_for_leader();
    for (auto& node : nodes)
      if (node.get() != leader_node && skip-- == 0) return *node;
    throw std::logic_error("no such follower");
  }
  bool propose(std::size_t bytes, std::uint64_t number = 0) {
    Node* node = leader();
    if (!node) return false;
    bool accepted =
        node->core->propose(world.now(), std::string(bytes, 'c') + std::to_string(number)).has_value();
    if (accepted) ++accepted_;
    pump(*node);
    return accepted;
  }
  bool in_sync(Node& node) {
    Node* leader_node = leader();
    return leader_node && node.core && node.core->applied() == leader_node->core->commit() &&
           node.machine.digest == leader_node->machine.digest &&
           node.machine.count == leader_node->machine.count;
  }
  void pump(Node& node) {
    if (!node.core) return;
    if (world.now() < node.paused_until) return;
    Time done = std::max(world.now(), node.disk.busy_until());
    node.core->tick(world.now());
    for (OutgoingMessage& out : node.core->take_out()) {
      if (node.without_chunks) out.message.capabilities = 0;
      send(node, out, done);
    }
    std::uint64_t incarnation = node.incarnation;
    world.at(std::max(node.core->due(), world.now() + Duration(0.002)), [this, &node, incarnation] {
      if (node.incarnation == incarnation) pump(node);
    });
  }

  std::function<bool(const Message&, const std::string& to)> should_drop =
      [](const Message&, const std::string&) { return false; };
  std::map<std::string, std::size_t> bytes_sent_to;  // including dropped messages
  std::map<MessageKind, std::size_t> messages_sent;
  std::size_t max_queued_bytes = 0;  // most bytes queued on one link

 private:
  void send(Node& from, const OutgoingMessage& out, Time leaves) {
    std::string frame = protocol::pack(out.message);
    CPPUNIT_ASSERT(frame.size() <= protocol::max_frame_bytes);
    bytes_sent_to[out.address] += frame.size();
    ++messages_sent[out.message.kind];
    if (from.isolated || should_drop(out.message, out.address)) return;
    Time& free = free_[{from.address, out.address}];
    free = std::max(free, leaves) + Duration(static_cast<double>(frame.size()) / rate_);
    max_queued_bytes =
        std::max(max_queued_bytes, static_cast<std::size_t>((free - world.now()).count() * rate_));
    world.at(free + Duration(0.001), [this, to = out.address, frame] { arrive(to, frame); });
  }
  void arrive(const std::string& to, const std::string& frame) {
    for (auto& node : nodes) {
      if (node->address != to || !node->core || node->isolated) continue;
      Time due = std::max(node->paused_until, node->disk.busy_until());
      if (due > world.now()) {
        world.at(due, [this, to, frame] { arrive(to, frame); });
        return;
      }
      auto decoded = protocol::unpack(frame);
      CPPUNIT_ASSERT(decoded);
      const auto& message = std::get<Message>(*decoded);
      if (node->without_chunks && message.kind > MessageKind::timeout_now) return;  // unknown to that version
      node->core->step(world.now(), message);
      pump(*node);
    }
  }

  double rate_;
  std::size_t state_bytes_;
  std::vector<std::string> founders_;
  std::map<std::pair<std::string, std::string>, Time> free_;
  std::uint64_t accepted_ = 0;

 public:
  simulation::World world;
  std::vector<std::unique_ptr<Node>> nodes;
};

constexpr std::size_t mb = 1 << 20;

// A group with one stopped member that needs a snapshot to catch up.
struct LaggingMember {
  explicit LaggingMember(std::size_t state, std::size_t nodes = 3)
      : harness(nodes, state), member(&harness.follower()) {
    harness.kill(*member, true);
    harness.run_for(3);
    compact_leader();
  }
  // Proposes changes until the leader has taken another snapshot.
  void compact_leader() {
    Index before = harness.wait_for_leader().core->log().snapshot().index;
    for (int i = 0; i < 64 || harness.wait_for_leader().core->log().snapshot().index == before; ++i) {
      if (harness.leader()) harness.propose(128 << 10, static_cast<std::uint64_t>(i));
      harness.run_for(0.15);
    }
    harness.run_for(0.5);
  }
  // Starts the member and runs until that many bytes have been sent to it.
  void receive(std::size_t bytes) {
    harness.bytes_sent_to.clear();
    harness.start(*member);
    harness.run_until(20, [&] { return harness.bytes_sent_to[member->address] >= bytes; });
  }
  void expect_caught_up(double within) {
    harness.run_until(within, [&] { return harness.in_sync(*member); });
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, member->core->counters().snapshots_installed);
  }
  ReplicationHarness harness;
  ReplicationHarness::Node* member;
};

// A member with an empty store that receives only the messages passed to it.
struct SingleMember {
  SingleMember() { core.start(world.now()); }
  static Options options() {
    Options options;
    options.address = "b:2";
    options.fresh_id = 12;
    return options;
  }
  simulation::World world{1};
  simulation::SimDisk disk{world};
  CountingMachine machine{0};
  Core core{disk, machine, options()};
};

}  // namespace pearspar::raft
