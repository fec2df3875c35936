// What this package asks of the operating system, so that a simulation can stand in for it. Each thread asks
// the operating system itself unless a stand-in was set for it: one load and one branch beside a system call.
#pragma once

#include <poll.h>

#include <chrono>
#include <cstddef>
#include <string_view>
#include <utility>

namespace pearspar::net {

using Duration = std::chrono::duration<double>;
using Time = std::chrono::time_point<std::chrono::steady_clock, Duration>;

struct Address;
enum class AcceptResult;
enum class IoResult;

// Descriptors are numbers of its own; none of them ever reaches the operating system. Streams only.
class Kernel {
 public:
  virtual ~Kernel() = default;
  virtual Time now() = 0;
  // As poll(2), but it never waits: its owner turns the loop when something has happened.
  virtual int poll(pollfd* set, std::size_t size) = 0;
  virtual int listen(const Address& address) = 0;
  virtual Address local_address(int fd) = 0;
  virtual AcceptResult accept(int listener, int& accepted) = 0;
  // -1 with `error` set where it failed at once.
  virtual int connect(const Address& address, int& error) = 0;
  virtual int connect_error(int fd) = 0;
  virtual void set_silence_timeout(int fd, int ms) = 0;
  virtual IoResult read(int fd, char* into, std::size_t most, std::size_t& got) = 0;
  virtual IoResult write(int fd, std::string_view bytes, std::size_t& written) = 0;
  virtual void end_sending(int fd) = 0;
  virtual void close(int fd) = 0;
};

inline constinit thread_local Kernel* kernel_override = nullptr;

// Lets `kernel` stand in on this thread for as long as it lives.
class ScopedKernelOverride {
 public:
  explicit ScopedKernelOverride(Kernel& kernel) : before_(std::exchange(kernel_override, &kernel)) {}
  ScopedKernelOverride(const ScopedKernelOverride&) = delete;
  ~ScopedKernelOverride() { kernel_override = before_; }

 private:
  Kernel* before_;
};

}  // namespace pearspar::net
