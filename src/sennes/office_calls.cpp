// Calls on their way to an answer: taken in, settled here or passed on to the leader, refused when their time
// is over.
#include <algorithm>
#include <charconv>

#include "sennes/office.h"
#include "sennes/report.h"

namespace pearspar::sennes {
namespace {

using namespace std::chrono_literals;

// Whoever passes a call on wants to hear the answer before its own time is over.
constexpr Duration way_back = 50ms;
constexpr std::size_t most_history = 200;  // told unasked
constexpr std::string_view config_path = "/pearspar/config";
constexpr std::string_view status_path = "/pearspar/status";
constexpr std::string_view list_path = "/pearspar/nodes";
constexpr std::string_view history_path = "/pearspar/history";
constexpr std::string_view snapshot_path = "/pearspar/snapshot";
constexpr std::string_view allowance_path = "/pearspar/allowance";

bool is_node_path(std::string_view path) {
  return path.starts_with(nodes_path) && path.size() > nodes_path.size() &&
         path.find('/', nodes_path.size()) == path.npos && path.size() < nodes_path.size() + 128;
}

// How many are asked for: "/pearspar/history", or with "?newest=N" behind it.
std::optional<std::size_t> history_asked(std::string_view path) {
  if (path == history_path) return most_history;
  constexpr std::string_view query = "?newest=";
  if (!path.starts_with(history_path)) return std::nullopt;
  path.remove_prefix(history_path.size());
  if (!path.starts_with(query)) return std::nullopt;
  path.remove_prefix(query.size());
  std::size_t newest = 0;
  auto [stop, error] = std::from_chars(path.data(), path.data() + path.size(), newest);
  if (path.empty() || error != std::errc() || stop != path.data() + path.size()) return std::nullopt;
  return newest;
}

// For people too; null = there is no such call.
const char* methods_of(std::string_view path) {
  if (path == config_path) return "GET or PUT";
  if (is_node_path(path)) return "PUT or DELETE";
  bool read = path == status_path || path == list_path || path == snapshot_path || path == allowance_path ||
              history_asked(path);
  return read ? "GET" : nullptr;
}

bool is_method_of(std::string_view method, std::string_view wanted) {
  std::size_t first = wanted.find(" or ");
  return method == wanted.substr(0, first) || (first != wanted.npos && method == wanted.substr(first + 4));
}

}  // namespace

void Office::reply(const Request& request, int status, std::string body, bool by_lease) {
  // Only what was read out is long, and may be asked for again.
  bool passed = !request.from.empty();
  if (by_lease && (reply_bytes_ + body.size() > most_reply_bytes ||
                   (passed && passed_bytes_ + body.size() > most_passed_bytes))) {
    status = 503;
    body = fault_json("too much is asked for at once");
  }
  reply_bytes_ += body.size();
  if (passed) passed_bytes_ += body.size();
  if (request.from.empty())
    replies_.push_back({request.asker, status, std::move(body), by_lease});
  else
    messages_.push_back(
        {request.from,
         protocol::ControlReply{request.number, static_cast<std::uint32_t>(status), std::move(body)},
         by_lease});
}

void Office::reply_fault(const Request& request, int status, std::string_view what) {
  reply(request, status, fault_json(what));
}

std::vector<Reply> Office::take_replies() {
  reply_bytes_ = passed_bytes_ = 0;
  return std::exchange(replies_, {});
}

void Office::call(Time now, Asker asker, std::string_view method, std::string_view path,
                  std::string_view if_match, std::string_view body) {
  Request request;
  request.asker = asker;
  request.method = method;
  request.path = path;
  request.if_match = if_match;
  request.body = body;
  request.until = now + answer_within;
  if (path == status_path && method == "GET")
    return reply(request, 200, status_json(now, options_.name, core_, state_, view_, followers_), false);
  take_in(now, std::move(request));
}

// By HTTP or from a member, which may be of another revision of the program and know other calls.
void Office::take_in(Time now, Request request) {
  if (const char* wanted = methods_of(request.path); !wanted)
    return reply(request, 404, fault_json("no such call"), false);
  else if (!is_method_of(request.method, wanted))
    return reply(request, 405, fault_json(std::string(wanted) + " is wanted"), false);
  if (request.path == status_path) return reply(request, 404, fault_json("each member tells its own"), false);
  auto place = room_.take(request.bytes());
  if (!place) return reply_fault(request, 503, "too many calls wait");
  request.place = std::move(*place);
  if (!settle(now, request)) waiting_.push_back(std::move(request));
}

bool Office::settle(Time now, Request& request) {
  if (may_serve(now)) {
    if (!in_office() || core_.term() != view_.at().term) return false;
    if (request.path == config_path) {
      if (request.method == "PUT") return settle_change(now, request);
      if (state_.current())
        reply(request, 200, state_.text());
      else
        reply_fault(request, 404, "no configuration was taken yet");
    } else if (request.path == list_path) {
      reply(request, 200, nodes_json(now, view_));
    } else if (auto newest = history_asked(request.path)) {
      reply(request, 200, history_json(state_, *newest));
    } else if (request.path == allowance_path) {
      reply(request, 200, allowance_json(core_, state_));
    } else if (request.path == snapshot_path) {
      reply(request, 200, snapshot_json(state_));
    } else if (request.method == "PUT") {
      settle_beat(now, request);
    } else {
      settle_leave(now, request);
    }
    return true;
  }
  // Passed on at most once: two members that take each other for the leader must not play ball.
  if (core_.role() == raft::Core::Role::leader || core_.leader_address().empty() || !request.from.empty())
    return false;
  pass_on(now, request);
  return true;
}

namespace {

protocol::ControlCall as_call(Time now, std::uint64_t number, const std::string& from,
                              const Request& request) {
  double left_ms = Duration(request.until - way_back - now).count() * 1000;
  return {number,
          from,
          request.method,
          request.path,
          request.if_match,
          request.body,
          static_cast<std::uint32_t>(std::max(1.0, left_ms))};
}

}  // namespace

void Office::pass_on(Time now, Request& request) {
  const std::string& to = core_.leader_address();
  protocol::ControlCall call = as_call(now, 0, options_.inner_address, request);
  call.number = passed_.add(std::move(request), to);
  messages_.push_back({to, std::move(call), false});
}

// Whoever it was passed to leads no more: the same call goes to who does. Calls may be repeated unchanged.
void Office::look_after_passed(Time now) {
  if (passed_.size() == 0) return;
  if (may_serve(now)) {
    for (Request& request : passed_.take_all())
      if (!settle(now, request)) waiting_.push_back(std::move(request));
    return;
  }
  const std::string& leader = core_.leader_address();
  if (leader.empty() || core_.role() == raft::Core::Role::leader) return;
  for (auto& [number, passed] : passed_.all())
    if (passed.to != leader && passed_.again(passed, leader))
      messages_.push_back(
          {leader, as_call(now, passed.number, options_.inner_address, passed.request), false});
}

void Office::link_opened(Time now, const std::string& address) {
  for (auto& [number, passed] : passed_.all())
    if (passed.to == address && passed_.again(passed, address))
      messages_.push_back(
          {address, as_call(now, passed.number, options_.inner_address, passed.request), false});
}

void Office::on_answer(Time now, const protocol::ControlReply& answer) {
  auto request = passed_.answered(answer.number, answer.status < 500);
  if (!request) return;
  if (now >= request->until)
    reply_fault(*request, 503, "the leader did not answer in time");
  else
    reply(*request, static_cast<int>(answer.status), answer.body, false);
}

// Before anything else: a member that stood still for seconds does not take up what nobody waits for.
void Office::refuse_expired(Time now) {
  for (std::size_t left = waiting_.size(); left > 0; --left) {
    Request request = std::move(waiting_.front());
    waiting_.pop_front();
    if (now < request.until)
      waiting_.push_back(std::move(request));
    else if (request.order && may_serve(now) && request.order->base > state_.revision())
      reply_fault(
          request, 503,
          "edition " + std::to_string(state_.revision()) + " is in place: what this one builds on is not");
    else
      reply_fault(request, 503, "nobody leads here");
  }
  for (const Request& request : passed_.take_expired(now))
    reply_fault(request, 503, "the leader did not answer");
  if (proposal_)
    std::erase_if(proposal_->callers, [&](const Request& request) {
      if (now < request.until) return false;
      reply_fault(request, 503, "a majority has not written it yet");
      return true;
    });
  std::erase_if(spreading_, [&](const Spreading& each) {
    if (now < each.request.until) return false;
    reply_fault(each.request, 503, "not all have acknowledged it yet");
    return true;
  });
}

}  // namespace pearspar::sennes
