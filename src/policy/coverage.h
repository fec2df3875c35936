// The coverage share (DESIGN): whole at first, less under strain, never under a class's floor.
#pragma once

#include "policy/nodes.h"

namespace pearspar::policy {

// CoverageControl: DESIGN's starting values, but for the threshold: at its tenth, two wide queries that meet
// on a quiet day were enough to narrow.
constexpr Duration strain_window = 2s;    // outcomes looked at
constexpr double strain_step = 0.1;       // share of the weight
constexpr double strain_share = 0.25;     // of outcomes: above it coverage drops, under half of it it regains
constexpr Duration strain_longest = 8s;   // looked back at most, for the least count of outcomes
constexpr std::size_t strain_least = 20;  // outcomes: with fewer, coverage holds
// Node health.
constexpr std::size_t latency_least = 200;  // latencies kept: a wide query's first answers, not only its last
constexpr Duration cell_memory = 4s;        // what a cell's nodes took is smoothed over this
constexpr double usual_share = 0.75;        // of attempts end within the "usual" time

class CoverageControl : public Nodes {
 protected:
  using Nodes::Nodes;

  void note_outcome(bool strained) { outcomes_.push_back({now_, strained, 0, 0}); }

  void note_latency(const Node& node, double took) {
    latencies_.push_back({now_, false, took, node.member.zone});
    sorted_.insert(std::lower_bound(sorted_.begin(), sorted_.end(), took), took);
    note(cells_[node.member.cell], 1, took, cell_memory);
    auto& [sum, count] = zone_latency_[node.member.zone];
    sum += took;
    ++count;
  }

  // A broker with little traffic looks further back for the least count, or it would never read strain, nor
  // its end.
  bool outlived(const std::deque<Sample>& seen, std::size_t least) const {
    return !seen.empty() && (seen.front().at < now_ - strain_longest ||
                             (seen.size() > least && seen.front().at < now_ - strain_window));
  }

  // The mean and the usual latency, over the window. Not smoothed sample by sample: the parts of a wide query
  // come back quickest first, so that such a mean would end on the slowest. For the same reason what is out
  // counts at its age in the usual one. Kept sorted as samples come and go: sorted anew in each batch they
  // took two thirds of a busy broker's processor time.
  void read_latencies() {
    for (; outlived(latencies_, latency_least); latencies_.pop_front()) {
      const Sample& old = latencies_.front();
      sorted_.erase(std::lower_bound(sorted_.begin(), sorted_.end(), old.took));
      auto& [sum, count] = zone_latency_[old.zone];
      sum -= old.took;
      if (--count == 0) zone_latency_.erase(old.zone);
    }
    median_ = latency_at(0.5);
    usual_ = 0;
    if (sorted_.empty()) return;
    std::vector<double> out, seen;
    for (const auto& [id, node] : nodes_)
      for (Time sent : node.outstanding) out.push_back(Duration(now_ - sent).count());
    std::sort(out.begin(), out.end());
    std::merge(out.begin(), out.end(), sorted_.begin(), sorted_.end(), std::back_inserter(seen));
    usual_ = seen[static_cast<std::size_t>(usual_share * static_cast<double>(seen.size()))];
  }

  // Within what time such a share of the attempts that answered did so.
  double latency_at(double share) const {
    if (sorted_.empty()) return 0;
    return sorted_[static_cast<std::size_t>(share * static_cast<double>(sorted_.size() - 1))];
  }

  void adjust_coverage() {
    while (outlived(outcomes_, strain_least)) outcomes_.pop_front();
    if (now_ < coverage_changed_ + strain_window || outcomes_.size() < strain_least) return;
    auto strained = std::count_if(outcomes_.begin(), outcomes_.end(), [](auto& o) { return o.strained; });
    double share = static_cast<double>(strained) / static_cast<double>(outcomes_.size());
    double before = coverage_;
    if (share > strain_share) coverage_ = std::max(0.0, coverage_ - strain_step);
    if (share < strain_share / 2) coverage_ = std::min(1.0, coverage_ + 2 * strain_step);
    if (coverage_ == before) return;
    coverage_changed_ = now_;
    char text[80];
    std::snprintf(text, sizeof text, "coverage %.1f: %.0f%% of our parts refused or timed out", coverage_,
                  100 * share);
    log(text);
  }

  // Marks the heaviest parts until their weights reach the share; parts that are lost make room for the next.
  void choose_parts(Query& query) {
    const ClassSettings& cls = s_.classes[static_cast<std::size_t>(query.cls)];
    double target = cls.min_coverage < cls.whole_coverage ? std::max(cls.min_coverage, coverage_) : 1;
    std::vector<Part*> ranked;
    double sum = 0;
    for (Part& part : query.parts) {
      if (part.step != query.step) continue;
      ranked.push_back(&part);
      if (part.chosen && !part.lost) sum += part.weight;
    }
    std::stable_sort(ranked.begin(), ranked.end(), [](auto* a, auto* b) { return a->weight > b->weight; });
    for (Part* part : ranked) {
      if (sum >= target - weight_slack && target < 1) break;
      if (part->chosen) continue;
      part->chosen = true;
      sum += part->weight;
    }
  }
};

}  // namespace pearspar::policy
