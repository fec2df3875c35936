// How often roll-outs are decided wrongly, and how much of a new version is exposed meanwhile, in simulated
// time; beside it simpler rules on the same calls. Exit status 1: a rule broke; 2: the command line cannot be
// read.
#include <fmt/format.h>
#include <popt.h>

#include <algorithm>
#include <atomic>
#include <cstdio>
#include <functional>
#include <mutex>
#include <random>
#include <string>
#include <thread>
#include <vector>

#include "rollout/evidence.h"
#include "simulation/cluster.h"

namespace {

using namespace pearspar;
using simulation::Cluster;
using simulation::VersionFault;

constexpr double term_s = 15;
constexpr double read_after_s = 2;  // an operator reads on after the term

struct Kind {
  const char* name;
  bool bad;
  VersionFault::Kind fault;
  const char* route;
};
constexpr Kind kinds[] = {{"good", false, VersionFault::Kind::none, "/g/"},
                          {"errors", true, VersionFault::Kind::errors, "/g/"},
                          {"slow", true, VersionFault::Kind::slow, "/g/"},
                          {"under load", true, VersionFault::Kind::under_load, "/g/"},
                          {"one route", true, VersionFault::Kind::one_route, "/g/"},
                          {"rare route", true, VersionFault::Kind::one_route, "/k/"},
                          {"late", true, VersionFault::Kind::late, "/g/"}};

struct Setting {
  double requests_s = 350;  // for the service
  double share = 0.3;       // of a bad version's answers
  double late_s = 3;
  int edges = 40;
  std::uint64_t first_seed = 1;
};

struct Result {
  bool wrong = false;
  double ended_s = 0;
  double exposed = 0;
  std::size_t faults = 0;
};

Result play(const Kind& kind, const Setting& setting, std::uint64_t seed) {
  simulation::ClusterOptions options;
  options.seed = seed;
  options.cores = 5;
  options.edges = setting.edges;
  options.plain_nodes = 6;
  options.nodes_per_shard = 8;
  options.requests_per_s = 2 * setting.requests_s;  // every other request is gathered
  options.lookups = true;
  Cluster cluster(options);
  cluster.run(2);
  cluster.change(0);
  cluster.run(6);
  VersionFault fault;
  fault.kind = kind.fault;
  fault.share = setting.share;
  fault.late_after_s = setting.late_s;
  fault.route_path = kind.route;
  double began = cluster.seconds();
  std::size_t order = cluster.order_rollout({"shard0", "v2", term_s, true, kind.bad}, fault);
  cluster.run(term_s + read_after_s);
  cluster.check_settled();
  const auto& judge = cluster.rollout_judge();
  Result result;
  result.wrong = judge.missed_duties() > 0;
  result.ended_s = judge.ended_at(order) - began;
  result.exposed = judge.exposed(order);
  result.faults = cluster.checker().faults().size();
  return result;
}

double quantile(std::vector<double> values, double share) {
  std::sort(values.begin(), values.end());
  auto at = static_cast<std::size_t>(share * static_cast<double>(values.size()));
  return values.empty() ? 0 : values[std::min(values.size() - 1, at)];
}

// Runs the plays of all seeds on as many threads.
std::vector<Result> play_all(const Kind& kind, const Setting& setting, int count, int jobs) {
  std::vector<Result> results(static_cast<std::size_t>(count));
  std::atomic<std::size_t> next = 0;
  std::vector<std::thread> threads;
  for (int job = 0; job < jobs; ++job)
    threads.emplace_back([&] {
      for (std::size_t i = next++; i < results.size(); i = next++)
        results[i] = play(kind, setting, setting.first_seed + i);
    });
  for (std::thread& thread : threads) thread.join();
  return results;
}

bool measure(const Setting& setting, int count, int jobs) {
  fmt::print("{} requests a second, {} edges, {} of the answers bad, late after {} s; {} runs each\n",
             setting.requests_s, setting.edges, setting.share, setting.late_s, count);
  fmt::print("{:<12} {:>6} {:>8} {:>22} {:>22}\n", "version", "wrong", "faults", "ended s (p50 p99 max)",
             "calls (p50 p99 max)");
  bool kept = true;
  for (const Kind& kind : kinds) {
    auto results = play_all(kind, setting, count, jobs);
    std::vector<double> ended, exposed;
    std::size_t wrong = 0, faults = 0;
    for (const Result& result : results) {
      ended.push_back(result.ended_s);
      exposed.push_back(result.exposed);
      wrong += result.wrong;
      faults += result.faults;
    }
    fmt::print("{:<12} {:>6} {:>8} {:>8.1f} {:>6.1f} {:>6.1f} {:>8.0f} {:>6.0f} {:>6.0f}\n", kind.name, wrong,
               faults, quantile(ended, 0.5), quantile(ended, 0.99), quantile(ended, 1),
               quantile(exposed, 0.5), quantile(exposed, 0.99), quantile(exposed, 1));
    std::fflush(stdout);
    kept = kept && faults == 0;
  }
  return kept;
}

// The same calls judged by other rules: edges, each with a few calls to the nodes of a version.
struct Rules {
  int threshold = 0;  // the leader alone: over a tenth of all calls bad
  int majority = 0;   // over half of the edges each saw over a tenth bad, no pooling
  int pooled = 0;     // evidence without caps: over its bound
  int ours = 0;       // evidence with caps
};

struct Scene {
  const char* name;
  double bad_share;  // of all calls
  int ill_edges;     // whose link spoils half of their calls
  int ill_nodes;     // that spoil half of theirs
};

constexpr int scene_edges = 12;
constexpr int scene_nodes = 8;
constexpr int scene_calls = 5;  // of an edge
constexpr double pooled_bound = 6.9;

Rules judge_scene(const Scene& scene, int count, std::mt19937_64& random) {
  Rules convicted;
  std::uniform_real_distribution<> draw(0, 1);
  for (int run = 0; run < count; ++run) {
    rollout::Evidence evidence(rollout::Duration(0.5));
    rollout::Time now{rollout::Duration(100)};
    int calls = 0, bad = 0, edges_against = 0;
    for (int edge = 0; edge < scene_edges; ++edge) {
      rollout::Vote vote;
      vote.counts.push_back({"r", "", 60, 1, 0, {{8, 59}}});
      int edge_bad = 0;
      for (int call = 0; call < scene_calls; ++call) {
        auto node = static_cast<int>(random() % scene_nodes);
        bool ill = edge < scene.ill_edges || node < scene.ill_nodes;
        bool fails = draw(random) < (ill ? 0.5 : scene.bad_share);
        edge_bad += fails;
        rollout::CallCounts counts{"r", "n" + std::to_string(node), 1, fails ? 1u : 0u, 0, {}};
        if (!fails) counts.latencies.emplace_back(8, 1);
        vote.counts.push_back(std::move(counts));
      }
      calls += scene_calls;
      bad += edge_bad;
      edges_against += edge_bad * 10 > scene_calls;
      evidence.add(now, static_cast<std::uint64_t>(edge), edge % 2 == 0 ? "a" : "b", vote);
    }
    rollout::Findings findings;
    convicted.threshold += bad * 10 > calls;
    convicted.majority += edges_against * 2 > scene_edges;
    convicted.pooled += evidence.findings().evidence >= pooled_bound;
    convicted.ours += evidence.convicts(now, findings);
  }
  return convicted;
}

void compare(int count, std::uint64_t seed) {
  constexpr Scene scenes[] = {{"good, 2 in 100 bad", 0.02, 0, 0},      {"good, 5 in 100 bad", 0.05, 0, 0},
                              {"good, an edge is ill", 0.02, 1, 0},    {"good, a node is ill", 0.02, 0, 1},
                              {"good, two nodes are ill", 0.02, 0, 2}, {"bad, 20 in 100", 0.2, 0, 0},
                              {"bad, 30 in 100", 0.3, 0, 0},           {"bad, 50 in 100", 0.5, 0, 0}};
  std::mt19937_64 random(seed);
  fmt::print("{} edges with {} calls each to {} nodes; convicted of {} runs\n", scene_edges, scene_calls,
             scene_nodes, count);
  fmt::print("{:<26} {:>10} {:>10} {:>10} {:>10}\n", "version", "threshold", "majority", "pooled", "ours");
  for (const Scene& scene : scenes) {
    Rules convicted = judge_scene(scene, count, random);
    fmt::print("{:<26} {:>10} {:>10} {:>10} {:>10}\n", scene.name, convicted.threshold, convicted.majority,
               convicted.pooled, convicted.ours);
  }
}

}  // namespace

