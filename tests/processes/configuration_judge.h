// Which configuration each edge goes by, judged from outside: by what becomes of requests on routes that
// changes add, drop and move. Free of I/O.
#pragma once

#include <cstdint>
#include <limits>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace pearspar::processes {

// The operators' bounds, as written into every process's settings.
constexpr int config_within_ms = 3000;
constexpr int in_touch_ms = 4000;
// How much longer the bound of configuration is while the core is unsettled.
constexpr int outer_ms = 12000;

constexpr double never_acknowledged = std::numeric_limits<double>::infinity();

// A route that some configurations have and others lack, or whose service depends on the configuration. A
// configuration's revision alone decides on both.
struct ProbeRoute {
  enum class Family {
    brief,   // added every few revisions, dropped after some seconds of changes
    steady,  // added rarely, and kept long enough to be missed by an edge that is late
    moved,   // in every configuration, at one service after the other
    once,    // unsafe, below the prefix of a gathered route that takes its requests where it is missing: one
             // that is content with one shard, or one that needs all, in turn
  };
  Family family = Family::moved;
  std::uint64_t block = 0;  // of revisions, the one that added it

  std::string path_prefix() const;
  // The route that a path belongs to, if any.
  static std::optional<ProbeRoute> of_path(const std::string& path);
  bool is_safe() const { return family != Family::once; }
  // The service that requests on it go to under this revision; none if the revision lacks the route.
  std::optional<std::string> service_at(std::uint64_t revision) const;
};
// All of them that a revision has.
std::vector<ProbeRoute> probe_routes(std::uint64_t revision);
// The block of brief routes that a revision adds, and the newest that it has dropped (0: none).
std::uint64_t brief_block_added(std::uint64_t revision);
std::uint64_t brief_block_dropped(std::uint64_t revision);
std::uint64_t steady_block_added(std::uint64_t revision);
std::uint64_t once_block_added(std::uint64_t revision);

// One revision that operators sent.
struct Change {
  std::uint64_t revision = 0;
  double sent_at = 0;
  double acknowledged_at = never_acknowledged;
};

// Whether requests with this path go to shards in some revision; their answers consist of records then.
bool may_be_gathered(const std::string& path);
// Whether one shard's failure is the whole answer's in some revision.
bool may_need_all_shards(const std::string& path);

// Whether every revision has the route that may have been in force for a request that was sent then and
// handled by then.
bool is_in_force(const ProbeRoute& route, const std::vector<Change>& changes, double sent_at,
                 double handled_at);

// What became of one probe at one edge.
struct ProbeOutcome {
  std::string id;
  std::string edge;
  std::string path;
  double sent_at = 0;
  double handled_at = 0;               // at the latest
  std::optional<std::string> service;  // that ran it; none: refused with 404
};

// How far an edge was seen behind, at least.
struct Lag {
  double seconds = 0;
  ProbeOutcome probe;
  std::string circumstances;  // the troubles last before it
};

struct ConfigurationVerdict {
  struct Late {
    std::string id;  // of the probe
    std::string what;
  };
  std::vector<Late> late;   // broken rules
  std::size_t settled = 0;  // probes judged by the plain bound
  std::size_t unsettled = 0;
  Lag largest_settled;    // of edges in touch
  Lag largest_unsettled;  // of edges without trouble, while the core was not settled

  // Takes in the verdict on another run.
  void add(const ConfigurationVerdict& other);
  std::string summary() const;
};

class ConfigurationJudge {
 public:
  // A member was killed, started, stopped, continued, told to end, cut off or joined again.
  void core_disturbed(double at) { core_disturbed_.push_back(at); }
  // No more than half of the core ran.
  void core_lost(double from, double until) { core_lost_.emplace_back(from, until); }
  // Not running, or a link of it cut.
  void edge_troubled(const std::string& edge, double from, double until) {
    edge_troubled_[edge].emplace_back(from, until);
  }

  ConfigurationVerdict judge(std::vector<Change> changes, const std::vector<ProbeOutcome>& probes) const;

 private:
  // The bound that holds for a probe, in seconds after an acknowledgement; none if none does.
  std::optional<double> bound_for(const ProbeOutcome& probe) const;
  bool core_ran(double from, double until) const;
  // The last troubles of the edge and of the core before the probe was sent.
  std::string circumstances_of(const ProbeOutcome& probe) const;

  std::vector<double> core_disturbed_;
  std::vector<std::pair<double, double>> core_lost_;
  std::map<std::string, std::vector<std::pair<double, double>>> edge_troubled_;
};

}  // namespace pearspar::processes
