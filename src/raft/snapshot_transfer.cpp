#include "raft/snapshot_transfer.h"

#include <xxhash.h>

#include "raft/core.h"

namespace pearspar::raft {
namespace {

constexpr std::size_t max_state_bytes = 16 << 20;
// For a member that takes no pieces: what one frame holds for certain.
constexpr std::size_t max_unchunked_bytes = 3 << 20;
constexpr Duration retry_after = std::chrono::milliseconds(500);

}  // namespace

std::uint64_t state_digest(const std::string& state) { return XXH3_64bits(state.data(), state.size()); }

// All transfers under way send one snapshot, the oldest whose entries behind it are still here: memory holds
// that one beside the log's, whoever asks and however often it is folded meanwhile.
bool Core::begin_transfer(Peer& peer) {
  if (!sending_ || sending_->index + 1 < log_.first()) sending_ = log_.shared_snapshot();
  if (sending_->state.size() >
      (peer.capabilities & supports_snapshot_chunks ? max_state_bytes : max_unchunked_bytes)) {
    ++counters_.refused_snapshots;
    return false;
  }
  peer.transfer = OutgoingSnapshot{sending_, state_digest(sending_->state), 0};
  peer.flight = {};
  ++counters_.snapshot_transfers;
  return true;
}

void Core::send_snapshot(Time now, MemberId id, Peer& peer, bool heartbeat) {
  // Nothing is begun to one that says nothing: its next answer begins it.
  bool lives = now - peer.last_contact <= options_.timing.silent_voter_timeout;
  bool sends = peer.transfer || (lives && begin_transfer(peer));
  bool goes = sends && peer.flight.free(round_);
  if (!goes && !heartbeat) return;
  Message message;
  message.to = id;
  message.term = vote_.term;
  message.round = round_;
  message.acknowledged = peer.match;
  message.flag = must_stay(now, id);
  if (!sends || !(peer.capabilities & supports_snapshot_chunks)) {
    // Between the tries a heartbeat that holds whatever the member has.
    message.kind = goes ? MessageKind::install_snapshot : MessageKind::append_entries;
    if (goes) message.snapshot = *peer.transfer->snapshot;
  } else {
    OutgoingSnapshot& transfer = *peer.transfer;
    const Snapshot& whole = *transfer.snapshot;
    message.kind = MessageKind::snapshot_chunk;
    message.snapshot.index = whole.index;
    message.snapshot.term = whole.term;
    message.snapshot.membership = whole.membership;
    message.offset = transfer.held;
    message.total = whole.state.size();
    message.digest = transfer.digest;
    if (goes) message.snapshot.state = whole.state.substr(transfer.held, options_.snapshot_chunk_bytes);
    if (!message.snapshot.state.empty()) ++counters_.chunks_sent;
  }
  if (goes) peer.flight.send(round_, peer.transfer->snapshot->index);
  send(peer.address, std::move(message));
}

void Core::on_snapshot_chunk_response(Time now, const Message& answer) {
  Peer* peer = find_responder(now, answer);
  if (!peer || !peer->transfer || peer->transfer->snapshot->index != answer.index) return;
  OutgoingSnapshot& transfer = *peer->transfer;
  if (answer.offset > transfer.snapshot->state.size()) {
    ++counters_.refused_messages;
    return;
  }
  if (answer.offset > transfer.held) {
    peer->flight = {};
  } else if (answer.offset < transfer.held || peer->flight.passed(answer.round)) {
    // It has begun anew, or the last chunk has not come.
    peer->flight.lost(round_);
  } else {
    return;
  }
  transfer.held = answer.offset;
  send_to(now, answer.from, *peer, false);
}

// In one write, or not at all.
bool Core::install_snapshot(const Snapshot& snapshot) {
  auto error = log_.install(snapshot);
  record_store_result(error);
  if (error) return false;
  machine_.restore(snapshot.state);
  commit_ = applied_ = snapshot.index;
  ++counters_.snapshots_installed;
  return true;
}

void Core::on_install_snapshot(Time now, const Message& install) {
  Message answer;
  answer.kind = MessageKind::append_response;
  if (!accept_leader(now, install, answer)) return;
  const Snapshot& snapshot = install.snapshot;
  if (snapshot.index > commit_) {
    if (snapshot.term > install.term || snapshot.term < log_.snapshot().term ||
        snapshot.membership.voters.empty() || snapshot.state.size() > max_state_bytes) {
      ++counters_.refused_snapshots;
      return;
    }
    if (!install_snapshot(snapshot)) return;
  }
  incoming_.reset();
  answer.flag = true;
  answer.index = commit_;
  send(install.from_address, answer);
}

void Core::on_snapshot_chunk(Time now, const Message& chunk) {
  Message answer;
  answer.kind = MessageKind::snapshot_chunk_response;
  answer.index = chunk.snapshot.index;
  if (!accept_leader(now, chunk, answer)) return;
  if (chunk.snapshot.index <= commit_) {
    incoming_.reset();
    answer.kind = MessageKind::append_response;
    answer.flag = true;
    answer.index = commit_;
    return send(chunk.from_address, answer);
  }
  const std::string& bytes = chunk.snapshot.state;
  if (chunk.total > max_state_bytes || chunk.offset > chunk.total ||
      bytes.size() > chunk.total - chunk.offset || chunk.snapshot.term > chunk.term ||
      chunk.snapshot.term < log_.snapshot().term || chunk.snapshot.membership.voters.empty()) {
    ++counters_.refused_snapshots;
    return send(chunk.from_address, answer);
  }
  if (!incoming_ || !incoming_->of(chunk)) {
    incoming_.emplace();
    incoming_->snapshot = chunk.snapshot;
    incoming_->snapshot.state.clear();
    incoming_->snapshot.state.reserve(chunk.total);
    incoming_->total = chunk.total;
    incoming_->digest = chunk.digest;
  }
  std::string& held = incoming_->snapshot.state;
  if (chunk.offset == held.size()) held += bytes;
  if (held.size() == incoming_->total && now >= incoming_->retry) {
    if (state_digest(held) != incoming_->digest) {
      ++counters_.refused_snapshots;
      incoming_.reset();
      return send(chunk.from_address, answer);
    }
    if (install_snapshot(incoming_->snapshot)) {
      incoming_.reset();
      answer.kind = MessageKind::append_response;
      answer.flag = true;
      answer.index = commit_;
      return send(chunk.from_address, answer);
    }
    incoming_->retry = now + retry_after;
  }
  answer.offset = held.size();
  send(chunk.from_address, answer);
}

}  // namespace pearspar::raft
