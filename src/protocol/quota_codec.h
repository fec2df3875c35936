// The allowance's words as bytes: on links, and as entries of the log.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "pramperet/words.h"
#include "protocol/pack.h"

namespace pearspar::protocol {

void pack(Packer& packer, const pramperet::Ask& ask);
pramperet::Ask unpack_ask(Unpacker& in);
void pack(Packer& packer, const pramperet::Tell& tell);
pramperet::Tell unpack_tell(Unpacker& in);

// What one entry does, in this order.
struct AdvanceWindow {
  pramperet::Window window = 0;
};
struct ExpireEdge {
  pramperet::Life life = 0;
};
using QuotaCommand = std::variant<pramperet::Ask, AdvanceWindow, ExpireEdge>;

std::string pack_quota_commands(const std::vector<QuotaCommand>& steps);
// Nothing where the bytes hold none.
std::optional<std::vector<QuotaCommand>> unpack_quota_commands(std::string_view bytes);

}  // namespace pearspar::protocol
