// The operators' commands. People's form on standard output, or the members' JSON as it came; faults on
// standard error; the exit status says which kind.
#pragma once

#include <cstdio>
#include <string>
#include <vector>

#include "admin_client/admin_client.h"

namespace pearspar::admin_client {

// ExitStatus statuses, for scripts.
enum ExitStatus {
  good = 0,
  failed = 1,     // nobody has answered, or not in time; an order may have been taken
  bad_input = 2,  // the command line or a file is no good
  refused = 3,    // an answer, and it is no: another revision, an invalid configuration, no such node
  differs = 4,  // files differ; members do not agree, do not answer, know of no leader; nothing new was taken
};

struct Options {
  std::vector<std::string> members;  // control addresses
  bool json = false;
  double within_s = 10;
  double every_s = 1;  // watch
  double for_s = 0;    // watch: 0 = until it is stopped
  long long on = -1;   // put: the revision that it builds on; below 0: what is in place
};

// `words` is the command and its operands: status | members | leader | nodes | drain ID | config get | config
// check FILE | config put FILE | config diff FILE | config watch | config history [N] | allowance show
// [HOLDER] | allowance export FILE | snapshot save FILE | snapshot verify FILE | snapshot restore FILE.
int run(const std::vector<std::string>& words, const Options& options, std::FILE* out, std::FILE* err);
bool is_admin_command(const std::string& command);
const char* usage();

}  // namespace pearspar::admin_client
