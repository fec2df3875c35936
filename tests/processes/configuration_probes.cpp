// Requests on the routes that changes add, drop and move, at each edge from threads of its own.
#include <fmt/format.h>

#include <chrono>
#include <random>
#include <utility>

#include "processes/client_connection.h"
#include "processes/configuration_judge.h"
#include "processes/traffic.h"

namespace pearspar::processes {
namespace {

constexpr double probe_deadline_s = 1;
constexpr double rest_s = 0.01;
constexpr std::uint64_t probers_per_edge = 3;
constexpr double old_s = config_within_ms * 0.001;

class Prober {
 public:
  Prober(Scene& scene, TrafficHistory& history, std::string edge, std::uint64_t seed)
      : scene_(scene), history_(history), edge_(std::move(edge)), random_(seed), connection_(history) {}

  void run() {
    while (!scene_.over) {
      if (connection_.is_open() || connection_.connect(edge_)) probe();
      std::this_thread::sleep_for(std::chrono::duration<double>(rest_s));
    }
  }

 private:
  // Those routes by which edges that are late and edges that aren't can be told apart best.
  ProbeRoute draw_route() {
    using Family = ProbeRoute::Family;
    const std::uint64_t newest = scene_.judge.newest();
    const std::uint64_t old = scene_.judge.acknowledged_before(history_.now() - old_s);
    switch (random_() % 4) {
      case 0:
        return {Family::brief, brief_block_added(newest)};
      case 1: {
        const std::uint64_t first = brief_block_dropped(old), last = brief_block_dropped(newest);
        return {Family::brief, first + random_() % (last - first + 1)};
      }
      case 2: {
        const std::uint64_t block = steady_block_added(old);
        return {Family::steady, block > 2 ? block - random_() % 3 : block};
      }
      default:
        return {Family::moved, 0};
    }
  }

  void probe() {
    ClientTry attempt;
    attempt.id = fmt::format("{:016x}", random_());
    attempt.edge = edge_;
    attempt.method = "GET";
    attempt.path = draw_route().path_prefix() + "x";
    attempt.deadline_s = probe_deadline_s;
    attempt.probes = true;
    connection_.exchange(std::move(attempt));
  }

  Scene& scene_;
  TrafficHistory& history_;
  const std::string edge_;
  std::mt19937_64 random_;
  ClientConnection connection_;
};

}  // namespace

ConfigurationProbes::ConfigurationProbes(Scene& scene, TrafficHistory& history, std::uint64_t seed)
    : threads_(scene, probers_per_edge,
               [&scene, &history, seed](const std::string& edge, std::uint64_t number) {
                 Prober(scene, history, edge, seed * 512 + 256 + number).run();
               }) {}

}  // namespace pearspar::processes
