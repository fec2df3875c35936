// JSON read in place: a value is a slice of the text it was read from, and holds only as long as that does.
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

class ParseError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

enum class Kind { null, boolean, number, text, array, object };

class Value {
 public:
  // Defined where the class is whole: its members hold it by way of a pair.
  Value();
  Value(const Value& other);
  Value(Value&& other) noexcept;
  Value& operator=(const Value& other);
  Value& operator=(Value&& other) noexcept;
  ~Value();

  Kind kind = Kind::null;
  std::string_view raw;      // a text's without its quotes, escapes as they stand
  bool escaped = false;      // a text that holds escapes
  std::vector<Value> items;  // of an array
  std::vector<std::pair<std::string_view, Value>> members;  // of an object, in order

  bool is(Kind wanted) const { return kind == wanted; }
  // The first member of that name, or null. Names are compared as they are written.
  const Value* find(std::string_view name) const;

  // Nothing where the value is of another kind or does not fit.
  std::optional<double> number() const;
  std::optional<std::int64_t> integer() const;
  std::optional<bool> boolean() const;
  std::optional<std::string> text() const;  // escapes resolved
};

// The whole of `text` must be one value, nested at most `max_depth` deep. Throws ParseError.
Value parse(std::string_view text, int max_depth = 32);

// Appends `text` as a JSON string, quotes included.
void append_quoted(std::string& out, std::string_view text);

}  // namespace pearspar::json
