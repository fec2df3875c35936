#include "catalog/json.h"

#include <algorithm>
#include <cmath>

namespace pearspar::catalog {
namespace {

constexpr int max_nesting = 32;

// Checked before the text is passed to cJSON, whose parser is recursive.
bool nested_too_deeply(std::string_view text) {
  int depth = 0;
  bool quoted = false;
  for (std::size_t i = 0; i < text.size(); ++i) {
    char c = text[i];
    if (quoted) {
      if (c == '\\')
        ++i;
      else if (c == '"')
        quoted = false;
    } else if (c == '"') {
      quoted = true;
    } else if (c == '{' || c == '[') {
      if (++depth > max_nesting) return true;
    } else if (c == '}' || c == ']') {
      --depth;
    }
  }
  return false;
}

}  // namespace

std::string quoted(std::string_view text) {
  constexpr char digits[] = "0123456789abcdef";
  std::string out = "\"";
  for (char c : text) {
    auto code = static_cast<unsigned char>(c);
    if (c == '"' || c == '\\')
      (out += '\\') += c;
    else if (code < 0x20)
      ((out += "\\u00") += digits[code >> 4]) += digits[code & 15];
    else
      out += c;
  }
  return out += '"';
}

Json parse_json(std::string_view text, Fault& fault) {
  if (nested_too_deeply(text)) {
    fault = {{}, "nested too deeply"};
    return nullptr;
  }
  const char* parse_end = nullptr;
  Json json(cJSON_ParseWithLengthOpts(text.data(), text.size(), &parse_end, 0));
  std::size_t at = parse_end ? static_cast<std::size_t>(parse_end - text.data()) : 0;
  std::size_t trailing = json ? text.find_first_not_of(" \t\r\n", at) : at;
  if (json && trailing == text.npos) return json;
  at = std::min(json ? trailing : at, text.size());
  auto before = text.substr(0, at);
  auto line = std::count(before.begin(), before.end(), '\n') + 1;
  std::size_t line_break = before.rfind('\n');
  fault = {{},
           "no JSON at line " + std::to_string(line) + ", column " +
               std::to_string(line_break == before.npos ? at + 1 : at - line_break)};
  return nullptr;
}

const cJSON* JsonReader::item(const char* key) const {
  return cJSON_GetObjectItemCaseSensitive(object_, key);
}
std::string JsonReader::path_of(const char* key) const { return path_.empty() ? key : path_ + "." + key; }
bool JsonReader::has(const char* key) const { return item(key) != nullptr; }

void JsonReader::fail(const char* key, std::string what) {
  if (good()) fault_ = {path_of(key), std::move(what)};
}

std::string JsonReader::text(const char* key) {
  const cJSON* found = item(key);
  if (cJSON_IsString(found)) return found->valuestring;
  fail(key, found ? "is no text" : "is missing");
  return {};
}

std::string JsonReader::text_or(const char* key, std::string fallback) {
  return has(key) ? text(key) : std::move(fallback);
}

double JsonReader::number(const char* key, double min, double max) {
  const cJSON* found = item(key);
  if (!cJSON_IsNumber(found)) {
    fail(key, found ? "is no number" : "is missing");
    return min;
  }
  double value = found->valuedouble;
  if (std::isfinite(value) && value >= min && value <= max) return value;
  fail(key, "is out of range");
  return min;
}

double JsonReader::number_or(const char* key, double fallback, double min, double max) {
  return has(key) ? number(key, min, max) : fallback;
}

bool JsonReader::flag_or(const char* key, bool fallback) {
  const cJSON* found = item(key);
  if (!found) return fallback;
  if (!cJSON_IsBool(found)) fail(key, "is neither true nor false");
  return cJSON_IsTrue(found);
}

std::vector<JsonReader> JsonReader::objects(const char* key) {
  std::vector<JsonReader> found;
  const cJSON* array = item(key);
  if (!array) return found;
  if (!cJSON_IsArray(array)) {
    fail(key, "is no list");
    return found;
  }
  int i = 0;
  for (const cJSON* element = array->child; element; element = element->next, ++i) {
    std::string path = path_of(key) + "[" + std::to_string(i) + "]";
    if (!cJSON_IsObject(element)) {
      if (good()) fault_ = {path, "is no object"};
      return {};
    }
    found.emplace_back(element, std::move(path), fault_);
  }
  return found;
}

std::optional<JsonReader> JsonReader::object(const char* key) {
  const cJSON* found = item(key);
  if (!found) return std::nullopt;
  if (cJSON_IsObject(found)) return JsonReader(found, path_of(key), fault_);
  fail(key, "is no object");
  return std::nullopt;
}

std::vector<std::string> JsonReader::texts(const char* key) {
  std::vector<std::string> found;
  const cJSON* array = item(key);
  if (!cJSON_IsArray(array)) {
    fail(key, array ? "is no list" : "is missing");
    return found;
  }
  for (const cJSON* element = array->child; element; element = element->next) {
    if (!cJSON_IsString(element)) {
      fail(key, "holds something that is no text");
      return {};
    }
    found.emplace_back(element->valuestring);
  }
  return found;
}

}  // namespace pearspar::catalog
