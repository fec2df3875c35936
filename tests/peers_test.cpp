// The membership protocol in simulated time, checked by a judge that shares no code with it.
#include <fmt/format.h>
#include <gtest/gtest.h>

#include <algorithm>
#include <map>

#include "peersim/network.h"

namespace {

using namespace std::chrono_literals;
using pearspar::net::Duration;
using pearspar::peersim::Link;
using pearspar::peersim::Network;
namespace judge = pearspar::judge;
namespace peers = pearspar::peers;

peers::Options options() {
  peers::Options options;
  options.fleet = "test";
  return options;
}

class SimulatedFleet : public Network {
 public:
  SimulatedFleet(int size, std::uint64_t seed, peers::Options with = options())
      : Network(seed, seeded(std::move(with), size), judge::Terms{}) {
    for (int i = 0; i < size; ++i) start(i);
  }
  // Runs without faults until all brokers agree.
  void settle() {
    calm();
    run_for(Duration(judge().settle_bound(static_cast<std::size_t>(size())) + 0.5));
  }
  // What one broker holds of another; an empty name if nothing.
  peers::MemberView seen(int by, const std::string& name) {
    for (const peers::MemberView& member : core(by).snapshot(time_of(by))->members)
      if (member.name == name) return member;
    return {};
  }
  void expect_good() {
    judge::Report report = end();
    for (const std::string& fault : report.faults) ADD_FAILURE() << fault;
    EXPECT_GT(report.opinions, 0u);
  }

 private:
  static peers::Options seeded(peers::Options with, int size) {
    for (int i = 0; i < std::min(size, 3); ++i)
      with.seeds.push_back({0x0a000001u + static_cast<std::uint32_t>(i), 7000});
    return with;
  }
};

TEST(PeersTest, FleetStartedAtOnceSettles) {
  for (int n : {1, 2, 3, 24}) {
    SimulatedFleet fleet(n, 7);
    fleet.settle();
    EXPECT_TRUE(fleet.judge().agreed()) << n;
    for (int i = 0; i < n; ++i) EXPECT_EQ(fleet.core(i).in_force(), static_cast<std::size_t>(n));
    if (n > 1) fleet.expect_good();
  }
}

TEST(PeersTest, KillingAThirdOf24AtOnceIsDetected) {
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    SimulatedFleet fleet(24, seed);
    fleet.settle();
    for (int i = 0; i < 8; ++i) fleet.kill(3 * i);
    fleet.settle();
    EXPECT_TRUE(fleet.judge().agreed());
    judge::Report report = fleet.end();
    EXPECT_EQ(report.detected.size(), 8u);
    std::sort(report.detected.begin(), report.detected.end());
    fmt::print("known after {:.2f} to {:.2f} s\n", report.detected.front(), report.detected.back());
    EXPECT_LT(report.detected.back(), 2.5) << "several brokers probe each suspect outside their round";
    for (const std::string& fault : report.faults) ADD_FAILURE() << "seed " << seed << ": " << fault;
  }
}

TEST(PeersTest, PartitionOfHalvesHeals) {
  for (std::uint64_t seed = 1; seed <= 5; ++seed) {
    SimulatedFleet fleet(24, seed);
    fleet.settle();
    fleet.troubled();
    fleet.link = [](int from, int to) {
      Link link;
      link.cut = (from < 12) != (to < 12);
      return link;
    };
    fleet.run_for(10s);
    EXPECT_EQ(fleet.core(0).in_force(), 12u);
    EXPECT_TRUE(fleet.core(0).settled(fleet.time_of(0)));
    EXPECT_FALSE(fleet.core(0).smaller_part());
    EXPECT_TRUE(fleet.core(23).smaller_part());
    auto removed = [&] {
      std::uint64_t sum = 0;
      for (int i = 0; i < 24; ++i) sum += fleet.core(i).counters().removed;
      return sum;
    };
    const std::uint64_t before = removed();
    fleet.keep_notes = true;
    fleet.link = nullptr;
    fleet.settle();
    EXPECT_TRUE(fleet.judge().agreed());
    EXPECT_EQ(removed(), before) << "reports from the other side must not remove members of ours";
    for (int i = 0; i < 24; ++i)
      for (const peers::MemberEvent& note : fleet.notes_of(i))
        EXPECT_NE(note.after, peers::State::gone) << note.name;
    judge::Report report = fleet.end();
    for (const std::string& fault : report.faults) ADD_FAILURE() << "seed " << seed << ": " << fault;
    ASSERT_FALSE(report.settled.empty());
    RecordProperty("settled", fmt::format("{}", report.settled.back()));
    fmt::print("healed in {:.2f} s\n", report.settled.back());
  }
}

