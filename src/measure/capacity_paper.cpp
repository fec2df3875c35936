// The arithmetic of docs/CAPACITY.md that needs no run: sizes and budgets as told, unit costs as measured.
#include <fmt/format.h>

#include <cmath>

#include "measure/capacity.h"

namespace pearspar::measure {
namespace {

// Told by the operators, for two years from now.
constexpr double edges = 2800, servers = 16000, zones = 13, regions = 4, members = 9;
constexpr double queries_s = 650000, parts = 280, aim_ms = 98;
constexpr double restarts_day = 5300, changes_day = 2300, machines_failing_day = 32;
constexpr double day_s = 86400, beat_s = 1.2, control_bytes_s = 5000;

}  // namespace

std::string paper(const std::function<double(const std::string& key)>& at_target) {
  std::string out;
  auto line = [&]<typename... T>(fmt::format_string<T...> text, T&&... with) {
    out += "- " + fmt::format(text, std::forward<T>(with)...);
  };
  line(
      "Queries: {:.0f} / {:.0f} = {:.0f} a second an edge; x {:.0f} = {:.0f} calls a second an edge, {:.0f} "
      "a server\n",
      queries_s, edges, queries_s / edges, parts, queries_s / edges * parts, queries_s * parts / servers);
  line(
      "Connections: {:.0f} x {:.0f} = {:.3g}; by Little's law at 20 ms a call {:.0f} out at an edge, {:.1f} "
      "at a server\n",
      edges, servers, edges * servers, queries_s / edges * parts * 0.02, queries_s * parts / servers * 0.02);
  line("Beats: {:.0f} / {:.1f} s = {:.0f} a second, {:.0f} a member of {:.0f}\n", servers, beat_s,
       servers / beat_s, servers / beat_s / members, members);
  double list = at_target("restart.bytes");
  line(
      "The list: {:.0f} KB = {:.0f} s at {:.0f} B/s; {:.0f} restarts a day x it = {:.1f} GB a day, {:.0f} "
      "KB/s of the core\n",
      list / 1e3, list / control_bytes_s, control_bytes_s, restarts_day, restarts_day * list / 1e9,
      restarts_day * list / day_s / 1e3);
  double whole = at_target("election.to_edges.bytes");
  line("An election tells {:.2f} GB: {:.0f} s on 1 Gbit/s\n", whole / 1e9, whole * 8 / 1e9);
  line("A change of configuration: {:.0f} KB to all edges, x {:.0f} a day = {:.1f} GB a day\n",
       at_target("change.to_edges.changes.bytes") / 5 / 1e3, changes_day,
       at_target("change.to_edges.changes.bytes") / 5 * changes_day / 1e9);
  double churn = (restarts_day + machines_failing_day) * 3;  // leaves, goes, comes back
  line("Changes of nodes: {:.0f} a day = {:.2f} a second, about 110 B to each edge: {:.0f} B/s an edge\n",
       churn, churn / day_s, churn / day_s * 110);
  double each = std::pow(0.99, 1 / parts);
  line(
      "The tail: all of {:.0f} within {:.0f} ms at p99 = each at p{:.4f}; with {:.0f} ({:.2f} of them) "
      "p{:.4f}; a part"
      " late with 1 in 100, asked twice independently: {:.4f} late, {:.3f} of all-part queries whole\n",
      parts, aim_ms, each * 100, parts * 0.75, 0.75, std::pow(0.99, 1 / (parts * 0.75)) * 100, 1e-4,
      std::pow(1 - 1e-4, parts));
  line("Across zones, if peers are chosen evenly: {:.2f} of bytes; across regions {:.2f}\n", 1 - 1 / zones,
       1 - 1 / regions);
  return out;
}

}  // namespace pearspar::measure
