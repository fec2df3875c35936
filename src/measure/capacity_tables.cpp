// The page's tables. All that they say of a size is measured, or led to by the slope of what was measured,
// and says which; budgets are the operators'.
#include "measure/capacity_tables.h"

#include <fmt/format.h>

#include <cmath>
#include <optional>
#include <set>

#include "measure/capacity.h"

namespace pearspar::measure {
namespace {

constexpr double target = 2800, beats_s = 16000 / 1.2, core = 9;
constexpr double wire_beat_ms = 1200;

// What one size came to, with what follows from it.
using Point = std::map<std::string, double>;

Point point_of(const nlohmann::json& told) {
  Point point;
  for (const auto& [key, value] : told.items()) point[key] = value.get<double>();
  auto at = [&](const char* key) {
    auto found = point.find(key);
    return found == point.end() ? std::nan("") : found->second;
  };
  double edges = at("edges"), span = at("rest.span_s"), members = at("members");
  auto derive = [&](const char* key, double value) {
    if (std::isfinite(value)) point[key] = value;
  };
  derive("edge_bytes_s",
         (at("rest.to_edges.bytes") + at("rest.to_core.bytes")) / edges / span / members * core);
  derive("edge_percent", at("rest.edge_cpu_s") / span * 100);
  // Whoever led: the lead may pass on in a step.
  for (const char* step : {"cold", "election"})
    derive(step == std::string("cold") ? "cold_peak_mb" : "election_peak_mb",
           std::max(at((step + std::string(".leader_peak_mb")).c_str()),
                    at((step + std::string(".other_peak_mb")).c_str())));
  derive("leader_cores", at("rest.leader_cpu_s") / span);
  derive("leader_kernel", at("rest.leader_system_s") / at("rest.leader_cpu_s") * 100);
  derive("other_cores", at("rest.other_cpu_s") / span);
  derive("all_cores", at("rest.all_cpu_s") / span);
  derive("change_edge_bytes", at("change.to_edges.changes.bytes") / 5 / edges);
  derive("election_edge_bytes", at("election.to_edges.bytes") / edges);
  return point;
}

class Series {
 public:
  Series(const Measured& measured, bool wire) {
    for (const auto& told : measured.loopback)
      if ((told["figures"]["beat_ms"].get<double>() == wire_beat_ms) == wire)
        points_[told["figures"]["edges"].get<double>()] = point_of(told["figures"]);
    // Where lists were still told, nothing was at rest.
    for (auto& [edges, point] : points_)
      if (point.count("rest.to_edges.standing.frames"))
        for (const char* key :
             {"edge_bytes_s", "edge_percent", "leader_cores", "other_cores", "change.p99_ms"})
          point.erase(key);
  }
  const std::map<double, Point>& points() const { return points_; }
  std::optional<double> at(double edges, const std::string& key) const {
    auto point = points_.find(edges);
    if (point == points_.end()) return std::nullopt;
    auto found = point->second.find(key);
    if (found == point->second.end()) return std::nullopt;
    return found->second;
  }
  Fit slope(const std::string& key) const {
    std::vector<std::pair<double, double>> pairs;
    for (const auto& [edges, point] : points_)
      if (auto value = at(edges, key); value && *value > 0) pairs.emplace_back(edges, *value);
    return fit(pairs, target);
  }

 private:
  std::map<double, Point> points_;
};

struct Budgeted {
  double low = 0, at = 0, high = 0;
  bool measured = false;
  const char* kind = "measured";
  Budgeted times(double factor) const { return {low * factor, at * factor, high * factor, measured}; }
  std::string text(const std::string& unit) const {
    if (!std::isfinite(at)) return "not measured";
    if (measured) return fmt::format("{} {} ({})", number(at), unit, kind);
    return fmt::format("{} {} ({} to {}, by the slope)", number(at), unit, number(low), number(high));
  }
  std::string against(double budget) const {
    if (!std::isfinite(at)) return "not shown";
    return high <= budget ? "yes" : low > budget ? "**no**" : at <= budget ? "likely" : "**not likely**";
  }
};

class Tables {
 public:
  explicit Tables(const Measured& measured)
      : measured_(measured), wire_(measured, true), slow_(measured, false) {}

