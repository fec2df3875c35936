#include "sennes/taken.h"

#include <xxhash.h>

#include <algorithm>

namespace pearspar::sennes {
namespace {

constexpr std::size_t one_bytes = 24;

void put(std::string& out, std::uint64_t value) {
  for (int shift = 0; shift < 64; shift += 8) out += static_cast<char>(value >> shift & 0xff);
}

std::uint64_t get(std::string_view bytes) {
  std::uint64_t value = 0;
  for (int i = 7; i >= 0; --i)
    value = value << 8 | static_cast<unsigned char>(bytes[static_cast<std::size_t>(i)]);
  return value;
}

}  // namespace

Digest digest_of(std::string_view text) {
  XXH128_hash_t hash = XXH3_128bits(text.data(), text.size());
  return {hash.high64, hash.low64};
}

Taken::Word Taken::word(catalog::Revision revision, const Digest& digest) const {
  auto begin = kept_.begin() + static_cast<std::ptrdiff_t>(first_);
  auto found = std::lower_bound(begin, kept_.end(), revision, [](const One& one, catalog::Revision wanted) {
    return one.revision < wanted;
  });
  if (found == kept_.end()) return Word::open;
  if (found->revision == revision) return found->digest == digest ? Word::taken : Word::never;
  return cut_ && found == begin ? Word::forgotten : Word::never;
}

void Taken::add(const One& one) {
  if (!empty() && one.revision <= newest().revision) return;
  kept_.push_back(one);
  if (size() <= most) return;
  ++first_;
  cut_ = true;
  if (first_ < most / 8) return;
  kept_.erase(kept_.begin(), kept_.begin() + static_cast<std::ptrdiff_t>(first_));
  first_ = 0;
}

std::string Taken::pack_oldest(std::size_t but) const {
  std::string out;
  if (size() <= but) return out;
  out.reserve((size() - but) * one_bytes);
  for (std::size_t i = 0; i + but < size(); ++i) {
    put(out, (*this)[i].revision);
    put(out, (*this)[i].digest.first);
    put(out, (*this)[i].digest.second);
  }
  return out;
}

bool Taken::unpack(std::string_view bytes) {
  if (bytes.size() % one_bytes != 0 || bytes.size() > most * one_bytes) return false;
  catalog::Revision before = 0;
  for (std::size_t at = 0; at < bytes.size(); at += one_bytes) {
    catalog::Revision revision = get(bytes.substr(at));
    if (revision <= before) return false;
    before = revision;
  }
  for (std::size_t at = 0; at < bytes.size(); at += one_bytes)
    add({get(bytes.substr(at)), {get(bytes.substr(at + 8)), get(bytes.substr(at + 16))}});
  return true;
}

}  // namespace pearspar::sennes
