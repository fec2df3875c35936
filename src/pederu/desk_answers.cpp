// What a client hears: when a gathered answer goes out, and what is said where there is none.
#include <fmt/format.h>

#include <algorithm>

#include "invariants/invariants.h"
#include "pederu/desk.h"
#include "pederu/merge.h"

namespace pearspar::pederu {
namespace {

// An answer without a part earns the square of the share that is in; one after the aim less than that of a
// half. Where the operator does not tell what a late answer is worth, a third is taken.
constexpr double late_worth = 0.33;

bool enough(const Request& request, std::size_t in) {
  return in >= least_parts(request.parts.size(), request.route->min_shard_ratio);
}

}  // namespace

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
    return finish(now, id, ran ? failure(now, *request) : refusal(*request, Reason::too_few_parts));
  }
  double share = static_cast<double>(in) / static_cast<double>(request->parts.size());
  bool soft = now >= request->soft_end && share * share > late_worth;
  if (enough(*request, in) && (coming == 0 || soft || now >= request->end))
    finish(now, id, gathered(*request));
}

// A node's answer, as it stands.
FinalAnswer Desk::single(const Request& request, const CallEnd& end, int status) const {
  FinalAnswer answer;
  answer.status = status;
  answer.type = end.type;
  answer.headers = fmt::format("Request-Id: {}\r\n", request.id);
  if (!end.stamp.empty()) answer.headers += fmt::format("Postmark: {}\r\n", end.stamp);
  answer.headers += end.headers;
  answer.body = end.body;
  answer.bare = request.asks_head || status == 204 || status == 304;
  // To a HEAD the length that the node named; the other two have none.
  if (request.asks_head && status != 204 && status != 304 && end.length)
    answer.headers += fmt::format("Content-Length: {}\r\n", *end.length);
  return answer;
}

FinalAnswer Desk::gathered(Request& request) {
  std::vector<std::string_view> bodies;
  std::vector<std::string> names;
  FinalAnswer answer;
  std::string stamps;
  for (const Part& part : request.parts) {
    if (!part.in) continue;
    bodies.push_back(part.body);
    names.push_back(part.service);
    if (!stamps.empty()) stamps += ", ";
    stamps += part.stamp;
  }
  Merged merged = merge(bodies, static_cast<std::size_t>(request.route->max_records));
  std::size_t missing = request.parts.size() - bodies.size();
  invariants::check(invariants::Promise::parts_are_of_one_set,
                    request.parts.size() == request.route->shards.size() && !bodies.empty(), request.id);
  if (missing == 0) weights_.learn(names, merged.survived);
  ++(missing == 0 ? counters_.whole : counters_.partial);
  answer.status = 200;
  answer.type = "application/octet-stream";
  answer.headers = fmt::format("Request-Id: {}\r\nPart-Postmarks: {}\r\n", request.id, stamps);
  if (missing > 0) answer.headers += fmt::format("Missing-Parts: {}\r\n", missing);
  answer.body = std::move(merged.body);
  answer.bare = request.asks_head;  // the parts' records did not come
  return answer;
}

// It has not run and never will: the client may come again, and is told when. A tenth of the aim, so that a
// second try still has most of it.
FinalAnswer Desk::refusal(const Request& request, Reason reason) const {
  FinalAnswer answer;
  answer.reason = reason;
  answer.status = 503;
  answer.unrun = true;
  double aim = request.route->target_ms > 0 ? request.route->target_ms : request.route->deadline_ms / 10;
  answer.retry_after_s = std::clamp(aim / 1000 * 0.1, 0.005, 1.0);
  return answer;
}

FinalAnswer Desk::failure(Time now, const Request& request) const {
  FinalAnswer answer;
  answer.status = now >= request.end ? 504 : 502;
  answer.reason = answer.status != 504 ? Reason::failed_at_nodes
                  : ending_            ? Reason::ending
                                       : Reason::deadline;
  answer.headers = fmt::format("Request-Id: {}\r\n", request.id);
  return answer;
}

}  // namespace pearspar::pederu
