// A version that was acknowledged long ago has an `unsafe` route. Then every process of the core and one edge of two
// are killed and come back within a second. Does a request on that route run twice?
#include "../broker.h"

using namespace review;

namespace {

// The site kills a share of 0.55 of the machines that do not count at most: one edge of two.
const std::string spared = "edge2";
constexpr double config_within_s = 3;
const char* const unsafe_path = "/gozi722/pay/";

std::string configuration(int edition) {
  const std::string rest = "\"lineKind\":\"%\",\"deadlineMs\":5000,\"targetMs\":500,\"precedence\":2,\"depot\":\"kafi81c\",\"tries\":2}";
  auto route = [&](const std::string& name, const std::string& prefix, const std::string& kind) {
    std::string text = "{\"name\":\"" + name + "\",\"hostName\":\"file10.example\",\"pathPrefix\":\"" + prefix + "\"," + rest;
    return text.replace(text.find('%'), 1, kind);
  };
  return "{\"edition\":" + std::to_string(edition) + ",\"postalRoutes\":[" + route("r", "/gozi722/", "safe") +
         (edition > 1 ? "," + route("p", unsafe_path, "unsafe") : "") +
         "],\"depots\":[{\"name\":\"kafi81c\",\"healthPath\":\"/health\",\"connLimit\":100,\"protocol\":\"h1\",\"tls\":false}],"
         "\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":262144,\"headerWaitMs\":3000,\"idleLimitMs\":15000}}";
}

int cannot_run(const char* why) {
  record->line("the case could not run: %s", why);
  std::fprintf(stderr, "the case could not run: %s\n", why);
  return 2;
}

int run(bool trouble) {
  Deployment system;
  for (int n = 1; n <= 3; ++n) system.add("core" + std::to_string(n), n, true);
  for (int n = 1; n <= 2; ++n) system.add("edge" + std::to_string(n), 10 + n, false);
  for (auto& [name, machine] : system.machines) system.start(name, true);
  std::size_t next = 0;
  auto put = [&](int edition) {
    Reply reply = call_core(system.controls(), next, "PUT", "/pearspar/config",
                            "If-Match: " + std::to_string(edition - 1) + "\r\nContent-Type: application/json\r\n",
                            configuration(edition), 15);
    record->line("operator sent configuration %d: %d", edition, reply.status);
    return reply.status == 200;
  };
  if (!put(1)) return cannot_run("the first configuration was not taken");
  std::vector<std::unique_ptr<Broker>> brokers;
  for (int n = 0; n < 4; ++n) {
    brokers.push_back(std::make_unique<Broker>("i-7f3a91c" + std::to_string(n), "kafi81c",
                                               system.net + "." + std::to_string(30 + n), system.controls()));
    // As the site's traffic has it: 15 ms, and four times that for 2 in 100.
    brokers.back()->work_s = 0.015;
    brokers.back()->slow_share = 0.02;
    brokers.back()->start_beats(1.2);
  }
  const std::vector<std::string> edges = {"edge1", "edge2"};
  for (const std::string& edge : edges)
    if (!wait_until(15, [&] { return system.is_ready(edge); })) return cannot_run("an edge is not ready");
  sleep_s(2);
  auto leader = [&] {  // the member that answers beats names itself for the next ones
    const std::string at = brokers[0]->beat_address();
    for (const auto& [name, machine] : system.machines)
      if (machine.ip + ":" + std::to_string(system.control) == at) return name;
    return std::string();
  };

  // Planned work: the member that leads is stopped and started again; another leads from then on.
  const std::string before = leader();
  if (before.empty()) return cannot_run("no beatAddress was told");
  system.kill(before, SIGTERM);
  ::waitpid(system.machines[before].pid, nullptr, 0);
  system.start(before, false);
  sleep_s(5);
  const std::string leads = leader();
  if (leads.empty() || leads == before) return cannot_run("no other member leads after the planned restart");
  if (!put(2)) return cannot_run("the second configuration was not taken");
  const double acknowledged = now_s();
  sleep_s(config_within_s + 1);

  struct Sent {
    double at;
    bool unsafe;
  };
  std::map<std::string, Sent> sent;
  std::mutex mutex;
  std::atomic<bool> over{false};
  std::atomic<int> served{0}, other{0};
  std::map<std::string, std::atomic<bool>> in;
  for (const std::string& edge : edges) in[edge] = true;
  // The platform asks each second; two misses take an edge out, one 200 takes it in.
  std::thread platform([&] {
    std::map<std::string, int> missed;
    while (!over) {
      for (const std::string& edge : edges) {
        missed[edge] = system.is_ready(edge) ? 0 : missed[edge] + 1;
        in[edge] = missed[edge] < 2;
      }
      sleep_s(1);
    }
  });
  std::vector<std::thread> clients;
  for (int c = 0; c < 16; ++c)
    clients.emplace_back([&, c] {
      for (long i = 0; !over; ++i) {
        const std::string edge = edges[static_cast<std::size_t>(c) % 2];
        if (!in[edge]) {
          sleep_s(0.05);
          continue;
        }
        char id[32];
        std::snprintf(id, sizeof id, "%02x%014lx", c, i);
        const bool unsafe = i % 4 != 0;
        const std::string path = unsafe ? std::string(unsafe_path) + "7" : "/gozi722/2f";
        {
          std::lock_guard lock(mutex);
          sent[id] = {now_s(), unsafe};
        }
        Reply reply = call(system.front_of(edge), unsafe ? "POST" : "GET", path,
                           "Host: file10.example\r\nDeadline-Ms: 5000\r\nRequest-Id: " + std::string(id) + "\r\n",
                           unsafe ? "invoice" : "", 5);
        if (reply.status != 0) record->line("client sent %s on the %s route to %s: %d", id, unsafe ? "unsafe" : "safe", edge.c_str(), reply.status);
        ++(reply.status == 200 ? served : other);
        sleep_s(reply.status == 0 ? 0.02 : 0.005);
      }
    });
  sleep_s(2);
  if (trouble) {
    for (auto& [name, machine] : system.machines)
      if (name != spared) system.kill(name, SIGKILL);
    sleep_s(0.1);
    // They are back within a second; of the core the member that led comes first.
    for (auto& [name, machine] : system.machines)
      if (name != spared && (!machine.core || name == leads)) system.start(name, false);
    sleep_s(0.8);
    for (auto& [name, machine] : system.machines)
      if (machine.pid == 0) system.start(name, false);
  }
  sleep_s(3.5);
  over = true;
  platform.join();
  for (auto& client : clients) client.join();

  std::map<std::string, std::vector<std::string>> ran;
  for (auto& broker : brokers)
    for (const Broker::Arrival& arrival : broker->arrivals())
      if (arrival.ran) ran[arrival.request].push_back(broker->id + " at " + std::to_string(arrival.at));
  int twice = 0, unsafe_runs = 0;
  for (const auto& [id, at] : ran) {
    auto found = sent.find(id);
    if (found == sent.end() || !found->second.unsafe || found->second.at < acknowledged + config_within_s) continue;
    ++unsafe_runs;
    if (at.size() < 2) continue;
    ++twice;
    record->line("TWICE: %s, sent %.3f s after configuration 2 was acknowledged, ran on %s and on %s", id.c_str(),
                 found->second.at - acknowledged, at[0].c_str(), at[1].c_str());
  }
  record->line("requests: %d served, %d not; on the unsafe route %d ran, %d of them twice", served.load(), other.load(), unsafe_runs, twice);
  if (unsafe_runs == 0) return cannot_run("nothing ran on the unsafe route");
  std::printf("TWICE %s: %d of %d requests on the unsafe route ran twice\n", twice > 0 ? "broken" : "held", twice, unsafe_runs);
  return twice > 0 ? 1 : 0;
}

}  // namespace

int main(int argc, char** argv) {
  if (argc != 2) return 2;
  record = std::make_unique<Record>(argv[1]);
  ::alarm(110);  // the limit is 120 s
  const char* trouble = std::getenv("TROUBLE");
  const int result = run(!trouble || std::strcmp(trouble, "0") != 0);
  record->line("exit %d", result);
  return result;
}
