// Counters and gauges as others read them: one list, printed in the text form that collectors scrape (through
// prometheus-cpp) or as JSON.
#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace pearspar::metrics {

struct Sample {
  const char* name;  // altavia_calls_total; what only rises ends in _total
  const char* help;
  double value = 0;
};

// The text exposition format, each name once, with `node` and `zone` as labels.
std::string as_text(const std::vector<Sample>& samples, const std::string& node, const std::string& zone);
// {"calls":3,...}: names without their prefix and _total.
std::string as_json(const std::vector<Sample>& samples);

}  // namespace pearspar::metrics
