// What the rules promise of a request between its client and its index server, shown on sockets: an edge's
// proxy between a scripted client and a scripted server on loopback.
#include <cppunit/extensions/HelperMacros.h>
#include <fmt/format.h>
#include <sys/socket.h>

#include <algorithm>
#include <cstdlib>
#include <memory>
#include <vector>

#include "altavia/reverse_proxy.h"
#include "net/listener.h"
#include "protocol/messages.h"

namespace pearspar {
namespace {

using namespace std::chrono_literals;

constexpr net::Duration known_within = 500ms;  // of a client's departure
constexpr const char* configuration =
    R"({"edition":1,"postalRoutes":[{"name":"s","hostName":"h","pathPrefix":"/s/","lineKind":"safe",)"
    R"("deadlineMs":4000,"depot":"p","tries":2},{"name":"u","hostName":"h","pathPrefix":"/u/",)"
    R"("lineKind":"unsafe","deadlineMs":4000,"depot":"p","tries":2}],)"
    R"("depots":[{"name":"p","connLimit":20}]})";

struct NoWire : transport::Transport {
  void set_targets(const std::vector<std::string>&) override {}
  bool send_to(const std::string&, std::string_view) override { return true; }
  bool send(transport::LinkId, std::string_view) override { return true; }
};

// Takes each request and says nothing until it is told to.
class QuietServer {
 public:
  struct Taken {
    std::string text;
    net::SlotId connection;
  };
  explicit QuietServer(net::Loop& loop)
      : loop_(loop), listener_(loop, {0x7f000001, 0}, [this](net::Fd fd) {
          const net::SlotId id = connections_.add();
          Connection& connection = *connections_.find(id);
          connection.fd = std::move(fd);
          connection.watch = loop_.watch(connection.fd.get(), POLLIN, [this, id](short) { read(id); });
        }) {}
  std::string address() const { return listener_.address().text(); }
  bool is_open(std::size_t request) { return connections_.find(taken[request].connection) != nullptr; }
  std::string header(std::size_t request, const std::string& name) const {
    const std::string& text = taken[request].text;
    const std::size_t at = text.find(name + ": ");
    if (at == text.npos) return {};
    const std::size_t from = at + name.size() + 2;
    return text.substr(from, text.find("\r\n", from) - from);
  }
  void say(std::size_t request, const std::string& bytes) {
    Connection* connection = connections_.find(taken[request].connection);
    std::size_t written = 0;
    if (connection) net::write_from(connection->fd, bytes, written);
  }
  void close(std::size_t request, bool resets) {
    Connection* connection = connections_.find(taken[request].connection);
    if (!connection) return;
    if (resets) {
      const linger at_once{1, 0};
      ::setsockopt(connection->fd.get(), SOL_SOCKET, SO_LINGER, &at_once, sizeof at_once);
    }
    connections_.release(taken[request].connection);
  }
  std::vector<Taken> taken;

 private:
  struct Connection {
    net::Fd fd;
    net::Watch watch;
    net::Buffer in;
  };
  void read(net::SlotId id) {
    Connection& connection = *connections_.find(id);
    const net::IoResult result = net::read_into(connection.fd, connection.in, 65536);
    if (result == net::IoResult::none) return;
    if (result != net::IoResult::some) return connections_.release(id);
    if (connection.in.view().find("\r\n\r\n") == std::string_view::npos) return;
    taken.push_back({std::string(connection.in.view()), id});
    connection.in.consume(connection.in.size());
  }
  net::Loop& loop_;
  net::SlotTable<Connection> connections_;
  net::Listener listener_;
};

// Its connection closes with it.
class ScriptedClient {
 public:
  explicit ScriptedClient(const net::Address& to) {
    int error = 0;
    fd_ = net::start_connect(to, error);
  }
  void send(const std::string& bytes) {
    std::size_t written = 0;
    net::write_from(fd_, bytes, written);
    CPPUNIT_ASSERT_EQUAL(bytes.size(), written);
  }
  const std::string& seen() {
    while (net::read_into(fd_, in_, 4096) == net::IoResult::some) {
    }
    seen_ = in_.view();
    return seen_;
  }

