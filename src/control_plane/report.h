// What members tell operators, as JSON (api/altavia.json).
#pragma once

#include <string>
#include <string_view>

#include "control_plane/followers.h"
#include "control_plane/replicated_state.h"

namespace pearspar::control_plane {

std::string error_json(std::string_view what);
// What this member knows by itself, whoever leads: it may be old.
std::string status_json(Time now, const std::string& name, const raft::Core& core,
                        const ReplicatedState& state, const vazzoler::View& view, const Followers& followers);
std::string nodes_json(Time now, const vazzoler::View& view);
// So many of the newest, the newest last, and how many are remembered.
std::string history_json(const ReplicatedState& state, std::size_t newest);
// Counts by window, holder and kind, signed off by the place in the log that they are of.
std::string allowance_json(const raft::Core& core, const ReplicatedState& state);
// The agreed state in a form that can be kept, checked and put back: format 1.
std::string snapshot_json(const ReplicatedState& state);

}  // namespace pearspar::control_plane
