// Admission control: limits the parts in flight and refuses queries on arrival, at random in proportion to
// what their tenant or shards fail to earn, or for lack of time.
#pragma once

#include "policy/replica_selection.h"

namespace pearspar::policy {

// Of the shortest latency target. Where a shard's quickest replica takes this long, optional parts there
// begin to be skipped; at twice that, all are.
constexpr double hot_shard_latency_share = 0.16;
constexpr double target_latency_share = 0.18;  // of the shortest latency target: median to control for
constexpr Duration limit_step_interval = 250ms;
constexpr double limit_decrease = 0.8;  // least factor in a step
constexpr double limit_increase = 1.1;  // factor in a step, if the limit is in use
constexpr double limit_in_use_share = 0.8;
// Of a step's answers: above it, nodes are full. Refusals show this before the median latency does.
constexpr double refused_share = 0.1;
constexpr double min_limit = 2;                // parts, so that latencies are still learnt
constexpr double yield_slack = 1.5;            // times what earned its worth may be admitted
constexpr double max_latency_quantile = 0.95;  // of the parts' latency: time that a query must have left

class Admission : public ReplicaSelection {
 protected:
  using ReplicaSelection::on;
  using ReplicaSelection::ReplicaSelection;

  void on(const QueryArrived& arrival) {
    if (settings_.has_retry_budget) arrival_times_.push_back(now_);
    const ClassSettings& cls = settings_.classes[static_cast<std::size_t>(arrival.cls)];
    Query& query = queries_[arrival.query];
    query = Query{};
    query.id = arrival.query;
    query.ordinal = arrival.ordinal;
    query.cls = arrival.cls;
    query.tenant = arrival.tenant;
    query.arrived = now_;
    query.deadline = arrival.deadline;
    Duration extension = arrival.cost_known ? arrival.cost * cls.latency_target_per_work : Duration{};
    query.target_at =
        std::min(now_ + std::min(cls.latency_target + extension, cls.client_timeout), arrival.deadline);
    query.parts_pending = arrival.parts;
    query_by_ordinal_[arrival.ordinal] = arrival.query;
  }

  void on(const PartArrived& arrival) {
    if (settings_.has_retry_budget) arrival_times_.push_back(now_);
    auto owner = query_by_ordinal_.find(arrival.ordinal);
    if (owner == query_by_ordinal_.end()) return;
    Query& query = queries_.at(owner->second);
    if (query.ended) return;
    Part part;
    part.id = arrival.part;
    part.step = query.step;
    part.shard = arrival.shard;
    part.weight = arrival.weight;
    query.parts.push_back(part);
    query_by_part_[arrival.part] = query.id;
    if (query.parts_pending > 0 && --query.parts_pending == 0 && !query.admitted) refuse_at_random(query);
  }

  // Little's law: parts in flight = answer rate x latency. Above the target latency, the limit goes to what
  // the present rate would hold at the target, so that a burst does not make it collapse; below, it grows.
  void adjust_limit() {
    peak_in_flight_ = std::max(peak_in_flight_, in_flight_);
    if (now_ < limit_changed_ + limit_step_interval || median_latency_ <= 0) return;
    double target = target_latency_share * shortest_latency_target().count();
    bool nodes_full = refused_attempts_ > refused_share * answer_rate() * limit_step_interval.count();
    refused_attempts_ = 0;
    if (median_latency_ > target || nodes_full) {
      bool first = limit_ > peak_in_flight_;
      limit_ =
          std::max({min_limit, answer_rate() * target, std::min(limit_, peak_in_flight_) * limit_decrease});
      if (first) log("limit of " + std::to_string(static_cast<int>(limit_)) + " parts out: answers are slow");
    } else if (peak_in_flight_ >= limit_in_use_share * limit_) {
      limit_ = limit_ * limit_increase + 1;
    }
    limit_changed_ = now_;
    peak_in_flight_ = in_flight_;
  }

