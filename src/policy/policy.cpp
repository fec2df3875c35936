// The decision module of pearspar. Its interface (settings, events, actions) is src/policy/policy.h.
//
// One Broker decides for one aggregator. In the order of this file:
//   membership   the list of nodes, drains, and asking for the list where it does not come by itself
//   node health  smoothed latency, in which failures count, and who is cold
//   narrowing    the coverage share (DESIGN): whole at first, less under strain, never under a class's floor
//   replica      least smoothed latency x (1 + our calls outstanding there); an unheard-of node is average
//   admission    what is refused on arrival: by lot, for want of time, or after waiting for room
//   attempts     sends, time-outs, further attempts and second copies
//   answering    when a query ends, and how
//   rule guards  may_send() and finish(): every send and every final answer passes there and nowhere else
#include "policy/policy.h"

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <deque>
#include <iterator>
#include <map>
#include <random>

namespace pearspar {
namespace {

using namespace std::chrono_literals;

// ---- tuned constants ----
// Narrowing: DESIGN's starting values, but for the threshold: at its tenth, two wide queries that meet on a
// quiet day were enough to narrow.
constexpr Duration strain_window = 2s;    // outcomes looked at
constexpr double strain_step = 0.1;       // share of the weight
constexpr double strain_share = 0.25;     // of outcomes: above it coverage drops, under half of it it regains
constexpr Duration strain_longest = 8s;   // looked back at most, for the least count of outcomes
constexpr std::size_t strain_least = 20;  // outcomes: with fewer, coverage holds
// Of the shortest aim: where a shard's quickest replica takes so long, some leave light parts out there, and
// at twice that all do.
constexpr double hot_share = 0.16;
// Node health.
constexpr std::size_t latency_least = 200;  // latencies kept: a wide query's first answers, not only its last
constexpr double latency_gain = 0.2;        // weight of a new sample in the smoothed latency
constexpr Duration latency_memory = 4s;     // a sample after a silence of this length weighs about two thirds
constexpr Duration latency_trust = 10s;  // after so long a silence, a node counts two thirds as its zone does
constexpr Duration cell_memory = 4s;     // what a cell's nodes took is smoothed over this
constexpr double cell_doubt = 2;   // samples' worth of doubt: with fewer, a cell counts as its zone does
constexpr int down_unreached = 2;  // failed connections without an answer: the node was down
// Cold nodes: the share of what the rule allows that we plan to use, since all brokers' sends add up.
constexpr double cold_use = 0.5;
constexpr Duration rate_memory = 5s;  // own send rate to warm nodes is smoothed over this
// Admission: how many of our parts may be out at once, so that queues stay short of the aims.
constexpr double load_target = 0.18;     // of the shortest aim: median latency of a part that we steer for
constexpr Duration load_period = 250ms;  // between steps of the limit
constexpr Duration answer_memory = 1s;   // rate of answers is smoothed over this
constexpr double load_down = 0.8;        // the limit's factor in a step, at least
constexpr double full_share = 0.1;     // of a step's answers: more turned away say at once, before the median
constexpr double load_up = 1.1;        // at most, and only while the limit is in use
constexpr double load_least = 2;       // parts: something is always under way, or nothing would be learnt
constexpr Duration worth_memory = 8s;  // what was asked and what it earned is smoothed over this
constexpr double worth_slack = 1.5;    // times what earned something may be let in
constexpr double hopeless_most =
    0.95;  // a query needs the time within which so many of its attempts end, at most
// Attempts.
constexpr double overdue_share = 0.7;  // of the aim: a part out for longer counts as timed out
constexpr double mostly_share = 0.9;   // of a query's parts in: the rest are its last parts
constexpr double last_parts_wait =
    1.5;                               // times what the others took, until the last parts are taken for lost
constexpr double usual_share = 0.75;   // of attempts end within the "usual" time
constexpr double silence_usuals = 2;   // usual times without an outcome until an attempt is taken for lost
constexpr double call_off_waits = 2;   // times as long, where the attempt has to be called off for another
constexpr double silence_least = 0.2;  // of the aim, so that short queues do not look like silence
constexpr double retry_pause = 0.08;   // of the aim: before a node that looks bad gets the part again
constexpr double copy_gain = 2;        // a copy goes only where so many times quicker than the wait so far
constexpr double extra_ratio = 0.15;   // further attempts that one sent part earns
constexpr double false_alarm_gain = 0.05;  // weight of one more in the share of those that answered after all
constexpr double extra_most = 30;          // further attempts saved up at most
// Answering.
constexpr double first_step_share = 0.6;   // of the aim, where a second step has to follow
constexpr Duration answer_margin = 8ms;    // way to the client, kept free besides two batch spans
constexpr Duration return_advice = 500ms;  // named with a refusal

constexpr double weight_slack = 5e-5;  // a sum of weights may miss by this (rule: 1e-4)

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

class Broker final : public Policy {
 public:
  Broker(const Settings& settings, std::uint64_t seed) : s_(settings), random_(seed) {}

