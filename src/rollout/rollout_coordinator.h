// The leader's side of roll-outs: decides which steps of the roll-outs in transit are proposed to the log.
// Free of I/O.
//
// Invariants: in doubt at the end of its term a roll-out is returned. Nothing that has happened here counts
// before it is in the ledger.
#pragma once

#include <string>
#include <vector>

#include "rollout/rollout_clock.h"
#include "rollout/rollout_ledger.h"

namespace pearspar::rollout {

class RolloutCoordinator {
 public:
  // To be called whenever the ledger may have changed, on leaders and other members.
  void observe(Time now, const RolloutLedger& ledger) { clock_.observe(now, ledger); }
  // Steps that are due. They are proposed again until the ledger has them.
  std::vector<RolloutCommand> next_commands(Time now, const RolloutLedger& ledger) const;
  // When next_commands() has to be asked again.
  Time due(const RolloutLedger& ledger) const;
  Duration elapsed(Time now, const std::string& service) const { return clock_.elapsed(now, service); }

 private:
  // In doubt, a roll-out is returned when this share of its term is over, so that the operator knows in time.
  static constexpr double return_at = 0.9;

  RolloutClock clock_;
};

}  // namespace pearspar::rollout
