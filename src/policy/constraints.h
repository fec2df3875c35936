// Rule guards: every send passes may_send() and every final answer finish(), and nowhere else.
#pragma once

#include "policy/coverage.h"

namespace pearspar::policy {

constexpr Duration return_advice = 500ms;  // named with a refusal

class Constraints : public CoverageControl {
 protected:
  using CoverageControl::CoverageControl;

  bool within_dedup(const ClassSettings& cls, const Part& part) const {
    for (const Attempt& attempt : part.attempts)
      if (attempt.may_have_run) return now_ + s_.min_batch_interval * 2 < attempt.sent + cls.dedup_window;
    return true;
  }

  // Counts a little more of the past for sends than for arrivals, so that rounding never favours us.
  bool within_budget() {
    if (!s_.has_retry_budget) return true;
    while (!extras_.empty() && extras_.front() < now_ - s_.retry_budget_window - s_.min_batch_interval)
      extras_.pop_front();
    while (!taken_.empty() && taken_.front() <= now_ - s_.retry_budget_window + s_.min_batch_interval)
      taken_.pop_front();
    double allowed = s_.retry_budget_base + s_.retry_budget_ratio * static_cast<double>(taken_.size());
    return static_cast<double>(extras_.size()) + 1 <= allowed + 1e-9;
  }

  // The one place that every send passes: is this attempt within the rules?
  bool may_send(const Query& query, const Part& part, Node& node) {
    const ClassSettings& cls = s_.classes[static_cast<std::size_t>(query.cls)];
    if (query.ended || part.in || part.step != query.step || now_ >= query.deadline - margin()) return false;
    if (static_cast<int>(part.attempts.size()) >= s_.max_attempts) return false;
    if (!part.attempts.empty()) {
      if (part.out() > 0 && !s_.may_hedge) return false;
      if (cls.idempotency == Idempotency::non_idempotent && part.may_have_run()) return false;
      if (cls.idempotency == Idempotency::deduplicated && !within_dedup(cls, part)) return false;
      if (!within_budget()) return false;
    }
    // Drains: nothing new from the moment we are told. The grace is for what was decided before; a node that
    // drains turns new work away anyway.
    if (node.member.status != NodeStatus::ready) return false;
    // Cold nodes: all of the span counts, whenever the start is taken to be, since a start that is only
    // inferred may be inferred again.
    if (cold(node)) {
      auto& sends = node.recent_sends;
      while (!sends.empty() && sends.front() <= now_ - s_.cold_load_window) sends.pop_front();
      if (static_cast<double>(sends.size()) + 1 > cold_allowance(node)) return false;
    }
    return true;
  }

  // What was given up stays out unless another has to take its place: its end tells whether that was wise.
  void cancel_out(Part& part, bool given_up_too = false) {
    if (!s_.may_cancel) return;
    for (std::size_t i = 0; i < part.attempts.size(); ++i)
      if (part.attempts[i].out && (given_up_too || !part.attempts[i].given_up))
        actions_->push_back(CancelAttempt{part.id, static_cast<int>(i)});
  }

  void note_worth(const Query& query, double earned) {
    if (query.step != 1 || query.dark) return;
    double parts = static_cast<double>(query.parts.size());
    note(worth_[{query.cls, query.tenant}], parts, parts * earned);
    // A part that merely waits when its client leaves says nothing of its shard.
    for (const Part& part : query.parts)
      if (part.in || std::any_of(part.attempts.begin(), part.attempts.end(),
                                 [](auto& attempt) { return attempt.given_up || !attempt.out; }))
        note(shards_[part.shard], 1, part.in ? 1 : 0);
  }

  // The one place that every final answer passes: an answer if the class's floor is in, whole only if it is,
  // else a refusal, or a failure where an unsafe part may have run.
  void finish(Query& query) {
    if (query.ended) return;
    const ClassSettings& cls = s_.classes[static_cast<std::size_t>(query.cls)];
    for (Part& part : query.parts)
      if (!part.in) cancel_out(part);
    double weight = weight_in(query);
    if (query.step == 1 && query.admitted)
      note_worth(query, now_ <= query.aim_at ? earned(query, weight) : 0);
    if (earned(query, weight) > 0) {
      bool whole = weight >= need_of(query) - weight_slack;
      actions_->push_back(AnswerQuery{query.id, whole && query.first_whole});
      if (query.step == 1 && cls.fetch_parts > 0) {
        query.first_whole = whole;
        query.step = 2;
        query.past_aim = false;
        int in = static_cast<int>(
            std::count_if(query.parts.begin(), query.parts.end(), [](auto& p) { return p.in; }));
        query.expected = std::min(cls.fetch_parts, in);
        return;
      }
    } else if (cls.idempotency == Idempotency::non_idempotent &&
               std::any_of(query.parts.begin(), query.parts.end(),
                           [](auto& part) { return part.may_have_run(); })) {
      actions_->push_back(FailQuery{query.id});
    } else {
      Duration advice =
          s_.may_send_retry_after ? std::min(Duration(return_advice), s_.max_retry_after) : Duration{};
      actions_->push_back(RefuseQuery{query.id, advice});
    }
    query.ended = true;
  }
};

}  // namespace pearspar::policy
