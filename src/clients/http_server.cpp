#include "clients/http_server.h"

#include <fmt/format.h>

#include <algorithm>
#include <chrono>
#include <limits>
#include <utility>

#include "allocation/allocation.h"
#include "clients/query.h"
#include "invariants/invariants.h"

namespace pearspar::clients {
namespace {

using namespace std::chrono_literals;

constexpr std::size_t read_chunk_bytes = 16 * 1024;
// Pipelined bytes that are read while a request is pending; more stay in the kernel.
constexpr std::size_t max_read_ahead_bytes = 64 * 1024;
// Bound the work for one connection, or for many new ones, in one iteration of the loop.
constexpr int max_reads_per_event = 8;
constexpr int max_accepts_per_event = 64;
constexpr net::Duration close_linger = 1s;          // for the client to read the last answer
constexpr net::Duration accept_retry_delay = 20ms;  // after running out of descriptors
constexpr double outdated_limits_retry_after_s = 0.2;
constexpr std::size_t max_arrivals = 8;  // later bytes share the time of the last entry

}  // namespace

void HttpServer::listen(const net::Address& address) {
  listener_ = net::listen_on(address);
  listener_watch_ =
      loop_.watch(listener_.get(), POLLIN, [this](short) { accept_waiting(max_accepts_per_event); });
}

// Accepts new connections and closes idle ones to make room for them.
void HttpServer::accept_waiting(int max_accepts) {
  for (int i = 0; listener_ && i < max_accepts; ++i) {
    net::Fd fd;
    // An idle connection is closed only if a new one is waiting.
    if (connections_.size() >= max_connections_ && !net::readable(listener_)) return;
    bool full = connections_.size() >= max_connections_ && !close_one_idle();
    switch (full ? net::AcceptResult::no_descriptors : net::accept_one(listener_, fd)) {
      case net::AcceptResult::none:
        return;
      case net::AcceptResult::failed:
        ++counters_.accept_failures;
        continue;
      case net::AcceptResult::no_descriptors:
        ++counters_.accept_failures;
        if (close_one_idle()) continue;
        // The listener stays readable, so the loop would spin if it were still watched.
        warn_("no descriptor for a client");
        listener_watch_.set_events(0);
        resume_accepting_ = loop_.at(loop_.now() + accept_retry_delay, [this] {
          listener_watch_.set_events(POLLIN);
          accept_waiting(max_accepts_per_event);
        });
        return;
      case net::AcceptResult::accepted:
        break;
    }
    ++counters_.accepted;
    net::SlotId id = connections_.add(limits_);
    Connection& connection = *connections_.find(id);
    connection.fd = std::move(fd);
    connection.last_used = loop_.now();
    connection.watch =
        loop_.watch(connection.fd.get(), POLLIN, [this, id](short events) { on_ready(id, events); });
    set_timeout(id, timeouts_.request);
    // The first request often has arrived already.
    if (read(id) && connections_.find(id)->state == State::reading) advance(id);
  }
}

void HttpServer::stop_listening() {
  accept_waiting(std::numeric_limits<int>::max());
  listener_watch_.reset();
  resume_accepting_.reset();
  listener_.reset();
}

bool HttpServer::idle(const Connection& connection) const {
  return connection.state == State::reading && !connection.half_closed &&
         !connection.reader.begun(connection.in);
}

void HttpServer::close_idle() {
  connections_.each([&](net::SlotId id, Connection& connection) {
    if (idle(connection)) close(id);
  });
}

void HttpServer::close_idle_since(net::Time before) {
  connections_.each([&](net::SlotId id, Connection& connection) {
    if (connection.last_used < before && idle(connection)) close(id);
  });
}

void HttpServer::set_limits(RequestTimeouts timeouts, http::MessageLimits limits) {
  timeouts_ = timeouts;
  limits_ = limits;
  connections_.each(
      [&](net::SlotId, Connection& connection) { connection.reader.set_limits(limits, connection.in); });
}

std::size_t HttpServer::busy() {
  std::size_t count = 0;
  connections_.each([&](net::SlotId, Connection& connection) {
    if (connection.state != State::reading || connection.half_closed) ++count;
  });
  return count;
}

bool HttpServer::close_one_idle() {
  net::SlotId oldest;
  // A new connection ranks last: its first request is probably on its way, and clients do not retry it. Such
  // requests failed when clients that keep their connections for good had filled the table.
  net::Time new_since = loop_.now() - timeouts_.request / 4;
  std::pair<int, net::Time> lowest_rank{3, net::Time::max()};
  connections_.each([&](net::SlotId id, Connection& connection) {
    int group = connection.has_requested ? 1 : connection.last_used < new_since ? 0 : 2;
    std::pair<int, net::Time> rank{group, connection.last_used};
    if (idle(connection) && rank < lowest_rank) oldest = id, lowest_rank = rank;
  });
  if (!oldest) return false;
  ++counters_.closed_for_room;
  close(oldest);
  return true;
}

void HttpServer::on_ready(net::SlotId id, short events) {
  const allocation::Activity activity("a client's connection");
  Connection* connection = connections_.find(id);
  if (!connection) return;
  if ((events & (POLLIN | POLLRDHUP | POLLHUP | POLLERR)) != 0) {
    if (!read(id)) return;
    // With a full buffer nothing is read, so a disconnect shows only in the events.
    bool full = connection->in.size() >= max_read_ahead_bytes && connection->state != State::reading;
    if (full && (events & (POLLRDHUP | POLLHUP | POLLERR)) != 0) return close(id);
    if (connection->state == State::reading && !connection->half_closed)
      advance(id);
    else
      update_events(*connection);
  }
  connection = connections_.find(id);
  if (connection && connection->state == State::writing && (events & POLLOUT) != 0) write(id);
}

// Returns false if the connection was closed.
bool HttpServer::read(net::SlotId id) {
  Connection& connection = *connections_.find(id);
  for (int i = 0; i < max_reads_per_event; ++i) {
    if (connection.in.size() >= max_read_ahead_bytes && connection.state != State::reading) break;
    // Bytes received after the last answer are discarded.
    const std::size_t bytes_before = connection.in.size();
    net::IoResult result = connection.half_closed
                               ? net::discard(connection.fd)
                               : net::read_into(connection.fd, connection.in, read_chunk_bytes);
    if (result == net::IoResult::some) {
      connection.last_used = loop_.now();
      if (connection.half_closed) continue;
      const State previous_state = connection.state;
      record_arrival(connection, connection.in.size() - bytes_before);
      update_held_bytes(connection);
      if (!make_room() && previous_state != State::reading) {
        // These are pipelined bytes, and nothing else can be freed.
        ++counters_.closed_for_memory;
        close(id);
      }
      Connection* current = connections_.find(id);
      if (!current) return false;
      if (current->state != previous_state || current->in.size() >= max_read_ahead_bytes) break;
      continue;
    }
    if (result == net::IoResult::none) {
      connection.unread_since.reset();
      return true;
    }
    close(id);  // a client that closed its side does not wait for an answer
    return false;
  }
  return true;
}

Answer HttpServer::refusal_of_unreadable(const http::MessageReader& reader) const {
  const int status = reader.failure_status();
  const bool exceeds_limits = status == 413 || status == 431;
  Answer refusal{status, error_body(reader.failure_reason()), "application/json", {}, 0};
  if (!exceeds_limits || handler_.limits_are_current()) return refusal;
  refusal.status = 503;
  refusal.retry_after_s = outdated_limits_retry_after_s;
  return refusal;
}

// Passes the request at the front of the buffer to the handler once it is complete.
void HttpServer::advance(net::SlotId id) {
  Connection& connection = *connections_.find(id);
  switch (connection.reader.advance(connection.in)) {
    case http::Progress::more:
      if (connection.reader.take_continue_request()) {
        constexpr std::string_view interim = "HTTP/1.1 100 Continue\r\n\r\n";
        std::size_t written = 0;
        net::write_from(connection.fd, interim, written);
        // A partial one would corrupt the answer; it happens only if the client does not read.
        if (written > 0 && written < interim.size()) return close(id);
      }
      if (connection.reader.begun(connection.in)) {
        connection.has_requested = true;
        if (!connection.timer.pending()) set_timeout(id, timeouts_.request);
      }
      return update_events(connection);
    case http::Progress::failed:
      ++counters_.bad_requests;
      connection.timer.reset();
      // Closes the connection, since the start of the next request is unknown.
      queue(connection, refusal_of_unreadable(connection.reader), true);
      return write(id);
    case http::Progress::done:
      break;
  }
  ++counters_.requests;
  connection.has_requested = true;
  connection.timer.reset();
  connection.state = State::waiting;
  connection.last_used = loop_.now();
  connection.consumed = false;
  connection.request_bytes = connection.in.size();
  update_held_bytes(connection);
  if (!make_room()) return refuse_for_memory(id);
  handler_.request_arrived(id, connection.reader.message());
  // The handler has copied what it needs, so a long body is not held twice until the answer is ready.
  Connection* pending = connections_.find(id);
  if (!pending || pending->state != State::waiting) return;
  consume(*pending);
  update_held_bytes(*pending);
  // After consume(): a long request still in the buffer would count as pipelined bytes and pause reading, and
  // the next request's arrival would be recorded too late.
  update_events(*pending);
}

// Removes the pending request from the buffer; keeps what its answer needs.
void HttpServer::consume(Connection& connection) {
  if (std::exchange(connection.consumed, true)) return;
  connection.keep_alive = connection.reader.message().keep_alive;
  connection.is_head_request = connection.reader.is_head_request();
  connection.reader.next(connection.in);
  const std::uint64_t used = connection.received - connection.in.size();
  std::erase_if(connection.arrivals, [&](const auto& arrival) { return arrival.until <= used; });
}

void HttpServer::record_arrival(Connection& connection, std::size_t bytes) {
  connection.received += bytes;
  if (connection.arrivals.size() < max_arrivals)
    connection.arrivals.push_back({connection.received, connection.unread_since.value_or(loop_.now())});
  else
    connection.arrivals.back().until = connection.received;
}

net::Time HttpServer::request_began(net::SlotId id) {
  const Connection* connection = connections_.find(id);
  return connection && !connection->arrivals.empty() ? connection->arrivals.front().at : loop_.now();
}

void HttpServer::queue(Connection& connection, const Answer& answer, bool close_after) {
  connection.state = State::writing;
  connection.close_after = close_after;
  connection.written = 0;
  connection.last_used = loop_.now();
  const bool is_head_request =
      connection.consumed ? connection.is_head_request : connection.reader.is_head_request();
  bool bare = answer.bare || (omit_body_for_head_ && is_head_request);
  std::string& out = connection.out;
  out = fmt::format("HTTP/1.1 {} {}\r\n", answer.status, http::reason(answer.status));
  if (!answer.type.empty()) out += fmt::format("Content-Type: {}\r\n", answer.type);
  if (!answer.bare) out += fmt::format("Content-Length: {}\r\n", answer.body.size());
  if (answer.retry_after_s > 0) out += fmt::format("Retry-After: {:.3f}\r\n", answer.retry_after_s);
  out += answer.headers;
  if (!answer.allow.empty()) out += fmt::format("Allow: {}\r\n", answer.allow);
  if (close_after) out += "Connection: close\r\n";
  out += "\r\n";
  if (!bare) out += answer.body;
  connection.consumed = false;
  update_held_bytes(connection);
}

void HttpServer::answer(net::SlotId id, const Answer& answer) {
  Connection* connection = connections_.find(id);
  if (!connection || connection->state != State::waiting) return;
  ++counters_.answers;
  consume(*connection);
  queue(*connection, answer, draining_ || !connection->keep_alive);
  write(id);
}

void HttpServer::write(net::SlotId id) {
  Connection& connection = *connections_.find(id);
  while (connection.written < connection.out.size()) {
    std::size_t written = 0;
    net::IoResult result =
        net::write_from(connection.fd, std::string_view(connection.out).substr(connection.written), written);
    if (result == net::IoResult::failed) return close(id);
    if (result == net::IoResult::none) break;
    connection.written += written;
    connection.last_used = loop_.now();
  }
  if (connection.written == connection.out.size()) return finish_write(id);
  if (!connection.timer.pending()) set_timeout(id, timeouts_.answer);
  update_events(connection);
}

void HttpServer::finish_write(net::SlotId id) {
  Connection& connection = *connections_.find(id);
  connection.last_used = loop_.now();
  std::string().swap(connection.out);
  connection.written = 0;
  connection.timer.reset();
  connection.state = State::reading;
  update_held_bytes(connection);
  if (connection.close_after) {
    if (connection.half_closed) return;
    // Closing a socket with unread bytes resets the connection, and the client could lose the answer. So only
    // the sending side is closed, and received bytes are discarded for a moment.
    connection.half_closed = true;
    net::end_sending(connection.fd);
    connection.in.release();
    update_held_bytes(connection);
    set_timeout(id, close_linger);
    connection.watch.set_events(POLLIN);
    return;
  }
  // Pipelined requests are handled in the next iteration, so that one client cannot block the loop.
  if (connection.in.size() > 0)
    connection.timer = loop_.at(loop_.now(), [this, id] {
      Connection* next = connections_.find(id);
      if (!next || next->state != State::reading) return;
      next->timer.reset();
      advance(id);
    });
  update_events(connection);
}

void HttpServer::update_events(Connection& connection) {
  const bool reads = connection.in.size() < max_read_ahead_bytes || connection.state == State::reading;
  if (!reads && !connection.unread_since) connection.unread_since = loop_.now();
  short events = static_cast<short>(reads ? POLLIN : POLLRDHUP);
  if (connection.state == State::writing) events = static_cast<short>(events | POLLOUT);
  connection.watch.set_events(events);
}

void HttpServer::set_timeout(net::SlotId id, net::Duration span) {
  Connection& connection = *connections_.find(id);
  connection.timer = loop_.at(loop_.now() + span, [this, id] { on_timeout(id); });
}

void HttpServer::on_timeout(net::SlotId id) {
  Connection* connection = connections_.find(id);
  if (!connection) return;
  connection->timer.reset();
  if (connection->half_closed) return close(id);
  if (idle(*connection)) {
    ++counters_.closed_unused;
    return close(id);
  }
  ++counters_.timed_out;
  if (connection->state != State::reading) return close(id);
  queue(*connection, {408, error_body("the request did not come in time"), "application/json", {}, 0}, true);
  write(id);
}

void HttpServer::close(net::SlotId id) {
  Connection* connection = connections_.find(id);
  if (!connection) return;
  bool waiting = connection->state == State::waiting;
  held_bytes_ -= connection->held;
  connections_.release(id);
  invariants::check(invariants::Invariant::bytes_are_accounted, connections_.size() > 0 || held_bytes_ == 0,
                    "front");
  if (waiting) handler_.client_left(id);
}

}  // namespace pearspar::clients
