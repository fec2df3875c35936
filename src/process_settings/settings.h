// The settings file that the platform hands to a process (TOML): read and checked in one place. Fields that
// are not known here are passed over.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace pearspar::process_settings {

struct Settings {
  std::string node_name;
  std::string role;
  std::string ip;
  std::string zone;
  int first_inner_port = 0;
  int last_inner_port = 0;
  std::vector<std::string> seeds;  // control addresses
  bool first_start = false;
  bool counted = false;
  std::string data_dir;  // empty where there is no disk
  double beat_ms = 1200;
  // Where to listen; empty where it is not served.
  std::string front_door;
  std::string ready_check;
  std::string control_port;
  int memory_mb = 256;
  std::size_t memory_bytes(double share) const {
    return static_cast<std::size_t>(memory_mb * share * (1 << 20));
  }
  int files = 1024;
  // Bounds of the rules.
  double in_touch_ms = 4000;
  double drain_ms = 3000;
  double grace_s = 6;
  double retry_ratio = 0;
  double retry_window_s = 10;
  double retry_slack = 0;

  std::string inner_address() const { return ip + ":" + std::to_string(first_inner_port); }
  // Where an edge answers other edges; a member on the same machine has the first port. Empty where there is
  // one port only.
  std::string edge_address() const {
    return first_inner_port < last_inner_port ? ip + ":" + std::to_string(last_inner_port) : std::string();
  }
  // The seeds as other processes are reached: the inner port is the same on all machines.
  std::vector<std::string> inner_seeds() const;
};

struct SettingsResult {
  Settings settings;
  std::string fault;  // "FILE:LINE:COLUMN: KEY: what is wrong"; empty = none
};

SettingsResult read_settings(const std::string& path);
SettingsResult read_settings_text(std::string_view text, const std::string& name);

}  // namespace pearspar::process_settings
