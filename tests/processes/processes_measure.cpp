// pearspar-measure-processes: real processes of altavia under drawn schedules. Exit status 0: no rule broken;
// 1: some were, and a plan that is as short as it could be made is printed; 2: the command line cannot be
// read.
#include <fmt/format.h>
#include <popt.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <memory>
#include <sstream>
#include <stdexcept>
#include <system_error>
#include <thread>

#include "catalog/json.h"
#include "net/socket.h"
#include "processes/processes.h"

namespace {

using namespace pearspar::processes;

struct Options {
  Programs programs;
  std::string only, plan, json;
  unsigned long long seed = 1;
  int count = 1, jobs = 2, members = 0, edges = 3, shorten = 0, changes = 5000, routes = 500;
  double troubled_s = 25;
  bool restart = false, chatty = false, keep = false, draw = false, traffic = false, beside_changes = false,
       leaderless = false;
};

// Each run has addresses of its own in 127.0.0.0/8, by this process's id and the run's place; a listener on
// one of them keeps them for it.
class Net {
 public:
  explicit Net(int job) {
    const auto pid = static_cast<unsigned>(::getpid());
    for (unsigned turn = 0; turn < 128; ++turn) {
      const unsigned second = 80 + ((pid + turn) & 127);  // others of our programs are at 77 and 79
      text = fmt::format("127.{}.{}.", second, ((pid >> 7) & 15) << 4 | (static_cast<unsigned>(job) & 15));
      try {
        kept_ = pearspar::net::listen_on(pearspar::net::Address::of(text + "254:27119"));
        return;
      } catch (const std::system_error&) {
      }
    }
    throw std::runtime_error("no addresses are free");
  }
  std::string text;

 private:
  pearspar::net::Fd kept_;
};

class Folder {
 public:
  explicit Folder(bool keep) : keep_(keep) {
    std::string name = (std::filesystem::temp_directory_path() / "pearspar-processes-XXXXXX").string();
    if (!::mkdtemp(name.data())) throw std::runtime_error("no folder for the files of a run");
    path = name;
  }
  ~Folder() {
    std::error_code ignored;
    if (!keep_) std::filesystem::remove_all(path, ignored);
  }
  void keep() { keep_ = true; }
  std::string path;

