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

constexpr std::size_t max_text_bytes = 3000;
// In JSON an escape may take six bytes in place of one; texts with many of them are truncated further.
constexpr std::size_t max_escape_bytes = 800;
constexpr std::size_t max_escaped_text_bytes = 600;

spdlog::level::level_enum spdlog_level(Level level) {
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

std::string_view level_name(spdlog::level::level_enum level) {
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

double seconds_since_epoch(spdlog::log_clock::time_point time) {
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

// Drops and counts lines above the rate limit, and lines that would block because the pipe is full. Lines are
// shorter than PIPE_BUF, so that a write which poll reports as possible is atomic.
class DescriptorSink final : public spdlog::sinks::base_sink<spdlog::details::null_mutex> {
 public:
  DescriptorSink(int fd, const Options& options) : fd_(fd), options_(options) {}
  std::uint64_t dropped() const { return dropped_; }

 private:
  void sink_it_(const spdlog::details::log_msg& message) override {
    auto now = std::chrono::steady_clock::now();
    double elapsed_s = std::chrono::duration<double>(now - tokens_updated_at_).count();
    tokens_ = std::min(options_.burst, tokens_ + options_.lines_per_s * elapsed_s);
    tokens_updated_at_ = now;
    pollfd out{fd_, POLLOUT, 0};
    if (tokens_ < 1 || ::poll(&out, 1, 0) != 1 || (out.revents & POLLOUT) == 0) {
      ++dropped_;
      return;
    }
    tokens_ -= 1;
    std::uint64_t newly_dropped = dropped_ - std::exchange(reported_dropped_, dropped_);
    spdlog::memory_buf_t line;
    (options_.json ? format_json(line, message, newly_dropped) : format_plain(line, message, newly_dropped));
    if (::write(fd_, line.data(), line.size()) < 0) ++dropped_;
  }
  void flush_() override {}

  static void format_plain(spdlog::memory_buf_t& line, const spdlog::details::log_msg& message,
                           std::uint64_t dropped) {
    auto out = std::back_inserter(line);
    fmt::format_to(out, "{:.3f} {} {}: ", seconds_since_epoch(message.time),
                   std::string_view(message.logger_name.data(), message.logger_name.size()),
                   level_name(message.level));
    if (dropped > 0) fmt::format_to(out, "({} lines dropped) ", dropped);
    std::size_t start = line.size();
    line.append(message.payload.data(),
                message.payload.data() + std::min(message.payload.size(), max_text_bytes));
    // The text may come from a peer: control characters are replaced, so that it cannot start a new line.
    std::replace_if(
        line.begin() + start, line.end(),
        [](char c) { return static_cast<unsigned char>(c) < 0x20 || c == 0x7f; }, '?');
    line.push_back('\n');
  }

  static void format_json(spdlog::memory_buf_t& line, const spdlog::details::log_msg& message,
                          std::uint64_t dropped) {
    auto out = std::back_inserter(line);
    fmt::format_to(out, "{{\"time\":{:.3f},\"name\":", seconds_since_epoch(message.time));
    append_quoted(line, {message.logger_name.data(), message.logger_name.size()});
    fmt::format_to(out, ",\"level\":\"{}\"", level_name(message.level));
    if (dropped > 0) fmt::format_to(out, ",\"dropped\":{}", dropped);
    fmt::format_to(out, ",\"text\":");
    std::string_view text(message.payload.data(), std::min(message.payload.size(), max_text_bytes));
    std::size_t escapes = static_cast<std::size_t>(std::count_if(text.begin(), text.end(), [](char c) {
      return static_cast<unsigned char>(c) < 0x20 || c == '"' || c == '\\';
    }));
    append_quoted(line,
                  text.substr(0, escapes * 5 > max_escape_bytes ? max_escaped_text_bytes : text.size()));
    fmt::format_to(out, "}}\n");
  }

  int fd_;
  Options options_;
  double tokens_ = 0;
  std::chrono::steady_clock::time_point tokens_updated_at_{};
  std::uint64_t dropped_ = 0;
  std::uint64_t reported_dropped_ = 0;
};

Logger::Logger(int fd, Level level, std::string name, const Options& options)
    : level_(level),
      sink_(std::make_shared<DescriptorSink>(fd, options)),
      logger_(std::make_unique<spdlog::logger>(std::move(name), sink_)) {
  logger_->set_level(spdlog_level(level));
}

Logger::~Logger() = default;

void Logger::write(Level level, std::string_view text) {
  logger_->log(spdlog_level(level), spdlog::string_view_t(text.data(), text.size()));
}

std::uint64_t Logger::dropped() const { return sink_->dropped(); }

}  // namespace pearspar::log
