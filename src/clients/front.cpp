#include "clients/front.h"

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

constexpr std::size_t read_step = 16 * 1024;
// Bytes held of what a client sends ahead of its turn; more stay in the kernel.
constexpr std::size_t most_ahead = 64 * 1024;
// What one peer, or the many that connect at once, may have of one turn of the loop.
constexpr int reads_at_once = 8;
constexpr int accepts_at_once = 64;
constexpr net::Duration linger_time = 1s;     // for a client to see our last words before the end
constexpr net::Duration accept_pause = 20ms;  // when descriptors have run out
constexpr std::size_t most_marks = 8;         // further bytes count as of the last one's moment

}  // namespace

void Front::listen(const net::Address& address) {
  listener_ = net::listen_on(address);
  listener_watch_ = loop_.watch(listener_.get(), POLLIN, [this](short) { accept_waiting(accepts_at_once); });
}

// What the kernel has accepted counts as taken, so nothing is left waiting there for long: room is made for
// it.
void Front::accept_waiting(int most) {
  for (int i = 0; listener_ && i < most; ++i) {
    net::Fd fd;
    // Nobody makes way before somebody is there to take the place.
    if (connections_.size() >= most_ && !net::readable(listener_)) return;
    bool full = connections_.size() >= most_ && !close_one_idle();
    switch (full ? net::AcceptResult::no_descriptors : net::accept_one(listener_, fd)) {
      case net::AcceptResult::none:
        return;
      case net::AcceptResult::failed:
        ++counters_.accept_failures;
        continue;
      case net::AcceptResult::no_descriptors:
        ++counters_.accept_failures;
        if (close_one_idle()) continue;
        // Its readiness would spin the loop while nothing can be done about it.
        warn_("no descriptor for a client");
        listener_watch_.want(0);
        accept_again_ = loop_.at(loop_.now() + accept_pause, [this] {
          listener_watch_.want(POLLIN);
          accept_waiting(accepts_at_once);
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
    guard(id, patience_.request);
    // Its first request is often there already.
    if (read(id) && connections_.find(id)->state == State::reading) advance(id);
  }
}

void Front::stop_listening() {
  accept_waiting(std::numeric_limits<int>::max());
  listener_watch_.reset();
  accept_again_.reset();
  listener_.reset();
}

bool Front::idle(const Connection& connection) const {
  return connection.state == State::reading && !connection.half_closed &&
         !connection.reader.begun(connection.in);
}

void Front::close_idle() {
  connections_.each([&](net::SlotId id, Connection& connection) {
    if (idle(connection)) close(id);
  });
}

void Front::close_idle_since(net::Time before) {
  connections_.each([&](net::SlotId id, Connection& connection) {
    if (connection.last_used < before && idle(connection)) close(id);
  });
}

std::size_t Front::busy() {
  std::size_t count = 0;
  connections_.each([&](net::SlotId, Connection& connection) {
    if (connection.state != State::reading || connection.half_closed) ++count;
  });
  return count;
}

bool Front::close_one_idle() {
  net::SlotId oldest;
  // One that has just connected is about to ask: closing it would fail its first request, which the client
  // does not send again. Found on a day on which others that keep their connection for good filled the table.
  net::Time fresh = loop_.now() - patience_.request / 4;
  std::pair<int, net::Time> least{3, net::Time::max()};
  connections_.each([&](net::SlotId id, Connection& connection) {
    int group = connection.asked ? 1 : connection.last_used < fresh ? 0 : 2;
    std::pair<int, net::Time> rank{group, connection.last_used};
    if (idle(connection) && rank < least) oldest = id, least = rank;
  });
  if (!oldest) return false;
  ++counters_.closed_for_room;
  close(oldest);
  return true;
}

void Front::on_ready(net::SlotId id, short events) {
  const allocation::Activity activity("a client's connection");
  Connection* connection = connections_.find(id);
  if (!connection) return;
  if ((events & (POLLIN | POLLRDHUP | POLLHUP | POLLERR)) != 0) {
    if (!read(id)) return;
    // With as much ahead as is held, nothing is read: its end shows by this alone.
    bool full = connection->in.size() >= most_ahead && connection->state != State::reading;
    if (full && (events & (POLLRDHUP | POLLHUP | POLLERR)) != 0) return close(id);
    if (connection->state == State::reading && !connection->half_closed)
      advance(id);
    else
      want(*connection);
  }
  connection = connections_.find(id);
  if (connection && connection->state == State::writing && (events & POLLOUT) != 0) write(id);
}

// False where the connection is gone afterwards.
bool Front::read(net::SlotId id) {
  Connection& connection = *connections_.find(id);
  for (int i = 0; i < reads_at_once; ++i) {
    if (connection.in.size() >= most_ahead && connection.state != State::reading) break;
    // What follows our last words is not looked at.
    const std::size_t before_bytes = connection.in.size();
    net::IoResult result = connection.half_closed ? net::discard(connection.fd)
                                                  : net::read_into(connection.fd, connection.in, read_step);
    if (result == net::IoResult::some) {
      connection.last_used = loop_.now();
      if (connection.half_closed) continue;
      const State before = connection.state;
      mark(connection, connection.in.size() - before_bytes);
      account(connection);
      if (!make_room() && before != State::reading) {
        // Bytes ahead of their turn, and nothing else to be given up.
        ++counters_.closed_for_memory;
        close(id);
      }
      Connection* still = connections_.find(id);
      if (!still) return false;
      if (still->state != before || still->in.size() >= most_ahead) break;
      continue;
    }
    if (result == net::IoResult::none) {
      connection.unread_since.reset();
      return true;
    }
    close(id);  // a client that ends its side, or breaks off, waits for no answer
    return false;
  }
  return true;
}

// Hands on the request at the front of the buffer, if it is whole.
void Front::advance(net::SlotId id) {
  Connection& connection = *connections_.find(id);
  switch (connection.reader.advance(connection.in)) {
    case http::Progress::more:
      if (connection.reader.owes_continue()) {
        constexpr std::string_view word = "HTTP/1.1 100 Continue\r\n\r\n";
        std::size_t written = 0;
        net::write_from(connection.fd, word, written);
        // Half a word would stand before the answer. A client that has no room for it reads nothing.
        if (written > 0 && written < word.size()) return close(id);
      }
      if (connection.reader.begun(connection.in)) {
        connection.asked = true;
        if (!connection.timer.pending()) guard(id, patience_.request);
      }
      return want(connection);
    case http::Progress::failed: {
      ++counters_.bad_requests;
      std::string body = error_body(connection.reader.failed_why());
      connection.timer.reset();
      // Where the next request begins is not known any more.
      queue(connection, {connection.reader.failed_status(), std::move(body), "application/json", {}, 0},
            true);
      return write(id);
    }
    case http::Progress::done:
      break;
  }
  ++counters_.requests;
  connection.asked = true;
  connection.timer.reset();
  connection.state = State::waiting;
  connection.last_used = loop_.now();
  connection.consumed = false;
  connection.request_bytes = connection.in.size();
  account(connection);
  if (!make_room()) return refuse_for_memory(id);
  user_.request_arrived(id, connection.reader.message());
  // Its user has taken what it needs: a long body is not held twice until the answer is here.
  Connection* waits = connections_.find(id);
  if (!waits || waits->state != State::waiting) return;
  consume(*waits);
  account(*waits);
  // Only now: while it stood in the buffer, a long request would have passed for bytes ahead of their turn,
  // and the next one's time, which counts from its reading, would have begun with this one's answer.
  want(*waits);
}

// Takes the request out of the buffer.
void Front::consume(Connection& connection) {
  if (std::exchange(connection.consumed, true)) return;
  connection.keep_alive = connection.reader.message().keep_alive;
  connection.asks_head = connection.reader.asks_head();
  connection.reader.next(connection.in);
  const std::uint64_t used = connection.received - connection.in.size();
  std::erase_if(connection.marks, [&](const auto& mark) { return mark.until <= used; });
}

void Front::mark(Connection& connection, std::size_t bytes) {
  connection.received += bytes;
  if (connection.marks.size() < most_marks)
    connection.marks.push_back({connection.received, connection.unread_since.value_or(loop_.now())});
  else
    connection.marks.back().until = connection.received;
}

net::Time Front::request_began(net::SlotId id) {
  const Connection* connection = connections_.find(id);
  return connection && !connection->marks.empty() ? connection->marks.front().at : loop_.now();
}

void Front::queue(Connection& connection, const Answer& answer, bool close_after) {
  connection.state = State::writing;
  connection.close_after = close_after;
  connection.written = 0;
  connection.last_used = loop_.now();
  const bool asks_head = connection.consumed ? connection.asks_head : connection.reader.asks_head();
  bool bare = answer.bare || (bare_heads_ && asks_head);
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
  account(connection);
}

void Front::answer(net::SlotId id, const Answer& answer) {
  Connection* connection = connections_.find(id);
  if (!connection || connection->state != State::waiting) return;
  ++counters_.answers;
  consume(*connection);
  queue(*connection, answer, winding_down_ || !connection->keep_alive);
  write(id);
}

void Front::write(net::SlotId id) {
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
  if (connection.written == connection.out.size()) return sent(id);
  if (!connection.timer.pending()) guard(id, patience_.answer);
  want(connection);
}

void Front::sent(net::SlotId id) {
  Connection& connection = *connections_.find(id);
  connection.last_used = loop_.now();
  std::string().swap(connection.out);
  connection.written = 0;
  connection.timer.reset();
  connection.state = State::reading;
  account(connection);
  if (connection.close_after) {
    if (connection.half_closed) return;
    // Closing with bytes of the client unread would reset the connection and could take the answer with it:
    // our side ends first, and theirs is read out for a moment.
    connection.half_closed = true;
    net::end_sending(connection.fd);
    connection.in.release();
    account(connection);
    guard(id, linger_time);
    connection.watch.want(POLLIN);
    return;
  }
  // Bytes that came ahead of their turn are read in the next turn, so that one client cannot hold the loop.
  if (connection.in.size() > 0)
    connection.timer = loop_.at(loop_.now(), [this, id] {
      Connection* next = connections_.find(id);
      if (!next || next->state != State::reading) return;
      next->timer.reset();
      advance(id);
    });
  want(connection);
}

void Front::want(Connection& connection) {
  const bool reads = connection.in.size() < most_ahead || connection.state == State::reading;
  if (!reads && !connection.unread_since) connection.unread_since = loop_.now();
  short events = static_cast<short>(reads ? POLLIN : POLLRDHUP);
  if (connection.state == State::writing) events = static_cast<short>(events | POLLOUT);
  connection.watch.want(events);
}

void Front::guard(net::SlotId id, net::Duration span) {
  Connection& connection = *connections_.find(id);
  connection.timer = loop_.at(loop_.now() + span, [this, id] { give_up_waiting(id); });
}

void Front::give_up_waiting(net::SlotId id) {
  Connection* slow = connections_.find(id);
  if (!slow) return;
  slow->timer.reset();
  if (slow->half_closed) return close(id);
  if (idle(*slow)) {
    ++counters_.closed_unused;
    return close(id);
  }
  ++counters_.timed_out;
  if (slow->state != State::reading) return close(id);
  queue(*slow, {408, error_body("the request did not come in time"), "application/json", {}, 0}, true);
  write(id);
}

void Front::close(net::SlotId id) {
  Connection* connection = connections_.find(id);
  if (!connection) return;
  bool waiting = connection->state == State::waiting;
  held_bytes_ -= connection->held;
  connections_.release(id);
  invariants::check(invariants::Invariant::bytes_are_accounted, connections_.size() > 0 || held_bytes_ == 0,
                    "front");
  if (waiting) user_.client_left(id);
}

}  // namespace pearspar::clients
