// Leader election, leader lease and leadership transfer.
#include <algorithm>

#include "raft/core.h"

namespace pearspar::raft {

// The pre-vote keeps terms from rising while a majority still hears from a leader. Only a member of the
// latest membership in its own log may stand for election.
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
  Message request;
  request.kind = MessageKind::pre_vote_request;
  request.term = vote_.term + 1;
  request.index = log_.last();
  request.log_term = log_.last_term();
  for (const Member& voter : log_.membership().voters) {
    if (voter.id == self_) continue;
    request.to = voter.id;
    send(voter.address, request);
  }
}

void Core::start_election(Time now, bool leadership_transfer) {
  if (!save_term(vote_.term + 1, self_)) return step_down(now);
  role_ = Role::candidate;
  votes_.clear();
  votes_[self_] = true;
  reset_candidate_timer(now);
  if (log_.membership().majority() == 1) return become_leader(now);
  Message request;
  request.kind = MessageKind::vote_request;
  request.term = vote_.term;
  request.index = log_.last();
  request.log_term = log_.last_term();
  request.flag = leadership_transfer;
  for (const Member& voter : log_.membership().voters) {
    if (voter.id == self_) continue;
    request.to = voter.id;
    send(voter.address, request);
  }
}

bool Core::log_is_up_to_date(const Message& request) const {
  return std::pair(request.log_term, request.index) >= std::pair(log_.last_term(), log_.last());
}

void Core::on_vote_request(Time now, const Message& request) {
  bool is_pre_vote = request.kind == MessageKind::pre_vote_request;
  // A member that still hears from a leader ignores vote requests, and their term, unless the leader itself
  // is transferring leadership.
  bool has_leader = leader_is_alive(now) || (role_ == Role::leader && holds_lease(now));
  if (has_leader && !(request.kind == MessageKind::vote_request && request.flag)) return;
  Message response;
  response.kind = is_pre_vote ? MessageKind::pre_vote_response : MessageKind::vote_response;
  response.to = request.from;
  if (is_pre_vote) {
    response.term = request.term;
    response.flag = request.term > vote_.term && log_is_up_to_date(request);
    if (!response.flag) response.term = vote_.term;
    return send(request.from_address, response);
  }
  if (request.term < vote_.term) return;
  bool vote_available = request.term > vote_.term || vote_.voted_for == 0 || vote_.voted_for == request.from;
  bool grant = vote_available && log_is_up_to_date(request) && role_ != Role::leader;
  if (request.term > vote_.term) {
    grant = log_is_up_to_date(request);
    if (!save_term(request.term, grant ? request.from : 0)) return;
    step_down(now);
  } else if (grant) {
    if (!save_term(request.term, request.from)) return;
    reset_election_timer(now);
  }
  response.term = vote_.term;
  response.flag = grant;
  send(request.from_address, response);
}

void Core::on_vote_response(Time now, const Message& vote) {
  bool is_pre_vote = vote.kind == MessageKind::pre_vote_response;
  if (!vote.flag) {
    if (vote.term > vote_.term && role_ != Role::leader && save_term(vote.term, 0)) step_down(now);
    return;
  }
  if (is_pre_vote ? role_ != Role::pre_candidate || vote.term != vote_.term + 1
                  : role_ != Role::candidate || vote.term != vote_.term)
    return;
  if (!log_.membership().has(vote.from)) return;
  votes_[vote.from] = true;
  if (votes_.size() < log_.membership().majority()) return;
  if (is_pre_vote)
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
  // Gives the successor time to be elected before this member becomes a candidate again.
  due_ += options_.timing.min_election_timeout;
}

bool Core::holds_lease(Time now) const {
  if (role_ != Role::leader || commit_ < term_start_ || applied_ < commit_) return false;
  return now < majority_contact_time(now, true) + options_.timing.lease;
}

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
