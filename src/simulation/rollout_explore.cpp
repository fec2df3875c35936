#include "simulation/rollout_explore.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <deque>
#include <map>
#include <optional>
#include <unordered_set>

#include "rollout/edge_rollouts.h"
#include "rollout/rollout_coordinator.h"
#include "simulation/explore_tables.h"

namespace pearspar::simulation {
namespace {

using rollout::Duration;
using rollout::EdgeRollouts;
using rollout::ExposureRules;
using rollout::RolloutCommand;
using rollout::RolloutCoordinator;
using rollout::RolloutGrant;
using rollout::RolloutLedger;
using rollout::RolloutReport;
using rollout::RolloutState;
using rollout::StateDescription;
using rollout::Time;
using LinkId = RolloutCoordinator::LinkId;

const std::string service_name = "s";
constexpr std::uint64_t term_ms = 20000;
// Edges learn of the order when all of the slack may be granted.
constexpr double known_at_s = 12;
constexpr double first_reports_at_s = 12.6;
constexpr double watchers_chosen_at_s = 13.8;
constexpr double tick_s = 0.6;
constexpr int requests_before = 4;  // of each edge, before the watchers are chosen
// Three calls may be made until the verdict.
constexpr ExposureRules rules{0.1, 3.25};
constexpr std::uint32_t moved_permille = 500;

struct SentReport {
  RolloutReport report;
  LinkId link = 0;
  std::uint64_t leader = 0;  // that it is sent to
  int calls_ended = 0;       // to the new version, that it tells of
  Time sent_at{};
};

struct SentGrant {
  RolloutGrant grant;
  Time reported_at{};
};

struct Edge {
  std::string zone;
  EdgeRollouts rollouts{0};
  std::uint64_t incarnation = 0;
  LinkId link = 0;
  std::uint64_t leader = 0;  // that it takes for the leader
  std::optional<SentReport> report;
  std::optional<SentReport> late_report;  // of a link that is gone
  std::optional<SentGrant> grant;
  int reports = 0;
  int calls_ended = 0;  // to the new version, in this incarnation
  Time lease_ends = Time::min();
  Time leader_heard = Time::min();
  bool in_transit() const { return rollouts.in_transit() > 0; }
};

struct State {
  int ticks = 0;
  RolloutLedger ledger;
  std::uint64_t log_index = 0;
  std::uint64_t leader = 1;
  RolloutCoordinator coordinator{rules};
  std::optional<RolloutCommand> proposed;
  std::vector<Edge> edges;
  std::map<std::uint64_t, int> told;  // calls that the leader was told of, by incarnation
  int requests = 0, broken_links = 0, restarts = 0, leader_changes = 0;
  std::uint64_t incarnations = 0, links = 0;
  int all_requests = 0;
  int calls = 0;  // to the new version
  int leased_calls = 0;
  Time finished_at = Time::max();
};

enum class Step {
  request,
  report,
  report_arrives,
  late_report_arrives,
  grant_arrives,
  link_breaks,
  restart,
  versions_arrive,
  leader_is_noticed,
  last_of_an_edge = leader_is_noticed,
  propose,
  commit,
  leader_change_keeps_the_entry,
  leader_change_drops_the_entry,
  share_moves,
  verdict,
  tick,
};
constexpr std::array step_names{"edge {}: a request",
                                "edge {} reports",
                                "the report of edge {} arrives",
                                "a late report of edge {} arrives",
                                "edge {}: a grant arrives",
                                "edge {}: its link breaks",
                                "edge {} starts anew",
                                "edge {} hears of the leader and its versions",
                                "edge {} notices the new leader",
                                "the leader proposes",
                                "the entry is committed",
                                "another leader, with the entry",
                                "another leader, without the entry",
                                "half of the calls go to the version",
                                "the version is returned",
                                "0.6 s pass"};

struct Action {
  Step step = Step::tick;
  std::size_t edge = 0;
};

std::string name_of(const Action& action) {
  return fmt::format(fmt::runtime(step_names[static_cast<std::size_t>(action.step)]), action.edge);
}

Time time_of(double seconds) { return Time{Duration(1000 + seconds)}; }
Time now_of(const State& state) { return time_of(watchers_chosen_at_s + tick_s * state.ticks); }

const catalog::Route& the_route() {
  static const catalog::Route route = [] {
    catalog::Route made;
    made.host = "h";
    made.path_prefix = "/g/";
    return made;
  }();
  return route;
}

void describe_report(const std::optional<SentReport>& sent, StateDescription& out) {
  out.number(sent.has_value());
  if (!sent) return;
  out.number(sent->report.incarnation);
  for (std::uint64_t value : {sent->report.number, sent->report.requests, sent->report.spent,
                              sent->report.last_grant, sent->link, sent->leader})
    out.number(value);
  out.number(sent->report.held);
  out.number(sent->report.votes.size());
  for (const rollout::Vote& vote : sent->report.votes) out.number(vote.number);
  out.number(sent->calls_ended);
  out.time(sent->sent_at);
}

void describe_edge(const Edge& edge, StateDescription& out) {
  edge.rollouts.describe(out);
  out.number(edge.link);
  out.number(edge.leader);
  describe_report(edge.report, out);
  describe_report(edge.late_report, out);
  out.number(edge.grant.has_value());
  if (edge.grant) {
    out.number(edge.grant->grant.number);
    out.number(edge.grant->grant.calls);
    out.number(edge.grant->grant.votes_received);
    out.number(edge.grant->grant.watches);
  }
  out.number(edge.reports);
  out.number(edge.calls_ended);
  out.time(edge.lease_ends);
  out.time(edge.leader_heard);
}

void describe_ledger(const State& state, StateDescription& out) {
  const rollout::Rollout& record = *state.ledger.find(service_name)->rollout;
  out.number(static_cast<int>(record.state));
  out.number(record.share_permille);
  for (std::uint64_t value : {record.reserved_calls, record.requests, record.elapsed_ms}) out.number(value);
  const auto* reserve = state.proposed ? std::get_if<rollout::ReserveCalls>(&*state.proposed) : nullptr;
  out.number(state.proposed.has_value());
  out.number(reserve ? reserve->calls : 0);
  out.number(reserve ? reserve->requests : 0);
}

Digest digest_of_state(const State& state) {
  StateDescription out;
  out.number(state.ticks);
  describe_ledger(state, out);
  out.number(state.leader);
  state.coordinator.describe(out);
  for (const Edge& edge : state.edges) describe_edge(edge, out);
  for (const auto& [incarnation, calls] : state.told) {
    out.number(incarnation);
    out.number(calls);
  }
  for (int value : {state.requests, state.broken_links, state.restarts, state.leader_changes,
                    state.all_requests, state.calls, state.leased_calls})
    out.number(value);
  out.time(state.finished_at);
  return digest_of(out.bytes());
}

struct DigestHash {
  std::size_t operator()(const Digest& digest) const { return digest.low; }
};

// One state on the way that is followed, and the actions that are still to be tried from it.
struct Frame {
  State state;
  Action action;  // that led here
  std::size_t next_action = 0;
};

class Search {
 public:
  explicit Search(const RolloutExploreOptions& options) : options_(options) {
    for (int step = 0; step <= static_cast<int>(Step::tick); ++step) {
      bool of_an_edge = step <= static_cast<int>(Step::last_of_an_edge);
      int edges = of_an_edge ? options.edges : 1;
      for (int edge = 0; edge < edges; ++edge)
        actions_.push_back({static_cast<Step>(step), static_cast<std::size_t>(edge)});
    }
  }

