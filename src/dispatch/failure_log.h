// Why requests failed: the newest of them with what became of each call, and counts by reason. For whoever
// asks afterwards; bounded, and nothing is decided by it.
#pragma once

#include <array>
#include <cstdint>
#include <deque>
#include <string>
#include <vector>

#include "dispatch/types.h"

namespace pearspar::dispatch {

enum class Reason {
  none,
  no_configuration,  // none has been taken yet
  no_route,          // of its host and path
  too_many_open,     // requests under way here
  out_of_time,       // it had waited its time away before it was read
  overload,          // its services were asked for more than they can do
  no_node,           // nobody to send it to, or no connection to be had
  too_few_parts,     // of a gathered request
  refused_by_nodes,  // each said that it did not run it
  failed_at_nodes,   // a node's failure, a connection that broke, or what was no answer
  deadline,          // passed before an answer
  ending,            // this edge ends, and had no answer by then
};
inline constexpr std::size_t reasons = static_cast<std::size_t>(Reason::ending) + 1;
std::string_view name(Reason reason);

// A call that brought no good answer.
struct FailedCall {
  std::string node;
  std::string how;  // "answered 500", "broken", "late"
  Duration took{};
};

struct Failure {
  Time at{};
  std::string id;     // of the request
  std::string route;  // its name
  int status = 0;     // that the client got
  Reason reason = Reason::none;
  Duration took{};
  std::vector<FailedCall> calls;
};

class FailureLog {
 public:
  static constexpr std::size_t most = 256;
  static constexpr std::size_t most_calls = 16;  // of one failure

  void add(Failure failure);
  const std::deque<Failure>& newest() const { return newest_; }  // the newest at the back
  std::uint64_t count(Reason reason) const { return counts_[static_cast<std::size_t>(reason)]; }
  // {"failures":[{"agoMs":..,"id":..,...}]}, the newest first.
  std::string as_json(Time now) const;

 private:
  std::deque<Failure> newest_;
  std::array<std::uint64_t, reasons> counts_{};
};

}  // namespace pearspar::dispatch
