// The rules that every action obeys: each send passes may_send(), each final answer finish().
#pragma once

#include "policy/coverage.h"

namespace pearspar::policy {

constexpr Duration retry_after_refusal = 500ms;

class Constraints : public CoverageControl {
 protected:
  using CoverageControl::CoverageControl;

  bool within_dedup_window(const ClassSettings& cls, const Part& part) const {
    for (const Attempt& attempt : part.attempts)
      if (attempt.may_have_run)
        return now_ + settings_.min_batch_interval * 2 < attempt.sent + cls.dedup_window;
    return true;
  }

  // The window is a little longer for retries than for arrivals, so that rounding never exceeds the budget.
  bool within_retry_budget() {
    if (!settings_.has_retry_budget) return true;
    while (!retry_times_.empty() &&
           retry_times_.front() < now_ - settings_.retry_budget_window - settings_.min_batch_interval)
      retry_times_.pop_front();
    while (!arrival_times_.empty() &&
           arrival_times_.front() <= now_ - settings_.retry_budget_window + settings_.min_batch_interval)
      arrival_times_.pop_front();
    double allowed = settings_.retry_budget_base +
                     settings_.retry_budget_ratio * static_cast<double>(arrival_times_.size());
    return static_cast<double>(retry_times_.size()) + 1 <= allowed + 1e-9;
  }

  // Whether the rules allow a new attempt of this part at this node.
  bool may_send(const Query& query, const Part& part, Node& node) {
    const ClassSettings& cls = settings_.classes[static_cast<std::size_t>(query.cls)];
    if (query.ended || part.answered || part.step != query.step || now_ >= query.deadline - margin())
      return false;
    if (static_cast<int>(part.attempts.size()) >= settings_.max_attempts) return false;
    if (!part.attempts.empty()) {
      if (part.attempts_in_flight() > 0 && !settings_.may_hedge) return false;
      if (cls.idempotency == Idempotency::non_idempotent && part.may_have_run()) return false;
      if (cls.idempotency == Idempotency::deduplicated && !within_dedup_window(cls, part)) return false;
      if (!within_retry_budget()) return false;
    }
    // A draining node refuses new work; the drain grace only covers what was sent before the notice arrived.
    if (node.member.status != NodeStatus::ready) return false;
    // Sends before the node's start count too, since a start that was only inferred may be inferred again.
    if (is_cold(node)) {
      auto& sends = node.recent_sends;
      while (!sends.empty() && sends.front() <= now_ - settings_.cold_load_window) sends.pop_front();
      if (static_cast<double>(sends.size()) + 1 > cold_allowance(node)) return false;
    }
    return true;
  }

  // Attempts that are presumed lost stay in flight by default: their outcome tells whether the presumption
  // was right.
  void cancel_in_flight(Part& part, bool presumed_lost_too = false) {
    if (!settings_.may_cancel) return;
    for (std::size_t i = 0; i < part.attempts.size(); ++i)
      if (part.attempts[i].in_flight && (presumed_lost_too || !part.attempts[i].presumed_lost))
        actions_->push_back(CancelAttempt{part.id, static_cast<int>(i)});
  }

  void record_yield(const Query& query, double earned) {
    if (query.step != 1 || query.shards_unavailable) return;
    double parts = static_cast<double>(query.parts.size());
    add_sample(tenant_yields_[{query.cls, query.tenant}], parts, parts * earned);
    // A part that is merely waiting when its client leaves says nothing about its shard.
    for (const Part& part : query.parts)
      if (part.answered || std::any_of(part.attempts.begin(), part.attempts.end(), [](auto& attempt) {
            return attempt.presumed_lost || !attempt.in_flight;
          }))
        add_sample(shard_yields_[part.shard], 1, part.answered ? 1 : 0);
  }

  // Ends the current step: with an answer if the class's minimum coverage is reached, else with a refusal, or
  // with a failure where a non-idempotent part may have been executed.
  void finish(Query& query) {
    if (query.ended) return;
    const ClassSettings& cls = settings_.classes[static_cast<std::size_t>(query.cls)];
    for (Part& part : query.parts)
      if (!part.answered) cancel_in_flight(part);
    double weight = answered_weight(query);
    if (query.step == 1 && query.admitted)
      record_yield(query, now_ <= query.target_at ? earned_share(query, weight) : 0);
    if (earned_share(query, weight) > 0) {
      bool whole = weight >= whole_coverage(query) - weight_tolerance;
      actions_->push_back(AnswerQuery{query.id, whole && query.first_step_whole});
      if (query.step == 1 && cls.fetch_parts > 0) {
        query.first_step_whole = whole;
        query.step = 2;
        query.past_target = false;
        int answered = static_cast<int>(
            std::count_if(query.parts.begin(), query.parts.end(), [](auto& p) { return p.answered; }));
        query.parts_pending = std::min(cls.fetch_parts, answered);
        return;
      }
    } else if (cls.idempotency == Idempotency::non_idempotent &&
               std::any_of(query.parts.begin(), query.parts.end(),
                           [](auto& part) { return part.may_have_run(); })) {
      actions_->push_back(FailQuery{query.id});
    } else {
      Duration retry_after = settings_.may_send_retry_after
                                 ? std::min(Duration(retry_after_refusal), settings_.max_retry_after)
                                 : Duration{};
      actions_->push_back(RefuseQuery{query.id, retry_after});
    }
    query.ended = true;
  }
};

}  // namespace pearspar::policy
