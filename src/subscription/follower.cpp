#include "subscription/follower.h"

#include <algorithm>

#include "nuvolau/pool.h"

namespace pearspar::subscription {
namespace {

using namespace std::chrono_literals;

constexpr Duration touch_every = 1s;
constexpr Duration leader_silent = 3500ms;   // three pings and a half
constexpr Duration leader_may_come = 120ms;  // before members that do not lead are believed
constexpr std::size_t most_provisional = 8;
constexpr Duration want_every = 100ms;
constexpr Duration want_for = 500ms;         // an answer comes in that time, or the question is asked anew
constexpr Duration gather_at_most = 1500ms;  // a list that is still being gathered will do after it

}  // namespace

Follower::Follower(transport::Transport& wire, FollowerOptions options)
    : wire_(wire), options_(std::move(options)), asking_(options_.incarnation) {}

void Follower::start(Time now) {
  news_ = now;
  touch_due_ = now + touch_every;
  wire_.set_targets(options_.seeds);
}

void Follower::set_seeds(std::vector<std::string> seeds) {
  options_.seeds = std::move(seeds);
  if (cores_.empty()) wire_.set_targets(options_.seeds);
}

std::string Follower::hello() const {
  return protocol::pack(protocol::Hello{options_.incarnation, protocol::FollowerKind::edge, options_.name,
                                        options_.zone, view_.at(), view_.revision(), options_.address});
}

std::string Follower::ack() const {
  return protocol::pack(
      protocol::Ack{options_.incarnation, view_.at(), view_.revision(), coverage_, view_.nodes().digest()});
}

bool Follower::silent(Time now) const { return now - news_ > leader_silent; }

// While the core is lost all that may know it are dialled; those that edges name never in place of ours.
void Follower::keep_links() {
  std::vector<std::string> wanted = cores_;
  auto add = [&](const std::vector<std::string>& more) {
    for (const std::string& address : more)
      if (std::find(wanted.begin(), wanted.end(), address) == wanted.end()) wanted.push_back(address);
  };
  if (lost_ || cores_.empty()) add(options_.seeds);
  if (lost_) add(asking_.heard());
  add(asking_.asked());
  wire_.set_targets(wanted);
}

void Follower::link_up(transport::LinkId link, const std::string& address) {
  const auto& asked = asking_.asked();
  if (std::find(asked.begin(), asked.end(), address) != asked.end()) {
    edges_.push_back(link);
    wire_.send(link, protocol::pack(protocol::CoreQuery{}));
    return;
  }
  up_.push_back(link);
  wire_.send(link, hello());
}

void Follower::link_down(transport::LinkId link) {
  std::erase(up_, link);
  std::erase(edges_, link);
  if (link == leader_link_) leader_link_ = 0;
}

bool Follower::want(Time now, std::vector<protocol::Tokens> tokens) {
  if (!can_request_tokens(now)) return false;
  asked_at_ = now;
  want_due_ = now + want_for;
  return wire_.send(leader_link_, protocol::pack(protocol::TokenRequest{options_.incarnation, ++asked_,
                                                                        std::move(tokens)}));
}

bool Follower::ask(const pramperet::Ask& ask) {
  return leader_link_ != 0 && wire_.send(leader_link_, protocol::pack(ask));
}

bool Follower::frame(Time now, transport::LinkId link, std::string_view bytes) {
  auto message = protocol::unpack(bytes);
  if (!message) {
    ++unread_;
    return false;
  }
  if (std::find(up_.begin(), up_.end(), link) == up_.end()) {
    hear_edge(link, *message);
    return false;
  }
  if (const auto* standing = std::get_if<protocol::StateSnapshot>(&*message)) {
    if (standing->at == protocol::Position{}) {
      if (view_.at() != protocol::Position{} || provisional_.size() >= most_provisional) return false;
      if (provisional_due_ == Time::max()) provisional_due_ = now + leader_may_come;
      provisional_.push_back(*standing);
      return false;
    }
    auto result = view_.apply(now, *standing);
    if (result == ClusterView::ApplyResult::applied && standing->complete) listed_ = true;
    return taken(now, link, result);
  }
  if (const auto* changes = std::get_if<protocol::Changes>(&*message))
    return taken(now, link, view_.apply(now, *changes));
  if (const auto* ping = std::get_if<protocol::Ping>(&*message)) return taken(now, link, view_.apply(*ping));
  if (const auto* grant = std::get_if<protocol::TokenGrant>(&*message)) {
    // Their incarnation is counted from the asking: the leader's count of them begins later.
    if (grant->number != asked_) return false;
    want_due_ = asked_at_ + want_every;
    for (const protocol::Tokens& each : grant->tokens)
      granted_.emplace_back(asked_at_ + nuvolau::token_life, each);
    return false;
  }
  if (const auto* tell = std::get_if<pramperet::Tell>(&*message)) {
    tells_.push_back(*tell);
    return false;
  }
  if (const auto* neighbours = std::get_if<protocol::Neighbours>(&*message))
    if (link == leader_link_) asking_.set_neighbours(neighbours->edges);
  if (const auto* welcome = std::get_if<protocol::Welcome>(&*message)) take_welcome(*welcome);
  return false;
}

// A member that is behind must not take us back to members that are gone: within a term only the leader is
// believed over the leader.
void Follower::take_welcome(const protocol::Welcome& welcome) {
  if (welcome.cores.empty() || welcome.term < cores_term_) return;
  if (welcome.term == cores_term_ && cores_by_leader_ && !welcome.leads) return;
  cores_by_leader_ = welcome.leads;
  cores_term_ = welcome.term;
  bool found = lost_ && welcome.leads;
  if (cores_ == welcome.cores && !found) return;
  cores_ = welcome.cores;
  if (found) {
    lost_ = false;
    asking_.forget();
  }
  keep_links();
}

// On a link that is to no member. An edge tells what members told it, and never what it heard of edges: a lie
// goes no further than one step.
void Follower::hear_edge(transport::LinkId link, const protocol::Message& message) {
  if (std::get_if<protocol::CoreQuery>(&message)) {
    wire_.send(link, protocol::pack(protocol::CoreAddresses{cores_term_, cores_}));
    return;
  }
  const auto* there = std::get_if<protocol::CoreAddresses>(&message);
  if (!there || std::find(edges_.begin(), edges_.end(), link) == edges_.end()) return;
  if (!lost_ || there->term < view_.at().term) return;
  asking_.hear(there->cores);
  keep_links();
}

bool Follower::taken(Time now, transport::LinkId link, ClusterView::ApplyResult taken) {
  if (taken == ClusterView::ApplyResult::stale) return false;
  news_ = now;
  leader_link_ = link;
  if (taken == ClusterView::ApplyResult::gap) {
    wire_.send(link, hello());
    return false;
  }
  if (!has_nodes_ && !view_.nodes().all().empty()) {
    has_nodes_ = true;
    first_nodes_ = now;
  }
  wire_.send(link, ack());
  return true;
}

// Also lets dead links be found out: who is gone acknowledges nothing.
bool Follower::tick(Time now) {
  bool changed = take_provisional(now);
  bool silent = this->silent(now);
  if (asking_.tick(now, silent, !up_.empty())) keep_links();
  if (now < touch_due_) return changed;
  touch_due_ = now + touch_every;
  std::string word = silent ? hello() : ack();
  for (transport::LinkId link : std::vector(up_)) wire_.send(link, word);
  if (silent) {
    lost_ = true;
    keep_links();
  }
  if (!listed_ && has_nodes_ && now - first_nodes_ > gather_at_most) listed_ = true;
  return changed;
}

// Nobody leads: what members have applied will do until somebody does. Nothing in it is newer than what a
// leader will say, and all of it was in force.
bool Follower::take_provisional(Time now) {
  if (now < provisional_due_) return false;
  provisional_due_ = Time::max();
  std::vector<protocol::StateSnapshot> told = std::exchange(provisional_, {});
  if (view_.at() != protocol::Position{}) return false;
  for (const protocol::StateSnapshot& standing : told) view_.apply(now, standing);
  listed_ = view_.is_usable();
  return true;
}

void Follower::farewell() {
  for (transport::LinkId link : std::vector(up_))
    wire_.send(link, protocol::pack(protocol::Goodbye{options_.incarnation}));
}

}  // namespace pearspar::subscription
