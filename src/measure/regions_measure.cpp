// Orders and cuts over 4 regions and 13 zones, in simulated time, as a table and as JSON. Exit status 1: a
// rule was broken, or what was asked did not come about; 2: the command line cannot be read.
#include <fmt/format.h>
#include <popt.h>

#include <algorithm>
#include <atomic>
#include <cmath>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <functional>
#include <mutex>
#include <nlohmann/json.hpp>
#include <thread>

#include "measure/capacity_regions.h"

namespace {

using namespace pearspar::measure;

double quantile(std::vector<double> values, double share) {
  if (values.empty()) return 0;
  std::sort(values.begin(), values.end());
  return values[std::min(values.size() - 1,
                         static_cast<std::size_t>(share * static_cast<double>(values.size())))];
}
nlohmann::json told(const std::vector<double>& values) {
  auto rounded = [&](double share) { return std::round(quantile(values, share) * 1000) / 1000; };
  return {{"n", values.size()}, {"p50", rounded(0.5)}, {"p99", rounded(0.99)}, {"max", rounded(1)}};
}

// What a case came to over all its seeds.
struct Case {
  RegionRun run;
  std::vector<RegionFigures> played;
};

void play(std::vector<Case>& cases, int seeds, int jobs) {
  std::size_t all = cases.size() * static_cast<std::size_t>(seeds);
  std::atomic<std::size_t> next = 0, done = 0;
  std::mutex guard;
  std::vector<std::thread> threads;
  for (int j = 0; j < jobs; ++j)
    threads.emplace_back([&] {
      for (std::size_t i; (i = next++) < all;) {
        Case& its = cases[i % cases.size()];
        RegionRun run = its.run;
        run.seed = 1 + i / cases.size();
        RegionFigures figures = run.cut >= 0 ? play_cut(run) : play_orders(run);
        std::lock_guard lock(guard);
        its.played.push_back(std::move(figures));
        std::fprintf(stderr, "%zu of %zu\n", ++done, all);
      }
    });
  for (std::thread& thread : threads) thread.join();
}

}  // namespace

int main(int argc, const char** argv) {
  int seeds = 4, jobs = 2;
  double cut_s = 180;
  char* file = nullptr;
  const poptOption options[] = {
      {"seeds", 0, POPT_ARG_INT, &seeds, 0, "halls of each case (4)", "N"},
      {"jobs", 'j', POPT_ARG_INT, &jobs, 0, "threads (2)", "N"},
      {"cut", 0, POPT_ARG_DOUBLE, &cut_s, 0, "a region is cut off for so long (180)", "SECONDS"},
      {"json", 0, POPT_ARG_STRING, &file, 0, "figures", "FILE"},
      POPT_AUTOHELP POPT_TABLEEND};
  poptContext context = poptGetContext("pearspar-measure-regions", argc, argv, options, 0);
  int result = 0;
  while ((result = poptGetNextOpt(context)) >= 0) {
  }
  bool bad = result < -1 || poptPeekArg(context) || seeds < 1 || jobs < 1 || cut_s < 60;
  poptFreeContext(context);
  if (bad) {
    std::fprintf(stderr, "pearspar-measure-regions: the command line cannot be read (--help)\n");
    return 2;
  }
  std::vector<Case> cases;
  for (double loss : {0.0, 0.01})
    for (int leads = 0; leads < regions; ++leads) {
      RegionRun run;
      run.loss = loss, run.leads = leads;
      cases.push_back({run, {}});
    }
  // The region of three with the leader in it and without, one of two likewise.
  for (auto [cut, leads] : {std::pair{0, 0}, {0, 1}, {1, 1}, {1, 0}, {3, 3}, {3, 0}}) {
    RegionRun run;
    run.loss = 0.01, run.leads = leads, run.cut = cut, run.cut_s = cut_s;
    cases.push_back({run, {}});
  }
  play(cases, seeds, jobs);

  bool fine = true;
  nlohmann::json out;
  out["one_way_ms"] = region_ms, out["zone_ms"] = zone_ms, out["seeds"] = seeds, out["cut_s"] = cut_s;
  for (const Case& its : cases) {
    nlohmann::json point{{"loss", its.run.loss}, {"leads", std::string(1, region_names[its.run.leads])}};
    std::vector<double> everywhere, edge;
    std::vector<double> order[regions];
    std::map<std::string, std::vector<double>> values;
    std::size_t faults = 0;
    for (const RegionFigures& played : its.played) {
      for (int r = 0; r < regions; ++r)
        order[r].insert(order[r].end(), played.order_ms[r].begin(), played.order_ms[r].end());
      everywhere.insert(everywhere.end(), played.everywhere_ms.begin(), played.everywhere_ms.end());
      edge.insert(edge.end(), played.edge_ms.begin(), played.edge_ms.end());
      for (const auto& [key, value] : played.values) values[key].push_back(value);
      faults += played.faults.size();
      for (const std::string& fault : played.faults)
        fmt::print("leads {} cut {}: {}\n", region_names[its.run.leads], its.run.cut, fault);
    }
    point["faults"] = faults;
    fine = fine && faults == 0;
    if (its.run.cut < 0) {
      for (int r = 0; r < regions; ++r) point["order_ms"][std::string(1, region_names[r])] = told(order[r]);
      point["everywhere_ms"] = told(everywhere), point["edge_ms"] = told(edge);
      out["orders"].push_back(point);
    } else {
      point["cut"] = std::string(1, region_names[its.run.cut]);
      for (const auto& [key, all] : values)
        point[key] = {{"least", quantile(all, 0)}, {"mid", quantile(all, 0.5)}, {"most", quantile(all, 1)}};
      out["cuts"].push_back(point);
    }
    fmt::print("{}\n", point.dump());
  }
  if (file) std::ofstream(file) << out.dump(1) << '\n';
  return fine ? 0 : 1;
}
