// Node membership, drains, subscription to the member list, and node health: smoothed latency, in which
// failures count, and which nodes are cold.
#pragma once

#include "policy/state.h"

namespace pearspar::policy {

constexpr double latency_gain = 0.2;     // weight of a new sample in the smoothed latency
constexpr Duration latency_memory = 4s;  // after a silence of this length, a sample weighs about two thirds
constexpr int down_after_failed_connects = 2;  // without an answer between them
constexpr double cold_allowance_share = 0.5;   // of what the rule allows; the rest is margin
constexpr Duration warm_send_rate_memory = 5s;

class Nodes : public State {
 protected:
  using State::State;

  void on(const MembersChanged& change) {
    if (change.form == MemberListForm::failed) {
      subscribed_ = false;
      resubscribe_at_ = now_ + settings_.subscribe_within * (0.1 + 0.2 * uniform());
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
        // The health record is that of the previous process.
        if (known && member.started > node.started + 1ms) node.latency = 0, node.failed_connects = 0;
        // Recent sends were counted as those to a warm node.
        auto& sends = node.recent_sends;
        auto recent =
            sends.end() - std::lower_bound(sends.begin(), sends.end(), now_ - settings_.cold_load_window);
        if (!is_cold(node)) count_warm_sends(-static_cast<double>(recent));
        node.started = std::max(node.started, member.started);
      }
    }
    // The recent sends of a node are kept for the cold node rule, since the node may return.
    std::erase_if(nodes_, [this](const auto& entry) {
      const Node& node = entry.second;
      return node.member.status == NodeStatus::gone && node.open_calls == 0 && !is_cold(node) &&
             (node.recent_sends.empty() || node.recent_sends.back() <= now_ - settings_.cold_load_window);
    });
  }

  void subscribe() {
    actions_->push_back(SubscribeMembers{true});
    resubscribe_at_ = now_ + settings_.subscribe_within * 0.5;
  }

  void resubscribe_if_due() {
    if (settings_.membership_by_subscription && !subscribed_ && now_ >= resubscribe_at_) subscribe();
  }

  void add_node_latency(Node& node, double sample) {
    if (node.latency <= 0) {
      node.latency = sample;
    } else {
      double silence = Duration(now_ - node.last_sample).count() / latency_memory.count();
      node.latency += std::max(latency_gain, 1 - std::exp(-silence)) * (sample - node.latency);
    }
    node.last_sample = now_;
  }

  // Counts a failure as an answer that took the attempt's whole timeout, so that a node that fails fast does
  // not look quick. Where all nodes fail alike, their order stays and the least bad one still gets parts.
  void record_failure(Node& node, const Attempt& attempt) {
    bool slow = node.latency >= attempt.timeout_s / 2;
    add_node_latency(node, std::max(node.latency, attempt.timeout_s));
    if (!slow && node.latency >= attempt.timeout_s / 2)
      log("node " + std::to_string(node.member.node) + " counts as slow: its attempts fail or stay out");
  }

  void record_success(Node& node, double latency) {
    // A node that was unreachable several times in a row is assumed to have restarted, before the member list
    // says so. One broken connection is not enough: a lossy network would make all nodes cold.
    if (node.failed_connects >= down_after_failed_connects) {
      node.started = std::max(node.started, now_);
      node.latency = 0;
    }
    node.failed_connects = 0;
    add_node_latency(node, latency);
    answer_rate_ = answer_rate() + 1 / answer_rate_memory.count();
    answer_rate_updated_ = now_;
  }

  bool is_cold(const Node& node) const {
    return node.started != Time{} && now_ < node.started + settings_.warm_up_time;
  }

  // Sends that this broker may make to a cold node in a cold load window. The loads of all brokers add up,
  // and so do their rates to a warm node; each therefore keeps to the same share of its own warm rate.
  double cold_allowance(const Node& node) const {
    double age = std::max(0.0, Duration(now_ - node.started).count());
    double capacity = settings_.cold_start_capacity + (1 - settings_.cold_start_capacity) *
                                                          std::min(1.0, age / settings_.warm_up_time.count());
    // A broker that has just started must not take its first burst for its rate.
    double running = std::max(now_ - running_since_, settings_.cold_load_window).count();
    double rate =
        warm_send_rate_ *
        std::exp(-Duration(now_ - warm_send_rate_updated_).count() / warm_send_rate_memory.count()) /
        (1 - std::exp(-running / warm_send_rate_memory.count()));
    return std::max(1.0, cold_allowance_share * settings_.cold_load_multiple * capacity * rate *
                             settings_.cold_load_window.count());
  }

  // Divides by the number of nodes that are warm now: when many restart at once, the few that are still warm
  // must not be credited with the load of all of them.
  void count_warm_sends(double sends) {
    double warm = 0;
    for (const auto& [id, node] : nodes_)
      if (node.member.status == NodeStatus::ready && !is_cold(node)) ++warm;
    double elapsed = Duration(now_ - warm_send_rate_updated_).count() / warm_send_rate_memory.count();
    warm_send_rate_ =
        warm_send_rate_ * std::exp(-elapsed) + sends / (warm_send_rate_memory.count() * std::max(1.0, warm));
    warm_send_rate_ = std::max(0.0, warm_send_rate_);
    warm_send_rate_updated_ = now_;
  }
};

}  // namespace pearspar::policy
