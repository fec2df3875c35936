// The replica (DESIGN): least smoothed latency x (1 + our calls outstanding there); an unheard-of node is
// average.
#pragma once

#include "policy/constraints.h"

namespace pearspar::policy {

constexpr Duration latency_trust = 10s;  // after so long a silence, a node counts two thirds as its zone does
constexpr double cell_doubt = 2;  // samples' worth of doubt: with fewer, a cell counts as its zone does

class ReplicaSelection : public Constraints {
 protected:
  using Constraints::Constraints;

  bool holds(const Node& node, int shard) const {
    int ahead = (node.member.cell - shard % s_.cells + s_.cells) % s_.cells;
    return ahead < std::min(s_.cells_per_shard, s_.cells);
  }

  // DESIGN's average, of the nodes on the same way: what all nodes of a zone share from here (a slow or lossy
  // link, an outage), and what those of a cell share (the demand for its shards), a broker with little
  // traffic learns from any of them.
  double average_latency(const Node& node) const {
    auto zone = zone_latency_.find(node.member.zone);
    double average = zone != zone_latency_.end() ? zone->second.first / zone->second.second
                     : median_ > 0               ? median_
                                                 : 0.1;
    auto cell = cells_.find(node.member.cell);
    if (cell == cells_.end()) return average;
    double fade = std::exp(-(now_ - cell->second.at) / cell_memory);
    return (cell->second.earned * fade + cell_doubt * average) / (cell->second.asked * fade + cell_doubt);
  }

  // What counts as one call: no more parts than an even spread over the nodes would put into it. Counting
  // only full calls, the quickest node would take a call's worth of a wide query's parts before it looked any
  // busier.
  void size_calls() {
    double parts = 0, nodes = 0;
    for (const auto& [id, query] : queries_) {
      if (query.ended || !query.admitted) continue;
      for (const Part& part : query.parts)
        if (part.step == query.step && part.attempts.empty()) ++parts;
    }
    for (const auto& [id, node] : nodes_)
      if (node.member.status == NodeStatus::ready) ++nodes;
    call_size_ = std::clamp(static_cast<int>(std::ceil(parts / std::max(1.0, nodes))), 1, s_.parts_per_call);
  }

  double expected_latency(const Node& node) const {
    double latency = average_latency(node);
    if (node.latency > 0)
      latency += (node.latency - latency) * std::exp(-(now_ - node.last_sample) / latency_trust);
    // A silent node looks idle: what it has not answered for longer than that is its latency so far.
    if (!node.outstanding.empty())
      latency = std::max(latency, Duration(now_ - node.outstanding.front()).count());
    return latency;
  }

  double cost_of(const Node& node) const {
    double latency = expected_latency(node);
    auto filling = round_calls_.find(node.member.node);
    bool joins = filling != round_calls_.end() && filling->second.second < call_size_;
    return latency * (1 + node.calls - (joins ? 1 : 0));  // the call that the part would join is the "one"
  }

  // The node for the part's next attempt, or none: those that this part has not tried come first.
  Node* choose_node(const Query& query, const Part& part) {
    Node* best = nullptr;
    std::pair<int, double> best_rank;
    for (auto& [id, node] : nodes_) {
      if (!holds(node, part.shard) || !may_send(query, part, node)) continue;
      int tier = 0;
      for (const Attempt& attempt : part.attempts)
        if (attempt.node == id) tier += attempt.out ? 8 : 2;
      std::pair<int, double> rank{tier, cost_of(node)};
      if (!best || rank < best_rank) best = &node, best_rank = rank;
    }
    return best;
  }
};

}  // namespace pearspar::policy
