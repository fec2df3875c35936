// What the engine speaks through: whoever hosts it (the broker on sockets, an emulator, a test) stands behind
// these. Nothing here is a wire's.
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

// A client's request, as its front names it; of no meaning to the engine.
using ClientId = std::uint64_t;

struct PartValue {
  int shard = 0;
  std::string_view value;
};

// The one final answer to a query.
struct Result {
  enum class Kind { whole, partial, refused, failed, out_of_time };
  Kind kind = Kind::failed;
  std::span<const PartValue> values;  // whole, partial: those that are in; they hold during the call
  Duration retry_after{};             // refused: 0 = no advice
};

class Clients {
 public:
  virtual ~Clients() = default;
  virtual void answered(ClientId client, const Result& result) = 0;
};

// One part of a call, with the name under which its end is reported.
struct Call {
  PartId part = 0;
  int attempt = 0;
  std::string_view id;  // on the node's wire
  int shard = 0;
  std::string_view text;
  net::Time give_up_at{};  // then it has timed out
  net::Time forget_at{};   // until then an answer to it may still come in
};

struct AttemptEnd {
  PartId part = 0;
  int attempt = 0;
  NodeId node = 0;
  Outcome outcome = Outcome::error;
  net::Duration took{};
  std::string_view value;   // of one that was served
  std::string_view report;  // as the node wrote it, empty where there is none
};

struct ProbeEnd {
  NodeId node = 0;
  Outcome outcome = Outcome::error;
  net::Duration took{};
  std::string_view report;
};

// Each attempt that is sent ends with exactly one Engine::attempt_ended, perhaps within the very call.
class Nodes {
 public:
  virtual ~Nodes() = default;
  virtual void place(NodeId node, const net::Address& address, double up_since_ms) = 0;
  virtual void retire(NodeId node) = 0;
  virtual void send(NodeId node, std::span<const Call> call) = 0;
  // The part's query is over: what has not begun to go out must not go out any more.
  virtual void withdraw(PartId part) = 0;
  virtual void give_up(PartId part, int attempt) = 0;
  virtual void probe(NodeId node) = 0;
  virtual void drop_idle(NodeId node) = 0;
};

// Where the list of nodes comes from.
class Members {
 public:
  virtual ~Members() = default;
  virtual void fetch() = 0;
  virtual void subscribe(bool on) = 0;
};

class PolicyLog {
 public:
  virtual ~PolicyLog() = default;
  // What the module has to say; `fault`: what should never have come to pass.
  virtual void write_line(bool fault, std::string_view text) = 0;
  // From here on the module's policy_log name that node by its number.
  virtual void node_numbered(NodeId node, std::string_view id, const net::Address& address) = 0;
};

struct Ports {
  Clients& clients;
  Nodes& nodes;
  Members& members;
  PolicyLog& policy_log;
};

}  // namespace pearspar::engine
