// Encoding of quota requests and replies for the links, and of quota commands as log entries.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "protocol/pack.h"
#include "quota/messages.h"

namespace pearspar::protocol {

void pack(Packer& packer, const quota::QuotaRequest& request);
quota::QuotaRequest unpack_quota_request(Unpacker& in);
void pack(Packer& packer, const quota::QuotaReply& reply);
quota::QuotaReply unpack_quota_reply(Unpacker& in);

// Starts the given window.
struct AdvanceWindow {
  quota::Window window = 0;
};
// Settles what was granted to an edge that no longer renews it.
struct ExpireEdge {
  quota::EdgeSession session = 0;
};
using QuotaCommand = std::variant<quota::QuotaRequest, AdvanceWindow, ExpireEdge>;

// The commands of one log entry, in the order in which they are applied.
std::string pack_quota_commands(const std::vector<QuotaCommand>& commands);
// Returns nothing where the bytes cannot be read.
std::optional<std::vector<QuotaCommand>> unpack_quota_commands(std::string_view bytes);

}  // namespace pearspar::protocol