  std::map<std::string, std::string> all() {
    return {{"budgets", budgets()}, {"slopes", slopes()},  {"walls", walls()},
            {"beat", beat()},       {"orders", orders()},  {"cuts", cuts()},
            {"sweep", sweep()},     {"paper", on_paper()}, {"turns", turns()}};
  }

 private:
  // At the target: measured there where it stands, else by the slope; at beats as the wire has them where
  // `wire`, else at slow ones.
  Budgeted at_target(const std::string& key, bool wire = false) const {
    const Series& series = wire ? wire_ : slow_;
    if (auto value = series.at(target, key)) return {*value, *value, *value, true};
    Fit fit = series.slope(key);
    if (!fit.good) return {std::nan(""), std::nan(""), std::nan(""), false};
    return {fit.low, fit.at, fit.high, false};
  }

  // The processor of one beat: the same size at two rates of beats, what else is done alike.
  struct Beat {
    double edges = 0, us = 0, wire = 0, slow = 0, wire_s = 0, slow_s = 0;
  };
  std::vector<Beat> beats() const {
    std::vector<Beat> found;
    for (const auto& [edges, point] : wire_.points()) {
      auto a = wire_.at(edges, "leader_cores"), b = slow_.at(edges, "leader_cores");
      auto c = wire_.at(edges, "rest.beats_s"), d = slow_.at(edges, "rest.beats_s");
      if (a && b && c && d && *c > *d) found.push_back({edges, (*a - *b) * 1e6 / (*c - *d), *a, *b, *c, *d});
    }
    return found;
  }
  static std::pair<double, double> beat_range(const std::vector<Beat>& costs) {
    double least = costs.back().us, most = least;
    for (const Beat& cost : costs)
      if (cost.edges >= 100) least = std::min(least, cost.us), most = std::max(most, cost.us);
    return {least, most};
  }
  // The leader's cores with every beat as the wire has it: what it needs at slow beats, and the rest of them.
  Budgeted leader_cores() const {
    auto costs = beats();
    Budgeted slow = at_target("leader_cores");
    if (costs.empty()) return {std::nan(""), std::nan(""), std::nan(""), false};
    auto [least, most] = beat_range(costs);
    double rest = (beats_s - 16000.0 / 20) * 1e-6;
    return {slow.low + least * rest, slow.at + costs.back().us * rest, slow.high + most * rest, false};
  }

