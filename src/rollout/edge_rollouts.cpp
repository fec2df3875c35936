#include "rollout/edge_rollouts.h"

#include <algorithm>
#include <cmath>

namespace pearspar::rollout {
namespace {

using catalog::NodeGroup;
using namespace std::chrono_literals;

constexpr Duration watch_interval = 250ms;  // between reports of an edge that watches
constexpr Duration report_interval = 1s;    // of any other
constexpr Duration vote_lifetime = 10s;     // for which a vote is kept for another leader
constexpr std::size_t max_reported = 16;    // reports without a grant that are remembered
constexpr double balance_decay = 0.98;      // of the counts behind Balance, with each request
constexpr double rare_route_share = 0.05;   // routes with less of the requests are not waited for
constexpr double balance_factor = 1.25;     // by which a route may be ahead of the rarest one
constexpr double balance_slack = 2;         // calls
constexpr double whole_permille = 1000;

template <typename Latencies>
void describe_latencies(const Latencies& latencies, StateDescription& out) {
  out.number(latencies.size());
  for (const auto& [bucket, calls] : latencies) {
    out.number(bucket);
    out.number(calls);
  }
}

void describe_vote(const Vote& vote, StateDescription& out) {
  out.number(vote.number);
  out.number(vote.counts.size());
  for (const CallCounts& counts : vote.counts) {
    out.text(counts.route);
    out.text(counts.node);
    for (std::uint32_t value : {counts.calls, counts.failed, counts.refused}) out.number(value);
    describe_latencies(counts.latencies, out);
  }
}

}  // namespace

EdgeRollouts::Rollout* EdgeRollouts::find(const std::string& service) {
  auto found = rollouts_.find(service);
  return found == rollouts_.end() ? nullptr : &found->second;
}

const EdgeRollouts::Rollout* EdgeRollouts::find(const std::string& service) const {
  auto found = rollouts_.find(service);
  return found == rollouts_.end() ? nullptr : &found->second;
}

void EdgeRollouts::set_versions(Time now, const catalog::ServiceVersions& versions) {
  if (versions.candidate.empty()) {
    rollouts_.erase(versions.service);
    return;
  }
  Rollout& rollout = rollouts_[versions.service];
  if (rollout.versions.rollout != versions.rollout) {
    rollout = {};
    rollout.next_report = now + watch_interval;
  }
  rollout.versions = versions;
}

void EdgeRollouts::on_grant(Time now, const RolloutGrant& grant) {
  for (auto& [service, rollout] : rollouts_) {
    if (rollout.versions.rollout != grant.rollout) continue;
    auto report = std::find_if(rollout.reported.begin(), rollout.reported.end(),
                               [&](const auto& each) { return each.first == grant.number; });
    if (report == rollout.reported.end()) return;
    Time until = report->second + lease_lifetime;
    rollout.reported.erase(rollout.reported.begin(), std::next(report));
    rollout.last_grant = std::max(rollout.last_grant, grant.number);
    rollout.votes_received = std::max(rollout.votes_received, grant.votes_received);
    if (grant.watches && !rollout.watches)
      rollout.next_report = std::min(rollout.next_report, now + watch_interval);
    rollout.watches = grant.watches;
    if (grant.calls == 0) return;
    rollout.leases.push_back({until, grant.calls});
    counters_.leases += grant.calls;
    return;
  }
}

void EdgeRollouts::on_leader_changed() {
  for (auto& [service, rollout] : rollouts_) {
    rollout.votes_received = 0;
    rollout.reported.clear();
    rollout.watches = false;
  }
}

// Leases that are not spent and have not ended.
std::uint32_t EdgeRollouts::held(Time now, Rollout& rollout) {
  while (!rollout.leases.empty() &&
         (rollout.leases.front().calls == 0 || rollout.leases.front().until <= now)) {
    counters_.leases_expired += rollout.leases.front().calls;
    rollout.leases.pop_front();
  }
  std::uint32_t calls = 0;
  for (const Lease& lease : rollout.leases)
    if (lease.until > now) calls += lease.calls;
  return calls;
}

// All routes that are asked often enough are to show how the candidate answers: none may run ahead of the
// rarest by much.
bool EdgeRollouts::is_balanced(Rollout& rollout, const std::string& route) {
  double requests = 0;
  for (const auto& [name, balance] : rollout.balances) requests += balance.requests;
  double fewest = rollout.balances[route].candidates;
  for (const auto& [name, balance] : rollout.balances)
    if (balance.requests >= rare_route_share * requests) fewest = std::min(fewest, balance.candidates);
  return rollout.balances[route].candidates <= fewest * balance_factor + balance_slack;
}

NodeGroup EdgeRollouts::select(Time now, const std::string& service, const catalog::Route& route,
                               bool first_call) {
  Rollout* rollout = find(service);
  if (!rollout) return NodeGroup::current;
  std::uint32_t permille = rollout->versions.candidate_permille;
  if (permille > 0) {
    if (now > leader_heard_at_ + share_lifetime) return NodeGroup::current;
    if (permille >= whole_permille) return NodeGroup::candidate;
    if (!first_call) return NodeGroup::current;
    double drawn =
        std::fmod(static_cast<double>(++rollout->share_sequence) * dispatch::golden_ratio_fraction, 1.0);
    return drawn * whole_permille < permille ? NodeGroup::candidate : NodeGroup::current;
  }
  if (!first_call) return NodeGroup::current;
  if (rollout->balances.size() >= max_counted_routes) rollout->balances.clear();
  std::string name = route.host + route.path_prefix;
  for (auto& [each, balance] : rollout->balances) {
    balance.requests *= balance_decay;
    balance.candidates *= balance_decay;
  }
  ++rollout->balances[name].requests;
  if (held(now, *rollout) == 0 || !is_balanced(*rollout, name)) return NodeGroup::current;
  ++rollout->balances[name].candidates;
  return NodeGroup::candidate;
}

NodeGroup EdgeRollouts::main_group(Time now, const std::string& service) const {
  const Rollout* rollout = find(service);
  bool whole = rollout && rollout->versions.candidate_permille >= whole_permille &&
               now <= leader_heard_at_ + share_lifetime;
  return whole ? NodeGroup::candidate : NodeGroup::current;
}

void EdgeRollouts::call_started(Time now, const std::string& service, NodeGroup group, bool first_call) {
  Rollout* rollout = find(service);
  if (!rollout) return;
  rollout->requests += first_call;
  if (group != NodeGroup::candidate) {
    ++rollout->old_calls_open;
    return;
  }
  ++rollout->spent;
  ++counters_.candidate_calls;
  if (rollout->versions.candidate_permille > 0) return;
  if (held(now, *rollout) > 0) --rollout->leases.front().calls;
}

// Calls that were open before the roll-out was known are not counted as open, but end all the same.
void EdgeRollouts::end_call(Rollout& rollout, const std::string& version) {
  if (version != rollout.versions.candidate && rollout.old_calls_open > 0) --rollout.old_calls_open;
}

void EdgeRollouts::call_dropped(const std::string& service, const std::string& version) {
  if (Rollout* rollout = find(service)) end_call(*rollout, version);
}

void EdgeRollouts::call_ended(Time, const std::string& service, const catalog::Route& route,
                              const std::string& node, const std::string& version,
                              dispatch::VersionOutcome outcome, Duration took) {
  Rollout* rollout = find(service);
  if (!rollout) return;
  end_call(*rollout, version);
  bool candidate = version == rollout->versions.candidate;
  std::pair<std::string, std::string> key{route.host + route.path_prefix, candidate ? node : std::string()};
  if (rollout->epoch.size() >= max_counted_nodes && !rollout->epoch.count(key)) return;
  Counted& counted = rollout->epoch[key];
  if (outcome == dispatch::VersionOutcome::refused) {
    ++counted.refused;
    return;
  }
  ++counted.calls;
  if (outcome == dispatch::VersionOutcome::failure)
    ++counted.failed;
  else
    ++counted.latencies[bucket_of(took.count() * 1000)];
}

void EdgeRollouts::close_epoch(Time now, Rollout& rollout) {
  while (!rollout.votes.empty() && now - rollout.votes.front().ended > vote_lifetime)
    rollout.votes.pop_front();
  if (rollout.epoch.empty()) return;
  Vote vote;
  vote.number = ++rollout.last_vote;
  for (auto& [key, counted] : rollout.epoch) {
    CallCounts counts{key.first, key.second, counted.calls, counted.failed, counted.refused, {}};
    counts.latencies.assign(counted.latencies.begin(), counted.latencies.end());
    vote.counts.push_back(std::move(counts));
  }
  rollout.epoch.clear();
  rollout.votes.push_back({now, std::move(vote)});
  ++counters_.votes;
}

RolloutReport EdgeRollouts::make_report(Time now, Rollout& rollout) {
  close_epoch(now, rollout);
  RolloutReport report;
  report.incarnation = incarnation_;
  report.rollout = rollout.versions.rollout;
  report.number = ++rollout.report;
  report.requests = rollout.requests;
  report.spent = rollout.spent;
  report.held = held(now, rollout);
  report.last_grant = rollout.last_grant;
  report.old_calls_open = static_cast<std::uint32_t>(rollout.old_calls_open);
  for (const ClosedVote& closed : rollout.votes) {
    if (closed.vote.number <= rollout.votes_received) continue;
    report.votes.push_back(closed.vote);
    report.votes.back().age_ms = static_cast<std::uint32_t>((now - closed.ended).count() * 1000);
  }
  rollout.reported.emplace_back(report.number, now);
  if (rollout.reported.size() > max_reported) rollout.reported.pop_front();
  rollout.next_report = now + (rollout.watches ? watch_interval : report_interval);
  return report;
}

std::vector<RolloutReport> EdgeRollouts::take_reports(Time now) {
  std::vector<RolloutReport> reports;
  for (auto& [service, rollout] : rollouts_)
    if (now >= rollout.next_report) reports.push_back(make_report(now, rollout));
  return reports;
}

Time EdgeRollouts::due() const {
  Time due = Time::max();
  for (const auto& [service, rollout] : rollouts_) due = std::min(due, rollout.next_report);
  return due;
}

void EdgeRollouts::Rollout::describe(StateDescription& out) const {
  out.number(versions.rollout);
  out.number(versions.candidate_permille);
  for (std::uint64_t value :
       {requests, spent, old_calls_open, report, last_grant, last_vote, votes_received, share_sequence})
    out.number(value);
  out.number(watches);
  out.time(next_report);
  out.number(leases.size());
  for (const Lease& lease : leases) {
    out.time(lease.until);
    out.number(lease.calls);
  }
  out.number(reported.size());
  for (const auto& [number, at] : reported) {
    out.number(number);
    out.time(at);
  }
  out.number(votes.size());
  for (const ClosedVote& closed : votes) {
    out.time(closed.ended);
    describe_vote(closed.vote, out);
  }
  out.number(epoch.size());
  for (const auto& [key, counted] : epoch) {
    out.text(key.first);
    out.text(key.second);
    for (std::uint32_t value : {counted.calls, counted.failed, counted.refused}) out.number(value);
    describe_latencies(counted.latencies, out);
  }
  out.number(balances.size());
  for (const auto& [route, balance] : balances) {
    out.text(route);
    out.number(balance.requests);
    out.number(balance.candidates);
  }
}

void EdgeRollouts::describe(StateDescription& out) const {
  out.number(incarnation_);
  out.time(leader_heard_at_);
  out.number(rollouts_.size());
  for (const auto& [service, rollout] : rollouts_) {
    out.text(service);
    rollout.describe(out);
  }
}

}  // namespace pearspar::rollout
