// A few members of the agreement on disks in memory, links that can be cut one way, clocks of their own rate,
// freezes to the millisecond; and a walk through troubles on them. What must hold in every run is judged at
// each step.
#pragma once

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "biella/disk.h"
#include "raft/core.h"

namespace pearspar::raft {

using biella::SimDisk;
using biella::World;

constexpr Duration step_of_time = std::chrono::milliseconds(1);

struct Place : StateMachine {
  std::string address;
  double rate = 1;  // of its clock
  Time clock{Duration(1000)};
  std::unique_ptr<SimDisk> disk;
  std::unique_ptr<Core> core;  // none = down
  Time frozen_until{};
  std::vector<std::string> held;  // changes applied
  bool spoke = false;

  void apply(const Entry& change) override { held.push_back(change.data); }
  std::string fold() const override {
    std::string all = ".";  // never empty
    for (const std::string& data : held) all += data + '\n';
    return all;
  }
  void restore(const std::string& state) override {
    held.clear();
    for (std::size_t at = 1, end; (end = state.find('\n', at)) != state.npos; at = end + 1)
      held.push_back(state.substr(at, end - at));
  }
};

class RaftCluster {
 public:
  explicit RaftCluster(std::size_t founders, std::uint64_t seed = 1, Timing timing = {})
      : world_(seed), timing_(timing), founders_(founders) {
    for (std::size_t i = 0; i < founders; ++i) start(add(), true);
  }

  // A place that is not started yet: "m0", "m1", ...
  std::size_t add() {
    places_.push_back(std::make_unique<Place>());
    places_.back()->address = "m" + std::to_string(places_.size() - 1);
    places_.back()->disk = std::make_unique<SimDisk>(world_);
    return places_.size() - 1;
  }
  std::error_code start(std::size_t at, bool first = false) {
    Place& place = *places_[at];
    Options options;
    options.address = place.address;
    for (std::size_t i = 0; i < founders_; ++i) options.founders.push_back(places_name(i));
    options.seeds = options.founders;
    for (const auto& other : places_)
      if (other->core) options.seeds.push_back(other->address);
    options.first_start = first;
    options.fresh_id = world_.number() | 1;
    options.seed = world_.number();
    options.timing = timing_;
    place.held.clear();
    place.core = std::make_unique<Core>(*place.disk, place, std::move(options));
    return place.core->start(place.clock);
  }
  void end(std::size_t at) { places_[at]->core.reset(); }
  void wipe(std::size_t at) {
    end(at);
    places_[at]->disk->wipe();
  }
  std::unique_ptr<SimDisk> copy(std::size_t at) { return std::make_unique<SimDisk>(*places_[at]->disk); }
  void put_disk(std::size_t at, const SimDisk& disk) {
    end(at);
    places_[at]->disk = std::make_unique<SimDisk>(disk);
  }
  void freeze(std::size_t at, double for_s) { places_[at]->frozen_until = world_.now() + Duration(for_s); }
  void cut(std::size_t from, std::size_t to) { cut_.insert({from, to}); }
  void cut_off(std::size_t at, bool in, bool out) {
    for (std::size_t other = 0; other < places_.size(); ++other) {
      if (in) cut(other, at);
      if (out) cut(at, other);
    }
  }
  void heal() { cut_.clear(); }
  void join(std::size_t at) {
    std::erase_if(cut_, [&](const auto& link) { return link.first == at || link.second == at; });
  }

  void run(double seconds) {
    for (Time end = world_.now() + Duration(seconds); world_.now() < end;) turn();
  }
  // Until `what` holds; false after `seconds`.
  template <typename What>
  bool until(double seconds, What what) {
    for (Time end = world_.now() + Duration(seconds); !what();) {
      if (world_.now() >= end) return false;
      turn();
    }
    return true;
  }

