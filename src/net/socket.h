// Owned descriptors and socket calls. All sockets are IPv4 and non-blocking.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

#include "net/buffer.h"

namespace pearspar::net {

// Owns a descriptor and closes it.
class Fd {
 public:
  Fd() = default;
  explicit Fd(int fd) : fd_(fd) {}
  Fd(Fd&& other) noexcept : fd_(std::exchange(other.fd_, -1)) {}
  Fd& operator=(Fd&& other) noexcept {
    std::swap(fd_, other.fd_);
    return *this;
  }
  ~Fd() { reset(); }

  int get() const { return fd_; }
  explicit operator bool() const { return fd_ >= 0; }
  void reset();

 private:
  int fd_ = -1;
};

// An IPv4 address and a port, in host byte order.
struct Address {
  std::uint32_t host = 0;
  std::uint16_t port = 0;

  // Parses text such as "127.0.0.1:3000".
  static std::optional<Address> parse(std::string_view text);
  // Like parse(), but throws std::system_error for invalid text.
  static Address of(std::string_view text);
  std::string text() const;
  bool operator==(const Address&) const = default;
};

// Throws std::system_error if the address cannot be bound.
Fd listen_on(const Address& address);
Address local_address(const Fd& fd);

// Whether a read would not block: there are bytes, an end of stream or an error; for a listener, a
// connection.
bool readable(const Fd& fd);
enum class AcceptResult { accepted, none, no_descriptors, failed };
AcceptResult accept_one(const Fd& listener, Fd& accepted);

// Starts to connect. Returns an empty Fd and sets `error` if the attempt fails immediately.
Fd start_connect(const Address& address, int& error);
// Makes the kernel end a connection whose peer has become unreachable: when sent data stays unacknowledged
// for `ms`, or when, after `ms` without traffic (at least a second), two keep-alive probes are not answered.
// Only the probes detect a peer that closed its end during a network partition.
void set_silence_timeout(const Fd& fd, int ms);
// The result of start_connect(), once the socket is writable: 0, or the error.
int connect_error(const Fd& fd);

enum class IoResult { some, none, ended, failed };
// Reads once, appending up to `max_bytes` to the buffer.
IoResult read_into(const Fd& fd, Buffer& buffer, std::size_t max_bytes);
// Closes the sending side; the peer reads an end of stream after what was written.
void end_sending(const Fd& fd);
// Reads received bytes and drops them.
IoResult discard(const Fd& fd);
// Writes as much of `bytes` as possible and sets `written` to the number of bytes.
IoResult write_from(const Fd& fd, std::string_view bytes, std::size_t& written);

// A UDP socket with a receive buffer large enough for bursts. Throws std::system_error if the address cannot
// be bound.
Fd bind_datagrams(const Address& address);
// Receives one datagram, truncated to `room` bytes. `more` is false if none was waiting.
std::size_t receive_datagram(const Fd& fd, char* into, std::size_t room, Address& from, bool& more);
// Returns false if the kernel did not accept the datagram.
bool send_datagram(const Fd& fd, const Address& to, std::string_view bytes);

}  // namespace pearspar::net
