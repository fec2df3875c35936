// `pearspar fleet ...`: what the brokers of a fleet say of it, asked at the addresses where their clients
// come.
#pragma once

#include <CLI/CLI.hpp>
#include <string>
#include <vector>

namespace pearspar::cli {

struct FleetArguments {
  std::vector<std::string> brokers;
  double timeout_s = 2;
  bool json = false;
  std::string command;
  bool all = false;      // members: gone and left ones too. check: the brokers that the first one names
  double every_s = 0.2;  // watch
  double for_s = 0;      // watch: 0 = until SIGINT; check: how long to wait for agreement
};

CLI::App* add_fleet_commands(CLI::App& app, FleetArguments& arguments);
// 0 done, and for check: all asked agree and are settled; 1 a broker cannot be reached or has no fleet; 2 the
// arguments are no good; 3 check: they do not agree, or are not settled.
int run_fleet_command(const FleetArguments& arguments);

}  // namespace pearspar::cli
