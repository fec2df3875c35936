// The whole: what is made at the start, and the judge's last questions.
#include "simulation/cluster_parts.h"

namespace pearspar::simulation {

std::string between(const std::string& text, const std::string& from, const std::string& to) {
  std::size_t at = text.find(from);
  if (at == text.npos) return {};
  at += from.size();
  return text.substr(at, text.find(to, at) - at);
}

Cluster::Cluster(const ClusterOptions& options)
    : options_(options),
      world_(options.seed),
      net_(world_),
      lag_judge_(options.config_within_s, in_touch_s,
                 [this](const std::string& rule, const std::string& what) {
                   checker_.broken(rule, std::to_string(seconds() - 1000) + " s: " + what);
                 }) {
  checker_.retry_ratio = options.retry_ratio;
  checker_.retry_slack = options.retry_slack;
  for (int i = 0; i < options.shards; ++i) shards_.push_back("shard" + std::to_string(i));
  services_ = shards_;
  services_.push_back("plain");
  for (int i = 0; i < options.cores; ++i) {
    cores_.push_back(std::make_unique<Core>(world_));
    equip(*cores_.back());
  }
  for (int i = 0; i < options.operators; ++i) {
    operators_.push_back(std::make_unique<Operator>());
    operators_.back()->number = i;
  }
  if (options.ballast > 0) lay_ballast();
  for (auto& core : cores_) start_core(*core);
  for (int i = 0; i < options.edges; ++i) {
    edges_.push_back(std::make_unique<Edge>());
    edges_.back()->address = "10.1.0." + std::to_string(next_address_++) + ":7120";
    edges_.back()->name = "edge" + std::to_string(i);
    net_.set_bandwidth(edges_.back()->address, options.edge_bandwidth);
    edges_.back()->door = "10.3." + std::to_string(i / 250) + "." + std::to_string(i % 250) + ":8000";
    edges_.back()->place = static_cast<std::size_t>(i);
    start_edge(*edges_.back());
  }
  for (const std::string& service : services_) {
    rollout_judge_.serves(service, "v1");
    int count = service == "plain" ? options.plain_nodes : options.nodes_per_shard;
    for (int i = 0; i < count; ++i) {
      Node* node = &add_node(service);
      world_.in(Duration(world_.uniform(0, 1)), [this, node] { start_node(*node); });
    }
  }
  if (options.http) {
    clients_ = std::make_unique<Clients>(*this);
    streams_.reach = [this](const std::string& address) { return reach(address); };
  }
  judge_lags();
  if (options.retrievals_per_s > 0) world_.in(Duration(3), [this] { retrieve(); });
  if (options.requests_per_s > 0) world_.in(Duration(3), [this] { ask(); });
}

// Processes first: what they have open ends on streams that still stand.
Cluster::~Cluster() {
  for (auto& edge : edges_) edge->process.reset();
}

const altavia::ReverseProxy* Cluster::door(std::size_t edge) const {
  const auto& process = edges_[edge]->process;
  return process && process->service ? process->service->door.get() : nullptr;
}

std::vector<std::string> Cluster::seeds() const {
  std::vector<std::string> found;
  for (const std::string& address : told_seeds_)
    for (const auto& core : cores_)
      if (!core->gone && core->address == address) found.push_back(address);
  for (const auto& core : cores_)
    if (!core->gone && found.size() < 3 &&
        std::find(found.begin(), found.end(), core->address) == found.end())
      found.push_back(core->address);
  return found;
}

bool Cluster::core_up(std::size_t core) const { return cores_[core]->process != nullptr; }
SimDisk& Cluster::disk(std::size_t core) { return cores_[core]->disk; }
const control_plane::Member* Cluster::member(std::size_t core) const {
  return cores_[core]->process ? cores_[core]->process->member.get() : nullptr;
}
std::string Cluster::core_address(std::size_t core) const { return cores_[core]->address; }
std::string Cluster::edge_address(std::size_t edge) const { return edges_[edge]->address; }
const subscription::Follower* Cluster::follower(std::size_t edge) const {
  return edges_[edge]->process ? &edges_[edge]->process->gateway.follower() : nullptr;
}
const dispatch::Dispatcher* Cluster::dispatcher(std::size_t edge) const {
  return edges_[edge]->process ? &edges_[edge]->process->gateway.dispatcher() : nullptr;
}
const edge_gateway::EdgeGateway* Cluster::gateway(std::size_t edge) const {
  return edges_[edge]->process ? &edges_[edge]->process->gateway : nullptr;
}
std::string Cluster::node_address(std::size_t node) const { return nodes_[node]->address; }
std::string Cluster::node_version(std::size_t node) const { return nodes_[node]->version; }
bool Cluster::node_up(std::size_t node) const { return nodes_[node]->up; }
std::string Cluster::node_service(std::size_t node) const { return nodes_[node]->service; }

void Cluster::check_settled() {
  if (leader() < 0) checker_.broken("ACKS", "nobody leads long after everything was mended");
  for (auto& edge : edges_) {
    if (!edge->process) continue;
    checker_.settled(edge->name, edge->process->gateway.follower().view().revision());
    for (auto& node : nodes_)
      if (node->up && !node->closing && !edge->process->gateway.follower().view().nodes().find(node->id))
        checker_.broken("LIST", edge->name + " does not know " + node->id);
    std::size_t known = edge->process->gateway.follower().view().nodes().all().size();
    if (known > nodes_.size()) checker_.broken("LIST", edge->name + " knows too many nodes");
  }
  checker_.finish();
  rollout_judge_.finish(seconds());
}

}  // namespace pearspar::simulation
