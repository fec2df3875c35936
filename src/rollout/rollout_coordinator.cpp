#include "rollout/rollout_coordinator.h"

#include <algorithm>

namespace pearspar::rollout {
namespace {

Duration from_ms(std::uint64_t ms) { return std::chrono::milliseconds(ms); }

std::uint64_t to_ms(Duration duration) {
  return static_cast<std::uint64_t>(std::max(0.0, duration.count() * 1000));
}

}  // namespace

std::vector<RolloutCommand> RolloutCoordinator::next_commands(Time now, const RolloutLedger& ledger) const {
  std::vector<RolloutCommand> commands;
  for (const std::string& service : clock_.in_transit()) {
    const Rollout& rollout = *ledger.find(service)->rollout;
    Duration elapsed = clock_.elapsed(now, service);
    if (elapsed < from_ms(rollout.over_ms) * return_at) continue;
    commands.push_back(FinishRollout{service, rollout.number, RolloutState::returned, to_ms(elapsed),
                                     "no verdict before the end of the term"});
  }
  return commands;
}

Time RolloutCoordinator::due(const RolloutLedger& ledger) const {
  Time due = Time::max();
  for (const std::string& service : clock_.in_transit())
    due = std::min(due,
                   clock_.ordered_at(service) + from_ms(ledger.find(service)->rollout->over_ms) * return_at);
  return due;
}

}  // namespace pearspar::rollout
