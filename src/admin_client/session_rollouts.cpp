// Commands on roll-outs: start, status, why.
#include <fmt/format.h>

#include "admin_client/session.h"

namespace pearspar::admin_client {

using catalog::Fault;
using catalog::Json;

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

}  // namespace pearspar::admin_client
