// The system's log: one JSON object a line on standard error, through easylogging++. Its time is the steady
// clock's, in seconds since the start of the process: nothing here reads the time of day.
#pragma once

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>
#include <utility>

namespace pearspar::logging {

enum class Level { error, warning, info, debug };

// A value as it stands in JSON.
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

// Before the first line; once a process.
void open_log(std::string_view node, Level least);
// {"t":12.345,"level":"info","node":"...","event":"...", and the fields}. More than 200 lines at once, 20 a
// second in the long run, are dropped and counted in the next line that is written.
void log(Level level, std::string_view event,
         std::initializer_list<std::pair<std::string_view, Value>> fields = {});
// Since the start: beyond those bounds, or since nobody read what was written before. A line never waits.
std::uint64_t dropped_lines();
bool parse_level(std::string_view text, Level& level);

}  // namespace pearspar::logging
