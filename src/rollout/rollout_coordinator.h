// The leader's side of roll-outs: grants leases for calls to new versions, collects what edges report, and
// decides which steps are proposed to the log. Free of I/O.
//
// Invariants: in doubt at the end of its term a roll-out is returned. Nothing that has happened here counts
// before it is in the ledger. No lease is granted beyond what the ledger has reserved.
#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "rollout/exposure_budget.h"
#include "rollout/rollout_clock.h"
#include "rollout/rollout_ledger.h"

namespace pearspar::rollout {

class RolloutCoordinator {
 public:
  using LinkId = ExposureBudget::LinkId;
  explicit RolloutCoordinator(const ExposureRules& rules) : rules_(rules) {}

  // To be called whenever the ledger may have changed, on leaders and other members.
  void observe(Time now, const RolloutLedger& ledger);
  // This member has begun or ceased to lead: what edges have reported to it is forgotten.
  void reset() { sessions_.clear(); }
  // An edge's report, answered by take_grants().
  void on_report(Time now, LinkId link, const std::string& zone, const RolloutReport& report,
                 const RolloutLedger& ledger);
  std::vector<std::pair<LinkId, RolloutGrant>> take_grants() { return std::exchange(grants_, {}); }
  // Steps that are due. They are proposed again until the ledger has them.
  std::vector<RolloutCommand> next_commands(Time now, const RolloutLedger& ledger) const;
  // When next_commands() has to be asked again.
  Time due(const RolloutLedger& ledger) const;
  Duration elapsed(Time now, const std::string& service) const { return clock_.elapsed(now, service); }

 private:
  // An edge as its reports show it.
  struct Edge {
    std::string zone;
    Time first_heard{};
    Time last_heard{};
    std::uint64_t first_requests = 0;
    std::uint64_t requests = 0;
    std::uint64_t last_vote = 0;
    double rate(Time now) const;  // requests a second
  };
  // One roll-out in transit.
  struct Session {
    RolloutNumber number = 0;
    ExposureBudget budget;
    std::map<std::uint64_t, Edge> edges;  // by incarnation
    std::set<std::uint64_t> watchers;
    Time next_choice{};
  };

  Session* session_of(const RolloutLedger& ledger, RolloutNumber number, std::string& service);
  void choose_watchers(Time now, Session& session, const Rollout& rollout) const;
  double limit(Time now, const std::string& service, const Session& session, const Rollout& rollout) const;
  std::uint32_t wanted_calls(Time now, const Session& session, const Edge& edge, std::uint32_t held) const;

  ExposureRules rules_;
  RolloutClock clock_;
  std::map<std::string, Session> sessions_;  // by service
  std::vector<std::pair<LinkId, RolloutGrant>> grants_;
};

}  // namespace pearspar::rollout
