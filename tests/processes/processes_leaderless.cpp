// What callers get while no leader is in reach of their edge: gathered and other requests, at one edge,
// beside troubles of that edge and of the core.
#include <fmt/format.h>
#include <signal.h>

#include <algorithm>
#include <cstdio>
#include <functional>
#include <map>
#include <mutex>
#include <random>
#include <string>
#include <thread>
#include <vector>

#include "admin_client/admin_client.h"
#include "processes/processes_hall.h"

namespace pearspar::processes {
namespace {

using namespace std::chrono_literals;

constexpr int members = 3, edges = 2, callers_per_kind = 4;
constexpr double calm_before_s = 6, calm_after_s = 6, between_requests_s = 0.01;
constexpr net::Duration one_call = 1500ms;
constexpr net::Duration start_within = 20s;

// Routes of configuration(), by what their answers need.
struct Kind {
  const char* name;
  const char* path;
};
constexpr Kind kinds_of_requests[] = {
    {"all shards", "/m/x"}, {"one shard of two", "/g/x"}, {"one service", "/s/x"}};

struct Outcome {
  double asked_at = 0;
  double answered_at = 0;
  int status = 0;
};

// Calls one path of one edge, and keeps what became of it.
class Caller {
 public:
  Caller(Scene& scene, std::string edge, std::string path, std::uint64_t seed)
      : scene_(scene), edge_(std::move(edge)), path_(std::move(path)), random_(seed) {
    thread_ = std::thread([this] { run(); });
  }
  ~Caller() { thread_.join(); }
  std::vector<Outcome> outcomes() {
    std::lock_guard lock(mutex_);
    return outcomes_;
  }

 private:
  void run() {
    net::Loop loop;
    admin_client::AdminClient client(loop, {});
    while (!scene_.over) {
      Outcome outcome;
      outcome.asked_at = scene_.judge.now();
      const std::string head = fmt::format("Request-Id: {:016x}\r\nDeadline-Ms: 1000\r\n", random_());
      outcome.status = client.call_member(edge_, {"GET", path_, head, "", "hall.example"}, one_call).status;
      outcome.answered_at = scene_.judge.now();
      {
        std::lock_guard lock(mutex_);
        outcomes_.push_back(outcome);
      }
      std::this_thread::sleep_for(std::chrono::duration<double>(between_requests_s));
    }
  }

  Scene& scene_;
  const std::string edge_, path_;
  std::mt19937_64 random_;
  std::mutex mutex_;
  std::vector<Outcome> outcomes_;
  std::thread thread_;
};

struct Trouble {
  const char* name;
  double lasts_s;
  std::function<void()> begin, end;
};

class LeaderlessBench {
 public:
  explicit LeaderlessBench(const RunOptions& options) : hall_(loop_, scene_, options, true) {
    scene_.net = options.net;
  }
  ~LeaderlessBench() {
    scene_.over = true;
    callers_.clear();
    if (watcher_.joinable()) watcher_.join();
  }

  void run() {
    start();
    std::printf("Each: answers of 200, of 503, other ends; the longest time without a 200.\n");
    std::printf("%-42s %5s", "trouble", "s");
    for (const Kind& kind : kinds_of_requests) std::printf("   %-32s", kind.name);
    std::printf("\n");
    for (const Trouble& trouble : troubles()) play(trouble);
  }

 private:
  void start() {
    for (int i = 0; i < members; ++i) hall_.add_member(true, false);
    for (int i = 0; i < members; ++i) hall_.start_member(i, true);
    for (int i = 0; i < edges; ++i) hall_.start_edge(i, false);
    for (const char* service : {"shard0", "shard1", "plain"}) hall_.start_node(service);
    watcher_ = std::thread([this] { watch_on(scene_); });
    admin_client::AdminClient operator_client(loop_, scene_.controls());
    const auto reply = operator_client.call(
        {"PUT", "/pearspar/config", "If-Match: 0\r\n", configuration(1, "m", 3, true), ""}, start_within);
    if (reply.status != 200) throw std::runtime_error("the configuration was not taken: " + reply.fault);
    const std::string edge = hall_.front_door(0);
    std::uint64_t next_seed = 1;
    for (int i = 0; i < callers_per_kind; ++i) {
      for (const Kind& kind : kinds_of_requests)
        callers_[kind.path].push_back(std::make_unique<Caller>(scene_, edge, kind.path, next_seed++));
    }
  }