  void handle(Time now, const std::vector<Event>& events, std::vector<Action>& actions) override {
    now_ = now;
    actions_ = &actions;
    if (!awake_) {
      awake_ = true;
      born_ = now;
      if (s_.membership_by_asking) ask_list();
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
  // ---- membership ----

  void on(const MembersChanged& change) {
    if (change.form == ListForm::failed) {
      subscribed_ = false;
      ask_again_ = now_ + s_.ask_within * (0.1 + 0.2 * uniform());
      return;
    }
    subscribed_ = true;
    if (change.form != ListForm::changes) {
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
        auto recent = sends.end() - std::lower_bound(sends.begin(), sends.end(), now_ - s_.fall_span);
        if (!cold(node)) note_warm_sends(-static_cast<double>(recent));
        node.started = std::max(node.started, member.started);
      }
    }
    // Of a node that is gone all is given back, but for what the rule on cold nodes needs should it return.
    std::erase_if(nodes_, [this](const auto& entry) {
      const Node& node = entry.second;
      return node.member.status == NodeStatus::gone && node.calls == 0 && !cold(node) &&
             (node.recent_sends.empty() || node.recent_sends.back() <= now_ - s_.fall_span);
    });
  }

  void ask_list() {
    actions_->push_back(SubscribeMembers{true});
    ask_again_ = now_ + s_.ask_within * 0.5;
  }

  void renew_list() {
    if (s_.membership_by_asking && !subscribed_ && now_ >= ask_again_) ask_list();
  }

  // ---- node health ----

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

  bool cold(const Node& node) const { return node.started != Time{} && now_ < node.started + s_.warm_within; }

  // Sends a cold node may get from us in a span of the rule. The sum over all brokers counts; what warm nodes
  // get from each adds up to what a warm node can do, so each stays within that share of its own rate.
  double cold_allowance(const Node& node) const {
    double age = std::max(0.0, Duration(now_ - node.started).count());
    double ready = s_.start_capacity + (1 - s_.start_capacity) * std::min(1.0, age / s_.warm_within.count());
    // A broker just restarted must not take its first burst for its rate.
    double lived = std::max(now_ - born_, s_.fall_span).count();
    double rate = warm_rate_ * std::exp(-Duration(now_ - warm_rate_at_).count() / rate_memory.count()) /
                  (1 - std::exp(-lived / rate_memory.count()));
    return std::max(1.0, cold_use * s_.fall_multiple * ready * rate * s_.fall_span.count());
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

  // ---- narrowing ----

  void note_outcome(bool strained) { outcomes_.push_back({now_, strained, 0, 0}); }
  void note_latency(const Node& node, double took) {
    latencies_.push_back({now_, false, took, node.member.zone});
    sorted_.insert(std::lower_bound(sorted_.begin(), sorted_.end(), took), took);
    note(cells_[node.member.cell], 1, took, cell_memory);
    auto& [sum, count] = zone_latency_[node.member.zone];
    sum += took;
    ++count;
  }

  // A broker with little traffic looks further back for the least count, or it would never read strain, nor
  // its end.
  bool outlived(const std::deque<Sample>& seen, std::size_t least) const {
    return !seen.empty() && (seen.front().at < now_ - strain_longest ||
                             (seen.size() > least && seen.front().at < now_ - strain_window));
  }

  // The mean and the usual latency, over the window. Not smoothed sample by sample: the parts of a wide query
  // come back quickest first, so that such a mean would end on the slowest. For the same reason what is out
  // counts at its age in the usual one. Kept sorted as samples come and go: sorted anew in each batch they
  // took two thirds of a busy broker's processor time.
  void read_latencies() {
    for (; outlived(latencies_, latency_least); latencies_.pop_front()) {
      const Sample& old = latencies_.front();
      sorted_.erase(std::lower_bound(sorted_.begin(), sorted_.end(), old.took));
      auto& [sum, count] = zone_latency_[old.zone];
      sum -= old.took;
      if (--count == 0) zone_latency_.erase(old.zone);
    }
    median_ = latency_at(0.5);
    usual_ = 0;
    if (sorted_.empty()) return;
    std::vector<double> out, seen;
    for (const auto& [id, node] : nodes_)
      for (Time sent : node.outstanding) out.push_back(Duration(now_ - sent).count());
    std::sort(out.begin(), out.end());
    std::merge(out.begin(), out.end(), sorted_.begin(), sorted_.end(), std::back_inserter(seen));
    usual_ = seen[static_cast<std::size_t>(usual_share * static_cast<double>(seen.size()))];
  }

  // Within what time such a share of the attempts that answered did so.
  double latency_at(double share) const {
    if (sorted_.empty()) return 0;
    return sorted_[static_cast<std::size_t>(share * static_cast<double>(sorted_.size() - 1))];
  }

  void adjust_coverage() {
    while (outlived(outcomes_, strain_least)) outcomes_.pop_front();
    if (now_ < coverage_changed_ + strain_window || outcomes_.size() < strain_least) return;
    auto strained = std::count_if(outcomes_.begin(), outcomes_.end(), [](auto& o) { return o.strained; });
    double share = static_cast<double>(strained) / static_cast<double>(outcomes_.size());
    double before = coverage_;
    if (share > strain_share) coverage_ = std::max(0.0, coverage_ - strain_step);
    if (share < strain_share / 2) coverage_ = std::min(1.0, coverage_ + 2 * strain_step);
    if (coverage_ == before) return;
    coverage_changed_ = now_;
    char text[80];
    std::snprintf(text, sizeof text, "coverage %.1f: %.0f%% of our parts refused or timed out", coverage_,
                  100 * share);
    log(text);
  }

  // Marks the heaviest parts until their weights reach the share; parts that are lost make room for the next.
  void choose_parts(Query& query) {
    const ClassSettings& cls = s_.classes[static_cast<std::size_t>(query.cls)];
    double target = cls.floor < cls.need ? std::max(cls.floor, coverage_) : 1;
    std::vector<Part*> ranked;
    double sum = 0;
    for (Part& part : query.parts) {
      if (part.step != query.step) continue;
      ranked.push_back(&part);
      if (part.chosen && !part.lost) sum += part.weight;
    }
    std::stable_sort(ranked.begin(), ranked.end(), [](auto* a, auto* b) { return a->weight > b->weight; });
    for (Part* part : ranked) {
      if (sum >= target - weight_slack && target < 1) break;
      if (part->chosen) continue;
      part->chosen = true;
      sum += part->weight;
    }
  }

  // ---- replica choice ----

  bool holds(const Node& node, int shard) const {
    int ahead = (node.member.cell - shard % s_.cells + s_.cells) % s_.cells;
    return ahead < std::min(s_.cells_per_shard, s_.cells);
  }

  // DESIGN's average, of the nodes on the same way: what all nodes of a zone share from here (a slow or lossy
  // link, an outage), and what those of a cell share (the demand for its shards), a broker with little
  // traffic learns from any of them.
  double average_latency(const Node& node) const {
    auto zone = zone_latency_.find(node.member.zone);
    double average = zone != zone_latency_.end() ? zone->second.first / zone->second.second
                     : median_ > 0               ? median_
                                                 : 0.1;
    auto cell = cells_.find(node.member.cell);
    if (cell == cells_.end()) return average;
    double fade = std::exp(-(now_ - cell->second.at) / cell_memory);
    return (cell->second.earned * fade + cell_doubt * average) / (cell->second.asked * fade + cell_doubt);
  }

  // What counts as one call: no more parts than an even spread over the nodes would put into it. Counting
  // only full calls, the quickest node would take a call's worth of a wide query's parts before it looked any
  // busier.
  void size_calls() {
    double parts = 0, nodes = 0;
    for (const auto& [id, query] : queries_) {
      if (query.ended || !query.admitted) continue;
      for (const Part& part : query.parts)
        if (part.step == query.step && part.attempts.empty()) ++parts;
    }
    for (const auto& [id, node] : nodes_)
      if (node.member.status == NodeStatus::ready) ++nodes;
    call_size_ = std::clamp(static_cast<int>(std::ceil(parts / std::max(1.0, nodes))), 1, s_.parts_per_call);
  }

  double expected_latency(const Node& node) const {
    double latency = average_latency(node);
    if (node.latency > 0)
      latency += (node.latency - latency) * std::exp(-(now_ - node.last_sample) / latency_trust);
    // A silent node looks idle: what it has not answered for longer than that is its latency so far.
    if (!node.outstanding.empty())
      latency = std::max(latency, Duration(now_ - node.outstanding.front()).count());
    return latency;
  }

  double cost_of(const Node& node) const {
    double latency = expected_latency(node);
    auto filling = round_calls_.find(node.member.node);
    bool joins = filling != round_calls_.end() && filling->second.second < call_size_;
    return latency * (1 + node.calls - (joins ? 1 : 0));  // the call that the part would join is the "one"
  }

  // The node for the part's next attempt, or none: those that this part has not tried come first.
  Node* choose_node(const Query& query, const Part& part) {
    Node* best = nullptr;
    std::pair<int, double> best_rank;
    for (auto& [id, node] : nodes_) {
      if (!holds(node, part.shard) || !may_send(query, part, node)) continue;
      int tier = 0;
      for (const Attempt& attempt : part.attempts)
        if (attempt.node == id) tier += attempt.out ? 8 : 2;
      std::pair<int, double> rank{tier, cost_of(node)};
      if (!best || rank < best_rank) best = &node, best_rank = rank;
    }
    return best;
  }

  // ---- admission ----

  void on(const QueryArrived& arrival) {
    if (s_.has_budget) taken_.push_back(now_);
    const ClassSettings& cls = s_.classes[static_cast<std::size_t>(arrival.cls)];
    Query& query = queries_[arrival.query];
    query = Query{};
    query.id = arrival.query;
    query.ordinal = arrival.ordinal;
    query.cls = arrival.cls;
    query.tenant = arrival.tenant;
    query.arrived = now_;
    query.deadline = arrival.deadline;
    Duration stretch = arrival.cost_known ? arrival.cost * cls.aim_stretch : Duration{};
    query.aim_at = std::min(now_ + std::min(cls.aim + stretch, cls.give_up), arrival.deadline);
    query.expected = arrival.parts;
    by_ordinal_[arrival.ordinal] = arrival.query;
  }

  void on(const PartArrived& arrival) {
    if (s_.has_budget) taken_.push_back(now_);
    auto owner = by_ordinal_.find(arrival.ordinal);
    if (owner == by_ordinal_.end()) return;
    Query& query = queries_.at(owner->second);
    if (query.ended) return;
    Part part;
    part.id = arrival.part;
    part.step = query.step;
    part.shard = arrival.shard;
    part.weight = arrival.weight;
    query.parts.push_back(part);
    part_owner_[arrival.part] = query.id;
    if (query.expected > 0 && --query.expected == 0 && !query.admitted) draw_lots(query);
  }

  Duration shortest_aim() const {
    Duration aim = Duration::max();
    for (const ClassSettings& cls : s_.classes) aim = std::min(aim, cls.aim);
    return aim;
  }

  // Little's law: parts out = rate of answers x latency. Over the target, the limit goes to what the present
  // rate would hold at it, so it does not fall through on a burst; under it, it grows.
  void adjust_limit() {
    most_out_ = std::max(most_out_, out_);
    if (now_ < limit_changed_ + load_period || median_ <= 0) return;
    double target = load_target * shortest_aim().count();
    bool full = turned_away_ > full_share * answer_rate() * load_period.count();
    turned_away_ = 0;
    if (median_ > target || full) {
      bool first = limit_ > most_out_;
      limit_ = std::max({load_least, answer_rate() * target, std::min(limit_, most_out_) * load_down});
      if (first) log("limit of " + std::to_string(static_cast<int>(limit_)) + " parts out: answers are slow");
    } else if (most_out_ >= 0.8 * limit_) {
      limit_ = limit_ * load_up + 1;
    }
    limit_changed_ = now_;
    most_out_ = out_;
  }

  double answer_rate() const {
    return answer_rate_ * std::exp(-Duration(now_ - answered_at_).count() / answer_memory.count());
  }

  // Worth of a whole answer for the work that it takes.
  double density(const Query& query) const {
    double worth = s_.classes[static_cast<std::size_t>(query.cls)].worth;
    return s_.worth_by_work ? worth
                            : worth / static_cast<double>(std::max<std::size_t>(1, query.parts.size()));
  }

  // Work that earned nothing was in vain, and its clients ask again: a class is let in only so far beyond
  // what earns, drawn by lot, since a broker that sees a query in ten seconds does its share only on average.
  void note(Worth& worth, double asked, double earned, Duration memory = worth_memory) const {
    double fade = std::exp(-(now_ - worth.at) / memory);
    worth = {worth.asked * fade + asked, worth.earned * fade + earned, now_};
  }

  bool drawn_out(const Worth& worth, double asked) {
    double fade = std::exp(-(now_ - worth.at) / worth_memory);
    return uniform() < (worth.asked - worth_slack * worth.earned) * fade / (worth.asked * fade + asked);
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

  // On arrival. A shard whose parts do not come back, whichever replica they go to (all of them hang or are
  // full, or it is hot), is spared by the same lot: the query does without the part, or is refused at once
  // where it can't, before its other parts are worked on in vain.
  void draw_lots(Query& query) {
    double reachable = 0;
    double draw = uniform();  // one for all parts: the first that is left out costs the query its wholeness
    for (Part& part : query.parts) {
      part.lost = drawn_out(shards_[part.shard], 1) || draw < left_out(query, part);
      if (!part.lost) reachable += part.weight;
    }
    query.dark = reachable < floor_of(query) - 2 * weight_slack;
    if (query.dark || drawn_out(worth_[{query.cls, query.tenant}], static_cast<double>(query.parts.size())))
      finish(query);
  }

  // A part that its query can do without, and that weighs less than an even share.
  bool light(const Query& query, const Part& part) const {
    const ClassSettings& cls = s_.classes[static_cast<std::size_t>(query.cls)];
    return cls.floor < cls.need && part.weight < 1 / static_cast<double>(query.parts.size()) - weight_slack;
  }

  // DESIGN's hot shard: narrowing trims the light parts of all shards alike, and those that wait at one add
  // to its queue. There light parts are left out, with this chance, by how long even the quickest replica
  // takes.
  double left_out(const Query& query, const Part& part) const {
    if (!light(query, part)) return 0;
    double quickest = 0;
    for (const auto& [id, node] : nodes_)
      if (node.member.status == NodeStatus::ready && holds(node, part.shard))
        quickest = quickest > 0 ? std::min(quickest, expected_latency(node)) : expected_latency(node);
    return quickest / (hot_share * shortest_aim().count()) - 1;
  }

  // Lets queries in, the most worth for its parts first, while there is room under the limit; what has no
  // time left to wait is given up at once.
  void admit() {
    std::vector<Query*> held;
    for (auto& [id, query] : queries_)
      if (!query.admitted && !query.ended && query.expected == 0) held.push_back(&query);
    if (held.empty()) return;
    std::stable_sort(held.begin(), held.end(),
                     [this](auto* a, auto* b) { return density(*a) > density(*b); });
    double room = limit_ - out_;
    for (Query* query : held) {
      // Without the time that its parts take it is given up at once, room or not. Old knowledge is not held
      // against it: with nothing let in, nothing new would ever be learnt.
      const ClassSettings& cls = s_.classes[static_cast<std::size_t>(query->cls)];
      double parts = static_cast<double>(query->parts.size());
      double share = cls.floor < cls.need ? 0.5 : std::min(hopeless_most, parts / (parts + 1));
      bool fresh = !latencies_.empty() && latencies_.back().at > now_ - strain_window;
      if (fresh && now_ + Duration(latency_at(share)) + margin() > query->aim_at) {
        finish(*query);
      } else if (room > 0) {
        query->admitted = true;
        query->admitted_at = now_;
        room -= static_cast<double>(query->parts.size());
      }
    }
  }

  // ---- attempts ----

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
    while (!node.recent_sends.empty() && node.recent_sends.front() <= now_ - s_.fall_span)
      node.recent_sends.pop_front();
    node.recent_sends.push_back(now_);
    if (!cold(node)) note_warm_sends(1);
    if (further && s_.has_budget) extras_.push_back(now_);
    Duration wait = end_of(query) - now_;
    if (!s_.may_copy && !s_.may_cancel && more_allowed(query, part))
      wait = std::min(wait, attempt.overdue_at - now_);
    actions_->push_back(SendPart{part.id, attempt.node, std::max(wait, s_.quantum)});
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
    if (!s_.may_copy) wait *= call_off_waits;
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
           s_.classes[static_cast<std::size_t>(query.cls)].effect != Effect::unsafe;
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
        ended.outcome == Outcome::moot)
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
      case Outcome::moot:
        break;
    }
  }

