// Out-of-memory handling.
//
// A memory reserve is set aside at start-up. An allocation that the system refuses is served from the
// reserve; the main loop then sheds load and refills it. Once the reserve is used up, the process exits after
// writing one log line with its current activity, the requested size and what it holds. No exception is
// thrown, so no handler can run on partially modified state.
//
// All functions may be called from any thread.
#pragma once

#include <cstddef>
#include <cstdint>
#include <utility>

namespace pearspar::allocation {

// Exit status of a process that ran out of memory; EX_OSERR of sysexits.h.
inline constexpr int out_of_memory_status = 71;
inline constexpr std::size_t reserve_block_bytes = 256 << 10;
inline constexpr std::size_t reserve_blocks = 16;

// Like malloc, but the process exits instead of returning null. For global operator new and for C libraries
// with configurable allocators.
void* allocate(std::size_t size) noexcept;
void* allocate_aligned(std::size_t size, std::size_t alignment) noexcept;
void release(void* memory) noexcept;

// For libraries that report failed allocations themselves: returns one block of the reserve to the system, so
// that the call can be retried; the process exits if none is left.
void make_room(std::size_t wanted) noexcept;

// Allocates the missing blocks of the reserve; false if the system refuses one.
bool fill_reserve() noexcept;
bool reserve_is_whole() noexcept;
// Number of allocations that the system has refused since start-up.
std::uint64_t refusals() noexcept;

// Names what this thread is doing, for the out-of-memory line, until the end of the scope. `what` must be a
// string literal.
class Activity {
 public:
  explicit Activity(const char* what) noexcept;
  ~Activity();
  Activity(const Activity&) = delete;
  Activity& operator=(const Activity&) = delete;

 private:
  const char* previous_;
};

// Describes what the process holds, for the out-of-memory line: writes members of a JSON object, each as
// "name":number, and returns their length, at most `room`. Must not allocate.
class Holdings {
 public:
  virtual ~Holdings() = default;
  virtual std::size_t describe(char* into, std::size_t room) const noexcept = 0;
};

// Sets the descriptor and node name for the out-of-memory line; `holdings` may be null. Copies up to 63 bytes
// of the name.
void set_report(int descriptor, const char* node, const Holdings* holdings) noexcept;

}  // namespace pearspar::allocation
