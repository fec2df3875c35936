#include "registry/endpoints.h"

#include <algorithm>
#include <cmath>
#include <tuple>

namespace pearspar::registry {
namespace {

constexpr int most_doublings = 16;
constexpr int doubts_believed = 2;
constexpr net::Duration absent_awaited = std::chrono::seconds(1);

}  // namespace

Endpoints::Endpoints(int count, const Pacing& pacing, std::uint64_t seed)
    : pacing_(pacing), random_(seed), members_(static_cast<std::size_t>(std::max(count, 1))) {
  // An order of its own, so that a thousand brokers do not all begin with the first member.
  std::vector<std::uint64_t> order;
  for (std::size_t i = 0; i < members_.size(); ++i) order.push_back(i + 1);
  std::shuffle(order.begin(), order.end(), random_);
  for (std::size_t i = 0; i < members_.size(); ++i) members_[i].asked = order[i];
  asked_ = members_.size();
}

int Endpoints::choose() {
  // While a doubt is open, those that were not heard yet come first: they settle it.
  auto rank = [&](const Endpoint& each) {
    bool heard = doubts_ > 0 && each.heard != Heard::nothing;
    return std::make_tuple(heard, each.failures, each.asked);
  };
  auto best = std::min_element(members_.begin(), members_.end(),
                               [&](const Endpoint& a, const Endpoint& b) { return rank(a) < rank(b); });
  best->asked = ++asked_;
  return static_cast<int>(best - members_.begin());
}

void Endpoints::failed(int endpoint) {
  Endpoint& member = members_[static_cast<std::size_t>(endpoint)];
  ++member.failures;
  if (member.heard == Heard::nothing) member.heard = Heard::failure;
}

net::Duration Endpoints::pause() {
  double doubled = std::ldexp(1.0, std::min(failures_, most_doublings));
  ++failures_;
  net::Duration whole = std::min(pacing_.longest, pacing_.first * doubled);
  return whole * std::uniform_real_distribution<double>(0.5, 1)(random_);
}

void Endpoints::doubted(net::Time now, int endpoint, std::uint64_t cluster) {
  Endpoint& member = members_[static_cast<std::size_t>(endpoint)];
  // What was heard before the first doubt was about something else.
  if (doubts_ == 0) {
    first_doubt_ = now;
    for (Endpoint& each : members_) each.heard = Heard::nothing;
  }
  ++doubts_;
  ++member.failures;
  member.heard = Heard::doubt;
  member.cluster = cluster;
}

void Endpoints::vouched() {
  doubts_ = 0;
  for (Endpoint& each : members_) each.heard = Heard::nothing;
}

bool Endpoints::believe(net::Time now, std::uint64_t cluster) const {
  if (doubts_ < doubts_believed) return false;
  bool all_say_so = true;
  for (const Endpoint& each : members_) {
    bool says_so = each.heard == Heard::doubt && each.cluster == cluster;
    if (!says_so && each.heard != Heard::failure) return false;
    all_say_so = all_say_so && says_so;
  }
  return all_say_so || now >= first_doubt_ + absent_awaited;
}

}  // namespace pearspar::registry
