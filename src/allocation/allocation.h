// What a process does when the system has no memory for it (docs/memory.md).
//
// A reserve is set aside at the start. An allocation that the system refuses is served from the reserve; the
// owner of the process sees that at the end of the turn, gives up what it can and fills the reserve again.
// Where nothing is left of it, the process ends with one line that says what it was doing, how much was
// wanted and what it held. Nothing is thrown: half-changed state is never met by an exception handler, and
// what was acknowledged is on disk.
//
// The functions may be called from any thread; a program has one that matters.
#pragma once

#include <cstddef>
#include <cstdint>
#include <utility>

namespace pearspar::allocation {

// Of a process that ended for want of memory; EX_OSERR of sysexits.h.
inline constexpr int out_of_memory_status = 71;
inline constexpr std::size_t reserve_block_bytes = 256 << 10;
inline constexpr std::size_t reserve_blocks = 16;

// Like malloc, but never null: the process ends instead. For global operator new and for C libraries that let
// their allocator be chosen.
void* allocate(std::size_t size) noexcept;
void* allocate_aligned(std::size_t size, std::size_t alignment) noexcept;
void release(void* memory) noexcept;

// For callers of libraries that report a refused allocation themselves: returns once a block of the reserve
// has gone back to the system, so that the call may be made again; where none is left the process ends.
void make_room(std::size_t wanted) noexcept;

// Sets aside what is missing of the reserve; false where the system refuses a part of it.
bool fill_reserve() noexcept;
bool reserve_is_whole() noexcept;
// Allocations that the system has refused since the start.
std::uint64_t refusals() noexcept;

// What this thread is doing, as the last line names it; a string literal. The one before counts again when
// this one ends.
class Activity {
 public:
  explicit Activity(const char* what) noexcept;
  ~Activity();
  Activity(const Activity&) = delete;
  Activity& operator=(const Activity&) = delete;

 private:
  const char* before_;
};

// What the process holds, in the last line: writes members of a JSON object, each as "name":number, and gives
// their length, `room` at the most. It allocates nothing.
class Holdings {
 public:
  virtual ~Holdings() = default;
  virtual std::size_t describe(char* into, std::size_t room) const noexcept = 0;
};

// Where and under which name the last line is written; `holdings` is null where nothing is known. The name is
// copied, up to 63 bytes.
void set_report(int descriptor, const char* node, const Holdings* holdings) noexcept;

}  // namespace pearspar::allocation
