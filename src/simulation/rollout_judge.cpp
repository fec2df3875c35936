#include "simulation/rollout_judge.h"

#include <algorithm>

namespace pearspar::simulation {
namespace {

constexpr std::size_t bad_answers_until_rollback = 50;
// Reads go on for this long after the term.
constexpr double read_delay_s = 0.5;
// An order beside another one that is surely under way is refused within that time.
constexpr double clash_s = 1;
constexpr double unclear_s = 8;

std::string seconds_text(double at) { return std::to_string(at - 1000) + " s"; }

}  // namespace

std::size_t RolloutJudge::ordered(double at, const RolloutOrder& order) {
  orders_.push_back({});
  orders_.back().order = order;
  orders_.back().ordered_at = at;
  return orders_.size() - 1;
}

RolloutJudge::Ordered* RolloutJudge::newest(const std::string& service, const std::string& version) {
  for (auto it = orders_.rbegin(); it != orders_.rend(); ++it)
    if (it->order.service == service && it->order.version == version) return &*it;
  return nullptr;
}

void RolloutJudge::check_wait(double at, Ordered& ordered, double calm_s) {
  if (ordered.late || ordered.acknowledged_at > 0 || calm_s <= acknowledged_within_s) return;
  ordered.late = true;
  broken_("ACKS", "the roll-out of " + ordered.order.service + ", sent at " +
                      seconds_text(ordered.ordered_at) + ", is not acknowledged at " + seconds_text(at));
}

void RolloutJudge::answered(double at, std::size_t order, int status, double calm_s) {
  Ordered& ordered = orders_[order];
  check_wait(at, ordered, calm_s);
  if (status == 200 && ordered.acknowledged_at == 0) ordered.acknowledged_at = at;
  ordered.refused = status != 200;
  if ((status == 200) == ordered.order.proper) return;
  // The other one may have ended while this one waited for a leader.
  if (!ordered.order.proper && at - ordered.ordered_at > clash_s) return;
  broken_("ACKS", "the roll-out of " + ordered.order.service + ", sent at " +
                      seconds_text(ordered.ordered_at) + ", is answered " + std::to_string(status));
}

void RolloutJudge::still_waiting(double at, std::size_t order, double calm_s) {
  check_wait(at, orders_[order], calm_s);
}

// The newest acknowledged order of a service, or a later one, must be known for good.
void RolloutJudge::read(double began, double at, const std::string& service, int status,
                        const std::string& version, const std::string& state) {
  const Ordered* known = nullptr;
  for (const Ordered& each : orders_)
    if (each.order.service == service && each.acknowledged_at > 0 && each.acknowledged_at < began)
      known = &each;
  if (Ordered* read = status == 200 ? newest(service, version) : nullptr) {
    // An answer that was given before the state ended may come late.
    if (read->ended_at > 0 && began < read->ended_at) return;
    if (read->ended_at > 0 && read->state != state)
      broken_("LOST", "the roll-out of " + service + " to " + version + " was " + read->state + " and is " +
                          state + " at " + seconds_text(at));
    read->state = state;
    if (state == "delivered") {
      for (const std::string& before : serving_[service]) served_.insert({service, before});
      serving_[service] = {version};
    }
    if (state != "in_transit" && read->ended_at == 0) read->ended_at = at;
    if (!known || read->ordered_at >= known->ordered_at) return;
  }
  if (known)
    broken_("LOST", "the roll-out of " + service + " to " + known->order.version + " reads " +
                        std::to_string(status) + " " + version + " at " + seconds_text(at));
}

bool RolloutJudge::under_way(double at, const std::string& service) const {
  return std::any_of(orders_.begin(), orders_.end(), [&](const Ordered& each) {
    bool may_be = each.unclear ? at < each.term() + unclear_s : each.ended_at == 0;
    return each.order.service == service && !each.refused && may_be;
  });
}

double RolloutJudge::acknowledged_at(const std::string& service) const {
  for (auto it = orders_.rbegin(); it != orders_.rend(); ++it)
    if (it->order.service == service) return it->acknowledged_at;
  return 0;
}

void RolloutJudge::decided(const std::string& service, const std::string& version) {
  if (Ordered* ordered = newest(service, version)) ordered->decided = true;
}

// Until the core has decided for it, a version gets half of what a bad one may get.
void RolloutJudge::check_exposure(double at, Ordered& ordered, bool in_touch) {
  double half = exposure_share / 2 * ordered.at_service + exposure_slack;
  if (!ordered.decided && !ordered.over_half && ordered.at_version > half) {
    ordered.over_half = true;
    broken_("EXPOSURE", ordered.order.service + " " + ordered.order.version + " got " +
                            std::to_string(ordered.at_version) + " of " + std::to_string(ordered.at_service) +
                            " requests undecided at " + seconds_text(at));
  }
  if (!ordered.order.bad || !in_touch || ordered.over_time) return;
  auto since = std::lower_bound(ordered.bad_answers.begin(), ordered.bad_answers.end(),
                                unsettled_at_ > 0 ? unsettled_at_ + in_touch_s : 0);
  auto bad = static_cast<std::size_t>(ordered.bad_answers.end() - since);
  if (bad < bad_answers_until_rollback) return;
  double fiftieth = *(since + static_cast<std::ptrdiff_t>(bad_answers_until_rollback - 1));
  if (at <= fiftieth + rollback_s) return;
  ordered.over_time = true;
  broken_("EXPOSURE", ordered.order.service + " " + ordered.order.version + " got a request " +
                          std::to_string(at - fiftieth) + " s after its 50th bad answer");
}

void RolloutJudge::arrived(double at, const std::string& service, const std::string& version, bool in_touch) {
  auto serving = serving_.find(service);
  bool serves = serving != serving_.end() && serving->second.count(version) > 0;
  for (Ordered& each : orders_)
    if (each.order.service == service && at >= each.ordered_at && at < each.term()) ++each.at_service;
  // An edge that is out of touch has not heard that another version was delivered.
  bool served = served_.count({service, version}) > 0;
  if (serves || (served && !in_touch)) return;
  Ordered* ordered = newest(service, version);
  if (!ordered)
    return broken_("EXPOSURE", service + " " + version + " that no roll-out lets in got a request at " +
                                   seconds_text(at) + (in_touch ? ", in touch" : ", out of touch"));
  bool returned = ordered->state == "returned" && at > ordered->ended_at + rollback_s;
  if (returned && in_touch && !ordered->barred) {
    ordered->barred = true;
    broken_("EXPOSURE", service + " " + version + " got a request after it was returned");
  }
  if (at < ordered->term()) {
    ++ordered->at_version;
    ordered->at_version_in_touch += in_touch;
  }
  check_exposure(at, *ordered, in_touch);
}

void RolloutJudge::answered_badly(double at, const std::string& service, const std::string& version) {
  if (Ordered* ordered = newest(service, version)) ordered->bad_answers.push_back(at);
}

void RolloutJudge::finish(double at) {
  for (const Ordered& each : orders_) {
    if (each.acknowledged_at == 0 || at < each.term() + read_delay_s) continue;
    ++judged_;
    bool in_time = each.ended_at > 0 && each.ended_at <= each.term();
    missed_ += !in_time || each.state != (each.order.bad ? "returned" : "delivered");
    delivered_bad_ += each.order.bad && each.state == "delivered";
    double allowed = exposure_share * each.at_service + exposure_slack;
    if (each.order.bad && each.at_version_in_touch > allowed)
      broken_("EXPOSURE", each.order.service + " " + each.order.version + " got " +
                              std::to_string(each.at_version_in_touch) + " of " +
                              std::to_string(each.at_service) + " requests in its term");
  }
}

}  // namespace pearspar::simulation