  World& world() { return world_; }
  std::size_t places() const { return places_.size(); }
  Core& core(std::size_t at) { return *places_[at]->core; }
  Place& place(std::size_t at) { return *places_[at]; }
  bool up(std::size_t at) const { return places_[at]->core != nullptr; }
  Time now(std::size_t at) const { return places_[at]->clock; }
  double seconds() const { return world_.now().time_since_epoch().count(); }
  bool speaks(std::size_t at) const {
    const Place& place = *places_[at];
    return place.core && place.frozen_until <= world_.now() && place.core->may_speak(place.clock);
  }
  // Who may speak; the number of places where nobody does.
  std::size_t speaker() const {
    std::size_t at = 0;
    while (at < places_.size() && !speaks(at)) ++at;
    return at;
  }
  std::size_t led() {
    CPPUNIT_ASSERT_MESSAGE("somebody leads", until(5, [&] { return speaker() < places_.size(); }));
    return speaker();
  }
  const Membership& count(std::size_t at) { return core(at).log().membership(); }
  std::size_t voters(std::size_t at) { return count(at).voters.size(); }
  bool counts(std::size_t at) {
    std::size_t leader = led();
    return up(at) && count(leader).has(core(at).self());
  }

  // Taken within the time: then it is to be held for ever.
  bool change(std::size_t at, double within = 1) {
    std::string data = "change " + std::to_string(++changes_);
    auto index = core(at).propose(now(at), data);
    if (!index) return false;
    Term term = core(at).term();
    bool sure = until(within, [&] { return core(at).commit() >= *index || core(at).term() != term; }) &&
                core(at).term() == term;
    if (sure) taken_.push_back(data);
    return sure;
  }
  // The first fault; empty = none.
  std::string judged() {
    std::size_t leader = speaker();
    if (leader == places_.size()) fail("nobody speaks");
    for (const std::string& data : taken_)
      if (leader < places_.size() && std::ranges::count(place(leader).held, data) == 0)
        fail(data + " was taken and is not held");
    return fault_;
  }
  void good() {
    led();
    CPPUNIT_ASSERT_EQUAL(std::string(), judged());
  }
  const std::string& fault() const { return fault_; }
  std::size_t least_count() const { return least_count_; }
  void hand(std::size_t to, const Message& message) { core(to).step(now(to), message); }

 private:
  static std::string places_name(std::size_t at) { return "m" + std::to_string(at); }
  void turn() {
    world_.run_until(world_.now() + step_of_time);
    for (auto& place : places_) place->clock += place->rate * step_of_time;
    for (std::size_t at = 0; at < places_.size(); ++at) {
      Place& place = *places_[at];
      if (!place.core || place.frozen_until > world_.now()) continue;
      for (Message& message : std::exchange(inbox_[at], {}))
        if (place.core) place.core->step(place.clock, message);
      if (place.core->due() <= place.clock) place.core->tick(place.clock);
    }
    for (std::size_t at = 0; at < places_.size(); ++at) {
      if (!places_[at]->core) continue;
      for (Outgoing& out : places_[at]->core->take_out()) {
        std::size_t to = std::stoul(out.address.substr(1));
        if (!cut_.contains({at, to}) && places_[to]->core) inbox_[to].push_back(std::move(out.message));
      }
    }
    judge();
  }

  void judge() {
    std::size_t speakers = 0;
    for (std::size_t at = 0; at < places_.size(); ++at) speakers += speaks(at);
    if (speakers > 1) fail("two speak at once");
    for (const auto& place : places_) {
      if (!place->core) continue;
      const Log& log = place->core->log();
      const Membership* before = &log.snapshot().membership;
      for (Index i = log.first(); i <= log.last(); ++i) {
        if (log.at(i).kind == EntryKind::membership) {
          const Membership& next = log.at(i).membership;
          std::size_t others = 0;
          for (const Member& voter : before->voters) others += !next.has(voter.id);
          for (const Member& voter : next.voters) others += !before->has(voter.id);
          if (others > 1) fail("an entry changes more than one voter");
          before = &next;
        }
        if (i > place->core->commit()) continue;
        auto [entry, fresh] = committed_.emplace(i, log.at(i));
        if (!fresh && !(entry->second == log.at(i))) fail("two entries committed at " + std::to_string(i));
      }
      if (!before->voters.empty()) least_count_ = std::min(least_count_, before->voters.size());
    }
  }
  void fail(const std::string& what) {
    if (fault_.empty()) fault_ = what + " at " + std::to_string(seconds() - 1000) + " s";
  }

