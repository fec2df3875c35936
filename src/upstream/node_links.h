// The HTTP/1.1 client for nodes: pooled connections with one request at a time on each. Responses are read
// completely and checked to belong to their request. The header names of this protocol are in node_links.cpp.
#pragma once

#include <cstdint>
#include <limits>
#include <map>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "dispatch/dispatcher.h"
#include "http/message.h"
#include "net/loop.h"
#include "net/slots.h"
#include "net/socket.h"

namespace pearspar::upstream {

// Totals since the start.
struct LinkCounters {
  std::uint64_t opened = 0;
  std::uint64_t reused = 0;
  std::uint64_t spoilt = 0;          // invalid responses, and responses to another request
  std::uint64_t surplus = 0;         // unexpected bytes after a response
  std::uint64_t unnamed = 0;         // responses without the request id
  std::uint64_t overdue = 0;         // requests without a response in time
  std::uint64_t unwritten = 0;       // calls whose connection failed before any byte was written
  std::uint64_t forgotten = 0;       // idle connections that the node had closed when they were needed
  std::uint64_t without_memory = 0;  // responses aborted at the memory bound
};

// Sends the dispatcher's calls to nodes and reports their results.

class NodeLinks : public dispatch::NodeClient {
 public:
  using OnEnd = std::function<void(dispatch::CallId, const dispatch::CallResult&)>;
  NodeLinks(net::Loop& loop, OnEnd on_end) : loop_(loop), on_end_(std::move(on_end)) {}

  bool start(dispatch::CallId call, const dispatch::NodeState& node, int max_connections,
             dispatch::NodeRequest request, dispatch::Time end) override;
  bool cancel(dispatch::CallId call, bool even_if_sent) override;
  // Bounds the receive buffers of all connections together. Beyond it, the connection that is growing is
  // closed.
  void set_memory_bound(std::size_t bytes) { memory_bound_ = bytes; }
  std::size_t held_bytes() const { return held_bytes_; }
  // Closes connections that were idle for too long. To be called about once a second.
  void sweep();
  std::size_t connections() const { return connections_.size(); }
  const LinkCounters& counters() const { return counters_; }

 private:
  // Accepts responses without a length, which end with the connection.
  static http::MessageReader response_reader() {
    http::MessageReader reader(http::MessageKind::reply, {16 * 1024, std::size_t{4} << 20, 4096});
    reader.allow_unframed_body();
    return reader;
  }
  struct Connection {
    net::Fd fd;
    net::Watch watch;
    net::Timer timer;
    std::string address;
    bool up = false;
    bool busy = false;
    bool used = false;  // has carried an earlier request
    dispatch::CallId call;
    std::string id;  // of the request in flight
    net::Time end{};
    dispatch::NodeRequest request;  // until it is sent
    std::string out;
    std::size_t written = 0;
    bool all_written = false;  // `out` is freed then
    net::Buffer in;
    http::MessageReader reader = response_reader();
    net::Time idle_until{};
    std::size_t held = 0;  // this connection's share of held_bytes_
  };
  struct Pool {
    std::vector<net::SlotId> idle;  // the most recently used one at the back
    int connections = 0;
  };

  void assign(net::SlotId id, dispatch::CallId call, dispatch::NodeRequest request, net::Time end);
  void send_request(net::SlotId id);
  void on_ready(net::SlotId id, short events);
  void write(net::SlotId id);
  void on_write_failed(net::SlotId id);
  void read(net::SlotId id);
  static http::Progress advance(Connection& connection);
  static http::Progress ended(Connection& connection, net::IoResult result);
  void on_response(net::SlotId id);
  void update_held_bytes(Connection& connection);
  void return_to_pool(net::SlotId id);
  void on_timeout(net::SlotId id);
  // Closes the connection and ends its call, if any, with this outcome.
  void close(net::SlotId id, dispatch::CallOutcome outcome);

  net::Loop& loop_;
  OnEnd on_end_;
  net::SlotTable<Connection> connections_;
  std::unordered_map<std::string, Pool> pools_;           // by address
  std::unordered_map<std::uint64_t, net::SlotId> calls_;  // calls in flight, by call id
  std::size_t memory_bound_ = std::numeric_limits<std::size_t>::max();
  std::size_t held_bytes_ = 0;
  LinkCounters counters_;
};

}  // namespace pearspar::upstream
