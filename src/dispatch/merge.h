// Merges the record lists of a gathered request's parts: records of 16 bytes, greatest first in byte order.
#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace pearspar::dispatch {

inline constexpr std::size_t record_bytes = 16;

struct Merged {
  std::string body;
  std::vector<std::size_t> survived;  // by part: its records in `body`
};

// The `top` greatest records of all parts; duplicates are kept. Trailing bytes of a part that are less than a
// record are ignored.
Merged merge(const std::vector<std::string_view>& parts, std::size_t top);

}  // namespace pearspar::dispatch
