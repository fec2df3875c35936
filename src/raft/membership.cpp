// Who counts: newcomers are taken in, who lost its disk is replaced, who ends or is gone leaves. One entry at
// a time, each taking one voter in or one out, so that the majorities before it and after it share a member.
#include <algorithm>

#include "raft/core.h"

namespace pearspar::raft {

void Core::sync_peers(Time now) {
  for (const Member& voter : log_.membership().voters) {
    if (voter.id == self_) continue;
    auto [peer, fresh] = peers_.try_emplace(voter.id);
    if (fresh) {
      peer->second.next = log_.last() + 1;
      peer->second.last_contact = now;  // a new leader gives everybody the time of a silence
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

// It says so again and again; whoever ended without being let go is silent like any other.
bool Core::is_leaving(Time now, const Peer& peer) const {
  return peer.asked_to_leave != Time{} && now - peer.asked_to_leave < options_.timing.silent_voter_timeout;
}

// To a leader that lives from whoever follows it: joins and leaves find it by any member.
void Core::forward_to_leader(Time now, const Message& message) {
  if (leader_ == 0 || leader_ == message.from || !leader_is_alive(now) || message.from == 0) return;
  if (message.from_address == leader_address_) return;
  Message onward = message;
  onward.to = leader_;
  out_.push_back({leader_address_, std::move(onward)});
}

void Core::on_join(Time now, const Message& join) {
  if (role_ != Role::leader) return forward_to_leader(now, join);
  if (log_.membership().has(join.from)) return;
  auto [peer, fresh] = peers_.try_emplace(join.from);
  peer->second.address = join.from_address;
  peer->second.first_start = join.flag;
  peer->second.capabilities = join.capabilities;
  peer->second.asked_to_leave = {};
  if (fresh) {
    peer->second.next = std::min(join.index, log_.last()) + 1;
    peer->second.last_contact = now;
    send_to(now, join.from, peer->second, false);
  }
}

void Core::on_leave(Time now, const Message& leave) {
  if (role_ != Role::leader) return forward_to_leader(now, leave);
  bool counts = log_.membership().has(leave.from);
  auto [peer, fresh] = peers_.try_emplace(leave.from);
  if (fresh) {
    // Out already, by an entry that it does not know of: it is told of the log until it does.
    peer->second.address = leave.from_address;
    peer->second.next = std::min(leave.index, log_.last()) + 1;
  }
  peer->second.last_contact = peer->second.asked_to_leave = now;
  if (fresh) return send_to(now, leave.from, peer->second, false);
  if (counts) change_membership(now);
}

// Asked to end. Where a successor stands this member goes on acknowledging until it is out of the count.
void Core::leave(Time now) {
  leaving_ = true;
  leave_due_ = now;
  transfer_leadership(now);
}

// Nothing that is agreed on rests on this member any more than on one that was never here: it is out of the
// count by an entry that a majority of those who stay holds, with all before it. Or nobody stands in for it:
// then its end is that of a restart, and it stays in the count; unless the leader says that it is needed
// until a newcomer is in.
bool Core::may_shut_down() const {
  const Membership& membership = log_.membership();
  if (membership.has(self_)) return membership.voters.size() <= membership.target_size && !told_to_stay_;
  return log_.membership_index() <= commit_;
}

// Voters that live are a majority of it: what it changes can be agreed on under it, and goes on being so.
bool Core::has_live_majority(Time now, const Membership& next) const {
  std::size_t living = 0;
  for (const Member& voter : next.voters) {
    auto peer = peers_.find(voter.id);
    if (voter.id == self_ || (peer != peers_.end() && is_alive(now, peer->second))) ++living;
  }
  return living >= next.majority();
}

// Those that live are no majority without it, and a newcomer is about to come in: as soon as that one counts,
// the others can do without it. Where nobody is coming, waiting would change nothing.
bool Core::must_stay(Time now, MemberId id) const {
  const bool newcomer = std::any_of(peers_.begin(), peers_.end(), [&](const auto& peer) {
    return !peer.second.voter && peer.second.asked_to_leave == Time{} && is_alive(now, peer.second);
  });
  if (!newcomer || !log_.membership().has(id)) return false;
  std::size_t living = id == self_ ? 0 : 1;
  for (const auto& [other, peer] : peers_)
    if (peer.voter && other != id && is_alive(now, peer)) ++living;
  return living < log_.membership().majority();
}

// A new leader knows of newcomers only when they have asked it: its first words release nobody.
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

// Who asked to end, while a successor stands.
std::optional<Membership> Core::membership_without_leaver(Time now) const {
  if (log_.membership().voters.size() <= log_.membership().target_size) return std::nullopt;
  for (const auto& [id, peer] : peers_)
    if (peer.voter && is_leaving(now, peer))
      if (auto next = membership_without(now, id)) return next;
  return std::nullopt;
}

// All but the last few entries are there. Who asked to end is not taken in until it asks to be: it may be
// gone at any moment, whatever of its answers is still on its way.
bool Core::nearly_caught_up(Time now, const Peer& peer) const {
  return !peer.voter && peer.asked_to_leave == Time{} && is_alive(now, peer) && peer.match + 8 >= log_.last();
}

bool Core::caught_up(Time now, const Peer& peer) const {
  return nearly_caught_up(now, peer) && peer.match >= commit_;
}

bool Core::has_voter_at(const std::string& address) const {
  const auto& voters = log_.membership().voters;
  return std::any_of(voters.begin(), voters.end(),
                     [&](const Member& voter) { return voter.address == address; });
}

// A voter that is silent, and from whose address somebody else speaks who has caught up: its disk is lost, or
// away. It goes by one entry, its successor comes by the next. Put in its place by a single one, the two
// counts would share only those who stay: {A, C} and {B, C'} have nobody in common, should the old disk come
// back. Nothing is lost by the shrink: a dead voter of n = 2k + 1 leaves 2k, and both need k + 1 that live.
// Where a voter is lacking already it waits for the newcomer who is about to come in.
std::optional<Membership> Core::membership_without_replaced(Time now) const {
  if (log_.membership().voters.size() < log_.membership().target_size)
    for (const auto& [id, peer] : peers_)
      if (nearly_caught_up(now, peer) && !has_voter_at(peer.address)) return std::nullopt;
  for (const auto& [id, peer] : peers_) {
    if (!caught_up(now, peer)) continue;
    for (const auto& [old, before] : peers_)
      if (before.voter && before.address == peer.address && !is_alive(now, before))
        if (auto next = membership_without(now, old)) return next;
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

// The one silent for longest, while more stand than are wanted. Not while somebody who said so is on its way
// out: two would go where one was replaced.
std::optional<Membership> Core::membership_without_silent(Time now) const {
  if (log_.membership().voters.size() <= log_.membership().target_size) return std::nullopt;
  MemberId silent = 0;
  Time least = now - options_.timing.silent_voter_timeout;
  for (const auto& [id, peer] : peers_) {
    if (!peer.voter) continue;
    if (is_leaving(now, peer)) return std::nullopt;
    if (peer.last_contact < least) silent = id, least = peer.last_contact;
  }
  return silent == 0 ? std::nullopt : membership_without(now, silent);
}

// One change at a time, and none before this term has committed something. First who asked to end, then room
// for who has lost its disk, then newcomers, last the silent.
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
