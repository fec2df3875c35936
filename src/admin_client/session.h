// The commands of altavia as methods of one session with the members.
#pragma once

#include <cstdio>
#include <string>
#include <vector>

#include "admin_client/admin_client.h"
#include "admin_client/commands.h"
#include "catalog/configuration.h"
#include "catalog/json.h"
#include "net/loop.h"

namespace pearspar::admin_client {

// The value of a JSON object's key as text: whole numbers, "yes" and "no" for booleans, "-" for anything
// else.
std::string text_of(const cJSON* object, const char* key);
// Formats rows as a table with aligned columns.
std::string format_table(const std::vector<std::vector<std::string>>& rows);

// Runs the commands on one client and one pair of output streams. Each command returns its exit status.
class Session {
 public:
  Session(const Options& options, std::FILE* out, std::FILE* err)
      : options_(options), caller_(loop_, options.members), out_(out), err_(err) {}

  int status();
  int leader();
  int members();
  int nodes();
  int drain(const std::string& id);
  int config_get();
  int config_check(const std::string& file);
  int config_put(const std::string& file);
  int config_diff(const std::string& file);
  int config_watch();
  int history(const std::string& newest);
  int rollout_start(const std::string& service, const std::string& version, const std::string& seconds);
  int rollout_status(const std::string& service);
  int rollout_why(const std::string& service);
  int allowance_show(const std::string& holder);
  int allowance_export(const std::string& file);
  int snapshot_save(const std::string& file);
  int snapshot_verify(const std::string& file, catalog::ConfigurationPtr* held = nullptr);
  int snapshot_restore(const std::string& file);

 private:
  AdminReply get(const std::string& path);
  // Sends a configuration that is to replace the revision `base`.
  int put(const catalog::Configuration& next, catalog::Revision base);
  // Reads the revision in force; 0 if there is none.
  int read_current_revision(catalog::Revision& base);
  // Prints the error of a reply whose status is not 200.
  int report_error(const AdminReply& reply);
  // Prints an error and returns `status`.
  int fail(int status, const std::string& what);
  int show_json(const std::string& body);
  bool read_file(const std::string& file, std::string& text);
  // Null after the fault was printed.
  catalog::ConfigurationPtr read_config(const std::string& file);

  const Options& options_;
  net::Loop loop_;
  AdminClient caller_;
  std::FILE* out_;
  std::FILE* err_;
};

}  // namespace pearspar::admin_client
