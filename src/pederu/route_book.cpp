#include "pederu/route_book.h"

#include <algorithm>
#include <cmath>

namespace pearspar::pederu {
namespace {

constexpr double away_per_kb = 3;
constexpr double most_away = 6;
constexpr double smoothing = 0.05;
constexpr int least_answers = 40;  // before a second call is thought of
constexpr double deviations = 4;   // past the mean: under one in twenty takes longer, as times are spread
constexpr std::size_t most_routes = 4096;

std::string key(const catalog::Route& route) { return route.host + route.path_prefix; }

}  // namespace

const RouteBook::Known* RouteBook::find(const catalog::Route& route) const {
  auto found = known_.find(key(route));
  return found == known_.end() ? nullptr : &found->second;
}

void RouteBook::answered(const catalog::Route& route, Duration took, std::size_t bytes) {
  if (known_.size() >= most_routes) known_.clear();
  Known& known = known_[key(route)];
  double ms = took.count() * 1000, size = static_cast<double>(bytes);
  if (known.answers == 0) {
    known.mean_ms = ms;
    known.bytes = size;
  }
  known.answers = std::min(known.answers + 1, least_answers);
  known.bytes += smoothing * (size - known.bytes);
  known.deviation_ms += smoothing * (std::abs(ms - known.mean_ms) - known.deviation_ms);
  known.mean_ms += smoothing * (ms - known.mean_ms);
}

double RouteBook::away_factor(const catalog::Route& route) const {
  const Known* known = find(route);
  return known ? 1 + std::min(most_away, away_per_kb * known->bytes / 1024) : 1;
}

Duration RouteBook::second_after(const catalog::Route& route) const {
  const Known* known = find(route);
  if (!known || known->answers < least_answers) return {};
  return from_ms(known->mean_ms + deviations * known->deviation_ms);
}

Duration RouteBook::typical(const catalog::Route& route) const {
  const Known* known = find(route);
  return known ? from_ms(known->mean_ms) : Duration{};
}

}  // namespace pearspar::pederu
