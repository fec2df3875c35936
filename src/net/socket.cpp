#include "net/socket.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <charconv>
#include <system_error>

#include "net/kernel.h"

namespace pearspar::net {
namespace {

sockaddr_in to_system(const Address& address) {
  sockaddr_in system{};
  system.sin_family = AF_INET;
  system.sin_addr.s_addr = htonl(address.host);
  system.sin_port = htons(address.port);
  return system;
}

// Turns off Nagle's algorithm: messages are small, and latency matters more than full segments.
void set_no_delay(int fd) {
  int on = 1;
  ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
}

}  // namespace

void Fd::reset() {
  if (fd_ < 0) return;
  int fd = std::exchange(fd_, -1);
  kernel_override ? kernel_override->close(fd) : static_cast<void>(::close(fd));
}

std::optional<Address> Address::parse(std::string_view text) {
  std::size_t colon = text.rfind(':');
  if (colon == std::string_view::npos) return std::nullopt;
  std::string host(text.substr(0, colon));
  std::string_view port_text = text.substr(colon + 1);
  unsigned port = 0;
  auto [stop, error] = std::from_chars(port_text.data(), port_text.data() + port_text.size(), port);
  if (error != std::errc() || stop != port_text.data() + port_text.size() || port > 65535)
    return std::nullopt;
  in_addr parsed{};
  if (::inet_pton(AF_INET, host.c_str(), &parsed) != 1) return std::nullopt;
  return Address{ntohl(parsed.s_addr), static_cast<std::uint16_t>(port)};
}

Address Address::of(std::string_view text) {
  const auto parsed = parse(text);
  if (!parsed)
    throw std::system_error(std::make_error_code(std::errc::invalid_argument),
                            "address " + std::string(text));
  return *parsed;
}

std::string Address::text() const {
  std::string text;
  for (int shift = 24; shift >= 0; shift -= 8)
    text += std::to_string((host >> shift) & 255) + (shift > 0 ? "." : ":");
  return text + std::to_string(port);
}

Fd listen_on(const Address& address) {
  if (kernel_override) return Fd(kernel_override->listen(address));
  Fd fd(::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
  auto fail = [&](const char* what) {
    throw std::system_error(errno, std::generic_category(), std::string(what) + " " + address.text());
  };
  if (!fd) fail("socket for");
  // Lets a restarted process bind its address while old connections are in TIME_WAIT.
  int on = 1;
  ::setsockopt(fd.get(), SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  sockaddr_in system = to_system(address);
  if (::bind(fd.get(), reinterpret_cast<sockaddr*>(&system), sizeof system) != 0) fail("bind to");
  if (::listen(fd.get(), SOMAXCONN) != 0) fail("listen on");
  return fd;
}

Address local_address(const Fd& fd) {
  if (kernel_override) return kernel_override->local_address(fd.get());
  sockaddr_in system{};
  socklen_t size = sizeof system;
  if (::getsockname(fd.get(), reinterpret_cast<sockaddr*>(&system), &size) != 0) return {};
  return {ntohl(system.sin_addr.s_addr), ntohs(system.sin_port)};
}

bool readable(const Fd& fd) {
  pollfd waiting{fd.get(), POLLIN, 0};
  return (kernel_override ? kernel_override->poll(&waiting, 1) : ::poll(&waiting, 1, 0)) == 1 &&
         (waiting.revents & POLLIN) != 0;
}

AcceptResult accept_one(const Fd& listener, Fd& accepted) {
  if (kernel_override) {
    int made = -1;
    AcceptResult result = kernel_override->accept(listener.get(), made);
    if (result == AcceptResult::accepted) accepted = Fd(made);
    return result;
  }
  int fd = ::accept4(listener.get(), nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
  if (fd >= 0) {
    set_no_delay(fd);
    accepted = Fd(fd);
    return AcceptResult::accepted;
  }
  if (errno == EAGAIN || errno == EWOULDBLOCK) return AcceptResult::none;
  if (errno == EMFILE || errno == ENFILE || errno == ENOBUFS || errno == ENOMEM)
    return AcceptResult::no_descriptors;
  return AcceptResult::failed;  // this connection failed (for example by a reset); the next one may not
}

Fd start_connect(const Address& address, int& error) {
  error = 0;
  if (kernel_override) return Fd(kernel_override->connect(address, error));
  Fd fd(::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
  if (!fd) {
    error = errno;
    return fd;
  }
  set_no_delay(fd.get());
  sockaddr_in system = to_system(address);
  if (::connect(fd.get(), reinterpret_cast<sockaddr*>(&system), sizeof system) != 0 && errno != EINPROGRESS &&
      errno != EINTR) {
    error = errno;
    fd.reset();
  }
  return fd;
}

void set_silence_timeout(const Fd& fd, int ms) {
  if (kernel_override) return kernel_override->set_silence_timeout(fd.get(), ms);
  auto set = [&](int level, int name, int value) {
    ::setsockopt(fd.get(), level, name, &value, sizeof value);
  };
  set(IPPROTO_TCP, TCP_USER_TIMEOUT, ms);
  set(SOL_SOCKET, SO_KEEPALIVE, 1);
  set(IPPROTO_TCP, TCP_KEEPIDLE, std::max(1, ms / 1000));
  set(IPPROTO_TCP, TCP_KEEPINTVL, 1);
  set(IPPROTO_TCP, TCP_KEEPCNT, 2);
}

int connect_error(const Fd& fd) {
  if (kernel_override) return kernel_override->connect_error(fd.get());
  int error = 0;
  socklen_t size = sizeof error;
  if (::getsockopt(fd.get(), SOL_SOCKET, SO_ERROR, &error, &size) != 0) return errno;
  return error;
}

IoResult read_into(const Fd& fd, Buffer& buffer, std::size_t max_bytes) {
  char* at = buffer.grow(max_bytes);
  if (kernel_override) {
    std::size_t size = 0;
    IoResult result = kernel_override->read(fd.get(), at, max_bytes, size);
    buffer.commit(size);
    return result;
  }
  ssize_t got = ::recv(fd.get(), at, max_bytes, 0);
  if (got > 0) {
    buffer.commit(static_cast<std::size_t>(got));
    return IoResult::some;
  }
  if (got == 0) return IoResult::ended;
  return errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR ? IoResult::none : IoResult::failed;
}

void end_sending(const Fd& fd) {
  kernel_override ? kernel_override->end_sending(fd.get()) : static_cast<void>(::shutdown(fd.get(), SHUT_WR));
}

IoResult discard(const Fd& fd) {
  constexpr std::size_t max_bytes = std::size_t{1} << 20;
  if (kernel_override) {
    std::size_t size = 0;
    return kernel_override->read(fd.get(), nullptr, max_bytes, size);
  }
  // For TCP, MSG_TRUNC drops the bytes in the kernel instead of copying them.
  ssize_t got = ::recv(fd.get(), nullptr, max_bytes, MSG_TRUNC);
  if (got > 0) return IoResult::some;
  if (got == 0) return IoResult::ended;
  return errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR ? IoResult::none : IoResult::failed;
}

IoResult write_from(const Fd& fd, std::string_view bytes, std::size_t& written) {
  written = 0;
  if (kernel_override) return kernel_override->write(fd.get(), bytes, written);
  // MSG_NOSIGNAL: a closed peer is reported as an error instead of SIGPIPE.
  ssize_t put = ::send(fd.get(), bytes.data(), bytes.size(), MSG_NOSIGNAL);
  if (put >= 0) {
    written = static_cast<std::size_t>(put);
    return IoResult::some;
  }
  return errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR ? IoResult::none : IoResult::failed;
}

Fd bind_datagrams(const Address& address) {
  Fd fd(::socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
  auto fail = [&](const char* what) {
    throw std::system_error(errno, std::generic_category(), std::string(what) + " " + address.text());
  };
  if (!fd) fail("datagram socket for");
  int room = 1 << 20;  // bytes; the kernel may limit it
  ::setsockopt(fd.get(), SOL_SOCKET, SO_RCVBUF, &room, sizeof room);
  sockaddr_in system = to_system(address);
  if (::bind(fd.get(), reinterpret_cast<sockaddr*>(&system), sizeof system) != 0) fail("bind datagrams to");
  return fd;
}

std::size_t receive_datagram(const Fd& fd, char* into, std::size_t room, Address& from, bool& more) {
  sockaddr_in system{};
  socklen_t size = sizeof system;
  ssize_t got = ::recvfrom(fd.get(), into, room, 0, reinterpret_cast<sockaddr*>(&system), &size);
  more = got >= 0;
  if (got < 0) {
    // ECONNREFUSED reports that an earlier datagram was not delivered; a datagram may still be waiting.
    more = errno == ECONNREFUSED || errno == EINTR;
    return 0;
  }
  from = {ntohl(system.sin_addr.s_addr), ntohs(system.sin_port)};
  return static_cast<std::size_t>(got);
}

bool send_datagram(const Fd& fd, const Address& to, std::string_view bytes) {
  sockaddr_in system = to_system(to);
  return ::sendto(fd.get(), bytes.data(), bytes.size(), MSG_NOSIGNAL, reinterpret_cast<sockaddr*>(&system),
                  sizeof system) == static_cast<ssize_t>(bytes.size());
}

}  // namespace pearspar::net
