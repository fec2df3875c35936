// The desk's calls to nodes: sending, what becomes of each, a second one where it pays.
#include <fmt/format.h>

#include <algorithm>
#include <cmath>

#include "invariants/invariants.h"
#include "pederu/desk.h"

namespace pearspar::pederu {
namespace {

using invariants::Promise;

constexpr double share_of_connections = 0.9;

std::string how(const CallEnd& end) {
  switch (end.ending) {
    case Ending::answered:
      return fmt::format("answered {}", end.status);
    case Ending::not_run:
      return "did not run it";
    case Ending::misplaced:
      return "another node is there";
    case Ending::no_way:
      return "no connection";
    case Ending::broken:
      return "connection broke, or no answer came";
  }
  return {};
}

// To a client these say that its request has not run and never will.
bool promises(int status) { return status == 408 || status == 421 || status == 429 || status == 503; }

}  // namespace

std::string NodeRequest::text(Duration left) const {
  const long left_ms = std::max<long>(1, std::lround(left.count() * 1000));
  std::string text = head;
  text += fmt::format("Addressee: {}\r\nDeadline-Ms: {}\r\n", addressee, left_ms);
  if (!payload.empty()) text += fmt::format("Content-Length: {}\r\n", payload.size());
  text += "\r\n";
  text += payload;
  return text;
}

// A node takes so many connections from all callers together; each edge keeps to its part.
int Desk::connections_for(const Request& request, const std::string& service) const {
  const catalog::Service* known = request.routes->service(service);
  if (!known || known->max_connections <= 0) return 64;
  return std::max(1, static_cast<int>(known->max_connections * share_of_connections / edges_));
}

// One call more for the part. False where no node has room for it.
bool Desk::send(Time now, RequestId id, std::size_t index) {
  Request& request = *requests_.find(id);
  Part& part = request.parts[index];
  int most = connections_for(request, part.service);
  // A node without a free connection is passed over for this time.
  std::vector<NodePtr> passed = part.tried;
  for (int looks = 0; looks < 4; ++looks) {
    NodePtr node = nodes_.choose(now, part.service, passed, ++turn_, book_.away_factor(*request.route));
    if (!node) break;
    CallId call = out_.add();
    const std::size_t size = request.head.size() + request.payload.size();
    if (!calls_.start(call, *node, most, {request.head, node->id, request.payload}, request.end)) {
      out_.release(call);
      passed.push_back(node);
      continue;
    }
    Out& out = *out_.find(call);
    out.request = id;
    out.part = index;
    out.node = node;
    out.started = now;
    out.sent = size;
    nodes_.started(*node);
    part.tried.push_back(node);
    part.calls.push_back(call);
    ++part.tries;
    ++counters_.calls;
    invariants::check(Promise::tries_within_route, part.tries <= request.route->max_attempts, request.id);
    invariants::check(Promise::unsafe_is_not_repeated, request.route->safe || !part.ran, request.id);
    return true;
  }
  if (part.calls.empty()) part.over = true;
  return false;
}

// What is learnt of a node from a call that ends so is nothing: it has not answered, and was not late.
void Desk::cancel(Part& part, bool even_if_sent) {
  for (const CallId call : std::vector<CallId>(part.calls)) {
    if (!calls_.cancel(call, even_if_sent)) continue;
    ++counters_.cancelled;
    nodes_.ended(*out_.find(call)->node);
    out_.release(call);
    std::erase(part.calls, call);
  }
}

void Desk::outcome(Time now, Out& out, bool bad) {
  if (out.counted) return;
  out.counted = true;
  Request* request = requests_.find(out.request);
  if (!request) return;
  const catalog::Route& route = *request->route;
  if (route.gathers()) coverage_.outcome(now, bad);
  admission_.outcome(now, request->parts[out.part].service, bad,
                     !route.gathers() || coverage_.share() <= route.min_shard_ratio);
}

void Desk::ended(Time now, CallId call, const CallEnd& end) {
  Out* found = out_.find(call);
  if (!found) return;
  KnownNode& node = *found->node;
  bool answer = end.ending == Ending::answered && end.status < 500;
  switch (end.ending) {
    case Ending::answered:
      if (answer)
        nodes_.answered(now, node, now - found->started);
      else
        nodes_.failed(now, node);
      break;
    case Ending::not_run:
      ++counters_.not_run;
      nodes_.refused(now, node);
      break;
    case Ending::misplaced:
      ++counters_.misplaced;
      nodes_.misplaced(node);
      break;
    case Ending::no_way:
      ++counters_.no_way;
      nodes_.failed(now, node);
      break;
    case Ending::broken:
      ++counters_.broken;
      nodes_.failed(now, node);
      break;
  }
  outcome(now, *found, end.ending == Ending::not_run);
  if (answer && !end.stamp.empty())
    if (const Request* request = requests_.find(found->request))
      book_.answered(*request->route, now - found->started, found->sent + end.body.size());
  Out out = *found;
  out_.release(call);
  nodes_.ended(node);
  Request* request = requests_.find(out.request);
  if (!request) return;
  Part& part = request->parts[out.part];
  std::erase(part.calls, call);
  if (!answer && part.failed.size() < FailureLog::most_calls)
    part.failed.push_back({out.node->id, how(end), now - out.started});
  if (!request->done) {
    settle_part(now, out.request, out.part, end);
    look(now, out.request);
  }
  release(out.request);
}

void Desk::settle_part(Time now, RequestId id, std::size_t index, const CallEnd& end) {
  Request& request = *requests_.find(id);
  Part& part = request.parts[index];
  if (part.in || part.over) return;
  bool good = end.ending == Ending::answered && end.status >= 200 && end.status < 300 && !end.stamp.empty();
  if (end.ending == Ending::answered || end.ending == Ending::broken) part.ran = true;
  if (good) {
    part.in = true;
    part.stamp = end.stamp;
    part.body = end.body;
    if (!request.route->gathers()) {
      ++counters_.single;
      finish(now, id, single(request, end, end.status));
    }
    return;
  }
  if (!part.calls.empty()) return;  // another call of it is out
  bool may_repeat = request.route->safe || !part.ran;
  if (may_repeat && part.tries < request.route->max_attempts && now < request.end) {
    if (allowance_.spend(now, part.service)) {
      ++counters_.second_calls;
      if (send(now, id, index)) return;
    } else {
      ++counters_.withheld;
    }
  }
  part.over = true;
  if (request.route->gathers()) return;
  // A node that ran it has said so; passed on, its word would be ours that it did not run.
  if (end.ending == Ending::answered && !request.route->safe && promises(end.status))
    return finish(now, id, failure(now, request));
  if (end.ending == Ending::answered) {
    // The node's own failure, as it stands.
    ++counters_.failed;
    bool spoilt = end.status >= 200 && end.status < 300;
    return finish(now, id, single(request, end, spoilt ? 502 : end.status));
  }
  finish(now, id, part.ran ? failure(now, request) : refusal(request, Reason::refused_by_nodes));
}

// A second call where the first takes longer than nearly all do, there is time for it, and the budget allows
// it.
void Desk::second_calls(Time now, RequestId id) {
  Request& request = *requests_.find(id);
  for (std::size_t i = 0; i < request.parts.size(); ++i) {
    Part& part = request.parts[i];
    if (part.in || part.over || now < part.second_due) continue;
    part.second_due = Time::max();
    if (!request.route->safe || part.tries >= request.route->max_attempts || part.calls.empty()) continue;
    if (now + book_.typical(*request.route) > request.soft_end) continue;
    if (!nodes_.other(now, part.service, part.tried)) continue;
    if (!allowance_.spend(now, part.service)) {
      ++counters_.withheld;
      continue;
    }
    ++counters_.second_calls;
    send(now, id, i);
  }
}

// At the aim: what is out is late, for the node's record and for the strain.
void Desk::note_late(Time now, Request& request) {
  for (Part& part : request.parts)
    for (CallId call : part.calls)
      if (Out* out = out_.find(call); out && !out->counted) {
        ++counters_.late;
        nodes_.late(now, *out->node, now - out->started);
        outcome(now, *out, true);
      }
}

}  // namespace pearspar::pederu
