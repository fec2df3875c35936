// The messages between the system's processes apart from Raft's: the stream of updates from the leader to its
// followers (edges, and the other members of the core), control calls that a member forwards, quota requests,
// reports on roll-outs, and the search for the core by edges that have lost it.
//
// Updates are numbered within a term. A follower that has missed some gets a StateSnapshot, then Changes.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "catalog/configuration.h"
#include "catalog/node_list.h"
#include "catalog/service_versions.h"
#include "quota/messages.h"
#include "raft/types.h"
#include "rollout/messages.h"

namespace pearspar::protocol {

// Identifies one run of a process; drawn at its start.
using Incarnation = std::uint64_t;

enum class FollowerKind : std::uint8_t { edge, core };

// A position in the leader's stream of updates.
struct Position {
  raft::Term term = 0;
  std::uint64_t number = 0;
  auto operator<=>(const Position&) const = default;
};

// Follower to member: the first message on each connection, and sent again where updates are missing.
struct Hello {
  Incarnation incarnation = 0;
  FollowerKind kind = FollowerKind::edge;
  std::string name;
  std::string zone;
  Position position;  // of the last update that was applied
  catalog::Revision revision = 0;
  std::string address = {};  // where an edge accepts other edges; empty = nowhere, or an older program
  // Whether it asks for configurations that it lacks; an older program does not.
  bool fetches_configurations = false;
};

// Member to follower: the addresses of all members.
struct Welcome {
  raft::Term term = 0;
  bool from_leader = false;
  std::vector<std::string> core_addresses;
  // Whether this member answers requests for a LeaseRenewal; an older program does not.
  bool renews_leases = false;
};

struct NodeUpdate {
  catalog::Node node;
  std::uint32_t cold_ms = 0;  // time until the node is no longer cold
};

// The leader's whole state at one position. While the leader is still collecting the list of nodes
// (`complete` is false), nodes that are missing from it are not removed.
struct StateSnapshot {
  Position at;
  bool complete = true;
  std::uint32_t edges = 0;         // that hold a lease
  catalog::Revision revision = 0;  // of the newest configuration
  std::string configuration;       // empty where the follower has that revision
  std::vector<NodeUpdate> nodes;
  std::vector<std::string> retired;  // ids of nodes that never return
  std::uint32_t coverage = 100;      // percent: mean coverage of the edges, by shard weight
  std::vector<catalog::ServiceVersions> service_versions = {};
};

// A `configuration_delta` applies to the configuration before it (delta.h). A follower that cannot apply it
// reports its old revision in its next Ack and gets a StateSnapshot.
enum class ChangeKind : std::uint8_t {
  configuration,
  node_updated,
  node_retired,
  node_removed,
  list_complete,
  configuration_delta,
  service_versions
};

struct Change {
  ChangeKind kind = ChangeKind::list_complete;
  catalog::Revision revision = 0;
  // Empty where a configuration is to be requested.
  std::string text;  // the configuration, its delta, a node's id, or the encoded versions of a service
  NodeUpdate update;
};

// The changes that directly follow the position `after`.
struct Changes {
  Position after;
  std::vector<Change> changes;
};

// Leader to follower, periodically: renews the lease on both sides.
struct Ping {
  Position at;
  std::uint32_t edges = 0;
  std::uint32_t coverage = 100;  // percent, as in StateSnapshot
};

// Follower to leader: all updates up to `at` are in force.
struct Ack {
  Incarnation incarnation = 0;
  Position at;
  catalog::Revision revision = 0;
  std::uint32_t coverage = 100;        // percent: the edge's own coverage; members send 100
  std::uint64_t node_list_digest = 0;  // at that position; 0 = not sent
  std::uint64_t renewal = 0;           // number of a request for a LeaseRenewal or LeaseVote; 0 = none
};

// Leader to edge: at a time after the request, the configuration of this revision was the one in force.
struct LeaseRenewal {
  std::uint64_t number = 0;  // of the request
  catalog::Revision revision = 0;
};

// Member to edge, where it does not lead: at a time after the request it had stored no newer configuration,
// in force or proposed. A majority of such votes is worth a LeaseRenewal, since a change needs a majority of
// disks.
struct LeaseVote {
  std::uint64_t number = 0;  // of the request
  catalog::Revision revision = 0;
  raft::MemberId voter = 0;
  raft::Index membership_index = 0;  // of the newest membership that it has stored
  std::vector<raft::MemberId> voters;
};

// Member to edge: a newer configuration than the edge's is in force. Any member sends it, leading or not.
struct ConfigurationNotice {
  catalog::Revision revision = 0;
  std::uint32_t age_ms = 0;  // since this member applied it
  std::string zone = {};     // the member's
};
// Edge to member: the newest configuration is wanted.
struct ConfigurationRequest {
  Incarnation incarnation = 0;
  catalog::Revision known = 0;  // the edge's own
};
// Member to edge, on request.
struct ConfigurationUpdate {
  catalog::Revision base = 0;  // 0: `text` is whole; else a delta to the configuration of this revision
  catalog::Revision revision = 0;
  std::uint32_t age_ms = 0;  // since this member applied it
  std::string text;
};

// Follower to leader: the process is shutting down and gives up its lease.
struct Goodbye {
  Incarnation incarnation = 0;
};

// Retry tokens of one service, out of the budget that all edges share.
struct Tokens {
  std::string service;
  std::uint32_t count = 0;
};
// Edge to leader. Tokens that are granted expire relative to the time of the request.
struct TokenRequest {
  Incarnation incarnation = 0;
  std::uint64_t number = 0;  // repeated in the grant
  std::vector<Tokens> tokens;
};
struct TokenGrant {
  std::uint64_t number = 0;
  std::vector<Tokens> tokens;
};

// Leader to an edge that has sent its own address: other edges, to be queried when all known members are
// gone.
struct Neighbours {
  std::vector<std::string> edges;
};

// Edge to edge: asks for the addresses of the core.
struct CoreQuery {};
// The addresses that the queried edge has received from members. They are only tried, not trusted.
struct CoreAddresses {
  raft::Term term = 0;
  std::vector<std::string> addresses;
};

// A control call forwarded to the member that can answer it.
struct ControlCall {
  std::uint64_t number = 0;
  std::string from;  // address that the reply is sent to
  std::string method;
  std::string path;
  std::string if_match;
  std::string body;
  std::uint32_t timeout_ms = 0;  // the caller waits no longer; 0 = not sent, by an older program
};
struct ControlReply {
  std::uint64_t number = 0;
  std::uint32_t status = 0;
  std::string body;
};

using Message =
    std::variant<raft::Message, Hello, Welcome, StateSnapshot, Changes, Ping, Ack, Goodbye, ControlCall,
                 ControlReply, TokenRequest, TokenGrant, quota::QuotaRequest, quota::QuotaReply, Neighbours,
                 CoreQuery, CoreAddresses, rollout::RolloutReport, rollout::RolloutGrant, ConfigurationNotice,
                 ConfigurationRequest, ConfigurationUpdate, LeaseRenewal, LeaseVote>;

std::string pack(const Message& message);
// Returns nothing where the bytes are not a message that this program knows.
std::optional<Message> unpack(std::string_view bytes);

inline constexpr std::size_t max_frame_bytes = 4 << 20;  // of one message

}  // namespace pearspar::protocol
