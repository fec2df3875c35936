// The one reader of the module's settings: it takes path and value pairs, whether they came as lines
// (path=value) or as the members of a configuration file, and fills the interface's Settings.
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

// What cannot be read; the text is one plain line that names the path.
class SettingsError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

// What a value was written as, where its source tells.
enum class Form { any, text, number, flag, list };

// A list of plain values is joined by commas under its path; one of objects has its length under path.count
// and its items under path.0, path.1 and so on.
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
  // The first path under which the two hold different values; nothing where they are alike.
  std::optional<std::string> first_difference(const Values& other) const;
  // Alike for the same paths and values, wherever it is made.
  std::uint64_t fingerprint() const;

 private:
  std::map<std::string, Value> values_;
};

// What a broker needs beside the module: the names that stand on its wires, and its connections' limits.
struct BrokerSettings {
  std::vector<std::string> zones;
  std::vector<std::string> kinds;
  std::vector<std::string> report_fields;
  int calls_per_connection = 1;
  Duration idle_close{};
};

// All throw SettingsError. Unknown paths are ignored.
Values values_of_lines(const std::string& text);
Settings read_settings(const Values& values);
BrokerSettings read_broker_settings(const Values& values);

}  // namespace pearspar::settings