 private:
  bool keep_;
};

RunOptions run_options(const Options& options, const Net& net, const std::string& folder) {
  return {options.programs, folder, net.text, options.edges, options.chatty, options.traffic};
}

// What a broken run is traced by, beside its processes' logs, settings and folders.
void write_account(const std::string& folder, const Plan& plan, const Result& result) {
  std::ofstream(folder + "/plan") << text_of(plan);
  std::ofstream account(folder + "/account");
  for (const std::string& fault : result.told.faults) account << fault << '\n';
  for (const std::string& line : result.story) account << line << '\n';
  std::ofstream(folder + "/requests") << result.evidence;
}

Result play_in(const Options& options, const Plan& plan, int job) {
  Folder folder(options.keep);
  const Net net(job);
  Result result = play(plan, run_options(options, net, folder.path));
  if (!result.told.faults.empty()) {
    folder.keep();
    write_account(folder.path, plan, result);
  }
  if (options.keep || !result.told.faults.empty())
    std::printf("seed %llu: files in %s\n", static_cast<unsigned long long>(plan.seed), folder.path.c_str());
  return result;
}

// Steps are left out one after the other, as long as something breaks without them.
Plan shorter(const Options& options, Plan plan, int tries) {
  for (std::size_t i = 0; i < plan.steps.size() && tries > 0; --tries) {
    Plan without = plan;
    without.steps.erase(without.steps.begin() + static_cast<std::ptrdiff_t>(i));
    if (play_in(options, without, 0).told.faults.empty())
      ++i;
    else
      plan = without;
  }
  return plan;
}

double part_of(const std::vector<double>& sorted, double part) {
  if (sorted.empty()) return 0;
  return sorted[std::min(sorted.size() - 1,
                         static_cast<std::size_t>(part * static_cast<double>(sorted.size())))];
}

std::string json_of(const Options& options, const std::vector<Result>& results,
                    const std::vector<double>& waits) {
  std::string text = fmt::format(
      R"({{"runs":{},"mixed":{},"waits_ms":{{"count":{},"median":{:.0f},"p99":{:.0f},"longest":{:.0f}}},)"
      R"("broken":[)",
      results.size(), !options.programs.older.empty(), waits.size(), 1e3 * part_of(waits, 0.5),
      1e3 * part_of(waits, 0.99), 1e3 * part_of(waits, 1));
  bool first = true;
  for (const Result& each : results)
    for (const std::string& fault : each.told.faults) {
      text += fmt::format("{}{{\"seed\":{},\"fault\":{}}}", first ? "" : ",", each.seed,
                          pearspar::catalog::quoted(fault));
      first = false;
    }
  return text + "]}\n";
}

int play_all(const Options& options) {
  std::vector<Plan> plans;
  if (!options.plan.empty()) {
    for (int i = 0; i < options.count; ++i) plans.push_back(read_plan(options.plan));
  } else {
    std::vector<std::string> only;
    std::istringstream words(options.only);
    for (std::string word; std::getline(words, word, ',');) {
      if (std::find(kinds().begin(), kinds().end(), word) == kinds().end())
        throw std::runtime_error(word + ": no such kind");
      only.push_back(word);
    }
    for (int i = 0; i < options.count; ++i) {
      const std::uint64_t seed = options.seed + static_cast<unsigned>(i);
      const int members = options.members > 0 ? options.members : seed % 4 == 3 ? 5 : 3;
      plans.push_back(options.beside_changes
                          ? draw_changes_plan(seed, members, options.troubled_s)
                          : draw_plan(seed, members, options.troubled_s, !options.programs.older.empty(),
                                      only, options.traffic));
    }
  }
  if (options.draw) {
    for (const Plan& plan : plans) std::printf("%s", text_of(plan).c_str());
    return 0;
  }
  std::vector<Result> results(plans.size());
  std::atomic<std::size_t> next = 0;
  std::vector<std::thread> workers;
  for (int job = 0; job < std::min<int>(options.jobs, static_cast<int>(plans.size())); ++job)
    workers.emplace_back([&, job] {
      for (std::size_t i; (i = next++) < plans.size();) {
        try {
          results[i] = play_in(options, plans[i], job);
        } catch (const std::exception& error) {
          results[i].seed = plans[i].seed;
          results[i].told.faults.push_back(std::string("the run could not be made: ") + error.what());
        }
        if (!results[i].traffic.empty())
          std::printf("seed %llu: %s\n", static_cast<unsigned long long>(plans[i].seed),
                      results[i].traffic.c_str());
        for (const std::string& line : results[i].story)
          if (line.find("keeps its id") != line.npos)
            std::printf("seed %llu: %s\n", static_cast<unsigned long long>(plans[i].seed), line.c_str());
        if (results[i].told.faults.empty()) continue;
        std::string text = fmt::format("seed {} is broken\n", plans[i].seed);
        for (const std::string& fault : results[i].told.faults) text += "  " + fault + "\n";
        for (const std::string& line : results[i].story) text += "    " + line + "\n";
        std::printf("%s", text.c_str());
        std::fflush(stdout);
      }
    });
  for (std::thread& each : workers) each.join();
  Told sum;
  int broken = 0, past = 0, found = 0;
  std::uint64_t cut = 0;
  ConfigurationVerdict configurations;
  std::map<std::string, int> struck;
  for (const Result& each : results) {
    broken += !each.told.faults.empty();
    sum.taken += each.told.taken;
    sum.refused += each.told.refused;
    sum.reads += each.told.reads;
    sum.asked += each.told.asked;
    sum.served += each.told.served;
    sum.waits.insert(sum.waits.end(), each.told.waits.begin(), each.told.waits.end());
    for (const auto& [kind, times] : each.struck) struck[kind] += times;
    past += each.past;
    found += each.past_found;
    cut += each.cut_connections;
    configurations.add(each.configurations);
  }
  std::sort(sum.waits.begin(), sum.waits.end());
  std::printf(
      "%zu runs, %d broken; orders: %llu taken, %llu refused, until the first definite answer median %.0f "
      "ms, p99 "
      "%.0f, longest %.0f; reads %llu; requests %llu, %.4f served; connections ended by cuts %llu; folders "
      "set "
      "back %d, found out %d\n",
      results.size(), broken, static_cast<unsigned long long>(sum.taken),
      static_cast<unsigned long long>(sum.refused), 1e3 * part_of(sum.waits, 0.5),
      1e3 * part_of(sum.waits, 0.99), 1e3 * part_of(sum.waits, 1), static_cast<unsigned long long>(sum.reads),
      static_cast<unsigned long long>(sum.asked),
      sum.asked > 0 ? static_cast<double>(sum.served) / static_cast<double>(sum.asked) : 0.0,
      static_cast<unsigned long long>(cut), past, found);
  if (options.traffic) std::printf("%s\n", configurations.summary().c_str());
  for (const auto& [kind, times] : struck) std::printf("  %s %d", kind.c_str(), times);
  std::printf("\n");
  if (!options.json.empty()) std::ofstream(options.json) << json_of(options, results, sum.waits);
  for (std::size_t i = 0; i < results.size(); ++i) {
    if (results[i].told.faults.empty()) continue;
    std::printf("the plan:\n%s", text_of(shorter(options, plans[i], options.shorten)).c_str());
    break;
  }
  return broken > 0 ? 1 : 0;
}

}  // namespace

