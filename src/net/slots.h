// A table of numbered slots. An id names a slot and a generation, so that an id kept after its entry was
// released finds nothing, even if the slot is in use again.
#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <utility>

namespace pearspar::net {

// Identifies an entry of a SlotTable.
struct SlotId {
  std::uint32_t index = 0;
  std::uint32_t generation = 0;  // 0 = no entry

  explicit operator bool() const { return generation != 0; }
  auto operator<=>(const SlotId&) const = default;
};

// Owns entries of type T, each reached by its id.
template <typename T>
class SlotTable {
 public:
  template <typename... Args>
  SlotId add(Args&&... args) {
    std::uint32_t index = 0;
    if (free_.empty()) {
      index = static_cast<std::uint32_t>(slots_.size());
      slots_.emplace_back();
    } else {
      index = free_.front();
      free_.pop_front();
    }
    Slot& slot = slots_[index];
    slot.held.emplace(std::forward<Args>(args)...);
    ++held_;
    return {index, slot.generation};
  }

  // The entry, or null. Its address is stable until it is released.
  T* find(SlotId id) {
    if (!id || id.index >= slots_.size()) return nullptr;
    Slot& slot = slots_[id.index];
    return slot.generation == id.generation && slot.held ? &*slot.held : nullptr;
  }

  void release(SlotId id) {
    if (!find(id)) return;
    Slot& slot = slots_[id.index];
    if (++slot.generation == 0) slot.generation = 1;
    free_.push_back(id.index);
    --held_;
    slot.held.reset();
  }

  std::size_t size() const { return held_; }

  // Calls `visit` with each id and entry; `visit` may release that entry.
  template <typename Visit>
  void each(Visit visit) {
    for (std::uint32_t i = 0; i < slots_.size(); ++i)
      if (slots_[i].held) visit(SlotId{i, slots_[i].generation}, *slots_[i].held);
  }

 private:
  struct Slot {
    std::uint32_t generation = 1;
    std::optional<T> held;
  };
  std::deque<Slot> slots_;  // a deque, so that entries never move
  std::deque<std::uint32_t> free_;
  std::size_t held_ = 0;
};

}  // namespace pearspar::net
