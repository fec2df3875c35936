#include "subscription/cluster_view.h"

#include <set>

#include "protocol/delta.h"

namespace pearspar::subscription {

using protocol::ChangeKind;

void ClusterView::take(catalog::ConfigurationPtr configuration) {
  if (configuration && configuration->revision > revision()) configuration_ = std::move(configuration);
}

void ClusterView::take_text(const std::string& text, catalog::Revision received_revision) {
  if (text.empty() || received_revision <= revision()) return;
  catalog::Fault fault;
  take(catalog::parse_configuration(text, fault));
}

// One that does not fit leaves the revision as it was; the leader sees it in what we acknowledge.
void ClusterView::take_delta(const std::string& delta, catalog::Revision received_revision) {
  if (!configuration_ || received_revision <= revision()) return;
  if (auto text = protocol::apply_delta(configuration_->text, delta)) take_text(*text, received_revision);
}

void ClusterView::put(Time now, const protocol::NodeUpdate& news) {
  catalog::Node node = news.node;
  node.cold_until = now + std::chrono::milliseconds(news.cold_ms);
  std::string displaced;
  if (nodes_.put(node, &displaced) == catalog::NodeList::Taken::news) touched_.push_back(node.id);
  if (!displaced.empty()) touched_.push_back(displaced);
}

ClusterView::ApplyResult ClusterView::apply(Time now, const protocol::StateSnapshot& standing) {
  if (standing.at < at_) return Taken::old;
  at_ = standing.at;
  edges_ = standing.edges;
  coverage_ = standing.coverage / 100.0;
  take_text(standing.configuration, standing.revision);
  for (const std::string& id : standing.retired)
    if (nodes_.gone(id)) touched_.push_back(id);
  std::set<std::string_view> listed;
  for (const protocol::NodeUpdate& news : standing.nodes) {
    put(now, news);
    listed.insert(news.node.id);
  }
  if (!standing.complete) return Taken::news;
  std::vector<std::string> lost;
  for (const auto& [id, node] : nodes_.all())
    if (!listed.count(id)) lost.push_back(id);
  for (const std::string& id : lost) {
    nodes_.lose(id);
    touched_.push_back(id);
  }
  return Taken::news;
}

ClusterView::ApplyResult ClusterView::apply(Time now, const protocol::Changes& changes) {
  protocol::Position end{changes.after.term, changes.after.number + changes.changes.size()};
  if (changes.after.term < at_.term || end <= at_) return Taken::old;
  if (changes.after.term > at_.term || changes.after.number > at_.number) return Taken::behind;
  for (std::size_t i = at_.number - changes.after.number; i < changes.changes.size(); ++i)
    apply(now, changes.changes[i]);
  at_ = end;
  return Taken::news;
}

ClusterView::ApplyResult ClusterView::apply(const protocol::Ping& ping) {
  if (ping.at.term < at_.term) return Taken::old;
  if (ping.at > at_) return Taken::behind;
  edges_ = ping.edges;
  coverage_ = ping.coverage / 100.0;
  return Taken::news;
}

void ClusterView::lead(Time now, protocol::Position at, const protocol::Change& change) {
  apply(now, change);
  at_ = at;
}

void ClusterView::apply(Time now, const protocol::Change& change) {
  switch (change.kind) {
    case ChangeKind::configuration:
      return take_text(change.text, change.revision);
    case ChangeKind::configuration_delta:
      return take_delta(change.text, change.revision);
    case ChangeKind::node_updated:
      return put(now, change.update);
    case ChangeKind::node_retired:
      if (nodes_.gone(change.text)) touched_.push_back(change.text);
      return;
    case ChangeKind::node_removed:
      if (nodes_.lose(change.text)) touched_.push_back(change.text);
      return;
    case ChangeKind::list_complete:
      return;
  }
}

}  // namespace pearspar::subscription
