#include "admin_client/commands.h"

#include <algorithm>

#include "admin_client/session.h"
#include "net/socket.h"

namespace pearspar::admin_client {

const char* usage() {
  return "[OPTIONS] serve | check-settings | status | members | leader | nodes | drain ID |\n"
         "        config get|check FILE|put FILE|diff FILE|watch|history [N] | snapshot save|verify|restore "
         "FILE "
         "|\n"
         "        rollout start DEPOT EDITION SECONDS | rollout status [DEPOT] | rollout why DEPOT |\n"
         "        allowance show [HOLDER] | allowance export FILE";
}

bool is_admin_command(const std::string& command) {
  for (const char* known :
       {"status", "members", "leader", "nodes", "drain", "config", "snapshot", "allowance", "rollout"})
    if (command == known) return true;
  return false;
}

namespace {

int run_command(const std::vector<std::string>& words, const Options& options, std::FILE* out,
                std::FILE* err) {
  Session session(options, out, err);
  auto is = [&](std::initializer_list<const char*> command, std::size_t operands) {
    return words.size() == command.size() + operands &&
           std::equal(command.begin(), command.end(), words.begin());
  };
  bool offline = is({"config", "check"}, 1) || is({"snapshot", "verify"}, 1);
  if (!offline && options.members.empty()) {
    std::fprintf(err,
                 "altavia: no member is named: --at ADDRESS[,ADDRESS...], or a settings file with seeds\n");
    return bad_input;
  }
  for (const std::string& member : options.members)
    if (!offline && !net::Address::parse(member)) {
      std::fprintf(err, "altavia: %s: is no address such as 10.0.0.1:8729\n", member.c_str());
      return bad_input;
    }
  if (is({"status"}, 0)) return session.status();
  if (is({"members"}, 0)) return session.members();
  if (is({"leader"}, 0)) return session.leader();
  if (is({"nodes"}, 0)) return session.nodes();
  if (is({"drain"}, 1)) return session.drain(words[1]);
  if (is({"config", "get"}, 0)) return session.config_get();
  if (is({"config", "check"}, 1)) return session.config_check(words[2]);
  if (is({"config", "put"}, 1)) return session.config_put(words[2]);
  if (is({"config", "diff"}, 1)) return session.config_diff(words[2]);
  if (is({"config", "watch"}, 0)) return session.config_watch();
  if (is({"config", "history"}, 0)) return session.history({});
  if (is({"config", "history"}, 1)) return session.history(words[2]);
  if (is({"rollout", "start"}, 3)) return session.rollout_start(words[2], words[3], words[4]);
  if (is({"rollout", "status"}, 0)) return session.rollout_status({});
  if (is({"rollout", "status"}, 1)) return session.rollout_status(words[2]);
  if (is({"rollout", "why"}, 1)) return session.rollout_why(words[2]);
  if (is({"allowance", "show"}, 0)) return session.allowance_show({});
  if (is({"allowance", "show"}, 1)) return session.allowance_show(words[2]);
  if (is({"allowance", "export"}, 1)) return session.allowance_export(words[2]);
  if (is({"snapshot", "save"}, 1)) return session.snapshot_save(words[2]);
  if (is({"snapshot", "verify"}, 1)) return session.snapshot_verify(words[2]);
  if (is({"snapshot", "restore"}, 1)) return session.snapshot_restore(words[2]);
  std::fprintf(err, "altavia: no such command; there are: %s\n", usage());
  return bad_input;
}

}  // namespace

int run(const std::vector<std::string>& words, const Options& options, std::FILE* out, std::FILE* err) {
  const int result = run_command(words, options, out, err);
  // A failed write, such as to a full disk, must not look like success.
  if (std::fflush(out) == 0 && !std::ferror(out)) return result;
  std::fprintf(err, "altavia: the output cannot be written\n");
  return result == good ? failed : result;
}

}  // namespace pearspar::admin_client
