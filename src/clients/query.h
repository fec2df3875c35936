// Parsing of queries from HTTP requests and formatting of their answers.
#pragma once

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "engine/ports.h"
#include "http/message.h"
#include "json/json.h"

namespace pearspar::clients {

// One shard of a query.
struct QueryPart {
  int shard = 0;
  double weight = 0;  // share of the whole query, 0..1
  std::optional<double> cost_us;
  std::uint64_t key = 0;  // 0 = none
};

// A parsed query. Its views are slices of the message.
struct Query {
  std::string_view id;
  std::string_view cls;
  std::string_view tenant;
  double time_left_ms = 0;
  bool repeat = false;
  std::vector<QueryPart> parts;
  std::string text;
};

// Why a request is not a valid query: the status and error text for the client.
struct RequestError {
  int status = 400;
  std::string why;
};

// Limits on a query.
struct QueryLimits {
  int shards = 0;
  std::size_t most_parts = 0;
  bool needs_tenant = false;
};

// Fills `query` from the message, or returns an error.
std::optional<RequestError> read_query(const http::Message& message, const QueryLimits& limits, Query& query);

using engine::PartValue;
// Formats the JSON body of an error response.
std::string error_body(std::string_view why);
// Formats the JSON body of an answer.
std::string answer_body(bool whole, std::span<const PartValue> parts);

}  // namespace pearspar::clients
