// Descriptors and the few calls on them that the broker needs: all sockets are IPv4 and non-blocking.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

#include "net/buffer.h"

namespace pearspar::net {

// Owns one descriptor; the one place where it is closed.
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

struct Address {
  std::uint32_t host = 0;
  std::uint16_t port = 0;

  // "127.0.0.1:3000"; nothing where the text is anything else.
  static std::optional<Address> parse(std::string_view text);
  // Throws std::system_error where it is none: for those that are to be listened to.
  static Address of(std::string_view text);
  std::string text() const;
  bool operator==(const Address&) const = default;
};

// Throws std::system_error where the address cannot be had.
Fd listen_on(const Address& address);
Address local_address(const Fd& fd);

// Something can be taken: bytes, an end or a reset; of a listener, a connection.
bool readable(const Fd& fd);
enum class AcceptResult { accepted, none, no_descriptors, failed };
AcceptResult accept_one(const Fd& listener, Fd& accepted);

// A connection on its way; empty with `error` set where it failed at once.
Fd start_connect(const Address& address, int& error);
// Ends the connection when what was sent is not acknowledged for so long, and when it rested for so long (a
// second at least) and two probes a second apart are not answered. Behind a cut nobody says anything; and
// where the other end gave up during a cut, its word of that is lost, and nothing tells this one but a probe.
void set_silence_timeout(const Fd& fd, int ms);
// After the socket has become writable: 0, or why it did not come up.
int connect_error(const Fd& fd);

enum class IoResult { some, none, ended, failed };
// Reads once, `most` bytes at most, behind what the buffer holds.
IoResult read_into(const Fd& fd, Buffer& buffer, std::size_t most);
// Our side ends: the peer reads to the end of what was written.
void end_sending(const Fd& fd);
// Takes what has come and drops it unseen.
IoResult discard(const Fd& fd);
// Writes what it can of `bytes`; `written` says how much that was.
IoResult write_from(const Fd& fd, std::string_view bytes, std::size_t& written);

// A socket for datagrams, with room for a burst of them. Throws std::system_error where the address cannot be
// had.
Fd bind_datagrams(const Address& address);
// One datagram; `more` is false where none waits. One longer than `room` is cut off there.
std::size_t receive_datagram(const Fd& fd, char* into, std::size_t room, Address& from, bool& more);
// False where the kernel would not take it.
bool send_datagram(const Fd& fd, const Address& to, std::string_view bytes);

}  // namespace pearspar::net
