// cJSON behind a reader that knows where it stands: the first fault is kept with the path of its key, and
// whatever is asked after it gives the fallback.
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

// As it stands in JSON, quotes and all.
std::string quoted(std::string_view text);

struct JsonEnd {
  void operator()(cJSON* json) const { cJSON_Delete(json); }
};
using Json = std::unique_ptr<cJSON, JsonEnd>;

// The whole text must be one value, nested 32 deep at most. Else nothing, with `fault` naming line and
// column.
Json parse_json(std::string_view text, Fault& fault);

class JsonReader {
 public:
  JsonReader(const cJSON* object, std::string path, Fault& fault)
      : object_(object), path_(std::move(path)), fault_(fault) {}

  bool has(const char* key) const;
  // A key that must be there.
  std::string text(const char* key);
  double number(const char* key, double least, double most);
  // A key that may be absent.
  std::string text_or(const char* key, std::string fallback);
  double number_or(const char* key, double fallback, double least, double most);
  bool flag_or(const char* key, bool fallback);
  // The objects of an array; none where the key is absent.
  std::vector<JsonReader> objects(const char* key);
  std::optional<JsonReader> object(const char* key);
  std::vector<std::string> texts(const char* key);

  void fail(const char* key, std::string what);
  bool good() const { return fault_.what.empty(); }
  const std::string& path() const { return path_; }

 private:
  const cJSON* item(const char* key) const;
  std::string at(const char* key) const;

  const cJSON* object_;
  std::string path_;
  Fault& fault_;
};

}  // namespace pearspar::catalog
