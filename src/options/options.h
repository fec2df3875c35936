// The operator's file, read and checked in one place. Its schema is options.proto.
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

// One fault a line, each as `FILE:LINE:COLUMN: FIELD: what is wrong`.
class OptionsError : public std::runtime_error {
 public:
  explicit OptionsError(std::vector<std::string> errors);
  const std::vector<std::string>& errors() const { return errors_; }

 private:
  std::vector<std::string> errors_;
};

enum class MembershipKind { agent, registry, fixed };

struct RegistrationOptions {
  registry::RegistryOptions registry;
  std::string prefix = "/pearspar/brokers/";
  std::chrono::seconds lease{5};
  std::string zone;
};

struct FleetOptions {
  peers::Options core;
  net::Address listen;
  std::optional<net::Address> advertise;
  std::optional<std::string> registry_prefix;
  std::string zone;
  std::string region;
  bool leave_by_request = false;

  // What of it can be said in one line; two of one text are alike.
  std::string text() const;
};

struct Options {
  MembershipKind membership = MembershipKind::agent;
  std::optional<registry::RegistryOptions> registry;
  membership::MemberList fixed;
  std::optional<RegistrationOptions> registration;
  log::Options log;
  std::optional<FleetOptions> fleet;
};

// The parts that differ between the two and take effect only at a start.
std::vector<std::string> restart_required_changes(const Options& now, const Options& then);

// `name` stands in the errors. Throws OptionsError with every fault that was found.
Options read_options(std::string_view text, const std::string& name);
Options read_options_file(const std::string& path);

}  // namespace pearspar::options
