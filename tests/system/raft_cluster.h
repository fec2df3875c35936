// A Raft cluster in simulated time: members with disks in memory and clocks of their own rate, links that can
// be cut in one direction, and frozen members; and a random sequence of faults on such a cluster. The
// invariants of every run are checked after each step.
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

constexpr Duration tick_length = std::chrono::milliseconds(1);

// A machine that a member runs on.
struct Place : StateMachine {
  std::string address;
  double rate = 1;  // of its clock
  Time clock{Duration(1000)};
  std::unique_ptr<SimDisk> disk;
  std::unique_ptr<Core> core;  // null = not running
  Time frozen_until{};
  std::vector<std::string> held;  // the changes that were applied
  bool spoke = false;

  void apply(const Entry& change) override { held.push_back(change.data); }
  std::string take_snapshot() const override {
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

  // Adds a machine without starting a member on it: "m0", "m1", ...
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
    for (std::size_t i = 0; i < founders_; ++i) options.founders.push_back(address_of(i));
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
  // Runs until the condition holds. Returns false where it does not within `seconds`.
  template <typename Condition>
  bool until(double seconds, Condition condition) {
    for (Time end = world_.now() + Duration(seconds); !condition();) {
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
    return place.core && place.frozen_until <= world_.now() && place.core->holds_lease(place.clock);
  }
  // The first member that holds a leader's lease; places() if there is none.
  std::size_t speaker() const {
    std::size_t at = 0;
    while (at < places_.size() && !speaks(at)) ++at;
    return at;
  }
  std::size_t led() {
    CPPUNIT_ASSERT_MESSAGE("there is no leader", until(5, [&] { return speaker() < places_.size(); }));
    return speaker();
  }
  const Membership& count(std::size_t at) { return core(at).log().membership(); }
  std::size_t voters(std::size_t at) { return count(at).voters.size(); }
  bool counts(std::size_t at) {
    std::size_t leader = led();
    return up(at) && count(leader).has(core(at).self());
  }

  // Proposes a change. Returns whether it was committed in time; from then on it must never be lost.
  bool change(std::size_t at, double timeout_s = 1) {
    std::string data = "change " + std::to_string(++changes_);
    auto index = core(at).propose(now(at), data);
    if (!index) return false;
    Term term = core(at).term();
    bool committed =
        until(timeout_s, [&] { return core(at).commit() >= *index || core(at).term() != term; }) &&
        core(at).term() == term;
    if (committed) committed_changes_.push_back(data);
    return committed;
  }
  // The first violation of an invariant; empty = none.
  std::string judged() {
    std::size_t leader = speaker();
    if (leader == places_.size()) fail("there is no leader");
    for (const std::string& data : committed_changes_)
      if (leader < places_.size() && std::ranges::count(place(leader).held, data) == 0)
        fail(data + " was committed and is lost");
    return fault_;
  }
  void good() {
    led();
    CPPUNIT_ASSERT_EQUAL(std::string(), judged());
  }
  const std::string& fault() const { return fault_; }
  std::size_t least_count() const { return min_voters_; }
  void hand(std::size_t to, const Message& message) { core(to).step(now(to), message); }

 private:
  static std::string address_of(std::size_t at) { return "m" + std::to_string(at); }
  void turn() {
    world_.run_until(world_.now() + tick_length);
    for (auto& place : places_) place->clock += place->rate * tick_length;
    for (std::size_t at = 0; at < places_.size(); ++at) {
      Place& place = *places_[at];
      if (!place.core || place.frozen_until > world_.now()) continue;
      for (Message& message : std::exchange(inbox_[at], {}))
        if (place.core) place.core->step(place.clock, message);
      if (place.core->due() <= place.clock) place.core->tick(place.clock);
    }
    for (std::size_t at = 0; at < places_.size(); ++at) {
      if (!places_[at]->core) continue;
      for (OutgoingMessage& out : places_[at]->core->take_out()) {
        std::size_t to = std::stoul(out.address.substr(1));
        if (!cut_.contains({at, to}) && places_[to]->core) inbox_[to].push_back(std::move(out.message));
      }
    }
    check_invariants();
  }

  void check_invariants() {
    std::size_t lease_holders = 0;
    for (std::size_t at = 0; at < places_.size(); ++at) lease_holders += speaks(at);
    if (lease_holders > 1) fail("two members hold the lease at once");
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
      if (!before->voters.empty()) min_voters_ = std::min(min_voters_, before->voters.size());
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
  std::vector<std::string> committed_changes_;
  std::uint64_t changes_ = 0;
  std::size_t min_voters_ = 99;
  std::string fault_;
};

// A random sequence of crashes, wiped disks, freezes, partitions and replacements, with a majority of the
// members available at any time. A member that is back, or new, counts as lost until it has had time to catch
// up.
class Walk {
 public:
  Walk(std::size_t members, std::uint64_t seed) : band_(members, seed), max_lost_((members - 1) / 2) {}

  // Returns the first violation; empty = none.
  std::string play(int events, double max_without_leader) {
    band_.run(3);
    for (int i = 0; i < events && longest_without_leader_ <= max_without_leader; ++i) {
      inject_fault();
      run_and_watch(world_.uniform(0.05, 3));
    }
    run_and_watch(12);
    if (longest_without_leader_ > max_without_leader)
      return std::to_string(longest_without_leader_) + " s without a leader";
    return band_.judged();
  }
  const std::vector<std::string>& story() const { return events_; }

 private:
  static constexpr double catch_up_s = 4, leave_timeout_s = 5.1;

  void run_and_watch(double seconds) {
    for (double end = band_.seconds() + seconds; band_.seconds() < end; band_.run(0.02)) {
      if (band_.speaker() < band_.places()) without_leader_since_ = band_.seconds();
      longest_without_leader_ = std::max(longest_without_leader_, band_.seconds() - without_leader_since_);
      if (world_.chance(0.01) && band_.speaker() < band_.places()) band_.change(band_.speaker(), 0.2);
    }
  }
  void log_event(const std::string& what, std::size_t at) {
    events_.push_back(std::to_string(band_.seconds() - 1000) + " " + what + " m" + std::to_string(at));
  }
  std::size_t lost() const {
    return static_cast<std::size_t>(std::count_if(
        lost_.begin(), lost_.end(), [&](const auto& each) { return each.second > band_.seconds(); }));
  }
  void lose(std::size_t at, double for_s) { lost_[at] = band_.seconds() + for_s + catch_up_s; }

  void inject_fault() {
    std::size_t at = world_.below(band_.places());
    bool leader = world_.chance(0.4) && band_.speaker() < band_.places();
    if (leader) at = band_.speaker();
    if (!band_.up(at) || leaving_.contains(at) || lost_[at] > band_.seconds()) return;
    int kind = static_cast<int>(world_.below(6));
    double span = world_.uniform(0.1, 6);
    if (lost() >= max_lost_) return;
    if (kind == 5) return replace_member(at);
    lose(at, span);
    if (kind == 0 || kind == 1) {
      log_event(kind == 0 ? "killed" : "wiped", at);
      kind == 0 ? band_.end(at) : band_.wipe(at);
      world_.in(Duration(span), [this, at] { band_.start(at); });
    } else if (kind == 2) {
      log_event("frozen", at);
      band_.freeze(at, span);
    } else if (kind == 3) {
      log_event("cut off", at);
      std::uint64_t way = world_.below(3);
      band_.cut_off(at, way != 1, way != 2);
      world_.in(Duration(span), [this, at] { band_.join(at); });
    } else {
      log_event("gone for good", at);
      band_.end(at);
      std::size_t fresh = band_.add();
      world_.in(Duration(span), [this, fresh] { band_.start(fresh); });
    }
  }
  // Starts a replacement for the member and then asks it to leave, while faults go on.
  void replace_member(std::size_t at) {
    if (!leaving_.empty()) return;
    log_event("leaves", at);
    leaving_.insert(at);
    std::size_t fresh = band_.add();
    band_.start(fresh);
    lose(fresh, 0);
    world_.in(Duration(world_.uniform(catch_up_s, 7)), [this, at] {
      log_event("asked to end", at);
      leave_asked_at_ = band_.seconds();
      band_.core(at).leave(band_.now(at));
      await_leave(at);
    });
  }
  void await_leave(std::size_t at) {
    double since = band_.seconds() - leave_asked_at_;
    if ((since < 0.4 || !band_.core(at).may_shut_down()) && since < leave_timeout_s)
      return world_.in(Duration(0.02), [this, at] { await_leave(at); });
    log_event("ended", at);
    band_.end(at);
    leaving_.clear();
  }

  RaftCluster band_;
  World& world_ = band_.world();
  std::size_t max_lost_;
  std::map<std::size_t, double> lost_;
  std::set<std::size_t> leaving_;
  double leave_asked_at_ = 0;
  double without_leader_since_ = 1003;
  double longest_without_leader_ = 0;
  std::vector<std::string> events_;
};

}  // namespace pearspar::raft
