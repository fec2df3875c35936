// A client's query as it stands in a request, and the answers that go back.
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

struct QueryPart {
  int shard = 0;
  double weight = 0;
  std::optional<double> cost_us;
  std::uint64_t key = 0;  // 0 = none
};

struct Query {
  std::string_view id;
  std::string_view cls;
  std::string_view tenant;
  double time_left_ms = 0;
  bool repeat = false;
  std::vector<QueryPart> parts;
  std::string text;
};

// What a client is to be told of a request that is no query; `field` and `why` in one line.
struct RequestError {
  int status = 400;
  std::string why;
};

// The limits that a query has to keep to; what breaks one never gets beyond this reader.
struct QueryLimits {
  int shards = 0;
  std::size_t most_parts = 0;
  bool needs_tenant = false;
};

// Fills `query`, whose views are slices of the message; a fault where the request is none.
std::optional<RequestError> read_query(const http::Message& message, const QueryLimits& limits, Query& query);

using engine::PartValue;
std::string error_body(std::string_view why);
std::string answer_body(bool whole, std::span<const PartValue> parts);

}  // namespace pearspar::clients