TEST(PeersTest, TenPercentLossRemovesNobody) {
  SimulatedFleet fleet(24, 3);
  fleet.settle();
  fleet.restless();
  fleet.link = [](int, int) {
    Link link;
    link.loss = 0.1;
    return link;
  };
  fleet.run_for(600s);
  EXPECT_EQ(fleet.end().removals, 0u);
  fleet.expect_good();
}

Link lossy(double loss) {
  Link link;
  link.loss = loss;
  return link;
}
Link cut() {
  Link link;
  link.cut = true;
  return link;
}

TEST(PeersTest, OneWayLossRemovesNobody) {
  SimulatedFleet fleet(24, 5);
  fleet.settle();
  fleet.restless();
  fleet.link = [](int from, int to) { return from == 3 && to == 17 ? cut() : Link{}; };
  fleet.run_for(20s);
  fleet.link = nullptr;
  fleet.settle();
  EXPECT_TRUE(fleet.judge().agreed());
  EXPECT_EQ(fleet.end().removals, 0u);
  fleet.expect_good();
}

TEST(PeersTest, LossyMemberDoesNotRemoveOthers) {
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    SimulatedFleet fleet(24, seed);
    fleet.settle();
    fleet.restless();
    fleet.link = [](int from, int to) { return lossy(from == 9 || to == 9 ? 0.5 : 0); };
    fleet.run_for(60s);
    for (int i = 0; i < 24; ++i) {
      if (i == 9) continue;
      EXPECT_GE(fleet.core(i).in_force(), 23u) << i;
    }
    fleet.link = nullptr;
    fleet.settle();
    EXPECT_TRUE(fleet.judge().agreed());
    for (const std::string& fault : fleet.end().faults)
      if (fault.find("removes b009") == std::string::npos) ADD_FAILURE() << "seed " << seed << ": " << fault;
  }
}

TEST(PeersTest, ShortPauseRemovesNobodyAndLongPauseIsRecovered) {
  SimulatedFleet fleet(24, 11);
  fleet.settle();
  fleet.stop(4);
  fleet.run_for(500ms);
  fleet.resume(4);
  fleet.settle();
  EXPECT_EQ(fleet.end().removals, 0u);
  fleet.stop(4);
  fleet.run_for(10s);
  EXPECT_EQ(fleet.core(0).in_force(), 23u);
  fleet.core(0).publish(fleet.time_of(0), "while", "away");
  fleet.resume(4);
  EXPECT_GT(fleet.core(4).health(), 0) << "its own health score must rise";
  fleet.settle();
  EXPECT_TRUE(fleet.judge().agreed());
  EXPECT_EQ(fleet.seen(4, "b000").records.at("while").value, "away") << "published during the pause";
  fleet.expect_good();
}

TEST(PeersTest, RestartWithinHalfAPeriod) {
  SimulatedFleet fleet(24, 12);
  fleet.settle();
  fleet.kill(6);
  fleet.run_for(90ms);
  fleet.start(6);
  fleet.settle();
  EXPECT_TRUE(fleet.judge().agreed());
  EXPECT_EQ(fleet.end().removals, 0u);
  fleet.expect_good();
}

