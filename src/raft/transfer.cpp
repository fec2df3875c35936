#include "raft/transfer.h"

#include <xxhash.h>

#include "raft/core.h"

namespace pearspar::raft {
namespace {

constexpr std::size_t most_state = 16 << 20;
// For a member that takes no pieces: what one frame holds for certain.
constexpr std::size_t most_whole = 3 << 20;
constexpr Duration retry_after = std::chrono::milliseconds(500);

}  // namespace

std::uint64_t state_digest(const std::string& state) { return XXH3_64bits(state.data(), state.size()); }

// All transfers under way send one snapshot, the oldest whose entries behind it are still here: memory holds
// that one beside the log's, whoever asks and however often it is folded meanwhile.
bool Core::begin_transfer(Peer& peer) {
  if (!sending_ || sending_->index + 1 < log_.first()) sending_ = log_.shared_snapshot();
  if (sending_->state.size() > (peer.can & can_take_pieces ? most_state : most_whole)) {
    ++counters_.refused_snapshots;
    return false;
  }
  peer.transfer = Transfer{sending_, state_digest(sending_->state), 0};
  peer.flight = {};
  ++counters_.transfers;
  return true;
}

void Core::send_snapshot(Time now, MemberId id, Peer& peer, bool heartbeat) {
  // Nothing is begun to one that says nothing: its next answer begins it.
  bool lives = now - peer.heard <= options_.timing.gone_after;
  bool sends = peer.transfer || (lives && begin_transfer(peer));
  bool goes = sends && peer.flight.free(round_);
  if (!goes && !heartbeat) return;
  Message message;
  message.to = id;
  message.term = vote_.term;
  message.round = round_;
  message.acknowledged = peer.match;
  message.yes = must_stay(now, id);
  if (!sends || !(peer.can & can_take_pieces)) {
    // Between the tries a heartbeat that holds whatever the member has.
    message.kind = goes ? MessageKind::install : MessageKind::append;
    if (goes) message.snapshot = *peer.transfer->snapshot;
  } else {
    Transfer& transfer = *peer.transfer;
    const Snapshot& whole = *transfer.snapshot;
    message.kind = MessageKind::piece;
    message.snapshot.index = whole.index;
    message.snapshot.term = whole.term;
    message.snapshot.membership = whole.membership;
    message.offset = transfer.held;
    message.total = whole.state.size();
    message.digest = transfer.digest;
    if (goes) message.snapshot.state = whole.state.substr(transfer.held, options_.piece_bytes);
    if (!message.snapshot.state.empty()) ++counters_.pieces;
  }
  if (goes) peer.flight.send(round_, peer.transfer->snapshot->index);
  send(peer.address, std::move(message));
}

void Core::on_piece_held(Time now, const Message& answer) {
  Peer* peer = answered(now, answer);
  if (!peer || !peer->transfer || peer->transfer->snapshot->index != answer.index) return;
  Transfer& transfer = *peer->transfer;
  if (answer.offset > transfer.snapshot->state.size()) {
    ++counters_.refused_messages;
    return;
  }
  if (answer.offset > transfer.held) {
    peer->flight = {};
  } else if (answer.offset < transfer.held || peer->flight.passed(answer.round)) {
    // It has begun anew, or the last piece has not come.
    peer->flight.lost(round_);
  } else {
    return;
  }
  transfer.held = answer.offset;
  send_to(now, answer.from, *peer, false);
}

// In one write, or not at all.
bool Core::take_snapshot(const Snapshot& snapshot) {
  auto error = log_.install(snapshot);
  fail(error);
  if (error) return false;
  machine_.restore(snapshot.state);
  commit_ = applied_ = snapshot.index;
  ++counters_.installed;
  return true;
}

void Core::on_install(Time now, const Message& install) {
  Message answer;
  answer.kind = MessageKind::appended;
  if (!heed(now, install, answer)) return;
  const Snapshot& snapshot = install.snapshot;
  if (snapshot.index > commit_) {
    if (snapshot.term > install.term || snapshot.term < log_.snapshot().term ||
        snapshot.membership.voters.empty() || snapshot.state.size() > most_state) {
      ++counters_.refused_snapshots;
      return;
    }
    if (!take_snapshot(snapshot)) return;
  }
  incoming_.reset();
  answer.yes = true;
  answer.index = commit_;
  send(install.from_address, answer);
}

void Core::on_piece(Time now, const Message& piece) {
  Message answer;
  answer.kind = MessageKind::piece_held;
  answer.index = piece.snapshot.index;
  if (!heed(now, piece, answer)) return;
  if (piece.snapshot.index <= commit_) {
    incoming_.reset();
    answer.kind = MessageKind::appended;
    answer.yes = true;
    answer.index = commit_;
    return send(piece.from_address, answer);
  }
  const std::string& bytes = piece.snapshot.state;
  if (piece.total > most_state || piece.offset > piece.total || bytes.size() > piece.total - piece.offset ||
      piece.snapshot.term > piece.term || piece.snapshot.term < log_.snapshot().term ||
      piece.snapshot.membership.voters.empty()) {
    ++counters_.refused_snapshots;
    return send(piece.from_address, answer);
  }
  if (!incoming_ || !incoming_->of(piece)) {
    incoming_.emplace();
    incoming_->snapshot = piece.snapshot;
    incoming_->snapshot.state.clear();
    incoming_->snapshot.state.reserve(piece.total);
    incoming_->total = piece.total;
    incoming_->digest = piece.digest;
  }
  std::string& held = incoming_->snapshot.state;
  if (piece.offset == held.size()) held += bytes;
  if (held.size() == incoming_->total && now >= incoming_->retry) {
    if (state_digest(held) != incoming_->digest) {
      ++counters_.refused_snapshots;
      incoming_.reset();
      return send(piece.from_address, answer);
    }
    if (take_snapshot(incoming_->snapshot)) {
      incoming_.reset();
      answer.kind = MessageKind::appended;
      answer.yes = true;
      answer.index = commit_;
      return send(piece.from_address, answer);
    }
    incoming_->retry = now + retry_after;
  }
  answer.offset = held.size();
  send(piece.from_address, answer);
}

}  // namespace pearspar::raft
