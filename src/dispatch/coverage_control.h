// The coverage share: whole, and narrowed only under strain (ours, beside Pyramid). In windows of 2 s the
// share of shard calls that were refused or timed out is looked at; over a tenth takes 0.1 off, under half a
// tenth gives 0.1 back, and with fewer than 20 outcomes nothing moves.
#pragma once

#include <algorithm>

#include "dispatch/types.h"

namespace pearspar::dispatch {

class CoverageControl {
 public:
  double share() const { return share_; }
  // Where an edge begins: at what its neighbours ask, not whole into an overload that they have narrowed for.
  void begin(double share) { share_ = std::clamp(share, step, 1.0); }
  void outcome(Time now, bool refused_or_late);

 private:
  static constexpr double step = 0.1;
  static constexpr double strain = 0.1;
  static constexpr int least_outcomes = 20;
  static constexpr Duration window = std::chrono::seconds(2);

  void close_window(Time now);

  double share_ = 1;
  Time window_start_{};
  int outcomes_ = 0;
  int bad_ = 0;
};

}  // namespace pearspar::dispatch
