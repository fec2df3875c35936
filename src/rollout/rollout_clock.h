// For how long the roll-outs of a ledger have been under way. Only steady clocks are read, which members do
// not share: each entry about a roll-out carries the time that its leader measured, and every member counts
// on from there. Free of I/O.
#pragma once

#include <chrono>
#include <map>
#include <string>
#include <vector>

#include "rollout/rollout_ledger.h"
#include "rollout/state_description.h"

namespace pearspar::rollout {

using Duration = std::chrono::duration<double>;
using Time = std::chrono::time_point<std::chrono::steady_clock, Duration>;

class RolloutClock {
 public:
  // To be called whenever the ledger may have changed.
  void observe(Time now, const RolloutLedger& ledger);
  // Time since the order of the service's newest roll-out. After a restart of all members too low by the time
  // in which none was up, but for `restart_allowance`.
  Duration elapsed(Time now, const std::string& service) const { return now - ordered_at(service); }
  // By this process's clock; the far future where the service has no roll-out.
  Time ordered_at(const std::string& service) const;
  // Services whose roll-out is in transit.
  const std::vector<std::string>& in_transit() const { return in_transit_; }
  // All that later steps depend on but the ledger, for a search over states.
  void describe(StateDescription& out) const;

 private:
  // A process that finds a roll-out in its log was away for about as long.
  static constexpr Duration restart_allowance = std::chrono::seconds(1);
  struct Start {
    RolloutNumber number = 0;
    Time ordered_at{};  // by this process's clock
  };
  struct Seen {
    std::uint64_t applied_commands = 0;
    RolloutNumber last_number = 0;
    LogIndex changed_at = 0;
    bool operator==(const Seen&) const = default;
  };
  bool started_ = false;
  Seen seen_;                            // of the ledger that was observed last
  std::map<std::string, Start> starts_;  // by service
  std::vector<std::string> in_transit_;
};

}  // namespace pearspar::rollout
