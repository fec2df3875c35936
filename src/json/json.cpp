#include "json/json.h"

#include <charconv>
#include <cmath>

namespace pearspar::json {
namespace {

bool is_digit(char c) { return c >= '0' && c <= '9'; }

// Recursive-descent parser over one text.
class Parser {
 public:
  Parser(std::string_view text, int max_depth) : text_(text), depth_left_(max_depth) {}

  Value parse_document() {
    Value value = parse_value();
    skip_space();
    if (at_ != text_.size()) fail("unexpected data after the value");
    return value;
  }

 private:
  [[noreturn]] void fail(const char* what) const {
    throw ParseError(std::string("JSON: ") + what + " at byte " + std::to_string(at_));
  }
  char peek() const { return at_ < text_.size() ? text_[at_] : '\0'; }
  bool consume(char c) {
    if (at_ >= text_.size() || text_[at_] != c) return false;
    ++at_;
    return true;
  }
  void skip_space() {
    while (at_ < text_.size() &&
           (text_[at_] == ' ' || text_[at_] == '\t' || text_[at_] == '\n' || text_[at_] == '\r'))
      ++at_;
  }

  Value parse_value() {
    skip_space();
    switch (peek()) {
      case '{':
        return parse_object();
      case '[':
        return parse_array();
      case '"': {
        Value value;
        value.kind = Kind::text;
        value.raw = parse_string(&value.escaped);
        return value;
      }
      case 't':
        return parse_literal("true", Kind::boolean);
      case 'f':
        return parse_literal("false", Kind::boolean);
      case 'n':
        return parse_literal("null", Kind::null);
      default:
        return parse_number();
    }
  }

  Value parse_literal(std::string_view literal, Kind kind) {
    if (text_.substr(at_, literal.size()) != literal) fail("unknown literal");
    Value value;
    value.kind = kind;
    value.raw = text_.substr(at_, literal.size());
    at_ += literal.size();
    return value;
  }

  void skip_digits() {
    if (!is_digit(peek())) fail("expected a digit");
    while (is_digit(peek())) ++at_;
  }

  Value parse_number() {
    std::size_t start = at_;
    consume('-');
    if (!consume('0')) skip_digits();
    if (consume('.')) skip_digits();
    if (consume('e') || consume('E')) {
      if (!consume('+')) consume('-');
      skip_digits();
    }
    Value value;
    value.kind = Kind::number;
    value.raw = text_.substr(start, at_ - start);
    return value;
  }

  std::string_view parse_string(bool* escaped) {
    if (!consume('"')) fail("expected a string");
    std::size_t start = at_;
    while (at_ < text_.size() && text_[at_] != '"') {
      if (static_cast<unsigned char>(text_[at_]) < 0x20) fail("control character in a string");
      if (text_[at_] != '\\') {
        ++at_;
        continue;
      }
      *escaped = true;
      ++at_;
      char kind = peek();
      ++at_;
      if (kind == 'u') {
        for (int i = 0; i < 4; ++i, ++at_) {
          char c = peek();
          if (!is_digit(c) && !(c >= 'a' && c <= 'f') && !(c >= 'A' && c <= 'F'))
            fail("invalid escape sequence");
        }
      } else if (std::string_view("\"\\/bfnrt").find(kind) == std::string_view::npos || kind == '\0') {
        fail("invalid escape sequence");
      }
    }
    std::string_view inside = text_.substr(start, at_ - start);
    if (!consume('"')) fail("unterminated string");
    return inside;
  }

  void enter_nested() {
    if (depth_left_-- <= 0) fail("nesting too deep");
  }

  Value parse_array() {
    Value value;
    value.kind = Kind::array;
    enter_nested();
    consume('[');
    skip_space();
    if (!consume(']')) {
      do value.items.push_back(parse_value());
      while (skip_space(), consume(','));
      if (!consume(']')) fail("unterminated array");
    }
    ++depth_left_;
    return value;
  }

  Value parse_object() {
    Value value;
    value.kind = Kind::object;
    enter_nested();
    consume('{');
    skip_space();
    if (!consume('}')) {
      do {
        skip_space();
        bool escaped = false;
        std::string_view name = parse_string(&escaped);
        skip_space();
        if (!consume(':')) fail("expected a colon");
        value.members.emplace_back(name, parse_value());
        skip_space();
      } while (consume(','));
      if (!consume('}')) fail("unterminated object");
    }
    ++depth_left_;
    return value;
  }

