// The members of the fleet as one broker holds them, with the digests by which two tables are compared.
// Stores and indexes only; decisions are made in member_status.h and core.h.
#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "net/clock.h"
#include "net/socket.h"
#include "peers/member_status.h"
#include "peers/peers.pb.h"
#include "peers/wire.h"

namespace pearspar::peers {

struct AddressOrder {
  bool operator()(const net::Address& a, const net::Address& b) const {
    return a.host != b.host ? a.host < b.host : a.port < b.port;
  }
};

// A value that a broker publishes to all; an empty one is withdrawn.
struct Record {
  std::string value;
  std::uint64_t version = 0;
  bool operator==(const Record&) const = default;
};
using RecordMap = std::map<std::string, Record, std::less<>>;

// The datagram numbers seen from one sender. Numbers rise; slight reordering is accepted.
class ReplayWindow {
 public:
  // False if the number is a repetition or too old to tell.
  bool accept(std::uint64_t number);

 private:
  std::array<std::uint64_t, 32> seen_{};
  std::uint64_t floor_ = 0;  // the greatest number evicted from `seen_`
  std::size_t next_ = 0;
};

// What this broker holds of another.
struct Member {
  std::string name;
  MemberStatus status;
  std::string word;  // serialized by its owner
  net::Address address;
  net::Address serves;
  std::string zone;
  std::string region;
  std::string version;
  net::Time since{};  // time of the last state change
  RecordMap records;

  // Suspicion.
  std::vector<std::uint32_t> accusers;  // hashes of the names, each once
  net::Time suspected_at{};
  net::Time suspicion_deadline{};  // declared gone at this time unless refuted
  net::Duration suspicion_min{};
  net::Duration suspicion_max{};

  // Exchange with this member.
  std::uint64_t cookie = 0;  // to be echoed to it; 0: not received yet
  ReplayWindow seen;
  net::Time heard{};
  net::Time verdict_sent_at{};       // last direct notice of the verdict on it
  net::Time compared_at{};           // last anti-entropy request to it
  net::Time digest_differs_since{};  // Time::max(): the digests agree
  net::Time records_differ_since{};  // the same for the records
  double datagram_tokens = 0;        // token bucket of its datagrams
  net::Time tokens_at{};

  std::size_t index = 0;  // in `in_force_`
};

class MemberTable {
 public:
  explicit MemberTable(std::size_t most) : max_members_(most) {}

  Member* find(std::string_view name);
  const Member* find(std::string_view name) const;
  // Null if the table is full.
  Member* add(const std::string& name);
  void erase(const std::string& name);
  // Every change of a status, word or record is made through this function, which keeps the digests right.
  template <typename Change>
  void change(Member& member, Change&& change) {
    remove_from_index(member);
    change(member);
    add_to_index(member);
  }
  // False if the word is malformed.
  static bool read_word(const std::string& word, Member& into);

  const std::map<std::string, Member, std::less<>>& all() const { return members_; }
  std::map<std::string, Member, std::less<>>& all() { return members_; }
  // The member in force at that address, or null.
  Member* at(const net::Address& address) const;
  // The members in force, unordered.
  const std::vector<Member*>& in_force() const { return in_force_; }
  std::uint64_t digest() const { return digest_; }
  std::uint64_t records() const { return records_; }
  const std::array<std::uint64_t, summary_buckets>& sums() const { return sums_; }

  // The contribution of one member to the digests; the core adds our own in the same way.
  static std::uint64_t weight(std::string_view name, const MemberStatus& status);
  static std::uint64_t weight(std::string_view name, std::uint64_t run, const RecordMap& records);
  static std::size_t bucket(std::string_view name);

 private:
  void remove_from_index(Member& member);
  void add_to_index(Member& member);

  std::size_t max_members_;
  std::map<std::string, Member, std::less<>> members_;
  std::vector<Member*> in_force_;
  std::map<net::Address, Member*, AddressOrder> by_address_;
  std::uint64_t digest_ = 0;
  std::uint64_t records_ = 0;
  std::array<std::uint64_t, summary_buckets> sums_{};
};

// Takes the newer version of each record; false if the result would exceed the limits of one broker.
bool merge_records(RecordMap& held, const wire::Shelf& heard, bool& changed);
std::size_t bytes_of(const RecordMap& records);

}  // namespace pearspar::peers
