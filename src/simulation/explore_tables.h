// Tables of the search that several threads share: from digests of 128 bits to small numbers, in flat shards,
// and rows that never move. Over a billion digests a false match is out of the question.
#pragma once

#include <xxhash.h>

#include <atomic>
#include <cstdint>
#include <memory>
#include <mutex>
#include <string_view>
#include <utility>
#include <vector>

namespace pearspar::simulation {

struct Digest {
  std::uint64_t high = 0;
  std::uint64_t low = 0;
  bool operator==(const Digest&) const = default;
};

inline Digest digest_of(const void* bytes, std::size_t size) {
  XXH128_hash_t hash = XXH3_128bits(bytes, size);
  return {hash.high64, hash.low64 | 1};  // never all zero: that is a free slot
}
inline Digest digest_of(std::string_view bytes) { return digest_of(bytes.data(), bytes.size()); }

// From a digest to a number. Both calls from any thread.
class DigestMap {
 public:
  // Nothing found: false.
  bool find(const Digest& key, std::uint32_t& value) {
    Shard& shard = shard_of(key);
    std::lock_guard lock(shard.mutex);
    const Slot* slot = shard.seek(key);
    if (!slot || slot->key != key) return false;
    value = slot->value;
    return true;
  }
  // The number that stands under the key afterwards, and whether it is the one given.
  std::pair<std::uint32_t, bool> insert(const Digest& key, std::uint32_t value) {
    Shard& shard = shard_of(key);
    std::lock_guard lock(shard.mutex);
    if ((shard.used + 1) * 3 > shard.slots.size() * 2) shard.grow();
    Slot* slot = shard.seek(key);
    if (slot->key == key) return {slot->value, false};
    *slot = {key, value};
    ++shard.used;
    return {value, true};
  }

 private:
  struct Slot {
    Digest key;
    std::uint32_t value = 0;
  };
  struct alignas(64) Shard {
    std::mutex mutex;
    std::vector<Slot> slots;
    std::size_t used = 0;

    Slot* seek(const Digest& key) {
      if (slots.empty()) return nullptr;
      std::size_t mask = slots.size() - 1;
      std::size_t at = key.low >> 1 & mask;
      while (slots[at].key != Digest{} && slots[at].key != key) at = (at + 1) & mask;
      return &slots[at];
    }
    void grow() {
      std::vector<Slot> before(slots.empty() ? 64 : slots.size() * 2);
      before.swap(slots);
      for (const Slot& slot : before)
        if (slot.key != Digest{}) *seek(slot.key) = slot;
    }
  };
  static constexpr std::size_t shards = 256;
  Shard& shard_of(const Digest& key) { return shards_[key.high % shards]; }

  std::unique_ptr<Shard[]> shards_ = std::make_unique<Shard[]>(shards);
};

// The same without a number.
class DigestSet {
 public:
  bool insert(const Digest& key) {
    Shard& shard = shards_[key.high % shards];
    std::lock_guard lock(shard.mutex);
    if ((shard.used + 1) * 3 > shard.slots.size() * 2) {
      std::vector<Digest> before(shard.slots.empty() ? 64 : shard.slots.size() * 2);
      before.swap(shard.slots);
      for (const Digest& each : before)
        if (each != Digest{}) shard.slots[shard.seek(each)] = each;
    }
    std::size_t at = shard.seek(key);
    if (shard.slots[at] == key) return false;
    shard.slots[at] = key;
    ++shard.used;
    return true;
  }

 private:
  struct alignas(64) Shard {
    std::mutex mutex;
    std::vector<Digest> slots;
    std::size_t used = 0;
    std::size_t seek(const Digest& key) const {
      std::size_t mask = slots.size() - 1;
      std::size_t at = key.low >> 1 & mask;
      while (slots[at] != Digest{} && slots[at] != key) at = (at + 1) & mask;
      return at;
    }
  };
  static constexpr std::size_t shards = 256;
  std::unique_ptr<Shard[]> shards_ = std::make_unique<Shard[]>(shards);
};

// Rows numbered from 0 that stay where they are; read without a lock by whoever was handed the number.
template <typename T>
class Rows {
 public:
  const T& operator[](std::uint32_t at) const { return (*blocks_[at / block].load())[at % block]; }
  std::uint32_t add(T row) {
    std::lock_guard lock(mutex_);
    std::uint32_t at = size_;
    if (at % block == 0) {
      owned_.push_back(std::make_unique<Block>(block));
      blocks_[at / block] = owned_.back().get();
    }
    (*blocks_[at / block].load())[at % block] = std::move(row);
    size_ = at + 1;
    return at;
  }
  std::uint32_t size() const { return size_; }

 private:
  static constexpr std::size_t block = 4096;
  using Block = std::vector<T>;
  std::mutex mutex_;
  std::vector<std::unique_ptr<Block>> owned_;
  std::unique_ptr<std::atomic<Block*>[]> blocks_ = std::make_unique<std::atomic<Block*>[]>(1 << 16);
  std::atomic<std::uint32_t> size_ = 0;
};

// Rows by what they are: alike ones have one number.
template <typename T>
class Known {
 public:
  std::uint32_t number(const Digest& digest, T&& row) {
    std::uint32_t found = 0;
    if (numbers_.find(digest, found)) return found;
    return numbers_.insert(digest, rows_.add(std::move(row))).first;
  }
  bool find(const Digest& digest, std::uint32_t& found) { return numbers_.find(digest, found); }
  const T& operator[](std::uint32_t at) const { return rows_[at]; }
  std::uint32_t size() const { return rows_.size(); }

 private:
  DigestMap numbers_;
  Rows<T> rows_;
};

}  // namespace pearspar::simulation
