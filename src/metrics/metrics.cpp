#include "metrics/metrics.h"

#include <fmt/format.h>
#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

namespace pearspar::metrics {
namespace {

constexpr std::string_view prefix = "altavia_";
constexpr std::string_view total = "_total";

}  // namespace

std::string as_text(const std::vector<Sample>& samples, const std::string& node, const std::string& zone) {
  prometheus::Registry registry;
  const prometheus::Labels labels = {{"node", node}, {"zone", zone}};
  for (const Sample& sample : samples) {
    if (std::string_view(sample.name).ends_with(total))
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
    if (name.starts_with(prefix)) name.remove_prefix(prefix.size());
    if (name.ends_with(total)) name.remove_suffix(total.size());
    out += fmt::format("{}\"{}\":{}", out.size() > 1 ? "," : "", name, sample.value);
  }
  return out + "}";
}

}  // namespace pearspar::metrics
