#include "nodelink/links.h"

#include <algorithm>
#include <cmath>
#include <cstring>

namespace pearspar::nodelink {
namespace {

constexpr std::size_t read_step = 16 * 1024;
constexpr int reads_at_once = 8;  // before other connections are served

}  // namespace

// ---- nodes ----

void Links::place(NodeId node, const net::Address& address, double up_since_ms) {
  Node& known = nodes_[node];
  known.gone = false;
  // Connections to an earlier address or process no longer lead to this node; if its machine vanished
  // they would stay silent.
  if (known.address != address || known.up_since_ms < up_since_ms)
    for (net::SlotId id : std::vector(known.connections)) retire_connection(id);
  known.address = address;
  known.up_since_ms = up_since_ms;
}

void Links::retire(NodeId node) {
  auto known = nodes_.find(node);
  if (known == nodes_.end()) return;
  known->second.gone = true;
  if (known->second.connections.empty()) {
    nodes_.erase(known);
    return;
  }
  for (net::SlotId id : std::vector(known->second.connections)) retire_connection(id);
}

void Links::retire_connection(net::SlotId id) {
  Connection* connection = connections_.find(id);
  if (!connection) return;
  connection->retired = true;
  if (connection->attempts.empty() && connection->probes.empty())
    close(id, "the node was removed or has moved");
}

void Links::drop_idle(NodeId node) {
  auto known = nodes_.find(node);
  if (known == nodes_.end()) return;
  for (net::SlotId id : std::vector(known->second.connections)) {
    Connection* connection = connections_.find(id);
    if (connection && connection->attempts.empty() && connection->probes.empty()) {
      ++counters_.closed_idle;
      close(id, "idle");
    }
  }
}

// With more nodes than descriptors, the node that is sent to displaces the one not used for longest;
// otherwise its part would fail as if the node were unreachable.
bool Links::close_one_idle() {
  net::SlotId oldest;
  net::Time least = net::Time::max();
  connections_.each([&](net::SlotId id, Connection& connection) {
    if (!connection.up || !connection.attempts.empty() || !connection.abandoned.empty() ||
        !connection.probes.empty() || !connection.out.empty() || connection.last_used >= least)
      return;
    oldest = id;
    least = connection.last_used;
  });
  if (!oldest) return false;
  ++counters_.closed_for_room;
  close(oldest, "room for another node");
  return true;
}

// Logs the first failure of a node and its first answer after that; failures in between are only counted.
void Links::note_failure(Node& node, const char* why) {
  if (++node.failures == 1) log_.warning("node at {}: {}", node.address.text(), why);
}

void Links::note_answer(NodeId number) {
  Node& node = nodes_[number];
  if (node.failures == 0) return;
  log_.info("node at {} answers again, after {} failed connections", node.address.text(), node.failures);
  node.failures = 0;
}

// ---- sending ----

void Links::send(NodeId node, std::span<const Call> call) {
  for (const Call& part : call) mark_earlier_silent(part.part, part.attempt);
  net::SlotId id = connection_for(node, call);
  std::uint64_t number = ++last_call_;
  Frame frame;
  for (const Call& part : call) {
    net::SlotId slot = attempts_.add();
    Attempt& attempt = *attempts_.find(slot);
    attempt.part = part.part;
    attempt.number = part.attempt;
    attempt.node = node;
    attempt.connection = id;
    attempt.call = number;
    attempt.id = part.id;
    attempt.sent = loop_.now();
    attempt.forget_at = part.forget_at;
    attempt.timer = loop_.at(part.give_up_at, [this, slot] { abandon(slot, Outcome::timeout); });
    by_part_[{part.part, part.attempt}] = slot;
    frame.parts.push_back({slot, part.shard, std::string(part.text), part.give_up_at});
  }
  Connection* connection = connections_.find(id);
  if (!connection) {
    for (const QueuedPart& part : frame.parts) end(part.attempt, Outcome::connect_failed);
    return;
  }
  connection->calls[number] = static_cast<int>(call.size());
  for (const QueuedPart& part : frame.parts)
    connection->attempts[attempts_.find(part.attempt)->id] = part.attempt;
  enqueue(id, std::move(frame));
}

void Links::serialize(Frame& frame) {
  std::vector<OutgoingPart> parts;
  for (const QueuedPart& part : frame.parts) {
    double wait_ms = std::ceil(net::Duration(part.give_up_at - loop_.now()).count() * 1000);
    parts.push_back({attempts_.find(part.attempt)->id, part.shard,
                     std::max<std::int64_t>(1, static_cast<std::int64_t>(wait_ms)), part.text});
  }
  frame.bytes = call_frame(parts);
}

// Detects a connection that has gone silent while its node serves on others, as with a broken network path.
// Once an attempt on it is presumed lost (cancelled, timed out or sent again) and nothing has been read
// since it was written, the connection gets no new calls until something is read, and is closed once no
// answer can arrive. If a whole node hangs, each lost attempt may cost one further connection until the
// deadline of its query.
void Links::mark_silent(const Attempt& attempt) {
  Connection* connection = connections_.find(attempt.connection);
  if (!connection || connection->silent || !attempt.written || connection->last_read > attempt.written_at)
    return;
  connection->silent = true;
  ++counters_.fell_silent;
}

// Closes a silent connection with nothing in flight; true if it did.
bool Links::close_if_silent(net::SlotId id) {
  Connection& connection = *connections_.find(id);
  if (!connection.silent || !connection.attempts.empty() || !connection.abandoned.empty() ||
      !connection.probes.empty())
    return false;
  ++counters_.closed_silent;
  close(id, "the connection fell silent");
  return true;
}

void Links::mark_earlier_silent(PartId part, int number) {
  auto end = by_part_.lower_bound({part, number});
  for (auto it = by_part_.lower_bound({part, 0}); it != end; ++it) mark_silent(*attempts_.find(it->second));
}

// Chooses a connection with a free place on which none of these ids is awaited, as two answers under one id
// could not be told apart. Prefers an established connection, then one being established, then a new one.
net::SlotId Links::connection_for(NodeId node, std::span<const Call> call) {
  net::SlotId connecting;
  auto known = nodes_.find(node);
  if (known == nodes_.end()) return {};  // removed
  for (net::SlotId id : std::vector(known->second.connections)) {
    Connection& connection = *connections_.find(id);
    forget_old(connection);
    if (close_if_silent(id)) continue;
    // A partial frame is buffered: the rest may never arrive.
    if (connection.retired || connection.silent || connection.in.size() > 0 ||
        connection.calls.size() >= static_cast<std::size_t>(limits_.calls_per_connection))
      continue;
    bool taken = std::any_of(call.begin(), call.end(), [&](const Call& part) {
      return connection.attempts.find(part.id) != connection.attempts.end() ||
             connection.abandoned.find(part.id) != connection.abandoned.end();
    });
    if (taken) continue;
    if (connection.up) return id;
    if (!connecting) connecting = id;
  }
  return connecting ? connecting : open(node);
}

net::SlotId Links::open(NodeId node) {
  bool room = handler_.make_room();  // may close a connection, and with it drop a removed node
  Node& known = nodes_[node];
  if (known.address.port == 0 || !room) {
    ++counters_.connects_failed;
    return {};
  }
  int error = 0;
  net::Fd fd = net::start_connect(known.address, error);
  ++counters_.connects;
  if (!fd) {
    ++counters_.connects_failed;
    note_failure(known, std::strerror(error));
    return {};
  }
  net::SlotId id = connections_.add();
  Connection& connection = *connections_.find(id);
  connection.node = node;
  connection.fd = std::move(fd);
  connection.watch =
      loop_.watch(connection.fd.get(), POLLOUT, [this, id](short events) { on_ready(id, events); });
  connection.timer =
      loop_.at(loop_.now() + limits_.connect_timeout, [this, id] { close(id, "connect timed out"); });
  connection.last_used = loop_.now();
  known.connections.push_back(id);
  return id;
}

void Links::enqueue(net::SlotId id, Frame frame) {
  Connection& connection = *connections_.find(id);
  connection.out.push_back(std::move(frame));
  if (connection.up) write(id);
}

void Links::write(net::SlotId id) {
  Connection* connection = connections_.find(id);
  while (connection && !connection->out.empty()) {
    Frame& frame = connection->out.front();
    if (frame.bytes.empty()) serialize(frame);
    std::string_view left = std::string_view(frame.bytes).substr(connection->front_written);
    std::size_t written = 0;
    net::IoResult result = net::write_from(connection->fd, left, written);
    if (result == net::IoResult::failed) return close(id, "it broke while it was written to");
    if (result == net::IoResult::none) break;
    connection->front_written += written;
    connection->last_used = loop_.now();
    if (written < left.size()) continue;
    // From here on the node may have executed the call.
    for (const QueuedPart& part : frame.parts)
      if (Attempt* attempt = attempts_.find(part.attempt)) {
        attempt->written = true;
        attempt->written_at = loop_.now();
      }
    if (!frame.parts.empty()) ++counters_.frames_sent;
    connection->out.pop_front();
    connection->front_written = 0;
  }
  if (connection) update_watch(*connection);
}

void Links::update_watch(Connection& connection) {
  connection.watch.set_events(static_cast<short>(POLLIN | (connection.out.empty() ? 0 : POLLOUT)));
}

// ---- cancelling ----

void Links::give_up(PartId part, int attempt) {
  auto found = by_part_.find({part, attempt});
  if (found != by_part_.end()) abandon(found->second, Outcome::cancelled);
}

void Links::abandon(net::SlotId slot, Outcome outcome) {
  Attempt* attempt = attempts_.find(slot);
  if (!attempt) return;
  mark_silent(*attempt);
  net::SlotId id = attempt->connection;
  Connection* connection = connections_.find(id);
  bool notify_node = false;
  std::string wire_id = attempt->id;
  if (connection) {
    // An unwritten part is simply removed.
    if (!unqueue(*connection, slot)) {
      connection->abandoned[wire_id] = {attempt->call, attempt->forget_at};
      notify_node = limits_.may_cancel;
    }
  }
  end(slot, outcome);
  // Closing the connection cancels whatever the node still has of it.
  if (connection && connection->retired) retire_connection(id);
  if (notify_node && connections_.find(id)) {
    ++counters_.give_ups_sent;
    enqueue(id, {give_up_frame(wire_id), {}});
  }
}

// False if its frame has begun to be written.
bool Links::unqueue(Connection& connection, net::SlotId slot) {
  for (auto frame = connection.out.begin(); frame != connection.out.end(); ++frame) {
    if (!frame->bytes.empty()) continue;
    auto is_it = [&](const QueuedPart& part) { return part.attempt == slot; };
    if (std::erase_if(frame->parts, is_it) == 0) continue;
    release_call_part(connection, attempts_.find(slot)->call);
    if (frame->parts.empty()) connection.out.erase(frame);
    return true;
  }
  return false;
}

// A frame may wait for a connection being established or a slow reader until after the end of its query.
void Links::withdraw(PartId part) {
  for (auto it = by_part_.lower_bound({part, 0}); it != by_part_.end() && it->first.first == part;) {
    net::SlotId slot = it->second;
    ++it;
    Connection* connection = connections_.find(attempts_.find(slot)->connection);
    if (connection && unqueue(*connection, slot)) end(slot, Outcome::not_sent);
  }
}

void Links::release_call_part(Connection& connection, std::uint64_t call) {
  auto found = connection.calls.find(call);
  if (found != connection.calls.end() && --found->second <= 0) connection.calls.erase(found);
}

// Remembers enough ids to distinguish a repeated or late answer from a corrupt one.
void Links::remember_settled(Connection& connection, std::string_view wire_id) {
  connection.settled.push_back(std::hash<std::string_view>{}(wire_id));
  if (connection.settled.size() > 4 * static_cast<std::size_t>(limits_.calls_per_connection))
    connection.settled.pop_front();
}

void Links::forget_old(Connection& connection) {
  for (auto it = connection.abandoned.begin(); it != connection.abandoned.end();) {
    if (it->second.forget_at > loop_.now()) {
      ++it;
      continue;
    }
    release_call_part(connection, it->second.call);
    remember_settled(connection, it->first);
    it = connection.abandoned.erase(it);
  }
}

void Links::end(net::SlotId slot, Outcome outcome, std::string_view value, std::string_view report) {
  Attempt* attempt = attempts_.find(slot);
  if (!attempt) return;
  AttemptEnd ended{attempt->part, attempt->number, attempt->node, outcome, loop_.now() - attempt->sent,
                   value,         report};
  net::SlotId id = attempt->connection;
  if (Connection* connection = connections_.find(id)) connection->attempts.erase(attempt->id);
  by_part_.erase({attempt->part, attempt->number});
  attempts_.release(slot);
  handler_.attempt_ended(ended);
}

// ---- connections ----

void Links::on_ready(net::SlotId id, short events) {
  Connection* connection = connections_.find(id);
  if (!connection) return;
  if (!connection->up) return on_connected(id);
  if ((events & (POLLIN | POLLHUP | POLLERR)) != 0 && !read(id)) return;
  if ((events & POLLOUT) != 0) write(id);
}

void Links::on_connected(net::SlotId id) {
  Connection& connection = *connections_.find(id);
  if (int error = net::connect_error(connection.fd)) return close(id, std::strerror(error));
  connection.up = true;
  connection.last_used = connection.last_read = loop_.now();
  update_watch(connection);
  arm_idle_timer(id);
  write(id);
}

// False if the connection was closed.
bool Links::read(net::SlotId id) {
  for (int i = 0; i < reads_at_once; ++i) {
    Connection* connection = connections_.find(id);
    if (!connection) return false;
    net::IoResult result = net::read_into(connection->fd, connection->in, read_step);
    if (result == net::IoResult::none) return true;
    if (result != net::IoResult::some) {
      close(id, result == net::IoResult::ended ? "closed by the node" : "it broke");
      return false;
    }
    connection->last_used = connection->last_read = loop_.now();
    connection->silent = false;
    FrameView frame;
    FrameResult found = FrameResult::more;
    while ((found = next_frame(connection->in.view(), frame)) == FrameResult::whole) {
      handle_frame(id, frame);
      connection = connections_.find(id);
      if (!connection) return false;
      connection->in.consume(frame.size);
    }
    // With nothing in flight, leftover bytes belong to no answer.
    bool idle = connection->attempts.empty() && connection->abandoned.empty() && connection->probes.empty();
    if (found == FrameResult::broken || (idle && connection->in.size() > 0)) {
      ++counters_.broken_frames;
      close(id, "malformed frame");
      return false;
    }
  }
  return true;
}

void Links::handle_frame(net::SlotId id, const FrameView& frame) {
  switch (frame.letter) {
    case 'q': {
      auto answer = parse_answer(frame.rest);
      if (answer) return handle_answer(id, *answer);
      break;
    }
    case 'o':
    case 'p':
      return handle_probe_answer(id, frame);
    case 'r':
      ++counters_.complaints;
      log_.warning("a node could not use a frame: {}", frame.rest.substr(0, 200));
      return close(id, "the node could not use a frame");
    default:
      break;
  }
  ++counters_.broken_frames;
  close(id, "malformed frame");
}

void Links::handle_answer(net::SlotId id, const PartAnswer& answer) {
  Connection& connection = *connections_.find(id);
  auto found = connection.attempts.find(answer.id);
  if (found == connection.attempts.end()) {
    auto late = connection.abandoned.find(answer.id);
    if (late != connection.abandoned.end()) {
      ++counters_.late_answers;
      release_call_part(connection, late->second.call);
      remember_settled(connection, answer.id);
      connection.abandoned.erase(late);
      return;
    }
    auto& settled = connection.settled;
    if (std::find(settled.begin(), settled.end(), std::hash<std::string_view>{}(answer.id)) !=
        settled.end()) {
      ++counters_.late_answers;
      return;
    }
    // An answer under a corrupt id: which request it was meant for is unknown.
    ++counters_.unknown_answers;
    return close(id, "an answer to nothing that was sent");
  }
  net::SlotId slot = found->second;
  note_answer(connection.node);
  remember_settled(connection, answer.id);
  release_call_part(connection, attempts_.find(slot)->call);
  Outcome outcome = answer.end == PartOutcome::served  ? Outcome::ok
                    : answer.end == PartOutcome::error ? Outcome::error
                                                       : Outcome::refused;
  end(slot, outcome, answer.end == PartOutcome::served ? answer.value : std::string_view{}, answer.report);
  if (connection.retired) retire_connection(id);
}

void Links::arm_idle_timer(net::SlotId id) {
  Connection& connection = *connections_.find(id);
  // Closes before the node does, with a margin, so that no request crosses the node's close.
  net::Duration keep = std::max(limits_.idle_close - 2 * limits_.connect_timeout, limits_.idle_close / 2);
  net::Time due = std::max(connection.last_used + keep, loop_.now() + keep / 100);
  connection.timer = loop_.at(due, [this, id] { on_idle_timer(id); });
}

void Links::on_idle_timer(net::SlotId id) {
  Connection& connection = *connections_.find(id);
  forget_old(connection);
  if (close_if_silent(id)) return;
  net::Duration keep = std::max(limits_.idle_close - 2 * limits_.connect_timeout, limits_.idle_close / 2);
  if (!connection.attempts.empty() || !connection.probes.empty() || loop_.now() < connection.last_used + keep)
    return arm_idle_timer(id);
  ++counters_.closed_idle;
  close(id, "idle");
}

void Links::close(net::SlotId id, const char* why) {
  Connection* connection = connections_.find(id);
  if (!connection) return;
  auto known = nodes_.find(connection->node);
  Node& node = known->second;
  std::erase(node.connections, id);
  if (!connection->up) ++counters_.connects_failed;
  if (!connection->attempts.empty() || !connection->up) note_failure(node, why);
  if (node.gone && node.connections.empty()) nodes_.erase(known);
  Connection ended = std::move(*connection);
  connections_.release(id);
  // The descriptor is closed before the outcomes are reported, so that handlers can reuse it.
  ended.watch.reset();
  ended.timer.reset();
  ended.probe_timer.reset();
  ended.fd.reset();
  for (const auto& [wire_id, slot] : ended.attempts) {
    Attempt* attempt = attempts_.find(slot);
    if (attempt) end(slot, attempt->written ? Outcome::reset : Outcome::connect_failed);
  }
  for (const Probe& probe : ended.probes)
    if (!probe.ended)
      handler_.probe_ended(
          {ended.node, ended.up ? Outcome::reset : Outcome::connect_failed, loop_.now() - probe.sent, {}});
}

// ---- probes ----

void Links::probe(NodeId node, bool for_load) {
  net::SlotId id = connection_for(node, {});
  Connection* connection = connections_.find(id);
  if (!connection) {
    handler_.probe_ended({node, Outcome::connect_failed, {}, {}});
    return;
  }
  connection->probes.push_back({loop_.now(), false});
  if (!connection->probe_timer.pending()) arm_probe_timer(id);
  enqueue(id, {probe_frame(for_load), {}});
}

void Links::arm_probe_timer(net::SlotId id) {
  Connection& connection = *connections_.find(id);
  connection.probe_timer.reset();
  for (const Probe& probe : connection.probes) {
    if (probe.ended) continue;
    connection.probe_timer =
        loop_.at(probe.sent + limits_.connect_timeout, [this, id] { on_probe_timer(id); });
    return;
  }
}

void Links::on_probe_timer(net::SlotId id) {
  Connection& connection = *connections_.find(id);
  std::vector<ProbeEnd> ended;
  for (Probe& probe : connection.probes) {
    if (probe.ended || probe.sent + limits_.connect_timeout > loop_.now()) continue;
    probe.ended = true;
    ended.push_back({connection.node, Outcome::timeout, loop_.now() - probe.sent, {}});
  }
  arm_probe_timer(id);
  for (const ProbeEnd& end : ended) handler_.probe_ended(end);
}

void Links::handle_probe_answer(net::SlotId id, const FrameView& frame) {
  Connection& connection = *connections_.find(id);
  if (connection.probes.empty()) {
    ++counters_.unknown_answers;
    return close(id, "an answer to nothing that was sent");
  }
  Probe probe = connection.probes.front();
  connection.probes.pop_front();
  arm_probe_timer(id);
  if (probe.ended) return;
  bool passed = frame.letter == 'o' ? frame.rest == "good" : frame.rest != "bad";
  std::string_view report =
      frame.letter == 'p' && passed && frame.rest != "-" ? frame.rest : std::string_view{};
  handler_.probe_ended(
      {connection.node, passed ? Outcome::ok : Outcome::error, loop_.now() - probe.sent, report});
}

}  // namespace pearspar::nodelink
