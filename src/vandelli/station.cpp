#include "vandelli/station.h"

#include <algorithm>
#include <cmath>

#include "invariants/invariants.h"

namespace pearspar::vandelli {
namespace {

using namespace std::chrono_literals;

// An answer waits so long for its draw to be on disk; a round to the core is shorter unless nobody leads.
constexpr Duration hold_answer = 40ms;
// A request waits so long for the leader's word, and no longer than a quarter of its aim.
constexpr Duration wait_most = 150ms;
constexpr double wait_share = 0.25;
constexpr std::uint32_t ticket_bit = 1u << 31;  // of an index: ours, not the desk's

std::uint64_t key(RequestId id) { return std::uint64_t{id.index} << 32 | id.generation; }

}  // namespace

Station::Station(transport::Transport& wire, subscription::FollowerOptions options, pederu::Calls& calls,
                 const pederu::AllowanceRules& rules)
    : follower_(wire, options), desk_(calls), purse_(options.incarnation) {
  desk_.set_allowance(rules);
}

void Station::link_frame(Time now, transport::LinkId link, std::string_view frame) {
  follower_.set_coverage(static_cast<std::uint32_t>(std::lround(desk_.coverage() * 100)));
  if (follower_.link_frame(now, link, frame)) take_news();
  for (const auto& [until, tokens] : follower_.take_granted_tokens())
    desk_.allowance().granted(until, tokens.service, tokens.count);
  for (const pramperet::Tell& tell : follower_.take_quota_replies()) purse_.on_tell(now, tell);
}

void Station::take_news() {
  subscription::ClusterView& view = follower_.view();
  for (const std::string& id : view.take_changed_nodes()) desk_.nodes().update(id, view.nodes().find(id));
  desk_.set_edges(view.edge_count());
  if (!began_ && view.at() != protocol::Position{}) {
    began_ = true;
    desk_.begin_coverage(view.coverage());
  }
  if (view.revision() == routed_) return;
  invariants::check(invariants::Promise::version_never_falls, view.revision() > routed_, "configuration");
  routed_ = view.revision();
  desk_.set_routes(std::make_shared<const pederu::Routes>(view.configuration()));
  purse_.configure(view.configuration()->quota_rules);
}

void Station::ask_for_tokens(Time now) {
  if (!follower_.can_request_tokens(now)) return;
  std::vector<protocol::Tokens> tokens;
  for (auto& [service, count] : desk_.allowance().take_wanted(now)) tokens.push_back({service, count});
  if (!tokens.empty()) follower_.request_tokens(now, std::move(tokens));
}

void Station::advance(Time now) {
  if (follower_.tick(now)) take_news();
  desk_.advance(now);
  ask_for_tokens(now);
  if (!purse_.on() && waiting_.empty()) return;
  try_waiting(now);
  if (auto ask = purse_.take_ask(now)) follower_.send_quota_request(*ask);
}

Time Station::due(Time now) const {
  Time due = std::min({desk_.due(), follower_.due(), purse_.due(now)});
  for (const Waiting& each : waiting_) due = std::min(due, each.until);
  for (const Held& each : held_) due = std::min(due, each.until);
  return due;
}

RequestId Station::arrive(Time now, const pederu::Arrival& arrival, const Drawer& drawer,
                          pederu::FinalAnswer& answer) {
  if (!purse_.on()) return desk_.arrive(now, arrival, answer);
  const catalog::Route* route = desk_.route_of(arrival);
  if (!route || route->quota_kind.empty()) return desk_.arrive(now, arrival, answer);
  pramperet::Verdict verdict = purse_.draw(now, drawer.holder, route->quota_kind, drawer.key, false);
  if (verdict.kind == pramperet::Verdict::Kind::refused || waiting_.size() >= most_waiting ||
      waiting_bytes_ > most_waiting_bytes) {
    if (verdict.kind == pramperet::Verdict::Kind::wait) purse_.refuse(drawer.holder, route->quota_kind);
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
  waiting.began = arrival.began == Time{} ? now : arrival.began;
  waiting.drawer = drawer;
  waiting.kind = route->quota_kind;
  Duration aim = pederu::from_ms(route->target_ms > 0 ? route->target_ms : route->deadline_ms);
  waiting.until = now + std::min(wait_most, aim * wait_share);
  waiting_bytes_ += waiting.body.size() + waiting.head.size();
  waiting_.push_back(std::move(waiting));
  return waiting_.back().ticket;
}

RequestId Station::begin(Time now, const pederu::Arrival& arrival, const pramperet::Verdict& verdict,
                         pederu::FinalAnswer& answer) {
  RequestId id = desk_.arrive(now, arrival, answer);
  if (verdict.kind != pramperet::Verdict::Kind::drawn) return id;
  if (id)
    draws_[key(id)] = verdict.ticket;
  else if (answer.unrun)
    purse_.not_run(verdict.ticket);
  return id;
}

// Those that came first draw first; who has waited for long enough is refused.
void Station::try_waiting(Time now) {
  for (std::size_t left = waiting_.size(); left > 0; --left) {
    Waiting each = std::move(waiting_.front());
    waiting_.pop_front();
    waiting_bytes_ -= each.body.size() + each.head.size();
    pramperet::Verdict verdict = purse_.draw(now, each.drawer.holder, each.kind, each.drawer.key, true);
    pederu::FinalAnswer answer;
    if (verdict.kind == pramperet::Verdict::Kind::wait && now < each.until) {
      waiting_bytes_ += each.body.size() + each.head.size();
      waiting_.push_back(std::move(each));
      continue;
    }
    if (verdict.kind == pramperet::Verdict::Kind::wait || verdict.kind == pramperet::Verdict::Kind::refused) {
      bool over = verdict.kind == pramperet::Verdict::Kind::wait;
      if (over) purse_.refuse(each.drawer.holder, each.kind);
      answer.status = 429;
      answer.retry_after_s = over ? 0.1 : verdict.retry_after.count();
      answers_.emplace_back(each.ticket, std::move(answer));
      continue;
    }
    pederu::Arrival arrival;
    arrival.method = each.method;
    arrival.target = each.target;
    arrival.host = each.host;
    arrival.id = each.id;
    arrival.head = std::move(each.head);
    arrival.body = each.body;
    arrival.deadline_ms = each.deadline_ms;
    arrival.began = each.began;
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
void Station::left(RequestId request) {
  if (request.index & ticket_bit) {
    auto known = desk_ids_.find(key(request));
    if (known == desk_ids_.end()) {
      for (auto each = waiting_.begin(); each != waiting_.end(); ++each)
        if (each->ticket == request) {
          purse_.refuse(each->drawer.holder, each->kind);
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
  desk_.left(request);
}

void Station::ended(Time now, RequestId request, pederu::FinalAnswer answer) {
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
  if (answer.unrun) {
    purse_.not_run(ticket);
  } else if (answer.status >= 500) {
    purse_.unsure(ticket);
  } else if (!purse_.settled(ticket)) {
    held_.push_back({ours, std::move(answer), std::move(ticket), now + hold_answer});
    return;
  }
  answers_.emplace_back(ours, std::move(answer));
}

void Station::end_open(Time now) {
  for (Waiting& each : waiting_) each.until = std::min(each.until, now);
  for (Held& each : held_) each.until = std::min(each.until, now);
  try_waiting(now);
  desk_.end_open(now);
}

std::vector<std::pair<RequestId, pederu::FinalAnswer>> Station::take_answers(Time now) {
  if (!purse_.on() && draws_.empty() && held_.empty() && answers_.empty() && names_.empty())
    return desk_.take_answers();
  for (auto& [request, answer] : desk_.take_answers()) ended(now, request, std::move(answer));
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

}  // namespace pearspar::vandelli
