// Members of the agreement alone, on simulated disks and links of a given rate, through the codec in service.
#pragma once

#include <cppunit/extensions/HelperMacros.h>
#include <stdlib.h>

#include <functional>
#include <map>
#include <memory>
#include <stdexcept>
#include <string>

#include "biella/disk.h"
#include "protocol/messages.h"
#include "raft/core.h"

namespace pearspar::raft {

// Counts what it was told and keeps so many bytes beside: a state of any size, the same everywhere.
class Book : public StateMachine {
 public:
  explicit Book(std::size_t bytes) : bytes_(bytes) {}
  void apply(const Entry& change) override {
    ++count;
    digest = digest * 1099511628211u + std::hash<std::string>()(change.data);
  }
  std::string fold() const override {
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

// Members on links of so many bytes a second, in simulated time, through the codec in service.
class Rig {
 public:
  struct Node {
    Node(biella::World& world, std::size_t bytes) : disk(world), book(bytes), state_bytes(bytes) {}
    std::string address;
    biella::SimDisk disk;
    Book book;
    std::size_t state_bytes;
    std::unique_ptr<Core> core;
    std::uint64_t life = 0;
    bool cut = false;    // from all
    bool older = false;  // takes no pieces, and can't read them
    Time awake{};
  };

  explicit Rig(std::size_t count, std::size_t state_bytes, double bytes_per_s = 17e6 / 8,
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
    node.book = Book(node.state_bytes);
    Options options;
    options.address = node.address;
    options.founders = options.seeds = founders_;
    options.first_start = first;
    options.fresh_id = options.seed = world.number() | 1;
    node.core = std::make_unique<Core>(node.disk, node.book, options);
    ++node.life;
    node.core->start(world.now());
    pump(node);
  }
  void kill(Node& node, bool power) {
    node.core.reset();
    ++node.life;
    if (power) node.disk.lose_power();
  }
  void run(double seconds) { world.run_until(world.now() + Duration(seconds)); }
  // Until it is so, `within` at the longest; how long it took.
  double until(double within, const std::function<bool()>& so) {
    Time start = world.now();
    while (!so() && world.now() - start < Duration(within)) run(0.01);
    CPPUNIT_ASSERT(so());
    return (world.now() - start).count();
  }
  Node* leader() {
    for (auto& node : nodes)
      if (node->core && node->core->may_speak(world.now())) return node.get();
    return nullptr;
  }
  Node& lead() {
    until(10, [&] { return leader() != nullptr; });
    return *leader();
  }
  Node& other(std::size_t skip = 0) {
    Node* leads = &lead();
    for (auto& node : nodes)
      if (node.get() != leads && skip-- == 0) return *node;
    throw std::logic_error("no other");
  }
  bool change(std::size_t bytes, std::uint64_t number = 0) {
    Node* node = leader();
    if (!node) return false;
    bool taken =
        node->core->propose(world.now(), std::string(bytes, 'c') + std::to_string(number)).has_value();
    if (taken) ++taken_;
    pump(*node);
    return taken;
  }
  bool same(Node& node) {
    Node* leads = leader();
    return leads && node.core && node.core->applied() == leads->core->commit() &&
           node.book.digest == leads->book.digest && node.book.count == leads->book.count;
  }
  void pump(Node& node) {
    if (!node.core) return;
    if (world.now() < node.awake) return;
    Time done = std::max(world.now(), node.disk.busy_until());
    node.core->tick(world.now());
    for (Outgoing& out : node.core->take_out()) {
      if (node.older) out.message.can = 0;
      send(node, out, done);
    }
    std::uint64_t life = node.life;
    world.at(std::max(node.core->due(), world.now() + Duration(0.002)), [this, &node, life] {
      if (node.life == life) pump(node);
    });
  }

  std::function<bool(const Message&, const std::string& to)> lose = [](const Message&, const std::string&) {
    return false;
  };
  std::map<std::string, std::size_t> bytes_to;  // handed to the links
  std::map<MessageKind, std::size_t> words;
  std::size_t most_out = 0;  // bytes on one link at once

 private:
  void send(Node& from, const Outgoing& out, Time leaves) {
    std::string frame = protocol::pack(out.message);
    CPPUNIT_ASSERT(frame.size() <= protocol::max_frame_bytes);
    bytes_to[out.address] += frame.size();
    ++words[out.message.kind];
    if (from.cut || lose(out.message, out.address)) return;
    Time& free = free_[{from.address, out.address}];
    free = std::max(free, leaves) + Duration(static_cast<double>(frame.size()) / rate_);
    most_out = std::max(most_out, static_cast<std::size_t>((free - world.now()).count() * rate_));
    world.at(free + Duration(0.001), [this, to = out.address, frame] { arrive(to, frame); });
  }
  void arrive(const std::string& to, const std::string& frame) {
    for (auto& node : nodes) {
      if (node->address != to || !node->core || node->cut) continue;
      Time due = std::max(node->awake, node->disk.busy_until());
      if (due > world.now()) {
        world.at(due, [this, to, frame] { arrive(to, frame); });
        return;
      }
      auto message = protocol::unpack(frame);
      CPPUNIT_ASSERT(message);
      const auto& word = std::get<Message>(*message);
      if (node->older && word.kind > MessageKind::take_over) return;  // a frame that it can't read
      node->core->step(world.now(), word);
      pump(*node);
    }
  }

  double rate_;
  std::size_t state_bytes_;
  std::vector<std::string> founders_;
  std::map<std::pair<std::string, std::string>, Time> free_;
  std::uint64_t taken_ = 0;

 public:
  biella::World world;
  std::vector<std::unique_ptr<Node>> nodes;
};

constexpr std::size_t mb = 1 << 20;

// A member that was away while the others folded all that it lacks.
struct Behind {
  explicit Behind(std::size_t state, std::size_t nodes = 3) : rig(nodes, state), away(&rig.other()) {
    rig.kill(*away, true);
    rig.run(3);
    fill();
  }
  void fill() {
    Index before = rig.lead().core->log().snapshot().index;
    for (int i = 0; i < 64 || rig.lead().core->log().snapshot().index == before; ++i) {
      if (rig.leader()) rig.change(128 << 10, static_cast<std::uint64_t>(i));
      rig.run(0.15);
    }
    rig.run(0.5);
  }
  // So far that about so many bytes are on the other side.
  void begin(std::size_t bytes) {
    rig.bytes_to.clear();
    rig.start(*away);
    rig.until(20, [&] { return rig.bytes_to[away->address] >= bytes; });
  }
  void arrives(double within) {
    rig.until(within, [&] { return rig.same(*away); });
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, away->core->counters().installed);
  }
  Rig rig;
  Rig::Node* away;
};

// A member with an empty disk that hears only what it is handed.
struct Lone {
  Lone() { core.start(world.now()); }
  static Options options() {
    Options options;
    options.address = "b:2";
    options.fresh_id = 12;
    return options;
  }
  biella::World world{1};
  biella::SimDisk disk{world};
  Book book{0};
  Core core{disk, book, options()};
};

}  // namespace pearspar::raft
