#include "simulation/explore_walk.h"

#include <algorithm>
#include <atomic>
#include <chrono>
#include <deque>
#include <memory>
#include <mutex>
#include <thread>

#include "simulation/explore_heal.h"

namespace pearspar::simulation {

using namespace raft;

const std::array<const char*, static_cast<std::size_t>(Walked::kinds)> walked_names = {
    "delivered", "time passed", "lost",     "doubled", "crashed", "power lost in a step",
    "full disk", "wiped",       "put back", "copied",  "change",  "hand-over",
    "newcomer",  "stopped",     "cut"};

namespace {

constexpr std::size_t most_on_their_way = 48;
constexpr std::size_t look_whole_every = 64;

// SplitMix64.
class Draws {
 public:
  explicit Draws(std::uint64_t seed) : state_(seed * 0x9e3779b97f4a7c15ull + 1) {}
  std::uint64_t next() {
    std::uint64_t z = (state_ += 0x9e3779b97f4a7c15ull);
    z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9ull;
    z = (z ^ (z >> 27)) * 0x94d049bb133111ebull;
    return z ^ (z >> 31);
  }
  std::size_t below(std::size_t bound) { return static_cast<std::size_t>(next() % bound); }
  double share() { return static_cast<double>(next() >> 11) * 0x1.0p-53; }
  bool one_in(std::size_t n) { return below(n) == 0; }

 private:
  std::uint64_t state_;
};

class Walk {
 public:
  Walk(const WalkOptions& options, std::uint64_t seed, Walks& walks)
      : options_(options), draws_(seed), walks_(walks) {
    explore_.members = options.members;
    explore_.newcomers = options.newcomers;
    explore_.timing = Timing();
    explore_.snapshot_after_entries = 4 + draws_.below(12);
    explore_.notes = draws_.one_in(2);
    explore_.seed = seed;
    explore_.mutant = options.mutant;
    std::size_t bodies = static_cast<std::size_t>(options.members + options.newcomers);
    for (std::size_t i = 0; i < bodies; ++i) {
      bodies_.push_back(first_body(explore_, i));
      rates_.push_back(1 + options.clocks_apart * (draws_.share() - 0.5));
    }
    explore_.rates.assign(bodies, 0);
    stopped_.assign(bodies, false);
    frozen_.assign(bodies, false);
    cut_.assign(bodies * bodies, false);
  }

  std::string run() {
    for (std::size_t step = 0; step < options_.steps && fault_.empty(); ++step) {
      one_step(step);
      ++walks_.steps;
    }
    walks_.leaders += past_.leaders();
    walks_.committed += past_.changes();
    walks_.memberships += past_.memberships();
    if (fault_.empty()) heal_all();
    return fault_;
  }
  std::deque<std::string> story;

 private:
  struct Flying {
    std::size_t to;
    Message message;
  };

  void one_step(std::size_t step) {
    std::size_t kind = draws_.below(1000);
    whole_ = step % look_whole_every == 0;
    if (kind < 620 && !flying_.empty()) {
      deliver(false);
    } else if (kind < 900) {
      pass();
    } else if (kind < 930) {
      if (!flying_.empty()) lose();
    } else if (kind < 945) {
      if (!flying_.empty()) deliver(true);
    } else if (kind < 985) {
      propose();
    } else {
      trouble();
    }
    judge();
  }

  // Rarer: about one step in 70.
  void trouble() {
    std::size_t index = draws_.below(bodies_.size());
    switch (draws_.below(11)) {
      case 0:
        if (bodies_[index].core) take(Walked::crashed, index, {Act::crash, nullptr, nullptr, {}, {}});
        return;
      case 1:
        if (draws_.one_in(3)) wipe(index);
        return;
      case 2:
        if (draws_.one_in(3)) put_back(index);
        return;
      case 3:
        if (bodies_[index].core)
          take(Walked::handed_over, index, {Act::transfer_leadership, nullptr, nullptr, {}, {}});
        return;
      case 4:
        if (index >= static_cast<std::size_t>(options_.members) && !bodies_[index].core && !stopped_[index])
          take(Walked::appeared, index, {Act::appear, nullptr, nullptr, {}, {}});
        return;
      case 5:
      case 6:
        return stop_or_start(index);
      case 7:
        count(Walked::cut, index);
        frozen_[index] = !frozen_[index];
        if (draws_.one_in(2)) frozen_.assign(frozen_.size(), false);
        return;
      case 8:
      case 9: {
        // One direction, both, or all is healed.
        count(Walked::cut, index);
        std::size_t other = draws_.below(bodies_.size());
        std::size_t how = draws_.below(4);
        if (how == 0) cut_.assign(cut_.size(), false);
        if (how >= 1) cut_[index * bodies_.size() + other] = true;
        if (how == 2) cut_[other * bodies_.size() + index] = true;
        if (how == 3)
          for (std::size_t i = 0; i < bodies_.size(); ++i) cut_[index * bodies_.size() + i] = true;
        return;
      }
      default:
        if (options_.copies && bodies_[index].core) {
          count(Walked::copied, index);
          shelf_ = bodies_[index];
        }
        return;
    }
  }

