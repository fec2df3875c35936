// An edge's side of the allowance: the tokens that it holds, what it has spent and not yet settled, whom it
// refuses. Free of I/O.
//
// A token is spent only while the lease holds that the last answered question renewed (or, where the operator
// says so, as long as its window runs), and never more than max_unsettled of a account_key that the log does
// not know of.
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

// What a request drew; kept until its end.
struct Draw {
  AccountKey account_key;
  RequestKey key = 0;
  Window window = 0;
  std::uint64_t serial = 0;  // of the spending; 0 = a try of what was counted before
};

struct DrawResult {
  enum class Kind {
    free,     // draws on nothing
    drawn,    // `ticket` holds
    wait,     // the leader is being asked
    refused,  // nothing is left: `retry_after`
  };
  Kind kind = Kind::free;
  Draw ticket;
  Duration retry_after{};
};

struct EdgeQuotaCounters {
  std::uint64_t drawn = 0;
  std::uint64_t repeated = 0;  // here
  std::uint64_t waited = 0;
  std::uint64_t drawn_late = 0;  // of those drawn: after a wait
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

  // `again`: it has waited, and is not counted as waiting anew.
  DrawResult draw(Time now, const std::string& holder, const std::string& kind, std::string_view key,
                  bool again);
  // It waits no more, and is refused.
  void refuse(const std::string& holder, const std::string& kind);
  // Nobody has run it.
  void not_run(const Draw& ticket);
  // Its answer does not reply whether it ran.
  void unsure(const Draw& ticket) { unsure_.push_back({ticket.account_key, ticket.key}); }
  // A majority has it on disk that it was drawn.
  bool settled(const Draw& ticket) const { return ticket.serial <= settled_; }

  // What is to be sent to the leader now.
  std::optional<QuotaRequest> take_request(Time now);
  void on_reply(Time now, const QuotaReply& reply);
  Time due(Time now) const;
  const EdgeQuotaCounters& counters() const { return counters_; }
  // All that its next steps depend on, times as spans from now; for the search through its states.
  std::string describe(Time now) const;
  void set_max_unsettled(std::uint64_t most) { max_unsettled_ = most; }

 private:
  static constexpr Duration again_after = std::chrono::milliseconds(250);  // the same question, unanswered
  static constexpr Duration touch_every = std::chrono::milliseconds(500);  // while tokens are held
  static constexpr Duration idle_after = std::chrono::seconds(2);          // tokens go back
  static constexpr Duration retry_every = std::chrono::milliseconds(20);   // where nothing came
  static constexpr Duration believe = std::chrono::seconds(1);             // that nothing is left
  static constexpr std::uint64_t least_batch = 4;
  static constexpr std::uint64_t most_batch = 256;

  struct Held {
    std::uint64_t tokens = 0;
    std::uint64_t unsettled = 0;  // spent, and not in the log as far as is known
    std::uint64_t waiting = 0;    // requests that found none
    std::uint64_t refused = 0;    // since the last question
    std::uint64_t batch = least_batch;
    bool short_of = false;
    Time exhausted_until{};  // believed so long
    Time not_before{};       // it is asked for again
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
  // Retrievals counted here: how many of their tries are not known to have run nowhere. By the window's
  // parity.
  std::unordered_map<RequestKey, std::uint64_t> known_[2];
  std::vector<SettledDraws> pending_;  // spent since the last question
  std::vector<DrawId> back_;
  std::vector<DrawId> unsure_;
  std::optional<QuotaRequest> under_way_;
  std::uint64_t serial_ = 0;        // of the last spending
  std::uint64_t under_way_to_ = 0;  // the last one in the question
  std::uint64_t settled_ = 0;
  Time first_sent_{};
  Time sent_{};
  bool urgent_ = false;
  bool retire_ = false;
  EdgeQuotaCounters counters_;
};

}  // namespace pearspar::quota
