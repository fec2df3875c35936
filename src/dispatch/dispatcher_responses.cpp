// The dispatcher's responses to clients.
#include <fmt/format.h>

#include <algorithm>

#include "dispatch/dispatcher.h"
#include "dispatch/merge.h"
#include "invariants/invariants.h"

namespace pearspar::dispatch {
namespace {

// The assumed value of a response after the latency target, where a timely and complete one is worth 1. A
// timely response is worth the square of the share of its parts.
constexpr double late_response_value = 0.33;
constexpr double no_leader_retry_after_s = 0.2;  // while one is being elected

bool suffices(const Request& request, std::size_t parts) {
  return parts >= required_parts(request.parts.size(), request.route->min_shard_ratio);
}

}  // namespace

// Finishes a gathered request that can be answered, or that can no longer get enough parts.
void Dispatcher::check_gathered(Time now, RequestId id) {
  Request* request = requests_.find(id);
  if (!request || request->done || !request->route->gathers()) return;
  std::size_t received = 0, pending = 0, probes = 0;
  for (const Part& part : request->parts) {
    if (part.received)
      ++received;
    else if (!part.closed)
      ++(part.is_probe ? probes : pending);
  }
  // Probes are awaited only if the other parts cannot suffice.
  if (!suffices(*request, received + pending)) pending += probes;
  if (!suffices(*request, received + pending)) {
    bool may_have_run = std::any_of(request->parts.begin(), request->parts.end(), [](const Part& part) {
      return part.received || part.may_have_run || !part.calls.empty();
    });
    return finish(
        now, id,
        may_have_run ? failure_response(now, *request) : refusal_response(*request, Reason::too_few_parts));
  }
  double share = static_cast<double>(received) / static_cast<double>(request->parts.size());
  bool partial_pays = now >= request->target_time && share * share > late_response_value;
  if (suffices(*request, received) && (pending == 0 || partial_pays || now >= request->deadline))
    finish(now, id, merged_response(*request));
}

// Forwards a node's answer.
ClientResponse Dispatcher::node_response(const Request& request, const CallResult& result, int status) const {
  ClientResponse response;
  response.status = status;
  response.content_type = result.content_type;
  response.headers = fmt::format("Request-Id: {}\r\n", request.id);
  if (!result.postmark.empty()) response.headers += fmt::format("Postmark: {}\r\n", result.postmark);
  response.headers += result.headers;
  response.body = result.body;
  response.no_body = request.is_head || status == 204 || status == 304;
  // The response to HEAD carries the length that the node declared; 204 and 304 carry none.
  if (request.is_head && status != 204 && status != 304 && result.content_length)
    response.headers += fmt::format("Content-Length: {}\r\n", *result.content_length);
  return response;
}

ClientResponse Dispatcher::merged_response(Request& request) {
  std::vector<std::string_view> bodies;
  std::vector<std::string> shards;
  ClientResponse response;
  std::string postmarks;
  for (const Part& part : request.parts) {
    if (!part.received) continue;
    bodies.push_back(part.body);
    shards.push_back(part.service);
    if (!postmarks.empty()) postmarks += ", ";
    postmarks += part.postmark;
  }
  Merged merged = merge(bodies, static_cast<std::size_t>(request.route->max_records));
  std::size_t missing = request.parts.size() - bodies.size();
  invariants::check(invariants::Invariant::parts_are_of_one_set,
                    request.parts.size() == request.route->shards.size() && !bodies.empty(), request.id);
  if (missing == 0) weights_.learn(shards, merged.survived);
  ++(missing == 0 ? counters_.whole : counters_.partial);
  response.status = 200;
  response.content_type = "application/octet-stream";
  response.headers = fmt::format("Request-Id: {}\r\nPart-Postmarks: {}\r\n", request.id, postmarks);
  if (missing > 0) response.headers += fmt::format("Missing-Parts: {}\r\n", missing);
  response.body = std::move(merged.body);
  response.no_body = request.is_head;  // answers to HEAD carry no records to merge
  return response;
}

// The request was not run and will not be. Retry-After is a tenth of the latency target, so that most of the
// target remains for the retry.
ClientResponse Dispatcher::refusal_response(const Request& request, Reason reason) const {
  ClientResponse response;
  response.reason = reason;
  response.status = 503;
  response.not_executed = true;
  double target_ms =
      request.route->target_ms > 0 ? request.route->target_ms : request.route->deadline_ms / 10;
  response.retry_after_s = std::clamp(target_ms / 1000 * 0.1, 0.005, 1.0);
  return response;
}

// Another edge may be in touch with the leader, unless none leads yet.
ClientResponse Dispatcher::unconfirmed_response(const Request& request) const {
  ClientResponse response = refusal_response(request, Reason::unconfirmed_configuration);
  if (!routes_were_confirmed()) response.retry_after_s = no_leader_retry_after_s;
  return response;
}

// The request failed, and a node may have run it.
ClientResponse Dispatcher::failure_response(Time now, const Request& request) const {
  ClientResponse response;
  response.status = now >= request.deadline ? 504 : 502;
  response.reason = response.status != 504 ? Reason::failed_at_nodes
                    : shutting_down_       ? Reason::ending
                                           : Reason::deadline;
  response.headers = fmt::format("Request-Id: {}\r\n", request.id);
  return response;
}

}  // namespace pearspar::dispatch
