// The part of a service's retry slack that all edges share. The leader grants it in tokens, each good for one
// retry or hedged call. A token is valid for `token_lifetime` and then counts for one more window of the
// rule, whether it was spent or not. So the tokens spent in any window never exceed the capacity, even when
// edges or leaders change: a new leader does not know what its predecessor granted, and grants nothing until
// all of that has expired. Does no I/O; callers pass the current time.
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <string>
#include <unordered_map>

namespace pearspar::retry_tokens {

using Duration = std::chrono::duration<double>;
using Time = std::chrono::time_point<std::chrono::steady_clock, Duration>;

inline constexpr Duration token_lifetime = std::chrono::seconds(2);  // at the edge, from its request
// Shares of the rule's slack: what the leader grants, and what the edges divide among themselves without
// asking. The rest covers restarted edges that have forgotten their spending.
inline constexpr double shared_slack = 0.35;
inline constexpr double fixed_slack = 0.25;

struct TokenPoolRules {
  double slack = 0;  // calls in a window, for each service
  Duration window = std::chrono::seconds(10);
};

class TokenPool {
 public:
  void set(const TokenPoolRules& rules) { rules_ = rules; }
  // This member has become the leader.
  void open(Time now) {
    accounts_.clear();
    grants_from_ = now + token_lifetime + rules_.window;
  }
  // Grants up to `wanted` tokens, but at most half of what remains, so that other edges get some too.
  std::uint32_t grant(Time now, const std::string& service, std::uint32_t wanted);

  // Tokens granted and refused so far.
  std::uint64_t granted() const { return granted_; }
  std::uint64_t refused() const { return refused_; }

 private:
  static constexpr std::size_t max_accounts = 4096;
  struct Account {
    std::deque<std::pair<Time, std::uint32_t>> outstanding;  // counted until, tokens
    std::uint32_t outstanding_tokens = 0;
  };
  TokenPoolRules rules_;
  Time grants_from_{};
  std::unordered_map<std::string, Account> accounts_;  // by service
  std::uint64_t granted_ = 0;
  std::uint64_t refused_ = 0;
};

}  // namespace pearspar::retry_tokens
