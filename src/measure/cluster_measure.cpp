// Schedules of the whole system in simulated time, by one command: how many rules broke, over how many seeds,
// and how long orders had no clear answer, by what had befallen. Exit status 0: none; 1: some did; 2: the
// command line cannot be read.
#include <popt.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <exception>
#include <fstream>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "simulation/explore.h"
#include "simulation/schedule.h"

namespace {

using namespace pearspar::simulation;

struct Sum {
  int played = 0, broken = 0;
  std::size_t rollouts = 0, missed_rollouts = 0, delivered_bad = 0;
  std::uint64_t acknowledged = 0, refused = 0, unclear = 0, asked = 0, served = 0;
  std::map<std::string, std::vector<double>> waits;  // longest of each trouble, by kind
  std::map<std::string, std::size_t> struck;
  std::vector<int> broken_seeds;
  LagJudge::Lag largest_lag;  // over all schedules
  int largest_lag_seed = 0;

  void add_lag(const LagJudge::Lag& lag, int seed) {
    if (lag.seconds <= largest_lag.seconds) return;
    largest_lag = lag;
    largest_lag_seed = seed;
  }
};

// Where the simulated time of a schedule begins.
constexpr double schedule_epoch_s = 1000;

void print_lag(const char* what, const LagJudge::Lag& lag) {
  std::printf("%s: %.0f ms, %s by edition %llu, at %.2f s\n", what, 1e3 * lag.seconds,
              lag.edge.empty() ? "no edge" : lag.edge.c_str(), static_cast<unsigned long long>(lag.revision),
              lag.edge.empty() ? 0.0 : lag.at - schedule_epoch_s);
}

double part_of(std::vector<double>& sorted, double part) {
  if (sorted.empty()) return 0;
  std::sort(sorted.begin(), sorted.end());
  return sorted[std::min(sorted.size() - 1,
                         static_cast<std::size_t>(part * static_cast<double>(sorted.size())))];
}

unsigned long long whole(std::uint64_t number) { return number; }

void print(Sum& sum, double took_s) {
  std::printf(
      "%d schedules, %d with a rule broken, %.0f s; changes: %llu acknowledged, %llu refused, %llu unclear; "
      "requests: %llu, %.4f served\n",
      sum.played, sum.broken, took_s, whole(sum.acknowledged), whole(sum.refused), whole(sum.unclear),
      whole(sum.asked),
      sum.asked > 0 ? static_cast<double>(sum.served) / static_cast<double>(sum.asked) : 0.0);
  print_lag(("largest lag of an edge in touch (seed " + std::to_string(sum.largest_lag_seed) + ")").c_str(),
            sum.largest_lag);
  if (sum.rollouts > 0)
    std::printf("roll-outs: %zu, %zu not dealt with as their version asks for; bad ones delivered: %zu\n",
                sum.rollouts, sum.missed_rollouts, sum.delivered_bad);
  std::printf(
      "time without a clear answer to an order, of members that could have given one, simulated ms:\n");
  std::printf("  %-22s %8s %8s %8s %8s %8s\n", "kind", "struck", "met", "median", "p99", "longest");
  for (auto& [kind, waits] : sum.waits)
    std::printf("  %-22s %8zu %8zu %8.0f %8.0f %8.0f\n", kind.c_str(), sum.struck[kind], waits.size(),
                1e3 * part_of(waits, 0.5), 1e3 * part_of(waits, 0.99), 1e3 * part_of(waits, 1));
}

bool write_json(Sum& sum, const char* path, double took_s) {
  std::FILE* file = std::fopen(path, "w");
  if (!file) return false;
  std::fprintf(file,
               "{\"schedules\":%d,\"broken\":%d,\"seconds\":%.1f,\"acknowledged\":%llu,\"refused\":%llu,"
               "\"unclear\":%llu,\"largestLagMs\":%.1f,\"largestLagSeed\":%d,\"brokenSeeds\":[",
               sum.played, sum.broken, took_s, whole(sum.acknowledged), whole(sum.refused),
               whole(sum.unclear), 1e3 * sum.largest_lag.seconds, sum.largest_lag_seed);
  for (std::size_t i = 0; i < sum.broken_seeds.size(); ++i)
    std::fprintf(file, "%s%d", i > 0 ? "," : "", sum.broken_seeds[i]);
  std::fprintf(file, "],\"waitMs\":{");
  const char* comma = "";
  for (auto& [kind, waits] : sum.waits) {
    std::fprintf(file, "%s\"%s\":{\"struck\":%zu,\"met\":%zu,\"median\":%.1f,\"p99\":%.1f,\"longest\":%.1f}",
                 comma, kind.c_str(), sum.struck[kind], waits.size(), 1e3 * part_of(waits, 0.5),
                 1e3 * part_of(waits, 0.99), 1e3 * part_of(waits, 1));
    comma = ",";
  }
  std::fprintf(file, "}}\n");
  return std::fclose(file) == 0;
}

// What a schedule that could not be played leaves behind: whether memory was short, or an allocation too
// large.
void tell_memory(std::FILE* to) {
  for (const char* file : {"/proc/self/status", "/proc/meminfo"}) {
    std::ifstream lines(file);
    for (std::string line; std::getline(lines, line);)
      if (line.starts_with("Vm") || line.starts_with("MemAvailable") || line.starts_with("Commit"))
        std::fprintf(to, "  %s\n", line.c_str());
  }
}

template <typename One>
void with_evidence(int seed, const One& one) {
  try {
    one(seed);
  } catch (const std::exception& error) {
    std::fprintf(stderr, "seed %d could not be played: %s\n", seed, error.what());
    tell_memory(stderr);
    throw;
  }
}

// Runs `one` for each seed, on so many threads.
template <typename One>
void for_seeds(int from, int count, int jobs, One one) {
  std::atomic<int> next = 0;
  std::vector<std::thread> threads;
  for (int j = 0; j < jobs; ++j)
    threads.emplace_back([&] {
      for (int i = next++; i < count; i = next++) with_evidence(from + i, one);
    });
  for (std::thread& thread : threads) thread.join();
}

int measure_returns(int from, int count, int jobs, double away_s) {
  std::mutex told;
  std::vector<double> waits;
  int broken = 0;
  for_seeds(from, count, jobs, [&](int seed) {
    Return result = time_return(static_cast<std::uint64_t>(seed), away_s);
    std::lock_guard lock(told);
    if (result.waited_s < 0 || !result.faults.empty()) {
      ++broken;
      std::printf("seed %d: %s\n", seed,
                  result.faults.empty() ? "no clear answer" : result.faults[0].c_str());
    }
    if (result.waited_s >= 0) waits.push_back(result.waited_s);
  });
  std::printf(
      "%d leaders away for %.0f s, %d broken; until the first clear answer of it, simulated ms: median %.0f, "
      "p99 %.0f, longest %.0f\n",
      count, away_s, broken, 1e3 * part_of(waits, 0.5), 1e3 * part_of(waits, 0.99), 1e3 * part_of(waits, 1));
  return broken > 0 ? 1 : 0;
}

}  // namespace

