#include "upstream/node_links.h"

#include <algorithm>
#include <charconv>

#include "allocation/allocation.h"
#include "invariants/invariants.h"

namespace pearspar::upstream {
namespace {

using namespace std::chrono_literals;
using dispatch::CallOutcome;
using dispatch::CallResult;

constexpr std::size_t read_chunk_bytes = 16 * 1024;
constexpr int max_reads_per_event = 8;
constexpr net::Duration connect_timeout = 700ms;
constexpr int silence_ms = 1500;
constexpr net::Duration default_keep_alive = 4s;  // if the node sends no Keep-Alive header
constexpr net::Duration idle_margin = 400ms;      // so that this side closes first
constexpr net::Duration response_grace = 300ms;   // after the request's deadline, for the node's own 504

constexpr std::string_view id_header = "Request-Id";

std::uint64_t key(net::SlotId id) { return std::uint64_t{id.index} << 32 | id.generation; }

// The id in the head of a request. Clients may send the header name in any case.
std::string request_id(std::string_view request) {
  std::string_view head = request.substr(0, request.find("\r\n\r\n"));
  for (std::size_t at = head.find("\r\n"); at != head.npos; at = head.find("\r\n", at)) {
    at += 2;
    std::string_view line = head.substr(at, head.find("\r\n", at) - at);
    std::size_t colon = line.find(": ");
    if (colon != line.npos && http::equals_ignoring_case(line.substr(0, colon), id_header))
      return std::string(line.substr(colon + 2));
  }
  return {};
}

// How long the node keeps an idle connection, by its Keep-Alive header.
net::Duration keep_alive_timeout(const http::Message& message) {
  auto header = message.header("Keep-Alive");
  if (!header) return default_keep_alive;
  std::size_t at = header->find("timeout=");
  if (at == header->npos) return default_keep_alive;
  double seconds = 0;
  const char* begin = header->data() + at + 8;
  auto [stop, error] = std::from_chars(begin, header->data() + header->size(), seconds);
  return error == std::errc() && stop != begin ? net::Duration(seconds) : default_keep_alive;
}

}  // namespace

bool NodeLinks::start(dispatch::CallId call, const dispatch::NodeState& node, int max_connections,
                      dispatch::NodeRequest request, dispatch::Time end) {
  // Looked up each time, since close() erases a pool with its last connection.
  while (!pools_[node.address].idle.empty()) {
    auto& idle = pools_[node.address].idle;
    net::SlotId id = idle.back();
    idle.pop_back();
    Connection* connection = connections_.find(id);
    if (!connection || connection->busy) continue;
    // Skips connections that have expired or that the node has closed.
    bool expired = connection->idle_until <= loop_.now();
    if (expired || net::readable(connection->fd)) {
      counters_.forgotten += !expired;
      close(id, CallOutcome::no_connection);
      continue;
    }
    ++counters_.reused;
    assign(id, call, std::move(request), end);
    send_request(id);
    return true;
  }
  if (pools_[node.address].connections >= max_connections) return false;
  auto address = net::Address::parse(node.address);
  if (!address) return false;
  int error = 0;
  net::Fd fd = net::start_connect(*address, error);
  if (!fd) return false;
  net::set_silence_timeout(fd, silence_ms);
  ++counters_.opened;
  net::SlotId id = connections_.add();
  Connection& connection = *connections_.find(id);
  connection.fd = std::move(fd);
  connection.address = node.address;
  ++pools_[node.address].connections;
  connection.watch =
      loop_.watch(connection.fd.get(), POLLOUT, [this, id](short events) { on_ready(id, events); });
  assign(id, call, std::move(request), end);
  connection.timer = loop_.at(std::min(end, loop_.now() + connect_timeout), [this, id] { on_timeout(id); });
  return true;
}

void NodeLinks::assign(net::SlotId id, dispatch::CallId call, dispatch::NodeRequest request, net::Time end) {
  Connection& connection = *connections_.find(id);
  connection.busy = true;
  connection.call = call;
  connection.id = request_id(request.head);
  connection.end = end;
  connection.reader.expect_no_body(request.head.starts_with("HEAD "));
  connection.request = std::move(request);
  connection.out.clear();
  connection.written = 0;
  connection.all_written = false;
  connection.timer = loop_.at(end + response_grace, [this, id] { on_timeout(id); });
  calls_[key(call)] = id;
}

// Sends the request with the time that is left now that the connection is up.
void NodeLinks::send_request(net::SlotId id) {
  Connection& connection = *connections_.find(id);
  invariants::check(invariants::Invariant::nothing_sent_past_deadline, loop_.now() <= connection.end,
                    connection.id);
  connection.out = connection.request.text(connection.end - loop_.now());
  connection.request = {};
  write(id);
}

bool NodeLinks::cancel(dispatch::CallId call, bool even_if_sent) {
  const auto found = calls_.find(key(call));
  if (found == calls_.end()) return false;
  const net::SlotId id = found->second;
  Connection& connection = *connections_.find(id);
  if (connection.written > 0 && !even_if_sent) return false;
  calls_.erase(found);
  connection.busy = false;
  close(id, CallOutcome::no_connection);
  return true;
}

void NodeLinks::on_timeout(net::SlotId id) {
  Connection* connection = connections_.find(id);
  if (!connection) return;
  if (connection->up) ++counters_.overdue;
  close(id, connection->up ? CallOutcome::broken : CallOutcome::no_connection);
}

void NodeLinks::on_ready(net::SlotId id, short events) {
  const allocation::Activity activity("an index server's connection");
  Connection* connection = connections_.find(id);
  if (!connection) return;
  if (!connection->up) {
    if (net::connect_error(connection->fd) != 0) return close(id, CallOutcome::no_connection);
    connection->up = true;
    // The request may have expired while this process was suspended; it is not sent then.
    if (loop_.now() >= connection->end) return close(id, CallOutcome::no_connection);
    connection->timer = loop_.at(connection->end + response_grace, [this, id] { on_timeout(id); });
    return send_request(id);
  }
  if ((events & (POLLIN | POLLHUP | POLLERR)) != 0) {
    read(id);
    connection = connections_.find(id);
  }
  if (connection && connection->busy && (events & POLLOUT) != 0) write(id);
}

void NodeLinks::write(net::SlotId id) {
  Connection& connection = *connections_.find(id);
  while (connection.written < connection.out.size()) {
    std::size_t written = 0;
    auto result =
        net::write_from(connection.fd, std::string_view(connection.out).substr(connection.written), written);
    if (result == net::IoResult::failed) {
      // Reported in the loop's next iteration, since start() must not call back.
      connection.timer = loop_.at(loop_.now(), [this, id] { on_write_failed(id); });
      return connection.watch.set_events(0);
    }
    if (result == net::IoResult::none) break;
    connection.written += written;
  }
  connection.all_written = connection.written == connection.out.size();
  bool remaining = !connection.all_written;
  if (!remaining) std::string().swap(connection.out);
  connection.watch.set_events(static_cast<short>(remaining ? POLLIN | POLLOUT : POLLIN));
}

// The node reads no more of the request, but may have sent a complete response already.
void NodeLinks::on_write_failed(net::SlotId id) {
  if (connections_.find(id)) read(id);
  close(id, CallOutcome::broken);
}

void NodeLinks::read(net::SlotId id) {
  for (int i = 0; i < max_reads_per_event; ++i) {
    Connection& connection = *connections_.find(id);
    auto result = net::read_into(connection.fd, connection.in, read_chunk_bytes);
    if (result == net::IoResult::none) break;
    if (result != net::IoResult::some) {
      // The bytes before the end may be a complete response.
      if (connection.busy && ended(connection, result) == http::Progress::done) on_response(id);
      return close(id, CallOutcome::broken);
    }
    update_held_bytes(connection);
    if (held_bytes_ > memory_bound_) {
      ++counters_.without_memory;
      return close(id, CallOutcome::broken);
    }
    if (connection.in.size() < read_chunk_bytes) break;
  }
  Connection& connection = *connections_.find(id);
  if (!connection.busy) {
    ++counters_.surplus;
    return close(id, CallOutcome::broken);
  }
  switch (advance(connection)) {
    case http::Progress::more:
      return;
    case http::Progress::failed:
      ++counters_.spoilt;
      return close(id, CallOutcome::broken);
    case http::Progress::done:
      return on_response(id);
  }
}

// Handles the end of the connection. Only an orderly end, not a reset, completes a response without a length.
http::Progress NodeLinks::ended(Connection& connection, net::IoResult result) {
  const http::Progress progress = advance(connection);
  if (progress != http::Progress::more || result != net::IoResult::ended) return progress;
  return connection.reader.ended(connection.in);
}

void NodeLinks::update_held_bytes(Connection& connection) {
  const std::size_t previous = std::exchange(connection.held, connection.in.capacity());
  held_bytes_ += connection.held - previous;
}

// Skips interim (1xx) responses.
http::Progress NodeLinks::advance(Connection& connection) {
  while (true) {
    http::Progress progress = connection.reader.advance(connection.in);
    if (progress != http::Progress::done || connection.reader.message().status >= 200) return progress;
    connection.reader.next(connection.in);
  }
}

void NodeLinks::on_response(net::SlotId id) {
  Connection& connection = *connections_.find(id);
  const http::Message& message = connection.reader.message();
  bool echoed = false, matches = true;
  for (const auto& [name, value] : message.headers)
    if (http::equals_ignoring_case(name, id_header)) {
      echoed = true;
      matches = matches && value == connection.id;
    }
  // Rejects late responses to another request and re-encoded ones. A response without an id certainly belongs
  // to this request only if it is the first on its connection.
  if (!echoed) {
    ++counters_.unnamed;
    matches = !connection.used;
  }
  if (!matches || message.header("Content-Encoding")) {
    ++counters_.spoilt;
    return close(id, CallOutcome::broken);
  }
  CallResult result;
  result.status = message.status;
  result.postmark = message.header("Postmark").value_or(std::string_view());
  result.content_type = message.header("Content-Type").value_or(std::string_view());
  result.body = message.body;
  result.content_length = message.length;
  if (message.status == 421)
    result.outcome = CallOutcome::misdirected;
  else if (message.header("Not-Run"))
    result.outcome = CallOutcome::not_run;
  else
    result.outcome = CallOutcome::answered;
  bool keep = echoed && message.keep_alive && connection.all_written;
  connection.idle_until = loop_.now() + keep_alive_timeout(message) - idle_margin;
  dispatch::CallId call = connection.call;
  connection.busy = false;
  calls_.erase(key(call));
  connection.timer.reset();
  // The slices are valid until reader.next(). on_end_ may start another call, but not on this connection.
  on_end_(call, result);
  if (!connections_.find(id)) return;
  connection.reader.next(connection.in);
  update_held_bytes(connection);
  if (connection.in.size() > 0) ++counters_.surplus;
  if (!keep || connection.in.size() > 0) return close(id, CallOutcome::no_connection);
  return_to_pool(id);
}

void NodeLinks::return_to_pool(net::SlotId id) {
  Connection& connection = *connections_.find(id);
  std::string().swap(connection.out);
  connection.written = 0;
  connection.used = true;
  connection.watch.set_events(POLLIN);
  pools_[connection.address].idle.push_back(id);
}

void NodeLinks::sweep() {
  std::vector<net::SlotId> expired;
  connections_.each([&](net::SlotId id, Connection& connection) {
    if (connection.up && !connection.busy && connection.idle_until <= loop_.now()) expired.push_back(id);
  });
  for (net::SlotId id : expired) close(id, CallOutcome::no_connection);
}

void NodeLinks::close(net::SlotId id, CallOutcome outcome) {
  Connection* connection = connections_.find(id);
  if (!connection) return;
  bool busy = connection->busy;
  held_bytes_ -= connection->held;
  // If no byte was written, the request cannot have run.
  if (busy && outcome == CallOutcome::broken && connection->written == 0) {
    ++counters_.unwritten;
    outcome = CallOutcome::no_connection;
  }
  dispatch::CallId call = connection->call;
  auto pool = pools_.find(connection->address);
  if (pool != pools_.end()) {
    std::erase(pool->second.idle, id);
    if (--pool->second.connections <= 0) pools_.erase(pool);
  }
  connections_.release(id);
  if (!busy) return;
  calls_.erase(key(call));
  CallResult result;
  result.outcome = outcome;
  on_end_(call, result);
}

}  // namespace pearspar::upstream
