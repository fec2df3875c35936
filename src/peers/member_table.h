// The one table of a fleet's members as one broker holds it, with the sums by which two tables are
// compared_at. Holds and indexes; what a change should be is decided in status.h and core.h.
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

struct Record {
  std::string value;
  std::uint64_t version = 0;
  bool operator==(const Record&) const = default;
};
using RecordMap = std::map<std::string, Record, std::less<>>;

// Which datagrams of one sender were seen: numbers rise, and come reordered by a little.
class ReplayWindow {
 public:
  // False where the number came already, or is too old to say.
  bool accept(std::uint64_t number);

 private:
  std::array<std::uint64_t, 32> seen_{};
  std::uint64_t floor_ = 0;  // the greatest that has left `seen_`
  std::size_t next_ = 0;
};

struct Member {
  std::string name;
  MemberStatus status;
  std::string word;  // as its owner wrote it
  net::Address address;
  net::Address serves;
  std::string zone;
  std::string region;
  std::string version;
  net::Time since{};  // of its state
  RecordMap shelf;

  // A suspicion.
  std::vector<std::uint32_t> accusers;  // by hash of the name, each once
  net::Time suspected_at{};
  net::Time suspicion_deadline{};  // when it is held gone if nothing comes
  net::Duration suspicion_min{};
  net::Duration suspicion_max{};

  // How we speak with it.
  std::uint64_t cookie = 0;  // to be given back; 0: it has not spoken to us yet
  ReplayWindow seen;
  net::Time heard{};
  net::Time verdict_sent_at{};       // when it was last told directly what is held against it
  net::Time compared_at{};           // when its sums were last asked for
  net::Time digest_differs_since{};  // since when its digest digest_differs_since from ours; Time::max(): it
                                     // does not
  net::Time records_differ_since{};  // the same of the records'
  double datagram_tokens = 0;        // datagrams it may send
  net::Time tokens_at{};

  std::size_t place = 0;  // among those in force
};

class MemberTable {
 public:
  explicit MemberTable(std::size_t most) : max_members_(most) {}

  Member* find(std::string_view name);
  const Member* find(std::string_view name) const;
  // Null where the table is full.
  Member* add(const std::string& name);
  void erase(const std::string& name);
  // To be called around each change of what is summed up: status, word, shelf.
  template <typename Change>
  void change(Member& member, Change&& change) {
    remove_from_index(member);
    change(member);
    add_to_index(member);
  }
  // Takes the parts of the word apart; false where it cannot be read.
  static bool read_word(const std::string& word, Member& into);

  const std::map<std::string, Member, std::less<>>& all() const { return members_; }
  std::map<std::string, Member, std::less<>>& all() { return members_; }
  // Who in force is at that address; null where nobody is.
  Member* at(const net::Address& address) const;
  // Members in force, in no order.
  const std::vector<Member*>& in_force() const { return in_force_; }
  std::uint64_t digest() const { return digest_; }
  std::uint64_t records() const { return records_; }
  const std::array<std::uint64_t, summary_buckets>& sums() const { return sums_; }

  // What one member adds to the sums; our own is added in the same way by the core.
  static std::uint64_t weight(std::string_view name, const MemberStatus& status);
  static std::uint64_t weight(std::string_view name, std::uint64_t run, const RecordMap& shelf);
  static std::size_t bucket(std::string_view name);

 private:
  void remove_from_index(Member& member);
  void add_to_index(Member& member);

  std::size_t max_members_;
  std::map<std::string, Member, std::less<>> members_;
  std::vector<Member*> in_force_;
  std::map<net::Address, Member*, AddressOrder> places_;
  std::uint64_t digest_ = 0;
  std::uint64_t records_ = 0;
  std::array<std::uint64_t, summary_buckets> sums_{};
};

// Takes what is newer; false where the shelf would hold more than a broker may.
bool merge_records(RecordMap& held, const wire::Shelf& heard, bool& changed);
std::size_t bytes_of(const RecordMap& shelf);

}  // namespace pearspar::peers