int main(int argc, const char** argv) {
  Options to;
  const std::string here = std::filesystem::read_symlink("/proc/self/exe").parent_path().string();
  to.programs = {here + "/altavia", "", here + "/altavia-standin", here + "/libpearspar_place_shim.so"};
  struct Text {
    const char* name;
    std::string* into;
    const char* what;
    char* text = nullptr;
  } texts[] = {{"program", &to.programs.altavia, "altavia that is tried (else beside this program)"},
               {"older", &to.programs.older, "another build of it: members and edges of both, changed over"},
               {"standin", &to.programs.standin, "index servers' stand-in"},
               {"only", &to.only, "only these kinds, by commas"},
               {"plan", &to.plan, "plays the plan in this file"},
               {"json", &to.json, "writes the outcome there"}};
  int restart = 0, chatty = 0, keep = 0, draw = 0, traffic = 0, beside_changes = 0, leaderless = 0;
  std::vector<poptOption> options;
  for (Text& each : texts)
    options.push_back({each.name, 0, POPT_ARG_STRING, &each.text, 0, each.what, "TEXT"});
  const poptOption more[] = {
      {"seed", 's', POPT_ARG_LONGLONG, &to.seed, 0, "first seed (1)", "N"},
      {"count", 'n', POPT_ARG_INT, &to.count, 0, "so many runs (1)", "N"},
      {"jobs", 'j', POPT_ARG_INT, &to.jobs, 0, "side by side, 16 at most (2)", "N"},
      {"members", 'm', POPT_ARG_INT, &to.members, 0, "3 or 5 (else by seed: every fourth 5)", "N"},
      {"edges", 'e', POPT_ARG_INT, &to.edges, 0, "(3)", "N"},
      {"troubled", 't', POPT_ARG_DOUBLE, &to.troubled_s, 0, "troubles go on for so long (25)", "SECONDS"},
      {"shorten", 0, POPT_ARG_INT, &to.shorten, 0, "runs that may be spent on a shorter plan (0)", "N"},
      {"restart", 0, POPT_ARG_NONE, &restart, 0, "restarts after many changes, in place of schedules",
       nullptr},
      {"changes", 0, POPT_ARG_INT, &to.changes, 0, "restart: so many (5000)", "N"},
      {"routes", 0, POPT_ARG_INT, &to.routes, 0, "restart: routes of each (500)", "N"},
      {"traffic", 0, POPT_ARG_NONE, &traffic, 0,
       "clients and index servers that misbehave, edges that end, reload, or whose log nobody reads",
       nullptr},
      {"beside-changes", 0, POPT_ARG_NONE, &beside_changes, 0,
       "with traffic, members and edges stopped and half cut beside changes, with calm between", nullptr},
      {"leaderless", 0, POPT_ARG_NONE, &leaderless, 0,
       "what callers of an edge get while no leader is in its reach", nullptr},
      {"draw", 0, POPT_ARG_NONE, &draw, 0, "prints the plans only", nullptr},
      {"keep", 0, POPT_ARG_NONE, &keep, 0, "keeps settings and folders", nullptr},
      {"chatty", 'v', POPT_ARG_NONE, &chatty, 0, "each step, and what processes say", nullptr},
      POPT_AUTOHELP POPT_TABLEEND};
  options.insert(options.end(), std::begin(more), std::end(more));
  poptContext context = poptGetContext("pearspar-measure-processes", argc, argv, options.data(), 0);
  int result = 0;
  while ((result = poptGetNextOpt(context)) >= 0) {
  }
  const bool bad = result < -1 || poptPeekArg(context) || to.jobs < 1 || to.jobs > 16 || to.count < 1;
  poptFreeContext(context);
  for (Text& each : texts)
    if (each.text) {
      *each.into = each.text;
      std::free(each.text);
    }
  if (bad) {
    std::fprintf(stderr, "pearspar-measure-processes: the command line cannot be read (--help)\n");
    return 2;
  }
  to.restart = restart != 0;
  to.chatty = chatty != 0;
  to.keep = keep != 0;
  to.draw = draw != 0;
  to.beside_changes = beside_changes != 0;
  to.traffic = traffic != 0 || to.beside_changes;
  to.leaderless = leaderless != 0;
  try {
    if (!to.restart && !to.leaderless) return play_all(to);
    Folder folder(to.keep);
    const Net net(0);
    if (to.leaderless) return measure_leaderless(run_options(to, net, folder.path));
    return measure_restart(run_options(to, net, folder.path), to.changes, to.routes);
  } catch (const std::exception& error) {
    std::fprintf(stderr, "pearspar-measure-processes: %s\n", error.what());
    return 2;
  }
}
