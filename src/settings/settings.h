// Reads the policy's Settings from pairs of path and value, which come from path=value lines or from the
// members of a configuration file.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <stdexcept>
#include <string>
#include <utility>
#include <vector>

#include "policy/policy.h"

namespace pearspar::settings {

// Invalid settings; the message is one line that names the path.
class SettingsError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

// The type under which a value was written, where the source has types.
enum class Form { any, text, number, flag, list };

// Settings by path. A list of scalars is one comma-separated value; a list of objects has its length under
// path.count and its items under path.0, path.1 and so on.
class Values {
 public:
  struct Value {
    std::string text;
    Form form = Form::any;
  };
  void set(std::string path, std::string text, Form form = Form::any) {
    values_[std::move(path)] = {std::move(text), form};
  }
  const Value* find(const std::string& path) const {
    auto found = values_.find(path);
    return found == values_.end() ? nullptr : &found->second;
  }
  bool empty() const { return values_.empty(); }
  // The first path whose values differ, if any.
  std::optional<std::string> first_difference(const Values& other) const;
  // A hash of all paths and values; the same on every platform.
  std::uint64_t fingerprint() const;

 private:
  std::map<std::string, Value> values_;
};

// Settings that the broker uses itself: names on its wire formats and connection limits.
struct BrokerSettings {
  std::vector<std::string> zones;
  std::vector<std::string> kinds;
  std::vector<std::string> report_fields;
  int calls_per_connection = 1;
  Duration idle_close{};
};

// All functions throw SettingsError and ignore unknown paths.
Values values_of_lines(const std::string& text);
Settings read_settings(const Values& values);
BrokerSettings read_broker_settings(const Values& values);

}  // namespace pearspar::settings
