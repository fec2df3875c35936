// Everything of an edge except its sockets: connects the request dispatcher with the subscription to the
// core. Updates from the core (nodes, configuration, versions, grants) reach the dispatcher; its coverage,
// token requests and reports on roll-outs reach the core. Where the configuration has quotas, a request draws
// on them before it is dispatched, and its response is held briefly until the draw is durable. Does no I/O;
// callers pass the current time.
#pragma once

#include <deque>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "dispatch/dispatcher.h"
#include "quota/edge_quota.h"
#include "rollout/edge_rollouts.h"
#include "subscription/follower.h"

namespace pearspar::edge_gateway {

using dispatch::Duration;
using dispatch::RequestId;
using dispatch::Time;

// Whom a request's quota is charged to.
struct QuotaIdentity {
  std::string holder;
  std::string key;  // the same over all tries of one retrieval
};

class EdgeGateway {
 public:
  EdgeGateway(transport::Transport& wire, subscription::FollowerOptions options,
              dispatch::NodeClient& node_client, const dispatch::RetryBudgetRules& rules);

  void start(Time now) { follower_.start(now); }
  void link_up(transport::LinkId link, const std::string& address) { follower_.link_up(link, address); }
  void link_down(transport::LinkId link) { follower_.link_down(link); }
  void link_frame(Time now, transport::LinkId link, std::string_view frame);
  // Handles everything that has become due. To be called after every event and at due().
  void advance(Time now);
  Time due(Time now) const;

  // Null where the configuration has no quotas.
  const catalog::QuotaRules* quota_rules() const { return edge_quota_.rules(); }
  // Accepts a request. If it is answered at once, `response` is set and the returned id is empty; otherwise
  // the response follows in take_responses().
  RequestId submit(Time now, const dispatch::ClientRequest& request, const QuotaIdentity& quota_identity,
                   dispatch::ClientResponse& response);
  // The client has disconnected. Its draw is kept, since the request may have run.
  void client_disconnected(RequestId request);
  std::vector<std::pair<RequestId, dispatch::ClientResponse>> take_responses(Time now);

  // Whether the configuration and a sufficiently complete node list are known.
  bool ready() const { return follower_.is_usable(); }
  // The configuration that requests are routed by.
  catalog::Revision routed_revision() const { return routed_revision_; }

  dispatch::Dispatcher& dispatcher() { return dispatcher_; }
  const dispatch::Dispatcher& dispatcher() const { return dispatcher_; }
  subscription::Follower& follower() { return follower_; }
  const subscription::Follower& follower() const { return follower_; }
  const quota::EdgeQuota& edge_quota() const { return edge_quota_; }
  const rollout::EdgeRollouts& edge_rollouts() const { return edge_rollouts_; }
  // Answers every open request at shutdown.
  void finish_open_requests(Time now);

 private:
  static constexpr std::size_t max_waiting_requests = 2048;
  static constexpr std::size_t max_waiting_bytes = 8 << 20;
  // A request that waits for the leader to grant quota tokens.
  struct WaitingRequest {
    RequestId id;
    std::string method, target, host, request_id, head, body;
    double deadline_ms = 0;
    Time received_at{};
    QuotaIdentity quota_identity;
    std::string kind;
    Time wait_until{};
  };
  // A response that waits for its draw to become durable.
  struct HeldResponse {
    RequestId request;
    dispatch::ClientResponse response;
    quota::Draw draw;
    Time hold_until{};
  };

  void apply_updates(Time now);
  void take_rollout_grants(Time now);
  void report_rollouts(Time now);
  void request_retry_tokens(Time now);
  void retry_waiting(Time now);
  void request_ended(Time now, RequestId request, dispatch::ClientResponse response);
  RequestId dispatch_request(Time now, const dispatch::ClientRequest& request,
                             const quota::DrawResult& verdict, dispatch::ClientResponse& response);

  subscription::Follower follower_;
  dispatch::Dispatcher dispatcher_;
  catalog::Revision routed_revision_ = 0;
  bool has_initial_coverage_ = false;
  quota::EdgeQuota edge_quota_;
  rollout::EdgeRollouts edge_rollouts_;
  transport::LinkId leader_link_ = 0;  // that roll-outs were reported on last
  std::deque<WaitingRequest> waiting_;
  std::size_t waiting_bytes_ = 0;
  std::uint32_t last_waiting_id_ = 0;
  std::unordered_map<std::uint64_t, quota::Draw> draws_;  // of open requests, by dispatcher id
  // A request that has waited keeps the id that it was given then.
  std::unordered_map<std::uint64_t, RequestId> waiting_ids_;     // by dispatcher id
  std::unordered_map<std::uint64_t, RequestId> dispatcher_ids_;  // by waiting id
  std::deque<HeldResponse> held_;
  std::vector<std::pair<RequestId, dispatch::ClientResponse>> responses_;
};

}  // namespace pearspar::edge_gateway
