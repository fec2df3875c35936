#include "simulation/http_days.h"

#include <algorithm>

#include "altavia/reverse_proxy.h"

namespace pearspar::simulation {
namespace {

// Kinds that befall whole processes, beside those of single requests and connections.
const std::vector<std::string> process_kinds = {"node_restart", "node_crash",  "node_dark",
                                                "edge_kill",    "edge_freeze", "change"};

bool of_processes(const std::string& kind) {
  return std::find(process_kinds.begin(), process_kinds.end(), kind) != process_kinds.end();
}

class HttpPlayer {
 public:
  HttpPlayer(const HttpDayOptions& options, Cluster& cluster, HttpDay& day)
      : options_(options), cluster_(cluster), world_(cluster.world()), day_(day) {}

  void begin() {
    std::vector<std::string> kinds = options_.kinds;
    if (kinds.empty())
      for (const std::string& kind : http_kinds())
        if (world_.chance(0.3)) kinds.push_back(kind);
    constexpr double chances[] = {0.02, 0.1, 0.3};
    for (const std::string& kind : kinds)
      if (of_processes(kind))
        chosen_.push_back(kind);
      else
        cluster_.strikes().set(kind, chances[world_.below(3)]);
    // From a window that holds everything to one that no answer fits into.
    constexpr std::size_t windows[] = {64 * 1024, 2048, 200};
    cluster_.streams().set_window(windows[world_.below(3)]);
    if (world_.chance(0.3)) cluster_.streams().set_delay(Duration(0.001), Duration(0.03));
    end_ = cluster_.seconds() + options_.troubled_s;
    if (!chosen_.empty()) strike();
  }

 private:
  void strike() {
    if (cluster_.seconds() > end_) return;
    world_.in(Duration(world_.uniform(0.1, 0.8)), [this] { strike(); });
    const std::string& kind = chosen_[world_.below(chosen_.size())];
    ++day_.struck[kind];
    std::size_t node = world_.below(cluster_.nodes()), edge = world_.below(cluster_.edges());
    if (kind == "node_restart") return cluster_.crash_node(node, 0.001, false);
    if (kind == "node_crash") return cluster_.crash_node(node, world_.uniform(0.1, 1), false);
    if (kind == "node_dark") return cluster_.crash_node(node, world_.uniform(0.1, 1), true);
    if (kind == "edge_kill") return cluster_.kill_edge(edge, world_.uniform(0.001, 0.5));
    if (kind == "edge_freeze") return cluster_.freeze_edge(edge, world_.uniform(0.05, 1.5));
    cluster_.change(0);
  }

  const HttpDayOptions& options_;
  Cluster& cluster_;
  World& world_;
  HttpDay& day_;
  std::vector<std::string> chosen_;
  double end_ = 0;
};

void note(const Cluster& cluster, HttpDay& day) {
  for (std::size_t i = 0; i < cluster.edges(); ++i) {
    const altavia::ReverseProxy* door = cluster.door(i);
    if (!door) continue;
    const auto& links = door->nodes().counters();
    const auto& front = door->front().counters();
    day.met["edge_spoilt"] += links.spoilt;
    day.met["edge_surplus"] += links.surplus;
    day.met["edge_unnamed"] += links.unnamed;
    day.met["edge_overdue"] += links.overdue;
    day.met["edge_unwritten"] += links.unwritten;
    day.met["edge_forgotten"] += links.forgotten;
    day.met["edge_opened"] += links.opened;
    day.met["edge_reused"] += links.reused;
    day.met["edge_bad_requests"] += front.bad_requests;
    day.met["edge_timed_out"] += front.timed_out;
    day.met["edge_second_calls"] += door->gateway().dispatcher().counters().second_calls;
    day.met["edge_no_way"] += door->gateway().dispatcher().counters().no_connection;
    day.met["edge_broken"] += door->gateway().dispatcher().counters().broken;
    day.met["edge_outdated"] += door->gateway().dispatcher().counters().outdated_requests;
  }
}

}  // namespace

const std::vector<std::string>& http_kinds() {
  static const std::vector<std::string> kinds = [] {
    std::vector<std::string> all = {"connect_refused",
                                    "connect_hung",
                                    "node_reset_unread",
                                    "node_reset_run",
                                    "node_silent",
                                    "node_turns_away",
                                    "node_fails",
                                    "node_closes",
                                    "node_chunks",
                                    "answer_cut",
                                    "answer_stalls",
                                    "half_close",
                                    "surplus",
                                    "surplus_later",
                                    "two_answers",
                                    "late_answer",
                                    "late_unnamed",
                                    "wrong_id",
                                    "no_id",
                                    "interim",
                                    "idle_forget",
                                    "idle_reset_read",
                                    "heads",
                                    "head_body",
                                    "interims",
                                    "two_ids",
                                    "trailers",
                                    "early_answer",
                                    "hop_lines",
                                    "absolute",
                                    "two_request_ids",
                                    "many_lines",
                                    "client_cut",
                                    "client_gone",
                                    "client_half_close",
                                    "client_silent",
                                    "client_slow",
                                    "client_deaf",
                                    "pipelines",
                                    "chunks",
                                    "expect",
                                    "lower_case"};
    all.insert(all.end(), process_kinds.begin(), process_kinds.end());
    return all;
  }();
  return kinds;
}

void set_http_troubles(Cluster& cluster, double chance) {
  for (const std::string& kind : http_kinds())
    if (!of_processes(kind)) cluster.strikes().set(kind, chance);
}

HttpDay play_http(const HttpDayOptions& options) {
  HttpDay day;
  ClusterOptions small;
  small.seed = options.seed;
  small.cores = 1;
  small.edges = 2;
  small.shards = 3;
  small.nodes_per_shard = 2;
  small.plain_nodes = 3;
  small.http = true;
  small.requests_per_s = options.requests_per_s;
  Cluster cluster(small);
  HttpPlayer player(options, cluster, day);
  cluster.run(1.5);
  cluster.change(0);
  cluster.run(2);
  player.begin();
  cluster.run(options.troubled_s);
  cluster.strikes().clear();
  cluster.run(2);
  note(cluster, day);
  cluster.checker().finish();
  day.faults = cluster.checker().faults();
  for (const auto& [kind, count] : cluster.strikes().counts()) day.struck[kind] += count;
  const Streams::Counters& streams = cluster.streams().counters;
  day.met["streams_opened"] = streams.opened;
  day.met["streams_refused"] = streams.refused;
  day.met["streams_hung"] = streams.hung;
  day.met["streams_reset"] = streams.resets;
  day.met["streams_silent"] = streams.silences;
  day.met["streams_held_up"] = streams.held_up;
  day.met["streams_bytes"] = streams.bytes;
  const CallJudge::Seen& seen = cluster.calls().seen();
  day.met["calls"] = seen.calls;
  day.met["calls_unrepeatable"] = seen.unrepeatable;
  day.met["runs"] = seen.runs;
  day.met["successes"] = seen.successes;
  day.met["promises"] = seen.promises;
  day.met["misplaced"] = cluster.misplaced();
  for (const auto& [what, heard] : cluster.heard()) day.met["heard_" + what] = heard.count;
  day.heard = cluster.heard();
  day.totals = cluster.totals();
  return day;
}

}  // namespace pearspar::simulation
