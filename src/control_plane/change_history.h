// Which configurations were taken: editions with the digests of their texts. Free of I/O.
//
// Always true: editions rise strictly, so that one is found by halving; what was dropped stood before all
// that is kept, and that something was dropped is remembered with it.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "averau/config.h"

namespace pearspar::control_plane {

using Digest = std::pair<std::uint64_t, std::uint64_t>;
Digest digest_of(std::string_view text);

class ChangeHistory {
 public:
  // A week at 2,300 changes a day is 16,100. 24 bytes each, in memory and in a snapshot.
  static constexpr std::size_t max_entries = 20000;

  struct Entry {
    averau::Edition edition = 0;
    Digest digest;
    bool operator==(const Entry&) const = default;
  };

  enum class Status {
    applied,     // that very text
    superseded,  // and never will be: what stands is at this edition or past it
    undecided,   // above all that was taken
    forgotten    // older than what is remembered: may have been taken
  };
  Status status(averau::Edition edition, const Digest& digest) const;

  // Forwarded over where the edition does not rise.
  void add(const Entry& one);
  std::size_t size() const { return entries_.size() - first_; }
  bool empty() const { return size() == 0; }
  const Entry& operator[](std::size_t place) const { return entries_[first_ + place]; }  // the oldest first
  const Entry& newest() const { return entries_.back(); }
  bool truncated() const { return truncated_; }
  void set_truncated() { truncated_ = true; }

  // All but the newest `but`, 24 bytes each.
  std::string pack_oldest(std::size_t but) const;
  // False, and nothing taken over, where the bytes are no such list.
  bool unpack(std::string_view bytes);

 private:
  // Dropped ones stay in front until they are as many as an eighth: nothing moves with every change.
  std::vector<Entry> entries_;
  std::size_t first_ = 0;
  bool truncated_ = false;
};

}  // namespace pearspar::control_plane
