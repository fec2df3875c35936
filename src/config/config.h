// Reads and validates the broker's JSON configuration and applies defaults.
#pragma once

#include <cstdint>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

#include "discovery/members.h"
#include "net/socket.h"
#include "policy/policy.h"
#include "settings/settings.h"

namespace pearspar::config {

// The message is one line that names the invalid key.
class ConfigError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

// The validated configuration of one broker.
struct Config {
  std::string name;
  net::Address listen;
  net::Address discovery;
  std::uint64_t seed = 0;
  int max_sockets = 0;
  int memory_mb = 0;            // memory budget of the process
  discovery::MemberList known;  // last list saved by this broker; may be stale or empty
  Settings policy;
  settings::BrokerSettings broker;
  settings::Values settings;  // all settings in textual form
};

// Both throw ConfigError.
Config read_config(std::string_view text);
Config read_config_file(const std::string& path);

// Keys that differ and take effect only after a restart. The seed and the known list change with every
// start and are not reported.
std::vector<std::string> restart_required_changes(const Config& now, const Config& then);

}  // namespace pearspar::config
