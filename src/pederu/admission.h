// Who is served when a service is asked for more than it can do (ours, beside Pyramid, and only where
// narrowing has come to its end): in windows of 2 s, over a quarter of a service's calls refused or late
// gives up a tenth more of the work that it is asked for, under an eighth takes a tenth less. Given up is
// what is worth least for its work: by the operator's rank, 1 / (1 + precedence), over the time that a part
// takes and the number of parts. A gathered request is given up only where too few of its shards are left for
// its floor.
#pragma once

#include <string>
#include <unordered_map>
#include <vector>

#include "catalog/configuration.h"
#include "pederu/types.h"

namespace pearspar::pederu {

class Admission {
 public:
  // How a call has ended; `narrowest`: fewer shards than now may not be asked.
  void outcome(Time now, const std::string& service, bool refused_or_late, bool narrowest);
  // Whether it is served. `services` are its services, `least` of them have to be asked; `part_ms` is what a
  // part takes.
  bool admit(Time now, const catalog::Route& route, const std::vector<std::string>& services,
             std::size_t least, double part_ms);
  // The share of its work that a service gives up.
  double given_up(const std::string& service) const;

 private:
  static constexpr double step = 0.1;
  static constexpr double most = 0.9;  // some are always served: else nobody would learn that it is over
  static constexpr double strain = 0.25;
  static constexpr int least_outcomes = 20;
  static constexpr Duration window = std::chrono::seconds(2);

  struct Asked {
    double worth = 0;    // for its work
    double work = 0;     // this window
    double refused = 0;  // share that is given up
  };
  struct Service {
    Time window_start{};
    int outcomes = 0;
    int bad = 0;
    bool narrowest = true;
    double level = 0;
    std::unordered_map<std::string, Asked> routes;  // by host and prefix; empty while nothing is given up
  };
  void close_window(Time now, Service& service);
  void share_out(Service& service);

  std::unordered_map<std::string, Service> services_;
  int strained_ = 0;  // services that give something up
  std::uint64_t turn_ = 0;
};

}  // namespace pearspar::pederu
