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

#include "raft/core.h"
#include "simulation/disk.h"

namespace pearspar::raft {

using simulation::SimDisk;
using simulation::World;

constexpr Duration tick_length = std::chrono::milliseconds(1);

// A machine that a member runs on.
struct TestMember : StateMachine {
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
    members_.push_back(std::make_unique<TestMember>());
    members_.back()->address = "m" + std::to_string(members_.size() - 1);
    members_.back()->disk = std::make_unique<SimDisk>(world_);
    return members_.size() - 1;
  }
  std::error_code start(std::size_t at, bool first = false) {
    TestMember& member = *members_[at];
    Options options;
    options.address = member.address;
    for (std::size_t i = 0; i < founders_; ++i) options.founders.push_back(address_of(i));
    options.seeds = options.founders;
    for (const auto& other : members_)
      if (other->core) options.seeds.push_back(other->address);
    options.first_start = first;
    options.fresh_id = world_.number() | 1;
    options.seed = world_.number();
    options.timing = timing_;
    member.held.clear();
    member.core = std::make_unique<Core>(*member.disk, member, std::move(options));
    return member.core->start(member.clock);
  }
  void stop(std::size_t at) { members_[at]->core.reset(); }
  void wipe(std::size_t at) {
    stop(at);
    members_[at]->disk->wipe();
  }
  std::unique_ptr<SimDisk> copy(std::size_t at) { return std::make_unique<SimDisk>(*members_[at]->disk); }
  void put_disk(std::size_t at, const SimDisk& disk) {
    stop(at);
    members_[at]->disk = std::make_unique<SimDisk>(disk);
  }
  void freeze(std::size_t at, double for_s) { members_[at]->frozen_until = world_.now() + Duration(for_s); }
  void cut(std::size_t from, std::size_t to) { cut_.insert({from, to}); }
  void cut_off(std::size_t at, bool in, bool out) {
    for (std::size_t other = 0; other < members_.size(); ++other) {
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
  std::size_t size() const { return members_.size(); }
  Core& core(std::size_t at) { return *members_[at]->core; }
  TestMember& member(std::size_t at) { return *members_[at]; }
  bool up(std::size_t at) const { return members_[at]->core != nullptr; }
  Time now(std::size_t at) const { return members_[at]->clock; }
  double seconds() const { return world_.now().time_since_epoch().count(); }
  bool holds_lease(std::size_t at) const {
    const TestMember& member = *members_[at];
    return member.core && member.frozen_until <= world_.now() && member.core->holds_lease(member.clock);
  }
  // The first member that holds a leader's lease; size() if there is none.
  std::size_t lease_holder() const {
    std::size_t at = 0;
    while (at < members_.size() && !holds_lease(at)) ++at;
    return at;
  }
  std::size_t wait_for_leader() {
    CPPUNIT_ASSERT_MESSAGE("there is no leader", until(5, [&] { return lease_holder() < members_.size(); }));
    return lease_holder();
  }
  const Membership& membership(std::size_t at) { return core(at).log().membership(); }
  std::size_t voter_count(std::size_t at) { return membership(at).voters.size(); }
  bool is_voter(std::size_t at) {
    std::size_t leader = wait_for_leader();
    return up(at) && membership(leader).has(core(at).self());
  }

  // Proposes a change. Returns whether it was committed in time; from then on it must never be lost.
  bool commit_change(std::size_t at, double timeout_s = 1) {
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
  std::string first_violation() {
    std::size_t leader = lease_holder();
    if (leader == members_.size()) fail("there is no leader");
    for (const std::string& data : committed_changes_)
      if (leader < members_.size() && std::ranges::count(member(leader).held, data) == 0)
        fail(data + " was committed and is lost");
    return fault_;
  }
  void expect_no_violation() {
    wait_for_leader();
    CPPUNIT_ASSERT_EQUAL(std::string(), first_violation());
  }
  const std::string& first_fault() const { return fault_; }
  std::size_t min_voters() const { return min_voters_; }
  void deliver(std::size_t to, const Message& message) { core(to).step(now(to), message); }

 private:
  static std::string address_of(std::size_t at) { return "m" + std::to_string(at); }
  void turn() {
    world_.run_until(world_.now() + tick_length);
    for (auto& member : members_) member->clock += member->rate * tick_length;
    for (std::size_t at = 0; at < members_.size(); ++at) {
      TestMember& member = *members_[at];
      if (!member.core || member.frozen_until > world_.now()) continue;
      for (Message& message : std::exchange(inbox_[at], {}))
        if (member.core) member.core->step(member.clock, message);
      if (member.core->due() <= member.clock) member.core->tick(member.clock);
    }
    for (std::size_t at = 0; at < members_.size(); ++at) {
      if (!members_[at]->core) continue;
      for (OutgoingMessage& out : members_[at]->core->take_out()) {
        std::size_t to = std::stoul(out.address.substr(1));
        if (!cut_.contains({at, to}) && members_[to]->core) inbox_[to].push_back(std::move(out.message));
      }
    }
    check_invariants();
  }

  void check_invariants() {
    std::size_t lease_holders = 0;
    for (std::size_t at = 0; at < members_.size(); ++at) lease_holders += holds_lease(at);
    if (lease_holders > 1) fail("two members hold the lease at once");
    for (const auto& member : members_) {
      if (!member->core) continue;
      const Log& log = member->core->log();
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
        if (i > member->core->commit()) continue;
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
  std::vector<std::unique_ptr<TestMember>> members_;
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
class RandomFaults {
 public:
  RandomFaults(std::size_t members, std::uint64_t seed)
      : cluster_(members, seed), max_lost_((members - 1) / 2) {}

  // Returns the first violation; empty = none.
  std::string run(int events, double max_without_leader) {
    cluster_.run(3);
    for (int i = 0; i < events && longest_without_leader_ <= max_without_leader; ++i) {
      inject_fault();
      run_and_watch(world_.uniform(0.05, 3));
    }
    run_and_watch(12);
    if (longest_without_leader_ > max_without_leader)
      return std::to_string(longest_without_leader_) + " s without a leader";
    return cluster_.first_violation();
  }
  const std::vector<std::string>& events() const { return events_; }

 private:
  static constexpr double catch_up_s = 4, leave_timeout_s = 5.1;

  void run_and_watch(double seconds) {
    for (double end = cluster_.seconds() + seconds; cluster_.seconds() < end; cluster_.run(0.02)) {
      if (cluster_.lease_holder() < cluster_.size()) without_leader_since_ = cluster_.seconds();
      longest_without_leader_ = std::max(longest_without_leader_, cluster_.seconds() - without_leader_since_);
      if (world_.chance(0.01) && cluster_.lease_holder() < cluster_.size())
        cluster_.commit_change(cluster_.lease_holder(), 0.2);
    }
  }
  void log_event(const std::string& what, std::size_t at) {
    events_.push_back(std::to_string(cluster_.seconds() - 1000) + " " + what + " m" + std::to_string(at));
  }
  std::size_t lost() const {
    return static_cast<std::size_t>(std::count_if(
        lost_.begin(), lost_.end(), [&](const auto& each) { return each.second > cluster_.seconds(); }));
  }
  void lose(std::size_t at, double for_s) { lost_[at] = cluster_.seconds() + for_s + catch_up_s; }

  void inject_fault() {
    std::size_t at = world_.below(cluster_.size());
    bool leader = world_.chance(0.4) && cluster_.lease_holder() < cluster_.size();
    if (leader) at = cluster_.lease_holder();
    if (!cluster_.up(at) || leaving_.contains(at) || lost_[at] > cluster_.seconds()) return;
    int kind = static_cast<int>(world_.below(6));
    double span = world_.uniform(0.1, 6);
    if (lost() >= max_lost_) return;
    if (kind == 5) return replace_member(at);
    lose(at, span);
    if (kind == 0 || kind == 1) {
      log_event(kind == 0 ? "killed" : "wiped", at);
      kind == 0 ? cluster_.stop(at) : cluster_.wipe(at);
      world_.in(Duration(span), [this, at] { cluster_.start(at); });
    } else if (kind == 2) {
      log_event("frozen", at);
      cluster_.freeze(at, span);
    } else if (kind == 3) {
      log_event("cut off", at);
      std::uint64_t way = world_.below(3);
      cluster_.cut_off(at, way != 1, way != 2);
      world_.in(Duration(span), [this, at] { cluster_.join(at); });
    } else {
      log_event("gone for good", at);
      cluster_.stop(at);
      std::size_t fresh = cluster_.add();
      world_.in(Duration(span), [this, fresh] { cluster_.start(fresh); });
    }
  }
  // Starts a replacement for the member and then asks it to leave, while faults go on.
  void replace_member(std::size_t at) {
    if (!leaving_.empty()) return;
    log_event("leaves", at);
    leaving_.insert(at);
    std::size_t fresh = cluster_.add();
    cluster_.start(fresh);
    lose(fresh, 0);
    world_.in(Duration(world_.uniform(catch_up_s, 7)), [this, at] {
      log_event("asked to end", at);
      leave_asked_at_ = cluster_.seconds();
      cluster_.core(at).leave(cluster_.now(at));
      await_leave(at);
    });
  }
  void await_leave(std::size_t at) {
    double since = cluster_.seconds() - leave_asked_at_;
    if ((since < 0.4 || !cluster_.core(at).may_shut_down()) && since < leave_timeout_s)
      return world_.in(Duration(0.02), [this, at] { await_leave(at); });
    log_event("ended", at);
    cluster_.stop(at);
    leaving_.clear();
  }

  RaftCluster cluster_;
  World& world_ = cluster_.world();
  std::size_t max_lost_;
  std::map<std::size_t, double> lost_;
  std::set<std::size_t> leaving_;
  double leave_asked_at_ = 0;
  double without_leader_since_ = 1003;
  double longest_without_leader_ = 0;
  std::vector<std::string> events_;
};

}  // namespace pearspar::raft
