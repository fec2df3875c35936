// The states of the whole in the search, as rows of numbers, and the steps between them.
#pragma once

#include <array>
#include <optional>

#include "simulation/explore_judge.h"
#include "simulation/explore_tables.h"

namespace pearspar::simulation {

constexpr std::size_t most_bodies = 6;
constexpr std::size_t most_flying = 8;

enum class Kind : std::uint8_t {
  deliver,
  double_,  // delivered, and still on its way
  deliver_power_1,
  deliver_power_2,
  deliver_full,
  lose,
  timeout,
  beat,
  lapse,
  pass,
  tick,
  crash,
  wipe,
  copy,
  put_back,
  appear,
  propose,
  propose_full,
  transfer_leadership,
  leave,
  end,       // for good
  end_asked  // as it was asked to, and may
};

inline bool about_message(Kind kind) { return kind <= Kind::lose; }

struct Event {
  Kind kind = Kind::lose;
  std::uint32_t at = 0;  // a message, or a member
};

// Without padding: digests are taken of its bytes.
struct State {
  std::array<std::uint32_t, most_bodies> body{};
  std::uint32_t past = 0;
  std::uint32_t shelf = 0;                          // a body whose disk is kept, and one
  std::array<std::uint32_t, most_flying> flying{};  // messages, in order of their numbers; 0 = none
  enum Count : std::size_t {
    timeouts,
    beats,
    lapses,
    changes,
    doubles,
    crashes,
    power,
    refusals,
    wipes,
    put_back,
    copies,
    hand_overs,
    leaves,
    ends,
    passes,
    counts = 16
  };
  std::array<std::uint8_t, counts> used{};
};
static_assert(sizeof(State) == 4 * (most_bodies + 2 + most_flying) + 16);

class Space {
 public:
  explicit Space(const ExploreOptions& options);

  State first();
  void enabled(const State& state, std::vector<Event>& events) const;
  // Nothing where the event comes to nothing. A fault is left in `fault`.
  std::optional<State> next(const State& state, const Event& event, std::string& fault);
  std::string tell(const State& state, const Event& event) const;

  const Body& body(const State& state, std::size_t index) const { return members_[state.body[index]].body; }
  const Past& past(const State& state) const { return pasts_[state.past]; }
  std::size_t bodies() const { return bodies_; }
  std::size_t members() const { return members_.size(); }
  std::size_t worked_out() const { return results_.size(); }
  struct Letter {
    std::uint8_t to = 0;
    raft::Message message;
  };
  const Letter& letter(std::uint32_t number) const { return letters_[number]; }

  // The same events on members that are never exchanged for others described alike; how the two differ, or
  // nothing.
  std::string hold_against(std::uint64_t seed, std::size_t steps);

 private:
  struct Member {
    Body body;
    bool leads = false;
    bool speaks = false;
    bool lives = false;    // hears a leader
    bool leaving = false;  // was asked to end
  };
  struct Result {
    std::uint32_t body = 0;
    std::uint32_t before = 0;
    bool comes = true;  // else the event comes to nothing
    std::vector<std::uint32_t> sent;
  };
  struct Verdict {
    std::uint32_t past = 0;
    std::string fault;
  };
  struct Call {
    Action action;
    std::uint32_t argument = 0;
  };

  std::uint32_t number(Body&& body);
  std::uint32_t number(Past&& past);
  std::uint32_t number(std::size_t to, raft::Message&& message);
  std::optional<std::size_t> place_of(const std::string& address) const;
  bool goes(const Body& from, const raft::OutgoingMessage& out) const;
  Call call_of(const State& state, const Event& event) const;
  std::uint32_t step_of(std::uint32_t body, const Call& call);
  std::uint32_t verdict_of(std::uint32_t result, std::uint32_t past);
  std::uint32_t leader_verdict_of(std::uint32_t body, std::uint32_t past);
  bool move(State& state, std::size_t index, const Call& call, std::string& fault);
  void speakers(State& state, std::string& fault);
  void post(State& state, const std::vector<std::uint32_t>& sent) const;
  void open(State& state);

  const ExploreOptions options_;
  const std::size_t bodies_;
  std::size_t in_flight_;
  Known<Member> members_;
  Known<Past> pasts_;
  Known<Letter> letters_;
  DigestMap steps_;  // by body, act, argument: a result
  Rows<Result> results_;
  DigestMap judged_;   // by result and past: a verdict
  DigestMap leaders_;  // by body and past: a verdict
  Rows<Verdict> verdicts_;
};

}  // namespace pearspar::simulation
