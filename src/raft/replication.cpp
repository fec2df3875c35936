// Log replication: heartbeat rounds, append entries, commit index and log compaction.
#include <algorithm>

#include "raft/core.h"

namespace pearspar::raft {
namespace {

// The log is compacted from Options::snapshot_after_entries on if its entries have at least half the size of
// the state, and in any case at these limits.
constexpr std::size_t max_log_entries = 4096;
constexpr std::size_t max_log_bytes = 4 << 20;
// Compacted entries kept in memory for members that still need them.
constexpr std::size_t max_retained_bytes = 32 << 20;
constexpr std::size_t max_remembered_rounds = 64;

}  // namespace

bool Core::append_local(Entry entry) {
  entry.index = log_.last() + 1;
  entry.term = vote_.term;
  std::vector<Entry> entries;
  entries.push_back(std::move(entry));
  return !write_entries(log_.last() + 1, std::move(entries));
}

// If the store is full, compacts the applied entries to make room and tries again.
std::error_code Core::write_entries(Index from, std::vector<Entry>&& entries) {
  auto error = log_.replace_tail(from, std::move(entries));
  record_store_result(error);
  if (!error || applied_ == log_.snapshot().index || applied_ < compact_after_) return error;
  compact_log();
  if (store_failed_) return error;
  // `entries` is unchanged after a failure.
  error = log_.replace_tail(from, std::move(entries));  // NOLINT(bugprone-use-after-move)
  record_store_result(error);
  return error;
}

std::optional<Index> Core::propose(Time now, std::string data) {
  if (role_ != Role::leader) return std::nullopt;
  Entry entry;
  entry.kind = EntryKind::change;
  entry.data = std::move(data);
  if (!append_local(std::move(entry))) {
    transfer_leadership(now);
    return std::nullopt;
  }
  Index index = log_.last();
  for (auto& [id, peer] : peers_) send_to(now, id, peer, false);
  advance_commit(now);
  return index;
}

void Core::broadcast(Time now) {
  ++round_;
  trim_log(now);
  rounds_[round_] = now;
  update_told_to_stay(now, must_stay(now, self_));
  while (rounds_.size() > max_remembered_rounds) rounds_.erase(rounds_.begin());
  for (auto& [id, peer] : peers_) send_to(now, id, peer, true);
  due_ = now + options_.timing.heartbeat;
}

void Core::send_to(Time now, MemberId id, Peer& peer, bool heartbeat) {
  if (peer.transfer || peer.next < log_.first()) return send_snapshot(now, id, peer, heartbeat);
  bool has_new_entries = peer.next <= log_.last();
  if (!heartbeat && has_new_entries && !peer.flight.can_send(round_)) return;
  Message message;
  message.kind = MessageKind::append_entries;
  message.to = id;
  message.term = vote_.term;
  message.commit = commit_;
  message.round = round_;
  message.acknowledged = peer.match;
  message.flag = must_stay(now, id);
  message.index = peer.next - 1;
  message.log_term = log_.term_at(peer.next - 1);
  if (has_new_entries && peer.flight.can_send(round_)) {
    // After two losses in a row only a single entry: the peer's disk may be full or its link too slow.
    message.entries = log_.entries_from(peer.next, peer.flight.losses > 1 ? 0 : options_.max_append_bytes);
    peer.flight.send(round_, message.entries.back().index);
  }
  send(peer.address, std::move(message));
}

bool Core::accept_leader(Time now, const Message& message, Message& response) {
  response.to = message.from;
  response.round = message.round;
  response.term = vote_.term;
  if (message.term < vote_.term) {
    send(message.from_address, response);
    return false;
  }
  if (message.from == self_ || (role_ == Role::leader && message.term == vote_.term)) {
    ++counters_.refused_messages;  // a term has one leader
    return false;
  }
  if (message.term > vote_.term && !save_term(message.term, 0)) return false;
  become_follower(now, message.term, message.from, message.from_address);
  response.term = vote_.term;
  // This member once acknowledged more than its log holds, so its disk was rolled back or lost writes,
  // perhaps votes too. Must be detected before anything from the leader is applied.
  if (message.acknowledged > log_.last()) {
    adopt_new_id(now);
    return false;
  }
  update_told_to_stay(now, message.flag);
  return true;
}

// Whether the entries are consistent in themselves and do not contradict committed entries.
bool Core::has_valid_entries(const Message& append) {
  Term term = append.log_term;
  Index index = append.index;
  bool valid = index + 1 < log_.first() || index > commit_ || log_.term_at(index) == append.log_term;
  for (const Entry& entry : append.entries) {
    valid =
        valid && entry.index == ++index && entry.term != 0 && entry.term >= term && entry.term <= append.term;
    term = entry.term;
    if (valid && index >= log_.first() - 1 && index <= commit_) valid = log_.term_at(index) == term;
    if (entry.kind == EntryKind::membership && entry.membership.voters.empty()) valid = false;
  }
  if (!valid) ++counters_.refused_messages;
  return valid;
}

void Core::on_append_entries(Time now, const Message& append) {
  Message response;
  response.kind = MessageKind::append_response;
  if (append.term >= vote_.term && !has_valid_entries(append)) return;
  if (!accept_leader(now, append, response)) return;
  Index last_new = append.index + append.entries.size();
  if (append.index > log_.last() ||
      (append.index >= log_.snapshot().index && log_.term_at(append.index) != append.log_term)) {
    // This member once acknowledged that entry and now has a different one.
    if (append.index <= append.acknowledged) return adopt_new_id(now);
    response.index = std::min(log_.last(), append.index > 0 ? append.index - 1 : 0);
    response.index = std::max(response.index, commit_);
    return send(append.from_address, response);
  }
  std::vector<Entry> new_entries;
  for (const Entry& entry : append.entries) {
    if (entry.index <= log_.snapshot().index) continue;
    if (new_entries.empty() && entry.index <= log_.last() && log_.term_at(entry.index) == entry.term)
      continue;
    new_entries.push_back(entry);
  }
  // No response if the write fails: the leader retries with fewer entries.
  if (!new_entries.empty() && write_entries(new_entries.front().index, std::move(new_entries))) return;
  commit_ = std::max(commit_, std::min(append.commit, last_new));
  apply_committed();
  response.flag = true;
  response.index = last_new;
  send(append.from_address, response);
}

Core::Peer* Core::find_responder(Time now, const Message& response) {
  if (response.term > vote_.term) {
    if (save_term(response.term, 0)) step_down(now);
    return nullptr;
  }
  if (role_ != Role::leader || response.term != vote_.term) return nullptr;
  auto found = peers_.find(response.from);
  if (found == peers_.end()) return nullptr;
  Peer& peer = found->second;
  peer.last_contact = now;
  peer.capabilities = response.capabilities;
  if (auto round = rounds_.find(response.round); round != rounds_.end())
    peer.round_sent = std::max(peer.round_sent, round->second);
  return &peer;
}

void Core::on_append_response(Time now, const Message& response) {
  Peer* peer = find_responder(now, response);
  if (!peer) return;
  if (response.flag && response.index > log_.last()) {
    ++counters_.refused_messages;
    return;
  }
  if (peer->transfer) {
    if (response.flag && response.index >= peer->transfer->snapshot->index) {
      peer->transfer.reset();
      peer->flight = {};
    } else {
      if (peer->flight.overtaken_by(response.round)) peer->flight.record_loss(round_);
      return send_to(now, response.from, *peer, false);
    }
  }
  if (response.flag) {
    if (peer->flight.waiting && response.index >= peer->flight.last_index)
      peer->flight = {};
    else if (peer->flight.overtaken_by(response.round))
      peer->flight.record_loss(round_);
    if (response.index > peer->match) {
      peer->match = response.index;
      advance_commit(now);
      if (role_ != Role::leader) return;
    }
    peer->next = std::max(peer->next, peer->match + 1);
  } else {
    Index previous_next = peer->next;
    peer->next = std::max<Index>(peer->match + 1, std::min(peer->next - 1, response.index + 1));
    // The peer lacks entries that it acknowledged. Retrying at once would loop, so wait for a later round.
    if (peer->next >= previous_next) return peer->flight.record_loss(round_);
    peer->flight.waiting = false;
  }
  if (peer->next <= log_.last()) send_to(now, response.from, *peer, false);
  if (!peer->voter) change_membership(now);
}

void Core::advance_commit(Time now) {
  if (role_ != Role::leader) return;
  const Membership& membership = log_.membership();
  for (Index index = log_.last(); index > commit_ && log_.term_at(index) == vote_.term; --index) {
    std::size_t replicas = 0;
    for (const Member& voter : membership.voters) {
      auto peer = peers_.find(voter.id);
      if (voter.id == self_ || (peer != peers_.end() && peer->second.match >= index)) ++replicas;
    }
    if (replicas < membership.majority()) continue;
    commit_ = index;
    apply_committed();
    return change_membership(now);
  }
}

void Core::apply_committed() {
  // A founder raises the target size only once, even if it has to join again.
  if (log_.membership().has(self_)) options_.first_start = false;
  while (applied_ < commit_) {
    const Entry& entry = log_.at(++applied_);
    if (entry.kind == EntryKind::change) machine_.apply(entry);
  }
  std::size_t applied_entries = applied_ - log_.snapshot().index;
  std::size_t bytes = log_.bytes();
  bool limit_reached = applied_entries >= max_log_entries || bytes >= max_log_bytes;
  bool worthwhile =
      applied_entries >= options_.snapshot_after_entries && bytes * 2 >= log_.snapshot().state.size();
  if (applied_entries > 0 && (limit_reached || worthwhile) && applied_ >= compact_after_) compact_log();
}

void Core::compact_log() {
  Snapshot snapshot;
  snapshot.index = applied_;
  snapshot.term = log_.term_at(applied_);
  snapshot.membership = log_.membership_at(applied_);
  snapshot.state = machine_.take_snapshot();
  auto error = log_.compact(std::move(snapshot));  // on failure the log just stays longer
  record_store_result(error);
  if (error) compact_after_ = applied_ + options_.snapshot_after_entries;
  if (role_ == Role::leader) return;  // trims in broadcast()
  log_.trim(log_.snapshot().index, 0);
  sending_.reset();
}

// Keeps compacted entries that reachable peers still need, up to a limit.
void Core::trim_log(Time now) {
  Index floor = log_.snapshot().index;
  bool transferring = false;
  for (auto& [id, peer] : peers_) {
    if (now - peer.last_contact > options_.timing.silent_voter_timeout) {
      if (peer.transfer) peer.flight = {};
      peer.transfer.reset();
      continue;
    }
    floor = std::min(floor, peer.transfer ? peer.transfer->snapshot->index : peer.match);
  }
  log_.trim(floor, max_retained_bytes);
  for (auto& [id, peer] : peers_) {
    if (peer.transfer && peer.transfer->snapshot->index + 1 < log_.first()) {
      ++counters_.snapshot_transfers_restarted;
      peer.transfer.reset();
      peer.flight = {};
    }
    transferring = transferring || peer.transfer;
  }
  if (!transferring) sending_.reset();
}

}  // namespace pearspar::raft
