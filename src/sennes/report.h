// What members tell operators, as JSON (api/altavia.json).
#pragma once

#include <string>
#include <string_view>

#include "sennes/followers.h"
#include "sennes/state.h"

namespace pearspar::sennes {

std::string fault_json(std::string_view what);
// What this member knows by itself, whoever leads: it may be old.
std::string status_json(Time now, const std::string& name, const raft::Core& core, const State& state,
                        const subscription::ClusterView& view, const Followers& followers);
std::string nodes_json(Time now, const subscription::ClusterView& view);
// So many of the newest, the newest last, and how many are remembered.
std::string history_json(const State& state, std::size_t newest);
// Counts by window, holder and kind, signed off by the place in the log that they are of.
std::string allowance_json(const raft::Core& core, const State& state);
// The agreed state in a form that can be kept, checked and put back: format 1.
std::string snapshot_json(const State& state);

}  // namespace pearspar::sennes
