// Interfaces between the engine and its host: the broker on sockets, a simulator or a test. Independent of
// any wire format.
#pragma once

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "net/clock.h"
#include "net/socket.h"
#include "policy/policy.h"

namespace pearspar::engine {

// Identifies a client request; chosen by the host.
using ClientId = std::uint64_t;

struct PartValue {
  int shard = 0;
  std::string_view value;
};

// The one final answer to a query.
struct Result {
  enum class Kind { whole, partial, refused, failed, out_of_time };
  Kind kind = Kind::failed;
  std::span<const PartValue> values;  // of whole and partial results; valid during the call
  Duration retry_after{};             // of refused results; 0 = none
};

// Receives the results of queries.
class Clients {
 public:
  virtual ~Clients() = default;
  virtual void answered(ClientId client, const Result& result) = 0;
};

// One part of a call to a node; `part` and `attempt` identify it in AttemptEnd.
struct Call {
  PartId part = 0;
  int attempt = 0;
  std::string_view id;  // id sent to the node
  int shard = 0;
  std::string_view text;
  net::Time give_up_at{};  // attempt timeout
  net::Time forget_at{};   // a late answer is accepted until then
};

// The outcome of an attempt.
struct AttemptEnd {
  PartId part = 0;
  int attempt = 0;
  NodeId node = 0;
  Outcome outcome = Outcome::error;
  net::Duration took{};
  std::string_view value;   // of a served attempt
  std::string_view report;  // load report as sent by the node; may be empty
};

// The outcome of a probe.
struct ProbeEnd {
  NodeId node = 0;
  Outcome outcome = Outcome::error;
  net::Duration took{};
  std::string_view report;
};

// Calls to nodes. Each sent attempt ends with exactly one Engine::attempt_ended, possibly within send().
class Nodes {
 public:
  virtual ~Nodes() = default;
  virtual void place(NodeId node, const net::Address& address, double up_since_ms) = 0;
  virtual void retire(NodeId node) = 0;
  virtual void send(NodeId node, std::span<const Call> call) = 0;
  // The query of the part has ended: attempts that are still queued must not be sent.
  virtual void withdraw(PartId part) = 0;
  virtual void give_up(PartId part, int attempt) = 0;
  virtual void probe(NodeId node) = 0;
  virtual void drop_idle(NodeId node) = 0;
};

// Source of the member list.
class Members {
 public:
  virtual ~Members() = default;
  virtual void fetch() = 0;
  virtual void subscribe(bool on) = 0;
};

// Log output of the policy.
class PolicyLog {
 public:
  virtual ~PolicyLog() = default;
  // Writes one line; `fault` marks a violated invariant.
  virtual void write_line(bool fault, std::string_view text) = 0;
  // Announces the number by which following lines refer to a node.
  virtual void node_numbered(NodeId node, std::string_view id, const net::Address& address) = 0;
};

// The interfaces of one engine.
struct Ports {
  Clients& clients;
  Nodes& nodes;
  Members& members;
  PolicyLog& policy_log;
};

}  // namespace pearspar::engine
