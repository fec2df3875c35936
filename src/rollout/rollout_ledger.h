// The replicated state of roll-outs: for each service the versions that serve it, and its newest roll-out.
// Commands are entries of the raft log. Free of I/O.
//
// Invariants: the effect of a command depends only on the command and this state, so that all members reach
// the same. A service has one roll-out in transit at most. A roll-out that has ended does not change any
// more.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "catalog/service_versions.h"

namespace pearspar::rollout {

using RolloutNumber = std::uint64_t;  // rises; 0 = none
using LogIndex = std::uint64_t;

enum class RolloutState : std::uint8_t { in_transit, delivered, returned };
// As the operators' interface names it.
std::string_view name_of(RolloutState state);

struct Rollout {
  RolloutNumber number = 0;
  std::string target;         // the version that the service is moved to
  std::uint64_t over_ms = 0;  // the operator's term, from the order on
  RolloutState state = RolloutState::in_transit;
  std::uint32_t share_permille = 0;  // of the calls go to the target; 0: only those under a lease
  std::uint64_t reserved_calls = 0;  // that leaders may have granted leases for
  std::uint64_t requests = 0;        // for the service since the order, that edges had reported by then
  std::uint64_t elapsed_ms = 0;  // from the order to the newest entry about it, as that leader measured it
  std::string reason;            // why the newest step was taken

  bool operator==(const Rollout&) const = default;
};

// What is recorded of one service.
struct ServiceRecord {
  std::vector<std::string> allowed;  // versions that serve
  std::optional<Rollout> rollout;
  LogIndex changed_at = 0;  // of the last entry that changed what edges have to know

  bool in_transit() const { return rollout && rollout->state == RolloutState::in_transit; }
  bool operator==(const ServiceRecord&) const = default;
};

// The versions that a service without a record is served by.
struct RecordVersions {
  std::string service;
  std::vector<std::string> versions;
};
// An operator's order. `old_versions` are recorded where the service has no record yet.
struct StartRollout {
  std::string service;
  std::string target;
  std::uint64_t over_ms = 0;
  std::vector<std::string> old_versions;
};
// Leases for that many calls in all may be granted, with so many requests for the service reported.
struct ReserveCalls {
  std::string service;
  RolloutNumber number = 0;
  std::uint64_t calls = 0;
  std::uint64_t requests = 0;
  std::uint64_t elapsed_ms = 0;
};
struct SetShare {
  std::string service;
  RolloutNumber number = 0;
  std::uint32_t permille = 0;
  std::uint64_t elapsed_ms = 0;
  std::string reason;
};
struct FinishRollout {
  std::string service;
  RolloutNumber number = 0;
  RolloutState state = RolloutState::returned;
  std::uint64_t elapsed_ms = 0;
  std::string reason;
};
using RolloutCommand = std::variant<RecordVersions, StartRollout, ReserveCalls, SetShare, FinishRollout>;

class RolloutLedger {
 public:
  static constexpr std::size_t max_services = 4096;
  static constexpr std::uint32_t whole_permille = 1000;

  // A command that does not fit the state changes nothing.
  void apply(const RolloutCommand& command, LogIndex index);

  const std::map<std::string, ServiceRecord, std::less<>>& services() const { return services_; }
  // Null where nothing is recorded.
  const ServiceRecord* find(std::string_view service) const;
  // Index of the last entry that changed what edges have to know; 0 = none.
  LogIndex changed_at() const { return changed_at_; }
  RolloutNumber last_number() const { return last_number_; }
  bool empty() const { return services_.empty() && last_number_ == 0; }
  // Number of commands applied since the state was restored; tells whether anything may have changed.
  std::uint64_t applied_commands() const { return applied_commands_; }

  void restore(RolloutNumber last_number, std::map<std::string, ServiceRecord, std::less<>> services);

 private:
  void apply_command(const RecordVersions& command, LogIndex index);
  void apply_command(const StartRollout& command, LogIndex index);
  void apply_command(const ReserveCalls& command, LogIndex index);
  void apply_command(const SetShare& command, LogIndex index);
  void apply_command(const FinishRollout& command, LogIndex index);
  ServiceRecord& record_of(const std::string& service);
  // The service's roll-out if it has that number and is in transit, else null.
  Rollout* in_transit(const std::string& service, RolloutNumber number);
  void changed(ServiceRecord& record, LogIndex index);
  void drop_oldest(const std::string& kept);

  std::map<std::string, ServiceRecord, std::less<>> services_;
  RolloutNumber last_number_ = 0;
  LogIndex changed_at_ = 0;
  std::uint64_t applied_commands_ = 0;
};

// What edges have to know of a service.
catalog::ServiceVersions versions_of(const std::string& service, const ServiceRecord& record);

}  // namespace pearspar::rollout
