// What a broker knows, and what follows from it alone: the queries, their parts and attempts, the nodes, and
// what was measured. Decides nothing.
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

constexpr Duration answer_memory = 1s;  // rate of answers is smoothed over this
constexpr Duration worth_memory = 8s;   // what was asked and what it earned is smoothed over this
// Answering.
constexpr double first_step_share = 0.6;  // of the aim, where a second step has to follow
constexpr Duration answer_margin = 8ms;   // way to the client, kept free besides two batch spans
constexpr double weight_slack = 5e-5;     // a sum of weights may miss by this (rule: 1e-4)

struct Attempt {
  NodeId node = 0;
  Time sent{};
  Time overdue_at{};
  double patience = 0;  // seconds from the send until it is overdue
  std::uint64_t call = 0;
  bool out = true;
  bool overdue = false;
  bool given_up = false;  // taken for lost
  bool may_have_run = true;
};

struct Part {
  PartId id = 0;
  int step = 1;
  int shard = 0;
  double weight = 0;
  bool chosen = false;  // within the coverage share
  bool in = false;
  Time retry_at{};
  bool called_off = false;  // its attempt on a silent node
  bool lost = false;        // no further attempt is allowed or possible
  std::vector<Attempt> attempts;

  int out() const {
    return static_cast<int>(std::count_if(attempts.begin(), attempts.end(), [](auto& a) { return a.out; }));
  }
  bool may_have_run() const {
    return std::any_of(attempts.begin(), attempts.end(), [](auto& a) { return a.may_have_run; });
  }
};

struct Query {
  QueryId id = 0;
  std::uint32_t ordinal = 0;
  int cls = 0;
  int tenant = 0;
  Time arrived{};
  Time aim_at{};
  Time deadline{};
  int step = 1;
  int expected = 0;  // parts of this step that are still to be told
  bool first_whole = true;
  bool admitted = false;
  bool dark = false;  // refused for its shards
  bool ended = false;
  bool past_aim = false;
  Duration mostly_in{};  // how long after its admission nearly all its parts were in; 0 = not yet
  Time admitted_at{};
  std::vector<Part> parts;
};

struct Node {
  Member member;
  bool listed = false;
  double latency = 0;  // smoothed, seconds; 0 = not heard of yet
  Time last_sample{};
  int unreached = 0;  // connections that failed since its last answer
  Time started{};     // last known or assumed start
  int calls = 0;
  std::deque<Time> outstanding;   // attempts that are out: sent when
  std::deque<Time> recent_sends;  // within the span of the cold-node rule
};

// What was asked for and what that earned, in parts, smoothed.
struct Worth {
  double asked = 0;
  double earned = 0;
  Time at{};
};

struct Sample {
  Time at{};
  bool strained = false;
  double took = 0;
  int zone = 0;
};

class State {
 protected:
  State(const Settings& settings, std::uint64_t seed) : s_(settings), random_(seed) {}

  Duration margin() const { return s_.min_batch_interval * 2 + answer_margin; }

  Time end_of(const Query& query) const {
    const ClassSettings& cls = s_.classes[static_cast<std::size_t>(query.cls)];
    return (cls.late_worth > 0 ? query.deadline : std::min(query.aim_at, query.deadline)) - margin();
  }

  double weight_in(const Query& query) const {
    double sum = 0;
    bool all = true, any = false;
    for (const Part& part : query.parts) {
      if (part.step != query.step) continue;
      any = true;
      if (part.in)
        sum += part.weight;
      else
        all = false;
    }
    return all && any ? std::max(sum, 1.0) : sum;
  }

  Time answer_by(const Query& query) const {
    const ClassSettings& cls = s_.classes[static_cast<std::size_t>(query.cls)];
    Duration aim = query.aim_at - margin() - query.arrived;
    return query.arrived + (cls.fetch_parts > 0 && query.step == 1 ? aim * first_step_share : aim);
  }

