#include "metrics/metrics.h"

#include <fmt/format.h>
#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

namespace pearspar::metrics {
namespace {

constexpr std::string_view name_prefix = "altavia_";
constexpr std::string_view counter_suffix = "_total";

}  // namespace

std::string as_text(const std::vector<Sample>& samples, const std::string& node, const std::string& zone) {
  prometheus::Registry registry;
  for (const Sample& sample : samples) {
    prometheus::Labels labels = {{"node", node}, {"zone", zone}};
    labels.insert(sample.labels.begin(), sample.labels.end());
    if (std::string_view(sample.name).ends_with(counter_suffix))
      prometheus::BuildCounter()
          .Name(sample.name)
          .Help(sample.help)
          .Register(registry)
          .Add(labels)
          .Increment(sample.value);
    else
      prometheus::BuildGauge()
          .Name(sample.name)
          .Help(sample.help)
          .Register(registry)
          .Add(labels)
          .Set(sample.value);
  }
  return prometheus::TextSerializer().Serialize(registry.Collect());
}

std::string as_json(const std::vector<Sample>& samples) {
  std::string out = "{";
  for (const Sample& sample : samples) {
    std::string_view name = sample.name;
    if (name.starts_with(name_prefix)) name.remove_prefix(name_prefix.size());
    if (name.ends_with(counter_suffix)) name.remove_suffix(counter_suffix.size());
    std::string key(name);
    for (const auto& [label, value] : sample.labels) key += "_" + value;
    out += fmt::format("{}\"{}\":{}", out.size() > 1 ? "," : "", key, sample.value);
  }
  return out + "}";
}

}  // namespace pearspar::metrics
