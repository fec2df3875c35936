// The page's tables (docs/CAPACITY.md) out of measured figures.
#pragma once

#include <map>
#include <nlohmann/json.hpp>
#include <string>

namespace pearspar::measure {

struct Measured {
  nlohmann::json loopback;  // pearspar-measure-capacity --json, beats of 1.2 and of 20 s
  nlohmann::json turns;     // --turns
  nlohmann::json regions;   // pearspar-measure-regions --json
  nlohmann::json epoll;     // both of a loop that waits by epoll, which is not joined
  nlohmann::json sweep;     // what the platform's sweep has shown, before and after
};
// By name; each ends with a line end.
std::map<std::string, std::string> tables_of(const Measured& measured);
// By the file's name: the points of the curves.
std::map<std::string, std::string> points_of(const Measured& measured);

}  // namespace pearspar::measure