TEST(PeersTest, LeaveIsNotReportedAsACrash) {
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    SimulatedFleet fleet(24, seed);
    fleet.settle();
    fleet.restless();
    fleet.link = [](int, int) { return lossy(0.3); };
    for (int i = 0; i < 6; ++i) fleet.leave(4 * i);
    fleet.run_for(3s);
    for (int i = 1; i < 24; i += 4) {
      for (const auto& member : fleet.core(i).snapshot(fleet.time_of(i))->members)
        if (std::stoi(member.name.substr(1)) % 4 == 0) {
          EXPECT_EQ(member.state, peers::State::left) << member.name;
        }
    }
    fleet.link = nullptr;
    fleet.settle();
    EXPECT_TRUE(fleet.judge().agreed());
    fleet.expect_good();
  }
}

TEST(PeersTest, ThreeWayPartitionHealsInTwoSteps) {
  SimulatedFleet fleet(24, 13);
  fleet.settle();
  fleet.troubled();
  fleet.link = [](int from, int to) { return from % 3 == to % 3 ? Link{} : cut(); };
  fleet.run_for(10s);
  EXPECT_EQ(fleet.core(0).in_force(), 8u);
  fleet.link = [](int from, int to) { return (from % 3 == 2) == (to % 3 == 2) ? Link{} : cut(); };
  fleet.run_for(10s);
  EXPECT_EQ(fleet.core(0).in_force(), 16u);
  EXPECT_FALSE(fleet.core(0).smaller_part());
  EXPECT_EQ(fleet.core(2).in_force(), 8u);
  EXPECT_TRUE(fleet.core(2).smaller_part());
  fleet.link = nullptr;
  fleet.settle();
  EXPECT_TRUE(fleet.judge().agreed());
  fleet.expect_good();
}

// The seeds are replaced during the partition: nothing listens at the configured addresses.
TEST(PeersTest, HourLongPartitionWithAllSeedsReplacedHeals) {
  SimulatedFleet fleet(12, 14);
  fleet.settle();
  fleet.troubled();
  auto side = [](int broker) { return broker % 2; };
  fleet.link = [&](int from, int to) { return side(from) == side(to) ? Link{} : cut(); };
  fleet.run_for(10min);
  for (int i = 0; i < 3; ++i) fleet.leave(i);
  fleet.run_for(1min);
  // The replacements know one member of their own side.
  for (int i = 0; i < 3; ++i) {
    fleet.start(i, 100 + i);
    fleet.core(i).set_discovered_seeds({fleet.address(6 + i)});
  }
  fleet.run_for(50min);
  EXPECT_LE(fleet.core(11).in_force(), 6u);
  fleet.link = nullptr;
  fleet.settle();
  EXPECT_TRUE(fleet.judge().agreed());
  EXPECT_EQ(fleet.core(11).in_force(), 12u);
  fleet.expect_good();
}

TEST(PeersTest, NameMovesToAnotherAddressAndAddressToAnotherName) {
  SimulatedFleet fleet(12, 15);
  fleet.settle();
  fleet.kill(3);
  fleet.run_for(100ms);
  fleet.start(3, 50);
  fleet.settle();
  EXPECT_TRUE(fleet.judge().agreed());
  EXPECT_EQ(fleet.seen(0, "b003").address, fleet.address(50));
  // Another name at the address of b005.
  fleet.kill(5);
  fleet.start(12, 5);
  fleet.run_for(190ms);  // before any probe of b005 can have failed
  bool suspect = false;
  for (const auto& member : fleet.core(0).snapshot(fleet.time_of(0))->members)
    if (member.name == "b005")
      suspect = member.state == peers::State::suspect || member.state == peers::State::gone;
  EXPECT_TRUE(suspect) << "its address is another's";
  fleet.settle();
  EXPECT_TRUE(fleet.judge().agreed());
  EXPECT_EQ(fleet.core(0).in_force(), 12u);
  fleet.expect_good();
}

