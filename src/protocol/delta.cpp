#include "protocol/delta.h"

#include <xxhash.h>

#include <unordered_map>
#include <vector>

#include "protocol/messages.h"
#include "protocol/pack.h"

namespace pearspar::protocol {
namespace {

constexpr std::size_t most_pieces = 65536;

struct Piece {
  std::size_t at = 0;      // of the old text
  std::size_t length = 0;  // of it; 0 = `fresh` instead
  std::string_view fresh;
};

// Where each piece of a text begins.
std::vector<std::size_t> cuts(std::string_view text) {
  std::vector<std::size_t> found{0};
  for (std::size_t at = text.find('{', 1); at != text.npos; at = text.find('{', at + 1)) found.push_back(at);
  found.push_back(text.size());
  return found;
}

void put_digest(Packer& packer, std::string_view text) {
  XXH128_hash_t hash = XXH3_128bits(text.data(), text.size());
  packer.number(hash.high64);
  packer.number(hash.low64);
}

bool has_digest(Unpacker& in, std::string_view text) {
  XXH128_hash_t hash = XXH3_128bits(text.data(), text.size());
  std::uint64_t high = in.number(), low = in.number();
  return high == hash.high64 && low == hash.low64;
}

}  // namespace

std::string make_delta(std::string_view from, std::string_view to) {
  std::vector<std::size_t> old_cuts = cuts(from), new_cuts = cuts(to);
  std::unordered_map<std::string_view, std::vector<std::size_t>> old_pieces;
  for (std::size_t i = 0; i + 1 < old_cuts.size(); ++i)
    old_pieces[from.substr(old_cuts[i], old_cuts[i + 1] - old_cuts[i])].push_back(old_cuts[i]);
  std::vector<Piece> pieces;
  for (std::size_t i = 0; i + 1 < new_cuts.size(); ++i) {
    std::string_view text = to.substr(new_cuts[i], new_cuts[i + 1] - new_cuts[i]);
    Piece* last = pieces.empty() ? nullptr : &pieces.back();
    // Where the old text goes on as the new one does the piece before only grows.
    if (last && last->length > 0 && from.substr(last->at + last->length).starts_with(text))
      last->length += text.size();
    else if (auto known = old_pieces.find(text); known != old_pieces.end())
      pieces.push_back({known->second.front(), text.size(), {}});
    else if (last && last->length == 0)
      last->fresh = {last->fresh.data(), last->fresh.size() + text.size()};
    else
      pieces.push_back({0, 0, text});
  }
  if (pieces.size() > most_pieces) pieces = {{0, 0, to}};
  Packer packer;
  packer.array(6);
  put_digest(packer, from);
  put_digest(packer, to);
  packer.number(to.size());
  packer.array(pieces.size());
  for (const Piece& piece : pieces) {
    packer.array(3);
    packer.number(piece.at);
    packer.number(piece.length);
    packer.text(piece.fresh);
  }
  return std::string(packer.view());
}

std::optional<std::string> apply_delta(std::string_view from, std::string_view delta) {
  Unpacker in(delta);
  if (!has_digest(in, from) || !in.good()) return std::nullopt;
  std::uint64_t high = in.number(), low = in.number();
  std::size_t size = in.number();
  std::size_t count = in.enter(most_pieces);
  if (!in.good() || size > max_frame_bytes) return std::nullopt;
  std::string to;
  to.reserve(size);
  for (std::size_t i = 0; i < count && in.good(); ++i) {
    in.enter(8);
    std::size_t at = in.number(), length = in.number();
    std::string fresh = in.text();
    in.leave();
    if (at > from.size() || length > from.size() - at) return std::nullopt;
    to += length > 0 ? from.substr(at, length) : std::string_view(fresh);
    if (to.size() > size) return std::nullopt;
  }
  in.leave();
  XXH128_hash_t hash = XXH3_128bits(to.data(), to.size());
  if (!in.good() || hash.high64 != high || hash.low64 != low) return std::nullopt;
  return to;
}

}  // namespace pearspar::protocol
