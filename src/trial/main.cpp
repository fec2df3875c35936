// pearspar-trial: a fleet of real processes, faults between them, and a judge. Nothing that it starts
// outlives it.
#include <fcntl.h>
#include <fmt/format.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <CLI/CLI.hpp>
#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <map>
#include <nlohmann/json.hpp>
#include <stdexcept>

#include "trial/runner.h"

namespace {

using namespace pearspar;
using nlohmann::json;

constexpr int status_broken = 1;     // a guarantee broke
constexpr int status_arguments = 2;  // or the trial could not be made

struct Result {
  std::string title;
  std::vector<std::string> faults;
  std::vector<double> detected, joined, settled;
  std::size_t removals = 0;
  double took_s = 0;
};

json to_json(const Result& result) {
  return {{"title", result.title},   {"faults", result.faults},   {"detected", result.detected},
          {"joined", result.joined}, {"settled", result.settled}, {"removals", result.removals},
          {"took_s", result.took_s}};
}
Result from_json(const json& from) {
  return {from.at("title"),   from.at("faults"),   from.at("detected"), from.at("joined"),
          from.at("settled"), from.at("removals"), from.at("took_s")};
}

class Folder {
 public:
  explicit Folder(bool keep) : keep_(keep) {
    std::string name = (std::filesystem::temp_directory_path() / "pearspar-trial-XXXXXX").string();
    if (!::mkdtemp(name.data())) throw std::runtime_error("no folder for the trial's files");
    path_ = name;
  }
  ~Folder() {
    std::error_code ignored;
    if (!keep_) std::filesystem::remove_all(path_, ignored);
  }
  const std::string& path() const { return path_; }

