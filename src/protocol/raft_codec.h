// Encoding of Raft's messages for the links, and of its log entries, snapshots and votes for the store.
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "protocol/pack.h"
#include "raft/types.h"

namespace pearspar::protocol {

void pack(Packer& packer, const raft::Message& message);
// Returns false where the bytes are not a message that this program knows.
bool unpack(Unpacker& unpacker, raft::Message& message);

// The unpacking functions return nothing where the bytes cannot be read as a whole.
std::string pack_entry(const raft::Entry& entry);
std::optional<raft::Entry> unpack_entry(std::string_view bytes);
std::string pack_snapshot(const raft::Snapshot& snapshot);
std::optional<raft::Snapshot> unpack_snapshot(std::string_view bytes);
std::string pack_vote(const raft::Vote& vote);
std::optional<raft::Vote> unpack_vote(std::string_view bytes);

}  // namespace pearspar::protocol
