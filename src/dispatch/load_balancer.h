// Load balancing: records the state of each node as this edge sees it and chooses the node for the next call
// of a service. The choice is the node with the lowest smoothed latency times one plus its open calls; a node
// without a measured latency counts as the average. Traffic between zones has a cost, so nodes of other zones
// count as slower by a factor that the caller gives.
#pragma once

#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "catalog/node_list.h"
#include "catalog/service_versions.h"
#include "dispatch/types.h"

namespace pearspar::dispatch {

struct NodeState {
  std::string id;
  std::string service;
  std::string address;
  std::string zone;
  std::string software_version;
  catalog::NodeGroup group = catalog::NodeGroup::current;  // by its version
  int slots = 1;
  bool closing = false;
  bool listed = true;  // false: removed from the node list; kept until its last call ends
  Time cold_until{};

  int open_calls = 0;
  double latency_ms = 0;  // smoothed
  bool has_latency = false;
  int unanswered_calls = 0;  // in a row
  Time avoid_until{};        // chosen before this time only if no other node is available

  // Whether it takes new calls that are sent to nodes of `wanted`.
  bool available(catalog::NodeGroup wanted) const { return listed && !closing && group == wanted; }
};

using NodePtr = std::shared_ptr<NodeState>;  // calls and requests may outlive the node's entry

class LoadBalancer {
 public:
  // Takes over a change of the node list; `node` is null if the node was removed.
  void update(const std::string& id, const catalog::Node* node);
  // Takes over the versions that serve a service. Without them nodes of all versions do.
  void set_versions(const catalog::ServiceVersions& versions);
  void set_home_zone(std::string zone) { home_zone_ = std::move(zone); }

  // The best node of the service and group that is not in `excluded`, or null. Ties are broken by `rotation`.
  // Latencies of nodes in other zones are multiplied by `other_zone_factor`.
  NodePtr choose(Time now, const std::string& service, const std::vector<NodePtr>& excluded,
                 std::uint64_t rotation, double other_zone_factor = 1,
                 catalog::NodeGroup group = catalog::NodeGroup::current) const;
  // Whether there is a node of the group outside `excluded` that is not being avoided.
  bool has_alternative(Time now, const std::string& service, const std::vector<NodePtr>& excluded,
                       catalog::NodeGroup group = catalog::NodeGroup::current) const;
  // False if every node of the service and group has left several calls in a row unanswered.
  bool is_responsive(const std::string& service,
                     catalog::NodeGroup group = catalog::NodeGroup::current) const;
  // Whether an unresponsive service may be probed now; true starts the next probe interval.
  bool take_probe(Time now, const std::string& service);
  // The number of nodes of a service that can be chosen.
  std::size_t available_nodes(const std::string& service) const;

  void call_started(NodeState& node) { ++node.open_calls; }
  void call_answered(Time now, NodeState& node, Duration took);
  // The node refused the call.
  void call_refused(Time now, NodeState& node);
  // The connection failed or broke, or the answer was invalid or an error.
  void call_failed(Time now, NodeState& node);
  // The call is still open at its latency target.
  void call_late(Time now, NodeState& node, Duration waited);
  // The call has ended, in whichever way.
  void call_ended(NodeState& node);
  // Another node answers at its address.
  void call_misdirected(NodeState& node) { node.listed = false; }

 private:
  static constexpr double latency_smoothing = 0.2;

  struct Service {
    std::vector<NodePtr> nodes;
    Time next_probe{};
    std::optional<catalog::ServiceVersions> versions;
  };
  void remove(const std::string& id);

  std::unordered_map<std::string, NodePtr> nodes_;  // by id
  std::unordered_map<std::string, Service> services_;
  std::string home_zone_;
};

}  // namespace pearspar::dispatch
