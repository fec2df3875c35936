// The replicated state and the calls that change it: the history of changes, mixed program versions on one
// log, and calls forwarded between three members with lost, late and duplicated answers.
#include <cppunit/extensions/HelperMacros.h>

#include <functional>
#include <memory>
#include <random>

#include "control_plane/member.h"
#include "protocol/pack.h"
#include "protocol/quota_codec.h"
#include "simulation/disk.h"

namespace pearspar::control_plane {
namespace {

using namespace std::chrono_literals;

std::string config(catalog::Revision revision, const std::string& note = "a") {
  return R"({"edition":)" + std::to_string(revision) + R"(,"note":")" + note +
         R"(","postalRoutes":[{"name":"r","hostName":"h","pathPrefix":"/","lineKind":"safe","deadlineMs":9,)"
         R"("depot":"d","allowanceKind":"pull"}],"depots":[{"name":"d"}],)"
         R"("allowances":{"holderHeader":"For","accounts":[{"firm":"f","kind":"pull","limit":)" +
         std::to_string(revision) + "0}]}}";
}

// Without routes, for tests with thousands of changes.
std::string small_config(catalog::Revision revision, const std::string& note = "a") {
  return R"({"edition":)" + std::to_string(revision) + R"(,"note":")" + note +
         R"(","postalRoutes":[],"depots":[]})";
}

// The parser of an older program: it rejects configurations that are marked as new.
catalog::ConfigurationPtr older(std::string_view text, catalog::Fault& fault) {
  if (text.find("new") == text.npos) return catalog::parse_configuration(text, fault);
  fault = {"note", "is not known"};
  return nullptr;
}

raft::Entry entry(std::string data) {
  raft::Entry made;
  made.kind = raft::EntryKind::change;
  made.data = std::move(data);
  return made;
}
raft::Entry change(catalog::Revision base, catalog::Revision revision, const std::string& text) {
  return entry(ReplicatedState::encode_change(base, revision, digest_of(text), text));
}
raft::Entry steps(std::uint64_t number, std::uint64_t wanted, quota::Window turn = 0) {
  std::vector<protocol::QuotaCommand> made;
  if (turn > 0) made.push_back(protocol::AdvanceWindow{turn});
  quota::QuotaRequest ask;
  ask.session = 9;
  ask.number = number;
  ask.window = 1;
  ask.wants.push_back({{"f", "pull"}, wanted});
  made.push_back(ask);
  return entry(ReplicatedState::encode_quota_commands(protocol::pack_quota_commands(made)));
}

std::string bytes_of(std::string_view hex) {
  std::string bytes;
  for (std::size_t i = 0; i + 1 < hex.size(); i += 2)
    bytes += static_cast<char>(std::stoi(std::string(hex.substr(i, 2)), nullptr, 16));
  return bytes;
}

// Written by an older program, whose entries do not carry the digest: a snapshot with revisions 3 and 7 and
// five quota tokens drawn, and the entry of revision 3.
constexpr std::string_view older_snapshot =
    "93c4fe7b2265646974696f6e223a372c22706f7374616c526f75746573223a5b7b226e616d65223a2272222c22686f73"
    "744e616d65223a2268222c2270617468507265666978223a222f222c226c696e654b696e64223a2273616665222c2264"
    "6561646c696e654d73223a392c226465706f74223a2264222c22616c6c6f77616e63654b696e64223a2270756c6c227d"
    "5d2c226465706f7473223a5b7b226e616d65223a2264227d5d2c22616c6c6f77616e636573223a7b22686f6c64657248"
    "6561646572223a22466f72222c226163636f756e7473223a5b7b226669726d223a2266222c226b696e64223a2270756c"
    "6c222c226c696d6974223a35307d5d7d7d929303cf2c8a71c17fd8955ecff8896b44cc36332f9307cfb58e345fcec3a9"
    "80cfe6feefd1e8b0091a929193019199c40166c40470756c6c050000000000009091960901c2019194c40166c4047075"
    "6c6c05c29195c40166c40470756c6c010500";
constexpr std::string_view older_entry =
    "9200c4fe7b2265646974696f6e223a332c22706f7374616c526f75746573223a5b7b226e616d65223a2272222c22686f"
    "73744e616d65223a2268222c2270617468507265666978223a222f222c226c696e654b696e64223a2273616665222c22"
    "646561646c696e654d73223a392c226465706f74223a2264222c22616c6c6f77616e63654b696e64223a2270756c6c22"
    "7d5d2c226465706f7473223a5b7b226e616d65223a2264227d5d2c22616c6c6f77616e636573223a7b22686f6c646572"
    "486561646572223a22466f72222c226163636f756e7473223a5b7b226669726d223a2266222c226b696e64223a227075"
    "6c6c222c226c696d6974223a35307d5d7d7d";

// Three members in one process. Tests can inspect, drop or delay any message between them.
class ThreeMembers {
 public:
  explicit ThreeMembers(std::uint64_t seed = 1) : world(seed) {
    for (int i = 0; i < 3; ++i) start(i, true);
  }
  ~ThreeMembers() {
    for (auto& slot : slots_) slot.member.reset();
  }

  simulation::World world;
  std::function<bool(int from, int to, const protocol::Message&)>
      passes;  // unset: all messages are delivered
  std::function<ReplicatedState::ConfigurationParser(int)> reader;
  struct Answer {
    int status = 0;
    double after = 0;
    int count = 0;
    std::string body;
  };
  std::map<CallerId, Answer> answers;

