#include "pederu/allowance.h"

#include <algorithm>
#include <cmath>

namespace pearspar::pederu {

Allowance::Account& Allowance::account(Time now, const std::string& service) {
  Account& account = accounts_[service];
  auto size = static_cast<std::int64_t>(account.buckets.size());
  auto turn = static_cast<std::int64_t>(
      std::floor(now.time_since_epoch().count() / (rules_.window.count() / bucket_count)));
  if (turn - account.turn >= size) account.buckets.fill({});
  for (std::int64_t t = std::max(account.turn + 1, turn - size + 1); t <= turn; ++t)
    account.buckets[static_cast<std::size_t>(t % size)] = {};
  account.turn = std::max(account.turn, turn);
  at_ = static_cast<std::size_t>(account.turn % size);
  return account;
}

bool Allowance::spend(Time now, const std::string& service) {
  Account& found = account(now, service);
  double requests = 0, extra = 0;
  for (const Bucket& bucket : found.buckets) requests += bucket.requests, extra += bucket.extra;
  double most = of_ratio * rules_.ratio * requests + of_slack * rules_.slack / edges_;
  if (most - extra - 1 < low) want(found, service);
  if (extra + 1 > most) return spend_token(now, found);
  found.buckets[at_].extra += 1;
  return true;
}

bool Allowance::spend_token(Time now, Account& account) {
  std::erase_if(account.tokens, [&](const auto& each) { return each.first <= now || each.second == 0; });
  if (account.tokens.empty()) return false;
  --account.tokens.front().second;
  return true;
}

void Allowance::want(Account& account, const std::string& service) {
  if (account.wanting || rules_.slack <= 0) return;
  account.wanting = true;
  wanted_.push_back(service);
}

std::vector<std::pair<std::string, std::uint32_t>> Allowance::take_wanted(Time now) {
  std::vector<std::pair<std::string, std::uint32_t>> wanted;
  for (const std::string& service : std::exchange(wanted_, {})) {
    Account& account = accounts_[service];
    account.wanting = false;
    std::erase_if(account.tokens, [&](const auto& each) { return each.first <= now; });
    std::uint32_t held = 0;
    for (const auto& each : account.tokens) held += each.second;
    if (held < batch) wanted.emplace_back(service, batch - held);
  }
  return wanted;
}

void Allowance::granted(Time until, const std::string& service, std::uint32_t count) {
  if (count > 0) accounts_[service].tokens.emplace_back(until, std::min(count, batch));
}

}  // namespace pearspar::pederu