 private:
  std::string path_;
  bool keep_;
};

Result run_one(const trial::plan::Schedule& schedule, trial::RunOptions options) {
  Folder folder(false);
  options.folder = folder.path();
  Result result;
  result.title = schedule.title();
  try {
    trial::RunResult run = trial::Runner(schedule, options).run();
    result.faults = run.report.faults;
    result.detected = run.report.detected;
    result.joined = run.report.joined;
    result.settled = run.report.settled;
    result.removals = run.report.removals;
    result.took_s = run.took_s;
  } catch (const std::exception& error) {
    result.faults.push_back(std::string("the trial could not be made: ") + error.what());
  }
  return result;
}

// In a process of its own, so that many run side by side; its brokers end with it, and it with us.
struct Child {
  pid_t pid = -1;
  int fd = -1;
  std::string text;
  std::size_t index = 0;
};

Child fork_one(const trial::plan::Schedule& schedule, const trial::RunOptions& options, std::size_t index) {
  int ends[2];
  if (::pipe2(ends, O_CLOEXEC) != 0) throw std::runtime_error("no pipe");
  std::fflush(stdout);
  const pid_t parent = ::getpid();
  const pid_t pid = ::fork();
  if (pid < 0) throw std::runtime_error("cannot fork");
  if (pid == 0) {
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    if (::getppid() != parent) ::_exit(status_arguments);
    const std::string text = to_json(run_one(schedule, options)).dump();
    std::size_t done = 0;
    while (done < text.size()) {
      const ssize_t put = ::write(ends[1], text.data() + done, text.size() - done);
      if (put <= 0) ::_exit(status_arguments);
      done += static_cast<std::size_t>(put);
    }
    ::_exit(0);
  }
  ::close(ends[1]);
  return {pid, ends[0], {}, index};
}

// All of them, `jobs` at a time. Results come in their order.
std::vector<Result> run_all(const std::vector<trial::plan::Schedule>& schedules,
                            const trial::RunOptions& options, int jobs, bool quiet) {
  std::vector<Result> results(schedules.size());
  std::vector<Child> running;
  std::size_t next = 0, ended = 0;
  while (next < schedules.size() || !running.empty()) {
    while (next < schedules.size() && static_cast<int>(running.size()) < jobs) {
      running.push_back(fork_one(schedules[next], options, next));
      ++next;
    }
    std::vector<pollfd> wait;
    for (const Child& child : running) wait.push_back({child.fd, POLLIN, 0});
    ::poll(wait.data(), wait.size(), -1);
    for (std::size_t i = running.size(); i-- > 0;) {
      if (wait[i].revents == 0) continue;
      char bytes[65536];
      const ssize_t got = ::read(running[i].fd, bytes, sizeof bytes);
      if (got > 0) {
        running[i].text.append(bytes, static_cast<std::size_t>(got));
        continue;
      }
      ::close(running[i].fd);
      ::waitpid(running[i].pid, nullptr, 0);
      Result& result = results[running[i].index];
      try {
        result = from_json(json::parse(running[i].text));
      } catch (const std::exception& error) {
        result.title = schedules[running[i].index].title();
        result.faults = {std::string("the trial ended without a result: ") + error.what()};
      }
      ++ended;
      if (!quiet)
        std::printf("%zu of %zu: seed %llu, %s: %s, %.1f s\n", ended, schedules.size(),
                    static_cast<unsigned long long>(schedules[running[i].index].seed()), result.title.c_str(),
                    result.faults.empty() ? "held" : result.faults.front().c_str(), result.took_s);
      std::fflush(stdout);
      running.erase(running.begin() + static_cast<std::ptrdiff_t>(i));
    }
  }
  return results;
}

double quantile(std::vector<double> values, double share) {
  if (values.empty()) return 0;
  std::sort(values.begin(), values.end());
  return values[static_cast<std::size_t>(share * static_cast<double>(values.size() - 1) + 0.5)];
}

void print_times(const char* what, const std::map<std::string, std::vector<double>>& by_title) {
  for (const auto& [title, values] : by_title)
    if (!values.empty())
      std::printf("%-10s %-40s %5zu %8.2f %8.2f %8.2f\n", what, title.substr(0, 40).c_str(), values.size(),
                  quantile(values, 0.5), quantile(values, 0.99), quantile(values, 1));
}

void print_table(const std::vector<Result>& results) {
  std::map<std::string, std::vector<double>> detected, joined, settled;
  std::size_t removals = 0, broken = 0;
  for (const Result& result : results) {
    // What several troubles in a row took says nothing of any one of them.
    const bool one = result.title.find('+') == std::string::npos;
    for (const std::string& title :
         {one ? result.title : std::string("several in a row"), std::string("all")}) {
      for (double each : result.detected) detected[title].push_back(each);
      for (double each : result.joined) joined[title].push_back(each);
      for (double each : result.settled) settled[title].push_back(each);
    }
    removals += result.removals;
    broken += result.faults.empty() ? 0 : 1;
  }
  std::printf("\n%-10s %-40s %5s %8s %8s %8s\n", "seconds", "trouble", "count", "median", "p99", "worst");
  print_times("crash", detected);
  print_times("start", joined);
  print_times("settled", settled);
  std::printf(
      "\n%zu schedules, %zu with a broken guarantee; live brokers removed where that was allowed: %zu\n",
      results.size(), broken, removals);
}

// The shortest schedule that still fails, found by leaving out one trouble after the other.
trial::plan::Schedule shortest(trial::plan::Schedule schedule, const trial::RunOptions& options) {
  for (bool found = true; found;) {
    found = false;
    for (const trial::plan::Schedule& shorter : trial::shorter(schedule)) {
      if (run_all({shorter}, options, 1, true).front().faults.empty()) continue;
      schedule = shorter;
      found = true;
      break;
    }
  }
  return schedule;
}

}  // namespace

