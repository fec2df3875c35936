#include "log/log.h"

#include <poll.h>
#include <spdlog/details/null_mutex.h>
#include <spdlog/logger.h>
#include <spdlog/sinks/base_sink.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>

namespace pearspar::log {
namespace {

constexpr std::size_t longest = 3000;  // bytes of a line's text

spdlog::level::level_enum level_of(Level level) {
  switch (level) {
    case Level::error:
      return spdlog::level::err;
    case Level::warning:
      return spdlog::level::warn;
    case Level::info:
      return spdlog::level::info;
    default:
      return spdlog::level::debug;
  }
}

std::string_view word(spdlog::level::level_enum level) {
  switch (level) {
    case spdlog::level::err:
      return "error";
    case spdlog::level::warn:
      return "warning";
    case spdlog::level::info:
      return "info";
    default:
      return "debug";
  }
}

double seconds_of(spdlog::log_clock::time_point time) {
  return std::chrono::duration<double>(time.time_since_epoch()).count();
}

void append_quoted(spdlog::memory_buf_t& out, std::string_view text) {
  out.push_back('"');
  for (char c : text) {
    if (c == '"' || c == '\\') {
      out.push_back('\\');
      out.push_back(c);
    } else if (static_cast<unsigned char>(c) < 0x20 || c == 0x7f) {
      fmt::format_to(std::back_inserter(out), "\\u{:04x}", static_cast<unsigned char>(c));
    } else {
      out.push_back(c);
    }
  }
  out.push_back('"');
}

}  // namespace

// A pipe that nobody empties must not stop the loop: a line that would have to wait is dropped and counted.
// A line is shorter than PIPE_BUF, so one that poll lets through is written whole.
class DescriptorSink final : public spdlog::sinks::base_sink<spdlog::details::null_mutex> {
 public:
  DescriptorSink(int fd, const Options& options) : fd_(fd), options_(options) {}
  std::uint64_t dropped() const { return dropped_; }

 private:
  void sink_it_(const spdlog::details::log_msg& message) override {
    auto now = std::chrono::steady_clock::now();
    double passed = std::chrono::duration<double>(now - last_).count();
    allowance_ = std::min(options_.burst, allowance_ + options_.lines_per_s * passed);
    last_ = now;
    pollfd out{fd_, POLLOUT, 0};
    if (allowance_ < 1 || ::poll(&out, 1, 0) != 1 || (out.revents & POLLOUT) == 0) {
      ++dropped_;
      return;
    }
    allowance_ -= 1;
    std::uint64_t dropped = dropped_ - std::exchange(dropped_told_, dropped_);
    spdlog::memory_buf_t line;
    (options_.json ? format_json(line, message, dropped) : format_plain(line, message, dropped));
    if (::write(fd_, line.data(), line.size()) < 0) ++dropped_;
  }
  void flush_() override {}

  static void format_plain(spdlog::memory_buf_t& line, const spdlog::details::log_msg& message,
                           std::uint64_t dropped) {
    auto out = std::back_inserter(line);
    fmt::format_to(out, "{:.3f} {} {}: ", seconds_of(message.time),
                   std::string_view(message.logger_name.data(), message.logger_name.size()),
                   word(message.level));
    if (dropped > 0) fmt::format_to(out, "({} lines dropped) ", dropped);
    std::size_t start = line.size();
    line.append(message.payload.data(), message.payload.data() + std::min(message.payload.size(), longest));
    // What a peer sent may stand in a line: it must not begin a line of its own.
    std::replace_if(
        line.begin() + start, line.end(),
        [](char c) { return static_cast<unsigned char>(c) < 0x20 || c == 0x7f; }, '?');
    line.push_back('\n');
  }

  static void format_json(spdlog::memory_buf_t& line, const spdlog::details::log_msg& message,
                          std::uint64_t dropped) {
    auto out = std::back_inserter(line);
    fmt::format_to(out, "{{\"time\":{:.3f},\"name\":", seconds_of(message.time));
    append_quoted(line, {message.logger_name.data(), message.logger_name.size()});
    fmt::format_to(out, ",\"level\":\"{}\"", word(message.level));
    if (dropped > 0) fmt::format_to(out, ",\"dropped\":{}", dropped);
    fmt::format_to(out, ",\"text\":");
    // Escapes may stretch a text sixfold: what would not fit a line is cut before.
    std::string_view text(message.payload.data(), std::min(message.payload.size(), longest));
    std::size_t escapes = static_cast<std::size_t>(std::count_if(text.begin(), text.end(), [](char c) {
      return static_cast<unsigned char>(c) < 0x20 || c == '"' || c == '\\';
    }));
    append_quoted(line, text.substr(0, escapes * 5 > 800 ? 600 : text.size()));
    fmt::format_to(out, "}}\n");
  }

  int fd_;
  Options options_;
  double allowance_ = 0;
  std::chrono::steady_clock::time_point last_{};
  std::uint64_t dropped_ = 0;
  std::uint64_t dropped_told_ = 0;
};

Logger::Logger(int fd, Level level, std::string name, const Options& options)
    : level_(level),
      sink_(std::make_shared<DescriptorSink>(fd, options)),
      logger_(std::make_unique<spdlog::logger>(std::move(name), sink_)) {
  logger_->set_level(level_of(level));
}

Logger::~Logger() = default;

void Logger::write(Level level, std::string_view text) {
  logger_->log(level_of(level), spdlog::string_view_t(text.data(), text.size()));
}

std::uint64_t Logger::dropped() const { return sink_->dropped(); }

}  // namespace pearspar::log
