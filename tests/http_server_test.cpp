#include "clients/http_server.h"

#include <fmt/format.h>
#include <gtest/gtest.h>

#include <map>

#include "peers.h"

namespace pearspar::clients {
namespace {

class HttpServerTest : public ::testing::Test, protected RequestHandler {
 protected:
  explicit HttpServerTest(std::size_t max_connections = 100,
                          RequestTimeouts timeouts = {net::Duration(60), net::Duration(60)})
      : server(
            loop, [](std::string_view) {}, max_connections, *this, timeouts) {
    server.listen({0x7f000001, 0});
  }

  void request_arrived(net::SlotId connection, const http::Message& message) override {
    requests.push_back({connection, std::string(message.target), std::string(message.body)});
    if (answer_immediately)
      server.answer(connection, {200, "ok " + requests.back().target, "text/plain", {}, 0});
  }
  void client_left(net::SlotId connection) override { disconnected.push_back(connection); }

  peers::Peer client() { return peers::connect_to(server.address()); }
  bool until(const std::function<bool()>& done) {
    return peers::turn_until(
        loop,
        [&] {
          for (auto* peer : watched) peer->read();
        },
        done);
  }
  bool receives(peers::Peer& peer, std::string_view text) {
    return until([&] {
      peer.read();
      return peer.seen().find(text) != std::string_view::npos;
    });
  }
  bool is_closed(peers::Peer& peer) {
    return until([&] {
      peer.read();
      return peer.ended();
    });
  }

