#include "rollout/rollout_order.h"

#include <cmath>

namespace pearspar::rollout {
namespace {

constexpr std::size_t max_name_bytes = 256;
constexpr double min_over_s = 0.001;
constexpr double max_over_s = 7 * 86400;

std::string read_name(catalog::JsonReader& in, const char* key) {
  std::string name = in.text(key);
  if (in.good() && name.empty()) in.fail(key, "is empty");
  if (in.good() && name.size() > max_name_bytes) in.fail(key, "is longer than 256 bytes");
  return name;
}

}  // namespace

std::optional<RolloutOrder> parse_rollout_order(std::string_view text, catalog::Fault& fault) {
  fault = {};
  catalog::Json json = catalog::parse_json(text, fault);
  if (!json) return std::nullopt;
  if (!cJSON_IsObject(json.get())) {
    fault = {{}, "is no object"};
    return std::nullopt;
  }
  catalog::JsonReader in(json.get(), {}, fault);
  RolloutOrder order;
  order.service = read_name(in, "depot");
  order.target = read_name(in, "targetEdition");
  order.over_ms = static_cast<std::uint64_t>(std::llround(in.number("overS", min_over_s, max_over_s) * 1000));
  if (!in.good()) return std::nullopt;
  return order;
}

}  // namespace pearspar::rollout
