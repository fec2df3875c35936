// Encoding of roll-outs: commands as log entries, the ledger for snapshots, the versions of services for
// updates, and the messages between edges and the leader.
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "catalog/service_versions.h"
#include "protocol/pack.h"
#include "rollout/messages.h"
#include "rollout/rollout_ledger.h"

namespace pearspar::protocol {

// The commands of one log entry, in the order in which they are applied.
void pack(Packer& packer, const std::vector<rollout::RolloutCommand>& commands);
std::vector<rollout::RolloutCommand> unpack_rollout_commands(Unpacker& in);

void pack(Packer& packer, const rollout::RolloutLedger& ledger);
rollout::RolloutLedger unpack_rollout_ledger(Unpacker& in);

void pack(Packer& packer, const catalog::ServiceVersions& versions);
catalog::ServiceVersions unpack_service_versions(Unpacker& in);
std::string pack_service_versions(const catalog::ServiceVersions& versions);
// Returns nothing where the bytes cannot be read.
std::optional<catalog::ServiceVersions> unpack_service_versions(std::string_view bytes);

void pack(Packer& packer, const rollout::RolloutReport& report);
rollout::RolloutReport unpack_rollout_report(Unpacker& in);
void pack(Packer& packer, const rollout::RolloutGrant& grant);
rollout::RolloutGrant unpack_rollout_grant(Unpacker& in);

}  // namespace pearspar::protocol
