// The one program of the system: what it does on a machine follows from the settings that the platform hands
// to it. It serves clients where it is given a front door, and is a member of the core where it is given a
// control port and a folder on disk.
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

constexpr int bad_input = 2;
// From this size on the library gives memory back to the system as it is freed; else that bound rises by
// itself and what a burst of long requests took stays with the process.
constexpr int mapped_from = 128 << 10;

// A file as it was when it was last read; a look costs one system call.
class Watched {
 public:
  explicit Watched(std::string path) : path_(std::move(path)) {}
  bool changed() {
    struct stat now {};
    if (::stat(path_.c_str(), &now) != 0) return false;
    auto same = [&] {
      return now.st_ino == seen_.st_ino && now.st_size == seen_.st_size &&
             now.st_mtim.tv_sec == seen_.st_mtim.tv_sec && now.st_mtim.tv_nsec == seen_.st_mtim.tv_nsec;
    };
    if (same()) return false;
    seen_ = now;
    return true;
  }

 private:
  std::string path_;
  struct stat seen_ {};
};

std::uint64_t fresh_number() {
  std::random_device device;
  return std::uint64_t{device()} << 32 | device();
}

// What runs here, and what it is told.
class Process : private allocation::Holdings {
 public:
  Process(std::string path, Level least) : path_(std::move(path)), watched_(path_), least_(least) {
    allocation::set_report(STDOUT_FILENO, "", this);
  }
  ~Process() override { allocation::set_report(STDOUT_FILENO, "", nullptr); }

  int run() {
    net::Loop& loop = loop_;
    auto watch = signals_.watch(loop, [this](int signal) {
      if (signal == SIGHUP)
        look_ = true;
      else
        stop_ = true;
    });
    net::Timer second;
    std::function<void()> each_second = [&] {
      look_ = look_ || watched_.changed();
      second = loop.at(loop.now() + 1s, each_second);
    };
    watched_.changed();
    look_ = true;
    each_second();
    while (true) {
      if (look_) read(loop);
      if (stop_ && !(edge_ || member_)) return 0;
      if (stop_ && edge_) edge_->stop();
      if (stop_ && member_) member_->stop();
      loop.turn();
      if (edge_) edge_->after_turn();
      if (member_) member_->after_turn();
      restore_reserve();
      if (stop_ && (!edge_ || edge_->stopped()) && (!member_ || member_->stopped())) {
        log(Level::info, "ended");
        return 0;
      }
    }
  }

 private:
  // The system has refused memory: what holds the most makes way until the reserve is whole again.
  void restore_reserve() {
    if (allocation::reserve_is_whole()) return;
    const std::uint64_t refusals = allocation::refusals();
    int given_up = 0;
    while (!allocation::fill_reserve() && ((edge_ && edge_->shed()) || (member_ && member_->shed())))
      ++given_up;
    log(Level::warning, "short_of_memory",
        {{"refusals", refusals}, {"given_up", given_up}, {"reserve_whole", allocation::reserve_is_whole()}});
  }

  std::size_t describe(char* into, std::size_t room) const noexcept override {
    const std::size_t clients = (edge_ ? edge_->client_bytes() : 0) + (member_ ? member_->client_bytes() : 0);
    const std::size_t servers = edge_ ? edge_->server_bytes() : 0;
    const std::size_t links = (edge_ ? edge_->link_bytes() : 0) + (member_ ? member_->link_bytes() : 0);
    const int size =
        std::snprintf(into, room, "\"clients\":%zu,\"servers\":%zu,\"links\":%zu", clients, servers, links);
    return static_cast<std::size_t>(std::max(size, 0));
  }

  // Settings that are no good change nothing; at the start they are waited for.
  void read(net::Loop& loop) {
    const allocation::Activity activity("the settings and what they start");
    look_ = false;
    process_settings::SettingsResult read = process_settings::read_settings(path_);
    if (!read.fault.empty()) {
      log(Level::error, "settings_refused", {{"why", read.fault}});
      if (!edge_ && !member_) again_ = loop.at(loop.now() + 500ms, [this] { look_ = true; });
      return;
    }
    if (edge_) edge_->settings_changed(read.settings);
    if (member_) member_->settings_changed(read.settings);
    if (edge_ || member_) {
      log(Level::info, "settings_read", {{"seeds", read.settings.seeds.size()}});
      return;
    }
    logging::open_log(read.settings.node_name, least_);
    allocation::set_report(STDOUT_FILENO, read.settings.node_name.c_str(), this);
    try {
      if (!read.settings.client_listen_address.empty())
        edge_ = std::make_unique<altavia::Edge>(loop, read.settings, fresh_number());
      if (!read.settings.control_listen_address.empty() && !read.settings.data_dir.empty())
        member_ = std::make_unique<altavia::Member>(loop, read.settings, fresh_number());
    } catch (const std::system_error& error) {
      log(Level::error, "start_failed", {{"why", error.what()}});
      edge_.reset();
      member_.reset();
    }
    if (!edge_ && !member_) again_ = loop.at(loop.now() + 500ms, [this] { look_ = true; });
    log(Level::info, "started", {{"edge", edge_ != nullptr}, {"member", member_ != nullptr}});
  }

