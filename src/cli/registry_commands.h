// `pearspar registry ...`: what an operator does by hand in the registry, on the broker's own client code.
#pragma once

#include <CLI/CLI.hpp>
#include <string>
#include <vector>

namespace pearspar::cli {

struct RegistryArguments {
  std::string options_path;
  std::string dialect = "etcd";
  std::vector<std::string> endpoints;
  std::string prefix;
  double timeout_s = 5;
  bool json = false;
  // Of the command that was chosen.
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

CLI::App* add_registry_commands(CLI::App& app, RegistryArguments& arguments);
// 0 done; 1 the registry cannot be reached or would not; 2 the arguments are no good; 3 there is no such
// node, or a record that cannot be read.
int run_registry_command(const RegistryArguments& arguments);

}  // namespace pearspar::cli
