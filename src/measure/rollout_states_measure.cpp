// Searches all states of the leases and votes of one roll-out up to a bound (simulation/rollout_explore.h).
// Exit status 1: a fault was found, or the search was not ended; 2: the command line cannot be read.
#include <fmt/format.h>
#include <popt.h>

#include <cstdio>

#include "simulation/rollout_explore.h"

namespace {

using pearspar::simulation::RolloutExplored;
using pearspar::simulation::RolloutExploreOptions;

void print(const RolloutExplored& found) {
  fmt::print("{} states, {} steps, longest history {}, at most {} calls to the version; {}\n", found.states,
             found.steps, found.depth, found.most_calls, found.exhausted ? "all states" : "not all states");
  if (found.fault.empty()) return;
  fmt::print("fault: {}\n", found.fault);
  for (const std::string& step : found.history) fmt::print("  {}\n", step);
}

}  // namespace

int main(int argc, const char** argv) {
  RolloutExploreOptions wanted;
  int share = 0, verdict = 0;
  long most_states = 20000000;
  const poptOption options[] = {
      {"edges", 'e', POPT_ARG_INT, &wanted.edges, 0, "edges that watch", "N"},
      {"requests", 'r', POPT_ARG_INT, &wanted.requests, 0, "requests of all edges together", "N"},
      {"reports", 'p', POPT_ARG_INT, &wanted.reports, 0, "reports of each edge", "N"},
      {"broken-links", 'b', POPT_ARG_INT, &wanted.broken_links, 0, "links that break", "N"},
      {"restarts", 's', POPT_ARG_INT, &wanted.restarts, 0, "restarts of edges", "N"},
      {"leader-changes", 'l', POPT_ARG_INT, &wanted.leader_changes, 0, "changes of the leader", "N"},
      {"ticks", 't', POPT_ARG_INT, &wanted.ticks, 0, "ticks of 0.6 s", "N"},
      {"share", 0, POPT_ARG_NONE, &share, 0, "a share of the calls goes to the version", nullptr},
      {"verdict", 0, POPT_ARG_NONE, &verdict, 0, "the version may be returned at any moment", nullptr},
      {"most-states", 'm', POPT_ARG_LONG, &most_states, 0, "end after as many states", "N"},
      POPT_AUTOHELP POPT_TABLEEND};
  poptContext context = poptGetContext("pearspar-measure-rollout-states", argc, argv, options, 0);
  int result = 0;
  while ((result = poptGetNextOpt(context)) >= 0) {
  }
  bool bad = result < -1 || poptPeekArg(context) || wanted.edges < 1 || most_states < 1;
  poptFreeContext(context);
  if (bad) {
    std::fprintf(stderr, "pearspar-measure-rollout-states: the command line cannot be read\n");
    return 2;
  }
  wanted.moves_share = share != 0;
  wanted.verdict = verdict != 0;
  wanted.most_states = static_cast<std::size_t>(most_states);
  RolloutExplored found = explore_rollout(wanted);
  print(found);
  return found.exhausted ? 0 : 1;
}
