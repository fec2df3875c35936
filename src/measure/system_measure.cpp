// What control costs and how quick it is, in simulated time: the time to a new leader over many deaths, and
// news to all edges by the number of edges and nodes. Exit status 2: the command line cannot be read.
#include <fmt/format.h>
#include <popt.h>

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <cstring>
#include <string>
#include <thread>
#include <vector>

#include "biella/cluster.h"

namespace {

using namespace pearspar::biella;

double quantile(std::vector<double> values, double share) {
  if (values.empty()) return 0;
  std::sort(values.begin(), values.end());
  return values[std::min(values.size() - 1,
                         static_cast<std::size_t>(share * static_cast<double>(values.size())))];
}

// From the leader's death to the next change that is acknowledged, sent over and over meanwhile.
struct Death {
  double to_lead = 0;
  double to_change = 0;
  std::uint64_t asked = 0, lost = 0;
};
Death kill_leader(std::uint64_t seed, double sync_ms) {
  ClusterOptions options;
  options.seed = seed;
  options.edges = 4;
  options.plain_nodes = 8;
  options.sync_s = sync_ms / 1000;
  options.requests_per_s = 50;
  options.ask_the_living = true;
  Cluster cluster(options);
  cluster.run(2);
  cluster.change(0);
  cluster.run(2 + static_cast<double>(seed % 100) / 100);
  auto before = cluster.totals();
  std::size_t acknowledged = cluster.checker().acknowledged();
  int leader = cluster.leader();
  if (leader < 0) return {};
  cluster.kill_core(static_cast<std::size_t>(leader), 30, seed % 2 == 0);
  double killed = cluster.seconds();
  Death death;
  cluster.change(0);
  while (cluster.checker().acknowledged() == acknowledged && cluster.seconds() < killed + 10) {
    cluster.run(0.005);
    if (death.to_lead == 0 && cluster.leader() >= 0) death.to_lead = cluster.seconds() - killed;
  }
  death.to_change = cluster.seconds() - killed;
  cluster.run(1);
  death.asked = cluster.totals().asked - before.asked;
  death.lost = cluster.totals().refused + cluster.totals().failed - before.refused - before.failed;
  return death;
}

void leaders(int count, int jobs) {
  for (double sync_ms : {0.5, 5.0}) {
    std::vector<Death> deaths(static_cast<std::size_t>(count));
    std::vector<std::thread> threads;
    for (int j = 0; j < jobs; ++j)
      threads.emplace_back([&, j] {
        for (int i = j; i < count; i += jobs)
          deaths[static_cast<std::size_t>(i)] = kill_leader(static_cast<std::uint64_t>(i + 1), sync_ms);
      });
    for (std::thread& thread : threads) thread.join();
    std::vector<double> lead, change;
    std::uint64_t asked = 0, lost = 0;
    for (const Death& death : deaths) {
      lead.push_back(death.to_lead), change.push_back(death.to_change);
      asked += death.asked, lost += death.lost;
    }
    fmt::print(
        "sync {:.1f} ms, {} deaths: leads after p50 {:.2f} p99 {:.2f} max {:.2f} s; a change is taken after "
        "p50 {:.2f} p99 {:.2f} max {:.2f} s; {} requests meanwhile, {} not served\n",
        sync_ms, count, quantile(lead, 0.5), quantile(lead, 0.99), quantile(lead, 1), quantile(change, 0.5),
        quantile(change, 0.99), quantile(change, 1), asked, lost);
    std::fflush(stdout);
  }
}

void curve(const std::vector<std::pair<int, int>>& sizes, int routes) {
  fmt::print("{:>6} {:>6} {:>7}  {:>30}  {:>14}  {:>12}  {:>11}\n", "edges", "nodes", "routes",
             "a change at all edges p50/p99 ms", "KB a change", "KB/s at rest", "played in s");
  for (auto [edges, nodes] : sizes) {
    auto began = std::chrono::steady_clock::now();
    ClusterOptions options;
    options.edges = edges;
    options.plain_nodes = nodes;
    options.more_routes = routes;
    Cluster cluster(options);
    std::vector<double> all;
    std::uint64_t wanted = 0;
    int told = 0;
    double sent = 0;
    cluster.edge_told = [&](std::size_t, std::uint64_t edition) {
      if (edition == wanted && ++told == edges) all.push_back(cluster.seconds() - sent);
    };
    cluster.run(6);
    cluster.change(0);
    cluster.run(2);
    auto leader = static_cast<std::size_t>(std::max(0, cluster.leader()));
    auto bytes = [&] { return static_cast<double>(cluster.net().bytes_from(cluster.core_address(leader))); };
    double rest = bytes();
    cluster.run(4);
    rest = (bytes() - rest) / 4;
    double change = bytes(), span = cluster.seconds();
    for (int i = 0; i < 10; ++i) {
      std::size_t before = cluster.checker().acknowledged();
      sent = cluster.seconds();
      told = 0;
      wanted = 0;
      // The edition is the next one or the second or third after it: whichever is seen first counts.
      cluster.edge_told = [&](std::size_t, std::uint64_t edition) {
        if (edition > wanted) wanted = edition, told = 0;
        if (edition == wanted && ++told == edges) all.push_back(cluster.seconds() - sent);
      };
      cluster.change(0);
      cluster.run(1);
      if (cluster.checker().acknowledged() == before) fmt::print("a change was not taken within a second\n");
    }
    change = (bytes() - change - rest * (cluster.seconds() - span)) / 10;
    for (const std::string& fault : cluster.checker().faults()) fmt::print("{}\n", fault);
    double took = std::chrono::duration<double>(std::chrono::steady_clock::now() - began).count();
    fmt::print("{:>6} {:>6} {:>7}  {:>30}  {:>14.1f}  {:>12.1f}  {:>11.1f}\n", edges, nodes, routes + 2,
               fmt::format("{:.1f} / {:.1f} ({} of 10)", quantile(all, 0.5) * 1000,
                           quantile(all, 0.99) * 1000, all.size()),
               change / 1024, rest / 1024, took);
    std::fflush(stdout);
  }
}

}  // namespace

