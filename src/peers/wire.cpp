#include "peers/wire.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace pearspar::peers {
namespace {

bool is_valid_name(std::string_view name) {
  if (name.empty() || name.size() > max_name_bytes) return false;
  for (char c : name)
    if (c <= 0x20 || c == 0x7f) return false;
  return true;
}

bool is_valid_body(const wire::Body& body) {
  if (!is_valid_name(body.name()) || body.run() == 0 || body.port() == 0 || body.port() > 0xffff)
    return false;
  for (const wire::News& news : body.news())
    if (!is_valid_name(news.name()) || news.run() == 0 || news.word().size() > max_word_bytes ||
        news.accusers_size() > max_accusers || !wire::Verdict_IsValid(news.verdict()))
      return false;
  for (const wire::Shelf& shelf : body.shelves()) {
    if (!is_valid_name(shelf.name()) || shelf.run() == 0 || shelf.records_size() > max_records) return false;
    for (const wire::Record& record : shelf.records())
      if (record.key().empty() || record.key().size() > max_key_bytes ||
          record.value().size() > max_value_bytes)
        return false;
  }
  return !body.has_summary() || body.summary().sums_size() == summary_buckets;
}

std::size_t with_field_header(std::size_t inner) { return inner + (inner < 128 ? 2 : 3) + 1; }

}  // namespace

std::uint64_t hash_of(std::string_view text, std::uint64_t salt) {
  return XXH64(text.data(), text.size(), salt);
}

DatagramCodec::DatagramCodec(std::string fleet) : fleet_(std::move(fleet)), salt_(hash_of(fleet_)) {}

std::string DatagramCodec::encode(const wire::Body& body) const {
  wire::Envelope envelope;
  envelope.set_fleet(fleet_);
  envelope.set_format(wire_format);
  body.SerializeToString(envelope.mutable_body());
  envelope.set_check(hash_of(envelope.body(), salt_));
  return envelope.SerializeAsString();
}

DecodeResult DatagramCodec::decode(std::string_view bytes, wire::Body& body) const {
  if (bytes.size() > max_datagram_bytes) return DecodeResult::oversized;
  wire::Envelope envelope;
  if (!envelope.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()))) return DecodeResult::malformed;
  if (envelope.fleet() != fleet_) return DecodeResult::foreign;
  if (envelope.format() != wire_format) return DecodeResult::other_format;
  if (hash_of(envelope.body(), salt_) != envelope.check()) return DecodeResult::checksum_mismatch;
  body.Clear();
  if (!body.ParseFromString(envelope.body()) || !is_valid_body(body)) return DecodeResult::malformed;
  return DecodeResult::good;
}

std::size_t size_of(const wire::News& news) { return with_field_header(news.ByteSizeLong()); }
std::size_t size_of(const wire::Shelf& shelf) { return with_field_header(shelf.ByteSizeLong()) + 1; }

}  // namespace pearspar::peers
