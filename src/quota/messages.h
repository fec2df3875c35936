// Messages of the quota protocol between edges and the leader. The leader also writes the requests to the
// raft log. Counts are requests of clients; quota windows are numbered in log order and carry no wall time.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace pearspar::quota {

// Identifies one session of an edge; an edge whose session has expired picks a new one.
using EdgeSession = std::uint64_t;
using Window = std::uint64_t;
// Hash of holder, kind and the client's idempotency key: equal for all attempts of one request.
using RequestKey = std::uint64_t;

// A quota account: its holder ("firm" or "firm/branch") and the kind of request that it counts.
struct AccountKey {
  std::string holder;
  std::string kind;
  auto operator<=>(const AccountKey&) const = default;
};

// A number of tokens of one account.
struct Amount {
  AccountKey account_key;
  std::uint64_t count = 0;
};

// Requests for which an edge has spent tokens of one window.
struct SettledDraws {
  AccountKey account_key;
  Window window = 0;  // that the tokens belong to
  std::vector<RequestKey> keys;
};

// One drawn request.
struct DrawId {
  AccountKey account_key;
  RequestKey key = 0;
};

// Report and request of an edge. An edge has at most one in flight and resends it unchanged until it is
// answered.
struct QuotaRequest {
  EdgeSession session = 0;
  std::uint64_t number = 0;  // increases by one per request
  Window window = 0;         // newest window that the edge knows
  std::vector<SettledDraws> settled;
  std::vector<DrawId> not_run;   // requests that no node has run
  std::vector<DrawId> unsure;    // requests that may or may not have run
  std::vector<Amount> returned;  // unspent tokens of `window`
  std::vector<Amount> refused;
  std::vector<Amount> wants;
};

// What an edge was granted of one account.
struct GrantResult {
  AccountKey account_key;
  std::uint64_t count = 0;
  bool exhausted = false;  // no edge holds tokens of it: refuse until the window ends
};

// The leader's answer to a QuotaRequest, or a notification that it sends by itself.
struct QuotaReply {
  std::uint64_t number = 0;  // of the request; 0 = notification
  Window window = 0;
  std::uint64_t left_ms = 0;     // until the window ends
  bool session_expired = false;  // the edge must start a new session
  std::vector<GrantResult> given;
  std::vector<AccountKey> recalled;  // idle tokens to return, since other edges have none left
};

// Limit of the tokens of one account that an edge may have spent without the log knowing of it; bounds the
// count that is in doubt when an edge fails.
inline constexpr std::uint64_t max_unsettled = 16;

}  // namespace pearspar::quota
