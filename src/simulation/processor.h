// The share of a processor that a simulated process has: what it does takes time, and what comes meanwhile
// waits its turn in order.
#pragma once

#include <algorithm>
#include <cstddef>

#include "simulation/world.h"

namespace pearspar::simulation {

// What work takes on a whole processor; all 0 = nothing takes time.
struct ProcessorCosts {
  Duration per_event{};               // a turn of the process, whatever it does
  Duration per_byte{};                // of a frame received or sent
  Duration per_configuration_byte{};  // of a configuration that is parsed and put in force
};

class Processor {
 public:
  explicit Processor(const World& world) : world_(world) {}

  // `share`: of a whole processor, above 0.
  void set(const ProcessorCosts& costs, double share) {
    costs_ = costs;
    share_ = share;
  }

  void take_event() { take(costs_.per_event); }
  void take_bytes(std::size_t bytes) { take(costs_.per_byte * static_cast<double>(bytes)); }
  void take_configuration(std::size_t bytes) {
    take(costs_.per_configuration_byte * static_cast<double>(bytes));
  }
  // When all work that was taken is done.
  Time busy_until() const { return busy_until_; }

 private:
  void take(Duration on_whole_processor) {
    if (on_whole_processor <= Duration(0)) return;
    busy_until_ = std::max(busy_until_, world_.now()) + on_whole_processor / share_;
  }

  const World& world_;
  ProcessorCosts costs_;
  double share_ = 1;
  Time busy_until_{};
};

}  // namespace pearspar::simulation