  RolloutExplored run() {
    visit(first_state(), {});
    while (!frames_.empty() && found_.fault.empty()) {
      if (seen_.size() > options_.most_states) return finish(false);
      Frame& frame = frames_.back();
      if (frame.next_action == actions_.size()) {
        frames_.pop_back();
        continue;
      }
      Action action = actions_[frame.next_action++];
      if (!is_possible(frame.state, action)) continue;
      State next = frame.state;
      if (take(next, action)) visit(std::move(next), action);
    }
    return finish(found_.fault.empty());
  }

 private:
  State first_state() {
    State state;
    state.ledger.apply(rollout::RecordVersions{service_name, {"v1"}}, ++state.log_index);
    state.ledger.apply(rollout::StartRollout{service_name, "v2", term_ms, {"v1"}}, ++state.log_index);
    state.coordinator.observe(time_of(0), state.ledger);
    state.edges.resize(static_cast<std::size_t>(options_.edges));
    for (Edge& edge : state.edges) {
      edge.zone = "zone " + std::to_string((&edge - state.edges.data()) % 2);
      start(state, edge, time_of(known_at_s));
      for (int i = 0; i < requests_before; ++i) request(state, edge, time_of(known_at_s));
    }
    for (double at_s : {first_reports_at_s, watchers_chosen_at_s})
      for (Edge& edge : state.edges) {
        report(edge, time_of(at_s));
        deliver_report(state, edge, time_of(at_s));
        deliver_grant(edge, time_of(at_s));
      }
    return state;
  }

