// Commands on the members and the nodes: status, leader, members, nodes, drain.
#include <fmt/format.h>

#include <algorithm>
#include <set>

#include "admin_client/session.h"

namespace pearspar::admin_client {

using catalog::Fault;
using catalog::Json;

namespace {

constexpr double status_timeout_s = 2;  // for one member

// Warnings about a member, beside its numbers.
std::string status_notes(const cJSON* status, const std::string& control) {
  std::string notes;
  auto note = [&](const char* what) { notes += notes.empty() ? what : std::string(", ") + what; };
  if (cJSON_IsTrue(cJSON_GetObjectItemCaseSensitive(status, "diskRefuses"))) note("its disk refuses");
  if (cJSON_IsFalse(cJSON_GetObjectItemCaseSensitive(status, "readable"))) note("cannot read what stands");
  const std::string host = control.substr(0, control.find(':') + 1);
  bool is_voter = false;
  const cJSON* member = nullptr;
  cJSON_ArrayForEach(member, cJSON_GetObjectItemCaseSensitive(status, "members")) is_voter =
      is_voter || text_of(member, "address").starts_with(host);
  if (!is_voter) note("does not count");
  return notes;
}

// The edge that lags the most, as a member tells it; empty if none lags.
std::string slowest_edge_line(const cJSON* status, const std::string& control) {
  const cJSON* edge = cJSON_GetObjectItemCaseSensitive(status, "slowestEdge");
  if (!cJSON_IsObject(edge)) return {};
  std::string line =
      fmt::format("slowest edge: {} in {}, edition {} of {}", text_of(edge, "nodeName"),
                  text_of(edge, "zoneName"), text_of(edge, "edition"), text_of(status, "edition"));
  if (cJSON_IsFalse(cJSON_GetObjectItemCaseSensitive(edge, "inSync")))
    line += fmt::format(", has waited for a full state for {:.1f} s",
                        cJSON_GetNumberValue(cJSON_GetObjectItemCaseSensitive(edge, "waitedS")));
  return line + fmt::format(" (as {} knows)\n", control);
}

}  // namespace

// Asks every member separately, so that disagreement between members is visible.
int Session::status() {
  std::vector<std::vector<std::string>> rows = {
      {"member", "leads", "term", "commit", "edition", "nodes", "edges", "leader", "waiting", "behind", ""}};
  std::size_t answered = 0;
  bool leaderless = false;
  std::set<std::string> revisions, leaders;
  std::string slowest_edge;
  bool told_by_leader = false;
  for (const std::string& member : caller_.members()) {
    AdminReply reply =
        caller_.call_member(member, {"GET", "/pearspar/status", "", "", ""},
                            net::Duration(std::min(double{status_timeout_s}, options_.timeout_s)));
    Fault fault;
    Json json = reply.status == 200 ? catalog::parse_json(reply.body, fault) : nullptr;
    if (!json) {
      std::string why = reply.status == 0 ? reply.fault : std::to_string(reply.status);
      if (why.starts_with(member + ": ")) why.erase(0, member.size() + 2);
      rows.push_back({member, "-", "-", "-", "-", "-", "-", "-", "-", "-", why});
      continue;
    }
    ++answered;
    const cJSON* root = json.get();
    const std::string leader = text_of(root, "leader");
    revisions.insert(text_of(root, "edition"));
    leaders.insert(leader);
    leaderless = leaderless || leader.empty();
    if (options_.json) show_json(reply.body);
    rows.push_back({member, text_of(root, "leads"), text_of(root, "term"), text_of(root, "commit"),
                    text_of(root, "edition"), text_of(root, "nodes"),
                    std::to_string(cJSON_GetArraySize(cJSON_GetObjectItemCaseSensitive(root, "edges"))),
                    leader.empty() ? "-" : leader, text_of(root, "edgesWaiting"),
                    text_of(root, "edgesBehind"), status_notes(root, member)});
    // The leader's word counts, since only a leader knows who waits.
    const bool leads = cJSON_IsTrue(cJSON_GetObjectItemCaseSensitive(root, "leads"));
    if (leads || (!told_by_leader && slowest_edge.empty())) slowest_edge = slowest_edge_line(root, member);
    told_by_leader = told_by_leader || leads;
  }
  if (!options_.json) std::fprintf(out_, "%s%s", format_table(rows).c_str(), slowest_edge.c_str());
  if (answered == 0) return fail(failed, "no member has answered");
  std::string problems;
  if (answered < caller_.members().size())
    problems = fmt::format("{} of {} have not answered", caller_.members().size() - answered,
                           caller_.members().size());
  if (leaderless)
    problems += std::string(problems.empty() ? "" : "; ") + "one that knows of no leader tells what it had";
  if (revisions.size() > 1 || leaders.size() > 1)
    problems += std::string(problems.empty() ? "" : "; ") + "members do not agree (yet)";
  return problems.empty() ? static_cast<int>(good) : fail(differs, problems);
}

int Session::leader() {
  AdminReply reply = get("/pearspar/status");
  if (reply.status != 200) return report_error(reply);
  Fault fault;
  Json json = catalog::parse_json(reply.body, fault);
  std::string leader = text_of(json.get(), "leader");
  if (leader.empty()) return fail(refused, reply.from + ": knows of no leader");
  std::fprintf(out_, "%s\n", leader.c_str());
  return good;
}

int Session::members() {
  AdminReply reply = get("/pearspar/status");
  if (reply.status != 200) return report_error(reply);
  if (options_.json) return show_json(reply.body);
  Fault fault;
  Json json = catalog::parse_json(reply.body, fault);
  std::vector<std::vector<std::string>> rows = {{"address", "id", "leads"}};
  const cJSON* member = nullptr;
  cJSON_ArrayForEach(member, cJSON_GetObjectItemCaseSensitive(json.get(), "members"))
      rows.push_back({text_of(member, "address"), text_of(member, "id"), text_of(member, "leads")});
  std::fprintf(out_, "%s%s wanted\n", format_table(rows).c_str(), text_of(json.get(), "wanted").c_str());
  return good;
}

int Session::nodes() {
  AdminReply reply = get("/pearspar/nodes");
  if (reply.status != 200) return report_error(reply);
  if (options_.json) return show_json(reply.body);
  Fault fault;
  Json json = catalog::parse_json(reply.body, fault);
  std::vector<std::vector<std::string>> rows = {
      {"id", "service", "address", "zone", "edition", "slots", "state"}};
  const cJSON* node = nullptr;
  cJSON_ArrayForEach(node, cJSON_GetObjectItemCaseSensitive(json.get(), "nodes")) rows.push_back(
      {text_of(node, "id"), text_of(node, "depot"), text_of(node, "address"), text_of(node, "zoneName"),
       text_of(node, "edition"), text_of(node, "slotCount"), text_of(node, "nodeState")});
  std::fprintf(out_, "%s", format_table(rows).c_str());
  return good;
}

// Registers the node's record again with the state closing_out: until it restarts it gets no new requests.
int Session::drain(const std::string& id) {
  AdminReply reply = get("/pearspar/nodes");
  if (reply.status != 200) return report_error(reply);
  Fault fault;
  Json json = catalog::parse_json(reply.body, fault);
  cJSON* node = nullptr;
  cJSON_ArrayForEach(node, cJSON_GetObjectItemCaseSensitive(json.get(), "nodes")) {
    if (text_of(node, "id") != id) continue;
    cJSON_ReplaceItemInObjectCaseSensitive(node, "nodeState", cJSON_CreateString("closing_out"));
    cJSON_DeleteItemFromObjectCaseSensitive(node, "id");
    char* body = cJSON_PrintUnformatted(node);
    AdminReply updated =
        caller_.call({"PUT", "/pearspar/nodes/" + id, "", body, ""}, net::Duration(options_.timeout_s));
    cJSON_free(body);
    if (updated.status != 200) return report_error(updated);
    std::fprintf(out_, "%s is closing: no edge in touch sends it anything new\n", id.c_str());
    return good;
  }
  return fail(refused, "no node '" + id + "' is known");
}

}  // namespace pearspar::admin_client