  World world_;
  Timing timing_;
  std::size_t founders_;
  std::vector<std::unique_ptr<Place>> places_;
  std::map<std::size_t, std::vector<Message>> inbox_;
  std::set<std::pair<std::size_t, std::size_t>> cut_;
  std::map<Index, Entry> committed_;
  std::vector<std::string> taken_;
  std::uint64_t changes_ = 0;
  std::size_t least_count_ = 99;
  std::string fault_;
};

// Every kind of loss, return, replacement, leave and suspicion in any order, with no more lost at once than a
// core of `members` bears; who is back, or new, counts as lost for four seconds more.
class Walk {
 public:
  Walk(std::size_t members, std::uint64_t seed) : band_(members, seed), bears_((members - 1) / 2) {}

  // What went wrong; empty = nothing.
  std::string play(int events, double most_without) {
    band_.run(3);
    for (int i = 0; i < events && longest_ <= most_without; ++i) {
      strike();
      watch(world_.uniform(0.05, 3));
    }
    watch(12);
    if (longest_ > most_without) return std::to_string(longest_) + " s without a leader";
    return band_.judged();
  }
  const std::vector<std::string>& story() const { return story_; }

 private:
  static constexpr double catch_up = 4, grace = 5.1;

  void watch(double seconds) {
    for (double end = band_.seconds() + seconds; band_.seconds() < end; band_.run(0.02)) {
      if (band_.speaker() < band_.places()) silent_since_ = band_.seconds();
      longest_ = std::max(longest_, band_.seconds() - silent_since_);
      if (world_.chance(0.01) && band_.speaker() < band_.places()) band_.change(band_.speaker(), 0.2);
    }
  }
  void say(const std::string& what, std::size_t at) {
    story_.push_back(std::to_string(band_.seconds() - 1000) + " " + what + " m" + std::to_string(at));
  }
  std::size_t lost() const {
    return static_cast<std::size_t>(std::count_if(
        lost_.begin(), lost_.end(), [&](const auto& each) { return each.second > band_.seconds(); }));
  }
  void lose(std::size_t at, double for_s) { lost_[at] = band_.seconds() + for_s + catch_up; }

  void strike() {
    std::size_t at = world_.below(band_.places());
    bool leader = world_.chance(0.4) && band_.speaker() < band_.places();
    if (leader) at = band_.speaker();
    if (!band_.up(at) || leaving_.contains(at) || lost_[at] > band_.seconds()) return;
    int kind = static_cast<int>(world_.below(6));
    double span = world_.uniform(0.1, 6);
    if (lost() >= bears_) return;
    if (kind == 5) return plan(at);
    lose(at, span);
    if (kind == 0 || kind == 1) {
      say(kind == 0 ? "killed" : "wiped", at);
      kind == 0 ? band_.end(at) : band_.wipe(at);
      world_.in(Duration(span), [this, at] { band_.start(at); });
    } else if (kind == 2) {
      say("frozen", at);
      band_.freeze(at, span);
    } else if (kind == 3) {
      say("cut off", at);
      std::uint64_t way = world_.below(3);
      band_.cut_off(at, way != 1, way != 2);
      world_.in(Duration(span), [this, at] { band_.join(at); });
    } else {
      say("gone for good", at);
      band_.end(at);
      std::size_t fresh = band_.add();
      world_.in(Duration(span), [this, fresh] { band_.start(fresh); });
    }
  }
  // A successor comes, has its time, and the other is asked to end; troubles go on meanwhile.
  void plan(std::size_t at) {
    if (!leaving_.empty()) return;
    say("leaves", at);
    leaving_.insert(at);
    std::size_t fresh = band_.add();
    band_.start(fresh);
    lose(fresh, 0);
    world_.in(Duration(world_.uniform(catch_up, 7)), [this, at] {
      say("asked to end", at);
      asked_ = band_.seconds();
      band_.core(at).leave(band_.now(at));
      look(at);
    });
  }
  void look(std::size_t at) {
    double since = band_.seconds() - asked_;
    if ((since < 0.4 || !band_.core(at).may_end()) && since < grace)
      return world_.in(Duration(0.02), [this, at] { look(at); });
    say("ended", at);
    band_.end(at);
    leaving_.clear();
  }

  RaftCluster band_;
  World& world_ = band_.world();
  std::size_t bears_;
  std::map<std::size_t, double> lost_;
  std::set<std::size_t> leaving_;
  double asked_ = 0;
  double silent_since_ = 1003;
  double longest_ = 0;
  std::vector<std::string> story_;
};

}  // namespace pearspar::raft
