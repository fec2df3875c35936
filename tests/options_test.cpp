#include "options/options.h"

#include <gtest/gtest.h>

#include <cstdio>

namespace pearspar::options {
namespace {

std::string errors_of(const std::string& text) {
  try {
    read_options(text, "f");
  } catch (const OptionsError& error) {
    return error.what();
  }
  return "";
}

const std::string etcd = R"(dialect: ETCD endpoints: "10.0.0.5:2379")";

std::string registry_of(const std::string& more) {
  return "membership { registry { " + etcd + " " + more + " } }";
}

TEST(Options, EmptyFileGivesDefaults) {
  Options options = read_options("# nothing\n", "f");
  EXPECT_EQ(options.membership, MembershipKind::agent);
  EXPECT_FALSE(options.registry);
  EXPECT_FALSE(options.registration);
}

TEST(Options, RegistryDefaults) {
  Options options = read_options(registry_of(R"(endpoints: "10.0.0.6:2379" look_every_ms: 1500)"), "f");
  ASSERT_EQ(options.membership, MembershipKind::registry);
  EXPECT_EQ(options.registry->endpoints.size(), 2u);
  EXPECT_EQ(options.registry->prefix, "/pearspar/nodes/");
  EXPECT_EQ(options.registry->follower.look_every, std::chrono::milliseconds(1500));
  EXPECT_EQ(options.registry->hold.above_share, 0);
}

TEST(Options, FixedMemberList) {
  Options options =
      read_options(R"(membership { fixed { nodes { id: "s-1" address: "10.0.0.1:3000" cell: 2 zone: "a" )"
                   R"(draining: true } } })",
                   "f");
  ASSERT_EQ(options.fixed.entries.size(), 1u);
  EXPECT_EQ(options.fixed.entries[0].phase, membership::Phase::draining);
  EXPECT_EQ(options.fixed.entries[0].size, 1);
  EXPECT_TRUE(options.fixed.complete);
}

// Each error must name its position and field.
TEST(Options, ErrorsNameFileLineAndField) {
  struct Case {
    std::string text, message;
  };
  const Case cases[] = {
      {"membership {\n  registry {\n    oddity: 1\n", "f:3:11: "},
      {"membership {\n", "f:2:1: "},
      {"membership { }", "f:1:1: membership: names no source"},
      {"membership { registry { endpoints: \"1.2.3.4:5\" } }", "membership.registry.dialect: is missing"},
      {"membership { registry { dialect: ETCD } }", "membership.registry.endpoints: is missing"},
      {registry_of("\nendpoints: 'nowhere'"),
       "f:2:1: membership.registry.endpoints[1]: 'nowhere' is no address"},
      {registry_of("endpoints: '10.0.0.5:2379'"), "endpoints[1]: 10.0.0.5:2379 is listed twice"},
      {registry_of("\n\nreply_timeout_ms: 5"),
       "f:3:1: membership.registry.reply_timeout_ms: 5 is not from 50 to 60000"},
      {registry_of("first_pause_ms: 500 longest_pause_ms: 100"), "longest_pause_ms: is below first_pause_ms"},
      {registry_of("poll_wait_ms: 500"), "poll_wait_ms: is for CONSUL only"},
      {registry_of("max_value_bytes: 100000 max_message_bytes: 100001"), "max_message_bytes: is below twice"},
      {registry_of("prefix: ''"), "prefix: is empty"},
      {registry_of("token_file: '/nowhere/at/all'"), "token_file: cannot open"},
      {registry_of("hold_removals { above_share: 1.5 for_ms: 1000 }"),
       "hold_removals.above_share: 1.5 is not between"},
      {registry_of("hold_removals { above_share: 0.5 }"), "hold_removals.for_ms: 0 is not from"},
      {registry_of("page_keys: -1"), "f:1:"},
      {"membership { registry { dialect: CONSUL endpoints: '1.2.3.4:5' prefix: '/a' } }",
       "begins with a slash"},
      {"membership { registry { dialect: CONSUL endpoints: '1.2.3.4:5' look_every_ms: 500 } }",
       "is for ETCD only"},
      {"membership { registry { dialect: CONSUL endpoints: '1.2.3.4:5' most_behind_ms: 500 } }",
       "consistency: STALE only"},
      {"membership { fixed { } }", "membership.fixed.nodes: is missing"},
      {"membership { fixed { nodes { id: 'a' address: '1.2.3.4:5' }\nnodes { id: 'a' address: '1.2.3.4:6' } "
       "} }",
       "f:2:9: membership.fixed.nodes[1].id: 'a' is listed twice"},
      {"membership { fixed { nodes { id: 'a' address: 'x' cell: 70000 } } }",
       "nodes[0].cell: 70000 is not from 0 to 65535"},
      {"registration { }", "registration.registry: is missing"},
      {registry_of("") + " registration { prefix: '/pearspar/' }", "overlap"},
      {registry_of("") + " registration { lease_s: 0 }", "registration.lease_s: 0 is not from 1 to 3600"},
      {"registration { registry { dialect: CONSUL endpoints: '1.2.3.4:5' } lease_s: 5 }",
       "5 is not from 10 to 3600"},
      {"log { lines_per_s: 0 }", "log.lines_per_s: 0 is not from 1"},
  };
  for (const Case& each : cases)
    EXPECT_NE(errors_of(each.text).find(each.message), std::string::npos)
        << each.text << "\n  " << errors_of(each.text);
}

TEST(Options, AllErrorsAreReportedTogether) {
  std::string all = errors_of(registry_of("reply_timeout_ms: 5 look_every_ms: 1 prefix: ''"));
  EXPECT_EQ(std::count(all.begin(), all.end(), '\n'), 2);
}

TEST(Options, ExampleFileIsValid) {
  Options options = read_options_file(PEARSPAR_ROOT "/deploy/options.example.textproto");
  EXPECT_EQ(options.membership, MembershipKind::registry);
  EXPECT_TRUE(options.registration);
  EXPECT_THROW(read_options_file("/nowhere/at/all"), OptionsError);
}

TEST(Options, TokenIsReadFromFile) {
  char path[] = "/tmp/pearspar-token-XXXXXX";
  int fd = ::mkstemp(path);
  ASSERT_EQ(::write(fd, "secret\n", 7), 7);
  ::close(fd);
  EXPECT_EQ(read_options(registry_of(std::string("token_file: '") + path + "'"), "f").registry->token,
            "secret");
  std::remove(path);
}

}  // namespace
}  // namespace pearspar::options
