// One request to a registry and its whole reply, for what is done by hand and for a broker's own key.
#pragma once

#include <functional>
#include <string>

#include "registry/link.h"
#include "registry/wire.h"

namespace pearspar::registry {

struct Reply {
  int status = 0;
  std::string body;    // at most `most` bytes
  Revision index = 0;  // Consul's
};

// Holds one connection; one call is out at a time.
class Call {
 public:
  // The reply, or null with the fault told in words. The last thing that is done in a turn.
  using Done = std::function<void(const Reply* reply, const std::string& why)>;
  static constexpr std::size_t most = std::size_t{16} << 20;

  explicit Call(net::Loop& loop) : loop_(loop), link_(loop, [this](Link::Came came) { on_came(came); }) {}

  void send(const net::Address& address, const Request& request, const std::string& headers,
            net::Duration timeout, Done done);
  void give_up();
  bool busy() const { return done_ != nullptr; }

 private:
  class Reader;
  void on_came(Link::Came came);
  void end(const Reply* reply, const std::string& why);

  net::Loop& loop_;
  Link link_;
  net::Timer timer_;
  Reply reply_;
  Done done_;
};

}  // namespace pearspar::registry
