// The merge rules: the table of docs/fleet-view.md cell by cell, and all that can happen to one name among
// three brokers, looked at exhaustively. What is known of one name never depends on another's, so one name is
// enough.
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

TEST(MemberStatusTest, TheTable) {
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

TEST(MemberStatusTest, AboutOurselves) {
  const OwnStatus ours{5, 7};
  EXPECT_EQ(merge_own_status(ours, at(5, 7), AddressMatch::same).effect, OwnEffect::none);
  EXPECT_EQ(merge_own_status(ours, at(5, 6, Verdict::suspect), AddressMatch::same).effect, OwnEffect::none);
  EXPECT_EQ(merge_own_status(ours, at(5, 7, Verdict::suspect), AddressMatch::same).next.incarnation, 8u);
  EXPECT_EQ(merge_own_status(ours, at(5, 9), AddressMatch::same).next.incarnation, 10u);
  EXPECT_EQ(merge_own_status(ours, at(4, 99, Verdict::gone), AddressMatch::same).effect, OwnEffect::none);
  // A former life of ours, after which the clock went back.
  EXPECT_EQ(merge_own_status(ours, at(9, 1), AddressMatch::same).effect, OwnEffect::outrun);
  EXPECT_EQ(merge_own_status(ours, at(9, 1), AddressMatch::same).next.run, 10u);
  EXPECT_EQ(merge_own_status(ours, at(9, 1, Verdict::gone), AddressMatch::higher).effect, OwnEffect::outrun);
  EXPECT_EQ(merge_own_status(ours, at(9, 1, Verdict::trusted, Phase::left), AddressMatch::higher).effect,
            OwnEffect::outrun);
  // Another process under our name.
  EXPECT_EQ(merge_own_status(ours, at(9, 1), AddressMatch::higher).effect, OwnEffect::yield);
  EXPECT_EQ(merge_own_status(ours, at(9, 1), AddressMatch::lower).effect, OwnEffect::yield);
  // Started in the same instant: just one of the two yields.
  EXPECT_EQ(merge_own_status(ours, at(5, 1), AddressMatch::higher).effect, OwnEffect::yield);
  EXPECT_EQ(merge_own_status(ours, at(5, 1), AddressMatch::lower).effect, OwnEffect::outrun);
}

TEST(MemberStatusTest, TheGreatestIncarnationRaisesTheRun) {
  constexpr std::uint64_t greatest = std::numeric_limits<std::uint64_t>::max();
  const OwnMergeResult got = merge_own_status({5, 7}, at(5, greatest, Verdict::suspect), AddressMatch::same);
  EXPECT_EQ(got.effect, OwnEffect::refute);
  EXPECT_EQ(got.next.run, 6u);
  EXPECT_EQ(got.next.incarnation, 0u);
  EXPECT_EQ(merge_status(at(5, greatest, Verdict::gone), at(6, 0)).effect, MergeEffect::rejoined);
}

// ---- all that can happen ----

constexpr std::uint64_t most_runs = 2, most_incarnations = 2;

// One news or status as a number below 54; the phases of this world are alive, leaving and left.
int number_of(const MemberStatus& each) {
  const int phase = static_cast<int>(each.phase) - 1;
  return static_cast<int>(((each.run - 1) * 3 + each.incarnation) * 9) + static_cast<int>(each.verdict) * 3 +
         phase;
}
MemberStatus standing_of(int number) {
  return {static_cast<std::uint64_t>(number / 27 + 1), static_cast<std::uint64_t>(number / 9 % 3),
          static_cast<Verdict>(number / 3 % 3), static_cast<Phase>(number % 3 + 1)};
}

struct World {
  bool runs = true;  // the subject's process
  bool ended = false;
  OwnStatus own{1, 0};
  Phase phase = Phase::alive;
  std::array<std::optional<MemberStatus>, 2> held;  // by the two others
  std::uint64_t said = 0;  // every news ever uttered, a bit each; any may come any time, and again

  std::pair<std::uint64_t, std::uint64_t> key() const {
    std::uint64_t rest = (runs ? 1u : 0u) | (ended ? 2u : 0u) | static_cast<unsigned>(phase) << 2 |
                         static_cast<unsigned>(own.run) << 4 | static_cast<unsigned>(own.incarnation) << 8;
    for (std::size_t i : {0u, 1u})
      rest |= static_cast<std::uint64_t>(held[i] ? number_of(*held[i]) + 1 : 0) << (16 + 8 * i);
    return {rest, said};
  }
  // Beyond the bounds nothing is looked at; add() leaves such worlds out.
  bool within() const { return own.run <= most_runs && own.incarnation <= most_incarnations; }
  void say(const MemberStatus& news) { said |= std::uint64_t{1} << number_of(news); }
  void say_own() {
    if (within()) say({own.run, own.incarnation, Verdict::trusted, phase});
  }
  bool uttered(const MemberStatus& word) const {
    return (said >> number_of({word.run, word.incarnation, Verdict::trusted, word.phase}) & 1) != 0;
  }
  template <typename Do>
  void each_said(Do&& act) const {
    for (int i = 0; i < 54; ++i)
      if ((said >> i & 1) != 0) act(standing_of(i));
  }
};

bool take(World& world, std::size_t holder, const MemberStatus& heard) {
  const std::optional<MemberStatus> before = world.held[holder];
  const MergeResult got = merge_status(before, heard);
  if (got.effect == MergeEffect::none || got.effect == MergeEffect::confirmed) return false;
  world.held[holder] = got.next;
  world.say(got.next);
  if (before) {
    const auto word = [](const MemberStatus& each) { return std::pair(each.run, each.incarnation); };
    // No resurrection: back only by a later word, and one that the subject itself uttered.
    if (!before->in_force() && got.next.in_force()) {
      EXPECT_LT(word(*before), word(got.next));
    }
    // No lost leave.
    if (before->phase == Phase::left) {
      EXPECT_GT(got.next.run, before->run);
    }
    EXPECT_LE(word(*before), word(got.next));
  }
  if (got.next.in_force()) {
    EXPECT_TRUE(world.uttered(got.next)) << "in force by a word that its owner never said";
  }
  return true;
}

// The subject hears of itself.
bool answer(World& world, const MemberStatus& heard) {
  if (!world.runs) return false;
  if (world.phase == Phase::left && heard.run == world.own.run) return false;
  const OwnMergeResult got = merge_own_status(world.own, heard, AddressMatch::same);
  if (got.effect == OwnEffect::none) return false;
  world.own = got.next;
  world.say_own();
  return true;
}

// After the faults: everything that was said reaches everybody, suspicions run out, probes find who is there.
void quiet(World world) {
  for (int round = 0; round < 50; ++round) {
    bool moved = false;
    const World before = world;
    before.each_said([&](const MemberStatus& news) {
      for (std::size_t holder : {0u, 1u}) moved |= take(world, holder, news);
      moved |= answer(world, news);
    });
    if (!world.within()) return;  // it would have to say what this small world has no room for
    if (moved) continue;
    for (std::size_t holder : {0u, 1u}) {
      std::optional<MemberStatus>& held = world.held[holder];
      if (!held || !held->in_force() || world.runs) continue;
      held->verdict = held->verdict == Verdict::trusted ? Verdict::suspect : Verdict::gone;
      world.say(*held);
      moved = true;
    }
    if (!moved) break;
  }
  const bool known = world.held[0].has_value() && world.held[1].has_value();
  if (!known) return;
  ASSERT_EQ(world.held[0]->in_force(), world.held[1]->in_force());
  if (world.runs && world.phase != Phase::left) {
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

TEST(MemberStatusTest, NothingThatCanHappenBreaksTheGuarantees) {
  std::set<std::pair<std::uint64_t, std::uint64_t>> seen;
  std::deque<World> open;
  auto add = [&](const World& world) {
    if (!world.within()) return;
    if (seen.insert(world.key()).second) open.push_back(world);
  };
  World first;
  first.say_own();
  add(first);
  while (!open.empty() && !testing::Test::HasFailure()) {
    const World world = open.front();
    open.pop_front();
    quiet(world);
    world.each_said([&](const MemberStatus& news) {
      for (std::size_t holder : {0u, 1u}) {
        World next = world;
        if (take(next, holder, news)) add(next);
      }
      World next = world;
      if (answer(next, news)) add(next);
    });
    for (std::size_t holder : {0u, 1u}) {
      if (!world.held[holder] || !world.held[holder]->in_force()) continue;
      // A probe fails, or a suspicion runs out, whether the subject lives or not.
      World next = world;
      MemberStatus& held = *next.held[holder];
      held.verdict = held.verdict == Verdict::trusted ? Verdict::suspect : Verdict::gone;
      next.say(held);
      add(next);
    }
    if (world.runs && world.phase != Phase::left) {
      World crashed = world;
      crashed.runs = false;
      add(crashed);
      World next = world;
      next.phase = world.phase == Phase::alive ? Phase::leaving : Phase::left;
      next.own = next_incarnation(world.own, 0);
      next.say_own();
      if (next.phase == Phase::left) next.ended = true;
      add(next);
    }
    if (!world.runs && !world.ended && world.own.run < most_runs) {
      World again = world;
      again.runs = true;
      again.phase = Phase::alive;
      again.own = {world.own.run + 1, 0};
      again.say_own();
      add(again);
    }
  }
  RecordProperty("worlds", static_cast<int>(seen.size()));
  EXPECT_GT(seen.size(), 1000u);
}

}  // namespace
