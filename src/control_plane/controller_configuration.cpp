// Changes of the configuration: checked, proposed, answered when they are applied, told to all.
//
// What each answer promises: 200 and 412 for ever. 412 is said only where the edition that it builds on is
// below the one that stands, or another has its number: editions rise, so no copy of it can follow any more,
// wherever it is under way. One that builds on an edition above waits for it, since that may still come.
#include <charconv>

#include "control_plane/controller.h"
#include "invariants/invariants.h"

namespace pearspar::control_plane {

bool Controller::parse_change(Request& request) {
  if (request.change) return true;
  ConfigurationChange change;
  change.digest = digest_of(request.body);
  averau::Fault fault;
  auto read = state_.check(request.body, fault);
  change.edition = read ? read->edition : averau::edition_of(request.body);
  // Also where this program would not take it: another has.
  if (state_.has_applied(change.edition, change.digest)) {
    reply(request, 200, "{}", false);
    return false;
  }
  auto refuse = [&](const std::string& why) {
    reply_error(request, 400, why);
    return false;
  };
  if (!read) return refuse(fault.text());
  std::string_view match = request.if_match;
  if (match.size() >= 2 && match.front() == '"' && match.back() == '"')
    match = match.substr(1, match.size() - 2);
  auto [stop, error] = std::from_chars(match.data(), match.data() + match.size(), change.base);
  if (match.empty() || error != std::errc() || stop != match.data() + match.size())
    return refuse("If-Match is no edition");
  request.change = change;
  return true;
}

bool Controller::handle_change(Time now, Request& request) {
  if (!parse_change(request)) return true;
  const ConfigurationChange& change = *request.change;
  ChangeHistory::Status word = state_.history().status(change.edition, change.digest);
  if (word == ChangeHistory::Status::applied) {
    reply(request, 200, "{}", false);  // a majority has it on disk, whoever leads now
    return true;
  }
  if (word == ChangeHistory::Status::forgotten) {
    reply_error(request, 503, "older than all that is remembered: it may have been taken");
    return true;
  }
  if (change.base < state_.edition()) {
    reply_error(request, 412, "edition " + std::to_string(state_.edition()) + " is in place");
    return true;
  }
  if (change.edition <= change.base) {
    reply_error(request, 400, "edition: does not rise");
    return true;
  }
  if (proposal_) {
    if (change.digest != proposal_->digest) return false;
    request.release_body();
    proposal_->callers.push_back(std::move(request));
    return true;
  }
  if (change.base > state_.edition()) return false;
  propose(now, request);
  return true;
}

void Controller::propose(Time now, Request& request) {
  Proposal proposal;
  proposal.edition = request.change->edition;
  proposal.digest = request.change->digest;
  proposal.term = core_.term();
  auto index = core_.propose(now, ReplicatedState::encode_change(request.change->base, proposal.edition,
                                                                 proposal.digest, request.body));
  if (!index) return reply_error(request, 503, "the change could not be written here");
  proposal.index = *index;
  request.release_body();
  proposal.callers.push_back(std::move(request));
  proposal_ = std::move(proposal);
  finish_proposal(now);
}

void Controller::finish_proposal(Time now) {
  if (!proposal_) return;
  bool lost = core_.role() != raft::Core::Role::leader || core_.term() != proposal_->term;
  bool applied = core_.applied() >= proposal_->index;
  if (!lost && !applied) return;
  Proposal done = std::move(*proposal_);
  proposal_.reset();
  // Where the term ended before it was applied nobody knows yet whether it will be in force: no clear answer.
  bool taken = !lost && state_.has_applied(done.edition, done.digest);
  invariants::check(invariants::Promise::acknowledged_is_applied, !taken || state_.edition() >= done.edition,
                    "an order");
  for (const Request& request : done.callers)
    if (taken)
      reply(request, 200, "{}", false);  // a majority has it on disk, whoever leads now
    else
      reply_error(request, 503, "the leader changed meanwhile");
  if (taken) publish_configuration(now);
}

void Controller::publish_configuration(Time now) {
  if (!is_active() || !state_.configuration() || state_.edition() <= view_.edition()) return;
  followers_.add_configuration(now, state_.configuration());
}

}  // namespace pearspar::control_plane
