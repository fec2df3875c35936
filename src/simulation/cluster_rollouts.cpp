// Roll-outs in the rig: operators order them, again until there is a definite answer, and read their state.
#include "simulation/cluster_parts.h"

namespace pearspar::simulation {
namespace {

constexpr double operator_patience_s = 1;
constexpr double retry_pause_s = 0.1;
// An operator sends an order again for so long.
constexpr double repeat_for_s = 5;
constexpr double read_interval_s = 0.4;
constexpr double returned_drain_s = 3;
// An operator ends an order at the third answer of these.
constexpr int max_client_errors = 3;

bool is_definite(int status) {
  return status == 200 || status == 400 || status == 409 || status == 412 || status == 413 || status == 422;
}

}  // namespace

std::size_t Cluster::order_rollout(const RolloutOrder& order, const VersionFault& fault) {
  auto sent = std::make_shared<SentRollout>();
  sent->order = order;
  sent->fault = fault;
  sent->number = rollout_judge_.ordered(seconds(), order);
  sent->sent_at = seconds();
  push_rollout(sent);
  return sent->number;
}

// Only the time since the core was settled counts.
double Cluster::calm_seconds(double since) const { return seconds() - std::max(since, settled_at()); }

// Goes out unchanged until there is a definite answer.
void Cluster::push_rollout(const std::shared_ptr<SentRollout>& sent) {
  int number = ++sent->tries;
  auto next = [this, sent, number] {
    if (sent->over || sent->tries != number) return;
    rollout_judge_.still_waiting(seconds(), sent->number, calm_seconds(sent->sent_at));
    if (seconds() > sent->sent_at + repeat_for_s) {
      sent->over = true;
      return rollout_judge_.given_up(sent->number);
    }
    world_.in(Duration(retry_pause_s), [this, sent, number] {
      if (!sent->over && sent->tries == number) push_rollout(sent);
    });
  };
  std::string body = "{\"depot\":\"" + sent->order.service + "\",\"targetEdition\":\"" + sent->order.version +
                     "\",\"overS\":" + std::to_string(sent->order.over_s) + "}";
  call(
      "", member_to_ask(), "POST", "/pearspar/rollouts", "", body,
      [this, sent, next](int status, const std::string&) {
        if (sent->over) return;
        sent->client_errors += status >= 400 && status < 500 && status != 408 && status != 429;
        if (!is_definite(status) && sent->client_errors < max_client_errors) return next();
        sent->over = true;
        rollout_judge_.answered(seconds(), sent->number, status, calm_seconds(sent->sent_at));
        if (status != 200) return;
        start_version(sent->order.service, sent->order.version, options_.nodes_per_shard, sent->fault);
        follow_rollout(sent);
      },
      operator_patience_s);
  world_.in(Duration(operator_patience_s), next);
}

std::size_t Cluster::start_version(const std::string& service, const std::string& version, int count,
                                   const VersionFault& fault) {
  std::size_t first = nodes_.size();
  for (int i = 0; i < count; ++i) {
    Node* node = &add_node(service);
    node->version = version;
    node->fault = fault;
    world_.in(Duration(world_.uniform(0.3, 0.8)), [this, node] { start_node(*node); });
  }
  return first;
}

void Cluster::set_node_fault(std::size_t node, const VersionFault& fault) { nodes_[node]->fault = fault; }

void Cluster::follow_rollout(const std::shared_ptr<SentRollout>& sent) {
  const RolloutOrder& order = sent->order;
  read_rollout(order.service);
  const std::string& state = rollout_judge_.state(sent->number);
  if (state == "delivered") return stop_servers(order.service, order.version);
  if (state == "returned") {
    world_.in(Duration(returned_drain_s),
              [this, sent] { drain_servers(sent->order.service, sent->order.version); });
    return;
  }
  world_.in(Duration(read_interval_s), [this, sent] { follow_rollout(sent); });
}

// The servers of all other versions end at once, for good.
void Cluster::stop_servers(const std::string& service, const std::string& kept) {
  for (std::size_t i = 0; i < nodes_.size(); ++i)
    if (nodes_[i]->service == service && nodes_[i]->version != kept) forbid_node(i);
}

void Cluster::drain_servers(const std::string& service, const std::string& version) {
  for (std::size_t i = 0; i < nodes_.size(); ++i)
    if (nodes_[i]->service == service && nodes_[i]->version == version) {
      nodes_[i]->stopped = true;
      leave_node(i, 1);
    }
}

void Cluster::arrived(Node& node, const std::string& id) {
  checker_.request_reached(seconds(), node.id, node.service, id, edge_in_touch());
  auto& load = service_load_[node.service];
  load.push_back(world_.now());
  while (load.front() < world_.now() - Duration(1)) load.pop_front();
  rollout_judge_.arrived(seconds(), node.service, node.version, edge_in_touch());
}

// What a member has applied tells that more than leases may go to a version. Each roll-out is noted once,
// when the first member has applied that: a later order of the same version is undecided again.
void Cluster::note_decisions(const control_plane::Member& member) {
  for (const auto& [service, record] : member.state().rollouts().services()) {
    if (!record.rollout) continue;
    const rollout::Rollout& applied = *record.rollout;
    bool decided = applied.share_permille > 0 || applied.state == rollout::RolloutState::delivered;
    if (decided && decided_rollouts_.insert(applied.number).second)
      rollout_judge_.decided(service, applied.target);
  }
}

bool Cluster::answers_badly(Node& node, const std::string& target) {
  const VersionFault& fault = node.fault;
  bool strikes = fault.kind != VersionFault::Kind::none && world_.chance(fault.share);
  if (fault.kind == VersionFault::Kind::late)
    strikes = strikes && world_.now() - node.started > Duration(fault.late_after_s);
  if (fault.kind == VersionFault::Kind::one_route) strikes = strikes && target.starts_with(fault.route_path);
  if (fault.kind == VersionFault::Kind::under_load)
    strikes = strikes && static_cast<double>(service_load_[node.service].size()) >= fault.load_per_s;
  if (strikes) rollout_judge_.answered_badly(seconds(), node.service, node.version);
  return strikes;
}

void Cluster::read_rollout(const std::string& service) {
  call("", member_to_ask(), "GET", "/pearspar/rollouts/" + service, "", "",
       [this, service, began = seconds()](int status, const std::string& body) {
         if (status != 200 && status != 404) return;
         rollout_judge_.read(began, seconds(), service, status, between(body, "\"targetEdition\":\"", "\""),
                             between(body, "\"nodeState\":\"", "\""));
       });
}

}  // namespace pearspar::simulation
