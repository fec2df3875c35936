// The configurations that were applied: their revisions and the digests of their texts. Free of I/O.
//
// Invariants: revisions rise strictly; entries are dropped from the oldest on, and a flag records that any
// were.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "catalog/configuration.h"

namespace pearspar::control_plane {

using Digest = std::pair<std::uint64_t, std::uint64_t>;
Digest digest_of(std::string_view text);

class ChangeHistory {
 public:
  // More than a week of frequent changes; 24 bytes each, in memory and in a snapshot.
  static constexpr std::size_t max_entries = 20000;

  struct Entry {
    catalog::Revision revision = 0;
    Digest digest;
    bool operator==(const Entry&) const = default;
  };

  enum class Status {
    applied,     // this very text was applied
    superseded,  // not applied, and it can never be: this or a later revision is in force
    undecided,   // later than all that were applied
    forgotten    // older than all entries: it may have been applied
  };
  Status status(catalog::Revision revision, const Digest& digest) const;

  // Ignores an entry whose revision does not rise.
  void add(const Entry& entry);
  std::size_t size() const { return entries_.size() - first_; }
  bool empty() const { return size() == 0; }
  const Entry& operator[](std::size_t index) const { return entries_[first_ + index]; }  // oldest first
  const Entry& newest() const { return entries_.back(); }
  // Whether entries were dropped.
  bool truncated() const { return truncated_; }
  void set_truncated() { truncated_ = true; }

  // Encodes all entries except the newest `excluded`.
  std::string pack_oldest(std::size_t excluded) const;
  // Adds encoded entries. False where the bytes are malformed; nothing is added then.
  bool unpack(std::string_view bytes);

 private:
  // Dropped entries stay in front until they are an eighth of the maximum, so that not every change moves
  // all.
  std::vector<Entry> entries_;
  std::size_t first_ = 0;
  bool truncated_ = false;
};

}  // namespace pearspar::control_plane
