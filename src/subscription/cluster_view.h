// The state of the cluster as learned from the leader's updates: the newest configuration, the list of nodes,
// and the versions of services. Free of I/O.
//
// Invariant: within one run of a process the view never goes back to an older revision of the configuration,
// to updates of an older term, from a closing node to an open one, or to an older record of versions.
#pragma once

#include <map>
#include <string>
#include <utility>
#include <vector>

#include "catalog/configuration.h"
#include "catalog/departures.h"
#include "catalog/node_list.h"
#include "catalog/service_versions.h"
#include "protocol/messages.h"

namespace pearspar::subscription {

using catalog::Duration;
using catalog::Time;

class ClusterView {
 public:
  enum class ApplyResult {
    applied,  // to be acknowledged
    stale,    // nothing new
    gap       // earlier updates are missing: a snapshot has to be requested
  };

  ApplyResult apply(Time now, const protocol::StateSnapshot& snapshot);
  ApplyResult apply(Time now, const protocol::Changes& changes);
  ApplyResult apply(const protocol::Ping& ping);
  // A configuration that was requested from a member, apart from the leader's stream of updates.
  void apply(const protocol::ConfigurationUpdate& update);
  // Applies a change that this process has made as the leader.
  void apply_own(Time now, protocol::Position at, const protocol::Change& change);

  const protocol::Position& at() const { return at_; }
  const catalog::ConfigurationPtr& configuration() const { return configuration_; }
  catalog::Revision revision() const { return configuration_ ? configuration_->revision : 0; }
  // The newest revision that an update has named. Above revision() if that one could not be read or applied.
  catalog::Revision announced_revision() const { return announced_revision_; }
  // Replaces the configuration if the revision is newer.
  void adopt(catalog::ConfigurationPtr configuration);
  // Applies a departure that is recorded, whatever an outdated list says.
  void apply(const catalog::Departure& departure);
  // Takes over the versions of a service if they are newer than what is known.
  void adopt(const catalog::ServiceVersions& versions);
  // By service. One without a record may be served by nodes of any version.
  const std::map<std::string, catalog::ServiceVersions, std::less<>>& service_versions() const {
    return service_versions_;
  }
  // Services whose versions were changed since the last call.
  std::vector<std::string> take_changed_services() { return std::exchange(changed_services_, {}); }
  const catalog::NodeList& nodes() const { return nodes_; }
  catalog::NodeList& nodes() { return nodes_; }
  std::uint32_t edge_count() const { return edge_count_; }
  // Mean coverage of the edges, as last reported by the leader (0 to 1).
  double coverage() const { return coverage_; }
  // Ids of nodes that were changed or removed since the last call.
  std::vector<std::string> take_changed_nodes() { return std::exchange(changed_nodes_, {}); }
  // Whether there is a configuration and at least one node.
  bool is_usable() const { return configuration_ && !nodes_.all().empty(); }

 private:
  void apply(Time now, const protocol::Change& change);
  void put(Time now, const protocol::NodeUpdate& update);
  void adopt_text(const std::string& text, catalog::Revision received_revision);
  void adopt_delta(const std::string& delta, catalog::Revision received_revision);
  void adopt_newest(const protocol::Changes& changes, std::size_t first);

  protocol::Position at_;
  catalog::ConfigurationPtr configuration_;
  catalog::Revision announced_revision_ = 0;
  catalog::NodeList nodes_;
  std::uint32_t edge_count_ = 0;
  double coverage_ = 1;
  std::vector<std::string> changed_nodes_;
  std::map<std::string, catalog::ServiceVersions, std::less<>> service_versions_;
  std::vector<std::string> changed_services_;
};

}  // namespace pearspar::subscription
