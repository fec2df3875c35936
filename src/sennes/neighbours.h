// Which other edges each edge is told of, so that one that has lost all members can ask where the core is.
// Edges that listen stand on a ring in an order that all members agree on; each knows the next ones behind
// it, first one of each zone that is not its own. One that is back soon, as after a restart, changes nothing;
// one that comes or goes changes what the few before it know. Free of I/O.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "catalog/node_list.h"

namespace pearspar::sennes {

using catalog::Duration;
using catalog::Time;

class Neighbours {
 public:
  static constexpr std::size_t each_knows = 4;

  // An edge that listens there is here, by that link.
  void came(std::uint64_t link, const std::string& address, const std::string& zone);
  void went(std::uint64_t link, const std::string& address);
  // Drops those that have been gone for long; to be called at least every few seconds.
  void forget(Time now);
  // Rises when what some are to know may have changed.
  std::uint64_t version() const { return version_; }
  std::vector<std::string> known_to(const std::string& address, const std::string& zone) const;

 private:
  struct Place {
    std::string address;
    std::string zone;
    std::uint64_t link = 0;   // 0 = gone
    Time gone = Time::max();  // seen to be
  };
  std::map<std::uint64_t, Place> ring_;  // by a digest of the address
  std::uint64_t version_ = 1;
  Time look_due_{};
};

}  // namespace pearspar::sennes
