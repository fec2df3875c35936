// The dispatcher and its parts on simulated time: routing, coverage, hedging, retries, load balancing,
// failures.
#include "dispatch/dispatcher.h"

#include <cppunit/extensions/HelperMacros.h>

#include <deque>

#include "dispatch/merge.h"

namespace pearspar::dispatch {

namespace {

catalog::ConfigurationPtr configuration(const std::string& min_share = "0.5", const std::string& extra = "") {
  catalog::Fault fault;
  auto read = catalog::parse_configuration(
      R"({"edition":1,"postalRoutes":[{"name":"g","hostName":"h","pathPrefix":"/g/","lineKind":"safe",)"
      R"("deadlineMs":1000,"targetMs":100,"gatherFrom":["a","b","c","d"],"tries":2,"topN":2,"minShare":)" +
          min_share +
          R"(},{"name":"s","hostName":"h","pathPrefix":"/s/","lineKind":"safe",)"
          R"("deadlineMs":1000,"targetMs":300,)"
          R"("depot":"p","tries":2},{"name":"u","hostName":"h","pathPrefix":"/s/u/","lineKind":"unsafe",)"
          R"("deadlineMs":1000,"depot":"p","tries":3},{"name":"w","hostName":"h",)"
          R"("pathPrefix":"/w/","lineKind":"safe",)"
          R"("deadlineMs":1000,"splitList":[{"depot":"p","share":3},{"depot":"q","share":1}],"tries":1}],)"
          R"("depots":[{"name":"a"},{"name":"b"},{"name":"c"},{"name":"d"},{"name":"p",)"
          R"("connLimit":20},{"name":"q"}])" +
          extra + "}",
      fault);
  CPPUNIT_ASSERT_EQUAL(std::string(), fault.text());
  return read;
}

// A record that begins with `first`.
std::string record(char first) { return std::string(1, first) + std::string(15, '.'); }

struct SentCall {
  CallId id;
  std::string node;
  std::string text;
  bool open = true;
};

}  // namespace

class DispatcherTest : public CppUnit::TestFixture, public NodeClient {
  CPPUNIT_TEST_SUITE(DispatcherTest);
  CPPUNIT_TEST(longestMatchingPrefixWins);
  CPPUNIT_TEST(unknownRouteIs404OnlyOnceConfigured);
  CPPUNIT_TEST(gatheredResponseMergesAllShards);
  CPPUNIT_TEST(heaviestShardsAreSelectedDownToTheMinimum);
  CPPUNIT_TEST(coverageFallsUnderOverloadAndRecovers);
  CPPUNIT_TEST(routeWithoutPartialResponsesKeepsFullCoverage);
  CPPUNIT_TEST(shardWeightsFollowSurvivingRecords);
  CPPUNIT_TEST(latePartIsOmittedAtTheLatencyTarget);
  CPPUNIT_TEST(tooFewPartsAreAwaitedUntilTheDeadline);
  CPPUNIT_TEST(missingRequiredShardIsRefusedAtOnce);
  CPPUNIT_TEST(unresponsiveShardIsProbedButNotAwaited);
  CPPUNIT_TEST(slowCallIsHedged);
  CPPUNIT_TEST(nodesOfOtherZonesArePenalized);
  CPPUNIT_TEST(refusedCallIsRetriedOnAnotherNode);
  CPPUNIT_TEST(refusalByAllNodesCarriesRetryAfter);
  CPPUNIT_TEST(failureLogRecordsEachCall);
  CPPUNIT_TEST(possiblyExecutedRequestIsNotReportedAsNotRun);
  CPPUNIT_TEST(nodeErrorIsNotReportedAsNotRun);
  CPPUNIT_TEST(nonIdempotentRequestIsNotRepeated);
  CPPUNIT_TEST(misdirectedNodeIsNotChosenAgain);
  CPPUNIT_TEST(retryBudgetBoundsExtraCalls);
  CPPUNIT_TEST(requestKeepsItsInitialConfiguration);
  CPPUNIT_TEST(leastLoadedNodeIsChosen);
  CPPUNIT_TEST(closingNodeIsNotChosen);
  CPPUNIT_TEST(trafficSplitFollowsWeights);
  CPPUNIT_TEST(disconnectCancelsIdempotentCalls);
  CPPUNIT_TEST(mergeIgnoresPartialRecordsAndKeepsDuplicates);
  CPPUNIT_TEST_SUITE_END();

