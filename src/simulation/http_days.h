// Seeded runs of two edges' HTTP sides with troubles of every kind on the streams to clients and nodes.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "simulation/cluster.h"

namespace pearspar::simulation {

struct HttpDayOptions {
  std::uint64_t seed = 1;
  std::vector<std::string> kinds;  // only these, all at once; empty = some that the seed picks
  double troubled_s = 5;
  double requests_per_s = 120;
};

struct HttpDay {
  std::vector<std::string> faults;
  std::map<std::string, std::uint64_t> struck;  // by kind
  // What was met on the way, by name: of the streams, the edges' counters, the judge.
  std::map<std::string, std::uint64_t> met;
  Cluster::Totals totals;
  std::map<std::string, Cluster::Heard> heard;  // by kind of request and status
};

const std::vector<std::string>& http_kinds();
// Every kind that strikes single requests and connections, at this chance.
void set_http_troubles(Cluster& cluster, double chance);
HttpDay play_http(const HttpDayOptions& options);

}  // namespace pearspar::simulation
