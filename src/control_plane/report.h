// The JSON documents of the control port (api/altavia.json).
#pragma once

#include <string>
#include <string_view>

#include "control_plane/followers.h"
#include "control_plane/replicated_state.h"
#include "rollout/rollout_coordinator.h"

namespace pearspar::control_plane {

std::string error_json(std::string_view what);
// The local view of this member, which may be outdated.
std::string status_json(Time now, const std::string& name, const raft::Core& core,
                        const ReplicatedState& state, const subscription::ClusterView& view,
                        const Followers& followers);
std::string nodes_json(Time now, const subscription::ClusterView& view);
// Up to `newest` of the newest entries, the newest last, and the number of all entries.
std::string history_json(const ReplicatedState& state, std::size_t newest);
// Quota counts by window, holder and kind, with the log position at which they hold.
std::string allowance_json(const raft::Core& core, const ReplicatedState& state);
// The state of a service's newest roll-out.
std::string rollout_json(const rollout::Rollout& rollout);
// The newest roll-out of each service, with the votes of those in transit.
std::string rollouts_json(Time now, const rollout::RolloutLedger& ledger,
                          const rollout::RolloutCoordinator& coordinator);
// The configuration and its history as a backup that can be verified and restored; format 1.
std::string snapshot_json(const ReplicatedState& state);

}  // namespace pearspar::control_plane
