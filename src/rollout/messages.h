// Messages between edges and the leader about a roll-out in transit: an edge reports what it saw of the old
// and the new version and asks for leases; the leader grants them. Counts are calls to nodes of one service.
#pragma once

#include <cstdint>
#include <string>
#include <utility>
#include <vector>

namespace pearspar::rollout {

// Latencies are counted in buckets of half an octave from 1 ms on.
using LatencyBucket = std::uint32_t;

// Calls of one route to one node of the new version, or to all nodes of the old one.
struct CallCounts {
  std::string route;                                               // host and path prefix
  std::string node;                                                // id; empty = the old version
  std::uint32_t calls = 0;                                         // that ended, refused ones excepted
  std::uint32_t failed = 0;                                        // of those: no success, or no whole answer
  std::uint32_t refused = 0;                                       // that the node did not run
  std::vector<std::pair<LatencyBucket, std::uint32_t>> latencies;  // of the successes
  bool operator==(const CallCounts&) const = default;
};

// What an edge saw in one epoch. Votes are numbered within one run of the edge, and sent until the leader has
// received them.
struct Vote {
  std::uint64_t number = 0;
  std::uint32_t age_ms = 0;  // since the epoch's end, when the vote is sent
  std::vector<CallCounts> counts;
  bool operator==(const Vote&) const = default;
};

struct RolloutReport {
  std::uint64_t incarnation = 0;
  std::uint64_t rollout = 0;
  std::uint64_t number = 0;          // repeated in the grant; rises
  std::uint64_t requests = 0;        // for the service since the edge has known of the roll-out
  std::uint64_t spent = 0;           // calls to the new version since then
  std::uint32_t held = 0;            // leases that are not spent and not expired
  std::uint32_t old_calls_open = 0;  // calls to the old version that have not ended
  std::uint64_t last_grant = 0;      // number of the newest grant that the edge has received
  std::vector<Vote> votes;
  bool operator==(const RolloutReport&) const = default;
};

// Leases for calls to the new version. They expire `lease_lifetime` after the edge sent the report.
struct RolloutGrant {
  std::uint64_t rollout = 0;
  std::uint64_t number = 0;  // of the report
  std::uint32_t calls = 0;
  std::uint64_t votes_received = 0;  // the highest number of a vote
  bool watches = false;              // the edge is to report often
  bool operator==(const RolloutGrant&) const = default;
};

}  // namespace pearspar::rollout
