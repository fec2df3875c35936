#include "dispatch/load_balancer.h"

#include <algorithm>

namespace pearspar::dispatch {
namespace {

using namespace std::chrono_literals;
using catalog::NodeGroup;

// How long a node is avoided after its first failure; doubles with each further failure in a row.
constexpr Duration base_backoff = 100ms;
constexpr Duration max_backoff = 2s;
constexpr int unresponsive_after_calls = 2;
constexpr Duration probe_interval = 100ms;

}  // namespace

void LoadBalancer::update(const std::string& id, const catalog::Node* node) {
  auto found = nodes_.find(id);
  if (!node) {
    if (found == nodes_.end()) return;
    found->second->listed = false;
    if (found->second->open_calls == 0) remove(id);
    return;
  }
  if (found != nodes_.end() && found->second->service != node->service)
    return;  // a node never changes its service
  if (found == nodes_.end()) {
    found = nodes_.emplace(id, std::make_shared<NodeState>()).first;
    services_[node->service].nodes.push_back(found->second);
  }
  const Service& service = services_[node->service];
  NodeState& known = *found->second;
  known.id = id;
  known.service = node->service;
  known.address = node->address;
  known.zone = node->zone;
  known.software_version = node->software_version;
  known.group =
      service.versions ? service.versions->group_of(node->software_version) : catalog::NodeGroup::current;
  known.slots = std::max(1, node->slots);
  known.closing = node->closing;
  known.cold_until = node->cold_until;
  known.listed = true;
}

void LoadBalancer::set_versions(const catalog::ServiceVersions& versions) {
  Service& service = services_[versions.service];
  service.versions = versions;
  for (const NodePtr& node : service.nodes) node->group = versions.group_of(node->software_version);
}

void LoadBalancer::remove(const std::string& id) {
  auto found = nodes_.find(id);
  auto& nodes = services_[found->second->service].nodes;
  std::erase(nodes, found->second);
  nodes_.erase(found);
}

std::size_t LoadBalancer::available_nodes(const std::string& service_name) const {
  auto service = services_.find(service_name);
  if (service == services_.end()) return 0;
  return static_cast<std::size_t>(
      std::count_if(service->second.nodes.begin(), service->second.nodes.end(),
                    [](const NodePtr& node) { return node->available(NodeGroup::current); }));
}

bool LoadBalancer::has_alternative(Time now, const std::string& service_name,
                                   const std::vector<NodePtr>& excluded, NodeGroup group) const {
  auto service = services_.find(service_name);
  if (service == services_.end()) return false;
  return std::any_of(service->second.nodes.begin(), service->second.nodes.end(), [&](const NodePtr& node) {
    return node->available(group) && now >= node->avoid_until &&
           std::find(excluded.begin(), excluded.end(), node) == excluded.end();
  });
}

bool LoadBalancer::is_responsive(const std::string& service_name, NodeGroup group) const {
  auto service = services_.find(service_name);
  if (service == services_.end()) return false;
  return std::any_of(service->second.nodes.begin(), service->second.nodes.end(), [&](const NodePtr& node) {
    return node->available(group) && node->unanswered_calls < unresponsive_after_calls;
  });
}

bool LoadBalancer::take_probe(Time now, const std::string& service_name) {
  if (available_nodes(service_name) == 0) return false;
  Service& service = services_[service_name];
  if (now < service.next_probe) return false;
  service.next_probe = now + probe_interval;
  return true;
}

NodePtr LoadBalancer::choose(Time now, const std::string& service_name, const std::vector<NodePtr>& excluded,
                             std::uint64_t rotation, double other_zone_factor, NodeGroup group) const {
  auto service = services_.find(service_name);
  if (service == services_.end()) return nullptr;
  const auto& nodes = service->second.nodes;
  double latency_sum = 0;
  int with_latency = 0;
  for (const NodePtr& node : nodes)
    if (node->listed && node->group == group && node->has_latency)
      latency_sum += node->latency_ms, ++with_latency;
  double average_latency = with_latency > 0 ? latency_sum / with_latency : 1;
  NodePtr best;
  double best_cost = 0;
  bool best_is_avoided = false;
  for (std::size_t i = 0; i < nodes.size(); ++i) {
    const NodePtr& node = nodes[(i + rotation) % nodes.size()];
    if (!node->available(group) || std::find(excluded.begin(), excluded.end(), node) != excluded.end())
      continue;
    bool avoided = now < node->avoid_until;
    double cost = (node->has_latency ? node->latency_ms : average_latency) * (1 + node->open_calls);
    if (node->zone != home_zone_) cost *= other_zone_factor;
    if (best && (avoided != best_is_avoided ? avoided : cost >= best_cost)) continue;
    best = node;
    best_cost = cost;
    best_is_avoided = avoided;
  }
  return best;
}

void LoadBalancer::call_answered(Time, NodeState& node, Duration took) {
  double ms = took.count() * 1000;
  node.latency_ms = node.has_latency ? node.latency_ms + latency_smoothing * (ms - node.latency_ms) : ms;
  node.has_latency = true;
  node.unanswered_calls = 0;
  node.avoid_until = Time{};
}

// The node is up but at capacity, which other edges also use: avoided only briefly.
void LoadBalancer::call_refused(Time now, NodeState& node) {
  node.unanswered_calls = 0;
  node.avoid_until = now + base_backoff / 4;
}

void LoadBalancer::call_failed(Time now, NodeState& node) {
  node.unanswered_calls = std::min(node.unanswered_calls + 1, 10);
  node.avoid_until =
      now + std::min(max_backoff, base_backoff * static_cast<double>(1 << (node.unanswered_calls - 1)));
}

void LoadBalancer::call_late(Time now, NodeState& node, Duration waited) {
  double ms = waited.count() * 1000;
  if (!node.has_latency || ms > node.latency_ms)
    node.latency_ms = node.has_latency ? node.latency_ms + latency_smoothing * (ms - node.latency_ms) : ms;
  node.has_latency = true;
  node.unanswered_calls = std::min(node.unanswered_calls + 1, 10);
  // A single late answer is normal; several in a row mean that the node is likely down.
  if (node.unanswered_calls >= 3)
    node.avoid_until =
        now + std::min(max_backoff, base_backoff * static_cast<double>(1 << (node.unanswered_calls - 3)));
}

void LoadBalancer::call_ended(NodeState& node) {
  --node.open_calls;
  if (!node.listed && node.open_calls == 0) remove(std::string(node.id));
}

}  // namespace pearspar::dispatch
