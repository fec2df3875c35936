// The decision module: one Broker decides for one aggregator. Its concerns stand in headers of their own,
// each a layer that uses those before it: state, nodes, coverage, constraints, replica selection, admission,
// attempts. This file ends queries and runs each batch.
#include "policy/policy.h"

#include "policy/attempts.h"

namespace pearspar {
namespace policy {
namespace {

constexpr double most_parts_share = 0.9;  // of a query's parts; the rest are its last parts

// The decision module, composed of the layers in this folder.
class Broker final : public Policy, private Attempts {
 public:
  Broker(const Settings& settings, std::uint64_t seed) : Attempts(settings, seed) {}

  void handle(Time now, const std::vector<Event>& events, std::vector<Action>& actions) override {
    now_ = now;
    actions_ = &actions;
    if (!running_) {
      running_ = true;
      running_since_ = now;
      if (settings_.membership_by_subscription) subscribe();
    }
    batch_calls_.clear();
    for (const Event& event : events) std::visit([this](const auto& e) { on(e); }, event);
    resubscribe_if_due();
    update_latencies();
    adjust_coverage();
    adjust_limit();
    admit();
    update_call_size();
    for (auto& [id, query] : queries_) advance_query(query);
    erase_ended();
    arm_timer();
    actions_ = nullptr;
  }

 private:
  using Attempts::on;

  // Sends what is due for a query and finishes it once its answer is complete, hopeless or due.
  void advance_query(Query& query) {
    if (query.ended) return;
    if (now_ >= query.deadline - margin()) return finish(query);
    if (query.parts_pending > 0 || !query.admitted) return;
    const ClassSettings& cls = settings_.classes[static_cast<std::size_t>(query.cls)];
    select_parts(query);
    double selected = 0, answered = 0;
    for (const Part& part : query.parts)
      if (part.step == query.step && part.selected) ++selected, answered += part.answered ? 1 : 0;
    if (query.most_answered_after == Duration{} && answered > 0 &&
        answered >= std::min(selected - 1, selected * most_parts_share))
      query.most_answered_after = now_ - query.admitted_at;
    for (Part& part : query.parts)
      if (part.step == query.step) advance_part(query, part);
    select_parts(query);
    bool waiting = false;
    double reachable = 0;
    for (const Part& part : query.parts) {
      if (part.step != query.step) continue;
      if (!part.abandoned) reachable += part.weight;
      waiting = waiting || (part.selected && !part.answered && !part.abandoned);
    }
    double weight = answered_weight(query);
    if (weight >= whole_coverage(query) - weight_tolerance || !waiting) return finish(query);
    if (reachable < min_coverage(query) - 2 * weight_tolerance) return finish(query);
    if (now_ < answer_by(query) || query.past_target) return;
    query.past_target = true;
    if (earned_share(query, weight) >= cls.late_worth) return finish(query);
  }

  void on(const ClientDisconnected& disconnected) {
    auto found = queries_.find(disconnected.query);
    if (found == queries_.end() || found->second.ended) return;
    Query& query = found->second;
    query.ended = true;
    record_yield(query, 0);
    for (Part& part : query.parts) {
      if (!part.answered) cancel_in_flight(part);
      for (Attempt& attempt : part.attempts)
        if (attempt.in_flight && !attempt.overdue) attempt.overdue = true, record_outcome(true);
    }
  }

  void erase_ended() {
    std::erase_if(queries_, [this](const auto& entry) {
      const Query& query = entry.second;
      auto in_flight = [](const Part& part) { return part.attempts_in_flight() > 0; };
      if (!query.ended || std::any_of(query.parts.begin(), query.parts.end(), in_flight)) return false;
      for (const Part& part : query.parts) query_by_part_.erase(part.id);
      auto named = query_by_ordinal_.find(query.ordinal);
      if (named != query_by_ordinal_.end() && named->second == query.id) query_by_ordinal_.erase(named);
      return true;
    });
  }

  // Keeps one timer, for the next moment at which something is due without an event.
  void arm_timer() {
    Time next = Time::max();
    for (const auto& [id, query] : queries_) {
      if (query.ended) continue;
      next = std::min(next, query.deadline - margin());
      if (!query.admitted) next = std::min(next, now_ + settings_.min_batch_interval * 4);
      if (!query.past_target) next = std::min(next, answer_by(query));
      for (const Part& part : query.parts) {
        if (part.answered || part.abandoned || !part.selected || part.step != query.step) continue;
        if (part.attempts_in_flight() == 0) next = std::min(next, now_ + settings_.min_batch_interval * 4);
        for (const Attempt& attempt : part.attempts)
          if (attempt.in_flight && !attempt.overdue)
            next = std::min({next, attempt.overdue_at, now_ + settings_.min_batch_interval * 8});
      }
    }
    if (settings_.membership_by_subscription && !subscribed_) next = std::min(next, resubscribe_at_);
    if (next == Time::max() || (timer_at_ != Time{} && timer_at_ <= next)) return;
    timer_at_ = std::max(next, now_ + settings_.min_batch_interval);
    actions_->push_back(SetTimer{timer_at_ - now_, ++timer_token_});
  }

  // Identified by the token, not by the time: a timer may fire a little early.
  void on(const TimerFired& fired) {
    if (fired.token == timer_token_) timer_at_ = Time{};
  }

  void on(const StreamStarted&) {}

  void on(const PeerMessage&) {}

  void on(const ProbeEnded&) {}
};

}  // namespace
}  // namespace policy

std::unique_ptr<Policy> make_policy(const Settings& settings, std::uint64_t seed) {
  return std::make_unique<policy::Broker>(settings, seed);
}

}  // namespace pearspar
