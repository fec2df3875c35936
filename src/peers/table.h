// The one table of a fleet's members as one broker holds it, with the sums by which two tables are compared.
// Holds and indexes; what a change should be is decided in standing.h and core.h.
#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "net/clock.h"
#include "net/socket.h"
#include "peers/peers.pb.h"
#include "peers/standing.h"
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
using Shelf = std::map<std::string, Record, std::less<>>;

// Which datagrams of one sender were seen: numbers rise, and come reordered by a little.
class SeenNumbers {
 public:
  // False where the number came already, or is too old to say.
  bool take(std::uint64_t number);

 private:
  std::array<std::uint64_t, 32> seen_{};
  std::uint64_t floor_ = 0;  // the greatest that has left `seen_`
  std::size_t next_ = 0;
};

struct Member {
  std::string name;
  Standing standing;
  std::string word;  // as its owner wrote it
  net::Address address;
  net::Address serves;
  std::string zone;
  std::string region;
  std::string version;
  net::Time since{};  // of its state
  Shelf shelf;

  // A suspicion.
  std::vector<std::uint32_t> accusers;  // by hash of the name, each once
  net::Time suspected{};
  net::Time judged{};  // when it is held gone if nothing comes
  net::Duration at_least{};
  net::Duration at_most{};

  // How we speak with it.
  std::uint64_t cookie = 0;  // to be given back; 0: it has not spoken to us yet
  SeenNumbers seen;
  net::Time heard{};
  net::Time told_off{};        // when it was last told directly what is held against it
  net::Time compared{};        // when its sums were last asked for
  net::Time differs{};         // since when its digest differs from ours; Time::max(): it does not
  net::Time records_differ{};  // the same of the records'
  double allowance = 0;        // datagrams it may send
  net::Time allowed_at{};

  std::size_t place = 0;  // among those in force
};

class Table {
 public:
  explicit Table(std::size_t most) : most_(most) {}

  Member* find(std::string_view name);
  const Member* find(std::string_view name) const;
  // Null where the table is full.
  Member* add(const std::string& name);
  void erase(const std::string& name);
  // To be called around each change of what is summed up: standing, word, shelf.
  template <typename Change>
  void change(Member& member, Change&& change) {
    take_out(member);
    change(member);
    put_in(member);
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
  const std::array<std::uint64_t, sums_in_summary>& sums() const { return sums_; }

  // What one member adds to the sums; our own is added in the same way by the core.
  static std::uint64_t weight(std::string_view name, const Standing& standing);
  static std::uint64_t weight(std::string_view name, std::uint64_t run, const Shelf& shelf);
  static std::size_t bucket(std::string_view name);

 private:
  void take_out(Member& member);
  void put_in(Member& member);

  std::size_t most_;
  std::map<std::string, Member, std::less<>> members_;
  std::vector<Member*> in_force_;
  std::map<net::Address, Member*, AddressOrder> places_;
  std::uint64_t digest_ = 0;
  std::uint64_t records_ = 0;
  std::array<std::uint64_t, sums_in_summary> sums_{};
};

// Takes what is newer; false where the shelf would hold more than a broker may.
bool merge_shelf(Shelf& held, const wire::Shelf& heard, bool& changed);
std::size_t bytes_of(const Shelf& shelf);

}  // namespace pearspar::peers
