// The program's version, as it is printed and told to other brokers.
#pragma once

namespace pearspar {

constexpr const char* version = "0.2.0";

}  // namespace pearspar
