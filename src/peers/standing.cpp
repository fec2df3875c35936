#include "peers/standing.h"

#include <algorithm>
#include <limits>

namespace pearspar::peers {

State Standing::state() const {
  if (phase == Phase::left) return State::left;
  if (verdict == Verdict::gone) return State::gone;
  if (verdict == Verdict::suspect) return State::suspect;
  return phase == Phase::joining ? State::joining : phase == Phase::leaving ? State::leaving : State::alive;
}

Weighed weigh(const std::optional<Standing>& held, const Standing& heard) {
  Standing next = heard;
  if (next.phase == Phase::left) next.verdict = Verdict::trusted;  // nothing is left to be judged
  if (!held || heard.run > held->run) {
    const bool was_in_force = held && held->in_force();
    if (next.phase == Phase::left) return {next, was_in_force ? Effect::left : Effect::kept};
    if (next.verdict == Verdict::gone) {
      // Of one that is in force here, gone is hearsay: we remove by our own timer.
      if (!was_in_force) return {next, Effect::kept};
      next.verdict = Verdict::suspect;
    }
    if (next.verdict == Verdict::suspect) return {next, Effect::suspected};
    return {next, !held ? Effect::entered : was_in_force ? Effect::replaced : Effect::back};
  }
  if (heard.run < held->run || held->phase == Phase::left) return {*held, Effect::none};
  if (next.phase == Phase::left) return {next, Effect::left};
  if (heard.incarnation < held->incarnation) return {*held, Effect::none};
  const bool newer = heard.incarnation > held->incarnation;
  if (held->verdict == Verdict::gone && !newer) return {*held, Effect::none};
  if (next.verdict == Verdict::gone) {
    if (held->verdict == Verdict::gone) return {next, Effect::kept};  // gone under a newer word
    next.verdict = Verdict::suspect;
  }
  if (next.verdict == Verdict::suspect) {
    if (newer || held->verdict == Verdict::trusted) return {next, Effect::suspected};
    return {*held, Effect::accused};
  }
  if (!newer) return {*held, Effect::none};
  return {next, held->verdict == Verdict::gone ? Effect::back : Effect::replaced};
}

OwnStanding raised(const OwnStanding& ours, std::uint64_t above) {
  const std::uint64_t from = std::max(ours.incarnation, above);
  if (from == std::numeric_limits<std::uint64_t>::max()) return {ours.run + 1, 0};
  return {ours.run, from + 1};
}

OwnWeighed weigh_own(const OwnStanding& ours, const Standing& heard, Place place) {
  if (heard.run < ours.run) return {ours, OwnEffect::none};
  if (heard.run == ours.run && place == Place::ours) {
    // Our own words come back to us; only what others hold against us, or what we never said, is answered.
    const bool unsaid = heard.incarnation > ours.incarnation;
    const bool against = heard.incarnation == ours.incarnation && !(heard.verdict == Verdict::trusted);
    if (!unsaid && !against) return {ours, OwnEffect::none};
    return {raised(ours, heard.incarnation), OwnEffect::refute};
  }
  const bool tie_won = heard.run == ours.run && place == Place::lower;
  if (place != Place::ours && heard.in_force() && !tie_won) return {ours, OwnEffect::yield};
  return {{heard.run + 1, 0}, OwnEffect::outrun};
}

const char* name_of(State state) {
  constexpr const char* names[] = {"joining", "alive", "suspect", "leaving", "left", "gone"};
  return names[static_cast<int>(state)];
}

}  // namespace pearspar::peers