  struct Request {
    net::SlotId connection;
    std::string target, body;
  };
  net::Loop loop;
  HttpServer server;
  std::vector<Request> requests;
  std::vector<net::SlotId> disconnected;
  std::vector<peers::Peer*> watched;
  bool answer_immediately = false;
};

TEST_F(HttpServerTest, ConnectionIsReusedForRequests) {
  answer_immediately = true;
  peers::Peer peer = client();
  for (int i = 0; i < 3; ++i) {
    ASSERT_TRUE(until([&] { return server.connections() == 1; }));
    ASSERT_TRUE(peer.write("POST /q" + std::to_string(i) + " HTTP/1.1\r\nContent-Length: 2\r\n\r\nhi"));
    ASSERT_TRUE(receives(peer, "ok /q" + std::to_string(i)));
    peer.drop(peer.seen().size());
  }
  EXPECT_EQ(server.counters().accepted, 1u);
  EXPECT_EQ(requests[2].body, "hi");
}

TEST_F(HttpServerTest, RequestMayArriveByteByByte) {
  answer_immediately = true;
  peers::Peer peer = client();
  ASSERT_TRUE(until([&] { return server.connections() == 1; }));
  for (char c : std::string("POST /q HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\n\r\n")) {
    ASSERT_TRUE(peer.write(std::string_view(&c, 1)));
    loop.run_once(net::Duration(0));
  }
  ASSERT_TRUE(receives(peer, "ok /q"));
  EXPECT_EQ(requests.at(0).body, "hi");
}

TEST_F(HttpServerTest, PipelinedRequestsAreHandledInOrder) {
  peers::Peer peer = client();
  ASSERT_TRUE(until([&] { return server.connections() == 1; }));
  ASSERT_TRUE(peer.write("GET /1 HTTP/1.1\r\n\r\nGET /2 HTTP/1.1\r\n\r\nGET /3 HT"));
  ASSERT_TRUE(until([&] { return requests.size() == 1; }));
  for (int i = 0; i < 5; ++i) loop.run_once(net::Duration(0));
  EXPECT_EQ(requests.size(), 1u);
  server.answer(requests[0].connection, {200, "first", "text/plain", {}, 0});
  ASSERT_TRUE(until([&] { return requests.size() == 2; }));
  server.answer(requests[1].connection, {503, "second", "text/plain", {}, 0.5});
  ASSERT_TRUE(receives(peer, "second"));
  EXPECT_LT(peer.seen().find("first"), peer.seen().find("second"));
  EXPECT_NE(peer.seen().find("Retry-After: 0.500\r\n"), std::string_view::npos);
  ASSERT_TRUE(peer.write("TP/1.1\r\n\r\n"));
  ASSERT_TRUE(until([&] { return requests.size() == 3; }));
}

// A client that keeps sending while its request is pending must not fill the memory.
TEST_F(HttpServerTest, PipelinedBytesAreBounded) {
  peers::Peer peer = client();
  ASSERT_TRUE(until([&] { return server.connections() == 1; }));
  ASSERT_TRUE(peer.write("GET /1 HTTP/1.1\r\n\r\n"));
  ASSERT_TRUE(until([&] { return requests.size() == 1; }));
  std::string more(64 * 1024, 'x');
  int held = 0;
  for (; held < 2000 && peer.write(more); ++held) loop.run_once(net::Duration(0));
  EXPECT_LT(held, 2000);  // 2000 writes are 128 MB, far more than the socket buffers hold
  server.answer(requests[0].connection, {200, "first", "text/plain", {}, 0});
  ASSERT_TRUE(receives(peer, "first"));
  ASSERT_TRUE(receives(peer, "431"));  // the pipelined bytes are not a request
  ASSERT_TRUE(until([&] { return server.connections() == 0; }));
}

// The server does not read while the read-ahead buffer is full, so it cannot see the end of the stream.
TEST_F(HttpServerTest, DisconnectIsNoticedWithAFullReadBuffer) {
  {
    peers::Peer peer = client();
    ASSERT_TRUE(until([&] { return server.connections() == 1; }));
    ASSERT_TRUE(peer.write("GET /1 HTTP/1.1\r\n\r\n"));
    ASSERT_TRUE(until([&] { return requests.size() == 1; }));
    ASSERT_TRUE(peer.write(std::string(100 * 1024, 'x')));
  }
  ASSERT_TRUE(until([&] { return disconnected.size() == 1; }));
  EXPECT_EQ(server.connections(), 0u);
}

TEST_F(HttpServerTest, HeadAnswerOmitsBodyWhenConfigured) {
  answer_immediately = true;
  peers::Peer peer = client();
  ASSERT_TRUE(until([&] { return server.connections() == 1; }));
  ASSERT_TRUE(peer.write("HEAD /1 HTTP/1.1\r\n\r\n"));
  ASSERT_TRUE(receives(peer, "ok /1"));
  peer.drop(peer.seen().size());
  server.omit_body_for_head();
  ASSERT_TRUE(peer.write("HEAD /2 HTTP/1.1\r\n\r\nGET /3 HTTP/1.1\r\n\r\n"));
  ASSERT_TRUE(receives(peer, "ok /3"));
  EXPECT_EQ(peer.seen().find("ok /2"), std::string_view::npos);
  EXPECT_NE(peer.seen().find("Content-Length: 5\r\n\r\nHTTP/1.1 200 OK\r\n"), std::string_view::npos);
}

TEST_F(HttpServerTest, ConfiguredLimitsAreAccepted) {
  server.set_limits({net::Duration(60), net::Duration(60)}, {16 * 1024, 200 * 1024, 4096});
  peers::Peer peer = client();
  ASSERT_TRUE(until([&] { return server.connections() == 1; }));
  std::string text = "POST /q HTTP/1.1\r\nTransfer-Encoding: chunked\r\n";
  for (int i = 0; i < 1000; ++i) text += "X: some\r\n";
  text += "\r\n";
  for (int i = 0; i < 200 * 1024; ++i) text += "1\r\nx\r\n";
  text += "0\r\n\r\n";
  for (std::size_t at = 0; at < text.size(); at += 16 * 1024) {
    ASSERT_TRUE(peer.write(std::string_view(text).substr(at, 16 * 1024)));
    for (int i = 0; i < 3; ++i) loop.run_once(net::Duration(0));
  }
  ASSERT_TRUE(until([&] { return requests.size() == 1; }));
  EXPECT_EQ(requests[0].body.size(), 200u * 1024);
}

// A connection that was opened before kept its limits for good: what a newer configuration allows was
// refused.
TEST_F(HttpServerTest, RaisedLimitsApplyToOpenConnections) {
  answer_immediately = true;
  peers::Peer kept = client(), begun = client();
  ASSERT_TRUE(until([&] { return server.connections() == 2; }));
  ASSERT_TRUE(kept.write("GET /1 HTTP/1.1\r\n\r\n"));
  ASSERT_TRUE(receives(kept, "ok /1"));
  ASSERT_TRUE(begun.write("POST /2 HTTP/1.1\r\n"));
  for (int i = 0; i < 3; ++i) loop.run_once(net::Duration(0));
  constexpr std::size_t body_bytes = 100 * 1024;
  const std::string rest = fmt::format("Content-Length: {}\r\n\r\n", body_bytes);
  server.set_limits({net::Duration(60), net::Duration(60)}, {16 * 1024, body_bytes, 100});
  ASSERT_TRUE(kept.write("POST /3 HTTP/1.1\r\n" + rest));
  ASSERT_TRUE(begun.write(rest));
  for (std::size_t written = 0; written < body_bytes; written += 10 * 1024) {
    ASSERT_TRUE(kept.write(std::string(10 * 1024, 'x')));
    ASSERT_TRUE(begun.write(std::string(10 * 1024, 'x')));
    for (int i = 0; i < 3; ++i) loop.run_once(net::Duration(0));
  }
  EXPECT_TRUE(receives(kept, "ok /3"));
  EXPECT_TRUE(receives(begun, "ok /2"));
}

// The request that has begun was allowed as it began.
TEST_F(HttpServerTest, LoweredLimitsApplyToTheNextRequestOfAnOpenConnection) {
  answer_immediately = true;
  peers::Peer peer = client();
  ASSERT_TRUE(until([&] { return server.connections() == 1; }));
  ASSERT_TRUE(peer.write("POST /1 HTTP/1.1\r\nContent-Length: 2000\r\n\r\n" + std::string(1000, 'x')));
  for (int i = 0; i < 3; ++i) loop.run_once(net::Duration(0));
  server.set_limits({net::Duration(60), net::Duration(60)}, {16 * 1024, 100, 100});
  ASSERT_TRUE(peer.write(std::string(1000, 'x')));
  ASSERT_TRUE(receives(peer, "ok /1"));
  ASSERT_TRUE(peer.write("POST /2 HTTP/1.1\r\nContent-Length: 100\r\n\r\n" + std::string(100, 'x')));
  ASSERT_TRUE(receives(peer, "ok /2"));
  ASSERT_TRUE(peer.write("POST /3 HTTP/1.1\r\nContent-Length: 101\r\n\r\n"));
  EXPECT_TRUE(receives(peer, "413"));
}

// A client that closed its side counts as disconnected.
TEST_F(HttpServerTest, RequestOfADisconnectedClientIsDropped) {
  client().write("GET /1 HTTP/1.1\r\n\r\n");
  ASSERT_TRUE(until([&] { return server.counters().accepted == 1; }));
  ASSERT_TRUE(until([&] { return server.connections() == 0; }));
  EXPECT_TRUE(requests.empty());
}

TEST_F(HttpServerTest, ClientDisconnectIsReported) {
  peers::Peer peer = client(), other_peer = client();
  ASSERT_TRUE(until([&] { return server.connections() == 2; }));
  ASSERT_TRUE(peer.write("GET /1 HTTP/1.1\r\n\r\n"));
  ASSERT_TRUE(until([&] { return requests.size() == 1; }));
  ASSERT_TRUE(other_peer.write("GET /2 HTTP/1.1\r\n\r\n"));
  ASSERT_TRUE(until([&] { return requests.size() == 2; }));
  peer.close();
  ASSERT_TRUE(until([&] { return disconnected.size() == 1; }));
  other_peer.reset();
  ASSERT_TRUE(until([&] { return disconnected.size() == 2; }));
  EXPECT_EQ(disconnected[0], requests[0].connection);
  server.answer(disconnected[0], {200, "too late", "text/plain", {}, 0});  // ignored
  EXPECT_EQ(server.counters().answers, 0u);
}

TEST_F(HttpServerTest, InvalidRequestIsAnsweredAndConnectionClosed) {
  for (auto [bytes, status] : std::vector<std::pair<std::string, std::string>>{
           {"nonsense\r\n\r\n", "400"},
           {"POST / HTTP/1.1\r\n\r\n", "411"},
           {"POST / HTTP/1.1\r\nContent-Length: 70000\r\n\r\n" + std::string(3000, 'x'), "413"},
           {"GET / HTTP/1.1\r\nX: " + std::string(17000, 'x'), "431"}}) {
    peers::Peer peer = client();
    ASSERT_TRUE(until([&] { return server.connections() > 0; }));
    ASSERT_TRUE(peer.write(bytes));
    ASSERT_TRUE(is_closed(peer)) << status;
    EXPECT_EQ(peer.seen().substr(9, 3), status);
    EXPECT_NE(peer.seen().find("Connection: close"), std::string_view::npos);
    peer.close();
    ASSERT_TRUE(until([&] { return server.connections() == 0; }));
  }
  EXPECT_TRUE(requests.empty());
  EXPECT_TRUE(disconnected.empty());
}

TEST_F(HttpServerTest, LargeAnswerIsWrittenInParts) {
  peers::Peer peer = client();
  ASSERT_TRUE(until([&] { return server.connections() == 1; }));
  ASSERT_TRUE(peer.write("GET /1 HTTP/1.1\r\n\r\n"));
  ASSERT_TRUE(until([&] { return requests.size() == 1; }));
  std::string large(20 << 20, 'v');
  server.answer(requests[0].connection, {200, large, "text/plain", {}, 0});
  EXPECT_EQ(server.busy(), 1u);  // the kernel does not accept all of it at once
  ASSERT_TRUE(until([&] {
    peer.read();
    return peer.seen().size() > large.size();
  }));
  EXPECT_NE(peer.seen().find("Content-Length: 20971520\r\n"), std::string_view::npos);
  ASSERT_TRUE(until([&] { return server.busy() == 0; }));
}

// Graceful shutdown: connections close after their answers, and idle ones close immediately.
TEST_F(HttpServerTest, DrainingClosesConnectionsAfterTheirAnswers) {
  peers::Peer busy = client(), idle = client();
  ASSERT_TRUE(until([&] { return server.connections() == 2; }));
  ASSERT_TRUE(busy.write("GET /1 HTTP/1.1\r\n\r\n"));
  ASSERT_TRUE(until([&] { return requests.size() == 1; }));
  server.start_draining();
  peers::Peer late = client();  // in the kernel's accept queue
  ASSERT_TRUE(late.write("GET /2 HTTP/1.1\r\n\r\n"));
  server.stop_listening();
  server.close_idle();
  ASSERT_TRUE(is_closed(idle));
  ASSERT_TRUE(until([&] { return requests.size() == 2; }));
  EXPECT_EQ(server.busy(), 2u);
  for (auto& request : requests) server.answer(request.connection, {200, "done", "text/plain", {}, 0});
  ASSERT_TRUE(is_closed(busy));
  ASSERT_TRUE(is_closed(late));
  EXPECT_NE(late.seen().find("Connection: close"), std::string_view::npos);
  busy.close();
  late.close();
  ASSERT_TRUE(until([&] { return server.busy() == 0; }));
}

class ShortTimeoutHttpServerTest : public HttpServerTest {
 protected:
  ShortTimeoutHttpServerTest() : HttpServerTest(100, {net::Duration(0.05), net::Duration(0.05)}) {}
};

// Incomplete requests and unread answers time out; idle connections and pending requests do not.
TEST_F(ShortTimeoutHttpServerTest, SlowClientsTimeOut) {
  answer_immediately = true;
  peers::Peer idle = client();
  ASSERT_TRUE(until([&] { return idle.write("GET /0 HTTP/1.1\r\n\r\n"); }));
  ASSERT_TRUE(receives(idle, "ok /0"));
  answer_immediately = false;
  requests.clear();
  peers::Peer half = client(), waiting = client(), stuck = client();
  ASSERT_TRUE(until([&] { return half.write("GET /3 HTT"); }));
  ASSERT_TRUE(until([&] { return server.connections() == 4; }));
  ASSERT_TRUE(waiting.write("GET /1 HTTP/1.1\r\n\r\n"));
  ASSERT_TRUE(until([&] { return requests.size() == 1; }));
  ASSERT_TRUE(stuck.write("GET /2 HTTP/1.1\r\n\r\n"));
  ASSERT_TRUE(until([&] { return requests.size() == 2; }));
  server.answer(requests[1].connection, {200, std::string(64 << 20, 'v'), "text/plain", {}, 0});
  ASSERT_TRUE(until([&] { return server.connections() == 2; }));
  EXPECT_EQ(server.counters().timed_out, 2u);
  ASSERT_TRUE(receives(half, " 408 "));
  EXPECT_TRUE(disconnected.empty());
  server.answer(requests[0].connection, {200, "still here", "text/plain", {}, 0});
  ASSERT_TRUE(receives(waiting, "still here"));
}

// Connections that send nothing must not occupy slots.
TEST_F(ShortTimeoutHttpServerTest, UnusedConnectionIsClosed) {
  peers::Peer silent = client();
  ASSERT_TRUE(is_closed(silent));
  EXPECT_TRUE(silent.seen().empty());
  EXPECT_EQ(server.counters().closed_unused, 1u);
  EXPECT_EQ(server.counters().timed_out, 0u);
}

class SmallHttpServerTest : public HttpServerTest {
 protected:
  SmallHttpServerTest() : HttpServerTest(2) {}
};

// A client that has just connected is about to send a request, so an idle connection is closed for it
// instead.
TEST_F(SmallHttpServerTest, NewConnectionIsEvictedLast) {
  answer_immediately = true;
  peers::Peer served = client();
  ASSERT_TRUE(until([&] { return served.write("GET /1 HTTP/1.1\r\n\r\n"); }));
  ASSERT_TRUE(receives(served, "ok /1"));
  peers::Peer fresh = client();
  ASSERT_TRUE(until([&] { return server.counters().accepted == 2; }));
  peers::Peer next = client();
  ASSERT_TRUE(is_closed(served));
  ASSERT_TRUE(fresh.write("GET /2 HTTP/1.1\r\n\r\n"));
  ASSERT_TRUE(receives(fresh, "ok /2"));
}

class SmallShortTimeoutHttpServerTest : public HttpServerTest {
 protected:
  SmallShortTimeoutHttpServerTest() : HttpServerTest(2, {net::Duration(4), net::Duration(60)}) {}
};

// A connection that has long been silent since connecting is closed before one that was served.
TEST_F(SmallShortTimeoutHttpServerTest, SilentConnectionIsEvictedBeforeServedOne) {
  answer_immediately = true;
  peers::Peer served = client();
  ASSERT_TRUE(until([&] { return served.write("GET /1 HTTP/1.1\r\n\r\n"); }));
  ASSERT_TRUE(receives(served, "ok /1"));
  peers::Peer silent = client();
  ASSERT_TRUE(until([&] { return server.counters().accepted == 2; }));
  net::Time since = loop.now();
  ASSERT_TRUE(until([&] { return loop.now() > since + net::Duration(1.1); }));
  peers::Peer next = client();
  ASSERT_TRUE(is_closed(silent));
  served.drop(served.seen().size());
  ASSERT_TRUE(served.write("GET /2 HTTP/1.1\r\n\r\n"));
  ASSERT_TRUE(receives(served, "ok /2"));
}

// Idle connections are closed to make room for new ones; busy ones never are.
TEST_F(SmallHttpServerTest, IdleConnectionsAreEvictedBusyOnesAreNot) {
  peers::Peer busy = client();
  ASSERT_TRUE(until([&] { return server.connections() == 1; }));
  ASSERT_TRUE(busy.write("GET /1 HTTP/1.1\r\n\r\n"));
  ASSERT_TRUE(until([&] { return requests.size() == 1; }));
  peers::Peer idle = client();
  ASSERT_TRUE(until([&] { return server.counters().accepted == 2; }));
  peers::Peer next = client();
  ASSERT_TRUE(is_closed(idle));
  EXPECT_EQ(server.counters().closed_for_room, 1u);
  ASSERT_TRUE(next.write("GET /2 HTTP/1.1\r\n\r\n"));
  ASSERT_TRUE(until([&] { return requests.size() == 2; }));
  // All connections are busy now: a further one waits until a slot is free.
  peers::Peer third = client();
  ASSERT_TRUE(third.write("GET /3 HTTP/1.1\r\n\r\n"));
  ASSERT_TRUE(until([&] { return server.counters().accept_failures > 0; }));
  for (int i = 0; i < 100; ++i) loop.run_once(net::Duration(0));
  EXPECT_LT(server.counters().accept_failures, 50u);  // a spinning loop counts one in each iteration
  EXPECT_EQ(requests.size(), 2u);
  server.answer(requests[0].connection, {200, "done", "text/plain", {}, 0});
  ASSERT_TRUE(until([&] { return requests.size() == 3; }));
}

// Each connection is within its own limits, but all together exceed the bound. Small requests are still
// served.
TEST_F(HttpServerTest, TotalBufferMemoryIsBounded) {
  constexpr std::size_t bound = 200 * 1024;
  server.set_memory_bound(bound);
  answer_immediately = true;
  std::vector<peers::Peer> slow;
  for (int i = 0; i < 8; ++i) {
    slow.push_back(client());
    ASSERT_TRUE(until([&] { return server.counters().accepted == slow.size(); }));
    slow.back().write("POST /slow HTTP/1.1\r\nHost: h\r\nContent-Length: 60000\r\n\r\n" +
                      std::string(50000, 'x'));
    for (int turns = 0; turns < 5; ++turns) loop.run_once(net::Duration(0.005));
    EXPECT_LE(server.held_bytes(),
              bound + 130 * 1024);  // one read may exceed the bound before memory is freed
  }
  EXPECT_GE(server.counters().refused_for_memory, 5u);
  auto quick = client();
  ASSERT_TRUE(until([&] { return server.counters().accepted == 9; }));
  quick.write("GET /quick HTTP/1.1\r\nHost: h\r\n\r\n");
  EXPECT_TRUE(receives(quick, "ok /quick"));
  EXPECT_TRUE(requests.size() == 1);
  int refused = 0;
  for (auto& each : slow) {
    each.read();
    refused += each.seen().find("503") != std::string_view::npos &&
               each.seen().find("Retry-After: 0.200") != std::string_view::npos;
  }
  EXPECT_EQ(static_cast<std::uint64_t>(refused), server.counters().refused_for_memory);
  slow.clear();
  until([&] { return server.connections() <= 1; });
  EXPECT_LE(server.held_bytes(), 40u * 1024);
}

// The buffer must not keep a long body in addition to the handler's copy.
TEST_F(HttpServerTest, PendingRequestIsRemovedFromTheBuffer) {
  auto peer = client();
  ASSERT_TRUE(until([&] { return server.counters().accepted == 1; }));
  peer.write("POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 60000\r\n\r\n" + std::string(60000, 'x'));
  ASSERT_TRUE(until([&] { return requests.size() == 1; }));
  EXPECT_EQ(60000u, requests[0].body.size());
  peer.write("GET /b HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
  for (int turns = 0; turns < 5; ++turns) loop.run_once(net::Duration(0.005));
  EXPECT_EQ(1u, requests.size());
  EXPECT_LE(server.held_bytes(), 2 * 61000 + 20 * 1024u);  // the handler's copies and one read
  server.answer(requests[0].connection, {200, "first", "text/plain", {}, 0});
  ASSERT_TRUE(until([&] { return requests.size() == 2; }));
  server.answer(requests[1].connection, {200, "second", "text/plain", {}, 0});
  EXPECT_TRUE(receives(peer, "second"));
  EXPECT_TRUE(is_closed(peer));
  EXPECT_LT(peer.seen().find("first"), peer.seen().find("second"));
}

}  // namespace
}  // namespace pearspar::clients
