// What is refused on arrival: by lot, for want of time, or after waiting for room.
#pragma once

#include "policy/replica_selection.h"

namespace pearspar::policy {

// Of the shortest aim: where a shard's quickest replica takes so long, some leave light parts out there, and
// at twice that all do.
constexpr double hot_share = 0.16;
// Admission: how many of our parts may be out at once, so that queues stay short of the aims.
constexpr double load_target = 0.18;     // of the shortest aim: median latency of a part that we steer for
constexpr Duration load_period = 250ms;  // between steps of the limit
constexpr double load_down = 0.8;        // the limit's factor in a step, at least
constexpr double full_share = 0.1;   // of a step's answers: more turned away say at once, before the median
constexpr double load_up = 1.1;      // at most, and only while the limit is in use
constexpr double load_least = 2;     // parts: something is always under way, or nothing would be learnt
constexpr double worth_slack = 1.5;  // times what earned something may be let in
constexpr double hopeless_most =
    0.95;  // a query needs the time within which so many of its attempts end, at most

class Admission : public ReplicaSelection {
 protected:
  using ReplicaSelection::on;
  using ReplicaSelection::ReplicaSelection;

  void on(const QueryArrived& arrival) {
    if (s_.has_retry_budget) taken_.push_back(now_);
    const ClassSettings& cls = s_.classes[static_cast<std::size_t>(arrival.cls)];
    Query& query = queries_[arrival.query];
    query = Query{};
    query.id = arrival.query;
    query.ordinal = arrival.ordinal;
    query.cls = arrival.cls;
    query.tenant = arrival.tenant;
    query.arrived = now_;
    query.deadline = arrival.deadline;
    Duration stretch = arrival.cost_known ? arrival.cost * cls.latency_target_per_work : Duration{};
    query.aim_at =
        std::min(now_ + std::min(cls.latency_target + stretch, cls.client_timeout), arrival.deadline);
    query.expected = arrival.parts;
    by_ordinal_[arrival.ordinal] = arrival.query;
  }

  void on(const PartArrived& arrival) {
    if (s_.has_retry_budget) taken_.push_back(now_);
    auto owner = by_ordinal_.find(arrival.ordinal);
    if (owner == by_ordinal_.end()) return;
    Query& query = queries_.at(owner->second);
    if (query.ended) return;
    Part part;
    part.id = arrival.part;
    part.step = query.step;
    part.shard = arrival.shard;
    part.weight = arrival.weight;
    query.parts.push_back(part);
    part_owner_[arrival.part] = query.id;
    if (query.expected > 0 && --query.expected == 0 && !query.admitted) draw_lots(query);
  }

  // Little's law: parts out = rate of answers x latency. Over the target, the limit goes to what the present
  // rate would hold at it, so it does not fall through on a burst; under it, it grows.
  void adjust_limit() {
    most_out_ = std::max(most_out_, out_);
    if (now_ < limit_changed_ + load_period || median_ <= 0) return;
    double target = load_target * shortest_aim().count();
    bool full = turned_away_ > full_share * answer_rate() * load_period.count();
    turned_away_ = 0;
    if (median_ > target || full) {
      bool first = limit_ > most_out_;
      limit_ = std::max({load_least, answer_rate() * target, std::min(limit_, most_out_) * load_down});
      if (first) log("limit of " + std::to_string(static_cast<int>(limit_)) + " parts out: answers are slow");
    } else if (most_out_ >= 0.8 * limit_) {
      limit_ = limit_ * load_up + 1;
    }
    limit_changed_ = now_;
    most_out_ = out_;
  }

  // Worth of a whole answer for the work that it takes.
  double density(const Query& query) const {
    double worth = s_.classes[static_cast<std::size_t>(query.cls)].worth;
    return s_.worth_by_work ? worth
                            : worth / static_cast<double>(std::max<std::size_t>(1, query.parts.size()));
  }

  bool drawn_out(const Worth& worth, double asked) {
    double fade = std::exp(-(now_ - worth.at) / worth_memory);
    return uniform() < (worth.asked - worth_slack * worth.earned) * fade / (worth.asked * fade + asked);
  }

  // On arrival. A shard whose parts do not come back, whichever replica they go to (all of them hang or are
  // full, or it is hot), is spared by the same lot: the query does without the part, or is refused at once
  // where it can't, before its other parts are worked on in vain.
  void draw_lots(Query& query) {
    double reachable = 0;
    double draw = uniform();  // one for all parts: the first that is left out costs the query its wholeness
    for (Part& part : query.parts) {
      part.lost = drawn_out(shards_[part.shard], 1) || draw < left_out(query, part);
      if (!part.lost) reachable += part.weight;
    }
    query.dark = reachable < floor_of(query) - 2 * weight_slack;
    if (query.dark || drawn_out(worth_[{query.cls, query.tenant}], static_cast<double>(query.parts.size())))
      finish(query);
  }

  // A part that its query can do without, and that weighs less than an even share.
  bool light(const Query& query, const Part& part) const {
    const ClassSettings& cls = s_.classes[static_cast<std::size_t>(query.cls)];
    return cls.min_coverage < cls.whole_coverage &&
           part.weight < 1 / static_cast<double>(query.parts.size()) - weight_slack;
  }

  // DESIGN's hot shard: narrowing trims the light parts of all shards alike, and those that wait at one add
  // to its queue. There light parts are left out, with this chance, by how long even the quickest replica
  // takes.
  double left_out(const Query& query, const Part& part) const {
    if (!light(query, part)) return 0;
    double quickest = 0;
    for (const auto& [id, node] : nodes_)
      if (node.member.status == NodeStatus::ready && holds(node, part.shard))
        quickest = quickest > 0 ? std::min(quickest, expected_latency(node)) : expected_latency(node);
    return quickest / (hot_share * shortest_aim().count()) - 1;
  }

  // Lets queries in, the most worth for its parts first, while there is room under the limit; what has no
  // time left to wait is given up at once.
  void admit() {
    std::vector<Query*> held;
    for (auto& [id, query] : queries_)
      if (!query.admitted && !query.ended && query.expected == 0) held.push_back(&query);
    if (held.empty()) return;
    std::stable_sort(held.begin(), held.end(),
                     [this](auto* a, auto* b) { return density(*a) > density(*b); });
    double room = limit_ - out_;
    for (Query* query : held) {
      // Without the time that its parts take it is given up at once, room or not. Old knowledge is not held
      // against it: with nothing let in, nothing new would ever be learnt.
      const ClassSettings& cls = s_.classes[static_cast<std::size_t>(query->cls)];
      double parts = static_cast<double>(query->parts.size());
      double share =
          cls.min_coverage < cls.whole_coverage ? 0.5 : std::min(hopeless_most, parts / (parts + 1));
      bool fresh = !latencies_.empty() && latencies_.back().at > now_ - strain_window;
      if (fresh && now_ + Duration(latency_at(share)) + margin() > query->aim_at) {
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