  // What a query's parts in hand would earn now, as a share of a whole answer's worth.
  double earned(const Query& query, double weight) const {
    const ClassSettings& cls = s_.classes[static_cast<std::size_t>(query.cls)];
    double need = need_of(query), floor = floor_of(query);
    if (weight >= need - weight_slack) return 1;
    return weight >= floor - weight_slack && floor < need ? cls.partial_worth * weight / need : 0;
  }

  // A second step needs all its parts for a whole answer; its floor is the class's only where that allows
  // less.
  double need_of(const Query& query) const {
    return query.step == 1 ? s_.classes[static_cast<std::size_t>(query.cls)].whole_coverage : 1;
  }

  double floor_of(const Query& query) const {
    const ClassSettings& cls = s_.classes[static_cast<std::size_t>(query.cls)];
    return query.step == 1 || cls.min_coverage < cls.whole_coverage ? cls.min_coverage : 1;
  }

  // Work that earned nothing was in vain, and its clients ask again: a class is let in only so far beyond
  // what earns, drawn by lot, since a broker that sees a query in ten seconds does its share only on average.
  void note(Worth& worth, double asked, double earned, Duration memory = worth_memory) const {
    double fade = std::exp(-(now_ - worth.at) / memory);
    worth = {worth.asked * fade + asked, worth.earned * fade + earned, now_};
  }

  double answer_rate() const {
    return answer_rate_ * std::exp(-Duration(now_ - answered_at_).count() / answer_memory.count());
  }

  Duration shortest_aim() const {
    Duration aim = Duration::max();
    for (const ClassSettings& cls : s_.classes) aim = std::min(aim, cls.latency_target);
    return aim;
  }

  void log(const std::string& text) { actions_->push_back(LogLine{text}); }

  double uniform() { return static_cast<double>(random_() >> 11) * 0x1.0p-53; }

  const Settings s_;
  std::mt19937_64 random_;
  Time now_{};
  std::vector<Action>* actions_ = nullptr;
  bool awake_ = false;
  Time born_{};

  std::map<NodeId, Node> nodes_;
  bool subscribed_ = false;
  Time ask_again_{};

  std::map<QueryId, Query> queries_;
  std::map<std::uint32_t, QueryId> by_ordinal_;
  std::map<PartId, QueryId> part_owner_;
  std::map<NodeId, std::pair<std::uint64_t, int>> round_calls_;  // of this batch: call and its parts so far
  std::map<std::uint64_t, int> call_parts_;                      // parts still out, by call
  std::uint64_t last_call_ = 0;
  int call_size_ = 1;

  std::deque<Sample> latencies_;                           // of ended attempts
  std::map<int, std::pair<double, double>> zone_latency_;  // their sum and count, by zone
  std::map<int, Worth> cells_;  // what they took (earned) over how many attempts (asked), smoothed, by cell
  double median_ = 0;           // of theirs, seconds; 0 = none seen yet
  std::vector<double> sorted_;  // theirs
  double usual_ = 0;            // most attempts end within this, seconds
  double out_ = 0;              // attempts out that are not given up
  double warm_rate_ = 0;        // own sends a second to each warm node, smoothed
  Time warm_rate_at_{};
  double extra_credit_ = 0;
  double false_alarms_ = 0.5;  // share of the attempts given up that answered after all
  std::deque<Time> extras_;
  std::deque<Time> taken_;

  double limit_ = 1e9;  // of parts out, not yet met
  double most_out_ = 0;
  double turned_away_ = 0;  // attempts, since the limit's last step
  double answer_rate_ = 0;  // answers a second, smoothed
  Time answered_at_{};
  Time limit_changed_{};

  std::map<std::pair<int, int>, Worth> worth_;  // by class and tenant
  std::map<int, Worth> shards_;                 // the same by shard, in parts

  double coverage_ = 1;
  Time coverage_changed_{};
  std::deque<Sample> outcomes_;

  Time armed_{};
  std::uint64_t timer_token_ = 0;
};

}  // namespace pearspar::policy
