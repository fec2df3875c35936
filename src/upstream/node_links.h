// The connections to nodes: one request at a time on each, answers read whole, what does not belong to its
// request found out. HTTP/1.1; the words of this wire stand in node_links.cpp alone.
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

struct LinkCounters {
  std::uint64_t opened = 0;
  std::uint64_t reused = 0;
  std::uint64_t spoilt = 0;          // what came was no answer to what was asked
  std::uint64_t surplus = 0;         // bytes behind a whole answer
  std::uint64_t unnamed = 0;         // answers that did not echo the id
  std::uint64_t overdue = 0;         // no answer by the end of the request
  std::uint64_t unwritten = 0;       // calls whose connection broke before a byte of them was written
  std::uint64_t forgotten = 0;       // idle connections that had ended as they were to be used
  std::uint64_t without_memory = 0;  // answers broken off, their bytes together being at their bound
};

class NodeLinks : public dispatch::NodeClient {
 public:
  using OnEnd = std::function<void(dispatch::CallId, const dispatch::CallResult&)>;
  NodeLinks(net::Loop& loop, OnEnd on_end) : loop_(loop), on_end_(std::move(on_end)) {}

  bool start(dispatch::CallId call, const dispatch::NodeState& node, int most_connections,
             dispatch::NodeRequest request, dispatch::Time end) override;
  bool cancel(dispatch::CallId call, bool even_if_sent) override;
  // Bytes of answers that are coming, over all connections, at the most: beyond it the one that grows ends.
  void set_memory_bound(std::size_t bytes) { memory_bound_ = bytes; }
  std::size_t held_bytes() const { return held_bytes_; }
  // Connections that have been idle past their time; to be called every second or so.
  void sweep();
  std::size_t connections() const { return connections_.size(); }
  const LinkCounters& counters() const { return counters_; }

 private:
  // An answer may have no length, and end with its connection.
  static http::MessageReader answer_reader() {
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
    bool used = false;  // has carried a request before this one
    dispatch::CallId call;
    std::string id;  // of the request that is out
    net::Time end{};
    dispatch::NodeRequest request;  // until the connection is up
    std::string out;
    std::size_t written = 0;
    bool all_written = false;  // `out` is given back then
    net::Buffer in;
    http::MessageReader reader = answer_reader();
    net::Time idle_until{};
    std::size_t held = 0;  // as counted in held_bytes_
  };
  struct Pool {
    std::vector<net::SlotId> idle;  // the one used last at the back
    int connections = 0;
  };

  void begin(net::SlotId id, dispatch::CallId call, dispatch::NodeRequest request, net::Time end);
  void send_request(net::SlotId id);
  void on_ready(net::SlotId id, short events);
  void write(net::SlotId id);
  void unwritten(net::SlotId id);
  void read(net::SlotId id);
  static http::Progress advance(Connection& connection);
  static http::Progress ended(Connection& connection, net::IoResult result);
  void answered(net::SlotId id);
  void account(Connection& connection);
  void rest(net::SlotId id);
  void due(net::SlotId id);
  // Ends the connection, and with it what is out on it.
  void close(net::SlotId id, dispatch::CallOutcome ending);

  net::Loop& loop_;
  OnEnd on_end_;
  net::SlotTable<Connection> connections_;
  std::unordered_map<std::string, Pool> pools_;           // by address
  std::unordered_map<std::uint64_t, net::SlotId> calls_;  // those that are out, by their ids
  std::size_t memory_bound_ = std::numeric_limits<std::size_t>::max();
  std::size_t held_bytes_ = 0;
  LinkCounters counters_;
};

}  // namespace pearspar::upstream
