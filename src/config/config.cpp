#include "config/config.h"

#include <algorithm>
#include <charconv>
#include <cstdio>
#include <memory>

#include "json/json.h"

namespace pearspar::config {
namespace {

using json::Kind;
using settings::Form;

constexpr int default_sockets = 1024;
constexpr int min_sockets = 64;
constexpr int default_memory_mb = 192;
constexpr int min_memory_mb = 16;
constexpr std::size_t max_file_size_bytes = std::size_t{16} << 20;
constexpr int max_open_limit = 1 << 20;

[[noreturn]] void fail(const std::string& key, const std::string& what) {
  throw ConfigError("configuration: " + key + " " + what);
}

const json::Value& require_member(const json::Value& object, const std::string& key) {
  const json::Value* value = object.find(key);
  if (!value) fail(key, "is missing");
  return *value;
}

std::string require_text(const json::Value& object, const std::string& key) {
  auto text = require_member(object, key).text();
  if (!text) fail(key, "is not a string");
  if (text->empty()) fail(key, "is empty");
  return std::move(*text);
}

net::Address require_address(const json::Value& object, const std::string& key) {
  auto address = net::Address::parse(require_text(object, key));
  if (!address) fail(key, "is not an address with a port, like 127.0.0.1:3000");
  return *address;
}

Form form_of(Kind kind) {
  return kind == Kind::text ? Form::text : kind == Kind::boolean ? Form::flag : Form::number;
}

std::string scalar_text(const json::Value& value) {
  return value.is(Kind::text) ? *value.text() : std::string(value.raw);
}

// Flattens nested JSON into dotted paths, the form that the settings reader expects.
void flatten(const json::Value& value, const std::string& path, settings::Values& values) {
  if (value.is(Kind::object)) {
    for (const auto& [name, member] : value.members)
      flatten(member, path.empty() ? std::string(name) : path + "." + std::string(name), values);
    return;
  }
  if (value.is(Kind::null)) return;
  if (!value.is(Kind::array)) {
    values.set(path, scalar_text(value), form_of(value.kind));
    return;
  }
  bool holds_objects = !value.items.empty() && value.items.front().is(Kind::object);
  std::string joined;
  for (std::size_t i = 0; i < value.items.size(); ++i) {
    const json::Value& item = value.items[i];
    if (item.is(Kind::object) != holds_objects || item.is(Kind::array))
      fail("settings." + path, "is a list of unlike values");
    if (holds_objects)
      flatten(item, path + "." + std::to_string(i), values);
    else
      joined.append(i == 0 ? "" : ",").append(scalar_text(item));
  }
  if (holds_objects)
    values.set(path + ".count", std::to_string(value.items.size()), Form::number);
  else
    values.set(path, joined, Form::list);
}

std::uint64_t read_seed(const std::string& text) {
  std::uint64_t seed = 0;
  auto [stop, error] = std::from_chars(text.data(), text.data() + text.size(), seed, 16);
  if (error != std::errc() || stop != text.data() + text.size())
    fail("seed", "is not a number of hex digits");
  return seed;
}

// Reads a resource limit; `fallback` if it is absent.
int read_limit(const json::Value& root, const std::string& key, int fallback, int min_value) {
  const json::Value* limits = root.find("limits");
  const json::Value* limit = limits ? limits->find(key) : nullptr;
  if (!limit) return fallback;
  auto value = limit->integer();
  if (!value) fail("limits." + key, "is not a whole number");
  if (*value < min_value) fail("limits." + key, "is below " + std::to_string(min_value));
  return static_cast<int>(std::min<std::int64_t>(*value, 1 << 20));
}

// Rejects settings that are out of range or not supported by the broker's protocols.
void check(const Config& config) {
  if (config.policy.classes.empty()) fail("settings.classes", "is empty");
  for (const ClassSettings& cls : config.policy.classes)
    if (cls.fetch_parts > 0)
      fail("settings.specifics.fetch_parts", "asks for a second step, which clients cannot send");
  if (config.policy.shards < 1) fail("settings.specifics.slabs", "is below 1");
  if (config.policy.max_open < 1 || config.policy.max_open > max_open_limit)
    fail("settings.limits.max_open", "is not from 1 to " + std::to_string(max_open_limit));
  if (config.policy.max_attempts < 1) fail("settings.limits.try_limit", "is below 1");
  if (config.policy.connect_timeout <= Duration{})
    fail("settings.limits.connect_timeout_s", "is not above 0");
}

}  // namespace

Config read_config(std::string_view text) {
  json::Value root;
  try {
    root = json::parse(text);
  } catch (const json::ParseError& error) {
    throw ConfigError(std::string("configuration: ") + error.what());
  }
  if (!root.is(Kind::object)) throw ConfigError("configuration: not an object");
  Config config;
  config.name = require_text(root, "name");
  config.listen = require_address(root, "listen");
  config.discovery = require_address(root, "discovery");
  config.seed = read_seed(require_text(root, "seed"));
  config.max_sockets = read_limit(root, "sockets", default_sockets, min_sockets);
  config.memory_mb = read_limit(root, "memory_mb", default_memory_mb, min_memory_mb);
  if (const json::Value* known = root.find("known"); known && !known->is(Kind::null)) {
    try {
      config.known = discovery::read_members(*known);
    } catch (const json::ParseError& error) {
      fail(std::string("known:"), error.what());
    }
  }
  const json::Value& all = require_member(root, "settings");
  if (!all.is(Kind::object)) fail("settings", "is not an object");
  settings::Values values;
  flatten(all, "", values);
  try {
    config.policy = settings::read_settings(values);
    config.broker = settings::read_broker_settings(values);
  } catch (const settings::SettingsError& error) {
    throw ConfigError(std::string("configuration: ") + error.what());
  }
  check(config);
  config.settings = std::move(values);
  return config;
}

std::vector<std::string> restart_required_changes(const Config& now, const Config& then) {
  std::vector<std::string> keys;
  if (now.name != then.name) keys.push_back("name");
  if (now.listen != then.listen) keys.push_back("listen");
  if (now.max_sockets != then.max_sockets) keys.push_back("limits.sockets");
  if (now.memory_mb != then.memory_mb) keys.push_back("limits.memory_mb");
  if (auto path = now.settings.first_difference(then.settings)) keys.push_back("settings." + *path);
  return keys;
}

Config read_config_file(const std::string& path) {
  std::unique_ptr<std::FILE, int (*)(std::FILE*)> file(std::fopen(path.c_str(), "rb"), &std::fclose);
  if (!file) throw ConfigError("configuration: cannot open " + path);
  std::string text;
  char chunk[16384];
  for (std::size_t length = 0; (length = std::fread(chunk, 1, sizeof chunk, file.get())) > 0;) {
    text.append(chunk, length);
    if (text.size() > max_file_size_bytes) throw ConfigError("configuration: " + path + " is too large");
  }
  if (std::ferror(file.get())) throw ConfigError("configuration: cannot read " + path);
  return read_config(text);
}

}  // namespace pearspar::config