TEST(PeersTest, LaterNamesakeWinsAndTheOtherReturnsWhenTheNameIsFree) {
  SimulatedFleet fleet(8, 16);
  fleet.settle();
  fleet.keep_notes = true;
  const std::uint64_t first_run = fleet.core(2).self().run;
  fleet.start_as(8, "b002", first_run + 1000);
  fleet.run_for(5s);
  EXPECT_TRUE(fleet.core(2).yields());
  EXPECT_FALSE(fleet.core(8).yields());
  EXPECT_GT(fleet.core(8).counters().namesakes, 0u) << "both must notice the other";
  EXPECT_EQ(fleet.core(0).in_force(), 8u);
  EXPECT_EQ(fleet.seen(0, "b002").address, fleet.address(8));
  fleet.kill(8);
  fleet.run_for(15s);
  EXPECT_FALSE(fleet.core(2).yields());
  EXPECT_EQ(fleet.core(0).in_force(), 8u);
  EXPECT_GT(fleet.core(2).self().run, first_run + 1000);
}

// A clock that went back at a restart yields a lower run: the broker learns of its earlier process and
// takes a run above it.
TEST(PeersTest, RestartAfterTheClockWentBack) {
  for (int place : {4, 60}) {
    SimulatedFleet fleet(12, 17);
    fleet.settle();
    const std::uint64_t run = fleet.core(4).self().run;
    fleet.kill(4);
    fleet.run_for(place == 4 ? 100ms : 5s);
    fleet.start(4, place);
    fleet.kill(4);
    fleet.start_as(4, "b004", run - 500);
    fleet.run_for(10s);
    EXPECT_GT(fleet.core(4).self().run, run);
    EXPECT_EQ(fleet.core(0).in_force(), 12u) << place;
    EXPECT_EQ(fleet.core(0).digest(), fleet.core(4).digest());
  }
}

TEST(PeersTest, ClockOffsetsAndJumpsAreTolerated) {
  SimulatedFleet fleet(12, 18);
  double jump = 0;
  fleet.clock_ahead = [&](int broker) { return Duration(3600.0 * broker + (broker == 5 ? jump : 0)); };
  // Restarted, as the brokers were created before their clocks were set.
  for (int i = 0; i < 12; ++i) {
    fleet.kill(i);
    fleet.start(i);
  }
  fleet.settle();
  EXPECT_TRUE(fleet.judge().agreed());
  fleet.restless();
  jump = 2;
  fleet.run_for(1s);
  EXPECT_GT(fleet.core(5).counters().held_up, 0u) << "a clock jump looks like a stall";
  fleet.settle();
  EXPECT_TRUE(fleet.judge().agreed());
  EXPECT_EQ(fleet.end().removals, 0u);
}

TEST(PeersTest, FortyPercentLossDegradesAndRecovers) {
  SimulatedFleet fleet(24, 19);
  fleet.settle();
  fleet.troubled();
  fleet.link = [](int, int) { return lossy(0.4); };
  fleet.run_for(120s);
  std::size_t least = 24;
  for (int i = 0; i < 24; ++i) least = std::min(least, fleet.core(i).in_force());
  EXPECT_GE(least, 12u) << "every broker must hold at least half of the fleet";
  fleet.link = nullptr;
  fleet.settle();
  EXPECT_TRUE(fleet.judge().agreed());
  fleet.expect_good();
}

TEST(PeersTest, RecordChanged1000TimesASecondReachesAllWithinTheGossipRate) {
  SimulatedFleet fleet(12, 20);
  fleet.settle();
  const std::uint64_t before = fleet.core(0).counters().sent;
  for (int i = 0; i < 5000; ++i) {
    fleet.core(0).publish(fleet.time_of(0), "load", std::to_string(i));
    fleet.run_for(1ms);
  }
  // Two datagrams for each of four gossip ticks a period, beside the probes.
  EXPECT_LT(fleet.core(0).counters().sent - before, 5 * 5 * (4 * 2 + 8));
  fleet.run_for(2s);
  for (int i = 1; i < 12; ++i) EXPECT_EQ(fleet.seen(i, "b000").records.at("load").value, "4999") << i;
}