  // Worth of a whole answer per unit of the work that it takes.
  double worth_density(const Query& query) const {
    double worth = settings_.classes[static_cast<std::size_t>(query.cls)].worth;
    return settings_.worth_by_work
               ? worth
               : worth / static_cast<double>(std::max<std::size_t>(1, query.parts.size()));
  }

  // Whether to refuse this work, with a probability that grows with the share of earlier work that earned
  // nothing: that work was in vain, and its clients retry. Random, so that a broker that sees a query in ten
  // seconds does its share on average.
  bool drawn_for_refusal(const DecayedMean& yield, double parts) {
    double decay = std::exp(-(now_ - yield.updated) / yield_memory);
    return uniform() < (yield.weight - yield_slack * yield.sum) * decay / (yield.weight * decay + parts);
  }

  // Refuses a query whose class and tenant, or whose shards, do not earn the work spent on them. A query that
  // can do without the parts for a failing shard only skips these.
  void refuse_at_random(Query& query) {
    double reachable = 0;
    double draw =
        uniform();  // one for all parts, since the first skipped part already makes the answer partial
    for (Part& part : query.parts) {
      part.abandoned =
          drawn_for_refusal(shard_yields_[part.shard], 1) || draw < skip_probability(query, part);
      if (!part.abandoned) reachable += part.weight;
    }
    query.shards_unavailable = reachable < min_coverage(query) - 2 * weight_tolerance;
    if (query.shards_unavailable ||
        drawn_for_refusal(tenant_yields_[{query.cls, query.tenant}], static_cast<double>(query.parts.size())))
      finish(query);
  }

  // Whether the query can do without the part and the part weighs less than an even share.
  bool is_optional(const Query& query, const Part& part) const {
    const ClassSettings& cls = settings_.classes[static_cast<std::size_t>(query.cls)];
    return cls.min_coverage < cls.whole_coverage &&
           part.weight < 1 / static_cast<double>(query.parts.size()) - weight_tolerance;
  }

  // Optional parts for a hot shard only lengthen its queue. They are skipped with this probability, which
  // grows with the latency of the shard's quickest replica.
  double skip_probability(const Query& query, const Part& part) const {
    if (!is_optional(query, part)) return 0;
    double quickest = 0;
    for (const auto& [id, node] : nodes_)
      if (node.member.status == NodeStatus::ready && holds_shard(node, part.shard))
        quickest = quickest > 0 ? std::min(quickest, expected_latency(node)) : expected_latency(node);
    return quickest / (hot_shard_latency_share * shortest_latency_target().count()) - 1;
  }

  // Admits waiting queries while there is room under the limit, those with the most worth for their work
  // first. A query without the time that its parts take is finished at once.
  void admit() {
    std::vector<Query*> waiting;
    for (auto& [id, query] : queries_)
      if (!query.admitted && !query.ended && query.parts_pending == 0) waiting.push_back(&query);
    if (waiting.empty()) return;
    std::stable_sort(waiting.begin(), waiting.end(),
                     [this](auto* a, auto* b) { return worth_density(*a) > worth_density(*b); });
    double room = limit_ - in_flight_;
    for (Query* query : waiting) {
      const ClassSettings& cls = settings_.classes[static_cast<std::size_t>(query->cls)];
      double parts = static_cast<double>(query->parts.size());
      double share =
          cls.min_coverage < cls.whole_coverage ? 0.5 : std::min(max_latency_quantile, parts / (parts + 1));
      // Old latencies refuse nothing: without admissions there would never be new ones.
      bool fresh = !latencies_.empty() && latencies_.back().at > now_ - outcome_window;
      if (fresh && now_ + Duration(latency_quantile(share)) + margin() > query->target_at) {
        finish(*query);
      } else if (room > 0) {
        query->admitted = true;
        query->admitted_at = now_;
        room -= static_cast<double>(query->parts.size());
      }
    }
  }
};

}  // namespace pearspar::policy
