#include "simulation/explore.h"

#include <algorithm>
#include <chrono>
#include <thread>

#include "simulation/explore_heal.h"
#include "simulation/explore_space.h"

namespace pearspar::simulation {
namespace {

// How a state was met first. Breadth first, so that a fault comes with a shortest history.
struct Reached {
  std::uint32_t before = 0;
  std::uint32_t event = 0;
};
constexpr unsigned event_shift = 27;

std::uint32_t packed(const Event& event) {
  return static_cast<std::uint32_t>(event.kind) << event_shift | event.at;
}
Event unpacked(std::uint32_t event) {
  return {static_cast<Kind>(event >> event_shift), event & ((1u << event_shift) - 1)};
}

class Search {
 public:
  Search(const ExploreOptions& options, const Progress& progress)
      : options_(options), progress_(progress), space_(options) {}

  Explored run() {
    auto began = std::chrono::steady_clock::now();
    auto spent = [&] {
      return std::chrono::duration<double>(std::chrono::steady_clock::now() - began).count();
    };
    State first = space_.first();
    seen_.insert(digest_of(&first, sizeof first));
    reached_.push_back({});
    std::vector<State> level{first};
    std::size_t base = 0;  // the number of the level's first state
    while (!level.empty() && fault_.empty()) {
      if (reached_.size() >= options_.most_states) break;
      std::vector<Part> parts(static_cast<std::size_t>(std::max(1, options_.threads)));
      std::atomic<std::size_t> at = 0;
      std::vector<std::thread> threads;
      for (std::size_t t = 1; t < parts.size(); ++t)
        threads.emplace_back([&, t] { work(level, base, at, parts[t]); });
      work(level, base, at, parts[0]);
      for (std::thread& thread : threads) thread.join();
      base += level.size();
      level.clear();
      for (Part& part : parts) {
        add(part);
        for (const State& state : part.states) level.push_back(state);
        reached_.insert(reached_.end(), part.reached.begin(), part.reached.end());
      }
      if (!level.empty()) ++explored_.depth;
      explored_.seconds = spent();
      count();
      if (progress_) progress_(explored_, level.size());
    }
    explored_.exhausted = level.empty() && fault_.empty();
    explored_.seconds = spent();
    count();
    if (!fault_.empty()) tell();
    return explored_;
  }

 private:
  struct Part {
    std::vector<State> states;
    std::vector<Reached> reached;
    std::size_t steps = 0, committed = 0, leaders = 0, healed = 0;
    double heal_worst_s = 0;
    std::string fault;
    Reached at_fault;
    bool by_healing = false;
  };

  void work(const std::vector<State>& level, std::size_t base, std::atomic<std::size_t>& at, Part& part) {
    constexpr std::size_t chunk = 256;
    std::vector<Event> events;
    for (std::size_t from = at.fetch_add(chunk); from < level.size(); from = at.fetch_add(chunk))
      for (std::size_t i = from; i < std::min(from + chunk, level.size()); ++i) {
        if (!part.fault.empty()) return;
        const State& state = level[i];
        auto number = static_cast<std::uint32_t>(base + i);
        const Past& past = space_.past(state);
        if (past.changes() > 0) ++part.committed;
        part.leaders = std::max(part.leaders, past.leaders());
        if (options_.heal_every > 0 && number % options_.heal_every == 0) try_healing(state, number, part);
        space_.enabled(state, events);
        for (const Event& event : events) {
          std::string fault;
          std::optional<State> next = space_.next(state, event, fault);
          if (!next) continue;
          ++part.steps;
          if (!fault.empty()) {
            part.fault = std::move(fault);
            part.at_fault = {number, packed(event)};
            return;
          }
          if (!seen_.insert(digest_of(&*next, sizeof *next))) continue;
          part.states.push_back(*next);
          part.reached.push_back({number, packed(event)});
        }
      }
  }

  void try_healing(const State& state, std::uint32_t number, Part& part) {
    std::vector<Body> bodies;
    for (std::size_t i = 0; i < space_.bodies(); ++i) bodies.push_back(space_.body(state, i));
    Healed healed = heal(options_, std::move(bodies), space_.past(state));
    if (!healed.tried) {
      // One member less than a majority needs may be lost at any moment.
      auto lost = state.used[State::wipes] + state.used[State::ends] + state.used[State::put_back];
      if (lost <= (options_.members - 1) / 2)
        healed.fault = "no majority is left after " + std::to_string(lost) + " losses";
    } else {
      ++part.healed;
      part.heal_worst_s = std::max(part.heal_worst_s, healed.seconds);
    }
    if (healed.fault.empty()) return;
    part.fault = "once all is healed: " + healed.fault;
    part.at_fault = {number, 0};
    part.by_healing = true;
  }

  void add(const Part& part) {
    explored_.steps += part.steps;
    explored_.committed += part.committed;
    explored_.leaders = std::max(explored_.leaders, part.leaders);
    explored_.healed += part.healed;
    explored_.heal_worst_s = std::max(explored_.heal_worst_s, part.heal_worst_s);
    if (part.fault.empty() || !fault_.empty()) return;
    fault_ = part.fault;
    at_fault_ = part.at_fault;
    by_healing_ = part.by_healing;
  }

  void count() {
    explored_.states = reached_.size();
    explored_.members = space_.members();
    explored_.worked_out = space_.worked_out();
  }

  void tell() {
    explored_.fault = fault_;
    std::vector<Event> path;
    if (!by_healing_) path.push_back(unpacked(at_fault_.event));
    for (std::uint32_t at = at_fault_.before; at != 0; at = reached_[at].before)
      path.push_back(unpacked(reached_[at].event));
    std::reverse(path.begin(), path.end());
    State state = space_.first();
    for (const Event& event : path) {
      explored_.history.push_back(space_.tell(state, event));
      std::string fault;
      if (auto next = space_.next(state, event, fault)) state = *next;
    }
  }

  const ExploreOptions options_;
  const Progress& progress_;
  Space space_;
  DigestSet seen_;
  std::vector<Reached> reached_;
  Explored explored_;
  std::string fault_;
  Reached at_fault_;
  bool by_healing_ = false;
};

}  // namespace

raft::Timing search_timing() {
  raft::Timing timing;
  timing.heartbeat = raft::Duration(1);
  timing.min_election_timeout = raft::Duration(1);
  timing.max_election_timeout = raft::Duration(1.5);
  timing.lease = raft::Duration(0.75);
  timing.join_interval = raft::Duration(1);
  timing.silent_voter_timeout = raft::Duration(2);
  return timing;
}

Explored explore(const ExploreOptions& options, const Progress& progress) {
  return Search(options, progress).run();
}

std::string hold_against(const ExploreOptions& options, std::uint64_t seed, std::size_t steps) {
  return Space(options).hold_against(seed, steps);
}

}  // namespace pearspar::simulation
