// Acceptance, planning, timers and the end of requests. Calls to nodes are in dispatcher_calls.cpp, responses
// in dispatcher_responses.cpp.
#include "dispatch/dispatcher.h"

#include <algorithm>
#include <cmath>

#include "invariants/invariants.h"

namespace pearspar::dispatch {
namespace {

using namespace std::chrono_literals;
using invariants::Invariant;

// Reserved from the latency target for the response to reach the client.
constexpr Duration response_margin = 12ms;
constexpr std::size_t max_open_requests = 4096;
constexpr double unavailable_retry_after_s = 0.2;

bool may_have_run(const Request& request) {
  return std::any_of(request.parts.begin(), request.parts.end(),
                     [](const Part& part) { return part.may_have_run; });
}

}  // namespace

void Dispatcher::set_edges(std::uint32_t edges) {
  edges_ = std::max<std::uint32_t>(1, edges);
  retry_budget_.set_edges(edges_);
}

RequestId Dispatcher::submit(Time now, const ClientRequest& client_request, ClientResponse& response) {
  ++counters_.requests;
  auto refuse = [&](int status, double retry_after_s, Reason reason) {
    response.status = status;
    response.retry_after_s = retry_after_s;
    response.not_executed = true;
    response.reason = reason;
    failure_log_.add(
        {now, std::string(client_request.id), std::string(client_request.target), status, reason, {}, {}});
    return RequestId{};
  };
  if (!routes_) return ++counters_.refused, refuse(503, unavailable_retry_after_s, Reason::no_configuration);
  // It may have been sent later than `now`, where this process stood still between.
  const Time read_by = std::max(now, client_request.read_by);
  if (read_by >= routes_outdated_from_) {
    ++counters_.outdated_requests;
    return ++counters_.refused, refuse(503, unavailable_retry_after_s, Reason::outdated_configuration);
  }
  const catalog::Route* route = routes_->find(client_request.host, client_request.target);
  const bool confirmed = routes_confirmed(read_by);
  // A newer configuration may have a route for it.
  if (!route && !confirmed)
    return ++counters_.refused, refuse(503, unavailable_retry_after_s, Reason::unconfirmed_configuration);
  if (!route) return ++counters_.no_route, refuse(404, 0, Reason::no_route);
  if (requests_.size() >= max_open_requests)
    return ++counters_.refused, refuse(503, unavailable_retry_after_s, Reason::too_many_open);

  RequestId id = requests_.add();
  Request& request = *requests_.find(id);
  request.routes = routes_;
  request.route = route;
  request.confirmed = confirmed;
  request.repeatable = route->safe && confirmed;
  if (!request.confirmed) ++counters_.unconfirmed_requests;
  request.arrived = now;
  const Time received_at =
      client_request.received_at == Time{} ? now : std::min(now, client_request.received_at);
  double deadline_ms = route->deadline_ms;
  if (client_request.deadline_ms > 0) deadline_ms = std::min(deadline_ms, client_request.deadline_ms);
  request.deadline = received_at + from_ms(deadline_ms);
  request.target_time =
      route->target_ms > 0
          ? std::min(request.deadline, received_at + from_ms(route->target_ms) - response_margin)
          : request.deadline;
  request.head = client_request.head;
  request.is_head = client_request.method == "HEAD";
  request.body = client_request.body;
  request.id = client_request.id;
  // The deadline passed while the request waited behind another one on its connection.
  if (request.deadline <= now) {
    ++counters_.refused;
    response = refusal_response(request, Reason::out_of_time);
    log_failure(now, request, response);
    requests_.release(id);
    return {};
  }
  if (!plan_parts(now, request, response)) {
    log_failure(now, request, response);
    requests_.release(id);
    return {};
  }
  std::size_t sent = 0;
  for (std::size_t i = 0; i < request.parts.size(); ++i)
    if (request.parts[i].selected && send_call(now, id, i)) ++sent;
  std::size_t required = route->gathers() ? required_parts(request.parts.size(), route->min_shard_ratio) : 1;
  if (sent == 0 || sent < required) {
    // Calls already sent run to their end; their answers are ignored.
    response = sent == 0 ? refusal_response(request, Reason::no_node) : failure_response(now, request);
    if (sent > 0) response.reason = Reason::too_few_parts;
    log_failure(now, request, response);
    ++counters_.refused;
    request.done = true;
    release_if_finished(id);
    return {};
  }
  Duration hedge_delay = route_statistics_.hedge_delay(*route);
  for (Part& part : request.parts)
    if (part.selected && !part.is_probe && hedge_delay > Duration{}) part.hedge_at = now + hedge_delay;
  schedule(id, request);
  return id;
}

// Applies load shedding. False with a response if the request is rejected.
bool Dispatcher::admit(Time now, const catalog::Route& route, const std::vector<std::string>& services,
                       std::size_t min_parts, ClientResponse& response, const Request& request) {
  if (load_shedder_.admit(now, route, services, min_parts,
                          route_statistics_.mean_duration(route).count() * 1000))
    return true;
  ++counters_.refused;
  ++counters_.given_up;
  response = refusal_response(request, Reason::overload);
  return false;
}

// Chooses the services or shards that the request goes to. False with a response if it is rejected.
bool Dispatcher::plan_parts(Time now, Request& request, ClientResponse& response) {
  return request.route->gathers() ? plan_shards(now, request, response)
                                  : plan_service(now, request, response);
}

bool Dispatcher::plan_service(Time now, Request& request, ClientResponse& response) {
  const catalog::Route& route = *request.route;
  const std::string* service = &route.services[0].service;
  if (route.services.size() > 1) {
    double sum = 0;
    for (const catalog::WeightedService& share : route.services) sum += share.weight;
    double at = std::fmod(static_cast<double>(++sequence_) * golden_ratio_fraction, 1.0) * sum;
    for (const catalog::WeightedService& share : route.services) {
      if (share.weight <= 0) continue;
      service = &share.service;
      if ((at -= share.weight) < 0) break;
    }
  }
  if (!admit(now, route, {*service}, 1, response, request)) return false;
  request.parts.resize(1);
  request.parts[0].service = *service;
  request.parts[0].selected = true;
  retry_budget_.record_request(now, *service);
  return true;
}

bool Dispatcher::plan_shards(Time now, Request& request, ClientResponse& response) {
  const catalog::Route& route = *request.route;
  ++counters_.gathered;
  const std::size_t required = required_parts(route.shards.size(), route.min_shard_ratio);
  // Every shard that is sent the request runs it, but by a newer configuration it may have to run only once.
  if (!request.confirmed && required > 1) {
    ++counters_.refused;
    ++counters_.unconfirmed_refused;
    response = unconfirmed_response(request);
    return false;
  }
  if (!admit(now, route, route.shards, required, response, request)) return false;
  request.parts.resize(route.shards.size());
  for (std::size_t i = 0; i < route.shards.size(); ++i) request.parts[i].service = route.shards[i];
  // Routes that need all parts query every shard, also under overload.
  double coverage = route.min_shard_ratio >= 1 ? 1 : coverage_.share();
  std::vector<double> weights = weights_.of(route.shards);
  for (std::size_t i = 0; i < weights.size(); ++i)
    if (!is_responsive(now, request.parts[i].service)) {
      // An unresponsive shard contributes nothing; it is only probed now and then.
      weights[i] = 0;
      request.parts[i].is_probe = true;
    }
  std::vector<std::size_t> heaviest = select_heaviest(weights, coverage, route.min_shard_ratio);
  if (!request.confirmed) heaviest.resize(required);
  for (std::size_t i : heaviest) request.parts[i].selected = true;
  std::size_t selected = 0;
  for (Part& part : request.parts) {
    if (part.selected && part.is_probe && !load_balancer_.take_probe(now, part.service))
      part.selected = false;
    part.closed = !part.selected;
    selected += part.selected;
  }
  if (selected < required) {
    ++counters_.refused;
    response = refusal_response(request, Reason::too_few_parts);
    return false;
  }
  if (!request.confirmed) ++counters_.unconfirmed_gathered;
  for (const Part& part : request.parts)
    if (part.selected) retry_budget_.record_request(now, part.service);
  return true;
}

void Dispatcher::client_disconnected(RequestId id) {
  Request* request = requests_.find(id);
  if (!request || request->done) return;
  request->done = true;
  due_.erase({request->due, id});
  for (Part& part : request->parts) cancel_calls(part, request->repeatable);
  release_if_finished(id);
}

// Sets the next time at which advance() handles the request.
void Dispatcher::schedule(RequestId id, Request& request) {
  Time due = request.route->gathers() && !request.target_passed ? request.target_time : request.deadline;
  for (const Part& part : request.parts)
    if (!part.received && !part.closed) due = std::min(due, part.hedge_at);
  due_.erase({request.due, id});
  request.due = due;
  due_.emplace(due, id);
}

void Dispatcher::finish_open_requests(Time now) {
  shutting_down_ = true;
  requests_.each([&](RequestId id, Request& request) {
    if (request.done) return;
    request.deadline = std::min(request.deadline, now);
    due_.erase({request.due, id});
    request.due = now;
    due_.insert({now, id});
  });
  advance(now);
}

void Dispatcher::advance(Time now) {
  while (!due_.empty() && due_.begin()->first <= now) {
    RequestId id = due_.begin()->second;
    due_.erase(due_.begin());
    Request* request = requests_.find(id);
    if (!request || request->done) continue;
    send_hedged_calls(now, id);
    if (now >= request->target_time && !request->target_passed) {
      request->target_passed = true;
      if (request->route->gathers()) mark_late_calls(now, *request);
    }
    check_gathered(now, id);
    request = requests_.find(id);
    if (!request || request->done) {
      release_if_finished(id);
      continue;
    }
    if (now < request->deadline) {
      schedule(id, *request);
      continue;
    }
    mark_late_calls(now, *request);
    finish(now, id, failure_response(now, *request));
    release_if_finished(id);
  }
}

void Dispatcher::finish(Time now, RequestId id, ClientResponse response) {
  Request& request = *requests_.find(id);
  if (response.status == 503)
    ++counters_.refused;
  else if (response.status >= 500 && request.route->gathers())
    ++counters_.failed;
  invariants::check(Invariant::one_answer_per_request, !request.done, request.id);
  invariants::check(Invariant::refusal_means_not_run, !response.not_executed || !may_have_run(request),
                    request.id);
  log_failure(now, request, response);
  request.done = true;
  due_.erase({request.due, id});
  responses_.emplace_back(id, std::move(response));
}

// Logs a failed request with the results of its calls, including those that are still open.
void Dispatcher::log_failure(Time now, const Request& request, const ClientResponse& response) {
  if (response.status < 500 && response.reason == Reason::none) return;
  const Reason reason = response.reason == Reason::none ? Reason::failed_at_nodes : response.reason;
  Failure failure{now, request.id, request.route->name, response.status, reason, now - request.arrived, {}};
  for (const Part& part : request.parts) {
    failure.calls.insert(failure.calls.end(), part.failed_calls.begin(), part.failed_calls.end());
    for (const CallId id : part.calls)
      if (const OpenCall* call = open_calls_.find(id))
        failure.calls.push_back({call->node->id, "no answer yet", now - call->started});
  }
  failure_log_.add(std::move(failure));
}

// Releases a request that was answered and whose calls have all ended.
void Dispatcher::release_if_finished(RequestId id) {
  Request* request = requests_.find(id);
  if (!request || !request->done) return;
  for (const Part& part : request->parts)
    if (!part.calls.empty()) return;
  requests_.release(id);
}

}  // namespace pearspar::dispatch
