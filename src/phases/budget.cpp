#include "phases/budget.h"

#include <algorithm>
#include <cmath>

namespace pearspar::phases {
namespace {

// From a tenth of a millisecond to two minutes, each bin 8% longer than the one before.
constexpr double shortest = 1e-4;
constexpr double longest = 120;
constexpr unsigned bins = 180;
constexpr double fade_at = 0.5;  // the histogram is brought down once its weights are worth less than that

}  // namespace

Budget::Budget(const BudgetRules& rules)
    : rules_(rules), times_(std::make_tuple(Axis(bins, shortest, longest))) {}

double Budget::faded(net::Time now) const {
  if (weight_ == 0) return 1;
  return std::exp2(-std::max(0.0, (now - faded_at_) / rules_.memory));
}

void Budget::learn(net::Time now, net::Duration took, bool done) {
  double left = faded(now);
  if (weight_ == 0) faded_at_ = now;
  if (left < fade_at) {
    times_ *= left;
    weight_ *= left;
    faded_at_ = now;
    left = 1;
  }
  // What is new weighs one now, so in the histogram as much more as that will be brought down by.
  double weight = 1 / left;
  // One that was given up would have taken longer: how much is not known, so twice as long is assumed.
  double seconds = std::clamp(took.count() * (done ? 1 : 2), shortest, longest * 0.999);
  times_(boost::histogram::weight(weight), seconds);
  weight_ += weight;
}

net::Duration Budget::quantile(double q) const {
  double wanted = q * weight_;
  double sum = 0;
  const Axis& axis = times_.axis();
  for (int i = 0; i < axis.size(); ++i) {
    double here = times_.at(i);
    if (sum + here >= wanted && here > 0) {
      // Within the bin, evenly.
      double share = std::clamp((wanted - sum) / here, 0.0, 1.0);
      return net::Duration(axis.bin(i).lower() + share * (axis.bin(i).upper() - axis.bin(i).lower()));
    }
    sum += here;
  }
  return net::Duration(longest);
}

net::Duration Budget::needed(net::Time now, int parts, net::Duration whole) const {
  net::Duration least = whole * (1 - rules_.most_first);
  net::Duration most = whole * (1 - rules_.least_first);
  if (samples(now) < rules_.least_samples) return whole * (1 - rules_.first_share);
  double q = std::pow(rules_.sure, 1.0 / std::max(parts, 1));
  return std::clamp(quantile(q) + rules_.slack, least, most);
}

Advice Budget::advise(net::Time now, const FirstPhase& first) const {
  net::Duration whole = first.deadline - first.started;
  net::Duration needed_now = needed(now, first.second_parts, whole);
  Advice advice;
  advice.cut = first.deadline - needed_now;
  advice.until = advice.cut;
  bool floor_in = first.weight + 1e-9 >= first.least;
  bool all_in = first.in >= first.parts;
  // What the second phase could do in less than the least share of the time is no answer.
  if (first.deadline - now < whole * (1 - rules_.most_first)) {
    advice.step = floor_in && all_in ? Step::go_on : Step::refuse;
    if (first.deadline - now <= rules_.slack) advice.step = Step::refuse;
    return advice;
  }
  if (all_in) {
    advice.step = floor_in ? Step::go_on : Step::fail;
    return advice;
  }
  if (now >= advice.cut) {
    advice.step = floor_in ? Step::go_on : Step::fail;
    return advice;
  }
  // Enough is in, and what is out has taken twice what it takes as a rule: waiting no longer pays.
  if (first.weight + 1e-9 >= first.wanted || !floor_in || first.typical <= net::Duration{}) {
    if (first.weight + 1e-9 >= first.wanted) advice.step = Step::go_on;
    return advice;
  }
  net::Time patience = first.started + first.typical * 2;
  if (now >= patience) {
    advice.step = Step::go_on;
  } else {
    advice.until = std::min(advice.cut, patience);
  }
  return advice;
}

}  // namespace pearspar::phases
