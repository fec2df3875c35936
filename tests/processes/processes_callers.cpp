// Those who call a system while it is troubled: operators, readers, clients, whoever looks at its state. Each
// runs in a thread of its own, with a loop of its own.
#include <fmt/format.h>

#include <algorithm>
#include <chrono>
#include <random>
#include <thread>

#include "admin_client/admin_client.h"
#include "catalog/json.h"
#include "processes/processes.h"

namespace pearspar::processes {
namespace {

using namespace std::chrono_literals;
using admin_client::AdminClient;
using admin_client::AdminReply;

constexpr net::Duration one_call = 1500ms;
constexpr double most_open_s = 45;  // an order without a definite answer, all being well at its end
constexpr double agree_within_s = 20;
constexpr int least_routes = 3;  // of a configuration, beside those that are probed

void rest(double seconds) { std::this_thread::sleep_for(std::chrono::duration<double>(seconds)); }

AdminReply put(AdminClient& caller, const std::string& member, const Order& order,
               net::Duration within = one_call) {
  return caller.call_member(
      member, {"PUT", "/pearspar/config", fmt::format("If-Match: {}\r\n", order.base), order.text, ""},
      within);
}

std::string pick(const std::vector<std::string>& from, std::mt19937_64& random) {
  return from.empty() ? std::string() : from[random() % from.size()];
}

// Sent to any member, again and again and unchanged, until somebody says something definite.
void see_through(Scene& scene, AdminClient& caller, const Order& order, std::mt19937_64& random,
                 bool lose_first, std::string member) {
  const double began = scene.judge.now();
  if (lose_first) put(caller, member, order, std::chrono::duration<double>(0.0002 * double(random() % 40)));
  for (double pause = 0.01;; pause = std::min(pause * 2, 0.2)) {
    const AdminReply reply = put(caller, member, order);
    if (scene.judge.answered(order, reply.status, reply.body)) break;
    if (scene.judge.now() - began > most_open_s)
      return scene.judge.fault("ORDER", fmt::format("edition {} has no definite answer after {:.0f} s: {}",
                                                    order.revision, most_open_s, reply.fault + reply.body));
    rest(pause);
    member = pick(scene.controls(), random);
  }
  scene.judge.waited(scene.judge.now() - began);
  if (random() % 8 == 0) {  // once more, to anybody
    const AdminReply again = put(caller, pick(scene.controls(), random), order);
    scene.judge.answered(order, again.status, again.body);
  }
}

}  // namespace

std::vector<std::string> Scene::controls() {
  std::lock_guard lock(mutex);
  return members;
}

std::string Scene::leader() {
  std::lock_guard lock(mutex);
  for (const auto& [address, each] : standing)
    if (each.answers && each.leads) return address;
  return {};
}

namespace {

std::string probe_route_text(const ProbeRoute& route, std::uint64_t revision) {
  const std::string prefix = route.path_prefix();
  std::string name = prefix.substr(1, prefix.size() - 2);
  std::replace(name.begin(), name.end(), '/', '-');
  return fmt::format(
      R"(,{{"name":"{}","hostName":"hall.example","pathPrefix":"{}","lineKind":"{}","deadlineMs":1000,)"
      R"("targetMs":150,"precedence":2,"depot":"{}","tries":2}})",
      name, prefix, route.is_safe() ? "safe" : "unsafe", route.service_at(revision).value());
}

}  // namespace

std::string configuration(std::uint64_t revision, const std::string& mark, int routes, bool probed) {
  std::string text = fmt::format(
      R"({{"edition":{},"postalRoutes":[{{"name":"g","hostName":"hall.example","pathPrefix":"/g/",)"
      R"("lineKind":"safe","deadlineMs":1000,"targetMs":150,"precedence":1,"gatherFrom":["shard0","shard1"],)"
      R"("tries":2,"topN":20,"minShare":0.5}},{{"name":"s","hostName":"hall.example","pathPrefix":"/s/",)"
      R"("lineKind":"safe","deadlineMs":1000,"targetMs":150,"precedence":2,"depot":"plain","tries":2}},)"
      R"({{"name":"l","hostName":"hall.example","pathPrefix":"/l/",)"
      R"("lineKind":"safe","deadlineMs":4000,"targetMs":1500,"precedence":2,"depot":"plain","tries":2}},)"
      R"({{"name":"u","hostName":"hall.example","pathPrefix":"/u/",)"
      R"("lineKind":"unsafe","deadlineMs":1000,"targetMs":150,"precedence":2,"depot":"plain","tries":2}})",
      revision);
  for (int i = 2; i < routes; ++i)
    text += fmt::format(
        R"(,{{"name":"e{0}","hostName":"h{0}.example","pathPrefix":"/{1}/{2}/","lineKind":"safe",)"
        R"("deadlineMs":1000,"targetMs":150,"precedence":2,"depot":"plain","tries":2}})",
        i, mark, i == 2 ? revision : 0);
  if (probed)
    text +=
        R"(,{"name":"m","hostName":"hall.example","pathPrefix":"/m/","lineKind":"safe","deadlineMs":1000,)"
        R"("targetMs":150,"precedence":1,"gatherFrom":["shard0","shard1"],"tries":2,"topN":20,"minShare":1})";
  if (probed)
    for (const ProbeRoute& route : probe_routes(revision)) text += probe_route_text(route, revision);
  text += R"(],"depots":[)";
  for (const char* service : {"shard0", "shard1", "plain"})
    text += fmt::format(R"({}{{"name":"{}","healthPath":"/health","connLimit":72}})",
                        service[5] == '0' ? "" : ",", service);
  return text + R"(],"limits":{}})";
}

void operate(Scene& scene, std::uint64_t seed, int number) {
  std::mt19937_64 random(seed * 16 + static_cast<unsigned>(number));
  net::Loop loop, rivals_loop;
  AdminClient caller(loop, {});
  while (scene.troubled) {
    const bool storms = scene.storm > 0 && scene.storm-- > 0;
    // On what is known to stand, mostly; now and then on what has just passed.
    Order order;
    order.base = scene.judge.newest();
    order.revision = order.base + 1 + random() % 3;
    auto draw_text = [&](char who) {
      const std::string mark = fmt::format("{}{}x{:x}", who, number, random() % 65536);
      return configuration(order.revision, mark, least_routes, scene.probed);
    };
    order.text = draw_text('o');
    Order rival = order;
    rival.text = draw_text('r');
    const std::vector<std::string> members = scene.controls();
    const std::string member = pick(members, random), other = pick(members, random);
    const bool lose = random() % 5 == 0;
    scene.judge.sent(order);
    if (random() % 4 == 0 && rival.text != order.text) {
      scene.judge.sent(rival);
      std::thread second([&, seed_of_rival = random()] {
        std::mt19937_64 own(seed_of_rival);
        AdminClient his(rivals_loop, {});
        see_through(scene, his, rival, own, false, other);
      });
      see_through(scene, caller, order, random, lose, member);
      second.join();
    } else {
      see_through(scene, caller, order, random, lose, member);
    }
    if (!storms) rest(0.05 + 0.001 * double(random() % 200));
  }
  --scene.at_work;
}

void read_on(Scene& scene, std::uint64_t seed) {
  std::mt19937_64 random(seed * 16 + 9);
  net::Loop loop;
  AdminClient caller(loop, {});
  while (!scene.over) {
    const double began = scene.judge.now();
    const AdminReply reply =
        caller.call_member(pick(scene.controls(), random), {"GET", "/pearspar/config", "", "", ""}, one_call);
    scene.judge.read(began, reply.status, reply.body);
    rest(0.01 + 0.001 * double(random() % 60));
  }
}

void ask_on(Scene& scene, std::uint64_t seed) {
  std::mt19937_64 random(seed * 16 + 10);
  net::Loop loop;
  AdminClient caller(loop, {});
  while (!scene.over) {
    const std::string path = random() % 2 == 0 ? "/g/x" : "/s/x";
    std::vector<std::string> edges;
    {
      std::lock_guard lock(scene.mutex);
      edges = scene.edges;
    }
    const AdminReply reply = caller.call_member(
        pick(edges, random),
        {"GET", path, fmt::format("Request-Id: {:016x}\r\nDeadline-Ms: 1000\r\n", random()), "",
         "hall.example"},
        one_call);
    if (reply.status != 0) scene.judge.client(path, reply.status);
    rest(0.02);
  }
}

void watch_on(Scene& scene) {
  net::Loop loop;
  AdminClient caller(loop, {});
  while (!scene.over) {
    for (const std::string& address : scene.controls()) {
      const AdminReply reply = caller.call_member(address, {"GET", "/pearspar/status", "", "", ""}, 150ms);
      Standing now;
      catalog::Fault fault;
      catalog::Json json = reply.status == 200 ? catalog::parse_json(reply.body, fault) : nullptr;
      if (json) {
        auto text = [](const cJSON* of, const char* key) {
          const cJSON* found = cJSON_GetObjectItemCaseSensitive(of, key);
          return std::string(cJSON_IsString(found) ? found->valuestring : "");
        };
        now.answers = true;
        now.leads = cJSON_IsTrue(cJSON_GetObjectItemCaseSensitive(json.get(), "leads"));
        const cJSON* revision = cJSON_GetObjectItemCaseSensitive(json.get(), "edition");
        now.revision = cJSON_IsNumber(revision) ? static_cast<std::uint64_t>(revision->valuedouble) : 0;
        const std::string host = address.substr(0, address.find(':'));
        const cJSON* member = nullptr;
        cJSON_ArrayForEach(member, cJSON_GetObjectItemCaseSensitive(json.get(), "members")) {
          const std::string inner = text(member, "address");
          now.members.insert(inner.substr(0, inner.find(':')));
          if (inner.starts_with(host + ":")) now.id = text(member, "id");
        }
      }
      std::lock_guard lock(scene.mutex);
      scene.standing[address] = now;
    }
    rest(0.1);
  }
}

void close_books(Scene& scene) {
  net::Loop loop;
  AdminClient caller(loop, {});
  std::mt19937_64 random(1);
  // All that are about agree, and know what was taken.
  const double began = scene.judge.now();
  for (std::string why = "nobody was asked"; !why.empty(); rest(0.2)) {
    why.clear();
    std::set<std::uint64_t> revisions;
    int leaders = 0;
    {
      std::lock_guard lock(scene.mutex);
      for (const std::string& address : scene.members) {
        const Standing& each = scene.standing[address];
        if (!each.answers) why = address + " does not answer";
        revisions.insert(each.revision);
        leaders += each.leads;
        if (each.members.size() != scene.members.size())
          why = fmt::format("{} counts {} members of {}", address, each.members.size(), scene.members.size());
      }
    }
    if (why.empty() && leaders != 1) why = fmt::format("{} lead", leaders);
    if (why.empty() && (revisions.size() != 1 || *revisions.begin() < scene.judge.newest()))
      why =
          fmt::format("members are at {} editions, the newest is {}", revisions.size(), scene.judge.newest());
    if (!why.empty() && scene.judge.now() - began > agree_within_s)
      return scene.judge.fault("RECOVER",
                               fmt::format("{:.0f} s after all was mended: {}", agree_within_s, why));
  }
  // What an older program has forgotten it refuses: only as much is asked as it remembers.
  const auto definite = scene.judge.definite();
  std::vector<std::uint64_t> taken;
  for (const auto& [order, status] : definite)
    if (status == 200) taken.push_back(order.revision);
  std::sort(taken.begin(), taken.end());
  const std::uint64_t least = taken.size() > scene.remembered ? taken[taken.size() - scene.remembered] : 0;
  for (const auto& [order, status] : definite) {
    if (status == 200 && order.revision < least) continue;
    for (int tries = 0; tries < 50; ++tries) {
      const AdminReply reply = put(caller, pick(scene.controls(), random), order);
      if (scene.judge.answered(order, reply.status, reply.body)) break;
      rest(0.1);
      if (tries == 49)
        scene.judge.fault("ORDER", fmt::format("edition {} has no answer in a calm", order.revision));
    }
  }
}

}  // namespace pearspar::processes
