// Buckets of half an octave in which latencies are counted: few enough for a message, fine enough to tell an
// answer that takes several times as long.
#pragma once

#include <algorithm>
#include <cmath>

#include "rollout/messages.h"

namespace pearspar::rollout {

inline constexpr double first_bucket_ms = 1;
inline constexpr LatencyBucket last_bucket = 48;  // over four hours

// Bucket b > 0 holds latencies from first_bucket_ms * 2^((b-1)/2) on; 0 all below.
inline LatencyBucket bucket_of(double ms) {
  if (ms < first_bucket_ms) return 0;
  double octaves = std::log2(ms / first_bucket_ms);
  return static_cast<LatencyBucket>(std::min<double>(last_bucket, std::floor(octaves * 2) + 1));
}

// The least latency of a bucket.
inline double bucket_floor_ms(LatencyBucket bucket) {
  return bucket == 0 ? 0 : first_bucket_ms * std::exp2((bucket - 1) / 2.0);
}

}  // namespace pearspar::rollout
