// The modules that use sockets, on loopback with scripted peers: connections to nodes and links between
// processes.
#include <cppunit/extensions/HelperMacros.h>
#include <fmt/format.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <csignal>
#include <deque>
#include <map>
#include <memory>

#include "clients/http_server.h"
#include "net/kernel.h"
#include "net/listener.h"
#include "standins/reserved_port.h"
#include "transport/tcp_transport.h"
#include "upstream/node_links.h"

namespace pearspar {

namespace {

// A node whose responses are given by a script.
class ScriptedNode {
 public:
  using Script = std::function<std::string(const std::string& request, int number)>;  // "" = no response
  ScriptedNode(net::Loop& loop, Script script)
      : loop_(loop), script_(std::move(script)), listener_(loop, {0x7f000001, 0}, [this](net::Fd fd) {
          auto id = connections_.add();
          auto& connection = *connections_.find(id);
          connection.fd = std::move(fd);
          connection.watch = loop_.watch(connection.fd.get(), POLLIN, [this, id](short) { read(id); });
          ++accepted;
        }) {}
  std::string address() const { return listener_.address().text(); }
  int accepted = 0;
  int requests = 0;

 private:
  struct Connection {
    net::Fd fd;
    net::Watch watch;
    net::Buffer in;
  };
  void read(net::SlotId id) {
    auto& connection = *connections_.find(id);
    auto result = net::read_into(connection.fd, connection.in, 65536);
    if (result == net::IoResult::none) return;
    if (result != net::IoResult::some) return connections_.release(id);
    std::string request(connection.in.view());
    if (request.find("\r\n\r\n") == request.npos) return;
    connection.in.consume(request.size());
    std::string answer = script_(request, ++requests);
    bool ends = answer.ends_with("<end>");
    if (ends) answer.resize(answer.size() - 5);
    std::size_t written = 0;
    net::write_from(connection.fd, answer, written);
    if (ends) connections_.release(id);
  }
  net::Loop& loop_;
  Script script_;
  net::SlotTable<Connection> connections_;
  net::Listener listener_;
};

// A connection that is established, accepts `writable_bytes` and then breaks; `answer` can be read from it.
struct BreakingKernel : net::Kernel {
  std::size_t writable_bytes = 0;
  std::string answer;
  bool connection_waits = false;  // on the listener
  bool stays_open = false;        // after `answer` has been read
  net::Time at{};

