#include "admin_client/commands.h"

#include <fmt/format.h>

#include <algorithm>
#include <fstream>
#include <map>
#include <set>
#include <sstream>

#include "catalog/configuration.h"
#include "catalog/json.h"
#include "control_plane/report.h"
#include "net/socket.h"

namespace pearspar::admin_client {
namespace {

using catalog::Fault;
using catalog::Json;

constexpr double status_timeout_s = 2;  // for one member

std::string text_of(const cJSON* object, const char* key) {
  const cJSON* item = cJSON_GetObjectItemCaseSensitive(object, key);
  if (cJSON_IsString(item)) return item->valuestring;
  if (cJSON_IsBool(item)) return cJSON_IsTrue(item) ? "yes" : "no";
  if (cJSON_IsNumber(item)) return fmt::format("{:.0f}", item->valuedouble);
  return "-";
}

// Formats rows as a table with aligned columns.
std::string format_table(const std::vector<std::vector<std::string>>& rows) {
  std::vector<std::size_t> widths;
  for (const auto& row : rows)
    for (std::size_t i = 0; i < row.size(); ++i) {
      if (i >= widths.size()) widths.push_back(0);
      widths[i] = std::max(widths[i], row[i].size());
    }
  std::string out;
  for (const auto& row : rows) {
    for (std::size_t i = 0; i < row.size(); ++i)
      out += i + 1 < row.size() ? fmt::format("{:<{}}  ", row[i], widths[i]) : row[i];
    out += '\n';
  }
  return out;
}

// Runs the commands on one client and one pair of output streams.
class Session {
 public:
  Session(const Options& options, std::FILE* out, std::FILE* err)
      : options_(options), caller_(loop_, options.members), out_(out), err_(err) {}

  int status();
  int leader();
  int members();
  int nodes();
  int drain(const std::string& id);
  int config_get();
  int config_check(const std::string& file);
  int config_put(const std::string& file);
  int config_diff(const std::string& file);
  int config_watch();
  int history(const std::string& newest);
  int rollout_start(const std::string& service, const std::string& version, const std::string& seconds);
  int rollout_status(const std::string& service);
  int rollout_why(const std::string& service);
  int allowance_show(const std::string& holder);
  int allowance_export(const std::string& file);
  int snapshot_save(const std::string& file);
  int snapshot_verify(const std::string& file, catalog::ConfigurationPtr* held = nullptr);
  int snapshot_restore(const std::string& file);

 private:
  AdminReply get(const std::string& path) {
    return caller_.call({"GET", path, "", "", ""}, net::Duration(options_.timeout_s));
  }
  int put(const catalog::Configuration& next, catalog::Revision base);
  // Reads the revision in force; 0 if there is none.
  int read_current_revision(catalog::Revision& base);
  // Prints the error of a reply whose status is not 200.
  int report_error(const AdminReply& reply);
  int fail(int status, const std::string& what) {
    std::fflush(out_);  // keeps the order where both streams go to one file
    std::fprintf(err_, "altavia: %s\n", what.c_str());
    return status;
  }
  int show_json(const std::string& body) {
    std::fprintf(out_, body.ends_with('\n') ? "%s" : "%s\n", body.c_str());
    return good;
  }
  bool read_file(const std::string& file, std::string& text) {
    std::ifstream in(file, std::ios::binary);
    std::ostringstream contents;
    if (!in || !(contents << in.rdbuf())) return false;
    text = contents.str();
    return true;
  }
  catalog::ConfigurationPtr read_config(const std::string& file) {
    std::string text;
    if (!read_file(file, text)) {
      fail(bad_input, file + ": cannot be read");
      return nullptr;
    }
    Fault fault;
    auto read = catalog::parse_configuration(text, fault);
    if (!read) fail(bad_input, file + ": " + fault.text());
    return read;
  }

