// Quotas shared by all edges: the ledger and an edge's side on their own, and whole clusters whose auditor
// sees only what clients requested and what nodes ran.
#include <cppunit/extensions/HelperMacros.h>

#include <fstream>

#include "protocol/pack.h"
#include "quota/edge_quota.h"
#include "quota/quota_ledger.h"
#include "simulation/cluster.h"

namespace pearspar {

using quota::AccountKey;
using quota::QuotaLedger;
using quota::QuotaRequest;

namespace {

#ifdef __SANITIZE_ADDRESS__
// Sanitizer builds run fewer seeds.
constexpr unsigned seed_divisor = 6;
#else
constexpr unsigned seed_divisor = 1;
#endif

std::string configuration(const std::string& allowances) {
  return R"({"edition":1,"postalRoutes":[{"hostName":"h","pathPrefix":"/s/","lineKind":"safe",)"
         R"("deadlineMs":1000,)"
         R"("depot":"p","allowanceKind":"pull"}],"depots":[{"name":"p"}],"allowances":)" +
         allowances + "}";
}
std::string rules(const std::string& accounts, const std::string& extra = "") {
  return R"({"windowMs":600000,"holderHeader":"Holder","keyHeader":"Retrieval-Key")" + extra +
         R"(,"accounts":[)" + accounts + "]}";
}
std::string account(const std::string& firm, const std::string& branch, const std::string& kind, int limit,
                    const std::string& extra = "") {
  return "{\"firm\":\"" + firm + "\"" + (branch.empty() ? "" : ",\"branch\":\"" + branch + "\"") +
         ",\"kind\":\"" + kind + "\",\"limit\":" + std::to_string(limit) + extra + "}";
}
std::shared_ptr<const catalog::QuotaRules> read(const std::string& allowances) {
  catalog::Fault fault;
  auto found = catalog::parse_configuration(configuration(allowances), fault);
  CPPUNIT_ASSERT_EQUAL(std::string(), fault.text());
  return found->quota_rules;
}
std::string fault_of(const std::string& allowances) {
  catalog::Fault fault;
  CPPUNIT_ASSERT(!catalog::parse_configuration(configuration(allowances), fault));
  return fault.text();
}

}  // namespace

class AllowanceTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(AllowanceTest);
  CPPUNIT_TEST(configurationErrorNamesItsKey);
  CPPUNIT_TEST(grantsAreLimitedByBranchAndFirm);
  CPPUNIT_TEST(repeatedRequestIsAppliedOnce);
  CPPUNIT_TEST(requestKeyCountsOnceAcrossEdgesAndWindows);
  CPPUNIT_TEST(drawNotRunIsReturnedOnce);
  CPPUNIT_TEST(expiredEdgeKeepsOnlyDoubtfulTokens);
  CPPUNIT_TEST(lateReportCountsInItsOwnWindow);
  CPPUNIT_TEST(changedLimitAppliesAtOnce);
  CPPUNIT_TEST(snapshotRestoresLedger);
  CPPUNIT_TEST(edgeWithExpiredLeaseSpendsNothing);
  CPPUNIT_TEST(unsettledTokensAreBounded);
  CPPUNIT_TEST(newWindowInvalidatesTokens);
  CPPUNIT_TEST(noMessagesWithoutQuotaRules);
  CPPUNIT_TEST(countsEqualRequestsThatRan);
  CPPUNIT_TEST(contendedLastTokensAreAllSpent);
  CPPUNIT_TEST(requestSentToTwoEdgesDrawsOnce);
  CPPUNIT_TEST(idleTokensAreRecalled);
  CPPUNIT_TEST(raisedLimitIsServed);
  CPPUNIT_TEST(everyWindowKeepsItsLimit);
  CPPUNIT_TEST(countsStayWithinBoundsUnderFaults);
  CPPUNIT_TEST_SUITE_END();

  const AccountKey branch{"f/b", "pull"}, firm{"f", "pull"};

