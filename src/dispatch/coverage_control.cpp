#include "dispatch/coverage_control.h"

#include <algorithm>

namespace pearspar::dispatch {

void CoverageControl::close_window(Time now) {
  if (outcomes_ >= min_outcomes) {
    double bad_ratio = static_cast<double>(bad_outcomes_) / outcomes_;
    if (bad_ratio > overload_ratio)
      share_ = std::max(share_step, share_ - share_step);
    else if (bad_ratio < overload_ratio / 2)
      share_ = std::min(1.0, share_ + share_step);
  }
  window_start_ = now;
  outcomes_ = bad_outcomes_ = 0;
}

void CoverageControl::record_outcome(Time now, bool refused_or_late) {
  if (now - window_start_ >= window) close_window(now);
  ++outcomes_;
  if (refused_or_late) ++bad_outcomes_;
}

}  // namespace pearspar::dispatch
