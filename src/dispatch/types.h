// Words that the data plane's packages share. All decisions here are free of I/O and are given the time.
#pragma once

#include <chrono>
#include <cstdint>
#include <string>

#include "net/slots.h"

namespace pearspar::dispatch {

using Duration = std::chrono::duration<double>;
using Time = std::chrono::time_point<std::chrono::steady_clock, Duration>;
using CallId = net::SlotId;     // one request to one node
using RequestId = net::SlotId;  // of a client, while it is open

inline Duration from_ms(double ms) { return Duration(ms / 1000); }

}  // namespace pearspar::dispatch
