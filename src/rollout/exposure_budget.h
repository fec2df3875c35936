// How many calls a version may get before the verdict, over all edges: half of what a bad version may get of
// the requests that have reached its service so far. The leader grants leases out of it. Free of I/O.
//
// Invariant: calls that were or may still be made to the version are never more than the larger of the limit
// and what an earlier leader has reserved. A lease counts until a later report of its edge tells that it was
// not spent; those of an edge that is gone count for good.
#pragma once

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>

#include "rollout/messages.h"
#include "rollout/state_description.h"

namespace pearspar::rollout {

struct ExposureRules {
  double share = 0.1;  // of the service's requests in the term, that a bad version may get at most
  double slack = 50;   // calls beside it
};

class ExposureBudget {
 public:
  using LinkId = std::uint64_t;

  // `reserved`: by earlier leaders; all of it may have been spent. `requests`: that had been reported to
  // them.
  ExposureBudget(const ExposureRules& rules, std::uint64_t reserved, std::uint64_t requests)
      : rules_(rules), exposed_(reserved), requests_(requests) {}

  // Takes over what an edge reports on this link.
  void on_report(LinkId link, const RolloutReport& report);
  // Grants up to `wanted` calls for that report, as far as `limit` and `reserved` allow.
  std::uint32_t grant(LinkId link, const RolloutReport& report, std::uint32_t wanted, double limit,
                      std::uint64_t reserved);

  // Calls that were or may be made.
  std::uint64_t exposed() const { return exposed_; }
  // Requests for the service that edges have reported.
  std::uint64_t requests() const { return requests_; }
  // Calls that may be made when all edges have reported so many requests. `slack_share`: of the slack.
  double limit(double slack_share) const;
  // All that later steps depend on, for a search over states.
  void describe(StateDescription& out) const;

 private:
  struct Grant {
    std::uint64_t number = 0;  // of the report
    LinkId link = 0;
    std::uint32_t calls = 0;
  };
  struct Edge {
    std::uint64_t report = 0;
    std::uint64_t requests = 0;
    std::uint64_t carried = 0;  // spent and held as it first reported: an earlier leader's
    std::uint64_t known = 0;    // spent and held since then
    std::deque<Grant> in_flight;
    std::uint64_t exposed() const;
  };

  ExposureRules rules_;
  std::uint64_t exposed_;
  std::uint64_t requests_;
  std::map<std::uint64_t, Edge> edges_;  // by incarnation
};

}  // namespace pearspar::rollout
