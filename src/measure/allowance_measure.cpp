// One allowance over all edges, measured in simulated time beside two baselines on the same requests: fixed
// shares (the limit by the number of edges) and a call to the core for each draw. Exit status 1: the auditor
// found a fault; 2: the command line cannot be read.
#include <fmt/format.h>
#include <popt.h>

#include <algorithm>
#include <atomic>
#include <cstdio>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "simulation/allowance_explore.h"
#include "simulation/cluster.h"

namespace {

using namespace pearspar::simulation;

struct Sum {
  std::uint64_t asked = 0, drawn = 0, waited = 0, refused = 0, asks = 0, entries = 0, served = 0,
                given_up = 0;
  std::uint64_t wrongly_shared = 0;  // fixed shares: refused at an edge while another had some
  double seconds = 0;
  int runs = 0, faults = 0;
  void add(const Sum& other) {
    asked += other.asked, drawn += other.drawn, waited += other.waited, refused += other.refused;
    asks += other.asks, entries += other.entries, served += other.served, given_up += other.given_up;
    wrongly_shared += other.wrongly_shared, seconds += other.seconds, runs += other.runs,
        faults += other.faults;
  }
};

struct Options {
  int seeds = 20, from = 1, jobs = 4, edges = 8, firms = 3, limit = 400;
  double rate = 120, seconds = 20, sync_ms = 0.5;
  bool troubles = false;
};

std::mutex told;

Sum play(std::uint64_t seed, const Options& options) {
  ClusterOptions to;
  to.seed = seed;
  to.edges = options.edges;
  to.shards = 2;
  to.plain_nodes = 12;
  to.sync_s = options.sync_ms / 1000;
  to.retrievals_per_s = options.rate;
  std::string accounts;
  std::vector<Auditor::Limit> limits;
  for (int i = 0; i < options.firms; ++i)
    for (const char* kind : {"sweep", "pull"})
      for (const char* branch : {"", "b"}) {
        auto limit =
            static_cast<std::uint64_t>(i == 0 ? options.limit / 8 : options.limit);  // the first runs out
        std::string firm = fmt::format("f{}", i);
        accounts += fmt::format(R"({}{{"firm":"{}"{},"kind":"{}","limit":{}}})", accounts.empty() ? "" : ",",
                                firm, *branch ? R"(,"branch":"b")" : "", kind, limit);
        limits.push_back({*branch ? firm + "/b" : firm, kind, limit});
      }
  for (int i = 0; i < options.firms; ++i) to.holders.push_back(fmt::format("f{}/b", i));
  to.allowances = fmt::format(
      R"({{"windowMs":3600000,"holderHeader":"Holder","keyHeader":"Retrieval-Key","accounts":[{}]}})",
      accounts);
  Cluster cluster(to);
  cluster.run(2);
  cluster.change(0);
  auto& world = cluster.world();
  double end = cluster.seconds() + options.seconds;
  while (cluster.seconds() < end) {
    cluster.run(0.8);
    if (!options.troubles) continue;
    switch (world.below(7)) {
      case 0:
        cluster.kill_edge(world.below(cluster.edges()), 0.4);
        break;
      case 1:
        cluster.freeze_edge(world.below(cluster.edges()), 1 + 3 * world.uniform(0, 1));
        break;
      case 2:
        if (cluster.leader() >= 0)
          cluster.kill_core(static_cast<std::size_t>(cluster.leader()), 1, world.chance(0.5));
        break;
      case 3:
        if (world.chance(0.3))
          for (std::size_t core = 0; core < cluster.cores(); ++core) cluster.kill_core(core, 0.5);
        break;
      case 4:
        cluster.crash_node(world.below(cluster.nodes()), 1, world.chance(0.5));
        break;
      case 5: {
        std::string address = cluster.edge_address(world.below(cluster.edges()));
        cluster.cut_off(address, true, true);
        world.in(pearspar::simulation::Duration(3), [&cluster, address] { cluster.heal(address); });
        break;
      }
      default:
        break;
    }
  }
  cluster.net().heal_all();
  cluster.run(3);
  cluster.stop_retrieving();
  cluster.run(8);
  Sum sum;
  sum.runs = 1;
  sum.seconds = options.seconds;
  auto faults = cluster.audit(limits, !options.troubles);
  if (!faults.empty()) {
    ++sum.faults;
    std::lock_guard lock(told);
    for (const std::string& fault : faults) fmt::print("seed {}: {}\n", seed, fault);
  }
  sum.asked = cluster.auditor().retrievals();
  sum.served = cluster.auditor().served();
  std::vector<double> at_edge;
  for (std::size_t edge = 0; edge < cluster.edges(); ++edge)
    if (const auto* gateway = cluster.gateway(edge)) {
      const auto& counters = gateway->edge_quota().counters();
      sum.drawn += counters.drawn, sum.waited += counters.drawn_late, sum.refused += counters.refused;
      sum.asks += counters.asks;
      at_edge.push_back(static_cast<double>(counters.drawn));
    }
  // With fixed shares an edge refuses past its part: what was served over it here would have been refused
  // there.
  double mean = 0;
  for (double drawn : at_edge) mean += drawn / static_cast<double>(at_edge.size());
  for (double drawn : at_edge) sum.wrongly_shared += static_cast<std::uint64_t>(std::max(0.0, drawn - mean));
  for (std::size_t core = 0; core < cluster.cores(); ++core)
    if (const auto* member = cluster.member(core)) {
      sum.entries += member->controller().quota_allocator().counters().entries;
      sum.given_up += member->controller().quota_allocator().counters().given_up;
    }
  return sum;
}

}  // namespace

