// Guarantees for a request between its client and its index server: cancellation, deadlines, shutdown and
// truncated responses, tested with a reverse proxy between a scripted client and a scripted server on
// loopback.
#include <cppunit/extensions/HelperMacros.h>
#include <fmt/format.h>
#include <sys/socket.h>
#include <unistd.h>

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

constexpr net::Duration cancellation_timeout = 500ms;   // after its client has left
constexpr net::Duration max_configuration_lag = 200ms;  // then an edge that lacks one refuses
constexpr const char* configuration =
    R"({"edition":1,"postalRoutes":[{"name":"s","hostName":"h","pathPrefix":"/s/","lineKind":"safe",)"
    R"("deadlineMs":4000,"depot":"p","tries":2},{"name":"u","hostName":"h","pathPrefix":"/u/",)"
    R"("lineKind":"unsafe","deadlineMs":4000,"depot":"p","tries":2}],)"
    R"("depots":[{"name":"p","connLimit":20}]})";

// Both routes go to another service; an index server of the first one may still be at work.
constexpr const char* moved_routes =
    R"({"edition":2,"postalRoutes":[{"name":"s","hostName":"h","pathPrefix":"/s/","lineKind":"safe",)"
    R"("deadlineMs":900,"depot":"q","tries":2},{"name":"u","hostName":"h","pathPrefix":"/u/",)"
    R"("lineKind":"unsafe","deadlineMs":900,"depot":"q","tries":2}],)"
    R"("depots":[{"name":"p","connLimit":20},{"name":"q","connLimit":20}]})";
constexpr const char* no_routes = R"({"edition":2,"postalRoutes":[],"depots":[]})";
constexpr transport::LinkId leader_link = 1;
constexpr const char* larger_limits =
    R"({"edition":2,"postalRoutes":[{"name":"u","hostName":"h","pathPrefix":"/u/","lineKind":"unsafe",)"
    R"("deadlineMs":4000,"depot":"p","tries":2}],"depots":[{"name":"p","connLimit":20}],)"
    R"("limits":{"maxBodyBytes":400000}})";
constexpr std::size_t large_body_bytes = 300'000;  // more than `configuration` allows, not `larger_limits`
constexpr std::size_t body_piece_bytes = 50'000;
const std::string large_request = fmt::format(
    "POST /u/x HTTP/1.1\r\nHost: h\r\nRequest-Id: a\r\nContent-Length: {}\r\n\r\n", large_body_bytes);

struct NullTransport : transport::Transport {
  void set_targets(const std::vector<std::string>&) override {}
  bool send_to(const std::string&, std::string_view) override { return true; }
  bool send(transport::LinkId, std::string_view) override { return true; }
};

// Records each request and sends only what a test tells it to.
class ScriptedServer {
 public:
  struct ReceivedRequest {
    std::string text;
    net::SlotId connection;
  };
  explicit ScriptedServer(net::Loop& loop)
      : loop_(loop), listener_(loop, {0x7f000001, 0}, [this](net::Fd fd) {
          const net::SlotId id = connections_.add();
          Connection& connection = *connections_.find(id);
          connection.fd = std::move(fd);
          connection.watch = loop_.watch(connection.fd.get(), POLLIN, [this, id](short) { read(id); });
        }) {}
  std::string address() const { return listener_.address().text(); }
  bool is_open(std::size_t request) { return connections_.find(requests[request].connection) != nullptr; }
  std::string header(std::size_t request, const std::string& name) const {
    const std::string& text = requests[request].text;
    const std::size_t at = text.find(name + ": ");
    if (at == text.npos) return {};
    const std::size_t from = at + name.size() + 2;
    return text.substr(from, text.find("\r\n", from) - from);
  }
  void send(std::size_t request, const std::string& bytes) {
    Connection* connection = connections_.find(requests[request].connection);
    std::size_t written = 0;
    if (connection) net::write_from(connection->fd, bytes, written);
  }
  void close(std::size_t request, bool reset) {
    Connection* connection = connections_.find(requests[request].connection);
    if (!connection) return;
    if (reset) {
      const linger reset_on_close{1, 0};
      ::setsockopt(connection->fd.get(), SOL_SOCKET, SO_LINGER, &reset_on_close, sizeof reset_on_close);
    }
    connections_.release(requests[request].connection);
  }
  std::vector<ReceivedRequest> requests;

