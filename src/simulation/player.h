// Plays one schedule: changes and troubles, within what the core can bear. Inside this package only.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "simulation/schedule.h"
#include "simulation/troubles.h"

namespace pearspar::simulation {

// The core bears the loss of a minority at once; a member counts as lost for `catch_up_` after it is back:
// four seconds, and what a large state needs to get to it.
class Player {
 public:
  Player(const ScheduleOptions& options, Cluster& cluster, Outcome& outcome);
  void start();
  // Nothing is cut, frozen, slow or lost any more.
  void mend();

 private:
  static constexpr double just_after = 0.001;

  bool over() const { return left() <= 0; }
  double left() const { return 1000 + options_.troubled_s - cluster_.seconds(); }
  void in(double span, std::function<void()> what) { world_.in(Duration(span), std::move(what)); }
  void say(const std::string& what);
  void trouble();
  void tell_core();

  // schedule_core.cpp: one of the core, or all.
  bool none_lost();
  bool may_lose();
  void lost(double for_s) { lost_until_.push_back(cluster_.seconds() + for_s + catch_up_); }
  int victim(double for_s, int but = -1);
  int draw_member();
  void strike_member(const Trouble& trouble, double span);
  void strike_disk(const std::string& kind, std::size_t member, double span);
  void cut(const std::string& kind, std::size_t member, double span);
  void old_disk(const std::string& kind, std::size_t member, double span);
  void blink(std::size_t member, double span, int times);
  void leave(std::size_t member, double started);
  void strike_core(const Trouble& trouble, double span);
  void turns();
  void after_word(const std::string& kind);
  void lose_after_word(const std::string& kind);
  void exchange_seeds(std::size_t member, double span);
  void strike_edge(const Trouble& trouble, double span);
  void strike_node(const std::string& kind, double span);

  // schedule_losses.cpp: of members and their disks, at chosen moments.
  bool strike_loss(const std::string& kind, std::size_t member, double span);
  bool strike_all(const std::string& kind, double span);
  void cut_wide(const std::string& kind, std::size_t member, double span);
  void cut_both(double span);
  void some_nodes_leave(double share);
  void break_transfer(std::size_t member, double span);
  void lose_next(int returned, double in_s);
  void kill_all(double back_s);
  void await_transfer(double until_s, double span);
  std::vector<int> oldest_first() const;

  // schedule_beside.cpp: nothing is lost by these.
  void strike_beside(const std::string& kind, double span);

  // schedule_orders.cpp
  void change();
  void meet(std::size_t member, double span);
  void race(int count, int first, bool again);
  void storm();
  void ahead();
  void everywhere();
  void strike_orders(const std::string& kind, double span);

  // schedule_rollouts.cpp
  void order_rollouts();

  const ScheduleOptions& options_;
  Cluster& cluster_;
  World& world_;
  Outcome& outcome_;
  double catch_up_;
  std::vector<double> lost_until_;
  std::map<int, int> strikes_;  // by member
  std::map<int, double> struck_until_;
  bool struck_before_ = false;  // the last victim, by another trouble that still lasts
  std::vector<const Trouble*> kinds_;
  int answered_last_ = -1;  // the member that gave the last clear answer
  std::string after_word_;  // what follows on the next one
  double orders_lost_until_ = 0;
  int last_version_ = 1;  // of a roll-out; the servers of the start are of the first
  bool cut_ = false;
  bool leaving_ = false;  // a successor stands, or comes
  std::string told_core_;
};

}  // namespace pearspar::simulation
