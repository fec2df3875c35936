#include "raft/snapshot_transfer.h"

#include <xxhash.h>

#include "raft/core.h"

namespace pearspar::raft {
namespace {

constexpr std::size_t max_state_bytes = 16 << 20;
// Limit for members without support for chunks: a state that fits in one frame.
constexpr std::size_t max_unchunked_bytes = 3 << 20;
constexpr Duration retry_after = std::chrono::milliseconds(500);

}  // namespace

std::uint64_t state_digest(const std::string& state) { return XXH3_64bits(state.data(), state.size()); }

// All transfers in progress share one snapshot, the oldest one whose following entries are still in memory.
// So at most one snapshot is held besides the log's own.
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
  // A transfer to a silent peer starts with its next response.
  bool alive = now - peer.last_contact <= options_.timing.silent_voter_timeout;
  bool transferring = peer.transfer || (alive && begin_transfer(peer));
  bool send_data = transferring && peer.flight.can_send(round_);
  if (!send_data && !heartbeat) return;
  Message message;
  message.to = id;
  message.term = vote_.term;
  message.round = round_;
  message.acknowledged = peer.match;
  message.flag = must_stay(now, id);
  if (!transferring || !(peer.capabilities & supports_snapshot_chunks)) {
    // Between attempts, an empty heartbeat that is valid for any log.
    message.kind = send_data ? MessageKind::install_snapshot : MessageKind::append_entries;
    if (send_data) message.snapshot = *peer.transfer->snapshot;
  } else {
    OutgoingSnapshot& transfer = *peer.transfer;
    const Snapshot& snapshot = *transfer.snapshot;
    message.kind = MessageKind::snapshot_chunk;
    message.snapshot.index = snapshot.index;
    message.snapshot.term = snapshot.term;
    message.snapshot.membership = snapshot.membership;
    message.offset = transfer.received_bytes;
    message.total = snapshot.state.size();
    message.digest = transfer.digest;
    if (send_data)
      message.snapshot.state = snapshot.state.substr(transfer.received_bytes, options_.snapshot_chunk_bytes);
    if (!message.snapshot.state.empty()) ++counters_.chunks_sent;
  }
  if (send_data) peer.flight.send(round_, peer.transfer->snapshot->index);
  send(peer.address, std::move(message));
}

void Core::on_snapshot_chunk_response(Time now, const Message& response) {
  Peer* peer = find_responder(now, response);
  if (!peer || !peer->transfer || peer->transfer->snapshot->index != response.index) return;
  OutgoingSnapshot& transfer = *peer->transfer;
  if (response.offset > transfer.snapshot->state.size()) {
    ++counters_.refused_messages;
    return;
  }
  if (response.offset > transfer.received_bytes) {
    peer->flight = {};
  } else if (response.offset < transfer.received_bytes || peer->flight.overtaken_by(response.round)) {
    // The receiver has restarted the transfer, or the last chunk was lost.
    peer->flight.record_loss(round_);
  } else {
    return;
  }
  transfer.received_bytes = response.offset;
  send_to(now, response.from, *peer, false);
}

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
  Message response;
  response.kind = MessageKind::append_response;
  if (!accept_leader(now, install, response)) return;
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
  response.flag = true;
  response.index = commit_;
  send(install.from_address, response);
}

void Core::on_snapshot_chunk(Time now, const Message& chunk) {
  Message response;
  response.kind = MessageKind::snapshot_chunk_response;
  response.index = chunk.snapshot.index;
  if (!accept_leader(now, chunk, response)) return;
  if (chunk.snapshot.index <= commit_) {
    incoming_.reset();
    response.kind = MessageKind::append_response;
    response.flag = true;
    response.index = commit_;
    return send(chunk.from_address, response);
  }
  const std::string& bytes = chunk.snapshot.state;
  if (chunk.total > max_state_bytes || chunk.offset > chunk.total ||
      bytes.size() > chunk.total - chunk.offset || chunk.snapshot.term > chunk.term ||
      chunk.snapshot.term < log_.snapshot().term || chunk.snapshot.membership.voters.empty()) {
    ++counters_.refused_snapshots;
    return send(chunk.from_address, response);
  }
  if (!incoming_ || !incoming_->matches(chunk)) {
    incoming_.emplace();
    incoming_->snapshot = chunk.snapshot;
    incoming_->snapshot.state.clear();
    incoming_->snapshot.state.reserve(chunk.total);
    incoming_->total = chunk.total;
    incoming_->digest = chunk.digest;
  }
  std::string& received = incoming_->snapshot.state;
  if (chunk.offset == received.size()) received += bytes;
  if (received.size() == incoming_->total && now >= incoming_->retry_at) {
    if (state_digest(received) != incoming_->digest) {
      ++counters_.refused_snapshots;
      incoming_.reset();
      return send(chunk.from_address, response);
    }
    if (install_snapshot(incoming_->snapshot)) {
      incoming_.reset();
      response.kind = MessageKind::append_response;
      response.flag = true;
      response.index = commit_;
      return send(chunk.from_address, response);
    }
    incoming_->retry_at = now + retry_after;
  }
  response.offset = received.size();
  send(chunk.from_address, response);
}

}  // namespace pearspar::raft
