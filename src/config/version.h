// The program version, as printed and as reported to other brokers.
#pragma once

namespace pearspar {

constexpr const char* version = "0.2.0";

}  // namespace pearspar
