#include "simulation/schedule.h"

#include <algorithm>
#include <random>

#include "simulation/http_days.h"
#include "simulation/large_fleet.h"
#include "simulation/player.h"

namespace pearspar::simulation {
namespace {

// Each takes as long as some dozens of small ones.
constexpr double large_fleet_share = 0.002;

}  // namespace

Player::Player(const ScheduleOptions& options, Cluster& cluster, Outcome& outcome)
    : options_(options),
      cluster_(cluster),
      world_(cluster.world()),
      outcome_(outcome),
      catch_up_(4 + cluster.transfer_s()) {
  for (const std::string& kind : options.kinds.empty() ? trouble_kinds() : options.kinds)
    if (const Trouble* trouble = find_trouble(kind)) kinds_.push_back(trouble);
}

void Player::start() {
  cluster_.order_ended = [this](int member, int status) {
    answered_last_ = member;
    if (status == 200 && !after_word_.empty()) lose_after_word(std::exchange(after_word_, {}));
  };
  cluster_.order_waited = [this](double began, double waited) {
    // The last that befell before it had its answer, if it was still about.
    for (auto it = outcome_.befallen.rbegin(); it != outcome_.befallen.rend(); ++it) {
      if (began > it->until + catch_up_) continue;
      it->met = true;
      it->longest_wait = std::max(it->longest_wait, waited);
      return;
    }
  };
  in(2.5, [this] { change(); });
  in(4, [this] { trouble(); });
  if (options_.tells_core) tell_core();
  if (options_.rollouts) in(6, [this] { order_rollouts(); });
}

void Player::mend() {
  after_word_.clear();
  cluster_.lose_answers(0);
  cluster_.heal_all();
}

void Player::say(const std::string& what) {
  outcome_.story.push_back(std::to_string(cluster_.seconds() - 1000).substr(0, 7) + " s: " + what);
}

void Player::tell_core() {
  in(0.02, [this] { tell_core(); });
  std::string now;
  for (std::size_t i = 0; i < cluster_.cores(); ++i) {
    const control_plane::Member* member = cluster_.member(i);
    if (!member) continue;
    const raft::Core& core = member->core();
    now += "  " + cluster_.core_address(i).substr(7, 2) + ":";
    now += core.role() == raft::Core::Role::leader
               ? (cluster_.leader() == static_cast<int>(i) ? "LEADS" : "leader")
               : "";
    now += " t" + std::to_string(core.term()) + " c" + std::to_string(core.commit()) + " v";
    for (const auto& voter : core.log().membership().voters)
      now += (voter.id == core.self() ? "*" : "") + voter.address.substr(7, 2) + ",";
  }
  if (now != std::exchange(told_core_, now)) say("       " + now);
}

void Player::trouble() {
  if (over() || kinds_.empty()) return;
  in(options_.trouble_every_s * world_.uniform(0.3, 1.7), [this] { trouble(); });
  const Trouble& trouble = *kinds_[world_.below(kinds_.size())];
  double span = std::min(world_.uniform(trouble.least_s, trouble.most_s), std::max(0.2, left()));
  std::size_t said = outcome_.story.size();
  switch (trouble.befalls) {
    case Befalls::member:
      strike_member(trouble, span);
      break;
    case Befalls::core:
      strike_core(trouble, span);
      break;
    case Befalls::edge:
      strike_edge(trouble, span);
      break;
    case Befalls::node:
      strike_node(trouble.name, span);
      break;
    case Befalls::beside:
      strike_beside(trouble.name, span);
      break;
    case Befalls::orders:
      strike_orders(trouble.name, span);
      break;
  }
  bool struck = outcome_.story.size() > said;
  if (struck && trouble.befalls != Befalls::edge && trouble.befalls != Befalls::node)
    outcome_.befallen.push_back({trouble.name, cluster_.seconds(), cluster_.seconds() + span, false, 0});
}

const std::vector<std::string>& trouble_kinds() {
  static const std::vector<std::string> kinds = [] {
    std::vector<std::string> names;
    for (const Trouble& trouble : troubles()) names.emplace_back(trouble.name);
    return names;
  }();
  return kinds;
}

ScheduleOptions drawn_schedule(std::uint64_t seed) {
  std::mt19937_64 random(seed ^ 0x5eed);
  auto chance = [&](double p) { return static_cast<double>(random() % 1000000) < p * 1e6; };
  ScheduleOptions options;
  ClusterOptions& cluster = options.cluster;
  cluster.seed = seed;
  cluster.cores = chance(0.25) ? 5 : 3;
  bool whole = chance(0.02);
  if (!whole) {
    cluster.edges = 2;
    cluster.shards = 2;
    cluster.nodes_per_shard = 1;
    cluster.plain_nodes = 2;
  }
  cluster.requests_per_s = whole ? 30 : 2;
  cluster.http = seed % 8 == 0;
  bool slow = chance(0.2);  // thirty times
  cluster.sync_s = slow ? 0.015 : chance(0.4) ? 0.005 : 0.0005;
  if (chance(0.5)) cluster.clock_drift = 0.05;
  if (chance(0.35)) options.troubled_s = 45;
  if (chance(0.03)) {
    cluster.more_routes = 400;
  } else if (chance(0.01)) {
    cluster.fat_note = 900 << 10;
    cluster.disk_bytes_s = 2e8 / (slow ? 30 : 1);
    options.change_every_s = 3;
  } else if (chance(0.03)) {
    options.change_every_s = 0.06;  // hundreds in a day
  }
  // Of edges, and mostly more of members.
  constexpr double mbit = 1e6 / 8;
  if (chance(0.4)) {
    cluster.edge_bandwidth = (chance(0.5) ? 17 : 22) * mbit;
    cluster.bandwidth = chance(0.4) && cluster.fat_note == 0 ? cluster.edge_bandwidth : 1000 * mbit;
  }
  if (chance(0.03)) {
    cluster.ballast = (std::size_t{2} + random() % 11) << 20;
    if (cluster.bandwidth == 0) cluster.bandwidth = 17 * mbit;
    cluster.fat_note = std::min(cluster.fat_note, std::size_t{50 << 10});
    cluster.disk_bytes_s = 2e8 / (slow ? 30 : 1);
    cluster.more_routes = 0;
    options.troubled_s = 60;
  }
  if (chance(large_fleet_share)) make_large(options);
  return options;
}

void make_large(ScheduleOptions& options) {
  constexpr double least_change_every_s = 0.9;
  set_large_fleet(options.cluster);
  options.change_every_s = std::max(options.change_every_s, least_change_every_s);
}

Outcome play(const ScheduleOptions& options) {
  Outcome outcome;
  Cluster cluster(options.cluster);
  Player player(options, cluster, outcome);
  player.start();
  // Now and then, beside what the player does.
  if (options.cluster.http) set_http_troubles(cluster, 0.01);
  cluster.run(options.troubled_s);
  cluster.strikes().clear();
  // All that was broken comes back by itself; the longest takes four seconds.
  cluster.run(5 + cluster.transfer_s());
  player.mend();
  cluster.run(options.mended_s + cluster.transfer_s());
  cluster.change(0);
  cluster.run(2);
  cluster.read_back();
  cluster.run(2);
  cluster.check_settled();
  outcome.faults = cluster.checker().faults();
  outcome.rollouts = cluster.rollout_judge().judged();
  outcome.delivered_bad = cluster.rollout_judge().delivered_bad();
  outcome.missed_rollouts = cluster.rollout_judge().missed_duties();
  outcome.totals = cluster.totals();
  outcome.acknowledged = cluster.checker().acknowledged();
  outcome.frames = cluster.net().frames();
  outcome.largest_lag = cluster.lag_judge().largest();
  return outcome;
}

Return time_return(std::uint64_t seed, double away_s) {
  ClusterOptions options = drawn_schedule(seed).cluster;
  options.more_routes = 0;
  options.fat_note = options.ballast = 0;
  Cluster cluster(options);
  cluster.run(3);
  cluster.change(0);
  cluster.run(1);
  Return result;
  if (cluster.leader() < 0) return {-1, {"nobody leads"}};
  auto place = static_cast<std::size_t>(cluster.leader());
  std::string address = cluster.core_address(place);
  int way = static_cast<int>(seed % 4);
  if (way == 3)
    cluster.freeze_core(place, away_s);
  else
    cluster.cut_off(address, way != 1, way != 2);
  for (double at = 0; at < away_s; at += 1) {
    cluster.change(static_cast<int>(seed % 2));
    cluster.run(std::min(1.0, away_s - at));
  }
  if (way != 3) cluster.heal(address);
  double healed = cluster.seconds();
  result.waited_s = -1;
  cluster.order_ended = [&](int member, int) {
    if (member == static_cast<int>(place) && result.waited_s < 0)
      result.waited_s = cluster.seconds() - healed;
  };
  Cluster::Order order;
  order.on_top_of = std::max(cluster.newest_seen(0), cluster.newest_seen(1));
  order.revision = order.on_top_of + 1;
  order.first = static_cast<int>(place);
  order.only_there = true;
  order.every_s = 0.02;
  cluster.order(order);
  cluster.run(12);
  result.faults = cluster.checker().faults();
  return result;
}

}  // namespace pearspar::simulation
