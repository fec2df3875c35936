// An edge's side of roll-outs: sends calls to a new version only under a lease, counts what it sees of the
// old and the new version, and reports that to the leader as numbered votes. Free of I/O.
//
// Invariants: each call to a candidate version spends a lease for one call, or falls under a lease of time
// for a share of the calls. Leases end by this process's clock, counted from before the leader gave them;
// without one the candidate gets nothing.
#pragma once

#include <deque>
#include <map>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "dispatch/version_selector.h"
#include "rollout/latency_buckets.h"
#include "rollout/messages.h"
#include "rollout/state_description.h"

namespace pearspar::rollout {

using dispatch::Duration;
using dispatch::Time;

// Of a lease for calls, from the edge's report on.
inline constexpr Duration lease_lifetime = std::chrono::seconds(1);
// Of a lease for a share of the calls, from the leader's last update on.
inline constexpr Duration share_lifetime = std::chrono::seconds(2);

struct EdgeRolloutCounters {
  std::uint64_t candidate_calls = 0;  // calls to versions that were being rolled out
  std::uint64_t leases = 0;           // for calls, granted
  std::uint64_t leases_expired = 0;
  std::uint64_t votes = 0;  // reported to the leader, repeated ones not counted
};

class EdgeRollouts : public dispatch::VersionSelector {
 public:
  explicit EdgeRollouts(std::uint64_t incarnation) : incarnation_(incarnation) {}

  // The versions of a service have changed.
  void set_versions(Time now, const catalog::ServiceVersions& versions);
  // The leader was last heard of then.
  void set_leader_heard(Time at) { leader_heard_at_ = at; }
  void on_grant(Time now, const RolloutGrant& grant);
  // Another leader has none of the votes.
  void on_leader_changed();
  // Reports that are due.
  std::vector<RolloutReport> take_reports(Time now);
  // When the next report is due; far in the future while no roll-out is in transit.
  Time due() const;

  catalog::NodeGroup select(Time now, const std::string& service, const catalog::Route& route,
                            bool first_call) override;
  catalog::NodeGroup main_group(Time now, const std::string& service) const override;
  void call_started(Time now, const std::string& service, catalog::NodeGroup group, bool first_call) override;
  void call_ended(Time now, const std::string& service, const catalog::Route& route, const std::string& node,
                  const std::string& version, dispatch::VersionOutcome outcome, Duration took) override;
  void call_dropped(const std::string& service, const std::string& version) override;

  const EdgeRolloutCounters& counters() const { return counters_; }
  std::size_t in_transit() const { return rollouts_.size(); }
  // All that later steps depend on, for a search over states.
  void describe(StateDescription& out) const;

 private:
  static constexpr std::size_t max_counted_routes = 64;
  static constexpr std::size_t max_counted_nodes = 256;

  // What is counted of one route and node in the running epoch.
  struct Counted {
    std::uint32_t calls = 0;
    std::uint32_t failed = 0;
    std::uint32_t refused = 0;
    std::map<LatencyBucket, std::uint32_t> latencies;
  };
  struct ClosedVote {
    Time ended{};
    Vote vote;
  };
  struct Lease {
    Time until{};
    std::uint32_t calls = 0;
  };
  struct Balance {
    double requests = 0;    // of late
    double candidates = 0;  // of those: sent to the candidate
  };
  struct Rollout {
    catalog::ServiceVersions versions;
    std::uint64_t requests = 0;
    std::uint64_t spent = 0;
    std::uint64_t old_calls_open = 0;
    std::deque<Lease> leases;
    std::uint64_t report = 0;                             // number of the newest one
    std::deque<std::pair<std::uint64_t, Time>> reported;  // number, when; those without a grant yet
    std::uint64_t last_grant = 0;
    bool watches = false;
    Time next_report{};
    std::map<std::pair<std::string, std::string>, Counted> epoch;  // by route and node
    std::uint64_t last_vote = 0;
    std::uint64_t votes_received = 0;  // by the leader
    std::deque<ClosedVote> votes;
    std::unordered_map<std::string, Balance> balances;  // by route
    std::uint64_t share_sequence = 0;
    void describe(StateDescription& out) const;
  };

  Rollout* find(const std::string& service);
  const Rollout* find(const std::string& service) const;
  std::uint32_t held(Time now, Rollout& rollout);
  static void end_call(Rollout& rollout, const std::string& version);
  static bool is_balanced(Rollout& rollout, const std::string& route);
  void close_epoch(Time now, Rollout& rollout);
  RolloutReport make_report(Time now, Rollout& rollout);

  std::uint64_t incarnation_;
  Time leader_heard_at_ = Time::min();
  std::unordered_map<std::string, Rollout> rollouts_;  // in transit, by service
  EdgeRolloutCounters counters_;
};

}  // namespace pearspar::rollout
