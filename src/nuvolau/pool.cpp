#include "nuvolau/pool.h"

#include <algorithm>

namespace pearspar::nuvolau {

std::uint32_t Pool::grant(Time now, const std::string& service, std::uint32_t wanted) {
  auto refuse = [&] {
    refused_ += wanted;
    return std::uint32_t{0};
  };
  if (now < quiet_until_) return refuse();
  if (accounts_.size() >= most_accounts && !accounts_.count(service)) {
    std::erase_if(accounts_, [&](const auto& each) {
      return each.second.out.empty() || each.second.out.back().first <= now;
    });
    if (accounts_.size() >= most_accounts) return refuse();
  }
  Account& account = accounts_[service];
  while (!account.out.empty() && account.out.front().first <= now) {
    account.sum -= account.out.front().second;
    account.out.pop_front();
  }
  auto capacity = static_cast<std::uint32_t>(std::max(0.0, rules_.slack * shared_slack));
  std::uint32_t left = capacity > account.sum ? capacity - account.sum : 0;
  std::uint32_t given = std::min(wanted, (left + 1) / 2);
  if (given == 0) return refuse();
  account.out.emplace_back(now + token_life + rules_.window, given);
  account.sum += given;
  granted_ += given;
  refused_ += wanted - given;
  return given;
}

}  // namespace pearspar::nuvolau
