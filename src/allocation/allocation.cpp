#include "allocation/allocation.h"

#include <poll.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <utility>

namespace pearspar::allocation {
namespace {

using Clock = std::chrono::steady_clock;

constexpr std::size_t max_name_bytes = 64;
constexpr std::size_t max_line_bytes = 2048;  // below PIPE_BUF, so that the write is atomic
constexpr std::size_t max_holdings_bytes = 1024;

std::array<std::atomic<void*>, reserve_blocks> reserve{};
std::atomic<std::uint64_t> refused{0};
thread_local const char* activity = "starting";

struct Report {
  int descriptor = STDERR_FILENO;
  char node[max_name_bytes] = "";
  const Holdings* holdings = nullptr;
  Clock::time_point started = Clock::now();
};
Report report;

// Polls first: a reader that does not drain the pipe must not block the exit.
void write_out_of_memory_line(const char* line, std::size_t size) noexcept {
  pollfd out{report.descriptor, POLLOUT, 0};
  if (::poll(&out, 1, 0) != 1 || (out.revents & POLLOUT) == 0) return;
  [[maybe_unused]] const ssize_t written = ::write(report.descriptor, line, size);
}

bool release_reserve_block() noexcept {
  for (auto& block : reserve)
    if (void* memory = block.exchange(nullptr)) {
      std::free(memory);
      return true;
    }
  return false;
}

[[noreturn]] void end_process(std::size_t wanted) noexcept {
  char held[max_holdings_bytes] = "";
  if (report.holdings) {
    const std::size_t size = report.holdings->describe(held, sizeof held - 1);
    held[std::min(size, sizeof held - 1)] = '\0';
  }
  char line[max_line_bytes];
  const double now = std::chrono::duration<double>(Clock::now() - report.started).count();
  const int size =
      std::snprintf(line, sizeof line,
                    "{\"t\":%.3f,\"level\":\"error\",\"node\":\"%s\",\"event\":\"out_of_memory\","
                    "\"doing\":\"%s\",\"wanted_bytes\":%zu,\"refusals\":%llu,\"held\":{%s}}\n",
                    now, report.node, activity, wanted, static_cast<unsigned long long>(refusals()), held);
  write_out_of_memory_line(line, std::min(static_cast<std::size_t>(std::max(size, 0)), sizeof line - 1));
  std::_Exit(out_of_memory_status);
}

template <typename Attempt>
void* served_from_reserve(std::size_t size, const Attempt& attempt) noexcept {
  while (true) {
    make_room(size);
    if (void* memory = attempt()) return memory;
  }
}

}  // namespace

void* allocate(std::size_t size) noexcept {
  const std::size_t wanted = std::max<std::size_t>(size, 1);
  if (void* memory = std::malloc(wanted)) [[likely]]
    return memory;
  return served_from_reserve(wanted, [&] { return std::malloc(wanted); });
}

void* allocate_aligned(std::size_t size, std::size_t alignment) noexcept {
  const std::size_t wanted = (std::max<std::size_t>(size, 1) + alignment - 1) / alignment * alignment;
  if (void* memory = std::aligned_alloc(alignment, wanted)) [[likely]]
    return memory;
  return served_from_reserve(wanted, [&] { return std::aligned_alloc(alignment, wanted); });
}

void release(void* memory) noexcept { std::free(memory); }

void make_room(std::size_t wanted) noexcept {
  refused.fetch_add(1, std::memory_order_relaxed);
  if (!release_reserve_block()) end_process(wanted);
}

bool fill_reserve() noexcept {
  for (auto& block : reserve) {
    if (block.load()) continue;
    void* memory = std::malloc(reserve_block_bytes);
    if (!memory) return false;
    void* none = nullptr;
    if (!block.compare_exchange_strong(none, memory)) std::free(memory);
  }
  return true;
}

bool reserve_is_whole() noexcept {
  return std::all_of(reserve.begin(), reserve.end(),
                     [](const auto& block) { return block.load() != nullptr; });
}

std::uint64_t refusals() noexcept { return refused.load(std::memory_order_relaxed); }

Activity::Activity(const char* what) noexcept : previous_(std::exchange(activity, what)) {}
Activity::~Activity() { activity = previous_; }

void set_report(int descriptor, const char* node, const Holdings* holdings) noexcept {
  report.descriptor = descriptor;
  std::strncpy(report.node, node, sizeof report.node - 1);
  report.holdings = holdings;
}

}  // namespace pearspar::allocation
