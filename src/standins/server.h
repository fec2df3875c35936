// A small HTTP/1.1 server on the loop for stand-ins: whole requests in; replies at once, later, or as a
// stream in chunks. How it can be made to misbehave stands in Faults.
#pragma once

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "http/message.h"
#include "net/listener.h"
#include "net/loop.h"
#include "net/slots.h"
#include "net/socket.h"
#include "standins/reserved_port.h"

namespace pearspar::standins {

class Server {
 public:
  struct Ask {
    net::SlotId id;  // names the connection, for replies
    std::string method;
    std::string target;
    std::string body;
  };
  using OnAsk = std::function<void(const Ask&)>;
  using OnGone = std::function<void(net::SlotId)>;

  Server(net::Loop& loop, const net::Address& address, OnAsk on_ask, OnGone on_gone);

  net::Address address() const { return listener_.address(); }
  std::size_t connections() const { return connections_.size(); }

  void reply(net::SlotId id, int status, const std::string& body, const std::string& headers = {});
  void begin_stream(net::SlotId id);
  void stream(net::SlotId id, std::string_view piece);
  void end_stream(net::SlotId id);
  // Bytes that wait to be written on it.
  std::size_t waiting(net::SlotId id);

  // ---- faults ----
  // Stops listening and resets all connections; what came is forgotten.
  void go_down();
  void come_up();
  bool up() const { return listener_.is_open(); }
  void reset_all();
  // Takes what comes and says nothing more, on old connections and new ones.
  void hang(bool on);
  // The next stream is cut by a reset once so many bytes of its body were written.
  void cut_after(std::size_t bytes) { cut_after_ = bytes; }
  bool cut_pending() const { return cut_after_.has_value(); }
  // What is written goes out so many bytes a millisecond; 0 = as it can.
  void trickle(std::size_t bytes_per_ms);

 private:
  struct Connection {
    net::Fd fd;
    net::Watch watch;
    net::Buffer in;
    http::MessageReader reader{http::MessageKind::request};
    std::string out;
    bool streaming = false;
    bool close = false;
    std::optional<std::size_t> cut;  // bytes of `out` after which it is reset
  };
  void accept(net::Fd fd);
  void on_ready(net::SlotId id, short events);
  void write(net::SlotId id);
  void put(net::SlotId id, std::string_view bytes);
  void drop(net::SlotId id, bool reset);

  net::Loop& loop_;
  OnAsk on_ask_;
  OnGone on_gone_;
  ReservedPort port_;
  net::Listener listener_;
  net::SlotTable<Connection> connections_;
  bool hung_ = false;
  std::optional<std::size_t> cut_after_;
  std::size_t trickle_ = 0;
  net::Timer trickle_timer_;
};

}  // namespace pearspar::standins
