#include "vazzoler/view.h"

#include <set>

#include "fanes/delta.h"

namespace pearspar::vazzoler {

using fanes::ChangeKind;

void View::take(averau::ConfigurationPtr configuration) {
  if (configuration && configuration->edition > edition()) configuration_ = std::move(configuration);
}

void View::take_text(const std::string& text, averau::Edition edition_told) {
  if (text.empty() || edition_told <= edition()) return;
  averau::Fault fault;
  take(averau::read_configuration(text, fault));
}

// One that does not fit leaves the edition as it was; the leader sees it in what we acknowledge.
void View::take_delta(const std::string& delta, averau::Edition edition_told) {
  if (!configuration_ || edition_told <= edition()) return;
  if (auto text = fanes::apply_delta(configuration_->text, delta)) take_text(*text, edition_told);
}

void View::put(Time now, const fanes::NodeNews& news) {
  averau::Node node = news.node;
  node.cold_until = now + std::chrono::milliseconds(news.cold_ms);
  std::string displaced;
  if (nodes_.put(node, &displaced) == averau::NodeList::Taken::news) touched_.push_back(node.id);
  if (!displaced.empty()) touched_.push_back(displaced);
}

View::Taken View::apply(Time now, const fanes::Standing& standing) {
  if (standing.at < at_) return Taken::old;
  at_ = standing.at;
  edges_ = standing.edges;
  coverage_ = standing.coverage / 100.0;
  take_text(standing.configuration, standing.edition);
  for (const std::string& id : standing.ended)
    if (nodes_.gone(id)) touched_.push_back(id);
  std::set<std::string_view> listed;
  for (const fanes::NodeNews& news : standing.nodes) {
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

View::Taken View::apply(Time now, const fanes::Changes& changes) {
  fanes::Position end{changes.after.term, changes.after.number + changes.changes.size()};
  if (changes.after.term < at_.term || end <= at_) return Taken::old;
  if (changes.after.term > at_.term || changes.after.number > at_.number) return Taken::behind;
  for (std::size_t i = at_.number - changes.after.number; i < changes.changes.size(); ++i)
    apply(now, changes.changes[i]);
  at_ = end;
  return Taken::news;
}

View::Taken View::apply(const fanes::Ping& ping) {
  if (ping.at.term < at_.term) return Taken::old;
  if (ping.at > at_) return Taken::behind;
  edges_ = ping.edges;
  coverage_ = ping.coverage / 100.0;
  return Taken::news;
}

void View::lead(Time now, fanes::Position at, const fanes::Change& change) {
  apply(now, change);
  at_ = at;
}

void View::apply(Time now, const fanes::Change& change) {
  switch (change.kind) {
    case ChangeKind::configuration:
      return take_text(change.text, change.edition);
    case ChangeKind::configuration_delta:
      return take_delta(change.text, change.edition);
    case ChangeKind::node:
      return put(now, change.news);
    case ChangeKind::gone:
      if (nodes_.gone(change.text)) touched_.push_back(change.text);
      return;
    case ChangeKind::lost:
      if (nodes_.lose(change.text)) touched_.push_back(change.text);
      return;
    case ChangeKind::complete:
      return;
  }
}

}  // namespace pearspar::vazzoler
