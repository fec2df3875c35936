// Measures the registry client against a stand-in registry on loopback: the time from a change to the list
// being told, the time to agree again after each fault, bytes and processor time a change, memory by number
// of nodes. The stand-in runs in a thread of its own, so that its work is not counted as the client's.
#include <fmt/format.h>
#include <malloc.h>
#include <time.h>
#include <unistd.h>

#include <CLI/CLI.hpp>
#include <algorithm>
#include <atomic>
#include <cstdio>
#include <functional>
#include <future>
#include <mutex>
#include <thread>
#include <vector>

#include "log/log.h"
#include "registry/source.h"
#include "standins/registry_world.h"

namespace {

using namespace pearspar;
using namespace std::chrono_literals;
using standins::Wire;

double steady_s() {
  return std::chrono::duration<double>(std::chrono::steady_clock::now().time_since_epoch()).count();
}

double thread_cpu_s() {
  timespec time{};
  ::clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
  return static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_nsec) / 1e9;
}

// The stand-in's thread: does what it is asked to between turns of its loop.
class WorldThread {
 public:
  WorldThread(Wire wire, int members, std::uint64_t seed) {
    std::promise<std::vector<net::Address>> ready;
    auto addresses = ready.get_future();
    thread_ = std::thread([this, wire, members, seed, &ready] {
      net::Loop loop;
      standins::RegistryWorld world(loop, wire, members, seed);
      ready.set_value(world.addresses());
      while (!ended_) {
        loop.run_once(1ms);
        std::vector<std::function<void(standins::RegistryWorld&)>> work;
        {
          std::lock_guard lock(mutex_);
          work.swap(work_);
        }
        for (auto& each : work) each(world);
        if (every_) every_(world);
      }
    });
    addresses_ = addresses.get();
  }
  ~WorldThread() {
    ended_ = true;
    thread_.join();
  }
  const std::vector<net::Address>& addresses() const { return addresses_; }
  void run(std::function<void(standins::RegistryWorld&)> what) {
    std::promise<void> done;
    auto wait = done.get_future();
    {
      std::lock_guard lock(mutex_);
      work_.push_back([&](standins::RegistryWorld& world) {
        what(world);
        done.set_value();
      });
    }
    wait.get();
  }
  // Called between all turns from now on; to be set from run().
  std::function<void(standins::RegistryWorld&)> every_;

 private:
  std::atomic<bool> ended_ = false;
  std::mutex mutex_;
  std::vector<std::function<void(standins::RegistryWorld&)>> work_;
  std::vector<net::Address> addresses_;
  std::thread thread_;
};

// `size` carries the moment of the change.
std::string record(const std::string& id, double moment) {
  membership::Entry entry;
  entry.id = id;
  entry.address = {0x0a000001, 3000};
  entry.zone = "a";
  entry.kind = "m1";
  entry.size = moment;
  return registry::write_record(entry);
}

struct Listener final : membership::MembersHandler {
  void members_told(const membership::MemberList& list) override {
    double now = steady_s();
    if (list.complete) nodes = list.entries.size();
    for (const membership::Entry& entry : list.entries) {
      newest = std::max(newest, entry.size);
      if (!list.complete && entry.phase != membership::Phase::gone) delays.push_back(now - entry.size);
    }
  }
  void members_failed() override {}
  std::size_t nodes = 0;
  double newest = 0;
  std::vector<double> delays;
};

struct Following {
  Following(WorldThread& world, Wire wire, const std::string& prefix)
      : log(STDERR_FILENO, log::Level::error, "measure") {
    options.dialect = wire == Wire::etcd ? registry::DialectKind::etcd : registry::DialectKind::consul;
    options.prefix = prefix;
    options.endpoints = world.addresses();
    source = std::make_unique<registry::RegistrySource>(loop, log, options, 7, listener);
  }
  bool until(const std::function<bool()>& enough, double limit_s = 30) {
    double end = steady_s() + limit_s;
    while (!enough()) {
      if (steady_s() > end) return false;
      loop.run_once(std::min<net::Duration>(20ms, net::Duration(end - steady_s())));
    }
    return true;
  }
  net::Loop loop;
  log::Logger log;
  Listener listener;
  registry::RegistryOptions options;
  std::unique_ptr<registry::RegistrySource> source;
};

