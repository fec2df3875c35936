// A byte queue for data that was received and not yet consumed. Slices of view() stay valid until the buffer
// is next changed.
#pragma once

#include <algorithm>
#include <cstddef>
#include <string>
#include <string_view>

namespace pearspar::net {

// Appends at the back and consumes from the front. An idle buffer holds little memory.
class Buffer {
 public:
  std::string_view view() const { return {bytes_.data() + start_, end_ - start_}; }
  std::size_t size() const { return end_ - start_; }
  // Allocated bytes, used or not.
  std::size_t capacity() const { return bytes_.capacity(); }
  // For changes in place, such as joining the chunks of a body.
  char* data() { return bytes_.data() + start_; }

  // Makes room for `room` more bytes. Returns where to write them; commit() then adds what was written.
  char* grow(std::size_t room) {
    if (bytes_.size() - end_ < room) {
      if (start_ > 0) {
        std::copy(bytes_.begin() + static_cast<std::ptrdiff_t>(start_),
                  bytes_.begin() + static_cast<std::ptrdiff_t>(end_), bytes_.begin());
        end_ -= start_;
        start_ = 0;
      }
      if (bytes_.size() - end_ < room) bytes_.resize(end_ + room);
    }
    return bytes_.data() + end_;
  }
  void commit(std::size_t size) { end_ += size; }
  void append(std::string_view bytes) {
    std::copy(bytes.begin(), bytes.end(), grow(bytes.size()));
    commit(bytes.size());
  }

  // Removes `size` bytes at offset `at`.
  void erase(std::size_t at, std::size_t size) {
    auto from = bytes_.begin() + static_cast<std::ptrdiff_t>(start_ + at);
    std::copy(from + static_cast<std::ptrdiff_t>(size), bytes_.begin() + static_cast<std::ptrdiff_t>(end_),
              from);
    end_ -= size;
  }

  // Drops all bytes and frees the memory; assigning an empty buffer would keep it.
  void release() {
    std::string().swap(bytes_);
    start_ = end_ = 0;
  }

  // Removes up to `size` bytes from the front.
  void consume(std::size_t size) {
    start_ += std::min(size, end_ - start_);
    if (start_ < end_) return;
    start_ = end_ = 0;
    // Frees what a large message needed, so that idle connections hold little memory.
    if (bytes_.capacity() > idle_capacity) std::string().swap(bytes_);
  }

 private:
  static constexpr std::size_t idle_capacity = 4096;  // bytes that an empty buffer may keep
  std::string bytes_;
  std::size_t start_ = 0;
  std::size_t end_ = 0;
};

}  // namespace pearspar::net
