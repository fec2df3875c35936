#include "control_plane/controller.h"

#include <algorithm>

namespace pearspar::control_plane {
namespace {

using namespace std::chrono_literals;

// Heartbeat intervals after an election until the list of nodes counts as complete.
constexpr double list_gathering_heartbeats = 2.5;

}  // namespace

Controller::Controller(ControllerOptions options, raft::Core& core, ReplicatedState& state)
    : options_(std::move(options)), core_(core), state_(state), followers_(view_), forwarded_(options_.life) {
  pool_.set(options_.pool);
}

fanes::Hello Controller::hello() const {
  return {options_.life,  fanes::FollowerKind::core, options_.name, options_.zone, view_.at(),
          view_.edition()};
}

// Followers must still find the core when all members that they started with have been replaced.
void Controller::publish_members() {
  std::vector<std::string> cores = core_.addresses();
  if (cores == published_members_) return;
  published_members_ = cores;
  std::string bytes = fanes::pack(fanes::Welcome{core_.term(), true, std::move(cores)});
  for (const auto& [link, follower] : followers_.all()) link_frames_.push_back({link, bytes});
}

void Controller::activate(Time now) {
  published_members_.clear();
  view_.take(state_.configuration());
  last_heartbeats_.clear();
  for (const auto& [id, node] : view_.nodes().all()) last_heartbeats_[id] = now;
  list_complete_at_ = now + options_.heartbeat_interval * list_gathering_heartbeats;
  next_expiry_ = now;
  followers_.open(now, core_.term(), false);
  pool_.open(now);
  bursar_.open(now, state_.accounts());
  // The empty first change moves this member's own position to the new term.
  followers_.add(now, {});
}

void Controller::deactivate(Time now) {
  followers_.close();
  bursar_.close();
  finish_proposal(now);
  finish_pending_updates(now);
}

void Controller::advance(Time now) {
  reject_expired(now);
  node_list_changes_ += view_.take_touched().size();
  bool leads = core_.role() == raft::Core::Role::leader;
  // This program cannot parse the applied configuration: another member has to lead.
  if (leads && !state_.may_serve()) {
    core_.hand_over(now);
    leads = false;
  }
  if (is_active() && (!leads || core_.term() != view_.at().term)) deactivate(now);
  if (!is_active() && may_serve(now)) activate(now);
  finish_proposal(now);
  if (is_active() && may_serve(now)) {
    publish_configuration(now);
    publish_members();
    expire_silent_nodes(now);
  }
  advance_quotas(now);
  finish_pending_updates(now);
  for (std::size_t left = waiting_.size(); left > 0; --left) {
    Request request = std::move(waiting_.front());
    waiting_.pop_front();
    if (!try_handle(now, request)) waiting_.push_back(std::move(request));
  }
  redirect_forwarded(now);
}

Time Controller::due() const {
  Time due = forwarded_.due();
  if (is_active()) due = std::min({due, followers_.due(), next_expiry_, bursar_.due(state_.quota_rules())});
  for (const Request& request : waiting_) due = std::min(due, request.deadline);
  if (proposal_)
    for (const Request& request : proposal_->callers) due = std::min(due, request.deadline);
  for (const PendingUpdate& each : pending_updates_) due = std::min({due, each.until, each.request.deadline});
  return due;
}

std::vector<LinkFrame> Controller::take_frames(Time now) {
  std::vector<LinkFrame> frames = std::exchange(link_frames_, {});
  if (core_.may_speak(now))
    for (LinkFrame& frame : followers_.take_frames(now)) frames.push_back(std::move(frame));
  return frames;
}

// Quota requests of edges are appended to the log, and answered once they are applied.
void Controller::advance_quotas(Time now) {
  bursar_.watch(now, state_.accounts());
  if (!is_active()) return;
  const averau::Allowances* rules = state_.quota_rules();
  if (core_.may_speak(now))
    if (auto entry = bursar_.entry(now, state_.accounts(), rules))
      bursar_.proposed(core_.propose(now, ReplicatedState::encode_quota_commands(*entry)));
  for (auto& [link, answer] : bursar_.tells(now, core_.applied(), state_.accounts(), rules))
    link_frames_.push_back({link, fanes::pack(std::move(answer))});
}

// Retry tokens are granted only by a leader, and only for configured services.
void Controller::grant_tokens(Time now, LinkId link, const fanes::Want& want) {
  if (!is_active() || !core_.may_speak(now) || !view_.configuration()) return;
  fanes::Grant grant;
  grant.number = want.number;
  for (const fanes::Tokens& each : want.tokens) {
    const auto& depots = view_.configuration()->depots;
    if (std::none_of(depots.begin(), depots.end(),
                     [&](const auto& depot) { return depot.name == each.depot; }))
      continue;
    if (std::uint32_t count = pool_.grant(now, each.depot, each.count))
      grant.tokens.push_back({each.depot, count});
  }
  link_frames_.push_back({link, fanes::pack(std::move(grant))});
}

// Answers an update of the leader, which this member follows over the link.
void Controller::acknowledge_update(LinkId link, vazzoler::View::Taken result) {
  if (result == vazzoler::View::Taken::behind)
    link_frames_.push_back({link, fanes::pack(hello())});
  else if (result == vazzoler::View::Taken::news)
    link_frames_.push_back({link, fanes::pack(fanes::Ack{options_.life, view_.at(), view_.edition()})});
}

void Controller::message(Time now, LinkId link, const fanes::Message& message) {
  if (const auto* raft_message = std::get_if<raft::Message>(&message)) {
    core_.step(now, *raft_message);
  } else if (const auto* hello = std::get_if<fanes::Hello>(&message)) {
    followers_.on_hello(now, link, *hello);
    link_frames_.push_back({link, fanes::pack(fanes::Welcome{core_.term(), is_active(), core_.addresses()})});
    // An edge without any state gets the one applied here, in case there is no leader.
    if (!is_active() && hello->kind == fanes::FollowerKind::edge && hello->have == fanes::Position{} &&
        hello->edition == 0 && state_.configuration())
      link_frames_.push_back({link, followers_.encode_provisional_state(now, state_.configuration())});
  } else if (const auto* ack = std::get_if<fanes::Ack>(&message)) {
    followers_.on_ack(now, link, *ack);
  } else if (std::get_if<fanes::Farewell>(&message)) {
    followers_.on_closed(link);
  } else if (const auto* want = std::get_if<fanes::Want>(&message)) {
    grant_tokens(now, link, *want);
  } else if (const auto* ask = std::get_if<pramperet::Ask>(&message)) {
    bursar_.ask(now, link, *ask);
  } else if (const auto* call = std::get_if<fanes::Call>(&message)) {
    Request request;
    request.forwarded_by = call->from;
    request.number = call->number;
    request.method = call->method;
    request.path = call->path;
    request.if_match = call->if_match;
    request.body = call->body;
    if (call->within_ms > 0)
      request.deadline = now + std::min(call_timeout, Duration(call->within_ms / 1000.0));
    else
      request.deadline = now + call_timeout;
    accept(now, std::move(request));
  } else if (const auto* answer = std::get_if<fanes::CallAnswer>(&message)) {
    on_answer(now, *answer);
  } else if (is_active()) {
    return;  // an update of a deposed leader
  } else if (const auto* standing = std::get_if<fanes::Standing>(&message)) {
    acknowledge_update(link, view_.apply(now, *standing));
  } else if (const auto* changes = std::get_if<fanes::Changes>(&message)) {
    acknowledge_update(link, view_.apply(now, *changes));
  } else if (const auto* ping = std::get_if<fanes::Ping>(&message)) {
    acknowledge_update(link, view_.apply(*ping));
  }
}

}  // namespace pearspar::control_plane