double quantile(std::vector<double>& sorted, double q) {
  return sorted.empty() ? 0 : sorted[static_cast<std::size_t>(q * static_cast<double>(sorted.size() - 1))];
}

const char* name(Wire wire) { return wire == Wire::etcd ? "etcd" : "consul"; }
std::string prefix_of(Wire wire) { return wire == Wire::etcd ? "/pearspar/nodes/" : "pearspar/nodes/"; }

void load(WorldThread& world, const std::string& prefix, int nodes) {
  world.run([&](standins::RegistryWorld& w) {
    std::vector<standins::Write> all;
    for (int i = 0; i < nodes; ++i) {
      std::string id = fmt::format("s-{:05}", i);
      all.push_back({prefix + id, record(id, 0), 0});
    }
    w.store().write(all);
  });
}

void measure_changes(Wire wire, int nodes, int rate, double length_s) {
  WorldThread world(wire, 3, 5);
  std::string prefix = prefix_of(wire);
  load(world, prefix, nodes);
  ::malloc_trim(0);
  std::size_t before = ::mallinfo2().uordblks;
  Following following(world, wire, prefix);
  double started = steady_s();
  following.source->start();
  if (!following.until([&] { return following.listener.nodes == static_cast<std::size_t>(nodes); })) {
    std::printf("%-7s %6d nodes: the list did not come\n", name(wire), nodes);
    return;
  }
  double first = steady_s() - started;
  std::size_t memory = ::mallinfo2().uordblks - before;
  int made = 0;
  double begun = 0;
  world.run([&](standins::RegistryWorld& w) {
    begun = steady_s();
    // No member's history grows without end meanwhile.
    w.store().compact(w.store().revision());
    world.every_ = [&, nodes, rate](standins::RegistryWorld& store_world) {
      while (made < static_cast<int>((steady_s() - begun) * rate) && steady_s() < begun + length_s) {
        std::string id = fmt::format("s-{:05}", (made * 7919) % nodes);
        store_world.store().put(prefix + id, record(id, steady_s()));
        if (++made % 500 == 0) store_world.store().compact(store_world.store().revision() - 400);
      }
    };
  });
  double cpu = thread_cpu_s();
  std::uint64_t bytes = following.source->bytes_read();
  following.until([&] { return steady_s() > begun + length_s + 0.3; }, length_s + 5);
  cpu = thread_cpu_s() - cpu;
  bytes = following.source->bytes_read() - bytes;
  std::vector<double>& delays = following.listener.delays;
  std::sort(delays.begin(), delays.end());
  double changes = std::max(1, made);
  std::printf("%-7s %6d %5d %8.2f %8.2f %8.2f %8zu/%-6d %9.0f %9.1f %9.0f %9.1f\n", name(wire), nodes, rate,
              quantile(delays, 0.5) * 1e3, quantile(delays, 0.99) * 1e3, quantile(delays, 1) * 1e3,
              delays.size(), made, static_cast<double>(bytes) / changes, cpu / changes * 1e6,
              static_cast<double>(memory) / nodes, first * 1e3);
  std::fflush(stdout);
}

// From the end of a fault, with a change made during it, to the list that holds that change.
void measure_fault(Wire wire, const char* what,
                   const std::function<void(standins::RegistryWorld&, int follows)>& begin,
                   const std::function<void(standins::RegistryWorld&)>& end, double lasts_s, int tries) {
  std::vector<double> times;
  std::string prefix = prefix_of(wire);
  for (int i = 0; i < tries; ++i) {
    WorldThread world(wire, 3, static_cast<std::uint64_t>(i + 1));
    load(world, prefix, 200);
    Following following(world, wire, prefix);
    following.source->start();
    following.until([&] { return following.listener.nodes == 200 && following.source->follower().live(); });
    following.until([] { return false; }, 0.05 + 0.037 * i);
    int follows = following.source->follower().endpoint();
    double mark = 0;
    double from = 0;
    world.run([&](standins::RegistryWorld& w) {
      w.back_up();
      begin(w, follows);
      mark = steady_s();
      w.store().put(prefix + "s-00001", record("s-00001", mark));
      from = mark;
    });
    if (lasts_s > 0) {
      following.until([] { return false; }, lasts_s);
      world.run([&](standins::RegistryWorld& w) {
        end(w);
        from = steady_s();
      });
    }
    bool came = following.until([&] { return following.listener.newest >= mark; }, 20);
    times.push_back(came ? std::max(0.0, steady_s() - from) : 99);
  }
  std::sort(times.begin(), times.end());
  std::printf("%-7s %-46s %8.0f %8.0f\n", name(wire), what, quantile(times, 0.5) * 1e3, times.back() * 1e3);
  std::fflush(stdout);
}

