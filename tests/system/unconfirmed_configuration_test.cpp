// An edge whose configuration may have been replaced: handed on by a member that does not lead, or confirmed
// by a leader too long ago. It serves, and does nothing that a newer configuration might forbid.
#include <cppunit/extensions/HelperMacros.h>

#include <set>
#include <utility>

#include "control_plane/member.h"
#include "edge_gateway/edge_gateway.h"
#include "protocol/messages.h"
#include "simulation/disk.h"

namespace pearspar {

namespace {

using dispatch::CallOutcome;
using dispatch::from_ms;
using subscription::Duration;
using subscription::Time;

constexpr transport::LinkId member_link = 1;
constexpr raft::Index founding_index = 1;
const char* const member_address = "m1:1";

std::string route(const std::string& name, const std::string& prefix, const std::string& kind,
                  const std::string& target) {
  return R"({"name":")" + name + R"(","hostName":"h","pathPrefix":")" + prefix + R"(","lineKind":")" + kind +
         R"(","deadlineMs":1000,"targetMs":500,"tries":2,)" + target + "}";
}

// From edition 2 on, what is below /s/pay/ is not repeatable. One of two shards suffices for /h/, not for
// /g/.
std::string configuration(int edition) {
  std::string routes = route("s", "/s/", "safe", R"("depot":"p")") + "," +
                       route("g", "/g/", "safe", R"("gatherFrom":["a","b"],"topN":2,"minShare":0.75)") + "," +
                       route("h", "/h/", "safe", R"("gatherFrom":["a","b"],"topN":2,"minShare":0.5)");
  if (edition > 1) routes += "," + route("u", "/s/pay/", "unsafe", R"("depot":"p")");
  return R"({"edition":)" + std::to_string(edition) + R"(,"postalRoutes":[)" + routes +
         R"(],"depots":[{"name":"p"},{"name":"a"},{"name":"b"}]})";
}

protocol::StateSnapshot state(protocol::Position at, int edition) {
  protocol::StateSnapshot standing;
  standing.at = at;
  standing.edges = 1;
  standing.revision = static_cast<catalog::Revision>(edition);
  standing.configuration = configuration(edition);
  for (const char* service : {"p", "a", "b"})
    for (int number = 1; number <= 3; ++number) {
      std::string id = service + std::to_string(number);
      standing.nodes.push_back({{id, service, id + ":1", "z", "v", 3, false, 1, {}}, 0});
    }
  return standing;
}

// A transport that records the frames of one side.
struct RecordingTransport : transport::Transport {
  std::vector<std::string> sent;
  void set_targets(const std::vector<std::string>&) override {}
  bool send_to(const std::string&, std::string_view) override { return true; }
  bool send(transport::LinkId, std::string_view frame) override {
    sent.emplace_back(frame);
    return true;
  }
};

// Records the calls to index servers.
struct RecordingNodeClient : dispatch::NodeClient {
  std::vector<dispatch::CallId> calls;
  bool start(dispatch::CallId call, const dispatch::NodeState&, int, dispatch::NodeRequest, Time) override {
    calls.push_back(call);
    return true;
  }
  bool cancel(dispatch::CallId, bool) override { return false; }
};

struct TestedEdge {
  static constexpr dispatch::RetryBudgetRules retry_budget{0.2, 100, std::chrono::seconds(10)};
  RecordingTransport wire;
  RecordingNodeClient nodes;
  edge_gateway::EdgeGateway gateway;
  Time now{Duration(100)};

  static subscription::FollowerOptions options(Duration max_configuration_lag) {
    subscription::FollowerOptions options{5, "e", "z", {member_address}};
    options.max_configuration_lag = max_configuration_lag;
    return options;
  }

