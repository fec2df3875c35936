// Clients of routes that a change makes unsafe: below the prefix of a gathered route, so that an edge which
// goes by an older configuration sends their requests to every shard.
#include <fmt/format.h>

#include <chrono>
#include <random>
#include <utility>

#include "processes/client_connection.h"
#include "processes/configuration_judge.h"
#include "processes/traffic.h"

namespace pearspar::processes {
namespace {

constexpr std::uint64_t clients_per_edge = 6;
constexpr double deadline_s = 6;
constexpr double longest_rest_s = 0.6;  // so that some send late in a pause of their edge
constexpr double in_force_after_s = config_within_ms * 0.001;

class UnsafeClient {
 public:
  UnsafeClient(Scene& scene, TrafficHistory& history, std::string edge, std::uint64_t seed)
      : scene_(scene), history_(history), edge_(std::move(edge)), random_(seed), connection_(history) {}

  void run() {
    while (!scene_.over) {
      if (connection_.is_open() || connection_.connect(edge_)) send_one();
      const double rest_s = std::uniform_real_distribution<double>(0, longest_rest_s)(random_);
      std::this_thread::sleep_for(std::chrono::duration<double>(rest_s));
    }
  }

 private:
  // The newest route that is in force at every edge, so that it is missing where an edge is behind.
  ProbeRoute newest_in_force() const {
    const std::uint64_t revision = scene_.judge.acknowledged_before(history_.now() - in_force_after_s);
    return {ProbeRoute::Family::once, once_block_added(revision)};
  }

  void send_one() {
    ClientTry attempt;
    attempt.id = fmt::format("{:016x}", random_());
    attempt.edge = edge_;
    attempt.method = "POST";
    attempt.path = newest_in_force().path_prefix() + "x";
    attempt.body = "entry";
    attempt.deadline_s = deadline_s;
    attempt.kept = true;
    connection_.exchange(std::move(attempt));
  }

  Scene& scene_;
  TrafficHistory& history_;
  const std::string edge_;
  std::mt19937_64 random_;
  ClientConnection connection_;
};

}  // namespace

UnsafeClients::UnsafeClients(Scene& scene, TrafficHistory& history, std::uint64_t seed)
    : threads_(scene, clients_per_edge,
               [&scene, &history, seed](const std::string& edge, std::uint64_t number) {
                 UnsafeClient(scene, history, edge, seed * 512 + 384 + number).run();
               }) {}

}  // namespace pearspar::processes
