#include "rollout/rollout_coordinator.h"

#include <algorithm>
#include <cmath>

namespace pearspar::rollout {
namespace {

using namespace std::chrono_literals;

// Shares of the operator's term. In doubt, a roll-out is returned before its end, so that the operator knows.
constexpr double return_at = 0.9;
constexpr double observe_for = 0.35;

constexpr std::uint64_t reserve_step = 32;   // calls that are reserved ahead of those granted
constexpr std::uint64_t reserve_ahead = 16;  // calls left at which the next step is reserved
constexpr Duration watcher_choice_interval = 500ms;
constexpr Duration watcher_silence = 1500ms;  // then another edge watches in its place
constexpr std::size_t min_watchers = 3;
constexpr std::size_t max_watchers = 32;
constexpr double candidate_share = 0.5;  // of a watcher's requests that may go to the new version
constexpr double watcher_surplus = 1.3;  // so much more than the leases need
constexpr double lease_time_s = 0.75;    // a watcher holds leases for its requests of this time
constexpr double max_held_calls = 16;
constexpr Duration min_rate_time = 250ms;  // over which a rate is told

Duration from_ms(std::uint64_t ms) { return std::chrono::milliseconds(ms); }

std::uint64_t to_ms(Duration duration) {
  return static_cast<std::uint64_t>(std::max(0.0, duration.count() * 1000));
}

}  // namespace

double RolloutCoordinator::Edge::rate(Time) const {
  Duration heard = std::max(min_rate_time, last_heard - first_heard);
  return static_cast<double>(requests - first_requests) / heard.count();
}

void RolloutCoordinator::observe(Time now, const RolloutLedger& ledger) {
  clock_.observe(now, ledger);
  std::erase_if(sessions_, [&](const auto& each) {
    const ServiceRecord* record = ledger.find(each.first);
    return !record || !record->in_transit() || record->rollout->number != each.second.number;
  });
}

RolloutCoordinator::Session* RolloutCoordinator::session_of(const RolloutLedger& ledger, RolloutNumber number,
                                                            std::string& service) {
  for (const std::string& each : clock_.in_transit()) {
    const Rollout& rollout = *ledger.find(each)->rollout;
    if (rollout.number != number) continue;
    service = each;
    auto found = sessions_.find(each);
    if (found == sessions_.end())
      found = sessions_.emplace(each, Session{number, {rules_, rollout.reserved_calls}, {}, {}, {}}).first;
    return &found->second;
  }
  return nullptr;
}

// Calls that may go to the version by now. The slack is spread over the time of the observation.
double RolloutCoordinator::limit(Time now, const std::string& service, const Session& session,
                                 const Rollout& rollout) const {
  Duration observed = from_ms(rollout.over_ms) * observe_for;
  return session.budget.limit(clock_.elapsed(now, service) / observed);
}

// The busiest edges of each zone in turn, as many as the leases need. Those that watch go on as long as they
// are heard of.
void RolloutCoordinator::choose_watchers(Time now, Session& session, const Rollout& rollout) const {
  if (now < session.next_choice) return;
  session.next_choice = now + watcher_choice_interval;
  std::erase_if(session.watchers, [&](std::uint64_t incarnation) {
    return now - session.edges[incarnation].last_heard > watcher_silence;
  });
  double requests_s = 0;
  std::map<std::string, std::vector<std::pair<double, std::uint64_t>>> by_zone;
  for (const auto& [incarnation, edge] : session.edges) {
    if (now - edge.last_heard > watcher_silence) continue;
    requests_s += edge.rate(now);
    if (!session.watchers.count(incarnation)) by_zone[edge.zone].emplace_back(edge.rate(now), incarnation);
  }
  double observed_s = from_ms(rollout.over_ms).count() * observe_for;
  double leases_s = rules_.share / 2 * requests_s + rules_.slack / std::max(0.1, observed_s);
  double wanted = leases_s / candidate_share * watcher_surplus;
  double watched = 0;
  for (std::uint64_t incarnation : session.watchers) watched += session.edges[incarnation].rate(now);
  for (auto& [zone, edges] : by_zone) std::sort(edges.begin(), edges.end());
  for (bool more = true; more;) {
    more = false;
    for (auto& [zone, edges] : by_zone) {
      bool enough = session.watchers.size() >= min_watchers && watched >= wanted;
      if (edges.empty() || enough || session.watchers.size() >= max_watchers) continue;
      watched += edges.back().first;
      session.watchers.insert(edges.back().second);
      edges.pop_back();
      more = true;
    }
  }
}

std::uint32_t RolloutCoordinator::wanted_calls(Time now, const Session&, const Edge& edge,
                                               std::uint32_t held) const {
  double calls = std::clamp(std::ceil(edge.rate(now) * candidate_share * lease_time_s), 1.0, max_held_calls);
  return calls > held ? static_cast<std::uint32_t>(calls) - held : 0;
}

void RolloutCoordinator::on_report(Time now, LinkId link, const std::string& zone,
                                   const RolloutReport& report, const RolloutLedger& ledger) {
  std::string service;
  Session* session = session_of(ledger, report.rollout, service);
  if (!session) return;
  const Rollout& rollout = *ledger.find(service)->rollout;
  session->budget.on_report(link, report);
  auto [found, first] = session->edges.try_emplace(report.incarnation);
  Edge& edge = found->second;
  if (first) {
    edge.zone = zone;
    edge.first_heard = now;
    edge.first_requests = report.requests;
  }
  edge.last_heard = now;
  edge.requests = std::max(edge.requests, report.requests);
  for (const Vote& vote : report.votes) edge.last_vote = std::max(edge.last_vote, vote.number);
  choose_watchers(now, *session, rollout);
  RolloutGrant grant;
  grant.rollout = report.rollout;
  grant.number = report.number;
  grant.votes_received = edge.last_vote;
  grant.watches = session->watchers.count(report.incarnation) > 0;
  if (grant.watches && rollout.share_permille == 0)
    grant.calls = session->budget.grant(link, report, wanted_calls(now, *session, edge, report.held),
                                        limit(now, service, *session, rollout), rollout.reserved_calls);
  grants_.emplace_back(link, grant);
}

std::vector<RolloutCommand> RolloutCoordinator::next_commands(Time now, const RolloutLedger& ledger) const {
  std::vector<RolloutCommand> commands;
  for (const std::string& service : clock_.in_transit()) {
    const Rollout& rollout = *ledger.find(service)->rollout;
    Duration elapsed = clock_.elapsed(now, service);
    if (elapsed >= from_ms(rollout.over_ms) * return_at) {
      commands.push_back(FinishRollout{service, rollout.number, RolloutState::returned, to_ms(elapsed),
                                       "no verdict before the end of the term"});
      continue;
    }
    auto session = sessions_.find(service);
    if (session == sessions_.end() || rollout.share_permille > 0) continue;
    std::uint64_t exposed = session->second.budget.exposed();
    auto allowed = static_cast<std::uint64_t>(limit(now, service, session->second, rollout));
    std::uint64_t reserve = std::min(allowed, exposed + reserve_step);
    if (exposed + reserve_ahead > rollout.reserved_calls && reserve > rollout.reserved_calls)
      commands.push_back(ReserveCalls{service, rollout.number, reserve, to_ms(elapsed)});
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
