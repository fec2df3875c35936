// The merge rules: each cell of the table in docs/fleet-view.md, and an exhaustive exploration of all event
// sequences for one name among three brokers. Names do not affect each other, so one is enough.
#include "peers/member_status.h"

#include <gtest/gtest.h>

#include <array>
#include <deque>
#include <limits>
#include <set>
#include <utility>

namespace {

using namespace pearspar::peers;

MemberStatus at(std::uint64_t run, std::uint64_t incarnation, Verdict verdict = Verdict::trusted,
                Phase phase = Phase::alive) {
  return {run, incarnation, verdict, phase};
}

TEST(MemberStatusTest, MergeTableRowByRow) {
  const MemberStatus trusted = at(1, 5), suspect = at(1, 5, Verdict::suspect), gone = at(1, 5, Verdict::gone);
  const MemberStatus left = at(1, 6, Verdict::trusted, Phase::left);
  struct Row {
    std::optional<MemberStatus> held;
    MemberStatus heard;
    MergeEffect effect;
    MemberStatus next;
  };
  const Row rows[] = {
      {{}, trusted, MergeEffect::joined, trusted},
      {{}, suspect, MergeEffect::suspected, suspect},
      {{}, gone, MergeEffect::recorded, gone},
      {{}, left, MergeEffect::recorded, left},
      {trusted, trusted, MergeEffect::none, trusted},
      {trusted, at(1, 6), MergeEffect::updated, at(1, 6)},
      {trusted, at(1, 4), MergeEffect::none, trusted},
      {trusted, suspect, MergeEffect::suspected, suspect},
      {trusted, at(1, 4, Verdict::suspect), MergeEffect::none, trusted},
      {trusted, at(1, 6, Verdict::suspect), MergeEffect::suspected, at(1, 6, Verdict::suspect)},
      {trusted, gone, MergeEffect::suspected, suspect},
      {trusted, at(1, 6, Verdict::gone), MergeEffect::suspected, at(1, 6, Verdict::suspect)},
      {trusted, left, MergeEffect::left, left},
      {suspect, trusted, MergeEffect::none, suspect},
      {suspect, at(1, 6), MergeEffect::updated, at(1, 6)},
      {suspect, suspect, MergeEffect::confirmed, suspect},
      {suspect, gone, MergeEffect::confirmed, suspect},
      {suspect, at(1, 6, Verdict::gone), MergeEffect::suspected, at(1, 6, Verdict::suspect)},
      {suspect, left, MergeEffect::left, left},
      {gone, trusted, MergeEffect::none, gone},
      {gone, at(1, 4), MergeEffect::none, gone},
      {gone, suspect, MergeEffect::none, gone},
      {gone, at(1, 6), MergeEffect::rejoined, at(1, 6)},
      {gone, at(1, 6, Verdict::suspect), MergeEffect::suspected, at(1, 6, Verdict::suspect)},
      {gone, at(1, 6, Verdict::gone), MergeEffect::recorded, at(1, 6, Verdict::gone)},
      {gone, left, MergeEffect::left, left},
      {left, at(1, 9), MergeEffect::none, left},
      {left, at(1, 9, Verdict::suspect), MergeEffect::none, left},
      {left, at(2, 0), MergeEffect::rejoined, at(2, 0)},
      {trusted, at(2, 0), MergeEffect::updated, at(2, 0)},
      {trusted, at(2, 0, Verdict::gone), MergeEffect::suspected, at(2, 0, Verdict::suspect)},
      {gone, at(2, 0), MergeEffect::rejoined, at(2, 0)},
      {at(2, 0), at(1, 99), MergeEffect::none, at(2, 0)},
      {at(2, 0), left, MergeEffect::none, at(2, 0)},
  };
  for (std::size_t i = 0; i < std::size(rows); ++i) {
    const MergeResult got = merge_status(rows[i].held, rows[i].heard);
    EXPECT_EQ(got.effect, rows[i].effect) << "row " << i;
    EXPECT_EQ(got.next, rows[i].next) << "row " << i;
  }
}

TEST(MemberStatusTest, UpdatesAboutOurselves) {
  const OwnStatus ours{5, 7};
  EXPECT_EQ(merge_own_status(ours, at(5, 7), AddressMatch::same).effect, OwnEffect::none);
  EXPECT_EQ(merge_own_status(ours, at(5, 6, Verdict::suspect), AddressMatch::same).effect, OwnEffect::none);
  EXPECT_EQ(merge_own_status(ours, at(5, 7, Verdict::suspect), AddressMatch::same).next.incarnation, 8u);
  EXPECT_EQ(merge_own_status(ours, at(5, 9), AddressMatch::same).next.incarnation, 10u);
  EXPECT_EQ(merge_own_status(ours, at(4, 99, Verdict::gone), AddressMatch::same).effect, OwnEffect::none);
  // An earlier process of ours, after which the clock went back.
  EXPECT_EQ(merge_own_status(ours, at(9, 1), AddressMatch::same).effect, OwnEffect::outrun);
  EXPECT_EQ(merge_own_status(ours, at(9, 1), AddressMatch::same).next.run, 10u);
  EXPECT_EQ(merge_own_status(ours, at(9, 1, Verdict::gone), AddressMatch::higher).effect, OwnEffect::outrun);
  EXPECT_EQ(merge_own_status(ours, at(9, 1, Verdict::trusted, Phase::left), AddressMatch::higher).effect,
            OwnEffect::outrun);
  // Another process under our name.
  EXPECT_EQ(merge_own_status(ours, at(9, 1), AddressMatch::higher).effect, OwnEffect::yield);
  EXPECT_EQ(merge_own_status(ours, at(9, 1), AddressMatch::lower).effect, OwnEffect::yield);
  // Started at the same instant: exactly one of the two yields.
  EXPECT_EQ(merge_own_status(ours, at(5, 1), AddressMatch::higher).effect, OwnEffect::yield);
  EXPECT_EQ(merge_own_status(ours, at(5, 1), AddressMatch::lower).effect, OwnEffect::outrun);
}

TEST(MemberStatusTest, IncarnationOverflowRaisesTheRun) {
  constexpr std::uint64_t greatest = std::numeric_limits<std::uint64_t>::max();
  const OwnMergeResult got = merge_own_status({5, 7}, at(5, greatest, Verdict::suspect), AddressMatch::same);
  EXPECT_EQ(got.effect, OwnEffect::refute);
  EXPECT_EQ(got.next.run, 6u);
  EXPECT_EQ(got.next.incarnation, 0u);
  EXPECT_EQ(merge_status(at(5, greatest, Verdict::gone), at(6, 0)).effect, MergeEffect::rejoined);
}

// ---- exhaustive exploration ----

constexpr std::uint64_t max_runs = 2, max_incarnations = 2;

// Encodes an update or status as a number below 54; the phases are alive, leaving and left.
int encode_status(const MemberStatus& each) {
  const int phase = static_cast<int>(each.phase) - 1;
  return static_cast<int>(((each.run - 1) * 3 + each.incarnation) * 9) + static_cast<int>(each.verdict) * 3 +
         phase;
}
MemberStatus decode_status(int number) {
  return {static_cast<std::uint64_t>(number / 27 + 1), static_cast<std::uint64_t>(number / 9 % 3),
          static_cast<Verdict>(number / 3 % 3), static_cast<Phase>(number % 3 + 1)};
}

struct World {
  bool running = true;  // the subject's process
  bool ended = false;
  OwnStatus own{1, 0};
  Phase phase = Phase::alive;
  std::array<std::optional<MemberStatus>, 2> held;  // by the two other brokers
  std::uint64_t sent_updates =
      0;  // a bit for each update ever sent; each may arrive at any time and repeatedly

