#include "simulation/lag_judge.h"

#include <algorithm>

namespace pearspar::simulation {

LagJudge::LagJudge(double bound_s, double in_touch_s, Broken broken)
    : bound_s_(bound_s), in_touch_s_(in_touch_s), broken_(std::move(broken)) {}

void LagJudge::acknowledged(double at, std::uint64_t revision) { acknowledged_.emplace(revision, at); }

void LagJudge::core_unsettled(double until) { core_calm_since_ = std::max(core_calm_since_, until); }

void LagJudge::edge_started(double at, const std::string& edge) {
  edges_[edge].runs = true;
  edges_[edge].revision = 0;
  edge_disturbed(edge, at);
}

void LagJudge::edge_ended(double at, const std::string& edge) {
  edges_[edge].runs = false;
  edge_disturbed(edge, at);
}

void LagJudge::edge_disturbed(const std::string& edge, double until) {
  double& calm_since = edges_[edge].calm_since;
  calm_since = std::max(calm_since, until);
}

void LagJudge::edge_routes_by(double at, const std::string& name, std::uint64_t revision) {
  Edge& edge = edges_[name];
  judge(name, edge, at);
  edge.revision = revision;
}

void LagJudge::advance(double at) {
  for (const auto& [name, edge] : edges_) judge(name, edge, at);
}

bool LagJudge::in_touch(const Edge& edge, double at) const {
  return edge.runs && at >= std::max(edge.calm_since, core_calm_since_) + in_touch_s_;
}

void LagJudge::judge(const std::string& name, const Edge& edge, double at) {
  if (edge.revision == 0 || !in_touch(edge, at)) return;
  auto oldest = acknowledged_.upper_bound(edge.revision);
  // A lower number may have been acknowledged later than a higher one.
  for (auto newer = oldest; newer != acknowledged_.end(); ++newer)
    if (newer->second < oldest->second) oldest = newer;
  if (oldest == acknowledged_.end()) return;
  const auto [revision, acknowledged_at] = *oldest;
  const double lag = at - acknowledged_at;
  if (lag > largest_.seconds) largest_ = {lag, name, revision, at};
  if (lag <= bound_s_ || !reported_.emplace(name, revision).second) return;
  broken_("CONFIG", name + " goes by edition " + std::to_string(edge.revision) + ", in touch, " +
                        std::to_string(lag) + " s after edition " + std::to_string(revision) +
                        " was acknowledged");
}

}  // namespace pearspar::simulation
