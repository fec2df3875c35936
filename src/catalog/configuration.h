// The operators' configuration: its shape, and the one place where it is read and checked.
#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "catalog/json.h"

namespace pearspar::catalog {

using Revision = std::uint64_t;  // of a configuration; rises in uneven steps, 0 = none yet

struct WeightedService {
  std::string service;
  double weight = 1;
};

struct Route {
  std::string name;
  std::string host;
  std::string prefix;  // begins and ends with a slash
  bool safe = false;   // may run more than once
  double deadline_ms = 0;
  double target_ms = 0;                   // an answer within it earns its full worth; 0 = not told
  int precedence = 0;                     // 0 is highest
  int tries = 1;                          // servers that one request may be sent to (of each shard)
  std::vector<WeightedService> services;  // one, or several by weight; empty where it gathers
  std::vector<std::string> shards;        // empty where it does not
  int top = 0;                            // records of a gathered answer
  double min_shard_ratio = 0;             // of the shards, for a success
  std::string kind;                       // of the allowance that it draws on; empty = none
  bool gathers() const { return !shards.empty(); }
};

struct Service {
  std::string name;
  std::string health_path;
  int connections = 0;  // that one server accepts from all callers together; 0 = not told
};

struct Limits {
  std::size_t header_bytes = 16384;
  std::size_t body_bytes = 262144;
  double header_wait_ms = 3000;
  double idle_ms = 15000;
};

// What a holder may ask for of one kind in a window. A holder is a firm, or a branch under it
// ("firm/branch"); what a branch draws counts on both.
struct QuotaAccount {
  std::string holder;
  std::string kind;
  std::uint64_t limit = 0;
  bool borrows = false;  // of a branch: past its limit it goes on while its firm's lasts
};

struct QuotaRules {
  double window_ms = 60000;
  std::string holder_header;  // of a request: who it is for
  std::string key_header;     // the same over all tries of one retrieval; empty = Request-Id
  bool spend_when_disconnected = false;
  std::vector<QuotaAccount> accounts;

  const QuotaAccount* find(const std::string& holder, const std::string& kind) const;
  std::unordered_map<std::string, std::size_t> places;  // by holder and kind
};

struct Configuration {
  Revision revision = 0;
  std::vector<Route> routes;
  std::vector<Service> services;
  Limits limits;
  std::shared_ptr<const QuotaRules> allowances;  // null = there are none
  std::string text;                              // as it was sent
};
using ConfigurationPtr = std::shared_ptr<const Configuration>;

// Nothing, with the fault, where the text is no valid configuration by itself.
ConfigurationPtr parse_configuration(std::string_view text, Fault& fault);

// Its number alone, also where the rest is nothing that this program takes; 0 = it has none.
Revision revision_of(std::string_view text);

}  // namespace pearspar::catalog
