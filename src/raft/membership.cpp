// Membership changes: adding new voters, replacing voters that lost their disk, and removing voters that shut
// down or fail. Each entry adds or removes one voter, so that majorities before and after it overlap.
#include <algorithm>

#include "raft/core.h"

namespace pearspar::raft {
namespace {

constexpr Index max_lag_entries = 8;  // of a member that is about to be added

}  // namespace

void Core::sync_peers(Time now) {
  for (const Member& voter : log_.membership().voters) {
    if (voter.id == self_) continue;
    auto [peer, inserted] = peers_.try_emplace(voter.id);
    if (inserted) {
      peer->second.next = log_.last() + 1;
      peer->second.last_contact = now;  // a new leader assumes that every voter is alive
    }
    peer->second.address = voter.address;
    peer->second.voter = true;
  }
  std::erase_if(peers_,
                [&](const auto& peer) { return peer.second.voter && !log_.membership().has(peer.first); });
}

bool Core::is_alive(Time now, const Peer& peer) const {
  return now - peer.last_contact < options_.timing.min_election_timeout;
}

// Leave messages are repeated; a member that stopped sending them is treated like any silent voter.
bool Core::is_leaving(Time now, const Peer& peer) const {
  return peer.asked_to_leave != Time{} && now - peer.asked_to_leave < options_.timing.silent_voter_timeout;
}

// Lets join and leave messages reach the leader through any member.
void Core::forward_to_leader(Time now, const Message& message) {
  if (leader_ == 0 || leader_ == message.from || !leader_is_alive(now) || message.from == 0) return;
  if (message.from_address == leader_address_) return;
  Message forwarded = message;
  forwarded.to = leader_;
  out_.push_back({leader_address_, std::move(forwarded)});
}

void Core::on_join(Time now, const Message& join) {
  if (role_ != Role::leader) return forward_to_leader(now, join);
  if (log_.membership().has(join.from)) return;
  auto [peer, inserted] = peers_.try_emplace(join.from);
  peer->second.address = join.from_address;
  peer->second.first_start = join.flag;
  peer->second.capabilities = join.capabilities;
  peer->second.asked_to_leave = {};
  if (inserted) {
    peer->second.next = std::min(join.index, log_.last()) + 1;
    peer->second.last_contact = now;
    send_to(now, join.from, peer->second, false);
  }
}

void Core::on_leave(Time now, const Message& leave) {
  if (role_ != Role::leader) return forward_to_leader(now, leave);
  bool is_voter = log_.membership().has(leave.from);
  auto [peer, inserted] = peers_.try_emplace(leave.from);
  if (inserted) {
    // Already removed by an entry that it does not know of; replicate the log to it until it does.
    peer->second.address = leave.from_address;
    peer->second.next = std::min(leave.index, log_.last()) + 1;
  }
  peer->second.last_contact = peer->second.asked_to_leave = now;
  if (inserted) return send_to(now, leave.from, peer->second, false);
  if (is_voter) change_membership(now);
}

// If there is a surplus voter, this member keeps acknowledging entries until it has been removed.
void Core::leave(Time now) {
  leaving_ = true;
  leave_due_ = now;
  transfer_leadership(now);
}

// True once the entry that removes this member is committed: a majority of the voters that stay then holds it
// and everything before it. Without a surplus voter the shutdown is a restart: it remains a voter and may
// stop at once, unless the leader has told it to wait for a new voter.
bool Core::may_shut_down() const {
  const Membership& membership = log_.membership();
  if (membership.has(self_)) return membership.voters.size() <= membership.target_size && !told_to_stay_;
  return log_.membership_index() <= commit_;
}

bool Core::has_live_majority(Time now, const Membership& next) const {
  std::size_t alive = 0;
  for (const Member& voter : next.voters) {
    auto peer = peers_.find(voter.id);
    if (voter.id == self_ || (peer != peers_.end() && is_alive(now, peer->second))) ++alive;
  }
  return alive >= next.majority();
}

// True if the live voters are no majority without `id` while a new member is joining; waiting is pointless if
// none is.
bool Core::must_stay(Time now, MemberId id) const {
  const bool has_newcomer = std::any_of(peers_.begin(), peers_.end(), [&](const auto& peer) {
    return !peer.second.voter && peer.second.asked_to_leave == Time{} && is_alive(now, peer.second);
  });
  if (!has_newcomer || !log_.membership().has(id)) return false;
  std::size_t alive = id == self_ ? 0 : 1;
  for (const auto& [other, peer] : peers_)
    if (peer.voter && other != id && is_alive(now, peer)) ++alive;
  return alive < log_.membership().majority();
}

// A new leader does not know of joining members until they ask it, so its first messages clear nothing.
void Core::update_told_to_stay(Time now, bool stay) {
  if (stay) {
    told_to_stay_ = true;
    stay_told_ = now;
  } else if (now - stay_told_ >= 2 * options_.timing.join_interval) {
    told_to_stay_ = false;
  }
}

std::optional<Membership> Core::membership_without(Time now, MemberId id) const {
  Membership next = log_.membership();
  std::erase_if(next.voters, [&](const Member& voter) { return voter.id == id; });
  if (id == self_ || next.voters.empty() || !has_live_majority(now, next)) return std::nullopt;
  return next;
}

// Removes a voter that asked to leave, if there is a surplus voter.
std::optional<Membership> Core::membership_without_leaver(Time now) const {
  if (log_.membership().voters.size() <= log_.membership().target_size) return std::nullopt;
  for (const auto& [id, peer] : peers_)
    if (peer.voter && is_leaving(now, peer))
      if (auto next = membership_without(now, id)) return next;
  return std::nullopt;
}

// Whether a joining member lacks only the last few entries. One that asked to leave does not count until it
// asks to join again, even if it still responds.
bool Core::nearly_caught_up(Time now, const Peer& peer) const {
  return !peer.voter && peer.asked_to_leave == Time{} && is_alive(now, peer) &&
         peer.match + max_lag_entries >= log_.last();
}

bool Core::caught_up(Time now, const Peer& peer) const {
  return nearly_caught_up(now, peer) && peer.match >= commit_;
}

bool Core::has_voter_at(const std::string& address) const {
  const auto& voters = log_.membership().voters;
  return std::any_of(voters.begin(), voters.end(),
                     [&](const Member& voter) { return voter.address == address; });
}

// Removes a silent voter if a caught-up member with another id responds from its address: its disk was
// replaced. The new id is added by a separate entry. If one entry did both, majorities before and after it,
// such as {A, C} and {B, C'}, might not overlap when the old disk returns. Removing one of 2k + 1 voters
// leaves the quorum at k + 1. While the group is below its target size, members about to join are added
// first.
std::optional<Membership> Core::membership_without_replaced(Time now) const {
  if (log_.membership().voters.size() < log_.membership().target_size)
    for (const auto& [id, peer] : peers_)
      if (nearly_caught_up(now, peer) && !has_voter_at(peer.address)) return std::nullopt;
  for (const auto& [id, peer] : peers_) {
    if (!caught_up(now, peer)) continue;
    for (const auto& [old_id, old_peer] : peers_)
      if (old_peer.voter && old_peer.address == peer.address && !is_alive(now, old_peer))
        if (auto next = membership_without(now, old_id)) return next;
  }
  return std::nullopt;
}

std::optional<Membership> Core::membership_with_newcomer(Time now) const {
  Membership next = log_.membership();
  for (const auto& [id, peer] : peers_) {
    if (!caught_up(now, peer) || has_voter_at(peer.address)) continue;
    next.voters.push_back({id, peer.address});
    if (peer.first_start) ++next.target_size;
    return next;
  }
  return std::nullopt;
}

// Removes the voter that has been silent for longest if there is a surplus voter. Waits while another voter
// is leaving, since otherwise two would be removed for one replacement.
std::optional<Membership> Core::membership_without_silent(Time now) const {
  if (log_.membership().voters.size() <= log_.membership().target_size) return std::nullopt;
  MemberId silent = 0;
  Time silent_since = now - options_.timing.silent_voter_timeout;
  for (const auto& [id, peer] : peers_) {
    if (!peer.voter) continue;
    if (is_leaving(now, peer)) return std::nullopt;
    if (peer.last_contact < silent_since) silent = id, silent_since = peer.last_contact;
  }
  return silent == 0 ? std::nullopt : membership_without(now, silent);
}

// One change at a time, and none before an entry of the own term is committed. Voters that leave come first,
// then voters whose disk was replaced, then new members, then silent voters.
void Core::change_membership(Time now) {
  if (role_ != Role::leader || commit_ < term_start_ || log_.membership_index() > commit_) return;
  std::optional<Membership> next = membership_without_leaver(now);
  if (!next) next = membership_without_replaced(now);
  if (!next) next = membership_with_newcomer(now);
  if (!next) next = membership_without_silent(now);
  if (!next) {
    std::erase_if(peers_, [&](const auto& peer) {
      return !peer.second.voter && now - peer.second.last_contact > 4 * options_.timing.silent_voter_timeout;
    });
    return;
  }
  Entry entry;
  entry.kind = EntryKind::membership;
  entry.membership = std::move(*next);
  if (!append_local(std::move(entry))) return transfer_leadership(now);
  sync_peers(now);
  for (auto& [id, peer] : peers_) send_to(now, id, peer, false);
  advance_commit(now);
}

}  // namespace pearspar::raft
