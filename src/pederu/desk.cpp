#include "pederu/desk.h"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>

#include "pederu/merge.h"

namespace pearspar::pederu {
namespace {

using namespace std::chrono_literals;

// From our answer to its client's reading it: the way there, and what lies before us in its queue.
constexpr Duration way_back = 12ms;
// An answer without a part earns the square of the share that is in; one after the aim less than that of a
// half. Where the operator does not tell what a late answer is worth, a third is taken.
constexpr double late_worth = 0.33;
constexpr std::size_t most_open = 4096;  // requests held at once
constexpr double share_of_connections = 0.9;

bool enough(const Request& request, std::size_t in) {
  return in >= least_parts(request.parts.size(), request.route->least_share);
}

}  // namespace

void Desk::set_edges(std::uint32_t edges) {
  edges_ = std::max<std::uint32_t>(1, edges);
  allowance_.set_edges(edges_);
}

// A node takes so many connections from all callers together; each edge keeps to its part.
int Desk::connections_for(const Request& request, const std::string& depot) const {
  const averau::Depot* known = request.routes->depot(depot);
  if (!known || known->connections <= 0) return 64;
  return std::max(1, static_cast<int>(known->connections * share_of_connections / edges_));
}

RequestId Desk::arrive(Time now, const Arrival& arrival, FinalAnswer& answer) {
  ++counters_.requests;
  auto refuse = [&](int status, double retry_after_s) {
    answer.status = status;
    answer.retry_after_s = retry_after_s;
    return RequestId{};
  };
  if (!routes_) return ++counters_.refused, refuse(503, 0.2);
  const averau::Route* route = routes_->find(arrival.host, arrival.target);
  if (!route) return ++counters_.no_route, refuse(404, 0);
  if (requests_.size() >= most_open) return ++counters_.refused, refuse(503, 0.2);

  RequestId id = requests_.add();
  Request& request = *requests_.find(id);
  request.routes = routes_;
  request.route = route;
  request.arrived = now;
  double deadline = route->deadline_ms;
  if (arrival.deadline_ms > 0) deadline = std::min(deadline, arrival.deadline_ms);
  request.end = now + from_ms(deadline);
  request.soft_end =
      route->target_ms > 0 ? std::min(request.end, now + from_ms(route->target_ms) - way_back) : request.end;
  request.head = arrival.head;
  request.payload = arrival.body;
  request.id = arrival.id;
  if (!plan(now, request, answer)) {
    requests_.release(id);
    return {};
  }
  std::size_t sent = 0;
  for (std::size_t i = 0; i < request.parts.size(); ++i)
    if (request.parts[i].wanted && send(now, id, i)) ++sent;
  std::size_t least = route->gathers() ? least_parts(request.parts.size(), route->least_share) : 1;
  if (sent == 0 || sent < least) {
    // What was sent runs to its end; nothing more is made of it.
    answer = sent == 0 ? refusal(request) : failure(now, request);
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

// Which services get it. False with an answer where it is given up already.
bool Desk::plan(Time now, Request& request, FinalAnswer& answer) {
  const averau::Route& route = *request.route;
  if (!route.gathers()) {
    const std::string* depot = &route.depots[0].depot;
    if (route.depots.size() > 1) {
      // By weight, and by turns that never run in step with the clients.
      double sum = 0;
      for (const averau::Share& share : route.depots) sum += share.weight;
      double at = std::fmod(static_cast<double>(++turn_) * 0.6180339887498949, 1.0) * sum;
      for (const averau::Share& share : route.depots) {
        if (share.weight <= 0) continue;
        depot = &share.depot;
        if ((at -= share.weight) < 0) break;
      }
    }
    request.parts.resize(1);
    request.parts[0].depot = *depot;
    request.parts[0].wanted = true;
    allowance_.request(now, *depot);
    return true;
  }
  ++counters_.gathered;
  request.parts.resize(route.shards.size());
  for (std::size_t i = 0; i < route.shards.size(); ++i) request.parts[i].depot = route.shards[i];
  // A class without partial answers gets every shard, whatever the strain.
  double coverage = route.least_share >= 1 ? 1 : coverage_.share();
  std::vector<double> weights = weights_.of(route.shards);
  for (std::size_t i = 0; i < weights.size(); ++i)
    if (!nodes_.answers(request.parts[i].depot)) {
      // Nothing of it survives a merge while nobody there answers. A trial now and then tells when that ends.
      weights[i] = 0;
      request.parts[i].trial = true;
    }
  for (std::size_t i : heaviest_first(weights, coverage, route.least_share)) request.parts[i].wanted = true;
  std::size_t wanted = 0;
  for (Part& part : request.parts) {
    if (part.wanted && part.trial && !nodes_.trial_due(now, part.depot)) part.wanted = false;
    part.over = !part.wanted;
    wanted += part.wanted;
  }
  if (wanted < least_parts(route.shards.size(), route.least_share)) {
    ++counters_.refused;
    answer = refusal(request);
    return false;
  }
  for (const Part& part : request.parts)
    if (part.wanted) allowance_.request(now, part.depot);
  return true;
}

// One call more for the part. False where no node has room for it.
bool Desk::send(Time now, RequestId id, std::size_t index) {
  Request& request = *requests_.find(id);
  Part& part = request.parts[index];
  int most = connections_for(request, part.depot);
  // A node without a free connection is passed over for this time.
  std::vector<NodePtr> passed = part.tried;
  for (int looks = 0; looks < 4; ++looks) {
    NodePtr node = nodes_.choose(now, part.depot, passed, ++turn_, book_.away_factor(*request.route));
    if (!node) break;
    CallId call = out_.add();
    double left = Duration(request.end - now).count() * 1000;
    std::string text = request.head;
    text +=
        fmt::format("Addressee: {}\r\nDeadline-Ms: {}\r\n", node->id, std::max<long>(1, std::lround(left)));
    if (!request.payload.empty()) text += fmt::format("Content-Length: {}\r\n", request.payload.size());
    text += "\r\n";
    text += request.payload;
    std::size_t size = text.size();
    if (!calls_.start(call, *node, most, std::move(text), request.end)) {
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
    return true;
  }
  if (part.calls.empty()) part.over = true;
  return false;
}

void Desk::left(RequestId id) {
  Request* request = requests_.find(id);
  if (!request || request->done) return;
  request->done = true;
  due_.erase({request->due, id});
  release(id);
}

void Desk::outcome(Time now, Out& out, bool bad) {
  if (out.counted) return;
  out.counted = true;
  Request* request = requests_.find(out.request);
  if (request && request->route->gathers()) coverage_.outcome(now, bad);
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
  std::erase(request->parts[out.part].calls, call);
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
      FinalAnswer answer;
      answer.status = end.status;
      answer.type = end.type;
      answer.headers =
          fmt::format("Request-Id: {}\r\nPostmark: {}\r\n{}", request.id, end.stamp, end.headers);
      answer.body = std::move(part.body);
      ++counters_.single;
      finish(now, id, std::move(answer));
    }
    return;
  }
  if (!part.calls.empty()) return;  // another call of it is out
  bool may_repeat = request.route->safe || !part.ran;
  if (may_repeat && part.tries < request.route->tries && now < request.end &&
      allowance_.spend(now, part.depot)) {
    ++counters_.second_calls;
    if (send(now, id, index)) return;
  }
  part.over = true;
  if (request.route->gathers()) return;
  if (end.ending == Ending::answered) {
    // The node's own failure, as it stands.
    FinalAnswer answer;
    answer.status = end.status >= 200 && end.status < 300 ? 502 : end.status;
    answer.type = end.type;
    answer.headers = fmt::format("Request-Id: {}\r\n", request.id);
    if (!end.stamp.empty()) answer.headers += fmt::format("Postmark: {}\r\n", end.stamp);
    answer.headers += end.headers;
    answer.body = end.body;
    ++counters_.failed;
    return finish(now, id, std::move(answer));
  }
  finish(now, id, part.ran ? failure(now, request) : refusal(request));
}

// Whether a gathered request can be answered, or can no more become an answer.
void Desk::look(Time now, RequestId id) {
  Request* request = requests_.find(id);
  if (!request || request->done || !request->route->gathers()) return;
  std::size_t in = 0, coming = 0, trials = 0;
  for (const Part& part : request->parts) {
    if (part.in)
      ++in;
    else if (!part.over)
      ++(part.trial ? trials : coming);
  }
  // A trial is waited for only where there is no answer without it.
  if (!enough(*request, in + coming)) coming += trials;
  if (!enough(*request, in + coming)) {
    bool ran = std::any_of(request->parts.begin(), request->parts.end(),
                           [](const Part& part) { return part.in || part.ran || !part.calls.empty(); });
    return finish(now, id, ran ? failure(now, *request) : refusal(*request));
  }
  double share = static_cast<double>(in) / static_cast<double>(request->parts.size());
  bool soft = now >= request->soft_end && share * share > late_worth;
  if (enough(*request, in) && (coming == 0 || soft || now >= request->end))
    finish(now, id, gathered(*request));
}

FinalAnswer Desk::gathered(Request& request) {
  std::vector<std::string_view> bodies;
  std::vector<std::string> names;
  FinalAnswer answer;
  std::string stamps;
  for (const Part& part : request.parts) {
    if (!part.in) continue;
    bodies.push_back(part.body);
    names.push_back(part.depot);
    if (!stamps.empty()) stamps += ", ";
    stamps += part.stamp;
  }
  Merged merged = merge(bodies, static_cast<std::size_t>(request.route->top));
  std::size_t missing = request.parts.size() - bodies.size();
  if (missing == 0) weights_.learn(names, merged.survived);
  ++(missing == 0 ? counters_.whole : counters_.partial);
  answer.status = 200;
  answer.type = "application/octet-stream";
  answer.headers = fmt::format("Request-Id: {}\r\nPart-Postmarks: {}\r\n", request.id, stamps);
  if (missing > 0) answer.headers += fmt::format("Missing-Parts: {}\r\n", missing);
  answer.body = std::move(merged.body);
  return answer;
}

// It has not run and never will: the client may come again, and is told when. A tenth of the aim, so that a
// second try still has most of it.
FinalAnswer Desk::refusal(const Request& request) const {
  FinalAnswer answer;
  answer.status = 503;
  double aim = request.route->target_ms > 0 ? request.route->target_ms : request.route->deadline_ms / 10;
  answer.retry_after_s = std::clamp(aim / 1000 * 0.1, 0.005, 1.0);
  return answer;
}

FinalAnswer Desk::failure(Time now, const Request& request) const {
  FinalAnswer answer;
  answer.status = now >= request.end ? 504 : 502;
  answer.headers = fmt::format("Request-Id: {}\r\n", request.id);
  return answer;
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

// A second call where the first takes longer than nearly all do, there is time for it, and the budget allows
// it.
void Desk::second_calls(Time now, RequestId id) {
  Request& request = *requests_.find(id);
  for (std::size_t i = 0; i < request.parts.size(); ++i) {
    Part& part = request.parts[i];
    if (part.in || part.over || now < part.second_due) continue;
    part.second_due = Time::max();
    if (!request.route->safe || part.tries >= request.route->tries || part.calls.empty()) continue;
    if (now + book_.typical(*request.route) > request.soft_end) continue;
    if (!nodes_.other(now, part.depot, part.tried) || !allowance_.spend(now, part.depot)) continue;
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
  static_cast<void>(now);
  request.done = true;
  due_.erase({request.due, id});
  answers_.emplace_back(id, std::move(answer));
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
