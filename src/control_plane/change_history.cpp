#include "control_plane/change_history.h"

#include <xxhash.h>

#include <algorithm>

namespace pearspar::control_plane {
namespace {

constexpr std::size_t entry_bytes = 24;

void append_little_endian(std::string& out, std::uint64_t value) {
  for (int shift = 0; shift < 64; shift += 8) out += static_cast<char>(value >> shift & 0xff);
}

std::uint64_t read_little_endian(std::string_view bytes) {
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

ChangeHistory::Status ChangeHistory::status(catalog::Revision revision, const Digest& digest) const {
  auto begin = entries_.begin() + static_cast<std::ptrdiff_t>(first_);
  auto found =
      std::lower_bound(begin, entries_.end(), revision,
                       [](const Entry& entry, catalog::Revision wanted) { return entry.revision < wanted; });
  if (found == entries_.end()) return Status::undecided;
  if (found->revision == revision) return found->digest == digest ? Status::applied : Status::superseded;
  return truncated_ && found == begin ? Status::forgotten : Status::superseded;
}

void ChangeHistory::add(const Entry& entry) {
  if (!empty() && entry.revision <= newest().revision) return;
  entries_.push_back(entry);
  if (size() <= max_entries) return;
  ++first_;
  truncated_ = true;
  if (first_ < max_entries / 8) return;
  entries_.erase(entries_.begin(), entries_.begin() + static_cast<std::ptrdiff_t>(first_));
  first_ = 0;
}

std::string ChangeHistory::pack_oldest(std::size_t excluded) const {
  std::string out;
  if (size() <= excluded) return out;
  out.reserve((size() - excluded) * entry_bytes);
  for (std::size_t i = 0; i + excluded < size(); ++i) {
    append_little_endian(out, (*this)[i].revision);
    append_little_endian(out, (*this)[i].digest.first);
    append_little_endian(out, (*this)[i].digest.second);
  }
  return out;
}

bool ChangeHistory::unpack(std::string_view bytes) {
  if (bytes.size() % entry_bytes != 0 || bytes.size() > max_entries * entry_bytes) return false;
  catalog::Revision previous = 0;
  for (std::size_t at = 0; at < bytes.size(); at += entry_bytes) {
    catalog::Revision revision = read_little_endian(bytes.substr(at));
    if (revision <= previous) return false;
    previous = revision;
  }
  for (std::size_t at = 0; at < bytes.size(); at += entry_bytes)
    add({read_little_endian(bytes.substr(at)),
         {read_little_endian(bytes.substr(at + 8)), read_little_endian(bytes.substr(at + 16))}});
  return true;
}

}  // namespace pearspar::control_plane
