// What the core agrees on about allowances, folded from the log: tokens out at each edge's session, what was
// drawn, by window. The same entries grant_tokens the same state on every member.
//
// Always true: in the window that runs, drawn + in doubt + out is no more than the limit at every level that
// binds; a key counts once; a question that is applied twice changes nothing the second time.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "catalog/configuration.h"
#include "quota/messages.h"

namespace pearspar::protocol {
class Packer;
class Unpacker;
}  // namespace pearspar::protocol

namespace pearspar::quota {

struct UsageCounts {
  std::uint64_t out = 0;         // tokens at edges
  std::uint64_t drawn = 0;       // retrievals
  std::uint64_t unsure = 0;      // of those, such that may have run or not
  std::uint64_t in_doubt = 0;    // tokens at edges that are gone: spent or not, nobody knows
  std::uint64_t given_back = 0;  // drawn, and then run by nobody
  std::uint64_t repeated = 0;    // tries of a retrieval that was counted before
  std::uint64_t refused = 0;
};

class QuotaLedger {
 public:
  // The rules from this place of the log on; null = none.
  void configure(std::shared_ptr<const catalog::QuotaRules> rules) { rules_ = std::move(rules); }
  bool on() const { return rules_ != nullptr; }

  // For the search through its states: another bound than max_unsettled.
  void set_max_unsettled(std::uint64_t most) { max_unsettled_ = most; }

  void apply(const QuotaRequest& request);
  // A new window; nothing where it is not the next.
  void advance_window(Window window);
  // The edge has not been heard of for longer than its tokens last: what it can't have spent comes back.
  void expire_edge(EdgeSession session);

  Window window() const { return periods_.empty() ? 0 : periods_.back().number; }
  bool applied(EdgeSession session, std::uint64_t number) const;
  // What that question, the newest of its session, got in the window that runs; else nothing.
  const std::vector<GrantResult>* given(EdgeSession session, std::uint64_t number) const;
  bool is_expired(EdgeSession session) const;
  std::vector<EdgeSession> sessions_with_tokens() const;  // that hold tokens
  std::vector<EdgeSession> sessions_holding(const AccountKey& account_key) const;

  struct Line {
    Window window = 0;
    AccountKey account_key;  // of a level: a firm, or a branch
    std::uint64_t limit = 0;
    bool limited = false;
    UsageCounts count;
  };
  // Newest window first; by holder and kind.
  std::vector<Line> lines() const;
  UsageCounts count(const AccountKey& level) const;  // of the window that runs

  void save(protocol::Packer& packer) const;
  bool restore(protocol::Unpacker& in);

 private:
  static constexpr std::size_t periods_kept = 3;
  static constexpr std::size_t most_numbers = 65536;
  struct Claim {
    AccountKey account_key;
    std::uint64_t tries = 0;  // that have drawn on it
    bool unsure = false;
  };
  struct Period {
    Window number = 0;
    std::map<AccountKey, UsageCounts> counts;
    std::unordered_map<RequestKey, Claim> keys;
  };
  struct Grant {
    std::uint64_t out = 0;
    std::uint64_t in_doubt = 0;
  };
  struct Held {
    std::uint64_t number = 0;
    bool gone = false;
    Window heard = 0;  // window of its newest question
    std::vector<GrantResult> given;
    std::map<std::pair<AccountKey, Window>, Grant> grants;
  };

  Period* period(Window window);
  static std::vector<AccountKey> levels(const AccountKey& account_key);
  template <class What>
  static void at_levels(Period& period, const AccountKey& account_key, What what);
  std::uint64_t available(const AccountKey& account_key) const;
  void settle(Held& held, const SettledDraws& settled);
  void back(const DrawId& back);
  void unsure(const DrawId& which);
  static void sure(Period& period, Claim& claim);
  void grant_tokens(Held& held, const Amount& want);

  std::shared_ptr<const catalog::QuotaRules> rules_;
  std::uint64_t max_unsettled_ = max_unsettled;
  std::deque<Period> periods_;
  std::map<EdgeSession, Held> held_;
};

}  // namespace pearspar::quota
