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
constexpr double most_lines = 200;
// A line is shorter than PIPE_BUF: one that poll lets through is written whole, and does not wait.
constexpr std::size_t longest_text = 500;
constexpr std::size_t longest_line = 4000;

struct State {
  std::string node;
  Level least = Level::info;
  std::chrono::steady_clock::time_point start = std::chrono::steady_clock::now();
  double lines = most_lines;
  double counted_at = 0;
  std::uint64_t dropped = 0;       // not told yet
  std::uint64_t dropped_ever = 0;  // since the start
};

State& state() {
  static State state;
  return state;
}

// False where the reader of our output lets it stand: a line must never hold up the loop.
bool takes_a_line() {
  pollfd out{STDOUT_FILENO, POLLOUT, 0};
  return ::poll(&out, 1, 0) == 1 && (out.revents & POLLOUT) != 0;
}

void drop(State& to) {
  ++to.dropped;
  ++to.dropped_ever;
}

constexpr std::string_view names[] = {"error", "warning", "info", "debug"};

}  // namespace

Value::Value(std::string_view text) : text_(quoted(text.substr(0, longest_text))) {}
Value::Value(double number) : text_(fmt::format("{:.4g}", number)) {}

bool parse_level(std::string_view text, Level& level) {
  for (int i = 0; i < 4; ++i)
    if (names[i] == text) return level = static_cast<Level>(i), true;
  return false;
}

void open_log(std::string_view node, Level least) {
  state().node = node;
  state().least = least;
  el::Configurations form;
  form.setToDefault();
  form.setGlobally(el::ConfigurationType::Format, "%msg");
  form.setGlobally(el::ConfigurationType::ToFile, "false");
  form.setGlobally(el::ConfigurationType::ToStandardOutput, "true");
  el::Loggers::reconfigureAllLoggers(form);
}

void log(Level level, std::string_view event,
         std::initializer_list<std::pair<std::string_view, Value>> fields) {
  State& to = state();
  if (level > to.least) return;
  double now = std::chrono::duration<double>(std::chrono::steady_clock::now() - to.start).count();
  to.lines = std::min(most_lines, to.lines + (now - to.counted_at) * lines_per_s);
  to.counted_at = now;
  if (to.lines < 1 || !takes_a_line()) return drop(to);
  to.lines -= 1;
  std::string line = fmt::format(R"({{"t":{:.3f},"level":"{}","node":{},"event":{})", now,
                                 names[static_cast<int>(level)], quoted(to.node), quoted(event));
  if (to.dropped > 0) line += fmt::format(",\"dropped\":{}", std::exchange(to.dropped, 0));
  for (const auto& [key, value] : fields) line += fmt::format(",{}:{}", quoted(key), value.text());
  line += '}';
  if (line.size() > longest_line) return drop(to);
  LOG(INFO) << line;
}

std::uint64_t dropped_lines() { return state().dropped_ever; }

}  // namespace pearspar::logging
