#include "nodelink/links.h"

#include <gtest/gtest.h>
#include <netinet/in.h>

#include "peers.h"

namespace pearspar::nodelink {
namespace {

using peers::Peer;

// The next complete frame received by the node, removed from its buffer; empty if there is none.
std::string take_frame(Peer& node) {
  FrameView frame;
  if (next_frame(node.seen(), frame) != FrameResult::whole) return "";
  std::string text = std::string(1, frame.letter) + std::string(frame.rest);
  node.drop(frame.size);
  return text;
}

std::string node_frame(char letter, const std::string& rest) {
  std::size_t size = rest.size() + 1;
  return std::string{static_cast<char>(size >> 24), static_cast<char>(size >> 16),
                     static_cast<char>(size >> 8), static_cast<char>(size), letter} +
         rest;
}

class LinksTest : public ::testing::Test, protected LinkHandler {
 protected:
  LinksTest() { links.place(1, node.address(), 0); }

  static LinkLimits limits() { return {2, net::Duration(10), net::Duration(60), true}; }

  struct Ended {
    PartId part;
    int attempt;
    Outcome outcome;
    std::string value, report;
  };
  void attempt_ended(const AttemptEnd& end) override {
    EXPECT_GE(end.took.count(), 0);
    ended.push_back({end.part, end.attempt, end.outcome, std::string(end.value), std::string(end.report)});
  }
  void probe_ended(const ProbeEnd& end) override {
    probes.push_back({end.node, 0, end.outcome, "", std::string(end.report)});
  }
  bool make_room() override { return room || (idle_makes_room && links.close_one_idle()); }

  Call call(PartId part, const std::string& id, double wait = 10, int attempt = 0) {
    net::Time end = loop.now() + net::Duration(wait);
    ids.push_back(id);
    return {part, attempt, ids.back(), 3, "text", end, loop.now() + net::Duration(forget)};
  }
  void send(PartId part, const std::string& id, double wait = 10, int attempt = 0) {
    Call one = call(part, id, wait, attempt);
    links.send(1, {&one, 1});
  }
  bool until(const std::function<bool()>& enough) {
    return peers::turn_until(
        loop, [&] { node.poll(); }, enough);
  }
  // Whether the node's nth connection has received a frame with this beginning.
  bool gets(std::size_t peer, const std::string& start) {
    return until([&] {
      if (node.peers.size() <= peer) return false;
      got = take_frame(*node.peers[peer]);
      return got.substr(0, start.size()) == start;
    });
  }
  bool ends_after(std::size_t count) {
    return until([&] { return ended.size() >= count; });
  }
  Peer& at(std::size_t peer) { return *node.peers.at(peer); }

