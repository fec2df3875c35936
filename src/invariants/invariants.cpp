#include "invariants/invariants.h"

#include <atomic>

namespace pearspar::invariants {
namespace {

constexpr std::array<std::string_view, invariant_count> names = {
    "commit_never_falls",  "term_never_falls",       "applied_within_log",         "acknowledged_is_applied",
    "version_never_falls", "one_answer_per_request", "unsafe_is_not_repeated",     "refusal_means_not_run",
    "tries_within_route",  "parts_are_of_one_set",   "nothing_sent_past_deadline", "bytes_are_accounted"};

std::array<std::atomic<std::uint64_t>, invariant_count> violation_counts{};
std::atomic<ViolationHandler> violation_handler{nullptr};

std::size_t index_of(Invariant invariant) { return static_cast<std::size_t>(invariant); }

}  // namespace

std::string_view name(Invariant invariant) { return names[index_of(invariant)]; }

void set_violation_handler(ViolationHandler handler) { violation_handler = handler; }

std::uint64_t violations(Invariant invariant) { return violation_counts[index_of(invariant)]; }

std::uint64_t violations() {
  std::uint64_t sum = 0;
  for (const auto& count : violation_counts) sum += count;
  return sum;
}

void report_violation(Invariant invariant, std::string_view what) {
  ++violation_counts[index_of(invariant)];
  if (const ViolationHandler handler = violation_handler) handler(invariant, what);
}

}  // namespace pearspar::invariants
