// Which edges are out of touch (RULES.md, "In touch"), for the judge of lags. What happens at a moment is
// told to it where it is done; what lasts is looked up here.
#include "simulation/cluster_parts.h"

namespace pearspar::simulation {
namespace {

// Much below the bound of a lag.
constexpr Duration look_interval{0.05};

}  // namespace

bool Cluster::reaches_both_ways(const std::string& one, const std::string& other) const {
  return net_.reaches(one, other) && net_.reaches(other, one);
}

bool Cluster::is_running(const Core& core) const {
  return core.process && core.process->life.frozen_until <= world_.now();
}

// Members that run and reach more than half of the core, themselves counted.
std::vector<const Cluster::Core*> Cluster::members_with_majority() const {
  std::vector<const Core*> found;
  for (const auto& core : cores_) {
    if (!is_running(*core)) continue;
    std::size_t together = 1;
    for (const auto& other : cores_)
      if (other != core && is_running(*other) && reaches_both_ways(core->address, other->address)) ++together;
    if (together > member_count() / 2) found.push_back(core.get());
  }
  return found;
}

void Cluster::judge_lags() {
  world_.in(look_interval, [this] { judge_lags(); });
  const std::vector<const Core*> members = members_with_majority();
  if (members.size() <= member_count() / 2 || !majority_serves()) lag_judge_.core_unsettled(seconds());
  for (const auto& edge : edges_) {
    const bool reaches_all = std::all_of(members.begin(), members.end(), [&](const Core* member) {
      return reaches_both_ways(edge->address, member->address);
    });
    if (!reaches_all) lag_judge_.edge_disturbed(edge->name, seconds());
  }
  lag_judge_.advance(seconds());
}

}  // namespace pearspar::simulation
