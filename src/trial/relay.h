// Stands between the brokers of a fleet: each is known to the others under an address of the relay's, and
// each datagram is known by its source, so every ordered pair can have a way of its own. Chances come from a
// seed.
#pragma once

#include <cstdint>
#include <map>
#include <random>
#include <string>
#include <vector>

#include "net/loop.h"
#include "net/socket.h"

namespace pearspar::trial {

struct Way {
  double loss = 0;
  net::Duration delay{};
  net::Duration jitter{};
  double twice = 0;
  double spoilt = 0;
  bool cut = false;
};

struct RelayCounters {
  std::uint64_t came = 0, passed = 0, lost = 0, cut = 0, unknown = 0, noise = 0;
};

class Relay {
 public:
  Relay(net::Loop& loop, std::uint64_t seed) : loop_(loop), random_(seed) {}

  // A place: its broker really listens at `behind`. Gives its number; known() is what others are told.
  int add(const net::Address& behind);
  net::Address known(int place) const { return places_[static_cast<std::size_t>(place)].known; }

  void set_all(const Way& way);
  void set(int from, int to, const Way& way) { ways_[{from, to}] = way; }
  // Datagrams that are nobody's, so many a second: bytes by chance, spoilt copies of what passed, envelopes
  // of others.
  void noise(int to, double per_s, net::Duration for_time);
  const RelayCounters& counters() const { return counters_; }

 private:
  struct Place {
    net::Fd fd;
    net::Watch watch;
    net::Address behind;
    net::Address known;
    std::string last;  // that came for it
  };
  struct Waiting {
    int from = 0;
    int to = 0;
    std::string bytes;
  };
  void readable(int to);
  void pass(int from, int to, const std::string& bytes);
  void arm();
  void make_noise(int to, double per_s, net::Time until);
  bool chance(double share) {
    return share > 0 && std::uniform_real_distribution<double>(0, 1)(random_) < share;
  }

  net::Loop& loop_;
  std::mt19937_64 random_;
  std::vector<Place> places_;
  std::map<std::pair<std::uint32_t, std::uint16_t>, int> sources_;
  Way all_;
  std::map<std::pair<int, int>, Way> ways_;
  std::multimap<net::Time, Waiting> waiting_;
  net::Timer timer_;
  std::map<int, net::Timer> noises_;
  RelayCounters counters_;
};

}  // namespace pearspar::trial
