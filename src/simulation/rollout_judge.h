// The judge of roll-outs: told what operators, clients and servers saw, and nothing else. Each broken rule is
// a line that begins with the rule's name.
#pragma once

#include <cstddef>
#include <functional>
#include <string>
#include <vector>

namespace pearspar::simulation {

struct RolloutOrder {
  std::string service;
  std::string version;
  double over_s = 15;  // the operator's term
  bool proper = true;  // to be taken
};

class RolloutJudge {
 public:
  using Broken = std::function<void(const std::string& rule, const std::string& what)>;
  explicit RolloutJudge(Broken broken) : broken_(std::move(broken)) {}

  // An order goes out for the first time. Returns its number.
  std::size_t ordered(double at, const RolloutOrder& order);
  // A definite answer: `calm_s` is for how long the core could have given one.
  void answered(double at, std::size_t order, int status, double calm_s);
  // No definite answer yet.
  void still_waiting(double at, std::size_t order, double calm_s);
  // What a read of a service's roll-out gave; 404 where there is none.
  void read(double at, const std::string& service, int status, const std::string& version);

  bool acknowledged(std::size_t order) const { return orders_[order].acknowledged_at > 0; }

 private:
  static constexpr double acknowledged_within_s = 5;
  struct Ordered {
    RolloutOrder order;
    double ordered_at = 0;
    double acknowledged_at = 0;  // 0 = not yet
    bool late = false;           // said already
  };
  void check_wait(double at, Ordered& ordered, double calm_s);

  Broken broken_;
  std::vector<Ordered> orders_;
};

}  // namespace pearspar::simulation