  // What was given up stays out unless another has to take its place: its end tells whether that was wise.
  void cancel_out(Part& part, bool given_up_too = false) {
    if (!s_.may_cancel) return;
    for (std::size_t i = 0; i < part.attempts.size(); ++i)
      if (part.attempts[i].out && (given_up_too || !part.attempts[i].given_up))
        actions_->push_back(CancelAttempt{part.id, static_cast<int>(i)});
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
    if (out > 0 && !s_.may_copy && s_.may_cancel) {
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
    if (cls.effect == Effect::unsafe && part.may_have_run()) return false;
    if (cls.effect == Effect::keyed && !within_dedup(cls, part)) return false;
    return std::any_of(nodes_.begin(), nodes_.end(), [&](auto& entry) {
      return entry.second.member.status == NodeStatus::ready && holds(entry.second, part.shard);
    });
  }

  // ---- answering ----

  Duration margin() const { return s_.quantum * 2 + answer_margin; }

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
    return weight >= floor - weight_slack && floor < need ? cls.partial * weight / need : 0;
  }

  // A second step needs all its parts for a whole answer; its floor is the class's only where that allows
  // less.
  double need_of(const Query& query) const {
    return query.step == 1 ? s_.classes[static_cast<std::size_t>(query.cls)].need : 1;
  }
  double floor_of(const Query& query) const {
    const ClassSettings& cls = s_.classes[static_cast<std::size_t>(query.cls)];
    return query.step == 1 || cls.floor < cls.need ? cls.floor : 1;
  }

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

