#include "clients/query.h"

#include <algorithm>
#include <charconv>
#include <cmath>

namespace pearspar::clients {
namespace {

constexpr std::size_t max_id_bytes = 200;
constexpr std::size_t max_text_bytes = 16 * 1024;
constexpr int max_body_depth = 8;
constexpr double max_time_left_ms = 24 * 3600 * 1000.0;
constexpr double max_cost_us = 1e12;

// Ids become a word of a line-based protocol to nodes.
bool is_word(std::string_view text) {
  return !text.empty() && text.size() <= max_id_bytes &&
         std::all_of(text.begin(), text.end(), [](char c) { return c > 0x20 && c < 0x7f; });
}

std::optional<std::uint64_t> read_hex(std::string_view text) {
  std::uint64_t value = 0;
  auto [stop, error] = std::from_chars(text.data(), text.data() + text.size(), value, 16);
  if (text.empty() || text.size() > 16 || error != std::errc() || stop != text.data() + text.size())
    return std::nullopt;
  return value;
}

std::optional<RequestError> read_part(const json::Value& value, const QueryLimits& limits, QueryPart& part) {
  if (!value.is(json::Kind::object)) return RequestError{400, "ranges: holds what is no object"};
  const json::Value* shard = value.find("range");
  auto number = shard ? shard->integer() : std::nullopt;
  if (!number) return RequestError{400, "range: missing or not a whole number"};
  if (*number < 0 || *number >= limits.shards) return RequestError{400, "range: no such shard"};
  part.shard = static_cast<int>(*number);
  const json::Value* weight = value.find("portion");
  auto share = weight ? weight->number() : std::nullopt;
  if (!share) return RequestError{400, "portion: missing or not a number"};
  // All weights sum up to 1; a rounded one may be slightly above it.
  if (*share < 0 || *share > 1.001) return RequestError{400, "portion: not from 0 to 1"};
  part.weight = *share;
  if (const json::Value* price = value.find("price"); price && !price->is(json::Kind::null)) {
    part.cost_us = price->number();
    if (!part.cost_us || *part.cost_us < 0 || *part.cost_us > max_cost_us)
      return RequestError{400, "price: not a number in range"};
  }
  if (const json::Value* hash = value.find("hash"); hash && !hash->is(json::Kind::null)) {
    auto text = hash->text();
    auto key = text ? read_hex(*text) : std::nullopt;
    if (!key) return RequestError{400, "hash: not 16 hex digits"};
    part.key = *key;
  }
  return std::nullopt;
}

std::optional<RequestError> read_body(std::string_view body, const QueryLimits& limits, Query& query) {
  json::Value root;
  try {
    root = json::parse(body, max_body_depth);
  } catch (const json::ParseError& error) {
    return RequestError{400, std::string("body: ") + error.what()};
  }
  if (!root.is(json::Kind::object)) return RequestError{400, "body: not an object"};
  const json::Value* ranges = root.find("ranges");
  if (!ranges || !ranges->is(json::Kind::array)) return RequestError{400, "ranges: missing or not a list"};
  if (ranges->items.size() > limits.most_parts) return RequestError{400, "ranges: too many parts"};
  std::vector<bool> seen(static_cast<std::size_t>(limits.shards));
  double sum = 0;
  for (const json::Value& item : ranges->items) {
    QueryPart part;
    if (auto error = read_part(item, limits, part)) return error;
    if (seen[static_cast<std::size_t>(part.shard)]) return RequestError{400, "range: a shard stands twice"};
    seen[static_cast<std::size_t>(part.shard)] = true;
    sum += part.weight;
    query.parts.push_back(part);
  }
  // Each weight may be rounded.
  double slack = 1e-3 + 5e-4 * static_cast<double>(ranges->items.size());
  if (std::abs(sum - 1) > slack) return RequestError{400, "portion: not 1 in all"};
  const json::Value* text = root.find("predicate");
  auto words = text ? text->text() : std::nullopt;
  if (!words) return RequestError{400, "predicate: missing or not a text"};
  if (words->size() > max_text_bytes) return RequestError{400, "predicate: too long"};
  query.text = std::move(*words);
  return std::nullopt;
}

}  // namespace

std::optional<RequestError> read_query(const http::Message& message, const QueryLimits& limits,
                                       Query& query) {
  std::string_view path = message.target.substr(0, message.target.find('?'));
  if (path.empty() || path.front() != '/') return RequestError{400, "the target is no path"};
  path.remove_prefix(1);
  query.cls = path.substr(0, path.find('/'));
  query.id = message.header("X-Correlation-Id").value_or("");
  if (!is_word(query.id)) return RequestError{400, "X-Correlation-Id: missing or not one short word"};
  query.tenant = message.header("X-Account").value_or("");
  if (limits.needs_tenant && query.tenant.empty()) return RequestError{400, "X-Account: missing"};
  std::string_view left = message.header("X-Time-Left-Ms").value_or("");
  auto [stop, error] = std::from_chars(left.data(), left.data() + left.size(), query.time_left_ms);
  if (left.empty() || error != std::errc() || stop != left.data() + left.size() ||
      !(std::abs(query.time_left_ms) <= max_time_left_ms))
    return RequestError{400, "X-Time-Left-Ms: missing or not a number of milliseconds"};
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
