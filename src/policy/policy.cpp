// The decision module of pearspar. Its interface (settings, events, actions) is src/policy/policy.h.
//
// One Broker decides for one aggregator. Its concerns stand in files of their own, each a layer that knows
// those before it and none after: state, nodes, narrowing, guards, replica, admission, attempts; here,
// answering: when a query ends, and how, and the batch that drives them all.
#include "policy/policy.h"

#include "policy/attempts.h"

namespace pearspar {
namespace policy {
namespace {

constexpr double mostly_share = 0.9;  // of a query's parts in: the rest are its last parts

class Broker final : public Policy, private Attempts {
 public:
  Broker(const Settings& settings, std::uint64_t seed) : Attempts(settings, seed) {}

  void handle(Time now, const std::vector<Event>& events, std::vector<Action>& actions) override {
    now_ = now;
    actions_ = &actions;
    if (!awake_) {
      awake_ = true;
      born_ = now;
      if (s_.membership_by_subscription) ask_list();
    }
    round_calls_.clear();
    for (const Event& event : events) std::visit([this](const auto& e) { on(e); }, event);
    renew_list();
    read_latencies();
    adjust_coverage();
    adjust_limit();
    admit();
    size_calls();
    for (auto& [id, query] : queries_) drive(query);
    forget_ended();
    arm_timer();
    actions_ = nullptr;
  }

 private:
  using Attempts::on;

  void drive(Query& query) {
    if (query.ended) return;
    if (now_ >= query.deadline - margin()) return finish(query);
    if (query.expected > 0 || !query.admitted) return;
    const ClassSettings& cls = s_.classes[static_cast<std::size_t>(query.cls)];
    choose_parts(query);
    double chosen = 0, in = 0;
    for (const Part& part : query.parts)
      if (part.step == query.step && part.chosen) ++chosen, in += part.in ? 1 : 0;
    if (query.mostly_in == Duration{} && in > 0 && in >= std::min(chosen - 1, chosen * mostly_share))
      query.mostly_in = now_ - query.admitted_at;
    for (Part& part : query.parts)
      if (part.step == query.step) pursue(query, part);
    choose_parts(query);
    bool waiting = false;
    double reachable = 0;
    for (const Part& part : query.parts) {
      if (part.step != query.step) continue;
      if (!part.lost) reachable += part.weight;
      waiting = waiting || (part.chosen && !part.in && !part.lost);
    }
    double weight = weight_in(query);
    if (weight >= need_of(query) - weight_slack || !waiting) return finish(query);
    if (reachable < floor_of(query) - 2 * weight_slack) return finish(query);
    if (now_ < answer_by(query) || query.past_aim) return;
    query.past_aim = true;
    if (earned(query, weight) >= cls.late_worth) return finish(query);
  }

  void on(const ClientDisconnected& left) {
    auto found = queries_.find(left.query);
    if (found == queries_.end() || found->second.ended) return;
    Query& query = found->second;
    query.ended = true;
    note_worth(query, 0);
    for (Part& part : query.parts) {
      if (!part.in) cancel_out(part);
      for (Attempt& attempt : part.attempts)
        if (attempt.out && !attempt.overdue) attempt.overdue = true, note_outcome(true);
    }
  }

  void forget_ended() {
    std::erase_if(queries_, [this](const auto& entry) {
      const Query& query = entry.second;
      auto is_out = [](const Part& part) { return part.out() > 0; };
      if (!query.ended || std::any_of(query.parts.begin(), query.parts.end(), is_out)) return false;
      for (const Part& part : query.parts) part_owner_.erase(part.id);
      auto named = by_ordinal_.find(query.ordinal);
      if (named != by_ordinal_.end() && named->second == query.id) by_ordinal_.erase(named);
      return true;
    });
  }

  // One timer at a time, for the next moment at which something is due without an event.
  void arm_timer() {
    Time next = Time::max();
    for (const auto& [id, query] : queries_) {
      if (query.ended) continue;
      next = std::min(next, query.deadline - margin());
      if (!query.admitted) next = std::min(next, now_ + s_.min_batch_interval * 4);
      if (!query.past_aim) next = std::min(next, answer_by(query));
      for (const Part& part : query.parts) {
        if (part.in || part.lost || !part.chosen || part.step != query.step) continue;
        if (part.out() == 0) next = std::min(next, now_ + s_.min_batch_interval * 4);
        for (const Attempt& attempt : part.attempts)
          if (attempt.out && !attempt.overdue)
            next = std::min({next, attempt.overdue_at, now_ + s_.min_batch_interval * 8});
      }
    }
    if (s_.membership_by_subscription && !subscribed_) next = std::min(next, ask_again_);
    if (next == Time::max() || (armed_ != Time{} && armed_ <= next)) return;
    armed_ = std::max(next, now_ + s_.min_batch_interval);
    actions_->push_back(SetTimer{armed_ - now_, ++timer_token_});
  }

  // Goes by the token, not the clock: a timer may fire a hair before the moment it was set for.
  void on(const TimerFired& fired) {
    if (fired.token == timer_token_) armed_ = Time{};
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
