// Losses of members at moments that are chosen: in the middle of an order, of a snapshot, as nodes leave, at
// the end of what a returned member is given to catch up.
#include <algorithm>

#include "simulation/player.h"

namespace pearspar::simulation {

// False where it is another kind.
bool Player::strike_loss(const std::string& kind, std::size_t member, double span) {
  if (kind == "core_freeze_look") {
    cluster_.freeze_core_look(member, span);
    // It meets orders and reads meanwhile, and others move on.
    for (int i = 0; i < 4; ++i)
      in(span * world_.uniform(0, 1), [this] { cluster_.read_back(), cluster_.change(0); });
  } else if (kind == "core_transfer") {
    break_transfer(member, span);
  } else if (kind == "core_cut_near" || kind == "core_cut_lure" || kind == "core_cut_seeds") {
    cut_wide(kind, member, span);
  } else if (kind == "core_disk_30") {
    SimDisk* disk = &cluster_.disk(member);
    double sync = options_.cluster.sync_s, rate = options_.cluster.disk_bytes_s;
    cluster_.disturbed(cluster_.seconds() + span);
    disk->set_sync(Duration(30 * sync));
    disk->set_rate(rate / 30);
    in(span, [disk, sync, rate] { disk->set_sync(Duration(sync)), disk->set_rate(rate); });
  } else if (kind == "core_drain") {
    if (world_.chance(0.3))
      cluster_.wipe_core(member, span);
    else
      cluster_.kill_core(member, span, world_.chance(0.5));
    in(span + world_.uniform(0, 1), [this] { some_nodes_leave(0.3); });
  } else {
    return false;
  }
  return true;
}

void Player::some_nodes_leave(double share) {
  for (std::size_t node = 0; node < cluster_.nodes(); ++node)
    if (world_.chance(share)) cluster_.leave_node(node, 1);
}

// Others beside the core are cut off from it too, or go to it, or are told of it.
void Player::cut_wide(const std::string& kind, std::size_t member, double span) {
  std::string address = cluster_.core_address(member);
  int way = static_cast<int>(world_.below(3));
  cluster_.cut_off(address, way != 1, way != 2);
  in(span, [this, address] { cluster_.heal(address); });
  if (kind == "core_cut_near") return cluster_.cut_far_edges(address, way != 1, way != 2);
  if (kind == "core_cut_lure") {
    for (std::size_t node = 0; node < cluster_.nodes(); ++node) {
      if (!world_.chance(0.4)) continue;
      cluster_.send_node_to(node, member);
      if (world_.chance(0.5)) cluster_.leave_node(node, 1);
    }
    return;
  }
  std::vector<std::string> seeds{address};
  for (std::size_t i = 0; i < cluster_.cores() && seeds.size() < 3; ++i)
    if (i != member && !cluster_.core_gone(i) && world_.chance(0.7))
      seeds.push_back(cluster_.core_address(i));
  cluster_.set_seeds(std::move(seeds));
  for (std::size_t edge = 0; edge < cluster_.edges(); ++edge)
    if (world_.chance(0.5))
      in(span * world_.uniform(0, 0.8), [this, edge] { cluster_.kill_edge(edge, 0.3); });
}

// What a member lacks is on its way to it; then it loses its power again, or its disk is full, or who sends
// it goes. As soon as it has had its time, the next is lost.
void Player::break_transfer(std::size_t member, double span) {
  cluster_.wipe_core(member, span);
  double after = world_.uniform(0.05, 0.4 + catch_up_ - 4);
  int way = static_cast<int>(world_.below(4));
  double held = world_.uniform(0.2, 1);
  in(span + after, [this, member, way, held] {
    say("  transfer " + std::to_string(way));
    if (way == 0) {
      lost(held);
      return cluster_.kill_core(member, held, true);
    }
    if (way == 1) {
      lost(held);
      SimDisk* disk = &cluster_.disk(member);
      disk->set_full(true);
      return in(held, [disk] { disk->set_full(false); });
    }
    int leads = cluster_.leader();
    if (leads < 0) return;
    // That is one more than may be lost with its disk: it keeps it.
    lost_until_.assign(cluster_.member_count(), cluster_.seconds() + held + 1 + catch_up_);
    if (way == 2) return cluster_.kill_core(static_cast<std::size_t>(leads), held);
    cluster_.stop_core(static_cast<std::size_t>(leads), held);
  });
  lose_next(static_cast<int>(member), span + after + held + 1 + catch_up_ + 2 * just_after);
}

// The next loss comes as soon as it may: who has returned counts and holds all by then.
void Player::lose_next(int returned, double in_s) {
  auto commit = std::make_shared<raft::Index>(0);
  auto who = static_cast<std::size_t>(returned);
  int strikes = strikes_[returned];
  bool judged = !struck_before_;
  auto life = std::make_shared<const control_plane::Member*>(nullptr);
  in(in_s - 1, [this, commit, life, who] {
    *life = cluster_.member(who);
    if (int leads = cluster_.leader(); leads >= 0)
      *commit = cluster_.member(static_cast<std::size_t>(leads))->core().commit();
  });
  in(in_s, [this, commit, life, who, returned, strikes, judged] {
    double next = world_.uniform(0.3, 2);
    int other = victim(next, returned);
    if (other < 0) return;
    // Of five it may have been struck again, or before, and not be back.
    if (judged && strikes == strikes_[returned] && *life && cluster_.member(who) == *life &&
        !cluster_.caught_up(who, *commit))
      cluster_.checker().broken("CATCHUP", std::to_string(cluster_.seconds() - 1000) + " s: " +
                                               cluster_.core_address(who) + " lacks what it should hold");
    auto place = static_cast<std::size_t>(other);
    say("  and " + cluster_.core_address(place) + " for " + std::to_string(next).substr(0, 5));
    if (world_.chance(0.6)) return cluster_.wipe_core(place, next);
    cluster_.kill_core(place, next, true);
  });
}

std::vector<int> Player::oldest_first() const {
  std::vector<int> found;
  for (std::size_t i = 0; i < cluster_.cores(); ++i)
    if (!cluster_.core_gone(i)) found.push_back(static_cast<int>(i));
  std::stable_sort(found.begin(), found.end(), [&](int a, int b) {
    return cluster_.disk_since(static_cast<std::size_t>(a)) <
           cluster_.disk_since(static_cast<std::size_t>(b));
  });
  return found;
}

void Player::kill_all(double back_s) {
  bool power = world_.chance(0.5);
  for (std::size_t i = 0; i < cluster_.cores(); ++i)
    if (cluster_.core_up(i)) cluster_.kill_core(i, back_s * world_.uniform(0.5, 1), power);
  lost_until_.assign(cluster_.member_count(), cluster_.seconds() + back_s + catch_up_);
}

// A minority is cut off and starts anew there; then the others do.
void Player::cut_both(double span) {
  std::size_t may = (cluster_.member_count() - 1) / 2;
  std::vector<std::size_t> away;
  for (int tries = 0; tries < 10 && away.size() < may; ++tries) {
    auto member = static_cast<std::size_t>(draw_member());
    if (cluster_.core_up(member) && std::find(away.begin(), away.end(), member) == away.end())
      away.push_back(member);
  }
  for (std::size_t i = 0; i < cluster_.cores(); ++i) {
    bool cut = std::find(away.begin(), away.end(), i) != away.end();
    if (cut) {
      std::string address = cluster_.core_address(i);
      cluster_.cut_off(address, true, true);
      in(span, [this, address] { cluster_.heal(address); });
    }
    const bool power = world_.chance(0.5);
    in(span * (cut ? 0.3 : 0.6) + world_.uniform(0, 0.4), [this, i, power] {
      if (cluster_.core_up(i)) cluster_.kill_core(i, world_.uniform(0.1, 0.5), power);
    });
  }
  lost_until_.assign(cluster_.member_count(), cluster_.seconds() + span + 1 + catch_up_);
}

// As soon as a member is being sent what it lacks.
void Player::await_transfer(double until_s, double span) {
  if (!cluster_.transfer_under_way() && cluster_.seconds() < until_s)
    return in(0.002, [this, until_s, span] { await_transfer(until_s, span); });
  say("  now");
  in(world_.uniform(0, 0.2 + (catch_up_ - 4) / 2), [this, span] { kill_all(span); });
}

// False where it is another kind.
bool Player::strike_all(const std::string& kind, double span) {
  if (kind == "core_cut_both") {
    cut_both(span);
  } else if (kind.starts_with("core_timed")) {
    // From 5 to 400 ms after an order was sent, answered or not.
    lost_until_.assign(cluster_.member_count(), cluster_.seconds() + 2 + catch_up_);
    cluster_.change(static_cast<int>(world_.below(2)));
    in(world_.uniform(0.005, 0.4), [this, kind] { lose_after_word(kind); });
  } else if (kind == "core_kill_order") {
    lost_until_.assign(cluster_.member_count(), cluster_.seconds() + 2 + catch_up_);
    race(1 + static_cast<int>(world_.below(3)), -1, false);
    in(world_.uniform(0.001, world_.chance(0.5) ? 0.02 : 0.4), [this, span] { kill_all(span); });
  } else if (kind == "core_kill_snapshot") {
    auto member = static_cast<std::size_t>(draw_member());
    if (!cluster_.core_up(member)) return true;
    lost_until_.assign(cluster_.member_count(), cluster_.seconds() + 2 * span + 3 + 2 * catch_up_);
    cluster_.wipe_core(member, 0.3);
    in(0.3, [this, span] { await_transfer(cluster_.seconds() + 1.5, span); });
  } else {
    return false;
  }
  return true;
}

}  // namespace pearspar::simulation
