// Orders of roll-outs at a single member, the replicated ledger of roll-outs, and its encoding.
#include <cppunit/extensions/HelperMacros.h>

#include <memory>

#include "control_plane/member.h"
#include "protocol/rollout_codec.h"
#include "rollout/rollout_clock.h"
#include "simulation/disk.h"

namespace pearspar::rollout {

namespace {

using control_plane::ReplicatedState;

struct SilentTransport : transport::Transport {
  void set_targets(const std::vector<std::string>&) override {}
  bool send_to(const std::string&, std::string_view) override { return true; }
  bool send(transport::LinkId, std::string_view) override { return true; }
};

std::string order_text(const std::string& service, const std::string& version, const std::string& over_s) {
  return R"({"depot":")" + service + R"(","targetEdition":")" + version + R"(","overS":)" + over_s + "}";
}

// The only member of its group, which a process after another runs on the same disk.
struct OnlyMember {
  simulation::World world{1};
  simulation::SimDisk disk{world};
  SilentTransport wire;
  std::unique_ptr<control_plane::Member> member;
  control_plane::CallerId last_caller = 0;
  std::map<control_plane::CallerId, control_plane::Reply> replies;
  int heartbeats = 0;

  OnlyMember() { restart(); }
  void restart() {
    raft::Options raft;
    raft.address = "a:1";
    raft.founders = raft.seeds = {"a:1"};
    raft.first_start = !member;
    raft.fresh_id = 5;
    control_plane::ControllerOptions controller;
    controller.incarnation = 5;
    member = std::make_unique<control_plane::Member>(wire, disk, raft, controller);
    CPPUNIT_ASSERT(!member->start(world.now()));
    run(2);
  }
  void run(double seconds) {
    for (double t = 0; t < seconds; t += 0.01) {
      world.run_until(world.now() + control_plane::Duration(0.01));
      advance();
    }
  }
  void advance() {
    for (const auto& reply : member->advance([this] { return world.now(); })) replies[reply.caller] = reply;
  }
  control_plane::Reply call(const std::string& method, const std::string& path, const std::string& body) {
    member->call(world.now(), ++last_caller, method, path, "", body);
    advance();
    return replies[last_caller];
  }
  int heartbeat(const std::string& id, const std::string& service, const std::string& version) {
    return call("PUT", "/pearspar/nodes/" + id,
                R"({"depot":")" + service + R"(","address":"1.1.1.1:)" + id + R"(","edition":")" + version +
                    R"(","nodeState":"at_post","callSeq":)" + std::to_string(++heartbeats) + "}")
        .status;
  }
  control_plane::Reply order(const std::string& service, const std::string& version,
                             const std::string& over_s = "12") {
    return call("POST", "/pearspar/rollouts", order_text(service, version, over_s));
  }
  control_plane::Reply read(const std::string& service) {
    return call("GET", "/pearspar/rollouts/" + service, "");
  }
  // Two nodes of "a", one of "b"; their versions are recorded.
  void add_nodes() {
    heartbeat("1", "a", "v1");
    heartbeat("2", "a", "v1");
    heartbeat("3", "b", "v7");
    run(4);
  }
  const ServiceRecord* record(const char* service) const { return member->state().rollouts().find(service); }
};

bool says(const control_plane::Reply& reply, const std::string& text) {
  return reply.body.find(text) != std::string::npos;
}

}  // namespace

class RolloutLedgerTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RolloutLedgerTest);
  CPPUNIT_TEST(versionsAreRecordedOnceTheListIsComplete);
  CPPUNIT_TEST(orderIsAnsweredByItsState);
  CPPUNIT_TEST(invalidOrderNamesTheFaultyKey);
  CPPUNIT_TEST(orderForTheVersionThatServesIsDelivered);
  CPPUNIT_TEST(orderWithoutAVerdictIsReturnedInItsTerm);
  CPPUNIT_TEST(orderThatIsOnNoDiskIsNotAcknowledged);
  CPPUNIT_TEST(restartKeepsVersionsAndRollouts);
  CPPUNIT_TEST(termCountsOverRestarts);
  CPPUNIT_TEST(commandsOutOfPlaceChangeNothing);
  CPPUNIT_TEST(oldestServicesAreDropped);
  CPPUNIT_TEST(snapshotHoldsTheLedger);
  CPPUNIT_TEST_SUITE_END();

 public:
  void versionsAreRecordedOnceTheListIsComplete() {
    OnlyMember tested;
    tested.heartbeat("1", "a", "v1");
    CPPUNIT_ASSERT(!tested.record("a"));  // another of the old version may report yet
    tested.heartbeat("2", "a", "v0");
    tested.run(4);
    CPPUNIT_ASSERT((tested.record("a")->allowed == std::vector<std::string>{"v0", "v1"}));
    tested.heartbeat("3", "b", "v7");
    tested.heartbeat("4", "b", "v8");
    CPPUNIT_ASSERT((tested.record("b")->allowed == std::vector<std::string>{"v7"}));
  }

  void orderIsAnsweredByItsState() {
    OnlyMember tested;
    tested.add_nodes();
    CPPUNIT_ASSERT_EQUAL(404, tested.read("a").status);
    CPPUNIT_ASSERT_EQUAL(200, tested.order("a", "v2").status);
    CPPUNIT_ASSERT(says(tested.read("a"), R"("nodeState":"in_transit","targetEdition":"v2")"));
    CPPUNIT_ASSERT_EQUAL(200, tested.order("a", "v2").status);  // the same again
    CPPUNIT_ASSERT_EQUAL(409, tested.order("a", "v3").status);
    CPPUNIT_ASSERT_EQUAL(409, tested.order("a", "v2", "13").status);
    CPPUNIT_ASSERT_EQUAL(RolloutNumber{1}, tested.record("a")->rollout->number);
    CPPUNIT_ASSERT_EQUAL(200, tested.order("b", "v8").status);  // beside it
    CPPUNIT_ASSERT_EQUAL(422, tested.order("c", "v2").status);
    CPPUNIT_ASSERT_EQUAL(404, tested.read("c").status);
  }

  void invalidOrderNamesTheFaultyKey() {
    OnlyMember tested;
    tested.add_nodes();
    auto fault = [&](const std::string& body, const std::string& key) {
      control_plane::Reply reply = tested.call("POST", "/pearspar/rollouts", body);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(body, 400, reply.status);
      CPPUNIT_ASSERT_MESSAGE(body + " " + reply.body, says(reply, key));
    };
    fault("", "line 1, column 1");
    fault("[]", "is no object");
    fault(R"({"targetEdition":"v2","overS":12})", "depot: is missing");
    fault(R"({"depot":"a","targetEdition":2,"overS":12})", "targetEdition: ");
    fault(order_text("a", "", "12"), "targetEdition: is empty");
    fault(order_text("a", "v2", "0"), "overS: ");
    fault(order_text("a", "v2", "-3"), "overS: ");
    fault(order_text("a", "v2", "1e9"), "overS: ");
    CPPUNIT_ASSERT(!tested.record("a")->rollout);
    CPPUNIT_ASSERT_EQUAL(405, tested.call("PUT", "/pearspar/rollouts", "{}").status);
    CPPUNIT_ASSERT_EQUAL(405, tested.call("DELETE", "/pearspar/rollouts/a", "").status);
  }

  void orderForTheVersionThatServesIsDelivered() {
    OnlyMember tested;
    tested.add_nodes();
    CPPUNIT_ASSERT_EQUAL(200, tested.order("a", "v1").status);
    CPPUNIT_ASSERT(says(tested.read("a"), R"("nodeState":"delivered","targetEdition":"v1")"));
    CPPUNIT_ASSERT_EQUAL(200, tested.order("a", "v2").status);
  }

  void orderWithoutAVerdictIsReturnedInItsTerm() {
    OnlyMember tested;
    tested.add_nodes();
    CPPUNIT_ASSERT_EQUAL(200, tested.order("a", "v2", "4").status);
    tested.run(3);
    CPPUNIT_ASSERT(says(tested.read("a"), "in_transit"));
    tested.run(0.9);
    CPPUNIT_ASSERT(says(tested.read("a"), R"("nodeState":"returned","targetEdition":"v2")"));
    CPPUNIT_ASSERT(tested.record("a")->allowed == std::vector<std::string>{"v1"});
    // A lost answer may have the operator ask again: that starts nothing. Later on it is another order.
    CPPUNIT_ASSERT(says(tested.order("a", "v2", "4"), "returned"));
    tested.run(3);
    CPPUNIT_ASSERT(says(tested.order("a", "v2", "4"), "in_transit"));
    CPPUNIT_ASSERT_EQUAL(RolloutNumber{2}, tested.record("a")->rollout->number);
  }

  void orderThatIsOnNoDiskIsNotAcknowledged() {
    OnlyMember tested;
    tested.add_nodes();
    tested.disk.set_full(true);
    CPPUNIT_ASSERT(tested.order("a", "v2").status != 200);
    tested.run(1);
    CPPUNIT_ASSERT_EQUAL(503, tested.replies[tested.last_caller].status);
    tested.disk.set_full(false);
    tested.run(4);
    CPPUNIT_ASSERT_EQUAL(200, tested.order("a", "v2").status);
  }

  void restartKeepsVersionsAndRollouts() {
    OnlyMember tested;
    tested.add_nodes();
    CPPUNIT_ASSERT_EQUAL(200, tested.order("a", "v2", "60").status);
    auto before = tested.member->state().rollouts().services();
    tested.restart();
    tested.heartbeat("9", "a", "v2");
    tested.run(4);
    CPPUNIT_ASSERT(before == tested.member->state().rollouts().services());
    CPPUNIT_ASSERT(says(tested.read("a"), "in_transit"));
    CPPUNIT_ASSERT_EQUAL(200, tested.order("a", "v2", "60").status);
  }

  // Of the time that was over before a restart, what the log has is counted, and a second in which nobody was
  // up.
  void termCountsOverRestarts() {
    RolloutLedger ledger;
    RolloutClock clock;
    Time now{Duration(100)};
    clock.observe(now, ledger);
    ledger.apply(StartRollout{"a", "v2", 12000, {"v1"}}, 1);
    clock.observe(now, ledger);
    CPPUNIT_ASSERT(clock.elapsed(now + Duration(3), "a") == Duration(3));
    ledger.apply(ReserveCalls{"a", 1, 10, 0, 2500}, 2);
    clock.observe(now + Duration(2), ledger);
    CPPUNIT_ASSERT(clock.elapsed(now + Duration(3), "a") == Duration(3.5));
    RolloutClock restarted;
    restarted.observe(now + Duration(50), ledger);
    CPPUNIT_ASSERT(restarted.elapsed(now + Duration(51), "a") == Duration(4.5));
    CPPUNIT_ASSERT(restarted.in_transit() == std::vector<std::string>{"a"});
    ledger.apply(FinishRollout{"a", 1, RolloutState::returned, 4000, ""}, 3);
    restarted.observe(now + Duration(51), ledger);
    CPPUNIT_ASSERT(restarted.in_transit().empty());
  }

  void commandsOutOfPlaceChangeNothing() {
    RolloutLedger ledger;
    ledger.apply(RecordVersions{"a", {"v1"}}, 1);
    ledger.apply(RecordVersions{"a", {"v2"}}, 2);
    CPPUNIT_ASSERT(ledger.find("a")->allowed == std::vector<std::string>{"v1"});
    ledger.apply(StartRollout{"a", "v2", 1000, {"v9"}}, 3);
    ledger.apply(StartRollout{"a", "v3", 1000, {"v9"}}, 4);
    CPPUNIT_ASSERT_EQUAL(std::string("v2"), ledger.find("a")->rollout->target);
    CPPUNIT_ASSERT(ledger.find("a")->allowed == std::vector<std::string>{"v1"});
    auto before = ledger.services();
    ledger.apply(SetShare{"a", 2, 500, 10, ""}, 5);
    ledger.apply(SetShare{"a", 1, 5000, 10, ""}, 6);
    ledger.apply(SetShare{"b", 1, 500, 10, ""}, 7);
    ledger.apply(FinishRollout{"a", 2, RolloutState::delivered, 10, ""}, 8);
    ledger.apply(FinishRollout{"a", 1, RolloutState::in_transit, 10, ""}, 9);
    CPPUNIT_ASSERT(before == ledger.services());
    ledger.apply(FinishRollout{"a", 1, RolloutState::delivered, 10, ""}, 10);
    CPPUNIT_ASSERT(ledger.find("a")->allowed == std::vector<std::string>{"v2"});
    ledger.apply(FinishRollout{"a", 1, RolloutState::returned, 10, ""}, 11);
    CPPUNIT_ASSERT(ledger.find("a")->rollout->state == RolloutState::delivered);
    CPPUNIT_ASSERT_EQUAL(LogIndex{10}, ledger.changed_at());
  }

  void oldestServicesAreDropped() {
    RolloutLedger ledger;
    ledger.apply(StartRollout{"kept", "v2", 1000, {"v1"}}, 1);
    for (std::size_t i = 0; i < RolloutLedger::max_services + 5; ++i)
      ledger.apply(RecordVersions{"s" + std::to_string(i), {"v1"}}, i + 2);
    CPPUNIT_ASSERT_EQUAL(RolloutLedger::max_services, ledger.services().size());
    CPPUNIT_ASSERT(ledger.find("kept") && !ledger.find("s0") && ledger.find("s10"));
  }

  void snapshotHoldsTheLedger() {
    ReplicatedState state;
    raft::Entry entry;
    entry.index = 7;
    entry.kind = raft::EntryKind::change;
    entry.data = ReplicatedState::encode_rollout_commands(
        {RecordVersions{"b", {"v7", "v8"}}, StartRollout{"a", "v2", 1500, {"v1"}},
         ReserveCalls{"a", 1, 32, 640, 100}, SetShare{"a", 1, 250, 700, "why"}});
    state.apply(entry);
    ReplicatedState restored;
    restored.restore(state.take_snapshot());
    CPPUNIT_ASSERT(state.rollouts().services() == restored.rollouts().services());
    CPPUNIT_ASSERT_EQUAL(LogIndex{7}, restored.rollouts().changed_at());
    CPPUNIT_ASSERT_EQUAL(RolloutNumber{1}, restored.rollouts().last_number());
    const Rollout& rollout = *restored.rollouts().find("a")->rollout;
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{32}, rollout.reserved_calls);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{640}, rollout.requests);
    CPPUNIT_ASSERT_EQUAL(std::uint32_t{250}, rollout.share_permille);
    catalog::ServiceVersions versions = versions_of("a", *restored.rollouts().find("a"));
    auto decoded = protocol::unpack_service_versions(protocol::pack_service_versions(versions));
    CPPUNIT_ASSERT(decoded && *decoded == versions);
    CPPUNIT_ASSERT(versions.group_of("v1") == catalog::NodeGroup::current);
    CPPUNIT_ASSERT(versions.group_of("v2") == catalog::NodeGroup::candidate);
    CPPUNIT_ASSERT(versions.group_of("v3") == catalog::NodeGroup::barred);
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(RolloutLedgerTest);

}  // namespace pearspar::rollout
