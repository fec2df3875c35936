#include "protocol/delta.h"

#include <xxhash.h>

#include <unordered_map>
#include <vector>

#include "protocol/messages.h"
#include "protocol/pack.h"

namespace pearspar::protocol {
namespace {

constexpr std::size_t max_pieces = 65536;
constexpr std::size_t max_piece_fields = 8;

// A piece of the new text: either a range of the old text, or new text where `length` is 0.
struct Piece {
  std::size_t at = 0;
  std::size_t length = 0;
  std::string_view new_text;
};

// The offsets at which the pieces of a text begin, and its size.
std::vector<std::size_t> piece_starts(std::string_view text) {
  std::vector<std::size_t> starts{0};
  for (std::size_t at = text.find('{', 1); at != text.npos; at = text.find('{', at + 1)) starts.push_back(at);
  starts.push_back(text.size());
  return starts;
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
  std::vector<std::size_t> old_starts = piece_starts(from), new_starts = piece_starts(to);
  std::unordered_map<std::string_view, std::vector<std::size_t>> old_pieces;
  for (std::size_t i = 0; i + 1 < old_starts.size(); ++i)
    old_pieces[from.substr(old_starts[i], old_starts[i + 1] - old_starts[i])].push_back(old_starts[i]);
  std::vector<Piece> pieces;
  for (std::size_t i = 0; i + 1 < new_starts.size(); ++i) {
    std::string_view text = to.substr(new_starts[i], new_starts[i + 1] - new_starts[i]);
    Piece* last = pieces.empty() ? nullptr : &pieces.back();
    // Extends the last piece where the old text continues in the same way.
    if (last && last->length > 0 && from.substr(last->at + last->length).starts_with(text))
      last->length += text.size();
    else if (auto known = old_pieces.find(text); known != old_pieces.end())
      pieces.push_back({known->second.front(), text.size(), {}});
    else if (last && last->length == 0)
      last->new_text = {last->new_text.data(), last->new_text.size() + text.size()};
    else
      pieces.push_back({0, 0, text});
  }
  if (pieces.size() > max_pieces) pieces = {{0, 0, to}};
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
    packer.text(piece.new_text);
  }
  return std::string(packer.view());
}

std::optional<std::string> apply_delta(std::string_view from, std::string_view delta) {
  Unpacker in(delta);
  if (!has_digest(in, from) || !in.good()) return std::nullopt;
  std::uint64_t high = in.number(), low = in.number();
  std::size_t size = in.number();
  std::size_t count = in.enter(max_pieces);
  if (!in.good() || size > max_frame_bytes) return std::nullopt;
  std::string to;
  to.reserve(size);
  for (std::size_t i = 0; i < count && in.good(); ++i) {
    in.enter(max_piece_fields);
    std::size_t at = in.number(), length = in.number();
    std::string new_text = in.text();
    in.leave();
    if (at > from.size() || length > from.size() - at) return std::nullopt;
    to += length > 0 ? from.substr(at, length) : std::string_view(new_text);
    if (to.size() > size) return std::nullopt;
  }
  in.leave();
  XXH128_hash_t hash = XXH3_128bits(to.data(), to.size());
  if (!in.good() || hash.high64 != high || hash.low64 != low) return std::nullopt;
  return to;
}

}  // namespace pearspar::protocol