  net::Time now() override { return at; }
  int poll(pollfd* set, std::size_t size) override {
    for (std::size_t i = 0; i < size; ++i) set[i].revents = set[i].events;
    return static_cast<int>(size);
  }
  int listen(const net::Address&) override { return 6; }
  net::Address local_address(int) override { return {}; }
  net::AcceptResult accept(int, int& accepted) override {
    accepted = 8;
    return std::exchange(connection_waits, false) ? net::AcceptResult::accepted : net::AcceptResult::none;
  }
  int connect(const net::Address&, int&) override { return 7; }
  int connect_error(int) override { return 0; }
  void set_silence_timeout(int, int) override {}
  net::IoResult read(int, char* into, std::size_t most, std::size_t& got) override {
    got = answer.copy(into, most);
    answer.erase(0, got);
    return got > 0 ? net::IoResult::some : stays_open ? net::IoResult::none : net::IoResult::failed;
  }
  net::IoResult write(int, std::string_view bytes, std::size_t& written) override {
    written = std::min(bytes.size(), writable_bytes);
    writable_bytes -= written;
    return written > 0 ? net::IoResult::some : net::IoResult::failed;
  }
  void end_sending(int) override {}
  void close(int) override {}
};

std::string reply(const std::string& id, const std::string& body, const std::string& more = "",
                  int status = 200) {
  return fmt::format("HTTP/1.1 {} X\r\nContent-Length: {}\r\nRequest-Id: {}\r\nPostmark: st\r\n{}\r\n{}",
                     status, body.size(), id, more, body);
}

}  // namespace

class LinksTest : public CppUnit::TestFixture, private transport::TransportHandler {
  CPPUNIT_TEST_SUITE(LinksTest);
  CPPUNIT_TEST(connectionIsReused);
  CPPUNIT_TEST(expiredConnectionIsNotReused);
  CPPUNIT_TEST(responseToAnotherRequestClosesTheConnection);
  CPPUNIT_TEST(truncatedResponseIsBroken);
  CPPUNIT_TEST(finalResponseAfterInterimOneIsReadAtOnce);
  CPPUNIT_TEST(bytesAfterResponseCloseTheConnection);
  CPPUNIT_TEST(refusalsAreDistinguished);
  CPPUNIT_TEST(silentNodeTimesOut);
  CPPUNIT_TEST(closedPortIsNoConnection);
  CPPUNIT_TEST(connectionsAreBounded);
  CPPUNIT_TEST(chunkedResponseIsReadToItsEnd);
  CPPUNIT_TEST(responseToHeadHasNoBody);
  CPPUNIT_TEST(responseWithTwoRequestIdsIsBroken);
  CPPUNIT_TEST(interimResponsesAreSkipped);
  CPPUNIT_TEST(oversizedResponseIsBrokenAtOnce);
  CPPUNIT_TEST(connectionClosedByTheNodeIsNotReused);
  CPPUNIT_TEST(unsentRequestIsReportedAsNotRun);
  CPPUNIT_TEST(partialContinueResponseClosesTheConnection);
  CPPUNIT_TEST(framesArriveWholeAndInOrder);
  CPPUNIT_TEST(dialledLinkIsDialledAgain);
  CPPUNIT_TEST(bothEndsOfALinkDetectSilence);
  CPPUNIT_TEST(oversizedFrameClosesItsLink);
  CPPUNIT_TEST(buffersOfAllLinksAreBoundedTogether);
  CPPUNIT_TEST(inboundLimitsAreEnforced);
  CPPUNIT_TEST(acceptingPausesWithoutDescriptors);
  CPPUNIT_TEST(requestExpiredWhileConnectingIsNotSent);
  CPPUNIT_TEST(connectionToANodeDetectsSilence);
  CPPUNIT_TEST(burstOfConnectionsIsQueued);
  CPPUNIT_TEST(writeToAClosedConnectionRaisesNoSignal);
  CPPUNIT_TEST(refusalReachesAClientThatIsStillSending);
  CPPUNIT_TEST_SUITE_END();

  struct Ended {
    dispatch::CallOutcome ending;
    int status;
    std::string body;
    std::optional<std::size_t> length = {};
  };
  net::Loop loop;
  std::map<std::uint32_t, Ended> ended;
  std::uint32_t next = 0;
  std::unique_ptr<upstream::NodeLinks> links;

  template <typename Done>
  void until(Done done) {
    net::Time end = loop.now() + net::Duration(5);
    while (!done() && loop.now() < end) loop.run_once(net::Duration(0.05));
    CPPUNIT_ASSERT(done());
  }
  bool start(const std::string& address, int most = 4, double end_s = 3, const std::string& method = "GET") {
    ++next;
    dispatch::NodeState node;
    node.address = address;
    return links->start({next, 1}, node, most,
                        {fmt::format("{} /x HTTP/1.1\r\nRequest-Id: id{}\r\n", method, next), "n", ""},
                        loop.now() + net::Duration(end_s));
  }
  Ended& get(const std::string& address, const std::string& method = "GET") {
    CPPUNIT_ASSERT(start(address, 4, 3, method));
    std::uint32_t number = next;
    until([&] { return ended.count(number) > 0; });
    return ended[number];
  }

 public:
  void setUp() override {
    loop.run_once(net::Duration(0));  // updates its clock
    ended.clear();
    next = 0;
    links = std::make_unique<upstream::NodeLinks>(
        loop, [this](dispatch::CallId call, const dispatch::CallResult& end) {
          CPPUNIT_ASSERT(!ended.count(call.index));
          ended[call.index] = {end.outcome, end.status, std::string(end.body), end.content_length};
        });
  }
  void tearDown() override { links.reset(); }