  void visit(State state, const Action& action) {
    ++found_.steps;
    if (!seen_.insert(digest_of_state(state)).second) return;
    check(state);
    frames_.push_back({std::move(state), action, 0});
    found_.depth = std::max(found_.depth, frames_.size());
    if (found_.fault.empty()) return;
    for (std::size_t i = 1; i < frames_.size(); ++i) found_.history.push_back(name_of(frames_[i].action));
  }

  void check(const State& state) {
    const rollout::Rollout& record = *state.ledger.find(service_name)->rollout;
    found_.most_calls = std::max(found_.most_calls, state.calls);
    if (static_cast<std::uint64_t>(state.leased_calls) > record.reserved_calls)
      fail("more calls were made than the log has reserved");
    if (static_cast<double>(record.reserved_calls) > allowed_calls(state))
      fail("more calls are reserved than half of what a bad version may get");
  }

  // Half of the share of all requests that were made, and the slack.
  static double allowed_calls(const State& state) {
    return rules.share / 2 * state.all_requests + rules.slack;
  }

  void fail(std::string fault) {
    if (found_.fault.empty()) found_.fault = std::move(fault);
  }

  bool is_possible(const State& state, const Action& action) const {
    const Edge& edge = state.edges[action.edge];
    bool in_transit = state.ledger.find(service_name)->in_transit();
    switch (action.step) {
      case Step::request:
        return state.requests < options_.requests;
      case Step::report:
        return edge.reports < options_.reports && !edge.report && edge.rollouts.due() <= now_of(state);
      case Step::report_arrives:
        return edge.report.has_value() && !edge.grant;
      case Step::late_report_arrives:
        return edge.late_report.has_value();
      case Step::grant_arrives:
        return edge.grant.has_value();
      case Step::link_breaks:
        return state.broken_links < options_.broken_links && (edge.report || edge.grant);
      case Step::restart:
        return state.restarts < options_.restarts;
      case Step::versions_arrive:
        return edge.leader == state.leader && (options_.moves_share || (!in_transit && edge.in_transit()));
      case Step::leader_is_noticed:
        return edge.leader != state.leader;
      case Step::propose:
        return !state.proposed && in_transit;
      case Step::commit:
        return state.proposed.has_value();
      case Step::leader_change_keeps_the_entry:
        return state.proposed && state.leader_changes < options_.leader_changes;
      case Step::leader_change_drops_the_entry:
        return state.leader_changes < options_.leader_changes;
      case Step::share_moves:
        return options_.moves_share && in_transit &&
               state.ledger.find(service_name)->rollout->share_permille == 0;
      case Step::verdict:
        return options_.verdict && in_transit;
      case Step::tick:
        return state.ticks < options_.ticks;
    }
    return false;
  }

  // False: the step is of no interest.
  bool take(State& state, const Action& action) {
    Edge& edge = state.edges[action.edge];
    Time now = now_of(state);
    if (action.step != Step::request) return apply_step(state, edge, action.step, now), true;
    ++state.requests;
    // Without a share of the calls, requests for the old version change nothing that is checked.
    return request(state, edge, now) || options_.moves_share;
  }

