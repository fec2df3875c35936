#include "edgegateway/edge_gateway.h"

#include <algorithm>
#include <cmath>

#include "invariants/invariants.h"

namespace pearspar::edgegateway {
namespace {

using namespace std::chrono_literals;

// An answer waits so long for its draw to be on disk; a round to the core is shorter unless nobody leads.
constexpr Duration hold_answer = 40ms;
// A request waits so long for the leader's word, and no longer than a quarter of its aim.
constexpr Duration wait_most = 150ms;
constexpr double wait_share = 0.25;
constexpr std::uint32_t ticket_bit = 1u << 31;  // of an index: ours, not the dispatcher's

std::uint64_t key(RequestId id) { return std::uint64_t{id.index} << 32 | id.generation; }

}  // namespace

EdgeGateway::EdgeGateway(transport::Wire& wire, vazzoler::FollowerOptions options,
                         dispatch::NodeClient& calls, const dispatch::RetryBudgetRules& rules)
    : follower_(wire, options), dispatcher_(calls), purse_(options.life) {
  dispatcher_.set_retry_budget(rules);
}

void EdgeGateway::link_frame(Time now, transport::LinkId link, std::string_view frame) {
  follower_.tell_coverage(static_cast<std::uint32_t>(std::lround(dispatcher_.coverage() * 100)));
  if (follower_.frame(now, link, frame)) take_news();
  for (const auto& [until, tokens] : follower_.take_granted())
    dispatcher_.retry_budget().granted(until, tokens.depot, tokens.count);
  for (const pramperet::Tell& tell : follower_.take_tells()) purse_.on_tell(now, tell);
}

void EdgeGateway::take_news() {
  vazzoler::View& view = follower_.view();
  for (const std::string& id : view.take_touched())
    dispatcher_.load_balancer().update(id, view.nodes().find(id));
  dispatcher_.set_edges(view.edges());
  if (!began_ && view.at() != fanes::Position{}) {
    began_ = true;
    dispatcher_.begin_coverage(view.coverage());
  }
  if (view.edition() == routed_revision_) return;
  invariants::check(invariants::Promise::version_never_falls, view.edition() > routed_revision_,
                    "configuration");
  routed_revision_ = view.edition();
  dispatcher_.set_routes(std::make_shared<const dispatch::RouteTable>(view.configuration()));
  purse_.configure(view.configuration()->allowances);
}

void EdgeGateway::ask_for_tokens(Time now) {
  if (!follower_.may_want(now)) return;
  std::vector<fanes::Tokens> tokens;
  for (auto& [depot, count] : dispatcher_.retry_budget().take_wanted(now)) tokens.push_back({depot, count});
  if (!tokens.empty()) follower_.want(now, std::move(tokens));
}

void EdgeGateway::advance(Time now) {
  if (follower_.tick(now)) take_news();
  dispatcher_.advance(now);
  ask_for_tokens(now);
  if (!purse_.on() && waiting_.empty()) return;
  try_waiting(now);
  if (auto ask = purse_.take_ask(now)) follower_.ask(*ask);
}

Time EdgeGateway::due(Time now) const {
  Time due = std::min({dispatcher_.due(), follower_.due(), purse_.due(now)});
  for (const Waiting& each : waiting_) due = std::min(due, each.until);
  for (const Held& each : held_) due = std::min(due, each.until);
  return due;
}

RequestId EdgeGateway::submit(Time now, const dispatch::ClientRequest& arrival,
                              const QuotaIdentity& quota_identity, dispatch::ClientResponse& answer) {
  if (!purse_.on()) return dispatcher_.submit(now, arrival, answer);
  const averau::Route* route = dispatcher_.route_of(arrival);
  if (!route || route->kind.empty()) return dispatcher_.submit(now, arrival, answer);
  pramperet::Verdict verdict =
      purse_.draw(now, quota_identity.holder, route->kind, quota_identity.key, false);
  if (verdict.kind == pramperet::Verdict::Kind::refused || waiting_.size() >= most_waiting ||
      waiting_bytes_ > most_waiting_bytes) {
    if (verdict.kind == pramperet::Verdict::Kind::wait) purse_.refuse(quota_identity.holder, route->kind);
    if (verdict.kind == pramperet::Verdict::Kind::drawn) purse_.not_run(verdict.ticket);
    answer.status = 429;
    answer.retry_after_s =
        verdict.kind == pramperet::Verdict::Kind::refused ? verdict.retry_after.count() : 0.2;
    return {};
  }
  if (verdict.kind != pramperet::Verdict::Kind::wait) return begin(now, arrival, verdict, answer);
  Waiting waiting;
  waiting.ticket = {ticket_bit | (++next_ticket_ & (ticket_bit - 1)), 1};
  waiting.method = arrival.method;
  waiting.target = arrival.target;
  waiting.host = arrival.host;
  waiting.id = arrival.id;
  waiting.head = arrival.head;
  waiting.body = arrival.body;
  waiting.deadline_ms = arrival.deadline_ms;
  waiting.received_at = arrival.received_at == Time{} ? now : arrival.received_at;
  waiting.quota_identity = quota_identity;
  waiting.kind = route->kind;
  Duration aim = dispatch::from_ms(route->target_ms > 0 ? route->target_ms : route->deadline_ms);
  waiting.until = now + std::min(wait_most, aim * wait_share);
  waiting_bytes_ += waiting.body.size() + waiting.head.size();
  waiting_.push_back(std::move(waiting));
  return waiting_.back().ticket;
}

RequestId EdgeGateway::begin(Time now, const dispatch::ClientRequest& arrival,
                             const pramperet::Verdict& verdict, dispatch::ClientResponse& answer) {
  RequestId id = dispatcher_.submit(now, arrival, answer);
  if (verdict.kind != pramperet::Verdict::Kind::drawn) return id;
  if (id)
    draws_[key(id)] = verdict.ticket;
  else if (answer.not_executed)
    purse_.not_run(verdict.ticket);
  return id;
}

// Those that came first draw first; who has waited for long enough is refused.
void EdgeGateway::try_waiting(Time now) {
  for (std::size_t left = waiting_.size(); left > 0; --left) {
    Waiting each = std::move(waiting_.front());
    waiting_.pop_front();
    waiting_bytes_ -= each.body.size() + each.head.size();
    pramperet::Verdict verdict =
        purse_.draw(now, each.quota_identity.holder, each.kind, each.quota_identity.key, true);
    dispatch::ClientResponse answer;
    if (verdict.kind == pramperet::Verdict::Kind::wait && now < each.until) {
      waiting_bytes_ += each.body.size() + each.head.size();
      waiting_.push_back(std::move(each));
      continue;
    }
    if (verdict.kind == pramperet::Verdict::Kind::wait || verdict.kind == pramperet::Verdict::Kind::refused) {
      bool over = verdict.kind == pramperet::Verdict::Kind::wait;
      if (over) purse_.refuse(each.quota_identity.holder, each.kind);
      answer.status = 429;
      answer.retry_after_s = over ? 0.1 : verdict.retry_after.count();
      answers_.emplace_back(each.ticket, std::move(answer));
      continue;
    }
    dispatch::ClientRequest arrival;
    arrival.method = each.method;
    arrival.target = each.target;
    arrival.host = each.host;
    arrival.id = each.id;
    arrival.head = std::move(each.head);
    arrival.body = each.body;
    arrival.deadline_ms = each.deadline_ms;
    arrival.received_at = each.received_at;
    RequestId id = begin(now, arrival, verdict, answer);
    if (!id) {
      answers_.emplace_back(each.ticket, std::move(answer));
      continue;
    }
    names_[key(id)] = each.ticket;
    desk_ids_[key(each.ticket)] = id;
  }
}

// A client that has gone: what it drew stays drawn, since it may have run.
void EdgeGateway::client_disconnected(RequestId request) {
  if (request.index & ticket_bit) {
    auto known = desk_ids_.find(key(request));
    if (known == desk_ids_.end()) {
      for (auto each = waiting_.begin(); each != waiting_.end(); ++each)
        if (each->ticket == request) {
          purse_.refuse(each->quota_identity.holder, each->kind);
          waiting_bytes_ -= each->body.size() + each->head.size();
          waiting_.erase(each);
          return;
        }
      return;
    }
    request = known->second;
    names_.erase(key(request));
    desk_ids_.erase(known);
  }
  if (auto drawn = draws_.find(key(request)); drawn != draws_.end()) {
    purse_.unsure(drawn->second);
    draws_.erase(drawn);
  }
  dispatcher_.client_disconnected(request);
}

void EdgeGateway::ended(Time now, RequestId request, dispatch::ClientResponse answer) {
  RequestId ours = request;
  if (auto name = names_.find(key(request)); name != names_.end()) {
    ours = name->second;
    desk_ids_.erase(key(ours));
    names_.erase(name);
  }
  auto drawn = draws_.find(key(request));
  if (drawn == draws_.end()) return static_cast<void>(answers_.emplace_back(ours, std::move(answer)));
  pramperet::Ticket ticket = std::move(drawn->second);
  draws_.erase(drawn);
  if (answer.not_executed) {
    purse_.not_run(ticket);
  } else if (answer.status >= 500) {
    purse_.unsure(ticket);
  } else if (!purse_.settled(ticket)) {
    held_.push_back({ours, std::move(answer), std::move(ticket), now + hold_answer});
    return;
  }
  answers_.emplace_back(ours, std::move(answer));
}

void EdgeGateway::finish_open_requests(Time now) {
  for (Waiting& each : waiting_) each.until = std::min(each.until, now);
  for (Held& each : held_) each.until = std::min(each.until, now);
  try_waiting(now);
  dispatcher_.finish_open_requests(now);
}

std::vector<std::pair<RequestId, dispatch::ClientResponse>> EdgeGateway::take_responses(Time now) {
  if (!purse_.on() && draws_.empty() && held_.empty() && answers_.empty() && names_.empty())
    return dispatcher_.take_responses();
  for (auto& [request, answer] : dispatcher_.take_responses()) ended(now, request, std::move(answer));
  for (auto each = held_.begin(); each != held_.end();) {
    if (!purse_.settled(each->draw) && now < each->until) {
      ++each;
      continue;
    }
    answers_.emplace_back(each->request, std::move(each->answer));
    each = held_.erase(each);
  }
  return std::exchange(answers_, {});
}

}  // namespace pearspar::edgegateway
