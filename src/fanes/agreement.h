// The core's own words as bytes, for its links and for its disk.
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "fanes/pack.h"
#include "lagazuoi/types.h"

namespace pearspar::fanes {

void pack(Packer& packer, const lagazuoi::Message& message);
bool unpack(Unpacker& unpacker, lagazuoi::Message& message);

std::string pack_entry(const lagazuoi::Entry& entry);
std::optional<lagazuoi::Entry> unpack_entry(std::string_view bytes);
std::string pack_snapshot(const lagazuoi::Snapshot& snapshot);
std::optional<lagazuoi::Snapshot> unpack_snapshot(std::string_view bytes);
std::string pack_vote(const lagazuoi::Vote& vote);
std::optional<lagazuoi::Vote> unpack_vote(std::string_view bytes);

}  // namespace pearspar::fanes
