#include "control_plane/report.h"

#include <fmt/format.h>

#include <algorithm>

#include "control_plane/follower_lag.h"

namespace pearspar::control_plane {
namespace {

using catalog::quoted;

constexpr std::size_t backup_history_entries = 512;

std::string hex(const Digest& digest) { return fmt::format("{:016x}{:016x}", digest.first, digest.second); }

// Builds a JSON array.
class JsonArray {
 public:
  void add(const std::string& item) { text_ += (text_.size() > 1 ? "," : "") + item; }
  std::string text() const { return text_ + "]"; }

 private:
  std::string text_ = "[";
};

// An edge as /pearspar/status lists it. Only a leader knows whether an edge is in sync.
std::string edge_json(Time now, const Followers& followers, const Followers::Follower& edge,
                      catalog::Revision newest) {
  const char* in_sync = !followers.is_open() ? "null" : edge.synced ? "true" : "false";
  return fmt::format(R"({{"nodeName":{},"zoneName":{},"lease":{},"edition":{},"acknowledged":{},)"
                     R"("inSync":{},"waitedS":{:.1f},"behind":{}}})",
                     quoted(edge.name), quoted(edge.zone), Followers::has_lease(now, edge), edge.revision,
                     edge.acked.number, in_sync, waited(now, followers, edge).count(),
                     edge.revision < newest);
}

}  // namespace

std::string error_json(std::string_view what) { return "{\"errorText\":" + quoted(what) + "}"; }

std::string status_json(Time now, const std::string& name, const raft::Core& core,
                        const ReplicatedState& state, const subscription::ClusterView& view,
                        const Followers& followers) {
  JsonArray members, edges;
  for (const auto& voter : core.log().membership().voters)
    members.add(fmt::format(R"({{"address":{},"id":"{:016x}","leads":{}}})", quoted(voter.address), voter.id,
                            voter.address == core.leader_address()));
  for (const auto& [link, follower] : followers.all())
    if (follower.kind == protocol::FollowerKind::edge)
      edges.add(edge_json(now, followers, follower, state.revision()));
  const FollowerLag lag = follower_lag(now, followers, state.revision());
  return fmt::format(
      R"({{"view":"local","nodeName":{},"leads":{},"leader":{},"term":{},"commit":{},"logEntries":{},)"
      R"("diskRefuses":{},"edition":{},"readable":{},)"
      R"("wanted":{},"members":{},"nodes":{},"edges":{},)"
      R"("edgesWaiting":{},"edgesBehind":{},"slowestEdge":{}}})",
      quoted(name), core.holds_lease(now), quoted(core.leader_address()), core.term(), core.commit(),
      core.log().last() - core.log().snapshot().index, core.store_failed(), state.revision(),
      state.may_serve(), core.log().membership().target_size, members.text(), view.nodes().all().size(),
      edges.text(), lag.edges_waiting, lag.edges_behind,
      lag.slowest_edge ? edge_json(now, followers, *lag.slowest_edge, state.revision()) : "null");
}

std::string nodes_json(Time now, const subscription::ClusterView& view) {
  JsonArray nodes;
  for (const auto& [id, node] : view.nodes().all())
    nodes.add(fmt::format(
        R"({{"id":{},"depot":{},"address":{},"zoneName":{},"edition":{},"slotCount":{},"nodeState":"{}",)"
        R"("coldLeftMs":{},"callSeq":{}}})",
        quoted(id), quoted(node.service), quoted(node.address), quoted(node.zone),
        quoted(node.software_version), node.slots, node.closing ? "closing_out" : "at_post",
        remaining_cold_ms(now, node), node.sequence));
  return "{\"nodes\":" + nodes.text() + "}";
}

std::string history_json(const ReplicatedState& state, std::size_t newest) {
  JsonArray entries;
  const ChangeHistory& history = state.history();
  for (std::size_t i = history.size() - std::min(history.size(), newest); i < history.size(); ++i)
    entries.add(
        fmt::format(R"({{"edition":{},"digest":"{}"}})", history[i].revision, hex(history[i].digest)));
  return fmt::format(R"({{"remembered":{},"taken":{}}})", history.size(), entries.text());
}

std::string allowance_json(const raft::Core& core, const ReplicatedState& state) {
  JsonArray lines;
  for (const auto& line : state.quota_ledger().lines())
    lines.add(fmt::format(
        R"({{"window":{},"holder":{},"kind":{},"limit":{},"drawn":{},"unsure":{},"inDoubt":{},)"
        R"("givenBack":{},)"
        R"("repeated":{},"refused":{},"out":{}}})",
        line.window, quoted(line.account_key.holder), quoted(line.account_key.kind),
        line.limited ? std::to_string(line.limit) : "null", line.count.drawn, line.count.unsure,
        line.count.in_doubt, line.count.given_back, line.count.repeated, line.count.refused, line.count.out));
  return fmt::format(R"({{"format":1,"term":{},"position":{},"window":{},"counts":{}}})", core.term(),
                     core.applied(), state.quota_ledger().window(), lines.text());
}

std::string rollout_json(const rollout::Rollout& rollout) {
  return fmt::format(R"({{"nodeState":"{}","targetEdition":{},"overS":{},"why":{}}})",
                     rollout::name_of(rollout.state), quoted(rollout.target),
                     static_cast<double>(rollout.over_ms) / 1000, quoted(rollout.reason));
}

std::string rollouts_json(Time now, const rollout::RolloutLedger& ledger,
                          const rollout::RolloutCoordinator& coordinator) {
  JsonArray rollouts;
  for (const auto& [service, record] : ledger.services()) {
    if (!record.rollout) continue;
    const rollout::Rollout& rollout = *record.rollout;
    JsonArray allowed, votes;
    for (const std::string& version : record.allowed) allowed.add(quoted(version));
    rollout::RolloutProgress progress = coordinator.progress(service);
    for (const rollout::EdgeVote& vote : progress.votes)
      votes.add(fmt::format(R"({{"edge":"{:016x}","zoneName":{},"calls":{},"bad":{},"evidence":{:.1f}}})",
                            vote.incarnation, quoted(vote.zone), vote.calls, vote.bad, vote.evidence));
    double elapsed_s = record.in_transit() ? coordinator.elapsed(now, service).count()
                                           : static_cast<double>(rollout.elapsed_ms) / 1000;
    rollouts.add(fmt::format(
        R"({{"depot":{},"nodeState":"{}","targetEdition":{},"serving":{},"overS":{},"elapsedS":{:.1f},)"
        R"("share":{},"requests":{},"exposed":{},"watchers":{},"why":{},"votes":{}}})",
        quoted(service), rollout::name_of(rollout.state), quoted(rollout.target), allowed.text(),
        static_cast<double>(rollout.over_ms) / 1000, elapsed_s, rollout.share_permille / 1000.0,
        progress.requests, progress.exposed, progress.watchers, quoted(rollout.reason), votes.text()));
  }
  return "{\"rollouts\":" + rollouts.text() + "}";
}

std::string snapshot_json(const ReplicatedState& state) {
  const std::string& text = state.text();
  return fmt::format(R"({{"format":1,"edition":{},"digest":"{}","history":{},"configuration":{}}})",
                     state.revision(), hex(digest_of(text)), history_json(state, backup_history_entries),
                     quoted(text));
}

}  // namespace pearspar::control_plane
