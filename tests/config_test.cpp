#include "config/config.h"

#include <gtest/gtest.h>

#include "config_text.h"

namespace pearspar::config {
namespace {

using peers::ConfigText;

std::string replaced(std::string text, const std::string& what, const std::string& by) {
  std::size_t at = text.find(what);
  EXPECT_NE(at, std::string::npos) << what;
  return text.replace(at, what.size(), by);
}

std::string config_error(const std::string& text) {
  try {
    read_config(text);
  } catch (const ConfigError& error) {
    return error.what();
  }
  return "";
}

TEST(Config, ValidConfigurationIsRead) {
  ConfigText text;
  text.known =
      peers::list_text(41, true, peers::member_text("s-1", "10.1.0.18:3000", 3, "draining", "1700000000000"));
  Config config = read_config(text.text());
  EXPECT_EQ(config.name, "n3");
  EXPECT_EQ(config.listen.text(), "127.0.0.1:0");
  EXPECT_EQ(config.seed, 0x8c1f30d27a5be964u);
  EXPECT_EQ(config.max_sockets, 1024);
  ASSERT_EQ(config.known.entries.size(), 1u);
  EXPECT_EQ(config.known.revision, 41);
  EXPECT_EQ(config.known.entries[0].address.text(), "10.1.0.18:3000");
  EXPECT_EQ(config.known.entries[0].phase, discovery::Phase::draining);
  EXPECT_EQ(config.known.entries[0].up_since_ms, 1700000000000.0);
  ASSERT_EQ(config.policy.classes.size(), 2u);
  EXPECT_EQ(config.policy.classes[1].name, "fetch");
  EXPECT_EQ(config.policy.classes[0].min_coverage, 0.4);
  EXPECT_EQ(config.policy.classes[0].latency_target, Duration(2.0));
  ASSERT_EQ(config.policy.tenants.size(), 2u);
  EXPECT_EQ(config.policy.tenants[1].quota_per_s, 50);
  EXPECT_EQ(config.policy.max_open, 200);
  EXPECT_EQ(config.policy.min_batch_interval, Duration(0.005));
  EXPECT_EQ(config.policy.report_source, ReportSource::pull);
  EXPECT_EQ(config.broker.zones, (std::vector<std::string>{"a", "b"}));
  EXPECT_EQ(config.broker.kinds, (std::vector<std::string>{"m1", "m2"}));
  EXPECT_EQ(config.broker.calls_per_connection, 32);
}

TEST(Config, RestartRequiredChangesAreListed) {
  ConfigText text;
  Config now = read_config(text.text());
  EXPECT_TRUE(restart_required_changes(now, read_config(text.text())).empty());
  text.discovery = "127.0.0.1:2";
  text.known = peers::list_text(41, true, "");
  EXPECT_TRUE(restart_required_changes(now, read_config(text.text())).empty());
  text.max_open = "201";
  text.listen = "127.0.0.1:7";
  text.limits = R"({"sockets":256,"memory_mb":128})";
  EXPECT_EQ(
      restart_required_changes(now, read_config(text.text())),
      (std::vector<std::string>{"listen", "limits.sockets", "limits.memory_mb", "settings.limits.max_open"}));
}

// Settings must have the same effect in line form and in JSON.
TEST(Config, LineAndJsonSettingsAreEquivalent) {
  Settings json = read_config(ConfigText().text()).policy;
  Settings lines = settings::read_settings(settings::values_of_lines(
      "balancers=2\ncallers.marks_retry=true\nclasses.count=1\nclasses.0.aim_s=2.0\nclasses.0.effect="
      "retryable\n"
      "classes.0.give_up_s=4.0\nclasses.0.late_worth=0.3\nclasses.0.name=search\nclasses.0.worth=5.0\n"
      "counted_by=request\nlimits.cancel=true\nlimits.max_open=200\nlimits.peers=false\nlimits.probes=true\n"
      "limits.retry_after=true\nlimits.second_copies=true\nlimits.try_limit=4\nme=0\nregistry_mode=push\n"
      "safety.fall_multiple=2.0\nsafety.fall_s=3.0\nsafety.start_capacity=0.23\nsafety.warm_within_s=16.0\n"
      "specifics.class_floor=0.4\nspecifics.class_partial=0.95\nspecifics.fetch_parts=0\nspecifics.in_a_row="
      "1\n"
      "specifics.parts_a_call=1\nspecifics.sets=2\nspecifics.slabs=16\nspecifics.whole_at=1.0\n"
      "stats.fields=throughput\nstats.source=pull\nweights=silent\nzone=0\n"));
  EXPECT_EQ(json.classes[0].name, lines.classes[0].name);
  EXPECT_EQ(json.classes[0].min_coverage, lines.classes[0].min_coverage);
  EXPECT_EQ(json.clients_mark_retries, lines.clients_mark_retries);
  EXPECT_EQ(json.max_open, lines.max_open);
  EXPECT_EQ(json.cells, lines.cells);
  EXPECT_EQ(json.report_fields, lines.report_fields);
  EXPECT_EQ(json.has_retry_budget, lines.has_retry_budget);
}

TEST(Config, InvalidKeyIsNamed) {
  const std::string valid = ConfigText().text();
  ASSERT_EQ(config_error(valid), "");
  struct Case {
    const char* original;
    const char* replacement;
    const char* message;
  };
  for (const Case& c : std::vector<Case>{
           {"\"name\":\"n3\",", "", "name is missing"},
           {"\"name\":\"n3\"", "\"name\":3", "name is not a string"},
           {"127.0.0.1:0", "localhost", "listen is not an address"},
           {"127.0.0.1:1\"", "127.0.0.1:99999\"", "discovery is not an address"},
           {"8c1f30d27a5be964", "xyz", "seed is not"},
           {"\"sockets\":1024", "\"sockets\":3", "limits.sockets is below"},
           {"\"sockets\":1024", "\"sockets\":\"x\"", "limits.sockets is not"},
           {"\"memory_mb\":192", "\"memory_mb\":3", "limits.memory_mb is below"},
           {"\"memory_mb\":192", "\"memory_mb\":1.5", "limits.memory_mb is not"},
           {"\"revision\":1,", "", "known: revision"},
           {"\"aim_s\":2.0", "\"aim_s\":\"2.0\"", "classes.0.aim_s is not a number"},
           {"\"aim_s\":1.5,", "", "classes.1.aim_s is missing"},
           {"\"effect\":\"retryable\"", "\"effect\":\"odd\"", "classes.0.effect has an unknown value"},
           {"\"cancel\":true", "\"cancel\":1", "limits.cancel is not true or false"},
           {"\"max_open\":200", "\"max_open\":0", "limits.max_open is not from 1"},
           {"\"max_open\":200", "\"max_open\":2.5", "limits.max_open is not a whole number"},
           {"\"max_streams\":32", "\"max_streams\":0", "limits.max_streams is below 1"},
           {"\"idle_close_s\":15.0", "\"idle_close_s\":0", "limits.idle_close_s is not above 0"},
           {"\"connect_timeout_s\":0.25", "\"connect_timeout_s\":0",
            "limits.connect_timeout_s is not above 0"},
           {"\"try_limit\":4", "\"try_limit\":0", "limits.try_limit is below 1"},
           {"\"class_floor\":[0.4,1.0]", "\"class_floor\":[0.4]", "specifics.class_floor is too short"},
           {"\"class_floor\":[0.4,1.0]", "\"class_floor\":[0.4,[]]",
            "specifics.class_floor is a list of unlike"},
           {"\"fetch_parts\":[0,0]", "\"fetch_parts\":[0,2]", "specifics.fetch_parts asks for a second step"},
           {"\"slabs\":16", "\"slabs\":0", "specifics.slabs is below 1"},
           {"\"settings\":{", "\"other\":{", "settings is missing"}})
    EXPECT_NE(config_error(replaced(valid, c.original, c.replacement)).find(c.message), std::string::npos)
        << c.original << " -> " << c.replacement << ": "
        << config_error(replaced(valid, c.original, c.replacement));
  EXPECT_NE(config_error("{"), "");
  EXPECT_NE(config_error("[]"), "");
  EXPECT_THROW(read_config_file("/nonexistent/config.json"), ConfigError);
}

TEST(Config, AbsentValuesUseDefaults) {
  ConfigText text;
  text.limits = "{}";
  text.known = "null";
  Config config = read_config(text.text());
  EXPECT_EQ(config.max_sockets, 1024);
  EXPECT_TRUE(config.known.entries.empty());
}

}  // namespace
}  // namespace pearspar::config
