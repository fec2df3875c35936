// What a process knows by the leader's news: the newest configuration, the nodes, how far it has followed.
// Free of I/O. Never back in one incarnation: neither to an older revision, nor to an older term's news, nor
// from closing to open.
#pragma once

#include <string>
#include <utility>
#include <vector>

#include "catalog/configuration.h"
#include "catalog/node_list.h"
#include "protocol/messages.h"

namespace pearspar::subscription {

using catalog::Duration;
using catalog::Time;

class ClusterView {
 public:
  enum class Taken {
    news,   // taken; acknowledge it
    old,    // nothing in it that was not known
    behind  // something before it is missing: ask for what stands
  };

  Taken apply(Time now, const protocol::StateSnapshot& standing);
  Taken apply(Time now, const protocol::Changes& changes);
  Taken apply(const protocol::Ping& ping);
  // One change of our own making: the leader's way.
  void lead(Time now, protocol::Position at, const protocol::Change& change);

  const protocol::Position& at() const { return at_; }
  const catalog::ConfigurationPtr& configuration() const { return configuration_; }
  catalog::Revision revision() const { return configuration_ ? configuration_->revision : 0; }
  void take(catalog::ConfigurationPtr configuration);
  const catalog::NodeList& nodes() const { return nodes_; }
  catalog::NodeList& nodes() { return nodes_; }
  std::uint32_t edges() const { return edges_; }
  // Share of the weight that edges ask on average, as the leader told last.
  double coverage() const { return coverage_; }
  // Nodes that have changed since the last call: found in nodes(), or not any more.
  std::vector<std::string> take_changed_nodes() { return std::exchange(touched_, {}); }
  bool is_usable() const { return configuration_ && !nodes_.all().empty(); }

 private:
  void apply(Time now, const protocol::Change& change);
  void put(Time now, const protocol::NodeUpdate& news);
  void take_text(const std::string& text, catalog::Revision revision);
  void take_delta(const std::string& delta, catalog::Revision revision);

  protocol::Position at_;
  catalog::ConfigurationPtr configuration_;
  catalog::NodeList nodes_;
  std::uint32_t edges_ = 0;
  double coverage_ = 1;
  std::vector<std::string> touched_;
};

}  // namespace pearspar::subscription