TEST(PeersTest, RecordsAreBoundedAndRemovedWithTheirOwner) {
  SimulatedFleet fleet(6, 21);
  fleet.settle();
  EXPECT_FALSE(fleet.core(0).publish(fleet.time_of(0), "k", std::string(257, 'x')));
  EXPECT_FALSE(fleet.core(0).publish(fleet.time_of(0), std::string(33, 'k'), "x"));
  for (int i = 0; i < 4; ++i)
    EXPECT_TRUE(fleet.core(0).publish(fleet.time_of(0), "k" + std::to_string(i), std::string(240, 'x')));
  EXPECT_FALSE(fleet.core(0).publish(fleet.time_of(0), "more", std::string(100, 'x'))) << "1 KiB in all";
  EXPECT_TRUE(fleet.core(0).publish(fleet.time_of(0), "k0", "new"));
  fleet.run_for(5s);
  auto records_at = [&](int broker) {
    for (const auto& member : fleet.core(broker).snapshot(fleet.time_of(broker))->members)
      if (member.name == "b000") return member.records;
    return peers::RecordMap{};
  };
  for (int i = 1; i < 6; ++i) {
    EXPECT_EQ(records_at(i).size(), 4u) << i;
    EXPECT_EQ(records_at(i).at("k0").value, "new");
    EXPECT_EQ(records_at(i).at("k3").value.size(), 240u);
  }
  fleet.kill(0);
  fleet.run_for(10s);
  for (int i = 1; i < 6; ++i) EXPECT_TRUE(records_at(i).empty());
}

// With many short-lived names, gone members must neither fill the table nor circulate forever among joining
// members.
TEST(PeersTest, ShortLivedNamesLeaveRoomForLiveMembers) {
  peers::Options small = options();
  small.max_members = 12;
  small.remember_gone = 100s;
  SimulatedFleet fleet(4, 30, small);
  fleet.settle();
  for (int i = 4; i < 44; ++i) {
    fleet.start(i);
    fleet.run_for(1s);
    i % 2 == 0 ? fleet.kill(i) : fleet.leave(i);
    fleet.run_for(3s);
  }
  EXPECT_EQ(fleet.core(0).in_force(), 4u);
  EXPECT_LE(fleet.core(0).snapshot(fleet.time_of(0))->members.size(), 13u);
  fleet.start(50);
  fleet.run_for(2s);
  for (int i = 0; i < 4; ++i) EXPECT_EQ(fleet.core(i).in_force(), 5u) << i;
  // Each joining member learns of the gone ones from the one before; they must be forgotten in time
  // nevertheless.
  for (int i = 60; i < 68; ++i) {
    fleet.start(i);
    fleet.run_for(25s);
    fleet.leave(i);
    fleet.run_for(5s);
  }
  for (const peers::MemberView& member : fleet.core(0).snapshot(fleet.time_of(0))->members)
    EXPECT_TRUE(member.name < "b004" || member.name >= "b050") << member.name;
}

TEST(PeersTest, OversizedRecordsAreRejectedWhole) {
  peers::RecordMap held = {{"a", {std::string(250, 'x'), 1}}};
  const peers::RecordMap before = held;
  peers::wire::Shelf heard;
  for (int i = 0; i < 5; ++i) {
    peers::wire::Record& record = *heard.add_records();
    record.set_key("k" + std::to_string(i));
    record.set_value(std::string(200, 'y'));
    record.set_version(2);
  }
  bool changed = false;
  EXPECT_FALSE(peers::merge_records(held, heard, changed));
  EXPECT_EQ(held, before);
  heard.mutable_records()->DeleteSubrange(2, 3);
  EXPECT_TRUE(peers::merge_records(held, heard, changed));
  EXPECT_TRUE(changed);
  EXPECT_EQ(held.size(), 3u);
}

TEST(PeersTest, LateJoinerLearnsAllRecords) {
  SimulatedFleet fleet(8, 22);
  fleet.settle();
  for (int i = 0; i < 8; ++i) {
    for (int k = 0; k < 4; ++k)
      fleet.core(i).publish(fleet.time_of(i), "key" + std::to_string(k),
                            std::string(200, static_cast<char>('a' + i)));
  }
  fleet.run_for(20s);
  fleet.start(8);
  fleet.run_for(5s);
  std::size_t records = 0;
  for (const auto& member : fleet.core(8).snapshot(fleet.time_of(8))->members)
    records += member.records.size();
  EXPECT_EQ(records, 32u);
}

