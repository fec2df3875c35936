#include "peers/member_status.h"

#include <algorithm>
#include <limits>

namespace pearspar::peers {

State MemberStatus::state() const {
  if (phase == Phase::left) return State::left;
  if (verdict == Verdict::gone) return State::gone;
  if (verdict == Verdict::suspect) return State::suspect;
  return phase == Phase::joining ? State::joining : phase == Phase::leaving ? State::leaving : State::alive;
}

MergeResult merge_status(const std::optional<MemberStatus>& held, const MemberStatus& heard) {
  MemberStatus next = heard;
  if (next.phase == Phase::left) next.verdict = Verdict::trusted;  // no verdict after an announced leave
  if (!held || heard.run > held->run) {
    const bool was_in_force = held && held->in_force();
    if (next.phase == Phase::left) return {next, was_in_force ? MergeEffect::left : MergeEffect::recorded};
    if (next.verdict == Verdict::gone) {
      // A member in force is removed only by our own suspicion timeout, not by report.
      if (!was_in_force) return {next, MergeEffect::recorded};
      next.verdict = Verdict::suspect;
    }
    if (next.verdict == Verdict::suspect) return {next, MergeEffect::suspected};
    return {next, !held ? MergeEffect::joined : was_in_force ? MergeEffect::updated : MergeEffect::rejoined};
  }
  if (heard.run < held->run || held->phase == Phase::left) return {*held, MergeEffect::none};
  if (next.phase == Phase::left) return {next, MergeEffect::left};
  if (heard.incarnation < held->incarnation) return {*held, MergeEffect::none};
  const bool newer = heard.incarnation > held->incarnation;
  if (held->verdict == Verdict::gone && !newer) return {*held, MergeEffect::none};
  if (next.verdict == Verdict::gone) {
    if (held->verdict == Verdict::gone)
      return {next, MergeEffect::recorded};  // gone under a later incarnation
    next.verdict = Verdict::suspect;
  }
  if (next.verdict == Verdict::suspect) {
    if (newer || held->verdict == Verdict::trusted) return {next, MergeEffect::suspected};
    return {*held, MergeEffect::confirmed};
  }
  if (!newer) return {*held, MergeEffect::none};
  return {next, held->verdict == Verdict::gone ? MergeEffect::rejoined : MergeEffect::updated};
}

OwnStatus next_incarnation(const OwnStatus& ours, std::uint64_t above) {
  const std::uint64_t from = std::max(ours.incarnation, above);
  if (from == std::numeric_limits<std::uint64_t>::max()) return {ours.run + 1, 0};
  return {ours.run, from + 1};
}

OwnMergeResult merge_own_status(const OwnStatus& ours, const MemberStatus& heard, AddressMatch place) {
  if (heard.run < ours.run) return {ours, OwnEffect::none};
  if (heard.run == ours.run && place == AddressMatch::same) {
    // Echoes of our own announcements are ignored; verdicts against us and incarnations that we never
    // announced are refuted.
    const bool unsaid = heard.incarnation > ours.incarnation;
    const bool against = heard.incarnation == ours.incarnation && !(heard.verdict == Verdict::trusted);
    if (!unsaid && !against) return {ours, OwnEffect::none};
    return {next_incarnation(ours, heard.incarnation), OwnEffect::refute};
  }
  const bool tie_won = heard.run == ours.run && place == AddressMatch::lower;
  if (place != AddressMatch::same && heard.in_force() && !tie_won) return {ours, OwnEffect::yield};
  return {{heard.run + 1, 0}, OwnEffect::outrun};
}

const char* name_of(State state) {
  constexpr const char* names[] = {"joining", "alive", "suspect", "leaving", "left", "gone"};
  return names[static_cast<int>(state)];
}

}  // namespace pearspar::peers
