// Simulated time: events in order, and one source of randomness. The same seed gives the same run.
#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <random>
#include <utility>

namespace pearspar::simulation {

using Duration = std::chrono::duration<double>;
using Time = std::chrono::time_point<std::chrono::steady_clock, Duration>;

class World {
 public:
  explicit World(std::uint64_t seed) : random_(seed) {}

  Time now() const { return now_; }
  void at(Time when, std::function<void()> what) {
    events_.emplace(std::pair(std::max(when, now_), ++next_), std::move(what));
  }
  void in(Duration span, std::function<void()> what) { at(now_ + span, std::move(what)); }
  void run_until(Time end) {
    while (!events_.empty() && events_.begin()->first.first <= end) {
      auto event = events_.extract(events_.begin());
      now_ = event.key().first;
      event.mapped()();
    }
    now_ = end;
  }

  double uniform(double from, double to) { return std::uniform_real_distribution<double>(from, to)(random_); }
  std::uint64_t below(std::uint64_t bound) { return bound == 0 ? 0 : random_() % bound; }
  bool chance(double p) { return uniform(0, 1) < p; }
  std::uint64_t number() { return random_(); }

 private:
  Time now_{Duration(1000)};
  std::uint64_t next_ = 0;
  std::map<std::pair<Time, std::uint64_t>, std::function<void()>> events_;
  std::mt19937_64 random_;
};

}  // namespace pearspar::simulation
