#include "control_plane/followers.h"

#include <algorithm>
#include <cmath>
#include <tuple>
#include <utility>

#include "protocol/delta.h"
#include "protocol/rollout_codec.h"

namespace pearspar::control_plane {
namespace {

using namespace std::chrono_literals;

constexpr Duration ping_interval = 1s;
constexpr Duration batch_delay = 10ms;  // changes within this time go out in one frame
constexpr Duration lease_duration = 2500ms;
// Unacknowledged full states. Bounds memory and the work per turn, whatever the number of followers; one
// state is always allowed.
constexpr std::size_t max_bytes_in_flight = 4 << 20;
// Recently removed nodes that are sent to followers that already have a list.
constexpr std::size_t max_recently_gone = 64;
constexpr std::size_t max_pushed_text_bytes = 16 << 10;  // of a configuration, to followers that can ask
constexpr std::size_t max_batch_bytes = 2 << 20;         // followers that lack more are sent the full state
constexpr Duration encoded_state_lifetime = 250ms;
constexpr std::size_t neighbour_checks_per_ping = 256;  // edges whose neighbours are checked
constexpr Duration transfer_timeout = 2s;               // then a full state no longer counts as in flight

}  // namespace

std::uint32_t remaining_cold_ms(Time now, const catalog::Node& node) {
  return static_cast<std::uint32_t>(std::max(0.0, Duration(node.cold_until - now).count() * 1000));
}

bool Followers::has_lease(Time now, const Follower& follower) {
  return now - follower.last_heard < lease_duration;
}

void Followers::open(Time now, raft::Term term, bool complete) {
  open_ = true;
  list_complete_ = complete;
  term_ = term;
  first_ = 1;
  configuration_position_ = {};
  changes_due_ = Time::max();
  journal_.clear();
  journal_bytes_ = 0;
  digests_.clear();
  encoded_states_.clear();
  for (auto& [link, follower] : followers_) {
    follower.synced = follower.list_unverified = follower.needs_list = false;
    follower.waiting_since = now;
    follower.full_state_bytes = 0;
    follower.full_state_position = {};
    follower.neighbours_version = 0;
    follower.neighbours.clear();
  }
  ping_due_ = now;
  all_synced_ = false;
}

void Followers::close() {
  open_ = false;
  renewals_.clear();
}

protocol::Position Followers::add(Time now, protocol::Change change) {
  if (changes_due_ == Time::max()) changes_due_ = now + batch_delay;
  journal_bytes_ += change.text.size();
  journal_.push_back(std::move(change));
  view_.apply_own(now, end(), journal_.back());
  digests_.push_back(view_.nodes().digest());
  // Followers that are behind the first change are sent the full state instead.
  while (journal_.size() > max_changes || (journal_bytes_ > max_journal_bytes && journal_.size() > 1)) {
    journal_bytes_ -= journal_.front().text.size();
    journal_.pop_front();
    digests_.pop_front();
    ++first_;
  }
  return end();
}

void Followers::add_configuration(Time now, const catalog::ConfigurationPtr& configuration) {
  protocol::Change change;
  change.kind = protocol::ChangeKind::configuration;
  change.revision = configuration->revision;
  change.text = configuration->text;
  if (const auto& before = view_.configuration()) {
    std::string delta = protocol::make_delta(before->text, configuration->text);
    if (delta.size() < change.text.size()) {
      change.kind = protocol::ChangeKind::configuration_delta;
      change.text = std::move(delta);
    }
  }
  configuration_position_ = add(now, std::move(change));
  changes_due_ = std::min(changes_due_, now);
  encoded_states_.clear();
}

protocol::Position Followers::add_service_versions(Time now, const catalog::ServiceVersions& versions) {
  protocol::Change change;
  change.kind = protocol::ChangeKind::service_versions;
  change.text = protocol::pack_service_versions(versions);
  return add(now, std::move(change));
}

void Followers::complete_list(Time now) {
  if (list_complete_) return;
  list_complete_ = true;
  protocol::Change change;
  change.kind = protocol::ChangeKind::list_complete;
  list_complete_position_ = add(now, std::move(change));
  encoded_states_.clear();
  all_synced_ = false;
  // An edge that is in sync may keep its list if the digest matches; members always need the full state,
  // since it also names the nodes that are gone for good.
  for (auto& [link, follower] : followers_) {
    follower.list_unverified = follower.synced && follower.kind == protocol::FollowerKind::edge;
    if (!follower.list_unverified) await_full_state(now, follower);
  }
}

void Followers::on_hello(Time now, LinkId link, const protocol::Hello& hello) {
  // A process has one link to this member: an older one of the same incarnation is stale.
  std::erase_if(followers_, [&](const auto& other) {
    return other.first != link && other.second.incarnation == hello.incarnation;
  });
  Follower& follower = followers_[link];
  // A hello that crossed a full state in flight: do not send it twice.
  if (open_ && follower.incarnation == hello.incarnation && follower.full_state_bytes > 0 &&
      now - follower.state_sent_at < transfer_timeout && hello.position < follower.full_state_position) {
    follower.last_heard = now;
    return;
  }
  follower.incarnation = hello.incarnation;
  follower.kind = hello.kind;
  follower.name = hello.name;
  follower.zone = hello.zone;
  if (hello.kind == protocol::FollowerKind::edge) follower.address = hello.address;
  follower.fetches_configurations = hello.fetches_configurations;
  neighbours_.add(link, follower.address, follower.zone);
  follower.revision = hello.revision;
  follower.last_heard = now;
  follower.sent = follower.acked = hello.position;
  follower.retry_at = {};
  const bool needs_configuration = !hello.fetches_configurations &&
                                   hello.position >= configuration_position_ &&
                                   hello.revision < view_.revision();
  if (!open_ || !list_complete_ || hello.position.term != term_ || hello.position.number + 1 < first_ ||
      hello.position > end() || needs_configuration) {
    await_full_state(now, follower);
  } else {
    follower.synced = true;
    follower.waiting_since = {};
  }
  follower.list_unverified = follower.synced && hello.kind == protocol::FollowerKind::edge;
  if (follower.synced && follower.sent < end()) changes_due_ = std::min(changes_due_, now);
}

void Followers::on_ack(Time now, LinkId link, const protocol::Ack& ack) {
  neighbours_.remove_expired(now);
  auto found = followers_.find(link);
  if (found == followers_.end()) found = move_to_link(now, link, ack);
  if (found == followers_.end() || found->second.incarnation != ack.incarnation) return;
  found->second.last_heard = now;
  found->second.acked = std::max(found->second.acked, ack.at);
  found->second.revision = ack.revision;
  found->second.coverage = ack.coverage;
  if (open_ && ack.renewal != 0) renewals_[link] = ack.renewal;
  if (ack.at >= found->second.full_state_position) found->second.full_state_bytes = 0;
  if (found->second.list_unverified && open_ && ack.at.term == term_ && ack.at >= list_complete_position_ &&
      ack.at <= end()) {
    found->second.list_unverified = false;
    if (ack.at.number < first_ || ack.node_list_digest != digests_[ack.at.number - first_])
      await_list(now, found->second);
  }
  // The follower skipped a configuration that it could not read or apply, and does not ask for it. A delta is
  // followed by the full state at once; a follower that cannot read that either (an older program) gets it
  // again with each ping.
  if (open_ && !found->second.fetches_configurations && configuration_position_ != protocol::Position{} &&
      ack.at >= configuration_position_ && ack.at.term == term_ && ack.revision < view_.revision()) {
    await_full_state(now, found->second);
    if (found->second.got_full_state) found->second.retry_at = found->second.state_sent_at + ping_interval;
  }
  if (!found->second.synced) all_synced_ = false;
}

// A hello that came late on an earlier link of the process made that one count. The link on which the process
// speaks is the live one: what was sent on the other and not acknowledged is sent again.
Followers::FollowerMap::iterator Followers::move_to_link(Time now, LinkId link, const protocol::Ack& ack) {
  const auto other = std::find_if(followers_.begin(), followers_.end(), [&](const auto& each) {
    return each.second.incarnation == ack.incarnation;
  });
  if (other == followers_.end()) return followers_.end();
  auto moved = followers_.extract(other);
  moved.key() = link;
  const auto place = followers_.insert(std::move(moved)).position;
  Follower& follower = place->second;
  neighbours_.add(link, follower.address, follower.zone);
  follower.full_state_bytes = 0;
  follower.full_state_position = {};
  follower.sent = ack.at;
  if (!open_ || ack.at.term != term_ || ack.at.number + 1 < first_ || ack.at > end())
    await_full_state(now, follower);
  else if (follower.sent < end())
    changes_due_ = std::min(changes_due_, now);
  return place;
}

void Followers::on_closed(LinkId link) {
  auto found = followers_.find(link);
  if (found == followers_.end()) return;
  neighbours_.disconnect(link, found->second.address);
  renewals_.erase(link);
  followers_.erase(found);
}

// Checks a bounded number of edges, and sends only lists of neighbours that have changed.
void Followers::add_neighbour_frames(Time now, std::vector<LinkFrame>& frames) {
  neighbours_.remove_expired(now);
  std::size_t checks_left = neighbour_checks_per_ping;
  for (auto& [link, follower] : followers_) {
    if (follower.address.empty() || !follower.synced || follower.neighbours_version == neighbours_.version())
      continue;
    if (checks_left-- == 0) return;
    follower.neighbours_version = neighbours_.version();
    auto edges = neighbours_.neighbours_of(follower.address, follower.zone);
    if (edges == follower.neighbours) continue;
    follower.neighbours = edges;
    frames.push_back({link, protocol::pack(protocol::Neighbours{std::move(edges)})});
  }
}

void Followers::append_nodes(Time now, protocol::StateSnapshot& standing) const {
  for (const auto& [id, node] : view_.nodes().all())
    standing.nodes.push_back({node, remaining_cold_ms(now, node)});
  standing.retired.assign(view_.nodes().retired().begin(), view_.nodes().retired().end());
}

std::string Followers::encode_provisional_state(
    Time now, const catalog::ConfigurationPtr& configuration,
    std::vector<catalog::ServiceVersions> service_versions) const {
  protocol::StateSnapshot standing;
  standing.complete = false;
  standing.edges = view_.edge_count();
  standing.revision = configuration->revision;
  standing.configuration = configuration->text;
  standing.service_versions = std::move(service_versions);
  append_nodes(now, standing);
  return protocol::pack(std::move(standing));
}

// A follower with a list of an earlier term, or of an earlier position, gets only the closing and the
// recently removed nodes: an incomplete state leaves the rest of its list untouched.
std::string Followers::encode_full_state(Time now, catalog::Revision known, bool has_list) const {
  protocol::StateSnapshot standing;
  standing.at = end();
  standing.complete = list_complete_ && !has_list;
  standing.edges = edges(now);
  standing.coverage = coverage(now);
  standing.revision = view_.revision();
  if (view_.revision() > known) standing.configuration = view_.configuration()->text;
  for (const auto& [service, versions] : view_.service_versions())
    standing.service_versions.push_back(versions);
  append_nodes(now, standing);
  if (has_list) {
    std::erase_if(standing.nodes, [](const protocol::NodeUpdate& news) { return !news.node.closing; });
    std::size_t old = standing.retired.size() - std::min(standing.retired.size(), max_recently_gone);
    standing.retired.erase(standing.retired.begin(),
                           standing.retired.begin() + static_cast<std::ptrdiff_t>(old));
  }
  return protocol::pack(std::move(standing));
}

const Followers::EncodedState& Followers::full_state_for(Time now, const Follower& follower, bool has_list) {
  // Who asks for configurations gets a newer one apart from the state, and mostly as a delta.
  const bool is_large = view_.configuration() && view_.configuration()->text.size() > max_pushed_text_bytes;
  const bool omits_text = follower.fetches_configurations && (follower.revision > 0 || is_large);
  const catalog::Revision known = omits_text ? view_.revision() : follower.revision;
  // A state without the newest configuration would not help a follower that could not apply the delta.
  std::erase_if(encoded_states_, [&](const auto& each) {
    const EncodedState& state = each.second;
    return now - state.when > encoded_state_lifetime || state.at.number + 1 < first_ ||
           state.at < configuration_position_;
  });
  EncodedState& state = encoded_states_[{std::min(known, view_.revision()), has_list}];
  if (state.bytes.empty() || (follower.sent.term == term_ && state.at < follower.sent))
    state = {encode_full_state(now, known, has_list), end(), now};
  return state;
}

std::size_t Followers::bytes_in_flight(Time now) const {
  std::size_t bytes = 0;
  for (const auto& [link, follower] : followers_)
    if (now - follower.state_sent_at < transfer_timeout) bytes += follower.full_state_bytes;
  return bytes;
}

std::vector<LinkFrame> Followers::take_frames(Time now) {
  std::vector<LinkFrame> frames;
  if (!open_) return frames;
  add_lease_renewals(frames);
  const bool ping = now >= ping_due_;
  if (ping) ping_due_ = now + ping_interval;
  const bool send_changes = now >= changes_due_;
  if (send_changes) changes_due_ = Time::max();
  if (!ping && !send_changes && all_synced_) return frames;
  all_synced_ = true;
  Batches batches;
  add_full_states(now, frames);
  const std::string ping_bytes =
      ping ? protocol::pack(protocol::Ping{end(), edges(now), coverage(now)}) : std::string();
  for (auto& [link, follower] : followers_) {
    if (follower.synced && follower.sent < end()) {
      if (send_changes) add_changes(now, link, follower, batches, frames);
    } else if (ping && follower.state_sent_at != now) {
      // Also to those that wait for a full state, so that they do not take the leader for lost.
      frames.push_back({link, ping_bytes});
    }
  }
  if (ping) add_neighbour_frames(now, frames);
  return frames;
}

void Followers::add_lease_renewals(std::vector<LinkFrame>& frames) {
  for (const auto& [link, number] : std::exchange(renewals_, {}))
    frames.push_back({link, protocol::pack(protocol::LeaseRenewal{number, view_.revision()})});
}

void Followers::add_changes(Time now, LinkId link, Follower& follower, Batches& batches,
                            std::vector<LinkFrame>& frames) {
  // The journal no longer reaches back to its position, or the changes do not fit into one frame.
  if (follower.sent.number + 1 < first_ || backlog_bytes(follower.sent) > max_batch_bytes) {
    await_full_state(now, follower);
    changes_due_ = std::min(changes_due_, now);
    return;
  }
  std::string& bytes = batches[{follower.sent.number, follower.fetches_configurations}];
  if (bytes.empty()) bytes = pack_changes(follower);
  frames.push_back({link, bytes});
  follower.got_full_state = false;
  follower.sent = end();
}

// Who asks for configurations is sent no large ones, since a member of its own zone has them too.
std::string Followers::pack_changes(const Follower& follower) const {
  protocol::Changes changes;
  changes.after = follower.sent;
  changes.changes.assign(journal_.begin() + static_cast<std::ptrdiff_t>(follower.sent.number + 1 - first_),
                         journal_.end());
  for (protocol::Change& change : changes.changes)
    if (follower.fetches_configurations && change.text.size() > max_pushed_text_bytes &&
        change.revision > 0) {
      change.kind = protocol::ChangeKind::configuration;
      change.text.clear();
    }
  return protocol::pack(std::move(changes));
}

void Followers::await_full_state(Time now, Follower& follower) {
  if (follower.waiting_since == Time{}) follower.waiting_since = now;
  follower.synced = follower.needs_list = false;
  all_synced_ = false;
}

void Followers::await_list(Time now, Follower& follower) {
  if (follower.waiting_since == Time{}) follower.waiting_since = now;
  follower.needs_list = true;
  all_synced_ = false;
}

std::vector<std::pair<const LinkId, Followers::Follower>*> Followers::waiting_followers(Time now) {
  std::vector<std::pair<const LinkId, Follower>*> waiting;
  for (auto& each : followers_)
    if (each.second.is_waiting()) waiting.push_back(&each);
  std::sort(waiting.begin(), waiting.end(), [now](const auto* a, const auto* b) {
    const bool a_lapsed = !has_lease(now, a->second), b_lapsed = !has_lease(now, b->second);
    return std::tie(a_lapsed, a->second.waiting_since, a->first) <
           std::tie(b_lapsed, b->second.waiting_since, b->first);
  });
  return waiting;
}

void Followers::add_full_states(Time now, std::vector<LinkFrame>& frames) {
  const auto is_waiting = [](const auto& each) { return each.second.is_waiting(); };
  if (std::none_of(followers_.begin(), followers_.end(), is_waiting)) return;
  std::size_t bytes = bytes_in_flight(now);
  if (bytes >= max_bytes_in_flight) {
    all_synced_ = false;
    return;
  }
  for (auto* each : waiting_followers(now)) {
    auto& [link, follower] = *each;
    if (now < follower.retry_at || bytes >= max_bytes_in_flight) {
      all_synced_ = false;
      continue;
    }
    const bool has_list =
        !follower.needs_list && follower.kind == protocol::FollowerKind::edge && follower.acked.term > 0;
    const EncodedState& state = full_state_for(now, follower, has_list);
    frames.push_back({link, state.bytes});
    bytes += state.bytes.size();
    follower.synced = follower.got_full_state = true;
    follower.waiting_since = {};
    follower.needs_list = false;
    follower.list_unverified = has_list && list_complete_;
    follower.sent = follower.full_state_position = state.at;
    if (state.at < end()) changes_due_ = std::min(changes_due_, now);
    follower.full_state_bytes = state.bytes.size();
    follower.state_sent_at = now;
  }
}

std::size_t Followers::backlog_bytes(protocol::Position after) const {
  if (journal_bytes_ <= max_batch_bytes) return journal_bytes_;
  std::size_t bytes = 0;
  for (std::size_t i = after.number + 1 - first_; i < journal_.size(); ++i) bytes += journal_[i].text.size();
  return bytes;
}

bool Followers::acknowledged(Time now, protocol::Position at) const {
  return std::all_of(followers_.begin(), followers_.end(), [&](const auto& follower) {
    return !has_lease(now, follower.second) || follower.second.acked >= at;
  });
}

std::uint32_t Followers::edges(Time now) const {
  return static_cast<std::uint32_t>(
      std::count_if(followers_.begin(), followers_.end(), [&](const auto& follower) {
        return follower.second.kind == protocol::FollowerKind::edge && has_lease(now, follower.second);
      }));
}

std::uint32_t Followers::coverage(Time now) const {
  double sum = 0, count = 0;
  for (const auto& [link, follower] : followers_)
    if (follower.kind == protocol::FollowerKind::edge && follower.coverage > 0 && has_lease(now, follower))
      sum += follower.coverage, ++count;
  return count > 0 ? static_cast<std::uint32_t>(std::lround(sum / count)) : 100;
}

}  // namespace pearspar::control_plane
