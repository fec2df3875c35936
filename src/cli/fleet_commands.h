// `pearspar fleet ...`: queries the fleet views of brokers over their client addresses.
#pragma once

#include <CLI/CLI.hpp>
#include <string>
#include <vector>

namespace pearspar::cli {

// Command-line arguments of all fleet commands.
struct FleetArguments {
  std::vector<std::string> brokers;
  double timeout_s = 2;
  bool json = false;
  std::string command;
  bool all = false;  // members: include gone and left ones; check: include all members the first broker lists
  double every_s = 0.2;  // watch: polling interval
  double for_s = 0;      // watch: 0 = until SIGINT; check: time to wait for agreement
};

// Adds the `fleet` subcommands; parsed values go to `arguments`.
CLI::App* add_fleet_commands(CLI::App& app, FleetArguments& arguments);
// Exit status: 0 success (check: all views are equal and settled); 1 a broker is unreachable or has no fleet;
// 2 invalid arguments; 3 check: the views differ or are not settled.
int run_fleet_command(const FleetArguments& arguments);

}  // namespace pearspar::cli
