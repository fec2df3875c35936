// The allowance: what edges and the leader say to each other, and what the log holds of it. Counts are of
// retrievals; a window is a number that the log's order gives, not a time of day.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace pearspar::quota {

using EdgeSession = std::uint64_t;  // of an edge's edge_quota; drawn anew when an older one was given up
using Window = std::uint64_t;
using RequestKey =
    std::uint64_t;  // digest of holder, kind and the client's key: one retrieval over all its tries

// Who draws, as the request names it: "firm" or "firm/branch", and of which kind.
struct AccountKey {
  std::string holder;
  std::string kind;
  auto operator<=>(const AccountKey&) const = default;
};

struct Amount {
  AccountKey account_key;
  std::uint64_t count = 0;
};

struct SettledDraws {
  AccountKey account_key;
  Window window = 0;  // whose token was spent
  std::vector<RequestKey> keys;
};

struct DrawId {
  AccountKey account_key;
  RequestKey key = 0;
};

// An edge's report and question. One is under way at a time; it is sent again unchanged until it is answered.
struct QuotaRequest {
  EdgeSession session = 0;
  std::uint64_t number = 0;  // rises by one
  Window window = 0;         // that it knows
  std::vector<SettledDraws> settled;
  std::vector<DrawId> not_run;   // not run by any node
  std::vector<DrawId> unsure;    // ended so that nobody knows whether they ran
  std::vector<Amount> returned;  // tokens of its window that it will not spend
  std::vector<Amount> refused;
  std::vector<Amount> wants;
};

struct GrantResult {
  AccountKey account_key;
  std::uint64_t count = 0;
  bool exhausted = false;  // nothing of it is out anywhere: refuse until the window ends
};

struct QuotaReply {
  std::uint64_t number = 0;  // of the question; 0 = said unasked
  Window window = 0;
  std::uint64_t left_ms = 0;     // of the window
  bool session_expired = false;  // this session was given up: draw another
  std::vector<GrantResult> given;
  std::vector<AccountKey> recalled;  // others lack what lies idle there
};

// An edge may have spent so many tokens of one account_key that the log does not know of; so many are in
// doubt when it dies.
inline constexpr std::uint64_t max_unsettled = 16;

}  // namespace pearspar::quota
