// The hall of docs/CAPACITY.md's regions: who stands where, orders from everywhere, a region cut off.
#include "measure/capacity_regions.h"

#include <fmt/format.h>

#include <algorithm>
#include <unordered_map>

#include "simulation/cluster.h"

namespace pearspar::measure {
namespace {

using simulation::Cluster;
using simulation::Duration;

constexpr int zones = 13;
constexpr int first_zone[regions + 1] = {0, 4, 7, 10, zones};
// The first three are the seeds. Three members in A, two in each other region, each in a zone of its own.
constexpr int member_zones[] = {0, 4, 7, 10, 1, 2, 5, 8, 11};

int region_of(int zone) {
  int region = 0;
  while (zone >= first_zone[region + 1]) ++region;
  return region;
}

class Hall {
 public:
  explicit Hall(const RegionRun& run, double requests_s) : cluster(options(run, requests_s)) {
    for (std::size_t i = 0; i < cluster.cores(); ++i) zones_[cluster.core_address(i)] = member_zones[i];
    for (std::size_t i = 0; i < cluster.edges(); ++i)
      zones_[cluster.edge_address(i)] = static_cast<int>(i) % zones;
    for (std::size_t i = 0; i < cluster.nodes(); ++i)
      zones_[cluster.node_address(i)] = static_cast<int>(i) % zones;
    cluster.net().set_ways([this](const std::string& from, const std::string& to) {
      int a = zone(from), b = zone(to);
      double ms = a == b ? zone_ms : region_ms[region_of(a)][region_of(b)];
      return Duration(ms / 1000 * cluster.world().uniform(1, 1.1));
    });
    cluster.net().set_loss(run.loss);
    cluster.run(10);
    cluster.change(0);
    cluster.run(4);
    let_lead(run.leads);
  }

  // Who is far from the others seldom wins: many deaths. Six seconds later it still leads.
  void let_lead(int region) {
    int settled = 0;
    for (; deaths < 400 && settled < 2; cluster.run(3)) {
      if (leads() == region) {
        ++settled;
        continue;
      }
      settled = 0;
      ++deaths;
      if (int at = cluster.leader(); at >= 0) cluster.kill_core(static_cast<std::size_t>(at), 1);
    }
  }

  int zone(const std::string& address) const {
    auto found = zones_.find(address);
    return found == zones_.end() ? 0 : found->second;
  }
  int region(const std::string& address) const { return region_of(zone(address)); }
  int leads() const {
    int at = cluster.leader();
    return at < 0 ? -1 : region_of(member_zones[at]);
  }
  // A member of a region that does not lead where one is there; else one that does.
  int member_in(int region) const {
    int found = -1;
    for (int i = 0; i < 9; ++i)
      if (region_of(member_zones[i]) == region && (found < 0 || found == cluster.leader())) found = i;
    return found;
  }
  bool order(int region, bool only_there) {
    Cluster::Order order;
    order.on_top_of = cluster.newest_seen(0);
    order.revision = order.on_top_of + 1;
    order.first = member_in(region);
    order.only_there = only_there;
    order.from = cluster.core_address(static_cast<std::size_t>(order.first));
    return cluster.order(order);
  }
  raft::Term term() const {
    raft::Term newest = 0;
    for (std::size_t i = 0; i < cluster.cores(); ++i)
      if (const auto* member = cluster.member(i)) newest = std::max(newest, member->core().term());
    return newest;
  }
  double now_ms() const { return cluster.seconds() * 1000; }

  Cluster cluster;
  int deaths = 0;  // until a member of the region led

