#include "pederu/failures.h"

#include <fmt/format.h>

#include <algorithm>

#include "catalog/json.h"

namespace pearspar::pederu {
namespace {

constexpr std::array<std::string_view, reasons> names = {
    "none",    "no_configuration", "no_route",         "too_many_open",   "out_of_time", "overload",
    "no_node", "too_few_parts",    "refused_by_nodes", "failed_at_nodes", "deadline",    "ending"};

constexpr std::size_t longest_id = 128;

double ms(Duration duration) { return duration.count() * 1000; }

std::string json_of(const FailedCall& call) {
  return fmt::format(R"({{"node":{},"how":{},"tookMs":{:.1f}}})", catalog::quoted(call.node),
                     catalog::quoted(call.how), ms(call.took));
}

}  // namespace

std::string_view name(Reason reason) { return names[static_cast<std::size_t>(reason)]; }

void FailureLog::add(Failure failure) {
  ++counts_[static_cast<std::size_t>(failure.reason)];
  if (failure.id.size() > longest_id) failure.id.resize(longest_id);
  if (failure.calls.size() > most_calls) failure.calls.resize(most_calls);
  newest_.push_back(std::move(failure));
  if (newest_.size() > most) newest_.pop_front();
}

std::string FailureLog::as_json(Time now) const {
  std::string text = "{\"failures\":[";
  for (auto each = newest_.rbegin(); each != newest_.rend(); ++each) {
    std::string calls;
    for (const FailedCall& call : each->calls) calls += (calls.empty() ? "" : ",") + json_of(call);
    text += fmt::format(
        R"({}{{"agoMs":{:.0f},"id":{},"route":{},"status":{},"reason":"{}","tookMs":{:.1f},"calls":[{}]}})",
        each == newest_.rbegin() ? "" : ",", ms(now - each->at), catalog::quoted(each->id),
        catalog::quoted(each->route), each->status, name(each->reason), ms(each->took), calls);
  }
  return text + "]}";
}

}  // namespace pearspar::pederu
