// The list of nodes, drains, asking for the list where it does not come by itself; node health: smoothed
// latency, in which failures count, and who is cold.
#pragma once

#include "policy/state.h"

namespace pearspar::policy {

constexpr double latency_gain = 0.2;     // weight of a new sample in the smoothed latency
constexpr Duration latency_memory = 4s;  // a sample after a silence of this length weighs about two thirds
constexpr int down_unreached = 2;        // failed connections without an answer: the node was down
// Cold nodes: the share of what the rule allows that we plan to use, since all brokers' sends add up.
constexpr double cold_use = 0.5;
constexpr Duration rate_memory = 5s;  // own send rate to warm nodes is smoothed over this

class Nodes : public State {
 protected:
  using State::State;

  void on(const MembersChanged& change) {
    if (change.form == MemberListForm::failed) {
      subscribed_ = false;
      ask_again_ = now_ + s_.subscribe_within * (0.1 + 0.2 * uniform());
      return;
    }
    subscribed_ = true;
    if (change.form != MemberListForm::delta) {
      for (auto& [id, node] : nodes_) node.member.status = NodeStatus::gone;
    }
    for (const Member& member : *change.members) {
      Node& node = nodes_[member.node];
      bool known = node.listed;
      node.member = member;
      node.listed = true;
      if (member.start_known && (!known || member.started > node.started)) {
        // A process that started anew owes nothing to its predecessor's record.
        if (known && member.started > node.started + 1ms) node.latency = 0, node.unreached = 0;
        // What it got while it was thought warm no longer speaks for what a warm node gets.
        auto& sends = node.recent_sends;
        auto recent = sends.end() - std::lower_bound(sends.begin(), sends.end(), now_ - s_.cold_load_window);
        if (!cold(node)) note_warm_sends(-static_cast<double>(recent));
        node.started = std::max(node.started, member.started);
      }
    }
    // Of a node that is gone all is given back, but for what the rule on cold nodes needs should it return.
    std::erase_if(nodes_, [this](const auto& entry) {
      const Node& node = entry.second;
      return node.member.status == NodeStatus::gone && node.calls == 0 && !cold(node) &&
             (node.recent_sends.empty() || node.recent_sends.back() <= now_ - s_.cold_load_window);
    });
  }

  void ask_list() {
    actions_->push_back(SubscribeMembers{true});
    ask_again_ = now_ + s_.subscribe_within * 0.5;
  }

  void renew_list() {
    if (s_.membership_by_subscription && !subscribed_ && now_ >= ask_again_) ask_list();
  }

  void take_latency(Node& node, double sample) {
    if (node.latency <= 0) {
      node.latency = sample;
    } else {
      double silence = Duration(now_ - node.last_sample).count() / latency_memory.count();
      node.latency += std::max(latency_gain, 1 - std::exp(-silence)) * (sample - node.latency);
    }
    node.last_sample = now_;
  }

  // A failure counts as an answer that took the whole patience of its attempt: a node that fails fast would
  // else look quick, and one that often fails ranks behind one that is merely slow. Where all fail alike, the
  // ranks stay as they are, and the least bad still gets its parts.
  void take_failure(Node& node, const Attempt& attempt) {
    bool bad = node.latency >= attempt.patience / 2;
    take_latency(node, std::max(node.latency, attempt.patience));
    if (!bad && node.latency >= attempt.patience / 2)
      log("node " + std::to_string(node.member.node) + " counts as slow: its attempts fail or stay out");
  }

  void take_success(Node& node, double took) {
    // It could not be reached time and again and now answers: take it for restarted, so cold, before the list
    // says so. A broken connection alone proves nothing: a network that drops connections would make all
    // nodes cold.
    if (node.unreached >= down_unreached) {
      node.started = std::max(node.started, now_);
      node.latency = 0;
    }
    node.unreached = 0;
    take_latency(node, took);
    answer_rate_ = answer_rate() + 1 / answer_memory.count();
    answered_at_ = now_;
  }

  bool cold(const Node& node) const {
    return node.started != Time{} && now_ < node.started + s_.warm_up_time;
  }

  // Sends a cold node may get from us in a span of the rule. The sum over all brokers counts; what warm nodes
  // get from each adds up to what a warm node can do, so each stays within that share of its own rate.
  double cold_allowance(const Node& node) const {
    double age = std::max(0.0, Duration(now_ - node.started).count());
    double ready =
        s_.cold_start_capacity + (1 - s_.cold_start_capacity) * std::min(1.0, age / s_.warm_up_time.count());
    // A broker just restarted must not take its first burst for its rate.
    double lived = std::max(now_ - born_, s_.cold_load_window).count();
    double rate = warm_rate_ * std::exp(-Duration(now_ - warm_rate_at_).count() / rate_memory.count()) /
                  (1 - std::exp(-lived / rate_memory.count()));
    return std::max(1.0, cold_use * s_.cold_load_multiple * ready * rate * s_.cold_load_window.count());
  }

  // Shared out over the nodes that were warm at the time: when many restart at once, the few that are still
  // warm must not be credited with what all of them took.
  void note_warm_sends(double sends) {
    double warm = 0;
    for (const auto& [id, node] : nodes_)
      if (node.member.status == NodeStatus::ready && !cold(node)) ++warm;
    double gap = Duration(now_ - warm_rate_at_).count() / rate_memory.count();
    warm_rate_ = warm_rate_ * std::exp(-gap) + sends / (rate_memory.count() * std::max(1.0, warm));
    warm_rate_ = std::max(0.0, warm_rate_);
    warm_rate_at_ = now_;
  }
};

}  // namespace pearspar::policy
