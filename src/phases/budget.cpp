#include "phases/budget.h"

#include <algorithm>
#include <cmath>

namespace pearspar::phases {
namespace {

// Range of the histogram.
constexpr double min_seconds = 1e-4;
constexpr double max_seconds = 120;
constexpr unsigned bins = 180;
constexpr double decay_threshold = 0.5;  // the histogram is rescaled once its decay factor falls below this

}  // namespace

Budget::Budget(const BudgetRules& rules)
    : rules_(rules), times_(std::make_tuple(Axis(bins, min_seconds, max_seconds))) {}

double Budget::decay_factor(net::Time now) const {
  if (weight_ == 0) return 1;
  return std::exp2(-std::max(0.0, (now - decayed_at_) / rules_.half_life));
}

void Budget::record(net::Time now, net::Duration took, bool done) {
  double left = decay_factor(now);
  if (weight_ == 0) decayed_at_ = now;
  if (left < decay_threshold) {
    times_ *= left;
    weight_ *= left;
    decayed_at_ = now;
    left = 1;
  }
  // Scaled up so that the sample has weight 1 after decay.
  double weight = 1 / left;
  // An abandoned part is assumed to have needed twice the time.
  double seconds = std::clamp(took.count() * (done ? 1 : 2), min_seconds, max_seconds * 0.999);
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
      // Interpolates within the bin.
      double share = std::clamp((wanted - sum) / here, 0.0, 1.0);
      return net::Duration(axis.bin(i).lower() + share * (axis.bin(i).upper() - axis.bin(i).lower()));
    }
    sum += here;
  }
  return net::Duration(max_seconds);
}

net::Duration Budget::needed(net::Time now, int parts, net::Duration whole) const {
  net::Duration least = whole * (1 - rules_.max_first_share);
  net::Duration most = whole * (1 - rules_.min_first_share);
  if (samples(now) < rules_.min_samples) return whole * (1 - rules_.initial_first_share);
  double q = std::pow(rules_.confidence, 1.0 / std::max(parts, 1));
  return std::clamp(quantile(q) + rules_.slack, least, most);
}

Advice Budget::advise(net::Time now, const FirstPhase& first) const {
  net::Duration whole = first.deadline - first.started;
  net::Duration needed_now = needed(now, first.second_phase_parts, whole);
  Advice advice;
  advice.cut = first.deadline - needed_now;
  advice.until = advice.cut;
  bool floor_in = first.weight + 1e-9 >= first.min_weight;
  bool all_in = first.received >= first.parts;
  // Less than the minimum share of the time is left for the second phase.
  if (first.deadline - now < whole * (1 - rules_.max_first_share)) {
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
  // Once the minimum weight is in, stops waiting for parts after twice their typical duration.
  if (first.weight + 1e-9 >= first.complete_weight || !floor_in ||
      first.typical_part_time <= net::Duration{}) {
    if (first.weight + 1e-9 >= first.complete_weight) advice.step = Step::go_on;
    return advice;
  }
  net::Time patience = first.started + first.typical_part_time * 2;
  if (now >= patience) {
    advice.step = Step::go_on;
  } else {
    advice.until = std::min(advice.cut, patience);
  }
  return advice;
}

}  // namespace pearspar::phases
