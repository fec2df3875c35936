// Entry point of altavia. Depending on the settings file, a process serves clients (edge, with a front door),
// takes part in the core (member, with a control port and a data directory), or both. The operators'
// commands run in the same program.
#include <cjson/cJSON.h>
#include <malloc.h>
#include <popt.h>
#include <signal.h>
#include <sys/stat.h>
#include <unistd.h>

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <memory>
#include <optional>
#include <random>
#include <sstream>
#include <string>
#include <system_error>
#include <vector>

#include "admin_client/commands.h"
#include "allocation/allocation.h"
#include "altavia/edge.h"
#include "altavia/member.h"
#include "invariants/invariants.h"
#include "logging/log.h"
#include "net/signals.h"

namespace {

using namespace std::chrono_literals;
using namespace pearspar;
using logging::Level;
using logging::log;

constexpr int exit_bad_input = 2;
constexpr auto start_retry_delay = 500ms;
// Allocations of this size and more are returned to the system when they are freed. Without a fixed threshold
// malloc raises it, and memory used by a burst of large requests stays with the process.
constexpr int mmap_threshold_bytes = 128 << 10;

// Detects changes of a file by its inode, size and modification time.
class WatchedFile {
 public:
  explicit WatchedFile(std::string path) : path_(std::move(path)) {}
  bool changed() {
    struct stat current {};
    if (::stat(path_.c_str(), &current) != 0) return false;
    auto same = [&] {
      return current.st_ino == last_seen_.st_ino && current.st_size == last_seen_.st_size &&
             current.st_mtim.tv_sec == last_seen_.st_mtim.tv_sec &&
             current.st_mtim.tv_nsec == last_seen_.st_mtim.tv_nsec;
    };
    if (same()) return false;
    last_seen_ = current;
    return true;
  }

 private:
  std::string path_;
  struct stat last_seen_ {};
};

std::uint64_t random_number() {
  std::random_device device;
  return std::uint64_t{device()} << 32 | device();
}

// Runs the edge and the member that the settings ask for, and handles signals and changed settings.
class Process : private allocation::Holdings {
 public:
  Process(std::string path, Level min_level)
      : path_(std::move(path)), settings_file_(path_), min_level_(min_level) {
    allocation::set_report(STDOUT_FILENO, "", this);
  }
  ~Process() override { allocation::set_report(STDOUT_FILENO, "", nullptr); }

  int run() {
    net::Loop& loop = loop_;
    auto watch = signals_.watch(loop, [this](int signal) {
      if (signal == SIGHUP)
        reload_requested_ = true;
      else
        stop_requested_ = true;
    });
    net::Timer second;
    std::function<void()> each_second = [&] {
      reload_requested_ = reload_requested_ || settings_file_.changed();
      second = loop.at(loop.now() + 1s, each_second);
    };
    settings_file_.changed();
    reload_requested_ = true;
    each_second();
    while (true) {
      if (reload_requested_) load_settings(loop);
      if (stop_requested_ && !(edge_ || member_)) return 0;
      if (stop_requested_ && edge_) edge_->stop();
      if (stop_requested_ && member_) member_->stop();
      loop.run_once();
      if (edge_) edge_->after_turn();
      if (member_) member_->after_turn();
      restore_reserve();
      if (stop_requested_ && (!edge_ || edge_->stopped()) && (!member_ || member_->stopped())) {
        log(Level::info, "ended");
        return 0;
      }
    }
  }

 private:
  // After a failed allocation: closes the connections that hold the most until the reserve is full again.
  void restore_reserve() {
    if (allocation::reserve_is_whole()) return;
    const std::uint64_t refusals = allocation::refusals();
    int closed = 0;
    while (!allocation::fill_reserve() &&
           ((edge_ && edge_->free_memory()) || (member_ && member_->free_memory())))
      ++closed;
    log(Level::warning, "short_of_memory",
        {{"refusals", refusals}, {"given_up", closed}, {"reserve_whole", allocation::reserve_is_whole()}});
  }

  std::size_t describe(char* into, std::size_t room) const noexcept override {
    const std::size_t clients = (edge_ ? edge_->client_bytes() : 0) + (member_ ? member_->client_bytes() : 0);
    const std::size_t servers = edge_ ? edge_->server_bytes() : 0;
    const std::size_t links = (edge_ ? edge_->link_bytes() : 0) + (member_ ? member_->link_bytes() : 0);
    const int size =
        std::snprintf(into, room, "\"clients\":%zu,\"servers\":%zu,\"links\":%zu", clients, servers, links);
    return static_cast<std::size_t>(std::max(size, 0));
  }

  // Reads the settings. Invalid settings change nothing; at the start they are retried until they are valid.
  void load_settings(net::Loop& loop) {
    const allocation::Activity activity("the settings and what they start");
    reload_requested_ = false;
    process_settings::SettingsResult result = process_settings::read_settings(path_);
    if (!result.fault.empty()) {
      log(Level::error, "settings_refused", {{"why", result.fault}});
      if (!edge_ && !member_)
        retry_timer_ = loop.at(loop.now() + start_retry_delay, [this] { reload_requested_ = true; });
      return;
    }
    if (edge_) edge_->settings_changed(result.settings);
    if (member_) member_->settings_changed(result.settings);
    if (edge_ || member_) {
      log(Level::info, "settings_read", {{"seeds", result.settings.seeds.size()}});
      return;
    }
    logging::open_log(result.settings.node_name, min_level_);
    allocation::set_report(STDOUT_FILENO, result.settings.node_name.c_str(), this);
    try {
      if (!result.settings.client_listen_address.empty())
        edge_ = std::make_unique<altavia::Edge>(loop, result.settings, random_number());
      if (!result.settings.control_listen_address.empty() && !result.settings.data_dir.empty())
        member_ = std::make_unique<altavia::Member>(loop, result.settings, random_number());
    } catch (const std::system_error& error) {
      log(Level::error, "start_failed", {{"why", error.what()}});
      edge_.reset();
      member_.reset();
    }
    if (!edge_ && !member_)
      retry_timer_ = loop.at(loop.now() + start_retry_delay, [this] { reload_requested_ = true; });
    log(Level::info, "started", {{"edge", edge_ != nullptr}, {"member", member_ != nullptr}});
  }

