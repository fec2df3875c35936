// State of a broker and the values that follow from it alone: queries, their parts and attempts, nodes, and
// statistics. Makes no decisions.
#pragma once

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <deque>
#include <iterator>
#include <map>
#include <random>

#include "policy/policy.h"

namespace pearspar::policy {

using namespace std::chrono_literals;

constexpr Duration answer_rate_memory = 1s;       // time constant of the smoothed answer rate
constexpr Duration yield_memory = 8s;             // time constant of the smoothed yields
constexpr double first_step_target_share = 0.6;   // of the latency target, where a second step follows
constexpr Duration answer_delivery_margin = 8ms;  // way to the client, beside two batch intervals
constexpr double weight_tolerance = 5e-5;         // rounding error allowed in a sum of weights

// One send of a part to a node.
struct Attempt {
  NodeId node = 0;
  Time sent{};
  Time overdue_at{};
  double timeout_s = 0;  // from the send until it is overdue
  std::uint64_t call = 0;
  bool in_flight = true;
  bool overdue = false;
  bool presumed_lost = false;
  bool may_have_run = true;
};

// The share of a query that one shard answers.
struct Part {
  PartId id = 0;
  int step = 1;
  int shard = 0;
  double weight = 0;
  bool selected = false;  // within the coverage share
  bool answered = false;
  Time retry_at{};
  bool cancel_requested = false;  // of its attempt that is presumed lost
  bool abandoned = false;         // no further attempt is allowed or possible
  std::vector<Attempt> attempts;

  int attempts_in_flight() const {
    return static_cast<int>(
        std::count_if(attempts.begin(), attempts.end(), [](auto& a) { return a.in_flight; }));
  }
  bool may_have_run() const {
    return std::any_of(attempts.begin(), attempts.end(), [](auto& a) { return a.may_have_run; });
  }
};

// A query, from its arrival until it has ended and no attempt is in flight.
struct Query {
  QueryId id = 0;
  std::uint32_t ordinal = 0;
  int cls = 0;
  int tenant = 0;
  Time arrived{};
  Time target_at{};
  Time deadline{};
  int step = 1;
  int parts_pending = 0;  // parts of this step that have not arrived yet
  bool first_step_whole = true;
  bool admitted = false;
  bool shards_unavailable = false;  // refused because of its shards
  bool ended = false;
  bool past_target = false;
  Duration most_answered_after{};  // from admission until nearly all parts were answered; 0 = not yet
  Time admitted_at{};
  std::vector<Part> parts;
};

// A node and its health.
struct Node {
  Member member;
  bool listed = false;
  double latency = 0;  // smoothed, seconds; 0 = no sample yet
  Time last_sample{};
  int failed_connects = 0;  // since its last answer
  Time started{};           // last known or assumed start
  int open_calls = 0;
  std::deque<Time> in_flight;     // send times of the attempts in flight
  std::deque<Time> recent_sends;  // within the cold load window
};

// An exponentially decaying sum and its weight; their quotient is a smoothed mean. For yields, the weight
// counts the parts that were worked on and the sum those that earned their worth.
struct DecayedMean {
  double weight = 0;
  double sum = 0;
  Time updated{};
};

// An ended attempt, as a sample of latency or of overload.
struct Sample {
  Time at{};
  bool overload = false;  // refused or timed out
  double latency_s = 0;
  int zone = 0;
};

class State {
 protected:
  State(const Settings& settings, std::uint64_t seed) : settings_(settings), random_(seed) {}

  // Time before a deadline at which the answer has to be on its way.
  Duration margin() const { return settings_.min_batch_interval * 2 + answer_delivery_margin; }

  // After this, an answer to the query is worth nothing.
  Time worthless_after(const Query& query) const {
    const ClassSettings& cls = settings_.classes[static_cast<std::size_t>(query.cls)];
    return (cls.late_worth > 0 ? query.deadline : std::min(query.target_at, query.deadline)) - margin();
  }

  // Weight of the answered parts of the current step.
  double answered_weight(const Query& query) const {
    double sum = 0;
    bool all = true, any = false;
    for (const Part& part : query.parts) {
      if (part.step != query.step) continue;
      any = true;
      if (part.answered)
        sum += part.weight;
      else
        all = false;
    }
    return all && any ? std::max(sum, 1.0) : sum;
  }

