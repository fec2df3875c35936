// Reads and validates the operator's options file, a protobuf text file with the schema options.proto.
#pragma once

#include <optional>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

#include "log/log.h"
#include "membership/members.h"
#include "peers/core.h"
#include "registry/source.h"

namespace pearspar::options {

// Validation errors, one per line, each as `FILE:LINE:COLUMN: FIELD: message`.
class OptionsError : public std::runtime_error {
 public:
  explicit OptionsError(std::vector<std::string> errors);
  const std::vector<std::string>& errors() const { return errors_; }

 private:
  std::vector<std::string> errors_;
};

// Source of the node list.
enum class MembershipKind { agent, registry, fixed };

// Registration of the broker in a registry.
struct RegistrationOptions {
  registry::RegistryOptions registry;
  std::string prefix = "/pearspar/brokers/";
  std::chrono::seconds lease{5};
  std::string zone;
};

// Membership of the broker in a fleet.
struct FleetOptions {
  peers::Options core;
  net::Address listen;
  std::optional<net::Address> advertise;
  std::optional<std::string> registry_prefix;
  std::string zone;
  std::string region;
  bool leave_by_request = false;

  // All values on one line; equal options have equal texts.
  std::string text() const;
};

// The validated options file.
struct Options {
  MembershipKind membership = MembershipKind::agent;
  std::optional<registry::RegistryOptions> registry;
  membership::MemberList fixed;
  std::optional<RegistrationOptions> registration;
  log::Options log;
  std::optional<FleetOptions> fleet;
};

// Sections that differ and take effect only after a restart.
std::vector<std::string> restart_required_changes(const Options& now, const Options& then);

// `name` is the file name used in errors. Both throw OptionsError with all errors found.
Options read_options(std::string_view text, const std::string& name);
Options read_options_file(const std::string& path);

}  // namespace pearspar::options