  void on(const ClientLeft& left) {
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
      if (!query.admitted) next = std::min(next, now_ + s_.quantum * 4);
      if (!query.past_aim) next = std::min(next, answer_by(query));
      for (const Part& part : query.parts) {
        if (part.in || part.lost || !part.chosen || part.step != query.step) continue;
        if (part.out() == 0) next = std::min(next, now_ + s_.quantum * 4);
        for (const Attempt& attempt : part.attempts)
          if (attempt.out && !attempt.overdue)
            next = std::min({next, attempt.overdue_at, now_ + s_.quantum * 8});
      }
    }
    if (s_.membership_by_asking && !subscribed_) next = std::min(next, ask_again_);
    if (next == Time::max() || (armed_ != Time{} && armed_ <= next)) return;
    armed_ = std::max(next, now_ + s_.quantum);
    actions_->push_back(SetTimer{armed_ - now_, ++timer_token_});
  }

  // Goes by the token, not the clock: a timer may fire a hair before the moment it was set for.
  void on(const TimerFired& fired) {
    if (fired.token == timer_token_) armed_ = Time{};
  }
  void on(const StreamStarted&) {}
  void on(const PeerMessage&) {}
  void on(const ProbeEnded&) {}

  // ---- rule guards ----

  bool within_dedup(const ClassSettings& cls, const Part& part) const {
    for (const Attempt& attempt : part.attempts)
      if (attempt.may_have_run) return now_ + s_.quantum * 2 < attempt.sent + cls.dedup_window;
    return true;
  }

