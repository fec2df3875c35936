// How the configuration of this edge came: from whom, how old it was, and how long the edge had known of a
// newer one before. A record for operators; nothing is decided by it. Free of I/O.
#pragma once

#include <cstdint>
#include <optional>
#include <string_view>
#include <utility>

#include "catalog/configuration.h"
#include "catalog/node_list.h"

namespace pearspar::subscription {

using catalog::Duration;
using catalog::Time;

// From whom a configuration came.
enum class ConfigurationSource {
  none,               // none has come yet
  leader_update,      // among the leader's changes
  leader_state,       // in a full state of the leader
  member_answer,      // requested from a member, which may lead or not
  provisional_state,  // of a member that does not lead, while no leader was known
};
// As log lines and metrics name it.
std::string_view name_of(ConfigurationSource source);

// A configuration that came late.
struct LateConfiguration {
  catalog::Revision revision = 0;
  ConfigurationSource source = ConfigurationSource::none;
  Duration behind_for{};  // since its own had been replaced, as members announced
  Duration age{};         // since it was first known to be in force
};

class ConfigurationArrival {
 public:
  // A member has announced that it applied this revision so long ago.
  void on_announced(Time now, catalog::Revision revision, std::uint32_t age_ms);
  // The edge goes by this revision. `behind_since` is when its configuration had been replaced, as members
  // announced; Time::max() if none did. Does nothing unless the revision is newer.
  void on_adopted(Time now, catalog::Revision revision, ConfigurationSource source, Time behind_since);

  ConfigurationSource source() const { return source_; }
  // Since the configuration was first known to be in force. It may be older: only announcements tell when a
  // member applied it. Zero if there is none.
  Duration age(Time now) const;
  // The one for which the edge was behind the longest since the last call, if that was over a second.
  std::optional<LateConfiguration> take_late() { return std::exchange(late_, std::nullopt); }

 private:
  struct InForce {
    catalog::Revision revision = 0;
    Time since{};
  };

  InForce adopted_;
  InForce announced_;  // the newest one
  ConfigurationSource source_ = ConfigurationSource::none;
  std::optional<LateConfiguration> late_;
};

}  // namespace pearspar::subscription
