// Time as the whole broker reads it: steady, and aligned once, at the start, with Unix time, so that moments
// named by other machines (a node's start) stand on the same scale as the broker's own.
#pragma once

#include <chrono>
#include <cstdint>

#include "net/kernel.h"

namespace pearspar::net {

class Clock {
 public:
  Clock()
      : unix_offset_(Duration(std::chrono::system_clock::now().time_since_epoch()) -
                     Duration(std::chrono::steady_clock::now().time_since_epoch())) {}

  Time now() const {
    if (kernel_override) return kernel_override->now();
    return Time(Duration(std::chrono::steady_clock::now().time_since_epoch()) + unix_offset_);
  }

  // The same moment must give the same value each time it is named, so the offset is never measured anew.
  static Time from_unix_ms(double ms) { return Time(Duration(ms / 1000)); }

 private:
  Duration unix_offset_;
};

}  // namespace pearspar::net
