// What the system's own processes say to each other, beside the agreement: calls passed on, and the news that
// a leader pushes to those who follow it (edges, and the other members of the core).
//
// News are numbered within a term: (term, number). A follower that is behind gets a snapshot, then changes.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "catalog/configuration.h"
#include "catalog/node_list.h"
#include "pramperet/words.h"
#include "raft/types.h"

namespace pearspar::protocol {

// A process's incarnation; drawn at its start.
using Incarnation = std::uint64_t;

enum class FollowerKind : std::uint8_t { edge, core };

struct Position {
  raft::Term term = 0;
  std::uint64_t number = 0;
  auto operator<=>(const Position&) const = default;
};

// Follower to any member, first on each connection, and again when it finds a gap.
struct Hello {
  Incarnation incarnation = 0;
  FollowerKind kind = FollowerKind::edge;
  std::string name;
  std::string zone;
  Position have;
  catalog::Revision revision = 0;
  std::string address = {};  // where an edge answers other edges; empty = nowhere, or an older program
};

// Member to follower: who leads, and where all members are.
struct Welcome {
  raft::Term term = 0;
  bool leads = false;  // who says this
  std::vector<std::string> cores;
};

struct NodeUpdate {
  catalog::Node node;
  std::uint32_t cold_ms = 0;  // what is left of it
};

// Everything that stands at `at`. Where `complete` is false the list of nodes is still being gathered: nodes
// that it lacks stay as they were.
struct StateSnapshot {
  Position at;
  bool complete = true;
  std::uint32_t edges = 0;         // that hold a lease
  catalog::Revision revision = 0;  // of the newest configuration
  std::string configuration;       // empty where the follower has that revision
  std::vector<NodeUpdate> nodes;
  std::vector<std::string> ended;  // ids of nodes that are gone for good
  std::uint32_t coverage = 100;    // percent: mean share of the weight that edges ask
};

// A delta is made of the configuration before (delta.h): who can't apply it stays behind in its revision,
// says so when it acknowledges, and is told everything.
enum class ChangeKind : std::uint8_t { configuration, node, gone, lost, complete, configuration_delta };

struct Change {
  ChangeKind kind = ChangeKind::list_complete;
  catalog::Revision revision = 0;
  std::string text;  // the configuration, its delta, or a node's id
  NodeUpdate news;
};

// Those with the numbers after `after`.
struct Changes {
  Position after;
  std::vector<Change> changes;
};

// Leader to follower, at times: renews the lease of both.
struct Ping {
  Position at;
  std::uint32_t edges = 0;
  std::uint32_t coverage = 100;  // percent, as in StateSnapshot
};

// Follower to leader: all up to `at` is in force here.
struct Ack {
  Incarnation incarnation = 0;
  Position at;
  catalog::Revision revision = 0;
  std::uint32_t coverage = 100;  // percent of the weight that it asks; of no meaning for members
  std::uint64_t list = 0;        // digest of the nodes that it lists at that position; 0 = not told
};

// Follower to leader: this incarnation ends by itself.
struct Goodbye {
  Incarnation incarnation = 0;
};

// Of the slack that a service's second calls may use over all edges (nuvolau): what an edge asks the leader
// for, and what it gets. Tokens live from the asking on.
struct Tokens {
  std::string service;
  std::uint32_t count = 0;
};
struct TokenRequest {
  Incarnation incarnation = 0;
  std::uint64_t number = 0;  // comes back with the answer
  std::vector<Tokens> tokens;
};
struct TokenGrant {
  std::uint64_t number = 0;
  std::vector<Tokens> tokens;
};

// Leader to edge, where the edge has told an address of its own: other edges, to be asked when all members
// that it knows are gone.
struct Neighbours {
  std::vector<std::string> edges;
};

// Edge to edge: where is the core? And what the other one was told by members, no more: addresses to be
// tried.
struct Where {};
struct CoreAddresses {
  raft::Term term = 0;
  std::vector<std::string> cores;
};

// A control call passed on to the member that can settle it, and the answer.
struct ControlCall {
  std::uint64_t number = 0;
  std::string from;  // where the answer goes
  std::string method;
  std::string path;
  std::string if_match;
  std::string body;
  std::uint32_t timeout_ms = 0;  // the answer is of use for so long; 0 = not told, by an older program
};
struct ControlReply {
  std::uint64_t number = 0;
  std::uint32_t status = 0;
  std::string body;
};

using Message = std::variant<raft::Message, Hello, Welcome, StateSnapshot, Changes, Ping, Ack, Goodbye,
                             ControlCall, ControlReply, TokenRequest, TokenGrant, pramperet::Ask,
                             pramperet::Tell, Neighbours, Where, CoreAddresses>;

std::string pack(const Message& message);
// Nothing where the bytes are no message that this program knows.
std::optional<Message> unpack(std::string_view bytes);

inline constexpr std::size_t max_frame_bytes = 4 << 20;  // bytes of one message

}  // namespace pearspar::protocol
