// A listening socket that passes each accepted connection to a callback. It has no connection limit; the
// server for clients (clients/http_server.h) accepts by itself.
#pragma once

#include <functional>

#include "net/loop.h"
#include "net/socket.h"

namespace pearspar::net {

// Accepts connections while it is open.
class Listener {
 public:
  using OnConnection = std::function<void(Fd fd)>;
  Listener(Loop& loop, const Address& address, OnConnection on_connection)
      : loop_(loop), address_(address), on_connection_(std::move(on_connection)) {
    open();
  }

  // Throws std::system_error if the address cannot be bound. Opened again, it uses the same address and port.
  void open() {
    if (fd_) return;
    fd_ = listen_on(address_);
    address_ = local_address(fd_);
    watch_ = loop_.watch(fd_.get(), POLLIN, [this](short) {
      Fd fd;
      while (fd_ && accept_one(fd_, fd) == AcceptResult::accepted) on_connection_(std::move(fd));
    });
  }
  void close() {
    watch_.reset();
    fd_.reset();
  }
  bool is_open() const { return static_cast<bool>(fd_); }
  const Address& address() const { return address_; }

 private:
  Loop& loop_;
  Address address_;
  OnConnection on_connection_;
  Fd fd_;
  Watch watch_;
};

}  // namespace pearspar::net
