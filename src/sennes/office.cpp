#include "sennes/office.h"

#include <algorithm>

namespace pearspar::sennes {
namespace {

using namespace std::chrono_literals;

constexpr double gather_beats = 2.5;  // after an election, before the list of nodes counts as whole
}  // namespace

Office::Office(OfficeOptions options, raft::Core& core, State& state)
    : options_(std::move(options)),
      core_(core),
      state_(state),
      followers_(view_),
      passed_(options_.incarnation) {
  pool_.set(options_.pool);
}

protocol::Hello Office::hello() const {
  return {options_.incarnation, protocol::FollowerKind::core, options_.name, options_.zone, view_.at(),
          view_.revision()};
}

// Those that follow have to find the core when all that they began with are gone.
void Office::tell_members() {
  std::vector<std::string> cores = core_.addresses();
  if (cores == told_cores_) return;
  told_cores_ = cores;
  std::string bytes = protocol::pack(protocol::Welcome{core_.term(), true, std::move(cores)});
  for (const auto& [link, follower] : followers_.all()) to_links_.push_back({link, bytes});
}

void Office::open_office(Time now) {
  told_cores_.clear();
  view_.adopt(state_.current());
  heard_.clear();
  for (const auto& [id, node] : view_.nodes().all()) heard_[id] = now;
  gathered_ = now + options_.beat * gather_beats;
  expire_due_ = now;
  followers_.open(now, core_.term(), false);
  pool_.open(now);
  bursar_.open(now, state_.accounts());
  // The first change of the term: it moves this member's own position to it.
  followers_.add(now, {});
}

void Office::close_office(Time now) {
  followers_.close();
  bursar_.close();
  finish_proposal(now);
  finish_spreading(now);
}

void Office::advance(Time now) {
  refuse_expired(now);
  list_changes_ += view_.take_changed_nodes().size();
  bool leads = core_.role() == raft::Core::Role::leader;
  // Somebody else is to lead: this program cannot read what was taken.
  if (leads && !state_.may_serve()) {
    core_.hand_over(now);
    leads = false;
  }
  if (in_office() && (!leads || core_.term() != view_.at().term)) close_office(now);
  if (!in_office() && may_serve(now)) open_office(now);
  finish_proposal(now);
  if (in_office() && may_serve(now)) {
    tell_configuration(now);
    tell_members();
    expire(now);
  }
  keep_allowance(now);
  finish_spreading(now);
  for (std::size_t left = waiting_.size(); left > 0; --left) {
    Request request = std::move(waiting_.front());
    waiting_.pop_front();
    if (!settle(now, request)) waiting_.push_back(std::move(request));
  }
  look_after_passed(now);
}

Time Office::due() const {
  Time due = passed_.due();
  if (in_office()) due = std::min({due, followers_.due(), expire_due_, bursar_.due(state_.allowances())});
  for (const Request& request : waiting_) due = std::min(due, request.until);
  if (proposal_)
    for (const Request& request : proposal_->callers) due = std::min(due, request.until);
  for (const Spreading& each : spreading_) due = std::min({due, each.until, each.request.until});
  return due;
}

std::vector<ToLink> Office::take_news(Time now) {
  std::vector<ToLink> out = std::exchange(to_links_, {});
  if (core_.may_speak(now))
    for (ToLink& news : followers_.take_out(now)) out.push_back(std::move(news));
  return out;
}

// Edges' questions go into the log, and are answered when they are in force.
void Office::keep_allowance(Time now) {
  bursar_.watch(now, state_.accounts());
  if (!in_office()) return;
  const catalog::QuotaRules* rules = state_.allowances();
  if (core_.may_speak(now))
    if (auto entry = bursar_.entry(now, state_.accounts(), rules))
      bursar_.proposed(core_.propose(now, State::allowance(*entry)));
  for (auto& [link, tell] : bursar_.tells(now, core_.applied(), state_.accounts(), rules))
    to_links_.push_back({link, protocol::pack(std::move(tell))});
}

// Only a leader hands out, and only for services that the configuration names.
void Office::grant(Time now, LinkId link, const protocol::TokenRequest& want) {
  if (!in_office() || !core_.may_speak(now) || !view_.configuration()) return;
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
  to_links_.push_back({link, protocol::pack(std::move(grant))});
}

// Ours as a follower of the member at the other end of the link.
void Office::follow(LinkId link, subscription::ClusterView::ApplyResult taken) {
  if (taken == subscription::ClusterView::ApplyResult::gap)
    to_links_.push_back({link, protocol::pack(hello())});
  else if (taken == subscription::ClusterView::ApplyResult::applied)
    to_links_.push_back(
        {link, protocol::pack(protocol::Ack{options_.incarnation, view_.at(), view_.revision()})});
}

void Office::message(Time now, LinkId link, const protocol::Message& message) {
  if (const auto* agreement = std::get_if<raft::Message>(&message)) {
    core_.step(now, *agreement);
  } else if (const auto* hello = std::get_if<protocol::Hello>(&message)) {
    followers_.on_hello(now, link, *hello);
    to_links_.push_back(
        {link, protocol::pack(protocol::Welcome{core_.term(), in_office(), core_.addresses()})});
    // Who knows nothing at all gets what is applied here, in case nobody leads: at the position before all
    // others.
    if (!in_office() && hello->kind == protocol::FollowerKind::edge &&
        hello->position == protocol::Position{} && hello->revision == 0 && state_.current())
      to_links_.push_back({link, followers_.provisional(now, state_.current())});
  } else if (const auto* ack = std::get_if<protocol::Ack>(&message)) {
    followers_.on_ack(now, link, *ack);
  } else if (std::get_if<protocol::Goodbye>(&message)) {
    followers_.on_closed(link);
  } else if (const auto* want = std::get_if<protocol::TokenRequest>(&message)) {
    grant(now, link, *want);
  } else if (const auto* ask = std::get_if<pramperet::Ask>(&message)) {
    bursar_.ask(now, link, *ask);
  } else if (const auto* call = std::get_if<protocol::ControlCall>(&message)) {
    Request request;
    request.from = call->from;
    request.number = call->number;
    request.method = call->method;
    request.path = call->path;
    request.if_match = call->if_match;
    request.body = call->body;
    if (call->timeout_ms > 0)
      request.until = now + std::min(answer_within, Duration(call->timeout_ms / 1000.0));
    else
      request.until = now + answer_within;
    take_in(now, std::move(request));
  } else if (const auto* answer = std::get_if<protocol::ControlReply>(&message)) {
    on_answer(now, *answer);
  } else if (in_office()) {
    return;  // news of somebody who took itself for the leader
  } else if (const auto* standing = std::get_if<protocol::StateSnapshot>(&message)) {
    follow(link, view_.apply(now, *standing));
  } else if (const auto* changes = std::get_if<protocol::Changes>(&message)) {
    follow(link, view_.apply(now, *changes));
  } else if (const auto* ping = std::get_if<protocol::Ping>(&message)) {
    follow(link, view_.apply(*ping));
  }
}

}  // namespace pearspar::sennes
