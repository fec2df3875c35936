// A port of this machine that is kept for whoever listens there by turns. Between two turns the system gives
// a port of its range to any connection that anybody opens, and the next turn finds it taken; a socket that
// is bound there and does not listen keeps it: whoever connects meanwhile is refused, as by a closed port.
#pragma once

#include <netinet/in.h>
#include <sys/socket.h>

#include <cerrno>
#include <system_error>

#include "net/socket.h"

namespace pearspar::standins {

class ReservedPort {
 public:
  // Port 0: one of the system's choice. Throws std::system_error where it cannot be had.
  explicit ReservedPort(const net::Address& address) : fd_(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)) {
    // Listeners set it as well: so they may bind beside us, and nobody else may.
    int on = 1;
    ::setsockopt(fd_.get(), SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    sockaddr_in system{};
    system.sin_family = AF_INET;
    system.sin_addr.s_addr = htonl(address.host);
    system.sin_port = htons(address.port);
    if (!fd_ || ::bind(fd_.get(), reinterpret_cast<sockaddr*>(&system), sizeof system) != 0)
      throw std::system_error(errno, std::generic_category(), "reserve " + address.text());
    address_ = net::local_address(fd_);
  }
  const net::Address& address() const { return address_; }

 private:
  net::Fd fd_;
  net::Address address_;
};

}  // namespace pearspar::standins
