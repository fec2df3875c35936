// The operating system calls of this library, as an interface that a simulation can implement. A thread uses
// the real calls unless an override is set for it.
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

// A simulated operating system: clock, poll and stream sockets. Its descriptors are its own numbers and never
// reach the real operating system.
class Kernel {
 public:
  virtual ~Kernel() = default;
  virtual Time now() = 0;
  // Like poll(2), but never waits: the simulation runs the loop when something has happened.
  virtual int poll(pollfd* set, std::size_t size) = 0;
  virtual int listen(const Address& address) = 0;
  virtual Address local_address(int fd) = 0;
  virtual AcceptResult accept(int listener, int& accepted) = 0;
  // Returns -1 and sets `error` if the attempt fails immediately.
  virtual int connect(const Address& address, int& error) = 0;
  virtual int connect_error(int fd) = 0;
  virtual void set_silence_timeout(int fd, int ms) = 0;
  virtual IoResult read(int fd, char* into, std::size_t max_bytes, std::size_t& got) = 0;
  virtual IoResult write(int fd, std::string_view bytes, std::size_t& written) = 0;
  virtual void end_sending(int fd) = 0;
  virtual void close(int fd) = 0;
};

// The override of this thread; null = the operating system.
inline constinit thread_local Kernel* kernel_override = nullptr;

// Sets `kernel` as this thread's override and restores the previous one when it is destroyed.
class ScopedKernelOverride {
 public:
  explicit ScopedKernelOverride(Kernel& kernel) : previous_(std::exchange(kernel_override, &kernel)) {}
  ScopedKernelOverride(const ScopedKernelOverride&) = delete;
  ~ScopedKernelOverride() { kernel_override = previous_; }

 private:
  Kernel* previous_;
};

}  // namespace pearspar::net
