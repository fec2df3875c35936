// A seeded run with troubles of all kinds, one after the other and together, within what the core can bear;
// then everything is mended, and the judge is asked.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "simulation/cluster.h"

namespace pearspar::simulation {

struct ScheduleOptions {
  ClusterOptions cluster;
  double troubled_s = 20;
  double mended_s = 9;
  double trouble_every_s = 1.2;
  double change_every_s = 0.9;
  std::vector<std::string> kinds;  // only these; empty = all
  bool rollouts = false;           // are ordered as well
  bool tells_core = false;         // the story also tells who leads and how many count
};

// What befell, and how long an order had no clear answer meanwhile although members could have given one.
struct Befallen {
  std::string kind;
  double at = 0;
  double until = 0;
  bool met = false;  // by an order
  double longest_wait = 0;
};

struct Outcome {
  std::vector<std::string> faults;
  std::vector<std::string> story;  // what was done, and when
  std::vector<Befallen> befallen;
  Cluster::Totals totals;
  std::size_t acknowledged = 0;
  // Roll-outs whose term was over: all, and those whose version was not dealt with as it should be.
  std::size_t rollouts = 0;
  std::size_t missed_rollouts = 0;
  std::size_t delivered_bad = 0;
  std::uint64_t frames = 0;   // between processes
  LagJudge::Lag largest_lag;  // of a configuration, over the edges in touch
};

const std::vector<std::string>& trouble_kinds();
// A schedule whose shape is the seed's: how many members, how long, how slow the disks, how large the
// configurations. Most are small, so that many can be played; some are whole systems.
ScheduleOptions drawn_schedule(std::uint64_t seed);
// On a large fleet (large_fleet.h), otherwise as it is.
void make_large(ScheduleOptions& options);
// One with roll-outs under traffic; its shape is the seed's.
ScheduleOptions drawn_rollout_schedule(std::uint64_t seed);
Outcome play(const ScheduleOptions& options);

// A leader is cut off, or frozen, for so long; orders go on at the others, and one meets it as it returns,
// again and again. How long that one waits for a clear answer from the healing on; below 0: too long.
struct Return {
  double waited_s = 0;
  std::vector<std::string> faults;
};
Return time_return(std::uint64_t seed, double away_s);

}  // namespace pearspar::simulation