  void apply_step(State& state, Edge& edge, Step step, Time now) {
    switch (step) {
      case Step::request:
        return;
      case Step::report:
        ++edge.reports;
        return report(edge, now);
      case Step::report_arrives:
        return deliver_report(state, edge, now);
      case Step::late_report_arrives:
        return deliver_late_report(state, edge, now);
      case Step::grant_arrives:
        return deliver_grant(edge, now);
      case Step::link_breaks:
        ++state.broken_links;
        return change_link(state, edge);
      case Step::restart:
        ++state.restarts;
        change_link(state, edge);
        return start(state, edge, now);
      case Step::versions_arrive:
        return deliver_versions(state, edge, now);
      case Step::leader_is_noticed:
        edge.report.reset();
        edge.grant.reset();
        change_link(state, edge);
        edge.leader = state.leader;
        return edge.rollouts.on_leader_changed();
      case Step::propose:
        return propose(state, now);
      case Step::commit:
        return commit(state, now);
      case Step::leader_change_keeps_the_entry:
        commit(state, now);
        return change_leader(state, now);
      case Step::leader_change_drops_the_entry:
        state.proposed.reset();
        return change_leader(state, now);
      case Step::share_moves:
        return apply(state, now, rollout::SetShare{service_name, 1, moved_permille, 0, {}});
      case Step::verdict:
        state.finished_at = now;
        return apply(state, now, rollout::FinishRollout{service_name, 1, RolloutState::returned, 0, {}});
      case Step::tick:
        ++state.ticks;
        return;
    }
  }

  void start(State& state, Edge& edge, Time now) const {
    bool reused = options_.fault == RolloutExploreFault::reused_incarnation && edge.incarnation > 0;
    edge.incarnation = reused ? edge.incarnation : ++state.incarnations;
    edge.rollouts = EdgeRollouts(edge.incarnation);
    edge.link = ++state.links;
    edge.leader = state.leader;
    edge.calls_ended = 0;
    edge.lease_ends = edge.leader_heard = Time::min();
    deliver_versions(state, edge, now);
  }

  // What the edge has sent may still arrive; what was sent to it does not.
  static void change_link(State& state, Edge& edge) {
    if (edge.report) edge.late_report = std::move(edge.report);
    edge.report.reset();
    edge.grant.reset();
    edge.link = ++state.links;
  }

  // Whether it goes to the new version.
  bool request(State& state, Edge& edge, Time now) {
    if (options_.fault == RolloutExploreFault::endless_shares) edge.rollouts.set_leader_heard(now);
    ++state.all_requests;
    catalog::NodeGroup group = edge.rollouts.select(now, service_name, the_route(), true);
    edge.rollouts.call_started(now, service_name, group, true);
    bool candidate = group == catalog::NodeGroup::candidate;
    edge.rollouts.call_ended(now, service_name, the_route(), candidate ? "n2" : "n1", candidate ? "v2" : "v1",
                             dispatch::VersionOutcome::success, Duration(0.01));
    if (!candidate) return false;
    ++state.calls;
    ++edge.calls_ended;
    check_call(state, edge, now);
    return true;
  }

  // Each call falls under a lease for calls or for a share.
  void check_call(State& state, const Edge& edge, Time now) {
    bool leased = now < edge.lease_ends;
    bool shared = options_.moves_share && edge.leader_heard != Time::min() &&
                  now <= edge.leader_heard + rollout::share_lifetime;
    if (!leased && !shared) fail("an edge without a lease called the version");
    bool may_share = options_.moves_share && state.ledger.find(service_name)->rollout->share_permille > 0;
    state.leased_calls += !may_share;
    if (state.finished_at == Time::max()) return;
    Duration limit = may_share ? rollout::share_lifetime : rollout::lease_lifetime;
    if (now > state.finished_at + limit) fail("a version was called long after it was returned");
  }

