// What this edge has seen of each node, and which node of a service is asked next: the least smoothed latency
// times one plus the calls out there; a node that was not heard yet counts as the average of those that were.
// Bytes between zones cost the operators: a node of another zone counts as slower, by what its answer weighs.
#pragma once

#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "catalog/node_list.h"
#include "pederu/types.h"

namespace pearspar::pederu {

struct KnownNode {
  std::string id;
  std::string service;
  std::string address;
  std::string zone;
  int slots = 1;
  bool closing = false;
  bool listed = true;  // false: the list has it no more; kept while calls are out
  Time cold_until{};

  int out = 0;            // calls
  double latency_ms = 0;  // smoothed
  bool heard = false;     // has answered once
  int silent = 0;         // calls in a row that it left without any answer
  Time blamed_until{};    // not asked before, unless nobody else is there
};

using NodePtr = std::shared_ptr<KnownNode>;  // kept by calls and requests past the node's own end

class NodeBook {
 public:
  // The list's news of one node; `node` is null where it is not listed any more.
  void update(const std::string& id, const catalog::Node* node);

  // The best node of the service that is not among `tried`; nothing where there is none.
  // `away`: how many times slower a node of another zone counts.
  NodePtr choose(Time now, const std::string& service, const std::vector<NodePtr>& tried, std::uint64_t turn,
                 double away = 1) const;
  void set_home(std::string zone) { home_ = std::move(zone); }
  // Whether there is another that is not in disgrace.
  bool other(Time now, const std::string& service, const std::vector<NodePtr>& tried) const;
  // Whether anybody of the service answers, as far as can be told: false where every one of its nodes has
  // left several calls in a row without an answer.
  bool answers(const std::string& service) const;
  // Whether it is time to try one that does not; if so, the next is put off.
  bool trial_due(Time now, const std::string& service);
  // Nodes of a service that may be asked.
  std::size_t open(const std::string& service) const;

  void started(KnownNode& node) { ++node.out; }
  // An answer, or a refusal by the node itself, after so long.
  void answered(Time now, KnownNode& node, Duration took);
  void refused(Time now, KnownNode& node);
  // The connection failed, broke, or carried no answer.
  void failed(Time now, KnownNode& node);
  // Given up on while it still works on the call, or is silent.
  void late(Time now, KnownNode& node, Duration waited);
  void ended(KnownNode& node);  // the call's place is free again
  // Somebody else stands at its address.
  void misplaced(KnownNode& node) { node.listed = false; }

 private:
  static constexpr double smoothing = 0.2;

  struct Service {
    std::vector<NodePtr> nodes;
    Time trial_due{};
  };
  void forget(const std::string& id);

  std::unordered_map<std::string, NodePtr> nodes_;
  std::unordered_map<std::string, Service> services_;
  std::string home_;  // our zone
};

}  // namespace pearspar::pederu