  void count(Walked kind, std::size_t index) {
    ++walks_.taken[static_cast<std::size_t>(kind)];
    if (options_.tell) note(kind, index, "");
  }
  void note(Walked kind, std::size_t index, const std::string& more) {
    std::string line = std::string(walked_names[static_cast<std::size_t>(kind)]) + " " + address_of(index);
    const Body& body = bodies_[index];
    if (body.core) {
      line += " id " + std::to_string(body.core->self() % 100000) + " role " +
              std::to_string(static_cast<int>(body.core->role())) + " term " +
              std::to_string(body.core->term()) + " last " + std::to_string(body.core->log().last()) +
              " commit " + std::to_string(body.core->commit()) + " {";
      for (const Member& voter : body.core->log().membership().voters)
        line += " " + std::to_string(voter.id % 100000);
      line += " }";
    }
    story.push_back(line + more);
    if (story.size() > 400) story.pop_front();
  }

  void take(Walked kind, std::size_t index, const Action& action) {
    Glance before(bodies_[index]);
    out_.clear();
    take_free_step(explore_, bodies_[index], action, out_);
    ++walks_.taken[static_cast<std::size_t>(kind)];
    if (options_.tell) {
      std::string more;
      if (action.message)
        more = " <- kind " + std::to_string(static_cast<int>(action.message->kind)) + " term " +
               std::to_string(action.message->term) + " from " + action.message->from_address + " yes " +
               std::to_string(action.message->flag) + " index " + std::to_string(action.message->index);
      note(kind, index, more);
    }
    for (OutgoingMessage& each : out_)
      for (std::size_t to = 0; to < bodies_.size(); ++to) {
        if (address_of(to) != each.address) continue;
        if (cut_[index * bodies_.size() + to] || flying_.size() >= most_on_their_way) break;
        flying_.push_back(std::make_unique<Flying>(Flying{to, std::move(each.message)}));
        break;
      }
    if (fault_.empty()) fault_ = past_.see(before, nullptr, bodies_[index], whole_);
    if (fault_.empty() && bodies_[index].core &&
        (whole_ || (!before.leads && bodies_[index].core->role() == Core::Role::leader)))
      fault_ = past_.judge_leader(bodies_[index]);
    if (bodies_[index].core && bodies_[index].core->commit() > newest_) {
      newest_ = bodies_[index].core->commit();
      // What nobody's log is asked about any more.
      if (newest_ > 64) past_.forget_up_to(newest_ - 64);
    }
  }

  void judge() {
    speakers_.clear();
    for (const Body& body : bodies_)
      if (body.core && body.core->role() == Core::Role::leader) speakers_.push_back(&body);
    if (speakers_.empty()) return;
    if (fault_.empty()) fault_ = past_.judge_speakers(speakers_);
    if (speakers_.size() == 1 && speakers_[0]->core->holds_lease(speakers_[0]->now)) ++walks_.spoke;
  }

  std::size_t pick() {
    // Mostly in order, often not.
    return draws_.one_in(3) ? draws_.below(flying_.size()) : 0;
  }
  void remove(std::size_t at) { flying_.erase(flying_.begin() + static_cast<std::ptrdiff_t>(at)); }

  void deliver(bool stays) {
    std::size_t at = pick();
    std::size_t to = flying_[at]->to;
    if (frozen_[to] && bodies_[to].core) return;
    Message message = stays ? flying_[at]->message : std::move(flying_[at]->message);
    if (!stays) remove(at);
    if (!bodies_[to].core) return;
    Trouble trouble;
    Walked kind = stays ? Walked::doubled : Walked::delivered;
    if (draws_.one_in(1500)) trouble.writes = static_cast<int>(draws_.below(3)), kind = Walked::power_lost;
    if (draws_.one_in(1500)) trouble.refuses = true, kind = Walked::refused;
    take(kind, to, {Act::deliver, &message, nullptr, {}, trouble});
  }
  void lose() {
    ++walks_.taken[static_cast<std::size_t>(Walked::lost)];
    remove(pick());
  }

  // All clocks go on; who is not frozen looks at its own.
  void pass() {
    double span = draws_.one_in(8) ? 0.12 * draws_.share() : 0.012 * draws_.share();
    for (std::size_t i = 0; i < bodies_.size(); ++i) bodies_[i].now += Duration(span * rates_[i]);
    ++walks_.taken[static_cast<std::size_t>(Walked::passed)];
    judge();
    for (std::size_t i = 0; i < bodies_.size(); ++i)
      if (bodies_[i].core && !frozen_[i] && bodies_[i].core->due() <= bodies_[i].now)
        take(Walked::passed, i, {Act::tick, nullptr, nullptr, {}, {}});
  }

