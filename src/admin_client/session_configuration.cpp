// Commands on the configuration: get, check, put, diff, watch, history.
#include <fmt/format.h>

#include <algorithm>
#include <map>

#include "admin_client/session.h"

namespace pearspar::admin_client {

using catalog::Fault;
using catalog::Json;

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

}  // namespace pearspar::admin_client
