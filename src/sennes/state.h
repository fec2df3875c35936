// What the core agrees on, folded from its log: the newest configuration, and which were taken before it.
//
// Always true: whether a change is taken follows from the entry and from what stands, and from nothing that
// this program checks. The leader that proposes checks; the entry carries its word. So members of different
// revisions of the program fold one log to one state, and who cannot read a configuration that was taken
// keeps it all the same, and does not lead.
#pragma once

#include <cstdint>
#include <deque>
#include <string>
#include <string_view>
#include <utility>

#include "catalog/configuration.h"
#include "pramperet/accounts.h"
#include "raft/core.h"
#include "sennes/taken.h"

namespace pearspar::protocol {
class Unpacker;
}

namespace pearspar::sennes {

class State : public raft::StateMachine {
 public:
  using Reader = catalog::ConfigurationPtr (*)(std::string_view text, catalog::Fault& fault);
  // `read` are the checks of this program; another revision's in tests.
  explicit State(Reader read = catalog::parse_configuration) : read_(read) {}

  void apply(const raft::Entry& change) override;
  std::string fold() const override;
  void restore(const std::string& state) override;

  // What an entry holds: steps of the allowance, or a configuration on top of the one it was checked against.
  static std::string allowance(std::string_view steps);
  static std::string change(catalog::Revision on_top_of, catalog::Revision revision, const Digest& digest,
                            std::string_view text);

  // What this program says to a text; asked by who proposes it, never by who applies it.
  catalog::ConfigurationPtr check(std::string_view text, catalog::Fault& fault) const {
    return read_(text, fault);
  }
  const pramperet::Accounts& accounts() const { return accounts_; }
  const catalog::QuotaRules* allowances() const { return current_ ? current_->quota_rules.get() : nullptr; }
  catalog::Revision revision() const { return taken_.empty() ? 0 : taken_.newest().revision; }
  // As it was sent; empty = none was taken yet.
  const std::string& text() const { return text_; }
  // Null where none was taken yet, and where this program cannot read it.
  const catalog::ConfigurationPtr& current() const { return current_; }
  // Whether this program can read what stands, and has folded all behind it: else it must not lead.
  bool may_serve() const { return unfolded_.empty() && !doubtful_; }
  // Why not, for people.
  const std::string& fault() const { return fault_; }
  const Taken& taken() const { return taken_; }
  // Whether this very text was taken under this number.
  bool took(catalog::Revision revision, const Digest& digest) const {
    return taken_.word(revision, digest) == Taken::Word::taken;
  }

 private:
  static constexpr std::size_t most_told_apart = 512;  // in a snapshot, in the form that older programs read
  static constexpr std::size_t most_unfolded = 4 << 20;  // bytes

  void take(const Taken::One& one, std::string text);
  void apply_allowance(const std::string& steps);
  // One of those that wait to be folded into the accounts.
  struct Unfolded {
    bool steps = false;  // else a configuration
    std::string text;
  };
  void keep_unfolded(Unfolded entry);
  void fold_on();
  bool restore_more(protocol::Unpacker& in);  // false: it does not read

  Reader read_;
  std::string text_;
  catalog::ConfigurationPtr current_;
  std::string fault_;
  pramperet::Accounts accounts_;
  Taken taken_;
  // How steps are folded hangs on the rules of their configuration. From the first one on that cannot be read
  // (it is the front) all waits here, for a program that can. Past the bound it is dropped: `doubtful_` until
  // a snapshot of another member is installed.
  std::deque<Unfolded> unfolded_;
  std::size_t unfolded_bytes_ = 0;
  bool doubtful_ = false;
};

}  // namespace pearspar::sennes
