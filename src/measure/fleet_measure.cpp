// Plays days over a fleet of brokers in simulated time and prints, for each, what was served before, during
// and after its trouble, by class, with the spread over seeds; and which rules were broken.
#include <CLI/CLI.hpp>
#include <algorithm>
#include <cmath>
#include <cstdio>
#include <string>
#include <vector>

#include "fleet/days.h"

namespace {

using pearspar::fleet::Tally;

double served(const std::vector<Tally>& tally, std::size_t cls) { return tally[cls].served(); }

}  // namespace

int main(int argc, char** argv) {
  CLI::App app{"plays days over many brokers in simulated time"};
  int brokers = 300, nodes = 60, seeds = 5;
  double load = 0.55;
  std::vector<std::string> only;
  app.add_option("--brokers", brokers, "brokers")->check(CLI::Range(1, 2000))->capture_default_str();
  app.add_option("--nodes", nodes, "nodes, three to a cell")
      ->check(CLI::Range(3, 3000))
      ->capture_default_str();
  app.add_option("--load", load, "share of the nodes' capacity asked for")
      ->check(CLI::Range(0.01, 2.0))
      ->capture_default_str();
  app.add_option("--seeds", seeds, "plays of each day")->check(CLI::Range(1, 100))->capture_default_str();
  app.add_option("--day", only, "only these days");
  CLI11_PARSE(app, argc, argv);

  const pearspar::fleet::Shape shape = pearspar::fleet::usual_shape(brokers, nodes, load);
  std::printf("%d brokers, %d nodes, %.1f queries a second, simulated; wide / narrow class served\n", brokers,
              nodes, shape.rate);
  std::printf("%-13s %-15s %-15s %-15s %-16s %8s %6s %6s\n", "day", "before", "during", "after",
              "all (spread)", "sends", "unsent", "rules");
  std::uint64_t broken = 0;
  for (const pearspar::fleet::Day& day : pearspar::fleet::days()) {
    if (!only.empty() && std::find(only.begin(), only.end(), day.name) == only.end()) continue;
    double parts[6] = {}, sum = 0, squares = 0;
    std::uint64_t sends = 0, unsent = 0, rules = 0;
    for (int seed = 1; seed <= seeds; ++seed) {
      auto result = pearspar::fleet::play(day.name, shape, static_cast<std::uint64_t>(seed));
      const std::vector<Tally>* stretches[] = {&result.before, &result.during, &result.after};
      for (std::size_t i = 0; i < 6; ++i) parts[i] += served(*stretches[i / 2], i % 2) / seeds;
      sum += result.served();
      squares += result.served() * result.served();
      sends += result.sends;
      unsent += result.refused_unsent;
      rules += result.audit.sum();
    }
    broken += rules;
    double mean = sum / seeds, spread = std::sqrt(std::max(0.0, squares / seeds - mean * mean));
    std::printf("%-13s %.3f / %.3f   %.3f / %.3f   %.3f / %.3f   %.3f (%.3f)    %8lu %6lu %6lu\n",
                std::string(day.name).c_str(), parts[0], parts[1], parts[2], parts[3], parts[4], parts[5],
                mean, spread, static_cast<unsigned long>(sends), static_cast<unsigned long>(unsent),
                static_cast<unsigned long>(rules));
    std::fflush(stdout);
  }
  return broken == 0 ? 0 : 1;
}
