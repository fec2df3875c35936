// `pearspar registry ...`: reads and edits node records in the registry.
#pragma once

#include <CLI/CLI.hpp>
#include <string>
#include <vector>

namespace pearspar::cli {

// Command-line arguments of all registry commands.
struct RegistryArguments {
  std::string options_path;
  std::string dialect = "etcd";
  std::vector<std::string> endpoints;
  std::string prefix;
  double timeout_s = 5;
  bool json = false;
  // The chosen command and its arguments.
  std::string command;
  std::string id;
  std::string address;
  std::string zone;
  std::string kind;
  int cell = 0;
  double size = 1;
  bool draining = false;
  double start_ms = 0;
  bool if_absent = false;
  double for_s = 0;  // watch: 0 = until SIGINT
};

// Adds the `registry` subcommands; parsed values go to `arguments`.
CLI::App* add_registry_commands(CLI::App& app, RegistryArguments& arguments);
// Exit status: 0 success; 1 the registry is unreachable or refused the request; 2 invalid arguments; 3 the
// node does not exist or a record is invalid.
int run_registry_command(const RegistryArguments& arguments);

}  // namespace pearspar::cli
