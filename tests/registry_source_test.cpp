// The source against stand-in registries on loopback: each hard case caused, and the list equal afterwards.
#include <netinet/in.h>
#include <sys/socket.h>

#include "registry/registration.h"
#include "registry_harness.h"

namespace pearspar::registry {
namespace {

using namespace std::chrono_literals;
using standins::Wire;
using testing::record_of;
using testing::RegistryTest;

class Either : public RegistryTest, public ::testing::WithParamInterface<Wire> {};

TEST_P(Either, TheWholeListThenEachChangeOnce) {
  make(GetParam());
  put("a", 1);
  put("b", 2);
  follow();
  ASSERT_TRUE(equal());
  EXPECT_EQ(user.tellings, 1);
  put("c", 3);
  ASSERT_TRUE(equal());
  remove("a");
  ASSERT_TRUE(equal());
  put("b", 7);
  ASSERT_TRUE(equal());
  world->store().put("elsewhere", "noise");
  pass(50ms);
  EXPECT_EQ(user.tellings, 4);
  EXPECT_EQ(user.whole, 1);
}

TEST_P(Either, AnEmptyRegistryIsAWholeEmptyList) {
  make(GetParam());
  follow();
  ASSERT_TRUE(until([&] { return user.whole == 1; }));
  EXPECT_TRUE(user.nodes.empty());
  EXPECT_GE(source->revision(), 0);
}

TEST_P(Either, ABadRecordLeavesTheLastGoodOneAndIsNamed) {
  make(GetParam());
  put("a", 1);
  put("b", 2);
  follow();
  ASSERT_TRUE(equal());
  world->store().put(key("a"), "{not json");
  world->store().put(key("new"), R"({"cell":1})");
  ASSERT_TRUE(until([&] { return source->roster().bad().size() == 2; }));
  EXPECT_EQ(user.nodes.at("a").cell, 1);
  EXPECT_EQ(user.nodes.count("new"), 0u);
  EXPECT_NE(source->roster().bad().at(key("new")).find("address"), std::string::npos);
  put("a", 5);
  ASSERT_TRUE(until([&] { return user.nodes.at("a").cell == 5; }));
  world->store().put(key("a"), "again bad");
  remove("a");
  ASSERT_TRUE(until([&] { return user.nodes.count("a") == 0; }));
  EXPECT_EQ(source->roster().bad().size(), 1u);
}

TEST_P(Either, ARestartWithItsDataMissesAndRepeatsNothing) {
  make(GetParam(), 3);
  put("a", 1);
  follow();
  ASSERT_TRUE(equal());
  for (int i = 0; i < 5; ++i) {
    for (int m = 0; m < 3; ++m) world->server(m).go_down();
    put("n" + std::to_string(i), i);
    remove("a");
    put("a", 10 + i);
    for (int m = 0; m < 3; ++m) world->server(m).come_up();
    ASSERT_TRUE(equal());
  }
  if (GetParam() == Wire::etcd) {
    EXPECT_EQ(counters().snapshots, 1u);
  }
}

TEST_P(Either, ARestartWithoutDataIsBelievedAndTheListServesUntilThen) {
  make(GetParam(), 2);
  put("a", 1);
  put("b", 1);
  follow();
  ASSERT_TRUE(equal());
  std::size_t least = 99;
  user.on_told = [&] { least = std::min(least, user.nodes.size()); };
  world->wipe();
  put("c", 3);
  ASSERT_TRUE(equal());
  EXPECT_EQ(counters().new_histories, 1u);
  EXPECT_EQ(least, 1u);
}

// The new registry may by chance stand at the very revision that the old one had.
TEST_P(Either, ARestartWithoutDataThatComesToTheSameRevision) {
  make(GetParam(), 3);
  world->store().write({{key("a"), record_of("a", 1), 0}, {key("b"), record_of("b", 1), 0}});
  follow();
  ASSERT_TRUE(equal());
  std::int64_t revision = world->store().revision();
  pass(30ms);  // the next blocking read is out, on the connection that was kept
  world->wipe();
  put("a", 9);
  EXPECT_EQ(world->store().revision(), revision);
  ASSERT_TRUE(equal());
}

TEST_P(Either, AllEndpointsDownForAWhileTheListServesOn) {
  make(GetParam(), 3);
  put("a", 1);
  follow();
  ASSERT_TRUE(equal());
  for (int m = 0; m < 3; ++m) world->server(m).go_down();
  std::uint64_t before = counters().asks;
  pass(1500ms);
  EXPECT_EQ(user.nodes.size(), 1u);
  EXPECT_GT(user.failed, 0);
  // Paced in common: with a pause of 0.2 to 0.4 s in the long run, not once for each endpoint.
  EXPECT_LT(counters().asks - before, 40u);
  put("b", 2);
  for (int m = 0; m < 3; ++m) world->server(m).come_up();
  ASSERT_TRUE(equal());
}

TEST_P(Either, AMemberThatHangsIsLeftForAnother) {
  make(GetParam(), 2);
  put("a", 1);
  follow();
  ASSERT_TRUE(equal());
  world->server(source->follower().endpoint()).hang(true);
  put("b", 2);
  ASSERT_TRUE(equal());
}

TEST_P(Either, AWatchThatStaysOpenAndSilentIsLeft) {
  make(GetParam(), 2);
  put("a", 1);
  follow();
  ASSERT_TRUE(equal());
  pass(20ms);
  int who = source->follower().endpoint();
  if (GetParam() == Wire::etcd)
    world->etcd(who).mute(true);
  else
    world->consul(who).mute(true);
  put("b", 2);
  ASSERT_TRUE(equal());
  EXPECT_GE(counters().silent + counters().failures[static_cast<int>(Fault::timeout)], 1u);
}

TEST_P(Either, GarbledRepliesCostTheConnectionAndTheListStands) {
  make(GetParam());
  put("a", 1);
  follow();
  ASSERT_TRUE(equal());
  if (GetParam() == Wire::etcd)
    world->etcd(0).garble();
  else
    world->consul(0).garble();
  put("b", 2);
  ASSERT_TRUE(equal());
  EXPECT_EQ(counters().failures[static_cast<int>(Fault::malformed)], 1u);
}

TEST_P(Either, RemovalsBeyondTheShareWaitWhereTheOperatorSaysSo) {
  make(GetParam(), 2);
  for (int i = 0; i < 10; ++i) put("n" + std::to_string(i), i);
  options.hold = {0.5, 400ms};
  follow();
  ASSERT_TRUE(equal());
  remove("n0");
  ASSERT_TRUE(until([&] { return user.nodes.size() == 9; }));  // one of ten is the truth
  world->wipe();
  put("n3", 3);
  ASSERT_TRUE(until([&] { return counters().new_histories == 1 && source->roster().waiting() > 0; }));
  EXPECT_EQ(user.nodes.size(), 9u);
  EXPECT_EQ(source->roster().waiting(), 8u);
  put("n4", 4);  // back in time
  ASSERT_TRUE(until([&] { return source->roster().counters().returned == 1; }));
  ASSERT_TRUE(until([&] { return user.nodes.size() == 2; }));
  ASSERT_TRUE(equal());
}

TEST_P(Either, ARefreshTellsTheWholeListAgain) {
  make(GetParam());
  put("a", 1);
  follow();
  ASSERT_TRUE(equal());
  source->fetch();
  ASSERT_TRUE(until([&] { return user.whole == 2; }));
}

INSTANTIATE_TEST_SUITE_P(Dialects, Either, ::testing::Values(Wire::etcd, Wire::consul),
                         [](const auto& info) { return info.param == Wire::etcd ? "etcd" : "consul"; });

// ---- etcd ----

class EtcdSource : public RegistryTest {};

TEST_F(EtcdSource, AWatchResumedFromACompactedRevisionReadsAnew) {
  make();
  put("a", 1);
  follow();
  ASSERT_TRUE(equal());
  world->server(0).go_down();
  put("b", 2);
  remove("a");
  put("c", 3);
  world->store().compact(world->store().revision());
  world->server(0).come_up();
  ASSERT_TRUE(equal());
  EXPECT_GE(counters().failures[static_cast<int>(Fault::compacted)], 1u);
  EXPECT_EQ(counters().snapshots, 2u);
}

TEST_F(EtcdSource, CompactionBetweenThePagesOfASnapshot) {
  make();
  options.follower.page = 2;
  for (int i = 0; i < 9; ++i) put("n" + std::to_string(i), i);
  int pages = 0;
  world->etcd(0).on_ask = [&](const std::string& path) {
    if (path != "/v3/kv/range" || ++pages != 3) return;
    put("n0", 77);
    remove("n8");
    world->store().compact(world->store().revision());
  };
  user.on_told = [&] { EXPECT_EQ(user.nodes.at("n0").cell, 77); };
  follow();
  ASSERT_TRUE(equal());
  EXPECT_EQ(counters().failures[static_cast<int>(Fault::compacted)], 1u);
}

TEST_F(EtcdSource, ChangesBetweenThePagesAreNotMixedIn) {
  make();
  options.follower.page = 2;
  for (int i = 0; i < 6; ++i) put("n" + std::to_string(i), 1);
  int pages = 0;
  world->etcd(0).on_ask = [&](const std::string& path) {
    if (path != "/v3/kv/range" || ++pages != 2) return;
    std::vector<standins::Write> all;
    for (int i = 0; i < 6; ++i)
      all.push_back({key("n" + std::to_string(i)), record_of("n" + std::to_string(i), 2), 0});
    world->store().write(all);
  };
  user.on_told = [&] {
    for (const auto& [id, entry] : user.nodes) EXPECT_EQ(entry.cell, user.nodes.at("n0").cell);
  };
  follow();
  ASSERT_TRUE(equal());
  EXPECT_EQ(user.tellings, 2);
}

TEST_F(EtcdSource, ABackupRestoredUnderItsIdentityOrANewOneReplacesTheList) {
  for (bool new_identity : {false, true}) {
    make(Wire::etcd, 3);
    user = testing::Listener();
    put("a", 1);
    world->back_up();
    put("b", 2);
    remove("a");
    put("c", 3);
    follow();
    ASSERT_TRUE(equal());
    world->restore(new_identity);
    ASSERT_TRUE(equal()) << new_identity;
    EXPECT_EQ(told(), (std::map<std::string, int>{{"a", 1}}));
    EXPECT_EQ(user.whole, 2);
    put("d", 4);
    ASSERT_TRUE(equal());
    source.reset();
  }
}

// The stream ends at each byte of a message in turn; nothing is lost, repeated or half applied.
TEST_F(EtcdSource, AStreamCutAtEveryByteOfAMessage) {
  make();
  options.follower.pacing = {1ms, 2ms};
  put("a", 1);
  follow();
  ASSERT_TRUE(equal());
  int cell = 2;
  for (std::size_t cut = 0; cut < 900; cut += 1) {
    world->server(0).cut_after(cut);
    world->server(0).reset_all();
    ASSERT_TRUE(until([&] { return !world->server(0).cut_pending(); }));
    int each = cell++;
    world->store().write({{key("a"), record_of("a", each), 0}, {key("b"), record_of("b", each), 0}});
    ASSERT_TRUE(equal()) << cut;
  }
  EXPECT_GE(counters().failures[static_cast<int>(Fault::ended)], 300u);
}

TEST_F(EtcdSource, EventsTwiceOutOfOrderAndInFragments) {
  make();
  put("a", 1);
  follow();
  ASSERT_TRUE(equal());
  ASSERT_TRUE(until([&] { return world->etcd(0).watches() == 1; }));
  world->etcd(0).repeat(true);
  for (int i = 0; i < 5; ++i) put("a", 10 + i);
  ASSERT_TRUE(equal());
  EXPECT_GE(counters().repeated, 1u);
  EXPECT_EQ(counters().snapshots, 1u);
  world->etcd(0).repeat(false);

  world->etcd(0).split(1);
  user.on_told = [&] { EXPECT_EQ(user.nodes.at("a").cell, user.nodes.at("b").cell); };
  for (int i = 0; i < 5; ++i) {
    world->store().write({{key("a"), record_of("a", 20 + i), 0}, {key("b"), record_of("b", 20 + i), 0}});
    ASSERT_TRUE(equal());
  }
  user.on_told = nullptr;
  EXPECT_EQ(counters().snapshots, 1u);
  world->etcd(0).split(0);

  world->etcd(0).swap(true);
  put("a", 40);
  put("a", 41);
  pass(20ms);
  world->etcd(0).swap(false);
  ASSERT_TRUE(equal());
  EXPECT_GE(counters().holes, 1u);
  std::uint64_t holes = counters().holes;
  ASSERT_TRUE(until([&] { return world->etcd(0).watches() == 1 && source->follower().live(); }));
  world->etcd(0).swap(true);
  put("a", 50);
  put("b", 51);  // another key: no key's own count shows it
  pass(20ms);
  world->etcd(0).swap(false);
  ASSERT_TRUE(equal());
  EXPECT_GT(counters().holes, holes);
}

TEST_F(EtcdSource, DeletedAndCreatedAgainWithinOneMessage) {
  make();
  put("a", 1);
  follow();
  ASSERT_TRUE(equal());
  world->etcd(0).lag_at(world->store().revision());
  remove("a");
  put("a", 2);
  remove("b");
  put("b", 3);
  remove("b");
  world->etcd(0).lag_at(std::nullopt);
  ASSERT_TRUE(equal());
  EXPECT_EQ(counters().holes, 0u);
  EXPECT_EQ(counters().snapshots, 1u);
}

TEST_F(EtcdSource, AMemberThatLagsAskedAfterOneThatDoesNot) {
  make(Wire::etcd, 2);
  put("a", 1);
  follow();
  ASSERT_TRUE(equal());
  int first = source->follower().endpoint();
  world->etcd(1 - first).lag_at(world->store().revision());
  put("b", 2);
  ASSERT_TRUE(equal());
  world->server(first).reset_all();
  world->server(first).go_down();
  pass(100ms);
  // What it has not taken in is older than what stands: nothing goes back.
  EXPECT_EQ(user.nodes.size(), 2u);
  put("c", 3);
  pass(50ms);
  world->server(first).come_up();
  ASSERT_TRUE(equal());
  EXPECT_EQ(counters().new_histories, 0u);
}

TEST_F(EtcdSource, AnEndpointOfAnotherClusterIsNotFollowed) {
  make(Wire::etcd, 2);
  put("a", 1);
  follow();
  ASSERT_TRUE(equal());
  int first = source->follower().endpoint();
  world->etcd(1 - first).pose_as(99);
  for (int i = 0; i < 5; ++i) {
    world->server(first).reset_all();
    put("b", i);
    ASSERT_TRUE(equal());
  }
  EXPECT_EQ(counters().new_histories, 0u);
}

TEST_F(EtcdSource, AValueOfTenMegabytesCostsItsOwnRecordOnly) {
  make();
  put("a", 1);
  put("z", 1);
  follow();
  ASSERT_TRUE(equal());
  world->store().put(key("m"), std::string(10'000'000, 'x'));  // NOLINT(bugprone-string-constructor)
  ASSERT_TRUE(until([&] { return source->roster().bad().count(key("m")) == 1; }));
  put("b", 2);
  ASSERT_TRUE(until([&] { return user.nodes.count("b") == 1; }));
  EXPECT_EQ(counters().snapshots, 1u);
  EXPECT_LT(source->follower().view().bytes(), 10'000u);
  // And read anew.
  source->fetch();
  ASSERT_TRUE(until([&] { return user.whole == 2; }));
  EXPECT_EQ(user.nodes.size(), 3u);
  world->store().put(key("m"), record_of("m", 4));
  ASSERT_TRUE(equal());
}

TEST_F(EtcdSource, MoreKeysThanTheLimitLeaveTheListThatStands) {
  make();
  options.follower.view.keys = 5;
  for (int i = 0; i < 4; ++i) put("n" + std::to_string(i), i);
  follow();
  ASSERT_TRUE(equal());
  for (int i = 0; i < 50; ++i) put("x" + std::to_string(i), i);
  ASSERT_TRUE(until([&] { return counters().too_large >= 2; }));
  EXPECT_LE(user.nodes.size(), 5u);
  for (int i = 0; i < 50; ++i) remove("x" + std::to_string(i));
  ASSERT_TRUE(equal());
}

TEST_F(EtcdSource, AProgressMarkMovesTheResumptionBehindACompaction) {
  make();
  put("a", 1);
  options.follower.look_every = 60s;
  follow();
  ASSERT_TRUE(equal());
  ASSERT_TRUE(until([&] { return world->etcd(0).watches() == 1; }));
  for (int i = 0; i < 20; ++i) world->store().put("elsewhere", std::to_string(i));
  world->etcd(0).mark_progress();
  ASSERT_TRUE(until([&] { return source->revision() == world->store().revision(); }));
  world->store().compact(world->store().revision());
  world->server(0).reset_all();
  put("b", 2);
  ASSERT_TRUE(equal());
  EXPECT_EQ(counters().snapshots, 1u);
}

TEST_F(EtcdSource, ARegistryThatTricklesIsLeftAndOneThatIsFullOfNewsIsReadInTurns) {
  make(Wire::etcd, 2);
  for (int i = 0; i < 300; ++i) put("n" + std::to_string(i), i);
  follow();
  ASSERT_TRUE(equal());
  world->server(source->follower().endpoint()).trickle(1);
  for (int i = 0; i < 300; ++i) put("n" + std::to_string(i), i + 1);
  ASSERT_TRUE(equal());
}

TEST_F(EtcdSource, TenThousandKeysAndABurstOfChanges) {
  make();
  std::vector<standins::Write> all;
  for (int i = 0; i < 10'000; ++i)
    all.push_back({key("n" + std::to_string(i)), record_of("n" + std::to_string(i), 1), 0});
  world->store().write(all);
  follow();
  ASSERT_TRUE(equal());
  EXPECT_EQ(user.tellings, 1);
  for (int i = 0; i < 1000; ++i) put("n" + std::to_string(i * 7 % 10'000), 2 + i);
  ASSERT_TRUE(equal());
  EXPECT_EQ(counters().snapshots, 1u);
}

// We do not read for a while, and the registry goes on telling into a full connection. Their loop and ours
// are two.
TEST(SlowReader, WhatPiledUpIsReadInTurnsAndTheListIsEqual) {
  net::Loop theirs, ours;
  standins::RegistryWorld world(theirs, Wire::etcd, 1, 3);
  RegistryOptions options;
  options.endpoints = world.addresses();
  testing::Listener user;
  RegistrySource source(ours, peers::quiet_log(), options, 11, user);
  source.start();
  auto equal = [&] {
    for (const auto& [key, kv] : world.store().now()) {
      auto held = user.nodes.find(key.substr(options.prefix.size()));
      if (held == user.nodes.end() || write_record(held->second) != kv.value) return false;
    }
    return user.whole > 0 && user.nodes.size() == world.store().now().size();
  };
  auto both = [&] {
    return peers::turn_until(
        ours, [&] { theirs.run_once(net::Duration{}); }, equal);
  };
  for (int i = 0; i < 50; ++i)
    world.store().put(options.prefix + "n" + std::to_string(i), record_of("n" + std::to_string(i), 0));
  ASSERT_TRUE(both());
  ASSERT_TRUE(peers::turn_until(
      ours, [&] { theirs.run_once(net::Duration{}); }, [&] { return source.follower().live(); }));
  for (int i = 0; i < 8000; ++i) {
    std::string id = "n" + std::to_string(i % 50);
    world.store().put(options.prefix + id, record_of(id, 1 + i));
    if (i % 50 == 0) theirs.run_once(net::Duration{});
  }
  ASSERT_FALSE(equal());
  ASSERT_TRUE(both());
  EXPECT_LT(source.follower().view().bytes(), 20'000u);
}

// ---- Consul ----

class ConsulSource : public RegistryTest {};

TEST_F(ConsulSource, AnIndexThatGoesBackOrIsZero) {
  make(Wire::consul);
  put("a", 1);
  world->back_up();
  put("x", 1);
  follow();
  ASSERT_TRUE(equal());
  world->consul(0).say_index(0);
  put("b", 2);
  pass(100ms);
  EXPECT_GE(counters().failures[static_cast<int>(Fault::malformed)], 1u);
  EXPECT_EQ(user.nodes.size(), 2u);
  world->consul(0).say_index(std::nullopt);
  put("c", 3);
  ASSERT_TRUE(equal());
  world->restore(false);
  ASSERT_TRUE(equal());
  EXPECT_EQ(told(), (std::map<std::string, int>{{"a", 1}}));
  EXPECT_EQ(counters().new_histories, 1u);
}

TEST_F(ConsulSource, AServerTooFarBehindIsNotBelievedWithStaleReads) {
  make(Wire::consul, 2);
  options.consul.consistency = consul::Consistency::stale;
  put("a", 1);
  follow();
  ASSERT_TRUE(equal());
  world->consul(0).lag_at(world->store().revision(), 5000);
  put("b", 2);
  ASSERT_TRUE(equal());
  for (int i = 0; i < 3; ++i) {
    world->server(1).reset_all();
    put("b", i);
    ASSERT_TRUE(equal());
    EXPECT_EQ(user.nodes.size(), 2u);
  }
}

// ---- registration ----

class Registered : public Either {
 protected:
  std::unique_ptr<Registration> make_one(const std::string& name, net::Duration lease = 1s) {
    return std::make_unique<Registration>(loop, peers::quiet_log(), options, options.prefix + name,
                                          record_of(name, 1), lease, 5);
  }
  bool there(const std::string& name) { return world->store().find(key(name)) != nullptr; }
};

TEST_P(Registered, StandsWhileItIsKeptAndIsWithdrawnOnAnOrderedEnd) {
  make(GetParam(), 2);
  follow();
  auto one = make_one("b1");
  one->start();
  ASSERT_TRUE(until([&] { return one->registrar().registered() && user.nodes.count("b1") == 1; }));
  pass(1500ms);
  EXPECT_TRUE(there("b1"));
  EXPECT_GE(one->registrar().counters().renewals, 2u);
  one->withdraw();
  ASSERT_TRUE(until([&] { return one->done(); }));
  EXPECT_FALSE(there("b1"));
  ASSERT_TRUE(until([&] { return user.nodes.empty(); }));
}

TEST_P(Registered, IsMadeAnewWhereTheRegistryLostItsLeaseItsKeyOrAllItsData) {
  make(GetParam());
  auto one = make_one("b1");
  one->start();
  ASSERT_TRUE(until([&] { return there("b1"); }));
  world->store().remove(key("b1"));
  ASSERT_TRUE(until([&] { return there("b1"); }));
  world->store().revoke(1);
  ASSERT_TRUE(until([&] { return there("b1"); }));
  world->wipe();
  ASSERT_TRUE(until([&] { return there("b1"); }));
  EXPECT_GE(one->registrar().counters().lost, 3u);
}

TEST_P(Registered, LeasesThatRunOutTogetherAreRemovedOnceAndMadeAnew) {
  make(GetParam());
  follow();
  std::vector<std::unique_ptr<Registration>> all;
  for (int i = 0; i < 20; ++i) {
    all.push_back(make_one("b" + std::to_string(i)));
    all.back()->start();
  }
  ASSERT_TRUE(until([&] { return user.nodes.size() == 20; }));
  for (auto& each : all) each.reset();  // killed outright: nothing is withdrawn
  ASSERT_TRUE(until([&] { return user.nodes.empty(); }));
  EXPECT_EQ(world->store().leases(), 0u);
}

TEST_P(Registered, ABrokenRegistryIsTriedAgainAndTheKeyComesBack) {
  make(GetParam(), 2);
  auto one = make_one("b1");
  one->start();
  ASSERT_TRUE(until([&] { return there("b1"); }));
  for (int m = 0; m < 2; ++m) world->server(m).go_down();
  ASSERT_TRUE(until([&] { return !there("b1"); }));  // the lease ran out
  for (int m = 0; m < 2; ++m) world->server(m).come_up();
  ASSERT_TRUE(until([&] { return there("b1"); }));
  EXPECT_GE(one->registrar().counters().failures, 1u);
}

// Between two turns of a stand-in the system gave its port to somebody's outgoing connection.
TEST_F(RegistryTest, ThePortOfAMemberThatIsDownIsNobodyElses) {
  make();
  net::Address address = world->server(0).address();
  world->server(0).go_down();
  net::Fd other(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
  sockaddr_in system{};
  system.sin_family = AF_INET;
  system.sin_addr.s_addr = htonl(address.host);
  system.sin_port = htons(address.port);
  EXPECT_NE(::bind(other.get(), reinterpret_cast<sockaddr*>(&system), sizeof system), 0);
  int error = 0;
  net::Fd caller = net::start_connect(address, error);
  EXPECT_TRUE(error == ECONNREFUSED || net::connect_error(caller) == ECONNREFUSED);
  world->server(0).come_up();
  EXPECT_EQ(world->server(0).address(), address);
}

TEST_P(Registered, TheNextLifeTakesTheKeyOver) {
  make(GetParam());
  auto one = make_one("b1");
  one->start();
  ASSERT_TRUE(until([&] { return there("b1"); }));
  one.reset();
  auto two = make_one("b1");
  two->start();
  ASSERT_TRUE(until([&] { return two->registrar().registered(); }));
  pass(1500ms);
  EXPECT_TRUE(there("b1"));
  EXPECT_EQ(world->store().leases(), 1u);
}

INSTANTIATE_TEST_SUITE_P(Dialects, Registered, ::testing::Values(Wire::etcd, Wire::consul),
                         [](const auto& info) { return info.param == Wire::etcd ? "etcd" : "consul"; });

}  // namespace
}  // namespace pearspar::registry
