// The HTTP sides of edges in simulated time, by one command: how many seeded runs broke a rule, and how often
// each trouble struck. The result is one JSON object; broken runs go to the error output.
// Exit status 0: none; 1: some did; 2: the command line cannot be read.
#include <popt.h>

#include <algorithm>
#include <atomic>
#include <cstdio>
#include <cstring>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "simulation/http_days.h"

int main(int argc, const char** argv) {
  using namespace pearspar::simulation;
  int count = 1000, jobs = 4, from = 1;
  double seconds = 5, rate = 120;
  char* kinds = nullptr;
  const poptOption options[] = {
      {"count", 'n', POPT_ARG_INT, &count, 0, "runs", "N"},
      {"from", 'f', POPT_ARG_INT, &from, 0, "the first seed", "SEED"},
      {"jobs", 'j', POPT_ARG_INT, &jobs, 0, "threads", "N"},
      {"seconds", 's', POPT_ARG_DOUBLE, &seconds, 0, "of troubles in each", "S"},
      {"rate", 'r', POPT_ARG_DOUBLE, &rate, 0, "requests a second", "N"},
      {"kinds", 'k', POPT_ARG_STRING, &kinds, 0, "only these troubles, by commas", "KINDS"},
      POPT_AUTOHELP POPT_TABLEEND};
  poptContext context = poptGetContext("pearspar-measure-http", argc, argv, options, 0);
  int result = 0;
  while ((result = poptGetNextOpt(context)) >= 0) {
  }
  bool good = result == -1 && !poptPeekArg(context);
  poptFreeContext(context);
  std::vector<std::string> chosen;
  for (char* at = kinds ? std::strtok(kinds, ",") : nullptr; at; at = std::strtok(nullptr, ",")) {
    chosen.emplace_back(at);
    if (std::find(http_kinds().begin(), http_kinds().end(), at) != http_kinds().end()) continue;
    std::fprintf(stderr, "pearspar-measure-http: no such trouble: %s\n", at);
    good = false;
  }
  if (!good) {
    std::fprintf(stderr, "pearspar-measure-http: the command line cannot be read\n");
    return 2;
  }
  std::atomic<int> next = 0;
  int broken = 0;
  std::mutex sums;
  std::map<std::string, std::uint64_t> struck, met, longest;  // ms until an answer, by kind and status
  for (const std::string& kind : http_kinds()) struck[kind] = 0;
  std::uint64_t asked = 0, served = 0;
  std::vector<std::thread> threads;
  for (int j = 0; j < jobs; ++j)
    threads.emplace_back([&] {
      for (int i = next++; i < count; i = next++) {
        HttpDayOptions day;
        day.seed = static_cast<std::uint64_t>(from + i);
        day.kinds = chosen;
        day.troubled_s = seconds;
        day.requests_per_s = rate;
        HttpDay outcome = play_http(day);
        std::lock_guard lock(sums);
        for (const auto& [kind, times] : outcome.struck) struck[kind] += times;
        for (const auto& [name, times] : outcome.met) met[name] += times;
        for (const auto& [what, heard] : outcome.heard)
          longest[what] = std::max(longest[what], static_cast<std::uint64_t>(heard.longest_s * 1000));
        asked += outcome.totals.asked;
        served += outcome.totals.served;
        if (outcome.faults.empty()) continue;
        ++broken;
        std::fprintf(stderr, "seed %d: %zu broken\n", from + i, outcome.faults.size());
        for (std::size_t f = 0; f < outcome.faults.size() && f < 3; ++f)
          std::fprintf(stderr, "  %s\n", outcome.faults[f].c_str());
      }
    });
  for (std::thread& thread : threads) thread.join();
  auto print = [](const char* name, const std::map<std::string, std::uint64_t>& counts) {
    std::printf("\"%s\":{", name);
    bool first = true;
    for (const auto& [key, value] : counts) {
      std::printf("%s\"%s\":%llu", first ? "" : ",", key.c_str(), static_cast<unsigned long long>(value));
      first = false;
    }
    std::printf("}");
  };
  std::printf("{\"runs\":%d,\"broken\":%d,\"asked\":%llu,\"served\":%llu,", count, broken,
              static_cast<unsigned long long>(asked), static_cast<unsigned long long>(served));
  print("struck", struck);
  std::printf(",");
  print("met", met);
  std::printf(",");
  print("longest_ms", longest);
  std::printf("}\n");
  return broken > 0 ? 1 : 0;
}
