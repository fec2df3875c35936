// The index servers that are known ("nodes"; the wire's page calls them brokers), and the fold of what they
// say. A node's life is its id: what is gone never comes back, and what closes never opens again.
#pragma once

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_set>

#include "catalog/json.h"

namespace pearspar::catalog {

using Duration = std::chrono::duration<double>;
using Time = std::chrono::time_point<std::chrono::steady_clock, Duration>;

struct Node {
  std::string id;
  std::string service;
  std::string address;
  std::string zone;
  std::string software_version;  // of its software
  int slots = 1;
  bool closing = false;
  std::uint64_t call = 0;  // the number of the call that said so; rises
  Time cold_until{};       // slow until then

  // The same but for what each call changes.
  bool same_description(const Node& other) const {
    return service == other.service && address == other.address && zone == other.zone &&
           software_version == other.software_version && slots == other.slots && closing == other.closing;
  }
};

// Of all that same_description() compares, and the id.
std::uint64_t digest_of(const Node& node);

// Nothing, with the fault, where the body is no beat of that id.
std::optional<Node> parse_heartbeat(std::string_view id, std::string_view body, Time now, Fault& fault);

class NodeList {
 public:
  enum class Taken { news, same, stale };  // same: only its call rose; stale: older than what is known

  // Another node at the same address is lost by it: two cannot stand there.
  Taken put(const Node& node, std::string* displaced = nullptr);
  // For good. False where it was gone already.
  bool gone(std::string_view id);
  // For now: it may come back by a beat, unless it was closing.
  bool lose(std::string_view id);
  bool is_gone(const std::string& id) const { return gone_.count(id) != 0; }

  const Node* find(std::string_view id) const;
  const std::map<std::string, Node, std::less<>>& all() const { return nodes_; }
  const std::deque<std::string>& ended() const { return gone_order_; }
  // Of the nodes that are listed, in any order: two lists that say the same have the same. Never 0.
  std::uint64_t digest() const { return digest_ | 1; }

 private:
  static constexpr std::size_t max_retired = 4096;  // ids kept of those that are gone
  void bury(const std::string& id);
  std::uint64_t digest_ = 0;

  std::map<std::string, Node, std::less<>> nodes_;
  std::map<std::string, std::string, std::less<>> by_address_;
  std::unordered_set<std::string> gone_;
  std::deque<std::string> gone_order_;
};

}  // namespace pearspar::catalog
