#include "registry/follower.h"

#include <gtest/gtest.h>

namespace pearspar::registry {
namespace {

using namespace std::chrono_literals;

Header header(Revision revision, std::uint64_t cluster = 7, std::uint64_t term = 2) {
  return {cluster, 1, revision, term};
}
KeyItem item(const std::string& key, Revision modified, std::int64_t version = 1) {
  return {key, {"v", false, modified, modified, version}};
}
Events put(const std::string& key, Revision at) {
  return {header(at), {{key, Item{"v", false, at, at, 1}, at}}, false};
}

// Plays the registry by hand.
class FollowerTest : public ::testing::Test {
 protected:
  explicit FollowerTest(int endpoints = 2) : follower(endpoints, FollowerOptions{}, 5) {}

  // The commands since the last call; asks are kept as the newest of their kind.
  std::vector<Ask> asks() {
    std::vector<Ask> found;
    for (Command& command : follower.take_commands()) {
      if (auto* ask = std::get_if<Ask>(&command)) {
        (ask->kind == Ask::Kind::look ? look : main) = *ask;
        found.push_back(*ask);
      } else {
        dropped.push_back(std::get<Drop>(command).ticket);
      }
    }
    return found;
  }
  void at(net::Duration later) {
    now += later;
    follower.tick(now);
  }
  // Lets time pass up to what is due next, and that happen.
  std::vector<Ask> wait() {
    now = std::max(now, follower.due());
    follower.tick(now);
    std::vector<Ask> found = asks();
    // A registry that knows what we have, unless a test says otherwise.
    if (found.empty() || !found.back().with_item || !knows_ours) return found;
    follower.look_in(now, look.ticket, as_ours());
    return asks();
  }
  Standing as_ours() const {
    const View& view = follower.view();
    Standing standing{
        header(view.revision()), static_cast<std::int64_t>(view.items().size()), view.newest(), {}};
    for (const auto& [key, item] : view.items())
      if (item.modified == standing.newest) standing.item = KeyItem{key, item};
    return standing;
  }
  void give_page(Revision revision, std::vector<KeyItem> items, bool more = false) {
    std::int64_t count = static_cast<std::int64_t>(items.size());
    follower.page_in(now, main.ticket, {header(revision), std::move(items), more, count});
  }
  // Follows at revision 10 with one key, the first look answered.
  void follow() {
    follower.start(now);
    asks();
    give_page(10, {item("a", 5)});
    asks();
    ASSERT_EQ(main.kind, Ask::Kind::watch);
    follower.watch_made(now, main.ticket, header(10));
    asks();
    ASSERT_EQ(look.kind, Ask::Kind::look);
    give_look(10, 1, 5);
    follower.view().take_news();
  }
  void give_look(Revision revision, std::int64_t count, Revision newest, std::uint64_t cluster = 7,
                 std::uint64_t term = 2) {
    follower.look_in(now, look.ticket, {header(revision, cluster, term), count, newest, {}});
  }