  // Declared first, so that they outlive everything registered with them.
  net::Signals signals_{SIGTERM, SIGINT, SIGHUP};
  net::Loop loop_;
  std::string path_;
  WatchedFile settings_file_;
  Level min_level_;
  std::unique_ptr<altavia::Edge> edge_;
  std::unique_ptr<altavia::Member> member_;
  net::Timer retry_timer_;
  bool reload_requested_ = false;
  bool stop_requested_ = false;
};

void log_violation(invariants::Invariant invariant, std::string_view what) {
  log(Level::error, "invariant_broken", {{"promise", invariants::name(invariant)}, {"what", what}});
}

int check_settings(const std::string& path) {
  process_settings::SettingsResult result = process_settings::read_settings(path);
  if (!result.fault.empty()) {
    std::fprintf(stderr, "%s\n", result.fault.c_str());
    return exit_bad_input;
  }
  std::printf("%s: good (%s)\n", path.c_str(), result.settings.node_name.c_str());
  return 0;
}

}  // namespace

int main(int argc, const char** argv) {
  char* settings = nullptr;
  char* member_addresses = nullptr;
  char* level = nullptr;
  int json = 0;
  admin_client::Options admin_options;
  const poptOption options[] = {
      {"settings", 's', POPT_ARG_STRING, &settings, 0,
       "the platform's settings file (else PEARSPAR_CONFIG in the environment)", "FILE"},
      {"log-level", 0, POPT_ARG_STRING, &level, 0, "serve: error, warning, info or debug", "LEVEL"},
      {"at", 'a', POPT_ARG_STRING, &member_addresses, 0,
       "control addresses of members, by commas (else the settings' seeds)", "ADDRESS,..."},
      {"json", 'j', POPT_ARG_NONE, &json, 0, "as the members say it, for programs", nullptr},
      {"within", 0, POPT_ARG_DOUBLE, &admin_options.timeout_s, 0, "give up after so long (10)", "SECONDS"},
      {"on", 0, POPT_ARG_LONGLONG, &admin_options.base_revision, 0,
       "config put: the edition that it builds on (else what is in place); the same again is the same order",
       "EDITION"},
      {"every", 0, POPT_ARG_DOUBLE, &admin_options.watch_interval_s, 0, "config watch: look so often (1)",
       "SECONDS"},
      {"for", 0, POPT_ARG_DOUBLE, &admin_options.watch_duration_s, 0,
       "config watch: end after so long (0: never)", "SECONDS"},
      POPT_AUTOHELP POPT_TABLEEND};
  std::unique_ptr<std::remove_pointer_t<poptContext>, void (*)(poptContext)> context(
      poptGetContext("altavia", argc, argv, options, 0), [](poptContext c) { poptFreeContext(c); });
  poptSetOtherOptionHelp(context.get(), admin_client::usage());
  int result = 0;
  while ((result = poptGetNextOpt(context.get())) >= 0) {
  }
  if (result < -1) {
    std::fprintf(stderr, "altavia: %s: %s\n", poptBadOption(context.get(), 0), poptStrerror(result));
    return exit_bad_input;
  }
  std::vector<std::string> words;
  while (const char* word = poptGetArg(context.get())) words.emplace_back(word);
  const char* settings_path = settings ? settings : std::getenv("PEARSPAR_CONFIG");
  std::string path = settings_path ? settings_path : "";
  Level min_level = Level::info;
  bool level_valid = !level || logging::parse_level(level, min_level);
  std::istringstream addresses(member_addresses ? member_addresses : "");
  for (std::string address; std::getline(addresses, address, ',');) admin_options.members.push_back(address);
  admin_options.json = json != 0;
  std::free(settings);
  std::free(member_addresses);
  std::free(level);
  if (!level_valid) {
    std::fprintf(stderr, "altavia: --log-level: error, warning, info or debug is wanted\n");
    return exit_bad_input;
  }
  std::string command = words.empty() ? "" : words[0];
  if (admin_client::is_admin_command(command)) {
    if (admin_options.members.empty() && !path.empty())
      admin_options.members = process_settings::read_settings(path).settings.seeds;
    return admin_client::run(words, admin_options, stdout, stderr);
  }
  if (words.size() != 1 || (command != "serve" && command != "check-settings")) {
    poptPrintUsage(context.get(), stderr, 0);
    return exit_bad_input;
  }
  if (path.empty()) {
    std::fprintf(stderr, "altavia: no settings file is named\n");
    return exit_bad_input;
  }
  if (command == "check-settings") return check_settings(path);
  ::mallopt(M_MMAP_THRESHOLD, mmap_threshold_bytes);
  cJSON_Hooks memory{allocation::allocate, allocation::release};
  cJSON_InitHooks(&memory);
  allocation::fill_reserve();
  invariants::set_violation_handler(log_violation);
  logging::open_log("altavia", min_level);
  return Process(path, min_level).run();
}
