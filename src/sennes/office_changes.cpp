// Changes of the configuration: checked, proposed, answered when they are applied, told to all.
//
// What each answer promises: 200 and 412 for ever. 412 is said only where the revision that it builds on is
// below the one that stands, or another has its number: revisions rise, so no copy of it can follow any more,
// wherever it is under way. One that builds on an revision above waits for it, since that may still come.
#include <charconv>

#include "invariants/invariants.h"
#include "sennes/office.h"

namespace pearspar::sennes {

bool Office::read_order(Request& request) {
  if (request.order) return true;
  Order order;
  order.digest = digest_of(request.body);
  catalog::Fault fault;
  auto read = state_.check(request.body, fault);
  order.revision = read ? read->revision : catalog::revision_of(request.body);
  // Also where this program would not take it: another has.
  if (state_.took(order.revision, order.digest)) {
    reply(request, 200, "{}", false);
    return false;
  }
  auto refuse = [&](const std::string& why) {
    reply_fault(request, 400, why);
    return false;
  };
  if (!read) return refuse(fault.text());
  std::string_view match = request.if_match;
  if (match.size() >= 2 && match.front() == '"' && match.back() == '"')
    match = match.substr(1, match.size() - 2);
  auto [stop, error] = std::from_chars(match.data(), match.data() + match.size(), order.base);
  if (match.empty() || error != std::errc() || stop != match.data() + match.size())
    return refuse("If-Match is no edition");
  request.order = order;
  return true;
}

bool Office::settle_change(Time now, Request& request) {
  if (!read_order(request)) return true;
  const Order& order = *request.order;
  Taken::Word word = state_.taken().word(order.revision, order.digest);
  if (word == Taken::Word::taken) {
    reply(request, 200, "{}", false);  // a majority has it on disk, whoever leads now
    return true;
  }
  if (word == Taken::Word::forgotten) {
    reply_fault(request, 503, "older than all that is remembered: it may have been taken");
    return true;
  }
  if (order.base < state_.revision()) {
    reply_fault(request, 412, "edition " + std::to_string(state_.revision()) + " is in place");
    return true;
  }
  if (order.revision <= order.base) {
    reply_fault(request, 400, "edition: does not rise");
    return true;
  }
  if (proposal_) {
    if (order.digest != proposal_->digest) return false;
    request.drop_body();
    proposal_->callers.push_back(std::move(request));
    return true;
  }
  if (order.base > state_.revision()) return false;
  propose(now, request);
  return true;
}

void Office::propose(Time now, Request& request) {
  Proposal proposal;
  proposal.revision = request.order->revision;
  proposal.digest = request.order->digest;
  proposal.term = core_.term();
  auto index = core_.propose(
      now, State::change(request.order->base, proposal.revision, proposal.digest, request.body));
  if (!index) return reply_fault(request, 503, "the change could not be written here");
  proposal.index = *index;
  request.drop_body();
  proposal.callers.push_back(std::move(request));
  proposal_ = std::move(proposal);
  finish_proposal(now);
}

void Office::finish_proposal(Time now) {
  if (!proposal_) return;
  bool lost = core_.role() != raft::Core::Role::leader || core_.term() != proposal_->term;
  bool applied = core_.applied() >= proposal_->index;
  if (!lost && !applied) return;
  Proposal done = std::move(*proposal_);
  proposal_.reset();
  // Where the term ended before it was applied nobody knows yet whether it will be in force: no clear answer.
  bool taken = !lost && state_.took(done.revision, done.digest);
  invariants::check(invariants::Promise::acknowledged_is_applied,
                    !taken || state_.revision() >= done.revision, "an order");
  for (const Request& request : done.callers)
    if (taken)
      reply(request, 200, "{}", false);  // a majority has it on disk, whoever leads now
    else
      reply_fault(request, 503, "the leader changed meanwhile");
  if (taken) tell_configuration(now);
}

void Office::tell_configuration(Time now) {
  if (!in_office() || !state_.current() || state_.revision() <= view_.revision()) return;
  followers_.add_configuration(now, state_.current());
}

}  // namespace pearspar::sennes
