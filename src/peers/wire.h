// Encodes and decodes the datagrams of the membership protocol and validates their fields.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "peers/peers.pb.h"

namespace pearspar::peers {

constexpr std::size_t max_datagram_bytes = 1400;
constexpr std::uint32_t wire_format = 1;
constexpr std::size_t max_name_bytes = 64;
constexpr std::size_t max_fleet_bytes = 32;
constexpr std::size_t max_word_bytes = 200;
constexpr std::size_t max_key_bytes = 32;
constexpr std::size_t max_value_bytes = 256;
constexpr std::size_t max_records_bytes = 1024;  // keys and values of one broker
constexpr int max_records = 16;
constexpr int max_accusers = 8;
constexpr int summary_buckets = 64;

// Why a datagram was dropped, if not `good`.
enum class DecodeResult { good, oversized, malformed, foreign, other_format, checksum_mismatch };

// Codec for the datagrams of one fleet.
class DatagramCodec {
 public:
  explicit DatagramCodec(std::string fleet);
  std::string encode(const wire::Body& body) const;
  DecodeResult decode(std::string_view bytes, wire::Body& body) const;
  // Upper bound of the bytes that the envelope adds to a body.
  std::size_t envelope_bytes() const { return fleet_.size() + 24; }

 private:
  std::string fleet_;
  std::uint64_t salt_;
};

// Encoded size of an entry within a body, tag and length included.
std::size_t size_of(const wire::News& news);
std::size_t size_of(const wire::Shelf& shelf);

std::uint64_t hash_of(std::string_view text, std::uint64_t salt = 0);

}  // namespace pearspar::peers
