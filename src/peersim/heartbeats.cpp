#include "peersim/heartbeats.h"

#include <algorithm>

namespace pearspar::peersim {
namespace {

constexpr int missed_borne = 5;  // periods
constexpr double hold_share = 0.3;

}  // namespace

HeartbeatResult run_heartbeats(const HeartbeatWorld& world, std::uint64_t seed) {
  std::mt19937_64 random(seed);
  std::uniform_real_distribution<double> even(0, 1);
  const auto n = static_cast<std::size_t>(world.brokers);
  const auto slow = static_cast<std::size_t>(world.slow * static_cast<double>(n) + 0.5);
  std::vector<std::vector<int>> missed(n, std::vector<int>(n, 0));  // by observer, of each
  std::vector<std::vector<char>> gone(n, std::vector<char>(n, 0));
  HeartbeatResult result;
  const int periods = static_cast<int>(world.time_s / world.period_s);
  const int crash_every = std::max(2, static_cast<int>(world.crash_every_s / world.period_s));
  std::size_t crashed = n;  // nobody
  int crashed_at = 0;
  double sent = 0;
  for (int period = 0; period < periods; ++period) {
    if (period % crash_every == crash_every / 2) {
      crashed = static_cast<std::size_t>(random() % n);
      crashed_at = period;
    } else if (period % crash_every == 0 && crashed < n) {
      for (std::size_t i = 0; i < n; ++i) missed[i][crashed] = missed[crashed][i] = gone[i][crashed] = 0;
      crashed = n;
    }
    for (std::size_t from = 0; from < n; ++from) {
      // A held broker sends late: what it owes this period counts as missed.
      const bool silent = from == crashed || (from < slow && even(random) < hold_share);
      if (!silent) sent += world.bytes * static_cast<double>(n - 1);
      for (std::size_t to = 0; to < n; ++to) {
        if (to == from || to == crashed) continue;
        if (!silent && even(random) >= world.loss) {
          missed[to][from] = 0;
          gone[to][from] = 0;
        } else if (++missed[to][from] == missed_borne) {
          gone[to][from] = 1;
          if (from != crashed) ++result.removals;
        }
      }
    }
    if (crashed < n && period > crashed_at) {
      bool all = true, before = true;
      for (std::size_t i = 0; i < n; ++i) {
        if (i == crashed) continue;
        all = all && gone[i][crashed] != 0;
        before = before && missed[i][crashed] > missed_borne;
      }
      if (all && !before) result.detected.push_back((period - crashed_at + even(random)) * world.period_s);
    }
  }
  result.bytes_per_s = sent / world.time_s / static_cast<double>(n);
  return result;
}

}  // namespace pearspar::peersim
