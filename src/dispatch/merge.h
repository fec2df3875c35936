// The records of a gathered answer: 16 bytes each, the greatest first.
#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace pearspar::dispatch {

inline constexpr std::size_t record_bytes = 16;

struct Merged {
  std::string body;
  std::vector<std::size_t> survived;  // records of each part that are in the body
};

// The `top` greatest records of all parts, byte by byte, equal ones as often as they come. A part's rest of
// under 16 bytes is no record.
Merged merge(const std::vector<std::string_view>& parts, std::size_t top);

}  // namespace pearspar::dispatch
