// What the core agrees on, folded from its log: the newest configuration, and which were taken before it.
//
// Always true: whether a change is taken follows from the entry and from what stands, and from nothing that
// this program checks. The leader that proposes checks; the entry carries its word. So members of different
// editions of the program fold one log to one state, and who cannot read a configuration that was taken
// keeps it all the same, and does not lead.
#pragma once

#include <cstdint>
#include <deque>
#include <string>
#include <string_view>
#include <utility>

#include "averau/config.h"
#include "control_plane/change_history.h"
#include "pramperet/accounts.h"
#include "raft/core.h"

namespace pearspar::fanes {
class Unpacker;
}

namespace pearspar::control_plane {

class ReplicatedState : public raft::StateMachine {
 public:
  using ConfigurationParser = averau::ConfigurationPtr (*)(std::string_view text, averau::Fault& fault);
  // `read` are the checks of this program; another edition's in tests.
  explicit ReplicatedState(ConfigurationParser read = averau::read_configuration)
      : parse_configuration_(read) {}

  void apply(const raft::Entry& change) override;
  std::string fold() const override;
  void restore(const std::string& state) override;

  // What an entry holds: steps of the allowance, or a configuration on top of the one it was checked against.
  static std::string encode_quota_commands(std::string_view steps);
  static std::string encode_change(averau::Edition base, averau::Edition edition, const Digest& digest,
                                   std::string_view text);

  // What this program says to a text; asked by who proposes it, never by who applies it.
  averau::ConfigurationPtr check(std::string_view text, averau::Fault& fault) const {
    return parse_configuration_(text, fault);
  }
  const pramperet::Accounts& accounts() const { return accounts_; }
  const averau::Allowances* quota_rules() const {
    return configuration_ ? configuration_->allowances.get() : nullptr;
  }
  averau::Edition edition() const { return history_.empty() ? 0 : history_.newest().edition; }
  // As it was sent; empty = none was taken yet.
  const std::string& text() const { return text_; }
  // Null where none was taken yet, and where this program cannot read it.
  const averau::ConfigurationPtr& configuration() const { return configuration_; }
  // Whether this program can read what stands, and has folded all behind it: else it must not lead.
  bool may_serve() const { return unapplied_.empty() && !incomplete_; }
  // Why not, for people.
  const std::string& fault() const { return fault_; }
  const ChangeHistory& history() const { return history_; }
  // Whether this very text was taken under this number.
  bool has_applied(averau::Edition edition, const Digest& digest) const {
    return history_.status(edition, digest) == ChangeHistory::Status::applied;
  }

 private:
  static constexpr std::size_t max_legacy_entries =
      512;  // in a snapshot, in the form that older programs read
  static constexpr std::size_t max_unapplied_bytes = 4 << 20;  // bytes

  void apply_configuration(const ChangeHistory::Entry& one, std::string text);
  void apply_quota_commands(const std::string& steps);
  // One of those that wait to be folded into the accounts.
  struct UnappliedEntry {
    bool steps = false;  // else a configuration
    std::string text;
  };
  void defer(UnappliedEntry entry);
  void apply_deferred();
  bool restore_extension(fanes::Unpacker& in);  // false: it does not read

  ConfigurationParser parse_configuration_;
  std::string text_;
  averau::ConfigurationPtr configuration_;
  std::string fault_;
  pramperet::Accounts accounts_;
  ChangeHistory history_;
  // How steps are folded hangs on the rules of their configuration. From the first one on that cannot be read
  // (it is the front) all waits here, for a program that can. Past the bound it is dropped: `incomplete_`
  // until a snapshot of another member is installed.
  std::deque<UnappliedEntry> unapplied_;
  std::size_t unapplied_bytes_ = 0;
  bool incomplete_ = false;
};

}  // namespace pearspar::control_plane