int main(int argc, const char** argv) {
  int deaths = 0, jobs = 4, routes = 100, edges = 0, nodes = 0;
  const poptOption options[] = {
      {"deaths", 'd', POPT_ARG_INT, &deaths, 0, "leaders to kill at each cost of a sync", "N"},
      {"jobs", 'j', POPT_ARG_INT, &jobs, 0, "threads", "N"},
      {"routes", 'r', POPT_ARG_INT, &routes, 0, "routes in a configuration beside two", "N"},
      {"edges", 'e', POPT_ARG_INT, &edges, 0, "one point of the curve", "N"},
      {"nodes", 'n', POPT_ARG_INT, &nodes, 0, "the same; without both, from 8 and 84 to 1,000 and 10,000",
       "N"},
      POPT_AUTOHELP POPT_TABLEEND};
  poptContext context = poptGetContext("pearspar-measure-system", argc, argv, options, 0);
  int result = 0;
  while ((result = poptGetNextOpt(context)) >= 0) {
  }
  bool bad =
      result < -1 || poptPeekArg(context) || jobs < 1 || deaths < 0 || routes < 0 || edges < 0 || nodes < 0;
  poptFreeContext(context);
  if (bad) {
    std::fprintf(stderr, "pearspar-measure-system: the command line cannot be read\n");
    return 2;
  }
  if (deaths > 0) leaders(deaths, jobs);
  if (edges > 0)
    curve({{edges, std::max(1, nodes)}}, routes);
  else if (deaths == 0)
    curve({{8, 84}, {89, 300}, {250, 1000}, {500, 3000}, {1000, 10000}}, routes);
  return 0;
}
