#include "edge_gateway/edge_gateway.h"

#include <algorithm>
#include <cmath>

#include "invariants/invariants.h"

namespace pearspar::edge_gateway {
namespace {

using namespace std::chrono_literals;

// How long a response is held for its draw to become durable; longer than a round trip to the core.
constexpr Duration max_response_hold = 40ms;
// How long a request waits for quota tokens: also at most this share of its latency target.
constexpr Duration max_token_wait = 150ms;
constexpr double max_token_wait_share = 0.25;
constexpr double no_room_retry_after_s = 0.2;   // too many requests are waiting
constexpr double no_token_retry_after_s = 0.1;  // no token was add_tokens in time
constexpr std::uint32_t waiting_id_bit = 1u
                                         << 31;  // marks the index of an id that the dispatcher did not give

std::uint64_t key(RequestId id) { return std::uint64_t{id.index} << 32 | id.generation; }

}  // namespace

EdgeGateway::EdgeGateway(transport::Transport& wire, subscription::FollowerOptions options,
                         dispatch::NodeClient& node_client, const dispatch::RetryBudgetRules& rules)
    : follower_(wire, options),
      dispatcher_(node_client),
      edge_quota_(options.incarnation),
      edge_rollouts_(options.incarnation) {
  dispatcher_.set_retry_budget(rules);
  dispatcher_.set_version_selector(edge_rollouts_);
}

void EdgeGateway::link_frame(Time now, transport::LinkId link, std::string_view frame) {
  follower_.set_coverage(static_cast<std::uint32_t>(std::lround(dispatcher_.coverage() * 100)));
  if (follower_.link_frame(now, link, frame)) apply_updates(now);
  take_rollout_grants(now);
  dispatcher_.set_routes_confirmed_until(follower_.configuration_confirmed_until());
  dispatcher_.set_routes_outdated_from(follower_.configuration_watch().outdated_from());
  for (const auto& [valid_until, tokens] : follower_.take_granted_tokens())
    dispatcher_.retry_budget().add_tokens(valid_until, tokens.service, tokens.count);
  for (const quota::QuotaReply& tell : follower_.take_quota_replies()) edge_quota_.on_reply(now, tell);
}

void EdgeGateway::take_rollout_grants(Time now) {
  edge_rollouts_.set_leader_heard(follower_.leader_heard_at());
  if (follower_.leader_link() != leader_link_) {
    leader_link_ = follower_.leader_link();
    edge_rollouts_.on_leader_changed();
  }
  for (const rollout::RolloutGrant& grant : follower_.take_rollout_grants())
    edge_rollouts_.on_grant(now, grant);
}

void EdgeGateway::report_rollouts(Time now) {
  if (now < edge_rollouts_.due()) return;
  for (const rollout::RolloutReport& report : edge_rollouts_.take_reports(now))
    follower_.send_rollout_report(report);
}

void EdgeGateway::apply_updates(Time now) {
  subscription::ClusterView& view = follower_.view();
  for (const std::string& id : view.take_changed_nodes())
    dispatcher_.load_balancer().update(id, view.nodes().find(id));
  for (const std::string& service : view.take_changed_services()) {
    const catalog::ServiceVersions& versions = view.service_versions().at(service);
    dispatcher_.load_balancer().set_versions(versions);
    edge_rollouts_.set_versions(now, versions);
  }
  // Only a leader counts the edges; a member that does not lead may know of none.
  if (view.at() != protocol::Position{}) dispatcher_.set_edges(view.edge_count());
  if (!has_initial_coverage_ && view.at() != protocol::Position{}) {
    has_initial_coverage_ = true;
    dispatcher_.set_initial_coverage(view.coverage());
  }
  if (view.revision() == routed_revision_) return;
  invariants::check(invariants::Invariant::version_never_falls, view.revision() > routed_revision_,
                    "configuration");
  routed_revision_ = view.revision();
  dispatcher_.set_routes(std::make_shared<const dispatch::RouteTable>(view.configuration()));
  edge_quota_.configure(view.configuration()->quota_rules);
}

void EdgeGateway::request_retry_tokens(Time now) {
  if (!follower_.can_request_tokens(now)) return;
  std::vector<protocol::Tokens> tokens;
  for (auto& [service, count] : dispatcher_.retry_budget().take_token_requests(now))
    tokens.push_back({service, count});
  if (!tokens.empty()) follower_.request_tokens(now, std::move(tokens));
}

void EdgeGateway::advance(Time now) {
  if (follower_.tick(now)) apply_updates(now);
  dispatcher_.set_routes_outdated_from(follower_.configuration_watch().outdated_from());
  dispatcher_.advance(now);
  request_retry_tokens(now);
  report_rollouts(now);
  if (!edge_quota_.on() && waiting_.empty()) return;
  retry_waiting(now);
  if (auto ask = edge_quota_.take_request(now)) follower_.send_quota_request(*ask);
}

Time EdgeGateway::due(Time now) const {
  Time due = std::min({dispatcher_.due(), follower_.due(), edge_quota_.due(now), edge_rollouts_.due()});
  for (const WaitingRequest& waiting : waiting_) due = std::min(due, waiting.wait_until);
  for (const HeldResponse& held : held_) due = std::min(due, held.hold_until);
  return due;
}

RequestId EdgeGateway::submit(Time now, const dispatch::ClientRequest& request,
                              const QuotaIdentity& quota_identity, dispatch::ClientResponse& response) {
  if (!edge_quota_.on()) return dispatcher_.submit(now, request, response);
  const catalog::Route* route = dispatcher_.route_of(request);
  if (!route || route->quota_kind.empty()) return dispatcher_.submit(now, request, response);
  quota::DrawResult verdict =
      edge_quota_.draw(now, quota_identity.holder, route->quota_kind, quota_identity.key, false);
  if (verdict.kind == quota::DrawResult::Kind::refused || waiting_.size() >= max_waiting_requests ||
      waiting_bytes_ > max_waiting_bytes) {
    if (verdict.kind == quota::DrawResult::Kind::wait)
      edge_quota_.refuse(quota_identity.holder, route->quota_kind);
    if (verdict.kind == quota::DrawResult::Kind::drawn) edge_quota_.not_run(verdict.ticket);
    response.status = 429;
    response.retry_after_s = verdict.kind == quota::DrawResult::Kind::refused ? verdict.retry_after.count()
                                                                              : no_room_retry_after_s;
    return {};
  }
  if (verdict.kind != quota::DrawResult::Kind::wait) return dispatch_request(now, request, verdict, response);
  WaitingRequest waiting;
  waiting.id = {waiting_id_bit | (++last_waiting_id_ & (waiting_id_bit - 1)), 1};
  waiting.method = request.method;
  waiting.target = request.target;
  waiting.host = request.host;
  waiting.request_id = request.id;
  waiting.head = request.head;
  waiting.body = request.body;
  waiting.deadline_ms = request.deadline_ms;
  waiting.received_at = request.received_at == Time{} ? now : request.received_at;
  waiting.quota_identity = quota_identity;
  waiting.kind = route->quota_kind;
  Duration target = dispatch::from_ms(route->target_ms > 0 ? route->target_ms : route->deadline_ms);
  waiting.wait_until = now + std::min(max_token_wait, target * max_token_wait_share);
  waiting_bytes_ += waiting.body.size() + waiting.head.size();
  waiting_.push_back(std::move(waiting));
  return waiting_.back().id;
}

RequestId EdgeGateway::dispatch_request(Time now, const dispatch::ClientRequest& request,
                                        const quota::DrawResult& verdict,
                                        dispatch::ClientResponse& response) {
  RequestId id = dispatcher_.submit(now, request, response);
  if (verdict.kind != quota::DrawResult::Kind::drawn) return id;
  if (id)
    draws_[key(id)] = verdict.ticket;
  else if (response.not_executed)
    edge_quota_.not_run(verdict.ticket);
  return id;
}

// Draws for the waiting requests in order of arrival. Requests whose wait is over are rejected.
void EdgeGateway::retry_waiting(Time now) {
  for (std::size_t remaining = waiting_.size(); remaining > 0; --remaining) {
    WaitingRequest waiting = std::move(waiting_.front());
    waiting_.pop_front();
    waiting_bytes_ -= waiting.body.size() + waiting.head.size();
    quota::DrawResult verdict =
        edge_quota_.draw(now, waiting.quota_identity.holder, waiting.kind, waiting.quota_identity.key, true);
    dispatch::ClientResponse response;
    if (verdict.kind == quota::DrawResult::Kind::wait && now < waiting.wait_until) {
      waiting_bytes_ += waiting.body.size() + waiting.head.size();
      waiting_.push_back(std::move(waiting));
      continue;
    }
    if (verdict.kind == quota::DrawResult::Kind::wait || verdict.kind == quota::DrawResult::Kind::refused) {
      bool timed_out = verdict.kind == quota::DrawResult::Kind::wait;
      if (timed_out) edge_quota_.refuse(waiting.quota_identity.holder, waiting.kind);
      response.status = 429;
      response.retry_after_s = timed_out ? no_token_retry_after_s : verdict.retry_after.count();
      responses_.emplace_back(waiting.id, std::move(response));
      continue;
    }
    dispatch::ClientRequest request;
    request.method = waiting.method;
    request.target = waiting.target;
    request.host = waiting.host;
    request.id = waiting.request_id;
    request.head = std::move(waiting.head);
    request.body = waiting.body;
    request.deadline_ms = waiting.deadline_ms;
    request.received_at = waiting.received_at;
    RequestId id = dispatch_request(now, request, verdict, response);
    if (!id) {
      responses_.emplace_back(waiting.id, std::move(response));
      continue;
    }
    waiting_ids_[key(id)] = waiting.id;
    dispatcher_ids_[key(waiting.id)] = id;
  }
}

void EdgeGateway::client_disconnected(RequestId request) {
  if (request.index & waiting_id_bit) {
    auto known = dispatcher_ids_.find(key(request));
    if (known == dispatcher_ids_.end()) {
      for (auto waiting = waiting_.begin(); waiting != waiting_.end(); ++waiting)
        if (waiting->id == request) {
          edge_quota_.refuse(waiting->quota_identity.holder, waiting->kind);
          waiting_bytes_ -= waiting->body.size() + waiting->head.size();
          waiting_.erase(waiting);
          return;
        }
      return;
    }
    request = known->second;
    waiting_ids_.erase(key(request));
    dispatcher_ids_.erase(known);
  }
  if (auto drawn = draws_.find(key(request)); drawn != draws_.end()) {
    edge_quota_.unsure(drawn->second);
    draws_.erase(drawn);
  }
  dispatcher_.client_disconnected(request);
}

// A response of the dispatcher: settles the request's draw, and holds the response until it is durable.
void EdgeGateway::request_ended(Time now, RequestId request, dispatch::ClientResponse response) {
  RequestId id = request;
  if (auto waiting_id = waiting_ids_.find(key(request)); waiting_id != waiting_ids_.end()) {
    id = waiting_id->second;
    dispatcher_ids_.erase(key(id));
    waiting_ids_.erase(waiting_id);
  }
  auto drawn = draws_.find(key(request));
  if (drawn == draws_.end()) return static_cast<void>(responses_.emplace_back(id, std::move(response)));
  quota::Draw ticket = std::move(drawn->second);
  draws_.erase(drawn);
  if (response.not_executed) {
    edge_quota_.not_run(ticket);
  } else if (response.status >= 500) {
    edge_quota_.unsure(ticket);
  } else if (!edge_quota_.settled(ticket)) {
    held_.push_back({id, std::move(response), std::move(ticket), now + max_response_hold});
    return;
  }
  responses_.emplace_back(id, std::move(response));
}

void EdgeGateway::finish_open_requests(Time now) {
  for (WaitingRequest& waiting : waiting_) waiting.wait_until = std::min(waiting.wait_until, now);
  for (HeldResponse& held : held_) held.hold_until = std::min(held.hold_until, now);
  retry_waiting(now);
  dispatcher_.finish_open_requests(now);
}

std::vector<std::pair<RequestId, dispatch::ClientResponse>> EdgeGateway::take_responses(Time now) {
  if (!edge_quota_.on() && draws_.empty() && held_.empty() && responses_.empty() && waiting_ids_.empty())
    return dispatcher_.take_responses();
  for (auto& [request, response] : dispatcher_.take_responses())
    request_ended(now, request, std::move(response));
  for (auto held = held_.begin(); held != held_.end();) {
    if (!edge_quota_.settled(held->draw) && now < held->hold_until) {
      ++held;
      continue;
    }
    responses_.emplace_back(held->request, std::move(held->response));
    held = held_.erase(held);
  }
  return std::exchange(responses_, {});
}

}  // namespace pearspar::edge_gateway
