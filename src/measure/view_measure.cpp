// Measures the fleet's view in simulated time: by size, loss and share of slow members, side by side with two
// baselines of ours, plain SWIM (the same core without suspicion and local health) and all-to-all heartbeats.
#include <fmt/format.h>

#include <CLI/CLI.hpp>
#include <algorithm>
#include <atomic>
#include <boost/math/distributions/chi_squared.hpp>
#include <boost/math/distributions/students_t.hpp>
#include <cmath>
#include <cstdio>
#include <fstream>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "peersim/heartbeats.h"
#include "peersim/network.h"

namespace {

using namespace pearspar;
using namespace std::chrono_literals;

struct Setting {
  int brokers = 0;
  double loss = 0;
  double slow = 0;
};

struct Outcome {
  std::vector<double> detected;     // seconds, a crash each
  std::vector<double> settled;      // seconds after a crash, one run each
  std::vector<double> bytes_per_s;  // of one broker, one run each
  std::vector<double> rest_bytes;   // the same, while nothing happens
  double removals = 0;
  double broker_hours = 0;
};

constexpr double crash_every = 20;
constexpr double hold_every = 1, held_for = 0.3;

Outcome run_core(const Setting& setting, double time_s, std::uint64_t seed, bool plain) {
  peers::Options options;
  options.fleet = "measure";
  options.suspicion = options.local_health = !plain;
  for (int i = 0; i < std::min(setting.brokers, 3); ++i)
    options.seeds.push_back({0x0a000001u + static_cast<std::uint32_t>(i), 7000});
  peersim::Network fleet(seed, options, {});
  for (int i = 0; i < setting.brokers; ++i) fleet.start(i);
  fleet.run_for(10s);
  std::uint64_t sent = 0;
  fleet.tap = [&](int, const net::Address&, const std::string& bytes) { sent += bytes.size(); };
  fleet.link = [&](int, int) {
    peersim::Link link;
    link.loss = setting.loss;
    return link;
  };
  fleet.restless();
  const int slow = static_cast<int>(setting.slow * setting.brokers + 0.5);
  std::mt19937_64 random(seed);
  std::vector<double> next_hold(static_cast<std::size_t>(slow));
  for (double& each : next_hold)
    each = fleet.now() + std::uniform_real_distribution<double>(0, hold_every)(random);
  Outcome outcome;
  const double from = fleet.now();
  auto run_until = [&](double until) {
    while (fleet.now() < until) {
      double next = until;
      for (int i = 0; i < slow; ++i) {
        double& due = next_hold[static_cast<std::size_t>(i)];
        if (due <= fleet.now()) {
          fleet.hold(i, net::Duration(held_for));
          due = fleet.now() + hold_every;
        }
        next = std::min(next, due);
      }
      fleet.run_for(net::Duration(std::max(1e-6, next - fleet.now())));
    }
  };
  while (fleet.now() - from < time_s) {
    const double began = fleet.now();
    const std::uint64_t before = sent;
    run_until(began + crash_every / 4);
    outcome.rest_bytes.push_back(static_cast<double>(sent - before) / (crash_every / 4) / setting.brokers);
    const int victim = static_cast<int>(random() % static_cast<std::uint64_t>(setting.brokers));
    fleet.kill(victim);
    run_until(began + crash_every * 0.75);
    fleet.start(victim);
    run_until(began + crash_every);
  }
  const judge::Report report = fleet.end();
  outcome.detected = report.detected;
  outcome.removals = static_cast<double>(report.removals);
  outcome.broker_hours = (fleet.now() - from) * setting.brokers / 3600;
  outcome.bytes_per_s.push_back(static_cast<double>(sent) / (fleet.now() - from) / setting.brokers);
  return outcome;
}

// How soon all have settled after one crash on a whole network.
double settle_once(const Setting& setting, std::uint64_t seed) {
  peers::Options options;
  options.fleet = "measure";
  for (int i = 0; i < std::min(setting.brokers, 3); ++i)
    options.seeds.push_back({0x0a000001u + static_cast<std::uint32_t>(i), 7000});
  peersim::Network fleet(seed, options, {});
  for (int i = 0; i < setting.brokers; ++i) fleet.start(i);
  fleet.run_for(15s);
  fleet.kill(setting.brokers / 2);
  fleet.calm();
  fleet.run_for(net::Duration(fleet.judge().settle_bound(static_cast<std::size_t>(setting.brokers))));
  const judge::Report report = fleet.end();
  return report.settled.empty() ? fleet.judge().settle_bound(static_cast<std::size_t>(setting.brokers))
                                : report.settled.back();
}

Outcome run_heartbeats(const Setting& setting, double time_s, std::uint64_t seed) {
  peersim::HeartbeatWorld world;
  world.brokers = setting.brokers;
  world.loss = setting.loss;
  world.slow = setting.slow;
  world.time_s = time_s;
  const peersim::HeartbeatResult got = peersim::run_heartbeats(world, seed);
  Outcome outcome;
  outcome.detected = got.detected;
  outcome.removals = got.removals;
  outcome.broker_hours = time_s * setting.brokers / 3600;
  outcome.bytes_per_s = outcome.rest_bytes = {got.bytes_per_s};
  return outcome;
}

void add(Outcome& to, const Outcome& from) {
  for (auto part : {&Outcome::detected, &Outcome::settled, &Outcome::bytes_per_s, &Outcome::rest_bytes})
    (to.*part).insert((to.*part).end(), (from.*part).begin(), (from.*part).end());
  to.removals += from.removals;
  to.broker_hours += from.broker_hours;
}

struct Estimate {
  double mean = 0;
  double half = 0;  // of the 95 percent interval
};
Estimate estimate(const std::vector<double>& values) {
  if (values.empty()) return {};
  double mean = 0, square = 0;
  for (double each : values) mean += each / static_cast<double>(values.size());
  for (double each : values) square += (each - mean) * (each - mean);
  if (values.size() < 2) return {mean, 0};
  const double n = static_cast<double>(values.size());
  const boost::math::students_t student(n - 1);
  return {mean, boost::math::quantile(student, 0.975) * std::sqrt(square / (n - 1) / n)};
}
double quantile(std::vector<double> values, double share) {
  if (values.empty()) return 0;
  std::sort(values.begin(), values.end());
  return values[static_cast<std::size_t>(share * static_cast<double>(values.size() - 1) + 0.5)];
}
// The exact upper end of the 95 percent interval of a rate, after Garwood.
double rate_at_most(double events, double time) {
  return boost::math::quantile(boost::math::chi_squared(2 * events + 2), 0.975) / 2 / time;
}

}  // namespace

