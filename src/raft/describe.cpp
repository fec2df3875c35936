// Serialises the state that a member's future steps depend on: members with equal descriptions behave the
// same. Times are relative to `now` and limited to the range in which they make a difference.
//
// Left out because no step reads them: peers and rounds of a member that is not the leader, votes of one that
// is not a candidate (they are cleared before use), rounds older than the lease, store_failed_, the random
// generator (the search makes each draw deterministic) and options that do not change. Any new field that a
// step reads must be added here.
#include <algorithm>

#include "raft/core.h"

namespace pearspar::raft {
namespace {

class Description {
 public:
  explicit Description(Time now) : now_(now) {}

  void number(std::uint64_t value) {
    for (; value >= 128; value >>= 7) bytes_ += static_cast<char>(value | 128);
    bytes_ += static_cast<char>(value);
  }
  void text(const std::string& value) {
    number(value.size());
    bytes_ += value;
  }
  // Time since `moment`, limited to `limit`.
  void age(Time moment, Duration limit) {
    Duration age = std::min(std::max(now_ - moment, Duration(0)), limit);
    number(static_cast<std::uint64_t>(age.count() * 1e6 + 0.5));
  }
  // Time until `moment`, 0 if it has passed.
  void wait(Time moment) {
    number(moment <= now_ ? 0 : static_cast<std::uint64_t>((moment - now_).count() * 1e6 + 0.5));
  }
  void membership(const Membership& membership) {
    number(membership.target_size);
    number(membership.voters.size());
    for (const Member& voter : membership.voters) {
      number(voter.id);
      text(voter.address);
    }
  }
  std::string take() { return std::move(bytes_); }

 private:
  Time now_;
  std::string bytes_;
};

}  // namespace

std::string Core::describe(Time now) const {
  Description out(now);
  const Timing& timing = options_.timing;
  out.number(self_);
  out.number(options_.fresh_id);
  out.number(options_.first_start);
  out.number(static_cast<std::uint64_t>(role_));
  out.number(vote_.term);
  out.number(vote_.voted_for);
  out.number(leader_);
  out.text(leader_address_);
  out.number(commit_);
  out.number(applied_);
  out.age(last_leader_contact_, timing.min_election_timeout);
  out.wait(due_);
  out.wait(join_due_);
  out.number(leaving_);
  out.wait(leaving_ ? leave_due_ : now);
  out.number(told_to_stay_);
  out.age(stay_told_, 2 * timing.join_interval);
  out.number(round_);

  const Snapshot& snapshot = log_.snapshot();
  out.number(snapshot.index);
  out.number(snapshot.term);
  out.membership(snapshot.membership);
  out.text(snapshot.state);
  out.number(log_.first());
  out.number(log_.term_at(log_.first() - 1));
  out.number(log_.last());
  for (Index i = log_.first(); i <= log_.last(); ++i) {
    const Entry& entry = log_.at(i);
    out.number(entry.term);
    out.number(static_cast<std::uint64_t>(entry.kind));
    out.text(entry.data);
    if (entry.kind == EntryKind::membership) out.membership(entry.membership);
  }

  out.number(std::max(compact_after_, applied_) - applied_);
  out.number(sending_ ? sending_->index : 0);
  out.number(incoming_.has_value());
  if (incoming_) {
    out.number(incoming_->snapshot.index);
    out.number(incoming_->snapshot.term);
    out.membership(incoming_->snapshot.membership);
    out.text(incoming_->snapshot.state);
    out.number(incoming_->total);
    out.number(incoming_->digest);
    out.wait(incoming_->retry_at);
  }

  if (role_ == Role::candidate || role_ == Role::pre_candidate) {
    out.number(votes_.size());
    for (const auto& [id, granted] : votes_) out.number(id);
  }
  if (role_ != Role::leader) return out.take();
  out.number(term_start_);
  for (const auto& [round, sent] : rounds_) {
    if (now - sent >= timing.lease) continue;
    out.number(round);
    out.age(sent, timing.lease);
  }
  out.number(peers_.size());
  for (const auto& [id, peer] : peers_) {
    out.number(id);
    out.text(peer.address);
    out.number(peer.voter);
    out.number(peer.first_start);
    out.age(peer.asked_to_leave, timing.silent_voter_timeout);
    out.number(peer.asked_to_leave != Time{});
    out.number(peer.next);
    out.number(peer.match);
    out.number(peer.capabilities);
    out.number(peer.flight.waiting);
    out.number(peer.flight.round);
    out.number(peer.flight.last_index);
    out.number(static_cast<std::uint64_t>(peer.flight.losses));
    out.number(peer.flight.retry_round);
    out.number(peer.transfer ? peer.transfer->snapshot->index : 0);
    out.number(peer.transfer ? peer.transfer->received_bytes : 0);
    // A silent peer that is no voter is dropped after this time.
    out.age(peer.last_contact, 4 * timing.silent_voter_timeout + timing.max_election_timeout);
    out.age(peer.round_sent, timing.lease);
  }
  return out.take();
}

}  // namespace pearspar::raft
