// What the core agrees on, folded from its log: the newest configuration, and which were taken before it.
#pragma once

#include <cstdint>
#include <deque>
#include <string>
#include <string_view>
#include <utility>

#include "averau/config.h"
#include "lagazuoi/core.h"
#include "pramperet/accounts.h"

namespace pearspar::sennes {

using Digest = std::pair<std::uint64_t, std::uint64_t>;
Digest digest_of(std::string_view text);

class State : public lagazuoi::StateMachine {
 public:
  void apply(const lagazuoi::Entry& change) override;
  std::string fold() const override;
  void restore(const std::string& state) override;

  // What an entry holds: steps of the allowance, or a configuration on top of the one it was checked against.
  static std::string allowance(std::string_view steps);
  static std::string change(averau::Edition on_top_of, std::string_view text);

  const pramperet::Accounts& accounts() const { return accounts_; }
  const averau::Allowances* allowances() const { return current_ ? current_->allowances.get() : nullptr; }
  averau::Edition edition() const { return current_ ? current_->edition : 0; }
  const averau::ConfigurationPtr& current() const { return current_; }
  const std::deque<std::pair<averau::Edition, Digest>>& taken() const { return taken_; }
  // Whether this very text was taken under this number.
  bool took(averau::Edition edition, const Digest& digest) const;

 private:
  static constexpr std::size_t most_taken = 512;
  void take(averau::ConfigurationPtr configuration);

  void apply_allowance(const std::string& steps);

  averau::ConfigurationPtr current_;
  pramperet::Accounts accounts_;
  std::deque<std::pair<averau::Edition, Digest>> taken_;
};

}  // namespace pearspar::sennes
