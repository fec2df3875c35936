// Logger that writes lines to a file descriptor, through spdlog: levels, a plain and a JSON format, and a
// rate limit. Writing never blocks; lines that cannot be written are dropped and counted.
#pragma once

#include <fmt/format.h>

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <utility>

namespace spdlog {
class logger;
}

namespace pearspar::log {

enum class Level { error, warning, info, debug };

// Format and rate limit.
struct Options {
  bool json = false;        // {"time":..,"name":..,"level":..,"dropped":..,"text":..}, one object per line
  double lines_per_s = 50;  // sustained rate
  double burst = 200;       // lines above the sustained rate
};

class DescriptorSink;

// Does not own the descriptor. Lines carry the name given to the constructor.
class Logger {
 public:
  Logger(int fd, Level level, std::string name, const Options& options = {});
  ~Logger();
  Logger(const Logger&) = delete;

  template <typename... Args>
  void error(fmt::format_string<Args...> format, Args&&... args) {
    write(Level::error, fmt::format(format, std::forward<Args>(args)...));
  }
  template <typename... Args>
  void warning(fmt::format_string<Args...> format, Args&&... args) {
    write(Level::warning, fmt::format(format, std::forward<Args>(args)...));
  }
  template <typename... Args>
  void info(fmt::format_string<Args...> format, Args&&... args) {
    write(Level::info, fmt::format(format, std::forward<Args>(args)...));
  }
  template <typename... Args>
  void debug(fmt::format_string<Args...> format, Args&&... args) {
    if (level_ >= Level::debug) write(Level::debug, fmt::format(format, std::forward<Args>(args)...));
  }

  void write(Level level, std::string_view text);
  // Lines dropped since the start.
  std::uint64_t dropped() const;

 private:
  Level level_;
  std::shared_ptr<DescriptorSink> sink_;
  std::unique_ptr<spdlog::logger> logger_;
};

}  // namespace pearspar::log
