// The curves' points as gnuplot reads them: a file each, "size value" a line.
#include <fmt/format.h>

#include <fstream>

#include "measure/capacity.h"
#include "measure/capacity_tables.h"

namespace pearspar::measure {

std::map<std::string, std::string> points_of(const Measured& measured) {
  std::map<std::string, std::string> files;
  constexpr std::pair<const char*, const char*> keys[] = {
      {"cold.to_edges.bytes", ""},          {"election.to_edges.bytes", ""},    {"change.to_edges.bytes", ""},
      {"cold.leader_peak_mb", ""},          {"election.leader_peak_mb", ""},    {"rest.edge_mb", ""},
      {"rest.leader_cpu_s", "rest.span_s"}, {"rest.other_cpu_s", "rest.span_s"}};
  for (const auto& told : measured.loopback) {
    const auto& figures = told["figures"];
    const char* series = figures["beat_ms"].get<double>() == 1200 ? "wire" : "slow";
    for (auto [key, over] : keys) {
      if (!figures.contains(key) || figures[key].get<double>() <= 0) continue;
      double value = figures[key].get<double>() / (*over ? figures[over].get<double>() : 1);
      files[fmt::format("{}.{}", series, key)] +=
          fmt::format("{:.0f} {:.6g}\n", figures["edges"].get<double>(), value);
    }
  }
  for (const auto& told : measured.turns)
    files["turns"] +=
        fmt::format("{:.0f} {:.6g}\n", told["connections"].get<double>(), told["us"].get<double>());
  for (const auto& point : measured.regions["orders"]) {
    std::string& file = files[fmt::format("orders.{:.0f}", point["loss"].get<double>() * 100)];
    file += point["leads"].get<std::string>();
    for (const char* region : {"A", "B", "C", "D"})
      file += fmt::format(" {} {}", point["order_ms"][region]["p50"].get<double>(),
                          point["order_ms"][region]["p99"].get<double>());
    file += fmt::format(" {} {}\n", point["everywhere_ms"]["p50"].get<double>(),
                        point["everywhere_ms"]["max"].get<double>());
  }
  return files;
}

}  // namespace pearspar::measure
