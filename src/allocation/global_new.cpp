// Global operator new and delete that use allocation.h instead of throwing std::bad_alloc. Linked into
// programs as an object file, never into a library.
#include <cstdlib>
#include <new>

#include "allocation/allocation.h"

namespace allocation = pearspar::allocation;

void* operator new(std::size_t size) { return allocation::allocate(size); }
void* operator new[](std::size_t size) { return allocation::allocate(size); }
void* operator new(std::size_t size, std::align_val_t alignment) {
  return allocation::allocate_aligned(size, static_cast<std::size_t>(alignment));
}
void* operator new[](std::size_t size, std::align_val_t alignment) {
  return allocation::allocate_aligned(size, static_cast<std::size_t>(alignment));
}
// Callers of the nothrow forms handle a null result.
void* operator new(std::size_t size, const std::nothrow_t& /*tag*/) noexcept { return std::malloc(size | 1); }
void* operator new[](std::size_t size, const std::nothrow_t& /*tag*/) noexcept {
  return std::malloc(size | 1);
}

void operator delete(void* memory) noexcept { allocation::release(memory); }
void operator delete[](void* memory) noexcept { allocation::release(memory); }
void operator delete(void* memory, std::size_t) noexcept { allocation::release(memory); }
void operator delete[](void* memory, std::size_t) noexcept { allocation::release(memory); }
void operator delete(void* memory, std::align_val_t) noexcept { allocation::release(memory); }
void operator delete[](void* memory, std::align_val_t) noexcept { allocation::release(memory); }
void operator delete(void* memory, std::size_t, std::align_val_t) noexcept { allocation::release(memory); }
void operator delete[](void* memory, std::size_t, std::align_val_t) noexcept { allocation::release(memory); }
void operator delete(void* memory, const std::nothrow_t& /*tag*/) noexcept { allocation::release(memory); }
void operator delete[](void* memory, const std::nothrow_t& /*tag*/) noexcept { allocation::release(memory); }