  void start(int i, bool first = false) {
    Slot& slot = slots_[static_cast<std::size_t>(i)];
    slot.wire.cluster = this;
    slot.wire.self = i;
    raft::Options options;
    options.address = address(i);
    options.founders = options.seeds = {address(0), address(1), address(2)};
    options.first_start = first;
    options.fresh_id = options.seed = world.number() | 1;
    ControllerOptions controller;
    controller.inner_address = options.address;
    controller.incarnation = options.seed;
    if (reader) controller.parse_configuration = reader(i);
    slot.member = std::make_unique<Member>(slot.wire, slot.disk, options, controller);
    CPPUNIT_ASSERT(!slot.member->start(world.now()));
    for (int other = 0; other < 3; ++other)
      if (other != i && up(other)) {
        member(other).link_down(link(i));
        member(other).link_up(world.now(), link(i), address(i));
        member(i).link_up(world.now(), link(other), address(other));
      }
  }
  // Replaces the link that `from` opened; messages in flight on it are lost.
  void renew_link(int from, int to) {
    member(from).link_down(link(to));
    member(from).link_up(world.now(), link(to), address(to));
  }
  void kill(int i) { slots_[static_cast<std::size_t>(i)].member.reset(); }
  void wipe(int i) { slots_[static_cast<std::size_t>(i)].disk.wipe(); }
  void freeze(int i, double seconds) {
    slots_[static_cast<std::size_t>(i)].frozen = world.now() + Duration(seconds);
  }
  bool up(int i) const { return slots_[static_cast<std::size_t>(i)].member != nullptr; }
  Member& member(int i) { return *slots_[static_cast<std::size_t>(i)].member; }
  int leader() {
    for (int i = 0; i < 3; ++i)
      if (up(i) && member(i).core().holds_lease(world.now()) && member(i).controller().is_active()) return i;
    return -1;
  }
  int wait_for_leader() {
    for (int i = 0; i < 2000 && leader() < 0; ++i) run(0.01);
    CPPUNIT_ASSERT(leader() >= 0);
    return leader();
  }
  int follower() { return (wait_for_leader() + 1) % 3; }

  void advance(int i) {
    Slot& slot = slots_[static_cast<std::size_t>(i)];
    if (!slot.member || world.now() < slot.frozen) return;
    for (Reply& reply : slot.member->advance([this] { return world.now(); })) {
      Answer& answer = answers[reply.caller];
      answer.status = reply.status;
      answer.body = reply.body;
      answer.after = (world.now() - asked_[reply.caller]).count();
      ++answer.count;
    }
  }
  void run(double seconds, double step = 0.005) {
    for (Time end = world.now() + Duration(seconds); world.now() < end;) {
      world.run_until(world.now() + Duration(step));
      for (int i = 0; i < 3; ++i) advance(i);
    }
  }
  CallerId call(int i, const std::string& method, const std::string& path, const std::string& match = "",
                const std::string& body = "") {
    asked_[++next_] = world.now();
    if (up(i)) member(i).call(world.now(), next_, method, path, match, body);
    advance(i);
    return next_;
  }
  CallerId change_configuration(int i, catalog::Revision base, const std::string& text) {
    return call(i, "PUT", "/pearspar/config", std::to_string(base), text);
  }
  int status(CallerId caller) { return answers.count(caller) ? answers[caller].status : 0; }
  int wait(CallerId caller) {
    for (int i = 0; i < 400 && status(caller) == 0; ++i) run(0.005);
    return status(caller);
  }
  // Repeats the change until it gets a definite answer.
  int apply_until_definite(catalog::Revision base, const std::string& text) {
    for (int tries = 0; tries < 100; ++tries) {
      int got = wait(change_configuration(static_cast<int>(world.below(3)), base, text));
      if (got > 0 && got < 500) return got;
    }
    return 0;
  }
  void deliver(int from, int to, const std::string& frame) {
    world.in(Duration(0.001), [this, from, to, frame] { arrive(from, to, frame); });
  }

 private:
  // A frozen member receives everything that has arrived meanwhile before it goes on.
  void arrive(int from, int to, const std::string& frame) {
    Slot& slot = slots_[static_cast<std::size_t>(to)];
    if (!slot.member) return;
    if (world.now() < slot.frozen) return world.at(slot.frozen, [=, this] { arrive(from, to, frame); });
    slot.member->link_frame(world.now(), link(from), frame);
    advance(to);
  }
  static std::string address(int i) { return std::string(1, static_cast<char>('a' + i)) + ":1"; }
  static LinkId link(int i) { return static_cast<LinkId>(i + 1); }
  struct Wire : transport::Transport {
    ThreeMembers* cluster = nullptr;
    int self = 0;
    void set_targets(const std::vector<std::string>&) override {}
    bool send_to(const std::string& to, std::string_view frame) override {
      return send(link(to[0] - 'a'), frame);
    }
    bool send(LinkId to, std::string_view frame) override {
      int other = static_cast<int>(to) - 1;
      auto message = protocol::unpack(frame);
      if (!cluster->passes || cluster->passes(self, other, *message))
        cluster->deliver(self, other, std::string(frame));
      return true;
    }
  };
  struct Slot {
    explicit Slot(simulation::World& world) : disk(world) {}
    simulation::SimDisk disk;
    Wire wire;
    std::unique_ptr<Member> member;
    Time frozen{};
  };
  Slot slots_[3] = {Slot(world), Slot(world), Slot(world)};
  CallerId next_ = 0;
  std::map<CallerId, Time> asked_;
};

}  // namespace

class ReplicatedStateTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ReplicatedStateTest);
  CPPUNIT_TEST(historyKeepsTwentyThousandChanges);
  CPPUNIT_TEST(olderSnapshotAndEntryAreReadable);
  CPPUNIT_TEST(snapshotIsReadableByOlderProgram);
  CPPUNIT_TEST(mixedProgramVersionsReachTheSameState);
  CPPUNIT_TEST(unappliedEntriesAreBounded);
  CPPUNIT_TEST(memberThatCannotReadConfigurationDoesNotLead);
  CPPUNIT_TEST(callLimiterBoundsCountAndBytes);
  CPPUNIT_TEST(answerCompletesOnlyItsOwnCall);
  CPPUNIT_TEST(answerToEarlierIncarnationIsIgnored);
  CPPUNIT_TEST(everyCallIsAnsweredOnceWithinASecond);
  CPPUNIT_TEST(expiredCallsAreNotExecuted);
  CPPUNIT_TEST(changeOnFutureBaseWaits);
  CPPUNIT_TEST(undeliveredCallIsForwardedToTheNextLeader);
  CPPUNIT_TEST(eightConcurrentChangesAreAllApplied);
  CPPUNIT_TEST(partitionedLeaderServesNoStaleReads);
  CPPUNIT_TEST(newLeaderServesOnlyAfterItsFirstCommit);
  CPPUNIT_TEST(changeIsAcknowledgedAfterTenThousandOthers);
  CPPUNIT_TEST(oneOfTwoChangesWithTheSameNumberWins);
  CPPUNIT_TEST(callLostWithItsLinkIsResent);
  CPPUNIT_TEST_SUITE_END();

 public:
  void historyKeepsTwentyThousandChanges() {
    ReplicatedState state;
    constexpr catalog::Revision changes = 23000;
    std::string text;
    for (catalog::Revision e = 1; e <= changes; ++e) {
      text = small_config(3 * e);
      state.apply(change(3 * (e - 1), 3 * e, text));
    }
    ReplicatedState other;
    other.restore(state.take_snapshot());
    CPPUNIT_ASSERT_EQUAL(state.take_snapshot(), other.take_snapshot());
    // 20,000 entries of 24 bytes, and the text.
    CPPUNIT_ASSERT(state.take_snapshot().size() < 500'000);
    for (const ReplicatedState* each : {&state, &other}) {
      CPPUNIT_ASSERT_EQUAL(3 * changes, each->revision());
      CPPUNIT_ASSERT_EQUAL(ChangeHistory::max_entries, each->history().size());
      auto status = [&](catalog::Revision revision, const std::string& sent) {
        return each->history().status(revision, digest_of(sent));
      };
      for (catalog::Revision back : {0u, 1u, 511u, 512u, 10'000u, 16'100u, 19'999u}) {
        catalog::Revision revision = 3 * (changes - back);
        CPPUNIT_ASSERT(status(revision, small_config(revision)) == ChangeHistory::Status::applied);
        CPPUNIT_ASSERT(status(revision, small_config(revision, "b")) == ChangeHistory::Status::superseded);
        if (back < 19'999)
          CPPUNIT_ASSERT(status(revision - 1, small_config(revision - 1)) ==
                         ChangeHistory::Status::superseded);
      }
      CPPUNIT_ASSERT(status(3 * changes + 1, text) == ChangeHistory::Status::undecided);
      // Dropped from the history, so it must not count as superseded.
      CPPUNIT_ASSERT(status(3 * (changes - 20'000), small_config(3 * (changes - 20'000))) ==
                     ChangeHistory::Status::forgotten);
    }
  }

  void olderSnapshotAndEntryAreReadable() {
    ReplicatedState state;
    state.restore(bytes_of(older_snapshot));
    CPPUNIT_ASSERT_EQUAL(catalog::Revision{7}, state.revision());
    CPPUNIT_ASSERT(state.may_serve() && state.configuration());
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, state.history().size());
    CPPUNIT_ASSERT(state.has_applied(7, digest_of(state.text())));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{5}, state.quota_ledger().count({"f", "pull"}).out);
    CPPUNIT_ASSERT(state.take_snapshot() == bytes_of(older_snapshot));
    ReplicatedState folded;
    folded.apply(entry(bytes_of(older_entry)));
    CPPUNIT_ASSERT_EQUAL(catalog::Revision{3}, folded.revision());
    CPPUNIT_ASSERT(state.has_applied(3, digest_of(folded.text())));
    // With 512 entries it may have dropped others.
    protocol::Packer packer;
    packer.array(2);
    packer.text(config(600));
    packer.array(512);
    for (std::uint64_t e = 89; e <= 600; ++e) {
      packer.array(3);
      packer.number(e);
      packer.number(e);
      packer.number(e);
    }
    state.restore(std::string(packer.view()));
    CPPUNIT_ASSERT(state.history().status(88, {88, 88}) == ChangeHistory::Status::forgotten);
    CPPUNIT_ASSERT(state.history().status(90, {90, 90}) == ChangeHistory::Status::applied);
  }

  // Older programs read an entry's base and text, and a snapshot's text, up to 512 revisions and the
  // accounts.
  void snapshotIsReadableByOlderProgram() {
    const std::string written = change(4, 9, "text").data;
    protocol::Unpacker made(written);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{4}, made.number());
    CPPUNIT_ASSERT_EQUAL(std::string("text"), made.text());
    CPPUNIT_ASSERT(made.good());
    ReplicatedState state;
    for (catalog::Revision e = 1; e <= 600; ++e) state.apply(change(e - 1, e, config(e)));
    for (quota::Window window : {0, 1}) {
      if (window > 0) state.apply(steps(1, 5, window));
      std::string folded = state.take_snapshot();
      protocol::Unpacker in(folded);
      CPPUNIT_ASSERT_EQUAL(config(600), in.text());
      CPPUNIT_ASSERT_EQUAL(std::size_t{512}, in.enter(512));
      for (catalog::Revision e = 89; e <= 600; ++e) {
        in.enter(16);
        CPPUNIT_ASSERT_EQUAL(e, in.number());
        CPPUNIT_ASSERT(digest_of(config(e)) == (Digest{in.number(), in.number()}));
        in.leave();
      }
      in.leave();
      quota::QuotaLedger accounts;
      CPPUNIT_ASSERT(in.more() && accounts.restore(in));
      CPPUNIT_ASSERT_EQUAL(window > 0 ? 5 : 0, static_cast<int>(accounts.count({"f", "pull"}).out));
    }
  }

  void mixedProgramVersionsReachTheSameState() {
    const std::vector<raft::Entry> log = {change(0, 1, config(1)),
                                          steps(1, 4, 1),
                                          change(1, 2, config(2, "new")),
                                          change(2, 3, config(3)),
                                          steps(2, 4),
                                          change(3, 4, config(4, "new")),
                                          change(3, 9, config(9, "x")),
                                          steps(3, 30),
                                          change(4, 5, config(5)),
                                          steps(4, 9)};
    ReplicatedState newer, behind(older);
    for (std::size_t i = 0; i < log.size(); ++i) {
      newer.apply(log[i]);
      behind.apply(log[i]);
      CPPUNIT_ASSERT_EQUAL(newer.revision(), behind.revision());
      CPPUNIT_ASSERT_EQUAL(newer.text(), behind.text());
      CPPUNIT_ASSERT(newer.may_serve());
      // No quota commands follow revision 2; those after revision 4 cannot be applied by the older program.
      CPPUNIT_ASSERT_EQUAL_MESSAGE(std::to_string(i), i != 2 && i < 5, behind.may_serve());
      if (behind.may_serve()) CPPUNIT_ASSERT_EQUAL(newer.take_snapshot(), behind.take_snapshot());
      // From a snapshot the older program goes on in the same way, and a newer one has the whole state.
      ReplicatedState restored(older), upgraded;
      restored.restore(behind.take_snapshot());
      CPPUNIT_ASSERT_EQUAL(behind.take_snapshot(), restored.take_snapshot());
      CPPUNIT_ASSERT_EQUAL(behind.may_serve(), restored.may_serve());
      upgraded.restore(behind.take_snapshot());
      CPPUNIT_ASSERT_EQUAL(newer.take_snapshot(), upgraded.take_snapshot());
      CPPUNIT_ASSERT(upgraded.may_serve());
      behind = std::move(restored);
    }
  }

  void unappliedEntriesAreBounded() {
    ReplicatedState newer, behind(older);
    auto apply = [&](const raft::Entry& each) {
      newer.apply(each);
      behind.apply(each);
    };
    apply(change(0, 1, config(1, "new")));
    apply(steps(1, 2, 1));
    for (std::uint64_t i = 2; i < 66'000; ++i) apply(steps(i, 1));
    apply(change(1, 2, config(2)));
    CPPUNIT_ASSERT(behind.take_snapshot().size() < 100'000);
    // Entries were dropped, and the snapshot says so.
    ReplicatedState upgraded;
    upgraded.restore(behind.take_snapshot());
    CPPUNIT_ASSERT(!behind.may_serve() && !upgraded.may_serve());
    CPPUNIT_ASSERT_EQUAL(newer.text(), upgraded.text());
    behind.restore(newer.take_snapshot());
    CPPUNIT_ASSERT(behind.may_serve());
    CPPUNIT_ASSERT_EQUAL(newer.take_snapshot(), behind.take_snapshot());
  }

  // One of three members runs an older program; it must not lead once a newer configuration is applied.
  void memberThatCannotReadConfigurationDoesNotLead() {
    ThreeMembers cluster;
    cluster.wait_for_leader();
    // Kills the leader, and restarts it once another member leads.
    auto depose = [&](auto meanwhile) {
      int leader = cluster.wait_for_leader();
      cluster.kill(leader);
      for (int i = 0; i < 300; ++i) {
        cluster.run(0.005);
        meanwhile(leader);
      }
      cluster.start(leader);
      cluster.run(0.3);
    };
    auto nothing = [](int) {};
    cluster.kill(0);
    cluster.reader = [](int i) { return i == 0 ? older : catalog::parse_configuration; };
    cluster.start(0);
    cluster.run(1);
    for (int tries = 0; tries < 20 && cluster.leader() != 0; ++tries) {
      depose(nothing);
    }
    CPPUNIT_ASSERT_EQUAL(0, cluster.leader());
    CPPUNIT_ASSERT_EQUAL(200, cluster.wait(cluster.change_configuration(0, 0, config(1))));
    CPPUNIT_ASSERT_EQUAL(400, cluster.wait(cluster.change_configuration(1, 1, config(2, "new"))));
    depose(nothing);
    CPPUNIT_ASSERT(cluster.leader() > 0);
    CPPUNIT_ASSERT_EQUAL(200, cluster.wait(cluster.change_configuration(0, 1, config(2, "new"))));
    cluster.run(0.5);
    CPPUNIT_ASSERT_EQUAL(catalog::Revision{2}, cluster.member(0).state().revision());
    CPPUNIT_ASSERT(!cluster.member(0).state().may_serve());
    for (int round = 0; round < 8; ++round) {
      depose([&](int leader) { CPPUNIT_ASSERT(leader != 0 && !cluster.member(0).controller().is_active()); });
      CallerId read = cluster.call(0, "GET", "/pearspar/config");
      int status = cluster.wait(read);
      CPPUNIT_ASSERT(status == 200 ? cluster.answers[read].body == config(2, "new") : status == 503);
      // An applied change is acknowledged by any member, also one that cannot parse it.
      CPPUNIT_ASSERT_EQUAL(200, cluster.apply_until_definite(1, config(2, "new")));
    }
    cluster.kill(0);
    cluster.start(0);
    CPPUNIT_ASSERT_EQUAL(catalog::Revision{2}, cluster.member(0).state().revision());
    CPPUNIT_ASSERT_EQUAL(200, cluster.apply_until_definite(2, config(3)));
    cluster.run(0.5);
    CPPUNIT_ASSERT(cluster.member(0).state().may_serve());
    // It may lead again, and still acknowledges the applied change that it cannot parse.
    for (int tries = 0; tries < 20 && cluster.leader() != 0; ++tries) {
      depose(nothing);
    }
    CPPUNIT_ASSERT_EQUAL(0, cluster.leader());
    CPPUNIT_ASSERT_EQUAL(200, cluster.wait(cluster.change_configuration(0, 1, config(2, "new"))));
    CPPUNIT_ASSERT_EQUAL(400,
                         cluster.wait(cluster.change_configuration(0, 1, config(2, "new and not taken"))));
  }

  void callLimiterBoundsCountAndBytes() {
    CallLimiter limiter(3, 1000);
    {
      std::vector<CallLimiter::Reservation> held;
      for (std::size_t bytes : {400u, 500u}) held.push_back(std::move(*limiter.reserve(bytes)));
      CPPUNIT_ASSERT(!limiter.reserve(101));
      held.push_back(std::move(*limiter.reserve(100)));
      CPPUNIT_ASSERT(!limiter.reserve(0));
      CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, limiter.refused());
      held[0].shrink(390);
      held.erase(held.begin() + 1);
      CPPUNIT_ASSERT_EQUAL(std::size_t{110}, limiter.bytes());
      held[0] = std::move(held[1]);
      CPPUNIT_ASSERT_EQUAL(std::size_t{100}, limiter.bytes());
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, limiter.calls() + limiter.bytes());
    // At a member without a leader: 32 MB in all.
    ThreeMembers cluster;
    std::string large(1 << 20, 'x');
    std::vector<CallerId> callers;
    for (int i = 0; i < 40; ++i) callers.push_back(cluster.change_configuration(0, 0, large));
    CPPUNIT_ASSERT(cluster.member(0).controller().call_limiter().bytes() <= std::size_t{32} << 20);
    CPPUNIT_ASSERT(std::count_if(callers.begin(), callers.end(),
                                 [&](CallerId caller) { return cluster.status(caller) == 503; }) >= 8);
    for (CallerId caller : callers) CPPUNIT_ASSERT(cluster.wait(caller) != 0);
    cluster.run(2);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, cluster.member(0).controller().call_limiter().bytes());
  }

  void answerCompletesOnlyItsOwnCall() {
    auto request = [](CallerId caller) {
      Request made;
      made.caller = caller;
      return made;
    };
    ForwardedCalls calls(0x1234567890), again(0x9876543210);
    std::uint64_t first = calls.add(request(1), "a"), second = calls.add(request(2), "a");
    std::uint64_t moved = calls.all().begin()->second.number;
    CPPUNIT_ASSERT(calls.retry(calls.all().begin()->second, "b"));
    moved = calls.all().begin()->second.number;
    CPPUNIT_ASSERT(moved != first && moved != second);
    again.add(request(9), "a");
    // number, definite, caller of the completed call (0: none)
    const std::tuple<ForwardedCalls*, std::uint64_t, bool, CallerId> cases[] = {
        {&again, first, true, 0},      // of an earlier incarnation
        {&calls, first, false, 0},     // indefinite answer to an earlier attempt
        {&calls, moved + 1, true, 0},  // no such attempt
        {&calls, second, false, 2},    // indefinite answer to the last attempt
        {&calls, second, true, 0},     // duplicate answer
        {&calls, first, true, 1},      // definite answer to an earlier attempt
        {&calls, moved, true, 0},      // after the call was completed
    };
    for (const auto& [at, number, definite, whose] : cases) {
      auto ended = at->complete(number, definite);
      CPPUNIT_ASSERT_EQUAL(whose, ended ? ended->caller : 0);
    }
  }

  // Answers to calls forwarded before a restart arrive while the restarted member waits for another call.
  void answerToEarlierIncarnationIsIgnored() {
    ThreeMembers cluster;
    int follower = cluster.follower(), leader = cluster.leader();
    CPPUNIT_ASSERT_EQUAL(200, cluster.wait(cluster.change_configuration(leader, 0, config(1))));
    std::vector<std::string> kept;
    cluster.passes = [&](int, int to, const protocol::Message& message) {
      if (to != follower || !std::get_if<protocol::ControlReply>(&message)) return true;
      kept.push_back(protocol::pack(message));
      return false;
    };
    for (int i = 0; i < 5; ++i) cluster.call(follower, "GET", "/pearspar/config");
    cluster.run(0.05);
    CPPUNIT_ASSERT_EQUAL(std::size_t{5}, kept.size());
    cluster.kill(follower);
    cluster.start(follower);
    cluster.run(0.5);
    CPPUNIT_ASSERT_EQUAL(leader, cluster.leader());
    std::vector<std::string> late = std::exchange(kept, {});
    CallerId caller = cluster.change_configuration(follower, 7, config(9));
    for (const std::string& frame : late) cluster.deliver(leader, follower, frame);
    cluster.run(0.1);
    CPPUNIT_ASSERT_EQUAL(0, cluster.status(caller));
    CPPUNIT_ASSERT_EQUAL(503, cluster.wait(caller));
  }

  // With lost, delayed and duplicated messages and changing leaders, each call at a running member gets
  // exactly one answer in time.
  void everyCallIsAnsweredOnceWithinASecond() {
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
      ThreeMembers cluster(seed);
      std::mt19937_64 random(seed);
      cluster.wait_for_leader();
      cluster.passes = [&](int from, int to, const protocol::Message& message) {
        bool call =
            std::get_if<protocol::ControlCall>(&message) || std::get_if<protocol::ControlReply>(&message);
        if (call && random() % 4 == 0) cluster.deliver(from, to, protocol::pack(message));
        if (call && random() % 8 == 0) {
          std::string frame = protocol::pack(message);
          cluster.world.in(Duration(0.3), [&cluster, from, to, frame] { cluster.deliver(from, to, frame); });
          return false;
        }
        return !call || random() % 4 != 0;
      };
      std::vector<CallerId> callers;
      catalog::Revision last = 0;
      for (int round = 0; round < 60; ++round) {
        int at = static_cast<int>(random() % 3);
        if (random() % 3 > 0)
          callers.push_back(cluster.call(at, "GET", "/pearspar/config"));
        else
          callers.push_back(cluster.change_configuration(at, last, config(last + 1, std::to_string(round))));
        cluster.run(0.02);
        if (int leader = cluster.leader(); leader >= 0) {
          last = cluster.member(leader).state().revision();
          if (round % 20 == 5) cluster.member(leader).transfer_leadership(cluster.world.now());
          if (round % 20 == 10 && leader == 0) {
            cluster.kill(0);
            cluster.start(0);
          }
        }
      }
      cluster.run(2);
      for (CallerId caller : callers) {
        const auto& answer = cluster.answers[caller];
        if (answer.count == 0) continue;  // at the member that was killed
        CPPUNIT_ASSERT_EQUAL(1, answer.count);
        CPPUNIT_ASSERT_MESSAGE(std::to_string(answer.after), answer.after < 0.95);
      }
      CPPUNIT_ASSERT(cluster.answers.size() >= 50);
    }
  }

  void expiredCallsAreNotExecuted() {
    // A change waits for a leader while its member stalls for twenty seconds.
    ThreeMembers cluster;
    CallerId change_call = cluster.change_configuration(0, 0, config(1));
    cluster.freeze(0, 20);
    cluster.run(21);
    CPPUNIT_ASSERT_EQUAL(503, cluster.status(change_call));
    CPPUNIT_ASSERT_EQUAL(catalog::Revision{0}, cluster.member(cluster.wait_for_leader()).state().revision());
    // An answer arrives after its member has stalled for twenty seconds.
    int asked = cluster.follower();
    CallerId read = cluster.call(asked, "GET", "/pearspar/config");
    cluster.freeze(asked, 20);
    cluster.run(21);
    CPPUNIT_ASSERT_EQUAL(503, cluster.status(read));
    // A change is not replicated to a majority: its callers are answered in time, and it goes on.
    int leader = cluster.leader();
    cluster.passes = [&](int, int to, const protocol::Message& message) {
      const auto* agreement = std::get_if<raft::Message>(&message);
      return !agreement || to != leader || agreement->kind != raft::MessageKind::append_response ||
             agreement->index <= cluster.member(leader).core().commit();
    };
    change_call = cluster.change_configuration(leader, 0, config(1));
    CallerId same = cluster.change_configuration((leader + 1) % 3, 0, config(1));
    cluster.run(1.1);
    CPPUNIT_ASSERT_EQUAL(503, cluster.status(change_call));
    CPPUNIT_ASSERT_EQUAL(503, cluster.status(same));
    CPPUNIT_ASSERT(cluster.answers[change_call].after < 0.95 && cluster.answers[same].after < 0.95);
    cluster.passes = nullptr;
    CPPUNIT_ASSERT_EQUAL(200, cluster.apply_until_definite(0, config(1)));
  }

  void changeOnFutureBaseWaits() {
    ThreeMembers cluster;
    cluster.wait_for_leader();
    // Three changes in flight, each based on the one before, arrive in reverse order.
    CallerId third = cluster.change_configuration(0, 4, config(6)),
             second = cluster.change_configuration(1, 2, config(4));
    cluster.run(0.3);
    CPPUNIT_ASSERT(cluster.status(third) == 0 && cluster.status(second) == 0);
    CallerId first = cluster.change_configuration(2, 0, config(2));
    cluster.run(0.3);
    for (CallerId caller : {first, second, third}) CPPUNIT_ASSERT_EQUAL(200, cluster.status(caller));
    CallerId early = cluster.change_configuration(1, 8, config(9));
    CPPUNIT_ASSERT_EQUAL(503, cluster.wait(early));
    CPPUNIT_ASSERT(cluster.answers[early].after > 0.7 && cluster.answers[early].after < 0.95);
    // These can never be applied.
    CPPUNIT_ASSERT_EQUAL(400, cluster.wait(cluster.change_configuration(1, 8, config(7))));
    CPPUNIT_ASSERT_EQUAL(412, cluster.wait(cluster.change_configuration(1, 4, config(9))));
    CPPUNIT_ASSERT_EQUAL(200, cluster.apply_until_definite(6, config(8)));
    CPPUNIT_ASSERT_EQUAL(200, cluster.apply_until_definite(8, config(9)));
  }

  // The leader that the calls were forwarded to never received them, and resigns.
  void undeliveredCallIsForwardedToTheNextLeader() {
    ThreeMembers cluster;
    int old = cluster.wait_for_leader();
    cluster.passes = [&](int, int to, const protocol::Message& message) {
      return to != old || !std::get_if<protocol::ControlCall>(&message);
    };
    CallerId first = cluster.change_configuration((old + 1) % 3, 0, config(1)),
             second = cluster.change_configuration((old + 2) % 3, 0, config(1));
    cluster.run(0.1);
    cluster.member(old).transfer_leadership(cluster.world.now());
    CPPUNIT_ASSERT_EQUAL(200, cluster.wait(first));
    CPPUNIT_ASSERT_EQUAL(200, cluster.wait(second));
  }

  // Each change is based on the one before; sent to random members in random order, with lost answers and
  // changes of leader.
  void eightConcurrentChangesAreAllApplied() {
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
      ThreeMembers cluster(seed);
      std::mt19937_64 random(seed);
      cluster.wait_for_leader();
      cluster.passes = [&](int, int, const protocol::Message& message) {
        return !std::get_if<protocol::ControlReply>(&message) || random() % 3 > 0;
      };
      std::vector<catalog::Revision> open = {1, 2, 3, 4, 5, 6, 7, 8};
      for (int tries = 0; tries < 40 && !open.empty(); ++tries) {
        std::shuffle(open.begin(), open.end(), random);
        std::map<catalog::Revision, CallerId> asked;
        for (catalog::Revision e : open) {
          asked[e] = cluster.change_configuration(static_cast<int>(random() % 3), e - 1, config(e));
          cluster.run(0.002 * static_cast<double>(random() % 4), 0.002);
        }
        if (tries % 3 == 1)
          if (int leader = cluster.leader(); leader >= 0)
            cluster.member(leader).transfer_leadership(cluster.world.now());
        cluster.run(1);
        for (const auto& [revision, caller] : asked) {
          CPPUNIT_ASSERT(cluster.status(caller) == 200 || cluster.status(caller) == 503);
          if (cluster.status(caller) == 200) std::erase(open, revision);
        }
      }
      CPPUNIT_ASSERT(open.empty());
    }
  }

  // The leader is partitioned for twenty seconds, in both directions or in one, while the others go on.
  void partitionedLeaderServesNoStaleReads() {
    for (int way : {0, 1, 2}) {
      ThreeMembers cluster(static_cast<std::uint64_t>(way) + 1);
      int cut = cluster.wait_for_leader();
      CPPUNIT_ASSERT_EQUAL(200, cluster.apply_until_definite(0, config(1)));
      cluster.passes = [&](int from, int to, const protocol::Message&) {
        return !(way != 1 && from == cut) && !(way != 2 && to == cut);
      };
      catalog::Revision newest = 1;
      struct Read {
        CallerId caller;
        catalog::Revision newest;
      };
      std::vector<Read> reads;
      std::vector<std::pair<CallerId, std::string>> changes_during_partition;
      CallerId other = 0;
      for (int i = 0; i < 200; ++i) {
        reads.push_back({cluster.call(cut, "GET", "/pearspar/config"), newest});
        if (i < 160 && i % 4 == 0) {
          std::string text = config(newest + 1, "smaller side " + std::to_string(i));
          changes_during_partition.emplace_back(cluster.change_configuration(cut, newest, text), text);
        }
        if (other == 0 || cluster.status(other) != 0) {
          if (cluster.status(other) == 200) ++newest;
          // The first change at the partitioned leader was still replicated to the others.
          if (cluster.status(other) == 412) newest = cluster.member(cluster.leader()).state().revision();
          other = cluster.change_configuration((cut + 1 + i % 2) % 3, newest, config(newest + 1));
        }
        cluster.run(0.1);
      }
      CPPUNIT_ASSERT(newest > 50);
      cluster.passes = nullptr;
      for (const auto& [caller, text] : changes_during_partition)
        CPPUNIT_ASSERT_EQUAL(503, cluster.status(caller));
      for (const Read& read : reads) {
        const auto& answer = cluster.answers[read.caller];
        if (answer.count == 0) continue;  // still pending at the end
        CPPUNIT_ASSERT(answer.after < 0.95);
        catalog::Revision read_edition = answer.status == 200 ? catalog::revision_of(answer.body) : 0;
        CPPUNIT_ASSERT(answer.status == 503 || read_edition >= read.newest);
      }
      // After the partition all answers are definite and consistent, also for the changes sent during it.
      double began = cluster.world.now().time_since_epoch().count();
      CallerId one = cluster.change_configuration(cut, newest, config(newest + 5, "one"));
      CallerId two = cluster.change_configuration(cut, newest, config(newest + 5, "two"));
      cluster.wait(one);
      cluster.wait(two);
      CPPUNIT_ASSERT(cluster.world.now().time_since_epoch().count() - began < 1.0);
      int applied = 0;
      for (const auto& [caller, text] : changes_during_partition) {
        catalog::Revision revision = catalog::revision_of(text);
        bool was = cluster.member(cluster.wait_for_leader()).state().has_applied(revision, digest_of(text));
        CPPUNIT_ASSERT_EQUAL(was ? 200 : 412, cluster.apply_until_definite(revision - 1, text));
        applied += was;
      }
      CPPUNIT_ASSERT(applied <= 1);
    }
  }

  // A new leader whose first entry is not committed must not serve, although it has the earlier state.
  void newLeaderServesOnlyAfterItsFirstCommit() {
    ThreeMembers cluster;
    int old = cluster.wait_for_leader();
    CPPUNIT_ASSERT_EQUAL(200, cluster.apply_until_definite(0, config(1)));
    // Its heartbeats are answered, so it has a lease, but acknowledgements of its own entry are dropped.
    const raft::Index before = cluster.member(old).core().log().last();
    cluster.passes = [&](int, int, const protocol::Message& message) {
      const auto* agreement = std::get_if<raft::Message>(&message);
      return !agreement || agreement->kind != raft::MessageKind::append_response ||
             agreement->index <= before;
    };
    cluster.kill(old);
    for (int i = 0; i < 400; ++i) {
      cluster.run(0.01);
      for (int each = 0; each < 3; ++each) {
        if (each == old || cluster.member(each).core().role() != raft::Core::Role::leader) continue;
        CallerId read = cluster.call(each, "GET", "/pearspar/config");
        CallerId change_call = cluster.change_configuration(each, 0, config(5));
        CallerId applied_call = cluster.change_configuration(each, 0, config(1));
        cluster.run(1);
        for (CallerId caller : {read, change_call, applied_call}) {
          CPPUNIT_ASSERT_EQUAL(503, cluster.status(caller));
          CPPUNIT_ASSERT(cluster.answers[caller].after < 0.95);
        }
        CallerId status = cluster.call(each, "GET", "/pearspar/status");
        CPPUNIT_ASSERT(cluster.answers[status].body.starts_with("{\"view\":\"local\",") &&
                       cluster.answers[status].body.find("\"leads\":false") != std::string::npos);
        return;
      }
    }
    CPPUNIT_FAIL("nobody was elected");
  }

  void changeIsAcknowledgedAfterTenThousandOthers() {
    ThreeMembers cluster;
    cluster.wait_for_leader();
    const std::string first = small_config(1, "first");
    CPPUNIT_ASSERT_EQUAL(200, cluster.apply_until_definite(0, first));
    for (catalog::Revision e = 2; e <= 10'001; ++e) {
      CallerId caller = cluster.change_configuration(cluster.wait_for_leader(), e - 1, small_config(e));
      cluster.world.run_until(cluster.world.now() + Duration(0.0025));
      for (int i = 0; i < 3; ++i) cluster.advance(i);
      if (cluster.status(caller) != 200)
        CPPUNIT_ASSERT_EQUAL(200, cluster.apply_until_definite(e - 1, small_config(e)));
    }
    auto holds = [&] {
      for (int i = 0; i < 3; ++i) {
        CPPUNIT_ASSERT_EQUAL(200, cluster.apply_until_definite(0, first));
        CPPUNIT_ASSERT_EQUAL(412, cluster.apply_until_definite(0, small_config(1, "second")));
        CPPUNIT_ASSERT_EQUAL(200, cluster.apply_until_definite(6999, small_config(7000)));
      }
    };
    holds();
    cluster.member(cluster.leader()).transfer_leadership(cluster.world.now());
    cluster.run(1);
    holds();
    // After the loss of its disk a member gets the history with a snapshot.
    int lost = cluster.follower();
    cluster.kill(lost);
    cluster.wipe(lost);
    cluster.start(lost);
    cluster.run(4);
    CPPUNIT_ASSERT_EQUAL(catalog::Revision{10'001}, cluster.member(lost).state().revision());
    for (int i = 0; i < 3; ++i) cluster.kill(i);
    for (int i = 0; i < 3; ++i) cluster.start(i);
    cluster.wait_for_leader();
    holds();
    CPPUNIT_ASSERT_EQUAL(std::size_t{10'001}, cluster.member(lost).state().history().size());
  }

  // Two changes with the same revision at different members, with lost answers, changes of leader and
  // restarts: one is applied and stays so, the other is rejected.
  void oneOfTwoChangesWithTheSameNumberWins() {
    int taken_by_second = 0;
    for (std::uint64_t seed = 1; seed <= 25; ++seed) {
      ThreeMembers cluster(seed);
      std::mt19937_64 random(seed);
      cluster.wait_for_leader();
      cluster.passes = [&](int, int, const protocol::Message& message) {
        bool answer = std::get_if<protocol::ControlReply>(&message);
        return !answer || random() % 2 == 0;
      };
      catalog::Revision base = 0;
      std::vector<std::pair<std::string, catalog::Revision>> won, lost;
      for (int round = 0; round < 8; ++round) {
        catalog::Revision revision = base + 1 + random() % 3;
        std::string texts[] = {config(revision, "one"), config(revision, "two")};
        int said[] = {0, 0};
        CallerId asked[2];
        for (int tries = 0; tries < 60 && (said[0] == 0 || said[1] == 0); ++tries) {
          for (int who : {0, 1})
            asked[who] = cluster.change_configuration(static_cast<int>(random() % 3), base, texts[who]);
          if (random() % 3 == 0 && cluster.leader() >= 0) {
            cluster.run(0.001 * static_cast<double>(random() % 5), 0.001);
            if (int leader = cluster.leader(); leader >= 0)
              cluster.member(leader).transfer_leadership(cluster.world.now());
          }
          cluster.run(1);
          for (int who : {0, 1}) {
            int status = cluster.status(asked[who]);
            if (status == 0 || status >= 500) continue;
            CPPUNIT_ASSERT(said[who] == 0 || said[who] == status);
            said[who] = status;
          }
        }
        CPPUNIT_ASSERT_EQUAL(612, said[0] + said[1]);
        CPPUNIT_ASSERT(said[0] == 200 || said[1] == 200);
        bool second = said[1] == 200;
        taken_by_second += second;
        won.emplace_back(texts[second], base);
        lost.emplace_back(texts[!second], base);
        base = revision;
        if (round % 4 == 3) {
          for (int i = 0; i < 3; ++i) cluster.kill(i);
          for (int i = 0; i < 3; ++i) cluster.start(i);
          cluster.wait_for_leader();
        }
        for (const auto& [text, on] : won) CPPUNIT_ASSERT_EQUAL(200, cluster.apply_until_definite(on, text));
        for (const auto& [text, on] : lost) CPPUNIT_ASSERT_EQUAL(412, cluster.apply_until_definite(on, text));
      }
    }
    CPPUNIT_ASSERT(taken_by_second > 10);
  }

  // The link fails while a call is in flight; the leader stays.
  void callLostWithItsLinkIsResent() {
    ThreeMembers cluster;
    const int leader = cluster.wait_for_leader(), follower = cluster.follower();
    cluster.run(0.5);
    bool drops = true;
    cluster.passes = [&](int from, int, const protocol::Message& message) {
      return !drops || from != follower || !std::get_if<protocol::ControlCall>(&message);
    };
    const CallerId change_call = cluster.change_configuration(follower, 0, config(3));
    cluster.run(0.05);
    drops = false;
    cluster.renew_link(follower, leader);
    CPPUNIT_ASSERT_EQUAL(200, cluster.wait(change_call));
    CPPUNIT_ASSERT(cluster.answers[change_call].after < 0.4);
    CPPUNIT_ASSERT_EQUAL(1, cluster.answers[change_call].count);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ReplicatedStateTest);

}  // namespace pearspar::control_plane
