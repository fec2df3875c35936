// A client's connection to one edge: blocking calls in the client's own thread. What comes of each request is
// told to the history.
#pragma once

#include <string>
#include <string_view>

#include "net/buffer.h"
#include "net/socket.h"
#include "processes/traffic.h"

namespace pearspar::processes {

class ClientConnection {
 public:
  explicit ClientConnection(TrafficHistory& history) : history_(history) {}

  bool is_open() const { return static_cast<bool>(fd_); }
  void close() { fd_.reset(); }
  // Whether the edge can be reached; what was open before is closed.
  bool connect(const std::string& edge);
  // Whether one of the events of poll(2) holds in time.
  bool wait(short events, double until);
  bool send(std::string_view bytes, double until);
  // Closes the connection if the answer doesn't come in time or in order.
  void read_answer(const ClientTry& attempt, double until);
  // Sends a request and reads its answer, from now on.
  void exchange(ClientTry attempt);
  // The edge closed the connection without an answer.
  void broken_off(const ClientTry& attempt);

 private:
  TrafficHistory& history_;
  net::Fd fd_;
  net::Buffer in_;
};

// A request's bytes, without a body.
std::string request_head(const ClientTry& attempt);

}  // namespace pearspar::processes
