// How long a first phase may last so that the second can still be done: learnt from what second phases took.
// Free of I/O and given the time; one for each class.
//
// A second phase is done when its last part is: with n parts side by side it is within t with probability
// F(t)^n, so the quantile that is asked of one part is q^(1/n). F is a histogram of the parts' times on a
// logarithmic axis, halved every `memory`, so that what was learnt long ago weighs little.
#pragma once

#include <boost/histogram.hpp>
#include <cstddef>
#include <tuple>

#include "net/clock.h"

namespace pearspar::phases {

struct BudgetRules {
  double first_share = 0.5;  // of the client's time, where nothing was learnt yet
  double least_first = 0.2;  // bounds on it, whatever was learnt
  double most_first = 0.8;
  double sure = 0.95;  // how likely the second phase is to be done in what it is left
  net::Duration slack = std::chrono::milliseconds(20);  // for the answer itself
  net::Duration memory = std::chrono::seconds(30);
  double least_samples = 30;  // parts of second phases before what was learnt counts
};

// How a first phase stands.
struct FirstPhase {
  net::Time started{};
  net::Time deadline{};  // the client's
  int parts = 0;         // sent
  int in = 0;
  double weight = 0;        // of the first phase's parts that are in
  double least = 0;         // weight below which there is no answer
  double wanted = 1;        // weight that makes it whole
  int second_parts = 0;     // as many as the second phase will have, as far as can be told
  net::Duration typical{};  // what a part of the first phase takes as a rule; 0 = not known
};

enum class Step {
  wait,    // until `until`
  go_on,   // to the second phase, with what is in
  refuse,  // what is left suffices for no second phase: refused at once
  fail     // time is up for the first phase and its floor is not in
};

struct Advice {
  Step step = Step::wait;
  net::Time until{};  // wait: when to ask again if nothing comes in; never later than the cut
  net::Time cut{};    // when the second phase needs what is left
};

class Budget {
 public:
  explicit Budget(const BudgetRules& rules);

  // A part of a second phase took so long, or was given up after so long (`done` false: it took longer
  // still).
  void learn(net::Time now, net::Duration took, bool done);

  // What a second phase of so many parts needs, the slack included; as the share has it where too little was
  // learnt.
  net::Duration needed(net::Time now, int parts, net::Duration whole) const;

  // Asked at the start, whenever a part of the first phase comes in, and at `until`.
  Advice advise(net::Time now, const FirstPhase& first) const;

  double samples(net::Time now) const { return weight_ * faded(now); }

 private:
  using Axis = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;
  using Histogram = boost::histogram::histogram<std::tuple<Axis>, boost::histogram::dense_storage<double>>;

  double faded(net::Time now) const;
  net::Duration quantile(double q) const;

  BudgetRules rules_;
  Histogram times_;
  double weight_ = 0;     // of all that is in it
  net::Time faded_at_{};  // when it was last brought down
};

}  // namespace pearspar::phases
