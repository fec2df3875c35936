#include "retry_tokens/token_pool.h"

#include <algorithm>

namespace pearspar::retry_tokens {

std::uint32_t TokenPool::grant(Time now, const std::string& service, std::uint32_t wanted) {
  auto refuse = [&] {
    refused_ += wanted;
    return std::uint32_t{0};
  };
  if (now < grants_from_) return refuse();
  if (accounts_.size() >= max_accounts && !accounts_.count(service)) {
    std::erase_if(accounts_, [&](const auto& each) {
      return each.second.outstanding.empty() || each.second.outstanding.back().first <= now;
    });
    if (accounts_.size() >= max_accounts) return refuse();
  }
  Account& account = accounts_[service];
  while (!account.outstanding.empty() && account.outstanding.front().first <= now) {
    account.outstanding_tokens -= account.outstanding.front().second;
    account.outstanding.pop_front();
  }
  auto capacity = static_cast<std::uint32_t>(std::max(0.0, rules_.slack * shared_slack));
  std::uint32_t remaining = capacity > account.outstanding_tokens ? capacity - account.outstanding_tokens : 0;
  std::uint32_t tokens = std::min(wanted, (remaining + 1) / 2);
  if (tokens == 0) return refuse();
  account.outstanding.emplace_back(now + token_lifetime + rules_.window, tokens);
  account.outstanding_tokens += tokens;
  granted_ += tokens;
  refused_ += wanted - tokens;
  return tokens;
}

}  // namespace pearspar::retry_tokens
