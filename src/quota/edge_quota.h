// An edge's side of quotas: the tokens that it holds, and draws that are not yet in the log. Performs no I/O.
//
// A token is spent only while the lease renewed by the last answered request holds (or until its window ends,
// where the configuration allows spending while disconnected), and at most max_unsettled tokens of an account
// may be spent without the log knowing of it.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "catalog/configuration.h"
#include "quota/quota_allocator.h"

namespace pearspar::quota {

// What a client request drew; kept until the request ends.
struct Draw {
  AccountKey account_key;
  RequestKey key = 0;
  Window window = 0;
  std::uint64_t serial = 0;  // of the spent token; of the last one for a further attempt
};

// Result of EdgeQuota::draw.
struct DrawResult {
  enum class Kind {
    free,     // no quota applies
    drawn,    // `ticket` is set
    wait,     // tokens are being requested from the leader
    refused,  // the quota is exhausted: see `retry_after`
  };
  Kind kind = Kind::free;
  Draw ticket;
  Duration retry_after{};
};

// Totals since the start of the process.
struct EdgeQuotaCounters {
  std::uint64_t drawn = 0;
  std::uint64_t repeated = 0;  // further attempts of requests counted at this edge
  std::uint64_t waited = 0;
  std::uint64_t drawn_late = 0;  // of `drawn`: after a wait
  std::uint64_t refused = 0;
  std::uint64_t given_back = 0;
  std::uint64_t asks = 0;
};

class EdgeQuota {
 public:
  explicit EdgeQuota(std::uint64_t seed) : random_(seed | 1) {}

  void configure(std::shared_ptr<const catalog::QuotaRules> rules);
  bool on() const { return rules_ != nullptr; }
  const catalog::QuotaRules* rules() const { return rules_.get(); }

  // Draws one token for a request; `again`: the request has waited, and is not counted as waiting again.
  DrawResult draw(Time now, const std::string& holder, const std::string& kind, std::string_view key,
                  bool again);
  // Gives up a waiting request.
  void refuse(const std::string& holder, const std::string& kind);
  // Returns the draw: no node has run the request.
  void not_run(const Draw& ticket);
  // The outcome leaves open whether the request ran.
  void unsure(const Draw& ticket) { unsure_.push_back({ticket.account_key, ticket.key}); }
  // Whether the draw is committed to the log.
  bool settled(const Draw& ticket) const { return ticket.serial <= settled_serial_; }

  // The request to send to the leader now, if any.
  std::optional<QuotaRequest> take_request(Time now);
  void on_reply(Time now, const QuotaReply& reply);
  Time due(Time now) const;
  const EdgeQuotaCounters& counters() const { return counters_; }
  // Canonical text of the state, with times relative to now; for state-space exploration.
  std::string describe(Time now) const;
  void set_max_unsettled(std::uint64_t most) { max_unsettled_ = most; }

 private:
  static constexpr Duration resend_after = std::chrono::milliseconds(250);     // an unanswered request
  static constexpr Duration report_interval = std::chrono::milliseconds(500);  // while tokens are held
  static constexpr Duration token_idle_time = std::chrono::seconds(2);  // then unused tokens are returned
  static constexpr Duration retry_interval = std::chrono::milliseconds(20);  // after a grant of nothing
  static constexpr Duration exhausted_ttl = std::chrono::seconds(1);         // of an exhausted reply
  static constexpr std::uint64_t min_batch = 4;
  static constexpr std::uint64_t max_batch = 256;

  struct Held {
    std::uint64_t tokens = 0;
    std::uint64_t unsettled = 0;  // spent, not yet known to be in the log
    std::uint64_t waiting = 0;    // client requests waiting for a token
    std::uint64_t refused = 0;    // since the last report
    std::uint64_t batch = min_batch;
    bool needs_tokens = false;
    Time exhausted_until{};
    Time not_before{};  // next request for tokens
    Time used{};
    Time wanted{};
  };

  std::optional<AccountKey> account_key_of(const std::string& holder, const std::string& kind) const;
  bool may_spend(Time now, const Held& held) const;
  void drop_tokens();
  Duration left(Time now) const { return std::max(Duration(0.005), window_end_ - now); }

  std::shared_ptr<const catalog::QuotaRules> rules_;
  std::uint64_t random_;
  EdgeSession session_ = 0;
  std::uint64_t max_unsettled_ = max_unsettled;
  std::uint64_t number_ = 0;
  Window window_ = 0;
  Time window_end_{};
  Time lease_until_{};
  std::map<AccountKey, Held> held_;
  // Attempts per request counted here, without those reported as not run; by the parity of the window.
  std::unordered_map<RequestKey, std::uint64_t> known_requests_[2];
  std::vector<SettledDraws> pending_;  // spent since the last request
  std::vector<DrawId> not_run_;
  std::vector<DrawId> unsure_;
  std::optional<QuotaRequest> in_flight_;
  std::uint64_t serial_ = 0;            // of the last spent token
  std::uint64_t in_flight_serial_ = 0;  // last one reported in in_flight_
  std::uint64_t settled_serial_ = 0;
  Time first_sent_{};
  Time sent_{};
  bool send_now_ = false;
  bool renew_session_ = false;
  EdgeQuotaCounters counters_;
};

}  // namespace pearspar::quota