  std::string budgets() const {
    std::string out =
        "| budget | at 2,800 edges, 16,000 servers | met | what carries it, or would: cost, place |\n"
        "| --- | --- | --- | --- |\n";
    auto row = [&](const std::string& budget, const std::string& unit, const Budgeted& value, double limit,
                   const std::string& carried) {
      out += fmt::format("| {} | {} | {} | {} |\n", budget, value.text(unit), value.against(limit), carried);
    };
    row("an edge: 5,000 B/s for control, at rest, 9 members", "B/s", at_target("edge_bytes_s"), 5000,
        "held links, acknowledgements to all members; order 2 thins them");
    Budgeted start = at_target("restart.bytes").times(core / 3);
    row("an edge's starts, 789 a day of 2,800 (paper), 9 members: mean", "B/s",
        start.times(789 / 2800.0 / 86400), 5000, "the list whole from each member");
    row("an edge that starts: whole within 13 s at 5,000 B/s, strictly read", "s", start.times(1 / 5000.0),
        13, "the same; order 4: one member is asked (some 80 lines), 9 times less; order 3: from neighbours");
    row("an edge: 3.3 percent of a core, at rest", "percent", at_target("edge_percent"), 3.3, "held links");
    row("an edge: 256 MB", "MB", at_target("rest.edge_mb"), 256, "the list, about 0.5 KB a node");
    row("a configuration at all edges within 13 s, loopback, loaded", "ms, p99,", at_target("change.p99_ms"),
        13000, "deltas, 10 ms gathered");
    row("the same, 4 regions, 1 percent loss, 52 edges", "ms, the longest,", everywhere(), 13000,
        "deltas; held links");
    row("2,300 configurations a day: bytes an edge and change", "B", at_target("change_edge_bytes"), 5000,
        "deltas");
    row("9 machines: processor of the one loop that leads, in cores", "cores", leader_cores(), 1,
        "order 1: beats kept where they come in (some 300 lines), 1/9 each; order 0: a turn that does not "
        "look "
        "at every connection (some 120 lines)");
    row("9 machines: 4,096 descriptors, the leader's", "descriptors", at_target("rest.leader_files"), 4096,
        "links 2,800 + 8; beats open one each for a moment");
    row("9 machines: memory 256 MB, at its peak in a cold start", "MB", at_target("cold_peak_mb"), 256,
        "lists in turn, 4 MB on their way");
    row("the same in an election", "MB", at_target("election_peak_mb"), 256, "digests");
    row("an election: bytes to an edge", "B", at_target("election_edge_bytes", true), 5000,
        "digest in acknowledgements");
    row("an election: all edges have heard, within 13 s", "ms, the longest,",
        at_target("election.heard.max_ms"), 13000, "one packing for all, held links");
    row("a cold start: bytes to all edges on 1 Gbit/s within 13 s", "s",
        at_target("cold.to_edges.bytes", true).times(8 * core / 3 / 1e9), 13,
        "9 members' shares; order 3: lists from neighbours (some 250 lines), order 4");
    out +=
        "| 9 machines: 1,024 control connections a member | 13 at once with a new one for each beat of 1 ms; "
        "1,778 if "
        "servers keep theirs (paper) | yes, **no** kept | order 1 spreads them, with a higher bound |\n"
        "| 650,000 queries a second to 280 servers on 22 Mbit/s | 208 MB/s an edge with parts of 3,200 B "
        "(paper) "
        "| **no** | order 6: subsets over zones and a merge beside the servers |\n"
        "| p99 of 98 ms over 280 parts | each part at p99.9964 (paper) | **no** alone | coverage and second "
        "calls; "
        "both stand |\n";
    return out;
  }
  Budgeted everywhere() const {
    double most = 0;
    for (const auto& point : measured_.regions["orders"])
      most = std::max(most, point["everywhere_ms"]["max"].get<double>());
    return {most, most, most, true, "simulated"};
  }

  std::string slopes() const {
    struct Row {
      const char *key, *name;
      bool wire;
    };
    constexpr Row rows[] = {
        {"edge_bytes_s", "an edge at rest, 9 members: B/s", false},
        {"edge_percent", "an edge at rest: percent of a core", false},
        {"rest.edge_mb", "an edge with its list: MB", false},
        {"restart.bytes", "an edge that starts, 3 members: bytes", false},
        {"change_edge_bytes", "a configuration: B an edge", false},
        {"change.p99_ms", "a configuration at all edges: p99 ms", false},
        {"cold.to_edges.bytes", "a cold start: bytes to all edges", true},
        {"cold_peak_mb", "a cold start: MB of a member, at its peak", false},
        {"election_edge_bytes", "an election, 1 s after it is whole: B an edge", true},
        {"election.heard.max_ms", "an election: ms until the last edge has heard", false},
        {"election_peak_mb", "an election: MB of a member, at its peak", false},
        {"leave.p50_ms", "a leave: ms until acknowledged", false},
        {"leader_cores", "the leader at rest: cores, beats of 20 s", false},
        {"leader_cores", "the leader at rest: cores, beats of 1.2 s", true},
        {"other_cores", "another member at rest: cores", false},
        {"rest.leader_files", "the leader: descriptors", false},
    };
    std::set<double> sizes;
    for (const auto* series : {&wire_, &slow_})
      for (const auto& [edges, point] : series->points()) sizes.insert(edges);
    std::string out = "| figure |";
    for (double size : sizes) out += fmt::format(" {:.0f} |", size);
    out += " power of edges | at 2,800 by the slope (range) |\n| --- |";
    for (std::size_t i = 0; i < sizes.size() + 2; ++i) out += " --- |";
    out += "\n";
    for (const Row& row : rows) {
      const Series& series = row.wire ? wire_ : slow_;
      out += fmt::format("| {} |", row.name);
      for (double size : sizes) {
        auto value = series.at(size, row.key);
        out += fmt::format(" {} |", value ? number(*value) : "-");
      }
      Fit fit = series.slope(row.key);
      out += fit.good ? fmt::format(" {:.2f} ± {:.2f} | {} ({} to {}) |\n", fit.slope, fit.error,
                                    number(fit.at), number(fit.low), number(fit.high))
                      : " - | - |\n";
    }
    return out;
  }

