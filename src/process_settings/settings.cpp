#include "process_settings/settings.h"

#include <fcntl.h>
#include <unistd.h>

#define TOML_EXCEPTIONS 0
#include <toml++/toml.h>

#include <sstream>

namespace pearspar::process_settings {
namespace {

// Reads the fields of a table and records the first error with its position.
class TableReader {
 public:
  TableReader(const toml::table& table, std::string prefix, std::string name, std::string& fault)
      : table_(table), prefix_(std::move(prefix)), name_(std::move(name)), fault_(fault) {}

  template <typename T>
  void read(const char* key, T& value, bool required = false) {
    const toml::node* node = table_.get(key);
    if (!node) {
      if (required) fail(key, table_, "is missing");
      return;
    }
    if constexpr (std::is_same_v<T, double>) {
      // Integers are accepted as well.
      if (auto found = node->value<double>())
        value = *found;
      else
        fail(key, *node, "is no number");
    } else if constexpr (std::is_same_v<T, int>) {
      auto found = node->value_exact<std::int64_t>();
      if (found && *found >= 0 && *found <= 1'000'000'000)
        value = static_cast<int>(*found);
      else
        fail(key, *node, "is no whole number in range");
    } else {
      if (auto found = node->value_exact<T>())
        value = *found;
      else
        fail(key, *node, std::is_same_v<T, bool> ? "is neither true nor false" : "is no text");
    }
  }
  void read_texts(const char* key, std::vector<std::string>& values) {
    const toml::node* node = table_.get(key);
    if (!node) return;
    const toml::array* array = node->as_array();
    if (!array) return fail(key, *node, "is no list");
    values.clear();
    for (const toml::node& item : *array) {
      auto text = item.value_exact<std::string>();
      if (!text) return fail(key, item, "holds something that is no text");
      values.push_back(*text);
    }
  }
  const toml::table* table(const char* key) {
    const toml::node* node = table_.get(key);
    if (node && !node->as_table()) fail(key, *node, "is no table");
    return node ? node->as_table() : nullptr;
  }
  void fail(const char* key, const toml::node& node, const std::string& problem) {
    if (!fault_.empty()) return;
    std::ostringstream out;
    out << name_ << ":" << node.source().begin.line << ":" << node.source().begin.column << ": " << prefix_
        << key << ": " << problem;
    fault_ = out.str();
  }

 private:
  const toml::table& table_;
  std::string prefix_;
  std::string name_;
  std::string& fault_;
};

}  // namespace

std::vector<std::string> Settings::inner_seeds() const {
  std::vector<std::string> inner;
  for (const std::string& seed : seeds)
    inner.push_back(seed.substr(0, seed.rfind(':')) + ":" + std::to_string(first_inner_port));
  return inner;
}

// Uses system calls: with a C stream, a failed allocation would look like a file that cannot be opened.
SettingsResult read_settings(const std::string& path) {
  SettingsResult result;
  const int file = ::open(path.c_str(), O_RDONLY | O_CLOEXEC);
  if (file < 0) {
    result.fault = path + ": cannot be opened";
    return result;
  }
  std::string text;
  char chunk[4096];
  ssize_t bytes_read = 0;
  while ((bytes_read = ::read(file, chunk, sizeof chunk)) > 0)
    text.append(chunk, static_cast<std::size_t>(bytes_read));
  ::close(file);
  if (bytes_read < 0) {
    result.fault = path + ": cannot be read";
    return result;
  }
  return read_settings_text(text, path);
}

SettingsResult read_settings_text(std::string_view text, const std::string& name) {
  SettingsResult result;
  toml::parse_result parsed = toml::parse(text, name);
  if (!parsed) {
    const auto& error = parsed.error();
    std::ostringstream out;
    out << name << ":" << error.source().begin.line << ":" << error.source().begin.column << ": "
        << error.description();
    result.fault = out.str();
    return result;
  }
  const toml::table& root = parsed.table();
  Settings& settings = result.settings;
  TableReader root_reader(root, "", name, result.fault);
  root_reader.read("nodeName", settings.node_name, true);
  root_reader.read("role", settings.role);
  root_reader.read("ipAddress", settings.ip_address, true);
  root_reader.read("zoneName", settings.zone);
  root_reader.read_texts("seedNodes", settings.seeds);
  root_reader.read("firstStart", settings.first_start);
  root_reader.read("counted", settings.counted);
  root_reader.read("dataDir", settings.data_dir);
  root_reader.read("beatMs", settings.heartbeat_interval_ms);
  if (const toml::node* ports = root.get("innerPortRange")) {
    const toml::array* range = ports->as_array();
    auto first = range && range->size() == 2 ? range->get(0)->value_exact<std::int64_t>() : std::nullopt;
    auto last = range && range->size() == 2 ? range->get(1)->value_exact<std::int64_t>() : std::nullopt;
    if (first && last && *first > 0 && *first <= *last && *last < 65536) {
      settings.first_inner_port = static_cast<int>(*first);
      settings.last_inner_port = static_cast<int>(*last);
    } else {
      root_reader.fail("innerPortRange", *ports, "is no pair of ports");
    }
  } else {
    root_reader.fail("innerPortRange", root, "is missing");
  }
  auto read_table = [&](const char* key, auto read_fields) {
    if (const toml::table* table = root_reader.table(key)) {
      TableReader reader(*table, std::string(key) + ".", name, result.fault);
      read_fields(reader);
    }
  };
  read_table("listenAddrs", [&](TableReader& listen) {
    listen.read("frontDoor", settings.client_listen_address);
    listen.read("readyCheck", settings.readiness_listen_address);
    listen.read("controlPort", settings.control_listen_address);
  });
  read_table("limits", [&](TableReader& limits) {
    limits.read("memoryMb", settings.memory_limit_mb);
    limits.read("fileLimit", settings.open_file_limit);
  });
  read_table("ruleBounds", [&](TableReader& bounds) {
    bounds.read("inTouchMs", settings.in_touch_ms);
    bounds.read("drainMs", settings.drain_ms);
    bounds.read("configWithinMs", settings.config_within_ms);
    bounds.read("gracePeriodS", settings.shutdown_grace_s);
    bounds.read("retryRatio", settings.retry_ratio);
    bounds.read("retryWindowS", settings.retry_window_s);
    bounds.read("retrySlack", settings.retry_slack);
    bounds.read("ackWithinMs", settings.acknowledge_within_ms);
    bounds.read("exposureShare", settings.exposure_share);
    bounds.read("exposureSlack", settings.exposure_slack);
  });
  return result;
}

}  // namespace pearspar::process_settings
