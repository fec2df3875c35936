// Types shared by the request dispatch code. Nothing in this module does I/O or reads a clock: callers pass
// the current time.
#pragma once

#include <chrono>
#include <cstdint>
#include <string>

#include "net/slots.h"

namespace pearspar::dispatch {

using Duration = std::chrono::duration<double>;
using Time = std::chrono::time_point<std::chrono::steady_clock, Duration>;
using CallId = net::SlotId;     // one request sent to one node
using RequestId = net::SlotId;  // an open client request

// Multiples of it, modulo 1, are spread evenly over [0, 1) and do not fall into step with periodic clients.
inline constexpr double golden_ratio_fraction = 0.6180339887498949;

inline Duration from_ms(double ms) { return Duration(ms / 1000); }

}  // namespace pearspar::dispatch
