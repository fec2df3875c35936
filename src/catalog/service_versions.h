// Which software versions of a service's nodes may be sent requests. Free of I/O.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace pearspar::catalog {

// What a node's version means for requests to its service.
enum class NodeGroup : std::uint8_t {
  current,    // serves the service
  candidate,  // is being rolled out: gets what the roll-out allows
  barred      // gets nothing
};

// The versions of one service, as the core has recorded them.
struct ServiceVersions {
  std::string service;
  std::uint64_t changed_at = 0;  // index of the log entry that set this; a newer record has a higher one
  std::vector<std::string> allowed;
  std::string candidate;                 // the version that is being rolled out; empty = none
  std::uint64_t rollout = 0;             // number of that roll-out
  std::uint32_t candidate_permille = 0;  // of the calls go to the candidate; 0: only those under a lease

  bool operator==(const ServiceVersions&) const = default;
  NodeGroup group_of(std::string_view version) const;
};

}  // namespace pearspar::catalog
