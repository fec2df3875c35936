// A restart after thousands of changes of large configurations, by the real process: time, memory, file. Then
// a member with an empty folder that catches up beside a storm.
#include <fmt/format.h>
#include <signal.h>
#include <sys/wait.h>

#include <algorithm>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <thread>

#include "admin_client/admin_client.h"
#include "processes/processes_hall.h"

namespace pearspar::processes {
namespace {

using namespace std::chrono_literals;

double field_mb(pid_t pid, std::string_view name) {
  std::ifstream status(fmt::format("/proc/{}/status", pid));
  for (std::string line; std::getline(status, line);)
    if (line.starts_with(name)) return std::atof(line.c_str() + name.size()) / 1024;
  return 0;
}

double file_mb(const std::string& folder) {
  std::error_code ignored;
  return static_cast<double>(std::filesystem::file_size(folder + "/data.mdb", ignored)) / 1e6;
}

class Bench {
 public:
  Bench(const RunOptions& options, int routes) : routes_(routes), hall_(loop_, scene_, options, false) {
    scene_.net = options.net;
  }

  int run(int changes) {
    for (int i = 0; i < 3; ++i) hall_.add_member(true, false);
    for (int i = 0; i < 3; ++i) hall_.start_member(i, true);
    double began = scene_.judge.now();
    change(1);
    began = scene_.judge.now();
    change(changes - 1);
    std::printf("%d changes of %d routes (%zu bytes): %.1f s\n", changes, routes_,
                configuration(1, "m", routes_).size(), scene_.judge.now() - began);
    for (int i = 0; i < 3; ++i) tell(i, "before");
    for (int i = 0; i < 3; ++i) {
      hall_.kill(i);
      restart(i, "after SIGKILL");
    }
    // An empty folder, beside a storm.
    hall_.kill(0);
    hall_.wipe(0);
    const double from = scene_.judge.now();
    hall_.start_member(0, false);
    double caught = 0;
    std::thread looks([&] {
      net::Loop loop;
      admin_client::AdminClient caller(loop, {});
      while (scene_.judge.now() - from < 60) {
        const auto reply =
            caller.call_member(hall_.member(0).control, {"GET", "/pearspar/status", "", "", ""}, 500ms);
        const std::size_t at = reply.body.find("\"edition\":");
        if (reply.status == 200 && at != reply.body.npos &&
            std::strtoull(reply.body.c_str() + at + 10, nullptr, 10) >= wanted_) {
          caught = scene_.judge.now() - from;
          return;
        }
        std::this_thread::sleep_for(5ms);
      }
    });
    change(200);
    const double stormed = scene_.judge.now() - from;
    looks.join();
    std::printf(
        "empty folder beside a storm of 200: %.2f s until it knew what had been taken before (the storm took "
        "%.2f s)\n",
        caught, stormed);
    tell(0, "caught up");
    return caught > 0 ? 0 : 1;
  }

 private:
  void change(int count) {
    admin_client::AdminClient caller(loop_, scene_.controls());
    wanted_ = revision_;
    for (int i = 0; i < count; ++i) {
      const std::string text = configuration(revision_ + 1, "m", routes_);
      const auto reply =
          caller.call({"PUT", "/pearspar/config", fmt::format("If-Match: {}\r\n", revision_), text, ""},
                      net::Duration(20));
      if (reply.status != 200)
        throw std::runtime_error(fmt::format("a change got {}: {}{}", reply.status, reply.fault, reply.body));
      ++revision_;
    }
  }
  void tell(int member, const char* when) {
    const pid_t pid = hall_.member(member).process->pid();
    std::printf("core%d %s: %.1f MB resident, %.1f MB at its peak, file %.1f MB\n", member, when,
                field_mb(pid, "VmRSS:"), field_mb(pid, "VmHWM:"), file_mb(hall_.member(member).folder));
    std::fflush(stdout);
  }
  void restart(int member, const char* how) {
    const double from = scene_.judge.now();
    hall_.start_member(member, false);
    admin_client::AdminClient caller(loop_, {});
    const std::string& control = hall_.member(member).control;
    double says = 0;
    for (bool reads = false; !reads && scene_.judge.now() - from < 60;) {
      const auto status =
          caller.call_member(control, {"GET", "/pearspar/status", "", "", ""}, net::Duration(1));
      if (says == 0 && status.status == 200) says = scene_.judge.now() - from;
      reads = says > 0 &&
              caller.call_member(control, {"GET", "/pearspar/config", "", "", ""}, net::Duration(1)).status ==
                  200;
    }
    std::printf("core%d %s: %.3f s until its status, %.3f s until it hands out the configuration\n", member,
                how, says, scene_.judge.now() - from);
    tell(member, "then");
  }

  int routes_;
  net::Loop loop_;
  Scene scene_;
  Hall hall_;
  std::uint64_t revision_ = 0;
  std::atomic<std::uint64_t> wanted_{0};
};

}  // namespace

int measure_restart(const RunOptions& options, int changes, int routes) {
  return Bench(options, routes).run(changes);
}

}  // namespace pearspar::processes
