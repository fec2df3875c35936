// The record of a node under its key, and the roster: what is told on of a view. Free of I/O, given the time.
//
// The record is a JSON object, of which `address` and `cell` must be there:
//   {"id":"s-1","address":"10.1.0.18:3000","zone":"a","kind":"m2","cell":3,"phase":"ready","size":1,
//    "start_ms":0}
// The key is the prefix and the node's id. A record that cannot be read changes nothing: the node's last good
// one stands, and the key is told with the reason.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "membership/members.h"
#include "net/clock.h"
#include "registry/view.h"

namespace pearspar::registry {

// Throws json::ParseError that names the field.
membership::Entry read_record(std::string_view id, std::string_view value);
std::string write_record(const membership::Entry& entry);

// An operator's guard against a registry that suddenly lists far fewer nodes: removals beyond that share of
// the list, within that time, wait so long before they are believed. Off where the share is 0, since a
// removal is as a rule the truth, and work sent to nodes that are gone is lost.
struct RemovalHold {
  double above_share = 0;
  net::Duration wait{};
};

struct RosterCounters {
  std::uint64_t bad_records = 0;  // values that could not be read, each time one came
  std::uint64_t held = 0;         // removals that had to wait
  std::uint64_t returned = 0;     // of those, nodes that were back in time
};

class Roster {
 public:
  // How many keys with bad records are named at most.
  static constexpr std::size_t most_named = 32;

  Roster(std::string prefix, const RemovalHold& hold) : prefix_(std::move(prefix)), hold_(hold) {}

  // Takes the view's news, and what has waited long enough; nothing where that changes no node.
  std::optional<membership::MemberList> take(net::Time now, View& view);
  // When a removal that waits is due.
  net::Time due() const;

  // Keys whose value as it stands cannot be read, with the reason.
  const std::map<std::string, std::string>& bad() const { return bad_; }
  // The same, for those that went bad since the last call.
  std::vector<std::pair<std::string, std::string>> take_new_bad() { return std::exchange(new_bad_, {}); }
  const RosterCounters& counters() const { return counters_; }
  std::size_t size() const { return listed_.size(); }
  std::size_t waiting() const { return held_.size(); }

 private:
  void read_key(const std::string& key, const View& view, std::map<std::string, membership::Entry>& changed,
                std::vector<std::string>& gone);
  void note_bad(const std::string& key, const std::string& why);
  void forget(net::Time now);

  std::string prefix_;
  RemovalHold hold_;
  std::map<std::string, membership::Entry> listed_;        // by id, as told
  std::map<std::string, net::Time> held_;                  // ids whose removal waits, until when
  std::deque<std::pair<net::Time, std::size_t>> removed_;  // lately, for the share
  std::map<std::string, std::string> bad_;
  std::vector<std::pair<std::string, std::string>> new_bad_;
  RosterCounters counters_;
};

}  // namespace pearspar::registry
