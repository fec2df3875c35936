// One connection to one endpoint of a registry, kept and used again while it can be. One request is out at a
// time; its reply is read piece by piece into a ReplyReader.
#pragma once

#include <functional>
#include <memory>
#include <string>

#include "http/stream.h"
#include "net/loop.h"
#include "net/socket.h"
#include "registry/wire.h"

namespace pearspar::registry {

class Link {
 public:
  enum class Came { some, whole, fault };
  // The last thing that the link does in a turn: it may be sent from or closed in there.
  using After = std::function<void(Came came)>;

  Link(net::Loop& loop, After after) : loop_(loop), after_(std::move(after)) {}
  Link(const Link&) = delete;

  // Whatever was out on it is given up. There is no time-out here: whoever sends has one. `again`: where a
  // kept connection turns out to have ended, the request goes out once more on a new one. Not for one that is
  // held by the registry until something happens: its end may be what has happened.
  void send(const net::Address& address, const Request& request, const std::string& headers,
            std::unique_ptr<ReplyReader> reader, bool again = true);
  void close();

  bool busy() const { return reader_ != nullptr; }
  // After Came::fault.
  Fault fault() const { return fault_; }
  const std::string& why() const { return why_; }
  std::uint64_t bytes_read() const { return bytes_read_; }

 private:
  void connect();
  void on_ready(short events);
  bool write();
  Came read();
  Came fail(Fault fault, std::string why);

  net::Loop& loop_;
  After after_;
  net::Address address_;
  net::Fd fd_;
  net::Watch watch_;
  net::Timer failed_start_;
  bool up_ = false;
  bool used_ = false;  // a reply came on it whole: it may have ended idle, unseen
  bool again_ = true;
  bool heard_ = false;   // of the request that is out
  std::string request_;  // kept until something of its reply is read
  std::size_t written_ = 0;
  net::Buffer in_;
  http::ReplyStream reply_;
  bool head_told_ = false;
  std::unique_ptr<ReplyReader> reader_;
  Fault fault_ = Fault::ended;
  std::string why_;
  std::uint64_t bytes_read_ = 0;
};

}  // namespace pearspar::registry
