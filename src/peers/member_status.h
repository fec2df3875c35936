// How a broker stands with the fleet, and which news about it wins. Pure: the same rules are run by the
// broker, in simulated time and by the exhaustive check. The table is in docs/fleet-view.md.
#pragma once

#include <cstdint>
#include <optional>

namespace pearspar::peers {

enum class Phase : std::uint8_t { joining, alive, leaving, left };  // its own word
enum class Verdict : std::uint8_t { trusted, suspect, gone };       // the others' opinion
enum class State : std::uint8_t { joining, alive, suspect, leaving, left, gone };

struct MemberStatus {
  std::uint64_t run = 0;
  std::uint64_t incarnation = 0;
  Verdict verdict = Verdict::trusted;
  Phase phase = Phase::alive;

  bool in_force() const { return verdict != Verdict::gone && phase != Phase::left; }
  State state() const;
  bool operator==(const MemberStatus&) const = default;
};

// What news do to what is held.
enum class MergeEffect : std::uint8_t {
  none,
  joined,     // was not known, and is in force
  recorded,   // was not known, or of an earlier run, and is recorded as gone or left
  updated,    // a newer word of one in force
  rejoined,   // gone before, in force by a newer word
  suspected,  // trusted before, or suspect under an older word
  confirmed,  // suspect already: one more says so
  left        // its own word
};

struct MergeResult {
  MemberStatus next;
  MergeEffect effect = MergeEffect::none;
};

// The one place that decides which of two words about one name holds.
MergeResult merge_status(const std::optional<MemberStatus>& held, const MemberStatus& heard);

// What a broker does that hears of itself.
enum class OwnEffect : std::uint8_t {
  none,
  refute,  // say more loudly that we live: incarnation above the one heard
  outrun,  // a former life of same, or nobody's: take a run above it
  yield    // another process serves under our name, started later
};
struct OwnStatus {
  std::uint64_t run = 0;
  std::uint64_t incarnation = 0;
};
struct OwnMergeResult {
  OwnStatus next;
  OwnEffect effect = OwnEffect::none;
};
// Where the word heard says that its owner is, seen from our own address.
enum class AddressMatch : std::uint8_t { same, lower, higher };
OwnMergeResult merge_own_status(const OwnStatus& same, const MemberStatus& heard, AddressMatch place);

// The next incarnation; after the greatest one, a run above.
OwnStatus next_incarnation(const OwnStatus& same, std::uint64_t above);

// Runs above this are no broker's; what claims one is dropped as malformed.
constexpr std::uint64_t max_run = std::uint64_t{1} << 62;

const char* name_of(State state);

}  // namespace pearspar::peers
