#include "vazzoler/follower.h"

#include <algorithm>

#include "retrytokens/token_pool.h"

namespace pearspar::vazzoler {
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

Follower::Follower(transport::Wire& wire, FollowerOptions options)
    : wire_(wire), options_(std::move(options)), asking_(options_.life) {}

void Follower::start(Time now) {
  news_ = now;
  touch_due_ = now + touch_every;
  wire_.keep(options_.seeds);
}

void Follower::set_seeds(std::vector<std::string> seeds) {
  options_.seeds = std::move(seeds);
  if (cores_.empty()) wire_.keep(options_.seeds);
}

std::string Follower::hello() const {
  return fanes::pack(fanes::Hello{options_.life, fanes::FollowerKind::edge, options_.name, options_.zone,
                                  view_.at(), view_.edition(), options_.address});
}

std::string Follower::ack() const {
  return fanes::pack(
      fanes::Ack{options_.life, view_.at(), view_.edition(), coverage_, view_.nodes().digest()});
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
  wire_.keep(wanted);
}

void Follower::link_up(transport::LinkId link, const std::string& address) {
  const auto& asked = asking_.asked();
  if (std::find(asked.begin(), asked.end(), address) != asked.end()) {
    edges_.push_back(link);
    wire_.send(link, fanes::pack(fanes::Where{}));
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

bool Follower::want(Time now, std::vector<fanes::Tokens> tokens) {
  if (!may_want(now)) return false;
  asked_at_ = now;
  want_due_ = now + want_for;
  return wire_.send(leader_link_, fanes::pack(fanes::Want{options_.life, ++asked_, std::move(tokens)}));
}

bool Follower::ask(const pramperet::Ask& ask) {
  return leader_link_ != 0 && wire_.send(leader_link_, fanes::pack(ask));
}

bool Follower::frame(Time now, transport::LinkId link, std::string_view bytes) {
  auto message = fanes::unpack(bytes);
  if (!message) {
    ++unread_;
    return false;
  }
  if (std::find(up_.begin(), up_.end(), link) == up_.end()) {
    hear_edge(link, *message);
    return false;
  }
  if (const auto* standing = std::get_if<fanes::Standing>(&*message)) {
    if (standing->at == fanes::Position{}) {
      if (view_.at() != fanes::Position{} || provisional_.size() >= most_provisional) return false;
      if (provisional_due_ == Time::max()) provisional_due_ = now + leader_may_come;
      provisional_.push_back(*standing);
      return false;
    }
    auto result = view_.apply(now, *standing);
    if (result == View::Taken::news && standing->complete) listed_ = true;
    return taken(now, link, result);
  }
  if (const auto* changes = std::get_if<fanes::Changes>(&*message))
    return taken(now, link, view_.apply(now, *changes));
  if (const auto* ping = std::get_if<fanes::Ping>(&*message)) return taken(now, link, view_.apply(*ping));
  if (const auto* grant = std::get_if<fanes::Grant>(&*message)) {
    // Their life is counted from the asking: the leader's count of them begins later.
    if (grant->number != asked_) return false;
    want_due_ = asked_at_ + want_every;
    for (const fanes::Tokens& each : grant->tokens)
      granted_.emplace_back(asked_at_ + retrytokens::token_lifetime, each);
    return false;
  }
  if (const auto* tell = std::get_if<pramperet::Tell>(&*message)) {
    tells_.push_back(*tell);
    return false;
  }
  if (const auto* neighbours = std::get_if<fanes::Neighbours>(&*message))
    if (link == leader_link_) asking_.set_neighbours(neighbours->edges);
  if (const auto* welcome = std::get_if<fanes::Welcome>(&*message)) take_welcome(*welcome);
  return false;
}

// A member that is behind must not take us back to members that are gone: within a term only the leader is
// believed over the leader.
void Follower::take_welcome(const fanes::Welcome& welcome) {
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
void Follower::hear_edge(transport::LinkId link, const fanes::Message& message) {
  if (std::get_if<fanes::Where>(&message)) {
    wire_.send(link, fanes::pack(fanes::There{cores_term_, cores_}));
    return;
  }
  const auto* there = std::get_if<fanes::There>(&message);
  if (!there || std::find(edges_.begin(), edges_.end(), link) == edges_.end()) return;
  if (!lost_ || there->term < view_.at().term) return;
  asking_.hear(there->cores);
  keep_links();
}

bool Follower::taken(Time now, transport::LinkId link, View::Taken taken) {
  if (taken == View::Taken::old) return false;
  news_ = now;
  leader_link_ = link;
  if (taken == View::Taken::behind) {
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
  std::vector<fanes::Standing> told = std::exchange(provisional_, {});
  if (view_.at() != fanes::Position{}) return false;
  for (const fanes::Standing& standing : told) view_.apply(now, standing);
  listed_ = view_.knows_enough();
  return true;
}

void Follower::farewell() {
  for (transport::LinkId link : std::vector(up_))
    wire_.send(link, fanes::pack(fanes::Farewell{options_.life}));
}

}  // namespace pearspar::vazzoler
