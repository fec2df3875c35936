#include "catalog/configuration.h"

#include <map>
#include <set>

namespace pearspar::catalog {
namespace {

constexpr double day_ms = 86'400'000;
constexpr double max_limit_bytes = 64 << 20;

void parse_targets(JsonReader& in, Route& route, const std::set<std::string>& known_services) {
  auto check_known = [&](const char* key, const std::string& service) {
    if (!known_services.count(service))
      in.fail(key, "names no depot of this configuration: '" + service + "'");
  };
  int target_count = in.has("depot") + in.has("splitList") + in.has("gatherFrom");
  if (target_count != 1) return in.fail("depot", "one of depot, splitList and gatherFrom is wanted");
  if (in.has("depot")) {
    route.services.push_back({in.text("depot"), 1});
    check_known("depot", route.services[0].service);
  } else if (in.has("splitList")) {
    double sum = 0;
    for (JsonReader& part : in.objects("splitList")) {
      route.services.push_back({part.text("depot"), part.number("share", 0, 1e9)});
      check_known("splitList", route.services.back().service);
      sum += route.services.back().weight;
    }
    if (!(sum > 0)) in.fail("splitList", "the shares add up to 0");
  } else {
    route.shards = in.texts("gatherFrom");
    if (route.shards.empty()) in.fail("gatherFrom", "names no shard");
    std::set<std::string> seen;
    for (const std::string& shard : route.shards) {
      check_known("gatherFrom", shard);
      if (!seen.insert(shard).second) in.fail("gatherFrom", "names '" + shard + "' twice");
    }
    route.max_records = static_cast<int>(in.number_or("topN", 0, 0, 1e6));
    route.min_shard_ratio = in.number_or("minShare", 0, 0, 1);
  }
}

Route parse_route(JsonReader& in, const std::set<std::string>& known_services) {
  Route route;
  route.name = in.text_or("name", {});
  route.host = in.text("hostName");
  route.path_prefix = in.text("pathPrefix");
  if (in.good() &&
      (route.path_prefix.empty() || route.path_prefix.front() != '/' || route.path_prefix.back() != '/'))
    in.fail("pathPrefix", "does not begin and end with a slash");
  std::string kind = in.text("lineKind");
  if (in.good() && kind != "safe" && kind != "unsafe") in.fail("lineKind", "is neither safe nor unsafe");
  route.safe = kind == "safe";
  route.deadline_ms = in.number("deadlineMs", 0, day_ms);
  if (in.good() && !(route.deadline_ms > 0)) in.fail("deadlineMs", "is 0");
  route.target_ms = in.number_or("targetMs", 0, 0, day_ms);
  route.precedence = static_cast<int>(in.number_or("precedence", 0, 0, 1e6));
  route.max_attempts = static_cast<int>(in.number_or("tries", 1, 0, 1000));
  if (route.max_attempts < 1) route.max_attempts = 1;
  route.quota_kind = in.text_or("allowanceKind", {});
  parse_targets(in, route, known_services);
  return route;
}

std::string index_key(const std::string& holder, const std::string& kind) { return holder + '\n' + kind; }

std::shared_ptr<const QuotaRules> parse_quota_rules(JsonReader& in, const std::vector<Route>& routes) {
  auto rules = std::make_shared<QuotaRules>();
  std::set<std::string> kinds;
  for (const Route& route : routes)
    if (!route.quota_kind.empty()) kinds.insert(route.quota_kind);
  rules->window_ms = in.number_or("windowMs", rules->window_ms, 1000, 32 * day_ms);
  rules->holder_header = in.text("holderHeader");
  if (in.good() && rules->holder_header.empty()) in.fail("holderHeader", "is empty");
  rules->key_header = in.text_or("keyHeader", {});
  std::string policy = in.text_or("outOfTouch", "refuse");
  if (policy != "refuse" && policy != "spend") in.fail("outOfTouch", "is neither refuse nor spend");
  rules->spend_when_disconnected = policy == "spend";
  for (JsonReader& each : in.objects("accounts")) {
    QuotaAccount account;
    std::string firm = each.text("firm"), branch = each.text_or("branch", {});
    if (each.good() && (firm.empty() || firm.find_first_of("/\n") != firm.npos))
      each.fail("firm", "is empty or holds a slash");
    if (branch.find_first_of("/\n") != branch.npos) each.fail("branch", "holds a slash");
    account.holder = branch.empty() ? firm : firm + "/" + branch;
    account.kind = each.text("kind");
    if (each.good() && !kinds.count(account.kind)) each.fail("kind", "is no route's allowanceKind");
    account.limit = static_cast<std::uint64_t>(each.number("limit", 0, 1e12));
    account.borrows = each.flag_or("borrows", false);
    if (account.borrows && branch.empty()) each.fail("borrows", "is for branches");
    if (!each.good()) break;
    if (!rules->account_index.emplace(index_key(account.holder, account.kind), rules->accounts.size()).second)
      each.fail("kind", "stands twice for this holder");
    rules->accounts.push_back(std::move(account));
  }
  return rules;
}

}  // namespace

const QuotaAccount* QuotaRules::find(const std::string& holder, const std::string& kind) const {
  auto found = account_index.find(index_key(holder, kind));
  return found == account_index.end() ? nullptr : &accounts[found->second];
}

ConfigurationPtr parse_configuration(std::string_view text, Fault& fault) {
  fault = {};
  Json json = parse_json(text, fault);
  if (!json) return nullptr;
  if (!cJSON_IsObject(json.get())) {
    fault = {{}, "is no object"};
    return nullptr;
  }
  JsonReader in(json.get(), {}, fault);
  auto configuration = std::make_shared<Configuration>();
  double revision = in.number("edition", 1, 9e15);
  configuration->revision = static_cast<Revision>(revision);
  if (static_cast<double>(configuration->revision) != revision) in.fail("edition", "is no whole number");
  std::set<std::string> known_services;
  if (!in.has("depots")) in.fail("depots", "is missing");
  if (!in.has("postalRoutes")) in.fail("postalRoutes", "is missing");
  for (JsonReader& each : in.objects("depots")) {
    Service service;
    service.name = each.text("name");
    service.health_path = each.text_or("healthPath", {});
    service.max_connections = static_cast<int>(each.number_or("connLimit", 0, 0, 1e6));
    if (!known_services.insert(service.name).second) each.fail("name", "stands twice");
    configuration->services.push_back(std::move(service));
  }
  std::set<std::pair<std::string, std::string>> seen_prefixes;
  for (JsonReader& each : in.objects("postalRoutes")) {
    configuration->routes.push_back(parse_route(each, known_services));
    const Route& route = configuration->routes.back();
    if (!seen_prefixes.emplace(route.host, route.path_prefix).second)
      each.fail("pathPrefix", "stands twice for this host");
    if (!in.good()) break;
  }
  if (auto limits = in.object("limits")) {
    Limits& target = configuration->limits;
    target.header_bytes = static_cast<std::size_t>(
        limits->number_or("maxHeaderBytes", static_cast<double>(target.header_bytes), 256, max_limit_bytes));
    target.body_bytes = static_cast<std::size_t>(
        limits->number_or("maxBodyBytes", static_cast<double>(target.body_bytes), 0, max_limit_bytes));
    target.header_wait_ms = limits->number_or("headerWaitMs", target.header_wait_ms, 1, day_ms);
    target.idle_ms = limits->number_or("idleLimitMs", target.idle_ms, 1, day_ms);
  }
  if (auto quota = in.object("allowances"))
    configuration->quota_rules = parse_quota_rules(*quota, configuration->routes);
  if (!in.good()) return nullptr;
  configuration->text = text;
  return configuration;
}

Revision revision_of(std::string_view text) {
  Fault fault;
  Json json = parse_json(text, fault);
  if (!json || !cJSON_IsObject(json.get())) return 0;
  JsonReader in(json.get(), {}, fault);
  auto revision = static_cast<Revision>(in.number("edition", 1, 9e15));
  return in.good() ? revision : 0;
}

}  // namespace pearspar::catalog