// Every recorded datagram is replayed much later to its receiver, from its original source.
TEST(PeersTest, ReplayedDatagramsChangeNothing) {
  SimulatedFleet fleet(8, 23);
  struct Sent {
    int from;
    pearspar::net::Address to;
    std::string bytes;
  };
  std::vector<Sent> all;
  fleet.tap = [&](int from, const pearspar::net::Address& to, const std::string& bytes) {
    if (all.size() < 20000) all.push_back({from, to, bytes});
  };
  fleet.settle();
  fleet.tap = nullptr;
  fleet.kill(7);
  fleet.leave(6);
  fleet.run_for(15s);
  for (int i = 0; i < 6; ++i) ASSERT_EQ(fleet.core(i).in_force(), 6u);
  fleet.calm();
  fleet.run_for(100ms);
  for (const Sent& each : all)
    for (int to = 0; to < 6; ++to)
      if (each.to == fleet.address(to)) fleet.inject(fleet.address(each.from), to, each.bytes);
  fleet.run_for(15s);
  std::uint64_t repeated = 0;
  for (int i = 0; i < 6; ++i) {
    EXPECT_EQ(fleet.core(i).in_force(), 6u);
    repeated += fleet.core(i).counters().repeated;
  }
  EXPECT_GT(repeated, 100u);
  fleet.expect_good();
}

TEST(PeersTest, InvalidDatagramsAreCountedByCauseAndNeverAmplified) {
  SimulatedFleet fleet(4, 24);
  fleet.settle();
  const pearspar::net::Address stranger{0x0a0000fe, 7000};
  std::size_t in = 0, out = 0;
  fleet.tap = [&](int, const pearspar::net::Address& to, const std::string& bytes) {
    if (to == stranger) out += bytes.size();
  };
  auto send = [&](std::string bytes) {
    in += bytes.size();
    const std::size_t before = out;
    const std::size_t size = bytes.size();
    fleet.inject(stranger, 0, std::move(bytes));
    fleet.run_for(1ms);
    EXPECT_LE(out - before, size);
  };
  peers::wire::Body body;
  body.set_name("nobody");
  body.set_run(5);
  body.set_host(stranger.host);
  body.set_port(stranger.port);
  body.mutable_ping()->set_probe(1);
  const peers::Counters before = fleet.core(0).counters();
  const std::string good = peers::DatagramCodec("test").encode(body);
  for (int i = 0; i < 100; ++i) send(peers::DatagramCodec("fleet" + std::to_string(i)).encode(body));
  EXPECT_EQ(fleet.core(0).counters().foreign - before.foreign, 100u);
  send(good);
  EXPECT_EQ(fleet.core(0).counters().unproven - before.unproven, 1u);
  body.mutable_padding()->resize(300);
  send(peers::DatagramCodec("test").encode(body));
  EXPECT_GT(out, 0u) << "a padded ping must be answered";
  std::string spoilt = good;
  spoilt[spoilt.size() / 2] ^= 1;
  send(spoilt);
  send(std::string(2000, 'x'));
  send("\xff\xff\xff");
  EXPECT_EQ(fleet.core(0).counters().oversized - before.oversized, 1u);
  EXPECT_GE(fleet.core(0).counters().malformed - before.malformed, 1u);
  peers::wire::Envelope later;
  later.set_fleet("test");
  later.set_format(peers::wire_format + 1);
  later.set_body("whatever it may be");
  send(later.SerializeAsString());
  EXPECT_EQ(fleet.core(0).counters().other_format - before.other_format, 1u);
  // A body whose address differs from the datagram's source.
  body.set_host(stranger.host + 1);
  send(peers::DatagramCodec("test").encode(body));
  EXPECT_EQ(fleet.core(0).counters().wrong_source - before.wrong_source, 1u);
  // News from an unverified address is ignored.
  body.set_host(stranger.host);
  peers::wire::News& news = *body.add_news();
  news.set_name("b001");
  news.set_run(fleet.core(1).self().run);
  news.set_incarnation(2);
  news.set_verdict(peers::wire::GONE);
  peers::wire::News& own = *body.add_news();
  own.set_name("nobody");
  own.set_run(5);
  own.set_incarnation(1);
  peers::wire::Word word;
  word.set_host(stranger.host);
  word.set_port(stranger.port);
  word.set_phase(peers::wire::ALIVE);
  word.SerializeToString(own.mutable_word());
  const std::uint64_t refuted = fleet.core(1).counters().refuted;
  send(peers::DatagramCodec("test").encode(body));
  fleet.run_for(1s);
  EXPECT_EQ(fleet.core(0).in_force(), 4u);
  EXPECT_EQ(fleet.core(1).counters().refuted, refuted) << "no member may be suspected because of it";
  // A flood is limited to the rate for unverified addresses.
  for (int i = 0; i < 2000; ++i) fleet.inject(stranger, 0, good);
  fleet.run_for(10ms);
  EXPECT_GT(fleet.core(0).counters().too_many, 1000u);
  fleet.run_for(5s);
  EXPECT_EQ(fleet.core(0).in_force(), 4u);
}