  std::pair<std::uint64_t, std::uint64_t> key() const {
    std::uint64_t rest = (running ? 1u : 0u) | (ended ? 2u : 0u) | static_cast<unsigned>(phase) << 2 |
                         static_cast<unsigned>(own.run) << 4 | static_cast<unsigned>(own.incarnation) << 8;
    for (std::size_t i : {0u, 1u})
      rest |= static_cast<std::uint64_t>(held[i] ? encode_status(*held[i]) + 1 : 0) << (16 + 8 * i);
    return {rest, sent_updates};
  }
  // States beyond the bounds are not explored; add() drops them.
  bool within() const { return own.run <= max_runs && own.incarnation <= max_incarnations; }
  void send(const MemberStatus& news) { sent_updates |= std::uint64_t{1} << encode_status(news); }
  void announce_own() {
    if (within()) send({own.run, own.incarnation, Verdict::trusted, phase});
  }
  bool was_announced(const MemberStatus& word) const {
    return (sent_updates >> encode_status({word.run, word.incarnation, Verdict::trusted, word.phase}) & 1) !=
           0;
  }
  template <typename Do>
  void for_each_sent(Do&& act) const {
    for (int i = 0; i < 54; ++i)
      if ((sent_updates >> i & 1) != 0) act(decode_status(i));
  }
};

bool receive(World& world, std::size_t holder, const MemberStatus& heard) {
  const std::optional<MemberStatus> before = world.held[holder];
  const MergeResult got = merge_status(before, heard);
  if (got.effect == MergeEffect::none || got.effect == MergeEffect::confirmed) return false;
  world.held[holder] = got.next;
  world.send(got.next);
  if (before) {
    const auto word = [](const MemberStatus& each) { return std::pair(each.run, each.incarnation); };
    // No resurrection: in force again only by a later incarnation, announced by the subject itself.
    if (!before->in_force() && got.next.in_force()) {
      EXPECT_LT(word(*before), word(got.next));
    }
    // A leave is final for its run.
    if (before->phase == Phase::left) {
      EXPECT_GT(got.next.run, before->run);
    }
    EXPECT_LE(word(*before), word(got.next));
  }
  if (got.next.in_force()) {
    EXPECT_TRUE(world.was_announced(got.next)) << "in force by an incarnation that its owner never announced";
  }
  return true;
}

// The subject receives an update about itself.
bool receive_own(World& world, const MemberStatus& heard) {
  if (!world.running) return false;
  if (world.phase == Phase::left && heard.run == world.own.run) return false;
  const OwnMergeResult got = merge_own_status(world.own, heard, AddressMatch::same);
  if (got.effect == OwnEffect::none) return false;
  world.own = got.next;
  world.announce_own();
  return true;
}

// After the faults: all updates reach everybody, suspicions expire and probes find the running processes.
void check_convergence(World world) {
  for (int round = 0; round < 50; ++round) {
    bool moved = false;
    const World before = world;
    before.for_each_sent([&](const MemberStatus& news) {
      for (std::size_t holder : {0u, 1u}) moved |= receive(world, holder, news);
      moved |= receive_own(world, news);
    });
    if (!world.within()) return;  // the refutation would exceed the bounds
    if (moved) continue;
    for (std::size_t holder : {0u, 1u}) {
      std::optional<MemberStatus>& held = world.held[holder];
      if (!held || !held->in_force() || world.running) continue;
      held->verdict = held->verdict == Verdict::trusted ? Verdict::suspect : Verdict::gone;
      world.send(*held);
      moved = true;
    }
    if (!moved) break;
  }
  const bool known = world.held[0].has_value() && world.held[1].has_value();
  if (!known) return;
  ASSERT_EQ(world.held[0]->in_force(), world.held[1]->in_force());
  if (world.running && world.phase != Phase::left) {
    ASSERT_EQ(world.held[0], world.held[1]);
    ASSERT_EQ(world.held[0]->run, world.own.run);
    ASSERT_EQ(world.held[0]->incarnation, world.own.incarnation);
    ASSERT_EQ(world.held[0]->verdict, Verdict::trusted);
  }
  if (world.ended) {
    ASSERT_EQ(world.held[0]->state(), State::left);
    ASSERT_EQ(world.held[1]->state(), State::left);
  }
}

TEST(MemberStatusTest, ExhaustiveExplorationKeepsTheGuarantees) {
  std::set<std::pair<std::uint64_t, std::uint64_t>> seen;
  std::deque<World> open;
  auto add = [&](const World& world) {
    if (!world.within()) return;
    if (seen.insert(world.key()).second) open.push_back(world);
  };
  World first;
  first.announce_own();
  add(first);
  while (!open.empty() && !testing::Test::HasFailure()) {
    const World world = open.front();
    open.pop_front();
    check_convergence(world);
    world.for_each_sent([&](const MemberStatus& news) {
      for (std::size_t holder : {0u, 1u}) {
        World next = world;
        if (receive(next, holder, news)) add(next);
      }
      World next = world;
      if (receive_own(next, news)) add(next);
    });
    for (std::size_t holder : {0u, 1u}) {
      if (!world.held[holder] || !world.held[holder]->in_force()) continue;
      // A probe fails or a suspicion expires, whether the subject running or not.
      World next = world;
      MemberStatus& held = *next.held[holder];
      held.verdict = held.verdict == Verdict::trusted ? Verdict::suspect : Verdict::gone;
      next.send(held);
      add(next);
    }
    if (world.running && world.phase != Phase::left) {
      World crashed = world;
      crashed.running = false;
      add(crashed);
      World next = world;
      next.phase = world.phase == Phase::alive ? Phase::leaving : Phase::left;
      next.own = next_incarnation(world.own, 0);
      next.announce_own();
      if (next.phase == Phase::left) next.ended = true;
      add(next);
    }
    if (!world.running && !world.ended && world.own.run < max_runs) {
      World again = world;
      again.running = true;
      again.phase = Phase::alive;
      again.own = {world.own.run + 1, 0};
      again.announce_own();
      add(again);
    }
  }
  RecordProperty("worlds", static_cast<int>(seen.size()));
  EXPECT_GT(seen.size(), 1000u);
}

}  // namespace
