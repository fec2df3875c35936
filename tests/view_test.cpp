#include "registry/view.h"

#include <gtest/gtest.h>

namespace pearspar::registry {
namespace {

Item item(const std::string& value, Revision created, Revision modified, std::int64_t version) {
  return {value, false, created, modified, version};
}
Change put(const std::string& key, const std::string& value, Revision created, Revision at,
           std::int64_t version) {
  return {key, item(value, created, at, version), at};
}
Change removal(const std::string& key, Revision at) { return {key, std::nullopt, at}; }

// Stands at revision 10 with a (created at 2, second put) and b.
class ViewTest : public ::testing::Test {
 protected:
  ViewTest() {
    view.begin_snapshot(10);
    EXPECT_EQ(view.add_page(10, {{"a", item("1", 2, 4, 2)}, {"b", item("2", 3, 3, 1)}}), Verdict::applied);
    EXPECT_EQ(view.finish_snapshot(true), Verdict::applied);
    view.follow();
    view.take_news();
  }
  View view{ViewLimits{4, 100}};
};

TEST(View, NothingStandsUntilTheWholeSnapshotIsIn) {
  View view;
  EXPECT_EQ(view.state(), ViewState::empty);
  EXPECT_EQ(view.add_page(5, {}), Verdict::misplaced);
  view.begin_snapshot(5);
  EXPECT_EQ(view.state(), ViewState::loading);
  EXPECT_EQ(view.add_page(5, {{"a", item("1", 2, 2, 1)}}), Verdict::applied);
  EXPECT_FALSE(view.stands());
  EXPECT_TRUE(view.items().empty());
  EXPECT_FALSE(view.has_news());
  view.abandon_snapshot();
  EXPECT_EQ(view.state(), ViewState::empty);
  EXPECT_EQ(view.finish_snapshot(true), Verdict::misplaced);
}

TEST(View, PagesOfAnotherRevisionOutOfOrderOrFromTheFutureAreRefused) {
  View view;
  view.begin_snapshot(5);
  EXPECT_EQ(view.add_page(5, {{"m", item("1", 2, 2, 1)}}), Verdict::applied);
  EXPECT_EQ(view.add_page(6, {{"n", item("1", 2, 2, 1)}}), Verdict::misplaced);
  EXPECT_EQ(view.add_page(5, {{"m", item("1", 2, 2, 1)}}), Verdict::misplaced);
  EXPECT_EQ(view.add_page(5, {{"a", item("1", 2, 2, 1)}}), Verdict::misplaced);
  EXPECT_EQ(view.add_page(5, {{"z", item("1", 2, 6, 2)}}), Verdict::misplaced);
}

TEST_F(ViewTest, ARevisionsChangesApplyAllTogetherOrNotAtAll) {
  // The second change of revision 12 cannot follow: c was never seen.
  EXPECT_EQ(view.apply({put("a", "9", 2, 11, 3), put("b", "9", 3, 12, 2), put("c", "9", 5, 12, 2)}),
            Verdict::hole);
  EXPECT_EQ(view.revision(), 11);
  EXPECT_EQ(view.items().at("a").value, "9");
  EXPECT_EQ(view.items().at("b").value, "2");
  EXPECT_EQ(view.take_news().keys, std::vector<std::string>{"a"});
}

TEST_F(ViewTest, WhatWasAppliedIsNotAppliedAgain) {
  std::vector<Change> batch = {put("a", "9", 2, 11, 3), removal("b", 12)};
  EXPECT_EQ(view.apply(batch), Verdict::applied);
  view.take_news();
  EXPECT_EQ(view.apply(batch), Verdict::repeated);
  EXPECT_FALSE(view.has_news());
  // Half known, half new.
  EXPECT_EQ(view.apply({removal("b", 12), put("b", "7", 13, 13, 1)}), Verdict::applied);
  EXPECT_EQ(view.items().at("b").value, "7");
}

// Of other keys, so that no key's own count shows it.
TEST_F(ViewTest, WhatComesLateAndWasNeverAppliedIsAHole) {
  EXPECT_EQ(view.apply({put("a", "9", 2, 12, 3)}), Verdict::applied);
  EXPECT_EQ(view.apply({put("b", "9", 3, 11, 2)}), Verdict::hole);
  EXPECT_EQ(view.apply({removal("b", 11)}), Verdict::hole);
  EXPECT_EQ(view.apply({put("c", "9", 11, 11, 1)}), Verdict::hole);
  EXPECT_EQ(view.apply({put("a", "5", 2, 11, 2)}), Verdict::repeated);
  EXPECT_EQ(view.apply({put("c", "9", 13, 13, 1), removal("c", 14)}), Verdict::applied);
  EXPECT_EQ(view.apply({put("c", "9", 13, 13, 1), removal("c", 14)}), Verdict::repeated);
}

TEST_F(ViewTest, AHoleShowsInAKeysOwnCount) {
  EXPECT_EQ(view.apply({put("a", "9", 2, 11, 4)}), Verdict::hole);   // its third put is missing
  EXPECT_EQ(view.apply({put("a", "9", 11, 11, 2)}), Verdict::hole);  // created anew in between
  EXPECT_EQ(view.apply({put("a", "9", 11, 11, 1)}), Verdict::hole);  // its deletion is missing
  EXPECT_EQ(view.apply({removal("c", 11)}), Verdict::hole);          // its creation is missing
  EXPECT_EQ(view.revision(), 10);
  EXPECT_EQ(view.apply({put("a", "9", 2, 11, 3)}), Verdict::applied);
}

TEST_F(ViewTest, DeletedAndCreatedAgainWithinOneBatch) {
  EXPECT_EQ(view.apply({removal("a", 11), put("a", "1", 12, 12, 1)}), Verdict::applied);
  EXPECT_EQ(view.items().at("a").created, 12);
  EXPECT_EQ(view.take_news().keys, std::vector<std::string>{"a"});
}

TEST_F(ViewTest, OutOfOrderOrTwoChangesOfOneKeyAtOnceAreNoHistory) {
  EXPECT_EQ(view.apply({put("a", "9", 2, 12, 3), put("b", "9", 3, 11, 2)}), Verdict::misplaced);
  EXPECT_EQ(view.revision(), 12);
  EXPECT_EQ(view.apply({put("b", "9", 3, 13, 2), removal("b", 13)}), Verdict::misplaced);
  EXPECT_EQ(view.revision(), 12);
}

TEST_F(ViewTest, LimitsRefuseARevisionWhole) {
  EXPECT_EQ(view.apply({put("c", std::string(200, 'x'), 11, 11, 1)}), Verdict::too_large);
  EXPECT_EQ(view.apply({put("c", "", 11, 11, 1), put("d", "", 11, 11, 1), put("e", "", 11, 11, 1)}),
            Verdict::too_large);
  EXPECT_EQ(view.items().size(), 2u);
  EXPECT_EQ(view.apply({removal("a", 11), put("c", "", 11, 11, 1), put("d", "", 11, 11, 1),
                        put("e", "", 11, 11, 1)}),
            Verdict::applied);
  EXPECT_EQ(view.bytes(), 5u);  // b with its value, and three keys
}

TEST_F(ViewTest, ProgressMovesOnAndNeverBack) {
  EXPECT_EQ(view.progress(15), Verdict::applied);
  EXPECT_EQ(view.progress(15), Verdict::nothing);
  EXPECT_EQ(view.progress(14), Verdict::older);
  EXPECT_EQ(view.revision(), 15);
  EXPECT_EQ(view.apply({put("b", "2", 3, 3, 1)}), Verdict::repeated);
  view.lose();
  EXPECT_EQ(view.state(), ViewState::stale);
  EXPECT_EQ(view.progress(16), Verdict::misplaced);
  EXPECT_EQ(view.apply({put("a", "9", 2, 16, 3)}), Verdict::misplaced);
}

TEST_F(ViewTest, ASnapshotBesideWhatStandsTellsWhatDiffersOnceItIsWhole) {
  view.lose();
  view.begin_snapshot(20);
  EXPECT_EQ(view.state(), ViewState::resyncing);
  EXPECT_EQ(view.add_page(20, {{"a", item("1", 2, 4, 2)}, {"c", item("3", 15, 15, 1)}}), Verdict::applied);
  EXPECT_EQ(view.items().size(), 2u);
  EXPECT_EQ(view.revision(), 10);
  EXPECT_FALSE(view.has_news());
  EXPECT_EQ(view.finish_snapshot(false), Verdict::applied);
  EXPECT_EQ(view.revision(), 20);
  EXPECT_EQ(view.take_news().keys, (std::vector<std::string>{"b", "c"}));
  // An older one is taken as well, where its owner says so.
  view.begin_snapshot(3);
  EXPECT_EQ(view.finish_snapshot(true), Verdict::applied);
  EXPECT_EQ(view.revision(), 3);
  EXPECT_TRUE(view.take_news().whole);
  EXPECT_TRUE(view.items().empty());
}

}  // namespace
}  // namespace pearspar::registry
