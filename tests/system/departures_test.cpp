// Nodes that were told that they have left: a restart of all members must not bring them back.
#include <cppunit/extensions/HelperMacros.h>

#include <memory>

#include "control_plane/departure_proposals.h"
#include "control_plane/member.h"
#include "simulation/disk.h"

namespace pearspar {

namespace {

using catalog::Departure;
using catalog::Departures;
using catalog::Duration;
using control_plane::DepartureProposals;
using control_plane::ReplicatedState;

struct SilentTransport : transport::Transport {
  void set_targets(const std::vector<std::string>&) override {}
  bool send_to(const std::string&, std::string_view) override { return true; }
  bool send(transport::LinkId, std::string_view) override { return true; }
};

// The only member of its group, which a process after another runs on the same disk.
struct OnlyMember {
  simulation::World world{1};
  simulation::SimDisk disk{world};
  SilentTransport wire;
  std::unique_ptr<control_plane::Member> member;
  control_plane::CallerId last_caller = 0;
  std::map<control_plane::CallerId, int> statuses;

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
    CPPUNIT_ASSERT(member->controller().is_active());
  }
  void advance() {
    for (const auto& reply : member->advance([this] { return world.now(); }))
      statuses[reply.caller] = reply.status;
  }
  void run(double seconds) {
    for (double t = 0; t < seconds; t += 0.01) {
      world.run_until(world.now() + Duration(0.01));
      advance();
    }
  }
  // The status of the answer, 0 without one.
  int call(const std::string& method, const std::string& id, const std::string& body) {
    member->call(world.now(), ++last_caller, method, "/pearspar/nodes/" + id, "", body);
    advance();
    return statuses[last_caller];
  }
  int heartbeat(const std::string& id, int sequence, const std::string& state) {
    return call("PUT", id,
                R"({"depot":"d","address":"1.1.1.1:)" + std::to_string(id[0]) + R"(","nodeState":")" + state +
                    R"(","callSeq":)" + std::to_string(sequence) + "}");
  }
  int leave(const std::string& id) { return call("DELETE", id, ""); }
  const catalog::Node* node(const char* id) const { return member->controller().view().nodes().find(id); }
};

raft::Entry entry(const std::vector<Departure>& departures) {
  raft::Entry made;
  made.kind = raft::EntryKind::change;
  made.data = ReplicatedState::encode_departures(departures);
  return made;
}

}  // namespace

class DeparturesTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(DeparturesTest);
  CPPUNIT_TEST(nodeThatHasLeftStaysGoneAfterARestart);
  CPPUNIT_TEST(closingNodeStaysClosingAfterARestart);
  CPPUNIT_TEST(leaveThatIsOnNoDiskIsNotAcknowledged);
  CPPUNIT_TEST(closingBehindALeaveIsNotAcknowledgedEarlier);
  CPPUNIT_TEST(lateClosingRecordCounts);
  CPPUNIT_TEST(snapshotHoldsDepartures);
  CPPUNIT_TEST(oldestRecordsAreDropped);
  CPPUNIT_TEST(batchesAreCommittedOneByOne);
  CPPUNIT_TEST_SUITE_END();

 public:
  // The list of nodes is noted on the disk at intervals only: a leave that had been acknowledged since the
  // last note was forgotten, and the node got requests again.
  void nodeThatHasLeftStaysGoneAfterARestart() {
    OnlyMember tested;
    CPPUNIT_ASSERT_EQUAL(200, tested.heartbeat("n", 1, "at_post"));
    tested.run(1);
    CPPUNIT_ASSERT_EQUAL(200, tested.heartbeat("m", 1, "at_post"));
    CPPUNIT_ASSERT_EQUAL(200, tested.leave("n"));
    tested.restart();
    CPPUNIT_ASSERT(!tested.node("n"));
    CPPUNIT_ASSERT(tested.node("m"));
    CPPUNIT_ASSERT_EQUAL(200, tested.heartbeat("n", 2, "at_post"));  // delayed
    CPPUNIT_ASSERT(!tested.node("n"));
    CPPUNIT_ASSERT_EQUAL(200, tested.leave("n"));
  }

  // The same with a node that said that it is closing.
  void closingNodeStaysClosingAfterARestart() {
    OnlyMember tested;
    CPPUNIT_ASSERT_EQUAL(200, tested.heartbeat("n", 1, "at_post"));
    tested.run(1);
    CPPUNIT_ASSERT_EQUAL(200, tested.heartbeat("m", 1, "at_post"));
    CPPUNIT_ASSERT_EQUAL(200, tested.heartbeat("n", 2, "closing_out"));
    CPPUNIT_ASSERT_EQUAL(200, tested.heartbeat("o", 1, "closing_out"));  // on no list before
    tested.restart();
    CPPUNIT_ASSERT(tested.node("n") && tested.node("n")->closing);
    for (const char* id : {"n", "o"}) {
      CPPUNIT_ASSERT_EQUAL(200, tested.heartbeat(id, 3, "at_post"));  // delayed
      CPPUNIT_ASSERT(!tested.node(id) || tested.node(id)->closing);
    }
  }

  // The disk refuses the write.
  void leaveThatIsOnNoDiskIsNotAcknowledged() {
    OnlyMember tested;
    CPPUNIT_ASSERT_EQUAL(200, tested.heartbeat("n", 1, "at_post"));
    tested.disk.set_full(true);
    CPPUNIT_ASSERT_EQUAL(503, tested.heartbeat("n", 2, "closing_out"));
    tested.leave("n");
    tested.run(1);
    CPPUNIT_ASSERT_EQUAL(503, tested.statuses[tested.last_caller]);
    tested.disk.set_full(false);
    tested.run(3);
    CPPUNIT_ASSERT_EQUAL(200, tested.leave("n"));
  }

  // A node that is gone in memory, but not on the disk, says that it is closing.
  void closingBehindALeaveIsNotAcknowledgedEarlier() {
    OnlyMember tested;
    CPPUNIT_ASSERT_EQUAL(200, tested.heartbeat("n", 1, "at_post"));
    tested.disk.set_full(true);
    CPPUNIT_ASSERT_EQUAL(503, tested.leave("n"));
    tested.run(3);
    CPPUNIT_ASSERT(tested.heartbeat("n", 2, "closing_out") != 200);
  }

  // A drain by an operator was acknowledged and not taken where a heartbeat came between reading and writing
  // the record.
  void lateClosingRecordCounts() {
    OnlyMember tested;
    CPPUNIT_ASSERT_EQUAL(200, tested.heartbeat("n", 6, "at_post"));
    CPPUNIT_ASSERT_EQUAL(200, tested.heartbeat("n", 7, "at_post"));
    CPPUNIT_ASSERT_EQUAL(200, tested.heartbeat("n", 6, "closing_out"));
    CPPUNIT_ASSERT(tested.node("n")->closing);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{7}, tested.node("n")->sequence);
    CPPUNIT_ASSERT_EQUAL(200, tested.heartbeat("n", 8, "at_post"));
    CPPUNIT_ASSERT(tested.node("n")->closing);
  }

  void snapshotHoldsDepartures() {
    ReplicatedState state;
    const std::string before = state.take_snapshot();
    state.apply(entry({{"a", false}, {"b", true}}));
    state.apply(entry({{"a", true}, {"c", false}, {"b", false}}));
    ReplicatedState restored;
    restored.restore(state.take_snapshot());
    for (const ReplicatedState* each : {&state, &restored}) {
      const Departures& departures = each->departures();
      CPPUNIT_ASSERT_EQUAL(std::uint64_t{4}, departures.total());  // a twice; b was gone already
      CPPUNIT_ASSERT(departures.has({"a", true}) && departures.has({"a", false}));
      CPPUNIT_ASSERT(departures.has({"c", false}) && !departures.has({"c", true}));
      CPPUNIT_ASSERT(departures.has({"b", false}) && !departures.has({"d", false}));
      CPPUNIT_ASSERT(each->may_serve());
    }
    CPPUNIT_ASSERT(state.take_snapshot() == restored.take_snapshot());
    state.restore(before);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, state.departures().total());
    CPPUNIT_ASSERT(state.take_snapshot() == before);
  }

  void oldestRecordsAreDropped() {
    Departures departures;
    departures.add({"first", false});
    departures.add({"second", true});
    for (std::size_t i = 0; i + 2 < Departures::max_records; ++i)
      departures.add({"n" + std::to_string(i), true});
    CPPUNIT_ASSERT(departures.has({"first", false}));
    departures.add({"first", true});  // its earlier record is dropped, the later one stays
    CPPUNIT_ASSERT(departures.has({"first", true}) && departures.has({"second", true}));
    departures.add({"last", true});
    CPPUNIT_ASSERT(departures.has({"first", true}) && !departures.has({"second", true}));
    CPPUNIT_ASSERT_EQUAL(Departures::max_records, departures.records().size());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{Departures::max_records + 2}, departures.total());
    Departures restored;
    restored.restore(departures.total(), departures.records());
    CPPUNIT_ASSERT(restored.total() == departures.total() && restored.records() == departures.records());
  }

  void batchesAreCommittedOneByOne() {
    DepartureProposals proposals;
    const auto first = proposals.add({"a", true});
    CPPUNIT_ASSERT_EQUAL(first, proposals.add({"a", true}));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, proposals.next_batch().size());
    proposals.proposed(7);
    const auto second = proposals.add({"b", true});
    CPPUNIT_ASSERT(proposals.next_batch().empty());
    proposals.on_applied(6);
    CPPUNIT_ASSERT(!proposals.is_committed(first));
    proposals.on_applied(7);
    CPPUNIT_ASSERT(proposals.is_committed(first) && !proposals.is_committed(second));
    for (std::size_t i = 0; i < DepartureProposals::max_batch; ++i)
      proposals.add({"n" + std::to_string(i), true});
    const auto last = proposals.add({"z", true});
    CPPUNIT_ASSERT_EQUAL(last, proposals.add({"z", true}));
    CPPUNIT_ASSERT_EQUAL(DepartureProposals::max_batch, proposals.next_batch().size());
    proposals.proposed(8);
    proposals.on_applied(8);
    CPPUNIT_ASSERT(proposals.is_committed(second) && !proposals.is_committed(last));
    proposals.next_batch();
    proposals.proposed(std::nullopt);
    CPPUNIT_ASSERT(proposals.is_lost(last) && !proposals.is_lost(second));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(DeparturesTest);

}  // namespace pearspar
