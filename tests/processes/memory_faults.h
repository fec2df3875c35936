// What a trial and the allocator under trial share: a file that both map.
#pragma once

#include <atomic>
#include <cstdint>

namespace pearspar::processes {

struct MemoryFaults {
  std::atomic<std::uint64_t> calls;       // allocations since the start of the process
  std::atomic<std::uint64_t> fail_from;   // 0: none fails; else the first call that does
  std::atomic<std::uint64_t> fail_until;  // the first call that does not any more
  std::atomic<std::uint64_t> one_in;      // 0, or within those only one in so many
  std::atomic<std::uint64_t> failed;
};

}  // namespace pearspar::processes