  // The only connection to a node expires while a request to it starts.
  void expiredConnectionIsNotReused() {
    ScriptedNode node(loop, [](const std::string&, int n) {
      return reply("id" + std::to_string(n), "body", "Keep-Alive: timeout=0\r\n");
    });
    for (int i = 0; i < 3; ++i) CPPUNIT_ASSERT_EQUAL(std::string("body"), get(node.address()).body);
    CPPUNIT_ASSERT_EQUAL(3, node.accepted);
  }

  void connectionIsReused() {
    ScriptedNode node(loop,
                      [](const std::string&, int n) { return reply("id" + std::to_string(n), "body"); });
    for (int i = 0; i < 5; ++i) CPPUNIT_ASSERT_EQUAL(std::string("body"), get(node.address()).body);
    CPPUNIT_ASSERT_EQUAL(1, node.accepted);
    ScriptedNode closing(loop, [this](const std::string&, int) {
      return reply("id" + std::to_string(next), "b", "Connection: close\r\n");
    });
    for (int i = 0; i < 3; ++i) get(closing.address());
    CPPUNIT_ASSERT_EQUAL(3, closing.accepted);
  }

  void responseToAnotherRequestClosesTheConnection() {
    ScriptedNode node(loop, [this](const std::string&, int n) {
      return reply(n == 2 ? "id1" : "id" + std::to_string(next), "b");
    });
    CPPUNIT_ASSERT(get(node.address()).ending == dispatch::CallOutcome::answered);
    CPPUNIT_ASSERT(get(node.address()).ending == dispatch::CallOutcome::broken);
    CPPUNIT_ASSERT(get(node.address()).ending == dispatch::CallOutcome::answered);
    CPPUNIT_ASSERT_EQUAL(2, node.accepted);
  }

  void truncatedResponseIsBroken() {
    ScriptedNode node(loop, [this](const std::string&, int) {
      std::string whole = reply("id" + std::to_string(next), "a whole body");
      return whole.substr(0, whole.size() - 3) + "<end>";
    });
    CPPUNIT_ASSERT(get(node.address()).ending == dispatch::CallOutcome::broken);
    ScriptedNode noise(loop, [](const std::string&, int) { return std::string("\x01\x02 what\r\n\r\n"); });
    CPPUNIT_ASSERT(get(noise.address()).ending == dispatch::CallOutcome::broken);
  }

  void finalResponseAfterInterimOneIsReadAtOnce() {
    ScriptedNode node(loop, [this](const std::string&, int) {
      return "HTTP/1.1 103 Early Hints\r\n\r\n" + reply("id" + std::to_string(next), "b");
    });
    for (int i = 0; i < 2; ++i) CPPUNIT_ASSERT_EQUAL(std::string("b"), get(node.address()).body);
    CPPUNIT_ASSERT_EQUAL(1, node.accepted);
  }

  void bytesAfterResponseCloseTheConnection() {
    ScriptedNode node(loop, [this](const std::string&, int) {
      std::string id = "id" + std::to_string(next);
      return reply(id, "b") + reply(id, "once more");
    });
    CPPUNIT_ASSERT_EQUAL(std::string("b"), get(node.address()).body);
    CPPUNIT_ASSERT_EQUAL(std::string("b"), get(node.address()).body);
    CPPUNIT_ASSERT_EQUAL(2, node.accepted);
  }

  void refusalsAreDistinguished() {
    std::string more = "Not-Run: 1\r\n";
    int status = 503;
    ScriptedNode node(
        loop, [&](const std::string&, int) { return reply("id" + std::to_string(next), "", more, status); });
    CPPUNIT_ASSERT(get(node.address()).ending == dispatch::CallOutcome::not_run);
    status = 421;
    CPPUNIT_ASSERT(get(node.address()).ending == dispatch::CallOutcome::misdirected);
    status = 503;
    more = "";
    CPPUNIT_ASSERT(get(node.address()).ending == dispatch::CallOutcome::answered);
    more = "Content-Encoding: gzip\r\n";
    status = 200;
    CPPUNIT_ASSERT(get(node.address()).ending == dispatch::CallOutcome::broken);
  }

  void silentNodeTimesOut() {
    ScriptedNode node(loop, [](const std::string&, int) { return std::string(); });
    CPPUNIT_ASSERT(start(node.address(), 4, 0.05));
    until([&] { return ended.count(1) > 0; });
    CPPUNIT_ASSERT(ended[1].ending == dispatch::CallOutcome::broken);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, links->connections());
  }