  net::Loop loop;
  peers::Listener node;
  bool room = true, idle_makes_room = false;
  double forget = 30;
  std::vector<Ended> ended, probes;
  std::deque<std::string> ids;  // backing storage of the ids in the calls
  std::string got;
  Links links{loop, peers::quiet_log(), limits(), *this};
};

TEST_F(LinksTest, AnswersArriveOutOfOrderAndFragmented) {
  std::vector<Call> both = {call(1, "q.1"), call(2, "q.2")};
  links.send(1, both);
  ASSERT_TRUE(gets(0, "mq.1 3 d="));
  EXPECT_NE(got.find("textq.2 3 d="), std::string::npos);  // one frame for both
  std::string bytes = node_frame('q', "q.2 good 5 -\nvalue two") + node_frame('q', "q.1 bad 0 qps=3\n");
  for (char c : bytes) {
    ASSERT_TRUE(at(0).write(std::string_view(&c, 1)));
    loop.run_once(net::Duration(0));
  }
  ASSERT_TRUE(ends_after(2));
  EXPECT_EQ(ended[0].part, 2u);
  EXPECT_EQ(ended[0].outcome, Outcome::ok);
  EXPECT_EQ(ended[0].value, "value two");
  EXPECT_EQ(ended[1].outcome, Outcome::error);
  EXPECT_EQ(ended[1].report, "qps=3");
  EXPECT_EQ(ended[1].value, "");
  EXPECT_EQ(links.attempts_out(), 0u);
}

TEST_F(LinksTest, CallsPerConnectionAreLimited) {
  for (PartId part = 1; part <= 5; ++part) send(part, "q." + std::to_string(part));
  ASSERT_TRUE(until([&] { return node.peers.size() == 3; }));
  EXPECT_EQ(links.connections(), 3u);
  ASSERT_TRUE(gets(0, "mq.1"));
  ASSERT_TRUE(at(0).write(node_frame('q', "q.1 good 0 -\n")));
  ASSERT_TRUE(ends_after(1));
  send(6, "q.6");  // takes the place that became free
  ASSERT_TRUE(gets(0, "mq.2"));
  ASSERT_TRUE(gets(0, "mq.6"));
  EXPECT_EQ(links.connections(), 3u);
}

// Guards against sending further parts to a silent connection while its node serves on others.
TEST_F(LinksTest, SilentConnectionGetsNoNewCalls) {
  forget = 0.1;
  send(1, "q.1", 10);
  ASSERT_TRUE(gets(0, "mq.1"));
  // Sending the part again presumes the attempt in flight lost.
  send(1, "q.1", 10, 1);
  ASSERT_TRUE(gets(1, "mq.1"));
  ASSERT_TRUE(at(1).write(node_frame('q', "q.1 good 0 -\nvalue")));
  ASSERT_TRUE(ends_after(1));
  EXPECT_EQ(ended[0].attempt, 1);
  EXPECT_EQ(links.counters().fell_silent, 1u);
  send(2, "q.2");
  ASSERT_TRUE(gets(1, "mq.2"));
  // Closed when no answer to its last attempt can arrive any more.
  links.give_up(1, 0);
  ASSERT_TRUE(at(1).write(node_frame('q', "q.2 good 0 -\n")));
  std::size_t next = 3;
  ASSERT_TRUE(until([&] {
    if (ended.size() == next) send(static_cast<PartId>(next), "q." + std::to_string(next)), ++next;
    if (FrameView frame; next_frame(at(1).seen(), frame) == FrameResult::whole)
      at(1).drop(frame.size), at(1).write(node_frame('q', "q." + std::to_string(next - 1) + " good 0 -\n"));
    return at(0).ended();
  }));
  EXPECT_EQ(links.connections(), 1u);
  EXPECT_EQ(links.counters().closed_silent, 1u);
}

TEST_F(LinksTest, ConnectionIsReusedAfterSilenceEnds) {
  send(1, "q.1");
  send(2, "q.2", 10);
  ASSERT_TRUE(gets(0, "mq.1"));
  ASSERT_TRUE(gets(0, "mq.2"));
  links.give_up(1, 0);
  EXPECT_EQ(links.counters().fell_silent, 1u);
  ASSERT_TRUE(at(0).write(node_frame('q', "q.2 good 0 -\n")));
  ASSERT_TRUE(ends_after(2));
  send(3, "q.3");
  // The cancellation of the first, then the new one, on the same connection.
  ASSERT_TRUE(gets(0, "nq.1"));
  ASSERT_TRUE(gets(0, "mq.3"));
  EXPECT_EQ(links.connections(), 1u);
}

// A slow connection is not silent: anything read after an attempt was written proves it alive.
TEST_F(LinksTest, ConnectionWithOtherAnswersIsNotSilent) {
  send(1, "q.1");
  ASSERT_TRUE(gets(0, "mq.1"));
  send(2, "q.2");
  ASSERT_TRUE(gets(0, "mq.2"));
  loop.run_once(net::Duration(0.002));
  ASSERT_TRUE(at(0).write(node_frame('q', "q.2 good 0 -\n")));
  ASSERT_TRUE(ends_after(1));
  links.give_up(1, 0);
  EXPECT_EQ(links.counters().fell_silent, 0u);
}

// An id that was never sent is a corrupt one: the request it was meant for must not wait until its timeout.
TEST_F(LinksTest, AnswerWithUnknownIdClosesTheConnection) {
  send(1, "q.1");
  send(2, "q.2");
  ASSERT_TRUE(gets(0, "mq.1"));
  ASSERT_TRUE(gets(0, "mq.2"));
  ASSERT_TRUE(at(0).write(node_frame('q', "x.1 good 0 -\nvalue")));
  ASSERT_TRUE(ends_after(2));
  EXPECT_EQ(ended[0].outcome, Outcome::reset);
  EXPECT_EQ(ended[1].outcome, Outcome::reset);
  EXPECT_EQ(links.counters().unknown_answers, 1u);
  EXPECT_EQ(links.connections(), 0u);
}

TEST_F(LinksTest, RepeatedAnswerIsIgnored) {
  send(1, "q.1");
  send(2, "q.2");
  ASSERT_TRUE(gets(0, "mq.1"));
  ASSERT_TRUE(gets(0, "mq.2"));
  std::string answer = node_frame('q', "q.1 good 0 -\nvalue");
  ASSERT_TRUE(at(0).write(answer + answer));
  ASSERT_TRUE(until([&] { return links.counters().late_answers == 1; }));
  ASSERT_EQ(ended.size(), 1u);
  ASSERT_TRUE(at(0).write(node_frame('q', "q.2 good 0 -\nother")));
  ASSERT_TRUE(ends_after(2));
  EXPECT_EQ(ended[1].value, "other");
  EXPECT_EQ(links.connections(), 1u);
}

TEST_F(LinksTest, BytesBehindAnAnswerCloseTheConnectionButKeepTheAnswer) {
  send(1, "q.1");
  ASSERT_TRUE(gets(0, "mq.1"));
  std::string half("\0\0\1", 3);
  ASSERT_TRUE(at(0).write(node_frame('q', "q.1 good 0 -\nvalue") + half));
  ASSERT_TRUE(ends_after(1));
  EXPECT_EQ(ended[0].outcome, Outcome::ok);
  EXPECT_EQ(ended[0].value, "value");
  ASSERT_TRUE(until([&] { return links.connections() == 0; }));
}

// The rest of a partial frame may never arrive and would swallow later answers.
TEST_F(LinksTest, ConnectionWithAPartialFrameGetsNoNewCalls) {
  send(1, "q.1");
  ASSERT_TRUE(gets(0, "mq.1"));
  ASSERT_TRUE(at(0).write(std::string("\0\0\1\0q", 5)));
  for (int i = 0; i < 20; ++i) loop.run_once(net::Duration(0.001));
  send(2, "q.2");
  ASSERT_TRUE(gets(1, "mq.2"));
}

TEST_F(LinksTest, StateOfARemovedNodeIsFreed) {
  send(1, "q.1");
  ASSERT_TRUE(gets(0, "mq.1"));
  links.retire(1);
  EXPECT_EQ(links.nodes(), 1u);  // an attempt is still in flight
  ASSERT_TRUE(at(0).write(node_frame('q', "q.1 good 0 -\nvalue")));
  ASSERT_TRUE(ends_after(1));
  EXPECT_EQ(links.nodes(), 0u);
  EXPECT_EQ(links.connections(), 0u);
  send(2, "q.2");
  ASSERT_TRUE(ends_after(2));
  EXPECT_EQ(ended[1].outcome, Outcome::connect_failed);
}

TEST_F(LinksTest, LaterIsReportedAsRefused) {
  send(1, "q.1");
  ASSERT_TRUE(gets(0, "mq.1"));
  ASSERT_TRUE(at(0).write(node_frame('q', "q.1 later 0 -\n")));
  ASSERT_TRUE(ends_after(1));
  EXPECT_EQ(ended[0].outcome, Outcome::refused);
}

TEST_F(LinksTest, RefusedConnectionIsReportedAsConnectFailed) {
  node.close();
  send(1, "q.1");
  ASSERT_TRUE(ends_after(1));
  EXPECT_EQ(ended[0].outcome, Outcome::connect_failed);
  EXPECT_EQ(links.connections(), 0u);
}

TEST_F(LinksTest, NoConnectionWithoutADescriptor) {
  room = false;
  send(1, "q.1");
  ASSERT_EQ(ended.size(), 1u);
  EXPECT_EQ(ended[0].outcome, Outcome::connect_failed);
}

// With more nodes than descriptors, the connection idle for longest is closed; busy ones are kept.
TEST_F(LinksTest, IdleConnectionIsClosedForAnotherNode) {
  peers::Listener other, third;
  links.place(2, other.address(), 0);
  links.place(3, third.address(), 0);
  send(1, "q.1");
  ASSERT_TRUE(gets(0, "m"));
  room = false, idle_makes_room = true;
  Call to_second = call(2, "q.2");
  links.send(2, {&to_second, 1});
  ASSERT_EQ(ended.size(), 1u);  // the first one's connection carries a part
  EXPECT_EQ(ended[0].outcome, Outcome::connect_failed);
  at(0).write(node_frame('q', "q.1 good 1 -\nv"));
  ASSERT_TRUE(ends_after(2));
  Call again = call(3, "q.3");
  links.send(2, {&again, 1});
  EXPECT_EQ(links.connections(), 1u);
  EXPECT_EQ(links.counters().closed_for_room, 1u);
  ASSERT_TRUE(peers::turn_until(
      loop, [&] { other.poll(); },
      [&] { return !other.peers.empty() && take_frame(*other.peers[0]).substr(0, 1) == "m"; }));
  EXPECT_EQ(ended.size(), 2u);
  Call last = call(4, "q.4");
  links.send(3, {&last, 1});  // the second one's carries a part now
  ASSERT_EQ(ended.size(), 3u);
  EXPECT_EQ(ended[2].outcome, Outcome::connect_failed);
}

TEST_F(LinksTest, ResetAfterTheLastByteIsReportedAsReset) {
  send(1, "q.1");
  send(2, "q.2");
  ASSERT_TRUE(gets(0, "mq.1"));
  ASSERT_TRUE(gets(0, "mq.2"));
  at(0).reset();
  ASSERT_TRUE(ends_after(2));
  EXPECT_EQ(ended[0].outcome, Outcome::reset);
  EXPECT_EQ(ended[1].outcome, Outcome::reset);
  EXPECT_EQ(links.connections(), 0u);
  send(3, "q.3");  // uses a new connection
  ASSERT_TRUE(gets(1, "mq.3"));
}

// The node reads nothing, so the frame is written in part only: a call whose last byte was not written has
// not run.
TEST_F(LinksTest, ResetBeforeTheLastByteIsReportedAsConnectFailed) {
  std::string text(64 << 20, 't');
  Call large = call(1, "q.1");
  large.text = text;
  links.send(1, {&large, 1});
  ASSERT_TRUE(peers::turn_until(
      loop,
      [&] {
        if (node.peers.empty()) node.poll();
      },
      [&] { return !node.peers.empty(); }));
  for (int i = 0; i < 10; ++i) loop.run_once(net::Duration(0.001));
  EXPECT_TRUE(ended.empty());
  at(0).reset();
  ASSERT_TRUE(ends_after(1));
  EXPECT_EQ(ended[0].outcome, Outcome::connect_failed);
}

TEST_F(LinksTest, UnansweredAttemptTimesOutOnceAndLateAnswerIsDropped) {
  send(1, "q.1", 0.01);
  ASSERT_TRUE(gets(0, "mq.1"));
  ASSERT_TRUE(ends_after(1));
  EXPECT_EQ(ended[0].outcome, Outcome::timeout);
  ASSERT_TRUE(gets(0, "nq.1"));  // the node is notified
  ASSERT_TRUE(at(0).write(node_frame('q', "q.1 good 0 -\nlate")));
  ASSERT_TRUE(until([&] { return links.counters().late_answers == 1; }));
  EXPECT_EQ(ended.size(), 1u);
  links.give_up(1, 0);  // already ended
  EXPECT_EQ(ended.size(), 1u);
}

TEST_F(LinksTest, CancelledAttemptEndsAtOnce) {
  send(1, "q.1");
  ASSERT_TRUE(gets(0, "mq.1"));
  links.give_up(1, 0);
  ASSERT_EQ(ended.size(), 1u);
  EXPECT_EQ(ended[0].outcome, Outcome::cancelled);
  ASSERT_TRUE(gets(0, "nq.1"));
  at(0).reset();
  ASSERT_TRUE(until([&] { return links.connections() == 0; }));
  EXPECT_EQ(ended.size(), 1u);
}

// An unwritten frame is removed, so no cancellation is sent either.
TEST_F(LinksTest, AttemptCancelledBeforeSendingIsNeverSent) {
  send(1, "q.1");
  send(2, "q.2");
  links.give_up(1, 0);  // still connecting
  ASSERT_EQ(ended.size(), 1u);
  EXPECT_EQ(ended[0].outcome, Outcome::cancelled);
  ASSERT_TRUE(gets(0, "m"));
  EXPECT_EQ(got.substr(0, 4), "mq.2");
  EXPECT_EQ(links.counters().give_ups_sent, 0u);
}

// A frame that waits for its connection must not be written after the end of its query.
TEST_F(LinksTest, NoPartOfAnEndedQueryIsSent) {
  std::vector<Call> both = {call(1, "q.1"), call(2, "r.1")};
  links.send(1, both);
  links.withdraw(1);
  ASSERT_EQ(ended.size(), 1u);
  EXPECT_EQ(ended[0].outcome, Outcome::not_sent);
  EXPECT_EQ(ended[0].part, 1u);
  ASSERT_TRUE(gets(0, "mr.1"));
  EXPECT_EQ(got.find("q.1"), std::string::npos);
  links.withdraw(2);  // written already: only the node can end it
  EXPECT_EQ(ended.size(), 1u);
  ASSERT_TRUE(at(0).write(node_frame('q', "r.1 good 0 -\n")));
  ASSERT_TRUE(ends_after(2));
  EXPECT_EQ(ended[1].outcome, Outcome::ok);
}

// Both attempts of a part have the same id on the wire: on one connection, a late answer to the first would
// be taken for the second's.
TEST_F(LinksTest, AttemptsWithOneIdNeverShareAConnection) {
  send(1, "q.1");
  ASSERT_TRUE(gets(0, "mq.1"));
  links.give_up(1, 0);
  send(1, "q.1", 10, 1);
  ASSERT_TRUE(gets(1, "mq.1"));
  ASSERT_TRUE(at(0).write(node_frame('q', "q.1 good 0 -\nfirst")));
  ASSERT_TRUE(until([&] { return links.counters().late_answers == 1; }));
  EXPECT_EQ(ended.size(), 1u);
  ASSERT_TRUE(at(1).write(node_frame('q', "q.1 good 0 -\nsecond")));
  ASSERT_TRUE(ends_after(2));
  EXPECT_EQ(ended[1].attempt, 1);
  EXPECT_EQ(ended[1].value, "second");
}

TEST_F(LinksTest, InvalidFrameClosesTheConnection) {
  const std::string bad[] = {node_frame('z', ""), node_frame('q', "nonsense"), std::string(8, '\xff'),
                             node_frame('r', "no such shard")};
  for (std::size_t i = 0; i < std::size(bad); ++i) {
    PartId part = static_cast<PartId>(i + 1);
    send(part, "q.1", 10, 0);
    ASSERT_TRUE(gets(i, "mq.1"));
    ASSERT_TRUE(at(i).write(bad[i]));
    ASSERT_TRUE(ends_after(i + 1));
    EXPECT_EQ(ended[i].outcome, Outcome::reset);
    EXPECT_EQ(links.connections(), 0u);
  }
  EXPECT_EQ(links.counters().broken_frames, 3u);
  EXPECT_EQ(links.counters().complaints, 1u);
}

TEST_F(LinksTest, ProbesAreAnsweredInOrder) {
  links.probe(1, true);
  ASSERT_TRUE(gets(0, "p"));
  links.probe(1, false);
  links.probe(1, true);
  ASSERT_TRUE(gets(0, "o"));
  ASSERT_TRUE(gets(0, "p"));
  ASSERT_TRUE(at(0).write(node_frame('p', "qps=4") + node_frame('o', "bad") + node_frame('p', "-")));
  ASSERT_TRUE(until([&] { return probes.size() == 3; }));
  EXPECT_EQ(probes[0].outcome, Outcome::ok);
  EXPECT_EQ(probes[0].report, "qps=4");
  EXPECT_EQ(probes[1].outcome, Outcome::error);
  EXPECT_EQ(probes[2].outcome, Outcome::ok);
  EXPECT_EQ(probes[2].report, "");
}

TEST_F(LinksTest, AProbeEndsWithItsConnection) {
  links.probe(1, false);
  ASSERT_TRUE(gets(0, "o"));
  at(0).reset();
  ASSERT_TRUE(until([&] { return probes.size() == 1; }));
  EXPECT_EQ(probes[0].outcome, Outcome::reset);
  node.close();
  links.probe(1, false);
  ASSERT_TRUE(until([&] { return probes.size() == 2; }));
  EXPECT_EQ(probes[1].outcome, Outcome::connect_failed);
}

TEST_F(LinksTest, DropIdleClosesIdleConnectionsOnly) {
  send(1, "q.1");
  ASSERT_TRUE(gets(0, "mq.1"));
  links.drop_idle(1);
  EXPECT_EQ(links.connections(), 1u);
  ASSERT_TRUE(at(0).write(node_frame('q', "q.1 good 0 -\n")));
  ASSERT_TRUE(ends_after(1));
  links.drop_idle(1);
  EXPECT_EQ(links.connections(), 0u);
  ASSERT_TRUE(until([&] { return at(0).ended(); }));
}

// A removed, moved or restarted node: attempts in flight stay, new ones use a new connection.
TEST_F(LinksTest, ConnectionsToAnEarlierProcessAreNotReused) {
  send(1, "q.1");
  ASSERT_TRUE(gets(0, "mq.1"));
  links.place(1, node.address(), 1700000000000.0);
  send(2, "q.2");
  ASSERT_TRUE(gets(1, "mq.2"));
  ASSERT_TRUE(at(0).write(node_frame('q', "q.1 good 0 -\nold")));
  ASSERT_TRUE(ends_after(1));
  EXPECT_EQ(ended[0].value, "old");
  EXPECT_EQ(links.connections(), 1u);  // the old one was closed with its last part
  peers::Listener elsewhere;
  links.place(1, elsewhere.address(), 1700000000000.0);
  send(3, "q.3");
  ASSERT_TRUE(peers::turn_until(
      loop, [&] { elsewhere.poll(); }, [&] { return elsewhere.peers.size() == 1; }));
  links.retire(1);
  EXPECT_EQ(links.connections(), 2u);  // both still carry a part
}

// Guards against a log line for each refused connection of a crashed node.
TEST_F(LinksTest, FailingNodeIsLoggedOnceUntilItAnswersAgain) {
  int ends[2];
  ASSERT_EQ(::pipe(ends), 0);
  net::Fd out(ends[0]), in(ends[1]);
  ::fcntl(out.get(), F_SETFL, O_NONBLOCK);
  log::Logger log(in.get(), log::Level::info, "n");
  Links told(loop, log, limits(), *this);
  auto lines = [&] {
    char text[4096];
    ssize_t got = ::read(out.get(), text, sizeof text);
    return got < 0 ? 0 : std::count(text, text + got, '\n');
  };
  told.place(1, peers::dead_address(), 0);
  for (PartId part = 1; part <= 5; ++part) {
    Call one = call(part, "q.1");
    told.send(1, {&one, 1});
    ASSERT_TRUE(ends_after(part));
  }
  EXPECT_EQ(lines(), 1);
  told.place(1, node.address(), 0);
  Call one = call(6, "q.1");
  told.send(1, {&one, 1});
  ASSERT_TRUE(gets(0, "mq.1"));
  EXPECT_EQ(lines(), 0);
  ASSERT_TRUE(at(0).write(node_frame('q', "q.1 good 0 -\n")));
  ASSERT_TRUE(ends_after(6));
  EXPECT_EQ(lines(), 1);
}

class ShortLinksTest : public LinksTest {
 protected:
  Links brief{loop, peers::quiet_log(), {2, net::Duration(0.02), net::Duration(0.1), true}, *this};
};

TEST_F(ShortLinksTest, IdleConnectionsCloseBeforeTheNodeClosesThem) {
  brief.place(1, node.address(), 0);
  Call one = call(1, "q.1");
  brief.send(1, {&one, 1});
  ASSERT_TRUE(gets(0, "mq.1"));
  ASSERT_TRUE(at(0).write(node_frame('q', "q.1 good 0 -\n")));
  ASSERT_TRUE(ends_after(1));
  ASSERT_TRUE(until([&] { return brief.connections() == 0; }));
  EXPECT_EQ(brief.counters().closed_idle, 1u);
}

// A listener with a full backlog stands in for a vanished machine.
TEST_F(ShortLinksTest, ConnectTimesOut) {
  net::Fd full(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
  sockaddr_in any{};
  any.sin_family = AF_INET;
  any.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  ASSERT_EQ(::bind(full.get(), reinterpret_cast<sockaddr*>(&any), sizeof any), 0);
  ASSERT_EQ(::listen(full.get(), 0), 0);
  net::Address address = net::local_address(full);
  std::vector<Peer> waiting;
  for (int i = 0; i < 4; ++i) waiting.push_back(peers::connect_to(address));
  brief.place(1, address, 0);
  Call one = call(1, "q.1");
  brief.send(1, {&one, 1});
  ASSERT_TRUE(ends_after(1));
  EXPECT_EQ(ended[0].outcome, Outcome::connect_failed);
  EXPECT_EQ(brief.connections(), 0u);
}

TEST_F(ShortLinksTest, LateProbeAnswerIsNotTakenForTheNextProbe) {
  brief.place(1, node.address(), 0);
  brief.probe(1, true);
  ASSERT_TRUE(gets(0, "p"));
  ASSERT_TRUE(until([&] { return probes.size() == 1; }));
  EXPECT_EQ(probes[0].outcome, Outcome::timeout);
  brief.probe(1, true);
  ASSERT_TRUE(gets(0, "p"));
  ASSERT_TRUE(at(0).write(node_frame('p', "qps=1") + node_frame('p', "qps=2")));
  ASSERT_TRUE(until([&] { return probes.size() == 2; }));
  EXPECT_EQ(probes[1].report, probes[1].outcome == Outcome::ok ? "qps=2" : "");
}

}  // namespace
}  // namespace pearspar::nodelink
