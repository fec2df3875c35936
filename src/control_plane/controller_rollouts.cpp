// Roll-outs: operators' orders, proposed and answered when they are applied; the versions that services
// without a record are served by; what edges have to know of it.
//
// The answers 200, 400, 409 and 422 are final. An order gets 200 only when it is applied, which implies that
// a majority has it on disk.
#include <algorithm>
#include <set>

#include "control_plane/controller.h"
#include "control_plane/report.h"

namespace pearspar::control_plane {
namespace {

using rollout::Rollout;
using rollout::RolloutOrder;

bool is_order_of(const Rollout& rollout, const RolloutOrder& order) {
  return rollout.target == order.target && rollout.over_ms == order.over_ms;
}

}  // namespace

std::vector<std::string> Controller::listed_versions(const std::string& service) const {
  std::set<std::string> versions;
  for (const auto& [id, node] : view_.nodes().all())
    if (node.service == service) versions.insert(node.software_version);
  return {versions.begin(), versions.end()};
}

bool Controller::knows_service(const std::string& service) const {
  if (state_.rollouts().find(service)) return true;
  if (const auto& configuration = state_.configuration())
    for (const catalog::Service& known : configuration->services)
      if (known.name == service) return true;
  return !listed_versions(service).empty();
}

// False: the request has to wait.
bool Controller::handle_rollout_order(Time now, Request& request) {
  catalog::Fault fault;
  auto order = rollout::parse_rollout_order(request.body, fault);
  if (!order) return reply_error(request, 400, fault.text()), true;
  if (!knows_service(order->service))
    return reply_error(request, 422, "depot: neither a depot of the configuration nor of a server"), true;
  for (const PendingRollout& pending : pending_rollouts_)
    if (pending.order.service == order->service) {
      if (pending.order != *order) return false;
      request.release_body();
      pending_rollouts_.push_back({std::move(request), std::move(*order), pending.index, true});
      return true;
    }
  const rollout::ServiceRecord* record = state_.rollouts().find(order->service);
  if (record && record->rollout) {
    const Rollout& newest = *record->rollout;
    bool same = is_order_of(newest, *order);
    bool may_be_repeated = record->in_transit() || rollouts_.elapsed(now, order->service) <
                                                       options_.acknowledged_within + call_timeout;
    if (same && may_be_repeated) return reply(request, 200, rollout_json(newest)), true;
    if (record->in_transit())
      return reply_error(request, 409, "a roll-out to " + newest.target + " is under way"), true;
  }
  if (!record && !followers_.list_complete()) return false;  // the old versions are not known yet
  if (!record && listed_versions(order->service).empty())
    return reply_error(request, 422, "depot: no server of it is known"), true;
  request.release_body();
  pending_rollouts_.push_back({std::move(request), std::move(*order), std::nullopt, false});
  return true;
}

void Controller::handle_rollout_read(Request& request) {
  std::string service = request.path.substr(rollouts_path.size() + 1);
  const rollout::ServiceRecord* record = state_.rollouts().find(service);
  if (!record || !record->rollout) return reply_error(request, 404, "no roll-out of this depot was ordered");
  reply(request, 200, rollout_json(*record->rollout));
}

// Services without a record whose nodes are listed. While the list is gathered, a node of the old version may
// still be missing from it.
void Controller::add_version_records(std::vector<rollout::RolloutCommand>& commands) const {
  if (!followers_.list_complete()) return;
  std::map<std::string, std::set<std::string>> found;
  for (const auto& [id, node] : view_.nodes().all())
    if (!state_.rollouts().find(node.service)) found[node.service].insert(node.software_version);
  for (const auto& [service, versions] : found)
    commands.push_back(rollout::RecordVersions{service, {versions.begin(), versions.end()}});
}

rollout::ServiceStatus Controller::rollout_status(Time now, const std::string& service) const {
  rollout::ServiceStatus status;
  status.routed = false;
  if (const auto& configuration = state_.configuration())
    for (const catalog::Route& route : configuration->routes) {
      bool gathers = std::find(route.shards.begin(), route.shards.end(), service) != route.shards.end();
      bool serves = std::any_of(route.services.begin(), route.services.end(),
                                [&](const auto& each) { return each.service == service && each.weight > 0; });
      status.routed = status.routed || gathers || serves;
    }
  auto published = version_positions_.find(service);
  status.acknowledged =
      published != version_positions_.end() && followers_.acknowledged(now, published->second);
  status.edges = followers_.edges(now);
  return status;
}

// One entry is in flight at a time; what comes meanwhile goes into the next one.
void Controller::propose_rollouts(Time now) {
  if (!is_active()) return;
  if (rollout_entry_ && core_.applied() >= *rollout_entry_) rollout_entry_.reset();
  if (rollout_entry_ || !core_.holds_lease(now)) return;
  std::vector<rollout::RolloutCommand> commands = rollouts_.next_commands(
      now, state_.rollouts(), [&](const std::string& service) { return rollout_status(now, service); });
  add_version_records(commands);
  for (const PendingRollout& pending : pending_rollouts_)
    if (!pending.index && !pending.repeated)
      commands.push_back(rollout::StartRollout{pending.order.service, pending.order.target,
                                               pending.order.over_ms,
                                               listed_versions(pending.order.service)});
  if (commands.empty()) return;
  rollout_entry_ = core_.propose(now, ReplicatedState::encode_rollout_commands(commands));
  if (!rollout_entry_) return reject_pending_rollouts("the order could not be appended to the log");
  for (PendingRollout& pending : pending_rollouts_)
    if (!pending.index) pending.index = rollout_entry_;
  publish_rollouts(now);
}

void Controller::finish_rollout_orders() {
  bool leads = is_active() && core_.role() == raft::Core::Role::leader && core_.term() == view_.at().term;
  if (!leads) return reject_pending_rollouts("the leader changed meanwhile");
  std::erase_if(pending_rollouts_, [&](const PendingRollout& pending) {
    if (!pending.index || core_.applied() < *pending.index) return false;
    const rollout::ServiceRecord* record = state_.rollouts().find(pending.order.service);
    bool taken = record && record->rollout && is_order_of(*record->rollout, pending.order);
    if (taken)
      reply(pending.request, 200, rollout_json(*record->rollout), false);  // final, whoever leads now
    else
      reply_error(pending.request, 503, "the order was not applied");
    return true;
  });
}

void Controller::reject_pending_rollouts(std::string_view reason) {
  for (const PendingRollout& pending : std::exchange(pending_rollouts_, {}))
    reply_error(pending.request, 503, reason);
}

// Leases are granted only by a leader.
void Controller::report_rollout(Time now, LinkId link, const rollout::RolloutReport& report) {
  auto follower = followers_.all().find(link);
  if (!is_active() || !core_.holds_lease(now) || follower == followers_.all().end()) return;
  rollouts_.on_report(now, link, follower->second.zone, report, state_.rollouts());
  for (auto& [to, grant] : rollouts_.take_grants()) link_frames_.push_back({to, protocol::pack(grant)});
}

// Tells followers of the versions that have changed.
void Controller::publish_rollouts(Time now) {
  if (!is_active() || published_versions_ >= state_.rollouts().changed_at()) return;
  for (const auto& [service, record] : state_.rollouts().services())
    if (record.changed_at > published_versions_)
      version_positions_[service] =
          followers_.add_service_versions(now, rollout::versions_of(service, record));
  published_versions_ = state_.rollouts().changed_at();
}

// What a member that does not lead hands on: no lease goes with it, so there is no candidate. It counts as
// older than what the leader has, which is then taken over.
std::vector<catalog::ServiceVersions> Controller::provisional_versions() const {
  std::vector<catalog::ServiceVersions> all;
  for (const auto& [service, record] : state_.rollouts().services()) {
    catalog::ServiceVersions versions = rollout::versions_of(service, record);
    if (!versions.candidate.empty()) --versions.changed_at;
    versions.candidate.clear();
    versions.candidate_permille = 0;
    all.push_back(std::move(versions));
  }
  return all;
}

}  // namespace pearspar::control_plane
