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

constexpr std::size_t read_step = 16 * 1024;
constexpr int reads_at_once = 8;
constexpr net::Duration connect_within = 700ms;
constexpr int silence_ms = 1500;
constexpr net::Duration idle_for = 4s;        // where the node does not tell how long it keeps one
constexpr net::Duration idle_margin = 400ms;  // we close first
constexpr net::Duration grace = 300ms;        // past the request's end, for the node's own 504

constexpr std::string_view id_header = "Request-Id";

std::uint64_t key(net::SlotId id) { return std::uint64_t{id.index} << 32 | id.generation; }

// The id as it stands in a request's head; clients write the header's name as they like.
std::string id_of(std::string_view request) {
  std::string_view head = request.substr(0, request.find("\r\n\r\n"));
  for (std::size_t at = head.find("\r\n"); at != head.npos; at = head.find("\r\n", at)) {
    at += 2;
    std::string_view line = head.substr(at, head.find("\r\n", at) - at);
    std::size_t colon = line.find(": ");
    if (colon != line.npos && http::same_word(line.substr(0, colon), id_header))
      return std::string(line.substr(colon + 2));
  }
  return {};
}

net::Duration kept_for(const http::Message& message) {
  auto header = message.header("Keep-Alive");
  if (!header) return idle_for;
  std::size_t at = header->find("timeout=");
  if (at == header->npos) return idle_for;
  double seconds = 0;
  const char* begin = header->data() + at + 8;
  auto [stop, error] = std::from_chars(begin, header->data() + header->size(), seconds);
  return error == std::errc() && stop != begin ? net::Duration(seconds) : idle_for;
}

}  // namespace

bool NodeLinks::start(dispatch::CallId call, const dispatch::NodeState& node, int most,
                      dispatch::NodeRequest request, dispatch::Time end) {
  // Looked up anew each time: with its last connection a pool is gone.
  while (!pools_[node.address].idle.empty()) {
    auto& idle = pools_[node.address].idle;
    net::SlotId id = idle.back();
    idle.pop_back();
    Connection* connection = connections_.find(id);
    if (!connection || connection->busy) continue;
    // Past its time, or forgotten by the node: what is sent on it now would be lost.
    bool old = connection->idle_until <= loop_.now();
    if (old || net::readable(connection->fd)) {
      counters_.forgotten += !old;
      close(id, CallOutcome::no_connection);
      continue;
    }
    ++counters_.reused;
    begin(id, call, std::move(request), end);
    send_request(id);
    return true;
  }
  if (pools_[node.address].connections >= most) return false;
  auto address = net::Address::parse(node.address);
  if (!address) return false;
  int error = 0;
  net::Fd fd = net::start_connect(*address, error);
  if (!fd) return false;
  net::bound_silence(fd, silence_ms);
  ++counters_.opened;
  net::SlotId id = connections_.add();
  Connection& connection = *connections_.find(id);
  connection.fd = std::move(fd);
  connection.address = node.address;
  ++pools_[node.address].connections;
  connection.watch =
      loop_.watch(connection.fd.get(), POLLOUT, [this, id](short events) { on_ready(id, events); });
  begin(id, call, std::move(request), end);
  connection.timer = loop_.at(std::min(end, loop_.now() + connect_within), [this, id] { due(id); });
  return true;
}

void NodeLinks::begin(net::SlotId id, dispatch::CallId call, dispatch::NodeRequest request, net::Time end) {
  Connection& connection = *connections_.find(id);
  connection.busy = true;
  connection.call = call;
  connection.id = id_of(request.head);
  connection.end = end;
  connection.reader.expect_no_body(request.head.starts_with("HEAD "));
  connection.request = std::move(request);
  connection.out.clear();
  connection.written = 0;
  connection.all_written = false;
  connection.timer = loop_.at(end + grace, [this, id] { due(id); });
  calls_[key(call)] = id;
}

// With the time that is left now, which may be less than when the connection was asked for.
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

void NodeLinks::due(net::SlotId id) {
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
    // A process that stood still meanwhile: what nobody waits for any more is not sent.
    if (loop_.now() >= connection->end) return close(id, CallOutcome::no_connection);
    connection->timer = loop_.at(connection->end + grace, [this, id] { due(id); });
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
      // Not from within start(): the end is told in the loop's next turn.
      connection.timer = loop_.at(loop_.now(), [this, id] { unwritten(id); });
      return connection.watch.want(0);
    }
    if (result == net::IoResult::none) break;
    connection.written += written;
  }
  connection.all_written = connection.written == connection.out.size();
  bool rest = !connection.all_written;
  if (!rest) std::string().swap(connection.out);
  connection.watch.want(static_cast<short>(rest ? POLLIN | POLLOUT : POLLIN));
}

