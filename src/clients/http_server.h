// The clients' side: the listening socket, the connections that clients keep, and one request at a time on
// each of them.
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

struct HttpServerCounters {
  std::uint64_t accepted = 0;
  std::uint64_t requests = 0;
  std::uint64_t bad_requests = 0;
  std::uint64_t answers = 0;
  std::uint64_t closed_for_room = 0;
  std::uint64_t timed_out = 0;      // half a request, or an answer that was not taken
  std::uint64_t closed_unused = 0;  // connections that never began a request
  std::uint64_t accept_failures = 0;
  std::uint64_t refused_for_memory = 0;  // requests that were still coming, or were whole, answered 503
  std::uint64_t closed_for_memory = 0;   // answers that were not taken, bytes that came ahead of their turn
};

struct Answer {
  int status = 200;
  std::string body;
  std::string_view type = "application/json";  // empty = none is named
  std::string_view allow;                      // of a 405
  double retry_after_s = 0;                    // 0 = none
  std::string headers = {};                    // further lines, each with its end
  bool bare = false;                           // no body, and no length but what `headers` names
};

class RequestHandler {
 public:
  virtual ~RequestHandler() = default;
  // A whole request; its slices hold during the call. It is answered by HttpServer::answer(), now or later.
  virtual void request_arrived(net::SlotId connection, const http::Message& message) = 0;
  // The client of a request that is not answered yet has gone.
  virtual void client_left(net::SlotId connection) = 0;
};

struct RequestTimeouts {
  // For a first request from connecting, for the rest of a later one once it has begun. Whoever sends without
  // end or says nothing is to learn in a few seconds that this leads nowhere.
  net::Duration request = std::chrono::seconds(2);
  net::Duration answer = std::chrono::seconds(10);  // to be taken by its client
};

class HttpServer {
 public:
  using Warn = std::function<void(std::string_view what)>;
  HttpServer(net::Loop& loop, Warn warn, std::size_t most_connections, RequestHandler& user,
             RequestTimeouts timeouts = {}, http::MessageLimits limits = {})
      : loop_(loop),
        warn_(std::move(warn)),
        most_(most_connections),
        handler_(user),
        timeouts_(timeouts),
        limits_(limits) {}

  // Bytes held for all connections together, at the most. Beyond them room is made: first by refusing the
  // request that is still coming and holds the most, then by closing on whoever does not take its answer.
  void set_memory_bound(std::size_t bytes) { memory_bound_ = bytes; }
  std::size_t held_bytes() const { return held_bytes_; }
  // Gives up what one connection holds, as for the bound; false where nothing is left to give up.
  bool shed();

  void listen(const net::Address& address);
  net::Address address() const { return net::local_address(listener_); }

  void answer(net::SlotId connection, const Answer& answer);
  // When the first byte of the request that is at work there was read; it may have waited behind another.
  net::Time request_began(net::SlotId connection);

  // Answers to HEAD name their body's length and leave it out.
  void omit_body_for_head() { omit_body_for_head_ = true; }
  // From here on each answer ends its connection.
  void start_draining() { draining_ = true; }
  // For connections that come from here on, and for requests that begin from here on.
  void set_limits(RequestTimeouts timeouts, http::MessageLimits limits) {
    timeouts_ = timeouts;
    limits_ = limits;
  }
  // Closes connections that have carried nothing for so long.
  void close_idle_since(net::Time before);
  // Takes what the kernel has accepted, and nothing after it.
  void stop_listening();
  void close_idle();
  // Closes one that is idle: first of those that have long said nothing since they connected, then the one
  // whose last request is longest ago, then the newest comers; false where none is idle.
  bool close_one_idle();

  // Those that wait for an answer or have not taken all of theirs.
  std::size_t busy();
  std::size_t connections() const { return connections_.size(); }
  const HttpServerCounters& counters() const { return counters_; }

 private:
  enum class State { reading, waiting, writing };
  struct Connection {
    explicit Connection(http::MessageLimits limits) : reader(http::MessageKind::request, limits) {}
    net::Fd fd;
    net::Watch watch;
    net::Timer timer;    // for a request to be whole, or for an answer to be taken
    bool asked = false;  // has begun a request once
    State state = State::reading;
    net::Buffer in;
    http::MessageReader reader;
    std::string out;
    std::size_t written = 0;
    bool close_after = false;
    bool half_closed = false;  // we have ended our side and drain theirs
    bool consumed = false;     // the request that waits has left the buffer; what its answer needs is below
    bool keep_alive = true;
    bool is_head_request = false;
    std::size_t request_bytes = 0;  // of the request that waits
    // Which bytes came when, for those that are not used up: up to `until` of all, at `at`.
    struct Mark {
      std::uint64_t until;
      net::Time at;
    };
    std::vector<Mark> marks;
    std::uint64_t received = 0;
    // Nothing has been read since then: what is read next may have come at any moment after it.
    std::optional<net::Time> unread_since;
    std::size_t held = 0;  // as counted in held_bytes_
    net::Time last_used{};
  };

  void accept_waiting(int most);
  void on_ready(net::SlotId id, short events);
  bool read(net::SlotId id);
  void advance(net::SlotId id);
  void write(net::SlotId id);
  void sent(net::SlotId id);
  void want(Connection& connection);
  void queue(Connection& connection, const Answer& answer, bool close_after);
  void guard(net::SlotId id, net::Duration span);
  void give_up_waiting(net::SlotId id);
  bool idle(const Connection& connection) const;
  void consume(Connection& connection);
  void mark(Connection& connection, std::size_t bytes);
  // Of front_memory.cpp.
  void account(Connection& connection);
  std::size_t bytes_of(const Connection& connection) const;
  bool make_room();
  net::SlotId largest(const std::function<bool(const Connection&)>& counts);
  void refuse_for_memory(net::SlotId id);
  // The one place where a connection ends.
  void close(net::SlotId id);

  net::Loop& loop_;
  Warn warn_;
  std::size_t most_;
  RequestHandler& handler_;
  RequestTimeouts timeouts_;
  http::MessageLimits limits_;
  net::Fd listener_;
  net::Watch listener_watch_;
  net::Timer accept_again_;
  bool draining_ = false;
  bool omit_body_for_head_ = false;
  net::SlotTable<Connection> connections_;
  std::size_t memory_bound_ = std::numeric_limits<std::size_t>::max();
  std::size_t held_bytes_ = 0;
  HttpServerCounters counters_;
};

}  // namespace pearspar::clients