  void propose() {
    for (std::size_t i = 0; i < bodies_.size(); ++i) {
      if (!bodies_[i].core || bodies_[i].core->role() != Core::Role::leader) continue;
      if (draws_.one_in(2)) continue;
      std::string change(1, static_cast<char>('a' + draws_.below(26)));
      take(Walked::proposed, i, {Act::propose, nullptr, nullptr, change, {}});
    }
  }

  // Only where a core may lose one more.
  void wipe(std::size_t index) {
    if (!bodies_[index].core) return;
    Body before = bodies_[index];
    bodies_[index].core.reset();
    bodies_[index].disk = {};
    bool may = has_majority(bodies_, past_);
    bodies_[index] = before;
    if (!may) return;
    shelf_ = before;
    take(Walked::wiped, index, {Act::wipe, nullptr, nullptr, {}, {}});
  }
  void put_back(std::size_t index) {
    if (!shelf_.core || shelf_.index != index || !bodies_[index].core) return;
    Body before = bodies_[index];
    bodies_[index].core.reset();
    bodies_[index].disk = shelf_.disk;
    bool may = has_majority(bodies_, past_);
    bodies_[index] = before;
    if (!may) return;
    take(Walked::put_back, index, {Act::put_back, nullptr, &shelf_, {}, {}});
    shelf_ = Body();
  }
  void stop_or_start(std::size_t index) {
    if (stopped_[index]) {
      stopped_[index] = false;
      take(Walked::stopped, index, {Act::crash, nullptr, nullptr, {}, {}});
      return;
    }
    for (std::size_t i = 0; i < stopped_.size(); ++i)
      if (stopped_[i]) return stop_or_start(i);
    if (!bodies_[index].core) return;
    stopped_[index] = true;
    take(Walked::stopped, index, {Act::end, nullptr, nullptr, {}, {}});
  }

  void heal_all() {
    for (std::size_t i = 0; i < bodies_.size(); ++i)
      if (stopped_[i]) take(Walked::stopped, i, {Act::crash, nullptr, nullptr, {}, {}});
    Healed healed = heal(explore_, bodies_, past_);
    if (!healed.tried) healed.fault = "no majority is left, and no more was lost than may be";
    ++walks_.healed;
    walks_.heal_worst_s = std::max(walks_.heal_worst_s, healed.seconds);
    if (!healed.fault.empty()) fault_ = "once all is healed: " + healed.fault;
  }

  const WalkOptions& options_;
  Draws draws_;
  Walks& walks_;
  ExploreOptions explore_;
  std::vector<Body> bodies_;
  std::vector<double> rates_;
  std::vector<bool> stopped_, frozen_, cut_;
  std::vector<std::unique_ptr<Flying>> flying_;
  std::vector<OutgoingMessage> out_;
  std::vector<const Body*> speakers_;
  Body shelf_;
  Past past_;
  Index newest_ = 0;
  bool whole_ = false;
  std::string fault_;
};

}  // namespace

Walks walk(const WalkOptions& options) {
  auto began = std::chrono::steady_clock::now();
  Walks all;
  std::mutex mutex;
  std::atomic<std::size_t> next = 0;
  std::atomic<bool> broken = false;
  auto work = [&] {
    for (std::size_t at = next++; at < options.walks && !broken; at = next++) {
      Walks one;
      std::uint64_t seed = options.seed + at;
      Walk walk(options, seed, one);
      std::string fault = walk.run();
      std::lock_guard lock(mutex);
      all.steps += one.steps;
      ++all.walks;
      for (std::size_t i = 0; i < all.taken.size(); ++i) all.taken[i] += one.taken[i];
      all.committed += one.committed;
      all.memberships += one.memberships;
      all.leaders += one.leaders;
      all.spoke += one.spoke;
      all.healed += one.healed;
      all.heal_worst_s = std::max(all.heal_worst_s, one.heal_worst_s);
      if (fault.empty() || !all.fault.empty()) continue;
      broken = true;
      all.fault = fault;
      all.fault_seed = seed;
      all.history.assign(walk.story.begin(), walk.story.end());
    }
  };
  std::vector<std::thread> threads;
  for (int i = 1; i < options.threads; ++i) threads.emplace_back(work);
  work();
  for (std::thread& thread : threads) thread.join();
  all.seconds = std::chrono::duration<double>(std::chrono::steady_clock::now() - began).count();
  return all;
}

}  // namespace pearspar::simulation
