// Requests come in, are planned, fall due and end; calls are in desk_calls.cpp, answers in desk_answers.cpp.
#include "pederu/desk.h"

#include <algorithm>
#include <cmath>

#include "invariants/invariants.h"

namespace pearspar::pederu {
namespace {

using namespace std::chrono_literals;
using invariants::Promise;

// From our answer to its client's reading it: the way there, and what lies before us in its queue.
constexpr Duration way_back = 12ms;
constexpr std::size_t most_open = 4096;  // requests held at once

bool has_run(const Request& request) {
  return std::any_of(request.parts.begin(), request.parts.end(), [](const Part& part) { return part.ran; });
}

}  // namespace

void Desk::set_edges(std::uint32_t edges) {
  edges_ = std::max<std::uint32_t>(1, edges);
  allowance_.set_edges(edges_);
}

RequestId Desk::arrive(Time now, const Arrival& arrival, FinalAnswer& answer) {
  ++counters_.requests;
  auto refuse = [&](int status, double retry_after_s, Reason reason) {
    answer.status = status;
    answer.retry_after_s = retry_after_s;
    answer.unrun = true;
    answer.reason = reason;
    failures_.add({now, std::string(arrival.id), std::string(arrival.target), status, reason, {}, {}});
    return RequestId{};
  };
  if (!routes_) return ++counters_.refused, refuse(503, 0.2, Reason::no_configuration);
  const catalog::Route* route = routes_->find(arrival.host, arrival.target);
  if (!route) return ++counters_.no_route, refuse(404, 0, Reason::no_route);
  if (requests_.size() >= most_open) return ++counters_.refused, refuse(503, 0.2, Reason::too_many_open);

  RequestId id = requests_.add();
  Request& request = *requests_.find(id);
  request.routes = routes_;
  request.route = route;
  request.arrived = now;
  const Time began = arrival.began == Time{} ? now : std::min(now, arrival.began);
  double deadline = route->deadline_ms;
  if (arrival.deadline_ms > 0) deadline = std::min(deadline, arrival.deadline_ms);
  request.end = began + from_ms(deadline);
  request.soft_end = route->target_ms > 0
                         ? std::min(request.end, began + from_ms(route->target_ms) - way_back)
                         : request.end;
  request.head = arrival.head;
  request.asks_head = arrival.method == "HEAD";
  request.payload = arrival.body;
  request.id = arrival.id;
  // It has waited its time away behind another on its connection.
  if (request.end <= now) {
    ++counters_.refused;
    answer = refusal(request, Reason::out_of_time);
    note_failure(now, request, answer);
    requests_.release(id);
    return {};
  }
  if (!plan(now, request, answer)) {
    note_failure(now, request, answer);
    requests_.release(id);
    return {};
  }
  std::size_t sent = 0;
  for (std::size_t i = 0; i < request.parts.size(); ++i)
    if (request.parts[i].wanted && send(now, id, i)) ++sent;
  std::size_t least = route->gathers() ? least_parts(request.parts.size(), route->min_shard_ratio) : 1;
  if (sent == 0 || sent < least) {
    // What was sent runs to its end; nothing more is made of it.
    answer = sent == 0 ? refusal(request, Reason::no_node) : failure(now, request);
    if (sent > 0) answer.reason = Reason::too_few_parts;
    note_failure(now, request, answer);
    ++counters_.refused;
    request.done = true;
    release(id);
    return {};
  }
  Duration second = book_.second_after(*route);
  for (Part& part : request.parts)
    if (part.wanted && !part.trial && second > Duration{}) part.second_due = now + second;
  schedule(id, request);
  return id;
}

bool Desk::admitted(Time now, const catalog::Route& route, const std::vector<std::string>& services,
                    std::size_t least, FinalAnswer& answer, const Request& request) {
  if (admission_.admit(now, route, services, least, book_.typical(route).count() * 1000)) return true;
  ++counters_.refused;
  ++counters_.given_up;
  answer = refusal(request, Reason::overload);
  return false;
}

// Which services get it. False with an answer where it is given up already.
bool Desk::plan(Time now, Request& request, FinalAnswer& answer) {
  const catalog::Route& route = *request.route;
  if (!route.gathers()) {
    const std::string* service = &route.services[0].service;
    if (route.services.size() > 1) {
      // By weight, and by turns that never run in step with the clients.
      double sum = 0;
      for (const catalog::WeightedService& share : route.services) sum += share.weight;
      double at = std::fmod(static_cast<double>(++turn_) * 0.6180339887498949, 1.0) * sum;
      for (const catalog::WeightedService& share : route.services) {
        if (share.weight <= 0) continue;
        service = &share.service;
        if ((at -= share.weight) < 0) break;
      }
    }
    if (!admitted(now, route, {*service}, 1, answer, request)) return false;
    request.parts.resize(1);
    request.parts[0].service = *service;
    request.parts[0].wanted = true;
    allowance_.request(now, *service);
    return true;
  }
  ++counters_.gathered;
  if (!admitted(now, route, route.shards, least_parts(route.shards.size(), route.min_shard_ratio), answer,
                request))
    return false;
  request.parts.resize(route.shards.size());
  for (std::size_t i = 0; i < route.shards.size(); ++i) request.parts[i].service = route.shards[i];
  // A class without partial answers gets every shard, whatever the strain.
  double coverage = route.min_shard_ratio >= 1 ? 1 : coverage_.share();
  std::vector<double> weights = weights_.of(route.shards);
  for (std::size_t i = 0; i < weights.size(); ++i)
    if (!nodes_.answers(request.parts[i].service)) {
      // Nothing of it survives a merge while nobody there answers. A trial now and then tells when that ends.
      weights[i] = 0;
      request.parts[i].trial = true;
    }
  for (std::size_t i : heaviest_first(weights, coverage, route.min_shard_ratio))
    request.parts[i].wanted = true;
  std::size_t wanted = 0;
  for (Part& part : request.parts) {
    if (part.wanted && part.trial && !nodes_.trial_due(now, part.service)) part.wanted = false;
    part.over = !part.wanted;
    wanted += part.wanted;
  }
  if (wanted < least_parts(route.shards.size(), route.min_shard_ratio)) {
    ++counters_.refused;
    answer = refusal(request, Reason::too_few_parts);
    return false;
  }
  for (const Part& part : request.parts)
    if (part.wanted) allowance_.request(now, part.service);
  return true;
}

void Desk::left(RequestId id) {
  Request* request = requests_.find(id);
  if (!request || request->done) return;
  request->done = true;
  due_.erase({request->due, id});
  for (Part& part : request->parts) cancel(part, request->route->safe);
  release(id);
}

// The next moment at which something is to be done about it.
void Desk::schedule(RequestId id, Request& request) {
  Time due = request.route->gathers() && !request.soft_over ? request.soft_end : request.end;
  for (const Part& part : request.parts)
    if (!part.in && !part.over) due = std::min(due, part.second_due);
  due_.erase({request.due, id});
  request.due = due;
  due_.emplace(due, id);
}

void Desk::end_open(Time now) {
  ending_ = true;
  requests_.each([&](RequestId id, Request& request) {
    if (request.done) return;
    request.end = std::min(request.end, now);
    due_.erase({request.due, id});
    request.due = now;
    due_.insert({now, id});
  });
  advance(now);
}

void Desk::advance(Time now) {
  while (!due_.empty() && due_.begin()->first <= now) {
    RequestId id = due_.begin()->second;
    due_.erase(due_.begin());
    Request* request = requests_.find(id);
    if (!request || request->done) continue;
    second_calls(now, id);
    if (now >= request->soft_end && !request->soft_over) {
      request->soft_over = true;
      if (request->route->gathers()) note_late(now, *request);
    }
    look(now, id);
    request = requests_.find(id);
    if (!request || request->done) {
      release(id);
      continue;
    }
    if (now < request->end) {
      schedule(id, *request);
      continue;
    }
    note_late(now, *request);
    finish(now, id, failure(now, *request));
    release(id);
  }
}

void Desk::finish(Time now, RequestId id, FinalAnswer answer) {
  Request& request = *requests_.find(id);
  if (answer.status == 503)
    ++counters_.refused;
  else if (answer.status >= 500 && request.route->gathers())
    ++counters_.failed;
  invariants::check(Promise::one_answer_per_request, !request.done, request.id);
  invariants::check(Promise::refusal_means_not_run, !answer.unrun || !has_run(request), request.id);
  note_failure(now, request, answer);
  request.done = true;
  due_.erase({request.due, id});
  answers_.emplace_back(id, std::move(answer));
}

// With what became of its calls, those that are out still among them.
void Desk::note_failure(Time now, const Request& request, const FinalAnswer& answer) {
  if (answer.status < 500 && answer.reason == Reason::none) return;
  const Reason reason = answer.reason == Reason::none ? Reason::failed_at_nodes : answer.reason;
  Failure failure{now, request.id, request.route->name, answer.status, reason, now - request.arrived, {}};
  for (const Part& part : request.parts) {
    failure.calls.insert(failure.calls.end(), part.failed.begin(), part.failed.end());
    for (const CallId call : part.calls)
      if (const Out* out = out_.find(call))
        failure.calls.push_back({out->node->id, "no answer yet", now - out->started});
  }
  failures_.add(std::move(failure));
}

// A request's place is kept until its last call has ended.
void Desk::release(RequestId id) {
  Request* request = requests_.find(id);
  if (!request || !request->done) return;
  for (const Part& part : request->parts)
    if (!part.calls.empty()) return;
  requests_.release(id);
}

}  // namespace pearspar::pederu
