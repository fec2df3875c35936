#include "simulation/explore_parts.h"

#include <algorithm>
#include <cstdlib>
#include <iterator>
#include <utility>

namespace pearspar::simulation {
namespace {

using raft::Duration;

constexpr std::pair<const char*, int ExploreOptions::*> counts[] = {
    {"newcomers", &ExploreOptions::newcomers},
    {"timeouts", &ExploreOptions::timeouts},
    {"beats", &ExploreOptions::beats},
    {"lapses", &ExploreOptions::lapses},
    {"changes", &ExploreOptions::changes},
    {"doubles", &ExploreOptions::doubles},
    {"crashes", &ExploreOptions::crashes},
    {"power", &ExploreOptions::power},
    {"refusals", &ExploreOptions::refusals},
    {"wipes", &ExploreOptions::wipes},
    {"put_back", &ExploreOptions::put_back},
    {"copies", &ExploreOptions::copies},
    {"hand_overs", &ExploreOptions::hand_overs},
    {"leaves", &ExploreOptions::leaves},
    {"ends", &ExploreOptions::ends},
    {"passes", &ExploreOptions::passes},
    {"members", &ExploreOptions::members},
    {"timeouts_of", &ExploreOptions::timeouts_of},
    {"beats_of", &ExploreOptions::beats_of},
    {"lapses_of", &ExploreOptions::lapses_of},
    {"changes_of", &ExploreOptions::changes_of},
    {"doubles_of", &ExploreOptions::doubles_of},
    {"crashes_of", &ExploreOptions::crashes_of},
    {"wipes_of", &ExploreOptions::wipes_of},
    {"leaves_of", &ExploreOptions::leaves_of},
    {"ends_of", &ExploreOptions::ends_of},
};
constexpr std::pair<const char*, bool ExploreOptions::*> flags[] = {
    {"all_joins", &ExploreOptions::all_joins},
    {"settled", &ExploreOptions::settled},
    {"notes", &ExploreOptions::notes},
};
constexpr std::pair<const char*, std::size_t ExploreOptions::*> sizes[] = {
    {"in_flight", &ExploreOptions::in_flight},
    {"fold_entries", &ExploreOptions::snapshot_after_entries},
    {"append_bytes", &ExploreOptions::append_bytes},
    {"piece_bytes", &ExploreOptions::piece_bytes},
    {"heal_every", &ExploreOptions::heal_every},
};
constexpr std::pair<const char*, Mutant> mutants[] = {
    {"forgetful", Mutant::forgetful},
    {"votes_unsaved", Mutant::votes_unsaved},
    {"entries_unsaved", Mutant::entries_unsaved},
    {"half", Mutant::half},
    {"blind_votes", Mutant::blind_votes},
    {"old_terms", Mutant::old_terms},
    {"promise_forgotten", Mutant::promise_forgotten},
    {"long_lease", Mutant::long_lease},
    {"late_lease", Mutant::late_lease},
    {"lost_membership", Mutant::lost_membership},
    {"one_entry", Mutant::one_entry},
    {"shared_ids", Mutant::shared_ids},
    {"early_install", Mutant::early_install},
    {"mixed_pieces", Mutant::mixed_pieces},
    {"mixed_unchecked", Mutant::mixed_unchecked},
    {"older_commits", Mutant::older_commits},
    {"two_changes", Mutant::two_changes},
    {"early_membership", Mutant::early_membership},
    {"outsider_stands", Mutant::outsider_stands},
    {"outsider_votes", Mutant::outsider_votes},
};

ExploreOptions with(const std::string& bounds) {
  ExploreOptions options;
  options.timeouts = options.changes = 0;
  options.in_flight = 2;
  for (std::size_t at = 0; at < bounds.size();) {
    std::size_t end = std::min(bounds.find(' ', at), bounds.size());
    if (!set_bound(options, bounds.substr(at, end - at))) std::abort();  // a part that names no bound
    at = end + 1;
  }
  return options;
}

// The same behind what the opening tells.
ExploreOptions behind(std::string opening, const std::string& bounds) {
  ExploreOptions options = with(bounds);
  options.settled = true;
  options.opening = std::move(opening);
  return options;
}

// Clocks that go 5 percent apart, the first leader's the slowest; five steps of time are two heartbeats and a
// half, a lease ends after three of them and a silence after four.
ExploreOptions timed(const std::string& bounds) {
  ExploreOptions options = with(bounds);
  const double step = 1.25;
  options.timed = options.lease = options.settled = true;
  options.timing.heartbeat = Duration(2 * step);
  options.timing.min_election_timeout = options.timing.max_election_timeout = Duration(4 * step);
  options.timing.lease = Duration(3 * step);
  options.timing.join_interval = Duration(4 * step);
  options.timing.silent_voter_timeout = Duration(6 * step);
  options.grain = step;
  options.rates = {step * 0.95, step * 1.05, step * 1.05};
  return options;
}

ExploreOptions behind_timed(std::string opening, const std::string& bounds) {
  ExploreOptions options = timed(bounds);
  options.opening = std::move(opening);
  return options;
}

// Ten bytes of state in pieces of four: three of them, to a newcomer.
const char* const folded =
    "propose0 propose0 propose0 propose0 propose0 propose0 propose0 propose0 propose0 beat0";

// One piece of the first leader's has come; the second has folded more.
const std::string mixed = std::string(folded) +
                          " appear3: lost1: lost2: to0: to3: lost0: propose0:012 propose0:012 beat0:012"
                          " propose0:012 propose0:012 beat0:012 lapse2 timeout1:12";

}  // namespace

bool set_bound(ExploreOptions& options, const std::string& bound) {
  std::size_t equals = bound.find('=');
  std::string name = bound.substr(0, equals);
  int value = equals == std::string::npos ? 1 : std::atoi(bound.c_str() + equals + 1);
  for (const auto& [known, at] : counts)
    if (name == known) return options.*at = value, true;
  for (const auto& [known, at] : flags)
    if (name == known) return options.*at = value != 0, true;
  for (const auto& [known, at] : sizes)
    if (name == known) return options.*at = static_cast<std::size_t>(value), true;
  return false;
}

std::string bounds_of(const ExploreOptions& options) {
  std::string out;
  for (const auto& [name, at] : counts)
    if (at == &ExploreOptions::members ? options.*at != 3 : options.*at > 0)
      out += std::string(name) + "=" + std::to_string(options.*at) + " ";
  for (const auto& [name, at] : flags)
    if (options.*at) out += std::string(name) + " ";
  for (const auto& [name, at] : sizes) {
    if (options.*at == ExploreOptions().*at) continue;
    out += std::string(name) + "=" + std::to_string(options.*at) + " ";
  }
  if (!options.opening.empty()) out += "behind \"" + options.opening + "\" ";
  if (!out.empty()) out.pop_back();
  return out;
}

bool mutant_of(const std::string& name, Mutant& mutant) {
  for (const auto& [known, at] : mutants)
    if (name == known) return mutant = at, true;
  return false;
}

std::vector<ExplorePart> explore_parts() {
  std::vector<ExplorePart> parts;
  auto add = [&](std::string name, std::string about, ExploreOptions options) {
    options.heal_every = 997;
    parts.push_back({std::move(name), std::move(about), std::move(options), false});
  };
  add("elections", "three time-outs from the first start, every order and loss",
      with("timeouts=3 changes=1"));
  add("messages", "a message that arrives twice", with("timeouts=2 changes=1 doubles=1"));
  add("rounds", "a leader's rounds, two changes, another leader",
      with("timeouts=2 beats=1 changes=2 settled"));
  add("crashes", "members that end and start again",
      with("timeouts=2 lapses=1 changes=1 crashes=2 notes settled"));
  add("power", "power lost between two writes of a step, and a full disk",
      with("timeouts=2 lapses=1 changes=1 power=1 refusals=1 settled"));
  add("wipe", "a lost disk; the member is taken in under a new id",
      with("timeouts=1 beats=1 lapses=2 changes=1 wipes=1 settled"));
  add("returned disk", "the lost disk comes back after its successor was taken in",
      with("timeouts=1 beats=1 lapses=3 wipes=1 put_back=1 settled"));
  add("leaving", "a newcomer is taken in, and a member is asked to end",
      with("beats=2 newcomers=1 leaves=1 settled"));
  add("let go", "who was let go is slow to end, and another is lost",
      behind("appear3 beat0 beat0",
             "newcomers=1 leaves=1 leaves_of=2 timeouts=1 timeouts_of=2 beats=3 beats_of=1 ends=1 ends_of=4 "
             "in_flight=3"));
  add("suspicion", "a newcomer stands, and who is only silent leaves the count",
      with("beats=4 newcomers=1 in_flight=3 settled all_joins"));
  add("hand-over", "a leader wishes to go", with("timeouts=1 changes=1 hand_overs=1 lapses=1 settled"));
  add("snapshot", "a log that is folded every two entries, and members that lack what was folded",
      with("timeouts=1 beats=1 changes=2 crashes=1 fold_entries=2 settled"));
  add("snapshot, wipe", "the same with a lost disk",
      with("timeouts=1 beats=1 lapses=1 changes=2 wipes=1 fold_entries=2 settled"));
  add("pieces", "a snapshot in three pieces beside new entries, and members that end",
      behind(folded, "beats=2 changes=1 crashes=1 newcomers=1 fold_entries=2 piece_bytes=4"));
  add("pieces, doubled", "a piece, or its answer, that comes twice or not at all",
      behind(folded, "beats=2 changes=1 doubles=1 doubles_of=9 newcomers=1 fold_entries=2 piece_bytes=4"));
  add("pieces, leaders", "another leader goes on with a snapshot of its own",
      behind(folded,
             "timeouts=2 timeouts_of=10 lapses=1 lapses_of=4 newcomers=1 "
             "fold_entries=2 piece_bytes=4"));
  add("pieces, power", "power lost as it is written, or a full disk",
      behind(folded, "beats=1 changes=1 power=1 refusals=1 newcomers=1 fold_entries=2 piece_bytes=4"));
  add("five, replaced", "two of five lose their disks, one after the other",
      behind(
          "wipe4 timeout4",
          "members=5 beats=4 beats_of=1 timeouts=2 timeouts_of=8 changes=1 wipes=1 wipes_of=8 in_flight=3"));
  add("five, lost", "six stand; one is lost, then another, and one is asked to end",
      behind("appear5 beat0 beat0 end2",
             "members=5 newcomers=1 beats=4 beats_of=1 changes=1 ends=1 ends_of=8 leaves=1 leaves_of=2 "
             "timeouts=1 timeouts_of=2 in_flight=3"));
  add("lease", "clocks 5 percent apart, the leader's the slowest", timed("passes=5 changes=1"));
  ExploreOptions fast = timed("passes=5 changes=1");
  std::swap(fast.rates.front(), fast.rates.back());
  add("lease, fast", "the same, the leader's among the fastest", fast);
  add("lease, rounds", "an answer that comes rounds later",
      behind_timed("pass0 pass0 pass0 tick0: lost2: to1:", "passes=5"));
  // A guard that is out and not missed: others stand before it.
  ExploreOptions behind_others = with("timeouts=2 lapses=2 wipes=1 changes=1 settled");
  behind_others.mutant = Mutant::outsider_votes;
  add("outsider_votes", "guard out: a vote from outside counts", behind_others);
  behind_others =
      behind(mixed, "timeouts=2 timeouts_of=8 beats=1 beats_of=2 newcomers=1 fold_entries=2 piece_bytes=4");
  behind_others.mutant = Mutant::mixed_pieces;
  add("mixed_pieces", "guard out: what came of another transfer is kept", behind_others);
  add("lease, crash", "a member that starts again keeps what it promised", timed("passes=5 crashes=1"));
  add("lease, hand-over", "a leader wishes to go", timed("passes=4 hand_overs=1"));
  return parts;
}

std::vector<ExplorePart> explore_mutants() {
  std::vector<ExplorePart> parts;
  auto add = [&](Mutant mutant, std::string about, ExploreOptions options) {
    const auto* named = std::find_if(std::begin(mutants), std::end(mutants),
                                     [&](const auto& each) { return each.second == mutant; });
    options.mutant = mutant;
    if (mutant == Mutant::long_lease) {
      options.timing.lease = options.timing.min_election_timeout;
      options.timing.drift = -1;  // a member that looks at this would not start
    }
    parts.push_back({named->first, std::move(about), std::move(options), true});
  };
  add(Mutant::forgetful, "a lost disk comes back under the old id", with("timeouts=2 wipes=1 lapses=1"));
  add(Mutant::votes_unsaved, "a vote is told before it is on disk", with("timeouts=2 crashes=1 lapses=1"));
  add(Mutant::entries_unsaved, "an entry is acknowledged before it is on disk",
      with("timeouts=2 crashes=1 lapses=1 changes=1 settled"));
  add(Mutant::half, "one vote fewer than a majority elects", with("timeouts=2"));
  add(Mutant::blind_votes, "votes for who lacks entries", with("timeouts=1 lapses=2 changes=1 settled"));
  add(Mutant::old_terms, "entries of an older term's leader are taken",
      with("timeouts=2 lapses=1 changes=1 in_flight=3 settled"));
  add(Mutant::long_lease, "a lease as long as the silence after which others stand", timed("passes=8"));
  add(Mutant::one_entry, "a new id takes the place of an old one by one entry",
      with("timeouts=1 beats=1 lapses=3 wipes=1 settled"));
  add(Mutant::early_install, "a snapshot is installed on its first piece",
      behind(folded, "beats=2 changes=1 newcomers=1 fold_entries=2 piece_bytes=4"));
  add(Mutant::mixed_unchecked, "what came of another transfer is kept, and the whole is not looked at",
      behind(mixed, "timeouts=2 timeouts_of=8 beats=1 beats_of=2 newcomers=1 fold_entries=2 piece_bytes=4"));
  // A leader that was elected and has told nobody yet; the one before it has an entry on its disk alone.
  add(Mutant::older_commits, "entries of older terms are committed by who holds them",
      behind("propose0:0 crash0 lapse2 timeout1: lost0: to2: to1: lost0: to2: to1: lost0:",
             "timeouts=4 timeouts_of=3 lapses=1 lapses_of=4 append_bytes=1 in_flight=3"));
  // Five are to stand; the fifth alone has heard of it.
  const std::string five = "appear3 beat0 beat0 appear4:04";
  add(Mutant::two_changes, "a second change of members before the first is committed",
      behind(five + " leave1 timeout1:04 leave2 timeout2:04",
             "newcomers=2 timeouts=2 timeouts_of=10 lapses=2 lapses_of=12 in_flight=3"));
  add(Mutant::early_membership, "a change of members before an entry of the own term is committed",
      behind(five + " lapse2 lapse3 timeout1: lost0: to2: to3: to1: to1: lost0: to2: to3: to1: to1: lost0:"
                    " lost3: leave0: lost4: lapse0: crash0: to1: lost3: lost4: to2: to1:",
             "newcomers=2 timeouts=2 timeouts_of=1 lapses=1 lapses_of=16 in_flight=4"));
  add(Mutant::outsider_stands, "who is out of the membership that it knows stands",
      behind("appear3 beat0 leave1 timeout1 beat0",
             "newcomers=1 timeouts=1 timeouts_of=2 lapses=1 changes=1 in_flight=2"));
  add(Mutant::promise_forgotten, "votes are given at once after a start",
      behind_timed("pass0 pass0 pass0 tick0:01 pass0", "crashes=1 passes=1"));
  add(Mutant::late_lease, "a lease is counted from a later round than the one that was answered",
      behind_timed("pass0 pass0 pass0 tick0: lost2: to1:", "passes=5"));
  add(Mutant::shared_ids, "a disk restored from a copy: its id has forgotten its votes",
      with("timeouts=2 lapses=1 copies=1 put_back=1"));
  return parts;
}

}  // namespace pearspar::simulation
