// Nine members, edges and index servers in 13 zones of 4 regions, by simulated time.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace pearspar::measure {

inline constexpr int regions = 4;
// One way in ms, between regions; each frame up to a tenth more.
inline constexpr double region_ms[regions][regions] = {
    {1, 15, 35, 60}, {15, 1, 35, 60}, {35, 35, 1, 90}, {60, 60, 90, 1}};
inline constexpr double zone_ms = 0.2;  // inside one zone
inline constexpr char region_names[] = "ABCD";

struct RegionRun {
  std::uint64_t seed = 1;
  double loss = 0;
  int leads = 0;    // the region whose member leads
  int edges = 52;   // 4 a zone
  int orders = 10;  // from each region
  int cut = -1;     // the region that is cut off
  double cut_s = 180;
};
struct RegionFigures {
  std::vector<double> order_ms[regions];  // by the region that they come from: to the acknowledgement
  std::vector<double> everywhere_ms;      // of each order: until the last edge routes by it
  std::vector<double> edge_ms;            // the same, of each order and edge
  std::map<std::string, double> values;   // of a cut
  std::vector<std::string> faults;        // rules broken
};
// Orders from each region in a calm hall.
RegionFigures play_orders(const RegionRun& run);
// A region is cut off and comes back.
RegionFigures play_cut(const RegionRun& run);

}  // namespace pearspar::measure
