#include "rollout/rollout_clock.h"

#include <algorithm>
#include <utility>

namespace pearspar::rollout {

void RolloutClock::observe(Time now, const RolloutLedger& ledger) {
  Seen newest{ledger.applied_commands(), ledger.last_number(), ledger.changed_at()};
  bool first = !std::exchange(started_, true);
  if (newest == seen_) return;
  Duration away = first ? restart_allowance : Duration{};
  seen_ = newest;
  in_transit_.clear();
  std::erase_if(starts_, [&](const auto& each) { return !ledger.find(each.first); });
  for (const auto& [service, record] : ledger.services()) {
    if (!record.rollout) continue;
    if (record.in_transit()) in_transit_.push_back(service);
    Time ordered_at = now - std::chrono::milliseconds(record.rollout->elapsed_ms) - away;
    Start& start = starts_[service];
    if (start.number != record.rollout->number)
      start = {record.rollout->number, ordered_at};
    else
      start.ordered_at = std::min(start.ordered_at, ordered_at);
  }
}

Time RolloutClock::ordered_at(const std::string& service) const {
  auto start = starts_.find(service);
  return start == starts_.end() ? Time::max() : start->second.ordered_at;
}

void RolloutClock::describe(StateDescription& out) const {
  out.number(starts_.size());
  for (const auto& [service, start] : starts_) {
    out.text(service);
    out.number(start.number);
    out.time(start.ordered_at);
  }
}

}  // namespace pearspar::rollout