int main(int argc, const char** argv) {
  Options to;
  int troubles = 0, states = 0;
  AllowanceExploreOptions explore;
  const poptOption options[] = {
      {"seeds", 'n', POPT_ARG_INT, &to.seeds, 0, "runs", "N"},
      {"from", 'f', POPT_ARG_INT, &to.from, 0, "the first seed", "SEED"},
      {"jobs", 'j', POPT_ARG_INT, &to.jobs, 0, "threads", "N"},
      {"edges", 'e', POPT_ARG_INT, &to.edges, 0, "edges", "N"},
      {"firms", 0, POPT_ARG_INT, &to.firms, 0, "firms; the first one's limit is an eighth", "N"},
      {"limit", 'l', POPT_ARG_INT, &to.limit, 0, "of each firm and kind", "N"},
      {"rate", 'r', POPT_ARG_DOUBLE, &to.rate, 0, "retrievals a second", "N"},
      {"seconds", 's', POPT_ARG_DOUBLE, &to.seconds, 0, "of retrievals in a run", "S"},
      {"sync-ms", 0, POPT_ARG_DOUBLE, &to.sync_ms, 0, "what a write to disk takes", "MS"},
      {"troubles", 't', POPT_ARG_NONE, &troubles, 0, "deaths, freezes, cuts, kills of all", nullptr},
      {"explore", 0, POPT_ARG_INT, &states, 0, "instead: search the protocol's states, so many at most", "N"},
      {"keys", 0, POPT_ARG_INT, &explore.keys, 0, "explore: retrievals", "N"},
      {"crashes", 0, POPT_ARG_INT, &explore.crashes, 0, "explore: edges that die", "N"},
      {"losses", 0, POPT_ARG_INT, &explore.losses, 0, "explore: messages lost", "N"},
      {"asks", 0, POPT_ARG_INT, &explore.asks, 0, "explore: questions of each edge's life", "N"},
      {"turns", 0, POPT_ARG_INT, &explore.turns, 0, "explore: of the window", "N"},
      {"ticks", 0, POPT_ARG_INT, &explore.ticks, 0, "explore: spans of 1.6 s that pass", "N"},
      POPT_AUTOHELP POPT_TABLEEND};
  poptContext context = poptGetContext("pearspar-measure-allowance", argc, argv, options, 0);
  int result = 0;
  while ((result = poptGetNextOpt(context)) >= 0) {
  }
  bool bad = result < -1 || poptPeekArg(context) || to.seeds < 1 || to.jobs < 1 || to.edges < 1 ||
             to.firms < 1 || to.limit < 1 || !(to.rate > 0) || !(to.seconds > 0);
  poptFreeContext(context);
  if (bad) {
    std::fprintf(stderr, "pearspar-measure-allowance: the command line cannot be read\n");
    return 2;
  }
  to.troubles = troubles != 0;
  if (states > 0) {
    explore.most_states = static_cast<std::size_t>(states);
    explore.edges = std::min(to.edges, 3);
    explore.limit = std::min(to.limit, 3);
    AllowanceExplored found = explore_allowance(explore);
    fmt::print(
        "{} edges, limit {}: {} states, {} steps, depth {}, {}; {} with a life given up, {} keys spent at "
        "most{}{}\n",
        explore.edges, explore.limit, found.states, found.steps, found.depth,
        found.exhausted ? "all there are" : "cut off", found.given_up, found.spent,
        found.fault.empty() ? "" : "\n", found.fault);
    for (const std::string& line : found.history) fmt::print("  {}\n", line);
    return found.fault.empty() ? 0 : 1;
  }
  std::atomic<int> next = 0;
  Sum sum;
  std::vector<std::thread> threads;
  for (int j = 0; j < to.jobs; ++j)
    threads.emplace_back([&] {
      for (int i = next++; i < to.seeds; i = next++) {
        Sum one = play(static_cast<std::uint64_t>(to.from + i), to);
        std::lock_guard lock(told);
        sum.add(one);
      }
    });
  for (std::thread& thread : threads) thread.join();
  auto share = [](std::uint64_t part, std::uint64_t whole) {
    return whole > 0 ? static_cast<double>(part) / static_cast<double>(whole) : 0.0;
  };
  fmt::print("{} runs, {} with a fault; {} retrievals, {} served, {} refused, {} edges given up\n", sum.runs,
             sum.faults, sum.asked, sum.served, sum.refused, sum.given_up);
  fmt::print(
      "this way:      {:.4f} of draws waited for the core; {:.1f} questions and {:.1f} entries a second; "
      "none "
      "refused while there was room at rest\n",
      share(sum.waited, sum.drawn), static_cast<double>(sum.asks) / sum.seconds,
      static_cast<double>(sum.entries) / sum.seconds);
  fmt::print("a call a draw: 1.0000 of draws wait for the core; {:.1f} questions a second\n",
             static_cast<double>(sum.drawn) / sum.seconds);
  fmt::print(
      "fixed shares:  0.0000 of draws wait; {:.4f} of what was served would have been refused below the "
      "limit\n",
      share(sum.wrongly_shared, sum.drawn));
  return sum.faults > 0 ? 1 : 0;
}
