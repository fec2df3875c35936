#include "rollout/rollout_coordinator.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <cmath>

namespace pearspar::rollout {
namespace {

using namespace std::chrono_literals;

// Shares of the operator's term. In doubt, a roll-out is returned before its end, so that the operator knows.
constexpr double return_at = 0.9;
constexpr double last_delivery_at = 0.97;  // once all calls go to the new version
constexpr double observe_for = 0.35;       // under leases of calls, at least
constexpr double spread_slack = 0.6;       // the slack is granted little by little until then
constexpr double step_for = 0.05;          // each share of the calls, at least
constexpr double clear_window = 0.3;       // of what is proved of late
constexpr double drain_until = 0.85;       // calls that are open at the old version are waited for

constexpr std::array<std::uint32_t, 3> share_steps{250, 500, RolloutLedger::whole_permille};

constexpr double cleared = -4.6;           // ln(1/100): a bad version passes one look of 100 at most
constexpr double recently_cleared = -3.0;  // ln(1/20), of the calls in the window
constexpr double idle_cleared = -2.3;      // ln(1/10): where no more requests come
constexpr double idle_recently = -1.0;     // of the last calls that came
constexpr Duration last_calls = 1s;
constexpr Duration decision_interval = 200ms;
constexpr Duration idle_after = 1s;  // without a route to the service
constexpr Duration min_slot = 500ms;
constexpr double slots_in_term = 64;
constexpr Duration edge_silence = 1500ms;  // then an edge does not count any more

constexpr std::uint64_t reserve_step = 32;   // calls that are reserved ahead of those granted
constexpr std::uint64_t reserve_ahead = 16;  // calls left at which the next step is reserved
constexpr Duration watcher_choice_interval = 500ms;
constexpr std::size_t min_watchers = 3;
constexpr std::size_t max_watchers = 32;
constexpr std::size_t max_ramp_watchers = 128;  // edges that all report often while shares are moved
constexpr double candidate_share = 0.5;         // of a watcher's requests that may go to the new version
constexpr double watcher_surplus = 1.3;         // so much more than the leases need
constexpr double lease_time_s = 0.75;           // a watcher holds leases for its requests of this time
constexpr double max_held_calls = 16;
constexpr Duration first_report_time = 250ms;   // that an edge's first report tells of
constexpr Duration first_choice_after = 500ms;  // from the first report on: then all edges have reported
constexpr double fair_factor = 1.3;             // by which a watcher may be ahead of its share of the leases
constexpr double fair_slack = 3;                // calls

Duration from_ms(std::uint64_t ms) { return std::chrono::milliseconds(ms); }

std::uint64_t to_ms(Duration duration) {
  return static_cast<std::uint64_t>(std::max(0.0, duration.count() * 1000));
}

std::string text_of(const Findings& findings) {
  double share = findings.calls == 0
                     ? 0
                     : 100.0 * static_cast<double>(findings.bad) / static_cast<double>(findings.calls);
  return fmt::format(
      "{} of {} calls bad ({:.1f} in 100, the old version {:.1f}), {} edges for it and {} against{}{}",
      findings.bad, findings.calls, share, findings.old_bad_share * 100, findings.good_votes,
      findings.bad_votes, findings.worst_route.empty() ? "" : ", weakest on ", findings.worst_route);
}

}  // namespace

// Counts are of about one report more than the time between the first and the last.
double RolloutCoordinator::Edge::rate() const {
  return static_cast<double>(requests - earlier_requests) /
         (last_heard - first_heard + first_report_time).count();
}

void RolloutCoordinator::observe(Time now, const RolloutLedger& ledger) {
  clock_.observe(now, ledger);
  std::erase_if(sessions_, [&](const auto& each) {
    const ServiceRecord* record = ledger.find(each.first);
    return !record || !record->in_transit() || record->rollout->number != each.second.number;
  });
}

RolloutCoordinator::Session& RolloutCoordinator::session_of(Time now, const std::string& service,
                                                            const Rollout& rollout) {
  auto found = sessions_.find(service);
  if (found == sessions_.end()) {
    Duration slot = std::max<Duration>(min_slot, from_ms(rollout.over_ms) / slots_in_term);
    Session session{rollout.number, {rules_, rollout.reserved_calls, rollout.requests}, Evidence(slot)};
    session.share_permille = rollout.share_permille;
    session.step_began = now;
    found = sessions_.emplace(service, std::move(session)).first;
  }
  Session& session = found->second;
  if (session.share_permille != rollout.share_permille) {
    session.share_permille = rollout.share_permille;
    session.step_began = now;
    session.acknowledged_at = Time::max();
  }
  return session;
}

// Calls that may go to the version by now.
double RolloutCoordinator::limit(Time now, const std::string& service, const Session& session,
                                 const Rollout& rollout) const {
  return session.budget.limit(clock_.elapsed(now, service) / (from_ms(rollout.over_ms) * spread_slack));
}

// The busiest edges of each zone in turn, as many as the leases need; not those without requests. Those that
// watch go on as long as they are heard of.
void RolloutCoordinator::choose_watchers(Time now, Session& session, const Rollout& rollout) const {
  if (session.next_choice == Time{}) session.next_choice = now + first_choice_after;
  if (now < session.next_choice) return;
  session.next_choice = now + watcher_choice_interval;
  std::erase_if(session.watchers, [&](std::uint64_t incarnation) {
    return now - session.edges[incarnation].last_heard > edge_silence;
  });
  double requests_s = 0, watched_s = 0;
  std::map<std::string, std::vector<std::pair<double, std::uint64_t>>> by_zone;
  for (const auto& [incarnation, edge] : session.edges) {
    if (now - edge.last_heard > edge_silence || edge.requests == 0) continue;
    requests_s += edge.rate();
    if (session.watchers.count(incarnation))
      watched_s += edge.rate();
    else
      by_zone[edge.zone].emplace_back(edge.rate(), incarnation);
  }
  double spread_s = from_ms(rollout.over_ms).count() * spread_slack;
  double leases_s = rules_.share / 2 * requests_s + rules_.slack / std::max(0.1, spread_s);
  double wanted_s = leases_s / candidate_share * watcher_surplus;
  for (auto& [zone, edges] : by_zone) std::sort(edges.begin(), edges.end());
  for (bool more = true; more;) {
    more = false;
    for (auto& [zone, edges] : by_zone) {
      bool enough = session.watchers.size() >= min_watchers && watched_s >= wanted_s;
      if (edges.empty() || enough || session.watchers.size() >= max_watchers) continue;
      watched_s += edges.back().first;
      session.watchers.insert(edges.back().second);
      edges.pop_back();
      more = true;
    }
  }
}

// Leases for an edge that watches: as many as it can spend soon, and no more than its part by its requests.
std::uint32_t RolloutCoordinator::wanted_calls(const Session& session, const Edge& edge, std::uint32_t held) {
  double requests_s = 0, spent = 0;
  for (std::uint64_t incarnation : session.watchers) {
    const Edge& watcher = session.edges.at(incarnation);
    requests_s += watcher.rate();
    spent += static_cast<double>(watcher.spent);
  }
  double part = requests_s > 0 ? spent * edge.rate() / requests_s : 0;
  if (static_cast<double>(edge.spent) > part * fair_factor + fair_slack) return 0;
  double calls = std::clamp(std::ceil(edge.rate() * candidate_share * lease_time_s), 1.0, max_held_calls);
  return calls > held ? static_cast<std::uint32_t>(calls) - held : 0;
}

void RolloutCoordinator::on_report(Time now, LinkId link, const std::string& zone,
                                   const RolloutReport& report, const RolloutLedger& ledger) {
  const auto& services = clock_.in_transit();
  auto service = std::find_if(services.begin(), services.end(), [&](const auto& each) {
    return ledger.find(each)->rollout->number == report.rollout;
  });
  if (service == services.end()) return;
  const Rollout& rollout = *ledger.find(*service)->rollout;
  Session& session = session_of(now, *service, rollout);
  session.budget.on_report(link, report);
  auto [found, first] = session.edges.try_emplace(report.incarnation);
  Edge& edge = found->second;
  if (first) {
    edge.zone = zone;
    edge.first_heard = now;
    if (report.number > 1) edge.earlier_requests = report.requests;
  }
  edge.last_heard = now;
  edge.requests = std::max(edge.requests, report.requests);
  edge.spent = std::max(edge.spent, report.spent);
  edge.old_calls_open = report.old_calls_open;
  for (const Vote& vote : report.votes) {
    if (vote.number <= edge.last_vote) continue;
    edge.last_vote = vote.number;
    session.evidence.add(now, report.incarnation, zone, vote);
  }
  choose_watchers(now, session, rollout);
  bool watches = session.watchers.count(report.incarnation) > 0;
  RolloutGrant grant;
  grant.rollout = report.rollout;
  grant.number = report.number;
  grant.votes_received = edge.last_vote;
  grant.watches = watches || (rollout.share_permille > 0 && session.edges.size() <= max_ramp_watchers);
  if (watches && rollout.share_permille == 0)
    grant.calls = session.budget.grant(link, report, wanted_calls(session, edge, report.held),
                                       limit(now, *service, session, rollout), rollout.reserved_calls);
  grants_.emplace_back(link, grant);
}

std::optional<RolloutCommand> RolloutCoordinator::reserve(const Look& look, const Session& session) const {
  if (look.rollout.share_permille > 0 || session.watchers.empty()) return std::nullopt;
  std::uint64_t exposed = session.budget.exposed();
  auto allowed = static_cast<std::uint64_t>(limit(look.now, look.service, session, look.rollout));
  std::uint64_t calls = std::min(allowed, exposed + reserve_step);
  if (exposed + reserve_ahead <= look.rollout.reserved_calls || calls <= look.rollout.reserved_calls)
    return std::nullopt;
  return ReserveCalls{look.service, look.rollout.number, calls, session.budget.requests(),
                      to_ms(look.elapsed)};
}

// Whether the votes clear the version: all that was seen proves it on each route, and what was seen of late,
// in which a version may have turned bad, does not speak against it on any. A majority of the edges that
// watch must be for it, in two zones where there are more.
bool RolloutCoordinator::is_cleared(const Look& look, const Session& session, Findings& findings) {
  Findings all = session.evidence.findings();
  findings = session.evidence.findings(look.now - look.over * clear_window);
  if (all.weakest > cleared || findings.evidence > recently_cleared || findings.weakest > 0) return false;
  std::size_t votes = findings.good_votes + findings.bad_votes;
  if (look.rollout.share_permille == 0) votes = std::max(votes, session.watchers.size());
  return 2 * findings.good_votes > votes && findings.zones_agree;
}

// Whether no edge calls the old version any more.
bool RolloutCoordinator::has_moved(const Look& look, const Session& session) {
  if (session.acknowledged_at == Time::max()) return false;
  if (look.now - session.acknowledged_at < look.over * step_for) return false;
  if (look.elapsed > look.over * drain_until) return true;
  std::size_t heard = 0;
  for (const auto& [incarnation, edge] : session.edges) {
    if (look.now - edge.last_heard > edge_silence) continue;
    ++heard;
    if (edge.old_calls_open > 0 || edge.last_heard <= session.acknowledged_at) return false;
  }
  return heard >= look.status.edges;
}

// No requests come, so that nothing more can be learnt, and nobody is hurt.
std::optional<RolloutCommand> RolloutCoordinator::decide_idle(const Look& look, const Session& session) {
  Findings all = session.evidence.findings();
  std::string reason = "no route leads to the depot any more; " + text_of(all);
  if (look.rollout.share_permille < RolloutLedger::whole_permille) {
    Findings last = session.evidence.findings(session.unrouted_since - last_calls);
    if (all.weakest > idle_cleared || last.weakest > 0 || last.evidence > idle_recently) return std::nullopt;
    return SetShare{look.service, look.rollout.number, RolloutLedger::whole_permille, to_ms(look.elapsed),
                    reason};
  }
  if (!has_moved(look, session)) return std::nullopt;
  return FinishRollout{look.service, look.rollout.number, RolloutState::delivered, to_ms(look.elapsed),
                       reason};
}

std::optional<RolloutCommand> RolloutCoordinator::decide_step(const Look& look, const Session& session) {
  if (look.elapsed < look.over * observe_for || look.now - session.step_began < look.over * step_for)
    return std::nullopt;
  Findings findings;
  if (!is_cleared(look, session, findings)) return std::nullopt;
  auto next = std::upper_bound(share_steps.begin(), share_steps.end(), look.rollout.share_permille);
  if (next != share_steps.end())
    return SetShare{look.service, look.rollout.number, *next, to_ms(look.elapsed), text_of(findings)};
  if (!has_moved(look, session)) return std::nullopt;
  return FinishRollout{look.service, look.rollout.number, RolloutState::delivered, to_ms(look.elapsed),
                       text_of(findings)};
}

std::optional<RolloutCommand> RolloutCoordinator::decide(const Look& look, Session& session) {
  bool whole = look.rollout.share_permille >= RolloutLedger::whole_permille;
  if (whole && look.status.acknowledged)
    session.acknowledged_at = std::min(session.acknowledged_at, look.now);
  session.unrouted_since = look.status.routed ? Time::max() : std::min(session.unrouted_since, look.now);
  auto returned = [&](std::string reason) {
    return FinishRollout{look.service, look.rollout.number, RolloutState::returned, to_ms(look.elapsed),
                         std::move(reason)};
  };
  Findings findings;
  if (session.evidence.convicts(look.now, findings)) return returned("convicted: " + text_of(findings));
  if (look.elapsed >= look.over * (whole ? last_delivery_at : return_at))
    return returned("no verdict before the end of the term; " +
                    text_of(session.evidence.findings(look.now - look.over * clear_window)));
  bool idle = session.unrouted_since != Time::max() && look.now - session.unrouted_since >= idle_after;
  return idle ? decide_idle(look, session) : decide_step(look, session);
}

std::vector<RolloutCommand> RolloutCoordinator::next_commands(Time now, const RolloutLedger& ledger,
                                                              const StatusOf& status_of) {
  std::vector<RolloutCommand> commands;
  for (const std::string& service : clock_.in_transit()) {
    const Rollout& rollout = *ledger.find(service)->rollout;
    Session& session = session_of(now, service, rollout);
    Look look{now, service, rollout, clock_.elapsed(now, service), from_ms(rollout.over_ms), {}};
    std::optional<RolloutCommand> command;
    if (now >= session.next_decision) {
      session.next_decision = now + decision_interval;
      look.status = status_of(service);
      command = decide(look, session);
    }
    if (!command) command = reserve(look, session);
    if (command) commands.push_back(std::move(*command));
  }
  return commands;
}

RolloutProgress RolloutCoordinator::progress(const std::string& service) const {
  auto found = sessions_.find(service);
  if (found == sessions_.end()) return {};
  const Session& session = found->second;
  return {session.budget.requests(), session.budget.exposed(), session.watchers.size(),
          session.evidence.votes()};
}

Time RolloutCoordinator::due() const {
  Time due = Time::max();
  for (const std::string& service : clock_.in_transit()) {
    auto session = sessions_.find(service);
    due = std::min(due, session == sessions_.end() ? Time::min() : session->second.next_decision);
  }
  return due;
}

void RolloutCoordinator::Edge::describe(StateDescription& out) const {
  out.text(zone);
  out.time(first_heard);
  out.time(last_heard);
  for (std::uint64_t value : {requests, earlier_requests, spent, last_vote}) out.number(value);
  out.number(old_calls_open);
}

void RolloutCoordinator::Session::describe(StateDescription& out) const {
  out.number(number);
  budget.describe(out);
  evidence.describe(out);
  out.number(edges.size());
  for (const auto& [incarnation, edge] : edges) {
    out.number(incarnation);
    edge.describe(out);
  }
  out.number(watchers.size());
  for (std::uint64_t watcher : watchers) out.number(watcher);
  out.number(share_permille);
  for (Time at : {next_choice, next_decision, step_began, acknowledged_at, unrouted_since}) out.time(at);
}

void RolloutCoordinator::describe(StateDescription& out) const {
  clock_.describe(out);
  out.number(sessions_.size());
  for (const auto& [service, session] : sessions_) {
    out.text(service);
    session.describe(out);
  }
}

}  // namespace pearspar::rollout
