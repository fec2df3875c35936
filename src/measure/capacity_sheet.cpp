// From measured sizes to the target: a slope each, by regression on logarithms, with its error and what it
// leads to.
#include <fmt/format.h>

#include <cmath>
#include <fstream>
#include <nlohmann/json.hpp>
#include <set>

#include "measure/capacity.h"

namespace pearspar::measure {
namespace {

constexpr double target_edges = 2800;

}  // namespace

Fit fit(const std::vector<std::pair<double, double>>& points, double target) {
  Fit fit;
  auto n = static_cast<double>(points.size());
  if (points.size() < 3) return fit;
  double sx = 0, sy = 0, sxx = 0, sxy = 0, rest = 0;
  for (auto [x, y] : points) sx += std::log(x), sy += std::log(y);
  sx /= n, sy /= n;
  for (auto [x, y] : points) {
    double dx = std::log(x) - sx;
    sxx += dx * dx, sxy += dx * (std::log(y) - sy);
  }
  if (sxx <= 0) return fit;
  fit.slope = sxy / sxx;
  for (auto [x, y] : points) rest += std::pow(std::log(y) - sy - fit.slope * (std::log(x) - sx), 2);
  double spread = std::sqrt(rest / (n - 2)), away = std::log(target) - sx;
  fit.error = spread / std::sqrt(sxx);
  double at = sy + fit.slope * away, error = spread * std::sqrt(1 + 1 / n + away * away / sxx);
  fit.low = std::exp(at - 2 * error), fit.at = std::exp(at), fit.high = std::exp(at + 2 * error);
  fit.good = true;
  return fit;
}

std::string number(double value) {
  if (value == 0) return "0";
  double size = std::abs(value);
  if (size >= 1e7) return fmt::format("{:.3g}", value);
  return size >= 100 ? fmt::format("{:.0f}", value) : fmt::format("{:.3g}", value);
}

bool print_sheet(const std::string& file) {
  std::ifstream in(file);
  nlohmann::json told = nlohmann::json::parse(in, nullptr, false);
  if (!told.is_array() || told.empty()) {
    fmt::print(stderr, "pearspar-measure-capacity: {} holds no figures\n", file);
    return false;
  }
  std::set<std::string> keys;
  std::set<double> sizes;
  for (const auto& point : told) {
    sizes.insert(point["figures"]["edges"].get<double>());
    for (const auto& [key, value] : point["figures"].items()) keys.insert(key);
  }
  std::map<std::string, Fit> fits;
  std::map<std::string, std::map<double, double>> measured;
  for (const std::string& key : keys) {
    std::vector<std::pair<double, double>> points;
    for (const auto& point : told) {
      const auto& figures = point["figures"];
      if (!figures.contains(key)) continue;
      double value = figures[key].get<double>(), edges = figures["edges"].get<double>();
      measured[key][edges] = value;
      if (value > 0) points.emplace_back(edges, value);
    }
    fits[key] = fit(points, target_edges);
  }
  fmt::print("| figure |");
  for (double size : sizes) fmt::print(" {:.0f} |", size);
  fmt::print(" power of edges | at {:.0f} by the slope (range) |\n|---|", target_edges);
  for (std::size_t i = 0; i < sizes.size() + 2; ++i) fmt::print("---|");
  fmt::print("\n");
  for (const std::string& key : keys) {
    if (key == "edges") continue;
    fmt::print("| {} |", key);
    for (double size : sizes)
      fmt::print(" {} |", measured[key].count(size) ? number(measured[key][size]) : std::string("-"));
    const Fit& fit = fits[key];
    if (fit.good)
      fmt::print(" {:.2f} ± {:.2f} | {} ({} to {}) |\n", fit.slope, fit.error, number(fit.at),
                 number(fit.low), number(fit.high));
    else
      fmt::print(" - | - |\n");
  }
  fmt::print("\nWhat did not come about:\n");
  for (const auto& point : told)
    for (const auto& wall : point["walls"])
      fmt::print("- {:.0f} edges, {:.0f} members: {}\n", point["figures"]["edges"].get<double>(),
                 point["figures"]["members"].get<double>(), wall.get<std::string>());
  fmt::print("\n");
  fmt::print("{}", paper([&](const std::string& key) {
               auto found = measured.find(key);
               if (found != measured.end() && found->second.count(target_edges))
                 return found->second.at(target_edges);
               auto at = fits.find(key);
               return at != fits.end() && at->second.good ? at->second.at : std::nan("");
             }));
  return true;
}

}  // namespace pearspar::measure
