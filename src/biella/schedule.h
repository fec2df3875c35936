// A seeded run with troubles of all kinds, one after the other and together, within what the core can bear;
// then everything is mended, and the judge is asked.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "biella/cluster.h"

namespace pearspar::biella {

struct ScheduleOptions {
  ClusterOptions cluster;
  double troubled_s = 20;
  double mended_s = 9;
  double trouble_every_s = 1.2;
  double change_every_s = 0.9;
  std::vector<std::string> kinds;  // only these; empty = all
};

struct Outcome {
  std::vector<std::string> faults;
  std::vector<std::string> story;  // what was done, and when
  Cluster::Totals totals;
  std::size_t acknowledged = 0;
  std::uint64_t frames = 0;  // between processes
};

const std::vector<std::string>& trouble_kinds();
Outcome play(const ScheduleOptions& options);

}  // namespace pearspar::biella