 private:
  static simulation::ClusterOptions options(const RegionRun& run, double requests_s) {
    simulation::ClusterOptions options;
    options.cores = 9;
    options.edges = run.edges;
    options.plain_nodes = 52;
    options.nodes_per_shard = 13;
    options.seed = run.seed;
    options.requests_per_s = requests_s;
    return options;
  }
  std::unordered_map<std::string, int> zones_;
};

}  // namespace

RegionFigures play_orders(const RegionRun& run) {
  RegionFigures figures;
  Hall hall(run, 0);
  Cluster& cluster = hall.cluster;
  if (hall.leads() != run.leads) {
    figures.faults.push_back(fmt::format("no member of {} came to lead", region_names[run.leads]));
    return figures;
  }
  double sent = 0;
  std::uint64_t wanted = 0;
  int from = 0, told = 0;
  cluster.order_ended = [&](int, int status) {
    if (status == 200) figures.order_ms[from].push_back(hall.now_ms() - sent);
  };
  cluster.edge_told = [&](std::size_t, std::uint64_t revision) {
    if (revision != wanted) return;
    figures.edge_ms.push_back(hall.now_ms() - sent);
    if (++told == run.edges) figures.everywhere_ms.push_back(hall.now_ms() - sent);
  };
  for (int i = 0; i < run.orders * regions; ++i) {
    from = i % regions;
    told = 0;
    sent = hall.now_ms();
    wanted = cluster.newest_seen(0) + 1;
    hall.order(from, false);
    cluster.run(3);
  }
  for (const std::string& fault : cluster.checker().faults()) figures.faults.push_back(fault);
  return figures;
}

RegionFigures play_cut(const RegionRun& run) {
  RegionFigures figures;
  Hall hall(run, 100);
  Cluster& cluster = hall.cluster;
  if (hall.leads() != run.leads) {
    figures.faults.push_back(fmt::format("no member of {} came to lead", region_names[run.leads]));
    return figures;
  }
  auto& values = figures.values;
  values["deaths"] = hall.deaths;
  auto served = [&](auto&& during) {
    auto before = cluster.totals();
    during();
    const auto& after = cluster.totals();
    auto good = static_cast<double>(after.served - before.served);
    auto bad = static_cast<double>(after.refused + after.failed - before.refused - before.failed);
    return good / std::max(1.0, good + bad);
  };
  values["served_before"] = served([&] { cluster.run(20); });
  hall.let_lead(run.leads);
  if (hall.leads() != run.leads) {
    figures.faults.push_back(fmt::format("no member of {} leads before the cut", region_names[run.leads]));
    return figures;
  }

  std::vector<std::string> inside, outside;
  auto place = [&](const std::string& address) {
    (hall.region(address) == run.cut ? inside : outside).push_back(address);
  };
  for (std::size_t i = 0; i < cluster.cores(); ++i) place(cluster.core_address(i));
  for (std::size_t i = 0; i < cluster.edges(); ++i) place(cluster.edge_address(i));
  for (std::size_t i = 0; i < cluster.nodes(); ++i) place(cluster.node_address(i));
  auto edges_in = [&](bool in) {
    std::vector<std::size_t> found;
    for (std::size_t i = 0; i < cluster.edges(); ++i)
      if ((hall.region(cluster.edge_address(i)) == run.cut) == in) found.push_back(i);
    return found;
  };
  for (const std::string& a : inside)
    for (const std::string& b : outside) cluster.net().cut(a, b), cluster.net().cut(b, a);
  double cut_at = cluster.seconds(), lead_at = 0, without = 0, taken_at = 0;
  auto term = hall.term();
  std::uint64_t revision = cluster.newest_seen(0);
  int made = 0, taken = 0, taken_inside = 0;
  cluster.order_ended = [&](int member, int status) {
    if (status != 200) return;
    if (member >= 0 && region_of(member_zones[member]) == run.cut)
      ++taken_inside;
    else if (++taken == 1)
      taken_at = cluster.seconds();
  };
  int majority = run.cut == 0 ? 1 : 0;
  values["served_cut"] = served([&] {
    for (double next = cut_at; cluster.seconds() < cut_at + run.cut_s;) {
      if (cluster.seconds() >= next) {
        if (made == 6) hall.order(run.cut, true);  // nobody may confirm it there
        made += hall.order(majority, true) ? 1 : 0;
        next += 5;
      }
      int leads = cluster.leader();
      if (leads < 0) without += 0.005;
      if (lead_at == 0 && leads >= 0 && region_of(member_zones[leads]) != run.cut)
        lead_at = cluster.seconds();
      cluster.run(0.005);
    }
  });
  values["to_lead_s"] = lead_at - cut_at, values["without_s"] = without;
  values["to_order_s"] = taken_at - cut_at;
  values["orders"] = made, values["orders_taken"] = taken, values["orders_taken_inside"] = taken_inside;
  values["terms"] = static_cast<double>(hall.term() - term);
  auto count = [&](bool in, const auto& is) {
    double sum = 0;
    for (std::size_t edge : edges_in(in)) sum += is(edge) ? 1 : 0;
    return sum;
  };
  auto known = [&](std::size_t edge) { return cluster.follower(edge)->view().nodes().all().size(); };
  auto at = [&](std::size_t edge) { return cluster.follower(edge)->view().revision(); };
  values["edges_inside"] = count(true, [](std::size_t) { return true; });
  values["inside_ready"] = count(true, [&](std::size_t e) { return cluster.gateway(e)->ready(); });
  values["inside_old_edition"] = count(true, [&](std::size_t e) { return at(e) <= revision; });
  values["nodes"] = static_cast<double>(cluster.nodes());
  values["nodes_inside_know"] = static_cast<double>(known(edges_in(true).front()));
  values["nodes_outside_know"] = static_cast<double>(known(edges_in(false).front()));

  term = hall.term();
  cluster.net().heal_all();
  double healed = cluster.seconds(), newest_at = 0, whole_at = 0, last = 0;
  without = 0;
  values["served_after"] = served([&] {
    while (cluster.seconds() < healed + 60) {
      std::uint64_t newest = 0;
      for (std::size_t i = 0; i < cluster.edges(); ++i) newest = std::max(newest, at(i));
      bool all = count(true, [&](std::size_t e) { return at(e) < newest; }) == 0;
      bool whole = count(true, [&](std::size_t e) { return known(e) < cluster.nodes(); }) +
                       count(false, [&](std::size_t e) { return known(e) < cluster.nodes(); }) ==
                   0;
      if (all && newest_at == 0) newest_at = cluster.seconds();
      if (whole && whole_at == 0) whole_at = cluster.seconds();
      if (cluster.leader() < 0) without += 0.01, last = cluster.seconds();
      cluster.run(0.01);
    }
  });
  values["healed_newest_s"] = newest_at > 0 ? newest_at - healed : -1;
  values["healed_whole_s"] = whole_at > 0 ? whole_at - healed : -1;
  values["healed_without_s"] = without, values["healed_last_without_s"] = last > 0 ? last - healed : 0;
  values["healed_terms"] = static_cast<double>(hall.term() - term);
  for (const std::string& fault : cluster.checker().faults()) figures.faults.push_back(fault);
  return figures;
}

}  // namespace pearspar::measure