 private:
  net::Fd fd_;
  net::Buffer in_;
  std::string seen_;
};

std::string request(const std::string& path, const std::string& id, int deadline_ms) {
  return fmt::format("GET {} HTTP/1.1\r\nHost: h\r\nRequest-Id: {}\r\nDeadline-Ms: {}\r\n\r\n", path, id,
                     deadline_ms);
}

}  // namespace

class RequestGuaranteesTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RequestGuaranteesTest);
  CPPUNIT_TEST(safeRequestIsCancelledWhenItsClientLeaves);
  CPPUNIT_TEST(unsafeRequestIsNotCancelledWhenItsClientLeaves);
  CPPUNIT_TEST(waitOfAPipelinedRequestIsSubtractedFromItsDeadline);
  CPPUNIT_TEST(waitBehindALargeBodyIsSubtractedFromTheDeadline);
  CPPUNIT_TEST(waitOfAnUnreadRequestIsSubtractedFromItsDeadline);
  CPPUNIT_TEST(openRequestsAreAnsweredWhenTheEdgeStops);
  CPPUNIT_TEST(responseWithoutLengthEndsWithItsConnection);
  CPPUNIT_TEST(responseWithoutLengthIsIncompleteAfterAReset);
  CPPUNIT_TEST_SUITE_END();

  net::Loop loop;
  NoWire wire;
  std::unique_ptr<altavia::ReverseProxy> proxy;
  std::unique_ptr<QuietServer> server;

 public:
  void setUp() override {
    server = std::make_unique<QuietServer>(loop);
    altavia::ReverseProxy::Options options;
    options.follower.incarnation = 1;
    options.retry_budget = {1, 100, net::Duration(10)};
    options.max_clients = 20;
    options.warn = [](std::string_view) {};
    proxy = std::make_unique<altavia::ReverseProxy>(loop, wire, std::move(options));
    proxy->start({0x7f000001, 0});
    protocol::StateSnapshot standing;
    standing.at = {1, 1};
    standing.complete = true;
    standing.edges = 1;
    standing.revision = 1;
    standing.configuration = configuration;
    catalog::Node node;
    node.id = "i-1";
    node.service = "p";
    node.address = server->address();
    node.slots = 10;
    standing.nodes.push_back({node, 0});
    proxy->gateway().link_up(1, "127.0.0.1:1");
    proxy->gateway().link_frame(loop.now(), 1, protocol::pack(standing));
    CPPUNIT_ASSERT(proxy->take_configuration());
  }
  void tearDown() override {
    proxy.reset();
    server.reset();
  }

  bool until(net::Duration within, const std::function<bool()>& holds) {
    const net::Time end = loop.read_clock() + within;
    while (!holds() && loop.read_clock() < end) {
      loop.turn(net::Duration(0.01));
      proxy->after_turn();
    }
    return holds();
  }
  std::unique_ptr<ScriptedClient> client() {
    return std::make_unique<ScriptedClient>(proxy->front().address());
  }

  void safeRequestIsCancelledWhenItsClientLeaves() {
    auto leaves = client();
    leaves->send(request("/s/x", "a", 4000));
    CPPUNIT_ASSERT(until(1s, [&] { return server->taken.size() == 1; }));
    leaves.reset();
    CPPUNIT_ASSERT_MESSAGE("the server hears of it",
                           until(known_within, [&] { return !server->is_open(0); }));
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, proxy->gateway().dispatcher().open_requests());
  }

  void unsafeRequestIsNotCancelledWhenItsClientLeaves() {
    auto leaves = client();
    leaves->send(request("/u/x", "a", 4000));
    CPPUNIT_ASSERT(until(1s, [&] { return server->taken.size() == 1; }));
    leaves.reset();
    CPPUNIT_ASSERT_MESSAGE("it is not broken off", !until(known_within, [&] { return !server->is_open(0); }));
    server->say(0, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nRequest-Id: a\r\nPostmark: m\r\n\r\n");
    CPPUNIT_ASSERT(until(1s, [&] { return proxy->gateway().dispatcher().open_requests() == 0; }));
    CPPUNIT_ASSERT_MESSAGE("its connection serves the next", server->is_open(0));
  }

  void waitOfAPipelinedRequestIsSubtractedFromItsDeadline() {
    auto pipelines = client();
    pipelines->send(request("/s/x", "a", 3000) + request("/s/x", "b", 3000));
    CPPUNIT_ASSERT(until(1s, [&] { return server->taken.size() == 1; }));
    until(600ms, [] { return false; });
    server->say(0, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nRequest-Id: a\r\nPostmark: m\r\n\r\n");
    CPPUNIT_ASSERT(until(1s, [&] { return server->taken.size() == 2; }));
    CPPUNIT_ASSERT_EQUAL(std::string("b"), server->header(1, "Request-Id"));
    const int handed = std::atoi(server->header(1, "Deadline-Ms").c_str());
    CPPUNIT_ASSERT_MESSAGE(fmt::format("{} ms of 3000 were handed on after 600", handed),
                           handed > 1000 && handed <= 2450);
  }

  // The body is more than a connection reads ahead; it has left the buffer when the next request comes.
  void waitBehindALargeBodyIsSubtractedFromTheDeadline() {
    auto pipelines = client();
    const std::string body(100'000, 'b');
    pipelines->send(
        fmt::format("POST /u/x HTTP/1.1\r\nHost: h\r\nRequest-Id: a\r\nDeadline-Ms: 3000\r\n"
                    "Content-Length: {}\r\n\r\n{}",
                    body.size(), body));
    CPPUNIT_ASSERT(until(1s, [&] { return server->taken.size() == 1; }));
    pipelines->send(request("/s/x", "b", 3000));
    until(600ms, [] { return false; });
    server->say(0, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nRequest-Id: a\r\nPostmark: m\r\n\r\n");
    CPPUNIT_ASSERT(until(1s, [&] { return server->taken.size() == 2; }));
    CPPUNIT_ASSERT_EQUAL(std::string("b"), server->header(1, "Request-Id"));
    const int handed = std::atoi(server->header(1, "Deadline-Ms").c_str());
    CPPUNIT_ASSERT_MESSAGE(fmt::format("{} ms of 3000 were handed on after 600", handed),
                           handed > 1000 && handed <= 2450);
  }

  // The third stands behind more bytes than a connection reads ahead: it is read only when the second is at
  // work, and may have come at any moment since reading stopped.
  void waitOfAnUnreadRequestIsSubtractedFromItsDeadline() {
    auto pipelines = client();
    const std::string body(100'000, 'b');
    pipelines->send(request("/s/x", "a", 3000) +
                    fmt::format("POST /u/x HTTP/1.1\r\nHost: h\r\nRequest-Id: b\r\nDeadline-Ms: 3000\r\n"
                                "Content-Length: {}\r\n\r\n{}",
                                body.size(), body) +
                    request("/s/x", "c", 3000));
    CPPUNIT_ASSERT(until(1s, [&] { return server->taken.size() == 1; }));
    until(600ms, [] { return false; });
    for (std::size_t i : {0, 1}) {
      CPPUNIT_ASSERT(until(1s, [&] { return server->taken.size() == i + 1; }));
      const std::string id = server->header(i, "Request-Id");
      server->say(i, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nRequest-Id: " + id + "\r\nPostmark: m\r\n\r\n");
    }
    CPPUNIT_ASSERT(until(1s, [&] { return server->taken.size() == 3; }));
    CPPUNIT_ASSERT_EQUAL(std::string("c"), server->header(2, "Request-Id"));
    const int handed = std::atoi(server->header(2, "Deadline-Ms").c_str());
    CPPUNIT_ASSERT_MESSAGE(fmt::format("{} ms of 3000 were handed on after 600", handed),
                           handed > 1000 && handed <= 2450);
  }

  void openRequestsAreAnsweredWhenTheEdgeStops() {
    auto asks = client();
    asks->send(request("/u/x", "a", 3000));
    CPPUNIT_ASSERT(until(1s, [&] { return server->taken.size() == 1; }));
    proxy->finish_open_requests();
    CPPUNIT_ASSERT(until(200ms, [&] { return !asks->seen().empty(); }));
    CPPUNIT_ASSERT_EQUAL(std::string("HTTP/1.1 504"), asks->seen().substr(0, 12));
    CPPUNIT_ASSERT(asks->seen().find("Request-Id: a\r\n") != std::string::npos);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, proxy->front().busy());
    CPPUNIT_ASSERT(
        proxy->gateway().dispatcher().failure_log().as_json(loop.now()).find("\"reason\":\"ending\"") !=
        std::string::npos);
  }

  void responseWithoutLengthEndsWithItsConnection() {
    auto asks = client();
    asks->send(request("/s/x", "a", 3000));
    CPPUNIT_ASSERT(until(1s, [&] { return server->taken.size() == 1; }));
    server->say(0, "HTTP/1.1 200 OK\r\nRequest-Id: a\r\nPostmark: m\r\n\r\nthe whole ");
    until(50ms, [] { return false; });
    CPPUNIT_ASSERT_EQUAL(std::string(), asks->seen());
    server->say(0, "body");
    server->close(0, false);
    CPPUNIT_ASSERT(until(1s, [&] { return asks->seen().find("the whole body") != std::string::npos; }));
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, asks->seen().find("HTTP/1.1 200"));
    CPPUNIT_ASSERT(asks->seen().find("Content-Length: 14\r\n") != std::string::npos);
    CPPUNIT_ASSERT(asks->seen().find("Postmark: m\r\n") != std::string::npos);
  }

  void responseWithoutLengthIsIncompleteAfterAReset() {
    auto asks = client();
    asks->send(request("/u/x", "a", 3000));
    CPPUNIT_ASSERT(until(1s, [&] { return server->taken.size() == 1; }));
    server->say(0, "HTTP/1.1 200 OK\r\nRequest-Id: a\r\nPostmark: m\r\n\r\nhalf");
    until(50ms, [] { return false; });
    server->close(0, true);
    CPPUNIT_ASSERT(until(1s, [&] { return !asks->seen().empty(); }));
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, asks->seen().find("HTTP/1.1 502"));
    CPPUNIT_ASSERT(asks->seen().find("half") == std::string::npos);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RequestGuaranteesTest);

}  // namespace pearspar
