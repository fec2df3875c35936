// The one place where a broker's configuration is read, checked and given its defaults.
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

// The text is one line that names the faulty key.
class ConfigError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

struct Config {
  std::string name;
  net::Address listen;
  net::Address discovery;
  std::uint64_t seed = 0;
  int max_sockets = 0;
  int memory_mb = 0;            // that this process may use
  discovery::MemberList known;  // as this broker last had it; may be old, or empty
  Settings policy;
  settings::BrokerSettings broker;
  settings::Values settings;  // all of them, as they were written
};

Config read_config(std::string_view text);
Config read_config_file(const std::string& path);

// The keys that differ between the two and take effect only at a start. The seed and the known list are for
// the start alone and new each time, so they are not told.
std::vector<std::string> restart_required_changes(const Config& now, const Config& then);

}  // namespace pearspar::config
