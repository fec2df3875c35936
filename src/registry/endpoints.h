// Which member of the registry to ask, when, and whether to believe one that tells of another history. Free
// of I/O: the time is given, chance comes from the seed.
#pragma once

#include <cstdint>
#include <optional>
#include <random>
#include <vector>

#include "net/clock.h"

namespace pearspar::registry {

struct Pacing {
  net::Duration first =
      std::chrono::milliseconds(20);  // before a try after a failure, doubled with each in a row
  net::Duration longest = std::chrono::milliseconds(400);  // and never longer
};

class Endpoints {
 public:
  // `count` of them, at least one. Each broker goes through them in an order of its own.
  Endpoints(int count, const Pacing& pacing, std::uint64_t seed);

  // The one to ask next: the fewest failures in a row, then the one asked longest ago.
  int choose();
  int size() const { return static_cast<int>(members_.size()); }

  void failed(int endpoint);
  void worked(int endpoint) { members_[static_cast<std::size_t>(endpoint)].failures = 0; }
  // All is well for a while: pauses begin small again.
  void settled() { failures_ = 0; }

  // How long to wait before the next try, wherever it goes: all endpoints share one pace. Counts as a
  // failure.
  net::Duration pause();

  // Between 0.75 and 1.25, so that what many brokers do every so often they do not do together.
  double spread() { return std::uniform_real_distribution<double>(0.75, 1.25)(random_); }

  // An endpoint spoke of another history: another cluster, or of a revision or term before what is known.
  void doubted(net::Time now, int endpoint, std::uint64_t cluster);
  // An endpoint knows the history that we know: whoever doubted it is wrong.
  void vouched();
  // Whether that other history is the truth: every endpoint was asked since, none knew ours, and what was
  // heard was heard twice at least. Where some could not be reached, they are given a second to be back: one
  // stray endpoint must not take over in a moment's outage of the others.
  bool believe(net::Time now, std::uint64_t cluster) const;
  int doubts() const { return doubts_; }

 private:
  enum class Heard { nothing, failure, doubt };
  struct Endpoint {
    int failures = 0;
    std::uint64_t asked = 0;
    Heard heard = Heard::nothing;
    std::uint64_t cluster = 0;
  };
  Pacing pacing_;
  std::mt19937_64 random_;
  std::vector<Endpoint> members_;
  std::uint64_t asked_ = 0;
  int failures_ = 0;
  int doubts_ = 0;
  net::Time first_doubt_{};
};

}  // namespace pearspar::registry
