// An operator's order of a roll-out: its JSON form and its checks. Free of I/O.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "catalog/json.h"

namespace pearspar::rollout {

struct RolloutOrder {
  std::string service;
  std::string target;         // the version that the service is to be moved to
  std::uint64_t over_ms = 0;  // the term, from the order on
  bool operator==(const RolloutOrder&) const = default;
};

// Returns nothing, and sets `fault`, where the text is not a valid order.
std::optional<RolloutOrder> parse_rollout_order(std::string_view text, catalog::Fault& fault);

}  // namespace pearspar::rollout
