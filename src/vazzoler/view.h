// What a process knows by the leader's news: the newest configuration, the nodes, how far it has followed.
// Free of I/O. Never back in one life: neither to an older edition, nor to an older term's news, nor from
// closing to open.
#pragma once

#include <string>
#include <utility>
#include <vector>

#include "averau/config.h"
#include "averau/nodes.h"
#include "fanes/messages.h"

namespace pearspar::vazzoler {

using averau::Duration;
using averau::Time;

class View {
 public:
  enum class Taken {
    news,   // taken; acknowledge it
    old,    // nothing in it that was not known
    behind  // something before it is missing: ask for what stands
  };

  Taken apply(Time now, const fanes::Standing& standing);
  Taken apply(Time now, const fanes::Changes& changes);
  Taken apply(const fanes::Ping& ping);
  // One change of our own making: the leader's way.
  void lead(Time now, fanes::Position at, const fanes::Change& change);

  const fanes::Position& at() const { return at_; }
  const averau::ConfigurationPtr& configuration() const { return configuration_; }
  averau::Edition edition() const { return configuration_ ? configuration_->edition : 0; }
  void take(averau::ConfigurationPtr configuration);
  const averau::NodeList& nodes() const { return nodes_; }
  averau::NodeList& nodes() { return nodes_; }
  std::uint32_t edges() const { return edges_; }
  // Share of the weight that edges ask on average, as the leader told last.
  double coverage() const { return coverage_; }
  // Nodes that have changed since the last call: found in nodes(), or not any more.
  std::vector<std::string> take_touched() { return std::exchange(touched_, {}); }
  bool knows_enough() const { return configuration_ && !nodes_.all().empty(); }

 private:
  void apply(Time now, const fanes::Change& change);
  void put(Time now, const fanes::NodeNews& news);
  void take_text(const std::string& text, averau::Edition edition);
  void take_delta(const std::string& delta, averau::Edition edition);

  fanes::Position at_;
  averau::ConfigurationPtr configuration_;
  averau::NodeList nodes_;
  std::uint32_t edges_ = 0;
  double coverage_ = 1;
  std::vector<std::string> touched_;
};

}  // namespace pearspar::vazzoler
