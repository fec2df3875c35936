#include "registry/registrar.h"

#include <gtest/gtest.h>

namespace pearspar::registry {
namespace {

using namespace std::chrono_literals;
using Kind = Registrar::Command::Kind;
using State = Registrar::State;

class RegistrarTest : public ::testing::Test {
 protected:
  // What it asks for now; nothing where it waits.
  std::optional<Kind> asked() {
    auto commands = registrar.take_commands();
    if (commands.empty()) return std::nullopt;
    EXPECT_EQ(commands.size(), 1u);
    endpoint = commands.back().endpoint;
    lease = commands.back().lease;
    return commands.back().kind;
  }
  std::optional<Kind> wait() {
    now = std::max(now, registrar.due());
    registrar.tick(now);
    return asked();
  }
  void keep() {
    registrar.start(now);
    ASSERT_EQ(asked(), Kind::grant);
    registrar.granted(now, "L1");
    ASSERT_EQ(asked(), Kind::put);
    EXPECT_EQ(lease, "L1");
    registrar.put_done(now, true);
    ASSERT_TRUE(registrar.registered());
  }

  Registrar registrar{2, Pacing{}, 6s, 600ms, 9};
  net::Time now{50s};
  int endpoint = -1;
  std::string lease;
};

TEST_F(RegistrarTest, RenewsThreeTimesALeaseAndLooksAtItsKeyEachTime) {
  keep();
  for (int i = 0; i < 5; ++i) {
    net::Time from = now;
    ASSERT_EQ(wait(), Kind::renew);
    EXPECT_EQ(now - from, net::Duration(2s));
    registrar.renewed(now, true);
    ASSERT_EQ(asked(), Kind::check);
    EXPECT_TRUE(registrar.registered());
    registrar.checked(now, true);
  }
  EXPECT_EQ(registrar.counters().renewals, 5u);
  EXPECT_EQ(registrar.counters().puts, 1u);
}

TEST_F(RegistrarTest, ALostKeyIsPutAgainAndALostLeaseIsAskedForAnew) {
  keep();
  wait();
  registrar.renewed(now, true);
  asked();
  registrar.checked(now, false);
  EXPECT_EQ(asked(), Kind::put);
  registrar.put_done(now, true);
  wait();
  registrar.renewed(now, false);
  EXPECT_EQ(asked(), Kind::grant);
  EXPECT_FALSE(registrar.registered());
  EXPECT_EQ(registrar.counters().lost, 2u);
}

// Two renewals may fail; once the lease must have run out, counted from before it was asked for, it is given
// up.
TEST_F(RegistrarTest, ALeaseThatMustHaveRunOutIsNotRenewed) {
  keep();
  net::Time granted = now;
  int renewals = 0;
  std::optional<Kind> kind;
  while ((kind = wait()) != Kind::grant) {
    if (kind == Kind::renew) ++renewals;
    ASSERT_LT(now, granted + 10s);
  }
  EXPECT_GE(renewals, 3);
  EXPECT_GE(now, granted + 6s);
  EXPECT_LT(now, granted + 7s);
}

TEST_F(RegistrarTest, AFailureTurnsToTheOtherEndpointAfterAPause) {
  registrar.start(now);
  asked();
  int first = endpoint;
  registrar.failed(now);
  EXPECT_FALSE(asked());
  ASSERT_EQ(wait(), Kind::grant);
  EXPECT_NE(endpoint, first);
}

TEST_F(RegistrarTest, AKeyThatAnotherHoldsIsTriedAgain) {
  registrar.start(now);
  asked();
  registrar.granted(now, "L1");
  asked();
  registrar.put_done(now, false);
  EXPECT_FALSE(registrar.registered());
  ASSERT_EQ(wait(), Kind::put);
  registrar.put_done(now, true);
  EXPECT_TRUE(registrar.registered());
}

TEST_F(RegistrarTest, AWithdrawalEndsInTimeWhoeverAnswers) {
  keep();
  registrar.withdraw(now, 500ms);
  EXPECT_EQ(asked(), Kind::revoke);
  registrar.failed(now);
  net::Time start = now;
  while (!registrar.done()) {
    wait();
    ASSERT_LT(now, start + 2s);
  }
  EXPECT_EQ(registrar.due(), net::Time::max());
  registrar.renewed(now, true);
  registrar.granted(now, "late");
  EXPECT_TRUE(registrar.done());
}

TEST_F(RegistrarTest, WhatComesTwiceOrLateChangesNothing) {
  keep();
  registrar.put_done(now, true);
  registrar.granted(now, "L2");
  registrar.checked(now, false);
  registrar.failed(now);
  EXPECT_FALSE(asked());
  EXPECT_EQ(registrar.state(), State::kept);
}

TEST_F(RegistrarTest, ANewValueIsPutUnderTheSameLease) {
  keep();
  registrar.value_changed(now);
  EXPECT_EQ(asked(), Kind::put);
  EXPECT_EQ(lease, "L1");
}

}  // namespace
}  // namespace pearspar::registry