TEST(PeersTest, ByteBudgetIsKept) {
  constexpr double budget = 15'000;  // the lowest value accepted at this period
  peers::Options tight = options();
  tight.bytes_per_s = static_cast<std::size_t>(budget);
  SimulatedFleet fleet(24, 25, tight);
  std::map<int, double> bytes;
  fleet.tap = [&](int from, const pearspar::net::Address&, const std::string& datagram) {
    bytes[from] += static_cast<double>(datagram.size());
  };
  const double from = fleet.now();
  fleet.run_for(10s);
  for (int i = 0; i < 24; i += 2) fleet.kill(i);
  for (int i = 0; i < 400; ++i) {
    for (int k = 1; k < 24; k += 2)
      fleet.core(k).publish(fleet.time_of(k), "load", std::string(250, static_cast<char>('a' + i % 26)));
    fleet.run_for(25ms);
  }
  std::uint64_t unpaid = 0;
  for (int k = 1; k < 24; k += 2) unpaid += fleet.core(k).counters().unpaid;
  EXPECT_GT(unpaid, 0u) << "the budget was never exhausted";
  // The bucket holds one second's worth, and probes and answers may overdraw it by one more.
  for (const auto& [broker, sent] : bytes) EXPECT_LT(sent, budget * (fleet.now() - from + 2)) << broker;
  for (int k = 1; k < 24; k += 2) EXPECT_EQ(fleet.core(k).in_force(), 12u);
}

// Unknown fields of a later version's word are passed on unchanged.
TEST(PeersTest, UnknownFieldsOfAWordArePassedOn) {
  SimulatedFleet fleet(3, 26);
  fleet.settle();
  peers::DatagramCodec codec("test");
  const pearspar::net::Address later{0x0a0000fd, 7000};
  std::uint64_t cookie = 0;
  std::string heard;
  fleet.tap = [&](int, const pearspar::net::Address& to, const std::string& bytes) {
    peers::wire::Body body;
    if (to == later && codec.decode(bytes, body) == peers::DecodeResult::good) cookie = body.cookie();
  };
  peers::wire::Word word;
  word.set_host(later.host);
  word.set_port(later.port);
  word.set_phase(peers::wire::ALIVE);
  word.GetReflection()->MutableUnknownFields(&word)->AddLengthDelimited(99, "a field of the future");
  auto send = [&](std::uint64_t number) {
    peers::wire::Body body;
    body.set_name("later");
    body.set_run(7);
    body.set_incarnation(1);
    body.set_host(later.host);
    body.set_port(later.port);
    body.set_number(number);
    body.set_echo(cookie);
    body.mutable_ping()->set_probe(number);
    body.mutable_padding()->resize(300);
    peers::wire::News& news = *body.add_news();
    news.set_name("later");
    news.set_run(7);
    news.set_incarnation(1);
    word.SerializeToString(news.mutable_word());
    body.GetReflection()->MutableUnknownFields(&body)->AddVarint(77, 1);
    fleet.inject(later, 0, codec.encode(body));
    fleet.run_for(5ms);
  };
  send(1);
  ASSERT_NE(cookie, 0u);
  fleet.tap = [&](int, const pearspar::net::Address&, const std::string& bytes) {
    peers::wire::Body body;
    if (codec.decode(bytes, body) != peers::DecodeResult::good) return;
    for (const auto& news : body.news())
      if (news.name() == "later" && !news.word().empty()) heard = news.word();
  };
  send(2);
  fleet.run_for(200ms);
  EXPECT_EQ(fleet.core(2).in_force(), 4u) << "must be learned by gossip";
  EXPECT_EQ(heard, word.SerializeAsString());
}

