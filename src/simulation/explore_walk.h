// Random walks of a larger core through every kind of trouble, on clocks that run apart: the code in service,
// draws and times as in service, and what must always be judged after every step.
#pragma once

#include <array>
#include <string>
#include <vector>

#include "simulation/explore.h"

namespace pearspar::simulation {

struct WalkOptions {
  int members = 5;
  int newcomers = 2;
  std::size_t steps = 20000;  // of one walk
  std::uint64_t seed = 1;     // of the first; the next has the next
  std::size_t walks = 1;
  int threads = 4;
  double clocks_apart = 0.05;  // the fastest and the slowest, at most
  bool copies = false;         // disks restored from a copy too
  bool tell = false;           // the last steps of a walk that breaks
  Mutant mutant = Mutant::none;
};

enum class Walked : std::uint8_t {
  delivered,
  passed,
  lost,
  doubled,
  crashed,
  power_lost,
  refused,
  wiped,
  put_back,
  copied,
  proposed,
  handed_over,
  appeared,
  stopped,
  cut,
  kinds
};
extern const std::array<const char*, static_cast<std::size_t>(Walked::kinds)> walked_names;

struct Walks {
  std::size_t steps = 0;
  std::size_t walks = 0;
  std::array<std::size_t, static_cast<std::size_t>(Walked::kinds)> taken{};
  std::size_t committed = 0;    // changes
  std::size_t memberships = 0;  // entries that changed who counts
  std::size_t leaders = 0;      // terms with a leader
  std::size_t spoke = 0;        // steps after which somebody might speak
  std::size_t healed = 0;
  double heal_worst_s = 0;  // simulated
  double seconds = 0;
  std::uint64_t fault_seed = 0;
  std::string fault;  // the first; empty = none
  std::vector<std::string> history;
};

Walks walk(const WalkOptions& options);

}  // namespace pearspar::simulation