// The node takes no more of it; what it has said before may be a whole answer.
void NodeLinks::unwritten(net::SlotId id) {
  if (connections_.find(id)) read(id);
  close(id, CallOutcome::broken);
}

void NodeLinks::read(net::SlotId id) {
  for (int i = 0; i < reads_at_once; ++i) {
    Connection& connection = *connections_.find(id);
    auto result = net::read_into(connection.fd, connection.in, read_step);
    if (result == net::IoResult::none) break;
    if (result != net::IoResult::some) {
      // What has come before the end may be a whole answer.
      if (connection.busy && ended(connection, result) == http::Progress::done) answered(id);
      return close(id, CallOutcome::broken);
    }
    account(connection);
    if (held_bytes_ > memory_bound_) {
      ++counters_.without_memory;
      return close(id, CallOutcome::broken);
    }
    if (connection.in.size() < read_step) break;
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
      return answered(id);
  }
}

// No more comes. Only an end in good order is one of an answer that has no other.
http::Progress NodeLinks::ended(Connection& connection, net::IoResult result) {
  const http::Progress progress = advance(connection);
  if (progress != http::Progress::more || result != net::IoResult::ended) return progress;
  return connection.reader.ended(connection.in);
}

void NodeLinks::account(Connection& connection) {
  const std::size_t before = std::exchange(connection.held, connection.in.capacity());
  held_bytes_ += connection.held - before;
}

// Interim answers are passed over.
http::Progress NodeLinks::advance(Connection& connection) {
  while (true) {
    http::Progress progress = connection.reader.advance(connection.in);
    if (progress != http::Progress::done || connection.reader.message().status >= 200) return progress;
    connection.reader.next(connection.in);
  }
}

void NodeLinks::answered(net::SlotId id) {
  Connection& connection = *connections_.find(id);
  const http::Message& message = connection.reader.message();
  bool echoed = false, ours = true;
  for (const auto& [name, value] : message.headers)
    if (http::same_word(name, id_header)) {
      echoed = true;
      ours = ours && value == connection.id;
    }
  // An answer to something else, late in the place of ours; or one that somebody on the way has changed. One
  // that names nothing belongs to us for certain only where nothing was asked on this connection before.
  if (!echoed) {
    ++counters_.unnamed;
    ours = !connection.used;
  }
  if (!ours || message.header("Content-Encoding")) {
    ++counters_.spoilt;
    return close(id, CallOutcome::broken);
  }
  CallResult end;
  end.status = message.status;
  end.postmark = message.header("Postmark").value_or(std::string_view());
  end.content_type = message.header("Content-Type").value_or(std::string_view());
  end.body = message.body;
  end.content_length = message.length;
  if (message.status == 421)
    end.outcome = CallOutcome::misdirected;
  else if (message.header("Not-Run"))
    end.outcome = CallOutcome::not_run;
  else
    end.outcome = CallOutcome::answered;
  bool keep = echoed && message.keep_alive && connection.all_written;
  connection.idle_until = loop_.now() + kept_for(message) - idle_margin;
  dispatch::CallId call = connection.call;
  connection.busy = false;
  calls_.erase(key(call));
  connection.timer.reset();
  // The slices hold until the reader moves on; on_end may start another call, never on this connection.
  on_end_(call, end);
  if (!connections_.find(id)) return;
  connection.reader.next(connection.in);
  account(connection);
  if (connection.in.size() > 0) ++counters_.surplus;
  if (!keep || connection.in.size() > 0) return close(id, CallOutcome::no_connection);
  rest(id);
}

void NodeLinks::rest(net::SlotId id) {
  Connection& connection = *connections_.find(id);
  std::string().swap(connection.out);
  connection.written = 0;
  connection.used = true;
  connection.watch.want(POLLIN);
  pools_[connection.address].idle.push_back(id);
}

void NodeLinks::sweep() {
  std::vector<net::SlotId> old;
  connections_.each([&](net::SlotId id, Connection& connection) {
    if (connection.up && !connection.busy && connection.idle_until <= loop_.now()) old.push_back(id);
  });
  for (net::SlotId id : old) close(id, CallOutcome::no_connection);
}

void NodeLinks::close(net::SlotId id, CallOutcome ending) {
  Connection* connection = connections_.find(id);
  if (!connection) return;
  bool busy = connection->busy;
  held_bytes_ -= connection->held;
  // None of it has left: it has not run.
  if (busy && ending == CallOutcome::broken && connection->written == 0) {
    ++counters_.unwritten;
    ending = CallOutcome::no_connection;
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
  CallResult end;
  end.outcome = ending;
  on_end_(call, end);
}

}  // namespace pearspar::upstream