int main(int argc, const char** argv) {
  int count = 100, jobs = 4, from = 1, cores = 0, edges = 0, verbose = 0, lying = 0, returns = 0,
      rollouts = 0, large_fleet = 0;
  int http_every = -1;
  int states = 0, timeouts = 4, crashes = 1, wipes = 1, changes = 1, newcomers = 0, in_flight = 3;
  double sync_ms = -1, rate = -1, away_s = 20, mbit = -1, ballast_mb = -1, disk_mb = -1, note_kb = -1;
  char* kinds = nullptr;
  char* json = nullptr;
  const poptOption options[] = {
      {"count", 'n', POPT_ARG_INT, &count, 0, "schedules to play", "N"},
      {"from", 'f', POPT_ARG_INT, &from, 0, "the first seed", "SEED"},
      {"jobs", 'j', POPT_ARG_INT, &jobs, 0, "threads", "N"},
      {"cores", 'c', POPT_ARG_INT, &cores, 0, "members of the core; else the seed's draw", "N"},
      {"edges", 'e', POPT_ARG_INT, &edges, 0, "edges; else the seed's draw", "N"},
      {"sync-ms", 0, POPT_ARG_DOUBLE, &sync_ms, 0, "what a write to disk takes; else the seed's draw", "MS"},
      {"mbit", 0, POPT_ARG_DOUBLE, &mbit, 0,
       "of each member and way; 0 = without bounds; else the seed's draw", "N"},
      {"note-kb", 0, POPT_ARG_DOUBLE, &note_kb, 0, "of a note in each configuration; else the seed's draw",
       "KB"},
      {"state-mb", 0, POPT_ARG_DOUBLE, &ballast_mb, 0, "the state at the start; else the seed's draw", "MB"},
      {"disk-mb", 0, POPT_ARG_DOUBLE, &disk_mb, 0, "a disk writes in a second; else the seed's draw", "MB"},
      {"rate", 0, POPT_ARG_DOUBLE, &rate, 0, "requests a second; else the seed's draw", "N"},
      {"kinds", 'k', POPT_ARG_STRING, &kinds, 0, "only these troubles, by commas", "KINDS"},
      {"explore", 0, POPT_ARG_INT, &states, 0, "instead: search the agreement's states, so many at most",
       "N"},
      {"timeouts", 0, POPT_ARG_INT, &timeouts, 0, "explore: of members, in one history", "N"},
      {"crashes", 0, POPT_ARG_INT, &crashes, 0, "explore: members that start again", "N"},
      {"wipes", 0, POPT_ARG_INT, &wipes, 0, "explore: members that lose their disk", "N"},
      {"newcomers", 0, POPT_ARG_INT, &newcomers, 0, "explore: empty members at other addresses", "N"},
      {"in-flight", 0, POPT_ARG_INT, &in_flight, 0, "explore: messages on their way, others are lost", "N"},
      {"changes", 0, POPT_ARG_INT, &changes, 0, "explore: proposed", "N"},
      {"lying-disks", 0, POPT_ARG_NONE, &lying, 0, "disks that say they have synced and have not", nullptr},
      {"returns", 0, POPT_ARG_NONE, &returns, 0, "instead: time leaders that come back after being away",
       nullptr},
      {"away", 0, POPT_ARG_DOUBLE, &away_s, 0, "returns: for so long", "SECONDS"},
      {"json", 0, POPT_ARG_STRING, &json, 0, "the figures, for programs", "FILE"},
      {"http-every", 0, POPT_ARG_INT, &http_every, 0, "of so many, one speaks HTTP in bytes; 0 = none", "N"},
      {"rollouts", 0, POPT_ARG_NONE, &rollouts, 0, "with roll-outs of good and bad versions", nullptr},
      {"large-fleet", 0, POPT_ARG_NONE, &large_fleet, 0,
       "295 edges at 43 Mbit/s, large configurations, shares of a processor", nullptr},
      {"verbose", 'v', POPT_ARG_NONE, &verbose, 0, "tell what was done in each schedule", nullptr},
      {"tell-core", 'V', POPT_ARG_VAL, &verbose, 2, "and what became of each member", nullptr},
      POPT_AUTOHELP POPT_TABLEEND};
  poptContext context = poptGetContext("pearspar-measure-cluster", argc, argv, options, 0);
  int result = 0;
  while ((result = poptGetNextOpt(context)) >= 0) {
  }
  if (result < -1 || poptPeekArg(context)) {
    std::fprintf(stderr, "pearspar-measure-cluster: the command line cannot be read\n");
    return 2;
  }
  poptFreeContext(context);
  if (states > 0) {
    ExploreOptions explore;
    explore.members = cores > 0 ? cores : 3;
    explore.most_states = static_cast<std::size_t>(states);
    explore.timeouts = timeouts;
    explore.crashes = crashes;
    explore.wipes = wipes;
    explore.newcomers = newcomers;
    explore.changes = changes;
    explore.in_flight = static_cast<std::size_t>(in_flight);
    Explored found = pearspar::simulation::explore(explore);
    std::printf(
        "%zu states, %zu steps, depth %zu, %s; %zu with a commit, %zu leaders at most in a history%s%s\n",
        found.states, found.steps, found.depth, found.exhausted ? "all there are" : "cut off",
        found.committed, found.leaders, found.fault.empty() ? "" : "\n", found.fault.c_str());
    for (const std::string& line : found.history) std::printf("  %s\n", line.c_str());
    return found.fault.empty() ? 0 : 1;
  }
  if (returns) return measure_returns(from, count, jobs, away_s);
  std::vector<std::string> chosen;
  for (char* at = kinds ? std::strtok(kinds, ",") : nullptr; at; at = std::strtok(nullptr, ","))
    chosen.emplace_back(at);
  for (const std::string& kind : chosen)
    if (std::find(trouble_kinds().begin(), trouble_kinds().end(), kind) == trouble_kinds().end()) {
      std::fprintf(stderr, "pearspar-measure-cluster: no such trouble: %s\n", kind.c_str());
      return 2;
    }
  Sum sum;
  std::mutex told;
  auto began = std::chrono::steady_clock::now();
  auto seconds = [&] {
    return std::chrono::duration<double>(std::chrono::steady_clock::now() - began).count();
  };
  double progress_due = 10;
  for_seeds(from, count, jobs, [&](int seed) {
    ScheduleOptions schedule = rollouts ? drawn_rollout_schedule(static_cast<std::uint64_t>(seed))
                                        : drawn_schedule(static_cast<std::uint64_t>(seed));
    if (large_fleet) make_large(schedule);
    if (cores > 0) schedule.cluster.cores = cores;
    if (edges > 0) schedule.cluster.edges = edges;
    if (sync_ms >= 0) schedule.cluster.sync_s = sync_ms / 1000;
    if (mbit >= 0) schedule.cluster.bandwidth = mbit * 1e6 / 8;
    if (note_kb >= 0) schedule.cluster.fat_note = static_cast<std::size_t>(note_kb * 1024);
    if (ballast_mb >= 0) schedule.cluster.ballast = static_cast<std::size_t>(ballast_mb * (1 << 20));
    if (disk_mb >= 0) schedule.cluster.disk_bytes_s = disk_mb * 1e6;
    if (rate >= 0) schedule.cluster.requests_per_s = rate;
    if (http_every >= 0) schedule.cluster.http = http_every > 0 && seed % http_every == 0;
    schedule.cluster.lying_disks = lying != 0;
    schedule.kinds = chosen;
    schedule.tells_core = verbose > 1;
    Outcome outcome = play(schedule);
    std::lock_guard lock(told);
    ++sum.played;
    sum.acknowledged += outcome.acknowledged;
    sum.refused += outcome.totals.changes_refused;
    sum.unclear += outcome.totals.unclear;
    sum.rollouts += outcome.rollouts;
    sum.missed_rollouts += outcome.missed_rollouts;
    sum.delivered_bad += outcome.delivered_bad;
    sum.asked += outcome.totals.asked;
    sum.served += outcome.totals.served;
    sum.add_lag(outcome.largest_lag, seed);
    for (const Befallen& each : outcome.befallen) {
      ++sum.struck[each.kind];
      if (each.met) sum.waits[each.kind].push_back(each.longest_wait);
    }
    if (!outcome.faults.empty()) {
      ++sum.broken;
      sum.broken_seeds.push_back(seed);
    }
    if (seconds() >= progress_due) {
      std::fprintf(stderr, "%d of %d, %d broken, %.0f s\n", sum.played, count, sum.broken, seconds());
      progress_due = seconds() + 10;
    }
    if (outcome.faults.empty() && !verbose) return;
    std::printf("seed %d: %zu broken\n", seed, outcome.faults.size());
    print_lag("  largest lag of an edge in touch", outcome.largest_lag);
    for (std::size_t f = 0; f < outcome.faults.size() && f < 5; ++f)
      std::printf("  %s\n", outcome.faults[f].c_str());
    if (verbose)
      for (const std::string& line : outcome.story) std::printf("    %s\n", line.c_str());
    std::fflush(stdout);
  });
  print(sum, seconds());
  if (json && !write_json(sum, json, seconds())) {
    std::fprintf(stderr, "pearspar-measure-cluster: cannot write %s\n", json);
    return 2;
  }
  return sum.broken > 0 ? 1 : 0;
}
