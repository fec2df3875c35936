// The judge of roll-outs: told what operators, clients and servers saw, and nothing else. Each broken rule is
// a line that begins with the rule's name.
#pragma once

#include <cstddef>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace pearspar::simulation {

struct RolloutOrder {
  std::string service;
  std::string version;
  double over_s = 15;  // the operator's term
  bool proper = true;  // to be taken
  bool bad = false;    // the version is: to be returned, else to be delivered
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
  void read(double at, const std::string& service, int status, const std::string& version,
            const std::string& state);

  // A version that serves a service from the start.
  void serves(const std::string& service, const std::string& version) { serving_[service].insert(version); }
  // The core has decided for the version; from then on more than a lease may go to it.
  void decided(const std::string& service, const std::string& version);
  // A request reaches a server.
  void arrived(double at, const std::string& service, const std::string& version, bool in_touch);
  // A server of the version answers badly.
  void answered_badly(double at, const std::string& service, const std::string& version);
  // The core is not settled, or was not a moment ago.
  void unsettled(double at) { unsettled_at_ = at; }
  // At the end: what was to be so when the terms were over. Broken rules only; missed duties are counted.
  void finish(double at);

  bool acknowledged(std::size_t order) const { return orders_[order].acknowledged_at > 0; }
  // The state that was read last.
  const std::string& state(std::size_t order) const { return orders_[order].state; }
  // When the order's state was read as ended for the first time; 0 = never.
  double ended_at(std::size_t order) const { return orders_[order].ended_at; }
  // Requests that the version got in its term, and all that reached the service in it.
  double exposed(std::size_t order) const { return orders_[order].at_version; }
  double requests(std::size_t order) const { return orders_[order].at_service; }
  // Good versions that were not delivered in their term, and bad ones that were not returned.
  std::size_t missed_duties() const { return missed_; }

  double exposure_share = 0.1;
  double exposure_slack = 50;
  double rollback_s = 5;
  double in_touch_s = 4;

 private:
  static constexpr double acknowledged_within_s = 5;
  struct Ordered {
    RolloutOrder order;
    double ordered_at = 0;
    double acknowledged_at = 0;  // 0 = not yet
    bool late = false;           // said already
    bool decided = false;
    std::string state;
    double ended_at = 0;
    double at_service = 0;
    double at_version = 0;
    double at_version_in_touch = 0;
    std::vector<double> bad_answers;
    bool over_half = false;  // said already
    bool over_time = false;
    bool barred = false;
    double term() const { return ordered_at + order.over_s; }
  };
  void check_wait(double at, Ordered& ordered, double calm_s);
  void check_exposure(double at, Ordered& ordered, bool in_touch);
  Ordered* newest(const std::string& service, const std::string& version);

  Broken broken_;
  std::vector<Ordered> orders_;
  std::map<std::string, std::set<std::string>> serving_;
  double unsettled_at_ = 0;
  std::size_t missed_ = 0;
};

}  // namespace pearspar::simulation
