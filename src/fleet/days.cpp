#include "fleet/days.h"

#include <algorithm>
#include <functional>
#include <map>
#include <numeric>
#include <stdexcept>
#include <string>

namespace pearspar::fleet {
namespace {

constexpr double start = 1000;  // of each fleet's clock

// A share of `part` in `of` of the nodes, such that the nodes of one cell are not all among them.
bool among(int node, const Shape& shape, int part, int of) {
  return (node + 3 * (node / shape.settings.cells)) % of < part;
}

void burst(Fleet& fleet, const Shape&, const Moments& m) {
  fleet.at(start + m.from, [&fleet] { fleet.set_load(1.5); });
  fleet.at(start + m.to, [&fleet] { fleet.set_load(1); });
}

void herd(Fleet& fleet, const Shape& shape, const Moments& m) {
  for (int i = 0; i < shape.brokers; ++i)
    if (i % 10 < 7) fleet.at(start + m.from, [&fleet, i] { fleet.restart_broker(i, 1 + (i % 5) * 0.5); });
  for (int i = 0; i < shape.nodes; i += 8) fleet.at(start + m.from, [&fleet, i] { fleet.slow(i, 5); });
  for (int i = 0; i < shape.nodes; i += 8) fleet.at(start + m.to, [&fleet, i] { fleet.slow(i, 1); });
}

// Half of the nodes are replaced in six steps: successors come, then the old ones drain, then they go.
void roll(Fleet& fleet, const Shape& shape, const Moments& m) {
  double step = (m.to - m.from) / 6;
  for (int i = 0; i < shape.nodes; ++i) {
    if (!among(i, shape, 1, 2)) continue;
    double at = start + m.from + step * (i % 6);
    int cell = i % shape.settings.cells;
    fleet.at(at, [&fleet, i, cell] { fleet.add(cell, fleet.zone_of(i)); });
    fleet.at(at + 0.5 * step, [&fleet, i] { fleet.drain(i); });
    fleet.at(at + 0.5 * step + 3, [&fleet, i] { fleet.remove(i); });
  }
  for (int i = 0; i < shape.brokers; ++i)
    fleet.at(start + m.from + (m.to - m.from) * (i % 10) / 10, [&fleet, i] { fleet.restart_broker(i, 0.3); });
}

void cold_zone(Fleet& fleet, const Shape& shape, const Moments& m) {
  for (int i = 0; i < shape.nodes; ++i)
    if (fleet.zone_of(i) == 1) {
      fleet.at(start + m.from, [&fleet, i] { fleet.kill(i); });
      fleet.at(start + m.to, [&fleet, i] { fleet.start(i); });
    }
}

void silent_fifth(Fleet& fleet, const Shape& shape, const Moments& m) {
  fleet.at(start + m.from, [&fleet] { fleet.set_list_delay(8); });
  for (int i = 0; i < shape.nodes; ++i) {
    if (!among(i, shape, 1, 5)) continue;
    fleet.at(start + m.from, [&fleet, i] { fleet.silence(i, true); });
    fleet.at(start + m.to, [&fleet, i] { fleet.silence(i, false); });
  }
}

void cut_zone(Fleet& fleet, const Shape& shape, const Moments& m) {
  for (int i = 0; i < shape.nodes; ++i)
    if (fleet.zone_of(i) == 1) {
      fleet.at(start + m.from, [&fleet, i] { fleet.silence(i, true); });
      fleet.at(start + m.to, [&fleet, i] { fleet.silence(i, false); });
    }
}

// Six in ten nodes are new within two thirds of the time, the old ones gone soon after.
void join(Fleet& fleet, const Shape& shape, const Moments& m) {
  for (int i = 0; i < shape.nodes; ++i) {
    if (!among(i, shape, 6, 10)) continue;
    double at = start + m.from + (m.to - m.from) * 0.66 * (i % 7) / 7;
    int cell = i % shape.settings.cells;
    fleet.at(at, [&fleet, i, cell] { fleet.add(cell, fleet.zone_of(i)); });
    fleet.at(at + 0.5, [&fleet, i] { fleet.drain(i); });
    fleet.at(at + 2.5, [&fleet, i] { fleet.remove(i); });
  }
}

// All brokers come up again with a list from before a third of the nodes were replaced.
void old_list(Fleet& fleet, const Shape& shape, const Moments& m) {
  fleet.at(start + m.from - 1, [&fleet] { fleet.set_list_delay(3); });
  for (int i = 0; i < shape.nodes; ++i) {
    if (!among(i, shape, 1, 3)) continue;
    int cell = i % shape.settings.cells;
    fleet.at(start + m.from - 0.5, [&fleet, i, cell] {
      fleet.add(cell, fleet.zone_of(i));
      fleet.remove(i);
    });
  }
  for (int i = 0; i < shape.brokers; ++i)
    fleet.at(start + m.from, [&fleet, i] { fleet.restart_broker(i, 0.2); });
}

using Script = std::function<void(Fleet&, const Shape&, const Moments&)>;

const std::vector<std::pair<Day, Script>>& scripts() {
  static const std::vector<std::pair<Day, Script>> all = {
      {{"calm", "nothing happens"}, [](Fleet&, const Shape&, const Moments&) {}},
      {{"burst", "half as much again is asked"}, burst},
      {{"herd", "seven in ten brokers die at once; one node of eight is five times slower"}, herd},
      {{"roll", "half of the nodes are replaced in steps while brokers restart by tenths"}, roll},
      {{"cold-zone", "a zone dies and returns cold, all at once"}, cold_zone},
      {{"silent-fifth", "one node of five falls silent while the list is late"}, silent_fifth},
      {{"cut-zone", "a zone falls silent"}, cut_zone},
      {{"join", "six in ten nodes are replaced"}, join},
      {{"old-list", "all brokers restart with a list in which a third is gone"}, old_list},
  };
  return all;
}

}  // namespace

double DayResult::served() const {
  double asked = 0, worth = 0;
  for (const std::vector<Tally>* part : {&before, &during, &after})
    for (std::size_t cls = 0; cls < part->size(); ++cls) {
      double each = cls == 0 ? 5 : 1;
      asked += each * static_cast<double>((*part)[cls].asked);
      worth += each * (*part)[cls].worth;
    }
  return asked > 0 ? worth / asked : 0;
}

Shape usual_shape(int brokers, int nodes, double load) {
  Shape shape;
  shape.brokers = brokers;
  shape.nodes = nodes;
  Settings& s = shape.settings;
  s.cells = std::max(1, nodes / 3);
  s.cells_per_shard = 1;
  s.shards = s.cells * 4;
  ClassSettings wide, narrow;
  wide.name = "wide";
  wide.latency_target = Duration(0.9);
  wide.worth = 5;
  wide.min_coverage = 0.4;
  wide.partial_worth = 0.95;
  narrow.name = "narrow";
  narrow.latency_target = Duration(0.65);
  narrow.worth = 1;
  narrow.partial_worth = 0.9;
  for (ClassSettings* cls : {&wide, &narrow}) {
    cls->client_timeout = Duration(1.7);
    cls->late_worth = 0.3;
    cls->whole_coverage = 1;
  }
  s.classes = {wide, narrow};
  s.may_cancel = s.may_hedge = s.may_send_retry_after = true;
  s.max_retry_after = Duration(2);
  s.connect_timeout = Duration(0.25);
  s.max_attempts = 4;
  s.max_open = 400;
  s.min_batch_interval = Duration(0.001);
  s.answer_slack = Duration(0.055);
  s.drain_grace = Duration(1.05);
  s.subscribe_within = Duration(10);
  s.cold_load_multiple = 2;
  s.cold_load_window = Duration(3);
  s.cold_start_capacity = 0.23;
  s.warm_up_time = Duration(16);
  shape.loads = {{0.26, std::min(100, s.shards * 6 / 10), 0.05, true, 1.7}, {0.74, 8, 0.05, false, 1.7}};
  for (int cell = 3; cell < s.cells; cell += 20) shape.weak_cells.push_back(cell);
  double speed = 0;
  for (int i = 0; i < nodes; ++i)
    speed += (i % s.cells) % 20 == 3 || (i + i / s.cells) % 2 == 1 ? shape.weakest : 1;
  double work = 0;
  for (const ClassLoad& each : shape.loads) work += each.share * each.parts * each.work;
  shape.rate = load * speed * shape.cores / work;
  return shape;
}

const std::vector<Day>& days() {
  static const std::vector<Day> all = [] {
    std::vector<Day> names;
    for (const auto& [day, script] : scripts()) names.push_back(day);
    return names;
  }();
  return all;
}

DayResult play(std::string_view name, const Shape& shape, std::uint64_t seed, const Moments& m) {
  auto found = std::find_if(scripts().begin(), scripts().end(),
                            [&](const auto& each) { return each.first.name == name; });
  if (found == scripts().end()) throw std::out_of_range("no day is named " + std::string(name));
  Fleet fleet(shape, seed);
  found->second(fleet, shape, m);
  DayResult result;
  for (double moment : {m.from, m.to}) {
    fleet.run_until(start + moment);
    fleet.mark();
  }
  fleet.run_until(start + m.end);
  fleet.set_load(0);
  double settle = 0.5;
  for (const ClassLoad& load : shape.loads) settle = std::max(settle, load.patience + 0.5);
  fleet.run_until(start + m.end + settle);
  result.before = fleet.tally(0);
  result.during = fleet.tally(1);
  result.after = fleet.tally(2);
  result.audit = fleet.audit();
  result.sends = fleet.sends();
  result.refused_unsent = fleet.refused_unsent();
  return result;
}

}  // namespace pearspar::fleet