  Time now{Duration(100)};
  std::deque<SentCall> sent;
  Dispatcher* dispatcher = nullptr;
  bool no_connections = false;
  std::vector<std::pair<CallId, bool>> cancelled_calls;
  std::unique_ptr<Dispatcher> owned_dispatcher;
  std::uint64_t postmarks = 0;

  bool cancel(CallId call, bool even_if_sent) override {
    cancelled_calls.emplace_back(call, even_if_sent);
    return even_if_sent;
  }
  bool start(CallId call, const NodeState& node, int, NodeRequest request, Time end) override {
    if (no_connections) return false;
    sent.push_back({call, node.id, request.text(end - now)});
    return true;
  }
  void add_node(const std::string& id, const std::string& service, bool closing = false) {
    catalog::Node node{id, service, id + ":1", "z", "v", 3, closing, 1, {}};
    dispatcher->load_balancer().update(id, &node);
  }
  RequestId submit(const std::string& target, ClientResponse& response) {
    ClientRequest request;
    request.method = "GET";
    request.target = target;
    request.host = "h";
    request.id = "id";
    request.head = "GET " + target + " HTTP/1.1\r\nRequest-Id: id\r\n";
    return dispatcher->submit(now, request, response);
  }
  RequestId submit(const std::string& target) {
    ClientResponse response;
    RequestId id = submit(target, response);
    CPPUNIT_ASSERT(id);
    return id;
  }
  SentCall& last() { return sent.back(); }
  void end(SentCall& call, CallOutcome outcome, int status = 200, const std::string& body = "") {
    CPPUNIT_ASSERT(call.open);
    call.open = false;
    std::string postmark = outcome == CallOutcome::answered ? "st" + std::to_string(++postmarks) : "";
    CallResult result;
    result.outcome = outcome;
    result.status = status;
    result.postmark = postmark;
    result.body = body;
    dispatcher->call_ended(now, call.id, result);
  }
  // The single response since the last call.
  ClientResponse response() {
    auto responses = dispatcher->take_responses();
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, responses.size());
    return responses[0].second;
  }
  void advance(double ms) {
    now += from_ms(ms);
    dispatcher->advance(now);
  }

 public:
  void setUp() override {
    sent.clear();
    no_connections = false;
    postmarks = 0;
    owned_dispatcher = std::make_unique<Dispatcher>(*this);
    dispatcher = owned_dispatcher.get();
    dispatcher->set_retry_budget({0.2, 50, std::chrono::seconds(10)});
    dispatcher->set_routes(std::make_shared<const RouteTable>(configuration()));
    dispatcher->set_routes_confirmed_until(Time::max());
    dispatcher->set_edges(1);
    for (const char* service : {"a", "b", "c", "d", "p", "q"})
      for (int i = 0; i < 2; ++i) add_node(service + std::to_string(i), service);
  }

  void longestMatchingPrefixWins() {
    RouteTable routes(configuration());
    CPPUNIT_ASSERT_EQUAL(std::string("u"), routes.find("H:80", "/s/u/x?y=/g/")->name);
    CPPUNIT_ASSERT_EQUAL(std::string("s"), routes.find("h", "/s/v")->name);
    CPPUNIT_ASSERT(!routes.find("h", "/x?/s/"));
    CPPUNIT_ASSERT(!routes.find("other", "/s/"));
  }

  void unknownRouteIs404OnlyOnceConfigured() {
    ClientResponse answer;
    CPPUNIT_ASSERT(!submit("/x/", answer));
    CPPUNIT_ASSERT_EQUAL(404, answer.status);
    Dispatcher fresh(*this);
    dispatcher = &fresh;
    CPPUNIT_ASSERT(!submit("/x/", answer));
    CPPUNIT_ASSERT_EQUAL(503, answer.status);
    CPPUNIT_ASSERT(answer.retry_after_s > 0);
  }

