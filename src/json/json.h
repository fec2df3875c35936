// A JSON parser without copies: values refer to the parsed text, which must outlive them.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <stdexcept>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace pearspar::json {

// The message names the problem and, for syntax errors, the byte offset.
class ParseError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

enum class Kind { null, boolean, number, text, array, object };

// One JSON value with its nested values.
class Value {
 public:
  // Defined out of line, since std::pair needs the complete type.
  Value();
  Value(const Value& other);
  Value(Value&& other) noexcept;
  Value& operator=(const Value& other);
  Value& operator=(Value&& other) noexcept;
  ~Value();

  Kind kind = Kind::null;
  std::string_view raw;      // source text; of a string, without quotes and with escapes unresolved
  bool escaped = false;      // a string that contains escapes
  std::vector<Value> items;  // elements of an array
  std::vector<std::pair<std::string_view, Value>> members;  // of an object, in source order

  bool is(Kind expected) const { return kind == expected; }
  // The first member with this name, or null. Escapes in names are not resolved.
  const Value* find(std::string_view name) const;

  // Empty if the value is of another kind or out of range.
  std::optional<double> number() const;
  std::optional<std::int64_t> integer() const;
  std::optional<bool> boolean() const;
  std::optional<std::string> text() const;  // escapes resolved
};

// Parses a text that holds exactly one value, nested at most `max_depth` deep. Throws ParseError.
Value parse(std::string_view text, int max_depth = 32);

// Appends `text` as a quoted and escaped JSON string.
void append_quoted(std::string& out, std::string_view text);

}  // namespace pearspar::json
