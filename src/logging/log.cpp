#include "logging/log.h"

#include <easylogging++.h>
#include <fmt/format.h>
#include <poll.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>

#include "catalog/json.h"

INITIALIZE_EASYLOGGINGPP

namespace pearspar::logging {
namespace {

using catalog::quoted;

constexpr double lines_per_s = 20;
constexpr double max_burst_lines = 200;
// Lines are shorter than PIPE_BUF, so that a write which poll reports as possible is atomic and does not
// block.
constexpr std::size_t max_text_bytes = 500;
constexpr std::size_t max_line_bytes = 4000;

struct State {
  std::string node;
  Level min_level = Level::info;
  std::chrono::steady_clock::time_point start = std::chrono::steady_clock::now();
  double tokens = max_burst_lines;
  double tokens_updated_at = 0;
  std::uint64_t unreported_dropped = 0;
  std::uint64_t total_dropped = 0;
};

State& log_state() {
  static State state;
  return state;
}

// False while the output pipe is full: writing a line must never block the loop.
bool output_is_writable() {
  pollfd out{STDOUT_FILENO, POLLOUT, 0};
  return ::poll(&out, 1, 0) == 1 && (out.revents & POLLOUT) != 0;
}

void count_dropped(State& state) {
  ++state.unreported_dropped;
  ++state.total_dropped;
}

constexpr std::string_view level_names[] = {"error", "warning", "info", "debug"};

}  // namespace

Value::Value(std::string_view text) : text_(quoted(text.substr(0, max_text_bytes))) {}
Value::Value(double number) : text_(fmt::format("{:.4g}", number)) {}

bool parse_level(std::string_view text, Level& level) {
  for (int i = 0; i < 4; ++i)
    if (level_names[i] == text) return level = static_cast<Level>(i), true;
  return false;
}

void open_log(std::string_view node, Level min_level) {
  log_state().node = node;
  log_state().min_level = min_level;
  el::Configurations configuration;
  configuration.setToDefault();
  configuration.setGlobally(el::ConfigurationType::Format, "%msg");
  configuration.setGlobally(el::ConfigurationType::ToFile, "false");
  configuration.setGlobally(el::ConfigurationType::ToStandardOutput, "true");
  el::Loggers::reconfigureAllLoggers(configuration);
}

void log(Level level, std::string_view event,
         std::initializer_list<std::pair<std::string_view, Value>> fields) {
  State& state = log_state();
  if (level > state.min_level) return;
  double now = std::chrono::duration<double>(std::chrono::steady_clock::now() - state.start).count();
  state.tokens = std::min(max_burst_lines, state.tokens + (now - state.tokens_updated_at) * lines_per_s);
  state.tokens_updated_at = now;
  if (state.tokens < 1 || !output_is_writable()) return count_dropped(state);
  state.tokens -= 1;
  std::string line = fmt::format(R"({{"t":{:.3f},"level":"{}","node":{},"event":{})", now,
                                 level_names[static_cast<int>(level)], quoted(state.node), quoted(event));
  if (state.unreported_dropped > 0)
    line += fmt::format(",\"dropped\":{}", std::exchange(state.unreported_dropped, 0));
  for (const auto& [key, value] : fields) line += fmt::format(",{}:{}", quoted(key), value.text());
  line += '}';
  if (line.size() > max_line_bytes) return count_dropped(state);
  LOG(INFO) << line;
}

std::uint64_t dropped_lines() { return log_state().total_dropped; }

}  // namespace pearspar::logging
