// The state machine behind the raft log: the newest configuration, the history of configurations, the quota
// accounts, the nodes that have left, and the versions and roll-outs of services.
//
// Invariant: whether a change is applied depends only on the log entry and the current state, never on this
// program's validation, which only the proposing leader runs. So members of different program versions reach
// the same state from the same log; a member that cannot parse an applied configuration keeps it but does not
// lead.
#pragma once

#include <cstdint>
#include <deque>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "catalog/configuration.h"
#include "catalog/departures.h"
#include "control_plane/change_history.h"
#include "quota/quota_ledger.h"
#include "raft/core.h"
#include "rollout/rollout_ledger.h"

namespace pearspar::protocol {
class Packer;
class Unpacker;
}  // namespace pearspar::protocol

namespace pearspar::control_plane {

class ReplicatedState : public raft::StateMachine {
 public:
  using ConfigurationParser = catalog::ConfigurationPtr (*)(std::string_view text, catalog::Fault& fault);
  // Tests pass another parser to stand for another program version.
  explicit ReplicatedState(ConfigurationParser parse = catalog::parse_configuration)
      : parse_configuration_(parse) {}

  void apply(const raft::Entry& change) override;
  std::string take_snapshot() const override;
  void restore(const std::string& state) override;

  // Data of a log entry: quota commands, departures, commands of roll-outs, or a configuration with the base
  // that it was checked against.
  static std::string encode_quota_commands(std::string_view commands);
  static std::string encode_departures(const std::vector<catalog::Departure>& departures);
  static std::string encode_rollout_commands(const std::vector<rollout::RolloutCommand>& commands);
  static std::string encode_change(catalog::Revision base, catalog::Revision revision, const Digest& digest,
                                   std::string_view text);

  // Whether the entry may replace the configuration when it is applied.
  static bool is_configuration_change(const raft::Entry& entry);

  // Validates a configuration; used before proposing it, never when applying it.
  catalog::ConfigurationPtr check(std::string_view text, catalog::Fault& fault) const {
    return parse_configuration_(text, fault);
  }
  const quota::QuotaLedger& quota_ledger() const { return quota_ledger_; }
  const catalog::QuotaRules* quota_rules() const {
    return configuration_ ? configuration_->quota_rules.get() : nullptr;
  }
  catalog::Revision revision() const { return history_.empty() ? 0 : history_.newest().revision; }
  // The configuration as it was received; empty: none was applied yet.
  const std::string& text() const { return text_; }
  // Null where none was applied yet, and where this program cannot parse it.
  const catalog::ConfigurationPtr& configuration() const { return configuration_; }
  // Whether this program can parse the configuration and has applied all entries; it must not lead otherwise.
  bool may_serve() const { return unapplied_.empty() && !incomplete_; }
  // Why it may not, for the operator.
  const std::string& fault() const { return fault_; }
  const ChangeHistory& history() const { return history_; }
  const catalog::Departures& departures() const { return departures_; }
  const rollout::RolloutLedger& rollouts() const { return rollouts_; }
  // Whether the text with this digest was applied as this revision.
  bool has_applied(catalog::Revision revision, const Digest& digest) const {
    return history_.status(revision, digest) == ChangeHistory::Status::applied;
  }

 private:
  static constexpr std::size_t max_legacy_entries = 512;  // of the history, where older programs read it
  static constexpr std::size_t max_unapplied_bytes = 4 << 20;

  void apply_configuration(const ChangeHistory::Entry& entry, std::string text);
  void apply_quota_commands(const std::string& bytes);
  void apply_departures(protocol::Unpacker& in);
  void apply_rollout_commands(protocol::Unpacker& in, raft::Index index);
  // An entry that waits to be applied to the accounts.
  struct UnappliedEntry {
    bool quota_commands = false;  // false: a configuration
    std::string text;
  };
  void defer(UnappliedEntry entry);
  void apply_deferred();
  // What only newer programs write to a snapshot.
  void save_extension(protocol::Packer& packer, std::size_t legacy_entries) const;
  bool restore_extension(protocol::Unpacker& in);  // false where it is malformed
  void restore_departures(protocol::Unpacker& in);

  ConfigurationParser parse_configuration_;
  std::string text_;
  catalog::ConfigurationPtr configuration_;
  std::string fault_;
  quota::QuotaLedger quota_ledger_;
  ChangeHistory history_;
  catalog::Departures departures_;
  rollout::RolloutLedger rollouts_;
  // The effect of quota commands depends on the rules of their configuration. From the first configuration on
  // that this program cannot parse, all entries wait here for a program that can. Beyond the limit they are
  // dropped, and the state is incomplete until another member's snapshot is installed.
  std::deque<UnappliedEntry> unapplied_;
  std::size_t unapplied_bytes_ = 0;
  bool incomplete_ = false;
};

}  // namespace pearspar::control_plane