// Paused for longer than the others remember, a process would bring back members that have crashed
// meanwhile.
TEST(PeersTest, LongPausedMemberResetsItsMembership) {
  peers::Options brief = options();
  brief.remember_gone = 60s;
  SimulatedFleet fleet(8, 27, brief);
  fleet.settle();
  fleet.stop(4);
  fleet.run_for(10s);
  fleet.kill(5);
  fleet.run_for(200s);
  for (const auto& member : fleet.core(0).snapshot(fleet.time_of(0))->members) EXPECT_NE(member.name, "b005");
  fleet.resume(4);
  EXPECT_EQ(fleet.core(4).counters().startovers, 1u);
  fleet.settle();
  EXPECT_TRUE(fleet.judge().agreed());
  EXPECT_EQ(fleet.core(0).in_force(), 7u);
  EXPECT_EQ(fleet.core(4).in_force(), 7u);
}

TEST(PeersTest, SnapshotIsImmutableAndItsNumberRises) {
  SimulatedFleet fleet(6, 28);
  fleet.settle();
  const auto first = fleet.core(0).snapshot(fleet.time_of(0));
  EXPECT_EQ(first, fleet.core(0).snapshot(fleet.time_of(0))) << "nothing changed";
  EXPECT_TRUE(first->settled);
  EXPECT_FALSE(first->smaller_part);
  fleet.kill(3);
  fleet.run_for(5s);
  const auto second = fleet.core(0).snapshot(fleet.time_of(0));
  EXPECT_GT(second->number, first->number);
  EXPECT_EQ(second->in_force, 5u);
  EXPECT_EQ(first->in_force, 6u) << "a published snapshot must not change";
  EXPECT_EQ(first->members.size(), 6u);
  ASSERT_EQ(second->members.size(), 6u);
  EXPECT_EQ(second->members[3].state, peers::State::gone);
  for (int i = 1; i < 6; ++i)
    if (i != 3) {
      EXPECT_EQ(fleet.core(i).snapshot(fleet.time_of(i))->digest, second->digest);
    }
}

TEST(PeersTest, SameSeedGivesTheSameRun) {
  auto play = [](std::uint64_t seed) {
    SimulatedFleet fleet(12, seed);
    fleet.link = [](int, int) { return lossy(0.1); };
    fleet.run_for(20s);
    fleet.kill(2);
    fleet.run_for(5s);
    std::vector<std::uint64_t> all;
    for (int i = 0; i < 12; ++i)
      if (i != 2) all.insert(all.end(), {fleet.core(i).digest(), fleet.core(i).counters().sent_bytes});
    return all;
  };
  EXPECT_EQ(play(1), play(1));
  EXPECT_NE(play(1), play(2));
}

TEST(PeersTest, FleetOf300SettlesAndDetectsACrash) {
  SimulatedFleet fleet(300, 29);
  fleet.settle();
  EXPECT_TRUE(fleet.judge().agreed());
  fleet.kill(100);
  fleet.settle();
  EXPECT_TRUE(fleet.judge().agreed());
  fleet.expect_good();
}

}  // namespace
