#include "subscription/cluster_view.h"

#include <algorithm>
#include <optional>
#include <set>

#include "protocol/delta.h"
#include "protocol/rollout_codec.h"

namespace pearspar::subscription {

using protocol::ChangeKind;

void ClusterView::adopt(catalog::ConfigurationPtr configuration) {
  if (configuration && configuration->revision > revision()) configuration_ = std::move(configuration);
}

void ClusterView::adopt_text(const std::string& text, catalog::Revision received_revision) {
  if (text.empty() || received_revision <= revision()) return;
  catalog::Fault fault;
  adopt(catalog::parse_configuration(text, fault));
}

// A delta that does not apply is ignored; the leader sees the old revision in the next acknowledgement.
void ClusterView::adopt_delta(const std::string& delta, catalog::Revision received_revision) {
  if (!configuration_ || received_revision <= revision()) return;
  if (auto text = protocol::apply_delta(configuration_->text, delta)) adopt_text(*text, received_revision);
}

void ClusterView::adopt(const catalog::ServiceVersions& versions) {
  catalog::ServiceVersions& known = service_versions_[versions.service];
  if (!known.service.empty() && versions.changed_at <= known.changed_at) return;
  known = versions;
  changed_services_.push_back(versions.service);
}

void ClusterView::put(Time now, const protocol::NodeUpdate& update) {
  catalog::Node node = update.node;
  node.cold_until = now + std::chrono::milliseconds(update.cold_ms);
  std::string displaced;
  if (nodes_.put(node, &displaced) == catalog::NodeList::PutResult::changed)
    changed_nodes_.push_back(node.id);
  if (!displaced.empty()) changed_nodes_.push_back(displaced);
}

ClusterView::ApplyResult ClusterView::apply(Time now, const protocol::StateSnapshot& snapshot) {
  if (snapshot.at < at_) return ApplyResult::stale;
  at_ = snapshot.at;
  edge_count_ = snapshot.edges;
  coverage_ = snapshot.coverage / 100.0;
  announced_revision_ = std::max(announced_revision_, snapshot.revision);
  adopt_text(snapshot.configuration, snapshot.revision);
  for (const catalog::ServiceVersions& versions : snapshot.service_versions) adopt(versions);
  for (const std::string& id : snapshot.retired)
    if (nodes_.retire(id)) changed_nodes_.push_back(id);
  std::set<std::string_view> listed;
  for (const protocol::NodeUpdate& update : snapshot.nodes) {
    put(now, update);
    listed.insert(update.node.id);
  }
  if (!snapshot.complete) return ApplyResult::applied;
  std::vector<std::string> missing;
  for (const auto& [id, node] : nodes_.all())
    if (!listed.count(id)) missing.push_back(id);
  for (const std::string& id : missing) {
    nodes_.remove(id);
    changed_nodes_.push_back(id);
  }
  return ApplyResult::applied;
}

ClusterView::ApplyResult ClusterView::apply(Time now, const protocol::Changes& changes) {
  protocol::Position end{changes.after.term, changes.after.number + changes.changes.size()};
  if (changes.after.term < at_.term || end <= at_) return ApplyResult::stale;
  if (changes.after.term > at_.term || changes.after.number > at_.number) return ApplyResult::gap;
  const std::size_t first = at_.number - changes.after.number;
  adopt_newest(changes, first);
  for (std::size_t i = first; i < changes.changes.size(); ++i) apply(now, changes.changes[i]);
  at_ = end;
  return ApplyResult::applied;
}

// Parses only the last of several configurations: the others would be replaced at once.
void ClusterView::adopt_newest(const protocol::Changes& changes, std::size_t first) {
  std::string text = configuration_ ? configuration_->text : std::string();
  catalog::Revision newest = revision();
  for (std::size_t i = first; i < changes.changes.size(); ++i) {
    const protocol::Change& change = changes.changes[i];
    const bool is_delta = change.kind == ChangeKind::configuration_delta;
    if ((!is_delta && change.kind != ChangeKind::configuration) || change.revision <= newest) continue;
    if (change.text.empty()) continue;  // to be requested
    std::optional<std::string> next = is_delta ? protocol::apply_delta(text, change.text) : change.text;
    if (!next) continue;
    text = std::move(*next);
    newest = change.revision;
  }
  adopt_text(text, newest);
}

void ClusterView::apply(const protocol::ConfigurationUpdate& update) {
  announced_revision_ = std::max(announced_revision_, update.revision);
  if (update.base == 0)
    adopt_text(update.text, update.revision);
  else if (update.base == revision())
    adopt_delta(update.text, update.revision);
}

ClusterView::ApplyResult ClusterView::apply(const protocol::Ping& ping) {
  if (ping.at.term < at_.term) return ApplyResult::stale;
  if (ping.at > at_) return ApplyResult::gap;
  edge_count_ = ping.edges;
  coverage_ = ping.coverage / 100.0;
  return ApplyResult::applied;
}

void ClusterView::apply_own(Time now, protocol::Position at, const protocol::Change& change) {
  apply(now, change);
  at_ = at;
}

void ClusterView::apply(const catalog::Departure& departure) {
  const std::string& id = departure.node_id;
  if (departure.retired ? nodes_.retire(id) : nodes_.close(id)) changed_nodes_.push_back(id);
}

void ClusterView::apply(Time now, const protocol::Change& change) {
  announced_revision_ = std::max(announced_revision_, change.revision);
  switch (change.kind) {
    case ChangeKind::configuration:
      return adopt_text(change.text, change.revision);
    case ChangeKind::configuration_delta:
      return adopt_delta(change.text, change.revision);
    case ChangeKind::node_updated:
      return put(now, change.update);
    case ChangeKind::node_retired:
      if (nodes_.retire(change.text)) changed_nodes_.push_back(change.text);
      return;
    case ChangeKind::node_removed:
      if (nodes_.remove(change.text)) changed_nodes_.push_back(change.text);
      return;
    case ChangeKind::list_complete:
      return;
    case ChangeKind::service_versions:
      if (auto versions = protocol::unpack_service_versions(change.text)) adopt(*versions);
      return;
  }
}

}  // namespace pearspar::subscription
