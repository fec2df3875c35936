// The fleet's view in simulated time: every hard case is caused here, and the judge, which shares no code
// with the protocol, says whether a guarantee broke.
#include <fmt/format.h>
#include <gtest/gtest.h>

#include <algorithm>
#include <set>

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

class FleetOf : public Network {
 public:
  FleetOf(int size, std::uint64_t seed, peers::Options with = options())
      : Network(seed, seeded(std::move(with), size), judge::Terms{}) {
    for (int i = 0; i < size; ++i) start(i);
  }
  // Quiet until all agree.
  void settle() {
    calm();
    run_for(Duration(judge().settle_bound(static_cast<std::size_t>(size())) + 0.5));
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

TEST(PeersTest, AFleetStartedInOneInstantSettles) {
  for (int n : {1, 2, 3, 24}) {
    FleetOf fleet(n, 7);
    fleet.settle();
    EXPECT_TRUE(fleet.judge().agreed()) << n;
    for (int i = 0; i < n; ++i) EXPECT_EQ(fleet.core(i).in_force(), static_cast<std::size_t>(n));
    if (n > 1) fleet.expect_good();
  }
}

TEST(PeersTest, AThirdOf24KilledInOneMoment) {
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    FleetOf fleet(24, seed);
    fleet.settle();
    for (int i = 0; i < 8; ++i) fleet.kill(3 * i);
    fleet.settle();
    EXPECT_TRUE(fleet.judge().agreed());
    judge::Report report = fleet.end();
    EXPECT_EQ(report.detected.size(), 8u);
    std::sort(report.detected.begin(), report.detected.end());
    fmt::print("known after {:.2f} to {:.2f} s\n", report.detected.front(), report.detected.back());
    for (const std::string& fault : report.faults) ADD_FAILURE() << "seed " << seed << ": " << fault;
  }
}

TEST(PeersTest, HalfFromHalfFor10SecondsAndHealed) {
  for (std::uint64_t seed = 1; seed <= 5; ++seed) {
    FleetOf fleet(24, seed);
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
    fleet.link = nullptr;
    fleet.settle();
    EXPECT_TRUE(fleet.judge().agreed());
    judge::Report report = fleet.end();
    for (const std::string& fault : report.faults) ADD_FAILURE() << "seed " << seed << ": " << fault;
    ASSERT_FALSE(report.settled.empty());
    RecordProperty("settled", fmt::format("{}", report.settled.back()));
    fmt::print("healed in {:.2f} s\n", report.settled.back());
  }
}

TEST(PeersTest, TenPercentLossRemovesNobody) {
  FleetOf fleet(24, 3);
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

}  // namespace
