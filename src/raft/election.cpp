// Who leads: standing, votes, the lease, and handing over.
#include <algorithm>

#include "raft/core.h"

namespace pearspar::raft {

// A pre-vote first: nobody's term rises while most still hear a leader. Who is not in the membership of its
// own log, the newest there, neither stands nor counts itself.
void Core::start_pre_vote(Time now, bool leadership_transfer) {
  if (!log_.membership().has(self_)) return reset_election_timer(now);
  role_ = Role::pre_candidate;
  leader_ = 0;
  leader_address_.clear();
  votes_.clear();
  votes_[self_] = true;
  reset_candidate_timer(now);
  if (leadership_transfer || log_.membership().majority() == 1)
    return start_election(now, leadership_transfer);
  Message ask;
  ask.kind = MessageKind::pre_vote_request;
  ask.term = vote_.term + 1;
  ask.index = log_.last();
  ask.log_term = log_.last_term();
  for (const Member& voter : log_.membership().voters) {
    if (voter.id == self_) continue;
    ask.to = voter.id;
    send(voter.address, ask);
  }
}

void Core::start_election(Time now, bool leadership_transfer) {
  if (!save_term(vote_.term + 1, self_)) return step_down(now);
  role_ = Role::candidate;
  votes_.clear();
  votes_[self_] = true;
  reset_candidate_timer(now);
  if (log_.membership().majority() == 1) return become_leader(now);
  Message ask;
  ask.kind = MessageKind::vote_request;
  ask.term = vote_.term;
  ask.index = log_.last();
  ask.log_term = log_.last_term();
  ask.flag = leadership_transfer;
  for (const Member& voter : log_.membership().voters) {
    if (voter.id == self_) continue;
    ask.to = voter.id;
    send(voter.address, ask);
  }
}

bool Core::log_is_up_to_date(const Message& ask) const {
  return std::pair(ask.log_term, ask.index) >= std::pair(log_.last_term(), log_.last());
}

void Core::on_vote_request(Time now, const Message& ask) {
  bool pre = ask.kind == MessageKind::pre_vote_request;
  // Who still hears a leader helps nobody against it, and does not take over the term either, unless the
  // leader itself wants to go.
  bool held = leader_is_alive(now) || (role_ == Role::leader && holds_lease(now));
  if (held && !(ask.kind == MessageKind::vote_request && ask.flag)) return;
  Message answer;
  answer.kind = pre ? MessageKind::pre_vote_response : MessageKind::vote_response;
  answer.to = ask.from;
  if (pre) {
    answer.term = ask.term;
    answer.flag = ask.term > vote_.term && log_is_up_to_date(ask);
    if (!answer.flag) answer.term = vote_.term;
    return send(ask.from_address, answer);
  }
  if (ask.term < vote_.term) return;
  bool free = ask.term > vote_.term || vote_.voted_for == 0 || vote_.voted_for == ask.from;
  bool yes = free && log_is_up_to_date(ask) && role_ != Role::leader;
  if (ask.term > vote_.term) {
    yes = log_is_up_to_date(ask);
    if (!save_term(ask.term, yes ? ask.from : 0)) return;
    step_down(now);
  } else if (yes) {
    if (!save_term(ask.term, ask.from)) return;
    reset_election_timer(now);
  }
  answer.term = vote_.term;
  answer.flag = yes;
  send(ask.from_address, answer);
}

void Core::on_vote_response(Time now, const Message& vote) {
  bool pre = vote.kind == MessageKind::pre_vote_response;
  if (!vote.flag) {
    if (vote.term > vote_.term && role_ != Role::leader && save_term(vote.term, 0)) step_down(now);
    return;
  }
  if (pre ? role_ != Role::pre_candidate || vote.term != vote_.term + 1
          : role_ != Role::candidate || vote.term != vote_.term)
    return;
  if (!log_.membership().has(vote.from)) return;
  votes_[vote.from] = true;
  if (votes_.size() < log_.membership().majority()) return;
  if (pre)
    start_election(now, false);
  else
    become_leader(now);
}

void Core::become_leader(Time now) {
  role_ = Role::leader;
  leader_ = self_;
  leader_address_ = options_.address;
  peers_.clear();
  rounds_.clear();
  Entry first;
  first.kind = EntryKind::term_start;
  if (!append_local(std::move(first))) return step_down(now);
  term_start_ = log_.last();
  sync_peers(now);
  broadcast(now);
  advance_commit(now);
}

void Core::transfer_leadership(Time now) {
  if (role_ != Role::leader) return;
  const Peer* best = nullptr;
  MemberId to = 0;
  for (const auto& [id, peer] : peers_)
    if (peer.voter && is_alive(now, peer) && (!best || peer.match > best->match)) best = &peer, to = id;
  if (best) {
    Message message;
    message.kind = MessageKind::timeout_now;
    message.to = to;
    message.term = vote_.term;
    send(best->address, message);
  }
  step_down(now);
  // What this lease still covers is over by this word: nothing more is said as a leader.
  due_ += options_.timing.min_election_timeout;
}

bool Core::holds_lease(Time now) const {
  if (role_ != Role::leader || commit_ < term_start_ || applied_ < commit_) return false;
  return now < majority_contact_time(now, true) + options_.timing.lease;
}

// The latest moment by which a majority, we among it, had been heard of (or had answered a round sent then).
Time Core::majority_contact_time(Time now, bool rounds) const {
  const Membership& membership = log_.membership();
  std::vector<Time> times;
  for (const Member& voter : membership.voters) {
    if (voter.id == self_) {
      times.push_back(now);
      continue;
    }
    auto peer = peers_.find(voter.id);
    times.push_back(peer == peers_.end() ? Time{}
                    : rounds             ? peer->second.round_sent
                                         : peer->second.last_contact);
  }
  if (times.size() < membership.majority()) return Time{};
  std::sort(times.begin(), times.end(), std::greater<>());
  return times[membership.majority() - 1];
}

}  // namespace pearspar::raft