void measure_faults(int tries) {
  auto nothing = [](standins::RegistryWorld&) {};
  auto heal = [](standins::RegistryWorld& w) { w.heal(); };
  for (Wire wire : {Wire::etcd, Wire::consul}) {
    measure_fault(
        wire, "none", [](auto&, int) {}, nothing, 0, tries);
    measure_fault(
        wire, "connections reset",
        [](auto& w, int) {
          for (int i = 0; i < 3; ++i) w.server(i).reset_all();
        },
        nothing, 0, tries);
    measure_fault(
        wire, "all members restart", [](auto& w, int) { w.restart(); }, nothing, 0, tries);
    measure_fault(
        wire, "its member dies", [](auto& w, int follows) { w.server(follows).go_down(); }, nothing, 0,
        tries);
    measure_fault(
        wire, "its member hangs", [](auto& w, int follows) { w.server(follows).hang(true); }, nothing, 0,
        tries);
    measure_fault(
        wire, "its watch stays open and silent",
        [](auto& w, int follows) {
          if (w.wire() == Wire::etcd)
            w.etcd(follows).mute(true);
          else
            w.consul(follows).mute(true);
        },
        nothing, 0, tries);
    measure_fault(
        wire, "all down for 3 s",
        [](auto& w, int) {
          for (int i = 0; i < 3; ++i) w.server(i).go_down();
        },
        heal, 3, tries);
    measure_fault(
        wire, "all down, compacted past us",
        [](auto& w, int) {
          for (int i = 0; i < 3; ++i) w.server(i).go_down();
        },
        [](auto& w) {
          w.store().put("elsewhere", "x");
          w.store().compact(w.store().revision());
          w.heal();
        },
        0.5, tries);
    measure_fault(
        wire, "restored from a backup",
        [](auto& w, int) {
          for (int i = 0; i < 20; ++i) w.store().put("elsewhere", std::to_string(i));
          w.restore(false);
        },
        nothing, 0, tries);
    measure_fault(
        wire, "restarted without its data", [](auto& w, int) { w.wipe(); }, nothing, 0, tries);
  }
}

}  // namespace

int main(int argc, char** argv) {
  CLI::App app{"pearspar-measure-registry: the registry client against a stand-in registry, on loopback"};
  bool quick = false;
  app.add_flag("--quick", quick, "shorter runs, two of the three sizes");
  CLI11_PARSE(app, argc, argv);
  double length_s = quick ? 1 : 4;
  std::printf(
      "From a change in the registry to the list being told (ms); bytes read and processor time a change,\n"
      "memory a node, the first list. Stand-in registry of three members, real sockets on loopback.\n\n");
  std::printf("%-7s %6s %5s %8s %8s %8s %15s %9s %9s %9s %9s\n", "dialect", "nodes", "1/s", "median", "p99",
              "worst", "told/made", "B/change", "us/change", "B/node", "list ms");
  for (Wire wire : {Wire::etcd, Wire::consul})
    for (int nodes : quick ? std::vector<int>{100, 1000} : std::vector<int>{100, 1000, 10'000})
      for (int rate : {10, 100, 1000}) measure_changes(wire, nodes, rate, length_s);
  std::printf(
      "\nFrom a fault (or its end, where it lasts) to a list that holds a change made with it (ms)\n\n");
  std::printf("%-7s %-46s %8s %8s\n", "dialect", "fault", "median", "worst");
  measure_faults(quick ? 3 : 11);
  return 0;
}
