#include "invariants/invariants.h"

#include <atomic>

namespace pearspar::invariants {
namespace {

constexpr std::array<std::string_view, promises> names = {
    "commit_never_falls",  "term_never_falls",       "applied_within_log",         "acknowledged_is_applied",
    "version_never_falls", "one_answer_per_request", "unsafe_is_not_repeated",     "refusal_means_not_run",
    "tries_within_route",  "parts_are_of_one_set",   "nothing_sent_past_deadline", "bytes_are_accounted"};

std::array<std::atomic<std::uint64_t>, promises> counts{};
std::atomic<Handler> told{nullptr};

std::size_t place(Promise promise) { return static_cast<std::size_t>(promise); }

}  // namespace

std::string_view name(Promise promise) { return names[place(promise)]; }

void set_handler(Handler handler) { told = handler; }

std::uint64_t violations(Promise promise) { return counts[place(promise)]; }

std::uint64_t violations() {
  std::uint64_t sum = 0;
  for (const auto& count : counts) sum += count;
  return sum;
}

void broken(Promise promise, std::string_view what) {
  ++counts[place(promise)];
  if (const Handler handler = told) handler(promise, what);
}

}  // namespace pearspar::invariants
