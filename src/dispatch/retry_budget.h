// Retry budget: limits the calls that a service receives beyond the first call of each request (retries and
// hedged calls). Over all edges and in any window they are at most `ratio` times the requests plus `slack`.
// Each edge spends the ratio of its own requests and its share of the slack, and when that runs low it asks
// the leader for tokens of the slack that all edges share (see retry_tokens).
#pragma once

#include <array>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "dispatch/types.h"
#include "retry_tokens/token_pool.h"

namespace pearspar::dispatch {

struct RetryBudgetRules {
  double ratio = 0;
  double slack = 0;  // calls in a window
  Duration window = std::chrono::seconds(10);
};

class RetryBudget {
 public:
  void set_rules(const RetryBudgetRules& rules) { rules_ = rules; }
  // The number of edges that share the slack. Until it is known this edge has no share.
  void set_edges(std::uint32_t edges) { edges_ = edges; }

  void record_request(Time now, const std::string& service) {
    account(now, service).buckets[newest_bucket_].requests += 1;
  }
  // Takes one call from the budget. False where the budget is exhausted.
  bool spend(Time now, const std::string& service);

  // The numbers of tokens to request from the leader, by service; empty where no service runs low.
  std::vector<std::pair<std::string, std::uint32_t>> take_token_requests(Time now);
  // Adds tokens that the leader has granted.
  void add_tokens(Time valid_until, const std::string& service, std::uint32_t count);

 private:
  static constexpr int buckets_per_window = 20;
  // Less than the whole rule is spent: a restarted edge has forgotten its earlier spending, and requests and
  // calls may fall into different windows.
  static constexpr double ratio_factor = 0.7;
  static constexpr double slack_factor = retry_tokens::fixed_slack;
  static constexpr double low_budget = 2;          // remaining calls at which tokens are requested
  static constexpr std::uint32_t token_batch = 4;  // tokens per request

  struct Bucket {
    double requests = 0;
    double extra_calls = 0;
  };
  struct Account {
    std::array<Bucket, buckets_per_window + 1> buckets{};
    std::int64_t newest = 0;                             // number of the newest bucket
    std::vector<std::pair<Time, std::uint32_t>> tokens;  // valid until, count
    bool tokens_requested = false;
  };
  Account& account(Time now, const std::string& service);
  double share_of_slack() const;
  void request_tokens(Account& account, const std::string& service);
  static bool spend_token(Time now, Account& account);

  RetryBudgetRules rules_;
  std::uint32_t edges_ = 0;                            // 0 = not known
  std::unordered_map<std::string, Account> accounts_;  // by service
  std::vector<std::string> token_requests_;            // services that run low
  std::size_t newest_bucket_ = 0;                      // index in the account that account() returned last
};

}  // namespace pearspar::dispatch
