// Bytes read from a peer and not yet used up. Slices of view() hold until the next consume() or grow().
#pragma once

#include <algorithm>
#include <cstddef>
#include <string>
#include <string_view>

namespace pearspar::net {

class Buffer {
 public:
  std::string_view view() const { return {bytes_.data() + start_, end_ - start_}; }
  std::size_t size() const { return end_ - start_; }
  // Of the memory that it holds, used or not.
  std::size_t capacity() const { return bytes_.capacity(); }
  // For rewriting in place (chunks are joined where they lie).
  char* data() { return bytes_.data() + start_; }

  // Room for `room` more bytes, to be filled from the returned place and kept with commit().
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

  // Takes bytes out of the middle.
  void erase(std::size_t at, std::size_t size) {
    auto from = bytes_.begin() + static_cast<std::ptrdiff_t>(start_ + at);
    std::copy(from + static_cast<std::ptrdiff_t>(size), bytes_.begin() + static_cast<std::ptrdiff_t>(end_),
              from);
    end_ -= size;
  }

  // Drops all, and gives the memory back; assigning an empty buffer would keep it.
  void release() {
    std::string().swap(bytes_);
    start_ = end_ = 0;
  }

  void consume(std::size_t size) {
    start_ += std::min(size, end_ - start_);
    if (start_ < end_) return;
    start_ = end_ = 0;
    // An idle connection keeps little: what a large message needed is given back.
    if (bytes_.capacity() > keep) std::string().swap(bytes_);
  }

 private:
  static constexpr std::size_t keep = 4096;
  std::string bytes_;
  std::size_t start_ = 0;
  std::size_t end_ = 0;
};

}  // namespace pearspar::net
