#include "clients/http_server.h"

#include <gtest/gtest.h>

#include <map>

#include "peers.h"

namespace pearspar::clients {
namespace {

class HttpServerTest : public ::testing::Test, protected RequestHandler {
 protected:
  explicit HttpServerTest(std::size_t most = 100,
                          RequestTimeouts timeouts = {net::Duration(60), net::Duration(60)})
      : front(
            loop, [](std::string_view) {}, most, *this, timeouts) {
    front.listen({0x7f000001, 0});
  }

  void request_arrived(net::SlotId connection, const http::Message& message) override {
    arrived.push_back({connection, std::string(message.target), std::string(message.body)});
    if (answer_at_once) front.answer(connection, {200, "ok " + arrived.back().target, "text/plain", {}, 0});
  }
  void client_left(net::SlotId connection) override { left.push_back(connection); }

  peers::Peer client() { return peers::connect_to(front.address()); }
  bool until(const std::function<bool()>& enough) {
    return peers::turn_until(
        loop,
        [&] {
          for (auto* peer : watched) peer->read();
        },
        enough);
  }
  bool sees(peers::Peer& peer, std::string_view text) {
    return until([&] {
      peer.read();
      return peer.seen().find(text) != std::string_view::npos;
    });
  }
  bool ends(peers::Peer& peer) {
    return until([&] {
      peer.read();
      return peer.ended();
    });
  }