  explicit TestedEdge(Duration max_configuration_lag = from_ms(1200))
      : gateway(wire, options(max_configuration_lag), nodes, retry_budget) {
    gateway.start(now);
    gateway.link_up(member_link, member_address);
  }
  void receive(const protocol::Message& message) { receive_frame(protocol::pack(message)); }
  void receive_frame(const std::string& frame) { gateway.link_frame(now, member_link, frame); }
  void run(double ms) {
    for (double left = ms; left > 0; left -= 10) {
      now += from_ms(std::min(left, 10.0));
      gateway.advance(now);
    }
  }
  // Is handed a state by a member that does not lead, and uses it.
  void use_provisional(int edition) {
    receive(state({}, edition));
    run(200);
  }
  // Is sent the state of a leader that answers requests for renewal.
  void join_renewing_leader() {
    receive(protocol::Welcome{4, true, {member_address}, true});
    receive(state({4, 1}, 1));
  }
  // The number of the newest request for renewal; 0 if there is none.
  std::uint64_t requested_renewal() const {
    std::uint64_t number = 0;
    for (const std::string& frame : wire.sent) {
      const auto message = protocol::unpack(frame);
      const auto* ack = std::get_if<protocol::Ack>(&*message);
      if (ack && ack->renewal != 0) number = ack->renewal;
    }
    return number;
  }
  dispatch::RequestId submit(const std::string& path, dispatch::ClientResponse& response) {
    dispatch::ClientRequest request;
    request.method = "POST";
    request.target = path;
    request.host = "h";
    request.id = "id";
    request.head = "POST " + path + " HTTP/1.1\r\nRequest-Id: id\r\n";
    return gateway.submit(now, request, {}, response);
  }
  void submit(const std::string& path) {
    dispatch::ClientResponse response;
    CPPUNIT_ASSERT(submit(path, response));
  }
  // The status of a request that is answered at once.
  int refused(const std::string& path) {
    dispatch::ClientResponse response;
    CPPUNIT_ASSERT(!submit(path, response));
    CPPUNIT_ASSERT(response.not_executed);
    return response.status;
  }
  void end(std::size_t call, CallOutcome outcome, int status = 0) {
    dispatch::CallResult result;
    result.outcome = outcome;
    result.status = status;
    if (outcome == CallOutcome::answered) result.postmark = "stamp";
    gateway.dispatcher().call_ended(now, nodes.calls.at(call), result);
  }
  std::size_t calls() const { return nodes.calls.size(); }
  // The status of the single response since the last call.
  int status() {
    auto responses = gateway.take_responses(now);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, responses.size());
    return responses[0].second.status;
  }
  // Many answers after 10 ms, so that a slow call would be followed by a hedged one.
  void learn_durations() {
    for (int i = 0; i < 60; ++i) {
      submit("/s/x");
      run(10);
      end(calls() - 1, CallOutcome::answered, 200);
      CPPUNIT_ASSERT_EQUAL(200, status());
    }
  }
  // Whether a request that a node has broken off is sent to another one.
  bool repeats(const std::string& path) {
    std::size_t before = calls();
    submit(path);
    end(before, CallOutcome::broken);
    bool repeated = calls() > before + 1;
    if (repeated) end(before + 1, CallOutcome::answered, 200);
    CPPUNIT_ASSERT_EQUAL(repeated ? 200 : 502, status());
    return repeated;
  }
};

// The log holds both editions. The note of a member that led covers only the first one, since a leader does
// not write it.
raft::PersistentState disk_with_both_editions(int committed_edition) {
  raft::PersistentState stored;
  stored.self = raft::founder_id(member_address);
  stored.vote = {3, stored.self};
  stored.snapshot.index = founding_index;
  stored.snapshot.term = 1;
  for (const char* address : {member_address, "m2:1", "m3:1"})
    stored.snapshot.membership.voters.push_back({raft::founder_id(address), address});
  stored.snapshot.membership.target_size = 3;
  for (int edition : {1, 2}) {
    raft::Entry entry;
    entry.index = founding_index + static_cast<raft::Index>(edition);
    entry.term = 3;
    entry.kind = raft::EntryKind::change;
    entry.data = control_plane::ReplicatedState::encode_change(
        static_cast<catalog::Revision>(edition - 1), static_cast<catalog::Revision>(edition),
        control_plane::digest_of(configuration(edition)), configuration(edition));
    stored.entries.push_back(entry);
  }
  stored.commit = founding_index + static_cast<raft::Index>(committed_edition);
  protocol::StateSnapshot nodes = state({}, 0);
  nodes.configuration.clear();
  nodes.complete = false;
  stored.note = protocol::pack(nodes);
  return stored;
}

struct RestartedMember {
  simulation::World world{1};
  simulation::SimDisk disk{world};
  RecordingTransport wire;
  std::unique_ptr<control_plane::Member> member;
  explicit RestartedMember(int committed_edition) {
    disk.put_back(disk_with_both_editions(committed_edition));
    raft::Options raft;
    raft.address = member_address;
    control_plane::ControllerOptions controller;
    controller.incarnation = 7;
    member = std::make_unique<control_plane::Member>(wire, disk, raft, controller);
    CPPUNIT_ASSERT(!member->start(world.now()));
  }
  // What it answers a frame of an edge.
  std::vector<std::string> answers(const std::string& frame) {
    wire.sent.clear();
    member->link_frame(world.now(), member_link, frame);
    member->advance([this] { return world.now(); });
    return wire.sent;
  }
};

}  // namespace

class UnconfirmedConfigurationTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(UnconfirmedConfigurationTest);
  CPPUNIT_TEST(replacedConfigurationOfARestartedMemberRunsNothingTwice);
  CPPUNIT_TEST(provisionalConfigurationHedgesNothing);
  CPPUNIT_TEST(requestThatMayHaveRunIsNotRefused);
  CPPUNIT_TEST(refusedCallIsSentToAnotherNode);
  CPPUNIT_TEST(leaderConfirmsForLaterRequestsOnly);
  CPPUNIT_TEST(silentLeaderConfirmsNothing);
  CPPUNIT_TEST(updateFromBeforeAPauseConfirmsNothing);
  CPPUNIT_TEST(updateHeldUpOnItsWayConfirmsNothing);
  CPPUNIT_TEST(leaseCountsFromItsRequest);
  CPPUNIT_TEST(leaseIsNotRenewedForAnotherConfiguration);
  CPPUNIT_TEST(edgeThatWakesAsksTheLeaderAtOnce);
  CPPUNIT_TEST(aMajorityOfVotesRenewsTheLease);
  CPPUNIT_TEST(votesOfAnOlderMembershipAreTooFew);
  CPPUNIT_TEST(aMemberThatStoredANewerChangeDoesNotVote);
  CPPUNIT_TEST(allMembersAreAskedOnlyWhereTheLeaderIsLate);
  CPPUNIT_TEST(unreadableConfigurationIsNotConfirmed);
  CPPUNIT_TEST(outdatedConfigurationIsRefused);
  CPPUNIT_TEST(refusalCountsFromTheOldestMissingConfiguration);
  CPPUNIT_TEST(missingConfigurationIsRequestedFromAnyMember);
  CPPUNIT_TEST(edgeServesOnWhereNoMemberIsConnected);
  CPPUNIT_TEST(refusalCountsFromWhenTheConfigurationCameIntoForce);
  CPPUNIT_TEST(unreadableConfigurationIsRarelyRequested);
  CPPUNIT_TEST(membersOfTheOwnZoneAreAskedFirst);
  CPPUNIT_TEST(provisionalTextCountsBesideTheLeadersState);
  CPPUNIT_TEST(refusalComesWithinTheBoundOfTheDeployment);
  CPPUNIT_TEST(unknownPathIsNot404);
  CPPUNIT_TEST(gatheredRequestWaitsForALeader);
  CPPUNIT_TEST(edgeOutOfTouchGathersNothing);
  CPPUNIT_TEST(edgeThatWakesGathersNothing);
  CPPUNIT_TEST(oneShardServesWhereItSuffices);
  CPPUNIT_TEST(newerConfigurationOfALaterMemberIsUsed);
  CPPUNIT_TEST(edgesWithoutALeaderDoNotSpendTheSlackEach);
  CPPUNIT_TEST_SUITE_END();

 public:
  // After a kill of all processes, a member that had led came back first: the edge took its configuration,
  // replaced long before, for the one in force, and an unsafe request ran at two index servers.
  void replacedConfigurationOfARestartedMemberRunsNothingTwice() {
    RestartedMember restarted(1);
    CPPUNIT_ASSERT_EQUAL(catalog::Revision{1}, restarted.member->state().revision());
    TestedEdge edge;
    for (const std::string& frame : restarted.answers(edge.wire.sent.front())) edge.receive_frame(frame);
    edge.run(200);
    CPPUNIT_ASSERT(edge.gateway.ready());
    CPPUNIT_ASSERT_EQUAL(catalog::Revision{1}, edge.gateway.routed_revision());
    CPPUNIT_ASSERT(!edge.repeats("/s/pay/7"));
    edge.receive(state({4, 1}, 2));
    CPPUNIT_ASSERT_EQUAL(catalog::Revision{2}, edge.gateway.routed_revision());
    CPPUNIT_ASSERT(!edge.repeats("/s/pay/7"));
    edge.receive(protocol::LeaseRenewal{edge.requested_renewal(), 2});
    CPPUNIT_ASSERT(!edge.repeats("/s/pay/7"));
    CPPUNIT_ASSERT(edge.repeats("/s/7"));
  }

  // A second call beside a slow one ran an unsafe request twice.
  void provisionalConfigurationHedgesNothing() {
    TestedEdge edge;
    edge.use_provisional(1);
    edge.learn_durations();
    std::size_t before = edge.calls();
    edge.submit("/s/pay/7");
    edge.run(400);
    CPPUNIT_ASSERT_EQUAL(before + 1, edge.calls());
  }

  // A node's own 503 may follow a run: forwarded, it would promise that an unsafe request has not run.
  void requestThatMayHaveRunIsNotRefused() {
    TestedEdge edge;
    edge.use_provisional(1);
    edge.submit("/s/pay/7");
    edge.end(0, CallOutcome::answered, 503);
    CPPUNIT_ASSERT_EQUAL(502, edge.status());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, edge.calls());
  }

  // What did not run may still go to another node, so that edges serve while nobody leads.
  void refusedCallIsSentToAnotherNode() {
    TestedEdge edge;
    edge.use_provisional(1);
    edge.learn_durations();
    std::size_t before = edge.calls();
    edge.submit("/s/7");
    edge.end(before, CallOutcome::not_run);
    CPPUNIT_ASSERT_EQUAL(before + 2, edge.calls());
    edge.end(before + 1, CallOutcome::answered, 200);
    CPPUNIT_ASSERT_EQUAL(200, edge.status());
  }

  // The routes of a request are those of its arrival, so it is not repeated although a leader has confirmed
  // others meanwhile.
  void leaderConfirmsForLaterRequestsOnly() {
    TestedEdge edge;
    edge.use_provisional(1);
    edge.submit("/s/pay/7");
    edge.receive(state({4, 1}, 2));
    edge.end(0, CallOutcome::broken);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, edge.calls());
    CPPUNIT_ASSERT_EQUAL(502, edge.status());
    CPPUNIT_ASSERT(edge.repeats("/s/7"));
  }

  // An edge that is cut off from the leader does not learn that a route has become unsafe.
  void silentLeaderConfirmsNothing() {
    TestedEdge edge;
    edge.receive(state({4, 1}, 1));
    CPPUNIT_ASSERT(edge.repeats("/s/7"));
    edge.run(2400);
    CPPUNIT_ASSERT(edge.repeats("/s/7"));
    edge.run(200);
    CPPUNIT_ASSERT(!edge.repeats("/s/7"));
    edge.receive(protocol::Ping{{3, 9}, 1, 100});  // of a leader before it
    CPPUNIT_ASSERT(!edge.repeats("/s/7"));
    edge.receive(protocol::Ping{{4, 2}, 1, 100});  // an update is missing
    CPPUNIT_ASSERT(!edge.repeats("/s/7"));
    edge.receive(protocol::Ping{{4, 1}, 1, 100});
    CPPUNIT_ASSERT(edge.repeats("/s/7"));
  }

  // What a former leader had sent before the edge stood still was taken for new when the edge went on.
  void updateFromBeforeAPauseConfirmsNothing() {
    TestedEdge edge;
    edge.receive(state({4, 1}, 1));
    edge.now += std::chrono::seconds(10);
    edge.receive(protocol::Ping{{4, 1}, 1, 100});
    CPPUNIT_ASSERT(!edge.repeats("/s/7"));
    edge.run(10);
    edge.receive(protocol::Ping{{4, 1}, 1, 100});
    CPPUNIT_ASSERT(edge.repeats("/s/7"));
  }

  // TWICE: what the network had held up for seconds, or a leader that stood still before it wrote it,
  // confirmed a configuration that had been replaced meanwhile.
  void updateHeldUpOnItsWayConfirmsNothing() {
    TestedEdge edge;
    edge.join_renewing_leader();
    edge.run(4000);
    edge.receive(protocol::Ping{{4, 1}, 1, 100});  // sent in the first of these seconds
    CPPUNIT_ASSERT(!edge.repeats("/s/7"));
    CPPUNIT_ASSERT_EQUAL(503, edge.refused("/g/7"));
  }

  // TWICE: the leader's answer confirmed from its arrival on, although it had been held up for seconds.
  void leaseCountsFromItsRequest() {
    TestedEdge edge;
    edge.join_renewing_leader();
    CPPUNIT_ASSERT(!edge.repeats("/s/7"));
    const std::uint64_t number = edge.requested_renewal();
    CPPUNIT_ASSERT(number != 0);
    edge.run(2000);
    edge.receive(protocol::LeaseRenewal{number, 1});
    CPPUNIT_ASSERT(edge.repeats("/s/7"));
    edge.run(800);
    CPPUNIT_ASSERT(edge.repeats("/s/7"));
    edge.run(200);
    CPPUNIT_ASSERT(!edge.repeats("/s/7"));
    edge.receive(protocol::LeaseRenewal{number, 1});  // once more
    CPPUNIT_ASSERT(!edge.repeats("/s/7"));
  }

  // An answer that names another configuration than the edge's own, or that comes while a newer one is known,
  // confirmed the own one.
  void leaseIsNotRenewedForAnotherConfiguration() {
    TestedEdge edge(from_ms(10'000));
    edge.join_renewing_leader();
    edge.receive(protocol::LeaseRenewal{edge.requested_renewal(), 2});
    CPPUNIT_ASSERT(!edge.repeats("/s/7"));
    edge.run(200);
    edge.receive(protocol::ConfigurationNotice{2});
    edge.receive(protocol::LeaseRenewal{edge.requested_renewal(), 1});
    CPPUNIT_ASSERT(!edge.repeats("/s/7"));
  }

  // An edge that had been frozen refused searches until the leader's next ping.
  void edgeThatWakesAsksTheLeaderAtOnce() {
    TestedEdge edge;
    edge.join_renewing_leader();
    edge.receive(protocol::LeaseRenewal{edge.requested_renewal(), 1});
    edge.now += std::chrono::seconds(4);
    CPPUNIT_ASSERT_EQUAL(503, edge.refused("/g/7"));
    edge.wire.sent.clear();
    edge.gateway.advance(edge.now);
    edge.receive(protocol::LeaseRenewal{edge.requested_renewal(), 1});
    edge.submit("/g/7");
  }

  // With the disks of all members full nobody leads, and no change can be in force: searches were refused.
  void aMajorityOfVotesRenewsTheLease() {
    TestedEdge edge;
    edge.join_renewing_leader();
    const std::uint64_t number = edge.requested_renewal();
    edge.receive(protocol::LeaseVote{number, 1, 7, 1, {7, 8, 9}});
    edge.receive(protocol::LeaseVote{number, 1, 7, 1, {7, 8, 9}});  // the same member again
    edge.receive(protocol::LeaseVote{number, 2, 8, 1, {7, 8, 9}});  // of another configuration
    edge.receive(protocol::LeaseVote{number, 1, 6, 1, {7, 8, 9}});  // no voter
    CPPUNIT_ASSERT(!edge.repeats("/s/7"));
    edge.receive(protocol::LeaseVote{number, 1, 9, 1, {7, 8, 9}});
    CPPUNIT_ASSERT(edge.repeats("/s/7"));
    edge.run(3000);
    CPPUNIT_ASSERT(!edge.repeats("/s/7"));
  }

  // Two of the three first members do not know of a change that the members who have replaced them agreed on.
  void votesOfAnOlderMembershipAreTooFew() {
    TestedEdge edge;
    edge.join_renewing_leader();
    const std::uint64_t number = edge.requested_renewal();
    edge.receive(protocol::LeaseVote{number, 1, 8, 5, {8, 9, 10, 11}});
    edge.receive(protocol::LeaseVote{number, 1, 7, 1, {7, 8, 9}});
    edge.receive(protocol::LeaseVote{number, 1, 9, 1, {7, 8, 9}});
    CPPUNIT_ASSERT(!edge.repeats("/s/7"));
    edge.receive(protocol::LeaseVote{number, 1, 11, 5, {8, 9, 10, 11}});
    CPPUNIT_ASSERT(edge.repeats("/s/7"));
  }

  // After a kill of all members one of them holds a newer change that may be in force.
  void aMemberThatStoredANewerChangeDoesNotVote() {
    const std::string request = protocol::pack(protocol::Ack{5, {}, 1, 100, 0, 3});
    auto votes = [&request](RestartedMember& member) {
      std::vector<protocol::LeaseVote> given;
      for (const std::string& frame : member.answers(request)) {
        const auto message = protocol::unpack(frame);
        CPPUNIT_ASSERT(!std::holds_alternative<protocol::LeaseRenewal>(*message));
        if (const auto* vote = std::get_if<protocol::LeaseVote>(&*message)) given.push_back(*vote);
      }
      return given;
    };
    RestartedMember former_leader(1), former_follower(2);
    CPPUNIT_ASSERT(votes(former_leader).empty());
    const auto given = votes(former_follower);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, given.size());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{3}, given[0].number);
    CPPUNIT_ASSERT_EQUAL(catalog::Revision{2}, given[0].revision);
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, given[0].voters.size());
  }

  // Votes cost each member a message for each edge, so they are asked for only in need.
  void allMembersAreAskedOnlyWhereTheLeaderIsLate() {
    subscription::ConfigurationLease lease(from_ms(2900));
    Time now{Duration(100)};
    CPPUNIT_ASSERT(lease.needs_votes(now));
    lease.renew(lease.request(now));
    CPPUNIT_ASSERT(now + from_ms(2900) == lease.until());
    CPPUNIT_ASSERT(!lease.needs_votes(now + from_ms(1000)));
    CPPUNIT_ASSERT(lease.needs_votes(now + from_ms(2000)));
    now += from_ms(5000);
    lease.request(now);
    const Duration first_retry = lease.request_due() - now;
    now = lease.request_due();
    lease.request(now);
    CPPUNIT_ASSERT(lease.request_due() - now > first_retry);  // a member that is slow is not asked ever more
  }

  // An edge that cannot read a newer configuration knows that its own has been replaced.
  void unreadableConfigurationIsNotConfirmed() {
    TestedEdge edge(from_ms(10'000));  // so long that it still serves by its own
    edge.receive(state({4, 1}, 1));
    protocol::Change change;
    change.kind = protocol::ChangeKind::configuration;
    change.revision = 2;
    change.text = R"({"edition":2,"written by":"a newer program"})";
    edge.receive(protocol::Changes{{4, 1}, {change}});
    CPPUNIT_ASSERT_EQUAL(catalog::Revision{1}, edge.gateway.routed_revision());
    edge.run(2600);
    edge.receive(protocol::Ping{{4, 2}, 1, 100});
    CPPUNIT_ASSERT(!edge.repeats("/s/7"));
  }

  // CONFIG: an edge that knew of a newer configuration and had not received it served on by its own.
  void outdatedConfigurationIsRefused() {
    TestedEdge edge(from_ms(1000));
    edge.receive(state({4, 1}, 1));
    edge.receive(protocol::ConfigurationNotice{2});
    edge.run(900);
    edge.submit("/s/7");
    edge.run(200);
    CPPUNIT_ASSERT_EQUAL(503, edge.refused("/s/7"));
    CPPUNIT_ASSERT_EQUAL(503, edge.refused("/s/pay/7"));
    edge.receive(protocol::ConfigurationUpdate{0, 2, 0, configuration(2)});
    CPPUNIT_ASSERT_EQUAL(catalog::Revision{2}, edge.gateway.routed_revision());
    edge.submit("/s/7");
  }

  // A newer announcement while the edge lacks one does not put off the refusal.
  void refusalCountsFromTheOldestMissingConfiguration() {
    TestedEdge edge(from_ms(1000));
    edge.receive(state({4, 1}, 1));
    for (catalog::Revision revision = 2; revision < 8; ++revision) {
      edge.receive(protocol::ConfigurationNotice{revision});
      edge.run(180);
    }
    CPPUNIT_ASSERT_EQUAL(503, edge.refused("/s/7"));
  }

  // Announced by one member, the configuration is requested there, and from another one that has it too
  // where no answer comes; not at all where the leader's update arrives first.
  void missingConfigurationIsRequestedFromAnyMember() {
    constexpr transport::LinkId other_member = 2;
    TestedEdge edge;
    edge.gateway.link_up(other_member, "m2:1");
    edge.receive(state({4, 1}, 1));
    auto requests = [&] {
      std::size_t count = 0;
      for (const std::string& frame : edge.wire.sent)
        count += std::holds_alternative<protocol::ConfigurationRequest>(*protocol::unpack(frame));
      return count;
    };
    edge.receive(protocol::ConfigurationNotice{2});
    edge.receive(state({4, 2}, 2));
    edge.run(1000);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, requests());
    edge.receive(protocol::ConfigurationNotice{3});
    edge.gateway.link_frame(edge.now, other_member, protocol::pack(protocol::ConfigurationNotice{3}));
    edge.run(350);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, requests());
    edge.gateway.link_down(member_link);
    edge.run(700);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, requests());
  }

  // With the whole core gone in the moment of a change, edges refused for as long as it was.
  void edgeServesOnWhereNoMemberIsConnected() {
    TestedEdge edge(from_ms(1000));
    edge.receive(state({4, 1}, 1));
    edge.receive(protocol::ConfigurationNotice{2});
    edge.gateway.link_down(member_link);
    edge.run(60'000);
    edge.submit("/s/7");
    edge.gateway.link_up(member_link, member_address);
    edge.receive(protocol::ConfigurationNotice{2});
    CPPUNIT_ASSERT_EQUAL(503, edge.refused("/s/7"));
  }

  // The time that a notice was late is not given to the edge once more.
  void refusalCountsFromWhenTheConfigurationCameIntoForce() {
    TestedEdge edge(from_ms(1000));
    edge.receive(state({4, 1}, 1));
    edge.run(3000);
    edge.receive(protocol::ConfigurationNotice{2, 900});
    edge.submit("/s/7");
    edge.run(150);
    CPPUNIT_ASSERT_EQUAL(503, edge.refused("/s/7"));
  }

  // Each edge of an older program asked for a text that it cannot read without a pause.
  void unreadableConfigurationIsRarelyRequested() {
    TestedEdge edge;
    edge.receive(state({4, 1}, 1));
    std::size_t requests = 0;
    for (int second = 0; second < 60; ++second) {
      edge.receive(protocol::ConfigurationNotice{2});
      edge.run(1000);
      for (const std::string& frame : std::exchange(edge.wire.sent, {}))
        if (std::holds_alternative<protocol::ConfigurationRequest>(*protocol::unpack(frame))) {
          ++requests;
          edge.receive(protocol::ConfigurationUpdate{0, 2, 0, R"({"edition":2,"written by":"another"})"});
        }
    }
    CPPUNIT_ASSERT(requests >= 2 && requests <= 7);
    CPPUNIT_ASSERT_EQUAL(503, edge.refused("/s/7"));
  }

  // A member in the edge's zone that announces later than the leader is asked all the same.
  void membersOfTheOwnZoneAreAskedFirst() {
    subscription::ConfigurationWatch watch(from_ms(1000), 7);
    const Time now{Duration(100)};
    watch.on_announced(now, {1, false}, 5);
    watch.on_announced(now + from_ms(250), {2, true}, 5);
    CPPUNIT_ASSERT_EQUAL(transport::LinkId{2}, watch.take_request(now + from_ms(450)).value());
    CPPUNIT_ASSERT_EQUAL(transport::LinkId{1}, watch.take_request(now + from_ms(1200)).value());
    CPPUNIT_ASSERT(!watch.take_request(now + from_ms(2500)));  // longer with each
    // Nobody nearby: edges do not all ask the same one.
    std::set<transport::LinkId> asked;
    for (std::uint64_t seed = 0; seed < 12; ++seed) {
      subscription::ConfigurationWatch other(from_ms(1000), seed);
      for (transport::LinkId link = 1; link <= 3; ++link) other.on_announced(now, {link, false}, 5);
      asked.insert(other.take_request(now + from_ms(300)).value());
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, asked.size());
  }

  // The leader's state came without the text, and those that other members had sent were dropped.
  void provisionalTextCountsBesideTheLeadersState() {
    TestedEdge edge;
    edge.receive(state({}, 2));
    protocol::StateSnapshot leaders = state({4, 1}, 2);
    leaders.configuration.clear();
    edge.receive(leaders);
    edge.run(130);
    CPPUNIT_ASSERT_EQUAL(catalog::Revision{2}, edge.gateway.routed_revision());
    edge.receive(state({}, 3));
    CPPUNIT_ASSERT_EQUAL(catalog::Revision{3}, edge.gateway.routed_revision());
    edge.receive(state({}, 1));
    CPPUNIT_ASSERT_EQUAL(catalog::Revision{3}, edge.gateway.routed_revision());
  }

  // Members tell of a change 80 ms after it stands, and requests take a while: each deployment's bound leaves
  // room for both.
  void refusalComesWithinTheBoundOfTheDeployment() {
    for (const Duration bound : {from_ms(3000), from_ms(5000)}) {
      subscription::FollowerOptions options;
      options.set_configuration_bound(bound);
      CPPUNIT_ASSERT(options.max_configuration_lag + from_ms(1000) < bound);
      CPPUNIT_ASSERT(options.max_configuration_lag > from_ms(1500));  // contacts are a second apart
      CPPUNIT_ASSERT(options.confirmation_lifetime < bound);
      CPPUNIT_ASSERT(options.lease_lifetime < bound);
    }
  }

  // A path that an older configuration lacks got a final 404, although it was configured since.
  void unknownPathIsNot404() {
    TestedEdge edge;
    edge.use_provisional(1);
    CPPUNIT_ASSERT_EQUAL(503, edge.refused("/new/7"));
    edge.receive(state({4, 1}, 1));
    CPPUNIT_ASSERT_EQUAL(404, edge.refused("/new/7"));
  }

  // A gathered request runs at every shard, whatever its route has become since.
  void gatheredRequestWaitsForALeader() {
    TestedEdge edge;
    edge.use_provisional(1);
    CPPUNIT_ASSERT_EQUAL(503, edge.refused("/g/7"));
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, edge.calls());
    edge.receive(state({4, 1}, 1));
    edge.submit("/g/7");
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, edge.calls());
  }

  // TWICE: an edge that a leader had confirmed once, and that was cut off from it since, sent what had become
  // unsafe to every shard.
  void edgeOutOfTouchGathersNothing() {
    TestedEdge edge;
    edge.receive(state({4, 1}, 1));
    edge.run(2600);
    CPPUNIT_ASSERT_EQUAL(503, edge.refused("/g/7"));
    edge.gateway.link_down(member_link);
    edge.run(60'000);
    CPPUNIT_ASSERT_EQUAL(503, edge.refused("/g/7"));
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, edge.calls());
    edge.gateway.link_up(member_link, member_address);
    edge.receive(state({5, 1}, 1));
    edge.submit("/g/7");
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, edge.calls());
  }

  // TWICE: an edge that had been frozen handled its clients' requests before the news on its links, and sent
  // what had become unsafe to every shard (review/4).
  void edgeThatWakesGathersNothing() {
    TestedEdge edge;
    edge.receive(state({4, 1}, 1));
    edge.now += std::chrono::seconds(4);
    CPPUNIT_ASSERT_EQUAL(503, edge.refused("/g/7"));
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, edge.calls());
  }

  // An edge out of touch refused also what it may serve: at one service, and there once.
  void oneShardServesWhereItSuffices() {
    TestedEdge edge;
    edge.receive(state({4, 1}, 1));
    edge.run(2600);
    edge.submit("/h/7");
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, edge.calls());
    edge.end(0, CallOutcome::answered, 200);
    CPPUNIT_ASSERT_EQUAL(200, edge.status());
    edge.submit("/h/7");
    edge.end(1, CallOutcome::broken);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, edge.calls());
  }

  // An edge that had been handed a configuration took no newer one from the members that came back later.
  void newerConfigurationOfALaterMemberIsUsed() {
    RestartedMember former_leader(1), former_follower(2);
    TestedEdge edge;
    auto ask = [&edge](RestartedMember& member) {
      edge.wire.sent.clear();
      edge.gateway.link_up(member_link, member_address);
      for (const std::string& frame : member.answers(edge.wire.sent.front())) edge.receive_frame(frame);
      edge.run(200);
      return edge.gateway.routed_revision();
    };
    CPPUNIT_ASSERT_EQUAL(catalog::Revision{1}, ask(former_leader));
    CPPUNIT_ASSERT_EQUAL(catalog::Revision{2}, ask(former_follower));
    CPPUNIT_ASSERT_EQUAL(catalog::Revision{2}, ask(former_leader));
    CPPUNIT_ASSERT(!edge.repeats("/s/7"));
  }

  // Each edge took itself for the only one until a leader had told their number, so together they sent a
  // service more retries than the budget allows.
  void edgesWithoutALeaderDoNotSpendTheSlackEach() {
    constexpr int edges = 8, requests = 100;
    std::size_t calls = 0;
    for (int number = 0; number < edges; ++number) {
      TestedEdge edge;
      edge.use_provisional(1);
      for (int i = 0; i < requests; ++i) {
        edge.submit("/s/7");
        for (std::size_t call = edge.calls() - 1; call < edge.calls(); ++call)
          edge.end(call, CallOutcome::not_run);
        CPPUNIT_ASSERT_EQUAL(503, edge.status());
      }
      calls += edge.calls();
    }
    const double extra_calls = static_cast<double>(calls) - edges * requests;
    CPPUNIT_ASSERT(extra_calls > 0);
    CPPUNIT_ASSERT(extra_calls <=
                   TestedEdge::retry_budget.ratio * edges * requests + TestedEdge::retry_budget.slack);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(UnconfirmedConfigurationTest);

}  // namespace pearspar