  static void report(Edge& edge, Time now) {
    for (RolloutReport& report : edge.rollouts.take_reports(now))
      edge.report = SentReport{std::move(report), edge.link, edge.leader, edge.calls_ended, now};
  }

  void deliver_report(State& state, Edge& edge, Time now) {
    if (!edge.report) return;
    SentReport sent = std::move(*edge.report);
    edge.report.reset();
    std::optional<RolloutGrant> grant = receive(state, edge, sent, now);
    if (grant) edge.grant = SentGrant{*grant, sent.sent_at};
  }

  // Its answer goes to a link that is gone.
  void deliver_late_report(State& state, Edge& edge, Time now) {
    SentReport sent = std::move(*edge.late_report);
    edge.late_report.reset();
    receive(state, edge, sent, now);
  }

  std::optional<RolloutGrant> receive(State& state, const Edge& edge, const SentReport& sent, Time now) {
    if (sent.leader != state.leader) return std::nullopt;
    state.coordinator.on_report(now, sent.link, edge.zone, sent.report, state.ledger);
    auto grants = state.coordinator.take_grants();
    if (!state.ledger.find(service_name)->in_transit()) return std::nullopt;
    int& told = state.told[sent.report.incarnation];
    told = std::max(told, sent.calls_ended);
    check_votes(state);
    return grants.empty() ? std::nullopt : std::optional(grants.front().second);
  }

  // The leader knows each call that it was told of, once.
  void check_votes(const State& state) {
    std::map<std::uint64_t, int> counted;
    for (const rollout::EdgeVote& vote : state.coordinator.progress(service_name).votes)
      counted[vote.incarnation] = static_cast<int>(vote.calls);
    for (const auto& [incarnation, calls] : state.told)
      if (counted[incarnation] != calls) fail("the leader does not count the calls that it was told of");
  }

  static void deliver_grant(Edge& edge, Time now) {
    if (!edge.grant) return;
    edge.rollouts.on_grant(now, edge.grant->grant);
    if (edge.grant->grant.calls > 0)
      edge.lease_ends = std::max(edge.lease_ends, edge.grant->reported_at + rollout::lease_lifetime);
    edge.grant.reset();
  }

  void deliver_versions(const State& state, Edge& edge, Time now) const {
    if (options_.moves_share) {
      edge.leader_heard = now;
      edge.rollouts.set_leader_heard(now);
    }
    edge.rollouts.set_versions(now, rollout::versions_of(service_name, *state.ledger.find(service_name)));
  }

  static void propose(State& state, Time now) {
    auto commands = state.coordinator.next_commands(
        now, state.ledger, [](const std::string&) { return rollout::ServiceStatus{}; });
    if (!commands.empty()) state.proposed = std::move(commands.front());
  }

  static void commit(State& state, Time now) {
    RolloutCommand command = std::move(*state.proposed);
    state.proposed.reset();
    apply(state, now, command);
  }

  static void apply(State& state, Time now, const RolloutCommand& command) {
    state.ledger.apply(command, ++state.log_index);
    state.coordinator.observe(now, state.ledger);
  }

  void change_leader(State& state, Time now) const {
    ++state.leader_changes;
    ++state.leader;
    state.told.clear();
    state.coordinator = RolloutCoordinator(rules);
    if (options_.fault == RolloutExploreFault::forgotten_reservations) forget_reservations(state);
    state.coordinator.observe(now, state.ledger);
  }

  static void forget_reservations(State& state) {
    auto services = state.ledger.services();
    services[service_name].rollout->reserved_calls = 0;
    state.ledger.restore(state.ledger.last_number(), std::move(services));
  }

  RolloutExplored finish(bool exhausted) {
    found_.states = seen_.size();
    found_.exhausted = exhausted;
    return std::move(found_);
  }

  RolloutExploreOptions options_;
  std::vector<Action> actions_;
  std::vector<Frame> frames_;
  std::unordered_set<Digest, DigestHash> seen_;
  RolloutExplored found_;
};

}  // namespace

RolloutExplored explore_rollout(const RolloutExploreOptions& options) { return Search(options).run(); }

}  // namespace pearspar::simulation
