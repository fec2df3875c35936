// The leader's side of the allowance: edges' questions are gathered into entries of the log and answered when
// a majority has them on disk; windows advance_window; edges that fell silent are given up. Free of I/O.
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

// At the edge, from the sending of the question whose answer renewed it; a frozen edge that wakes past it
// spends nothing.
inline constexpr Duration token_lease = std::chrono::seconds(2);

struct QuotaAllocatorCounters {
  std::uint64_t asks = 0;
  std::uint64_t entries = 0;
  std::uint64_t dropped = 0;
  std::uint64_t given_up = 0;  // edges
};

class QuotaAllocator {
 public:
  // On every member, after each event: windows are timed from when their entry was applied here.
  void observe_window(Time now, const QuotaLedger& ledger);
  void open(Time now, const QuotaLedger& ledger);
  void close();

  void on_request(Time now, Link link, QuotaRequest ask);
  // What is to be put into the log now; nothing while an entry is under way. Then proposed() follows.
  std::optional<std::string> next_entry(Time now, const QuotaLedger& ledger,
                                        const catalog::QuotaRules* rules);
  void proposed(std::optional<std::uint64_t> index);
  // What is to be told, now that entries up to `applied` are in force.
  std::vector<std::pair<Link, QuotaReply>> take_replies(Time now, std::uint64_t applied,
                                                        const QuotaLedger& ledger,
                                                        const catalog::QuotaRules* rules);
  Time due(const catalog::QuotaRules* rules) const;
  // Of the window that runs.
  Duration left(Time now, const catalog::QuotaRules* rules) const;
  const QuotaAllocatorCounters& counters() const { return counters_; }

 private:
  // A request waits for what is wanted; what is only reported has the time that nodes work.
  static constexpr Duration gather_wants = std::chrono::milliseconds(2);
  static constexpr Duration gather_reports = std::chrono::milliseconds(20);
  static constexpr Duration silence = std::chrono::seconds(3);  // the lease and what clocks and links may add
  static constexpr Duration look_every = std::chrono::milliseconds(200);
  static constexpr std::size_t most_waiting = 4096;

  void look(Time now, const QuotaLedger& ledger, const catalog::QuotaRules& rules,
            std::vector<protocol::QuotaCommand>& steps);
  QuotaReply tell(Time now, const QuotaRequest& ask, const QuotaLedger& ledger,
                  const catalog::QuotaRules* rules) const;

  bool open_ = false;
  Window seen_ = 0;
  Time turned_{};
  std::vector<std::pair<Link, QuotaRequest>> waiting_;    // for the next entry
  std::vector<std::pair<Link, QuotaRequest>> under_way_;  // in the entry that was proposed
  std::optional<std::uint64_t> index_;
  bool busy_ = false;  // an entry was proposed
  Time gather_due_ = Time::max();
  Time look_due_{};
  std::vector<std::pair<Link, QuotaReply>> now_;  // what needs no entry
  std::map<EdgeSession, std::pair<Link, Time>> heard_;
  QuotaAllocatorCounters counters_;
};

}  // namespace pearspar::quota
