#include "rollout/evidence.h"

#include <algorithm>
#include <cmath>

namespace pearspar::rollout {
namespace {

constexpr std::size_t max_slots = 80;
constexpr double slow_factor = 3.5;    // times the median of the old version
constexpr double least_normal = 0.05;  // share of bad calls, also where the old version has none
constexpr double normal_factor = 1.5;  // of the old version's share; new servers are cold at first
constexpr double normal_margin = 0.02;
constexpr double max_normal = 0.3;  // above it the old version is bad itself
constexpr double worse_by = 0.2;    // a bad version has so many more bad calls
constexpr double max_share = 0.95;
constexpr double conviction = 6.9;          // ln(1000): false in one of 1,000 looks at most
constexpr std::uint64_t min_baseline = 20;  // calls that tell how slow the old version is
constexpr double prior_calls = 20;          // that a share of few calls is smoothed by
constexpr double prior_bad = 1;
constexpr double min_route_share = 0.1;  // of the service's calls; rarer routes are not asked for proof

// Slots of the windows that a conviction is looked for in; the last one is all.
constexpr std::array conviction_windows{2, 4, 8, static_cast<int>(max_slots)};

// What one of so many may add to a conviction.
double cap(std::size_t count, std::size_t needed) {
  return conviction / static_cast<double>(std::clamp<std::size_t>(count, 1, needed));
}

template <typename Key>
double capped_sum(const std::map<Key, double>& parts, std::size_t needed) {
  double most = cap(parts.size(), needed), sum = 0;
  for (const auto& [key, part] : parts) sum += std::clamp(part, -most, most);
  return sum;
}

// Nodes and edges that have to agree on a conviction, where there are as many.
constexpr std::size_t nodes_to_convict = 3;
constexpr std::size_t watchers_to_convict = 2;

}  // namespace

double evidence_of(std::uint64_t calls, std::uint64_t bad, double normal_share) {
  double worse = std::min(max_share, normal_share + worse_by);
  return static_cast<double>(bad) * std::log(worse / normal_share) +
         static_cast<double>(calls - bad) * std::log((1 - worse) / (1 - normal_share));
}

void Evidence::Cell::add(const CallCounts& counts) {
  calls += counts.calls + counts.refused;
  failed += counts.failed + counts.refused;
  for (const auto& [bucket, number] : counts.latencies) latencies[std::min(bucket, last_bucket)] += number;
}

void Evidence::Cell::add(const Cell& other) {
  calls += other.calls;
  failed += other.failed;
  for (std::size_t i = 0; i < latencies.size(); ++i) latencies[i] += other.latencies[i];
}

std::uint64_t Evidence::Cell::bad(LatencyBucket slow_from) const {
  std::uint64_t bad = failed;
  for (std::size_t bucket = slow_from; bucket < latencies.size(); ++bucket) bad += latencies[bucket];
  return bad;
}

Evidence::SlotNumber Evidence::slot_of(Time at) const {
  return static_cast<SlotNumber>(std::floor(at.time_since_epoch() / slot_length_));
}

void Evidence::add(Time now, Watcher watcher, const std::string& zone, const Vote& vote) {
  zones_[watcher] = zone;
  auto& routes = slots_[slot_of(now - std::chrono::milliseconds(vote.age_ms))];
  for (const CallCounts& counts : vote.counts) {
    RouteSlot& slot = routes[counts.route];
    if (counts.node.empty()) {
      slot.old_version.add(counts);
    } else {
      slot.nodes[counts.node].add(counts);
      slot.watchers[watcher].add(counts);
    }
  }
  while (slots_.size() > max_slots) slots_.erase(slots_.begin());
}

std::map<std::string, Evidence::Baseline> Evidence::baselines() const {
  std::map<std::string, Cell> totals;
  for (const auto& [number, routes] : slots_)
    for (const auto& [route, slot] : routes) totals[route].add(slot.old_version);
  std::map<std::string, Baseline> baselines;
  for (const auto& [route, total] : totals) {
    Baseline& baseline = baselines[route];
    baseline.calls = total.calls;
    std::uint64_t answered = 0, seen = 0;
    for (std::uint32_t count : total.latencies) answered += count;
    if (answered < min_baseline) continue;
    LatencyBucket median = 0;
    while (2 * (seen += total.latencies[median]) < answered) ++median;
    baseline.slow_from = bucket_of(bucket_floor_ms(median + 1) * slow_factor) + 1;
  }
  for (auto& [route, baseline] : baselines) baseline.bad_share = usual_bad_share(route, baseline.slow_from);
  return baselines;
}

// Of the old version, without the slots in which it is bad itself.
double Evidence::usual_bad_share(const std::string& route, LatencyBucket slow_from) const {
  double calls = prior_calls, bad = prior_bad;
  for (const auto& [number, routes] : slots_) {
    auto slot = routes.find(route);
    if (slot == routes.end()) continue;
    const Cell& old_version = slot->second.old_version;
    auto slot_calls = static_cast<double>(old_version.calls);
    auto slot_bad = static_cast<double>(old_version.bad(slow_from));
    if (slot_bad > slot_calls * max_normal) continue;
    calls += slot_calls;
    bad += slot_bad;
  }
  return bad / calls;
}

double Evidence::normal_share(SlotNumber number, const std::string& route, const Baseline& baseline) const {
  Cell near;
  for (auto slot = slots_.lower_bound(number - 2); slot != slots_.end() && slot->first <= number + 2; ++slot)
    if (auto found = slot->second.find(route); found != slot->second.end())
      near.add(found->second.old_version);
  double share = baseline.bad_share;
  if (near.calls >= min_baseline)
    share =
        std::max(share, static_cast<double>(near.bad(baseline.slow_from)) / static_cast<double>(near.calls));
  return std::max(least_normal, share * normal_factor + normal_margin);
}

std::map<std::string, Evidence::Sums> Evidence::sums(SlotNumber since,
                                                     const std::map<std::string, Baseline>& baselines) const {
  std::map<std::string, Sums> sums;
  for (auto slot = slots_.lower_bound(since); slot != slots_.end(); ++slot)
    for (const auto& [route, cells] : slot->second) {
      const Baseline& baseline = baselines.at(route);
      Sums& sum = sums[route];
      sum.service_calls += cells.old_version.calls;
      if (cells.nodes.empty()) continue;
      double normal = normal_share(slot->first, route, baseline);
      for (const auto& [node, cell] : cells.nodes) {
        std::uint64_t bad = cell.bad(baseline.slow_from);
        sum.service_calls += cell.calls;
        if (normal > max_normal) continue;
        double evidence = evidence_of(cell.calls, bad, normal);
        sum.nodes[node] += evidence;
        sum.all += evidence;
        sum.calls += cell.calls;
        sum.bad += bad;
      }
      if (normal > max_normal) continue;
      for (const auto& [watcher, cell] : cells.watchers) {
        std::uint64_t bad = cell.bad(baseline.slow_from);
        sum.watchers[watcher] += evidence_of(cell.calls, bad, normal);
        sum.watcher_calls[watcher].first += cell.calls;
        sum.watcher_calls[watcher].second += bad;
      }
    }
  return sums;
}

bool Evidence::proves_bad(const Sums& sums) {
  return capped_sum(sums.nodes, nodes_to_convict) >= conviction &&
         capped_sum(sums.watchers, watchers_to_convict) >= conviction;
}

bool Evidence::convicts(Time now, Findings& findings) const {
  auto baselines = this->baselines();
  for (int slots : conviction_windows) {
    SlotNumber since = slot_of(now) - slots + 1;
    Sums all;
    for (const auto& [route, sums] : this->sums(since, baselines)) {
      all.calls += sums.calls;
      all.bad += sums.bad;
      for (const auto& [node, part] : sums.nodes) all.nodes[node] += part;
      for (const auto& [watcher, part] : sums.watchers) all.watchers[watcher] += part;
      if (!proves_bad(sums)) continue;
      findings = this->findings_since(since);
      findings.calls = sums.calls;
      findings.bad = sums.bad;
      findings.old_bad_share = baselines[route].bad_share;
      findings.worst_route = route;
      return true;
    }
    if (!proves_bad(all)) continue;
    findings = this->findings_since(since);
    return true;
  }
  return false;
}

Findings Evidence::findings_since(SlotNumber since) const {
  Findings findings;
  std::map<Watcher, double> votes;
  auto baselines = this->baselines();
  auto by_route = sums(since, baselines);
  std::uint64_t service_calls = 0, old_calls = 0;
  double old_bad = 0;
  for (const auto& [route, sums] : by_route) service_calls += sums.service_calls;
  bool first = true;
  for (const auto& [route, sums] : by_route) {
    findings.calls += sums.calls;
    findings.bad += sums.bad;
    findings.evidence += sums.all;
    for (const auto& [watcher, part] : sums.watchers) votes[watcher] += part;
    old_calls += baselines[route].calls;
    old_bad += baselines[route].bad_share * static_cast<double>(baselines[route].calls);
    if (static_cast<double>(sums.service_calls) < min_route_share * static_cast<double>(service_calls))
      continue;
    if (!first && sums.all <= findings.weakest) continue;
    first = false;
    findings.weakest = sums.all;
    findings.worst_route = route;
  }
  if (old_calls > 0) findings.old_bad_share = old_bad / static_cast<double>(old_calls);
  std::set<std::string> good_zones, zones;
  for (const auto& [watcher, part] : votes) {
    zones.insert(zones_.at(watcher));
    if (part < 0) good_zones.insert(zones_.at(watcher));
    ++(part < 0 ? findings.good_votes : findings.bad_votes);
  }
  findings.zones_agree = good_zones.size() >= std::min<std::size_t>(2, zones.size());
  return findings;
}

std::vector<EdgeVote> Evidence::votes() const {
  std::map<Watcher, EdgeVote> votes;
  if (slots_.empty()) return {};
  for (const auto& [route, sums] : sums(slots_.begin()->first, baselines())) {
    for (const auto& [watcher, part] : sums.watchers) votes[watcher].evidence += part;
    for (const auto& [watcher, calls] : sums.watcher_calls) {
      votes[watcher].calls += calls.first;
      votes[watcher].bad += calls.second;
    }
  }
  std::vector<EdgeVote> list;
  for (auto& [watcher, vote] : votes) {
    vote.incarnation = watcher;
    vote.zone = zones_.at(watcher);
    list.push_back(std::move(vote));
  }
  return list;
}

void Evidence::Cell::describe(StateDescription& out) const {
  out.number(calls);
  out.number(failed);
  for (std::uint32_t count : latencies) out.number(count);
}

void Evidence::RouteSlot::describe(StateDescription& out) const {
  old_version.describe(out);
  out.number(nodes.size());
  for (const auto& [node, cell] : nodes) {
    out.text(node);
    cell.describe(out);
  }
  out.number(watchers.size());
  for (const auto& [watcher, cell] : watchers) {
    out.number(watcher);
    cell.describe(out);
  }
}

void Evidence::describe(StateDescription& out) const {
  out.number(slots_.size());
  for (const auto& [number, routes] : slots_) {
    out.number(number);
    out.number(routes.size());
    for (const auto& [route, slot] : routes) {
      out.text(route);
      slot.describe(out);
    }
  }
}

}  // namespace pearspar::rollout
