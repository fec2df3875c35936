// The clock of the process: steady, and aligned with Unix time once at start-up, so that timestamps from
// other machines (such as a node's start time) can be compared with local ones.
#pragma once

#include <chrono>
#include <cstdint>

#include "net/kernel.h"

namespace pearspar::net {

// Reads the current time, or the time of the kernel override of this thread.
class Clock {
 public:
  Clock()
      : unix_offset_(Duration(std::chrono::system_clock::now().time_since_epoch()) -
                     Duration(std::chrono::steady_clock::now().time_since_epoch())) {}

  Time now() const {
    if (kernel_override) return kernel_override->now();
    return Time(Duration(std::chrono::steady_clock::now().time_since_epoch()) + unix_offset_);
  }

  // Independent of the clock's offset: the same timestamp always gives the same value.
  static Time from_unix_ms(double ms) { return Time(Duration(ms / 1000)); }

 private:
  Duration unix_offset_;
};

}  // namespace pearspar::net
