#include "dispatch/retry_budget.h"

#include <algorithm>
#include <cmath>

namespace pearspar::dispatch {

// Returns the account with its buckets advanced to `now`.
RetryBudget::Account& RetryBudget::account(Time now, const std::string& service) {
  Account& account = accounts_[service];
  auto size = static_cast<std::int64_t>(account.buckets.size());
  auto newest = static_cast<std::int64_t>(
      std::floor(now.time_since_epoch().count() / (rules_.window.count() / buckets_per_window)));
  if (newest - account.newest >= size) account.buckets.fill({});
  for (std::int64_t number = std::max(account.newest + 1, newest - size + 1); number <= newest; ++number)
    account.buckets[static_cast<std::size_t>(number % size)] = {};
  account.newest = std::max(account.newest, newest);
  newest_bucket_ = static_cast<std::size_t>(account.newest % size);
  return account;
}

double RetryBudget::share_of_slack() const { return edges_ > 0 ? slack_factor * rules_.slack / edges_ : 0; }

bool RetryBudget::spend(Time now, const std::string& service) {
  Account& found = account(now, service);
  double requests = 0, extra_calls = 0;
  for (const Bucket& bucket : found.buckets) requests += bucket.requests, extra_calls += bucket.extra_calls;
  double limit = ratio_factor * rules_.ratio * requests + share_of_slack();
  if (limit - extra_calls - 1 < low_budget) request_tokens(found, service);
  if (extra_calls + 1 > limit) return spend_token(now, found);
  found.buckets[newest_bucket_].extra_calls += 1;
  return true;
}

bool RetryBudget::spend_token(Time now, Account& account) {
  std::erase_if(account.tokens, [&](const auto& each) { return each.first <= now || each.second == 0; });
  if (account.tokens.empty()) return false;
  --account.tokens.front().second;
  return true;
}

void RetryBudget::request_tokens(Account& account, const std::string& service) {
  if (account.tokens_requested || rules_.slack <= 0) return;
  account.tokens_requested = true;
  token_requests_.push_back(service);
}

std::vector<std::pair<std::string, std::uint32_t>> RetryBudget::take_token_requests(Time now) {
  std::vector<std::pair<std::string, std::uint32_t>> wanted;
  for (const std::string& service : std::exchange(token_requests_, {})) {
    Account& account = accounts_[service];
    account.tokens_requested = false;
    std::erase_if(account.tokens, [&](const auto& each) { return each.first <= now; });
    std::uint32_t held = 0;
    for (const auto& each : account.tokens) held += each.second;
    if (held < token_batch) wanted.emplace_back(service, token_batch - held);
  }
  return wanted;
}

void RetryBudget::add_tokens(Time valid_until, const std::string& service, std::uint32_t count) {
  if (count > 0) accounts_[service].tokens.emplace_back(valid_until, std::min(count, token_batch));
}

}  // namespace pearspar::dispatch
