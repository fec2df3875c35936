// Log lines on one descriptor, through spdlog: levels, a plain and a JSON form, a bound on their rate, and
// never a wait for whoever reads them.
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

struct Options {
  bool json = false;        // {"time":..,"name":..,"level":..,"dropped":..,"text":..}, a line each
  double lines_per_s = 50;  // in the long run
  double burst = 200;       // at once
};

class DescriptorSink;

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
  std::uint64_t dropped() const;

 private:
  Level level_;
  std::shared_ptr<DescriptorSink> sink_;
  std::unique_ptr<spdlog::logger> logger_;
};

}  // namespace pearspar::log