  static QuotaRequest ask(quota::EdgeSession session, std::uint64_t number, quota::Window window = 1) {
    QuotaRequest ask;
    ask.session = session;
    ask.number = number;
    ask.window = window;
    return ask;
  }
  static QuotaLedger ledger_with(const std::string& accounts, const std::string& extra = "") {
    QuotaLedger state;
    state.configure(read(rules(accounts, extra)));
    state.advance_window(1);
    return state;
  }
  static std::uint64_t want(QuotaLedger& state, quota::EdgeSession session, std::uint64_t number,
                            const AccountKey& account_key, std::uint64_t count) {
    QuotaRequest request = ask(session, number, state.window());
    request.wants.push_back({account_key, count});
    state.apply(request);
    return state.given(session, number)->front().count;
  }

 public:
  void configurationErrorNamesItsKey() {
    CPPUNIT_ASSERT_EQUAL(std::string("allowances.accounts[0].kind: is no route's allowanceKind"),
                         fault_of(rules(account("f", "", "sing", 3))));
    CPPUNIT_ASSERT_EQUAL(std::string("allowances.accounts[1].kind: stands twice for this holder"),
                         fault_of(rules(account("f", "", "pull", 3) + "," + account("f", "", "pull", 4))));
    CPPUNIT_ASSERT(fault_of(rules(account("f/x", "", "pull", 3))).starts_with("allowances.accounts[0].firm"));
    CPPUNIT_ASSERT(fault_of(rules(account("f", "", "pull", -1))).starts_with("allowances.accounts[0].limit"));
    CPPUNIT_ASSERT(fault_of(rules(account("f", "", "pull", 3, ",\"borrows\":true")))
                       .ends_with("borrows: is for branches"));
    CPPUNIT_ASSERT(fault_of(rules("", ",\"outOfTouch\":\"hope\"")).starts_with("allowances.outOfTouch"));
  }

