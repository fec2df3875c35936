#include "clients/query.h"

#include <algorithm>
#include <charconv>
#include <cmath>

namespace pearspar::clients {
namespace {

constexpr std::size_t longest_id = 200;
constexpr std::size_t longest_text = 16 * 1024;
constexpr int body_depth = 8;
constexpr double longest_wait_ms = 24 * 3600 * 1000.0;
constexpr double largest_cost_us = 1e12;

// It becomes a word of a node's line.
bool is_word(std::string_view text) {
  return !text.empty() && text.size() <= longest_id &&
         std::all_of(text.begin(), text.end(), [](char c) { return c > 0x20 && c < 0x7f; });
}

std::optional<std::uint64_t> read_hex(std::string_view text) {
  std::uint64_t value = 0;
  auto [stop, error] = std::from_chars(text.data(), text.data() + text.size(), value, 16);
  if (text.empty() || text.size() > 16 || error != std::errc() || stop != text.data() + text.size())
    return std::nullopt;
  return value;
}

std::optional<Fault> read_part(const json::Value& value, const QueryLimits& limits, QueryPart& part) {
  if (!value.is(json::Kind::object)) return Fault{400, "ranges: holds what is no object"};
  const json::Value* shard = value.find("range");
  auto number = shard ? shard->integer() : std::nullopt;
  if (!number) return Fault{400, "range: missing or not a whole number"};
  if (*number < 0 || *number >= limits.shards) return Fault{400, "range: no such shard"};
  part.shard = static_cast<int>(*number);
  const json::Value* weight = value.find("portion");
  auto share = weight ? weight->number() : std::nullopt;
  if (!share) return Fault{400, "portion: missing or not a number"};
  // In all they come to 1; one that is rounded may stand a hair over it.
  if (*share < 0 || *share > 1.001) return Fault{400, "portion: not from 0 to 1"};
  part.weight = *share;
  if (const json::Value* price = value.find("price"); price && !price->is(json::Kind::null)) {
    part.cost_us = price->number();
    if (!part.cost_us || *part.cost_us < 0 || *part.cost_us > largest_cost_us)
      return Fault{400, "price: not a number in range"};
  }
  if (const json::Value* hash = value.find("hash"); hash && !hash->is(json::Kind::null)) {
    auto text = hash->text();
    auto key = text ? read_hex(*text) : std::nullopt;
    if (!key) return Fault{400, "hash: not 16 hex digits"};
    part.key = *key;
  }
  return std::nullopt;
}

std::optional<Fault> read_body(std::string_view body, const QueryLimits& limits, Query& query) {
  json::Value root;
  try {
    root = json::parse(body, body_depth);
  } catch (const json::ParseError& error) {
    return Fault{400, std::string("body: ") + error.what()};
  }
  if (!root.is(json::Kind::object)) return Fault{400, "body: not an object"};
  const json::Value* ranges = root.find("ranges");
  if (!ranges || !ranges->is(json::Kind::array)) return Fault{400, "ranges: missing or not a list"};
  if (ranges->items.size() > limits.most_parts) return Fault{400, "ranges: too many parts"};
  std::vector<bool> seen(static_cast<std::size_t>(limits.shards));
  double sum = 0;
  for (const json::Value& item : ranges->items) {
    QueryPart part;
    if (auto fault = read_part(item, limits, part)) return fault;
    if (seen[static_cast<std::size_t>(part.shard)]) return Fault{400, "range: a shard stands twice"};
    seen[static_cast<std::size_t>(part.shard)] = true;
    sum += part.weight;
    query.parts.push_back(part);
  }
  // Each is rounded for itself.
  double slack = 1e-3 + 5e-4 * static_cast<double>(ranges->items.size());
  if (std::abs(sum - 1) > slack) return Fault{400, "portion: not 1 in all"};
  const json::Value* text = root.find("predicate");
  auto words = text ? text->text() : std::nullopt;
  if (!words) return Fault{400, "predicate: missing or not a text"};
  if (words->size() > longest_text) return Fault{400, "predicate: too long"};
  query.text = std::move(*words);
  return std::nullopt;
}

}  // namespace

std::optional<Fault> read_query(const http::Message& message, const QueryLimits& limits, Query& query) {
  std::string_view path = message.target.substr(0, message.target.find('?'));
  if (path.empty() || path.front() != '/') return Fault{400, "the target is no path"};
  path.remove_prefix(1);
  query.cls = path.substr(0, path.find('/'));
  query.id = message.header("X-Correlation-Id").value_or("");
  if (!is_word(query.id)) return Fault{400, "X-Correlation-Id: missing or not one short word"};
  query.tenant = message.header("X-Account").value_or("");
  if (limits.needs_tenant && query.tenant.empty()) return Fault{400, "X-Account: missing"};
  std::string_view left = message.header("X-Time-Left-Ms").value_or("");
  auto [stop, error] = std::from_chars(left.data(), left.data() + left.size(), query.time_left_ms);
  if (left.empty() || error != std::errc() || stop != left.data() + left.size() ||
      !(std::abs(query.time_left_ms) <= longest_wait_ms))
    return Fault{400, "X-Time-Left-Ms: missing or not a number of milliseconds"};
  query.repeat = message.header("X-Repeat").value_or("") == "1";
  return read_body(message.body, limits, query);
}

std::string error_body(std::string_view why) {
  std::string body = "{\"error\":";
  json::append_quoted(body, why);
  return body + "}";
}

std::string answer_body(bool whole, std::span<const PartValue> parts) {
  std::string body = whole ? "{\"total\":true,\"answers\":[" : "{\"total\":false,\"answers\":[";
  bool first = true;
  for (const PartValue& part : parts) {
    body += first ? "{\"range\":" : ",{\"range\":";
    body += std::to_string(part.shard) + ",\"blob\":";
    json::append_quoted(body, part.value);
    body += '}';
    first = false;
  }
  return body + "]}";
}

}  // namespace pearspar::clients
