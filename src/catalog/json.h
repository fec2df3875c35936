// Parsing of JSON with cJSON, and a reader that reports the path of the first invalid value.
#pragma once

#include <cjson/cJSON.h>

#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace pearspar::catalog {

struct Fault {
  std::string path;  // "postalRoutes[3].deadlineMs"; empty = the whole text
  std::string what;
  std::string text() const { return path.empty() ? what : path + ": " + what; }
};

// The text as a JSON string, with its quotes.
std::string quoted(std::string_view text);

struct JsonDeleter {
  void operator()(cJSON* json) const { cJSON_Delete(json); }
};
using Json = std::unique_ptr<cJSON, JsonDeleter>;

// Parses a text that must be exactly one value, nested at most 32 levels deep. Otherwise returns null and
// sets `fault` to the line and column of the error.
Json parse_json(std::string_view text, Fault& fault);

// Reads the members of a JSON object. The first fault is kept; a value that is missing or invalid reads as
// the fallback.
class JsonReader {
 public:
  JsonReader(const cJSON* object, std::string path, Fault& fault)
      : object_(object), path_(std::move(path)), fault_(fault) {}

  bool has(const char* key) const;
  // Required members.
  std::string text(const char* key);
  double number(const char* key, double min, double max);
  // Optional members.
  std::string text_or(const char* key, std::string fallback);
  double number_or(const char* key, double fallback, double min, double max);
  bool flag_or(const char* key, bool fallback);
  // A reader for each object of an optional array.
  std::vector<JsonReader> objects(const char* key);
  std::optional<JsonReader> object(const char* key);
  // A required array of strings.
  std::vector<std::string> texts(const char* key);

  // Reports a fault in the member `key`, unless there was one before.
  void fail(const char* key, std::string what);
  bool good() const { return fault_.what.empty(); }
  const std::string& path() const { return path_; }

 private:
  const cJSON* item(const char* key) const;
  std::string path_of(const char* key) const;

  const cJSON* object_;
  std::string path_;
  Fault& fault_;
};

}  // namespace pearspar::catalog
