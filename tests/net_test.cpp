#include <gtest/gtest.h>

#include "net/loop.h"
#include "net/slots.h"
#include "peers.h"

namespace pearspar::net {
namespace {

TEST(Slots, StaleIdFindsNothingInAReusedSlot) {
  SlotTable<std::string> table;
  SlotId first = table.add("one");
  ASSERT_NE(table.find(first), nullptr);
  EXPECT_EQ(*table.find(first), "one");
  table.release(first);
  EXPECT_EQ(table.find(first), nullptr);
  SlotId second = table.add("two");
  EXPECT_EQ(second.index, first.index);
  EXPECT_EQ(table.find(first), nullptr);
  EXPECT_EQ(*table.find(second), "two");
  table.release(first);  // a stale id releases nothing
  EXPECT_EQ(table.size(), 1u);
  EXPECT_EQ(table.find(SlotId{}), nullptr);
}

TEST(Slots, EntriesDoNotMove) {
  SlotTable<int> table;
  int* first = table.find(table.add(7));
  for (int i = 0; i < 1000; ++i) table.add(i);
  EXPECT_EQ(*first, 7);
}

TEST(Slots, VisitorMayReleaseItsEntry) {
  SlotTable<int> table;
  for (int i = 0; i < 10; ++i) table.add(i);
  table.each([&](SlotId id, int value) {
    if (value % 2 == 0) table.release(id);
  });
  EXPECT_EQ(table.size(), 5u);
}

TEST(Buffer, ViewFollowsConsumeAndAppend) {
  Buffer buffer;
  buffer.append("abcdef");
  buffer.consume(2);
  EXPECT_EQ(buffer.view(), "cdef");
  buffer.append("gh");
  EXPECT_EQ(buffer.view(), "cdefgh");
  buffer.consume(100);
  EXPECT_EQ(buffer.size(), 0u);
}

TEST(Loop, TimersFireInOrder) {
  Loop loop;
  std::string order;
  Timer c = loop.at(loop.now() + Duration(0.003), [&] { order += 'c'; });
  Timer a = loop.at(loop.now() + Duration(0.001), [&] { order += 'a'; });
  Timer b = loop.at(loop.now() + Duration(0.002), [&] { order += 'b'; });
  Timer never = loop.at(loop.now() + Duration(0.0015), [&] { order += 'x'; });
  never.reset();
  ASSERT_TRUE(peers::turn_until(
      loop, [] {}, [&] { return order.size() == 3; }));
  EXPECT_EQ(order, "abc");
  EXPECT_FALSE(a.pending());
}

TEST(Loop, TimerNeverFiresEarly) {
  Loop loop;
  for (int i = 0; i < 20; ++i) {
    Time due = loop.read_clock() + Duration(0.0007);
    bool called = false;
    Timer timer = loop.at(due, [&] {
      called = true;
      EXPECT_GE(loop.now(), due);
    });
    ASSERT_TRUE(peers::turn_until(
        loop, [] {}, [&] { return called; }));
  }
}

// A callback that keeps setting timers which are due already must not block the loop.
TEST(Loop, TimerSetByATimerWaitsForTheNextIteration) {
  Loop loop;
  int calls = 0;
  Timer timer;
  std::function<void()> again = [&] {
    ++calls;
    timer = loop.at(loop.now(), again);
  };
  timer = loop.at(loop.now(), again);
  loop.run_once(Duration(0));
  EXPECT_EQ(calls, 1);
  loop.run_once(Duration(0));
  EXPECT_EQ(calls, 2);
}

// Two descriptors are ready in one iteration, and the first callback ends the watch of the second and creates
// a new one. Guards against delivering the old watch's events to the new one.
TEST(Loop, WatchEndedInTheSameIterationIsNotCalled) {
  Loop loop;
  peers::Listener listener;
  peers::Peer one = peers::connect_to(listener.address());
  peers::Peer two = peers::connect_to(listener.address());
  ASSERT_TRUE(peers::turn_until(
      loop, [&] { listener.poll(); }, [&] { return listener.peers.size() == 2; }));
  for (auto& peer : listener.peers) ASSERT_TRUE(peer->write("x"));
  int calls = 0;
  Watch first, second, third;
  first = loop.watch(one.descriptor(), POLLIN, [&](short) {
    ++calls;
    first.reset();
    second.reset();
    third = loop.watch(two.descriptor(), 0, [&](short) { calls += 100; });
  });
  second = loop.watch(two.descriptor(), POLLIN, [&](short) {
    ++calls;
    first.reset();
    second.reset();
  });
  // Both bytes have to arrive before both descriptors are readable.
  ASSERT_TRUE(peers::turn_until(
      loop, [] {}, [&] { return calls > 0; }));
  EXPECT_EQ(calls, 1);
}

TEST(Address, ParseAndTextRoundTrip) {
  auto address = Address::parse("127.8.0.1:3000");
  ASSERT_TRUE(address);
  EXPECT_EQ(address->text(), "127.8.0.1:3000");
  for (const char* bad : {"", "127.0.0.1", "127.0.0.1:", ":3000", "127.0.0.1:70000", "127.0.0.1:3000x",
                          "host:1", "1.2.3:4", "127.0.0.1:-1"})
    EXPECT_FALSE(Address::parse(bad)) << bad;
}

// Timestamps from other machines are in Unix time and are compared with the local clock.
TEST(Clock, IsAlignedWithUnixTime) {
  Clock clock;
  double unix_now =
      std::chrono::duration<double>(std::chrono::system_clock::now().time_since_epoch()).count();
  EXPECT_NEAR(clock.now().time_since_epoch().count(), unix_now, 5);
  EXPECT_EQ(Clock::from_unix_ms(1500).time_since_epoch().count(), 1.5);
}

}  // namespace
}  // namespace pearspar::net
