// The bytes that are held for all connections together: counted as they come, and bounded. Each connection
// has bounds of its own; that they hold for many at once is looked after here.
#include <utility>

#include "clients/http_server.h"
#include "clients/query.h"

namespace pearspar::clients {
namespace {

using namespace std::chrono_literals;

constexpr double come_back_s = 0.2;
// Who has taken nothing of its answer for so long may lose it where room is needed.
constexpr net::Duration taken_within = 1s;
// Of a request that waits: the copy that its user keeps to send it again, and the one on its way.
constexpr std::size_t copies_of_waiting = 2;

}  // namespace

std::size_t HttpServer::bytes_of(const Connection& connection) const {
  std::size_t bytes = connection.in.capacity() + connection.out.capacity();
  if (connection.state == State::waiting) bytes += copies_of_waiting * connection.request_bytes;
  return bytes;
}

void HttpServer::account(Connection& connection) {
  const std::size_t before = std::exchange(connection.held, bytes_of(connection));
  held_bytes_ += connection.held - before;
}

// The connection that holds the most of those that count.
net::SlotId HttpServer::largest(const std::function<bool(const Connection&)>& counts) {
  net::SlotId found;
  std::size_t most = 0;
  connections_.each([&](net::SlotId id, Connection& connection) {
    if (connection.held <= most || !counts(connection)) return;
    found = id;
    most = connection.held;
  });
  return found;
}

// False where the bound is passed and nothing can be given up for it.
bool HttpServer::make_room() {
  while (held_bytes_ > memory_bound_)
    if (!shed()) return false;
  return true;
}

bool HttpServer::shed() {
  const net::SlotId coming = largest([](const Connection& connection) {
    return connection.state == State::reading && !connection.half_closed &&
           connection.reader.begun(connection.in);
  });
  if (coming) {
    refuse_for_memory(coming);
    return true;
  }
  const net::SlotId untaken = largest([&](const Connection& connection) {
    return connection.state == State::writing && connection.last_used + taken_within < loop_.now();
  });
  if (!untaken) return false;
  ++counters_.closed_for_memory;
  close(untaken);
  return true;
}

// What has come of it is given back at once; the client is told when to come again.
void HttpServer::refuse_for_memory(net::SlotId id) {
  Connection& connection = *connections_.find(id);
  ++counters_.refused_for_memory;
  connection.timer.reset();
  connection.in.release();  // first, so that there is room for the answer
  Answer answer{503, error_body("no memory for this request"), "application/json", {}, come_back_s};
  queue(connection, answer, true);
  write(id);
}

}  // namespace pearspar::clients