  struct Arrived {
    net::SlotId connection;
    std::string target, body;
  };
  net::Loop loop;
  HttpServer front;
  std::vector<Arrived> arrived;
  std::vector<net::SlotId> left;
  std::vector<peers::Peer*> watched;
  bool answer_at_once = false;
};

TEST_F(HttpServerTest, AConnectionCarriesOneRequestAfterTheOther) {
  answer_at_once = true;
  peers::Peer one = client();
  for (int i = 0; i < 3; ++i) {
    ASSERT_TRUE(until([&] { return front.connections() == 1; }));
    ASSERT_TRUE(one.write("POST /q" + std::to_string(i) + " HTTP/1.1\r\nContent-Length: 2\r\n\r\nhi"));
    ASSERT_TRUE(sees(one, "ok /q" + std::to_string(i)));
    one.drop(one.seen().size());
  }
  EXPECT_EQ(front.counters().accepted, 1u);
  EXPECT_EQ(arrived[2].body, "hi");
}

TEST_F(HttpServerTest, ARequestMaySplitAnywhere) {
  answer_at_once = true;
  peers::Peer one = client();
  ASSERT_TRUE(until([&] { return front.connections() == 1; }));
  for (char c : std::string("POST /q HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\n\r\n")) {
    ASSERT_TRUE(one.write(std::string_view(&c, 1)));
    loop.run_once(net::Duration(0));
  }
  ASSERT_TRUE(sees(one, "ok /q"));
  EXPECT_EQ(arrived.at(0).body, "hi");
}

TEST_F(HttpServerTest, BytesAheadOfTheirTurnWaitForIt) {
  peers::Peer one = client();
  ASSERT_TRUE(until([&] { return front.connections() == 1; }));
  ASSERT_TRUE(one.write("GET /1 HTTP/1.1\r\n\r\nGET /2 HTTP/1.1\r\n\r\nGET /3 HT"));
  ASSERT_TRUE(until([&] { return arrived.size() == 1; }));
  for (int i = 0; i < 5; ++i) loop.run_once(net::Duration(0));
  EXPECT_EQ(arrived.size(), 1u);
  front.answer(arrived[0].connection, {200, "first", "text/plain", {}, 0});
  ASSERT_TRUE(until([&] { return arrived.size() == 2; }));
  front.answer(arrived[1].connection, {503, "second", "text/plain", {}, 0.5});
  ASSERT_TRUE(sees(one, "second"));
  EXPECT_LT(one.seen().find("first"), one.seen().find("second"));
  EXPECT_NE(one.seen().find("Retry-After: 0.500\r\n"), std::string_view::npos);
  ASSERT_TRUE(one.write("TP/1.1\r\n\r\n"));
  ASSERT_TRUE(until([&] { return arrived.size() == 3; }));
}

// A client may send without end ahead of its turn: only so much is read, and the rest has to wait there.
TEST_F(HttpServerTest, WhatIsHeldAheadIsBounded) {
  peers::Peer one = client();
  ASSERT_TRUE(until([&] { return front.connections() == 1; }));
  ASSERT_TRUE(one.write("GET /1 HTTP/1.1\r\n\r\n"));
  ASSERT_TRUE(until([&] { return arrived.size() == 1; }));
  std::string more(64 * 1024, 'x');
  int held = 0;
  for (; held < 2000 && one.write(more); ++held) loop.run_once(net::Duration(0));
  EXPECT_LT(held, 2000);  // 128 MB: far more than all buffers between the two take
  front.answer(arrived[0].connection, {200, "first", "text/plain", {}, 0});
  ASSERT_TRUE(sees(one, "first"));
  ASSERT_TRUE(sees(one, "431"));  // what followed is no request
  ASSERT_TRUE(until([&] { return front.connections() == 0; }));
}

// Bytes ahead fill what is held, and its end lies behind them.
TEST_F(HttpServerTest, AClientThatSendsTooMuchAheadAndGoesIsTold) {
  {
    peers::Peer one = client();
    ASSERT_TRUE(until([&] { return front.connections() == 1; }));
    ASSERT_TRUE(one.write("GET /1 HTTP/1.1\r\n\r\n"));
    ASSERT_TRUE(until([&] { return arrived.size() == 1; }));
    ASSERT_TRUE(one.write(std::string(100 * 1024, 'x')));
  }
  ASSERT_TRUE(until([&] { return left.size() == 1; }));
  EXPECT_EQ(front.connections(), 0u);
}

TEST_F(HttpServerTest, AnAnswerToHeadHasNoBodyWhereThatIsAskedFor) {
  answer_at_once = true;
  peers::Peer one = client();
  ASSERT_TRUE(until([&] { return front.connections() == 1; }));
  ASSERT_TRUE(one.write("HEAD /1 HTTP/1.1\r\n\r\n"));
  ASSERT_TRUE(sees(one, "ok /1"));
  one.drop(one.seen().size());
  front.omit_body_for_head();
  ASSERT_TRUE(one.write("HEAD /2 HTTP/1.1\r\n\r\nGET /3 HTTP/1.1\r\n\r\n"));
  ASSERT_TRUE(sees(one, "ok /3"));
  EXPECT_EQ(one.seen().find("ok /2"), std::string_view::npos);
  EXPECT_NE(one.seen().find("Content-Length: 5\r\n\r\nHTTP/1.1 200 OK\r\n"), std::string_view::npos);
}

TEST_F(HttpServerTest, WhatTheOperatorsLimitsBearIsTaken) {
  front.set_limits({net::Duration(60), net::Duration(60)}, {16 * 1024, 200 * 1024, 4096});
  peers::Peer one = client();
  ASSERT_TRUE(until([&] { return front.connections() == 1; }));
  std::string text = "POST /q HTTP/1.1\r\nTransfer-Encoding: chunked\r\n";
  for (int i = 0; i < 1000; ++i) text += "X: some\r\n";
  text += "\r\n";
  for (int i = 0; i < 200 * 1024; ++i) text += "1\r\nx\r\n";
  text += "0\r\n\r\n";
  for (std::size_t at = 0; at < text.size(); at += 16 * 1024) {
    ASSERT_TRUE(one.write(std::string_view(text).substr(at, 16 * 1024)));
    for (int i = 0; i < 3; ++i) loop.run_once(net::Duration(0));
  }
  ASSERT_TRUE(until([&] { return arrived.size() == 1; }));
  EXPECT_EQ(arrived[0].body.size(), 200u * 1024);
}

// A client that ends its side is one that has gone.
TEST_F(HttpServerTest, ARequestThatCameWithItsClientsEndIsNotHandedOn) {
  client().write("GET /1 HTTP/1.1\r\n\r\n");
  ASSERT_TRUE(until([&] { return front.counters().accepted == 1; }));
  ASSERT_TRUE(until([&] { return front.connections() == 0; }));
  EXPECT_TRUE(arrived.empty());
}

TEST_F(HttpServerTest, AClientThatGoesIsTold) {
  peers::Peer one = client(), two = client();
  ASSERT_TRUE(until([&] { return front.connections() == 2; }));
  ASSERT_TRUE(one.write("GET /1 HTTP/1.1\r\n\r\n"));
  ASSERT_TRUE(until([&] { return arrived.size() == 1; }));
  ASSERT_TRUE(two.write("GET /2 HTTP/1.1\r\n\r\n"));
  ASSERT_TRUE(until([&] { return arrived.size() == 2; }));
  one.close();
  ASSERT_TRUE(until([&] { return left.size() == 1; }));
  two.reset();
  ASSERT_TRUE(until([&] { return left.size() == 2; }));
  EXPECT_EQ(left[0], arrived[0].connection);
  front.answer(left[0], {200, "too late", "text/plain", {}, 0});  // finds nobody
  EXPECT_EQ(front.counters().answers, 0u);
}

TEST_F(HttpServerTest, ALostFramingEndsTheConnectionAfterItsAnswer) {
  for (auto [bytes, status] : std::vector<std::pair<std::string, std::string>>{
           {"nonsense\r\n\r\n", "400"},
           {"POST / HTTP/1.1\r\n\r\n", "411"},
           {"POST / HTTP/1.1\r\nContent-Length: 70000\r\n\r\n" + std::string(3000, 'x'), "413"},
           {"GET / HTTP/1.1\r\nX: " + std::string(17000, 'x'), "431"}}) {
    peers::Peer one = client();
    ASSERT_TRUE(until([&] { return front.connections() > 0; }));
    ASSERT_TRUE(one.write(bytes));
    ASSERT_TRUE(ends(one)) << status;
    EXPECT_EQ(one.seen().substr(9, 3), status);
    EXPECT_NE(one.seen().find("Connection: close"), std::string_view::npos);
    one.close();
    ASSERT_TRUE(until([&] { return front.connections() == 0; }));
  }
  EXPECT_TRUE(arrived.empty());
  EXPECT_TRUE(left.empty());
}

TEST_F(HttpServerTest, ALargeAnswerIsWrittenAsItIsTaken) {
  peers::Peer one = client();
  ASSERT_TRUE(until([&] { return front.connections() == 1; }));
  ASSERT_TRUE(one.write("GET /1 HTTP/1.1\r\n\r\n"));
  ASSERT_TRUE(until([&] { return arrived.size() == 1; }));
  std::string large(20 << 20, 'v');
  front.answer(arrived[0].connection, {200, large, "text/plain", {}, 0});
  EXPECT_EQ(front.busy(), 1u);  // the kernel does not take all of it at once
  ASSERT_TRUE(until([&] {
    one.read();
    return one.seen().size() > large.size();
  }));
  EXPECT_NE(one.seen().find("Content-Length: 20971520\r\n"), std::string_view::npos);
  ASSERT_TRUE(until([&] { return front.busy() == 0; }));
}

// A planned end: every answer ends its connection, idle ones are closed on the word, half a request holds
// nothing up.
TEST_F(HttpServerTest, WindingDownEndsEachConnectionWithItsAnswer) {
  peers::Peer busy = client(), idle = client();
  ASSERT_TRUE(until([&] { return front.connections() == 2; }));
  ASSERT_TRUE(busy.write("GET /1 HTTP/1.1\r\n\r\n"));
  ASSERT_TRUE(until([&] { return arrived.size() == 1; }));
  front.start_draining();
  peers::Peer late = client();  // taken by the kernel, so taken by us
  ASSERT_TRUE(late.write("GET /2 HTTP/1.1\r\n\r\n"));
  front.stop_listening();
  front.close_idle();
  ASSERT_TRUE(ends(idle));
  ASSERT_TRUE(until([&] { return arrived.size() == 2; }));
  EXPECT_EQ(front.busy(), 2u);
  for (auto& request : arrived) front.answer(request.connection, {200, "done", "text/plain", {}, 0});
  ASSERT_TRUE(ends(busy));
  ASSERT_TRUE(ends(late));
  EXPECT_NE(late.seen().find("Connection: close"), std::string_view::npos);
  busy.close();
  late.close();
  ASSERT_TRUE(until([&] { return front.busy() == 0; }));
}

class ShortTimeoutHttpServerTest : public HttpServerTest {
 protected:
  ShortTimeoutHttpServerTest() : HttpServerTest(100, {net::Duration(0.05), net::Duration(0.05)}) {}
};

// Half a request, or an answer that is not taken, holds its slot for a bounded time; an idle connection, or
// one whose answer is still awaited, is not held to it.
TEST_F(ShortTimeoutHttpServerTest, ASlowClientHoldsItsSlotForABoundedTime) {
  answer_at_once = true;
  peers::Peer idle = client();
  ASSERT_TRUE(until([&] { return idle.write("GET /0 HTTP/1.1\r\n\r\n"); }));
  ASSERT_TRUE(sees(idle, "ok /0"));
  answer_at_once = false;
  arrived.clear();
  peers::Peer half = client(), waiting = client(), stuck = client();
  ASSERT_TRUE(until([&] { return half.write("GET /3 HTT"); }));
  ASSERT_TRUE(until([&] { return front.connections() == 4; }));
  ASSERT_TRUE(waiting.write("GET /1 HTTP/1.1\r\n\r\n"));
  ASSERT_TRUE(until([&] { return arrived.size() == 1; }));
  ASSERT_TRUE(stuck.write("GET /2 HTTP/1.1\r\n\r\n"));
  ASSERT_TRUE(until([&] { return arrived.size() == 2; }));
  front.answer(arrived[1].connection, {200, std::string(64 << 20, 'v'), "text/plain", {}, 0});
  ASSERT_TRUE(until([&] { return front.connections() == 2; }));
  EXPECT_EQ(front.counters().timed_out, 2u);
  ASSERT_TRUE(sees(half, " 408 "));
  EXPECT_TRUE(left.empty());
  front.answer(arrived[0].connection, {200, "still here", "text/plain", {}, 0});
  ASSERT_TRUE(sees(waiting, "still here"));
}

// Connections by the hundred that say nothing are given back soon.
TEST_F(ShortTimeoutHttpServerTest, AConnectionThatNeverAsksIsClosed) {
  peers::Peer silent = client();
  ASSERT_TRUE(ends(silent));
  EXPECT_TRUE(silent.seen().empty());
  EXPECT_EQ(front.counters().closed_unused, 1u);
  EXPECT_EQ(front.counters().timed_out, 0u);
}

class SmallHttpServerTest : public HttpServerTest {
 protected:
  SmallHttpServerTest() : HttpServerTest(2) {}
};

// A client that has just connected is about to ask: who was served makes way for it, not the other way round.
TEST_F(SmallHttpServerTest, WhoHasJustComeMakesWayLast) {
  answer_at_once = true;
  peers::Peer served = client();
  ASSERT_TRUE(until([&] { return served.write("GET /1 HTTP/1.1\r\n\r\n"); }));
  ASSERT_TRUE(sees(served, "ok /1"));
  peers::Peer fresh = client();
  ASSERT_TRUE(until([&] { return front.counters().accepted == 2; }));
  peers::Peer next = client();
  ASSERT_TRUE(ends(served));
  ASSERT_TRUE(fresh.write("GET /2 HTTP/1.1\r\n\r\n"));
  ASSERT_TRUE(sees(fresh, "ok /2"));
}

class SmallShortTimeoutHttpServerTest : public HttpServerTest {
 protected:
  SmallShortTimeoutHttpServerTest() : HttpServerTest(2, {net::Duration(4), net::Duration(60)}) {}
};

// Who has said nothing for long makes way before who was served.
TEST_F(SmallShortTimeoutHttpServerTest, WhoNeverAskedMakesWayBeforeWhoWasServed) {
  answer_at_once = true;
  peers::Peer served = client();
  ASSERT_TRUE(until([&] { return served.write("GET /1 HTTP/1.1\r\n\r\n"); }));
  ASSERT_TRUE(sees(served, "ok /1"));
  peers::Peer silent = client();
  ASSERT_TRUE(until([&] { return front.counters().accepted == 2; }));
  net::Time since = loop.now();
  ASSERT_TRUE(until([&] { return loop.now() > since + net::Duration(1.1); }));
  peers::Peer next = client();
  ASSERT_TRUE(ends(silent));
  served.drop(served.seen().size());
  ASSERT_TRUE(served.write("GET /2 HTTP/1.1\r\n\r\n"));
  ASSERT_TRUE(sees(served, "ok /2"));
}

// Idle connections make way for new ones, the one idle longest first; busy ones never do.
TEST_F(SmallHttpServerTest, IdleConnectionsMakeWay) {
  peers::Peer busy = client();
  ASSERT_TRUE(until([&] { return front.connections() == 1; }));
  ASSERT_TRUE(busy.write("GET /1 HTTP/1.1\r\n\r\n"));
  ASSERT_TRUE(until([&] { return arrived.size() == 1; }));
  peers::Peer idle = client();
  ASSERT_TRUE(until([&] { return front.counters().accepted == 2; }));
  peers::Peer next = client();
  ASSERT_TRUE(ends(idle));
  EXPECT_EQ(front.counters().closed_for_room, 1u);
  ASSERT_TRUE(next.write("GET /2 HTTP/1.1\r\n\r\n"));
  ASSERT_TRUE(until([&] { return arrived.size() == 2; }));
  // All are busy now: one more waits until a place is free, and is taken then.
  peers::Peer third = client();
  ASSERT_TRUE(third.write("GET /3 HTTP/1.1\r\n\r\n"));
  ASSERT_TRUE(until([&] { return front.counters().accept_failures > 0; }));
  for (int i = 0; i < 100; ++i) loop.run_once(net::Duration(0));
  EXPECT_LT(front.counters().accept_failures, 50u);  // a loop that spins meets one in each turn
  EXPECT_EQ(arrived.size(), 2u);
  front.answer(arrived[0].connection, {200, "done", "text/plain", {}, 0});
  ASSERT_TRUE(until([&] { return arrived.size() == 3; }));
}

// Each is far inside its own bounds; together they are not. Those that are small are served meanwhile.
TEST_F(HttpServerTest, BytesOfAllConnectionsAreBoundedTogether) {
  constexpr std::size_t bound = 200 * 1024;
  front.set_memory_bound(bound);
  answer_at_once = true;
  std::vector<peers::Peer> slow;
  for (int i = 0; i < 8; ++i) {
    slow.push_back(client());
    ASSERT_TRUE(until([&] { return front.counters().accepted == slow.size(); }));
    slow.back().write("POST /slow HTTP/1.1\r\nHost: h\r\nContent-Length: 60000\r\n\r\n" +
                      std::string(50000, 'x'));
    for (int turns = 0; turns < 5; ++turns) loop.run_once(net::Duration(0.005));
    EXPECT_LE(front.held_bytes(),
              bound + 130 * 1024);  // what one step of reading may add before room is made
  }
  EXPECT_GE(front.counters().refused_for_memory, 5u);
  auto quick = client();
  ASSERT_TRUE(until([&] { return front.counters().accepted == 9; }));
  quick.write("GET /quick HTTP/1.1\r\nHost: h\r\n\r\n");
  EXPECT_TRUE(sees(quick, "ok /quick"));
  EXPECT_TRUE(arrived.size() == 1);
  int told = 0;
  for (auto& each : slow) {
    each.read();
    told += each.seen().find("503") != std::string_view::npos &&
            each.seen().find("Retry-After: 0.200") != std::string_view::npos;
  }
  EXPECT_EQ(static_cast<std::uint64_t>(told), front.counters().refused_for_memory);
  slow.clear();
  until([&] { return front.connections() <= 1; });
  EXPECT_LE(front.held_bytes(), 40u * 1024);
}

// A long body that has been handed on is not held beside its user's copy while the answer is awaited.
TEST_F(HttpServerTest, ARequestThatWaitsHasLeftTheBuffer) {
  auto asks = client();
  ASSERT_TRUE(until([&] { return front.counters().accepted == 1; }));
  asks.write("POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 60000\r\n\r\n" + std::string(60000, 'x'));
  ASSERT_TRUE(until([&] { return arrived.size() == 1; }));
  EXPECT_EQ(60000u, arrived[0].body.size());
  asks.write("GET /b HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
  for (int turns = 0; turns < 5; ++turns) loop.run_once(net::Duration(0.005));
  EXPECT_EQ(1u, arrived.size());
  EXPECT_LE(front.held_bytes(), 2 * 61000 + 20 * 1024u);  // its user's copies, and one step of reading
  front.answer(arrived[0].connection, {200, "first", "text/plain", {}, 0});
  ASSERT_TRUE(until([&] { return arrived.size() == 2; }));
  front.answer(arrived[1].connection, {200, "second", "text/plain", {}, 0});
  EXPECT_TRUE(sees(asks, "second"));
  EXPECT_TRUE(ends(asks));
  EXPECT_LT(asks.seen().find("first"), asks.seen().find("second"));
}

}  // namespace
}  // namespace pearspar::clients
