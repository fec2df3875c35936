#include "subscription/core_discovery.h"

#include <algorithm>

namespace pearspar::subscription {
namespace {

using namespace std::chrono_literals;

constexpr Duration max_initial_delay = 1s;  // spreads the first queries of edges that lose the core together
constexpr Duration query_timeout = 700ms;   // covers connecting and one reply
constexpr Duration min_delay = 500ms;       // between queries; doubled after each
constexpr Duration max_delay = 1600ms;
constexpr Duration max_delay_with_members = 8s;  // members are connected, so they report a new leader first

}  // namespace

bool CoreDiscovery::tick(Time now, bool core_lost, bool members_reachable) {
  if (!core_lost) {
    due_ = Time::max();
    delay_ = {};
    bool was_querying = !queried_.empty();
    queried_.clear();
    return was_querying;
  }
  if (neighbours_.empty()) return false;
  if (due_ == Time::max()) due_ = now + random_duration({}, max_initial_delay);
  if (now < due_) return false;
  if (!queried_.empty()) {
    queried_.clear();
    delay_ = std::clamp(delay_ * 2, min_delay, members_reachable ? max_delay_with_members : max_delay);
    due_ = now + random_duration(delay_ / 2, delay_);
    return true;
  }
  for (std::size_t i = 0; i < std::min(max_queried, neighbours_.size()); ++i)
    queried_.push_back(neighbours_[next_++ % neighbours_.size()]);
  due_ = now + query_timeout;
  return true;
}

void CoreDiscovery::add_candidates(const std::vector<std::string>& addresses) {
  for (std::size_t i = 0; i < std::min(addresses.size(), max_candidates); ++i) {
    if (std::find(candidates_.begin(), candidates_.end(), addresses[i]) != candidates_.end()) continue;
    if (candidates_.size() == max_candidates) candidates_.erase(candidates_.begin());
    candidates_.push_back(addresses[i]);
  }
}

}  // namespace pearspar::subscription