int main(int argc, const char** argv) {
  Setting setting;
  int count = 100, jobs = 4, seed = 1, rules = 0;
  const poptOption options[] = {
      {"runs", 'n', POPT_ARG_INT, &count, 0, "roll-outs of each kind", "N"},
      {"jobs", 'j', POPT_ARG_INT, &jobs, 0, "threads", "N"},
      {"seed", 's', POPT_ARG_INT, &seed, 0, "the first seed", "N"},
      {"rate", 'r', POPT_ARG_DOUBLE, &setting.requests_s, 0, "requests a second for the service", "N"},
      {"share", 0, POPT_ARG_DOUBLE, &setting.share, 0, "of a bad version's answers that are bad", "SHARE"},
      {"late", 0, POPT_ARG_DOUBLE, &setting.late_s, 0, "when a late fault begins", "SECONDS"},
      {"edges", 'e', POPT_ARG_INT, &setting.edges, 0, "edges", "N"},
      {"rules", 0, POPT_ARG_NONE, &rules, 0, "compare rules of judging instead", nullptr},
      POPT_AUTOHELP POPT_TABLEEND};
  poptContext context = poptGetContext("pearspar-measure-rollouts", argc, argv, options, 0);
  int result = 0;
  while ((result = poptGetNextOpt(context)) >= 0) {
  }
  bool bad = result < -1 || poptPeekArg(context) || jobs < 1 || count < 1 || seed < 1 || setting.edges < 1 ||
             !(setting.requests_s > 0);
  poptFreeContext(context);
  if (bad) {
    std::fprintf(stderr, "pearspar-measure-rollouts: the command line cannot be read\n");
    return 2;
  }
  setting.first_seed = static_cast<std::uint64_t>(seed);
  if (rules) {
    compare(count, setting.first_seed);
    return 0;
  }
  return measure(setting, count, jobs) ? 0 : 1;
}
