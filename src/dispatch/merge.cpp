#include "dispatch/merge.h"

#include <algorithm>
#include <cstring>

namespace pearspar::dispatch {

Merged merge(const std::vector<std::string_view>& parts, std::size_t top) {
  struct Record {
    const char* data;
    std::size_t part;
  };
  std::vector<Record> records;
  for (std::size_t part = 0; part < parts.size(); ++part)
    for (std::size_t offset = 0; offset + record_bytes <= parts[part].size(); offset += record_bytes)
      records.push_back({parts[part].data() + offset, part});
  std::size_t kept = std::min(top, records.size());
  std::partial_sort(
      records.begin(), records.begin() + static_cast<std::ptrdiff_t>(kept), records.end(),
      [](const Record& a, const Record& b) { return std::memcmp(a.data, b.data, record_bytes) > 0; });
  Merged merged;
  merged.survived.resize(parts.size());
  merged.body.reserve(kept * record_bytes);
  for (std::size_t i = 0; i < kept; ++i) {
    merged.body.append(records[i].data, record_bytes);
    ++merged.survived[records[i].part];
  }
  return merged;
}

}  // namespace pearspar::dispatch
