// The data plane's decisions: events in, calls and answers out, time handed in.
#include "pederu/desk.h"

#include <cppunit/extensions/HelperMacros.h>

#include <deque>

#include "pederu/merge.h"

namespace pearspar::pederu {

namespace {

catalog::ConfigurationPtr configuration(const std::string& least = "0.5", const std::string& extra = "") {
  catalog::Fault fault;
  auto read = catalog::parse_configuration(
      R"({"edition":1,"postalRoutes":[{"name":"g","hostName":"h","pathPrefix":"/g/","lineKind":"safe",)"
      R"("deadlineMs":1000,"targetMs":100,"gatherFrom":["a","b","c","d"],"tries":2,"topN":2,"minShare":)" +
          least +
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

std::string record(char first) { return std::string(1, first) + std::string(15, '.'); }

struct Sent {
  CallId call;
  std::string node;
  std::string text;
  bool open = true;
};

}  // namespace

class DeskTest : public CppUnit::TestFixture, public Calls {
  CPPUNIT_TEST_SUITE(DeskTest);
  CPPUNIT_TEST(theLongestPrefixOfTheHostDecides);
  CPPUNIT_TEST(anUnknownRouteIs404OnlyWithAConfiguration);
  CPPUNIT_TEST(everyShardIsAskedAndTheGreatestRecordsCome);
  CPPUNIT_TEST(theHeaviestAreSentUnderStrainAndNeverLessThanTheFloor);
  CPPUNIT_TEST(coverageFallsByATenthAWindowAndComesBack);
  CPPUNIT_TEST(aClassWithoutPartsGetsEveryShardUnderStrain);
  CPPUNIT_TEST(weightsFollowWhatSurvives);
  CPPUNIT_TEST(aLatePartIsLeftOutAtTheAim);
  CPPUNIT_TEST(tooFewPartsWaitForTheDeadline);
  CPPUNIT_TEST(aShardThatIsGoneIsRefusedAtOnceWhereTheFloorNeedsIt);
  CPPUNIT_TEST(aDarkShardIsTriedAndNotAwaited);
  CPPUNIT_TEST(aSecondCallGoesWhereTheFirstIsSlow);
  CPPUNIT_TEST(aNodeOfAnotherZoneCountsAsSlower);
  CPPUNIT_TEST(aRefusalGoesToAnotherNode);
  CPPUNIT_TEST(refusedByAllIsRefusedAtOnceWithATime);
  CPPUNIT_TEST(aFailureCanBeExplainedAfterwards);
  CPPUNIT_TEST(whatMayHaveRunIsNeverCalledUnrun);
  CPPUNIT_TEST(aNodesOwnRefusalIsNotCalledUnrun);
  CPPUNIT_TEST(whatMayNotRepeatIsNotRepeated);
  CPPUNIT_TEST(aMisplacedNodeIsAskedNoMore);
  CPPUNIT_TEST(theAllowanceBoundsSecondCalls);
  CPPUNIT_TEST(aRequestKeepsTheConfigurationItBeganWith);
  CPPUNIT_TEST(theNodeWithTheLeastLatencyTimesCallsIsAsked);
  CPPUNIT_TEST(aClosingNodeIsNotAsked);
  CPPUNIT_TEST(sharesAreKept);
  CPPUNIT_TEST(aClientThatLeftCostsNothingMore);
  CPPUNIT_TEST(aRestIsNoRecordAndEqualOnesAllCount);
  CPPUNIT_TEST_SUITE_END();

  Time now{Duration(100)};
  std::deque<Sent> sent;
  Desk* desk = nullptr;
  bool full = false;
  std::vector<std::pair<CallId, bool>> cancels;
  std::unique_ptr<Desk> held;
  std::uint64_t stamps = 0;

  bool cancel(CallId call, bool even_if_sent) override {
    cancels.emplace_back(call, even_if_sent);
    return even_if_sent;
  }
  bool start(CallId call, const KnownNode& node, int, NodeRequest request, Time end) override {
    if (full) return false;
    sent.push_back({call, node.id, request.text(end - now)});
    return true;
  }
  void node(const std::string& id, const std::string& service, bool closing = false) {
    catalog::Node node{id, service, id + ":1", "z", "v", 3, closing, 1, {}};
    desk->nodes().update(id, &node);
  }
  RequestId ask(const std::string& target, FinalAnswer& answer) {
    Arrival arrival;
    arrival.method = "GET";
    arrival.target = target;
    arrival.host = "h";
    arrival.id = "id";
    arrival.head = "GET " + target + " HTTP/1.1\r\nRequest-Id: id\r\n";
    return desk->arrive(now, arrival, answer);
  }
  RequestId ask(const std::string& target) {
    FinalAnswer answer;
    RequestId id = ask(target, answer);
    CPPUNIT_ASSERT(id);
    return id;
  }
  Sent& last() { return sent.back(); }
  void end(Sent& call, Ending ending, int status = 200, const std::string& body = "") {
    CPPUNIT_ASSERT(call.open);
    call.open = false;
    std::string stamp = ending == Ending::answered ? "st" + std::to_string(++stamps) : "";
    CallEnd done;
    done.ending = ending;
    done.status = status;
    done.stamp = stamp;
    done.body = body;
    desk->ended(now, call.call, done);
  }
  FinalAnswer answer() {
    auto answers = desk->take_answers();
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, answers.size());
    return answers[0].second;
  }
  void wait(double ms) {
    now += from_ms(ms);
    desk->advance(now);
  }

 public:
  void setUp() override {
    sent.clear();
    full = false;
    stamps = 0;
    held = std::make_unique<Desk>(*this);
    desk = held.get();
    desk->set_allowance({0.2, 50, std::chrono::seconds(10)});
    desk->set_routes(std::make_shared<const Routes>(configuration()));
    for (const char* service : {"a", "b", "c", "d", "p", "q"})
      for (int i = 0; i < 2; ++i) node(service + std::to_string(i), service);
  }

  void theLongestPrefixOfTheHostDecides() {
    Routes routes(configuration());
    CPPUNIT_ASSERT_EQUAL(std::string("u"), routes.find("H:80", "/s/u/x?y=/g/")->name);
    CPPUNIT_ASSERT_EQUAL(std::string("s"), routes.find("h", "/s/v")->name);
    CPPUNIT_ASSERT(!routes.find("h", "/x?/s/"));
    CPPUNIT_ASSERT(!routes.find("other", "/s/"));
  }

  void anUnknownRouteIs404OnlyWithAConfiguration() {
    FinalAnswer answer;
    CPPUNIT_ASSERT(!ask("/x/", answer));
    CPPUNIT_ASSERT_EQUAL(404, answer.status);
    Desk fresh(*this);
    desk = &fresh;
    CPPUNIT_ASSERT(!ask("/x/", answer));
    CPPUNIT_ASSERT_EQUAL(503, answer.status);
    CPPUNIT_ASSERT(answer.retry_after_s > 0);
  }

  void everyShardIsAskedAndTheGreatestRecordsCome() {
    ask("/g/x");
    CPPUNIT_ASSERT_EQUAL(std::size_t{4}, sent.size());
    CPPUNIT_ASSERT(sent[0].text.find("Addressee: " + sent[0].node) != std::string::npos);
    CPPUNIT_ASSERT(sent[0].text.find("Deadline-Ms: 1000\r\n") != std::string::npos);
    const char* bodies[] = {"b", "z", "c", "y"};
    for (int i = 0; i < 4; ++i)
      end(sent[static_cast<std::size_t>(i)], Ending::answered, 200, record(*bodies[i]));
    FinalAnswer got = answer();
    CPPUNIT_ASSERT_EQUAL(200, got.status);
    CPPUNIT_ASSERT_EQUAL(record('z') + record('y'), got.body);
    CPPUNIT_ASSERT(got.headers.find("Part-Postmarks: st1, st2, st3, st4\r\n") != std::string::npos);
    CPPUNIT_ASSERT(got.headers.find("Missing-Parts") == std::string::npos);
  }

  void theHeaviestAreSentUnderStrainAndNeverLessThanTheFloor() {
    std::vector<double> weights = {0.1, 0.4, 0.3, 0.2};
    using Order = std::vector<std::size_t>;
    CPPUNIT_ASSERT((heaviest_first(weights, 1, 0.5) == Order{1, 2, 3, 0}));
    CPPUNIT_ASSERT((heaviest_first(weights, 0.8, 0.5) == Order{1, 2, 3}));
    CPPUNIT_ASSERT((heaviest_first(weights, 0.1, 0.5) == Order{1, 2}));
    CPPUNIT_ASSERT((heaviest_first(weights, 0.1, 0.75) == Order{1, 2, 3}));
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, least_parts(4, 0.75));
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, least_parts(4, 0.6));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, least_parts(4, 0));
  }

  void coverageFallsByATenthAWindowAndComesBack() {
    Coverage coverage;
    auto window = [&](int outcomes, int bad) {
      for (int i = 0; i < outcomes; ++i) coverage.outcome(now, i < bad);
      now += Duration(2.1);
      coverage.outcome(now, false);  // closes it
      now += Duration(2.1);
    };
    coverage.outcome(now, false);
    window(100, 11);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(0.9, coverage.share(), 1e-9);
    window(18, 18);  // too few to say
    CPPUNIT_ASSERT_DOUBLES_EQUAL(0.9, coverage.share(), 1e-9);
    window(100, 7);  // neither
    CPPUNIT_ASSERT_DOUBLES_EQUAL(0.9, coverage.share(), 1e-9);
    window(100, 3);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(1.0, coverage.share(), 1e-9);
  }

  void strain() {
    for (int i = 0; i < 60; ++i) {
      ask("/g/x");
      for (std::size_t s = sent.size() - 4; s < sent.size(); ++s)
        if (sent[s].open) end(sent[s], Ending::not_run, 503);
      for (Sent& call : sent)
        if (call.open) end(call, Ending::not_run, 503);
      desk->take_answers();
      wait(300);
    }
  }

  void aClassWithoutPartsGetsEveryShardUnderStrain() {
    strain();
    CPPUNIT_ASSERT(desk->coverage() < 0.5);
    sent.clear();
    ask("/g/x");
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, sent.size());
    desk->set_routes(std::make_shared<const Routes>(configuration("1")));
    sent.clear();
    ask("/g/x");
    CPPUNIT_ASSERT_EQUAL(std::size_t{4}, sent.size());
  }

  void weightsFollowWhatSurvives() {
    Weights weights;
    std::vector<std::string> shards = {"a", "b", "c"};
    for (int i = 0; i < 300; ++i) weights.learn(shards, {6, 3, 0});
    auto of = weights.of(shards);
    CPPUNIT_ASSERT(of[0] > 0.6 && of[1] > 0.3 && of[2] < 0.05);
    // A shard that nobody has seen yet weighs as the average of the others: a new cut starts even.
    auto fresh = weights.of({"x", "y"});
    CPPUNIT_ASSERT_DOUBLES_EQUAL(0.5, fresh[0], 1e-9);
  }

  void aLatePartIsLeftOutAtTheAim() {
    ask("/g/x");
    for (std::size_t i = 0; i < 3; ++i) end(sent[i], Ending::answered, 200, record('a'));
    CPPUNIT_ASSERT(desk->take_answers().empty());
    wait(95);
    FinalAnswer got = answer();
    CPPUNIT_ASSERT_EQUAL(200, got.status);
    CPPUNIT_ASSERT(got.headers.find("Missing-Parts: 1\r\n") != std::string::npos);
    // The call that is still out ends in peace.
    end(sent[3], Ending::answered, 200, record('b'));
    CPPUNIT_ASSERT(desk->take_answers().empty());
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, desk->open());
  }

  void tooFewPartsWaitForTheDeadline() {
    ask("/g/x");
    end(sent[0], Ending::answered, 200, record('a'));
    wait(500);
    CPPUNIT_ASSERT(desk->take_answers().empty());
    wait(600);
    CPPUNIT_ASSERT_EQUAL(504, answer().status);
  }

  void aShardThatIsGoneIsRefusedAtOnceWhereTheFloorNeedsIt() {
    for (const char* id : {"a0", "a1", "b0", "b1"}) desk->nodes().update(id, nullptr);
    ask("/g/x");  // two of four are the floor
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, sent.size());
    for (const char* id : {"c0", "c1"}) desk->nodes().update(id, nullptr);
    FinalAnswer got;
    CPPUNIT_ASSERT(!ask("/g/x", got));
    CPPUNIT_ASSERT_EQUAL(503, got.status);
    CPPUNIT_ASSERT(got.retry_after_s > 0);
  }

  // Both nodes of a shard leave calls unanswered. From then on it is left out at once, tried ten times a
  // second, and back as soon as a trial is answered.
  void aDarkShardIsTriedAndNotAwaited() {
    auto serve = [&](bool dark) {
      std::size_t before = sent.size();
      ask("/g/x");
      for (std::size_t i = before; i < sent.size(); ++i)
        if (sent[i].node[0] != 'b' || !dark) end(sent[i], Ending::answered, 200, record('a'));
      return sent.size() - before;
    };
    for (int i = 0; i < 4; ++i) {
      serve(true);
      wait(95);
      answer();
    }
    int trials = 0;
    for (int i = 0; i < 100; ++i) {
      if (serve(true) == 4) ++trials;
      FinalAnswer got = answer();  // at once
      CPPUNIT_ASSERT(got.headers.find("Missing-Parts: 1\r\n") != std::string::npos);
      wait(10);
    }
    CPPUNIT_ASSERT(trials >= 8 && trials <= 11);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(1.0, desk->coverage(), 0.11);
    wait(100);
    serve(false);
    answer();
    CPPUNIT_ASSERT_EQUAL(std::size_t{4}, serve(false));
    CPPUNIT_ASSERT(answer().headers.find("Missing-Parts") == std::string::npos);
  }

  void aSecondCallGoesWhereTheFirstIsSlow() {
    for (int i = 0; i < 60; ++i) {
      ask("/s/x");
      wait(20);
      end(last(), Ending::answered, 200, "b");
      answer();
    }
    ask("/s/x");
    std::size_t first = sent.size() - 1;
    wait(15);
    CPPUNIT_ASSERT_EQUAL(first + 1, sent.size());
    wait(25);
    CPPUNIT_ASSERT_EQUAL(first + 2, sent.size());
    CPPUNIT_ASSERT(sent[first].node != last().node);
    end(last(), Ending::answered, 200, "second");
    CPPUNIT_ASSERT_EQUAL(std::string("second"), answer().body);
    end(sent[first], Ending::answered, 200, "first");
    CPPUNIT_ASSERT(desk->take_answers().empty());
    // What may not run twice is left alone.
    ask("/s/u/x");
    wait(200);
    CPPUNIT_ASSERT_EQUAL(first + 3, sent.size());
  }

  void aNodeOfAnotherZoneCountsAsSlower() {
    NodeBook book;
    book.set_home("z");
    catalog::Node here{"here", "p", "a:1", "z", "v", 3, false, 1, {}}, there = here;
    there.id = "there";
    there.address = "b:1";
    there.zone = "y";
    book.update("here", &here);
    book.update("there", &there);
    for (std::uint64_t turn = 0; turn < 2; ++turn)
      CPPUNIT_ASSERT_EQUAL(std::string("here"), book.choose(now, "p", {}, turn, 2)->id);
    NodePtr busy = book.choose(now, "p", {}, 0, 2);
    for (int i = 0; i < 2; ++i) book.started(*busy);
    CPPUNIT_ASSERT_EQUAL(std::string("there"), book.choose(now, "p", {}, 0, 2)->id);
  }

  void aRefusalGoesToAnotherNode() {
    ask("/s/x");
    std::string first = last().node;
    end(last(), Ending::not_run, 503);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, sent.size());
    CPPUNIT_ASSERT(last().node != first);
    end(last(), Ending::answered, 200, "body");
    FinalAnswer got = answer();
    CPPUNIT_ASSERT_EQUAL(200, got.status);
    CPPUNIT_ASSERT_EQUAL(std::string("body"), got.body);
    CPPUNIT_ASSERT(got.headers.find("Postmark: st1\r\n") != std::string::npos);
  }

  void aFailureCanBeExplainedAfterwards() {
    ask("/s/x");
    const std::string first = last().node;
    end(last(), Ending::broken);
    wait(3);
    const std::string second = last().node;
    end(last(), Ending::answered, 500);
    FinalAnswer got = answer();
    CPPUNIT_ASSERT_EQUAL(500, got.status);
    const Failure& failure = desk->failures().newest().back();
    CPPUNIT_ASSERT_EQUAL(std::string("id"), failure.id);
    CPPUNIT_ASSERT_EQUAL(std::string("s"), failure.route);
    CPPUNIT_ASSERT(failure.reason == Reason::failed_at_nodes);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, failure.calls.size());
    CPPUNIT_ASSERT_EQUAL(first, failure.calls[0].node);
    CPPUNIT_ASSERT_EQUAL(second, failure.calls[1].node);
    CPPUNIT_ASSERT_EQUAL(std::string("answered 500"), failure.calls[1].how);
    full = true;
    CPPUNIT_ASSERT(!ask("/s/x", got));
    CPPUNIT_ASSERT(desk->failures().newest().back().reason == Reason::no_node);
    full = false;
    // Bounded, however many fail.
    for (std::size_t i = 0; i < 2 * FailureLog::most; ++i) ask("/none", got);
    CPPUNIT_ASSERT_EQUAL(FailureLog::most, desk->failures().newest().size());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{2 * FailureLog::most}, desk->failures().count(Reason::no_route));
    CPPUNIT_ASSERT(desk->failures().as_json(now).starts_with(
        R"({"failures":[{"agoMs":0,"id":"id","route":"/none","status":404,"reason":"no_route")"));
  }

  void refusedByAllIsRefusedAtOnceWithATime() {
    ask("/s/x");
    end(last(), Ending::not_run, 503);
    end(last(), Ending::not_run, 503);
    FinalAnswer got = answer();
    CPPUNIT_ASSERT_EQUAL(503, got.status);
    CPPUNIT_ASSERT(got.retry_after_s > 0);
    full = true;
    CPPUNIT_ASSERT(!ask("/s/x", got));
    CPPUNIT_ASSERT_EQUAL(503, got.status);
  }

  void whatMayHaveRunIsNeverCalledUnrun() {
    ask("/s/x");
    end(last(), Ending::broken);
    end(last(), Ending::not_run, 503);
    CPPUNIT_ASSERT_EQUAL(502, answer().status);
    ask("/s/x");
    end(last(), Ending::answered, 500, "oops");
    end(last(), Ending::answered, 500, "oops");
    FinalAnswer got = answer();
    CPPUNIT_ASSERT_EQUAL(500, got.status);
    CPPUNIT_ASSERT_EQUAL(std::string("oops"), got.body);
  }

  void whatMayNotRepeatIsNotRepeated() {
    node("p2", "p");  // one is left that has not been tried
    ask("/s/u/x");
    end(last(), Ending::not_run, 503);  // it has not run: another may
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, sent.size());
    end(last(), Ending::broken);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, sent.size());
    CPPUNIT_ASSERT_EQUAL(502, answer().status);
  }

  void aMisplacedNodeIsAskedNoMore() {
    ask("/s/x");
    std::string first = last().node;
    end(last(), Ending::misplaced, 421);
    end(last(), Ending::answered, 200, "b");
    for (int i = 0; i < 5; ++i) {
      ask("/s/x");
      CPPUNIT_ASSERT(last().node != first);
      end(last(), Ending::answered, 200, "b");
    }
  }

  // What a draw on an allowance goes by: a node that answers 404 has run the request.
  void aNodesOwnRefusalIsNotCalledUnrun() {
    ask("/s/x");
    while (last().open) end(last(), Ending::answered, 404);
    FinalAnswer ran = answer();
    CPPUNIT_ASSERT_EQUAL(404, ran.status);
    CPPUNIT_ASSERT(!ran.unrun);
    FinalAnswer none;
    CPPUNIT_ASSERT(!ask("/nowhere/", none));
    CPPUNIT_ASSERT_EQUAL(404, none.status);
    CPPUNIT_ASSERT(none.unrun);
  }

  void theAllowanceBoundsSecondCalls() {
    desk->set_allowance({0.2, 0, std::chrono::seconds(10)});
    int second = 0;
    for (int i = 0; i < 200; ++i) {
      ask("/s/x");
      std::size_t before = sent.size();
      end(last(), Ending::broken);
      if (sent.size() > before) {
        ++second;
        end(last(), Ending::broken);
      }
      wait(10);
    }
    CPPUNIT_ASSERT(second > 10 && second <= 40);
    // With the same rule and four edges the slack is a quarter.
    Allowance alone, among;
    alone.set({0, 40, std::chrono::seconds(10)});
    among.set({0, 40, std::chrono::seconds(10)});
    among.set_edges(4);
    int of_alone = 0, of_among = 0;
    for (int i = 0; i < 40; ++i) of_alone += alone.spend(now, "p"), of_among += among.spend(now, "p");
    CPPUNIT_ASSERT_EQUAL(10, of_alone);
    CPPUNIT_ASSERT_EQUAL(2, of_among);
    // What is short is asked for once, and what comes of it is spent until it ends.
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, among.take_wanted(now).size());
    CPPUNIT_ASSERT(among.take_wanted(now).empty());
    among.granted(now + Duration(2), "p", 2);
    CPPUNIT_ASSERT(among.spend(now, "p"));
    CPPUNIT_ASSERT_EQUAL(std::uint32_t{3}, among.take_wanted(now)[0].second);
    CPPUNIT_ASSERT(!among.spend(now + Duration(2), "p"));
    CPPUNIT_ASSERT_EQUAL(std::uint32_t{4}, among.take_wanted(now + Duration(2))[0].second);
    CPPUNIT_ASSERT(!among.spend(now + Duration(9.9), "p"));
    CPPUNIT_ASSERT(among.spend(now + Duration(11), "p"));
  }

  void aRequestKeepsTheConfigurationItBeganWith() {
    ask("/g/x");
    catalog::Fault fault;
    auto next = catalog::parse_configuration(
        R"({"edition":2,"postalRoutes":[{"hostName":"h","pathPrefix":"/g/",)"
        R"("lineKind":"safe","deadlineMs":1000,)"
        R"("gatherFrom":["p","q"],"topN":2}],"depots":[{"name":"p"},{"name":"q"}]})",
        fault);
    desk->set_routes(std::make_shared<const Routes>(next));
    // The second try of a part goes to the old cut, and the answer counts its shards.
    end(sent[0], Ending::not_run, 503);
    CPPUNIT_ASSERT_EQUAL(std::size_t{5}, sent.size());
    CPPUNIT_ASSERT_EQUAL(sent[0].node[0], last().node[0]);
    for (std::size_t i = 1; i < 5; ++i) end(sent[i], Ending::answered, 200, record('a'));
    CPPUNIT_ASSERT(answer().headers.find("Missing-Parts") == std::string::npos);
    sent.clear();
    ask("/g/x");
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, sent.size());
  }

  void theNodeWithTheLeastLatencyTimesCallsIsAsked() {
    NodeBook book;
    catalog::Node a{"a", "p", "a:1", "z", "v", 3, false, 1, {}}, b = a;
    b.id = "b";
    b.address = "b:1";
    book.update("a", &a);
    book.update("b", &b);
    NodePtr first = book.choose(now, "p", {}, 0);
    book.started(*first);
    book.answered(now, *first, from_ms(10));
    book.ended(*first);
    // The other was not heard: it counts as the average, and ties go round.
    NodePtr second = book.choose(now, "p", {}, first->id == "a" ? 1 : 0);
    CPPUNIT_ASSERT(second != first);
    book.answered(now, *second, from_ms(25));
    CPPUNIT_ASSERT(book.choose(now, "p", {}, 0) == first);
    book.started(*first);
    CPPUNIT_ASSERT(book.choose(now, "p", {}, 0) == first);  // 10 * 2 < 25
    book.started(*first);
    CPPUNIT_ASSERT(book.choose(now, "p", {}, 0) == second);  // 10 * 3 > 25
    CPPUNIT_ASSERT(book.choose(now, "p", {second}, 0) == first);
    CPPUNIT_ASSERT(!book.choose(now, "p", {first, second}, 0));
  }

  void aClosingNodeIsNotAsked() {
    node("p0", "p", true);
    for (int i = 0; i < 6; ++i) {
      ask("/s/x");
      CPPUNIT_ASSERT_EQUAL(std::string("p1"), last().node);
    }
  }

  void sharesAreKept() {
    int p = 0;
    for (int i = 0; i < 400; ++i) {
      ask("/w/x");
      p += last().node[0] == 'p';
      end(last(), Ending::answered, 200, "b");
    }
    CPPUNIT_ASSERT(p >= 290 && p <= 310);
  }

  void aClientThatLeftCostsNothingMore() {
    desk->left(ask("/s/x"));
    CPPUNIT_ASSERT((cancels == std::vector<std::pair<CallId, bool>>{{last().call, true}}));
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, desk->open());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, desk->counters().cancelled);
    // What may not be repeated runs on, if any of it has been sent.
    desk->left(ask("/s/u/x"));
    CPPUNIT_ASSERT((cancels.back() == std::pair<CallId, bool>{last().call, false}));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, desk->open());
    end(last(), Ending::broken);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, sent.size());
    CPPUNIT_ASSERT(desk->take_answers().empty());
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, desk->open());
  }

  void aRestIsNoRecordAndEqualOnesAllCount() {
    std::string one = record('m') + record('k') + "a rest", other = record('m') + record('a');
    Merged merged = merge({one, other}, 3);
    CPPUNIT_ASSERT_EQUAL(record('m') + record('m') + record('k'), merged.body);
    CPPUNIT_ASSERT((merged.survived == std::vector<std::size_t>{2, 1}));
    CPPUNIT_ASSERT(merge({"short"}, 3).body.empty());
    // Bytes, not signed characters.
    std::string high(16, static_cast<char>(0xf0)), low(16, 'z');
    CPPUNIT_ASSERT_EQUAL(high + low, merge({low, high}, 5).body);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(DeskTest);

}  // namespace pearspar::pederu