  std::string walls() const {
    std::string out =
        "| edges | servers | beat, s | beats/s answered | leader, cores | of it kernel, percent | all our "
        "processes, cores | "
        "machine busy, percent | MB in all | links up of 3 an edge | what did not come about |\n"
        "| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |\n";
    for (const auto& told : measured_.loopback) {
      Point point = point_of(told["figures"]);
      auto text = [&](const char* key, double factor = 1) {
        return point.count(key) ? number(point[key] * factor) : std::string("-");
      };
      std::string walls;
      for (const auto& wall : told["walls"]) walls += (walls.empty() ? "" : "; ") + wall.get<std::string>();
      out += fmt::format("| {:.0f} | {:.0f} | {} | {} | {} | {} | {} | {} | {} | {} | {} |\n", point["edges"],
                         point["servers"], number(point["beat_ms"] / 1000), text("rest.beats_s"),
                         text("leader_cores"), text("leader_kernel"), text("all_cores"),
                         text("rest.machine_busy", 100), text("memory_mb"), text("rest.edge_links"),
                         walls.empty() ? "-" : walls);
    }
    return out;
  }

  std::string beat() const {
    std::string out =
        "| edges | cores at beats/s of 1.2 s | all that the leader does, us a beat | cores at beats/s of 20 "
        "s | one "
        "beat more, us | by epoll: cores at beats/s of 1.2 s | us a beat |\n| --- | --- | --- | --- | --- | "
        "--- | --- |\n";
    for (const Beat& cost : beats()) {
      std::string other = "- | -";
      for (const auto& told : measured_.epoll["loopback"]) {
        Point point = point_of(told["figures"]);
        if (point["edges"] == cost.edges && point["beat_ms"] == wire_beat_ms)
          other =
              fmt::format("{} at {} | {:.0f}", number(point["leader_cores"]), number(point["rest.beats_s"]),
                          point["leader_cores"] * 1e6 / point["rest.beats_s"]);
      }
      out += fmt::format("| {:.0f} | {} at {} | {:.0f} | {} at {} | {:.0f} | {} |\n", cost.edges,
                         number(cost.wire), number(cost.wire_s), cost.wire * 1e6 / cost.wire_s,
                         number(cost.slow), number(cost.slow_s), cost.us, other);
    }
    auto costs = beats();
    if (costs.empty()) return out;
    Budgeted slow = at_target("leader_cores"), whole = leader_cores();
    auto [least, most] = beat_range(costs);
    Budgeted by_slope = at_target("leader_cores", true);
    out += fmt::format(
        "\nThe sum for 2,800 edges and 16,000 servers at 1.2 s: {} at beats of 20 s, + ({:.0f} - {:.0f}) "
        "beats/s x "
        "{:.0f} us ({:.0f} to {:.0f}) = {} in all.\nThe slope of the cores at 1.2 s leads to {}. One loop "
        "has 1.\n",
        slow.text("cores"), beats_s, 16000.0 / 20, costs.back().us, least, most, whole.text("cores"),
        by_slope.text("cores"));
    return out;
  }

  std::string turns() const {
    std::string out =
        "| idle connections | a turn, us of processor, by poll | by epoll |\n| --- | --- | --- |\n";
    std::vector<std::pair<double, double>> pairs;
    for (const auto& told : measured_.turns) {
      double n = told["connections"].get<double>(), us = told["us"].get<double>();
      std::string other = "-";
      for (const auto& also : measured_.epoll["turns"])
        if (also["connections"].get<double>() == n) other = number(also["us"].get<double>());
      out += fmt::format("| {:.0f} | {} | {} |\n", n, number(us), other);
      if (n >= 300) pairs.emplace_back(n, us);
    }
    Fit line = fit(pairs, target);
    if (line.good)
      out +=
          fmt::format("\nFrom 300 on it grows with power {:.2f} ± {:.2f}; at 2,800 links {} us ({} to {}).\n",
                      line.slope, line.error, number(line.at), number(line.low), number(line.high));
    return out;
  }

