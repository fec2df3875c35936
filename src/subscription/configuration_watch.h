// Whether this edge goes by the newest configuration that members have announced, and which member to ask for
// it where it does not. Free of I/O.
//
// Any member announces what it has applied, so that an edge learns of a configuration, and receives it, also
// while the leader's updates do not reach it.
#pragma once

#include <cstddef>
#include <deque>
#include <optional>
#include <vector>

#include "catalog/configuration.h"
#include "catalog/node_list.h"
#include "transport/transport.h"

namespace pearspar::subscription {

using catalog::Duration;
using catalog::Time;

class ConfigurationWatch {
 public:
  // After `max_lag` behind an announced configuration, requests are not to be served by an older one.
  explicit ConfigurationWatch(Duration max_lag) : max_lag_(max_lag) {}

  // A member that has the configuration.
  struct Source {
    transport::LinkId link = 0;
    bool is_nearby = false;  // known to be in this edge's zone; asked before others
  };
  // The member has this revision.
  void on_announced(Time now, Source source, catalog::Revision revision);
  // The edge goes by this revision.
  void on_adopted(catalog::Revision revision);
  void on_link_down(transport::LinkId link);

  bool is_behind() const { return !missing_.empty(); }
  // When the oldest announced revision that the edge lacks was announced; Time::max() if it lacks none.
  Time behind_since() const { return missing_.empty() ? Time::max() : missing_.front().announced_at; }
  // From when on the edge's own configuration is too old to serve by; Time::max() if it is the newest known.
  Time outdated_from() const { return missing_.empty() ? Time::max() : behind_since() + max_lag_; }
  catalog::Revision newest_announced() const {
    return missing_.empty() ? adopted_ : missing_.back().revision;
  }

  // The link on which the configuration is to be requested now. Each call counts as a request.
  std::optional<transport::LinkId> take_request(Time now);
  Time due() const;

 private:
  struct Announced {
    catalog::Revision revision = 0;
    Time announced_at{};
  };
  void add_source(Source source);

  Duration max_lag_;
  catalog::Revision adopted_ = 0;
  std::deque<Announced> missing_;  // revisions above adopted_, ascending
  std::vector<Source> sources_;    // that have the newest of them, nearby ones first
  std::size_t next_source_ = 0;
  Time next_request_{};
};

}  // namespace pearspar::subscription