  const Options& options_;
  net::Loop loop_;
  AdminClient caller_;
  std::FILE* out_;
  std::FILE* err_;
};

int Session::report_error(const AdminReply& reply) {
  if (reply.status == 0) return fail(failed, reply.fault);
  Fault fault;
  Json json = catalog::parse_json(reply.body, fault);
  std::string what = json ? text_of(json.get(), "errorText") : reply.body;
  return fail(reply.status >= 500 ? failed : refused,
              fmt::format("{}: {} {}", reply.from, reply.status, what));
}

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

// Asks every member separately, so that disagreement between members is visible.
int Session::status() {
  std::vector<std::vector<std::string>> rows = {
      {"member", "leads", "term", "commit", "edition", "nodes", "edges", "leader", ""}};
  std::size_t answered = 0;
  bool leaderless = false;
  std::set<std::string> revisions, leaders;
  for (const std::string& member : caller_.members()) {
    AdminReply reply =
        caller_.call_member(member, {"GET", "/pearspar/status", "", "", ""},
                            net::Duration(std::min(double{status_timeout_s}, options_.timeout_s)));
    Fault fault;
    Json json = reply.status == 200 ? catalog::parse_json(reply.body, fault) : nullptr;
    if (!json) {
      std::string why = reply.status == 0 ? reply.fault : std::to_string(reply.status);
      if (why.starts_with(member + ": ")) why.erase(0, member.size() + 2);
      rows.push_back({member, "-", "-", "-", "-", "-", "-", "-", why});
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
                    leader.empty() ? "-" : leader, status_notes(root, member)});
  }
  if (!options_.json) std::fprintf(out_, "%s", format_table(rows).c_str());
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

int Session::config_get() {
  AdminReply reply = get("/pearspar/config");
  if (reply.status != 200) return report_error(reply);
  return show_json(reply.body);
}

int Session::config_check(const std::string& file) {
  auto read = read_config(file);
  if (!read) return bad_input;
  std::fprintf(out_, "%s: good: edition %llu, %zu routes, %zu depots\n", file.c_str(),
               static_cast<unsigned long long>(read->revision), read->routes.size(), read->services.size());
  return good;
}

int Session::read_current_revision(catalog::Revision& base) {
  base = 0;
  AdminReply reply = get("/pearspar/config");
  if (reply.status != 200 && reply.status != 404) return report_error(reply);
  Fault fault;
  if (reply.status == 200)
    if (auto current = catalog::parse_configuration(reply.body, fault)) base = current->revision;
  return good;
}

int Session::put(const catalog::Configuration& next, catalog::Revision base) {
  AdminReply reply =
      caller_.call({"PUT", "/pearspar/config", fmt::format("If-Match: {}\r\n", base), next.text, ""},
                   net::Duration(options_.timeout_s));
  if (reply.status == 200) return good;
  const int result = report_error(reply);
  if (result != failed) return result;
  return fail(failed,
              fmt::format("it is not known whether edition {} is taken; the same order again is safe: "
                          "--on {} config put",
                          next.revision, base));
}

int Session::config_put(const std::string& file) {
  auto next = read_config(file);
  if (!next) return bad_input;
  catalog::Revision base = 0;
  if (options_.base_revision >= 0)
    base = static_cast<catalog::Revision>(options_.base_revision);
  else if (int result = read_current_revision(base))
    return fail(result, "what stands could not be read; nothing was sent");
  if (int result = put(*next, base)) return result;
  // The same text may have been applied before; then this command has changed nothing.
  bool applied_before = next->revision <= base;
  std::fprintf(out_,
               applied_before ? "edition %llu was taken before; %llu is in place\n"
                              : "edition %llu is taken on top of %llu\n",
               static_cast<unsigned long long>(next->revision), static_cast<unsigned long long>(base));
  return applied_before ? differs : good;
}

// Lists the routes that are added, removed and changed.
int Session::config_diff(const std::string& file) {
  auto next = read_config(file);
  if (!next) return bad_input;
  AdminReply reply = get("/pearspar/config");
  if (reply.status != 200) return report_error(reply);
  Fault fault;
  Json before = catalog::parse_json(reply.body, fault), after = catalog::parse_json(next->text, fault);
  auto routes = [](const cJSON* json) {
    std::map<std::string, std::string> found;
    const cJSON* route = nullptr;
    cJSON_ArrayForEach(route, cJSON_GetObjectItemCaseSensitive(json, "postalRoutes")) {
      char* printed = cJSON_PrintUnformatted(route);
      found[text_of(route, "hostName") + text_of(route, "pathPrefix")] = printed;
      cJSON_free(printed);
    }
    return found;
  };
  auto old_routes = routes(before.get()), new_routes = routes(after.get());
  std::string out;
  for (const auto& [place, text] : old_routes)
    if (!new_routes.count(place))
      out += "- " + place + "\n";
    else if (new_routes[place] != text)
      out += "~ " + place + "\n    " + text + "\n    " + new_routes[place] + "\n";
  for (const auto& [place, text] : new_routes)
    if (!old_routes.count(place)) out += "+ " + place + "\n";
  out = fmt::format("edition {} -> {}\n", text_of(before.get(), "edition"), next->revision) + out;
  std::fprintf(out_, "%s", out.c_str());
  return old_routes == new_routes ? good : differs;
}

int Session::config_watch() {
  std::string last_line;
  net::Time end = loop_.read_clock() + net::Duration(options_.watch_duration_s);
  while (options_.watch_duration_s <= 0 || loop_.read_clock() < end) {
    AdminReply reply = get("/pearspar/history?newest=1");
    Fault fault;
    Json json = reply.status == 200 ? catalog::parse_json(reply.body, fault) : nullptr;
    if (json) {
      const cJSON* taken = cJSON_GetObjectItemCaseSensitive(json.get(), "taken");
      const cJSON* last = cJSON_GetArrayItem(taken, cJSON_GetArraySize(taken) - 1);
      std::string line = last ? text_of(last, "edition") + "  " + text_of(last, "digest") : "none taken yet";
      if (line != last_line) std::fprintf(out_, "%s\n", line.c_str());
      std::fflush(out_);
      last_line = line;
    } else {
      report_error(reply);
    }
    net::Time next_poll = loop_.read_clock() + net::Duration(options_.watch_interval_s);
    while (loop_.read_clock() < next_poll) loop_.run_once(next_poll - loop_.read_clock());
  }
  return good;
}

// Lists the newest 200 revisions, or the number given.
int Session::history(const std::string& newest) {
  if (newest.find_first_not_of("0123456789") != newest.npos || newest.size() > 9)
    return fail(bad_input, newest + ": is no number of editions");
  AdminReply reply = get(newest.empty() ? "/pearspar/history" : "/pearspar/history?newest=" + newest);
  if (reply.status != 200) return report_error(reply);
  if (options_.json) return show_json(reply.body);
  Fault fault;
  Json json = catalog::parse_json(reply.body, fault);
  std::vector<std::vector<std::string>> rows = {{"edition", "digest"}};
  const cJSON* taken = nullptr;
  cJSON_ArrayForEach(taken, cJSON_GetObjectItemCaseSensitive(json.get(), "taken"))
      rows.push_back({text_of(taken, "edition"), text_of(taken, "digest")});
  std::fprintf(out_, "%s", format_table(rows).c_str());
  return good;
}

// The same order again is safe while it is under way.
int Session::rollout_start(const std::string& service, const std::string& version,
                           const std::string& seconds) {
  char* end = nullptr;
  double over_s = std::strtod(seconds.c_str(), &end);
  if (seconds.empty() || *end != '\0' || !(over_s > 0))
    return fail(bad_input, seconds + ": is no number of seconds");
  std::string body = fmt::format(R"({{"depot":{},"targetEdition":{},"overS":{}}})", catalog::quoted(service),
                                 catalog::quoted(version), over_s);
  AdminReply reply =
      caller_.call({"POST", "/pearspar/rollouts", "", body, ""}, net::Duration(options_.timeout_s));
  if (reply.status != 200) {
    const int result = report_error(reply);
    if (result != failed) return result;
    return fail(failed, "it is not known whether the order is taken; the same order again is safe");
  }
  Fault fault;
  Json json = catalog::parse_json(reply.body, fault);
  std::fprintf(out_, "%s to %s: %s\n", service.c_str(), version.c_str(),
               text_of(json.get(), "nodeState").c_str());
  return good;
}

// The newest roll-out of each service, or of one.
int Session::rollout_status(const std::string& service) {
  AdminReply reply = get("/pearspar/rollouts");
  if (reply.status != 200) return report_error(reply);
  if (options_.json && service.empty()) return show_json(reply.body);
  Fault fault;
  Json json = catalog::parse_json(reply.body, fault);
  std::vector<std::vector<std::string>> rows = {
      {"depot", "edition", "state", "elapsed s", "over s", "share", "calls", "of requests", "why"}};
  const cJSON* rollout = nullptr;
  cJSON_ArrayForEach(rollout, cJSON_GetObjectItemCaseSensitive(json.get(), "rollouts")) {
    if (!service.empty() && text_of(rollout, "depot") != service) continue;
    const cJSON* share = cJSON_GetObjectItemCaseSensitive(rollout, "share");
    rows.push_back({text_of(rollout, "depot"), text_of(rollout, "targetEdition"),
                    text_of(rollout, "nodeState"), text_of(rollout, "elapsedS"), text_of(rollout, "overS"),
                    cJSON_IsNumber(share) ? fmt::format("{:.2f}", share->valuedouble) : "-",
                    text_of(rollout, "exposed"), text_of(rollout, "requests"), text_of(rollout, "why")});
  }
  if (rows.size() == 1)
    return fail(refused, service.empty() ? "no roll-out was ordered" : service + ": no roll-out was ordered");
  std::fprintf(out_, "%s", format_table(rows).c_str());
  return good;
}

// The reason of the newest step, and the votes while the roll-out is in transit.
int Session::rollout_why(const std::string& service) {
  AdminReply reply = get("/pearspar/rollouts");
  if (reply.status != 200) return report_error(reply);
  Fault fault;
  Json json = catalog::parse_json(reply.body, fault);
  const cJSON* rollout = nullptr;
  cJSON_ArrayForEach(rollout, cJSON_GetObjectItemCaseSensitive(json.get(), "rollouts")) {
    if (text_of(rollout, "depot") != service) continue;
    std::fprintf(out_, "%s to %s: %s\n%s\n", service.c_str(), text_of(rollout, "targetEdition").c_str(),
                 text_of(rollout, "nodeState").c_str(), text_of(rollout, "why").c_str());
    std::vector<std::vector<std::string>> rows = {{"edge", "zone", "calls", "bad", "evidence"}};
    const cJSON* vote = nullptr;
    cJSON_ArrayForEach(vote, cJSON_GetObjectItemCaseSensitive(rollout, "votes")) {
      const cJSON* evidence = cJSON_GetObjectItemCaseSensitive(vote, "evidence");
      rows.push_back({text_of(vote, "edge"), text_of(vote, "zoneName"), text_of(vote, "calls"),
                      text_of(vote, "bad"),
                      cJSON_IsNumber(evidence) ? fmt::format("{:.1f}", evidence->valuedouble) : "-"});
    }
    if (rows.size() > 1) std::fprintf(out_, "%s", format_table(rows).c_str());
    return good;
  }
  return fail(refused, service + ": no roll-out was ordered");
}

// Lists all quota counts, or those of one holder and its sub-accounts.
int Session::allowance_show(const std::string& holder) {
  AdminReply reply = get("/pearspar/allowance");
  if (reply.status != 200) return report_error(reply);
  if (options_.json && holder.empty()) return show_json(reply.body);
  Fault fault;
  Json json = catalog::parse_json(reply.body, fault);
  const char* keys[] = {"window",  "holder",    "kind",     "limit",   "drawn", "unsure",
                        "inDoubt", "givenBack", "repeated", "refused", "out"};
  std::vector<std::vector<std::string>> rows = {{"window", "holder", "kind", "limit", "drawn", "unsure",
                                                 "in doubt", "given back", "repeated", "refused", "out"}};
  const cJSON* line = nullptr;
  cJSON_ArrayForEach(line, cJSON_GetObjectItemCaseSensitive(json.get(), "counts")) {
    std::string of = text_of(line, "holder");
    if (!holder.empty() && of != holder && !of.starts_with(holder + "/")) continue;
    std::vector<std::string>& row = rows.emplace_back();
    for (const char* key : keys) row.push_back(text_of(line, key));
  }
  if (rows.size() == 1)
    return fail(refused, holder.empty() ? "no allowance was drawn on" : holder + ": nothing drawn");
  std::fprintf(out_, "%s", format_table(rows).c_str());
  return good;
}

// Writes one JSON line per count, oldest window first, and a last line with the log position and a digest.
// The file is renamed into place when it is complete.
int Session::allowance_export(const std::string& file) {
  AdminReply reply = get("/pearspar/allowance");
  if (reply.status != 200) return report_error(reply);
  Fault fault;
  Json json = catalog::parse_json(reply.body, fault);
  const cJSON* counts = cJSON_GetObjectItemCaseSensitive(json.get(), "counts");
  std::vector<std::string> lines;
  const cJSON* line = nullptr;
  cJSON_ArrayForEach(line, counts) {
    char* printed = cJSON_PrintUnformatted(line);
    lines.emplace_back(printed);
    cJSON_free(printed);
  }
  // The reply lists the newest window first, and each window by holder and kind.
  std::stable_sort(lines.begin(), lines.end(), [](const std::string& a, const std::string& b) {
    auto window = [](const std::string& text) {
      return std::strtoull(text.c_str() + text.find(':') + 1, nullptr, 10);
    };
    return window(a) < window(b);
  });
  std::string temporary_file = file + ".part";
  std::ofstream out(temporary_file, std::ios::binary | std::ios::trunc);
  std::string contents;
  for (const std::string& count : lines) contents += count + "\n";
  auto digest = control_plane::digest_of(contents);
  out << contents
      << fmt::format(R"({{"signedOff":{{"term":{},"position":{},"window":{},)"
                     R"("lines":{},"digest":"{:016x}{:016x}"}}}})",
                     text_of(json.get(), "term"), text_of(json.get(), "position"),
                     text_of(json.get(), "window"), lines.size(), digest.first, digest.second)
      << "\n";
  out.close();
  if (!out || std::rename(temporary_file.c_str(), file.c_str()) != 0) {
    std::remove(temporary_file.c_str());
    return fail(failed, file + ": cannot be written");
  }
  std::fprintf(out_, "%s: %zu counts up to position %s\n", file.c_str(), lines.size(),
               text_of(json.get(), "position").c_str());
  return good;
}

int Session::snapshot_save(const std::string& file) {
  AdminReply reply = get("/pearspar/snapshot");
  if (reply.status != 200) return report_error(reply);
  // Renamed into place when it is complete.
  std::string temporary_file = file + ".part";
  std::ofstream out(temporary_file, std::ios::binary | std::ios::trunc);
  out << reply.body << "\n";
  out.close();
  if (!out || std::rename(temporary_file.c_str(), file.c_str()) != 0) {
    std::remove(temporary_file.c_str());
    return fail(failed, file + ": cannot be written");
  }
  return snapshot_verify(file);
}

int Session::snapshot_verify(const std::string& file, catalog::ConfigurationPtr* held) {
  std::string text;
  if (!read_file(file, text)) return fail(bad_input, file + ": cannot be read");
  Fault fault;
  Json json = catalog::parse_json(text, fault);
  if (!json) return fail(bad_input, file + ": " + fault.text());
  const cJSON* root = json.get();
  if (text_of(root, "format") != "1")
    return fail(bad_input, file + ": format " + text_of(root, "format") + ", and this program reads 1");
  const cJSON* configuration = cJSON_GetObjectItemCaseSensitive(root, "configuration");
  if (!cJSON_IsString(configuration)) return fail(bad_input, file + ": configuration: is no text");
  std::string configuration_text = configuration->valuestring;
  auto digest = control_plane::digest_of(configuration_text);
  if (fmt::format("{:016x}{:016x}", digest.first, digest.second) != text_of(root, "digest"))
    return fail(bad_input, file + ": digest: does not fit the configuration");
  catalog::ConfigurationPtr read;
  if (!configuration_text.empty() && !(read = catalog::parse_configuration(configuration_text, fault)))
    return fail(bad_input, file + ": configuration: " + fault.text());
  if (std::to_string(read ? read->revision : 0) != text_of(root, "edition"))
    return fail(bad_input, file + ": edition: is not the configuration's");
  if (held) *held = read;
  std::fprintf(out_, "%s: good: edition %s\n", file.c_str(), text_of(root, "edition").c_str());
  return good;
}

// Restores into a core that has no configuration, or an older one.
int Session::snapshot_restore(const std::string& file) {
  catalog::ConfigurationPtr held;
  if (int result = snapshot_verify(file, &held)) return result;
  if (!held) return fail(refused, file + ": holds no configuration");
  catalog::Revision base = 0;
  if (int result = read_current_revision(base))
    return fail(result, "what stands could not be read; nothing was sent");
  int result = put(*held, base);
  if (result == good)
    std::fprintf(out_, "edition %llu is back\n", static_cast<unsigned long long>(held->revision));
  return result;
}

}  // namespace

const char* usage() {
  return "[OPTIONS] serve | check-settings | status | members | leader | nodes | drain ID |\n"
         "        config get|check FILE|put FILE|diff FILE|watch|history [N] | snapshot save|verify|restore "
         "FILE "
         "|\n"
         "        rollout start DEPOT EDITION SECONDS | rollout status [DEPOT] | rollout why DEPOT |\n"
         "        allowance show [HOLDER] | allowance export FILE";
}

bool is_admin_command(const std::string& command) {
  for (const char* known :
       {"status", "members", "leader", "nodes", "drain", "config", "snapshot", "allowance", "rollout"})
    if (command == known) return true;
  return false;
}

namespace {

int run_command(const std::vector<std::string>& words, const Options& options, std::FILE* out,
                std::FILE* err) {
  Session session(options, out, err);
  auto is = [&](std::initializer_list<const char*> command, std::size_t operands) {
    return words.size() == command.size() + operands &&
           std::equal(command.begin(), command.end(), words.begin());
  };
  bool offline = is({"config", "check"}, 1) || is({"snapshot", "verify"}, 1);
  if (!offline && options.members.empty()) {
    std::fprintf(err,
                 "altavia: no member is named: --at ADDRESS[,ADDRESS...], or a settings file with seeds\n");
    return bad_input;
  }
  for (const std::string& member : options.members)
    if (!offline && !net::Address::parse(member)) {
      std::fprintf(err, "altavia: %s: is no address such as 10.0.0.1:8729\n", member.c_str());
      return bad_input;
    }
  if (is({"status"}, 0)) return session.status();
  if (is({"members"}, 0)) return session.members();
  if (is({"leader"}, 0)) return session.leader();
  if (is({"nodes"}, 0)) return session.nodes();
  if (is({"drain"}, 1)) return session.drain(words[1]);
  if (is({"config", "get"}, 0)) return session.config_get();
  if (is({"config", "check"}, 1)) return session.config_check(words[2]);
  if (is({"config", "put"}, 1)) return session.config_put(words[2]);
  if (is({"config", "diff"}, 1)) return session.config_diff(words[2]);
  if (is({"config", "watch"}, 0)) return session.config_watch();
  if (is({"config", "history"}, 0)) return session.history({});
  if (is({"config", "history"}, 1)) return session.history(words[2]);
  if (is({"rollout", "start"}, 3)) return session.rollout_start(words[2], words[3], words[4]);
  if (is({"rollout", "status"}, 0)) return session.rollout_status({});
  if (is({"rollout", "status"}, 1)) return session.rollout_status(words[2]);
  if (is({"rollout", "why"}, 1)) return session.rollout_why(words[2]);
  if (is({"allowance", "show"}, 0)) return session.allowance_show({});
  if (is({"allowance", "show"}, 1)) return session.allowance_show(words[2]);
  if (is({"allowance", "export"}, 1)) return session.allowance_export(words[2]);
  if (is({"snapshot", "save"}, 1)) return session.snapshot_save(words[2]);
  if (is({"snapshot", "verify"}, 1)) return session.snapshot_verify(words[2]);
  if (is({"snapshot", "restore"}, 1)) return session.snapshot_restore(words[2]);
  std::fprintf(err, "altavia: no such command; there are: %s\n", usage());
  return bad_input;
}

}  // namespace

int run(const std::vector<std::string>& words, const Options& options, std::FILE* out, std::FILE* err) {
  const int result = run_command(words, options, out, err);
  // A failed write, such as to a full disk, must not look like success.
  if (std::fflush(out) == 0 && !std::ferror(out)) return result;
  std::fprintf(err, "altavia: the output cannot be written\n");
  return result == good ? failed : result;
}

}  // namespace pearspar::admin_client