  void grantsAreLimitedByBranchAndFirm() {
    QuotaLedger state = ledger_with(account("f", "", "pull", 10) + "," + account("f", "b", "pull", 4) + "," +
                                    account("f", "c", "pull", 5, ",\"borrows\":true"));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, want(state, 1, 1, branch, 100));  // at most half of what is left
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, want(state, 2, 1, branch, 100));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, want(state, 2, 2, branch, 100));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, want(state, 3, 1, branch, 1));
    CPPUNIT_ASSERT(!state.given(3, 1)->front().exhausted);  // other edges hold some
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{4}, state.count(firm).out);
    // A branch that borrows is limited only by its firm.
    std::uint64_t borrowed = 0;
    for (std::uint64_t i = 1; i <= 8; ++i) borrowed += want(state, 4, i, {"f/c", "pull"}, 100);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{6}, borrowed);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{10}, state.count(firm).out);
  }

  void repeatedRequestIsAppliedOnce() {
    QuotaLedger state = ledger_with(account("f", "", "pull", 10));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{3}, want(state, 1, 1, firm, 3));
    QuotaRequest spent = ask(1, 2);
    spent.settled.push_back({firm, 1, {11, 12}});
    for (int i = 0; i < 3; ++i) state.apply(spent);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, state.count(firm).drawn);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, state.count(firm).out);
    state.apply(ask(1, 1));  // older than the last applied one
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, state.count(firm).out);
  }

  void spend_same_key_at_two_edges(QuotaLedger& state) const {
    for (quota::EdgeSession session : {1, 2}) {
      want(state, session, 1, firm, 2);
      QuotaRequest spent = ask(session, 2);
      spent.settled.push_back({firm, 1, {11}});
      state.apply(spent);
    }
  }

  void requestKeyCountsOnceAcrossEdgesAndWindows() {
    QuotaLedger state = ledger_with(account("f", "", "pull", 10));
    spend_same_key_at_two_edges(state);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, state.count(firm).drawn);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, state.count(firm).repeated);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, state.count(firm).out);  // the second edge's token is returned
    state.advance_window(2);
    want(state, 1, 3, firm, 2);
    QuotaRequest spent = ask(1, 4, 2);
    spent.settled.push_back({firm, 2, {11}});
    state.apply(spent);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, state.count(firm).drawn);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, state.count(firm).repeated);
  }

  void drawNotRunIsReturnedOnce() {
    QuotaLedger state = ledger_with(account("f", "", "pull", 10));
    spend_same_key_at_two_edges(state);
    QuotaRequest back = ask(1, 3);
    back.not_run.push_back({firm, 11});
    state.apply(back);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, state.count(firm).drawn);  // the other attempt may have run
    back = ask(2, 3);
    back.not_run.push_back({firm, 11});
    state.apply(back);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, state.count(firm).drawn);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, state.count(firm).given_back);
    back = ask(2, 4);
    back.not_run.push_back({firm, 11});
    state.apply(back);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, state.count(firm).given_back);
  }

  void expiredEdgeKeepsOnlyDoubtfulTokens() {
    for (bool spends : {false, true}) {
      QuotaLedger state =
          ledger_with(account("f", "", "pull", 200), spends ? ",\"outOfTouch\":\"spend\"" : "");
      CPPUNIT_ASSERT_EQUAL(std::uint64_t{100}, want(state, 1, 1, firm, 1000));
      QuotaRequest spent = ask(1, 2);
      spent.settled.push_back({firm, 1, {1, 2, 3}});
      state.apply(spent);
      state.expire_edge(1);
      state.expire_edge(1);
      std::uint64_t doubt = spends ? 97 : quota::max_unsettled;
      CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, state.count(firm).out);
      CPPUNIT_ASSERT_EQUAL(doubt, state.count(firm).in_doubt);
      CPPUNIT_ASSERT_EQUAL(std::uint64_t{3}, state.count(firm).drawn);
      // A late report of the expired session settles doubtful tokens, but gets no more grants.
      QuotaRequest late = ask(1, 3);
      late.settled.push_back({firm, 1, {4, 5}});
      late.wants.push_back({firm, 5});
      late.returned.push_back({firm, 5});
      state.apply(late);
      CPPUNIT_ASSERT_EQUAL(doubt - 2, state.count(firm).in_doubt);
      CPPUNIT_ASSERT_EQUAL(std::uint64_t{5}, state.count(firm).drawn);
      CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, state.count(firm).out);
      CPPUNIT_ASSERT(state.is_expired(1));
      // Exactly what is left can be granted.
      std::uint64_t sum = 0;
      for (std::uint64_t i = 1; i <= 20; ++i) sum += want(state, 2, i, firm, 1000);
      CPPUNIT_ASSERT_EQUAL(200 - 5 - (doubt - 2), sum);
    }
  }

  void lateReportCountsInItsOwnWindow() {
    QuotaLedger state = ledger_with(account("f", "", "pull", 10));
    want(state, 1, 1, firm, 4);
    state.advance_window(2);
    state.advance_window(2);
    state.advance_window(7);
    CPPUNIT_ASSERT_EQUAL(quota::Window{2}, state.window());
    QuotaRequest late = ask(1, 2, 1);
    late.settled.push_back({firm, 1, {1, 2}});
    state.apply(late);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, state.count(firm).drawn);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, state.lines()[0].count.drawn);
    CPPUNIT_ASSERT_EQUAL(quota::Window{1}, state.lines()[0].window);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{5},
                         want(state, 2, 1, firm, 100));  // the new window has its full limit
    for (quota::Window window = 3; window < 9; ++window) state.advance_window(window);
    CPPUNIT_ASSERT(state.lines().empty());
    CPPUNIT_ASSERT(!state.applied(1, 1));  // its session was dropped
  }

  void changedLimitAppliesAtOnce() {
    QuotaLedger state = ledger_with(account("f", "", "pull", 10));
    want(state, 1, 1, firm, 4);
    QuotaRequest spent = ask(1, 2);
    spent.settled.push_back({firm, 1, {1, 2, 3, 4}});
    state.apply(spent);
    state.configure(read(rules(account("f", "", "pull", 2))));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, want(state, 2, 1, firm, 5));
    CPPUNIT_ASSERT(state.given(2, 1)->front().exhausted);
    state.configure(read(rules(account("f", "", "pull", 5))));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, want(state, 2, 2, firm, 5));
    // A branch moved to another firm counts there from then on.
    state.configure(read(rules(account("g", "", "pull", 5) + "," + account("g", "b", "pull", 5))));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, want(state, 2, 3, {"f/b", "pull"}, 5));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{3}, want(state, 2, 4, {"g/b", "pull"}, 5));
  }

  void snapshotRestoresLedger() {
    QuotaLedger state = ledger_with(account("f", "", "pull", 50) + "," + account("f", "b", "pull", 40));
    want(state, 1, 1, branch, 9);
    want(state, 2, 1, firm, 30);
    QuotaRequest spent = ask(1, 2);
    spent.settled.push_back({branch, 1, {1, 2, 3}});
    spent.unsure.push_back({branch, 2});
    spent.refused.push_back({branch, 7});
    state.apply(spent);
    state.expire_edge(2);
    state.advance_window(2);
    auto bytes = [](const QuotaLedger& from) {
      protocol::Packer packer;
      from.save(packer);
      return std::string(packer.view());
    };
    std::string folded = bytes(state);
    protocol::Packer whole;
    whole.array(1);
    state.save(whole);
    protocol::Unpacker in(whole.view());
    QuotaLedger again;
    again.configure(read(rules(account("f", "", "pull", 50) + "," + account("f", "b", "pull", 40))));
    CPPUNIT_ASSERT(again.restore(in));
    CPPUNIT_ASSERT(in.at_end());
    CPPUNIT_ASSERT_EQUAL(folded.size(), bytes(again).size());
    CPPUNIT_ASSERT_EQUAL(state.lines().size(), again.lines().size());
    for (std::size_t i = 0; i < state.lines().size(); ++i) {
      CPPUNIT_ASSERT_EQUAL(state.lines()[i].count.drawn, again.lines()[i].count.drawn);
      CPPUNIT_ASSERT_EQUAL(state.lines()[i].count.unsure, again.lines()[i].count.unsure);
      CPPUNIT_ASSERT_EQUAL(state.lines()[i].count.in_doubt, again.lines()[i].count.in_doubt);
    }
    CPPUNIT_ASSERT(again.is_expired(2) && !again.is_expired(1));
    state.apply(spent);
    again.apply(spent);  // already applied
    CPPUNIT_ASSERT_EQUAL(state.count(branch).drawn, again.count(branch).drawn);
  }

  // An edge that was granted 40 tokens of "f" at `now` and has spent one.
  static quota::EdgeQuota edge_quota(quota::Time now, const std::string& extra = "") {
    quota::EdgeQuota edge_quota(9);
    edge_quota.configure(read(rules(account("f", "", "pull", 100), extra)));
    using Kind = quota::DrawResult::Kind;
    CPPUNIT_ASSERT(edge_quota.draw(now, "f", "pull", "first", false).kind == Kind::wait);
    auto request = edge_quota.take_request(now);
    CPPUNIT_ASSERT(request);
    quota::QuotaReply reply;
    reply.number = request->number;
    reply.window = 1;
    reply.left_ms = 60000;
    reply.given.push_back({{"f", "pull"}, 40, false});
    edge_quota.on_reply(now, reply);
    CPPUNIT_ASSERT(edge_quota.draw(now, "f", "pull", "first", true).kind == Kind::drawn);
    return edge_quota;
  }

  void edgeWithExpiredLeaseSpendsNothing() {
    using Kind = quota::DrawResult::Kind;
    quota::Time now{quota::Duration(100)};
    auto frozen = edge_quota(now);
    now += quota::Duration(2.01);
    CPPUNIT_ASSERT(frozen.draw(now, "f", "pull", "x", false).kind == Kind::wait);
    // A further attempt of a request counted here needs no token.
    CPPUNIT_ASSERT(frozen.draw(now, "f", "pull", "first", false).kind == Kind::drawn);
    auto spends = edge_quota(now, ",\"outOfTouch\":\"spend\"");
    now += quota::Duration(30);
    CPPUNIT_ASSERT(spends.draw(now, "f", "pull", "x", false).kind == Kind::drawn);
    now += quota::Duration(31);
    CPPUNIT_ASSERT(spends.draw(now, "f", "pull", "y", false).kind == Kind::wait);  // the window has ended
  }

  void unsettledTokensAreBounded() {
    using Kind = quota::DrawResult::Kind;
    quota::Time now{quota::Duration(100)};
    auto busy = edge_quota(now);
    std::uint64_t drawn = 1;
    for (int i = 0; i < 30; ++i)
      drawn += busy.draw(now, "f", "pull", "k" + std::to_string(i), false).kind == Kind::drawn;
    CPPUNIT_ASSERT_EQUAL(quota::max_unsettled, drawn);
    // The request is resent unchanged until it is answered; then more tokens may be spent.
    auto request = busy.take_request(now);
    CPPUNIT_ASSERT(request && !busy.take_request(now));
    now += quota::Duration(0.3);
    auto again = busy.take_request(now);
    CPPUNIT_ASSERT(again && again->number == request->number &&
                   again->settled[0].keys == request->settled[0].keys);
    quota::QuotaReply reply;
    reply.number = request->number;
    reply.window = 1;
    reply.left_ms = 60000;
    busy.on_reply(now, reply);
    CPPUNIT_ASSERT(busy.draw(now, "f", "pull", "z", false).kind == Kind::drawn);
    busy.on_reply(now, reply);  // duplicate reply
    CPPUNIT_ASSERT(busy.take_request(now));
  }

  void newWindowInvalidatesTokens() {
    using Kind = quota::DrawResult::Kind;
    quota::Time now{quota::Duration(100)};
    auto turned = edge_quota(now);
    CPPUNIT_ASSERT(turned.draw(now, "f", "pull", "x", false).kind == Kind::drawn);
    quota::QuotaReply reply;
    reply.window = 2;
    reply.left_ms = 60000;
    turned.on_reply(now, reply);
    CPPUNIT_ASSERT(turned.draw(now, "f", "pull", "y", false).kind == Kind::wait);
    CPPUNIT_ASSERT(turned.draw(now, "f", "pull", "x", false).kind ==
                   Kind::drawn);  // counted in the window before
    // A draw is reported for the window in which it was made.
    auto request = turned.take_request(now);
    CPPUNIT_ASSERT(request && request->settled.size() == 1);
    CPPUNIT_ASSERT_EQUAL(quota::Window{1}, request->settled[0].window);
    // A notification of exhaustion applies at once for a second; then the leader is asked again.
    reply.number = 0;
    reply.given.push_back({{"f", "pull"}, 0, true});
    turned.on_reply(now, reply);
    auto refused = turned.draw(now, "f", "pull", "z", false);
    CPPUNIT_ASSERT(refused.kind == Kind::refused);
    CPPUNIT_ASSERT(refused.retry_after > quota::Duration(59));
    CPPUNIT_ASSERT(turned.draw(now + quota::Duration(1.1), "f", "pull", "z", false).kind == Kind::wait);
  }

  static simulation::ClusterOptions options(std::uint64_t seed, const std::string& accounts,
                                            std::vector<std::string> holders, double rate = 60) {
    simulation::ClusterOptions options;
    options.seed = seed;
    options.edges = 4;
    options.shards = 2;
    options.plain_nodes = 8;
    options.nodes_per_shard = 3;
    options.allowances = rules(accounts);
    options.holders = std::move(holders);
    options.retrievals_per_s = rate;
    return options;
  }
  static std::string both(const std::string& firm, const std::string& branch, int sweeps, int pulls) {
    return account(firm, branch, "sweep", sweeps) + "," + account(firm, branch, "pull", pulls);
  }
  static void good(const simulation::Cluster& cluster, const std::vector<simulation::Auditor::Limit>& limits,
                   bool exactly) {
    for (const std::string& fault : cluster.audit(limits, exactly)) CPPUNIT_FAIL(fault);
  }
  static void begin(simulation::Cluster& cluster) {
    cluster.run(2);
    cluster.change(0);
  }

  void noMessagesWithoutQuotaRules() {
    simulation::ClusterOptions plain = options(1, "", {"f"});
    plain.allowances.clear();
    simulation::Cluster cluster(plain);
    begin(cluster);
    cluster.run(5);
    CPPUNIT_ASSERT(cluster.auditor().served() > 100);
    for (std::size_t edge = 0; edge < cluster.edges(); ++edge) {
      CPPUNIT_ASSERT(!cluster.gateway(edge)->quota_rules());
      CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, cluster.gateway(edge)->edge_quota().counters().asks);
    }
    int leader = cluster.leader();
    CPPUNIT_ASSERT_EQUAL(
        std::uint64_t{0},
        cluster.member(static_cast<std::size_t>(leader))->controller().quota_allocator().counters().entries);
  }

  void countsEqualRequestsThatRan() {
    for (std::uint64_t seed = 1; seed <= 12 / seed_divisor; ++seed) {
      simulation::Cluster cluster(options(
          seed,
          both("f", "", 100000, 100000) + "," + both("f", "b", 9000, 9000) + "," + both("g", "", 9000, 9000),
          {"f", "f/b", "f/unlisted", "g", "nobody"}));
      begin(cluster);
      cluster.run(8);
      cluster.stop_retrieving();
      cluster.run(6);
      auto counts = cluster.member(static_cast<std::size_t>(cluster.leader()))->state().quota_ledger();
      CPPUNIT_ASSERT(counts.count({"f", "pull"}).drawn > 40);
      CPPUNIT_ASSERT_EQUAL(cluster.auditor().truth("f", "pull"), counts.count({"f", "pull"}).drawn);
      CPPUNIT_ASSERT_EQUAL(cluster.auditor().truth("f/b", "sweep"), counts.count({"f/b", "sweep"}).drawn);
      CPPUNIT_ASSERT_EQUAL(cluster.auditor().truth("g", "sweep"), counts.count({"g", "sweep"}).drawn);
      CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, counts.count({"nobody", "pull"}).drawn);
      CPPUNIT_ASSERT(cluster.auditor().served() >= cluster.auditor().retrievals() * 99 / 100);
    }
  }

  void contendedLastTokensAreAllSpent() {
    for (std::uint64_t seed = 1; seed <= 20 / seed_divisor; ++seed) {
      auto few = options(seed, both("f", "", 37, 23), {"f"});
      simulation::Cluster cluster(few);
      begin(cluster);
      cluster.run(10);
      cluster.stop_retrieving();
      cluster.run(6);
      good(cluster, {{"f", "sweep", 37}, {"f", "pull", 23}}, true);
      // The whole limit was served, and no more.
      CPPUNIT_ASSERT_EQUAL(std::uint64_t{37}, cluster.auditor().truth("f", "sweep"));
      CPPUNIT_ASSERT_EQUAL(std::uint64_t{23}, cluster.auditor().truth("f", "pull"));
      CPPUNIT_ASSERT(cluster.auditor().refused() > 100);
    }
  }

  void requestSentToTwoEdgesDrawsOnce() {
    auto deployment = options(3, both("f", "", 1000, 1000), {"f"});
    deployment.retrievals_per_s = 0;
    simulation::Cluster cluster(deployment);
    begin(cluster);
    cluster.run(3);
    for (int i = 0; i < 40; ++i) {
      cluster.retrieve_one("f", i % 2 == 0, 3);
      cluster.run(0.1);
    }
    cluster.run(6);
    good(cluster, {}, true);
    auto counts = cluster.member(static_cast<std::size_t>(cluster.leader()))->state().quota_ledger();
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{20}, counts.count({"f", "sweep"}).drawn);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{20}, counts.count({"f", "pull"}).drawn);
  }

  // Idle tokens of one edge go to another that needs them.
  void idleTokensAreRecalled() {
    for (std::uint64_t seed = 1; seed <= 6; ++seed) {
      auto deployment = options(seed, both("f", "", 9, 9), {"f"});
      deployment.retrievals_per_s = 0;
      simulation::Cluster cluster(deployment);
      begin(cluster);
      cluster.run(3);
      for (int i = 0; i < 12; ++i) {
        cluster.retrieve_one("f", false, 1);
        cluster.run(0.4);
      }
      cluster.run(4);
      good(cluster, {{"f", "pull", 9}}, true);
      CPPUNIT_ASSERT_EQUAL(std::uint64_t{9}, cluster.auditor().truth("f", "pull"));
    }
  }

  void raisedLimitIsServed() {
    auto deployment = options(5, both("f", "", 20, 20), {"f"});
    simulation::Cluster cluster(deployment);
    begin(cluster);
    cluster.run(6);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{20}, cluster.auditor().truth("f", "pull"));
    cluster.set_allowances(pearspar::rules(both("f", "", 50, 50)));
    cluster.change(0);
    cluster.run(6);
    cluster.stop_retrieving();
    cluster.run(6);
    good(cluster, {{"f", "pull", 50}, {"f", "sweep", 50}}, true);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{50}, cluster.auditor().truth("f", "pull"));
  }

  // With short windows, demand above the limit and leader failures, each window serves at most its limit and
  // the next one serves again.
  void everyWindowKeepsItsLimit() {
    for (std::uint64_t seed = 1; seed <= 10 / seed_divisor; ++seed) {
      auto deployment = options(seed, both("f", "", 30, 30), {"f"});
      deployment.allowances.replace(deployment.allowances.find("600000"), 6, "2000");
      simulation::Cluster cluster(deployment);
      begin(cluster);
      for (int i = 0; i < 5; ++i) {
        cluster.run(2.5);
        if (i % 2 == 1 && cluster.leader() >= 0)
          cluster.kill_core(static_cast<std::size_t>(cluster.leader()), 0.8, true);
      }
      cluster.stop_retrieving();
      cluster.run(1.5);
      CPPUNIT_ASSERT(cluster.leader() >= 0);
      auto accounts = cluster.member(static_cast<std::size_t>(cluster.leader()))->state().quota_ledger();
      std::uint64_t truth = cluster.auditor().truth("f", "pull");
      CPPUNIT_ASSERT(truth <= 30 * accounts.window());
      CPPUNIT_ASSERT(truth > 30 * 3);
      for (const auto& line : accounts.lines())
        CPPUNIT_ASSERT(line.count.drawn + line.count.in_doubt + line.count.out <= 30);
    }
  }

  // Edges crash, freeze and are partitioned; leaders and the whole core crash; disks are wiped; nodes crash.
  void countsStayWithinBoundsUnderFaults() {
    std::uint64_t served = 0;
    for (std::uint64_t seed = 1; seed <= 40 / seed_divisor; ++seed) {
      auto deployment =
          options(seed, both("f", "", 260, 240) + "," + both("f", "b", 90, 400), {"f", "f/b", "f"});
      if (seed % 3 == 0) deployment.sync_s = 0.005;
      simulation::Cluster cluster(deployment);
      begin(cluster);
      cluster.run(3);
      for (int i = 0; i < 9; ++i) {
        switch (cluster.world().below(8)) {
          case 0:
          case 1:
            cluster.kill_edge(cluster.world().below(cluster.edges()), 0.4);
            break;
          case 2:
            cluster.freeze_edge(cluster.world().below(cluster.edges()),
                                1 + 3 * cluster.world().uniform(0, 1));
            break;
          case 3: {
            std::string address = cluster.edge_address(cluster.world().below(cluster.edges()));
            cluster.cut_off(address, true, true);
            cluster.world().in(quota::Duration(3), [&cluster, address] { cluster.heal(address); });
            break;
          }
          case 4:
            if (cluster.leader() >= 0) cluster.kill_core(static_cast<std::size_t>(cluster.leader()), 1, true);
            break;
          case 5:
            for (std::size_t core = 0; core < cluster.cores(); ++core) cluster.kill_core(core, 0.5);
            break;
          case 6:
            cluster.crash_node(cluster.world().below(cluster.nodes()), 1, false);
            break;
          default:
            if (cluster.leader() >= 0 && i % 3 == 0)
              cluster.wipe_core((static_cast<std::size_t>(cluster.leader()) + 1) % 3, 1);
        }
        cluster.run(1.2);
      }
      cluster.net().heal_all();
      cluster.run(3);
      cluster.stop_retrieving();
      cluster.run(8);
      good(cluster, {{"f", "sweep", 260}, {"f", "pull", 240}, {"f/b", "sweep", 90}}, false);
      served += cluster.auditor().served();
    }
    CPPUNIT_ASSERT(served > 40 / seed_divisor * 150);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(AllowanceTest);

}  // namespace pearspar
