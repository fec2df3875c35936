#include "simulation/troubles.h"

#include <algorithm>

namespace pearspar::simulation {

const std::vector<Trouble>& troubles() {
  constexpr auto member = Befalls::member, core = Befalls::core, edge = Befalls::edge, node = Befalls::node,
                 orders = Befalls::orders, beside = Befalls::beside;
  static const std::vector<Trouble> all = {
      {"core_kill", member, 0.3, 4},
      {"core_power", member, 0.3, 4},
      {"core_wipe", member, 0.3, 4},
      {"core_freeze", member, 0.3, 4},
      {"core_replace", member, 0.3, 4},
      {"core_cut", member, 0.3, 4},
      {"core_cut_in", member, 0.3, 4},
      {"core_cut_out", member, 0.3, 4},
      {"core_disk_stall", member, 0.3, 4},
      {"core_disk_full", member, 0.3, 4},
      {"core_disk_slow", member, 0.3, 4},
      {"core_kill_all", core, 0.2, 1},
      {"edge_kill", edge, 0.3, 4},
      {"edge_freeze", edge, 0.3, 4},
      {"edge_cut", edge, 0.3, 4},
      {"node_crash", node, 0.3, 4},
      {"node_dark", node, 0.3, 4},
      {"node_slow", node, 0.3, 4},
      {"node_leave", node, 0.3, 4},
      {"index_cut", node, 0.3, 4},
      // Long ones.
      {"core_cut_long", member, 4, 22},
      {"core_cut_in_long", member, 4, 22},
      {"core_cut_out_long", member, 4, 22},
      {"core_cut_one", member, 1, 22},
      {"core_cut_callers", member, 1, 22},
      {"core_freeze_long", member, 4, 22},
      {"core_disk_stall_long", member, 4, 12},
      {"core_disk_full_long", member, 4, 22},
      {"core_disk_slow_long", member, 4, 22},
      {"edge_cut_long", edge, 4, 22},
      // In the middle of something.
      {"core_freeze_word", member, 0.2, 4},
      {"core_blink", member, 0.03, 0.15},
      {"core_wipe_again", member, 0.3, 2},
      {"core_past_disk", member, 0.5, 6},
      {"core_late_disk", member, 0.5, 6},
      {"core_ack_power", core, 0.2, 1},
      {"core_ack_wipe", core, 0.2, 1},
      {"core_freeze_look", member, 0.5, 3},
      {"core_transfer", member, 0.3, 2},
      {"core_ack_oldest", core, 0.2, 1},
      {"core_timed_power", core, 0.2, 1},
      {"core_timed_wipe", core, 0.2, 1},
      {"core_timed_oldest", core, 0.2, 1},
      {"core_kill_order", core, 0.2, 1},
      {"core_kill_snapshot", core, 0.2, 1},
      // Cuts that others meet too.
      {"core_cut_near", member, 1, 22},
      {"core_cut_lure", member, 1, 22},
      {"core_cut_seeds", member, 1, 12},
      {"core_cut_both", core, 2, 10},
      {"core_disk_30", member, 5, 20},
      {"core_drain", member, 0.3, 3},
      // Nothing is lost.
      {"core_slow", beside, 5, 20},
      {"core_clock_step", beside, 2, 8},
      {"link_reset", beside, 0, 0.1},
      {"edge_kill_all", beside, 0.1, 1},
      // Planned work.
      {"core_stop", member, 0.2, 2},
      {"core_turns", core, 0.8, 3},
      {"core_leave", member, 0.3, 6},
      {"core_seeds", member, 0.1, 1},
      {"core_kill_many", core, 0.2, 1},
      // Orders.
      {"orders_storm", orders, 0.08, 0.2},
      {"orders_race", orders, 0, 0.001},
      {"orders_ahead", orders, 0, 0.1},
      {"orders_lost", orders, 0.5, 4},
      {"orders_all", orders, 0, 0.1},
  };
  return all;
}

const Trouble* find_trouble(std::string_view name) {
  auto found = std::find_if(troubles().begin(), troubles().end(),
                            [&](const Trouble& trouble) { return trouble.name == name; });
  return found == troubles().end() ? nullptr : &*found;
}

}  // namespace pearspar::simulation
