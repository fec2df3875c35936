// Exposition of counters and gauges: one list of samples, formatted as Prometheus text (through
// prometheus-cpp) or as JSON.
#pragma once

#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace pearspar::metrics {

// The current value of one metric.
struct Sample {
  const char* name;  // such as altavia_calls_total; counters end in _total, others are gauges
  const char* help;
  double value = 0;
  std::vector<std::pair<std::string, std::string>> labels = {};  // that tell samples of one name apart
};

// The Prometheus text format, with `node` and `zone` as labels of every sample.
std::string as_text(const std::vector<Sample>& samples, const std::string& node, const std::string& zone);
// {"calls":3,...}: names without the prefix altavia_ and the suffix _total, the values of labels appended.
std::string as_json(const std::vector<Sample>& samples);

}  // namespace pearspar::metrics
