// The log on its way to all: rounds, appends, snapshots, what is committed and folded.
#include <algorithm>

#include "raft/core.h"

namespace pearspar::raft {
namespace {

// A log is folded from Options::snapshot_after_entries on, a large state only when it is worth it: when the
// entries have half its bytes. At the latest at so many entries, or bytes.
constexpr std::size_t most_entries = 4096;
constexpr std::size_t most_bytes = 4 << 20;
// Of entries that are folded already, kept for members that still lack them.
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

// A store that is full gets room by what is applied being folded, if by anything.
std::error_code Core::write_entries(Index from, std::vector<Entry>&& entries) {
  auto error = log_.replace_tail(from, std::move(entries));
  record_store_result(error);
  if (!error || applied_ == log_.snapshot().index || applied_ < compact_after_) return error;
  compact_log();
  if (store_failed_) return error;
  // What was refused is still here.
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
  bool news = peer.next <= log_.last();
  if (!heartbeat && news && !peer.flight.free(round_)) return;
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
  if (news && peer.flight.free(round_)) {
    // To one that has not answered twice, a single entry: its disk may be full, or its link too narrow.
    message.entries = log_.entries_from(peer.next, peer.flight.losses > 1 ? 0 : options_.max_append_bytes);
    peer.flight.send(round_, message.entries.back().index);
  }
  send(peer.address, std::move(message));
}

bool Core::accept_leader(Time now, const Message& word, Message& answer) {
  answer.to = word.from;
  answer.round = word.round;
  answer.term = vote_.term;
  if (word.term < vote_.term) {
    send(word.from_address, answer);
    return false;
  }
  if (word.from == self_ || (role_ == Role::leader && word.term == vote_.term)) {
    ++counters_.refused_messages;  // a term has one leader
    return false;
  }
  if (word.term > vote_.term && !save_term(word.term, 0)) return false;
  become_follower(now, word.term, word.from, word.from_address);
  answer.term = vote_.term;
  // It once acknowledged more than is here: its disk came back from the past, or has lied. Whatever the
  // leader says next, a snapshot too, would only hide that votes may be forgotten with it.
  if (word.acknowledged > log_.last()) {
    adopt_new_id(now);
    return false;
  }
  update_told_to_stay(now, word.flag);
  return true;
}

// What an append must hold, whatever we hold ourselves; and nothing that is committed here is denied by it.
bool Core::has_valid_entries(const Message& append) {
  Term term = append.log_term;
  Index index = append.index;
  bool good = index + 1 < log_.first() || index > commit_ || log_.term_at(index) == append.log_term;
  for (const Entry& entry : append.entries) {
    good =
        good && entry.index == ++index && entry.term != 0 && entry.term >= term && entry.term <= append.term;
    term = entry.term;
    if (good && index >= log_.first() - 1 && index <= commit_) good = log_.term_at(index) == term;
    if (entry.kind == EntryKind::membership && entry.membership.voters.empty()) good = false;
  }
  if (!good) ++counters_.refused_messages;
  return good;
}

void Core::on_append_entries(Time now, const Message& append) {
  Message answer;
  answer.kind = MessageKind::append_response;
  if (append.term >= vote_.term && !has_valid_entries(append)) return;
  if (!accept_leader(now, append, answer)) return;
  Index last_new = append.index + append.entries.size();
  if (append.index > log_.last() ||
      (append.index >= log_.snapshot().index && log_.term_at(append.index) != append.log_term)) {
    // It once acknowledged just this, and has something else in its place.
    if (append.index <= append.acknowledged) return adopt_new_id(now);
    answer.index = std::min(log_.last(), append.index > 0 ? append.index - 1 : 0);
    answer.index = std::max(answer.index, commit_);
    return send(append.from_address, answer);
  }
  std::vector<Entry> news;
  for (const Entry& entry : append.entries) {
    if (entry.index <= log_.snapshot().index) continue;
    if (news.empty() && entry.index <= log_.last() && log_.term_at(entry.index) == entry.term) continue;
    news.push_back(entry);
  }
  // Nothing is said by a disk that refuses: the leader sends less, and again.
  if (!news.empty() && write_entries(news.front().index, std::move(news))) return;
  commit_ = std::max(commit_, std::min(append.commit, last_new));
  apply_committed();
  answer.flag = true;
  answer.index = last_new;
  send(append.from_address, answer);
}

// Whose answer it is, where we lead in its term.
Core::Peer* Core::find_responder(Time now, const Message& answer) {
  if (answer.term > vote_.term) {
    if (save_term(answer.term, 0)) step_down(now);
    return nullptr;
  }
  if (role_ != Role::leader || answer.term != vote_.term) return nullptr;
  auto found = peers_.find(answer.from);
  if (found == peers_.end()) return nullptr;
  Peer& peer = found->second;
  peer.last_contact = now;
  peer.capabilities = answer.capabilities;
  if (auto round = rounds_.find(answer.round); round != rounds_.end())
    peer.round_sent = std::max(peer.round_sent, round->second);
  return &peer;
}

void Core::on_append_response(Time now, const Message& answer) {
  Peer* peer = find_responder(now, answer);
  if (!peer) return;
  if (answer.flag && answer.index > log_.last()) {
    ++counters_.refused_messages;
    return;
  }
  if (peer->transfer) {
    if (answer.flag && answer.index >= peer->transfer->snapshot->index) {
      peer->transfer.reset();
      peer->flight = {};
    } else {
      if (peer->flight.passed(answer.round)) peer->flight.lost(round_);
      return send_to(now, answer.from, *peer, false);
    }
  }
  if (answer.flag) {
    if (peer->flight.waiting && answer.index >= peer->flight.through)
      peer->flight = {};
    else if (peer->flight.passed(answer.round))
      peer->flight.lost(round_);
    if (answer.index > peer->match) {
      peer->match = answer.index;
      advance_commit(now);
      if (role_ != Role::leader) return;
    }
    peer->next = std::max(peer->next, peer->match + 1);
  } else {
    Index before = peer->next;
    peer->next = std::max<Index>(peer->match + 1, std::min(peer->next - 1, answer.index + 1));
    // It lacks what it once acknowledged: its disk has lied. Asking at once would go on for ever; a later
    // round does.
    if (peer->next >= before) return peer->flight.lost(round_);
    peer->flight.waiting = false;
  }
  if (peer->next <= log_.last()) send_to(now, answer.from, *peer, false);
  if (!peer->voter) change_membership(now);
}

void Core::advance_commit(Time now) {
  if (role_ != Role::leader) return;
  const Membership& membership = log_.membership();
  for (Index index = log_.last(); index > commit_ && log_.term_at(index) == vote_.term; --index) {
    std::size_t held = 0;
    for (const Member& voter : membership.voters) {
      auto peer = peers_.find(voter.id);
      if (voter.id == self_ || (peer != peers_.end() && peer->second.match >= index)) ++held;
    }
    if (held < membership.majority()) continue;
    commit_ = index;
    apply_committed();
    // Those with news to take in hear of it with the next round.
    return change_membership(now);
  }
}

void Core::apply_committed() {
  // Once counted it adds nothing to what is wanted, should it ever have to be taken in again.
  if (log_.membership().has(self_)) options_.first_start = false;
  while (applied_ < commit_) {
    const Entry& entry = log_.at(++applied_);
    if (entry.kind == EntryKind::change) machine_.apply(entry);
  }
  std::size_t behind = applied_ - log_.snapshot().index;
  std::size_t bytes = log_.bytes();
  bool must = behind >= most_entries || bytes >= most_bytes;
  bool worth = behind >= options_.snapshot_after_entries && bytes * 2 >= log_.snapshot().state.size();
  if (behind > 0 && (must || worth) && applied_ >= compact_after_) compact_log();
}

void Core::compact_log() {
  Snapshot snapshot;
  snapshot.index = applied_;
  snapshot.term = log_.term_at(applied_);
  snapshot.membership = log_.membership_at(applied_);
  snapshot.state = machine_.take_snapshot();
  auto error = log_.compact(std::move(snapshot));  // where it fails the log only stays longer
  record_store_result(error);
  if (error) compact_after_ = applied_ + options_.snapshot_after_entries;
  if (role_ == Role::leader) return;  // which lets go with its rounds
  log_.trim(log_.snapshot().index, 0);
  sending_.reset();
}

// Of what is folded, the entries stay that a member in touch still lacks, up to a bound.
void Core::trim_log(Time now) {
  Index floor = log_.snapshot().index;
  bool sends = false;
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
    sends = sends || peer.transfer;
  }
  if (!sends) sending_.reset();
}

}  // namespace pearspar::raft
