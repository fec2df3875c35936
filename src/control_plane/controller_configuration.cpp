// Changes of the configuration: checked, proposed, answered when they are applied, published to all.
//
// The answers 200 and 412 are final. A change gets 412 only if the revision that it builds on is below the
// current one or its own revision is taken by another text: revisions rise, so no copy of it can be applied
// any more. A change that builds on a later revision waits, since that one may still arrive.
#include <charconv>

#include "control_plane/controller.h"
#include "invariants/invariants.h"

namespace pearspar::control_plane {

bool Controller::parse_change(Request& request) {
  if (request.change) return true;
  ConfigurationChange change;
  change.digest = digest_of(request.body);
  catalog::Fault fault;
  auto configuration = state_.check(request.body, fault);
  change.revision = configuration ? configuration->revision : catalog::revision_of(request.body);
  // Also where this program rejects the text: a member with another program version may have proposed it.
  if (state_.has_applied(change.revision, change.digest)) {
    reply(request, 200, "{}", false);
    return false;
  }
  auto reject = [&](const std::string& reason) {
    reply_error(request, 400, reason);
    return false;
  };
  if (!configuration) return reject(fault.text());
  std::string_view match = request.if_match;
  if (match.size() >= 2 && match.front() == '"' && match.back() == '"')
    match = match.substr(1, match.size() - 2);
  auto [stop, error] = std::from_chars(match.data(), match.data() + match.size(), change.base);
  if (match.empty() || error != std::errc() || stop != match.data() + match.size())
    return reject("If-Match is not an edition");
  request.change = change;
  return true;
}

bool Controller::handle_change(Time now, Request& request) {
  if (!parse_change(request)) return true;
  const ConfigurationChange& change = *request.change;
  ChangeHistory::Status status = state_.history().status(change.revision, change.digest);
  if (status == ChangeHistory::Status::applied) {
    reply(request, 200, "{}", false);  // final, whoever leads now
    return true;
  }
  if (status == ChangeHistory::Status::forgotten) {
    reply_error(request, 503, "older than the history: it may have been applied");
    return true;
  }
  if (change.base < state_.revision()) {
    reply_error(request, 412, "edition " + std::to_string(state_.revision()) + " is in place");
    return true;
  }
  if (change.revision <= change.base) {
    reply_error(request, 400, "edition: does not rise");
    return true;
  }
  if (proposal_) {
    if (change.digest != proposal_->digest) return false;
    request.release_body();
    proposal_->callers.push_back(std::move(request));
    return true;
  }
  if (change.base > state_.revision()) return false;
  propose(now, request);
  return true;
}

void Controller::propose(Time now, Request& request) {
  Proposal proposal;
  proposal.revision = request.change->revision;
  proposal.digest = request.change->digest;
  proposal.term = core_.term();
  auto index = core_.propose(now, ReplicatedState::encode_change(request.change->base, proposal.revision,
                                                                 proposal.digest, request.body));
  if (!index) return reply_error(request, 503, "the change could not be appended to the log");
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
  // If the term ended before the change was applied, its outcome is not known yet: no definite answer.
  bool succeeded = !lost && state_.has_applied(done.revision, done.digest);
  invariants::check(invariants::Invariant::acknowledged_is_applied,
                    !succeeded || state_.revision() >= done.revision, "configuration change");
  for (const Request& request : done.callers)
    if (succeeded)
      reply(request, 200, "{}", false);  // final, whoever leads now
    else
      reply_error(request, 503, "the leader changed meanwhile");
  if (succeeded) publish_configuration(now);
}

void Controller::publish_configuration(Time now) {
  if (!is_active() || !state_.configuration() || state_.revision() <= view_.revision()) return;
  followers_.add_configuration(now, state_.configuration());
}

}  // namespace pearspar::control_plane