int main(int argc, char** argv) {
  CLI::App app{"pearspar-trial: a fleet of real processes, faults between them, and a judge"};
  app.require_subcommand(1);
  trial::RunOptions options;
  options.program = (std::filesystem::read_symlink("/proc/self/exe").parent_path() / "pearspar").string();
  int brokers = 24, period_ms = 200, jobs = 4, count = 20;
  std::uint64_t seed = 1;
  bool shrink = false;
  std::string file, results_file;
  std::vector<std::string> names;
  auto add_common = [&](CLI::App* command) {
    command->add_option("--program", options.program, "the program under trial")->check(CLI::ExistingFile);
    command->add_option("--brokers", brokers, "")->check(CLI::Range(1, 200));
    command->add_option("--period-ms", period_ms, "of the fleet's probes")->check(CLI::Range(20, 60000));
    command->add_option("--seed", seed, "of the first schedule");
    command->add_option("--jobs", jobs, "schedules side by side")->check(CLI::Range(1, 64));
    command->add_option("--slack-s", options.slack_s, "that the machine may be late by")
        ->check(CLI::Range(0.0, 60.0));
    command->add_flag("--shrink", shrink, "of a failure, look for the shortest schedule that fails");
    command->add_option("--results", results_file, "a line of JSON for each schedule goes there");
  };
  CLI::App* run = app.add_subcommand("run", "one schedule from a file");
  run->add_option("file", file, "in protobuf text format (src/trial/trial.proto)")->required();
  run->add_flag("--chatty", options.chatty, "each step and each line of the brokers");
  CLI::App* cases = app.add_subcommand("cases", "hard cases by name; without a name, all");
  cases->add_option("name", names, "")->check(CLI::IsMember(trial::case_names()));
  cases->add_flag("--chatty", options.chatty, "each step and each line of the brokers");
  CLI::App* campaign = app.add_subcommand("campaign", "schedules drawn by chance, from the seed on");
  campaign->add_option("--count", count, "of schedules")->check(CLI::Range(1, 100000));
  CLI::App* show = app.add_subcommand("show", "the schedule of a case, or of a seed, as text");
  show->add_option("name", names, "")->check(CLI::IsMember(trial::case_names()));
  for (CLI::App* each : {run, cases, campaign, show}) add_common(each);
  CLI11_PARSE(app, argc, argv);
  ::signal(SIGPIPE, SIG_IGN);
  try {
    std::vector<trial::plan::Schedule> schedules;
    if (*run) {
      schedules.push_back(trial::read_schedule(file));
    } else if (*campaign || (*show && names.empty())) {
      for (int i = 0; i < (*show ? 1 : count); ++i)
        schedules.push_back(trial::draw_schedule(seed + static_cast<std::uint64_t>(i), brokers, period_ms));
    } else {
      for (const std::string& name : names.empty() ? trial::case_names() : names)
        schedules.push_back(*trial::make_case(name, brokers, period_ms, seed));
    }
    if (*show) {
      for (const auto& schedule : schedules) std::printf("%s", trial::text_of(schedule).c_str());
      return 0;
    }
    const std::vector<Result> results = run_all(schedules, options, jobs, false);
    print_table(results);
    if (!results_file.empty()) {
      std::ofstream out(results_file);
      for (const Result& result : results) out << to_json(result).dump() << "\n";
    }
    int status = 0;
    for (std::size_t i = 0; i < results.size(); ++i) {
      if (results[i].faults.empty()) continue;
      status = status_broken;
      std::printf("\nseed %llu, %s:\n", static_cast<unsigned long long>(schedules[i].seed()),
                  results[i].title.c_str());
      for (const std::string& fault : results[i].faults) std::printf("  %s\n", fault.c_str());
      const trial::plan::Schedule least = shrink ? shortest(schedules[i], options) : schedules[i];
      std::printf("the %sschedule:\n%s", shrink ? "shortest failing " : "", trial::text_of(least).c_str());
    }
    return status;
  } catch (const std::exception& error) {
    std::fprintf(stderr, "pearspar-trial: %s\n", error.what());
    return status_arguments;
  }
}
