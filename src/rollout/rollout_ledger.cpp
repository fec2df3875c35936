#include "rollout/rollout_ledger.h"

#include <algorithm>
#include <utility>

namespace pearspar::rollout {

std::string_view name_of(RolloutState state) {
  switch (state) {
    case RolloutState::in_transit:
      return "in_transit";
    case RolloutState::delivered:
      return "delivered";
    case RolloutState::returned:
      break;
  }
  return "returned";
}

catalog::ServiceVersions versions_of(const std::string& service, const ServiceRecord& record) {
  catalog::ServiceVersions versions;
  versions.service = service;
  versions.changed_at = record.changed_at;
  versions.allowed = record.allowed;
  if (!record.in_transit()) return versions;
  versions.candidate = record.rollout->target;
  versions.rollout = record.rollout->number;
  versions.candidate_permille = record.rollout->share_permille;
  return versions;
}

const ServiceRecord* RolloutLedger::find(std::string_view service) const {
  auto found = services_.find(service);
  return found == services_.end() ? nullptr : &found->second;
}

void RolloutLedger::apply(const RolloutCommand& command, LogIndex index) {
  ++applied_commands_;
  std::visit([&](const auto& each) { apply_command(each, index); }, command);
}

void RolloutLedger::changed(ServiceRecord& record, LogIndex index) {
  record.changed_at = index;
  changed_at_ = std::max(changed_at_, index);
}

// Services are not recorded without end: the one that was not changed for the longest goes first.
void RolloutLedger::drop_oldest(const std::string& kept) {
  auto oldest = services_.end();
  for (auto it = services_.begin(); it != services_.end(); ++it) {
    if (it->first == kept || it->second.in_transit()) continue;
    if (oldest == services_.end() || it->second.changed_at < oldest->second.changed_at) oldest = it;
  }
  if (oldest != services_.end()) services_.erase(oldest);
}

ServiceRecord& RolloutLedger::record_of(const std::string& service) {
  ServiceRecord& record = services_[service];
  if (services_.size() > max_services) drop_oldest(service);
  return record;
}

Rollout* RolloutLedger::in_transit(const std::string& service, RolloutNumber number) {
  auto found = services_.find(service);
  if (found == services_.end() || !found->second.in_transit()) return nullptr;
  Rollout& rollout = *found->second.rollout;
  return rollout.number == number ? &rollout : nullptr;
}

void RolloutLedger::apply_command(const RecordVersions& command, LogIndex index) {
  if (services_.count(command.service) || command.versions.empty()) return;
  ServiceRecord& record = record_of(command.service);
  record.allowed = command.versions;
  changed(record, index);
}

// A version that serves beside others is known, so all calls may go to it at once; one that serves alone is
// there already.
void RolloutLedger::apply_command(const StartRollout& command, LogIndex index) {
  const ServiceRecord* known = find(command.service);
  if (known && known->in_transit()) return;
  ServiceRecord& record = record_of(command.service);
  if (record.allowed.empty()) record.allowed = command.old_versions;
  Rollout rollout;
  rollout.number = ++last_number_;
  rollout.target = command.target;
  rollout.over_ms = command.over_ms;
  bool serves =
      std::find(record.allowed.begin(), record.allowed.end(), command.target) != record.allowed.end();
  if (serves) {
    rollout.share_permille = whole_permille;
    rollout.reason = "this version serves already";
    if (record.allowed.size() == 1) rollout.state = RolloutState::delivered;
  }
  record.rollout = std::move(rollout);
  changed(record, index);
}

void RolloutLedger::apply_command(const ReserveCalls& command, LogIndex) {
  Rollout* rollout = in_transit(command.service, command.number);
  if (!rollout) return;
  rollout->reserved_calls = std::max(rollout->reserved_calls, command.calls);
  rollout->requests = std::max(rollout->requests, command.requests);
  rollout->elapsed_ms = std::max(rollout->elapsed_ms, command.elapsed_ms);
}

void RolloutLedger::apply_command(const SetShare& command, LogIndex index) {
  Rollout* rollout = in_transit(command.service, command.number);
  if (!rollout || command.permille > whole_permille) return;
  rollout->share_permille = command.permille;
  rollout->elapsed_ms = std::max(rollout->elapsed_ms, command.elapsed_ms);
  rollout->reason = command.reason;
  changed(services_[command.service], index);
}

void RolloutLedger::apply_command(const FinishRollout& command, LogIndex index) {
  Rollout* rollout = in_transit(command.service, command.number);
  if (!rollout || command.state == RolloutState::in_transit) return;
  rollout->state = command.state;
  rollout->elapsed_ms = std::max(rollout->elapsed_ms, command.elapsed_ms);
  rollout->reason = command.reason;
  ServiceRecord& record = services_[command.service];
  if (command.state == RolloutState::delivered) record.allowed = {rollout->target};
  changed(record, index);
}

void RolloutLedger::restore(RolloutNumber last_number,
                            std::map<std::string, ServiceRecord, std::less<>> services) {
  services_ = std::move(services);
  last_number_ = last_number;
  changed_at_ = 0;
  for (const auto& [name, record] : services_) changed_at_ = std::max(changed_at_, record.changed_at);
}

}  // namespace pearspar::rollout
