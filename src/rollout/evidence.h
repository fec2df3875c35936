// What edges have reported of one roll-out, and what it proves: sequential tests of the new version against
// the old one at the same time, by route. Free of I/O.
//
// A call is bad if it failed, was refused, or took several times as long as calls to the old version do.
// Evidence is the log likelihood ratio of two hypotheses: the new version is as bad as the old one at that
// time and a little (p0), or by 20 of 100 calls worse (p1). Neither one node nor one edge decides: what each
// adds to a conviction is capped. Where the old version is bad itself, nothing is told.
#pragma once

#include <array>
#include <cstdint>
#include <deque>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "rollout/latency_buckets.h"
#include "rollout/messages.h"
#include "rollout/rollout_clock.h"
#include "rollout/state_description.h"

namespace pearspar::rollout {

// What the calls since some moment say.
struct Findings {
  std::uint64_t calls = 0;  // to the new version
  std::uint64_t bad = 0;    // of those
  double old_bad_share = 0;
  double evidence = 0;         // of all calls; negative: the version is good
  double weakest = 0;          // of the route with the least proof that the version is good
  std::size_t good_votes = 0;  // edges whose own calls speak for the version
  std::size_t bad_votes = 0;
  bool zones_agree = false;  // good votes come from two zones, or no second one votes
  std::string worst_route;
};

// What one edge's calls to the new version say.
struct EdgeVote {
  std::uint64_t incarnation = 0;
  std::string zone;
  std::uint64_t calls = 0;
  std::uint64_t bad = 0;
  double evidence = 0;  // negative: for the version
};

class Evidence {
 public:
  using Watcher = std::uint64_t;  // an edge's incarnation
  // Calls are counted in slots of that length; the oldest slots are dropped.
  explicit Evidence(Duration slot_length) : slot_length_(slot_length) {}

  // Adds a vote; `zone` is the edge's.
  void add(Time now, Watcher watcher, const std::string& zone, const Vote& vote);

  // Whether calls of late, or all, prove that the version is bad; `findings` tells of those that do.
  bool convicts(Time now, Findings& findings) const;
  // What all calls say.
  Findings findings() const { return findings_since(slots_.empty() ? 0 : slots_.begin()->first); }
  // What calls since then say.
  Findings findings(Time since) const { return findings_since(slot_of(since)); }
  // By edge, of all calls.
  std::vector<EdgeVote> votes() const;
  // All that later steps depend on, for a search over states.
  void describe(StateDescription& out) const;

 private:
  // Counts of calls, by latency.
  struct Cell {
    std::uint64_t calls = 0;   // refused ones as well
    std::uint64_t failed = 0;  // refused ones as well
    std::array<std::uint32_t, last_bucket + 1> latencies{};
    void add(const CallCounts& counts);
    void add(const Cell& other);
    std::uint64_t bad(LatencyBucket slow_from) const;
    void describe(StateDescription& out) const;
  };
  struct RouteSlot {
    Cell old_version;
    std::map<std::string, Cell> nodes;  // of the new version
    std::map<Watcher, Cell> watchers;   // the same calls, by edge
    void describe(StateDescription& out) const;
  };
  using SlotNumber = std::int64_t;
  using Slots = std::map<SlotNumber, std::map<std::string, RouteSlot>>;  // by route
  // The old version on one route.
  struct Baseline {
    LatencyBucket slow_from = last_bucket + 1;
    double bad_share = 0;
    std::uint64_t calls = 0;
  };
  struct Sums {
    std::map<std::string, double> nodes;
    std::map<Watcher, double> watchers;
    std::map<Watcher, std::pair<std::uint64_t, std::uint64_t>> watcher_calls;  // calls, bad ones
    double all = 0;
    std::uint64_t calls = 0;
    std::uint64_t bad = 0;
    std::uint64_t service_calls = 0;  // to both versions
  };

  SlotNumber slot_of(Time at) const;
  Findings findings_since(SlotNumber since) const;
  std::map<std::string, Baseline> baselines() const;
  double usual_bad_share(const std::string& route, LatencyBucket slow_from) const;
  // The share of bad calls that is normal in the slot; above max_normal where nothing can be told.
  double normal_share(SlotNumber slot, const std::string& route, const Baseline& baseline) const;
  std::map<std::string, Sums> sums(SlotNumber since, const std::map<std::string, Baseline>& baselines) const;
  static bool proves_bad(const Sums& sums);

  Duration slot_length_;
  Slots slots_;
  std::map<Watcher, std::string> zones_;
};

// Log likelihood ratio of so many calls.
double evidence_of(std::uint64_t calls, std::uint64_t bad, double normal_share);

}  // namespace pearspar::rollout
