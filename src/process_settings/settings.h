// The settings file (TOML) that the platform passes to the program altavia: reading and validation. Unknown
// fields are ignored.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace pearspar::process_settings {

// Contents of the settings file, with defaults for optional fields.
struct Settings {
  std::string node_name;
  std::string role;
  std::string ip_address;
  std::string zone;
  int first_inner_port = 0;
  int last_inner_port = 0;
  std::vector<std::string> seeds;  // control addresses of members
  bool first_start = false;
  bool counted = false;
  std::string data_dir;  // empty without a disk
  double heartbeat_interval_ms = 1200;
  // Listening addresses; empty if this process does not serve that port.
  std::string client_listen_address;
  std::string readiness_listen_address;
  std::string control_listen_address;
  int memory_limit_mb = 256;
  // `share` of the memory limit.
  std::size_t memory_bytes(double share) const {
    return static_cast<std::size_t>(memory_limit_mb * share * (1 << 20));
  }
  int open_file_limit = 1024;
  // `ruleBounds` of the file.
  double in_touch_ms = 4000;
  double drain_ms = 3000;
  double config_within_ms = 3000;
  double shutdown_grace_s = 6;
  double retry_ratio = 0;
  double retry_window_s = 10;
  double retry_slack = 0;
  double acknowledge_within_ms = 5000;
  double exposure_share = 0.1;  // of a service's requests that a bad version may get while it is rolled out
  double exposure_slack = 50;   // requests beside that share

  std::string inner_address() const { return ip_address + ":" + std::to_string(first_inner_port); }
  // Where an edge answers other edges; a member on the same machine uses the first port. Empty if the range
  // has only one port.
  std::string edge_address() const {
    return first_inner_port < last_inner_port ? ip_address + ":" + std::to_string(last_inner_port)
                                              : std::string();
  }
  // Inner addresses of the seeds: the inner port is the same on all machines.
  std::vector<std::string> inner_seeds() const;
};

// The settings, or the first error in the file.
struct SettingsResult {
  Settings settings;
  std::string fault;  // "FILE:LINE:COLUMN: KEY: problem"; empty = none
};

SettingsResult read_settings(const std::string& path);
// `name` stands for the file in error messages.
SettingsResult read_settings_text(std::string_view text, const std::string& name);

}  // namespace pearspar::process_settings
