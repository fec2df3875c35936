// Troubles of the core, of edges and of nodes.
#include <algorithm>

#include "simulation/player.h"

namespace pearspar::simulation {

bool Player::none_lost() {
  std::erase_if(lost_until_, [&](double until) { return until < cluster_.seconds(); });
  return lost_until_.empty() && after_word_.empty();
}

bool Player::may_lose() {
  std::erase_if(lost_until_, [&](double until) { return until < cluster_.seconds(); });
  return lost_until_.size() < (cluster_.member_count() - 1) / 2 && after_word_.empty();
}

// The leader, the one that answered last, one of the first three, or any.
int Player::draw_member() {
  double draw = world_.uniform(0, 1);
  if (draw < 0.4 && cluster_.leader() >= 0) return cluster_.leader();
  if (draw < 0.55 && answered_last_ >= 0) return answered_last_;
  if (draw < 0.65) return static_cast<int>(world_.below(3));
  return static_cast<int>(world_.below(cluster_.cores()));
}

// A member that may be lost now; -1 where none may.
int Player::victim(double for_s, int but) {
  if (!may_lose()) return -1;
  for (int tries = 0; tries < 10; ++tries) {
    int member = draw_member();
    if (member == but || !cluster_.core_up(static_cast<std::size_t>(member))) continue;
    lost(for_s);
    ++strikes_[member];
    double& until = struck_until_[member];
    struck_before_ = until > cluster_.seconds();
    until = std::max(until, cluster_.seconds() + for_s);
    return member;
  }
  return -1;
}

void Player::strike_member(const Trouble& trouble, double span) {
  std::string kind = trouble.name;
  if (kind == "core_leave") {
    if (!may_lose() || leaving_) return;
    int member = draw_member();
    if (!cluster_.core_up(static_cast<std::size_t>(member))) return;
    say(kind + " " + cluster_.core_address(static_cast<std::size_t>(member)));
    leaving_ = true;
    cluster_.add_core(0);
    double started = cluster_.seconds();
    return in(span, [this, member, started] { leave(static_cast<std::size_t>(member), started); });
  }
  int core = victim(span);
  if (core < 0) return;
  auto at = static_cast<std::size_t>(core);
  say(kind + " " + cluster_.core_address(at) + (core == cluster_.leader() ? " (leads)" : "") + " for " +
      std::to_string(span).substr(0, 5));
  if (world_.chance(0.5)) meet(at, span);
  if (strike_loss(kind, at, span)) return;
  if (kind == "core_kill") return cluster_.kill_core(at, span);
  if (kind == "core_power") return cluster_.kill_core(at, span, true);
  if (kind == "core_wipe") return cluster_.wipe_core(at, span);
  if (kind == "core_replace") return cluster_.replace_core(at, span);
  if (kind == "core_stop") return cluster_.stop_core(at, span);
  if (kind == "core_seeds") return exchange_seeds(at, span);
  if (kind == "core_blink") return blink(at, span, 1 + static_cast<int>(world_.below(4)));
  if (kind.starts_with("core_freeze_word"))
    return cluster_.freeze_core_at(at, static_cast<int>(world_.below(3)), span);
  if (kind.starts_with("core_freeze")) return cluster_.freeze_core(at, span);
  if (kind.starts_with("core_cut")) return cut(kind, at, span);
  if (kind == "core_past_disk" || kind == "core_late_disk") return old_disk(kind, at, span);
  if (kind.starts_with("core_disk")) return strike_disk(kind, at, span);
  // core_wipe_again: the next loss comes as soon as it may.
  cluster_.wipe_core(at, span);
  lose_next(core, span + catch_up_ + just_after);
}

// A disk comes back as it was a while ago: from a copy; or another was in its place meanwhile.
void Player::old_disk(const std::string& kind, std::size_t member, double span) {
  raft::PersistentState kept = cluster_.disk(member).kept();
  constexpr double swap = 0.3;
  if (kind == "core_late_disk") cluster_.wipe_core(member, swap);
  in(span, [this, member, kept = std::move(kept)] {
    if (cluster_.core_up(member)) cluster_.kill_core(member, swap, true);
    cluster_.disk(member).put_back(kept);
  });
  lost_until_.back() += swap;
}

// Killed and back at once, more than once.
void Player::blink(std::size_t member, double span, int times) {
  if (times == 0) return;
  cluster_.kill_core(member, span, world_.chance(0.3));
  in(span + world_.uniform(0.01, 0.4), [this, member, span, times] { blink(member, span, times - 1); });
}

// Its successor stands. It counts until the successor has had its time.
void Player::leave(std::size_t member, double started) {
  if (!cluster_.core_up(member)) return static_cast<void>(leaving_ = false);
  double owed = started + catch_up_ - cluster_.seconds();
  if (!may_lose()) return in(0.3, [this, member, started] { leave(member, started); });
  if (owed > 0) lost(owed - catch_up_);
  leaving_ = false;
  say("  leaves: " + cluster_.core_address(member));
  cluster_.stop_core(member, -1);
  if (world_.chance(0.5)) cluster_.change(static_cast<int>(world_.below(2)));
}

void Player::cut(const std::string& kind, std::size_t member, double span) {
  std::string address = cluster_.core_address(member);
  if (kind == "core_cut_callers") {
    int way = static_cast<int>(world_.below(3));
    cluster_.cut_callers(member, way != 1, way != 0);
    return in(span, [this, member] { cluster_.cut_callers(member, false, false); });
  }
  in(span, [this, address] { cluster_.heal(address); });
  if (kind == "core_cut_one") {
    std::string other =
        cluster_.core_address((member + 1 + world_.below(cluster_.cores() - 1)) % cluster_.cores());
    cluster_.disturbed(cluster_.seconds());
    int way = static_cast<int>(world_.below(3));
    if (way != 1) cluster_.net().cut(address, other);
    if (way != 0) cluster_.net().cut(other, address);
    return;
  }
  bool in = !kind.starts_with("core_cut_out"), out = !kind.starts_with("core_cut_in");
  cluster_.cut_off(address, in, out);
}

void Player::strike_disk(const std::string& kind, std::size_t member, double span) {
  SimDisk* disk = &cluster_.disk(member);
  if (kind.starts_with("core_disk_full")) {
    disk->set_full(true);
    return in(span, [disk] { disk->set_full(false); });
  }
  cluster_.disturbed(cluster_.seconds() + span);
  if (kind.starts_with("core_disk_stall")) return disk->stall_until(world_.now() + Duration(span));
  disk->set_sync(Duration(0.1));
  in(span, [disk, sync = options_.cluster.sync_s] { disk->set_sync(Duration(sync)); });
}

void Player::exchange_seeds(std::size_t member, double span) {
  std::vector<std::string> seeds;
  for (std::size_t i = 0; i < cluster_.cores(); ++i)
    if (!cluster_.core_gone(i))
      seeds.insert(world_.chance(0.5) ? seeds.begin() : seeds.end(), cluster_.core_address(i));
  // The one that is about to go stands first.
  std::erase(seeds, cluster_.core_address(member));
  seeds.insert(seeds.begin(), cluster_.core_address(member));
  if (seeds.size() > 3) seeds.resize(3);
  cluster_.set_seeds(std::move(seeds));
  cluster_.kill_core(member, span);
  for (std::size_t edge = 0; edge < cluster_.edges(); ++edge)
    if (world_.chance(0.3)) cluster_.kill_edge(edge, world_.uniform(0.1, 0.5));
}

void Player::strike_core(const Trouble& trouble, double span) {
  if (!none_lost()) return;
  std::string kind = trouble.name;
  say(kind);
  if (strike_all(kind, span)) return;
  if (kind == "core_turns") return turns();
  if (kind.starts_with("core_ack")) return after_word(kind);
  bool power = world_.chance(0.5);
  bool all = kind == "core_kill_all";
  for (std::size_t i = 0; i < cluster_.cores(); ++i)
    if (cluster_.core_up(i) && (all || world_.chance(0.7)))
      cluster_.kill_core(i, span * world_.uniform(0.5, 1), power);
  lost_until_.assign(cluster_.member_count(), cluster_.seconds() + span + catch_up_);
}

// Each in its turn, as an operator restarts a core; at times with orders all the while.
void Player::turns() {
  double at = 0;
  std::size_t first = world_.below(cluster_.cores());
  for (std::size_t i = 0; i < cluster_.cores(); ++i) {
    std::size_t member = (first + i) % cluster_.cores();
    if (cluster_.core_gone(member)) continue;
    in(at, [this, member] {
      if (cluster_.core_up(member)) cluster_.stop_core(member, world_.uniform(0.1, 0.6));
      if (world_.chance(0.5)) cluster_.change(static_cast<int>(world_.below(2)));
    });
    at += world_.uniform(0.8, 3);
  }
  lost_until_.assign(cluster_.member_count(), cluster_.seconds() + at + catch_up_);
  if (world_.chance(0.4)) storm();
}

// The fault comes with the next clear answer to an operator.
void Player::after_word(const std::string& kind) {
  after_word_ = kind;
  cluster_.change(static_cast<int>(world_.below(2)));
  in(3, [this] { after_word_.clear(); });
}

// All lose their power; or a minority its disks, at times while the others lose their power.
void Player::lose_after_word(const std::string& kind) {
  bool oldest = kind.ends_with("oldest");
  bool wipe = oldest || kind.ends_with("wipe");
  bool power = !wipe || world_.chance(0.5);
  std::size_t may = wipe ? (cluster_.member_count() - 1) / 2 : 0;
  say("  now");
  // Of those that know what was answered, first who answered and who leads.
  std::vector<int> first{answered_last_, cluster_.leader(), draw_member()};
  if (oldest) first = oldest_first();
  for (int member : first) {
    if (may == 0 || member < 0 || !cluster_.core_up(static_cast<std::size_t>(member))) continue;
    cluster_.wipe_core(static_cast<std::size_t>(member), world_.uniform(0.2, 1));
    --may;
  }
  for (std::size_t i = 0; power && i < cluster_.cores(); ++i)
    if (cluster_.core_up(i)) cluster_.kill_core(i, world_.uniform(0.2, 1), true);
  lost_until_.assign(cluster_.member_count(), cluster_.seconds() + 1 + catch_up_);
}

void Player::strike_edge(const Trouble& trouble, double span) {
  std::string kind = trouble.name;
  std::size_t edge = world_.below(cluster_.edges());
  say(kind + " " + std::to_string(edge));
  if (kind == "edge_kill") return cluster_.kill_edge(edge, world_.uniform(0.2, 1));
  if (kind == "edge_freeze") return cluster_.freeze_edge(edge, span);
  std::string address = cluster_.edge_address(edge);
  cluster_.cut_off(address, true, true, world_.chance(0.5));
  cluster_.edges_disturbed(cluster_.seconds() + span);
  in(span, [this, address] { cluster_.heal(address); });
}

void Player::strike_node(const std::string& kind, double span) {
  std::size_t node = world_.below(cluster_.nodes());
  say(kind + " " + std::to_string(node));
  if (kind == "node_crash") return cluster_.crash_node(node, span, false);
  if (kind == "node_dark") return cluster_.crash_node(node, span, true);
  if (kind == "node_slow") return cluster_.slow_node(node, 8, span);
  if (kind == "node_leave") return cluster_.leave_node(node, 1);
  if (kind == "index_cut" && !cut_) {
    cut_ = true;
    cluster_.cut_index(options_.cluster.shards + 2);
  }
}

}  // namespace pearspar::simulation
