// Log of altavia: one JSON object per line on standard output, through easylogging++. Timestamps are seconds
// of the steady clock since the process started; the wall clock is never read.
#pragma once

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>
#include <utility>

namespace pearspar::logging {

enum class Level { error, warning, info, debug };

// A field value, encoded as JSON.
class Value {
 public:
  Value(std::string_view text);
  Value(const std::string& text) : Value(std::string_view(text)) {}
  Value(const char* text) : Value(std::string_view(text)) {}
  Value(bool flag) : text_(flag ? "true" : "false") {}
  Value(int number) : text_(std::to_string(number)) {}
  Value(unsigned number) : text_(std::to_string(number)) {}
  Value(long number) : text_(std::to_string(number)) {}
  Value(unsigned long number) : text_(std::to_string(number)) {}
  Value(double number);
  const std::string& text() const { return text_; }

 private:
  std::string text_;
};

// Configures the log; must be called before the first line. `min_level` is the least severe level that is
// written.
void open_log(std::string_view node, Level min_level);
// Writes {"t":12.345,"level":"info","node":"...","event":"...", and the fields}. Lines beyond a burst of 200
// or a rate of 20 per second are dropped; the next line that is written holds their count.
void log(Level level, std::string_view event,
         std::initializer_list<std::pair<std::string_view, Value>> fields = {});
// Lines dropped since the start, because of the rate limit or because the output pipe was full. Writing never
// blocks.
std::uint64_t dropped_lines();
// Reads the name of a level; false if there is no such level.
bool parse_level(std::string_view text, Level& level);

}  // namespace pearspar::logging
