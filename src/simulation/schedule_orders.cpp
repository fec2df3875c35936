// Orders of a schedule: the usual ones, and those that come at bad moments.
#include "simulation/player.h"

namespace pearspar::simulation {

void Player::change() {
  if (over()) return;
  in(options_.change_every_s * world_.uniform(0.3, 1.7), [this] { change(); });
  int who = static_cast<int>(world_.below(2));
  cluster_.change(who);
  if (world_.chance(0.4)) cluster_.change(1 - who);
  if (world_.chance(0.5)) cluster_.read_back();
}

// A member that is away meets an order while it is, and as it returns: one, two at once, or one again and
// again until it answers.
void Player::meet(std::size_t member, double span) {
  auto place = static_cast<int>(member);
  Cluster::Order order;
  order.first = place;
  order.author = static_cast<int>(world_.below(2));
  int way = static_cast<int>(world_.below(3));
  auto send = [this, order, way, place]() mutable {
    if (way == 0 || way == 2) {
      order.on_top_of = cluster_.newest_seen(order.author);
      order.revision = order.on_top_of + 1 + world_.below(3);
      order.only_there = way == 2;
      order.every_s = way == 2 ? world_.uniform(0.05, 0.3) : 0;
      cluster_.order(order);
    } else {
      race(2, place, false);
    }
    cluster_.read_back();
  };
  in(span * world_.uniform(0, 1), send);
  in(span + world_.uniform(-0.02, 0.05), send);
}

// So many different texts under one number, at members of their own within a millisecond.
void Player::race(int count, int first, bool again) {
  std::uint64_t newest = 0;
  for (int i = 0; i < 2; ++i) newest = std::max(newest, cluster_.newest_seen(i));
  std::uint64_t revision = newest + 1 + world_.below(3);
  for (int i = 0; i < count; ++i) {
    Cluster::Order order;
    order.author = i % 2;
    order.on_top_of = newest;
    order.revision = revision;
    order.first = first >= 0 && i == 0 ? first : static_cast<int>(world_.below(cluster_.cores()));
    order.every_s = again ? 0.2 : 0;
    in(world_.uniform(0, 0.001), [this, order] { cluster_.order(order); });
  }
}

void Player::storm() {
  int count = 20 + static_cast<int>(world_.below(world_.chance(0.2) ? 181 : 41));
  double at = 0;
  for (int i = 0; i < count && at < left(); ++i) {
    at += world_.uniform(0.08, 0.2);
    in(at, [this, who = i % 2] { cluster_.change(who); });
  }
}

// Each on the one before, which nobody has confirmed.
void Player::ahead() {
  int count = 2 + static_cast<int>(world_.below(3));
  Cluster::Order order;
  order.author = static_cast<int>(world_.below(2));
  order.on_top_of = cluster_.newest_seen(order.author);
  for (int i = 0; i < count; ++i) {
    order.revision = order.on_top_of + 1 + world_.below(2);
    order.first = world_.chance(0.5) ? static_cast<int>(world_.below(cluster_.cores())) : -1;
    in(world_.uniform(0, 0.02), [this, order] { cluster_.order(order); });
    order.on_top_of = order.revision;
  }
}

// To every member at once; at times another under the same number.
void Player::everywhere() {
  int count = world_.chance(0.3) ? 2 : 1;
  Cluster::Order order;
  order.author = static_cast<int>(world_.below(2));
  order.on_top_of = cluster_.newest_seen(order.author);
  order.revision = order.on_top_of + 1 + world_.below(3);
  for (int i = 0; i < count; ++i) cluster_.order_everywhere(order);
}

void Player::strike_orders(const std::string& kind, double span) {
  say(kind);
  if (kind == "orders_storm") return storm();
  if (kind == "orders_race") {
    const bool again = world_.chance(0.3);
    return race(2 + static_cast<int>(world_.below(7)), -1, again);
  }
  if (kind == "orders_ahead") return ahead();
  if (kind == "orders_all") return everywhere();
  cluster_.lose_answers(world_.uniform(0.3, 0.9));
  cluster_.disturbed(cluster_.seconds() + span);
  orders_lost_until_ = std::max(orders_lost_until_, cluster_.seconds() + span);
  in(span, [this] {
    if (cluster_.seconds() >= orders_lost_until_ - 1e-9) cluster_.lose_answers(0);
  });
  // Some of them meet a race, with answers that are lost.
  if (world_.chance(0.5)) in(span / 2, [this] { race(4, -1, true); });
}

}  // namespace pearspar::simulation
