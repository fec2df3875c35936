// The command line of pearspar: the broker itself and its administration commands.
#include <signal.h>
#include <sys/resource.h>
#include <unistd.h>

#include <CLI/CLI.hpp>
#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <exception>
#include <string>
#include <system_error>

#include "allocation/allocation.h"
#include "broker/broker.h"
#include "cli/fleet_commands.h"
#include "cli/registry_commands.h"
#include "config/config.h"
#include "config/version.h"
#include "log/log.h"
#include "net/loop.h"
#include "net/signals.h"
#include "options/options.h"

namespace {

constexpr int exit_failure = 1;                // start-up or run-time failure
constexpr int exit_invalid_configuration = 2;  // invalid configuration or options file

pearspar::config::Config read_config(const std::string& path) {
  pearspar::config::Config config = pearspar::config::read_config_file(path);
  // The descriptor limit of the process bounds the configured number of sockets.
  rlimit descriptors{};
  if (::getrlimit(RLIMIT_NOFILE, &descriptors) == 0 && descriptors.rlim_cur != RLIM_INFINITY)
    config.max_sockets =
        static_cast<int>(std::min<rlim_t>(static_cast<rlim_t>(config.max_sockets), descriptors.rlim_cur));
  return config;
}

pearspar::options::Options read_options(const std::string& path) {
  return path.empty() ? pearspar::options::Options() : pearspar::options::read_options_file(path);
}

// Reloads both files; an invalid file is logged and leaves the running configuration unchanged.
void reload(pearspar::broker::Broker& broker, pearspar::log::Logger& log, const std::string& path,
            const std::string& options_path) {
  try {
    const pearspar::options::Options options = read_options(options_path);
    broker.reload(read_config(path), options);
  } catch (const pearspar::options::OptionsError& error) {
    for (const std::string& message : error.errors()) log.error("reload: {}", message);
    log.error("reload: the options in force stay");
  } catch (const std::exception& error) {
    log.error("reload: {}; the configuration in force stays", error.what());
  }
}

// After a failed allocation, frees client connections until the memory reserve can be filled again.
void refill_memory_reserve(pearspar::broker::Broker& broker, pearspar::log::Logger& log) {
  int closed = 0;
  while (!pearspar::allocation::fill_reserve() && broker.shed()) ++closed;
  log.warning("out of memory: {} allocations failed since the start, memory of {} client connections freed",
              pearspar::allocation::refusals(), closed);
}

int serve(const std::string& config_path, const std::string& options_path, pearspar::log::Level level) {
  pearspar::net::Signals signals{SIGTERM, SIGINT, SIGUSR1, SIGHUP};
  const pearspar::config::Config config = read_config(config_path);
  const pearspar::options::Options options = read_options(options_path);
  pearspar::log::Logger log(STDERR_FILENO, level, config.name, options.log);
  pearspar::net::Loop loop;
  pearspar::broker::Broker broker(loop, log, config, pearspar::make_policy(config.policy, config.seed),
                                  options);
  pearspar::net::Watch watch = signals.watch(loop, [&](int signal) {
    if (signal == SIGUSR1)
      log.info("counters {}", broker.counters_json());
    else if (signal == SIGHUP)
      reload(broker, log, config_path, options_path);
    else
      broker.start_draining();
  });
  pearspar::allocation::set_report(STDERR_FILENO, config.name.c_str(), nullptr);
  pearspar::allocation::fill_reserve();
  broker.start();
  while (!broker.done()) {
    loop.run_once();
    broker.end_turn();
    if (!pearspar::allocation::reserve_is_whole()) refill_memory_reserve(broker, log);
  }
  log.info("ended, counters {}", broker.counters_json());
  return 0;
}

}  // namespace

int main(int argc, char** argv) {
  CLI::App app{"pearspar: serves a query from many shards"};
  app.require_subcommand(1);
  std::string config_path;
  if (const char* path = std::getenv("GW_CONFIG")) config_path = path;
  std::string options_path;
  auto add_config = [&](CLI::App* command) {
    command->add_option("--config", config_path, "the configuration file (default: $GW_CONFIG)");
    command->add_option("--options", options_path, "the operator's file (default: none)");
  };
  CLI::App* serve_command = app.add_subcommand("serve", "serve until SIGTERM or SIGINT");
  add_config(serve_command);
  pearspar::log::Level level = pearspar::log::Level::info;
  const std::map<std::string, pearspar::log::Level> levels = {{"error", pearspar::log::Level::error},
                                                              {"warning", pearspar::log::Level::warning},
                                                              {"info", pearspar::log::Level::info},
                                                              {"debug", pearspar::log::Level::debug}};
  serve_command->add_option("--log-level", level, "error, warning, info or debug")
      ->transform(CLI::CheckedTransformer(levels, CLI::ignore_case));
  CLI::App* check_command = app.add_subcommand("check-config", "validate the configuration");
  add_config(check_command);
  CLI::App* version_command = app.add_subcommand("version", "print the version");
  pearspar::cli::RegistryArguments registry_arguments;
  CLI::App* registry_command = pearspar::cli::add_registry_commands(app, registry_arguments);
  pearspar::cli::FleetArguments fleet_arguments;
  CLI::App* fleet_command = pearspar::cli::add_fleet_commands(app, fleet_arguments);
  CLI11_PARSE(app, argc, argv);
  try {
    if (*version_command) {
      std::printf("pearspar %s\n", pearspar::version);
      return 0;
    }
    if (*fleet_command) return pearspar::cli::run_fleet_command(fleet_arguments);
    if (*registry_command) return pearspar::cli::run_registry_command(registry_arguments);
    // The options file can be checked without a configuration file.
    if (*check_command && !options_path.empty()) {
      read_options(options_path);
      std::printf("%s: good\n", options_path.c_str());
      if (config_path.empty()) return 0;
    }
    if (config_path.empty())
      throw pearspar::config::ConfigError(
          "configuration: no file is named, neither by --config nor by GW_CONFIG");
    if (*check_command) {
      pearspar::config::Config config = pearspar::config::read_config_file(config_path);
      std::printf("%s: good, %zu nodes known\n", config_path.c_str(), config.known.entries.size());
      return 0;
    }
    return serve(config_path, options_path, level);
  } catch (const pearspar::options::OptionsError& error) {
    for (const std::string& message : error.errors()) std::fprintf(stderr, "pearspar: %s\n", message.c_str());
    return exit_invalid_configuration;
  } catch (const pearspar::config::ConfigError& error) {
    std::fprintf(stderr, "pearspar: %s\n", error.what());
    return exit_invalid_configuration;
  } catch (const std::exception& error) {
    std::fprintf(stderr, "pearspar: %s\n", error.what());
    return exit_failure;
  }
}