  // First, so that they outlive all that hangs on them.
  net::Signals signals_{SIGTERM, SIGINT, SIGHUP};
  net::Loop loop_;
  std::string path_;
  Watched watched_;
  Level least_;
  std::unique_ptr<altavia::Edge> edge_;
  std::unique_ptr<altavia::Member> member_;
  net::Timer again_;
  bool look_ = false;
  bool stop_ = false;
};

void tell_violation(invariants::Invariant invariant, std::string_view what) {
  log(Level::error, "invariant_broken", {{"promise", invariants::name(invariant)}, {"what", what}});
}

int check_settings(const std::string& path) {
  process_settings::SettingsResult read = process_settings::read_settings(path);
  if (!read.fault.empty()) {
    std::fprintf(stderr, "%s\n", read.fault.c_str());
    return bad_input;
  }
  std::printf("%s: good (%s)\n", path.c_str(), read.settings.node_name.c_str());
  return 0;
}

}  // namespace

int main(int argc, const char** argv) {
  char* settings = nullptr;
  char* at = nullptr;
  char* level = nullptr;
  int json = 0;
  admin_client::Options operators;
  const poptOption options[] = {
      {"settings", 's', POPT_ARG_STRING, &settings, 0,
       "the platform's settings file (else PEARSPAR_CONFIG in the environment)", "FILE"},
      {"log-level", 0, POPT_ARG_STRING, &level, 0, "serve: error, warning, info or debug", "LEVEL"},
      {"at", 'a', POPT_ARG_STRING, &at, 0,
       "control addresses of members, by commas (else the settings' seeds)", "ADDRESS,..."},
      {"json", 'j', POPT_ARG_NONE, &json, 0, "as the members say it, for programs", nullptr},
      {"within", 0, POPT_ARG_DOUBLE, &operators.timeout_s, 0, "give up after so long (10)", "SECONDS"},
      {"on", 0, POPT_ARG_LONGLONG, &operators.base_revision, 0,
       "config put: the edition that it builds on (else what is in place); the same again is the same order",
       "EDITION"},
      {"every", 0, POPT_ARG_DOUBLE, &operators.watch_interval_s, 0, "config watch: look so often (1)",
       "SECONDS"},
      {"for", 0, POPT_ARG_DOUBLE, &operators.watch_duration_s, 0,
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
    return bad_input;
  }
  std::vector<std::string> words;
  while (const char* word = poptGetArg(context.get())) words.emplace_back(word);
  const char* from = settings ? settings : std::getenv("PEARSPAR_CONFIG");
  std::string path = from ? from : "";
  Level least = Level::info;
  bool level_good = !level || logging::parse_level(level, least);
  std::istringstream addresses(at ? at : "");
  for (std::string address; std::getline(addresses, address, ',');) operators.members.push_back(address);
  operators.json = json != 0;
  std::free(settings);
  std::free(at);
  std::free(level);
  if (!level_good) {
    std::fprintf(stderr, "altavia: --log-level: error, warning, info or debug is wanted\n");
    return bad_input;
  }
  std::string command = words.empty() ? "" : words[0];
  if (admin_client::is_admin_command(command)) {
    if (operators.members.empty() && !path.empty())
      operators.members = process_settings::read_settings(path).settings.seeds;
    return admin_client::run(words, operators, stdout, stderr);
  }
  if (words.size() != 1 || (command != "serve" && command != "check-settings")) {
    poptPrintUsage(context.get(), stderr, 0);
    return bad_input;
  }
  if (path.empty()) {
    std::fprintf(stderr, "altavia: no settings file is named\n");
    return bad_input;
  }
  if (command == "check-settings") return check_settings(path);
  ::mallopt(M_MMAP_THRESHOLD, mapped_from);
  cJSON_Hooks memory{allocation::allocate, allocation::release};
  cJSON_InitHooks(&memory);
  allocation::fill_reserve();
  invariants::set_violation_handler(tell_violation);
  logging::open_log("altavia", least);
  return Process(path, least).run();
}
