// Assigns to each edge a few other edges as neighbours, so that an edge that has lost all members can ask
// them where the core is. Reachable edges form a hash ring that is the same at all members; the neighbours of
// an edge are its successors, preferring one of each other zone. Short absences, as in a restart, change
// nothing; an edge that is added or removed affects only the few edges before it. Free of I/O.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "catalog/node_list.h"

namespace pearspar::control_plane {

using catalog::Duration;
using catalog::Time;

class NeighbourRing {
 public:
  static constexpr std::size_t neighbours_per_edge = 4;

  // An edge that other edges can reach at `address` has connected by a link.
  void add(std::uint64_t link, const std::string& address, const std::string& zone);
  void disconnect(std::uint64_t link, const std::string& address);
  // Removes edges that have been disconnected for long; to be called at least every few seconds.
  void remove_expired(Time now);
  // Rises when the neighbours of any edge may have changed.
  std::uint64_t version() const { return version_; }
  std::vector<std::string> neighbours_of(const std::string& address, const std::string& zone) const;

 private:
  struct Entry {
    std::string address;
    std::string zone;
    std::uint64_t link = 0;   // 0: disconnected
    Time gone = Time::max();  // when the disconnection was noticed
  };
  std::map<std::uint64_t, Entry> ring_;  // by the digest of the address
  std::uint64_t version_ = 1;
  Time next_check_{};
};

}  // namespace pearspar::control_plane
