// An edge that was frozen sends a request that may not be repeated to every shard of a route that was replaced meanwhile.
#include <algorithm>
#include <memory>

#include "../stand-2.h"

using namespace stand;

int main(int, char** argv) {
  open_record(argv[1]);
  System system(3, 8);
  system.start_all();
  const std::vector<std::string> shards = {"huvo11a", "lohu93e", "daje37f", "ficu72g"};
  const std::string billing = "lovo22d";
  auto configuration = [&](int edition, bool with_billing) {
    std::string routes, depots, list;
    for (const std::string& shard : shards) list += (list.empty() ? "\"" : ",\"") + shard + "\"";
    routes = "{\"name\":\"r-lookup\",\"hostName\":\"file10.example\",\"pathPrefix\":\"/yewu161/\",\"lineKind\":\"safe\",\"deadlineMs\":600,"
             "\"targetMs\":60,\"precedence\":2,\"gatherFrom\":[" + list + "],\"tries\":2,\"topN\":5,\"minShare\":0.5}";
    if (with_billing)
      routes += ",{\"name\":\"r-ledger\",\"hostName\":\"file10.example\",\"pathPrefix\":\"/yewu161/ledger/\",\"lineKind\":\"unsafe\","
                "\"deadlineMs\":6000,\"targetMs\":600,\"precedence\":2,\"depot\":\"" + billing + "\",\"tries\":2}";
    for (const std::string& shard : shards) depots += "{\"name\":\"" + shard + "\",\"healthPath\":\"/health\",\"connLimit\":72},";
    depots += "{\"name\":\"" + billing + "\",\"healthPath\":\"/health\",\"connLimit\":110}";
    return "{\"edition\":" + std::to_string(edition) + ",\"postalRoutes\":[" + routes + "],\"depots\":[" + depots + "]," + limits + "}";
  };
  system.need("a configuration", 1, [&] { return system.put_configuration(configuration(7, false), 0); });

  std::mutex mutex;
  std::map<std::string, std::vector<std::string>> runs;  // by request: the services that ran it
  auto serve = [&](Broker& broker, int fd) {
    std::string in;
    while (auto head = read_head(fd, in, 4)) {
      const std::string id = head->get("request-id");
      const std::size_t length = static_cast<std::size_t>(std::atoll(head->get("content-length").c_str()));
      if (!read_body(fd, in, length)) break;
      in.erase(0, length);
      if (head->get("addressee") != broker.id) {
        send_all(fd, "HTTP/1.1 421 Misdirected\r\nRequest-Id: " + id + "\r\nContent-Length: 0\r\n\r\n");
        continue;
      }
      {
        std::lock_guard lock(mutex);
        runs[id].push_back(broker.depot());
      }
      if (head->first.find("/ledger/") != std::string::npos)
        note("broker %s of %s: request %s run: %s", broker.id.c_str(), broker.depot().c_str(), id.c_str(), head->first.c_str());
      sleep_s(0.005);
      std::string body;
      for (int i = 0; i < 5; ++i) body += new_id();
      if (!send_all(fd, "HTTP/1.1 200 OK\r\nRequest-Id: " + id + "\r\nPostmark: " + broker.id + "." + new_id() + "\r\nContent-Length: 80\r\n\r\n" + body))
        break;
    }
    ::close(fd);
  };
  std::vector<std::unique_ptr<Broker>> brokers;
  for (int i = 0; i < 8; ++i) brokers.push_back(std::make_unique<Broker>(system, shards[static_cast<std::size_t>(i) % 4], serve, 3));
  for (int i = 0; i < 2; ++i) brokers.push_back(std::make_unique<Broker>(system, billing, serve, 2));
  system.need("the brokers", 10, [&] {
    return std::all_of(brokers.begin(), brokers.end(), [](const auto& each) { return each->acknowledged.load(); });
  });
  system.need("the edges", 10, [&] { return std::all_of(system.edges.begin(), system.edges.end(), [&](const std::string& each) { return system.is_ready(each); }); });
  sleep_s(4.5);

  const std::string edge = system.edges[0];
  auto lookup = [](bool closes) {
    return "GET /yewu161/2f HTTP/1.1\r\nHost: file10.example\r\nRequest-Id: " + new_id() + "\r\nDeadline-Ms: 600\r\n" +
           (closes ? "Connection: close\r\n" : "") + "\r\n";
  };
  // Clients that keep their connections, beside others that open one for each request.
  struct Kept {
    int fd = -1;
    std::string in;
  };
  std::vector<Kept> kept(16);
  auto ask_on_kept = [&] {
    for (Kept& each : kept) {
      if (!send_all(each.fd, lookup(false)) || read_answer(each.fd, 2, each.in).status != 200) note("a kept connection was not served");
    }
  };
  for (Kept& each : kept) each.fd = connect_to(edge, system.front);
  ask_on_kept();
  std::vector<std::thread> others;
  for (int i = 0; i < 40; ++i)
    others.emplace_back([&] { for (int k = 0; k < 3; ++k) call(edge, system.front, lookup(true), 2); });
  for (std::thread& other : others) other.join();
  // Planned work: the members of the core are stopped and started in turn.
  for (const std::string& core : system.cores) {
    note("SIGTERM to %s, which is started again", core.c_str());
    ::kill(system.pids[core], SIGTERM);
    ::waitpid(system.pids[core], nullptr, 0);
    system.start(core, false);
    sleep_s(5);
    ask_on_kept();
  }
  sleep_s(5);
  ask_on_kept();

  if (trouble()) {
    note("edge %s is frozen for 4 s", edge.c_str());
    ::kill(system.pids[edge], SIGSTOP);
  }
  const double frozen_at = seconds();
  const bool taken = system.put_configuration(configuration(9, true), 7, 0.6);
  const double acknowledged_at = seconds();
  std::vector<std::string> ids;
  if (taken) {
    while (seconds() < acknowledged_at + 3.2) sleep_s(0.01);
    for (Kept& each : kept) {
      ids.push_back(new_id());
      send_all(each.fd, "POST /yewu161/ledger/2f HTTP/1.1\r\nHost: file10.example\r\nRequest-Id: " + ids.back() +
                            "\r\nDeadline-Ms: 6000\r\nContent-Length: 6\r\n\r\nentry\n");
      note("client: request %s sent on a kept connection, %.2f s after edition 9 was acknowledged", ids.back().c_str(), seconds() - acknowledged_at);
    }
    while (seconds() < frozen_at + 4) sleep_s(0.005);
  }
  if (trouble()) {
    ::kill(system.pids[edge], SIGCONT);
    note("edge %s goes on", edge.c_str());
  }
  int twice = 0, run = 0;
  for (std::size_t i = 0; i < ids.size(); ++i) {
    Answer answer = read_answer(kept[i].fd, 7, kept[i].in);
    note("client: request %s: %d", ids[i].c_str(), answer.status);
  }
  sleep_s(1);
  {
    std::lock_guard lock(mutex);
    for (const std::string& id : ids) {
      run += !runs[id].empty();
      if (runs[id].size() < 2) continue;
      ++twice;
      std::string list;
      for (const std::string& service : runs[id]) list += " " + service;
      note("TWICE: request %s may not be repeated and ran %zu times, at%s", id.c_str(), runs[id].size(), list.c_str());
    }
  }
  note("%d of %zu requests of the unsafe route ran more than once, %d ran", twice, ids.size(), run);
  std::printf("%d of %zu requests of the unsafe route ran more than once, %d ran\n", twice, ids.size(), run);
  std::fflush(stdout);
  system.end();
  ::_exit(!taken ? 2 : twice > 0 ? 1 : run > 0 || trouble() ? 0 : 2);
}
