#include "pederu/node_book.h"

#include <algorithm>

namespace pearspar::pederu {
namespace {

using namespace std::chrono_literals;

// After the first failure in a row; doubled with each further one.
constexpr Duration blame = 100ms;
constexpr Duration most_blame = 2s;
constexpr int silent_calls = 2;
constexpr Duration trial_every = 100ms;

}  // namespace

void NodeBook::update(const std::string& id, const catalog::Node* node) {
  auto found = nodes_.find(id);
  if (!node) {
    if (found == nodes_.end()) return;
    found->second->listed = false;
    if (found->second->out == 0) forget(id);
    return;
  }
  if (found != nodes_.end() && found->second->service != node->service) return;  // one life, one service
  if (found == nodes_.end()) {
    found = nodes_.emplace(id, std::make_shared<KnownNode>()).first;
    services_[node->service].nodes.push_back(found->second);
  }
  KnownNode& known = *found->second;
  known.id = id;
  known.service = node->service;
  known.address = node->address;
  known.zone = node->zone;
  known.slots = std::max(1, node->slots);
  known.closing = node->closing;
  known.cold_until = node->cold_until;
  known.listed = true;
}

void NodeBook::forget(const std::string& id) {
  auto found = nodes_.find(id);
  auto& nodes = services_[found->second->service].nodes;
  std::erase(nodes, found->second);
  nodes_.erase(found);
}

std::size_t NodeBook::open(const std::string& service_name) const {
  auto service = services_.find(service_name);
  if (service == services_.end()) return 0;
  return static_cast<std::size_t>(std::count_if(service->second.nodes.begin(), service->second.nodes.end(),
                                                [](const NodePtr& n) { return n->listed && !n->closing; }));
}

bool NodeBook::other(Time now, const std::string& service_name, const std::vector<NodePtr>& tried) const {
  auto service = services_.find(service_name);
  if (service == services_.end()) return false;
  return std::any_of(service->second.nodes.begin(), service->second.nodes.end(), [&](const NodePtr& node) {
    return node->listed && !node->closing && now >= node->blamed_until &&
           std::find(tried.begin(), tried.end(), node) == tried.end();
  });
}

bool NodeBook::answers(const std::string& service_name) const {
  auto service = services_.find(service_name);
  if (service == services_.end()) return false;
  return std::any_of(service->second.nodes.begin(), service->second.nodes.end(), [](const NodePtr& node) {
    return node->listed && !node->closing && node->silent < silent_calls;
  });
}

bool NodeBook::trial_due(Time now, const std::string& service_name) {
  if (open(service_name) == 0) return false;
  Service& service = services_[service_name];
  if (now < service.trial_due) return false;
  service.trial_due = now + trial_every;
  return true;
}

NodePtr NodeBook::choose(Time now, const std::string& service_name, const std::vector<NodePtr>& tried,
                         std::uint64_t turn, double away) const {
  auto service = services_.find(service_name);
  if (service == services_.end()) return nullptr;
  const auto& nodes = service->second.nodes;
  double sum = 0;
  int heard = 0;
  for (const NodePtr& node : nodes)
    if (node->listed && node->heard) sum += node->latency_ms, ++heard;
  double average = heard > 0 ? sum / heard : 1;
  NodePtr best;
  double least = 0;
  bool best_blamed = false;
  for (std::size_t i = 0; i < nodes.size(); ++i) {
    const NodePtr& node = nodes[(i + turn) % nodes.size()];  // ties go round
    if (!node->listed || node->closing || std::find(tried.begin(), tried.end(), node) != tried.end())
      continue;
    bool blamed = now < node->blamed_until;
    double rank = (node->heard ? node->latency_ms : average) * (1 + node->out);
    if (node->zone != home_) rank *= away;
    if (best && (blamed != best_blamed ? blamed : rank >= least)) continue;
    best = node;
    least = rank;
    best_blamed = blamed;
  }
  return best;
}

void NodeBook::answered(Time, KnownNode& node, Duration took) {
  double ms = took.count() * 1000;
  node.latency_ms = node.heard ? node.latency_ms + smoothing * (ms - node.latency_ms) : ms;
  node.heard = true;
  node.silent = 0;
  node.blamed_until = Time{};
}

// It is there, and full: not asked for a moment, since its place is taken by somebody else's calls too.
void NodeBook::refused(Time now, KnownNode& node) {
  node.silent = 0;
  node.blamed_until = now + blame / 4;
}

void NodeBook::failed(Time now, KnownNode& node) {
  node.silent = std::min(node.silent + 1, 10);
  node.blamed_until = now + std::min(most_blame, blame * static_cast<double>(1 << (node.silent - 1)));
}

void NodeBook::late(Time now, KnownNode& node, Duration waited) {
  double ms = waited.count() * 1000;
  if (!node.heard || ms > node.latency_ms)
    node.latency_ms = node.heard ? node.latency_ms + smoothing * (ms - node.latency_ms) : ms;
  node.heard = true;
  node.silent = std::min(node.silent + 1, 10);
  // One late answer says little; several in a row and nothing between them say that it is gone.
  if (node.silent >= 3)
    node.blamed_until = now + std::min(most_blame, blame * static_cast<double>(1 << (node.silent - 3)));
}

void NodeBook::ended(KnownNode& node) {
  --node.out;
  if (!node.listed && node.out == 0) forget(std::string(node.id));
}

}  // namespace pearspar::pederu