int main(int argc, char** argv) {
  CLI::App app{"pearspar-measure-view: the fleet's view in simulated time, beside two baselines"};
  std::vector<int> sizes = {10, 100, 300, 1000};
  std::vector<double> losses = {0, 0.1, 0.2, 0.4}, slows = {0, 0.05};
  int seeds = 3;
  double broker_hours = 5;
  int jobs = static_cast<int>(std::max(1u, std::thread::hardware_concurrency()));
  std::string csv;
  bool baselines = true;
  app.add_option("--brokers", sizes, "sizes")->delimiter(',');
  app.add_option("--loss", losses, "shares of datagrams lost")->delimiter(',');
  app.add_option("--slow", slows, "shares of members that are held 300 ms in each second")->delimiter(',');
  app.add_option("--seeds", seeds, "runs of each")->check(CLI::Range(1, 1000));
  app.add_option("--broker-hours", broker_hours, "of each run, simulated; at least 60 s")
      ->check(CLI::Range(0.01, 1e6));
  app.add_option("--jobs", jobs, "runs side by side")->check(CLI::Range(1, 256));
  app.add_option("--csv", csv, "the table also goes there, for tools/plot_view.sh");
  app.add_flag("!--no-baselines", baselines, "only the protocol itself");
  CLI11_PARSE(app, argc, argv);

  const std::vector<std::string> ways = baselines
                                            ? std::vector<std::string>{"view", "plain-swim", "heartbeats"}
                                            : std::vector<std::string>{"view"};
  struct Cell {
    std::string way;
    Setting setting;
    Outcome outcome;
  };
  std::vector<Cell> cells;
  for (int size : sizes)
    for (double loss : losses)
      for (double slow : slows)
        for (const std::string& way : ways) cells.push_back({way, {size, loss, slow}, {}});
  std::atomic<std::size_t> next{0};
  std::mutex results;
  const std::size_t runs = cells.size() * static_cast<std::size_t>(seeds);
  auto work = [&] {
    for (std::size_t i; (i = next++) < runs;) {
      Cell& cell = cells[i / static_cast<std::size_t>(seeds)];
      const std::uint64_t seed = i % static_cast<std::size_t>(seeds) + 1;
      const double time_s = std::max(60.0, broker_hours * 3600 / cell.setting.brokers);
      Outcome outcome;
      if (cell.way == "heartbeats") {
        outcome = run_heartbeats(cell.setting, time_s, seed);
      } else {
        outcome = run_core(cell.setting, time_s, seed, cell.way == "plain-swim");
        if (cell.way == "view" && cell.setting.loss == 0 && cell.setting.slow == 0)
          outcome.settled.push_back(settle_once(cell.setting, seed));
      }
      const std::lock_guard lock(results);
      add(cell.outcome, outcome);
      std::fprintf(stderr, "%zu of %zu runs\r", std::min(next.load(), runs), runs);
    }
  };
  std::vector<std::thread> threads;
  for (int i = 0; i < jobs; ++i) threads.emplace_back(work);
  for (std::thread& thread : threads) thread.join();

  std::ofstream out;
  if (!csv.empty()) {
    out.open(csv);
    if (!out) {
      std::fprintf(stderr, "pearspar-measure-view: %s cannot be written\n", csv.c_str());
      return 1;
    }
    out << "way,brokers,loss,slow,detect_mean,detect_half,detect_p99,removals,broker_hours,rest_bytes,rest_"
           "half\n";
  }
  std::printf("simulated, period 200 ms, %d seeds; intervals of 95 percent\n", seeds);
  std::printf("%-10s %5s %5s %5s  %-15s %6s %6s  %-26s %-16s %8s  %s\n", "way", "n", "loss", "slow",
              "detect s", "p99", "count", "false removals an hour", "bytes/s at rest", "in all", "settled s");
  for (const Cell& cell : cells) {
    const Estimate detect = estimate(cell.outcome.detected), rest = estimate(cell.outcome.rest_bytes),
                   bytes = estimate(cell.outcome.bytes_per_s), settled = estimate(cell.outcome.settled);
    std::printf(
        "%-10s %5d %5.2f %5.2f  %6.2f +- %5.2f %6.2f %6zu  %9.4f (at most %8.4f) %8.0f +- %4.0f %8.0f  %s\n",
        cell.way.c_str(), cell.setting.brokers, cell.setting.loss, cell.setting.slow, detect.mean,
        detect.half, quantile(cell.outcome.detected, 0.99), cell.outcome.detected.size(),
        cell.outcome.removals / cell.outcome.broker_hours,
        rate_at_most(cell.outcome.removals, cell.outcome.broker_hours), rest.mean, rest.half, bytes.mean,
        cell.outcome.settled.empty() ? ""
                                     : fmt::format("{:.2f} +- {:.2f}", settled.mean, settled.half).c_str());
    if (out)
      out << fmt::format("{},{},{},{},{},{},{},{},{},{},{}\n", cell.way, cell.setting.brokers,
                         cell.setting.loss, cell.setting.slow, detect.mean, detect.half,
                         quantile(cell.outcome.detected, 0.99), cell.outcome.removals,
                         cell.outcome.broker_hours, rest.mean, rest.half);
  }
  return 0;
}
