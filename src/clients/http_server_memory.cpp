// Accounting and bounding of the memory of all client connections together.
#include <utility>

#include "clients/http_server.h"
#include "clients/query.h"

namespace pearspar::clients {
namespace {

using namespace std::chrono_literals;

constexpr double memory_retry_after_s = 0.2;
// A client that has read nothing for so long may be disconnected to free memory.
constexpr net::Duration stalled_after = 1s;
// Copies of a pending request that its handler holds: one for retries and one being sent.
constexpr std::size_t copies_of_pending_request = 2;

}  // namespace

std::size_t HttpServer::memory_of(const Connection& connection) const {
  std::size_t bytes = connection.in.capacity() + connection.out.capacity();
  if (connection.state == State::waiting) bytes += copies_of_pending_request * connection.request_bytes;
  return bytes;
}

void HttpServer::update_held_bytes(Connection& connection) {
  const std::size_t previous = std::exchange(connection.held, memory_of(connection));
  held_bytes_ += connection.held - previous;
}

// The matching connection with the largest buffers.
net::SlotId HttpServer::largest(const std::function<bool(const Connection&)>& matches) {
  net::SlotId found;
  std::size_t largest_bytes = 0;
  connections_.each([&](net::SlotId id, Connection& connection) {
    if (connection.held <= largest_bytes || !matches(connection)) return;
    found = id;
    largest_bytes = connection.held;
  });
  return found;
}

// Returns false if the memory bound is exceeded and nothing more can be freed.
bool HttpServer::make_room() {
  while (held_bytes_ > memory_bound_)
    if (!shed()) return false;
  return true;
}

bool HttpServer::shed() {
  const net::SlotId incomplete = largest([](const Connection& connection) {
    return connection.state == State::reading && !connection.half_closed &&
           connection.reader.begun(connection.in);
  });
  if (incomplete) {
    refuse_for_memory(incomplete);
    return true;
  }
  const net::SlotId unread = largest([&](const Connection& connection) {
    return connection.state == State::writing && connection.last_used + stalled_after < loop_.now();
  });
  if (!unread) return false;
  ++counters_.closed_for_memory;
  close(unread);
  return true;
}

// Frees the request's buffer and answers with 503 and a Retry-After.
void HttpServer::refuse_for_memory(net::SlotId id) {
  Connection& connection = *connections_.find(id);
  ++counters_.refused_for_memory;
  connection.timer.reset();
  connection.in.release();  // first, to make room for the answer
  Answer answer{503, error_body("no memory for this request"), "application/json", {}, memory_retry_after_s};
  queue(connection, answer, true);
  write(id);
}

}  // namespace pearspar::clients
