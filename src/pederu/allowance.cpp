#include "pederu/allowance.h"

#include <algorithm>
#include <cmath>

namespace pearspar::pederu {

Allowance::Account& Allowance::account(Time now, const std::string& depot) {
  Account& account = accounts_[depot];
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

bool Allowance::spend(Time now, const std::string& depot) {
  Account& found = account(now, depot);
  double requests = 0, extra = 0;
  for (const Bucket& bucket : found.buckets) requests += bucket.requests, extra += bucket.extra;
  double most = of_ratio * rules_.ratio * requests + of_slack * rules_.slack / edges_;
  if (extra + 1 > most) return false;
  found.buckets[at_].extra += 1;
  return true;
}

}  // namespace pearspar::pederu