 private:
  struct Connection {
    net::Fd fd;
    net::Watch watch;
    net::Buffer input;
  };
  void read(net::SlotId id) {
    Connection& connection = *connections_.find(id);
    const net::IoResult result = net::read_into(connection.fd, connection.input, 65536);
    if (result == net::IoResult::none) return;
    if (result != net::IoResult::some) return connections_.release(id);
    if (connection.input.view().find("\r\n\r\n") == std::string_view::npos) return;
    requests.push_back({std::string(connection.input.view()), id});
    connection.input.consume(connection.input.size());
  }
  net::Loop& loop_;
  net::SlotTable<Connection> connections_;
  net::Listener listener_;
};

// A client connection that is closed by the destructor.
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
  const std::string& received() {
    while (net::read_into(fd_, input_, 4096) == net::IoResult::some) {
    }
    received_ = input_.view();
    return received_;
  }

 private:
  net::Fd fd_;
  net::Buffer input_;
  std::string received_;
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
  CPPUNIT_TEST(openRequestIsAnsweredThoughItsRouteMoves);
  CPPUNIT_TEST(openRequestIsAnsweredThoughItsRouteAndNodeAreDropped);
  CPPUNIT_TEST(idleLimitOfANewConfigurationSparesOpenRequests);
  CPPUNIT_TEST(limitsOfAnOutdatedConfigurationAreNotFinal);
  CPPUNIT_TEST(limitsOfAnUnconfirmedConfigurationAreNotFinal);
  CPPUNIT_TEST(limitsOfAConfirmedConfigurationAreFinal);
  CPPUNIT_TEST(requestReadAfterAPauseIsUnconfirmed);
  CPPUNIT_TEST_SUITE_END();

  net::Loop loop;
  NullTransport null_transport;
  std::unique_ptr<altavia::ReverseProxy> proxy;
  std::unique_ptr<ScriptedServer> server;

 public:
  void setUp() override {
    loop.run_once(net::Duration(0));  // updates its clock, which dates from the start of the program
    server = std::make_unique<ScriptedServer>(loop);
    altavia::ReverseProxy::Options options;
    options.follower.incarnation = 1;
    options.follower.max_configuration_lag = max_configuration_lag;
    options.retry_budget = {1, 100, net::Duration(10)};
    options.max_clients = 20;
    options.warn = [](std::string_view) {};
    proxy = std::make_unique<altavia::ReverseProxy>(loop, null_transport, std::move(options));
    proxy->start({0x7f000001, 0});
    proxy->gateway().link_up(leader_link, "127.0.0.1:1");
    receive(protocol::pack(snapshot_of(1, configuration, true)));
    CPPUNIT_ASSERT(proxy->take_configuration());
  }
  void tearDown() override {
    proxy.reset();
    server.reset();
  }

  protocol::StateSnapshot snapshot_of(catalog::Revision revision, const std::string& text,
                                      bool includes_node) {
    protocol::StateSnapshot snapshot;
    snapshot.at = {1, revision};
    snapshot.complete = true;
    snapshot.edges = 1;
    snapshot.revision = revision;
    snapshot.configuration = text;
    if (!includes_node) return snapshot;
    catalog::Node node;
    node.id = "i-1";
    node.service = "p";
    node.address = server->address();
    node.slots = 10;
    snapshot.nodes.push_back({node, 0});
    return snapshot;
  }
  void receive(const std::string& frame) { proxy->gateway().link_frame(loop.now(), leader_link, frame); }

  bool wait_until(net::Duration timeout, const std::function<bool()>& condition) {
    const net::Time end = loop.read_clock() + timeout;
    while (!condition() && loop.read_clock() < end) {
      loop.run_once(net::Duration(0.01));
      proxy->after_turn();
    }
    return condition();
  }
  std::unique_ptr<ScriptedClient> client() {
    return std::make_unique<ScriptedClient>(proxy->front().address());
  }

  void safeRequestIsCancelledWhenItsClientLeaves() {
    auto leaving_client = client();
    leaving_client->send(request("/s/x", "a", 4000));
    CPPUNIT_ASSERT(wait_until(1s, [&] { return server->requests.size() == 1; }));
    leaving_client.reset();
    CPPUNIT_ASSERT_MESSAGE("the call is cancelled at the server",
                           wait_until(cancellation_timeout, [&] { return !server->is_open(0); }));
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, proxy->gateway().dispatcher().open_requests());
  }

  void unsafeRequestIsNotCancelledWhenItsClientLeaves() {
    auto leaving_client = client();
    leaving_client->send(request("/u/x", "a", 4000));
    CPPUNIT_ASSERT(wait_until(1s, [&] { return server->requests.size() == 1; }));
    leaving_client.reset();
    CPPUNIT_ASSERT_MESSAGE("the call is not cancelled",
                           !wait_until(cancellation_timeout, [&] { return !server->is_open(0); }));
    server->send(0, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nRequest-Id: a\r\nPostmark: m\r\n\r\n");
    CPPUNIT_ASSERT(wait_until(1s, [&] { return proxy->gateway().dispatcher().open_requests() == 0; }));
    CPPUNIT_ASSERT_MESSAGE("the server connection stays open", server->is_open(0));
  }

  void waitOfAPipelinedRequestIsSubtractedFromItsDeadline() {
    auto pipelining_client = client();
    pipelining_client->send(request("/s/x", "a", 3000) + request("/s/x", "b", 3000));
    CPPUNIT_ASSERT(wait_until(1s, [&] { return server->requests.size() == 1; }));
    wait_until(600ms, [] { return false; });
    server->send(0, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nRequest-Id: a\r\nPostmark: m\r\n\r\n");
    CPPUNIT_ASSERT(wait_until(1s, [&] { return server->requests.size() == 2; }));
    CPPUNIT_ASSERT_EQUAL(std::string("b"), server->header(1, "Request-Id"));
    const int forwarded_ms = std::atoi(server->header(1, "Deadline-Ms").c_str());
    CPPUNIT_ASSERT_MESSAGE(fmt::format("{} ms of 3000 were forwarded after 600", forwarded_ms),
                           forwarded_ms > 1000 && forwarded_ms <= 2450);
  }

  // The body exceeds the read-ahead of a connection and has left the buffer when the next request arrives.
  void waitBehindALargeBodyIsSubtractedFromTheDeadline() {
    auto pipelining_client = client();
    const std::string body(100'000, 'b');
    pipelining_client->send(
        fmt::format("POST /u/x HTTP/1.1\r\nHost: h\r\nRequest-Id: a\r\nDeadline-Ms: 3000\r\n"
                    "Content-Length: {}\r\n\r\n{}",
                    body.size(), body));
    CPPUNIT_ASSERT(wait_until(1s, [&] { return server->requests.size() == 1; }));
    pipelining_client->send(request("/s/x", "b", 3000));
    wait_until(600ms, [] { return false; });
    server->send(0, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nRequest-Id: a\r\nPostmark: m\r\n\r\n");
    CPPUNIT_ASSERT(wait_until(1s, [&] { return server->requests.size() == 2; }));
    CPPUNIT_ASSERT_EQUAL(std::string("b"), server->header(1, "Request-Id"));
    const int forwarded_ms = std::atoi(server->header(1, "Deadline-Ms").c_str());
    CPPUNIT_ASSERT_MESSAGE(fmt::format("{} ms of 3000 were forwarded after 600", forwarded_ms),
                           forwarded_ms > 1000 && forwarded_ms <= 2450);
  }

  // The third request follows more bytes than the read-ahead of a connection: it is read only when the second
  // is being served, and may have arrived at any time since reading stopped.
  void waitOfAnUnreadRequestIsSubtractedFromItsDeadline() {
    auto pipelining_client = client();
    const std::string body(100'000, 'b');
    pipelining_client->send(
        request("/s/x", "a", 3000) +
        fmt::format("POST /u/x HTTP/1.1\r\nHost: h\r\nRequest-Id: b\r\nDeadline-Ms: 3000\r\n"
                    "Content-Length: {}\r\n\r\n{}",
                    body.size(), body) +
        request("/s/x", "c", 3000));
    CPPUNIT_ASSERT(wait_until(1s, [&] { return server->requests.size() == 1; }));
    wait_until(600ms, [] { return false; });
    for (std::size_t i : {0, 1}) {
      CPPUNIT_ASSERT(wait_until(1s, [&] { return server->requests.size() == i + 1; }));
      const std::string id = server->header(i, "Request-Id");
      server->send(i,
                   "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nRequest-Id: " + id + "\r\nPostmark: m\r\n\r\n");
    }
    CPPUNIT_ASSERT(wait_until(1s, [&] { return server->requests.size() == 3; }));
    CPPUNIT_ASSERT_EQUAL(std::string("c"), server->header(2, "Request-Id"));
    const int forwarded_ms = std::atoi(server->header(2, "Deadline-Ms").c_str());
    CPPUNIT_ASSERT_MESSAGE(fmt::format("{} ms of 3000 were forwarded after 600", forwarded_ms),
                           forwarded_ms > 1000 && forwarded_ms <= 2450);
  }

  void openRequestsAreAnsweredWhenTheEdgeStops() {
    auto waiting_client = client();
    waiting_client->send(request("/u/x", "a", 3000));
    CPPUNIT_ASSERT(wait_until(1s, [&] { return server->requests.size() == 1; }));
    proxy->finish_open_requests();
    CPPUNIT_ASSERT(wait_until(200ms, [&] { return !waiting_client->received().empty(); }));
    CPPUNIT_ASSERT_EQUAL(std::string("HTTP/1.1 504"), waiting_client->received().substr(0, 12));
    CPPUNIT_ASSERT(waiting_client->received().find("Request-Id: a\r\n") != std::string::npos);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, proxy->front().busy());
    CPPUNIT_ASSERT(
        proxy->gateway().dispatcher().failure_log().as_json(loop.now()).find("\"reason\":\"ending\"") !=
        std::string::npos);
  }

  void responseWithoutLengthEndsWithItsConnection() {
    auto waiting_client = client();
    waiting_client->send(request("/s/x", "a", 3000));
    CPPUNIT_ASSERT(wait_until(1s, [&] { return server->requests.size() == 1; }));
    server->send(0, "HTTP/1.1 200 OK\r\nRequest-Id: a\r\nPostmark: m\r\n\r\nthe whole ");
    wait_until(50ms, [] { return false; });
    CPPUNIT_ASSERT_EQUAL(std::string(), waiting_client->received());
    server->send(0, "body");
    server->close(0, false);
    CPPUNIT_ASSERT(wait_until(
        1s, [&] { return waiting_client->received().find("the whole body") != std::string::npos; }));
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, waiting_client->received().find("HTTP/1.1 200"));
    CPPUNIT_ASSERT(waiting_client->received().find("Content-Length: 14\r\n") != std::string::npos);
    CPPUNIT_ASSERT(waiting_client->received().find("Postmark: m\r\n") != std::string::npos);
  }

  void responseWithoutLengthIsIncompleteAfterAReset() {
    auto waiting_client = client();
    waiting_client->send(request("/u/x", "a", 3000));
    CPPUNIT_ASSERT(wait_until(1s, [&] { return server->requests.size() == 1; }));
    server->send(0, "HTTP/1.1 200 OK\r\nRequest-Id: a\r\nPostmark: m\r\n\r\nhalf");
    wait_until(50ms, [] { return false; });
    server->close(0, true);
    CPPUNIT_ASSERT(wait_until(1s, [&] { return !waiting_client->received().empty(); }));
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, waiting_client->received().find("HTTP/1.1 502"));
    CPPUNIT_ASSERT(waiting_client->received().find("half") == std::string::npos);
  }

  // Sends a request of each route, changes the configuration while half of each answer is there, and expects
  // both answers whole.
  void expect_answers_across(const protocol::StateSnapshot& next) {
    auto safe_client = client(), unsafe_client = client();
    safe_client->send(request("/s/x", "a", 3000));
    CPPUNIT_ASSERT(wait_until(1s, [&] { return server->requests.size() == 1; }));
    unsafe_client->send(request("/u/x", "b", 3000));
    CPPUNIT_ASSERT(wait_until(1s, [&] { return server->requests.size() == 2; }));
    const std::string head = "HTTP/1.1 200 OK\r\nContent-Length: 14\r\nPostmark: m\r\nRequest-Id: ";
    server->send(0, head + "a\r\n\r\nthe whole ");
    server->send(1, head + "b\r\n\r\nthe whole ");
    wait_until(20ms, [] { return false; });
    receive(protocol::pack(next));
    CPPUNIT_ASSERT(proxy->take_configuration());
    // Longer than the deadlines of the new routes, and long enough for the periodic sweep.
    for (int i = 0; i < 10; ++i) {
      wait_until(100ms, [] { return false; });
      proxy->sweep();
    }
    CPPUNIT_ASSERT_MESSAGE("nothing is answered by the new configuration",
                           safe_client->received().empty() && unsafe_client->received().empty());
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, server->requests.size());
    server->send(0, "body");
    server->send(1, "body");
    for (ScriptedClient* waiting : {safe_client.get(), unsafe_client.get()}) {
      CPPUNIT_ASSERT(
          wait_until(1s, [&] { return waiting->received().find("the whole body") != std::string::npos; }));
      CPPUNIT_ASSERT_EQUAL(std::size_t{0}, waiting->received().find("HTTP/1.1 200"));
    }
  }

  // LOST: a request that is open while its route moves would lose its answer.
  void openRequestIsAnsweredThoughItsRouteMoves() {
    expect_answers_across(snapshot_of(2, moved_routes, true));
  }

  // LOST: a request that is open while its route, its service and its index server go would lose its answer.
  void openRequestIsAnsweredThoughItsRouteAndNodeAreDropped() {
    expect_answers_across(snapshot_of(2, no_routes, false));
    auto later_client = client();
    later_client->send(request("/s/x", "c", 3000));
    CPPUNIT_ASSERT(wait_until(1s, [&] { return !later_client->received().empty(); }));
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, server->requests.size());
  }

  // LOST: a shorter idle limit would end connections whose request is at an index server.
  void idleLimitOfANewConfigurationSparesOpenRequests() {
    expect_answers_across(snapshot_of(
        2, R"({"edition":2,"postalRoutes":[],"depots":[],"limits":{"idleLimitMs":1,"headerWaitMs":1}})",
        true));
  }

  std::string answer_to_a_large_body() {
    auto sending_client = client();
    sending_client->send(large_request);
    CPPUNIT_ASSERT(wait_until(1s, [&] { return !sending_client->received().empty(); }));
    return sending_client->received();
  }
  std::string answer_to_a_large_header() {
    auto sending_client = client();
    sending_client->send("GET /u/x HTTP/1.1\r\nHost: h\r\nX: " + std::string(20'000, 'x') + "\r\n\r\n");
    CPPUNIT_ASSERT(wait_until(1s, [&] { return !sending_client->received().empty(); }));
    return sending_client->received();
  }

  // DENIED: an edge that knows that it lacks a configuration would refuse with 413 and 431, which no client
  // repeats, what that configuration may allow.
  void limitsOfAnOutdatedConfigurationAreNotFinal() {
    receive(protocol::pack(protocol::ConfigurationNotice{2}));
    wait_until(max_configuration_lag * 1.5, [] { return false; });
    for (const std::string& answer : {answer_to_a_large_body(), answer_to_a_large_header()}) {
      CPPUNIT_ASSERT_EQUAL(std::string("HTTP/1.1 503"), answer.substr(0, 12));
      CPPUNIT_ASSERT(answer.find("Retry-After: ") != std::string::npos);
    }
    receive(protocol::pack(protocol::ConfigurationUpdate{0, 2, 0, larger_limits}));
    CPPUNIT_ASSERT(proxy->take_configuration());
    auto sending_client = client();
    sending_client->send(large_request);
    for (std::size_t sent = 0; sent < large_body_bytes; sent += body_piece_bytes) {
      sending_client->send(std::string(body_piece_bytes, 'b'));
      wait_until(10ms, [] { return false; });
    }
    CPPUNIT_ASSERT(wait_until(1s, [&] { return server->requests.size() == 1; }));
  }

  // The same for an edge that no leader has confirmed yet.
  void limitsOfAnUnconfirmedConfigurationAreNotFinal() {
    proxy->gateway().dispatcher().set_routes_confirmed_until(net::Time::min());
    CPPUNIT_ASSERT_EQUAL(std::string("HTTP/1.1 503"), answer_to_a_large_body().substr(0, 12));
  }

  // A 503 instead of 413 or 431 would have clients repeat what no configuration allows.
  void limitsOfAConfirmedConfigurationAreFinal() {
    CPPUNIT_ASSERT_EQUAL(std::string("HTTP/1.1 413"), answer_to_a_large_body().substr(0, 12));
    CPPUNIT_ASSERT_EQUAL(std::string("HTTP/1.1 431"), answer_to_a_large_header().substr(0, 12));
  }

  // TWICE: an edge that was frozen between its look at the clock and a request went by the time before, and
  // took its configuration for the one in force.
  void requestReadAfterAPauseIsUnconfirmed() {
    int ends[2];
    CPPUNIT_ASSERT_EQUAL(0, ::pipe(ends));
    const net::Fd readable(ends[0]), writable(ends[1]);
    bool paused = false;
    // Handled before the client's connection, which comes later.
    const net::Watch pause = loop.watch(readable.get(), POLLIN, [&](short) {
      if (std::exchange(paused, true)) return;
      proxy->gateway().dispatcher().set_routes_confirmed_until(loop.now());
      while (loop.read_clock() <= loop.now()) {
      }
    });
    auto sending_client = client();
    CPPUNIT_ASSERT(wait_until(1s, [&] { return proxy->front().counters().accepted == 1; }));
    sending_client->send(request("/s/x", "a", 4000));
    CPPUNIT_ASSERT_EQUAL(ssize_t{1}, ::write(writable.get(), "x", 1));
    CPPUNIT_ASSERT(wait_until(1s, [&] { return server->requests.size() == 1; }));
    CPPUNIT_ASSERT(paused);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, proxy->gateway().dispatcher().counters().unconfirmed_requests);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RequestGuaranteesTest);

}  // namespace pearspar
