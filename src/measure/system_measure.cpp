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

#include "simulation/cluster.h"

namespace {

using namespace pearspar::simulation;

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

// Nine members and sixteen edges, far from each other, with nothing else wrong: who leads, and what a change
// takes.
void distances(double seconds, double loss) {
  fmt::print("{:>20}  {:>10}  {:>12}  {:>26}\n", "one way, ms", "elections", "led, percent",
             "a change p50/max ms, taken");
  for (double most_ms : {2.0, 20.0, 40.0, 60.0, 80.0, 100.0, 140.0}) {
    ClusterOptions options;
    options.cores = 9;
    options.edges = 16;
    options.plain_nodes = 30;
    Cluster cluster(options);
    cluster.net().set_delay(Duration(most_ms / 2000), Duration(most_ms / 1000));
    cluster.net().set_loss(loss);
    cluster.run(10);
    auto term = [&] {
      pearspar::raft::Term newest = 0;
      for (std::size_t i = 0; i < cluster.cores(); ++i)
        if (const auto* member = cluster.member(i)) newest = std::max(newest, member->core().term());
      return newest;
    };
    auto before = term();
    double led = 0, steps = 0;
    std::vector<double> taken;
    for (double end = cluster.seconds() + seconds; cluster.seconds() < end;) {
      std::size_t acknowledged = cluster.checker().acknowledged();
      double sent = cluster.seconds();
      cluster.change(0);
      bool clear = false;
      for (int i = 0; i < 400; ++i, ++steps) {
        cluster.run(0.005);
        led += cluster.leader() >= 0 ? 1 : 0;
        if (clear || cluster.checker().acknowledged() == acknowledged) continue;
        clear = true;
        taken.push_back((cluster.seconds() - sent) * 1000);
      }
    }
    fmt::print("{:>20}  {:>10}  {:>12.1f}  {:>26}\n", fmt::format("{:.0f} to {:.0f}", most_ms / 2, most_ms),
               term() - before, led * 100 / steps,
               fmt::format("{:.0f} / {:.0f}, {}", quantile(taken, 0.5), quantile(taken, 1), taken.size()));
    for (const std::string& fault : cluster.checker().faults()) fmt::print("{}\n", fault);
    std::fflush(stdout);
  }
}

// Four regions of 3, 2, 2 and 2 members; one of two is cut off for so long, its edges with it, and comes
// back.
void region_cut(double seconds) {
  ClusterOptions options;
  options.cores = 9;
  options.edges = 16;
  options.plain_nodes = 30;
  Cluster cluster(options);
  cluster.net().set_delay(Duration(0.02), Duration(0.04));
  cluster.net().set_loss(0.01);
  cluster.run(10);
  cluster.change(0);
  cluster.run(3);
  std::vector<std::string> here, away;
  for (std::size_t i = 0; i < cluster.cores(); ++i) (i < 7 ? here : away).push_back(cluster.core_address(i));
  for (std::size_t i = 0; i < cluster.edges(); ++i)
    (i % 4 < 3 ? here : away).push_back(cluster.edge_address(i));
  for (const std::string& a : here)
    for (const std::string& b : away) cluster.net().cut(a, b), cluster.net().cut(b, a);
  std::size_t before = cluster.checker().acknowledged();
  int made = 0;
  for (double end = cluster.seconds() + seconds; cluster.seconds() < end; ++made) {
    cluster.change(0);
    cluster.run(5);
  }
  std::uint64_t newest = 0, oldest = ~std::uint64_t{0};
  auto look = [&] {
    newest = 0, oldest = ~std::uint64_t{0};
    for (std::size_t i = 0; i < cluster.edges(); ++i) {
      std::uint64_t revision = cluster.follower(i)->view().revision();
      newest = std::max(newest, revision), oldest = std::min(oldest, revision);
    }
  };
  look();
  fmt::print(
      "a region cut off for {:.0f} s: {} of {} changes taken meanwhile; its edges stay at edition {} of {}\n",
      seconds, cluster.checker().acknowledged() - before, made, oldest, newest);
  cluster.net().heal_all();
  double healed = cluster.seconds();
  for (look(); oldest < newest && cluster.seconds() < healed + 60; look()) cluster.run(0.05);
  fmt::print("all edges at the newest {:.2f} s after it is back\n", cluster.seconds() - healed);
  for (const std::string& fault : cluster.checker().faults()) fmt::print("{}\n", fault);
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
    cluster.edge_told = [&](std::size_t, std::uint64_t revision) {
      if (revision == wanted && ++told == edges) all.push_back(cluster.seconds() - sent);
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
      // The revision is the next one or the second or third after it: whichever is seen first counts.
      cluster.edge_told = [&](std::size_t, std::uint64_t revision) {
        if (revision > wanted) wanted = revision, told = 0;
        if (revision == wanted && ++told == edges) all.push_back(cluster.seconds() - sent);
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
  double distance_s = 0;
  int deaths = 0, jobs = 4, routes = 100, edges = 0, nodes = 0;
  const poptOption options[] = {
      {"deaths", 'd', POPT_ARG_INT, &deaths, 0, "leaders to kill at each cost of a sync", "N"},
      {"jobs", 'j', POPT_ARG_INT, &jobs, 0, "threads", "N"},
      {"distances", 0, POPT_ARG_DOUBLE, &distance_s, 0, "nine members, so long at each distance", "SECONDS"},
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
  if (distance_s > 0) {
    distances(distance_s, 0);
    fmt::print("1 percent of frames lost once:\n");
    distances(distance_s, 0.01);
    region_cut(2 * distance_s);
    return 0;
  }
  if (deaths > 0) leaders(deaths, jobs);
  if (edges > 0)
    curve({{edges, std::max(1, nodes)}}, routes);
  else if (deaths == 0)
    curve({{8, 84}, {89, 300}, {250, 1000}, {500, 3000}, {1000, 10000}}, routes);
  return 0;
}
