// The dispatcher's calls to nodes: sending, results, retries and hedging.
#include <fmt/format.h>

#include <algorithm>
#include <cmath>

#include "dispatch/dispatcher.h"
#include "invariants/invariants.h"

namespace pearspar::dispatch {
namespace {

using invariants::Invariant;

// The share of a node's connection limit that the edges use together.
constexpr double usable_connection_share = 0.9;
constexpr int default_max_connections = 64;  // to a node without a limit
constexpr int max_connection_attempts = 4;   // nodes asked for a connection for one call

// The text in the failure log.
std::string describe(const CallResult& result) {
  switch (result.outcome) {
    case CallOutcome::answered:
      return fmt::format("answered {}", result.status);
    case CallOutcome::not_run:
      return "did not run it";
    case CallOutcome::misdirected:
      return "another node is there";
    case CallOutcome::no_connection:
      return "no connection";
    case CallOutcome::broken:
      return "connection broke, or no answer came";
  }
  return {};
}

// Whether a client takes this status to mean that its request was not run.
bool reports_not_run(int status) { return status == 408 || status == 421 || status == 429 || status == 503; }

}  // namespace

std::string NodeRequest::text(Duration remaining) const {
  const long remaining_ms = std::max<long>(1, std::lround(remaining.count() * 1000));
  std::string text = head;
  text += fmt::format("Addressee: {}\r\nDeadline-Ms: {}\r\n", node_id, remaining_ms);
  if (!body.empty()) text += fmt::format("Content-Length: {}\r\n", body.size());
  text += "\r\n";
  text += body;
  return text;
}

// This edge's part of the connections that a node of the service accepts from all edges together.
int Dispatcher::max_connections(const Request& request, const std::string& service) const {
  const catalog::Service* known = request.routes->service(service);
  if (!known || known->max_connections <= 0) return default_max_connections;
  return std::max(1, static_cast<int>(known->max_connections * usable_connection_share / edges_));
}

catalog::NodeGroup Dispatcher::main_group(Time now, const std::string& service) const {
  return version_selector_ ? version_selector_->main_group(now, service) : catalog::NodeGroup::current;
}

// While a new version takes all calls, the old one still stands behind it.
bool Dispatcher::is_responsive(Time now, const std::string& service) const {
  return load_balancer_.is_responsive(service) ||
         (main_group(now, service) == catalog::NodeGroup::candidate &&
          load_balancer_.is_responsive(service, catalog::NodeGroup::candidate));
}

// Sends one more call for the part. False if no node has a free connection.
bool Dispatcher::send_call(Time now, RequestId id, std::size_t index) {
  const Request& request = *requests_.find(id);
  const Part& part = request.parts[index];
  bool first_call = part.tries == 0;
  catalog::NodeGroup group = catalog::NodeGroup::current;
  if (version_selector_) group = version_selector_->select(now, part.service, *request.route, first_call);
  if (group == catalog::NodeGroup::candidate) {
    bool fit = load_balancer_.has_alternative(now, part.service, part.tried_nodes, group) ||
               !load_balancer_.has_alternative(now, part.service, part.tried_nodes);
    if (fit && send_call(now, id, index, group, first_call)) return true;
  }
  if (send_call(now, id, index, catalog::NodeGroup::current, first_call)) return true;
  if (part.calls.empty()) requests_.find(id)->parts[index].closed = true;
  return false;
}

bool Dispatcher::send_call(Time now, RequestId id, std::size_t index, catalog::NodeGroup group,
                           bool first_call) {
  Request& request = *requests_.find(id);
  Part& part = request.parts[index];
  int connection_limit = max_connections(request, part.service);
  std::vector<NodePtr> excluded = part.tried_nodes;
  for (int attempt = 0; attempt < max_connection_attempts; ++attempt) {
    NodePtr node = load_balancer_.choose(now, part.service, excluded, ++sequence_,
                                         route_statistics_.other_zone_factor(*request.route), group);
    if (!node) break;
    CallId call_id = open_calls_.add();
    const std::size_t size = request.head.size() + request.body.size();
    if (!node_client_.start(call_id, *node, connection_limit, {request.head, node->id, request.body},
                            request.deadline)) {
      open_calls_.release(call_id);
      excluded.push_back(node);
      continue;
    }
    OpenCall& call = *open_calls_.find(call_id);
    call.request = id;
    call.part = index;
    call.node = node;
    call.started = now;
    call.sent_bytes = size;
    load_balancer_.call_started(*node);
    part.tried_nodes.push_back(node);
    part.calls.push_back(call_id);
    ++part.tries;
    ++counters_.calls;
    if (version_selector_) version_selector_->call_started(now, part.service, group, first_call);
    invariants::check(Invariant::tries_within_route, part.tries <= request.route->max_attempts, request.id);
    invariants::check(Invariant::unsafe_is_not_repeated, request.repeatable || !part.may_have_run,
                      request.id);
    return true;
  }
  return false;
}

// What the call tells about its node's version. One without a connection tells nothing.
void Dispatcher::report_version(Time now, const OpenCall& call, const CallResult& result) {
  const Request* request = requests_.find(call.request);
  if (!version_selector_) return;
  if (!request) return version_selector_->call_dropped(call.node->service, call.node->software_version);
  VersionOutcome outcome = VersionOutcome::failure;
  switch (result.outcome) {
    case CallOutcome::answered:
      if (result.status >= 200 && result.status < 300 && !result.postmark.empty())
        outcome = VersionOutcome::success;
      break;
    case CallOutcome::not_run:
      outcome = VersionOutcome::refused;
      break;
    case CallOutcome::broken:
      break;
    case CallOutcome::misdirected:
    case CallOutcome::no_connection:
      return version_selector_->call_dropped(call.node->service, call.node->software_version);
  }
  version_selector_->call_ended(now, call.node->service, *request->route, call.node->id,
                                call.node->software_version, outcome, now - call.started);
}

// Cancelled calls do not change the node's latency or failure state.
void Dispatcher::cancel_calls(Part& part, bool even_if_sent) {
  for (const CallId call : std::vector<CallId>(part.calls)) {
    if (!node_client_.cancel(call, even_if_sent)) continue;
    ++counters_.cancelled;
    const NodePtr& node = open_calls_.find(call)->node;
    if (version_selector_) version_selector_->call_dropped(node->service, node->software_version);
    load_balancer_.call_ended(*node);
    open_calls_.release(call);
    std::erase(part.calls, call);
  }
}

void Dispatcher::count_second_call(const Request& request) {
  ++counters_.second_calls;
  if (!request.confirmed) ++counters_.unconfirmed_second_calls;
}

// Reports a call to coverage control and load shedding, once.
void Dispatcher::record_outcome(Time now, OpenCall& call, bool bad) {
  if (call.outcome_recorded) return;
  call.outcome_recorded = true;
  Request* request = requests_.find(call.request);
  if (!request) return;
  const catalog::Route& route = *request->route;
  if (route.gathers()) coverage_.record_outcome(now, bad);
  load_shedder_.record_outcome(now, request->parts[call.part].service, bad,
                               !route.gathers() || coverage_.share() <= route.min_shard_ratio);
}

void Dispatcher::call_ended(Time now, CallId call_id, const CallResult& result) {
  OpenCall* found = open_calls_.find(call_id);
  if (!found) return;
  NodeState& node = *found->node;
  bool success = result.outcome == CallOutcome::answered && result.status < 500;
  switch (result.outcome) {
    case CallOutcome::answered:
      if (success)
        load_balancer_.call_answered(now, node, now - found->started);
      else
        load_balancer_.call_failed(now, node);
      break;
    case CallOutcome::not_run:
      ++counters_.not_run;
      load_balancer_.call_refused(now, node);
      break;
    case CallOutcome::misdirected:
      ++counters_.misdirected;
      load_balancer_.call_misdirected(node);
      break;
    case CallOutcome::no_connection:
      ++counters_.no_connection;
      load_balancer_.call_failed(now, node);
      break;
    case CallOutcome::broken:
      ++counters_.broken;
      load_balancer_.call_failed(now, node);
      break;
  }
  record_outcome(now, *found, result.outcome == CallOutcome::not_run);
  report_version(now, *found, result);
  if (success && !result.postmark.empty() && node.group == catalog::NodeGroup::current)
    if (const Request* request = requests_.find(found->request))
      route_statistics_.record_answer(*request->route, now - found->started,
                                      found->sent_bytes + result.body.size());
  OpenCall call = *found;
  open_calls_.release(call_id);
  load_balancer_.call_ended(node);
  Request* request = requests_.find(call.request);
  if (!request) return;
  Part& part = request->parts[call.part];
  std::erase(part.calls, call_id);
  if (!success && part.failed_calls.size() < FailureLog::max_calls)
    part.failed_calls.push_back({call.node->id, describe(result), now - call.started});
  if (!request->done) {
    settle_part(now, call.request, call.part, result);
    check_gathered(now, call.request);
  }
  release_if_finished(call.request);
}

// Takes the result of a call into its part: keeps the answer, retries, or closes the part. Requests with a
// single part are finished here.
void Dispatcher::settle_part(Time now, RequestId id, std::size_t index, const CallResult& result) {
  Request& request = *requests_.find(id);
  Part& part = request.parts[index];
  if (part.received || part.closed) return;
  bool good = result.outcome == CallOutcome::answered && result.status >= 200 && result.status < 300 &&
              !result.postmark.empty();
  if (result.outcome == CallOutcome::answered || result.outcome == CallOutcome::broken)
    part.may_have_run = true;
  if (good) {
    part.received = true;
    part.postmark = result.postmark;
    part.body = result.body;
    if (!request.route->gathers()) {
      ++counters_.single;
      finish(now, id, node_response(request, result, result.status));
    }
    return;
  }
  if (!part.calls.empty()) return;  // another call is still open
  bool may_repeat = request.repeatable || !part.may_have_run;
  if (may_repeat && part.tries < request.route->max_attempts && now < request.deadline) {
    if (retry_budget_.spend(now, part.service)) {
      count_second_call(request);
      if (send_call(now, id, index)) return;
    } else {
      ++counters_.withheld;
    }
  }
  part.closed = true;
  if (request.route->gathers()) return;
  // Forwarded as it is, the status would tell the client that the request was not run, although it may have.
  if (result.outcome == CallOutcome::answered && !request.repeatable && reports_not_run(result.status))
    return finish(now, id, failure_response(now, request));
  if (result.outcome == CallOutcome::answered) {
    // The node's own error is forwarded; a success without a postmark is not valid.
    ++counters_.failed;
    bool invalid = result.status >= 200 && result.status < 300;
    return finish(now, id, node_response(request, result, invalid ? 502 : result.status));
  }
  finish(now, id,
         part.may_have_run ? failure_response(now, request)
                           : refusal_response(request, Reason::refused_by_nodes));
}

// Sends a second call for parts that take longer than nearly all calls of the route, if another node is
// available, the answer can arrive before the latency target, and the retry budget allows it.
void Dispatcher::send_hedged_calls(Time now, RequestId id) {
  Request& request = *requests_.find(id);
  for (std::size_t i = 0; i < request.parts.size(); ++i) {
    Part& part = request.parts[i];
    if (part.received || part.closed || now < part.hedge_at) continue;
    part.hedge_at = Time::max();
    if (!request.repeatable || part.tries >= request.route->max_attempts || part.calls.empty()) continue;
    if (now + route_statistics_.mean_duration(*request.route) > request.target_time) continue;
    if (!load_balancer_.has_alternative(now, part.service, part.tried_nodes, main_group(now, part.service)))
      continue;
    if (!retry_budget_.spend(now, part.service)) {
      ++counters_.withheld;
      continue;
    }
    count_second_call(request);
    send_call(now, id, i);
  }
}

// Records the calls that are still open at the latency target or the deadline as late.
void Dispatcher::mark_late_calls(Time now, Request& request) {
  for (Part& part : request.parts)
    for (CallId id : part.calls)
      if (OpenCall* call = open_calls_.find(id); call && !call->outcome_recorded) {
        ++counters_.late;
        load_balancer_.call_late(now, *call->node, now - call->started);
        record_outcome(now, *call, true);
      }
}

}  // namespace pearspar::dispatch
