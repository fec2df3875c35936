#include "simulation/explore_heal.h"

#include <algorithm>
#include <deque>

namespace pearspar::simulation {

using namespace raft;

bool has_majority(const std::vector<Body>& bodies, const Past& past) {
  auto held = [](const Body& body) { return body.core ? body.core->self() : body.disk.self; };
  auto bears = [&](const Membership& membership) {
    if (membership.voters.empty()) return true;
    auto there = std::count_if(membership.voters.begin(), membership.voters.end(), [&](const Member& voter) {
      return std::any_of(bodies.begin(), bodies.end(),
                         [&](const Body& body) { return held(body) == voter.id; });
    });
    return static_cast<std::size_t>(there) >= membership.majority();
  };
  // Also where nobody who runs knows of it any more.
  if (!bears(past.membership())) return false;
  return std::all_of(bodies.begin(), bodies.end(), [&](const Body& body) {
    if (!body.core) {
      // It comes back with what its disk has.
      Membership newest = body.disk.snapshot.membership;
      for (const Entry& entry : body.disk.entries)
        if (entry.kind == EntryKind::membership) newest = entry.membership;
      return body.disk.self == 0 || bears(newest);
    }
    return body.core->log().membership_index() < past.membership_index() ||
           bears(body.core->log().membership());
  });
}

Healed heal(const ExploreOptions& options, std::vector<Body> bodies, Past past) {
  Healed healed;
  if (!has_majority(bodies, past)) return healed;
  healed.tried = true;
  ExploreOptions free = options;
  const Duration span(options.timing.min_election_timeout / 16);
  const std::size_t most = 16 * 60;
  free.rates.assign(1, span.count());
  std::deque<std::pair<std::size_t, Message>> flying;
  auto take = [&](std::size_t index, const Action& action) {
    Glance before(bodies[index]);
    std::vector<OutgoingMessage> out;
    take_free_step(free, bodies[index], action, out);
    for (OutgoingMessage& each : out)
      for (std::size_t to = 0; to < bodies.size(); ++to)
        if (address_of(to) == each.address && bodies[to].core)
          flying.emplace_back(to, std::move(each.message));
    if (healed.fault.empty()) healed.fault = past.see(before, nullptr, bodies[index], true);
    if (healed.fault.empty()) healed.fault = past.judge_leader(bodies[index]);
  };
  for (std::size_t round = 0; round < most; ++round) {
    for (std::size_t index = 0; index < bodies.size(); ++index) {
      if (!bodies[index].core) continue;
      take(index, {Act::pass, nullptr, nullptr, {}, {}});
      take(index, {Act::tick, nullptr, nullptr, {}, {}});
    }
    // What is sent in answer arrives in the same round, up to a bound.
    for (std::size_t each = 0; !flying.empty() && each < 200; ++each) {
      auto [to, message] = std::move(flying.front());
      flying.pop_front();
      take(to, {Act::deliver, &message, nullptr, {}, {}});
    }
    if (!healed.fault.empty()) return healed;
    healed.seconds += span.count();
    for (const Body& body : bodies)
      if (body.core && body.core->holds_lease(body.now)) return healed;
  }
  healed.fault = "a majority is there, and no leader in " + std::to_string(healed.seconds) + " s";
  return healed;
}

}  // namespace pearspar::simulation
