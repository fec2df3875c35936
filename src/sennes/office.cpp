#include "sennes/office.h"

#include <algorithm>
#include <charconv>

#include "sennes/report.h"

namespace pearspar::sennes {
namespace {

using namespace std::chrono_literals;
using averau::quoted;

constexpr Duration hold_for = 700ms;    // a call, until somebody leads: callers move on after a second
constexpr Duration pass_for = 900ms;    // a call passed on, until its answer comes
constexpr Duration spread_for = 500ms;  // a node's leaving, until all that are in touch have it
constexpr double gather_beats = 2.5;    // after an election, before the list of nodes counts as whole
constexpr double silent_beats = 5;      // without one of its beats a node is lost
constexpr Duration expire_every = 300ms;
constexpr std::size_t most_waiting = 1024;
constexpr std::string_view nodes_path = "/pearspar/nodes/";
constexpr std::string_view config_path = "/pearspar/config";
constexpr std::string_view status_path = "/pearspar/status";
constexpr std::string_view list_path = "/pearspar/nodes";
constexpr std::string_view history_path = "/pearspar/history";
constexpr std::string_view snapshot_path = "/pearspar/snapshot";

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
  } else if (path == list_path || path == history_path || path == snapshot_path) {
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
  passed_[number] = {std::move(request), now + pass_for};
}

void Office::settle_change(Time now, Request& request) {
  averau::Fault fault;
  auto read = averau::read_configuration(request.body, fault);
  if (!read) return reply_fault(request, 400, fault.text());
  Digest digest = digest_of(request.body);
  if (state_.took(read->edition, digest)) return reply(request, 200, "{}");
  averau::Edition on_top_of = 0;
  std::string_view match = request.if_match;
  if (match.size() >= 2 && match.front() == '"' && match.back() == '"')
    match = match.substr(1, match.size() - 2);
  auto [stop, error] = std::from_chars(match.data(), match.data() + match.size(), on_top_of);
  if (match.empty() || error != std::errc() || stop != match.data() + match.size())
    return reply_fault(request, 400, "If-Match is no edition");
  if (on_top_of != state_.edition())
    return reply_fault(request, 412, "edition " + std::to_string(state_.edition()) + " is in place");
  if (read->edition <= state_.edition()) return reply_fault(request, 400, "edition: does not rise");
  Proposal proposal;
  proposal.edition = read->edition;
  proposal.digest = digest;
  proposal.term = core_.term();
  auto index = core_.propose(now, State::change(on_top_of, request.body));
  if (!index) return reply_fault(request, 503, "the change could not be written here");
  proposal.index = *index;
  proposal.request = std::move(request);
  proposal_ = std::move(proposal);
  finish_proposal(now);
}

void Office::finish_proposal(Time now) {
  if (!proposal_) return;
  bool lost = core_.role() != lagazuoi::Core::Role::leader || core_.term() != proposal_->term;
  bool applied = core_.applied() >= proposal_->index;
  if (!lost && !applied) return;
  Proposal done = std::move(*proposal_);
  proposal_.reset();
  std::vector<Proposal> same = std::exchange(same_, {});
  // Where the term ended before it was applied nobody knows yet whether it will be in force: no clear answer.
  bool taken = !lost && state_.took(done.edition, done.digest);
  auto answer = [&](const Request& request) {
    if (taken)
      reply(request, 200, "{}", false);  // a majority has it on disk, whoever leads now
    else
      reply_fault(request, 503, "the leader changed meanwhile");
  };
  answer(done.request);
  for (const Proposal& each : same) answer(each.request);
  if (taken) tell_configuration(now);
}

void Office::settle_beat(Time now, Request& request) {
  averau::Fault fault;
  auto node =
      averau::read_beat(std::string_view(request.path).substr(nodes_path.size()), request.body, now, fault);
  if (!node) return reply_fault(request, 400, fault.text());
  std::string told = "{\"beatAddress\":" + quoted(options_.control_address) + "}";
  const averau::Node* known = view_.nodes().find(node->id);
  if (view_.nodes().is_gone(node->id)) return reply(request, 200, std::move(told));
  heard_[node->id] = now;
  bool closing = node->closing;
  if (!known || (node->call >= known->call && !known->says_the_same(*node))) {
    fanes::Change change;
    change.kind = fanes::ChangeKind::node;
    change.news.node = *node;
    change.news.cold_ms = cold_ms(now, *node);
    followers_.add(now, std::move(change));
  } else {
    view_.nodes().put(*node);
  }
  if (!closing) return reply(request, 200, std::move(told));
  spreading_.push_back({std::move(request), view_.at(), now + spread_for});
}

void Office::settle_leave(Time now, Request& request) {
  std::string id = request.path.substr(nodes_path.size());
  heard_.erase(id);
  if (!view_.nodes().is_gone(id)) {
    fanes::Change change;
    change.kind = fanes::ChangeKind::gone;
    change.text = id;
    followers_.add(now, std::move(change));
  }
  spreading_.push_back({std::move(request), view_.at(), now + spread_for});
}

// Said only when it has reached all that hold a lease, or those that it has not reached had their time.
void Office::finish_spreading(Time now) {
  while (!spreading_.empty()) {
    Spreading& first = spreading_.front();
    bool in_office_still = core_.may_speak(now) && first.at.term == core_.term();
    if (in_office_still && now < first.until && !followers_.acknowledged(now, first.at)) return;
    if (in_office_still)
      reply(first.request, 200,
            first.request.method == "PUT" ? "{\"beatAddress\":" + quoted(options_.control_address) + "}"
                                          : "{}");
    else
      reply_fault(first.request, 503, "the leader changed meanwhile");
    spreading_.pop_front();
  }
}

void Office::tell_configuration(Time now) {
  if (!in_office() || state_.edition() <= view_.edition()) return;
  followers_.add_configuration(now, state_.current());
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
  // The first change of the term: it moves this member's own position to it.
  followers_.add(now, {});
}

void Office::close_office(Time now) {
  followers_.close();
  finish_proposal(now);
  finish_spreading(now);
}

void Office::expire(Time now) {
  if (now < expire_due_) return;
  expire_due_ = now + expire_every;
  if (now < gathered_) return;
  Duration silent = options_.beat * silent_beats;
  std::vector<std::string> lost;
  for (const auto& [id, heard] : heard_)
    if (now - heard > silent) lost.push_back(id);
  for (const std::string& id : lost) {
    heard_.erase(id);
    if (!view_.nodes().find(id)) continue;
    fanes::Change change;
    change.kind = fanes::ChangeKind::lost;
    change.text = id;
    followers_.add(now, std::move(change));
  }
  followers_.complete(now);
}

std::string Office::note(Time now) const {
  fanes::Standing standing;
  standing.complete = false;
  followers_.list(now, standing);
  return fanes::pack(std::move(standing));
}

// After a restart: it may be old, but nobody may know better yet.
void Office::recall(Time now, const std::string& note) {
  view_.take(state_.current());
  auto message = fanes::unpack(note);
  if (message)
    if (const auto* standing = std::get_if<fanes::Standing>(&*message)) view_.apply(now, *standing);
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
  for (auto it = passed_.begin(); it != passed_.end();) {
    if (now < it->second.until) {
      ++it;
      continue;
    }
    reply_fault(it->second.request, 503, "the leader did not answer");
    it = passed_.erase(it);
  }
}

Time Office::due() const {
  Time due = Time::max();
  if (in_office()) due = std::min({due, followers_.due(), expire_due_});
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
