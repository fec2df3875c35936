#include "catalog/configuration.h"

#include <map>
#include <set>

namespace pearspar::catalog {
namespace {

constexpr double day_ms = 86'400'000;
constexpr double most_bytes = 64 << 20;

void read_targets(JsonReader& in, Route& route, const std::set<std::string>& known) {
  auto check = [&](const char* key, const std::string& service) {
    if (!known.count(service)) in.fail(key, "names no depot of this configuration: '" + service + "'");
  };
  int forms = in.has("depot") + in.has("splitList") + in.has("gatherFrom");
  if (forms != 1) return in.fail("depot", "one of depot, splitList and gatherFrom is wanted");
  if (in.has("depot")) {
    route.services.push_back({in.text("depot"), 1});
    check("depot", route.services[0].service);
  } else if (in.has("splitList")) {
    double sum = 0;
    for (JsonReader& part : in.objects("splitList")) {
      route.services.push_back({part.text("depot"), part.number("share", 0, 1e9)});
      check("splitList", route.services.back().service);
      sum += route.services.back().weight;
    }
    if (!(sum > 0)) in.fail("splitList", "the shares add up to 0");
  } else {
    route.shards = in.texts("gatherFrom");
    if (route.shards.empty()) in.fail("gatherFrom", "names no shard");
    std::set<std::string> once;
    for (const std::string& shard : route.shards) {
      check("gatherFrom", shard);
      if (!once.insert(shard).second) in.fail("gatherFrom", "names '" + shard + "' twice");
    }
    route.max_records = static_cast<int>(in.number_or("topN", 0, 0, 1e6));
    route.min_shard_ratio = in.number_or("minShare", 0, 0, 1);
  }
}

Route read_route(JsonReader& in, const std::set<std::string>& known) {
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
  read_targets(in, route, known);
  return route;
}

std::string place_of(const std::string& holder, const std::string& kind) { return holder + '\n' + kind; }

std::shared_ptr<const QuotaRules> read_quota_rules(JsonReader& in, const std::vector<Route>& routes) {
  auto read = std::make_shared<QuotaRules>();
  std::set<std::string> kinds;
  for (const Route& route : routes)
    if (!route.quota_kind.empty()) kinds.insert(route.quota_kind);
  read->window_ms = in.number_or("windowMs", read->window_ms, 1000, 32 * day_ms);
  read->holder_header = in.text("holderHeader");
  if (in.good() && read->holder_header.empty()) in.fail("holderHeader", "is empty");
  read->key_header = in.text_or("keyHeader", {});
  std::string policy = in.text_or("outOfTouch", "refuse");
  if (policy != "refuse" && policy != "spend") in.fail("outOfTouch", "is neither refuse nor spend");
  read->spend_when_disconnected = policy == "spend";
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
    if (!read->places.emplace(place_of(account.holder, account.kind), read->accounts.size()).second)
      each.fail("kind", "stands twice for this holder");
    read->accounts.push_back(std::move(account));
  }
  return read;
}

}  // namespace

const QuotaAccount* QuotaRules::find(const std::string& holder, const std::string& kind) const {
  auto found = places.find(place_of(holder, kind));
  return found == places.end() ? nullptr : &accounts[found->second];
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
  auto read = std::make_shared<Configuration>();
  double revision = in.number("edition", 1, 9e15);
  read->revision = static_cast<Revision>(revision);
  if (static_cast<double>(read->revision) != revision) in.fail("edition", "is no whole number");
  std::set<std::string> known;
  if (!in.has("depots")) in.fail("depots", "is missing");
  if (!in.has("postalRoutes")) in.fail("postalRoutes", "is missing");
  for (JsonReader& each : in.objects("depots")) {
    Service service;
    service.name = each.text("name");
    service.health_path = each.text_or("healthPath", {});
    service.connections = static_cast<int>(each.number_or("connLimit", 0, 0, 1e6));
    if (!known.insert(service.name).second) each.fail("name", "stands twice");
    read->services.push_back(std::move(service));
  }
  std::set<std::pair<std::string, std::string>> places;
  for (JsonReader& each : in.objects("postalRoutes")) {
    read->routes.push_back(read_route(each, known));
    const Route& route = read->routes.back();
    if (!places.emplace(route.host, route.path_prefix).second)
      each.fail("pathPrefix", "stands twice for this host");
    if (!in.good()) break;
  }
  if (auto limits = in.object("limits")) {
    Limits& to = read->limits;
    to.header_bytes = static_cast<std::size_t>(
        limits->number_or("maxHeaderBytes", static_cast<double>(to.header_bytes), 256, most_bytes));
    to.body_bytes = static_cast<std::size_t>(
        limits->number_or("maxBodyBytes", static_cast<double>(to.body_bytes), 0, most_bytes));
    to.header_wait_ms = limits->number_or("headerWaitMs", to.header_wait_ms, 1, day_ms);
    to.idle_ms = limits->number_or("idleLimitMs", to.idle_ms, 1, day_ms);
  }
  if (auto allowances = in.object("allowances"))
    read->quota_rules = read_quota_rules(*allowances, read->routes);
  if (!in.good()) return nullptr;
  read->text = text;
  return read;
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
