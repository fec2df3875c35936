// An edge, whole but for its sockets: the dispatcher and who follows the core, joined. What the news say
// reaches the dispatcher, what the dispatcher learns or lacks reaches the core. Where the configuration names
// allowances, requests draw on them before they reach the dispatcher, and answers wait (a little) until the
// draw is on disk. Free of I/O.
#pragma once

#include <deque>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "dispatch/dispatcher.h"
#include "pramperet/purse.h"
#include "vazzoler/follower.h"

namespace pearspar::edgegateway {

using dispatch::Duration;
using dispatch::RequestId;
using dispatch::Time;

// Of a request, where there are allowances.
struct QuotaIdentity {
  std::string holder;
  std::string key;
};

class EdgeGateway {
 public:
  EdgeGateway(transport::Wire& wire, vazzoler::FollowerOptions options, dispatch::NodeClient& calls,
              const dispatch::RetryBudgetRules& rules);

  void start(Time now) { follower_.start(now); }
  void link_up(transport::LinkId link, const std::string& address) { follower_.link_up(link, address); }
  void link_down(transport::LinkId link) { follower_.link_down(link); }
  void link_frame(Time now, transport::LinkId link, std::string_view frame);
  // After every event, and at due().
  void advance(Time now);
  Time due(Time now) const;

  // Null where there are none: then nothing of them is on a request's way.
  const averau::Allowances* quota_rules() const { return purse_.rules(); }
  // Where it can be told at once, `answer` is set; else it follows in take_responses().
  RequestId submit(Time now, const dispatch::ClientRequest& arrival, const QuotaIdentity& quota_identity,
                   dispatch::ClientResponse& answer);
  // Its client has gone: what it drew stays drawn, since it may have run.
  void client_disconnected(RequestId request);
  std::vector<std::pair<RequestId, dispatch::ClientResponse>> take_responses(Time now);

  // A configuration, and a list of nodes that is whole, or has been gathered for long enough.
  bool ready() const { return follower_.knows_enough(); }
  // The edition that requests are routed by.
  averau::Edition routed_revision() const { return routed_revision_; }

  dispatch::Dispatcher& dispatcher() { return dispatcher_; }
  const dispatch::Dispatcher& dispatcher() const { return dispatcher_; }
  vazzoler::Follower& follower() { return follower_; }
  const vazzoler::Follower& follower() const { return follower_; }
  const pramperet::Purse& purse() const { return purse_; }
  // This process ends: every request that is open is answered.
  void finish_open_requests(Time now);

 private:
  static constexpr std::size_t most_waiting = 2048;
  static constexpr std::size_t most_waiting_bytes = 8 << 20;
  // A request that waits for the leader's word on its allowance.
  struct Waiting {
    RequestId ticket;
    std::string method, target, host, id, head, body;
    double deadline_ms = 0;
    Time received_at{};
    QuotaIdentity quota_identity;
    std::string kind;
    Time until{};
  };
  // An answer that waits for its draw.
  struct Held {
    RequestId request;
    dispatch::ClientResponse answer;
    pramperet::Ticket draw;
    Time until{};
  };

  void take_news();
  void ask_for_tokens(Time now);
  void try_waiting(Time now);
  void ended(Time now, RequestId request, dispatch::ClientResponse answer);
  RequestId begin(Time now, const dispatch::ClientRequest& arrival, const pramperet::Verdict& verdict,
                  dispatch::ClientResponse& answer);

  vazzoler::Follower follower_;
  dispatch::Dispatcher dispatcher_;
  averau::Edition routed_revision_ = 0;
  bool began_ = false;  // this life has its first share of coverage
  pramperet::Purse purse_;
  std::deque<Waiting> waiting_;
  std::size_t waiting_bytes_ = 0;
  std::uint32_t next_ticket_ = 0;
  std::unordered_map<std::uint64_t, pramperet::Ticket> draws_;  // of open requests of the dispatcher
  std::unordered_map<std::uint64_t, RequestId> names_;  // of those that waited: the dispatcher's id -> ours
  std::unordered_map<std::uint64_t, RequestId> desk_ids_;  // the other way
  std::deque<Held> held_;
  std::vector<std::pair<RequestId, dispatch::ClientResponse>> answers_;
};

}  // namespace pearspar::edgegateway
