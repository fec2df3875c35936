// Scripted TCP peers on loopback for the broker's tests. They have no timers and run in the thread of the
// test.
#pragma once

#include <fcntl.h>
#include <sys/socket.h>
#include <unistd.h>

#include <chrono>
#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "log/log.h"
#include "net/loop.h"
#include "net/socket.h"
#include "standins/reserved_port.h"

namespace pearspar::peers {

// One end of a connection, with the bytes read so far.
class Peer {
 public:
  Peer() = default;
  explicit Peer(net::Fd fd) : fd_(std::move(fd)) {}

  void read() {
    while (fd_) {
      switch (net::read_into(fd_, in_, 4096)) {
        case net::IoResult::some:
          continue;
        case net::IoResult::none:
          return;
        default:
          ended_ = true;
          return;
      }
    }
  }
  // For texts that fit into the socket buffer.
  bool write(std::string_view bytes) {
    std::size_t written = 0;
    return net::write_from(fd_, bytes, written) == net::IoResult::some && written == bytes.size();
  }
  std::string_view seen() const { return in_.view(); }
  void drop(std::size_t size) { in_.consume(size); }
  bool ended() const { return ended_; }
  bool open() const { return static_cast<bool>(fd_); }
  int descriptor() const { return fd_.get(); }
  void close() { fd_.reset(); }
  // Closes with a reset, as a dying process would.
  void reset() {
    linger hard{1, 0};
    ::setsockopt(fd_.get(), SOL_SOCKET, SO_LINGER, &hard, sizeof hard);
    fd_.reset();
  }

 private:
  net::Fd fd_;
  net::Buffer in_;
  bool ended_ = false;
};

// Accepts all connections and keeps them in order of arrival.
class Listener {
 public:
  Listener() : Listener(net::Address{0x7f000001, 0}) {}
  explicit Listener(const net::Address& address) : port_(address), fd_(net::listen_on(port_.address())) {}

  net::Address address() const { return net::local_address(fd_); }
  void close() { fd_.reset(); }
  void poll() {
    net::Fd accepted;
    while (fd_ && net::accept_one(fd_, accepted) == net::AcceptResult::accepted)
      peers.push_back(std::make_unique<Peer>(std::move(accepted)));
    for (auto& peer : peers) peer->read();
  }

  std::vector<std::unique_ptr<Peer>> peers;

 private:
  standins::ReservedPort port_;
  net::Fd fd_;
};

inline Peer connect_to(const net::Address& address) {
  int error = 0;
  return Peer(net::start_connect(address, error));
}

// An address that refuses connections for the lifetime of this process.
inline net::Address dead_address() {
  static std::deque<standins::ReservedPort> kept;
  return kept.emplace_back(net::Address{0x7f000001, 0}).address();
}

// Runs the loop, calling `each` after each turn, until `enough` holds. False after a timeout that only
// bounds failing tests.
inline bool turn_until(net::Loop& loop, const std::function<void()>& each,
                       const std::function<bool()>& enough) {
  auto end = std::chrono::steady_clock::now() + std::chrono::seconds(20);
  while (!enough()) {
    if (std::chrono::steady_clock::now() > end) return false;
    loop.run_once(std::chrono::milliseconds(2));
    each();
  }
  return true;
}

inline log::Logger& quiet_log() {
  static log::Logger log(STDERR_FILENO, log::Level::error, "test");
  return log;
}

}  // namespace pearspar::peers
