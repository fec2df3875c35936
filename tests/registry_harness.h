// A stand-in registry, a source that follows it and a user that keeps what it was told, all on one loop.
#pragma once

#include <gtest/gtest.h>

#include <map>

#include "peers.h"
#include "registry/source.h"
#include "standins/registry_world.h"

namespace pearspar::registry::testing {

inline std::string record_of(const std::string& id, int cell, int port = 9000, bool draining = false) {
  membership::Entry entry;
  entry.id = id;
  entry.address = {0x7f000001, static_cast<std::uint16_t>(port)};
  entry.cell = cell;
  entry.phase = draining ? membership::Phase::draining : membership::Phase::ready;
  return write_record(entry);
}

// What a broker would hold of what it is told. Every telling must tell something.
class Listener : public membership::MembersHandler {
 public:
  void members_told(const membership::MemberList& list) override {
    ++tellings;
    revision = list.revision;
    if (list.complete) {
      ++whole;
      nodes.clear();
      for (const membership::Entry& entry : list.entries) nodes[entry.id] = entry;
    } else {
      for (const membership::Entry& entry : list.entries) {
        auto held = nodes.find(entry.id);
        if (entry.phase == membership::Phase::gone) {
          if (held == nodes.end()) ADD_FAILURE() << entry.id << " is told gone and was not there";
          nodes.erase(entry.id);
        } else {
          if (held != nodes.end() && held->second == entry)
            ADD_FAILURE() << entry.id << " is told again unchanged";
          nodes[entry.id] = entry;
        }
      }
    }
    if (on_told) on_told();
  }
  void members_failed() override { ++failed; }

  std::map<std::string, membership::Entry> nodes;
  int tellings = 0;
  int whole = 0;
  int failed = 0;
  std::int64_t revision = 0;
  std::function<void()> on_told;
};

class RegistryTest : public ::testing::Test {
 protected:
  void make(standins::Wire wire = standins::Wire::etcd, int members = 1, std::uint64_t seed = 3) {
    world = std::make_unique<standins::RegistryWorld>(loop, wire, members, seed);
    options.dialect = wire == standins::Wire::etcd ? DialectKind::etcd : DialectKind::consul;
    options.prefix = wire == standins::Wire::etcd ? "/pearspar/nodes/" : "pearspar/nodes/";
    options.endpoints = world->addresses();
  }
  void follow() {
    source = std::make_unique<RegistrySource>(loop, peers::quiet_log(), options, 11, user);
    source->start();
  }
  std::string key(const std::string& id) const { return options.prefix + id; }
  void put(const std::string& id, int cell = 0) { world->store().put(key(id), record_of(id, cell)); }
  void remove(const std::string& id) { world->store().remove(key(id)); }
  bool until(const std::function<bool()>& enough) {
    return peers::turn_until(
        loop, [] {}, enough);
  }
  void pass(net::Duration time) {
    net::Time end = loop.read_clock() + time;
    while (loop.read_clock() < end) loop.run_once(std::chrono::milliseconds(2));
  }
  std::map<std::string, int> in_registry() const {
    std::map<std::string, int> found;
    for (const auto& [name, kv] : world->store().now()) {
      if (name.compare(0, options.prefix.size(), options.prefix) != 0) continue;
      std::string id = name.substr(options.prefix.size());
      found[id] = read_record(id, kv.value).cell;
    }
    return found;
  }
  std::map<std::string, int> told() const {
    std::map<std::string, int> found;
    for (const auto& [id, entry] : user.nodes) found[id] = entry.cell;
    return found;
  }
  bool equal() {
    return until([&] { return user.whole > 0 && told() == in_registry(); });
  }
  const FollowerCounters& counters() const { return source->follower().counters(); }

  net::Loop loop;
  std::unique_ptr<standins::RegistryWorld> world;
  RegistryOptions options;
  Listener user;
  std::unique_ptr<RegistrySource> source;
};

}  // namespace pearspar::registry::testing
