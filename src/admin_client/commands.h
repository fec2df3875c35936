// The operators' commands of altavia. Results go to standard output, as tables or as the members' JSON;
// errors go to standard error; the exit status gives the kind of error.
#pragma once

#include <cstdio>
#include <string>
#include <vector>

#include "admin_client/admin_client.h"

namespace pearspar::admin_client {

// Exit statuses, for scripts.
enum ExitStatus {
  good = 0,
  failed = 1,     // no member answered in time; a change may still have been applied
  bad_input = 2,  // invalid command line or file
  refused = 3,    // rejected: another revision is in force, invalid configuration, unknown node
  // The configurations differ; members disagree, do not answer or know no leader; the revision was applied
  // before.
  differs = 4,
};

// Options of the command line.
struct Options {
  std::vector<std::string> members;  // control addresses
  bool json = false;
  double timeout_s = 10;
  double watch_interval_s = 1;
  double watch_duration_s = 0;   // 0 = until the program is stopped
  long long base_revision = -1;  // config put: expected current revision; negative: the one in force
};

// Runs one command and returns its exit status. `words` is the command and its operands: status | members |
// leader | nodes | drain ID | config get | config check FILE | config put FILE | config diff FILE | config
// watch | config history [N] | rollout start DEPOT EDITION SECONDS | rollout status [DEPOT] | rollout why
// DEPOT | allowance show [HOLDER] | allowance export FILE | snapshot save FILE | snapshot verify FILE |
// snapshot restore FILE.
int run(const std::vector<std::string>& words, const Options& options, std::FILE* out, std::FILE* err);
// Whether `command` is the first word of a command that run() handles.
bool is_admin_command(const std::string& command);
// The help text, without the options.
const char* usage();

}  // namespace pearspar::admin_client