  std::vector<Trouble> troubles() {
    const auto freeze_edge = [this] { hall_.signal_edge(0, SIGSTOP); };
    const auto wake_edge = [this] { hall_.signal_edge(0, SIGCONT); };
    const auto cut_edge = [this] { hall_.cut_edge(0, {}); };
    const auto heal_edge = [this] { hall_.heal_edge(0); };
    const auto kill_all = [this] {
      for (int i = 0; i < members; ++i) hall_.kill(i);
    };
    const auto start_all = [this] {
      for (int i = 0; i < members; ++i) hall_.start_member(i, false);
    };
    return {{"the edge is frozen", 2, freeze_edge, wake_edge},
            {"the edge is frozen", 4, freeze_edge, wake_edge},
            {"the edge is cut off from the core", 2, cut_edge, heal_edge},
            {"the edge is cut off from the core", 8, cut_edge, heal_edge},
            {"the leader is killed", 3, [this] { hall_.kill(pick_leader()); },
             [this] { hall_.start_member(leader_, false); }},
            {"the leader is frozen", 4, [this] { hall_.signal(pick_leader(), SIGSTOP); },
             [this] { hall_.signal(leader_, SIGCONT); }},
            {"all members are killed", 0.2, kill_all, start_all},
            {"all members are killed", 8, kill_all, start_all},
            {"all members are stopped in turn (SIGTERM)", 15, [this] { restart_in_turn(); }, [] {}}};
  }

  int pick_leader() { return leader_ = std::max(0, hall_.by_control(scene_.leader())); }

  void restart_in_turn() {
    for (int i = 0; i < members; ++i) {
      hall_.end(i, [this, i](int) { hall_.start_member(i, false); });
      turn(trouble_pause_s);
    }
  }

  void play(const Trouble& trouble) {
    turn(calm_before_s);
    const double from = scene_.judge.now();
    trouble.begin();
    turn(trouble.lasts_s - (scene_.judge.now() - from));
    trouble.end();
    const double ended = scene_.judge.now();
    turn(calm_after_s);
    std::printf("%-42s %5.1f", trouble.name, ended - from);
    for (const Kind& kind : kinds_of_requests) std::printf("   %-32s", told(kind.path, from, ended).c_str());
    std::printf("\n");
    std::fflush(stdout);
  }

  // Requests that were asked from the trouble's beginning until some seconds after its end.
  std::string told(const std::string& path, double from, double ended) {
    std::vector<Outcome> all;
    for (const auto& caller : callers_[path])
      for (const Outcome& each : caller->outcomes())
        if (each.asked_at >= from - 1 && each.asked_at < ended + calm_after_s) all.push_back(each);
    std::sort(all.begin(), all.end(),
              [](const Outcome& a, const Outcome& b) { return a.answered_at < b.answered_at; });
    double last_served = from, longest_gap_s = 0;
    int served = 0, refused = 0, other = 0;
    for (const Outcome& each : all) {
      const bool is_success = each.status == 200;
      if (is_success) longest_gap_s = std::max(longest_gap_s, each.answered_at - last_served);
      if (is_success) last_served = each.answered_at;
      if (each.asked_at < from) continue;
      ++(is_success ? served : each.status == 503 ? refused : other);
    }
    return fmt::format("{:>6} {:>6} {:>4} {:>7.2f} s", served, refused, other, longest_gap_s);
  }

  void turn(double seconds) {
    const double until = scene_.judge.now() + seconds;
    while (scene_.judge.now() < until)
      loop_.run_once(net::Duration(std::clamp(until - scene_.judge.now(), 0.0, 0.05)));
  }

  static constexpr double trouble_pause_s = 5;
  net::Loop loop_;
  Scene scene_;
  Hall hall_;
  int leader_ = 0;
  std::thread watcher_;
  std::map<std::string, std::vector<std::unique_ptr<Caller>>> callers_;
};

}  // namespace

int measure_leaderless(const RunOptions& options) {
  LeaderlessBench(options).run();
  return 0;
}

}  // namespace pearspar::processes