  // Counts a little more of the past for sends than for arrivals, so that rounding never favours us.
  bool within_budget() {
    if (!s_.has_budget) return true;
    while (!extras_.empty() && extras_.front() < now_ - s_.budget_span - s_.quantum) extras_.pop_front();
    while (!taken_.empty() && taken_.front() <= now_ - s_.budget_span + s_.quantum) taken_.pop_front();
    double allowed = s_.budget_extra + s_.budget_ratio * static_cast<double>(taken_.size());
    return static_cast<double>(extras_.size()) + 1 <= allowed + 1e-9;
  }

  // The one place that every send passes: is this attempt within the rules?
  bool may_send(const Query& query, const Part& part, Node& node) {
    const ClassSettings& cls = s_.classes[static_cast<std::size_t>(query.cls)];
    if (query.ended || part.in || part.step != query.step || now_ >= query.deadline - margin()) return false;
    if (static_cast<int>(part.attempts.size()) >= s_.max_attempts) return false;
    if (!part.attempts.empty()) {
      if (part.out() > 0 && !s_.may_copy) return false;
      if (cls.effect == Effect::unsafe && part.may_have_run()) return false;
      if (cls.effect == Effect::keyed && !within_dedup(cls, part)) return false;
      if (!within_budget()) return false;
    }
    // Drains: nothing new from the moment we are told. The grace is for what was decided before; a node that
    // drains turns new work away anyway.
    if (node.member.status != NodeStatus::ready) return false;
    // Cold nodes: all of the span counts, whenever the start is taken to be, since a start that is only
    // inferred may be inferred again.
    if (cold(node)) {
      auto& sends = node.recent_sends;
      while (!sends.empty() && sends.front() <= now_ - s_.fall_span) sends.pop_front();
      if (static_cast<double>(sends.size()) + 1 > cold_allowance(node)) return false;
    }
    return true;
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
    } else if (cls.effect == Effect::unsafe && std::any_of(query.parts.begin(), query.parts.end(),
                                                           [](auto& part) { return part.may_have_run(); })) {
      actions_->push_back(FailQuery{query.id});
    } else {
      Duration advice =
          s_.may_advise_return ? std::min(Duration(return_advice), s_.max_return_advice) : Duration{};
      actions_->push_back(RefuseQuery{query.id, advice});
    }
    query.ended = true;
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

}  // namespace

std::unique_ptr<Policy> make_policy(const Settings& settings, std::uint64_t seed) {
  return std::make_unique<Broker>(settings, seed);
}

}  // namespace pearspar