  std::string orders() const {
    std::string out =
        "| leader in | loss, percent | an order from A, p50 / p99 / longest ms | from B | from C | from D | "
        "in force at "
        "the last edge, p50 / p99 / longest ms | orders |\n| --- | --- | --- | --- | --- | --- | --- | --- "
        "|\n";
    auto three = [](const nlohmann::json& told) {
      return fmt::format("{:.0f} / {:.0f} / {:.0f}", told["p50"].get<double>(), told["p99"].get<double>(),
                         told["max"].get<double>());
    };
    for (const auto& point : measured_.regions["orders"]) {
      out += fmt::format("| {} | {:.0f} |", point["leads"].get<std::string>(),
                         point["loss"].get<double>() * 100);
      for (const char* region : {"A", "B", "C", "D"}) out += " " + three(point["order_ms"][region]) + " |";
      out +=
          fmt::format(" {} | {} |\n", three(point["everywhere_ms"]), point["everywhere_ms"]["n"].get<int>());
    }
    return out;
  }

  std::string cuts() const {
    struct Row {
      const char *key, *name;
      double factor;
    };
    constexpr Row rows[] = {{"deaths", "leaders killed before, until one of the region led", 1},
                            {"to_lead_s", "s until a member of the rest leads", 1},
                            {"without_s", "s in which nobody led, in all", 1},
                            {"to_order_s", "s until the first order of the rest is taken", 1},
                            {"orders", "orders sent to the rest, one in 5 s", 1},
                            {"orders_taken", "of them taken", 1},
                            {"orders_taken_inside", "orders confirmed in the region cut off", 1},
                            {"edges_inside", "edges cut off", 1},
                            {"inside_ready", "of them ready all the same, at the end", 1},
                            {"inside_old_edition", "of them at the old configuration", 1},
                            {"nodes", "servers in all", 1},
                            {"nodes_inside_know", "servers that an edge cut off lists", 1},
                            {"nodes_outside_know", "servers that another edge lists", 1},
                            {"served_before", "requests served before, percent", 100},
                            {"served_cut", "during the cut, percent", 100},
                            {"served_after", "in the minute after it, percent", 100},
                            {"healed_newest_s", "back: s until all have the newest", 1},
                            {"healed_whole_s", "back: s until all list every server", 1},
                            {"healed_without_s", "back: s in which nobody led", 1},
                            {"healed_terms", "back: elections", 1}};
    const auto& cuts = measured_.regions["cuts"];
    std::string out = "| cut off / leader in |", line = "| --- |";
    for (const auto& cut : cuts) {
      out += fmt::format(" {} / {} |", cut["cut"].get<std::string>(), cut["leads"].get<std::string>());
      line += " --- |";
    }
    out += "\n" + line + "\n";
    for (const Row& row : rows) {
      out += fmt::format("| {} |", row.name);
      for (const auto& cut : cuts) {
        const auto& told = cut[row.key];
        std::string least = number(told["least"].get<double>() * row.factor),
                    most = number(told["most"].get<double>() * row.factor);
        out += least == most ? fmt::format(" {} |", least) : fmt::format(" {} to {} |", least, most);
      }
      out += "\n";
    }
    return out;
  }

  std::string sweep() const {
    std::string out;
    for (const auto& [site, told] : measured_.sweep.items()) {
      out += fmt::format(
          "| {}: middle / busiest | 30 before | after | 100 | after | 300 | after | 1,000 | after | power "
          "before | after "
          "|\n| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |\n",
          site);
      for (const auto& row : told["rows"]) {
        out += fmt::format("| {} |", row["name"].get<std::string>());
        for (std::size_t i = 0; i < 4; ++i)
          for (const char* when : {"before", "after"}) out += " " + row[when][i].get<std::string>() + " |";
        out += fmt::format(" {} | {} |\n", row["power_before"].get<std::string>(),
                           row["power_after"].get<std::string>());
      }
    }
    return out;
  }

  std::string on_paper() const {
    return paper([&](const std::string& key) {
      bool wire = !slow_.at(target, key) && !slow_.slope(key).good;
      return at_target(key, wire).at;
    });
  }

  const Measured& measured_;
  Series wire_, slow_;
};

}  // namespace

std::map<std::string, std::string> tables_of(const Measured& measured) { return Tables(measured).all(); }

}  // namespace pearspar::measure
