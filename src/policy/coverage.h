// Coverage: which share of a query's parts is asked for. It starts whole, is reduced under overload, and
// never goes below the minimum of the query's class. Also the latency statistics over all nodes.
#pragma once

#include "policy/nodes.h"

namespace pearspar::policy {

constexpr Duration outcome_window = 2s;
constexpr Duration outcome_window_max = 8s;  // at low traffic, to reach the least number of outcomes
constexpr double coverage_step = 0.1;        // share of the weight
constexpr double overload_share = 0.25;     // of outcomes: above it coverage falls, below half of it it rises
constexpr std::size_t min_outcomes = 20;    // with fewer, coverage stays as it is
constexpr std::size_t min_latencies = 200;  // kept, so that a wide query's first answers stay in the sample
constexpr Duration cell_latency_memory = 4s;
constexpr double usual_latency_quantile = 0.75;

class CoverageControl : public Nodes {
 protected:
  using Nodes::Nodes;

  void record_outcome(bool overload) { outcomes_.push_back({now_, overload, 0, 0}); }

  void record_latency(const Node& node, double latency) {
    latencies_.push_back({now_, false, latency, node.member.zone});
    sorted_latencies_.insert(std::lower_bound(sorted_latencies_.begin(), sorted_latencies_.end(), latency),
                             latency);
    add_sample(cell_latencies_[node.member.cell], 1, latency, cell_latency_memory);
    auto& [sum, count] = zone_latencies_[node.member.zone];
    sum += latency;
    ++count;
  }

  // Whether the oldest sample has left the window. At low traffic the window is longer, since overload and
  // its end would not be seen otherwise.
  bool oldest_expired(const std::deque<Sample>& samples, std::size_t least) const {
    return !samples.empty() && (samples.front().at < now_ - outcome_window_max ||
                                (samples.size() > least && samples.front().at < now_ - outcome_window));
  }

  // Updates the median and the usual latency over the window. Attempts in flight count at their age in the
  // usual latency, since the parts of a wide query that return first are the quickest; for the same reason a
  // running mean is of no use, as it would end on the slowest. The samples are kept sorted, as sorting them
  // for each batch took two thirds of a busy broker's processor time.
  void update_latencies() {
    for (; oldest_expired(latencies_, min_latencies); latencies_.pop_front()) {
      const Sample& oldest = latencies_.front();
      sorted_latencies_.erase(
          std::lower_bound(sorted_latencies_.begin(), sorted_latencies_.end(), oldest.latency_s));
      auto& [sum, count] = zone_latencies_[oldest.zone];
      sum -= oldest.latency_s;
      if (--count == 0) zone_latencies_.erase(oldest.zone);
    }
    median_latency_ = latency_quantile(0.5);
    usual_latency_ = 0;
    if (sorted_latencies_.empty()) return;
    std::vector<double> ages, merged;
    for (const auto& [id, node] : nodes_)
      for (Time sent : node.in_flight) ages.push_back(Duration(now_ - sent).count());
    std::sort(ages.begin(), ages.end());
    std::merge(ages.begin(), ages.end(), sorted_latencies_.begin(), sorted_latencies_.end(),
               std::back_inserter(merged));
    usual_latency_ =
        merged[static_cast<std::size_t>(usual_latency_quantile * static_cast<double>(merged.size()))];
  }

  // The latency within which this share of the ended attempts ended, in seconds; 0 without samples.
  double latency_quantile(double share) const {
    if (sorted_latencies_.empty()) return 0;
    return sorted_latencies_[static_cast<std::size_t>(share *
                                                      static_cast<double>(sorted_latencies_.size() - 1))];
  }

  void adjust_coverage() {
    while (oldest_expired(outcomes_, min_outcomes)) outcomes_.pop_front();
    if (now_ < coverage_changed_ + outcome_window || outcomes_.size() < min_outcomes) return;
    auto overloaded = std::count_if(outcomes_.begin(), outcomes_.end(), [](auto& o) { return o.overload; });
    double share = static_cast<double>(overloaded) / static_cast<double>(outcomes_.size());
    double before = coverage_;
    if (share > overload_share) coverage_ = std::max(0.0, coverage_ - coverage_step);
    if (share < overload_share / 2) coverage_ = std::min(1.0, coverage_ + 2 * coverage_step);
    if (coverage_ == before) return;
    coverage_changed_ = now_;
    char text[80];
    std::snprintf(text, sizeof text, "coverage %.1f: %.0f%% of our parts refused or timed out", coverage_,
                  100 * share);
    log(text);
  }

  // Selects the heaviest parts until their weights reach the coverage; abandoned parts are replaced by the
  // next ones.
  void select_parts(Query& query) {
    const ClassSettings& cls = settings_.classes[static_cast<std::size_t>(query.cls)];
    double target = cls.min_coverage < cls.whole_coverage ? std::max(cls.min_coverage, coverage_) : 1;
    std::vector<Part*> heaviest_first;
    double sum = 0;
    for (Part& part : query.parts) {
      if (part.step != query.step) continue;
      heaviest_first.push_back(&part);
      if (part.selected && !part.abandoned) sum += part.weight;
    }
    std::stable_sort(heaviest_first.begin(), heaviest_first.end(),
                     [](auto* a, auto* b) { return a->weight > b->weight; });
    for (Part* part : heaviest_first) {
      if (sum >= target - weight_tolerance && target < 1) break;
      if (part->selected) continue;
      part->selected = true;
      sum += part->weight;
    }
  }
};

}  // namespace pearspar::policy
