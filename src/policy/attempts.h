// Sends, time-outs, further attempts and second copies.
#pragma once

#include "policy/admission.h"

namespace pearspar::policy {

// Attempts.
constexpr double overdue_share = 0.7;  // of the aim: a part out for longer counts as timed out
constexpr double last_parts_wait =
    1.5;                               // times what the others took, until the last parts are taken for lost
constexpr double silence_usuals = 2;   // usual times without an outcome until an attempt is taken for lost
constexpr double call_off_waits = 2;   // times as long, where the attempt has to be called off for another
constexpr double silence_least = 0.2;  // of the aim, so that short queues do not look like silence
constexpr double retry_pause = 0.08;   // of the aim: before a node that looks bad gets the part again
constexpr double copy_gain = 2;        // a copy goes only where so many times quicker than the wait so far
constexpr double extra_ratio = 0.15;   // further attempts that one sent part earns
constexpr double false_alarm_gain = 0.05;  // weight of one more in the share of those that answered after all
constexpr double extra_most = 30;          // further attempts saved up at most

class Attempts : public Admission {
 protected:
  using Admission::Admission;
  using Admission::on;

  void send(Query& query, Part& part, Node& node) {
    bool further = !part.attempts.empty();
    Attempt attempt;
    attempt.node = node.member.node;
    attempt.sent = now_;
    Duration patience = (query.aim_at - query.arrived) * overdue_share;
    attempt.overdue_at = now_ + patience;
    attempt.patience = patience.count();
    auto& [call, used] = round_calls_[attempt.node];
    if (used == 0 || used >= call_size_) {
      call = ++last_call_;
      used = 0;
      ++node.calls;
    }
    ++used;
    attempt.call = call;
    part.called_off = false;
    ++call_parts_[call];
    part.attempts.push_back(attempt);
    node.outstanding.push_back(now_);
    ++out_;
    while (!node.recent_sends.empty() && node.recent_sends.front() <= now_ - s_.cold_load_window)
      node.recent_sends.pop_front();
    node.recent_sends.push_back(now_);
    if (!cold(node)) note_warm_sends(1);
    if (further && s_.has_retry_budget) extras_.push_back(now_);
    Duration wait = end_of(query) - now_;
    if (!s_.may_hedge && !s_.may_cancel && more_allowed(query, part))
      wait = std::min(wait, attempt.overdue_at - now_);
    actions_->push_back(SendPart{part.id, attempt.node, std::max(wait, s_.min_batch_interval)});
  }

  // An attempt that is out for far longer than attempts usually are is taken for lost: it, its answer or its
  // node. It counts as its node's failure, no longer as out, and another may go.
  void give_up_lost(const Query& query, Attempt& attempt) {
    Duration wait =
        std::max(Duration(usual_ * silence_usuals), (query.aim_at - query.arrived) * silence_least);
    // The last few parts of a query hold up all the others' work.
    if (query.mostly_in > Duration{})
      wait = std::min(
          wait, std::max(query.mostly_in * last_parts_wait, (query.aim_at - query.arrived) * silence_least));
    // Where no copy may run beside it, a mistake costs the work done so far.
    if (!s_.may_hedge) wait *= call_off_waits;
    if (attempt.given_up || now_ - attempt.sent <= wait) return;
    Node& node = nodes_.at(attempt.node);
    attempt.given_up = true;
    --out_;
    node_forgets(node, attempt);
    take_latency(node, std::max(node.latency, Duration(now_ - attempt.sent).count()));  // so long at least
  }

  void node_forgets(Node& node, const Attempt& attempt) {
    node.outstanding.erase(std::find(node.outstanding.begin(), node.outstanding.end(), attempt.sent));
  }

  bool more_allowed(const Query& query, const Part& part) const {
    return static_cast<int>(part.attempts.size()) < s_.max_attempts &&
           s_.classes[static_cast<std::size_t>(query.cls)].idempotency != Idempotency::non_idempotent;
  }

  void on(const AttemptEnded& ended) {
    auto found = nodes_.find(ended.node);
    auto owner = part_owner_.find(ended.part);
    if (found == nodes_.end() || owner == part_owner_.end()) return;
    Query& query = queries_.at(owner->second);
    Part& part =
        *std::find_if(query.parts.begin(), query.parts.end(), [&](auto& p) { return p.id == ended.part; });
    if (ended.attempt < 0 || static_cast<std::size_t>(ended.attempt) >= part.attempts.size()) return;
    Attempt& attempt = part.attempts[static_cast<std::size_t>(ended.attempt)];
    if (!attempt.out || attempt.node != ended.node) return;
    Node& node = found->second;
    close_attempt(node, attempt);
    judge(node, attempt, ended);
    if (ended.outcome == Outcome::refused || ended.outcome == Outcome::connect_failed ||
        ended.outcome == Outcome::not_sent)
      attempt.may_have_run = false;
    part.retry_at = now_ + (query.aim_at - query.arrived) * retry_pause;
    if (ended.outcome != Outcome::ok || query.ended || part.in || part.step != query.step) return;
    part.in = true;
    cancel_out(part);
  }

