// Attempts of parts: sends, timeouts, retries and hedged requests.
#pragma once

#include "policy/admission.h"

namespace pearspar::policy {

constexpr double overdue_share = 0.7;    // of the latency target: a part in flight for longer has timed out
constexpr double last_parts_wait = 1.5;  // times what the other parts took, until the last are presumed lost
constexpr double lost_after_usual = 2;   // usual latencies without an outcome, until presumed lost
constexpr double lost_wait_factor_without_hedging = 2;  // since the attempt is cancelled first
constexpr double min_lost_wait_share = 0.2;  // of the latency target, so that a short queue is not a loss
constexpr double retry_pause_share = 0.08;   // of the latency target: before a node gets the part again
constexpr double hedge_min_gain = 2;         // how much quicker than the wait so far a hedge must be
constexpr double hedge_credit_per_part = 0.15;
constexpr double max_hedge_credit = 30;
constexpr double false_alarm_gain = 0.05;  // weight of a new sample in the false alarm rate

class Attempts : public Admission {
 protected:
  using Admission::Admission;
  using Admission::on;

  void send(Query& query, Part& part, Node& node) {
    bool further = !part.attempts.empty();
    Attempt attempt;
    attempt.node = node.member.node;
    attempt.sent = now_;
    Duration timeout = (query.target_at - query.arrived) * overdue_share;
    attempt.overdue_at = now_ + timeout;
    attempt.timeout_s = timeout.count();
    auto& [call, used] = batch_calls_[attempt.node];
    if (used == 0 || used >= call_size_) {
      call = ++last_call_;
      used = 0;
      ++node.open_calls;
    }
    ++used;
    attempt.call = call;
    part.cancel_requested = false;
    ++call_parts_in_flight_[call];
    part.attempts.push_back(attempt);
    node.in_flight.push_back(now_);
    ++in_flight_;
    while (!node.recent_sends.empty() && node.recent_sends.front() <= now_ - settings_.cold_load_window)
      node.recent_sends.pop_front();
    node.recent_sends.push_back(now_);
    if (!is_cold(node)) count_warm_sends(1);
    if (further && settings_.has_retry_budget) retry_times_.push_back(now_);
    Duration wait = worthless_after(query) - now_;
    if (!settings_.may_hedge && !settings_.may_cancel && may_retry(query, part))
      wait = std::min(wait, attempt.overdue_at - now_);
    actions_->push_back(SendPart{part.id, attempt.node, std::max(wait, settings_.min_batch_interval)});
  }

  // Presumes an attempt lost that has been in flight for far longer than usual. It then counts as a failure
  // of its node and no longer as in flight, and another attempt may be made.
  void presume_lost_if_silent(const Query& query, Attempt& attempt) {
    Duration wait = std::max(Duration(usual_latency_ * lost_after_usual),
                             (query.target_at - query.arrived) * min_lost_wait_share);
    // The last few parts of a query delay its answer.
    if (query.most_answered_after > Duration{})
      wait = std::min(wait, std::max(query.most_answered_after * last_parts_wait,
                                     (query.target_at - query.arrived) * min_lost_wait_share));
    // Without hedging the attempt is cancelled, and a mistake costs the work done so far.
    if (!settings_.may_hedge) wait *= lost_wait_factor_without_hedging;
    if (attempt.presumed_lost || now_ - attempt.sent <= wait) return;
    Node& node = nodes_.at(attempt.node);
    attempt.presumed_lost = true;
    --in_flight_;
    remove_in_flight(node, attempt);
    add_node_latency(node, std::max(node.latency, Duration(now_ - attempt.sent).count()));
  }

  void remove_in_flight(Node& node, const Attempt& attempt) {
    node.in_flight.erase(std::find(node.in_flight.begin(), node.in_flight.end(), attempt.sent));
  }

  bool may_retry(const Query& query, const Part& part) const {
    return static_cast<int>(part.attempts.size()) < settings_.max_attempts &&
           settings_.classes[static_cast<std::size_t>(query.cls)].idempotency != Idempotency::non_idempotent;
  }

  void on(const AttemptEnded& ended) {
    auto found = nodes_.find(ended.node);
    auto owner = query_by_part_.find(ended.part);
    if (found == nodes_.end() || owner == query_by_part_.end()) return;
    Query& query = queries_.at(owner->second);
    Part& part =
        *std::find_if(query.parts.begin(), query.parts.end(), [&](auto& p) { return p.id == ended.part; });
    if (ended.attempt < 0 || static_cast<std::size_t>(ended.attempt) >= part.attempts.size()) return;
    Attempt& attempt = part.attempts[static_cast<std::size_t>(ended.attempt)];
    if (!attempt.in_flight || attempt.node != ended.node) return;
    Node& node = found->second;
    close_attempt(node, attempt);
    record_attempt(node, attempt, ended);
    if (ended.outcome == Outcome::refused || ended.outcome == Outcome::connect_failed ||
        ended.outcome == Outcome::not_sent)
      attempt.may_have_run = false;
    part.retry_at = now_ + (query.target_at - query.arrived) * retry_pause_share;
    if (ended.outcome != Outcome::ok || query.ended || part.answered || part.step != query.step) return;
    part.answered = true;
    cancel_in_flight(part);
  }

