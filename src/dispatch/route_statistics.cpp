#include "dispatch/route_statistics.h"

#include <algorithm>
#include <cmath>

namespace pearspar::dispatch {
namespace {

constexpr double other_zone_factor_per_kb = 3;
constexpr double max_other_zone_factor = 6;  // above 1
constexpr double smoothing = 0.05;
constexpr int min_answers_to_hedge = 40;
constexpr double hedge_deviations = 4;  // above the mean; only a few percent of calls take longer
constexpr std::size_t max_entries = 4096;

std::string key(const catalog::Route& route) { return route.host + route.path_prefix; }

}  // namespace

const RouteStatistics::Entry* RouteStatistics::find(const catalog::Route& route) const {
  auto found = entries_.find(key(route));
  return found == entries_.end() ? nullptr : &found->second;
}

void RouteStatistics::record_answer(const catalog::Route& route, Duration took, std::size_t bytes) {
  if (entries_.size() >= max_entries) entries_.clear();
  Entry& entry = entries_[key(route)];
  double ms = took.count() * 1000, size = static_cast<double>(bytes);
  if (entry.answers == 0) {
    entry.mean_ms = ms;
    entry.bytes = size;
  }
  entry.answers = std::min(entry.answers + 1, min_answers_to_hedge);
  entry.bytes += smoothing * (size - entry.bytes);
  entry.deviation_ms += smoothing * (std::abs(ms - entry.mean_ms) - entry.deviation_ms);
  entry.mean_ms += smoothing * (ms - entry.mean_ms);
}

double RouteStatistics::other_zone_factor(const catalog::Route& route) const {
  const Entry* entry = find(route);
  return entry ? 1 + std::min(max_other_zone_factor, other_zone_factor_per_kb * entry->bytes / 1024) : 1;
}

Duration RouteStatistics::hedge_delay(const catalog::Route& route) const {
  const Entry* entry = find(route);
  if (!entry || entry->answers < min_answers_to_hedge) return {};
  return from_ms(entry->mean_ms + hedge_deviations * entry->deviation_ms);
}

Duration RouteStatistics::mean_duration(const catalog::Route& route) const {
  const Entry* entry = find(route);
  return entry ? from_ms(entry->mean_ms) : Duration{};
}

}  // namespace pearspar::dispatch
