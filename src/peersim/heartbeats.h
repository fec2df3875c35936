// A baseline to measure beside: every broker tells every other each period that it lives, and holds one gone
// that was not heard for five periods. Simulated period by period, with the same losses and holds.
#pragma once

#include <cstdint>
#include <random>
#include <vector>

namespace pearspar::peersim {

struct HeartbeatResult {
  std::vector<double> detected;  // seconds until all knew of a crash
  double removals = 0;           // of live brokers, by anybody
  double bytes_per_s = 0;        // of one broker
};

struct HeartbeatWorld {
  int brokers = 10;
  double period_s = 0.2;
  double loss = 0;
  double slow = 0;  // share of brokers whose loop is held for 300 ms in every second
  double time_s = 60;
  double crash_every_s = 20;  // one crashes, and is back half of that later
  double bytes = 60;          // of a heartbeat: name, run, checksum, headers left out
};

HeartbeatResult run_heartbeats(const HeartbeatWorld& world, std::uint64_t seed);

}  // namespace pearspar::peersim
