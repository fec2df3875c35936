// Judges how late each edge goes by an acknowledged configuration, over the moments when it is in touch
// (RULES.md, "In touch"). Told what operators and edges show to the outside and what was done to machines,
// and nothing else.
//
// An edge is late at a moment if a configuration was acknowledged that is newer than the one it goes by. Its
// lag is the time since the first such acknowledgement. Lags while an edge is not in touch do not count; an
// edge that goes by no configuration yet serves nothing and is not judged.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <utility>

namespace pearspar::simulation {

// All times are in seconds on one clock.
class LagJudge {
 public:
  using Broken = std::function<void(const std::string& rule, const std::string& what)>;
  // `bound_s`: a lag above it breaks CONFIG. `in_touch_s`: how long a machine must have been without trouble.
  LagJudge(double bound_s, double in_touch_s, Broken broken);

  void acknowledged(double at, std::uint64_t revision);
  // The core is in trouble until then, and so no edge is in touch.
  void core_unsettled(double until);

  // A process of the edge starts or ends; both are trouble of that edge.
  void edge_started(double at, const std::string& edge);
  void edge_ended(double at, const std::string& edge);
  // The edge, or a link that it needs, is in trouble until then.
  void edge_disturbed(const std::string& edge, double until);
  void edge_routes_by(double at, const std::string& edge, std::uint64_t revision);

  // Judges the edges that are late now. Call it often: between calls an edge that stays late goes unseen.
  void advance(double at);

  struct Lag {
    double seconds = 0;
    std::string edge;
    std::uint64_t revision = 0;  // the newer configuration
    double at = 0;               // when the edge was last seen late by so much
  };
  // The largest so far; `edge` is empty if none was late.
  const Lag& largest() const { return largest_; }

 private:
  struct Edge {
    bool runs = false;
    std::uint64_t revision = 0;  // 0 = goes by none
    double calm_since = 0;
  };

  bool in_touch(const Edge& edge, double at) const;
  void judge(const std::string& name, const Edge& edge, double at);

  double bound_s_;
  double in_touch_s_;
  Broken broken_;
  double core_calm_since_ = 0;
  std::map<std::uint64_t, double> acknowledged_;  // revision -> first acknowledgement
  std::map<std::string, Edge> edges_;
  std::set<std::pair<std::string, std::uint64_t>> reported_;  // edge, revision
  Lag largest_;
};

}  // namespace pearspar::simulation
