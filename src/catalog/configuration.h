// The configuration that operators send: its types and its parser, which also validates it.
#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "catalog/json.h"

namespace pearspar::catalog {

// Number of a configuration. Rises from one configuration to the next, not always by one; 0 = none yet.
using Revision = std::uint64_t;

struct WeightedService {
  std::string service;
  double weight = 1;
};

struct Route {
  std::string name;
  std::string host;
  std::string path_prefix;  // begins and ends with a slash
  bool safe = false;        // the request may be executed more than once
  double deadline_ms = 0;
  double target_ms = 0;                   // latency target; 0 = none
  int precedence = 0;                     // 0 is highest
  int max_attempts = 1;                   // servers that one request, or one part of it, may be sent to
  std::vector<WeightedService> services;  // empty for a scatter-gather route
  std::vector<std::string> shards;        // services that a scatter-gather route queries; else empty
  int max_records = 0;                    // of a gathered response
  double min_shard_ratio = 0;             // of the shards that have to answer for a success
  std::string quota_kind;                 // quota that a request counts against; empty = none
  bool gathers() const { return !shards.empty(); }
};

struct Service {
  std::string name;
  std::string health_path;
  int max_connections = 0;  // that one server accepts from all clients together; 0 = not configured
};

struct Limits {
  std::size_t header_bytes = 16384;
  std::size_t body_bytes = 262144;
  double header_wait_ms = 3000;
  double idle_ms = 15000;
};

// The quota of one holder for requests of one kind, per window. A holder is a firm or one of its branches
// ("firm/branch"); requests of a branch count against both.
struct QuotaAccount {
  std::string holder;
  std::string kind;
  std::uint64_t limit = 0;
  bool borrows = false;  // a branch that is past its limit may use what its firm has left
};

struct QuotaRules {
  double window_ms = 60000;
  std::string holder_header;             // request header that names the holder
  std::string key_header;                // request header that is equal for all attempts; empty = Request-Id
  bool spend_when_disconnected = false;  // accept requests while the core cannot be reached
  std::vector<QuotaAccount> accounts;

  const QuotaAccount* find(const std::string& holder, const std::string& kind) const;
  std::unordered_map<std::string, std::size_t> account_index;  // by holder and kind
};

struct Configuration {
  Revision revision = 0;
  std::vector<Route> routes;
  std::vector<Service> services;
  Limits limits;
  std::shared_ptr<const QuotaRules> quota_rules;  // null = no quotas
  std::string text;                               // as received
};
using ConfigurationPtr = std::shared_ptr<const Configuration>;

// Parses and validates a configuration. Returns null, and sets `fault`, where it is not valid.
ConfigurationPtr parse_configuration(std::string_view text, Fault& fault);

// The revision alone, also of a configuration that is not valid otherwise; 0 = none.
Revision revision_of(std::string_view text);

}  // namespace pearspar::catalog
