// The life of a call: accepted, handled here or forwarded to the leader, rejected at its deadline.
#include <algorithm>
#include <charconv>

#include "control_plane/controller.h"
#include "control_plane/report.h"

namespace pearspar::control_plane {
namespace {

using namespace std::chrono_literals;

// Left of a forwarded call's time for the answer to come back.
constexpr Duration reply_margin = 50ms;
constexpr std::size_t default_history_entries = 200;
constexpr std::string_view config_path = "/pearspar/config";
constexpr std::string_view status_path = "/pearspar/status";
constexpr std::string_view list_path = "/pearspar/nodes";
constexpr std::string_view history_path = "/pearspar/history";
constexpr std::string_view snapshot_path = "/pearspar/snapshot";
constexpr std::string_view allowance_path = "/pearspar/allowance";

bool is_rollout_path(std::string_view path) {
  std::size_t service = rollouts_path.size() + 1;
  return path.size() > service && path.starts_with(rollouts_path) && path[service - 1] == '/' &&
         path.find('/', service) == path.npos;
}

bool is_node_path(std::string_view path) {
  return path.starts_with(nodes_path) && path.size() > nodes_path.size() &&
         path.find('/', nodes_path.size()) == path.npos && path.size() < nodes_path.size() + 128;
}

// Number of entries requested by "/pearspar/history", with or without "?newest=N"; nothing for other paths.
std::optional<std::size_t> requested_history_entries(std::string_view path) {
  if (path == history_path) return default_history_entries;
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

CallPath call_path_of(std::string_view path) {
  if (path == config_path) return CallPath::configuration;
  if (is_node_path(path)) return CallPath::node;
  if (path == rollouts_path) return CallPath::rollout_order;
  if (is_rollout_path(path)) return CallPath::rollout;
  if (path == list_path) return CallPath::node_list;
  if (path == status_path) return CallPath::status;
  if (path == snapshot_path) return CallPath::snapshot;
  if (path == allowance_path) return CallPath::allowance;
  return requested_history_entries(path) ? CallPath::history : CallPath::unknown;
}

// Also used in error messages. Null: no such path.
const char* allowed_methods(std::string_view path) {
  switch (call_path_of(path)) {
    case CallPath::configuration:
      return "GET or PUT";
    case CallPath::node:
      return "PUT or DELETE";
    case CallPath::rollout_order:
      return "GET or POST";
    case CallPath::rollout:
    case CallPath::node_list:
    case CallPath::status:
    case CallPath::history:
    case CallPath::snapshot:
    case CallPath::allowance:
      return "GET";
    case CallPath::unknown:
      break;
  }
  return nullptr;
}

bool is_allowed(std::string_view method, std::string_view allowed) {
  std::size_t first = allowed.find(" or ");
  return method == allowed.substr(0, first) || (first != allowed.npos && method == allowed.substr(first + 4));
}

}  // namespace

void Controller::reply(const Request& request, int status, std::string body, bool requires_lease) {
  // Only replies to reads are large, and reads can be repeated.
  bool forwarded = !request.forwarded_by.empty();
  if (requires_lease && (reply_bytes_ + body.size() > max_reply_bytes ||
                         (forwarded && forwarded_reply_bytes_ + body.size() > max_forwarded_reply_bytes))) {
    status = 503;
    body = error_json("too many bytes requested at once");
  }
  reply_bytes_ += body.size();
  if (forwarded) forwarded_reply_bytes_ += body.size();
  if (!forwarded) {
    call_log_.record(call_path_of(request.path), request.method, request.path, status, body);
    replies_.push_back({request.caller, status, std::move(body), requires_lease});
  } else {
    messages_.push_back(
        {request.forwarded_by,
         protocol::ControlReply{request.number, static_cast<std::uint32_t>(status), std::move(body)},
         requires_lease});
  }
}

void Controller::reply_error(const Request& request, int status, std::string_view what) {
  reply(request, status, error_json(what));
}

std::vector<Reply> Controller::take_replies() {
  reply_bytes_ = forwarded_reply_bytes_ = 0;
  return std::exchange(replies_, {});
}

void Controller::call(Time now, CallerId caller, std::string_view method, std::string_view path,
                      std::string_view if_match, std::string_view body) {
  Request request;
  request.caller = caller;
  request.method = method;
  request.path = path;
  request.if_match = if_match;
  request.body = body;
  request.deadline = now + call_timeout;
  if (path == status_path && method == "GET")
    return reply(request, 200, status_json(now, options_.name, core_, state_, view_, followers_), false);
  accept(now, std::move(request));
}

// A forwarding member may run another program version, which knows other calls.
void Controller::accept(Time now, Request request) {
  if (const char* allowed = allowed_methods(request.path); !allowed)
    return reply(request, 404, error_json("no such call"), false);
  else if (!is_allowed(request.method, allowed))
    return reply(request, 405, error_json(std::string(allowed) + " is wanted"), false);
  if (request.path == status_path)
    return reply(request, 404, error_json("each member serves its own status"), false);
  auto reservation = call_limiter_.reserve(request.bytes());
  if (!reservation) return reply_error(request, 503, "too many pending calls");
  request.reservation = std::move(*reservation);
  if (!try_handle(now, request)) waiting_.push_back(std::move(request));
}

bool Controller::try_handle(Time now, Request& request) {
  if (may_serve(now)) {
    if (!is_active() || core_.term() != view_.at().term) return false;
    if (request.path == config_path) {
      if (request.method == "PUT") return handle_change(now, request);
      if (state_.configuration())
        reply(request, 200, state_.text());
      else
        reply_error(request, 404, "no configuration was applied yet");
    } else if (request.path == list_path) {
      reply(request, 200, nodes_json(now, view_));
    } else if (auto newest = requested_history_entries(request.path)) {
      reply(request, 200, history_json(state_, *newest));
    } else if (request.path == allowance_path) {
      reply(request, 200, allowance_json(core_, state_));
    } else if (request.path == snapshot_path) {
      reply(request, 200, snapshot_json(state_));
    } else if (request.path == rollouts_path) {
      if (request.method == "POST") return handle_rollout_order(now, request);
      reply(request, 200, rollouts_json(now, state_.rollouts(), rollouts_));
    } else if (is_rollout_path(request.path)) {
      handle_rollout_read(request);
    } else if (request.method == "PUT") {
      handle_heartbeat(now, request);
    } else {
      handle_leave(now, request);
    }
    return true;
  }
  // Forwarded at most once, or two members that take each other for the leader would forward it forever.
  if (core_.role() == raft::Core::Role::leader || core_.leader_address().empty() ||
      !request.forwarded_by.empty())
    return false;
  forward(now, request);
  return true;
}

namespace {

protocol::ControlCall make_call(Time now, std::uint64_t number, const std::string& from,
                                const Request& request) {
  double left_ms = Duration(request.deadline - reply_margin - now).count() * 1000;
  return {number,
          from,
          request.method,
          request.path,
          request.if_match,
          request.body,
          static_cast<std::uint32_t>(std::max(1.0, left_ms))};
}

}  // namespace

void Controller::forward(Time now, Request& request) {
  const std::string& to = core_.leader_address();
  protocol::ControlCall call = make_call(now, 0, options_.inner_address, request);
  call.number = forwarded_.add(std::move(request), to);
  messages_.push_back({to, std::move(call), false});
}

// Sends forwarded calls to the new leader after a change of leader. All calls may be repeated unchanged.
void Controller::redirect_forwarded(Time now) {
  if (forwarded_.size() == 0) return;
  if (may_serve(now)) {
    for (Request& request : forwarded_.take_all())
      if (!try_handle(now, request)) waiting_.push_back(std::move(request));
    return;
  }
  const std::string& leader = core_.leader_address();
  if (leader.empty() || core_.role() == raft::Core::Role::leader) return;
  for (auto& [number, forwarded] : forwarded_.all())
    if (forwarded.to != leader && forwarded_.retry(forwarded, leader))
      messages_.push_back(
          {leader, make_call(now, forwarded.number, options_.inner_address, forwarded.request), false});
}

void Controller::link_opened(Time now, const std::string& address) {
  for (auto& [number, forwarded] : forwarded_.all())
    if (forwarded.to == address && forwarded_.retry(forwarded, address))
      messages_.push_back(
          {address, make_call(now, forwarded.number, options_.inner_address, forwarded.request), false});
}

void Controller::on_answer(Time now, const protocol::ControlReply& answer) {
  auto request = forwarded_.complete(answer.number, answer.status < 500);
  if (!request) return;
  if (now >= request->deadline)
    reply_error(*request, 503, "the leader did not answer in time");
  else
    reply(*request, static_cast<int>(answer.status), answer.body, false);
}

// Runs before anything else, so that a member that was stalled does not execute calls nobody waits for.
void Controller::reject_expired(Time now) {
  for (std::size_t left = waiting_.size(); left > 0; --left) {
    Request request = std::move(waiting_.front());
    waiting_.pop_front();
    if (now < request.deadline)
      waiting_.push_back(std::move(request));
    else if (request.change && may_serve(now) && request.change->base > state_.revision())
      reply_error(
          request, 503,
          "edition " + std::to_string(state_.revision()) + " is in place: what this one builds on is not");
    else
      reply_error(request, 503, "nobody leads here");
  }
  for (const Request& request : forwarded_.take_expired(now))
    reply_error(request, 503, "the leader did not answer");
  if (proposal_)
    std::erase_if(proposal_->callers, [&](const Request& request) {
      if (now < request.deadline) return false;
      reply_error(request, 503, "not replicated to a majority yet");
      return true;
    });
  std::erase_if(pending_rollouts_, [&](const PendingRollout& pending) {
    if (now < pending.request.deadline) return false;
    reply_error(pending.request, 503, "not replicated to a majority yet");
    return true;
  });
  std::erase_if(pending_updates_, [&](const PendingUpdate& each) {
    if (now < each.request.deadline) return false;
    reply_error(each.request, 503, "not acknowledged by all edges yet");
    return true;
  });
}

}  // namespace pearspar::control_plane
