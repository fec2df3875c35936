// Changes of the configuration: checked, proposed, answered when they are applied, told to all.
#include <charconv>

#include "sennes/office.h"

namespace pearspar::sennes {

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

void Office::tell_configuration(Time now) {
  if (!in_office() || state_.edition() <= view_.edition()) return;
  followers_.add_configuration(now, state_.current());
}

}  // namespace pearspar::sennes