  void close_attempt(Node& node, Attempt& attempt) {
    attempt.in_flight = false;
    if (!attempt.presumed_lost) --in_flight_, remove_in_flight(node, attempt);
    auto call = call_parts_in_flight_.find(attempt.call);
    if (--call->second > 0) return;
    call_parts_in_flight_.erase(call);
    --node.open_calls;
  }

  // Updates the statistics with the outcome of an attempt.
  void record_attempt(Node& node, const Attempt& attempt, const AttemptEnded& ended) {
    double latency = ended.took.count();
    // An answer after all means that the attempt was only queued. Where this is common the nodes are
    // overloaded, and hedging would add to the load.
    if (attempt.presumed_lost && ended.outcome != Outcome::cancelled)
      false_alarm_rate_ += false_alarm_gain * ((ended.outcome == Outcome::ok ? 1 : 0) - false_alarm_rate_);
    switch (ended.outcome) {
      case Outcome::ok:
        record_latency(node, latency);
        record_success(node, latency);
        if (!attempt.overdue) record_outcome(false);
        break;
      case Outcome::refused:
        record_outcome(true);
        ++refused_attempts_;
        if (!attempt.presumed_lost) record_latency(node, attempt.timeout_s);  // not the time to refuse it
        add_node_latency(node, std::max(node.latency, attempt.timeout_s));
        break;
      case Outcome::timeout:
        if (!attempt.presumed_lost) record_latency(node, latency);
        add_node_latency(node, std::max(node.latency, latency));
        if (!attempt.overdue) record_outcome(true);
        break;
      case Outcome::connect_failed:
      case Outcome::reset:
        if (ended.outcome == Outcome::connect_failed) ++node.failed_connects;
        record_outcome(false);
        record_failure(node, attempt);
        break;
      case Outcome::error:
        record_outcome(false);
        record_failure(node, attempt);
        break;
      case Outcome::cancelled:
        if (!attempt.presumed_lost) record_latency(node, latency);
        if (latency > node.latency) add_node_latency(node, latency);
        break;
      case Outcome::not_sent:
        break;
    }
  }

  // Makes the part's next attempt if one is due. If all its attempts in flight are presumed lost, it is sent
  // to another node as well, where hedging is allowed and earned, or once the attempt has been cancelled.
  void advance_part(Query& query, Part& part) {
    if (!part.selected || part.answered || part.abandoned || query.ended) return;
    int in_flight = 0;
    bool all_lost = true;
    for (std::size_t i = 0; i < part.attempts.size(); ++i) {
      Attempt& attempt = part.attempts[i];
      if (!attempt.in_flight) continue;
      ++in_flight;
      if (!attempt.overdue && now_ >= attempt.overdue_at) {
        attempt.overdue = true;
        record_outcome(true);
      }
      presume_lost_if_silent(query, attempt);
      all_lost = all_lost && attempt.presumed_lost;
    }
    if (in_flight > 0 && (!all_lost || in_flight > 1 || !may_retry(query, part))) return;
    // No further attempt that would hardly be answered in time; a part that needs one is abandoned.
    if (!part.attempts.empty() &&
        now_ + Duration(median_latency_) > std::min(query.target_at, worthless_after(query))) {
      part.abandoned = in_flight == 0;
      return;
    }
    if (in_flight > 0 && !settings_.may_hedge && settings_.may_cancel) {
      if (hedge_credit_ >= 1 && !part.cancel_requested) {
        part.cancel_requested = true;
        hedge_credit_ -= 1;
        cancel_in_flight(part, true);
      }
      return;
    }
    if (in_flight > 0 && (hedge_credit_ < 1 || is_optional(query, part))) return;
    Node* node = select_node(query, part);
    if (!node) {
      if (in_flight == 0 && !may_become_sendable(query, part)) part.abandoned = true;
      return;
    }
    // A node that refuses or is unreachable says so within a millisecond; without a pause all attempts would
    // be spent on it.
    bool tried = std::any_of(part.attempts.begin(), part.attempts.end(),
                             [&](auto& attempt) { return attempt.node == node->member.node; });
    if (in_flight == 0 && tried && now_ < part.retry_at) return;
    if (in_flight > 0 && node->member.node == part.attempts.back().node) return;
    // Where the other replica is no quicker, the shard is hot and a hedge would only add to its load.
    if (in_flight > 0 &&
        expected_latency(*node) * hedge_min_gain > Duration(now_ - part.attempts.back().sent).count())
      return;
    if (in_flight > 0) hedge_credit_ -= 1;
    if (part.attempts.empty())
      hedge_credit_ = std::min(max_hedge_credit,
                               hedge_credit_ + hedge_credit_per_part * std::pow(1 - false_alarm_rate_, 2));
    send(query, part, *node);
  }

  // Whether a part that cannot be sent now may become sendable: a cold node's allowance grows and the retry
  // budget refills, but spent attempts and a shard without listed nodes do not come back.
  bool may_become_sendable(const Query& query, const Part& part) const {
    if (static_cast<int>(part.attempts.size()) >= settings_.max_attempts) return false;
    const ClassSettings& cls = settings_.classes[static_cast<std::size_t>(query.cls)];
    if (cls.idempotency == Idempotency::non_idempotent && part.may_have_run()) return false;
    if (cls.idempotency == Idempotency::deduplicated && !within_dedup_window(cls, part)) return false;
    return std::any_of(nodes_.begin(), nodes_.end(), [&](auto& entry) {
      return entry.second.member.status == NodeStatus::ready && holds_shard(entry.second, part.shard);
    });
  }
};

}  // namespace pearspar::policy
