// Whether this edge goes by the newest configuration that members have announced, and which member to ask for
// it where it does not. Free of I/O.
//
// Any member announces what it has applied, so that an edge learns of a configuration, and receives it, also
// while the leader's updates do not reach it.
#pragma once

#include <cstddef>
#include <cstdint>
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
  // Requests are not to be served by a configuration that was replaced longer than `max_lag` ago. `seed`
  // differs from edge to edge, so that they ask different members.
  ConfigurationWatch(Duration max_lag, std::uint64_t seed) : max_lag_(max_lag), seed_(seed) {}

  // A member that has the configuration.
  struct Source {
    transport::LinkId link = 0;
    bool is_nearby = false;  // known to be in this edge's zone; asked before others
  };
  // The member has this revision, and has had it for `age`.
  void on_announced(Time now, Source source, catalog::Revision revision, Duration age = {});
  // The edge goes by this revision.
  void on_adopted(Time now, catalog::Revision revision);
  // This program cannot read the configuration: it is requested again only after a long while.
  void on_unreadable(Time now, catalog::Revision revision);
  void on_link_down(transport::LinkId link);

  bool is_behind() const { return !missing_.empty(); }
  // When the oldest announced revision that the edge lacks came into force; Time::max() if it lacks none.
  Time behind_since() const { return missing_.empty() ? Time::max() : missing_.front().in_force_since; }
  // From when on the edge's own configuration is too old to serve by. Time::max() if it is the newest known,
  // and where no member that has a newer one is connected: without members the edge serves by what it has.
  Time outdated_from() const { return sources_.empty() ? Time::max() : behind_since() + max_lag_; }
  catalog::Revision newest_announced() const {
    return missing_.empty() ? adopted_ : missing_.back().revision;
  }

  // The link on which the configuration is to be requested now. Each call counts as a request.
  std::optional<transport::LinkId> take_request(Time now);
  Time due() const;

 private:
  struct Announced {
    catalog::Revision revision = 0;
    Time in_force_since{};
  };
  void add_source(Time now, Source source);

  Duration max_lag_;
  std::uint64_t seed_;
  catalog::Revision adopted_ = 0;
  Time adopted_at_ = Time::min();
  catalog::Revision unreadable_ = 0;
  std::deque<Announced> missing_;  // revisions above adopted_, ascending
  std::vector<Source> sources_;    // that have the newest of them, nearby ones first
  std::size_t next_source_ = 0;
  Time next_request_{};
  Duration request_timeout_{};
};

}  // namespace pearspar::subscription
