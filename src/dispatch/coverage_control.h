// Coverage control: the share of shard weight that gathered requests query. It is 1 in normal operation and
// is reduced while too many shard calls are refused or time out.
#pragma once

#include <algorithm>

#include "dispatch/types.h"

namespace pearspar::dispatch {

class CoverageControl {
 public:
  // The share of shard weight to query, in (0, 1].
  double share() const { return share_; }
  // Sets the starting value: the average of the other edges, so that a restarted edge does not add load to
  // services that they have already reduced.
  void set_initial(double share) { share_ = std::clamp(share, share_step, 1.0); }
  // Records the result of a shard call. The share is adjusted when a window closes.
  void record_outcome(Time now, bool refused_or_late);

 private:
  static constexpr double share_step = 0.1;
  static constexpr double overload_ratio =
      0.1;                                 // of bad calls: above it the share falls, under half it rises
  static constexpr int min_outcomes = 20;  // windows with fewer calls leave the share as it is
  static constexpr Duration window = std::chrono::seconds(2);

  void close_window(Time now);

  double share_ = 1;
  Time window_start_{};
  int outcomes_ = 0;
  int bad_outcomes_ = 0;
};

}  // namespace pearspar::dispatch
