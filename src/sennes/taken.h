// Which configurations were taken: revisions with the digests of their texts. Free of I/O.
//
// Always true: revisions rise strictly, so that one is found by halving; what was dropped stood before all
// that is kept, and that something was dropped is remembered with it.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "catalog/configuration.h"

namespace pearspar::sennes {

using Digest = std::pair<std::uint64_t, std::uint64_t>;
Digest digest_of(std::string_view text);

class Taken {
 public:
  // A week at 2,300 changes a day is 16,100. 24 bytes each, in memory and in a snapshot.
  static constexpr std::size_t most = 20000;

  struct One {
    catalog::Revision revision = 0;
    Digest digest;
    bool operator==(const One&) const = default;
  };

  enum class Word {
    taken,     // that very text
    never,     // and never will be: what stands is at this revision or past it
    open,      // above all that was taken
    forgotten  // older than what is remembered: may have been taken
  };
  Word word(catalog::Revision revision, const Digest& digest) const;

  // Passed over where the revision does not rise.
  void add(const One& one);
  std::size_t size() const { return kept_.size() - first_; }
  bool empty() const { return size() == 0; }
  const One& operator[](std::size_t place) const { return kept_[first_ + place]; }  // the oldest first
  const One& newest() const { return kept_.back(); }
  bool cut() const { return cut_; }
  void set_cut() { cut_ = true; }

  // All but the newest `but`, 24 bytes each.
  std::string pack_oldest(std::size_t but) const;
  // False, and nothing taken over, where the bytes are no such list.
  bool unpack(std::string_view bytes);

 private:
  // Dropped ones stay in front until they are as many as an eighth: nothing moves with every change.
  std::vector<One> kept_;
  std::size_t first_ = 0;
  bool cut_ = false;
};

}  // namespace pearspar::sennes
