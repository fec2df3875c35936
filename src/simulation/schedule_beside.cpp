// Troubles by which no member is lost: the core goes on through them.
#include "simulation/player.h"

namespace pearspar::simulation {
namespace {

// Five times a turn of some 0.3 ms.
constexpr double slow_event_s = 0.0015;

}  // namespace

void Player::strike_beside(const std::string& kind, double span) {
  if (kind == "edge_kill_all") {
    say(kind);
    cluster_.edges_disturbed(cluster_.seconds() + span);
    for (std::size_t edge = 0; edge < cluster_.edges(); ++edge)
      cluster_.kill_edge(edge, span * world_.uniform(0.3, 1));
    return cluster_.change(static_cast<int>(world_.below(2)));
  }
  auto member = static_cast<std::size_t>(draw_member());
  if (!cluster_.core_up(member)) return;
  say(kind + " " + cluster_.core_address(member));
  if (kind == "core_slow") return cluster_.slow_core(member, slow_event_s, span);
  if (kind == "link_reset") {
    cluster_.reset_links(member, world_.chance(0.5) ? 0.5 : 1);
    return cluster_.change(static_cast<int>(world_.below(2)));
  }
  // core_clock_step: who runs goes on as before; who starts meanwhile has another time of day.
  for (std::size_t i = 0; i < cluster_.cores(); ++i)
    if (i == member || world_.chance(0.3))
      cluster_.step_clock(i, (world_.chance(0.5) ? 1 : -1) * world_.uniform(0.2, 5));
  in(span, [this] {
    for (std::size_t i = 0; i < cluster_.cores(); ++i) cluster_.step_clock(i, 0);
  });
  if (int restarted = victim(0.4); restarted >= 0)
    cluster_.kill_core(static_cast<std::size_t>(restarted), 0.4, world_.chance(0.5));
}

}  // namespace pearspar::simulation
