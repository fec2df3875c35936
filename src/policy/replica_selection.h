// Selection of a replica: the least expected latency x (1 + own calls open there).
#pragma once

#include "policy/constraints.h"

namespace pearspar::policy {

constexpr Duration node_latency_trust =
    10s;                                   // after such a silence, a node counts two thirds as its peers do
constexpr double cell_prior_weight = 2;    // samples; with fewer, a cell counts mostly as its zone does
constexpr double default_latency_s = 0.1;  // without any sample

class ReplicaSelection : public Constraints {
 protected:
  using Constraints::Constraints;

  bool holds_shard(const Node& node, int shard) const {
    int ahead = (node.member.cell - shard % settings_.cells + settings_.cells) % settings_.cells;
    return ahead < std::min(settings_.cells_per_shard, settings_.cells);
  }

  // Mean latency of the nodes that share this node's network path (its zone) and the demand for its shards
  // (its cell), so that a broker with little traffic learns from any of them.
  double peer_latency(const Node& node) const {
    auto zone = zone_latencies_.find(node.member.zone);
    double mean = zone != zone_latencies_.end() ? zone->second.first / zone->second.second
                  : median_latency_ > 0         ? median_latency_
                                                : default_latency_s;
    auto cell = cell_latencies_.find(node.member.cell);
    if (cell == cell_latencies_.end()) return mean;
    double decay = std::exp(-(now_ - cell->second.updated) / cell_latency_memory);
    return (cell->second.sum * decay + cell_prior_weight * mean) /
           (cell->second.weight * decay + cell_prior_weight);
  }

  // Sets how many parts fill a call: no more than an even spread over the nodes puts into it. With larger
  // calls, the quickest node would take a whole call's parts of a wide query before it looked any busier.
  void update_call_size() {
    double parts = 0, nodes = 0;
    for (const auto& [id, query] : queries_) {
      if (query.ended || !query.admitted) continue;
      for (const Part& part : query.parts)
        if (part.step == query.step && part.attempts.empty()) ++parts;
    }
    for (const auto& [id, node] : nodes_)
      if (node.member.status == NodeStatus::ready) ++nodes;
    call_size_ =
        std::clamp(static_cast<int>(std::ceil(parts / std::max(1.0, nodes))), 1, settings_.parts_per_call);
  }

  double expected_latency(const Node& node) const {
    double latency = peer_latency(node);
    if (node.latency > 0)
      latency += (node.latency - latency) * std::exp(-(now_ - node.last_sample) / node_latency_trust);
    // A node that does not answer would look idle: the age of its oldest attempt is a lower bound.
    if (!node.in_flight.empty()) latency = std::max(latency, Duration(now_ - node.in_flight.front()).count());
    return latency;
  }

  double expected_cost(const Node& node) const {
    double latency = expected_latency(node);
    auto filling = batch_calls_.find(node.member.node);
    bool joins = filling != batch_calls_.end() && filling->second.second < call_size_;
    return latency * (1 + node.open_calls - (joins ? 1 : 0));  // the joined call is among the open ones
  }

  // Returns the node for the part's next attempt, or null. Nodes that this part has not tried come first.
  Node* select_node(const Query& query, const Part& part) {
    Node* best = nullptr;
    std::pair<int, double> best_rank;
    for (auto& [id, node] : nodes_) {
      if (!holds_shard(node, part.shard) || !may_send(query, part, node)) continue;
      int tier = 0;
      for (const Attempt& attempt : part.attempts)
        if (attempt.node == id) tier += attempt.in_flight ? 8 : 2;
      std::pair<int, double> rank{tier, expected_cost(node)};
      if (!best || rank < best_rank) best = &node, best_rank = rank;
    }
    return best;
  }
};

}  // namespace pearspar::policy
