// The search through the agreement's states, part by part, and random walks of a larger core, by one command.
// Exit status 0: every part was searched to its end, and nothing is broken but where a guard is out, and
// there it was found; 1: not so; 2: the command line cannot be read.
#include <popt.h>

#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <string>
#include <vector>

#include "simulation/explore_parts.h"
#include "simulation/explore_walk.h"

namespace {

using namespace pearspar::simulation;

struct Asked {
  int threads = 4;
  int most = 0;
  int json = 0;
  int quiet = 0;
  double walk_steps = 0;
  int walk_length = 20000;
  int seed = 1;
  int walk_members = 5;
  int copies = 0;
  int tell = 0;
  char* mutant = nullptr;
};

std::string quoted(const std::string& text) {
  std::string out = "\"";
  for (char c : text) {
    if (c == '"' || c == '\\') out += '\\';
    out += c;
  }
  return out + "\"";
}

void tell_history(const std::vector<std::string>& history) {
  for (const std::string& line : history) std::printf("    %s\n", line.c_str());
}

// As it should be.
bool run_part(ExplorePart part, const Asked& asked, std::size_t& states) {
  part.options.threads = asked.threads;
  if (asked.most > 0) part.options.most_states = static_cast<std::size_t>(asked.most);
  double told = 0;
  Explored found = explore(part.options, [&](const Explored& so_far, std::size_t frontier) {
    if (asked.quiet || so_far.seconds < told + 5) return;
    told = so_far.seconds;
    std::fprintf(stderr, "  %s: depth %zu, %zu states, %zu of them to go into, %.0f s\n", part.name.c_str(),
                 so_far.depth, so_far.states, frontier, so_far.seconds);
  });
  states += found.states;
  bool good = part.breaks ? !found.fault.empty() : found.fault.empty() && found.exhausted;
  if (asked.json) {
    std::printf(
        "{\"part\":%s,\"bounds\":%s,\"guard_out\":%s,\"states\":%zu,\"steps\":%zu,\"depth\":%zu,"
        "\"exhausted\":%s,"
        "\"with_commit\":%zu,\"leaders\":%zu,\"members\":%zu,\"worked_out\":%zu,\"healed\":%zu,"
        "\"heal_worst_s\":%.2f,\"seconds\":%.2f,\"fault\":%s}\n",
        quoted(part.name).c_str(), quoted(bounds_of(part.options)).c_str(), part.breaks ? "true" : "false",
        found.states, found.steps, found.depth, found.exhausted ? "true" : "false", found.committed,
        found.leaders, found.members, found.worked_out, found.healed, found.heal_worst_s, found.seconds,
        quoted(found.fault).c_str());
  } else {
    std::printf("%-18s %10zu %11zu %5zu %9zu %7zu %7zu %8zu %7.2f %7.1f  %s\n", part.name.c_str(),
                found.states, found.steps, found.depth, found.committed, found.leaders, found.members,
                found.healed, found.heal_worst_s, found.seconds,
                !found.fault.empty() ? found.fault.c_str()
                : found.exhausted    ? "all there are"
                                     : "cut off");
    if (!found.fault.empty() && (!part.breaks || asked.tell)) tell_history(found.history);
  }
  std::fflush(stdout);
  return good;
}

bool run_walks(const Asked& asked) {
  WalkOptions options;
  options.members = asked.walk_members;
  options.steps = static_cast<std::size_t>(asked.walk_length);
  options.seed = static_cast<std::uint64_t>(asked.seed);
  options.walks = static_cast<std::size_t>(asked.walk_steps / asked.walk_length + 0.999);
  options.threads = asked.threads;
  options.copies = asked.copies != 0;
  options.tell = asked.tell != 0;
  if (asked.mutant && !mutant_of(asked.mutant, options.mutant)) {
    std::fprintf(stderr, "pearspar-measure-search: no guard is called %s\n", asked.mutant);
    return false;
  }
  Walks found = walk(options);
  if (asked.json) {
    std::printf(
        "{\"walks\":%zu,\"first_seed\":%d,\"members\":%d,\"steps\":%zu,\"seconds\":%.1f,\"committed\":%zu,"
        "\"memberships\":%zu,\"leaders\":%zu,\"spoke\":%zu,\"healed\":%zu,\"heal_worst_s\":%.2f",
        found.walks, asked.seed, options.members, found.steps, found.seconds, found.committed,
        found.memberships, found.leaders, found.spoke, found.healed, found.heal_worst_s);
    for (std::size_t i = 0; i < found.taken.size(); ++i)
      std::printf(",%s:%zu", quoted(walked_names[i]).c_str(), found.taken[i]);
    std::printf(",\"fault\":%s,\"fault_seed\":%llu}\n", quoted(found.fault).c_str(),
                static_cast<unsigned long long>(found.fault_seed));
    return found.fault.empty();
  }
  std::printf(
      "%zu walks of %d members, seeds %d to %zu: %zu steps, %.1f s (%.2f us of one thread a step)\n",
      found.walks, options.members, asked.seed, static_cast<std::size_t>(asked.seed) + found.walks - 1,
      found.steps, found.seconds,
      found.seconds * asked.threads * 1e6 / static_cast<double>(std::max<std::size_t>(1, found.steps)));
  std::printf(
      "  %zu changes and %zu memberships committed, %zu terms with a leader, somebody might speak after "
      "%.2f\n"
      "  of the steps; healed at the end of %zu, the longest until a leader spoke %.2f s (simulated)\n ",
      found.committed, found.memberships, found.leaders,
      static_cast<double>(found.spoke) / static_cast<double>(std::max<std::size_t>(1, found.steps)),
      found.healed, found.heal_worst_s);
  for (std::size_t i = 0; i < found.taken.size(); ++i)
    std::printf(" %s %zu%s", walked_names[i], found.taken[i], i + 1 < found.taken.size() ? "," : "\n");
  if (!found.fault.empty()) {
    std::printf("seed %llu: %s\n", static_cast<unsigned long long>(found.fault_seed), found.fault.c_str());
    tell_history(found.history);
  }
  return found.fault.empty();
}

}  // namespace