  // When a partial answer has to be considered, to meet the latency target.
  Time answer_by(const Query& query) const {
    const ClassSettings& cls = settings_.classes[static_cast<std::size_t>(query.cls)];
    Duration target = query.target_at - margin() - query.arrived;
    return query.arrived +
           (cls.fetch_parts > 0 && query.step == 1 ? target * first_step_target_share : target);
  }

  // What an answer with this weight earns now, as a share of a whole answer's worth.
  double earned_share(const Query& query, double weight) const {
    const ClassSettings& cls = settings_.classes[static_cast<std::size_t>(query.cls)];
    double whole = whole_coverage(query), minimum = min_coverage(query);
    if (weight >= whole - weight_tolerance) return 1;
    return weight >= minimum - weight_tolerance && minimum < whole ? cls.partial_worth * weight / whole : 0;
  }

  // A second step needs all its parts for a whole answer, and for any answer unless its class allows partial
  // ones.
  double whole_coverage(const Query& query) const {
    return query.step == 1 ? settings_.classes[static_cast<std::size_t>(query.cls)].whole_coverage : 1;
  }

  double min_coverage(const Query& query) const {
    const ClassSettings& cls = settings_.classes[static_cast<std::size_t>(query.cls)];
    return query.step == 1 || cls.min_coverage < cls.whole_coverage ? cls.min_coverage : 1;
  }

  void add_sample(DecayedMean& mean, double weight, double value, Duration memory = yield_memory) const {
    double decay = std::exp(-(now_ - mean.updated) / memory);
    mean = {mean.weight * decay + weight, mean.sum * decay + value, now_};
  }

  double answer_rate() const {
    return answer_rate_ *
           std::exp(-Duration(now_ - answer_rate_updated_).count() / answer_rate_memory.count());
  }

  Duration shortest_latency_target() const {
    Duration target = Duration::max();
    for (const ClassSettings& cls : settings_.classes) target = std::min(target, cls.latency_target);
    return target;
  }

  void log(const std::string& text) { actions_->push_back(LogLine{text}); }

  double uniform() { return static_cast<double>(random_() >> 11) * 0x1.0p-53; }

  const Settings settings_;
  std::mt19937_64 random_;
  Time now_{};
  std::vector<Action>* actions_ = nullptr;
  bool running_ = false;
  Time running_since_{};

  std::map<NodeId, Node> nodes_;
  bool subscribed_ = false;
  Time resubscribe_at_{};

  std::map<QueryId, Query> queries_;
  std::map<std::uint32_t, QueryId> query_by_ordinal_;
  std::map<PartId, QueryId> query_by_part_;
  std::map<NodeId, std::pair<std::uint64_t, int>> batch_calls_;  // of this batch: call and its parts so far
  std::map<std::uint64_t, int> call_parts_in_flight_;
  std::uint64_t last_call_ = 0;
  int call_size_ = 1;  // parts that fill a call

  std::deque<Sample> latencies_;                             // of ended attempts
  std::map<int, std::pair<double, double>> zone_latencies_;  // their sum and count, by zone
  std::map<int, DecayedMean> cell_latencies_;                // by cell
  double median_latency_ = 0;                                // seconds; 0 = no sample
  std::vector<double> sorted_latencies_;
  double usual_latency_ = 0;   // most attempts end within this, seconds
  double in_flight_ = 0;       // attempts in flight that are not presumed lost
  double warm_send_rate_ = 0;  // own sends per second to each warm node, smoothed
  Time warm_send_rate_updated_{};
  double hedge_credit_ = 0;
  double false_alarm_rate_ = 0.5;   // share of the attempts presumed lost that were answered after all
  std::deque<Time> retry_times_;    // of further attempts, within the retry budget's window
  std::deque<Time> arrival_times_;  // of queries and parts, within the retry budget's window

  double limit_ = 1e9;           // on the parts in flight; not reached yet
  double peak_in_flight_ = 0;    // since the limit's last step
  double refused_attempts_ = 0;  // since the limit's last step
  double answer_rate_ = 0;       // per second, smoothed
  Time answer_rate_updated_{};
  Time limit_changed_{};

  std::map<std::pair<int, int>, DecayedMean> tenant_yields_;  // by class and tenant, in parts
  std::map<int, DecayedMean> shard_yields_;                   // by shard, in parts

  double coverage_ = 1;
  Time coverage_changed_{};
  std::deque<Sample> outcomes_;

  Time timer_at_{};
  std::uint64_t timer_token_ = 0;
};

}  // namespace pearspar::policy
