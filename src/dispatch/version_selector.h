// Decides which calls of a service go to a version that is being rolled out, and is told how its calls went.
#pragma once

#include <string>

#include "catalog/configuration.h"
#include "catalog/service_versions.h"
#include "dispatch/types.h"

namespace pearspar::dispatch {

// How a call to a node ended, as far as it tells about the node's version.
enum class VersionOutcome {
  success,
  failure,  // an error, or no whole answer
  refused   // the node did not run it
};

class VersionSelector {
 public:
  virtual ~VersionSelector() = default;
  // The group that the next call of the service is meant for. `first_call`: of its part of the request.
  virtual catalog::NodeGroup select(Time now, const std::string& service, const catalog::Route& route,
                                    bool first_call) = 0;
  // The group that all calls of the service are meant for, as far as none is under a lease.
  virtual catalog::NodeGroup main_group(Time now, const std::string& service) const = 0;
  // A call was sent to a node of the group.
  virtual void call_started(Time now, const std::string& service, catalog::NodeGroup group,
                            bool first_call) = 0;
  virtual void call_ended(Time now, const std::string& service, const catalog::Route& route,
                          const std::string& node, const std::string& version, VersionOutcome outcome,
                          Duration took) = 0;
  // A call to a node ended without telling anything of its version.
  virtual void call_dropped(const std::string& service, const std::string& version) = 0;
};

}  // namespace pearspar::dispatch
