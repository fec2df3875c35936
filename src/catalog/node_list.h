// The list of index servers ("nodes"; the HTTP interface calls them brokers), built from their heartbeats.
//
// A node is identified by its id. A retired id never returns, and a node that is closing never opens again.
#pragma once

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "catalog/json.h"
#include "catalog/recent_ids.h"

namespace pearspar::catalog {

using Duration = std::chrono::duration<double>;
using Time = std::chrono::time_point<std::chrono::steady_clock, Duration>;

struct Node {
  std::string id;
  std::string service;
  std::string address;
  std::string zone;
  std::string software_version;
  int slots = 1;
  bool closing = false;
  std::uint64_t sequence = 0;  // of the heartbeat that reported this; rises
  Time cold_until{};           // slow until then

  // Compares all fields that the digest covers, but not `sequence` and `cold_until`, which change with every
  // heartbeat.
  bool same_description(const Node& other) const {
    return service == other.service && address == other.address && zone == other.zone &&
           software_version == other.software_version && slots == other.slots && closing == other.closing;
  }
};

// Digest of the id and of all fields that Node::same_description() compares.
std::uint64_t digest_of(const Node& node);

// Parses the body of a heartbeat of the node `id`. Returns nothing, and sets `fault`, where it is not valid.
std::optional<Node> parse_heartbeat(std::string_view id, std::string_view body, Time now, Fault& fault);

class NodeList {
 public:
  enum class PutResult {
    changed,
    unchanged,  // only the sequence number and `cold_until` were updated
    stale       // older than what is known, or the node is retired
  };

  // Adds or updates a node. Removes another node that is listed at the same address and stores its id in
  // `displaced`.
  PutResult put(const Node& node, std::string* displaced = nullptr);
  // Removes a node permanently. Returns false where its id was retired already.
  bool retire(std::string_view id);
  // Marks a node as closing, listed or not. Returns false where that changes nothing in the list.
  bool close(std::string_view id);
  // Removes a node that may return with its next heartbeat. A closing node is retired instead.
  bool remove(std::string_view id);
  bool is_retired(const std::string& id) const { return retired_.contains(id); }
  // Whether the node was marked by close(): heartbeats that say otherwise are late.
  bool is_closing(const std::string& id) const { return closing_.contains(id); }

  const Node* find(std::string_view id) const;
  const std::map<std::string, Node, std::less<>>& all() const { return nodes_; }
  // Retired ids, oldest first.
  const std::deque<std::string>& retired() const { return retired_.in_order(); }
  // Digest of the listed nodes, independent of their order. Never 0.
  std::uint64_t digest() const { return digest_ | 1; }

 private:
  static constexpr std::size_t max_retired = 4096;  // retired ids that are remembered
  static constexpr std::size_t max_closing = 4096;  // ids marked by close() that are remembered

  std::uint64_t digest_ = 0;
  std::map<std::string, Node, std::less<>> nodes_;
  std::map<std::string, std::string, std::less<>> by_address_;
  RecentIds retired_{max_retired};
  RecentIds closing_{max_closing};
};

}  // namespace pearspar::catalog
