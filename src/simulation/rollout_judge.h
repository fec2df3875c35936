// The judge of roll-outs: told what operators, clients and servers saw, and nothing else. Each broken rule is
// a line that begins with the rule's name.
#pragma once

#include <cstddef>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <utility>
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
  // What a read of a service's roll-out that was begun at `began` gave; 404 where there is none.
  void read(double began, double at, const std::string& service, int status, const std::string& version,
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
  // Of those: bad versions that were delivered.
  std::size_t delivered_bad() const { return delivered_bad_; }
  // Acknowledged orders whose term was over at the end.
  std::size_t judged() const { return judged_; }
  // Whether an acknowledged order for the service, or one without an answer yet, was not read as ended. One
  // that its operator has given up on may be under way for its term, and as long as it was repeated.
  bool under_way(double at, const std::string& service) const;
  // When the newest order for the service was acknowledged; 0 = it was not.
  double acknowledged_at(const std::string& service) const;
  // The operator has given up on an order, which may have been taken.
  void given_up(std::size_t order) { orders_[order].unclear = true; }

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
    bool refused = false;
    bool unclear = false;  // its operator has given up
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
  std::set<std::pair<std::string, std::string>>
      served_;  // services and versions that another one has replaced
  double unsettled_at_ = 0;
  std::size_t missed_ = 0;
  std::size_t delivered_bad_ = 0;
  std::size_t judged_ = 0;
};

}  // namespace pearspar::simulation
