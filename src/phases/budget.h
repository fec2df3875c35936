// Time budget of two-phase queries: how long the first phase may last so that the second can still finish,
// estimated from the durations of earlier second phases. Performs no I/O; one instance per class.
//
// A second phase ends with its last part: n parallel parts all finish within t with probability F(t)^n, so
// the quantile needed of one part is q^(1/n). F is a histogram of part durations on a logarithmic axis with
// exponential decay.
#pragma once

#include <boost/histogram.hpp>
#include <cstddef>
#include <tuple>

#include "net/clock.h"

namespace pearspar::phases {

// Parameters of a Budget; shares are of the client's time.
struct BudgetRules {
  double initial_first_share = 0.5;  // used until `min_samples` are reached
  double min_first_share = 0.2;      // bounds of the first phase
  double max_first_share = 0.8;
  double confidence = 0.95;                             // probability that the second phase finishes in time
  net::Duration slack = std::chrono::milliseconds(20);  // for sending the answer
  net::Duration half_life = std::chrono::seconds(30);
  double min_samples = 30;  // second-phase parts, decayed
};

// Progress of a first phase.
struct FirstPhase {
  net::Time started{};
  net::Time deadline{};  // of the client
  int parts = 0;         // sent
  int received = 0;
  double weight = 0;                  // of the parts received
  double min_weight = 0;              // minimum weight for an answer
  double complete_weight = 1;         // weight of a complete answer
  int second_phase_parts = 0;         // expected number of parts of the second phase
  net::Duration typical_part_time{};  // typical duration of a first-phase part; 0 = unknown
};

// What to do with a first phase.
enum class Step {
  wait,    // until `until`
  go_on,   // start the second phase with the parts received
  refuse,  // too little time is left for a second phase
  fail     // the first phase is over without its minimum weight
};

// Result of Budget::advise.
struct Advice {
  Step step = Step::wait;
  net::Time until{};  // wait: when to ask again if no part arrives; at most `cut`
  net::Time cut{};    // latest start of the second phase
};

class Budget {
 public:
  explicit Budget(const BudgetRules& rules);

  // Records the duration of a second-phase part; `done` is false if it was abandoned after that time.
  void record(net::Time now, net::Duration took, bool done);

  // Time that a second phase of `parts` parts needs, including the slack, within a query of `whole` time.
  net::Duration needed(net::Time now, int parts, net::Duration whole) const;

  // To be called at the start, whenever a part of the first phase arrives, and at Advice::until.
  Advice advise(net::Time now, const FirstPhase& first) const;

  double samples(net::Time now) const { return weight_ * decay_factor(now); }

 private:
  using Axis = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;
  using Histogram = boost::histogram::histogram<std::tuple<Axis>, boost::histogram::dense_storage<double>>;

  double decay_factor(net::Time now) const;
  net::Duration quantile(double q) const;

  BudgetRules rules_;
  Histogram times_;
  double weight_ = 0;       // total weight in the histogram
  net::Time decayed_at_{};  // time of the last decay
};

}  // namespace pearspar::phases
