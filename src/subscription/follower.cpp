#include "subscription/follower.h"

#include <algorithm>

#include "retry_tokens/token_pool.h"

namespace pearspar::subscription {
namespace {

using namespace std::chrono_literals;

constexpr Duration contact_interval = 1s;
constexpr Duration max_leader_silence = 3500ms;  // three missed pings
constexpr Duration provisional_delay = 120ms;    // time for a leader to send its snapshot first
constexpr std::size_t max_provisional = 8;
constexpr Duration token_request_interval = 100ms;
constexpr Duration token_request_timeout = 500ms;
constexpr Duration max_list_wait = 1500ms;    // then an incomplete list of nodes is used
constexpr Duration max_update_delay = 500ms;  // of the leader's updates, on their way
constexpr Duration clock_margin = 100ms;      // clocks of two machines do not run equally fast
// Room is left for a member to apply the change, and for requests that are on their way.
constexpr double max_configuration_lag_share = 0.6;

}  // namespace

void FollowerOptions::set_configuration_bound(Duration config_within) {
  lease_lifetime = std::max(Duration{}, config_within - clock_margin);
  confirmation_lifetime = std::max(Duration{}, config_within - max_update_delay);
  max_configuration_lag = config_within * max_configuration_lag_share;
}

Follower::Follower(transport::Transport& transport, FollowerOptions options)
    : transport_(transport),
      options_(std::move(options)),
      watch_(options_.max_configuration_lag, options_.incarnation),
      lease_(options_.lease_lifetime),
      discovery_(options_.incarnation) {}

void Follower::start(Time now) {
  last_update_ = last_tick_ = now;
  next_contact_ = now + contact_interval;
  transport_.set_targets(options_.seeds);
}

void Follower::set_seeds(std::vector<std::string> seeds) {
  options_.seeds = std::move(seeds);
  if (core_addresses_.empty()) transport_.set_targets(options_.seeds);
}

std::string Follower::hello() const {
  return protocol::pack(protocol::Hello{options_.incarnation, protocol::FollowerKind::edge, options_.name,
                                        options_.zone, view_.at(), view_.revision(), options_.address, true});
}

std::string Follower::ack(std::uint64_t renewal) const {
  return protocol::pack(protocol::Ack{options_.incarnation, view_.at(), view_.revision(), coverage_,
                                      view_.nodes().digest(), renewal});
}

Time Follower::renewal_due() const {
  return renewing_links_.empty() || !has_newest_configuration() ? Time::max() : lease_.request_due();
}

void Follower::request_renewal(Time now) {
  const bool asks_all = !leader_renews_leases() || lease_.needs_votes(now);
  const std::string request = ack(lease_.request(now));
  for (transport::LinkId link : std::set(renewing_links_))
    if (asks_all || link == leader_link_) transport_.send(link, request);
}

bool Follower::leader_renews_leases() const {
  return leader_link_ != 0 && renewing_links_.count(leader_link_) != 0;
}

// A revision that differs from the edge's own renews nothing: the one or the other has been replaced.
void Follower::handle_renewal(const protocol::LeaseRenewal& renewal) {
  if (has_newest_configuration() && renewal.revision == view_.revision()) lease_.renew(renewal.number);
}

void Follower::handle_vote(const protocol::LeaseVote& vote) {
  if (has_newest_configuration() && vote.revision == view_.revision()) lease_.on_vote(vote);
}

void Follower::set_leader_link(transport::LinkId link) {
  if (link != leader_link_) lease_.on_leader_changed();
  leader_link_ = link;
}

bool Follower::leader_is_silent(Time now) const { return now - last_update_ > max_leader_silence; }

// While the core is lost, also dials the seeds and the addresses received from edges.
void Follower::update_targets() {
  std::vector<std::string> targets = core_addresses_;
  auto add = [&](const std::vector<std::string>& addresses) {
    for (const std::string& address : addresses)
      if (std::find(targets.begin(), targets.end(), address) == targets.end()) targets.push_back(address);
  };
  if (core_lost_ || core_addresses_.empty()) add(options_.seeds);
  if (core_lost_) add(discovery_.candidates());
  add(discovery_.queried());
  transport_.set_targets(targets);
}

void Follower::link_up(transport::LinkId link, const std::string& address) {
  const auto& queried = discovery_.queried();
  if (std::find(queried.begin(), queried.end(), address) != queried.end()) {
    edge_links_.push_back(link);
    transport_.send(link, protocol::pack(protocol::CoreQuery{}));
    return;
  }
  member_links_.push_back(link);
  transport_.send(link, hello());
}

void Follower::link_down(transport::LinkId link) {
  std::erase(member_links_, link);
  std::erase(edge_links_, link);
  renewing_links_.erase(link);
  watch_.on_link_down(link);
  if (link == leader_link_) leader_link_ = 0;
}

bool Follower::request_tokens(Time now, std::vector<protocol::Tokens> tokens) {
  if (!can_request_tokens(now)) return false;
  token_request_at_ = now;
  token_request_due_ = now + token_request_timeout;
  return transport_.send(leader_link_, protocol::pack(protocol::TokenRequest{
                                           options_.incarnation, ++token_request_, std::move(tokens)}));
}

bool Follower::send_quota_request(const quota::QuotaRequest& request) {
  return leader_link_ != 0 && transport_.send(leader_link_, protocol::pack(request));
}

bool Follower::send_rollout_report(const rollout::RolloutReport& report) {
  return leader_link_ != 0 && transport_.send(leader_link_, protocol::pack(report));
}

bool Follower::link_frame(Time now, transport::LinkId link, std::string_view bytes) {
  auto message = protocol::unpack(bytes);
  if (!message) {
    ++unreadable_frames_;
    return false;
  }
  if (std::find(member_links_.begin(), member_links_.end(), link) == member_links_.end()) {
    handle_edge_message(link, *message);
    return false;
  }
  if (const auto* snapshot = std::get_if<protocol::StateSnapshot>(&*message)) {
    if (snapshot->at == protocol::Position{}) return handle_provisional(now, link, *snapshot);
    auto result = view_.apply(now, *snapshot);
    if (result == ClusterView::ApplyResult::applied && snapshot->complete) list_complete_ = true;
    record_arrival(now, ConfigurationSource::leader_state);
    return handle_result(now, link, result);
  }
  if (const auto* changes = std::get_if<protocol::Changes>(&*message)) {
    auto result = view_.apply(now, *changes);
    record_arrival(now, ConfigurationSource::leader_update);
    return handle_result(now, link, result);
  }
  if (const auto* ping = std::get_if<protocol::Ping>(&*message))
    return handle_result(now, link, view_.apply(*ping));
  if (const auto* renewal = std::get_if<protocol::LeaseRenewal>(&*message)) {
    handle_renewal(*renewal);
    return false;
  }
  if (const auto* vote = std::get_if<protocol::LeaseVote>(&*message)) {
    handle_vote(*vote);
    return false;
  }
  if (const auto* notice = std::get_if<protocol::ConfigurationNotice>(&*message)) {
    watch_.on_announced(now, {link, notice->zone == options_.zone}, notice->revision,
                        std::chrono::milliseconds(notice->age_ms));
    arrival_.on_announced(now, notice->revision, notice->age_ms);
    return false;
  }
  if (const auto* update = std::get_if<protocol::ConfigurationUpdate>(&*message))
    return handle_configuration(now, link, *update, ConfigurationSource::member_answer);
  if (const auto* grant = std::get_if<protocol::TokenGrant>(&*message)) {
    // Lifetimes count from the request, so that tokens expire here before they expire at the leader.
    if (grant->number != token_request_) return false;
    token_request_due_ = token_request_at_ + token_request_interval;
    for (const protocol::Tokens& each : grant->tokens)
      granted_tokens_.emplace_back(token_request_at_ + retry_tokens::token_lifetime, each);
    return false;
  }
  if (const auto* reply = std::get_if<quota::QuotaReply>(&*message)) {
    quota_replies_.push_back(*reply);
    return false;
  }
  if (const auto* grant = std::get_if<rollout::RolloutGrant>(&*message)) {
    rollout_grants_.push_back(*grant);
    return false;
  }
  if (const auto* neighbours = std::get_if<protocol::Neighbours>(&*message))
    if (link == leader_link_) discovery_.set_neighbours(neighbours->edges);
  if (const auto* welcome = std::get_if<protocol::Welcome>(&*message)) handle_welcome(link, *welcome);
  return false;
}

// A member that lags behind may send outdated addresses: within a term, addresses from the leader are
// replaced only by the leader.
void Follower::handle_welcome(transport::LinkId link, const protocol::Welcome& welcome) {
  if (welcome.renews_leases) renewing_links_.insert(link);
  if (welcome.core_addresses.empty() || welcome.term < core_term_) return;
  if (welcome.term == core_term_ && core_from_leader_ && !welcome.from_leader) return;
  core_from_leader_ = welcome.from_leader;
  core_term_ = welcome.term;
  bool found = core_lost_ && welcome.from_leader;
  if (core_addresses_ == welcome.core_addresses && !found) return;
  core_addresses_ = welcome.core_addresses;
  if (found) {
    core_lost_ = false;
    discovery_.clear_candidates();
  }
  update_targets();
}

// Handles a message on a link that does not lead to a member. Replies contain only addresses received from
// members, so that a wrong address from an edge spreads no further than one edge.
void Follower::handle_edge_message(transport::LinkId link, const protocol::Message& message) {
  if (std::get_if<protocol::CoreQuery>(&message)) {
    transport_.send(link, protocol::pack(protocol::CoreAddresses{core_term_, core_addresses_}));
    return;
  }
  const auto* core = std::get_if<protocol::CoreAddresses>(&message);
  if (!core || std::find(edge_links_.begin(), edge_links_.end(), link) == edge_links_.end()) return;
  if (!core_lost_ || core->term < view_.at().term) return;
  discovery_.add_candidates(core->addresses);
  update_targets();
}

// Acknowledged to the leader too, which counts the edges that lack the configuration.
bool Follower::handle_configuration(Time now, transport::LinkId link,
                                    const protocol::ConfigurationUpdate& update, ConfigurationSource source) {
  const catalog::Revision before = view_.revision();
  view_.apply(update);
  if (view_.revision() == before) {
    const bool is_whole = update.base == 0;
    if (is_whole && update.revision > before) watch_.on_unreadable(now, update.revision);
    return false;
  }
  arrival_.on_announced(now, update.revision, update.age_ms);
  record_arrival(now, source);
  watch_.on_adopted(now, view_.revision());
  transport_.send(link, ack());
  if (leader_link_ != 0 && leader_link_ != link) transport_.send(leader_link_, ack());
  return true;
}

// Kept until it is clear that no leader sends its state. Beside the leader's state only the configuration
// counts, if it is newer.
bool Follower::handle_provisional(Time now, transport::LinkId link, const protocol::StateSnapshot& snapshot) {
  if (view_.at() != protocol::Position{})
    return handle_configuration(now, link, {0, snapshot.revision, 0, snapshot.configuration},
                                ConfigurationSource::provisional_state);
  if (provisional_.size() >= max_provisional) return false;
  if (provisional_due_ == Time::max()) provisional_due_ = now + provisional_delay;
  provisional_.push_back(snapshot);
  return false;
}

void Follower::record_arrival(Time now, ConfigurationSource source) {
  arrival_.on_adopted(now, view_.revision(), source, watch_.behind_since());
}

void Follower::request_configuration(Time now) {
  if (const auto link = watch_.take_request(now))
    transport_.send(*link,
                    protocol::pack(protocol::ConfigurationRequest{options_.incarnation, view_.revision()}));
}

bool Follower::handle_result(Time now, transport::LinkId link, ClusterView::ApplyResult result) {
  if (result == ClusterView::ApplyResult::stale) return false;
  last_update_ = now;
  set_leader_link(link);
  watch_.on_adopted(now, view_.revision());
  watch_.on_announced(now, {link, false}, view_.announced_revision());
  if (result == ClusterView::ApplyResult::gap) {
    transport_.send(link, hello());
    return false;
  }
  // Counts from before a pause of this process, in which another leader may have replaced the configuration.
  leader_heard_at_ = last_tick_;
  if (!leader_renews_leases() && has_newest_configuration() && view_.revision() == view_.announced_revision())
    lease_.extend(last_tick_ + options_.confirmation_lifetime);
  if (!has_nodes_ && !view_.nodes().all().empty()) {
    has_nodes_ = true;
    first_nodes_ = now;
  }
  transport_.send(link, ack());
  if (now >= renewal_due()) request_renewal(now);
  return true;
}

// The periodic messages also make TCP detect dead links, on which nothing is acknowledged.
bool Follower::tick(Time now) {
  last_tick_ = now;
  bool changed = apply_provisional(now);
  request_configuration(now);
  bool silent = leader_is_silent(now);
  if (discovery_.tick(now, silent, !member_links_.empty())) update_targets();
  if (now >= renewal_due()) request_renewal(now);
  if (now < next_contact_) return changed;
  next_contact_ = now + contact_interval;
  std::string frame = silent ? hello() : ack();
  for (transport::LinkId link : std::vector(member_links_)) transport_.send(link, frame);
  if (silent) {
    core_lost_ = true;
    update_targets();
  }
  if (!list_complete_ && has_nodes_ && now - first_nodes_ > max_list_wait) list_complete_ = true;
  return changed;
}

// The leader's state has come first; it may lack a text that members have sent already.
bool Follower::adopt_newer(Time now, const std::vector<protocol::StateSnapshot>& snapshots) {
  const catalog::Revision before = view_.revision();
  for (const protocol::StateSnapshot& snapshot : snapshots)
    if (snapshot.revision > view_.revision())
      view_.apply(protocol::ConfigurationUpdate{0, snapshot.revision, 0, snapshot.configuration});
  record_arrival(now, ConfigurationSource::provisional_state);
  watch_.on_adopted(now, view_.revision());
  return view_.revision() != before;
}

// Without a leader, uses the state that members have applied: it was in force, and it is not newer than the
// state of the next leader. It may be far older, which is why it confirms nothing.
bool Follower::apply_provisional(Time now) {
  if (now < provisional_due_) return false;
  provisional_due_ = Time::max();
  std::vector<protocol::StateSnapshot> snapshots = std::exchange(provisional_, {});
  if (view_.at() != protocol::Position{}) return adopt_newer(now, snapshots);
  for (const protocol::StateSnapshot& snapshot : snapshots) view_.apply(now, snapshot);
  record_arrival(now, ConfigurationSource::provisional_state);
  watch_.on_adopted(now, view_.revision());
  list_complete_ = view_.is_usable();
  return true;
}

void Follower::send_goodbye() {
  for (transport::LinkId link : std::vector(member_links_))
    transport_.send(link, protocol::pack(protocol::Goodbye{options_.incarnation}));
}

}  // namespace pearspar::subscription