  std::string_view text_;
  std::size_t at_ = 0;
  int depth_left_;
};

void append_utf8(std::string& out, std::uint32_t code) {
  auto byte = [&](std::uint32_t value) { out.push_back(static_cast<char>(value)); };
  if (code < 0x80) {
    byte(code);
  } else if (code < 0x800) {
    byte(0xc0 | code >> 6), byte(0x80 | (code & 0x3f));
  } else if (code < 0x10000) {
    byte(0xe0 | code >> 12), byte(0x80 | (code >> 6 & 0x3f)), byte(0x80 | (code & 0x3f));
  } else {
    byte(0xf0 | code >> 18), byte(0x80 | (code >> 12 & 0x3f)), byte(0x80 | (code >> 6 & 0x3f)),
        byte(0x80 | (code & 0x3f));
  }
}

std::uint32_t hex4(std::string_view digits) {
  std::uint32_t code = 0;
  std::from_chars(digits.data(), digits.data() + 4, code, 16);
  return code;
}

// Resolves escapes. `raw` has been validated by the parser.
std::string unescape(std::string_view raw) {
  std::string out;
  out.reserve(raw.size());
  for (std::size_t i = 0; i < raw.size(); ++i) {
    if (raw[i] != '\\') {
      out.push_back(raw[i]);
      continue;
    }
    char kind = raw[++i];
    if (kind == 'u') {
      std::uint32_t code = hex4(raw.substr(i + 1));
      i += 4;
      bool high = code >= 0xd800 && code < 0xdc00;
      if (high && raw.substr(i + 1, 2) == "\\u") {
        std::uint32_t low = hex4(raw.substr(i + 3));
        if (low >= 0xdc00 && low < 0xe000) {
          code = 0x10000 + ((code - 0xd800) << 10) + (low - 0xdc00);
          i += 6;
        }
      }
      if (code >= 0xd800 && code < 0xe000) code = 0xfffd;  // unpaired surrogate: U+FFFD
      append_utf8(out, code);
    } else {
      constexpr std::string_view kinds = "bfnrt", replacements = "\b\f\n\r\t";
      std::size_t found = kinds.find(kind);
      out.push_back(found == std::string_view::npos ? kind : replacements[found]);
    }
  }
  return out;
}

}  // namespace

Value::Value() = default;
Value::Value(const Value& other) = default;
Value::Value(Value&& other) noexcept = default;
Value& Value::operator=(const Value& other) = default;
Value& Value::operator=(Value&& other) noexcept = default;
Value::~Value() = default;

const Value* Value::find(std::string_view name) const {
  for (const auto& [key, value] : members)
    if (key == name) return &value;
  return nullptr;
}

std::optional<double> Value::number() const {
  double value = 0;
  if (kind != Kind::number) return std::nullopt;
  auto [stop, error] = std::from_chars(raw.data(), raw.data() + raw.size(), value);
  if (error != std::errc() || stop != raw.data() + raw.size() || !std::isfinite(value)) return std::nullopt;
  return value;
}

std::optional<std::int64_t> Value::integer() const {
  std::int64_t value = 0;
  if (kind != Kind::number) return std::nullopt;
  auto [stop, error] = std::from_chars(raw.data(), raw.data() + raw.size(), value);
  if (error == std::errc() && stop == raw.data() + raw.size()) return value;
  // Accepts integral values in decimal or exponent form, such as 3.0 and 1e3.
  std::optional<double> real = number();
  if (!real || *real != std::floor(*real) || std::abs(*real) > 9e15) return std::nullopt;
  return static_cast<std::int64_t>(*real);
}

std::optional<bool> Value::boolean() const {
  if (kind != Kind::boolean) return std::nullopt;
  return raw == "true";
}

std::optional<std::string> Value::text() const {
  if (kind != Kind::text) return std::nullopt;
  return escaped ? unescape(raw) : std::string(raw);
}

Value parse(std::string_view text, int max_depth) { return Parser(text, max_depth).parse_document(); }

void append_quoted(std::string& out, std::string_view text) {
  constexpr std::string_view hex = "0123456789abcdef";
  out.push_back('"');
  for (char c : text) {
    if (c == '"' || c == '\\') {
      out.push_back('\\');
      out.push_back(c);
    } else if (static_cast<unsigned char>(c) < 0x20) {
      out += "\\u00";
      out.push_back(hex[static_cast<unsigned char>(c) >> 4]);
      out.push_back(hex[static_cast<unsigned char>(c) & 15]);
    } else {
      out.push_back(c);
    }
  }
  out.push_back('"');
}

}  // namespace pearspar::json
