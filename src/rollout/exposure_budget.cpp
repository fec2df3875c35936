#include "rollout/exposure_budget.h"

#include <algorithm>

namespace pearspar::rollout {
namespace {

// A version gets half of what a bad one may get.
constexpr double exposure_factor = 0.5;
// Of the slack; the rest covers requests that are counted in another order than they arrive.
constexpr double usable_slack = 0.8;

}  // namespace

std::uint64_t ExposureBudget::Edge::exposed() const {
  std::uint64_t calls = known;
  for (const Grant& grant : in_flight) calls += grant.calls;
  return calls;
}

double ExposureBudget::limit(double slack_share) const {
  return rules_.share * exposure_factor * static_cast<double>(requests_) +
         rules_.slack * usable_slack * std::clamp(slack_share, 0.0, 1.0);
}

void ExposureBudget::on_report(LinkId link, const RolloutReport& report) {
  auto [found, first] = edges_.try_emplace(report.incarnation);
  Edge& edge = found->second;
  if (!first && report.number <= edge.report) return;
  std::uint64_t before = edge.exposed();
  std::uint64_t used = report.spent + report.held;
  if (first) edge.carried = used;
  // What an edge has told earlier is in the requests that the log had.
  if (first && report.number > 1) edge.requests = report.requests;
  edge.report = report.number;
  edge.known = used > edge.carried ? used - edge.carried : 0;
  // What the edge has received is in its counts; what was sent on a link that is gone never arrives.
  std::erase_if(edge.in_flight,
                [&](const Grant& grant) { return grant.number <= report.last_grant || grant.link != link; });
  exposed_ = exposed_ - before + edge.exposed();
  requests_ += report.requests - std::min(edge.requests, report.requests);
  edge.requests = std::max(edge.requests, report.requests);
}

std::uint32_t ExposureBudget::grant(LinkId link, const RolloutReport& report, std::uint32_t wanted,
                                    double limit, std::uint64_t reserved) {
  auto allowed = static_cast<std::uint64_t>(std::max(0.0, limit));
  allowed = std::min(allowed, reserved);
  std::uint64_t left = allowed > exposed_ ? allowed - exposed_ : 0;
  auto calls = static_cast<std::uint32_t>(std::min<std::uint64_t>(wanted, left));
  if (calls == 0) return 0;
  edges_[report.incarnation].in_flight.push_back({report.number, link, calls});
  exposed_ += calls;
  return calls;
}

void ExposureBudget::describe(StateDescription& out) const {
  out.number(exposed_);
  out.number(requests_);
  out.number(edges_.size());
  for (const auto& [incarnation, edge] : edges_) {
    for (std::uint64_t value : {incarnation, edge.report, edge.requests, edge.carried, edge.known})
      out.number(value);
    out.number(edge.in_flight.size());
    for (const Grant& grant : edge.in_flight) {
      out.number(grant.number);
      out.number(grant.link);
      out.number(grant.calls);
    }
  }
}

}  // namespace pearspar::rollout