  void closedPortIsNoConnection() {
    std::string address;
    {
      ScriptedNode node(loop, [](const std::string&, int) { return std::string(); });
      address = node.address();
    }
    CPPUNIT_ASSERT(get(address).ending == dispatch::CallOutcome::no_connection);
  }

  void connectionsAreBounded() {
    ScriptedNode node(loop, [](const std::string&, int) { return std::string(); });
    CPPUNIT_ASSERT(start(node.address(), 2));
    CPPUNIT_ASSERT(start(node.address(), 2));
    CPPUNIT_ASSERT(!start(node.address(), 2));
  }

  void chunkedResponseIsReadToItsEnd() {
    ScriptedNode node(loop, [](const std::string&, int) {
      return std::string(
          "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nPostmark: "
          "s\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n");
    });
    CPPUNIT_ASSERT_EQUAL(std::string("abcde"), get(node.address()).body);
  }

  void responseToHeadHasNoBody() {
    bool sends_body = false;
    ScriptedNode node(loop, [&](const std::string& request, int) {
      std::string whole = reply("id" + std::to_string(next), "a body");
      return request.starts_with("HEAD") && !sends_body ? whole.substr(0, whole.size() - 6) : whole;
    });
    for (int i = 0; i < 2; ++i) {
      Ended head = get(node.address(), "HEAD");
      CPPUNIT_ASSERT(head.ending == dispatch::CallOutcome::answered);
      CPPUNIT_ASSERT(head.body.empty() && head.length == std::size_t{6});
      CPPUNIT_ASSERT_EQUAL(std::string("a body"), get(node.address()).body);
    }
    CPPUNIT_ASSERT_EQUAL(1, node.accepted);
    // A body that is sent nevertheless makes the connection unusable.
    sends_body = true;
    CPPUNIT_ASSERT(get(node.address(), "HEAD").ending == dispatch::CallOutcome::answered);
    CPPUNIT_ASSERT_EQUAL(std::string("a body"), get(node.address()).body);
    CPPUNIT_ASSERT_EQUAL(2, node.accepted);
  }

  void responseWithTwoRequestIdsIsBroken() {
    ScriptedNode node(loop, [this](const std::string&, int) {
      return reply("id" + std::to_string(next), "b", "Request-Id: other\r\n");
    });
    CPPUNIT_ASSERT(get(node.address()).ending == dispatch::CallOutcome::broken);
    // Trailers are not headers.
    ScriptedNode late(loop, [this](const std::string&, int) {
      return fmt::format(
          "HTTP/1.1 200 X\r\nRequest-Id: id{}\r\nTransfer-Encoding: chunked\r\n\r\n"
          "1\r\nb\r\n0\r\nRequest-Id: other\r\n\r\n",
          next);
    });
    CPPUNIT_ASSERT_EQUAL(std::string("b"), get(late.address()).body);
  }

  void interimResponsesAreSkipped() {
    ScriptedNode node(loop, [this](const std::string&, int) {
      std::string interim;
      for (int i = 0; i < 100; ++i) interim += "HTTP/1.1 103 Early\r\nRequest-Id: other\r\n\r\n";
      return interim + reply("id" + std::to_string(next), "b");
    });
    CPPUNIT_ASSERT_EQUAL(std::string("b"), get(node.address()).body);
    CPPUNIT_ASSERT_EQUAL(std::string("b"), get(node.address()).body);
    CPPUNIT_ASSERT_EQUAL(1, node.accepted);
  }

  void oversizedResponseIsBrokenAtOnce() {
    ScriptedNode node(loop, [this](const std::string&, int) {
      return fmt::format("HTTP/1.1 200 X\r\nRequest-Id: id{}\r\nContent-Length: 5000000\r\n\r\n", next);
    });
    net::Time before = loop.now();
    CPPUNIT_ASSERT(get(node.address()).ending == dispatch::CallOutcome::broken);
    CPPUNIT_ASSERT(loop.now() - before < net::Duration(1));
  }

