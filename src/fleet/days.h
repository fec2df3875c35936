// Days for a fleet, each a script of what happens to it: shared by the tests, which hold them to bounds, and
// by the measurement, which prints them.
#pragma once

#include <string_view>
#include <vector>

#include "fleet/fleet.h"

namespace pearspar::fleet {

// Seconds from the day's start: trouble sets in, is over, and the day's last query comes.
struct Moments {
  double from = 6;
  double to = 12;
  double end = 20;
};

struct DayResult {
  std::vector<Tally> before, during, after;  // by class, of the queries that came then
  Audit audit;
  std::uint64_t sends = 0;
  std::uint64_t refused_unsent = 0;
  double served() const;  // over the three and the classes, each class by its worth
};

struct Day {
  std::string_view name;
  std::string_view what;  // a sentence
};

// Two classes, one of wide queries that may be answered in part and one of narrow ones that may not; cells of
// three nodes, of which some are all of the slower kind; `load` is the share of the nodes' capacity asked
// for.
Shape usual_shape(int brokers, int nodes, double load);

const std::vector<Day>& days();

// Throws std::out_of_range for a name that is not among days().
DayResult play(std::string_view day, const Shape& shape, std::uint64_t seed, const Moments& moments = {});

}  // namespace pearspar::fleet
