#include "process_settings/settings.h"

#include <fcntl.h>
#include <unistd.h>

#define TOML_EXCEPTIONS 0
#include <toml++/toml.h>

#include <sstream>

namespace pearspar::process_settings {
namespace {

// Asks a table for keys, and keeps the first fault with its place.
class Reader {
 public:
  Reader(const toml::table& table, std::string prefix, std::string name, std::string& fault)
      : table_(table), prefix_(std::move(prefix)), name_(std::move(name)), fault_(fault) {}

  template <typename T>
  void read(const char* key, T& value, bool wanted = false) {
    const toml::node* node = table_.get(key);
    if (!node) {
      if (wanted) fail(key, table_, "is missing");
      return;
    }
    if constexpr (std::is_same_v<T, double>) {
      // A whole number will do for a fraction.
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
  void texts(const char* key, std::vector<std::string>& values) {
    const toml::node* node = table_.get(key);
    if (!node) return;
    const toml::array* array = node->as_array();
    if (!array) return fail(key, *node, "is no list");
    values.clear();
    for (const toml::node& each : *array) {
      auto text = each.value_exact<std::string>();
      if (!text) return fail(key, each, "holds something that is no text");
      values.push_back(*text);
    }
  }
  const toml::table* table(const char* key) {
    const toml::node* node = table_.get(key);
    if (node && !node->as_table()) fail(key, *node, "is no table");
    return node ? node->as_table() : nullptr;
  }
  void fail(const char* key, const toml::node& at, const std::string& what) {
    if (!fault_.empty()) return;
    std::ostringstream out;
    out << name_ << ":" << at.source().begin.line << ":" << at.source().begin.column << ": " << prefix_ << key
        << ": " << what;
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

// By system calls: a C stream that is refused its memory looks like a file that cannot be opened.
SettingsResult read_settings(const std::string& path) {
  SettingsResult read;
  const int file = ::open(path.c_str(), O_RDONLY | O_CLOEXEC);
  if (file < 0) {
    read.fault = path + ": cannot be opened";
    return read;
  }
  std::string text;
  char piece[4096];
  ssize_t got = 0;
  while ((got = ::read(file, piece, sizeof piece)) > 0) text.append(piece, static_cast<std::size_t>(got));
  ::close(file);
  if (got < 0) {
    read.fault = path + ": cannot be read";
    return read;
  }
  return read_settings_text(text, path);
}

SettingsResult read_settings_text(std::string_view text, const std::string& name) {
  SettingsResult read;
  toml::parse_result parsed = toml::parse(text, name);
  if (!parsed) {
    const auto& error = parsed.error();
    std::ostringstream out;
    out << name << ":" << error.source().begin.line << ":" << error.source().begin.column << ": "
        << error.description();
    read.fault = out.str();
    return read;
  }
  const toml::table& root = parsed.table();
  Settings& to = read.settings;
  Reader in(root, "", name, read.fault);
  in.read("nodeName", to.node_name, true);
  in.read("role", to.role);
  in.read("ipAddress", to.ip, true);
  in.read("zoneName", to.zone);
  in.texts("seedNodes", to.seeds);
  in.read("firstStart", to.first_start);
  in.read("counted", to.counted);
  in.read("dataDir", to.data_dir);
  in.read("beatMs", to.beat_ms);
  if (const toml::node* ports = root.get("innerPortRange")) {
    const toml::array* range = ports->as_array();
    auto first = range && range->size() == 2 ? range->get(0)->value_exact<std::int64_t>() : std::nullopt;
    auto last = range && range->size() == 2 ? range->get(1)->value_exact<std::int64_t>() : std::nullopt;
    if (first && last && *first > 0 && *first <= *last && *last < 65536) {
      to.first_inner_port = static_cast<int>(*first);
      to.last_inner_port = static_cast<int>(*last);
    } else {
      in.fail("innerPortRange", *ports, "is no pair of ports");
    }
  } else {
    in.fail("innerPortRange", root, "is missing");
  }
  auto inside = [&](const char* key, auto work) {
    if (const toml::table* table = in.table(key)) {
      Reader reader(*table, std::string(key) + ".", name, read.fault);
      work(reader);
    }
  };
  inside("listenAddrs", [&](Reader& listen) {
    listen.read("frontDoor", to.front_door);
    listen.read("readyCheck", to.ready_check);
    listen.read("controlPort", to.control_port);
  });
  inside("limits", [&](Reader& limits) {
    limits.read("memoryMb", to.memory_mb);
    limits.read("fileLimit", to.files);
  });
  inside("ruleBounds", [&](Reader& bounds) {
    bounds.read("inTouchMs", to.in_touch_ms);
    bounds.read("drainMs", to.drain_ms);
    bounds.read("gracePeriodS", to.grace_s);
    bounds.read("retryRatio", to.retry_ratio);
    bounds.read("retryWindowS", to.retry_window_s);
    bounds.read("retrySlack", to.retry_slack);
  });
  return read;
}

}  // namespace pearspar::process_settings
