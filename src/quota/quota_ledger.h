// Replicated quota state, built from the raft log: tokens granted to each edge session and usage per window.
// Deterministic: the same entries give the same state on every member.
//
// Invariants: in the current window, drawn + in_doubt + out does not exceed the limit of any account that
// applies; a request key counts once; applying a request twice has no further effect.
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

// Usage of one account in one window.
struct UsageCounts {
  std::uint64_t out = 0;         // unspent tokens held by edges
  std::uint64_t drawn = 0;       // requests counted against the limit
  std::uint64_t unsure = 0;      // of `drawn`: may or may not have run
  std::uint64_t in_doubt = 0;    // tokens of expired edges that may have been spent
  std::uint64_t given_back = 0;  // drawn, then reported as run by no node
  std::uint64_t repeated = 0;    // further attempts of a request already counted
  std::uint64_t refused = 0;
};

class QuotaLedger {
 public:
  // Sets the rules for the following log entries; null turns quotas off.
  void configure(std::shared_ptr<const catalog::QuotaRules> rules) { rules_ = std::move(rules); }
  bool on() const { return rules_ != nullptr; }

  // Replaces the default bound in state-space exploration.
  void set_max_unsettled(std::uint64_t most) { max_unsettled_ = most; }

  void apply(const QuotaRequest& request);
  // Starts `window`; ignored unless it follows the current one.
  void advance_window(Window window);
  // Expires an edge whose token lease has run out: reclaims the tokens that it cannot have spent.
  void expire_edge(EdgeSession session);

  Window window() const { return windows_.empty() ? 0 : windows_.back().number; }
  bool applied(EdgeSession session, std::uint64_t number) const;
  // The grants of that request if it is the newest of its session and of the current window; else null.
  const std::vector<GrantResult>* given(EdgeSession session, std::uint64_t number) const;
  bool is_expired(EdgeSession session) const;
  std::vector<EdgeSession> sessions_with_tokens() const;
  // Sessions with tokens of any account of the same firm and kind.
  std::vector<EdgeSession> sessions_holding(const AccountKey& account_key) const;

  struct Line {
    Window window = 0;
    AccountKey account_key;  // of a firm or a branch
    std::uint64_t limit = 0;
    bool limited = false;
    UsageCounts count;
  };
  // Usage per window and account: newest window first, then by holder and kind.
  std::vector<Line> lines() const;
  UsageCounts count(const AccountKey& level) const;  // in the current window

  // Snapshot encoding.
  void save(protocol::Packer& packer) const;
  bool restore(protocol::Unpacker& in);

 private:
  static constexpr std::size_t max_windows = 3;
  static constexpr std::size_t most_numbers = 65536;
  struct Claim {
    AccountKey account_key;
    std::uint64_t tries = 0;  // attempts that drew it and were not reported as not run
    bool unsure = false;
  };
  struct WindowState {
    Window number = 0;
    std::map<AccountKey, UsageCounts> counts;
    std::unordered_map<RequestKey, Claim> keys;
  };
  struct Grant {
    std::uint64_t out = 0;
    std::uint64_t in_doubt = 0;
  };
  struct EdgeState {
    std::uint64_t number = 0;
    bool expired = false;
    Window heard = 0;  // window of its newest request
    std::vector<GrantResult> given;
    std::map<std::pair<AccountKey, Window>, Grant> grants;
  };

  WindowState* find_window(Window window);
  static std::vector<AccountKey> levels(const AccountKey& account_key);
  template <class What>
  static void for_each_level(WindowState& window_state, const AccountKey& account_key, What what);
  std::uint64_t available(const AccountKey& account_key) const;
  void apply_settled(EdgeState& edge, const SettledDraws& settled);
  void apply_not_run(const DrawId& back);
  void apply_unsure(const DrawId& which);
  static void clear_unsure(WindowState& window_state, Claim& claim);
  void grant_tokens(EdgeState& edge, const Amount& want);

  std::shared_ptr<const catalog::QuotaRules> rules_;
  std::uint64_t max_unsettled_ = max_unsettled;
  std::deque<WindowState> windows_;
  std::map<EdgeSession, EdgeState> edges_;
};

}  // namespace pearspar::quota
