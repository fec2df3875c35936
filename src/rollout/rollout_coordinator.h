// The leader's side of roll-outs: grants leases for calls to new versions, collects the votes of the edges,
// and decides which steps are proposed to the log. Free of I/O.
//
// A roll-out is observed under leases of calls first. If the votes clear the version, a growing share of the
// calls goes to it, all of them at last; when nothing is under way to the old version any more, it is
// delivered. A version that is convicted at any of these steps is returned.
//
// Invariants: in doubt at the end of its term a roll-out is returned. Nothing that has happened here counts
// before it is in the ledger. No lease is granted beyond what the ledger has reserved.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "rollout/evidence.h"
#include "rollout/exposure_budget.h"
#include "rollout/rollout_clock.h"
#include "rollout/rollout_ledger.h"

namespace pearspar::rollout {

// What the controller knows of a service whose roll-out is in transit.
struct ServiceStatus {
  bool routed = true;         // a route of the configuration in force leads to it
  bool acknowledged = false;  // all followers with a lease have its newest versions
  std::size_t edges = 0;      // that hold a lease
};

// How a roll-out in transit stands at the leader.
struct RolloutProgress {
  std::uint64_t requests = 0;  // for the service, that edges have reported
  std::uint64_t exposed = 0;   // calls that were or may be made to the version under leases
  std::size_t watchers = 0;
  std::vector<EdgeVote> votes;
};

class RolloutCoordinator {
 public:
  using LinkId = ExposureBudget::LinkId;
  using StatusOf = std::function<ServiceStatus(const std::string& service)>;
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
  std::vector<RolloutCommand> next_commands(Time now, const RolloutLedger& ledger, const StatusOf& status_of);
  // When next_commands() has to be asked again.
  Time due() const;
  // Empty where no edge has reported.
  RolloutProgress progress(const std::string& service) const;
  // All that later steps depend on but the ledger, for a search over states.
  void describe(StateDescription& out) const;
  Duration elapsed(Time now, const std::string& service) const { return clock_.elapsed(now, service); }

 private:
  // An edge as its reports show it.
  struct Edge {
    std::string zone;
    Time first_heard{};
    Time last_heard{};
    std::uint64_t requests = 0;
    std::uint64_t earlier_requests = 0;  // that an earlier leader was told of
    std::uint64_t spent = 0;
    std::uint64_t last_vote = 0;
    std::uint32_t old_calls_open = 0;
    double rate() const;  // requests a second
    void describe(StateDescription& out) const;
  };
  // One roll-out in transit.
  struct Session {
    RolloutNumber number = 0;
    ExposureBudget budget;
    Evidence evidence;
    std::map<std::uint64_t, Edge> edges = {};  // by incarnation
    std::set<std::uint64_t> watchers = {};
    Time next_choice{};
    Time next_decision{};
    std::uint32_t share_permille = 0;  // of the step that stands
    Time step_began{};
    Time acknowledged_at = Time::max();  // by all followers, while all calls go to the version
    Time unrouted_since = Time::max();
    void describe(StateDescription& out) const;
  };
  // One look at a roll-out.
  struct Look {
    Time now;
    const std::string& service;
    const Rollout& rollout;
    Duration elapsed;
    Duration over;
    ServiceStatus status;
  };

  Session& session_of(Time now, const std::string& service, const Rollout& rollout);
  void choose_watchers(Time now, Session& session, const Rollout& rollout) const;
  double limit(Time now, const std::string& service, const Session& session, const Rollout& rollout) const;
  static std::uint32_t wanted_calls(const Session& session, const Edge& edge, std::uint32_t held);

  // The step that is due, if any.
  static std::optional<RolloutCommand> decide(const Look& look, Session& session);
  static std::optional<RolloutCommand> decide_idle(const Look& look, const Session& session);
  static std::optional<RolloutCommand> decide_step(const Look& look, const Session& session);
  std::optional<RolloutCommand> reserve(const Look& look, const Session& session) const;
  static bool is_cleared(const Look& look, const Session& session, Findings& findings);
  static bool has_moved(const Look& look, const Session& session);

  ExposureRules rules_;
  RolloutClock clock_;
  std::map<std::string, Session> sessions_;  // by service
  std::vector<std::pair<LinkId, RolloutGrant>> grants_;
};

}  // namespace pearspar::rollout
