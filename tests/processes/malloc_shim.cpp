// Loaded into a process under trial (LD_PRELOAD), any build of it: allocations are counted, and those that
// the trial asks for are refused. Covers operator new and the C libraries alike.
#include <fcntl.h>
#include <sys/mman.h>
#include <unistd.h>

#include <cerrno>
#include <cstddef>
#include <cstdlib>

#include "memory_faults.h"

extern "C" {
void* __libc_malloc(std::size_t size);
void* __libc_calloc(std::size_t count, std::size_t size);
void* __libc_realloc(void* memory, std::size_t size);
void* __libc_memalign(std::size_t alignment, std::size_t size);
}

namespace {

using pearspar::processes::MemoryFaults;

MemoryFaults nothing{};

MemoryFaults* shared() {
  static MemoryFaults* faults = nullptr;
  if (faults) return faults;
  const char* path = std::getenv("PEARSPAR_TRIAL_MEMORY");
  const int file = path ? ::open(path, O_RDWR | O_CLOEXEC) : -1;
  void* mapped = file < 0
                     ? MAP_FAILED
                     : ::mmap(nullptr, sizeof(MemoryFaults), PROT_READ | PROT_WRITE, MAP_SHARED, file, 0);
  if (file >= 0) ::close(file);
  faults = mapped == MAP_FAILED ? &nothing : static_cast<MemoryFaults*>(mapped);
  return faults;
}

bool refused() {
  MemoryFaults& faults = *shared();
  const std::uint64_t call = ++faults.calls;
  const std::uint64_t from = faults.fail_from;
  if (from == 0 || call < from || call >= faults.fail_until) return false;
  const std::uint64_t one_in = faults.one_in;
  if (one_in > 1 && (call * 0x9e3779b97f4a7c15ULL >> 32) % one_in != 0) return false;
  ++faults.failed;
  errno = ENOMEM;
  return true;
}

}  // namespace

extern "C" void* malloc(std::size_t size) noexcept { return refused() ? nullptr : __libc_malloc(size); }
extern "C" void* calloc(std::size_t count, std::size_t size) noexcept {
  return refused() ? nullptr : __libc_calloc(count, size);
}
extern "C" void* realloc(void* memory, std::size_t size) noexcept {
  return refused() ? nullptr : __libc_realloc(memory, size);
}
extern "C" void* aligned_alloc(std::size_t alignment, std::size_t size) noexcept {
  return refused() ? nullptr : __libc_memalign(alignment, size);
}
