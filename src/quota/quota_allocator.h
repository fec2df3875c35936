// The leader's side of quotas: batches edge requests into log entries, replies once an entry is committed,
// advances windows and expires edges that have fallen silent. Performs no I/O.
#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "protocol/quota_codec.h"
#include "quota/quota_ledger.h"

namespace pearspar::quota {

using Duration = std::chrono::duration<double>;
using Time = std::chrono::time_point<std::chrono::steady_clock, Duration>;
using Link = std::uint64_t;

// How long an edge may spend its tokens, counted from when it sent the last request that was answered.
inline constexpr Duration token_lease = std::chrono::seconds(2);

// Totals since the start of the process.
struct QuotaAllocatorCounters {
  std::uint64_t asks = 0;
  std::uint64_t entries = 0;
  std::uint64_t dropped = 0;
  std::uint64_t given_up = 0;  // sessions expired
};

class QuotaAllocator {
 public:
  // Called on every member after each event: a window starts when its entry is applied here.
  void observe_window(Time now, const QuotaLedger& ledger);
  // Called when this member becomes leader, and when it steps down.
  void open(Time now, const QuotaLedger& ledger);
  void close();

  void on_request(Time now, Link link, QuotaRequest request);
  // The entry to propose now, if any and none is in flight. The caller then calls proposed().
  std::optional<std::string> next_entry(Time now, const QuotaLedger& ledger,
                                        const catalog::QuotaRules* rules);
  // `index`: of the proposed entry; nothing if it was rejected.
  void proposed(std::optional<std::uint64_t> index);
  // Replies that are due once entries up to `applied` have been applied.
  std::vector<std::pair<Link, QuotaReply>> take_replies(Time now, std::uint64_t applied,
                                                        const QuotaLedger& ledger,
                                                        const catalog::QuotaRules* rules);
  Time due(const catalog::QuotaRules* rules) const;
  // Time until the current window ends.
  Duration left(Time now, const catalog::QuotaRules* rules) const;
  const QuotaAllocatorCounters& counters() const { return counters_; }

 private:
  // Client requests wait for tokens; reports are not urgent and are batched longer.
  static constexpr Duration grant_batch_delay = std::chrono::milliseconds(2);
  static constexpr Duration report_batch_delay = std::chrono::milliseconds(20);
  static constexpr Duration session_timeout =
      std::chrono::seconds(3);  // token_lease plus a margin for clock drift and link delay
  static constexpr Duration check_interval = std::chrono::milliseconds(200);
  static constexpr std::size_t max_waiting = 4096;

  void append_timed_commands(Time now, const QuotaLedger& ledger, const catalog::QuotaRules& rules,
                             std::vector<protocol::QuotaCommand>& commands);
  QuotaReply make_reply(Time now, const QuotaRequest& request, const QuotaLedger& ledger,
                        const catalog::QuotaRules* rules) const;

  bool open_ = false;
  Window seen_window_ = 0;
  Time window_started_{};
  std::vector<std::pair<Link, QuotaRequest>> waiting_;    // for the next entry
  std::vector<std::pair<Link, QuotaRequest>> in_flight_;  // in the entry in flight
  std::optional<std::uint64_t> index_;
  bool entry_in_flight_ = false;
  Time batch_due_ = Time::max();
  Time check_due_{};
  std::vector<std::pair<Link, QuotaReply>> ready_replies_;  // to requests that need no entry
  std::map<EdgeSession, std::pair<Link, Time>> last_heard_;
  QuotaAllocatorCounters counters_;
};

}  // namespace pearspar::quota
