// Datagrams of the fleet: sealed and opened. What cannot be taken is named by its cause.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "peers/peers.pb.h"

namespace pearspar::peers {

constexpr std::size_t largest_datagram = 1400;
constexpr std::uint32_t wire_format = 1;
constexpr std::size_t longest_name = 64;
constexpr std::size_t longest_fleet = 32;
constexpr std::size_t longest_word = 200;
constexpr std::size_t longest_key = 32;
constexpr std::size_t longest_value = 256;
constexpr std::size_t largest_shelf = 1024;  // keys and values of one broker
constexpr int most_records = 16;
constexpr int most_accusers = 8;
constexpr int sums_in_summary = 64;

enum class Opened { good, oversized, malformed, foreign, other_format, spoilt };

// For one fleet.
class Sealer {
 public:
  explicit Sealer(std::string fleet);
  std::string seal(const wire::Body& body) const;
  Opened open(std::string_view bytes, wire::Body& body) const;
  // How many bytes an envelope adds to a body of that size, at most.
  std::size_t around() const { return fleet_.size() + 24; }

 private:
  std::string fleet_;
  std::uint64_t salt_;
};

// The bytes of a news item or shelf within a body.
std::size_t size_of(const wire::News& news);
std::size_t size_of(const wire::Shelf& shelf);

std::uint64_t hash_of(std::string_view text, std::uint64_t salt = 0);

}  // namespace pearspar::peers
