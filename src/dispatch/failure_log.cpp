#include "dispatch/failure_log.h"

#include <fmt/format.h>

#include <algorithm>

#include "catalog/json.h"

namespace pearspar::dispatch {
namespace {

constexpr std::array<std::string_view, reason_count> names = {"none",
                                                              "no_configuration",
                                                              "no_route",
                                                              "unconfirmed_configuration",
                                                              "outdated_configuration",
                                                              "too_many_open",
                                                              "out_of_time",
                                                              "overload",
                                                              "no_node",
                                                              "too_few_parts",
                                                              "refused_by_nodes",
                                                              "failed_at_nodes",
                                                              "deadline",
                                                              "ending"};

constexpr std::size_t max_id_bytes = 128;

double ms(Duration duration) { return duration.count() * 1000; }

std::string json_of(const FailedCall& call) {
  return fmt::format(R"({{"node":{},"how":{},"tookMs":{:.1f}}})", catalog::quoted(call.node),
                     catalog::quoted(call.how), ms(call.took));
}

}  // namespace

std::string_view name(Reason reason) { return names[static_cast<std::size_t>(reason)]; }

void FailureLog::add(Failure failure) {
  ++counts_[static_cast<std::size_t>(failure.reason)];
  if (failure.id.size() > max_id_bytes) failure.id.resize(max_id_bytes);
  if (failure.calls.size() > max_calls) failure.calls.resize(max_calls);
  newest_.push_back(std::move(failure));
  if (newest_.size() > max_failures) newest_.pop_front();
}

std::string FailureLog::as_json(Time now) const {
  std::string text = "{\"failures\":[";
  for (auto failure = newest_.rbegin(); failure != newest_.rend(); ++failure) {
    std::string calls;
    for (const FailedCall& call : failure->calls) calls += (calls.empty() ? "" : ",") + json_of(call);
    text += fmt::format(
        R"({}{{"agoMs":{:.0f},"id":{},"route":{},"status":{},"reason":"{}","tookMs":{:.1f},"calls":[{}]}})",
        failure == newest_.rbegin() ? "" : ",", ms(now - failure->at), catalog::quoted(failure->id),
        catalog::quoted(failure->route), failure->status, name(failure->reason), ms(failure->took), calls);
  }
  return text + "]}";
}

}  // namespace pearspar::dispatch
