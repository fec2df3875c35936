#include "subscription/core_discovery.h"

#include <algorithm>

namespace pearspar::subscription {
namespace {

using namespace std::chrono_literals;

constexpr Duration first_within = 1s;        // all that lose the core at once do not ask at once
constexpr Duration answered_within = 700ms;  // a dial and an answer
constexpr Duration least_pause = 500ms;
// A cut that ends is found out within one pause, one answer and one dial.
constexpr Duration most_pause = 1600ms;
constexpr Duration most_pause_with_members = 8s;  // they answer, and nobody leads: they will know first

}  // namespace

bool CoreDiscovery::tick(Time now, bool lost, bool members_answer) {
  if (!lost) {
    due_ = Time::max();
    pause_ = {};
    bool asked = !asked_.empty();
    asked_.clear();
    return asked;
  }
  if (neighbours_.empty()) return false;
  if (due_ == Time::max()) due_ = now + drawn({}, first_within);
  if (now < due_) return false;
  if (!asked_.empty()) {
    asked_.clear();
    pause_ = std::clamp(pause_ * 2, least_pause, members_answer ? most_pause_with_members : most_pause);
    due_ = now + drawn(pause_ / 2, pause_);
    return true;
  }
  for (std::size_t i = 0; i < std::min(at_once, neighbours_.size()); ++i)
    asked_.push_back(neighbours_[next_++ % neighbours_.size()]);
  due_ = now + answered_within;
  return true;
}

void CoreDiscovery::hear(const std::vector<std::string>& cores) {
  for (std::size_t i = 0; i < std::min(cores.size(), most_heard); ++i) {
    if (std::find(heard_.begin(), heard_.end(), cores[i]) != heard_.end()) continue;
    if (heard_.size() == most_heard) heard_.erase(heard_.begin());
    heard_.push_back(cores[i]);
  }
}

}  // namespace pearspar::subscription
