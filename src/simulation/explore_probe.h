// The search's look into a core: how long until it moves on its own, and guards taken out to see the search
// find what they keep. Nothing in service has one.
#pragma once

#include <algorithm>
#include <cmath>

#include "raft/core.h"

namespace pearspar::raft {

class Probe {
 public:
  static Time due(const Core& core) { return core.due_; }
  static Time lapses(const Core& core) {
    return core.last_leader_contact_ + core.options_.timing.min_election_timeout;
  }
  // What was drawn counts from now in whole steps, at least what was drawn; the next draw is always the same.
  // So two members that are alike stay so. What was due `before` stays: moved on with every step it would
  // never come on a slow clock.
  static void settle(Core& core, Time now, Duration step, std::uint64_t seed, Time before) {
    core.random_.seed(seed);
    if (core.due_ > now && core.due_ != before)
      core.due_ = now + std::ceil((core.due_ - now) / step - 1e-9) * step;
  }
  static void write_term(Core& core, Term term) { core.save_term(term, 0); }
  static void forget_promise(Core& core, Time now) { core.last_leader_contact_ = now - Duration(1000); }
  static std::size_t votes(const Core& core) { return core.votes_.size(); }
  static void lead(Core& core, Time now) { core.become_leader(now); }
  static bool leaving(const Core& core) { return core.leaving_; }
  static std::uint64_t round(const Core& core) { return core.round_; }
  static bool waits_for_start(const Core& core) { return core.commit_ < core.term_start_; }
  // What has come of another transfer is kept as if it were of this piece's; unchecked, the digest fits too.
  static void keep_of_another(Core& core, Message& piece, bool unchecked) {
    if (!core.incoming_ || piece.snapshot.index <= core.commit_) return;
    IncomingSnapshot& incoming = *core.incoming_;
    std::string held = std::move(incoming.snapshot.state);
    if (unchecked)
      piece.digest = state_digest(piece.offset == held.size() ? held + piece.snapshot.state : held);
    incoming.snapshot = piece.snapshot;
    incoming.snapshot.state = std::move(held);
    incoming.total = piece.total;
    incoming.digest = piece.digest;
  }
  // A vote of somebody outside is one of a voter who has not answered.
  static void count_outsider(Core& core, Message& vote) {
    if (vote.kind != MessageKind::vote_response && vote.kind != MessageKind::pre_vote_response) return;
    if (core.log_.membership().has(vote.from)) return;
    for (const Member& voter : core.log_.membership().voters)
      if (!core.votes_.contains(voter.id)) vote.from = voter.id;
  }
  static bool stand_outside(Core& core, Time now) {
    const Membership& membership = core.log_.membership();
    if (core.role_ != Core::Role::follower || now < core.due_) return false;
    if (membership.voters.empty() || membership.has(core.self_)) return false;
    core.role_ = Core::Role::pre_candidate;
    core.leader_ = 0;
    core.leader_address_.clear();
    core.votes_ = {{core.self_, true}};
    core.reset_candidate_timer(now);
    Message ask;
    ask.kind = MessageKind::pre_vote_request;
    ask.term = core.vote_.term + 1;
    ask.index = core.log_.last();
    ask.log_term = core.log_.last_term();
    for (const Member& voter : membership.voters) {
      ask.to = voter.id;
      core.send(voter.address, ask);
    }
    return true;
  }
  static void commit_older(Core& core, Time now) {
    if (core.role_ != Core::Role::leader) return;
    const Membership& membership = core.log_.membership();
    for (Index index = core.log_.last(); index > core.commit_; --index) {
      std::size_t held = 0;
      for (const Member& voter : membership.voters) {
        auto peer = core.peers_.find(voter.id);
        if (voter.id == core.self_ || (peer != core.peers_.end() && peer->second.match >= index)) ++held;
      }
      if (held < membership.majority()) continue;
      core.commit_ = index;
      core.apply_committed();
      return core.change_membership(now);
    }
  }
  // A change of members where one guard forbids it: the one before it is not committed, or nothing of the
  // own term is.
  static void change_again(Core& core, Time now, bool early) {
    if (core.role_ != Core::Role::leader) return;
    bool first = core.commit_<core.term_start_, second = core.log_.membership_index()> core.commit_;
    if (early ? !first || second : first || !second) return;
    std::optional<Membership> next = core.membership_without_leaver(now);
    if (!next) next = core.membership_without_replaced(now);
    if (!next) next = core.membership_with_newcomer(now);
    if (!next) next = core.membership_without_silent(now);
    if (!next) return;
    Entry entry;
    entry.kind = EntryKind::membership;
    entry.membership = std::move(*next);
    if (!core.append_local(std::move(entry))) return;
    core.sync_peers(now);
    for (auto& [id, peer] : core.peers_) core.send_to(now, id, peer, false);
    core.advance_commit(now);
  }
  // As once was done: who has taken the old id out to let in a newcomer at its address puts the newcomer in
  // its place by that same entry. False where nothing of the kind was just appended.
  static bool replace_at_once(Core& core, Time now, const Membership& before) {
    if (core.role_ != Core::Role::leader || core.log_.membership_index() != core.log_.last()) return false;
    Entry entry = core.log_.at(core.log_.last());
    for (const Member& old : before.voters) {
      if (entry.membership.has(old.id)) continue;
      for (const auto& [id, peer] : core.peers_) {
        if (peer.voter || peer.address != old.address || entry.membership.has(id)) continue;
        entry.membership = before;
        for (Member& voter : entry.membership.voters)
          if (voter.id == old.id) voter.id = id;
        if (core.log_.replace_tail(entry.index, {entry})) return false;
        core.sync_peers(now);
        for (auto& [other, told] : core.peers_) {
          told.next = std::min(told.next, entry.index);
          told.flight = {};
          core.send_to(now, other, told, false);
        }
        return true;
      }
    }
    return false;
  }
};

}  // namespace pearspar::raft
