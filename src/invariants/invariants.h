// Invariants of the program that are checked at run time. A violation is counted and reported to a handler;
// it never terminates the process. Tests require the counts to be zero.
//
// The counts are process-wide and may be read from any thread.
#pragma once

#include <array>
#include <cstdint>
#include <string_view>

namespace pearspar::invariants {

enum class Invariant {
  commit_never_falls,          // the commit index never decreases
  term_never_falls,            // the term never decreases
  applied_within_log,          // applied <= committed <= last log index
  acknowledged_is_applied,     // a configuration change is answered with 200 only once it is applied
  version_never_falls,         // the configuration revision never decreases within one run of a process
  one_answer_per_request,      // a client gets exactly one response
  unsafe_is_not_repeated,      // a call that may have run is not retried on a route that is not safe
  refusal_means_not_run,       // 503 with Retry-After: no server has run the request
  tries_within_route,          // attempts of a part stay within the route's limit
  parts_are_of_one_set,        // answered and missing parts together are the route's shards
  nothing_sent_past_deadline,  // to an index server
  bytes_are_accounted,         // bytes counted as held are released with the last connection
};
inline constexpr std::size_t invariant_count = static_cast<std::size_t>(Invariant::bytes_are_accounted) + 1;

// The name written to logs.
std::string_view name(Invariant invariant);

// Called for each violation, on the thread that detected it. None by default.
using ViolationHandler = void (*)(Invariant invariant, std::string_view what);
void set_violation_handler(ViolationHandler handler);

std::uint64_t violations(Invariant invariant);
std::uint64_t violations();  // of all invariants

// Counts the violation and calls the handler.
void report_violation(Invariant invariant, std::string_view what);

// Reports a violation unless `holds`. `what` names the object concerned.
inline void check(Invariant invariant, bool holds, std::string_view what) {
  if (!holds) [[unlikely]]
    report_violation(invariant, what);
}

}  // namespace pearspar::invariants
