#include "simulation/rollout_judge.h"

#include <algorithm>

namespace pearspar::simulation {

std::size_t RolloutJudge::ordered(double at, const RolloutOrder& order) {
  orders_.push_back({order, at});
  return orders_.size() - 1;
}

void RolloutJudge::check_wait(double at, Ordered& ordered, double calm_s) {
  if (ordered.late || ordered.acknowledged_at > 0 || calm_s <= acknowledged_within_s) return;
  ordered.late = true;
  broken_("ACKS", "the roll-out of " + ordered.order.service + ", sent at " +
                      std::to_string(ordered.ordered_at) + ", is not acknowledged at " + std::to_string(at));
}

void RolloutJudge::answered(double at, std::size_t order, int status, double calm_s) {
  Ordered& ordered = orders_[order];
  check_wait(at, ordered, calm_s);
  if (status == 200 && ordered.acknowledged_at == 0) ordered.acknowledged_at = at;
  if ((status == 200) == ordered.order.proper) return;
  broken_("ACKS", "the roll-out of " + ordered.order.service + ", sent at " +
                      std::to_string(ordered.ordered_at) + ", is answered " + std::to_string(status));
}

void RolloutJudge::still_waiting(double at, std::size_t order, double calm_s) {
  check_wait(at, orders_[order], calm_s);
}

// The newest acknowledged order of a service, or a later one, must be known for good.
void RolloutJudge::read(double at, const std::string& service, int status, const std::string& version) {
  const Ordered* newest = nullptr;
  for (const Ordered& each : orders_)
    if (each.order.service == service && each.acknowledged_at > 0 && each.acknowledged_at < at)
      newest = &each;
  if (!newest) return;
  bool known = status == 200 && std::any_of(orders_.begin(), orders_.end(), [&](const Ordered& each) {
                 return each.order.service == service && each.order.version == version &&
                        each.ordered_at >= newest->ordered_at;
               });
  if (!known)
    broken_("LOST", "the roll-out of " + service + " to " + newest->order.version + " reads " +
                        std::to_string(status) + " " + version + " at " + std::to_string(at));
}

}  // namespace pearspar::simulation
