// The HTTP server for clients: a listening socket and persistent connections, with one request at a time on
// each connection.
#pragma once

#include <cstdint>
#include <functional>
#include <limits>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "http/message.h"
#include "net/loop.h"
#include "net/slots.h"
#include "net/socket.h"

namespace pearspar::clients {

// Totals since the start.
struct HttpServerCounters {
  std::uint64_t accepted = 0;
  std::uint64_t requests = 0;
  std::uint64_t bad_requests = 0;
  std::uint64_t answers = 0;
  std::uint64_t closed_for_room = 0;
  std::uint64_t timed_out = 0;      // incomplete requests and answers that the client did not read
  std::uint64_t closed_unused = 0;  // connections without a request
  std::uint64_t accept_failures = 0;
  std::uint64_t refused_for_memory = 0;  // requests, complete or not, that were answered with 503
  std::uint64_t closed_for_memory = 0;   // connections closed with an unread answer or pipelined bytes
};

// A response to a client.
struct Answer {
  int status = 200;
  std::string body;
  std::string_view type = "application/json";  // empty = no Content-Type
  std::string_view allow;                      // Allow header of a 405
  double retry_after_s = 0;                    // 0 = no Retry-After
  std::string headers = {};                    // further header lines, each with CRLF
  bool bare = false;                           // no body, and no Content-Length except in `headers`
};

// Receives the requests of an HttpServer.
class RequestHandler {
 public:
  virtual ~RequestHandler() = default;
  // A complete request; its slices are valid during the call. HttpServer::answer() answers it, now or later.
  virtual void request_arrived(net::SlotId connection, const http::Message& message) = 0;
  // The client disconnected before its request was answered.
  virtual void client_left(net::SlotId connection) = 0;
  // Whether the limits in force are known to be the newest. Where they are not, a request that exceeds them
  // gets 503 instead of 413 or 431: the newest may allow it.
  virtual bool limits_are_current() const { return true; }
};

// How long a client may take to send a request and to read its answer.
struct RequestTimeouts {
  // The first request counts from connecting, later ones from their first byte.
  net::Duration request = std::chrono::seconds(2);
  net::Duration answer = std::chrono::seconds(10);
};

// Serves HTTP/1.1 clients. Runs on the loop's thread.

class HttpServer {
 public:
  using Warn = std::function<void(std::string_view what)>;
  HttpServer(net::Loop& loop, Warn warn, std::size_t max_connections, RequestHandler& handler,
             RequestTimeouts timeouts = {}, http::MessageLimits limits = {})
      : loop_(loop),
        warn_(std::move(warn)),
        max_connections_(max_connections),
        handler_(handler),
        timeouts_(timeouts),
        limits_(limits) {}

  // Bounds the buffers of all connections together. Beyond the bound, the largest incomplete request is
  // refused; if there is none, the connection with the largest answer that its client does not read is
  // closed.
  void set_memory_bound(std::size_t bytes) { memory_bound_ = bytes; }
  std::size_t held_bytes() const { return held_bytes_; }
  // Frees the buffers of one connection in the same way. Returns false if there is none to free.
  bool shed();

  void listen(const net::Address& address);
  net::Address address() const { return net::local_address(listener_); }

  // Answers the pending request of a connection; does nothing if its client has disconnected.
  void answer(net::SlotId connection, const Answer& answer);
  // When the first byte of the pending request was received. A pipelined request may have waited since then.
  net::Time request_began(net::SlotId connection);

  // Answers to HEAD requests have a Content-Length but no body.
  void omit_body_for_head() { omit_body_for_head_ = true; }
  // From now on each connection is closed after its next answer.
  void start_draining() { draining_ = true; }
  // Both apply to requests that begin from now on, on open connections too. Raised message limits also apply
  // to requests that have begun.
  void set_limits(RequestTimeouts timeouts, http::MessageLimits limits);
  // Closes idle connections that were last used before the given time.
  void close_idle_since(net::Time before);
  // Accepts the connections in the kernel's queue, then closes the listening socket.
  void stop_listening();
  void close_idle();
  // Closes one idle connection: preferably one that sent nothing for long after connecting, then the one that
  // was used least recently, then a new one. Returns false if none is idle.
  bool close_one_idle();

  // Connections whose request is pending or whose answer is not yet delivered.
  std::size_t busy();
  std::size_t connections() const { return connections_.size(); }
  const HttpServerCounters& counters() const { return counters_; }

 private:
  enum class State { reading, waiting, writing };
  struct Connection {
    explicit Connection(http::MessageLimits limits) : reader(http::MessageKind::request, limits) {}
    net::Fd fd;
    net::Watch watch;
    net::Timer timer;            // bounds receiving a request or delivering an answer
    bool has_requested = false;  // has begun a request
    State state = State::reading;
    net::Buffer in;
    http::MessageReader reader;
    std::string out;
    std::size_t written = 0;
    bool close_after = false;
    bool half_closed = false;  // the sending side is closed; received bytes are discarded
    bool consumed = false;     // the pending request was removed from `in`; the next fields describe it
    bool keep_alive = true;
    bool is_head_request = false;
    std::size_t request_bytes = 0;  // size of the pending request
    // When the unconsumed bytes were received. `until` counts all bytes of the connection.
    struct Arrival {
      std::uint64_t until;
      net::Time at;
    };
    std::vector<Arrival> arrivals;
    std::uint64_t received = 0;
    // Reading has been paused since then: the bytes read next may have arrived at any time after it.
    std::optional<net::Time> unread_since;
    std::size_t held = 0;  // this connection's share of held_bytes_
    net::Time last_used{};
  };

  void accept_waiting(int max_accepts);
  void on_ready(net::SlotId id, short events);
  bool read(net::SlotId id);
  void advance(net::SlotId id);
  void write(net::SlotId id);
  void finish_write(net::SlotId id);
  void update_events(Connection& connection);
  Answer refusal_of_unreadable(const http::MessageReader& reader) const;
  void queue(Connection& connection, const Answer& answer, bool close_after);
  void set_timeout(net::SlotId id, net::Duration span);
  void on_timeout(net::SlotId id);
  bool idle(const Connection& connection) const;
  void consume(Connection& connection);
  void record_arrival(Connection& connection, std::size_t bytes);
  // Defined in http_server_memory.cpp.
  void update_held_bytes(Connection& connection);
  std::size_t memory_of(const Connection& connection) const;
  bool make_room();
  net::SlotId largest(const std::function<bool(const Connection&)>& matches);
  void refuse_for_memory(net::SlotId id);
  // Every connection ends here.
  void close(net::SlotId id);

  net::Loop& loop_;
  Warn warn_;
  std::size_t max_connections_;
  RequestHandler& handler_;
  RequestTimeouts timeouts_;
  http::MessageLimits limits_;
  net::Fd listener_;
  net::Watch listener_watch_;
  net::Timer resume_accepting_;
  bool draining_ = false;
  bool omit_body_for_head_ = false;
  net::SlotTable<Connection> connections_;
  std::size_t memory_bound_ = std::numeric_limits<std::size_t>::max();
  std::size_t held_bytes_ = 0;
  HttpServerCounters counters_;
};

}  // namespace pearspar::clients