  void gatheredResponseMergesAllShards() {
    submit("/g/x");
    CPPUNIT_ASSERT_EQUAL(std::size_t{4}, sent.size());
    CPPUNIT_ASSERT(sent[0].text.find("Addressee: " + sent[0].node) != std::string::npos);
    CPPUNIT_ASSERT(sent[0].text.find("Deadline-Ms: 1000\r\n") != std::string::npos);
    const char* bodies[] = {"b", "z", "c", "y"};
    for (int i = 0; i < 4; ++i)
      end(sent[static_cast<std::size_t>(i)], CallOutcome::answered, 200, record(*bodies[i]));
    ClientResponse got = response();
    CPPUNIT_ASSERT_EQUAL(200, got.status);
    CPPUNIT_ASSERT_EQUAL(record('z') + record('y'), got.body);
    CPPUNIT_ASSERT(got.headers.find("Part-Postmarks: st1, st2, st3, st4\r\n") != std::string::npos);
    CPPUNIT_ASSERT(got.headers.find("Missing-Parts") == std::string::npos);
  }

  void heaviestShardsAreSelectedDownToTheMinimum() {
    std::vector<double> weights = {0.1, 0.4, 0.3, 0.2};
    using Order = std::vector<std::size_t>;
    CPPUNIT_ASSERT((select_heaviest(weights, 1, 0.5) == Order{1, 2, 3, 0}));
    CPPUNIT_ASSERT((select_heaviest(weights, 0.8, 0.5) == Order{1, 2, 3}));
    CPPUNIT_ASSERT((select_heaviest(weights, 0.1, 0.5) == Order{1, 2}));
    CPPUNIT_ASSERT((select_heaviest(weights, 0.1, 0.75) == Order{1, 2, 3}));
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, required_parts(4, 0.75));
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, required_parts(4, 0.6));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, required_parts(4, 0));
  }

  void coverageFallsUnderOverloadAndRecovers() {
    CoverageControl coverage;
    auto window = [&](int outcomes, int bad) {
      for (int i = 0; i < outcomes; ++i) coverage.record_outcome(now, i < bad);
      now += Duration(2.1);
      coverage.record_outcome(now, false);  // closes the window
      now += Duration(2.1);
    };
    coverage.record_outcome(now, false);
    window(100, 11);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(0.9, coverage.share(), 1e-9);
    window(18, 18);  // too few outcomes
    CPPUNIT_ASSERT_DOUBLES_EQUAL(0.9, coverage.share(), 1e-9);
    window(100, 7);  // between the thresholds
    CPPUNIT_ASSERT_DOUBLES_EQUAL(0.9, coverage.share(), 1e-9);
    window(100, 3);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(1.0, coverage.share(), 1e-9);
  }

  // Refuses all calls until the coverage is low.
  void overload() {
    for (int i = 0; i < 60; ++i) {
      submit("/g/x");
      for (std::size_t s = sent.size() - 4; s < sent.size(); ++s)
        if (sent[s].open) end(sent[s], CallOutcome::not_run, 503);
      for (SentCall& call : sent)
        if (call.open) end(call, CallOutcome::not_run, 503);
      dispatcher->take_responses();
      advance(300);
    }
  }

  void routeWithoutPartialResponsesKeepsFullCoverage() {
    overload();
    CPPUNIT_ASSERT(dispatcher->coverage() < 0.5);
    sent.clear();
    submit("/g/x");
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, sent.size());
    dispatcher->set_routes(std::make_shared<const RouteTable>(configuration("1")));
    sent.clear();
    submit("/g/x");
    CPPUNIT_ASSERT_EQUAL(std::size_t{4}, sent.size());
  }

  void shardWeightsFollowSurvivingRecords() {
    ShardWeights weights;
    std::vector<std::string> shards = {"a", "b", "c"};
    for (int i = 0; i < 300; ++i) weights.learn(shards, {6, 3, 0});
    auto of = weights.of(shards);
    CPPUNIT_ASSERT(of[0] > 0.6 && of[1] > 0.3 && of[2] < 0.05);
    // An unknown shard gets the average weight.
    auto fresh = weights.of({"x", "y"});
    CPPUNIT_ASSERT_DOUBLES_EQUAL(0.5, fresh[0], 1e-9);
  }

  void latePartIsOmittedAtTheLatencyTarget() {
    submit("/g/x");
    for (std::size_t i = 0; i < 3; ++i) end(sent[i], CallOutcome::answered, 200, record('a'));
    CPPUNIT_ASSERT(dispatcher->take_responses().empty());
    advance(95);
    ClientResponse got = response();
    CPPUNIT_ASSERT_EQUAL(200, got.status);
    CPPUNIT_ASSERT(got.headers.find("Missing-Parts: 1\r\n") != std::string::npos);
    // The answer of the late call is ignored.
    end(sent[3], CallOutcome::answered, 200, record('b'));
    CPPUNIT_ASSERT(dispatcher->take_responses().empty());
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, dispatcher->open_requests());
  }

  void tooFewPartsAreAwaitedUntilTheDeadline() {
    submit("/g/x");
    end(sent[0], CallOutcome::answered, 200, record('a'));
    advance(500);
    CPPUNIT_ASSERT(dispatcher->take_responses().empty());
    advance(600);
    CPPUNIT_ASSERT_EQUAL(504, response().status);
  }

  void missingRequiredShardIsRefusedAtOnce() {
    for (const char* id : {"a0", "a1", "b0", "b1"}) dispatcher->load_balancer().update(id, nullptr);
    submit("/g/x");  // the route needs two of four shards
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, sent.size());
    for (const char* id : {"c0", "c1"}) dispatcher->load_balancer().update(id, nullptr);
    ClientResponse got;
    CPPUNIT_ASSERT(!submit("/g/x", got));
    CPPUNIT_ASSERT_EQUAL(503, got.status);
    CPPUNIT_ASSERT(got.retry_after_s > 0);
  }

  // Guards against waiting for a shard that leaves all calls unanswered, and against never using it again.
  void unresponsiveShardIsProbedButNotAwaited() {
    auto answer_all = [&](bool unresponsive) {
      std::size_t before = sent.size();
      submit("/g/x");
      for (std::size_t i = before; i < sent.size(); ++i)
        if (sent[i].node[0] != 'b' || !unresponsive) end(sent[i], CallOutcome::answered, 200, record('a'));
      return sent.size() - before;
    };
    for (int i = 0; i < 4; ++i) {
      answer_all(true);
      advance(95);
      response();
    }
    int probes = 0;
    for (int i = 0; i < 100; ++i) {
      if (answer_all(true) == 4) ++probes;
      ClientResponse got = response();  // without waiting
      CPPUNIT_ASSERT(got.headers.find("Missing-Parts: 1\r\n") != std::string::npos);
      advance(10);
    }
    CPPUNIT_ASSERT(probes >= 8 && probes <= 11);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(1.0, dispatcher->coverage(), 0.11);
    advance(100);
    answer_all(false);
    response();
    CPPUNIT_ASSERT_EQUAL(std::size_t{4}, answer_all(false));
    CPPUNIT_ASSERT(response().headers.find("Missing-Parts") == std::string::npos);
  }

  void slowCallIsHedged() {
    for (int i = 0; i < 60; ++i) {
      submit("/s/x");
      advance(20);
      end(last(), CallOutcome::answered, 200, "b");
      response();
    }
    submit("/s/x");
    std::size_t first = sent.size() - 1;
    advance(15);
    CPPUNIT_ASSERT_EQUAL(first + 1, sent.size());
    advance(25);
    CPPUNIT_ASSERT_EQUAL(first + 2, sent.size());
    CPPUNIT_ASSERT(sent[first].node != last().node);
    end(last(), CallOutcome::answered, 200, "second");
    CPPUNIT_ASSERT_EQUAL(std::string("second"), response().body);
    end(sent[first], CallOutcome::answered, 200, "first");
    CPPUNIT_ASSERT(dispatcher->take_responses().empty());
    // Requests that are not idempotent are not hedged.
    submit("/s/u/x");
    advance(200);
    CPPUNIT_ASSERT_EQUAL(first + 3, sent.size());
  }

  void nodesOfOtherZonesArePenalized() {
    LoadBalancer balancer;
    balancer.set_home_zone("z");
    catalog::Node here{"here", "p", "a:1", "z", "v", 3, false, 1, {}}, there = here;
    there.id = "there";
    there.address = "b:1";
    there.zone = "y";
    balancer.update("here", &here);
    balancer.update("there", &there);
    for (std::uint64_t turn = 0; turn < 2; ++turn)
      CPPUNIT_ASSERT_EQUAL(std::string("here"), balancer.choose(now, "p", {}, turn, 2)->id);
    NodePtr busy = balancer.choose(now, "p", {}, 0, 2);
    for (int i = 0; i < 2; ++i) balancer.call_started(*busy);
    CPPUNIT_ASSERT_EQUAL(std::string("there"), balancer.choose(now, "p", {}, 0, 2)->id);
  }

  void refusedCallIsRetriedOnAnotherNode() {
    submit("/s/x");
    std::string first = last().node;
    end(last(), CallOutcome::not_run, 503);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, sent.size());
    CPPUNIT_ASSERT(last().node != first);
    end(last(), CallOutcome::answered, 200, "body");
    ClientResponse got = response();
    CPPUNIT_ASSERT_EQUAL(200, got.status);
    CPPUNIT_ASSERT_EQUAL(std::string("body"), got.body);
    CPPUNIT_ASSERT(got.headers.find("Postmark: st1\r\n") != std::string::npos);
  }

  void failureLogRecordsEachCall() {
    submit("/s/x");
    const std::string first = last().node;
    end(last(), CallOutcome::broken);
    advance(3);
    const std::string second = last().node;
    end(last(), CallOutcome::answered, 500);
    ClientResponse got = response();
    CPPUNIT_ASSERT_EQUAL(500, got.status);
    const Failure& failure = dispatcher->failure_log().newest().back();
    CPPUNIT_ASSERT_EQUAL(std::string("id"), failure.id);
    CPPUNIT_ASSERT_EQUAL(std::string("s"), failure.route);
    CPPUNIT_ASSERT(failure.reason == Reason::failed_at_nodes);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, failure.calls.size());
    CPPUNIT_ASSERT_EQUAL(first, failure.calls[0].node);
    CPPUNIT_ASSERT_EQUAL(second, failure.calls[1].node);
    CPPUNIT_ASSERT_EQUAL(std::string("answered 500"), failure.calls[1].how);
    no_connections = true;
    CPPUNIT_ASSERT(!submit("/s/x", got));
    CPPUNIT_ASSERT(dispatcher->failure_log().newest().back().reason == Reason::no_node);
    no_connections = false;
    // The log is bounded.
    for (std::size_t i = 0; i < 2 * FailureLog::max_failures; ++i) submit("/none", got);
    CPPUNIT_ASSERT_EQUAL(FailureLog::max_failures, dispatcher->failure_log().newest().size());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{2 * FailureLog::max_failures},
                         dispatcher->failure_log().count(Reason::no_route));
    CPPUNIT_ASSERT(dispatcher->failure_log().as_json(now).starts_with(
        R"({"failures":[{"agoMs":0,"id":"id","route":"/none","status":404,"reason":"no_route")"));
  }

  void refusalByAllNodesCarriesRetryAfter() {
    submit("/s/x");
    end(last(), CallOutcome::not_run, 503);
    end(last(), CallOutcome::not_run, 503);
    ClientResponse got = response();
    CPPUNIT_ASSERT_EQUAL(503, got.status);
    CPPUNIT_ASSERT(got.retry_after_s > 0);
    no_connections = true;
    CPPUNIT_ASSERT(!submit("/s/x", got));
    CPPUNIT_ASSERT_EQUAL(503, got.status);
  }

  void possiblyExecutedRequestIsNotReportedAsNotRun() {
    submit("/s/x");
    end(last(), CallOutcome::broken);
    end(last(), CallOutcome::not_run, 503);
    CPPUNIT_ASSERT_EQUAL(502, response().status);
    submit("/s/x");
    end(last(), CallOutcome::answered, 500, "oops");
    end(last(), CallOutcome::answered, 500, "oops");
    ClientResponse got = response();
    CPPUNIT_ASSERT_EQUAL(500, got.status);
    CPPUNIT_ASSERT_EQUAL(std::string("oops"), got.body);
  }

  void nonIdempotentRequestIsNotRepeated() {
    add_node("p2", "p");  // a node that was not tried
    submit("/s/u/x");
    end(last(), CallOutcome::not_run, 503);  // may be retried
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, sent.size());
    end(last(), CallOutcome::broken);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, sent.size());
    CPPUNIT_ASSERT_EQUAL(502, response().status);
  }

  void misdirectedNodeIsNotChosenAgain() {
    submit("/s/x");
    std::string first = last().node;
    end(last(), CallOutcome::misdirected, 421);
    end(last(), CallOutcome::answered, 200, "b");
    for (int i = 0; i < 5; ++i) {
      submit("/s/x");
      CPPUNIT_ASSERT(last().node != first);
      end(last(), CallOutcome::answered, 200, "b");
    }
  }

  // Quotas depend on it: a node that answers 404 has run the request.
  void nodeErrorIsNotReportedAsNotRun() {
    submit("/s/x");
    while (last().open) end(last(), CallOutcome::answered, 404);
    ClientResponse ran = response();
    CPPUNIT_ASSERT_EQUAL(404, ran.status);
    CPPUNIT_ASSERT(!ran.not_executed);
    ClientResponse none;
    CPPUNIT_ASSERT(!submit("/nowhere/", none));
    CPPUNIT_ASSERT_EQUAL(404, none.status);
    CPPUNIT_ASSERT(none.not_executed);
  }

  void retryBudgetBoundsExtraCalls() {
    dispatcher->set_retry_budget({0.2, 0, std::chrono::seconds(10)});
    int second = 0;
    for (int i = 0; i < 200; ++i) {
      submit("/s/x");
      std::size_t before = sent.size();
      end(last(), CallOutcome::broken);
      if (sent.size() > before) {
        ++second;
        end(last(), CallOutcome::broken);
      }
      advance(10);
    }
    CPPUNIT_ASSERT(second > 10 && second <= 40);
    // Four edges get a quarter of the slack each.
    RetryBudget single_edge, one_of_four;
    single_edge.set_rules({0, 40, std::chrono::seconds(10)});
    one_of_four.set_rules({0, 40, std::chrono::seconds(10)});
    single_edge.set_edges(1);
    one_of_four.set_edges(4);
    int spent_alone = 0, spent_shared = 0;
    for (int i = 0; i < 40; ++i)
      spent_alone += single_edge.spend(now, "p"), spent_shared += one_of_four.spend(now, "p");
    CPPUNIT_ASSERT_EQUAL(10, spent_alone);
    CPPUNIT_ASSERT_EQUAL(2, spent_shared);
    // Tokens are requested once, and spent until they expire.
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, one_of_four.take_token_requests(now).size());
    CPPUNIT_ASSERT(one_of_four.take_token_requests(now).empty());
    one_of_four.add_tokens(now + Duration(2), "p", 2);
    CPPUNIT_ASSERT(one_of_four.spend(now, "p"));
    CPPUNIT_ASSERT_EQUAL(std::uint32_t{3}, one_of_four.take_token_requests(now)[0].second);
    CPPUNIT_ASSERT(!one_of_four.spend(now + Duration(2), "p"));
    CPPUNIT_ASSERT_EQUAL(std::uint32_t{4}, one_of_four.take_token_requests(now + Duration(2))[0].second);
    CPPUNIT_ASSERT(!one_of_four.spend(now + Duration(9.9), "p"));
    CPPUNIT_ASSERT(one_of_four.spend(now + Duration(11), "p"));
  }

  void requestKeepsItsInitialConfiguration() {
    submit("/g/x");
    catalog::Fault fault;
    auto next = catalog::parse_configuration(
        R"({"edition":2,"postalRoutes":[{"hostName":"h","pathPrefix":"/g/",)"
        R"("lineKind":"safe","deadlineMs":1000,)"
        R"("gatherFrom":["p","q"],"topN":2}],"depots":[{"name":"p"},{"name":"q"}]})",
        fault);
    dispatcher->set_routes(std::make_shared<const RouteTable>(next));
    // The retry of a part and the count of shards follow the earlier configuration.
    end(sent[0], CallOutcome::not_run, 503);
    CPPUNIT_ASSERT_EQUAL(std::size_t{5}, sent.size());
    CPPUNIT_ASSERT_EQUAL(sent[0].node[0], last().node[0]);
    for (std::size_t i = 1; i < 5; ++i) end(sent[i], CallOutcome::answered, 200, record('a'));
    CPPUNIT_ASSERT(response().headers.find("Missing-Parts") == std::string::npos);
    sent.clear();
    submit("/g/x");
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, sent.size());
  }

  void leastLoadedNodeIsChosen() {
    LoadBalancer balancer;
    catalog::Node a{"a", "p", "a:1", "z", "v", 3, false, 1, {}}, b = a;
    b.id = "b";
    b.address = "b:1";
    balancer.update("a", &a);
    balancer.update("b", &b);
    NodePtr first = balancer.choose(now, "p", {}, 0);
    balancer.call_started(*first);
    balancer.call_answered(now, *first, from_ms(10));
    balancer.call_ended(*first);
    // A node without a latency counts as the average; ties are broken by rotation.
    NodePtr second = balancer.choose(now, "p", {}, first->id == "a" ? 1 : 0);
    CPPUNIT_ASSERT(second != first);
    balancer.call_answered(now, *second, from_ms(25));
    CPPUNIT_ASSERT(balancer.choose(now, "p", {}, 0) == first);
    balancer.call_started(*first);
    CPPUNIT_ASSERT(balancer.choose(now, "p", {}, 0) == first);  // 10 * 2 < 25
    balancer.call_started(*first);
    CPPUNIT_ASSERT(balancer.choose(now, "p", {}, 0) == second);  // 10 * 3 > 25
    CPPUNIT_ASSERT(balancer.choose(now, "p", {second}, 0) == first);
    CPPUNIT_ASSERT(!balancer.choose(now, "p", {first, second}, 0));
  }

  void closingNodeIsNotChosen() {
    add_node("p0", "p", true);
    for (int i = 0; i < 6; ++i) {
      submit("/s/x");
      CPPUNIT_ASSERT_EQUAL(std::string("p1"), last().node);
    }
  }

  void trafficSplitFollowsWeights() {
    int p = 0;
    for (int i = 0; i < 400; ++i) {
      submit("/w/x");
      p += last().node[0] == 'p';
      end(last(), CallOutcome::answered, 200, "b");
    }
    CPPUNIT_ASSERT(p >= 290 && p <= 310);
  }

  void disconnectCancelsIdempotentCalls() {
    dispatcher->client_disconnected(submit("/s/x"));
    CPPUNIT_ASSERT((cancelled_calls == std::vector<std::pair<CallId, bool>>{{last().id, true}}));
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, dispatcher->open_requests());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, dispatcher->counters().cancelled);
    // A call that is not idempotent is only cancelled if nothing of it was sent.
    dispatcher->client_disconnected(submit("/s/u/x"));
    CPPUNIT_ASSERT((cancelled_calls.back() == std::pair<CallId, bool>{last().id, false}));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, dispatcher->open_requests());
    end(last(), CallOutcome::broken);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, sent.size());
    CPPUNIT_ASSERT(dispatcher->take_responses().empty());
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, dispatcher->open_requests());
  }

  void mergeIgnoresPartialRecordsAndKeepsDuplicates() {
    std::string one = record('m') + record('k') + "a rest", other = record('m') + record('a');
    Merged merged = merge({one, other}, 3);
    CPPUNIT_ASSERT_EQUAL(record('m') + record('m') + record('k'), merged.body);
    CPPUNIT_ASSERT((merged.survived == std::vector<std::size_t>{2, 1}));
    CPPUNIT_ASSERT(merge({"short"}, 3).body.empty());
    // Records are compared as unsigned bytes.
    std::string high(16, static_cast<char>(0xf0)), low(16, 'z');
    CPPUNIT_ASSERT_EQUAL(high + low, merge({low, high}, 5).body);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(DispatcherTest);

}  // namespace pearspar::dispatch