  void close_attempt(Node& node, Attempt& attempt) {
    attempt.out = false;
    if (!attempt.given_up) --out_, node_forgets(node, attempt);
    auto call = call_parts_.find(attempt.call);
    if (--call->second > 0) return;
    call_parts_.erase(call);
    --node.calls;
  }

  void judge(Node& node, const Attempt& attempt, const AttemptEnded& ended) {
    double took = ended.took.count();
    // An attempt that was given up and answers after all was only waiting: where most do, the fleet is
    // crowded, and further attempts would crowd it more.
    if (attempt.given_up && ended.outcome != Outcome::cancelled)
      false_alarms_ += false_alarm_gain * ((ended.outcome == Outcome::ok ? 1 : 0) - false_alarms_);
    switch (ended.outcome) {
      case Outcome::ok:
        note_latency(node, took);
        take_success(node, took);
        if (!attempt.overdue) note_outcome(false);
        break;
      case Outcome::refused:
        note_outcome(true);
        ++turned_away_;
        if (!attempt.given_up) note_latency(node, attempt.patience);  // lost, not slow
        take_latency(node, std::max(node.latency, attempt.patience));
        break;
      case Outcome::timeout:
        if (!attempt.given_up) note_latency(node, took);
        take_latency(node, std::max(node.latency, took));
        if (!attempt.overdue) note_outcome(true);
        break;
      case Outcome::connect_failed:
      case Outcome::reset:
        if (ended.outcome == Outcome::connect_failed) ++node.unreached;
        note_outcome(false);
        take_failure(node, attempt);
        break;
      case Outcome::error:
        note_outcome(false);
        take_failure(node, attempt);
        break;
      case Outcome::cancelled:
        if (!attempt.given_up) note_latency(node, took);
        if (took > node.latency) take_latency(node, took);
        break;
      case Outcome::not_sent:
        break;
    }
  }

  // Sends what is chosen and not out. A part whose attempt is taken for lost goes to another node as well,
  // where second copies are allowed and earned, or instead, once that attempt is called off.
  void pursue(Query& query, Part& part) {
    if (!part.chosen || part.in || part.lost || query.ended) return;
    int out = 0;
    bool stuck = true;
    for (std::size_t i = 0; i < part.attempts.size(); ++i) {
      Attempt& attempt = part.attempts[i];
      if (!attempt.out) continue;
      ++out;
      if (!attempt.overdue && now_ >= attempt.overdue_at) {
        attempt.overdue = true;
        note_outcome(true);
      }
      give_up_lost(query, attempt);
      stuck = stuck && attempt.given_up;
    }
    if (out > 0 && (!stuck || out > 1 || !more_allowed(query, part))) return;
    // Nothing more goes out that could hardly be back in time; a part that would need it is given up at once.
    if (!part.attempts.empty() && now_ + Duration(median_) > std::min(query.aim_at, end_of(query))) {
      part.lost = out == 0;
      return;
    }
    if (out > 0 && !s_.may_hedge && s_.may_cancel) {
      if (extra_credit_ >= 1 && !part.called_off) {
        part.called_off = true;
        extra_credit_ -= 1;
        cancel_out(part, true);
      }
      return;
    }
    if (out > 0 && (extra_credit_ < 1 || light(query, part))) return;  // copies are for what is needed
    Node* node = choose_node(query, part);
    if (!node) {
      if (out == 0 && !could_ever_send(query, part)) part.lost = true;
      return;
    }
    // Back to a node that the part has tried it goes after a moment: nodes that turn work away or can't be
    // reached say so within a millisecond, and all attempts would be spent.
    bool tried = std::any_of(part.attempts.begin(), part.attempts.end(),
                             [&](auto& attempt) { return attempt.node == node->member.node; });
    if (out == 0 && tried && now_ < part.retry_at) return;
    if (out > 0 && node->member.node == part.attempts.back().node) return;
    // Where the other replica is no quicker, the shard is hot, and a copy would only wait there too.
    if (out > 0 && expected_latency(*node) * copy_gain > Duration(now_ - part.attempts.back().sent).count())
      return;
    if (out > 0) extra_credit_ -= 1;
    if (part.attempts.empty())
      extra_credit_ = std::min(extra_most, extra_credit_ + extra_ratio * std::pow(1 - false_alarms_, 2));
    send(query, part, *node);
  }

  // Whether waiting may help a part that nothing can be sent for now: a cold node's allowance grows and a
  // budget refills, but no time brings back a spent attempt limit or a shard without listed nodes.
  bool could_ever_send(const Query& query, const Part& part) const {
    if (static_cast<int>(part.attempts.size()) >= s_.max_attempts) return false;
    const ClassSettings& cls = s_.classes[static_cast<std::size_t>(query.cls)];
    if (cls.idempotency == Idempotency::non_idempotent && part.may_have_run()) return false;
    if (cls.idempotency == Idempotency::deduplicated && !within_dedup(cls, part)) return false;
    return std::any_of(nodes_.begin(), nodes_.end(), [&](auto& entry) {
      return entry.second.member.status == NodeStatus::ready && holds(entry.second, part.shard);
    });
  }
};

}  // namespace pearspar::policy
