#include "control_plane/controller.h"

#include <algorithm>

namespace pearspar::control_plane {
namespace {

using namespace std::chrono_literals;

// Heartbeat intervals after an election until the list of nodes counts as complete.
constexpr double list_gathering_heartbeats = 2.5;

}  // namespace

Controller::Controller(ControllerOptions options, raft::Core& core, ReplicatedState& state)
    : options_(std::move(options)),
      core_(core),
      state_(state),
      followers_(view_),
      forwarded_(options_.incarnation) {
  pool_.set(options_.pool);
}

// A member needs no texts of configurations, since the log brings them.
protocol::Hello Controller::hello() const {
  return {options_.incarnation,
          protocol::FollowerKind::core,
          options_.name,
          options_.zone,
          view_.at(),
          view_.revision(),
          {},
          true};
}

// Followers must still find the core when all members that they started with have been replaced.
void Controller::publish_members() {
  std::vector<std::string> cores = core_.addresses();
  if (cores == published_members_) return;
  published_members_ = cores;
  std::string bytes = protocol::pack(protocol::Welcome{core_.term(), true, std::move(cores), true});
  for (const auto& [link, follower] : followers_.all()) link_frames_.push_back({link, bytes});
}

void Controller::activate(Time now) {
  published_members_.clear();
  view_.adopt(state_.configuration());
  for (const auto& [service, record] : state_.rollouts().services())
    view_.adopt(rollout::versions_of(service, record));
  published_versions_ = state_.rollouts().changed_at();
  version_positions_.clear();
  rollout_entry_.reset();
  rollouts_.reset();
  last_heartbeats_.clear();
  for (const auto& [id, node] : view_.nodes().all()) last_heartbeats_[id] = now;
  list_complete_at_ = now + options_.heartbeat_interval * list_gathering_heartbeats;
  next_expiry_ = now;
  followers_.open(now, core_.term(), false);
  pool_.open(now);
  quota_allocator_.open(now, state_.quota_ledger());
  // The empty first change moves this member's own position to the new term.
  protocol::Position first = followers_.add(now, {});
  for (const auto& [service, record] : state_.rollouts().services()) version_positions_[service] = first;
}

void Controller::link_closed(LinkId link) {
  followers_.on_closed(link);
  configuration_server_.on_closed(link);
}

void Controller::deactivate(Time now) {
  followers_.close();
  quota_allocator_.close();
  finish_proposal(now);
  finish_pending_updates(now);
  departures_.clear();
  reject_lost_departures();
  reject_pending_rollouts("the leader changed meanwhile");
}

void Controller::advance(Time now) {
  reject_expired(now);
  adopt_departures();
  rollouts_.observe(now, state_.rollouts());
  node_list_changes_ += view_.take_changed_nodes().size();
  bool leads = core_.role() == raft::Core::Role::leader;
  // This program cannot parse the applied configuration: another member has to lead.
  if (leads && !state_.may_serve()) {
    core_.transfer_leadership(now);
    leads = false;
  }
  if (is_active() && (!leads || core_.term() != view_.at().term)) deactivate(now);
  if (!is_active() && may_serve(now)) activate(now);
  finish_proposal(now);
  if (is_active() && may_serve(now)) {
    publish_configuration(now);
    publish_rollouts(now);
    publish_members();
    expire_silent_nodes(now);
  }
  advance_quotas(now);
  for (std::size_t left = waiting_.size(); left > 0; --left) {
    Request request = std::move(waiting_.front());
    waiting_.pop_front();
    if (!try_handle(now, request)) waiting_.push_back(std::move(request));
  }
  redirect_forwarded(now);
  propose_departures(now);
  propose_rollouts(now);
  finish_rollout_orders();
  finish_pending_updates(now);
  if (state_.configuration()) configuration_server_.set_configuration(now, state_.revision(), state_.text());
}

Time Controller::due() const {
  Time due = std::min(forwarded_.due(), configuration_server_.due());
  if (is_active())
    due = std::min({due, followers_.due(), next_expiry_, quota_allocator_.due(state_.quota_rules()),
                    rollout_entry_ ? Time::max() : rollouts_.due()});
  for (const Request& request : waiting_) due = std::min(due, request.deadline);
  if (proposal_)
    for (const Request& request : proposal_->callers) due = std::min(due, request.deadline);
  for (const PendingRollout& pending : pending_rollouts_) due = std::min(due, pending.request.deadline);
  for (const PendingUpdate& each : pending_updates_) {
    due = std::min(due, each.request.deadline);
    if (departures_.is_committed(each.departure)) due = std::min(due, each.until);
  }
  return due;
}

std::vector<LinkFrame> Controller::take_frames(Time now) {
  std::vector<LinkFrame> frames = std::exchange(link_frames_, {});
  for (LinkFrame& frame : configuration_server_.take_frames(now)) frames.push_back(std::move(frame));
  if (core_.holds_lease(now))
    for (LinkFrame& frame : followers_.take_frames(now)) frames.push_back(std::move(frame));
  return frames;
}

// Quota requests of edges are appended to the log, and answered once they are applied.
void Controller::advance_quotas(Time now) {
  quota_allocator_.observe_window(now, state_.quota_ledger());
  if (!is_active()) return;
  const catalog::QuotaRules* rules = state_.quota_rules();
  if (core_.holds_lease(now))
    if (auto entry = quota_allocator_.next_entry(now, state_.quota_ledger(), rules))
      quota_allocator_.proposed(core_.propose(now, ReplicatedState::encode_quota_commands(*entry)));
  for (auto& [link, answer] :
       quota_allocator_.take_replies(now, core_.applied(), state_.quota_ledger(), rules))
    link_frames_.push_back({link, protocol::pack(std::move(answer))});
}

// Retry tokens are granted only by a leader, and only for configured services.
void Controller::grant_tokens(Time now, LinkId link, const protocol::TokenRequest& want) {
  if (!is_active() || !core_.holds_lease(now) || !view_.configuration()) return;
  protocol::TokenGrant grant;
  grant.number = want.number;
  for (const protocol::Tokens& each : want.tokens) {
    const auto& services = view_.configuration()->services;
    if (std::none_of(services.begin(), services.end(),
                     [&](const auto& service) { return service.name == each.service; }))
      continue;
    if (std::uint32_t count = pool_.grant(now, each.service, each.count))
      grant.tokens.push_back({each.service, count});
  }
  link_frames_.push_back({link, protocol::pack(std::move(grant))});
}

// None while this member has stored a change that it has not applied: the change may be in force already.
std::optional<protocol::LeaseVote> Controller::lease_vote(std::uint64_t number) const {
  const raft::Log& log = core_.log();
  if (is_active() || !log.membership().has(core_.self())) return std::nullopt;
  for (raft::Index index = core_.applied() + 1; index <= log.last(); ++index)
    if (ReplicatedState::is_configuration_change(log.at(index))) return std::nullopt;
  protocol::LeaseVote vote;
  vote.number = number;
  vote.revision = state_.revision();
  vote.voter = core_.self();
  vote.membership_index = log.membership_index();
  for (const raft::Member& voter : log.membership().voters) vote.voters.push_back(voter.id);
  return vote;
}

// Answers an update of the leader, which this member follows over the link.
void Controller::acknowledge_update(LinkId link, subscription::ClusterView::ApplyResult result) {
  if (result == subscription::ClusterView::ApplyResult::gap)
    link_frames_.push_back({link, protocol::pack(hello())});
  else if (result == subscription::ClusterView::ApplyResult::applied)
    link_frames_.push_back(
        {link, protocol::pack(protocol::Ack{options_.incarnation, view_.at(), view_.revision()})});
}

void Controller::message(Time now, LinkId link, const protocol::Message& message) {
  if (const auto* raft_message = std::get_if<raft::Message>(&message)) {
    core_.step(now, *raft_message);
  } else if (const auto* hello = std::get_if<protocol::Hello>(&message)) {
    followers_.on_hello(now, link, *hello);
    configuration_server_.on_hello(now, link, *hello);
    link_frames_.push_back(
        {link, protocol::pack(protocol::Welcome{core_.term(), is_active(), core_.addresses(), true})});
    // An edge that no leader has sent a state gets the one applied here, if its own is older, in case there
    // is no leader.
    if (!is_active() && hello->kind == protocol::FollowerKind::edge &&
        hello->position == protocol::Position{} && state_.configuration() &&
        hello->revision < state_.configuration()->revision)
      link_frames_.push_back(
          {link, followers_.encode_provisional_state(now, state_.configuration(), provisional_versions())});
  } else if (const auto* ack = std::get_if<protocol::Ack>(&message)) {
    followers_.on_ack(now, link, *ack);
    configuration_server_.on_ack(now, link, *ack);
    if (const auto vote = ack->renewal != 0 ? lease_vote(ack->renewal) : std::nullopt)
      link_frames_.push_back({link, protocol::pack(*vote)});
  } else if (const auto* wanted = std::get_if<protocol::ConfigurationRequest>(&message)) {
    configuration_server_.on_request(now, link, *wanted);
  } else if (std::get_if<protocol::Goodbye>(&message)) {
    link_closed(link);
  } else if (const auto* want = std::get_if<protocol::TokenRequest>(&message)) {
    grant_tokens(now, link, *want);
  } else if (const auto* report = std::get_if<rollout::RolloutReport>(&message)) {
    report_rollout(now, link, *report);
  } else if (const auto* ask = std::get_if<quota::QuotaRequest>(&message)) {
    quota_allocator_.on_request(now, link, *ask);
  } else if (const auto* call = std::get_if<protocol::ControlCall>(&message)) {
    Request request;
    request.forwarded_by = call->from;
    request.number = call->number;
    request.method = call->method;
    request.path = call->path;
    request.if_match = call->if_match;
    request.body = call->body;
    if (call->timeout_ms > 0)
      request.deadline = now + std::min(call_timeout, Duration(call->timeout_ms / 1000.0));
    else
      request.deadline = now + call_timeout;
    accept(now, std::move(request));
  } else if (const auto* answer = std::get_if<protocol::ControlReply>(&message)) {
    on_answer(now, *answer);
  } else if (is_active()) {
    return;  // an update of a deposed leader
  } else if (const auto* standing = std::get_if<protocol::StateSnapshot>(&message)) {
    acknowledge_update(link, view_.apply(now, *standing));
  } else if (const auto* changes = std::get_if<protocol::Changes>(&message)) {
    acknowledge_update(link, view_.apply(now, *changes));
  } else if (const auto* ping = std::get_if<protocol::Ping>(&message)) {
    acknowledge_update(link, view_.apply(*ping));
  }
}

}  // namespace pearspar::control_plane