  // The node has closed the connection, and the loop has not reported it yet: a request on it would be lost.
  void connectionClosedByTheNodeIsNotReused() {
    ScriptedNode node(loop, [this](const std::string&, int) {
      return reply("id" + std::to_string(next), "body") + "<end>";
    });
    for (int i = 0; i < 5; ++i) CPPUNIT_ASSERT_EQUAL(std::string("body"), get(node.address()).body);
    CPPUNIT_ASSERT(links->counters().forgotten > 0);
  }

  void unsentRequestIsReportedAsNotRun() {
    BreakingKernel kernel;
    net::ScopedKernelOverride in(kernel);
    net::Loop test_loop;
    std::vector<dispatch::CallOutcome> outcomes;
    upstream::NodeLinks breaking(test_loop, [&](dispatch::CallId, const dispatch::CallResult& end) {
      outcomes.push_back(end.outcome);
    });
    auto ends = [&](std::size_t writable_bytes, const std::string& answer) {
      kernel.writable_bytes = writable_bytes;
      kernel.answer = answer;
      dispatch::NodeState node;
      node.address = "10.0.0.1:1";
      CPPUNIT_ASSERT(breaking.start({++next, 1}, node, 4, {"GET /x HTTP/1.1\r\nRequest-Id: id\r\n", "n", ""},
                                    kernel.at + net::Duration(3)));
      outcomes.clear();
      for (int i = 0; i < 5 && outcomes.empty(); ++i) test_loop.run_once(net::Duration(0));
      CPPUNIT_ASSERT_EQUAL(std::size_t{1}, outcomes.size());
      return outcomes[0];
    };
    CPPUNIT_ASSERT(ends(0, "") == dispatch::CallOutcome::no_connection);
    CPPUNIT_ASSERT(ends(10, "") == dispatch::CallOutcome::broken);
    // The node refused before the whole request was written.
    CPPUNIT_ASSERT(ends(10, reply("id", "", "Not-Run: 1\r\n", 503)) == dispatch::CallOutcome::not_run);
  }

