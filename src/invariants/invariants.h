// The invariant_count that matter most, checked while the program runs. A violation is counted and told to a
// handler; it never ends a process in service. Tests and the soak ask for the counts to be zero.
//
// A check costs a comparison. Counts are of the whole process and may be read from any thread.
#pragma once

#include <array>
#include <cstdint>
#include <string_view>

namespace pearspar::invariants {

enum class Invariant {
  commit_never_falls,          // what a majority holds stays held
  term_never_falls,            // nor does a member vote twice in a term by going back
  applied_within_log,          // applied <= committed <= in the log
  acknowledged_is_applied,     // 200 to an order only once it is in force
  version_never_falls,         // within one life of a process
  one_answer_per_request,      // to each client
  unsafe_is_not_repeated,      // what may have run is not sent again, where it may not be repeated
  refusal_means_not_run,       // 503 with a time to come back: no server has run it
  tries_within_route,          // of each part
  parts_are_of_one_set,        // stamps that are in and parts left out make up the route's shards
  nothing_sent_past_deadline,  // to a server
  bytes_are_accounted,         // what is counted as held is given back with the last connection
};
inline constexpr std::size_t invariant_count = static_cast<std::size_t>(Invariant::bytes_are_accounted) + 1;

// As it stands in logs and metrics.
std::string_view name(Invariant invariant);

// Told of each violation, on the thread that found it. None by default.
using ViolationHandler = void (*)(Invariant invariant, std::string_view what);
void set_violation_handler(ViolationHandler handler);

std::uint64_t violations(Invariant invariant);
std::uint64_t violations();

// Counts and tells.
void report_violation(Invariant invariant, std::string_view what);

inline void check(Invariant invariant, bool holds, std::string_view what) {
  if (!holds) [[unlikely]]
    report_violation(invariant, what);
}

}  // namespace pearspar::invariants
