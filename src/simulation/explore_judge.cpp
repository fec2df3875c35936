#include "simulation/explore_judge.h"

#include <algorithm>

namespace pearspar::simulation {

using namespace raft;

Glance::Glance(const Body& body) {
  if (!body.core) return;
  self = body.core->self();
  commit = body.core->commit();
  applied = body.core->applied();
  term = body.core->term();
  leads = body.core->role() == Core::Role::leader;
}

std::string Past::see_entry(const Entry& entry, Term in) {
  if (entry.index < first_) return {};
  std::size_t at = entry.index - first_;
  if (committed_.size() <= at) committed_.resize(at + 1);
  Kept& kept = committed_[at];
  if (!kept.known) {
    kept = {entry, true, in};
    if (entry.kind == EntryKind::change) ++changes_;
    if (entry.kind != EntryKind::membership) return {};
    ++memberships_;
    if (entry.index > membership_since_) {
      membership_since_ = entry.index;
      membership_ = entry.membership;
    }
    return {};
  }
  if (kept.entry == entry) return {};
  return "two entries committed at " + std::to_string(entry.index);
}

std::string Past::see_leader(const Core& core) {
  // Terms rise, so it is among the last.
  auto led = leaders_.end();
  while (led != leaders_.begin() && std::prev(led)->first > core.term()) --led;
  if (led == leaders_.begin() || std::prev(led)->first != core.term()) {
    leaders_.insert(led, {core.term(), core.self()});
    return {};
  }
  if (std::prev(led)->second == core.self()) return {};
  return "two leaders in term " + std::to_string(core.term());
}

// The machine is what was committed up to where it has applied.
std::string Past::see_machine(const Body& body) const {
  Index applied = body.core->applied();
  if (applied + 1 < first_) return {};
  std::string expected = machine_before_;
  for (Index i = first_; i <= applied; ++i) {
    std::size_t at = i - first_;
    if (at >= committed_.size() || !committed_[at].known) return {};
    if (committed_[at].entry.kind == EntryKind::change) expected += committed_[at].entry.data;
  }
  if (body.machine == expected) return {};
  return "the machine of " + address_of(body.index) + " is not what was committed";
}

std::string Past::see(const Glance& before, const Log* log_before, const Body& after, bool whole) {
  if (!after.core) return {};
  const Core& core = *after.core;
  const Log& log = core.log();
  bool same = before.self == core.self() && core.commit() >= before.commit;
  if (core.role() == Core::Role::leader && (whole || !before.leads || before.term != core.term()))
    if (std::string fault = see_leader(core); !fault.empty()) return fault;
  if (same && log_before && log_before->first() < log.first())
    for (Index i = log_before->first(); i <= std::min(log_before->last(), log.snapshot().index); ++i)
      if (i <= before.commit || (before.leads && before.term == core.term()))
        if (std::string fault = see_entry(log_before->at(i), core.term()); !fault.empty()) return fault;
  Index from = std::max(first_, log.first());
  if (same && !whole) from = std::max(from, before.commit + 1);
  for (Index i = from; i <= std::min(core.commit(), log.last()); ++i)
    if (std::string fault = see_entry(log.at(i), core.term()); !fault.empty()) return fault;
  if (same && !whole && core.applied() == before.applied) return {};
  Index folded = log.snapshot().index;
  if (folded >= first_ && folded - first_ < committed_.size()) {
    const Kept& kept = committed_[folded - first_];
    if (kept.known && kept.entry.term != log.snapshot().term)
      return "a snapshot of another entry at " + std::to_string(folded);
  }
  return see_machine(after);
}

std::string Past::judge_leader(const Body& body) const {
  if (!body.core || body.core->role() != Core::Role::leader) return {};
  const Log& log = body.core->log();
  Term term = body.core->term();
  for (const Kept& kept : committed_) {
    if (!kept.known || kept.in >= term || kept.entry.index <= log.snapshot().index) continue;
    if (kept.entry.index > log.last() || !(log.at(kept.entry.index) == kept.entry))
      return "the leader of term " + std::to_string(term) + " lacks the committed entry " +
             std::to_string(kept.entry.index);
  }
  return {};
}

std::string Past::judge_speakers(const std::vector<const Body*>& bodies) {
  const Body* speaks = nullptr;
  for (const Body* body : bodies) {
    if (!body->core || !body->core->holds_lease(body->now)) continue;
    if (speaks)
      return "two may speak at once: " + address_of(speaks->index) + " of term " +
             std::to_string(speaks->core->term()) + " and " + address_of(body->index) + " of term " +
             std::to_string(body->core->term());
    speaks = body;
  }
  if (!speaks) return {};
  if (speaks->machine.size() < acknowledged_)
    return address_of(speaks->index) + " may speak and lacks what was acknowledged";
  acknowledged_ = speaks->machine.size();
  return {};
}

std::string Past::describe() const {
  std::string out;
  auto put = [&](std::uint64_t value) { out += std::to_string(value) + ','; };
  for (const Kept& kept : committed_) {
    put(kept.known);
    put(kept.in);
    put(kept.entry.term);
    put(static_cast<std::uint64_t>(kept.entry.kind));
    out += kept.entry.data;
    put(kept.entry.membership.target_size);
    for (const Member& voter : kept.entry.membership.voters) put(voter.id);
  }
  out += '|';
  for (const auto& [term, id] : leaders_) put(term), put(id);
  put(acknowledged_);
  return out;
}

void Past::forget_up_to(Index index) {
  while (first_ <= index && !committed_.empty() && committed_.front().known) {
    const Entry& entry = committed_.front().entry;
    if (entry.kind == EntryKind::change) machine_before_ += entry.data;
    committed_.erase(committed_.begin());
    ++first_;
  }
}

}  // namespace pearspar::simulation