  // The rest of a partly written "100 Continue" would precede the response.
  void partialContinueResponseClosesTheConnection() {
    struct NoHandler : clients::RequestHandler {
      void request_arrived(net::SlotId, const http::Message&) override {}
      void client_left(net::SlotId) override {}
    } no_handler;
    for (std::size_t writable_bytes : {10, 100}) {
      BreakingKernel kernel;
      net::ScopedKernelOverride in(kernel);
      kernel.connection_waits = kernel.stays_open = true;
      kernel.writable_bytes = writable_bytes;
      kernel.answer = "POST /x HTTP/1.1\r\nContent-Length: 5\r\nExpect: 100-continue\r\n\r\n";
      net::Loop test_loop;
      clients::HttpServer front(
          test_loop, [](std::string_view) {}, 8, no_handler);
      front.listen({1, 1});
      for (int i = 0; i < 3; ++i) test_loop.run_once(net::Duration(0));
      CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, front.counters().accepted);
      CPPUNIT_ASSERT_EQUAL(std::size_t{writable_bytes == 10 ? 0u : 1u}, front.connections());
    }
  }

  // A node without power says nothing: without a timeout its connections would hang.
  void connectionToANodeDetectsSilence() {
    ScriptedNode node(loop, [](const std::string&, int) { return std::string(); });
    CPPUNIT_ASSERT(start(node.address()));
    until([&] { return node.requests == 1; });
    const net::Address address = *net::Address::parse(node.address());
    int dialled_ends = 0;
    for (int fd = 3; fd < 256; ++fd) {
      sockaddr_in peer{};
      socklen_t size = sizeof peer;
      if (::getpeername(fd, reinterpret_cast<sockaddr*>(&peer), &size) != 0) continue;
      if (ntohs(peer.sin_port) != address.port) continue;
      int timeout_ms = 0;
      size = sizeof timeout_ms;
      CPPUNIT_ASSERT_EQUAL(0, ::getsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &timeout_ms, &size));
      CPPUNIT_ASSERT_EQUAL(1500, timeout_ms);
      ++dialled_ends;
    }
    CPPUNIT_ASSERT_EQUAL(1, dialled_ends);
  }

  // A full queue of new connections drops the opening packet, which is sent again only after a second.
  void burstOfConnectionsIsQueued() {
    constexpr std::size_t burst = 400;
    const net::Address address = free_address();
    const net::Fd listener = net::listen_on(address);
    std::vector<net::Fd> clients;
    for (std::size_t i = 0; i < burst; ++i) {
      int error = 0;
      clients.push_back(net::start_connect(address, error));
      CPPUNIT_ASSERT_EQUAL(0, error);
    }
    std::size_t accepted = 0;
    net::Fd connection;
    const net::Time end = loop.read_clock() + net::Duration(0.5);
    std::vector<net::Fd> kept;
    while (accepted < burst && loop.read_clock() < end) {
      // The kernel queues one connection more than its bound; accepting late would hide a short queue.
      loop.run_once(net::Duration(0.1));
      while (net::accept_one(listener, connection) == net::AcceptResult::accepted) {
        ++accepted;
        kept.push_back(std::move(connection));
      }
    }
    CPPUNIT_ASSERT_EQUAL(burst, accepted);
  }

  // A write to a connection that the peer has closed raises SIGPIPE, which ends the process.
  void writeToAClosedConnectionRaisesNoSignal() {
    static volatile std::sig_atomic_t raised;
    raised = 0;
    const auto previous = std::signal(SIGPIPE, [](int) { raised = raised + 1; });
    const net::Address address = free_address();
    const net::Fd listener = net::listen_on(address);
    int error = 0;
    const net::Fd writer = net::start_connect(address, error);
    net::Fd reader;
    until([&] { return reader || net::accept_one(listener, reader) == net::AcceptResult::accepted; });
    reader.reset();
    std::size_t written = 0;
    until([&] { return net::write_from(writer, "x", written) == net::IoResult::failed; });
    CPPUNIT_ASSERT(net::write_from(writer, "x", written) == net::IoResult::failed);
    std::signal(SIGPIPE, previous);
    CPPUNIT_ASSERT_EQUAL(0, static_cast<int>(raised));
  }

  // Closing with unread bytes resets the connection: the client would see a reset instead of the refusal.
  void refusalReachesAClientThatIsStillSending() {
    struct NoHandler : clients::RequestHandler {
      void request_arrived(net::SlotId, const http::Message&) override {}
      void client_left(net::SlotId) override {}
    } no_handler;
    clients::HttpServer front(loop, [](std::string_view) {}, 8, no_handler, {}, {1024, 1000, 64});
    front.listen({0x7f000001, 0});
    int error = 0;
    const net::Fd client = net::start_connect(front.address(), error);
    const std::string head = "POST /x HTTP/1.1\r\nContent-Length: 1000000\r\n\r\n";
    std::size_t written = 0;
    until([&] { return written > 0 || net::write_from(client, head, written) == net::IoResult::some; });
    const std::string piece(4000, 'b');
    for (int i = 0; i < 30; ++i) {
      CPPUNIT_ASSERT(net::write_from(client, piece, written) == net::IoResult::some);
      loop.run_once(net::Duration(0.002));
    }
    net::Buffer received;
    CPPUNIT_ASSERT(net::read_into(client, received, 4096) == net::IoResult::some);
    CPPUNIT_ASSERT_EQUAL(std::string("HTTP/1.1 413"), std::string(received.view().substr(0, 12)));
  }

  // Links between processes.
  std::vector<std::string> frames;
  std::vector<transport::LinkId> up, down;
  void link_up(transport::LinkId link, const std::string&) override { up.push_back(link); }
  void link_frame(transport::LinkId, std::string_view frame) override { frames.emplace_back(frame); }
  void link_down(transport::LinkId link) override { down.push_back(link); }
  void clear() {
    frames.clear();
    up.clear();
    down.clear();
  }

  static net::Address free_address() {
    static std::deque<standins::ReservedPort> kept;
    return kept.emplace_back(net::Address{0x7f000001, 0}).address();
  }

  void framesArriveWholeAndInOrder() {
    clear();
    net::Address address = free_address();
    transport::TcpTransport here(loop, *this), there(loop, *this);
    there.listen(address);
    std::string large(1 << 20, 'x');
    CPPUNIT_ASSERT(here.send_to(address.text(), "one"));
    here.send_to(address.text(), large);
    here.send_to(address.text(), "");
    here.send_to(address.text(), "four");
    until([&] { return frames.size() == 4; });
    CPPUNIT_ASSERT(frames[0] == "one" && frames[1] == large && frames[2].empty() && frames[3] == "four");
  }

  void dialledLinkIsDialledAgain() {
    clear();
    net::Address address = free_address();
    transport::TcpTransport here(loop, *this);
    here.set_targets({address.text()});
    {
      transport::TcpTransport there(loop, *this);
      there.listen(address);
      until([&] { return up.size() == 1; });
    }
    until([&] { return down.size() == 1; });
    transport::TcpTransport again(loop, *this);
    again.listen(address);
    until([&] { return up.size() == 2; });
    here.set_targets({});
    CPPUNIT_ASSERT(!here.send(up[1], "x"));
  }

  // A partition can swallow the end of a connection. Without keepalive and a user timeout the other end would
  // keep writing to a dead link.
  void bothEndsOfALinkDetectSilence() {
    clear();
    net::Address address = free_address();
    transport::TcpTransport here(loop, *this), there(loop, *this);
    there.listen(address);
    here.set_targets({address.text()});
    until([&] { return up.size() == 1 && there.count() == 1; });
    int probed_ends = 0;
    for (int fd = 3; fd < 256; ++fd) {
      sockaddr_in peer{}, own{};
      socklen_t size = sizeof peer;
      if (::getpeername(fd, reinterpret_cast<sockaddr*>(&peer), &size) != 0) continue;
      size = sizeof own;
      ::getsockname(fd, reinterpret_cast<sockaddr*>(&own), &size);
      if (ntohs(peer.sin_port) != address.port && ntohs(own.sin_port) != address.port) continue;
      auto value = [&](int level, int name) {
        int found = 0;
        socklen_t length = sizeof found;
        return ::getsockopt(fd, level, name, &found, &length) == 0 ? found : -1;
      };
      CPPUNIT_ASSERT_EQUAL(1, value(SOL_SOCKET, SO_KEEPALIVE));
      int within_s = value(IPPROTO_TCP, TCP_KEEPIDLE) +
                     value(IPPROTO_TCP, TCP_KEEPINTVL) * value(IPPROTO_TCP, TCP_KEEPCNT);
      CPPUNIT_ASSERT(within_s <= 3);
      CPPUNIT_ASSERT(value(IPPROTO_TCP, TCP_USER_TIMEOUT) <= 1200);
      ++probed_ends;
    }
    CPPUNIT_ASSERT_EQUAL(2, probed_ends);
  }

  void oversizedFrameClosesItsLink() {
    clear();
    net::Address address = free_address();
    transport::TcpTransport there(loop, *this);
    there.listen(address);
    int error = 0;
    net::Fd fd = net::start_connect(address, error);
    std::size_t written = 0;
    until([&] { return net::write_from(fd, "\x7f\xff\xff\xff", written) == net::IoResult::some; });
    net::Buffer in;
    net::IoResult result = net::IoResult::none;
    until([&] { return (result = net::read_into(fd, in, 100)) != net::IoResult::none; });
    CPPUNIT_ASSERT(result != net::IoResult::some);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, there.count());
  }

  // Each frame is within its limit. The links with the largest buffers are closed, and the others keep
  // working.
  void buffersOfAllLinksAreBoundedTogether() {
    clear();
    net::Address address = free_address();
    transport::TcpTransport there(loop, *this), here(loop, *this);
    there.listen(address);
    there.set_memory_bound(1 << 20);
    here.set_targets({address.text()});
    until([&] { return there.count() == 1; });
    const std::string incomplete_frame =
        std::string("\0\x0f\x42\x40", 4) + std::string(400'000, 'x');  // of 1,000,000
    std::vector<net::Fd> connections;
    std::size_t peak = 0;
    for (int i = 0; i < 8; ++i) {
      int error = 0;
      connections.push_back(net::start_connect(address, error));
      std::size_t sent = 0;
      until([&] {
        std::size_t written = 0;
        net::write_from(connections.back(), std::string_view(incomplete_frame).substr(sent), written);
        sent += written;
        peak = std::max(peak, there.held_bytes());
        return sent == incomplete_frame.size() || written == 0;
      });
    }
    until([&] { return there.closed_for_memory() >= 4; });
    CPPUNIT_ASSERT(there.closed_for_memory() >= 4);
    // The bound is checked after each read.
    CPPUNIT_ASSERT(peak <= (1 << 20) + 4 * 64 * 1024);
    CPPUNIT_ASSERT(here.send_to(address.text(), "still carried"));
    until([&] { return !frames.empty(); });
    CPPUNIT_ASSERT_EQUAL(std::string("still carried"), frames.back());
    connections.clear();
    until([&] { return there.count() == 1; });
    CPPUNIT_ASSERT(there.held_bytes() < 100'000);
  }

  // A listener that stays readable while no descriptor is free is polled again after a pause, not at once.
  void acceptingPausesWithoutDescriptors() {
    struct FullKernel : BreakingKernel {
      int accept_calls = 0;
      net::AcceptResult accept(int, int&) override {
        ++accept_calls;
        return net::AcceptResult::no_descriptors;
      }
    } kernel;
    net::ScopedKernelOverride stands_in(kernel);
    net::Loop test_loop;
    transport::TcpTransport links(test_loop, *this);
    links.listen({0x7f000001, 0});
    for (int i = 0; i < 100; ++i) test_loop.run_once(net::Duration(0));
    CPPUNIT_ASSERT_EQUAL(1, kernel.accept_calls);
    kernel.at += net::Duration(0.05);
    for (int i = 0; i < 100; ++i) test_loop.run_once(net::Duration(0));
    CPPUNIT_ASSERT_EQUAL(2, kernel.accept_calls);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, links.accept_failures());
  }

  // As edges listen for other edges: two links at once with short frames.
  void inboundLimitsAreEnforced() {
    clear();
    net::Address address = free_address();
    transport::TcpTransport there(loop, *this);
    there.listen(address, {2, 64});
    transport::TransportHandler& user = *this;
    std::vector<std::unique_ptr<transport::TcpTransport>> here;
    for (int i = 0; i < 3; ++i)
      here.emplace_back(std::make_unique<transport::TcpTransport>(loop, user))->set_targets({address.text()});
    until([&] { return up.size() >= 3 && !down.empty(); });
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, there.count());
    for (auto& each : here) each->send_to(address.text(), std::string(65, 'x'));
    until([&] { return there.count() == 0; });
    CPPUNIT_ASSERT(frames.empty());
    here.pop_back();
    here.pop_back();
    until([&] {
      here[0]->send_to(address.text(), "short");
      return !frames.empty();
    });
  }

  // The process was suspended while the connection was being established.
  void requestExpiredWhileConnectingIsNotSent() {
    BreakingKernel kernel;
    net::ScopedKernelOverride stands_in(kernel);
    net::Loop test_loop;
    std::vector<dispatch::CallOutcome> outcomes;
    upstream::NodeLinks late(test_loop, [&](dispatch::CallId, const dispatch::CallResult& end) {
      outcomes.push_back(end.outcome);
    });
    constexpr std::size_t room = 1000;
    kernel.writable_bytes = room;
    kernel.stays_open = true;
    dispatch::NodeState node;
    node.address = "10.0.0.1:1";
    CPPUNIT_ASSERT(late.start({++next, 1}, node, 4, {"GET /x HTTP/1.1\r\nRequest-Id: id\r\n", "n", ""},
                              kernel.at + net::Duration(3)));
    kernel.at += net::Duration(10);
    for (int i = 0; i < 5 && outcomes.empty(); ++i) test_loop.run_once(net::Duration(0));
    CPPUNIT_ASSERT((outcomes == std::vector{dispatch::CallOutcome::no_connection}));
    CPPUNIT_ASSERT_EQUAL(room, kernel.writable_bytes);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LinksTest);

}  // namespace pearspar