  WatchFollower follower;
  net::Time now{100s};
  Ask main, look;
  bool knows_ours = true;
  std::vector<std::uint64_t> dropped;
};

TEST_F(FollowerTest, PagesArePinnedAndTheWatchBeginsBehindThem) {
  follower.start(now);
  asks();
  EXPECT_EQ(main.kind, Ask::Kind::page);
  EXPECT_EQ(main.revision, 0);
  give_page(40, {item("a", 5), item("b", 6)}, true);
  asks();
  EXPECT_EQ(main.revision, 40);
  EXPECT_EQ(main.after, "b");
  // Later pages carry the registry's revision of then: the pin is what counts.
  follower.page_in(now, main.ticket, {header(44), {item("c", 30)}, false, 3});
  asks();
  EXPECT_EQ(main.kind, Ask::Kind::watch);
  EXPECT_EQ(main.revision, 41);
  EXPECT_EQ(follower.view().items().size(), 3u);
  EXPECT_FALSE(follower.live());
  follower.watch_made(now, main.ticket, header(44));
  EXPECT_TRUE(follower.live());
}

TEST_F(FollowerTest, ABreakResumesBehindWhatStandsAtAnotherEndpoint) {
  follow();
  follower.told(now, main.ticket, put("b", 12));
  int first = main.endpoint;
  follower.failed(now, main.ticket, Fault::ended);
  EXPECT_EQ(follower.view().state(), ViewState::stale);
  EXPECT_TRUE(asks().empty());  // a pause first
  wait();
  EXPECT_EQ(main.kind, Ask::Kind::watch);
  EXPECT_EQ(main.revision, 13);
  EXPECT_NE(main.endpoint, first);
  EXPECT_EQ(follower.view().items().size(), 2u);
}

TEST_F(FollowerTest, ACompactedRevisionIsReadAnewAndServesOnMeanwhile) {
  follow();
  follower.failed(now, main.ticket, Fault::ended);
  wait();
  follower.failed(now, main.ticket, Fault::compacted);
  asks();  // at once: the registry is there
  EXPECT_EQ(main.kind, Ask::Kind::page);
  EXPECT_EQ(follower.view().items().size(), 1u);
  give_page(30, {item("z", 25)});
  EXPECT_EQ(follower.view().revision(), 30);
  EXPECT_EQ(follower.view().items().count("z"), 1u);
}

TEST_F(FollowerTest, CompactionBetweenPagesBeginsTheSnapshotAgain) {
  follower.start(now);
  asks();
  give_page(40, {item("a", 5)}, true);
  asks();
  follower.failed(now, main.ticket, Fault::compacted);
  EXPECT_FALSE(follower.view().stands());
  wait();
  EXPECT_EQ(main.kind, Ask::Kind::page);
  EXPECT_EQ(main.revision, 0);
  EXPECT_TRUE(main.after.empty());
}

TEST_F(FollowerTest, AWatchThatOwesWhatALookHasShownIsLeft) {
  follow();
  wait();
  give_look(12, 2, 12);
  EXPECT_TRUE(follower.live());  // it may be on its way
  wait();
  EXPECT_FALSE(follower.live());
  EXPECT_EQ(follower.counters().silent, 1u);
  EXPECT_EQ(dropped.back(), main.ticket);
}

TEST_F(FollowerTest, AWatchThatOnlyCameLaterThanTheLookIsKept) {
  follow();
  wait();
  give_look(12, 2, 12);
  at(200ms);
  follower.told(now, main.ticket, put("b", 12));
  for (int i = 0; i < 4; ++i) {
    wait();
    if (look.ticket != 0) give_look(12, 2, 12);
  }
  EXPECT_TRUE(follower.live());
  EXPECT_EQ(follower.counters().silent, 0u);
}

TEST_F(FollowerTest, ADeletionThatWasNeverToldShowsInTheCount) {
  follow();
  wait();
  give_look(13, 0, 0);
  wait();
  EXPECT_EQ(follower.counters().silent, 1u);
}

// Nothing of ours changed, but the registry's revision went on and may be compacted behind us.
TEST_F(FollowerTest, ALookThatShowsNothingNewMovesTheResumptionOn) {
  follow();
  wait();
  give_look(500, 1, 5);
  EXPECT_EQ(follower.view().revision(), 500);
  follower.failed(now, main.ticket, Fault::ended);
  wait();
  EXPECT_EQ(main.revision, 501);
}

TEST_F(FollowerTest, AMemberThatLagsIsNoOtherHistory) {
  follow();
  follower.failed(now, main.ticket, Fault::ended);
  wait();
  follower.watch_made(now, main.ticket, header(4, 7, 1));  // an older revision and term on the watch alone
  asks();
  EXPECT_TRUE(follower.live());
  give_look(10, 1, 5);
  EXPECT_TRUE(follower.live());
  EXPECT_EQ(follower.counters().doubts, 0u);
}

TEST_F(FollowerTest, AnOlderRevisionIsBelievedOnceEveryEndpointHasSaidSo) {
  follow();
  wait();
  give_look(6, 0, 0);
  EXPECT_EQ(follower.counters().doubts, 1u);
  EXPECT_EQ(follower.view().items().size(), 1u);
  int first = look.endpoint;
  knows_ours = false;
  wait();  // the other endpoint
  EXPECT_NE(look.endpoint, first);
  give_look(6, 0, 0);
  EXPECT_EQ(follower.counters().new_histories, 1u);
  asks();
  EXPECT_EQ(main.kind, Ask::Kind::page);
  give_page(6, {});
  EXPECT_EQ(follower.view().revision(), 6);
  EXPECT_TRUE(follower.view().items().empty());
  EXPECT_TRUE(follower.view().take_news().whole);
}

TEST_F(FollowerTest, AnEndpointOfAnotherClusterIsNotBelievedWhileOursIsThere) {
  follow();
  follower.failed(now, main.ticket, Fault::ended);
  for (int i = 0; i < 6; ++i) {
    knows_ours = false;
    wait();
    if (follower.live()) continue;
    if (look.endpoint == 0) {
      give_look(900, 1, 5, 8);
      continue;
    }
    follower.look_in(now, look.ticket, as_ours());
    asks();
    follower.watch_made(now, main.ticket, header(10));
    asks();
    give_look(10, 1, 5);
  }
  EXPECT_TRUE(follower.live());
  EXPECT_EQ(follower.counters().new_histories, 0u);
  EXPECT_EQ(follower.view().revision(), 10);
  EXPECT_EQ(main.endpoint, 1);
}

TEST_F(FollowerTest, ANewClusterIsBelievedOnceAllThatAnswerBelongToIt) {
  follow();
  follower.failed(now, main.ticket, Fault::ended);
  net::Time first_doubt{};
  for (int i = 0; i < 40 && follower.counters().new_histories == 0; ++i) {
    knows_ours = false;
    wait();
    if (look.endpoint == 0)
      follower.failed(now, look.ticket, Fault::refused);
    else
      give_look(3, 0, 0, 8);
    if (follower.counters().doubts == 1 && first_doubt == net::Time{}) first_doubt = now;
  }
  // One is out of reach: it is given a second, so that a stray endpoint does not take over in a moment's
  // outage.
  EXPECT_GE(now - first_doubt, 1s);
  EXPECT_LE(now - first_doubt, 2s);
  EXPECT_EQ(follower.counters().new_histories, 1u);
  asks();
  EXPECT_EQ(main.kind, Ask::Kind::page);
  EXPECT_EQ(follower.view().items().size(), 1u);  // serves on until the new list is whole
}

TEST_F(FollowerTest, AHigherRevisionUnderAnOlderTermIsAnotherHistoryToo) {
  follow();
  wait();
  give_look(50, 1, 5, 7, 1);
  EXPECT_EQ(follower.counters().doubts, 1u);
  EXPECT_NE(follower.view().revision(), 50);
}

// Restored from a backup under its old identity and term, and past our revision by now: nothing in its
// headers shows it.
TEST_F(FollowerTest, ARegistryThatNoLongerHasWhatWeHaveIsReadAnewBeforeItTellsAnything) {
  follow();
  follower.failed(now, main.ticket, Fault::ended);
  knows_ours = false;
  wait();
  EXPECT_EQ(look.revision, 0);
  give_look(50, 3, 48);
  asks();
  EXPECT_EQ(look.revision, 10);  // how did it stand at ours?
  Standing other = as_ours();
  other.header.revision = 50;
  other.item->item.value = "another";
  follower.look_in(now, look.ticket, other);
  EXPECT_EQ(follower.counters().diverged, 1u);
  asks();
  EXPECT_EQ(main.kind, Ask::Kind::page);
}

TEST_F(FollowerTest, ARegistryThatHasGoneOnIsResumedBehindWhatStands) {
  follow();
  follower.failed(now, main.ticket, Fault::ended);
  knows_ours = false;
  wait();
  give_look(50, 3, 48);
  asks();
  Standing then = as_ours();
  then.header.revision = 50;
  follower.look_in(now, look.ticket, then);
  asks();
  EXPECT_EQ(main.kind, Ask::Kind::watch);
  EXPECT_EQ(main.revision, 11);
}

TEST_F(FollowerTest, FragmentsWaitForTheLast) {
  follow();
  Events first = put("b", 12);
  first.fragment = true;
  follower.told(now, main.ticket, first);
  EXPECT_EQ(follower.view().revision(), 10);
  EXPECT_FALSE(follower.view().has_news());
  follower.told(now, main.ticket, put("c", 12));
  EXPECT_EQ(follower.view().revision(), 12);
  EXPECT_EQ(follower.view().items().size(), 3u);
}

TEST_F(FollowerTest, FragmentsOfAWatchThatBrokeAreForgotten) {
  follow();
  Events first = put("b", 12);
  first.fragment = true;
  follower.told(now, main.ticket, first);
  follower.failed(now, main.ticket, Fault::ended);
  wait();
  EXPECT_EQ(main.revision, 11);
  follower.watch_made(now, main.ticket, header(12));
  asks();
  follower.told(
      now, main.ticket,
      {header(12), {{"b", Item{"v", false, 12, 12, 1}, 12}, {"c", Item{"v", false, 12, 12, 1}, 12}}, false});
  EXPECT_EQ(follower.view().items().size(), 3u);
}

TEST_F(FollowerTest, AHoleIsReadAnew) {
  follow();
  Events hole = put("a", 12);
  hole.changes[0].item->version = 9;
  follower.told(now, main.ticket, hole);
  EXPECT_EQ(follower.counters().holes, 1u);
  asks();
  EXPECT_EQ(main.kind, Ask::Kind::page);
  // One hole after the other is paced.
  give_page(12, {item("a", 12)});
  asks();
  follower.watch_made(now, main.ticket, header(12));
  asks();
  hole.changes[0].revision = hole.changes[0].item->modified = 14;
  follower.told(now, main.ticket, hole);
  EXPECT_EQ(follower.counters().holes, 2u);
  EXPECT_TRUE(asks().empty());
  wait();
  EXPECT_EQ(main.kind, Ask::Kind::page);
}

TEST_F(FollowerTest, WhatComesUnderAnOldTicketIsIgnored) {
  follow();
  std::uint64_t old = main.ticket;
  follower.failed(now, main.ticket, Fault::ended);
  wait();
  follower.told(now, old, put("b", 12));
  follower.failed(now, old, Fault::compacted);
  follower.watch_made(now, old, header(12));
  EXPECT_EQ(follower.view().items().size(), 1u);
  EXPECT_FALSE(follower.live());
}

TEST_F(FollowerTest, APageThatIsTooLargeIsAskedForInHalves) {
  follower.start(now);
  asks();
  int limit = main.limit;
  follower.failed(now, main.ticket, Fault::too_large);
  wait();
  EXPECT_EQ(main.limit, limit / 2);
  for (int i = 0; i < 20; ++i) {
    follower.failed(now, main.ticket, Fault::too_large);
    wait();
  }
  EXPECT_EQ(main.limit, 1);
}

TEST_F(FollowerTest, PausesGrowOverAllEndpointsTogetherAndEndWhenThingsSettle) {
  follow();
  std::vector<double> pauses;
  for (int i = 0; i < 12; ++i) {
    ASSERT_EQ(main.kind, Ask::Kind::watch);
    follower.failed(now, main.ticket, Fault::refused);
    net::Time from = now;
    wait();
    pauses.push_back((now - from).count());
  }
  EXPECT_LE(pauses.front(), 0.020);
  for (double pause : pauses) EXPECT_LE(pause, 0.400);
  EXPECT_GE(pauses.back(), 0.200);
  follower.watch_made(now, main.ticket, header(10));
  asks();
  for (int i = 0; i < 4; ++i) {
    give_look(10, 1, 5);
    wait();
  }
  give_look(10, 1, 5);
  follower.failed(now, main.ticket, Fault::ended);
  net::Time from = now;
  wait();
  EXPECT_LE((now - from).count(), 0.020);
}

TEST_F(FollowerTest, NothingIsDueForeverWithoutAnEnd) {
  follower.start(now);
  asks();
  for (int i = 0; i < 50; ++i) {
    ASSERT_LT(follower.due(), now + 10s);
    wait();  // nobody answers
  }
  EXPECT_GE(follower.counters().failures[static_cast<int>(Fault::timeout)], 20u);
  follower.stop();
  EXPECT_EQ(follower.due(), net::Time::max());
}

// A minute without any endpoint: the list stands, the tries are paced in common, and the first answer mends
// it.
TEST_F(FollowerTest, AMinuteWithAllEndpointsDown) {
  follow();
  follower.failed(now, main.ticket, Fault::ended);
  knows_ours = false;
  net::Time start = now;
  int tries = 0;
  while (now < start + 60s) {
    for (const Ask& ask : wait()) {
      ++tries;
      follower.failed(now, ask.ticket, Fault::refused);
    }
    ASSERT_EQ(follower.view().items().size(), 1u);
    ASSERT_EQ(follower.view().state(), ViewState::stale);
  }
  EXPECT_GT(tries, 140);  // 0.2 to 0.4 s apart
  EXPECT_LT(tries, 320);
  knows_ours = true;
  wait();
  EXPECT_EQ(main.kind, Ask::Kind::watch);
  EXPECT_EQ(main.revision, 11);
}

// ---- blocking reads ----

class PollTest : public ::testing::Test {
 protected:
  Ask ask() {
    Ask found;
    for (Command& command : follower.take_commands())
      if (auto* each = std::get_if<Ask>(&command)) found = *each;
    return found;
  }
  Ask wait() {
    now = std::max(now, follower.due());
    follower.tick(now);
    return ask();
  }
  void give(const Ask& to, Revision index, std::vector<KeyItem> items) {
    std::int64_t count = static_cast<std::int64_t>(items.size());
    follower.page_in(now, to.ticket, {{0, 0, index, 0}, std::move(items), false, count});
  }
  PollFollower follower{1, FollowerOptions{}, 5};
  net::Time now{100s};
};

TEST_F(PollTest, EachReplyIsTheNextViewAndTheIndexToWaitBeyond) {
  follower.start(now);
  Ask first = ask();
  EXPECT_EQ(first.kind, Ask::Kind::poll);
  EXPECT_EQ(first.revision, 0);
  give(first, 10, {item("a", 5), item("b", 6)});
  EXPECT_TRUE(follower.view().take_news().whole);
  Ask second = ask();
  EXPECT_EQ(second.revision, 10);
  EXPECT_GT(second.wait, 0s);
  now += 1s;
  give(second, 12, {item("a", 5), item("c", 12)});
  EXPECT_EQ(follower.view().take_news().keys, (std::vector<std::string>{"b", "c"}));
  EXPECT_TRUE(follower.live());
}

TEST_F(PollTest, AnIndexOfZeroIsAFaultAndBeginsAnew) {
  follower.start(now);
  give(ask(), 10, {item("a", 5)});
  give(ask(), 0, {});
  EXPECT_EQ(follower.counters().failures[static_cast<int>(Fault::malformed)], 1u);
  EXPECT_EQ(follower.view().items().size(), 1u);
  EXPECT_EQ(wait().revision, 0);
}

TEST_F(PollTest, AnIndexThatGoesBackIsAskedForAgainFromTheStartAndThenBelieved) {
  follower.start(now);
  give(ask(), 10, {item("a", 5)});
  give(ask(), 4, {});
  EXPECT_EQ(follower.view().items().size(), 1u);
  Ask again = wait();
  EXPECT_EQ(again.revision, 0);
  give(again, 4, {});
  EXPECT_TRUE(follower.view().items().empty());
  EXPECT_EQ(follower.view().revision(), 4);
  EXPECT_EQ(follower.counters().new_histories, 1u);
}

TEST_F(PollTest, OneThatAnswersAtOnceWithNothingNewIsPaced) {
  follower.start(now);
  give(ask(), 10, {item("a", 5)});
  give(ask(), 10, {item("a", 5)});
  EXPECT_EQ(ask().ticket, 0u);
  EXPECT_GT(follower.due(), now);
  EXPECT_TRUE(follower.live());
  EXPECT_EQ(wait().revision, 10);
}

TEST_F(PollTest, AReadHeldBeyondItsTimeIsGivenUp) {
  follower.start(now);
  give(ask(), 10, {item("a", 5)});
  ask();
  wait();
  EXPECT_EQ(follower.counters().failures[static_cast<int>(Fault::timeout)], 1u);
  EXPECT_FALSE(follower.live());
}

}  // namespace
}  // namespace pearspar::registry
