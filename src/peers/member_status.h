// The state of one member and the rules that merge an update about it. Pure functions, shared by the
// broker, the simulation and the exhaustive test. docs/fleet-view.md holds the merge table.
#pragma once

#include <cstdint>
#include <optional>

namespace pearspar::peers {

enum class Phase : std::uint8_t { joining, alive, leaving, left };  // as announced by the member
enum class Verdict : std::uint8_t { trusted, suspect, gone };       // as held by the others
enum class State : std::uint8_t { joining, alive, suspect, leaving, left, gone };

// The merged status of one member; run and incarnation order its announcements.
struct MemberStatus {
  std::uint64_t run = 0;
  std::uint64_t incarnation = 0;
  Verdict verdict = Verdict::trusted;
  Phase phase = Phase::alive;

  bool in_force() const { return verdict != Verdict::gone && phase != Phase::left; }
  State state() const;
  bool operator==(const MemberStatus&) const = default;
};

// The effect of an update on the held status.
enum class MergeEffect : std::uint8_t {
  none,
  joined,     // was unknown, is now in force
  recorded,   // was unknown or of an earlier run; recorded as gone or left
  updated,    // later incarnation of a member in force
  rejoined,   // was gone, in force again by a later incarnation
  suspected,  // was trusted, or suspect in an earlier incarnation
  confirmed,  // already suspect: an independent confirmation
  left        // announced by the member
};

struct MergeResult {
  MemberStatus next;
  MergeEffect effect = MergeEffect::none;
};

// Decides which of two statuses of one member wins.
MergeResult merge_status(const std::optional<MemberStatus>& held, const MemberStatus& heard);

// The reaction of a broker to an update about itself.
enum class OwnEffect : std::uint8_t {
  none,
  refute,  // announce an incarnation above the one heard
  outrun,  // an earlier process of ours or none in force: take a run above it
  yield    // another process, started later, serves under our name
};
struct OwnStatus {
  std::uint64_t run = 0;
  std::uint64_t incarnation = 0;
};
struct OwnMergeResult {
  OwnStatus next;
  OwnEffect effect = OwnEffect::none;
};
// The address in the update compared with our own.
enum class AddressMatch : std::uint8_t { same, lower, higher };
OwnMergeResult merge_own_status(const OwnStatus& same, const MemberStatus& heard, AddressMatch place);

// The first incarnation above `ours` and `above`; on overflow, incarnation 0 of the next run.
OwnStatus next_incarnation(const OwnStatus& same, std::uint64_t above);

// Updates with a larger run are dropped as malformed.
constexpr std::uint64_t max_run = std::uint64_t{1} << 62;

const char* name_of(State state);

}  // namespace pearspar::peers
