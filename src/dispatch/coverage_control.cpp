#include "dispatch/coverage_control.h"

#include <algorithm>

namespace pearspar::dispatch {

void CoverageControl::close_window(Time now) {
  if (outcomes_ >= least_outcomes) {
    double bad = static_cast<double>(bad_) / outcomes_;
    if (bad > strain)
      share_ = std::max(step, share_ - step);
    else if (bad < strain / 2)
      share_ = std::min(1.0, share_ + step);
  }
  window_start_ = now;
  outcomes_ = bad_ = 0;
}

void CoverageControl::outcome(Time now, bool refused_or_late) {
  if (now - window_start_ >= window) close_window(now);
  ++outcomes_;
  if (refused_or_late) ++bad_;
}

}  // namespace pearspar::dispatch
