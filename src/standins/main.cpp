// pearspar-standin: the outside systems that a broker lives among, each as a process on loopback.
#include <fmt/format.h>
#include <signal.h>
#include <unistd.h>

#include <CLI/CLI.hpp>
#include <cstdio>
#include <exception>
#include <memory>
#include <string>
#include <vector>

#include "http/message.h"
#include "net/signals.h"
#include "standins/node.h"
#include "standins/registry_world.h"

namespace {

using namespace pearspar;

// Serves until SIGINT or SIGTERM, or for so many seconds.
void serve(net::Loop& loop, double for_s) {
  net::Signals signals{SIGINT, SIGTERM};
  bool ended = false;
  net::Watch watch = signals.watch(loop, [&](int) { ended = true; });
  net::Timer over;
  if (for_s > 0) over = loop.at(loop.now() + net::Duration(for_s), [&] { ended = true; });
  while (!ended) loop.run_once();
}

net::Address loopback(int port) { return {0x7f000001, static_cast<std::uint16_t>(port)}; }

int run_registry(const std::string& dialect, int members, int port, double for_s, std::uint64_t trouble_seed,
                 double trouble_every) {
  net::Loop loop;
  standins::RegistryWorld world(loop, dialect == "consul" ? standins::Wire::consul : standins::Wire::etcd,
                                members, trouble_seed, static_cast<std::uint16_t>(port));
  for (const net::Address& address : world.addresses())
    std::printf("listens on %s\n", address.text().c_str());
  std::fflush(stdout);
  net::Timer trouble;
  std::function<void()> next = [&] {
    std::printf("%s\n", world.trouble().c_str());
    std::fflush(stdout);
    trouble = loop.at(loop.now() + net::Duration(trouble_every), next);
  };
  if (trouble_every > 0) trouble = loop.at(loop.now() + net::Duration(trouble_every), next);
  serve(loop, for_s);
  return 0;
}

int run_node(int port, double delay_ms, double jitter_ms, double for_s) {
  net::Loop loop;
  standins::NodeBehaviour behaviour;
  behaviour.delay = net::Duration(delay_ms / 1000);
  behaviour.jitter = net::Duration(jitter_ms / 1000);
  standins::NodeStandin node(loop, loopback(port), behaviour, static_cast<std::uint64_t>(::getpid()));
  std::printf("listens on %s\n", node.address().text().c_str());
  std::fflush(stdout);
  serve(loop, for_s);
  return 0;
}

// Sends queries one after the other and prints each answer; 1 where one was not served.
int run_ask(const std::string& broker, const std::string& cls, const std::string& tenant, int shards,
            int count) {
  auto address = net::Address::parse(broker);
  if (!address) throw std::runtime_error(broker + " is no address");
  bool all_served = true;
  for (int i = 0; i < count; ++i) {
    std::string ranges;
    for (int shard = 0; shard < shards; ++shard)
      ranges += fmt::format("{}{{\"range\":{},\"portion\":{}}}", shard == 0 ? "" : ",", shard, 1.0 / shards);
    std::string body = fmt::format("{{\"ranges\":[{}],\"predicate\":\"minutes of {}\"}}", ranges, 1990 + i);
    std::string request = fmt::format(
        "POST /{} HTTP/1.1\r\nHost: {}\r\nX-Correlation-Id: {:08x}{:08x}\r\n{}X-Time-Left-Ms: 3000\r\n"
        "Connection: close\r\nContent-Length: {}\r\n\r\n{}",
        cls, broker, ::getpid(), i, tenant.empty() ? "" : "X-Account: " + tenant + "\r\n", body.size(), body);
    int error = 0;
    net::Loop loop;
    net::Fd fd = net::start_connect(*address, error);
    net::Buffer in;
    http::MessageReader reader(http::MessageKind::reply);
    bool ended = !fd;
    std::size_t sent = 0;
    std::string said = "no answer";
    net::Watch watch;
    if (fd)
      watch = loop.watch(fd.get(), POLLOUT, [&](short events) {
        if ((events & POLLOUT) != 0 && sent < request.size()) {
          std::size_t written = 0;
          if (net::write_from(fd, std::string_view(request).substr(sent), written) == net::IoResult::failed)
            ended = true;
          sent += written;
          watch.set_events(static_cast<short>(POLLIN | (sent < request.size() ? POLLOUT : 0)));
          return;
        }
        net::IoResult result = net::read_into(fd, in, 16 * 1024);
        if (result == net::IoResult::ended || result == net::IoResult::failed) ended = true;
        if (reader.advance(in) != http::Progress::done) return;
        said = std::to_string(reader.message().status) + " " + std::string(reader.message().body);
        all_served = all_served && reader.message().status == 200;
        ended = true;
      });
    net::Timer over = loop.at(loop.now() + std::chrono::seconds(5), [&] { ended = true; });
    while (!ended) loop.run_once();
    all_served = all_served && said != "no answer";
    std::printf("%s\n", said.c_str());
  }
  return all_served ? 0 : 1;
}

}  // namespace

int main(int argc, char** argv) {
  CLI::App app{"pearspar-standin: stand-ins for what a broker lives among, on loopback"};
  app.require_subcommand(1);
  double for_s = 0;
  int port = 0;

  std::string dialect = "etcd";
  int members = 1;
  std::uint64_t seed = 1;
  double trouble_every = 0;
  CLI::App* registry = app.add_subcommand("registry", "a key-value registry");
  registry->add_option("--dialect", dialect, "etcd or consul")->check(CLI::IsMember({"etcd", "consul"}));
  registry->add_option("--members", members, "how many serve it")->check(CLI::Range(1, 9));
  registry->add_option("--port", port, "of the first; the others follow. 0: any")
      ->check(CLI::Range(0, 65000));
  registry->add_option("--trouble-every", trouble_every, "seconds between troubles by chance; 0: none");
  registry->add_option("--seed", seed, "of those");
  registry->add_option("--for", for_s, "seconds to serve; 0: until SIGINT");

  double delay_ms = 2, jitter_ms = 3;
  CLI::App* node = app.add_subcommand("node", "a node that answers every part");
  node->add_option("--port", port, "0: any")->check(CLI::Range(0, 65535));
  node->add_option("--delay-ms", delay_ms, "before each answer");
  node->add_option("--jitter-ms", jitter_ms, "up to so much more");
  node->add_option("--for", for_s, "seconds to serve; 0: until SIGINT");

  std::string broker, cls = "search", tenant;
  int shards = 4, count = 3;
  CLI::App* ask = app.add_subcommand("ask", "a client: sends queries and prints the answers");
  ask->add_option("broker", broker, "its address")->required();
  ask->add_option("--class", cls, "of the queries");
  ask->add_option("--tenant", tenant, "");
  ask->add_option("--shards", shards, "parts of each query")->check(CLI::Range(1, 1000));
  ask->add_option("--count", count, "queries")->check(CLI::Range(1, 100000));
  CLI11_PARSE(app, argc, argv);
  try {
    if (*registry) return run_registry(dialect, members, port, for_s, seed, trouble_every);
    if (*node) return run_node(port, delay_ms, jitter_ms, for_s);
    return run_ask(broker, cls, tenant, shards, count);
  } catch (const std::exception& error) {
    std::fprintf(stderr, "pearspar-standin: %s\n", error.what());
    return 1;
  }
}
