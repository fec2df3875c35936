// One member in the search: the core in service, its disk, its machine and its clock, as a value that can be
// copied; and all that can happen to it, as a function of it alone.
#pragma once

#include <memory>
#include <string>
#include <vector>

#include "raft/core.h"
#include "simulation/explore.h"

namespace pearspar::simulation {

using raft::Core;
using raft::Duration;
using raft::Time;

struct Body {
  Body() = default;
  Body(const Body& other) { *this = other; }
  Body& operator=(const Body& other);
  Body(Body&&) = default;
  Body& operator=(Body&&) = default;

  std::unique_ptr<Core> core;  // none: not there yet, or ended
  raft::PersistentState disk;
  std::string machine;  // the changes that it applied, as it knows them
  Time now{Duration(1000)};
  std::uint8_t index = 0;
  std::uint32_t lives = 0;  // starts at this address, each with an id of its own

  // Two bodies that are described alike go on alike.
  std::string describe() const;
};

enum class Act : std::uint8_t {
  deliver,
  timeout,  // its clock runs on to the next thing it does on its own
  lapse,    // its clock runs on until it hears its leader no more
  pass,     // its clock runs on by its own step
  tick,     // it looks at its clock
  crash,    // it ends and starts again on what its disk has
  wipe,     // the same with an empty disk
  propose,
  transfer_leadership,
  appear,    // a newcomer starts
  put_back,  // it ends; the disk that was lost is in its place again
  leave,     // it is asked to end
  end,       // it ends for good
};

// What its disk does meanwhile.
struct Trouble {
  int writes = -1;       // power is lost before the write after so many; less than none: it is not
  bool refuses = false;  // it is full
};

struct Action {
  Act act = Act::tick;
  const raft::Message* message = nullptr;
  const Body* shelf = nullptr;  // put_back
  std::string change;
  Trouble trouble = {};
};

std::string address_of(std::size_t index);
// What it sends, appended to `out`. Deterministic: each draw of the core is settled.
// False where power was to be lost at a write that it does not come to.
bool take_step(const ExploreOptions& options, Body& body, const Action& action,
               std::vector<raft::OutgoingMessage>& out);
// A member at its first start; one of the founders, or a newcomer that has not come yet.
Body first_body(const ExploreOptions& options, std::size_t index);
// Without settling, for runs in which draws are to be drawn.
bool take_free_step(const ExploreOptions& options, Body& body, const Action& action,
                    std::vector<raft::OutgoingMessage>& out);
// The id a founder has. One that lost its disk has another.
raft::MemberId id_of(const Body& body);

}  // namespace pearspar::simulation