int main(int argc, const char** argv) {
  Asked asked;
  char* name = nullptr;
  char* bounds = nullptr;
  int list = 0, only_mutants = 0, only_walks = 0, against = 0;
  const poptOption options[] = {
      {"part", 'p', POPT_ARG_STRING, &name, 0, "only this one", "NAME"},
      {"list", 'l', POPT_ARG_NONE, &list, 0, "tell the parts and their bounds, and end", nullptr},
      {"bounds", 'b', POPT_ARG_STRING, &bounds, 0, "change these bounds of the part", "NAME=N,..."},
      {"mutants", 0, POPT_ARG_NONE, &only_mutants, 0, "only the parts in which a guard is out", nullptr},
      {"most", 'm', POPT_ARG_INT, &asked.most, 0, "states of a part at most", "N"},
      {"threads", 't', POPT_ARG_INT, &asked.threads, 0, "threads", "N"},
      {"against", 0, POPT_ARG_INT, &against, 0,
       "instead: so many random steps of each part, with members remembered and not", "N"},
      {"walks", 'w', POPT_ARG_DOUBLE, &asked.walk_steps, 0, "random walks after the parts: steps in all",
       "N"},
      {"only-walks", 0, POPT_ARG_NONE, &only_walks, 0, "no parts", nullptr},
      {"walk-length", 0, POPT_ARG_INT, &asked.walk_length, 0, "steps of one walk", "N"},
      {"walk-members", 0, POPT_ARG_INT, &asked.walk_members, 0, "members that walk", "N"},
      {"copies", 0, POPT_ARG_NONE, &asked.copies, 0, "walks with disks restored from copies", nullptr},
      {"mutant", 0, POPT_ARG_STRING, &asked.mutant, 0, "walks without this guard", "NAME"},
      {"seed", 's', POPT_ARG_INT, &asked.seed, 0, "of the first walk", "N"},
      {"tell", 'v', POPT_ARG_NONE, &asked.tell, 0, "histories of all that is found", nullptr},
      {"json", 'j', POPT_ARG_NONE, &asked.json, 0, "a line of JSON for each", nullptr},
      {"quiet", 'q', POPT_ARG_NONE, &asked.quiet, 0, "no progress", nullptr},
      POPT_AUTOHELP POPT_TABLEEND};
  poptContext context = poptGetContext("pearspar-measure-search", argc, argv, options, 0);
  int result = 0;
  while ((result = poptGetNextOpt(context)) >= 0) {
  }
  bool readable = result >= -1 && !poptPeekArg(context) && asked.threads > 0 && asked.walk_length > 0;
  std::vector<ExplorePart> parts;
  for (const std::vector<ExplorePart>& some : {explore_parts(), explore_mutants()})
    for (const ExplorePart& part : some)
      if (name ? part.name == name : !only_mutants || part.breaks) parts.push_back(part);
  if (name && parts.empty()) readable = false;
  for (char* at = bounds ? std::strtok(bounds, ",") : nullptr; at && readable; at = std::strtok(nullptr, ","))
    for (ExplorePart& part : parts) readable = readable && set_bound(part.options, at);
  if (!readable) {
    std::fprintf(stderr, "pearspar-measure-search: the command line cannot be read\n");
    return 2;
  }
  poptFreeContext(context);
  if (only_walks) parts.clear();
  if (list) {
    for (const ExplorePart& part : parts)
      std::printf("%-18s %s\n%-18s %s\n", part.name.c_str(), part.about.c_str(), "",
                  bounds_of(part.options).c_str());
    return 0;
  }
  bool good = true;
  std::size_t states = 0;
  if (against > 0) {
    for (const ExplorePart& part : parts) {
      std::string parted = hold_against(part.options, static_cast<std::uint64_t>(asked.seed),
                                        static_cast<std::size_t>(against));
      std::printf("%-18s %s\n", part.name.c_str(), parted.empty() ? "alike" : parted.c_str());
      good = good && parted.empty();
    }
    return good ? 0 : 1;
  }
  if (!asked.json && !parts.empty())
    std::printf("%-18s %10s %11s %5s %9s %7s %7s %8s %7s %7s\n", "part", "states", "steps", "depth",
                "committed", "leaders", "members", "healed", "worst s", "seconds");
  for (const ExplorePart& part : parts) good = run_part(part, asked, states) && good;
  if (!asked.json && !parts.empty())
    std::printf("%zu parts, %zu states; %s\n", parts.size(), states,
                good ? "all as it should be" : "NOT as it should be");
  if (asked.walk_steps > 0) good = run_walks(asked) && good;
  return good ? 0 : 1;
}
