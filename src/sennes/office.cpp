#include "sennes/office.h"

#include <algorithm>
#include <charconv>

#include "sennes/report.h"

namespace pearspar::sennes {
namespace {

using namespace std::chrono_literals;

constexpr Duration hold_for = 700ms;  // a call, until somebody leads: callers move on after a second
constexpr Duration pass_for = 900ms;  // a call passed on, until its answer comes
constexpr double gather_beats = 2.5;  // after an election, before the list of nodes counts as whole
constexpr std::size_t most_waiting = 1024;
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

}  // namespace

Office::Office(OfficeOptions options, lagazuoi::Core& core, State& state)
    : options_(std::move(options)), core_(core), state_(state), followers_(view_) {
  pool_.set(options_.pool);
}

fanes::Hello Office::hello() const {
  return {options_.life,  fanes::FollowerKind::core, options_.name, options_.zone, view_.at(),
          view_.edition()};
}

void Office::reply(const Request& request, int status, std::string body, bool by_lease) {
  if (request.from.empty())
    replies_.push_back({request.asker, status, std::move(body), by_lease});
  else
    messages_.push_back(
        {request.from, fanes::CallAnswer{request.number, static_cast<std::uint32_t>(status), std::move(body)},
         by_lease});
}

void Office::reply_fault(const Request& request, int status, std::string_view what) {
  reply(request, status, fault_json(what));
}

void Office::call(Time now, Asker asker, std::string_view method, std::string_view path,
                  std::string_view if_match, std::string_view body) {
  Request request;
  request.asker = asker;
  request.method = method;
  request.path = path;
  request.if_match = if_match;
  request.body = body;
  if (path == status_path) {
    if (method != "GET") return reply_fault(request, 405, "GET is wanted");
    return reply(request, 200, status_json(now, options_.name, core_, state_, view_, followers_), false);
  }
  if (path == config_path) {
    if (method != "GET" && method != "PUT") return reply_fault(request, 405, "GET or PUT is wanted");
  } else if (path == list_path || path == history_path || path == snapshot_path || path == allowance_path) {
    if (method != "GET") return reply_fault(request, 405, "GET is wanted");
  } else if (is_node_path(path)) {
    if (method != "PUT" && method != "DELETE") return reply_fault(request, 405, "PUT or DELETE is wanted");
  } else {
    return reply_fault(request, 404, "no such call");
  }
  take_in(now, std::move(request));
}

void Office::take_in(Time now, Request request) {
  request.until = now + hold_for;
  if (settle(now, request)) return;
  if (waiting_.size() >= most_waiting) return reply_fault(request, 503, "too many calls wait");
  waiting_.push_back(std::move(request));
}

bool Office::settle(Time now, Request& request) {
  if (core_.may_speak(now)) {
    if (!in_office() || core_.term() != view_.at().term) return false;
    if (request.path == config_path) {
      if (request.method == "GET") {
        if (state_.current())
          reply(request, 200, state_.current()->text);
        else
          reply_fault(request, 404, "no configuration was taken yet");
        return true;
      }
      if (proposal_) {
        Digest digest = digest_of(request.body);
        if (digest != proposal_->digest) return false;
        same_.push_back({std::move(request), 0, 0, 0, digest});
        return true;
      }
      settle_change(now, request);
    } else if (request.path == list_path) {
      reply(request, 200, nodes_json(now, view_));
    } else if (request.path == history_path) {
      reply(request, 200, history_json(state_));
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
  if (core_.role() == lagazuoi::Core::Role::leader || core_.leader_address().empty() ||
      !request.from.empty() || passed_.size() >= most_waiting)
    return false;
  pass_on(now, request);
  return true;
}

void Office::pass_on(Time now, Request& request) {
  std::uint64_t number = next_number_++;
  messages_.push_back({core_.leader_address(),
                       fanes::Call{number, options_.inner_address, request.method, request.path,
                                   request.if_match, request.body},
                       false});
  passed_[number] = {std::move(request), core_.leader_address(), now + pass_for};
}

// Whoever it was passed to leads no more: the same call goes to who does. Calls may be repeated unchanged.
void Office::look_after_passed(Time now) {
  bool leads = core_.may_speak(now);
  std::vector<Request> again;
  for (auto it = passed_.begin(); it != passed_.end();) {
    Passed& passed = it->second;
    bool moved = leads || (!core_.leader_address().empty() && core_.leader_address() != passed.to);
    if (now < passed.until && !moved) {
      ++it;
      continue;
    }
    if (now < passed.until)
      again.push_back(std::move(passed.request));
    else
      reply_fault(passed.request, 503, "the leader did not answer");
    it = passed_.erase(it);
  }
  for (Request& request : again)
    if (!settle(now, request)) waiting_.push_back(std::move(request));
}

// Those that follow have to find the core when all that they began with are gone.
void Office::tell_members() {
  std::vector<std::string> cores = core_.addresses();
  if (cores == told_cores_) return;
  told_cores_ = cores;
  std::string bytes = fanes::pack(fanes::Welcome{core_.term(), true, std::move(cores)});
  for (const auto& [link, follower] : followers_.all()) to_links_.push_back({link, bytes});
}

void Office::open_office(Time now) {
  told_cores_.clear();
  view_.take(state_.current());
  heard_.clear();
  for (const auto& [id, node] : view_.nodes().all()) heard_[id] = now;
  gathered_ = now + options_.beat * gather_beats;
  expire_due_ = now;
  followers_.open(now, core_.term(), false);
  pool_.open(now);
  bursar_.open(now, state_.accounts());
  // The first change of the term: it moves this member's own position to it.
  followers_.add(now, {});
}

void Office::close_office(Time now) {
  followers_.close();
  bursar_.close();
  finish_proposal(now);
  finish_spreading(now);
}

void Office::advance(Time now) {
  list_changes_ += view_.take_touched().size();
  bool leads = core_.role() == lagazuoi::Core::Role::leader;
  if (in_office() && (!leads || core_.term() != view_.at().term)) close_office(now);
  if (!in_office() && core_.may_speak(now)) open_office(now);
  finish_proposal(now);
  if (in_office() && core_.may_speak(now)) {
    tell_configuration(now);
    tell_members();
    expire(now);
  }
  keep_allowance(now);
  finish_spreading(now);
  for (std::size_t left = waiting_.size(); left > 0; --left) {
    Request request = std::move(waiting_.front());
    waiting_.pop_front();
    if (settle(now, request)) continue;
    if (now >= request.until)
      reply_fault(request, 503, "nobody leads here");
    else
      waiting_.push_back(std::move(request));
  }
  look_after_passed(now);
}

Time Office::due() const {
  Time due = Time::max();
  if (in_office()) due = std::min({due, followers_.due(), expire_due_, bursar_.due(state_.allowances())});
  if (!waiting_.empty()) due = std::min(due, waiting_.front().until);
  if (!spreading_.empty()) due = std::min(due, spreading_.front().until);
  if (!passed_.empty()) due = std::min(due, passed_.begin()->second.until);
  return due;
}

std::vector<ToLink> Office::take_news(Time now) {
  std::vector<ToLink> out = std::exchange(to_links_, {});
  if (core_.may_speak(now))
    for (ToLink& news : followers_.take_out(now)) out.push_back(std::move(news));
  return out;
}

// Edges' questions go into the log, and are answered when they are in force.
void Office::keep_allowance(Time now) {
  bursar_.watch(now, state_.accounts());
  if (!in_office()) return;
  const averau::Allowances* rules = state_.allowances();
  if (core_.may_speak(now))
    if (auto entry = bursar_.entry(now, state_.accounts(), rules))
      bursar_.proposed(core_.propose(now, State::allowance(*entry)));
  for (auto& [link, tell] : bursar_.tells(now, core_.applied(), state_.accounts(), rules))
    to_links_.push_back({link, fanes::pack(std::move(tell))});
}

// Only a leader hands out, and only for services that the configuration names.
void Office::grant(Time now, LinkId link, const fanes::Want& want) {
  if (!in_office() || !core_.may_speak(now) || !view_.configuration()) return;
  fanes::Grant grant;
  grant.number = want.number;
  for (const fanes::Tokens& each : want.tokens) {
    const auto& depots = view_.configuration()->depots;
    if (std::none_of(depots.begin(), depots.end(),
                     [&](const auto& depot) { return depot.name == each.depot; }))
      continue;
    if (std::uint32_t count = pool_.grant(now, each.depot, each.count))
      grant.tokens.push_back({each.depot, count});
  }
  to_links_.push_back({link, fanes::pack(std::move(grant))});
}

// Ours as a follower of the member at the other end of the link.
void Office::follow(LinkId link, vazzoler::View::Taken taken) {
  if (taken == vazzoler::View::Taken::behind)
    to_links_.push_back({link, fanes::pack(hello())});
  else if (taken == vazzoler::View::Taken::news)
    to_links_.push_back({link, fanes::pack(fanes::Ack{options_.life, view_.at(), view_.edition()})});
}

void Office::message(Time now, LinkId link, const fanes::Message& message) {
  if (const auto* agreement = std::get_if<lagazuoi::Message>(&message)) {
    core_.step(now, *agreement);
  } else if (const auto* hello = std::get_if<fanes::Hello>(&message)) {
    followers_.on_hello(now, link, *hello);
    to_links_.push_back({link, fanes::pack(fanes::Welcome{core_.term(), in_office(), core_.addresses()})});
    // Who knows nothing at all gets what is applied here, in case nobody leads: at the position before all
    // others.
    if (!in_office() && hello->kind == fanes::FollowerKind::edge && hello->have == fanes::Position{} &&
        hello->edition == 0 && state_.current())
      to_links_.push_back({link, followers_.provisional(now, state_.current())});
  } else if (const auto* ack = std::get_if<fanes::Ack>(&message)) {
    followers_.on_ack(now, link, *ack);
  } else if (std::get_if<fanes::Farewell>(&message)) {
    followers_.on_farewell(link);
  } else if (const auto* want = std::get_if<fanes::Want>(&message)) {
    grant(now, link, *want);
  } else if (const auto* ask = std::get_if<pramperet::Ask>(&message)) {
    bursar_.ask(now, link, *ask);
  } else if (const auto* call = std::get_if<fanes::Call>(&message)) {
    Request request;
    request.from = call->from;
    request.number = call->number;
    request.method = call->method;
    request.path = call->path;
    request.if_match = call->if_match;
    request.body = call->body;
    take_in(now, std::move(request));
  } else if (const auto* answer = std::get_if<fanes::CallAnswer>(&message)) {
    auto found = passed_.find(answer->number);
    if (found == passed_.end()) return;
    reply(found->second.request, static_cast<int>(answer->status), answer->body, false);
    passed_.erase(found);
  } else if (in_office()) {
    return;  // news of somebody who took itself for the leader
  } else if (const auto* standing = std::get_if<fanes::Standing>(&message)) {
    follow(link, view_.apply(now, *standing));
  } else if (const auto* changes = std::get_if<fanes::Changes>(&message)) {
    follow(link, view_.apply(now, *changes));
  } else if (const auto* ping = std::get_if<fanes::Ping>(&message)) {
    follow(link, view_.apply(*ping));
  }
}

}  // namespace pearspar::sennes
