// What the fleet's view costs a serving broker: two real processes side by side, one in a fleet of many and
// one in none, asked by turns for the same queries; and their memory.
#include <fmt/format.h>

#include <CLI/CLI.hpp>
#include <algorithm>
#include <cmath>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <memory>
#include <string>
#include <vector>

#include "http/message.h"
#include "net/loop.h"
#include "standins/node.h"
#include "trial/process.h"

namespace {

using namespace pearspar;
using namespace std::chrono_literals;

// One connection, one query at a time.
class Client {
 public:
  Client(net::Loop& loop, const net::Address& broker, char mark) : loop_(loop), mark_(mark) {
    int error = 0;
    fd_ = net::start_connect(broker, error);
    if (!fd_) throw std::runtime_error("no connection to " + broker.text());
    watch_ = loop_.watch(fd_.get(), POLLIN, [this](short) {
      const net::IoResult result = net::read_into(fd_, in_, 16 * 1024);
      if (result == net::IoResult::ended || result == net::IoResult::failed)
        throw std::runtime_error("broker closed");
      if (reader_.advance(in_) != http::Progress::done) return;
      if (reader_.message().status != 200) throw std::runtime_error("a query was not served");
      done_ = true;
    });
  }
  // Seconds until the answer.
  double ask() {
    std::string body = "{\"ranges\":[";
    for (int shard = 0; shard < 4; ++shard)
      body += fmt::format("{}{{\"range\":{},\"portion\":0.25}}", shard == 0 ? "" : ",", shard);
    body += "],\"predicate\":\"minutes\"}";
    const std::string request = fmt::format(
        "POST /search HTTP/1.1\r\nHost: x\r\nX-Correlation-Id: {}{:015x}\r\nX-Time-Left-Ms: 3000\r\n"
        "Content-Length: {}\r\n\r\n{}",
        mark_, ++count_, body.size(), body);
    in_.release();
    reader_ = http::MessageReader(http::MessageKind::reply);
    done_ = false;
    const net::Time from = loop_.read_clock();
    std::size_t written = 0;
    if (net::write_from(fd_, request, written) != net::IoResult::some || written != request.size())
      throw std::runtime_error("a query could not be written");
    while (!done_) {
      loop_.run_once(1s);
      if (loop_.read_clock() - from > net::Duration(5)) throw std::runtime_error("no answer");
    }
    return (loop_.read_clock() - from).count();
  }

 private:
  net::Loop& loop_;
  char mark_;
  net::Fd fd_;
  net::Watch watch_;
  net::Buffer in_;
  http::MessageReader reader_{http::MessageKind::reply};
  std::uint64_t count_ = 0;
  bool done_ = false;
};

double quantile(std::vector<double> values, double share) {
  std::sort(values.begin(), values.end());
  return values[static_cast<std::size_t>(share * static_cast<double>(values.size() - 1) + 0.5)];
}

long peak_kb(pid_t pid) {
  std::ifstream status("/proc/" + std::to_string(pid) + "/status");
  for (std::string line; std::getline(status, line);)
    if (line.starts_with("VmHWM:")) return std::strtol(line.c_str() + 6, nullptr, 10);
  return 0;
}

struct Broker {
  std::unique_ptr<trial::Process> process;
  net::Address serves;
  net::Address speaks;
};

void start(net::Loop& loop, Broker& broker, const std::string& program, const std::string& folder,
           const std::string& name, const std::string& config, const std::string& options) {
  std::string named = config;
  named.replace(named.find("@NAME@"), 6, name);
  std::ofstream(folder + "/" + name + ".json") << named;
  std::ofstream(folder + "/" + name + ".textproto") << options;
  broker.process = std::make_unique<trial::Process>(
      loop,
      std::vector<std::string>{program, "serve", "--config", folder + "/" + name + ".json", "--options",
                               folder + "/" + name + ".textproto"},
      0,
      [&broker](std::string_view line) {
        auto address_behind = [&](std::string_view mark) {
          const std::size_t at = line.find(mark);
          if (at == std::string_view::npos) return net::Address{};
          std::string_view rest = line.substr(at + mark.size());
          return net::Address::parse(rest.substr(0, rest.find(','))).value_or(net::Address{});
        };
        if (auto found = address_behind(" listens on "); found.port != 0) broker.serves = found;
        if (auto found = address_behind(" takes part in cost at "); found.port != 0) broker.speaks = found;
      },
      [name](int) { std::fprintf(stderr, "%s ended\n", name.c_str()); });
  const net::Time by = loop.read_clock() + 10s;
  const bool in_fleet = options.find("fleet") != std::string::npos;
  while ((broker.serves.port == 0 || (in_fleet && broker.speaks.port == 0)) && loop.read_clock() < by)
    loop.run_once(50ms);
  if (broker.serves.port == 0) throw std::runtime_error(name + " did not start");
}

}  // namespace

int main(int argc, char** argv) {
  CLI::App app{"pearspar-measure-cost: queries beside a fleet's view and without one"};
  std::string program = (std::filesystem::read_symlink("/proc/self/exe").parent_path() / "pearspar").string();
  std::string config_path = "deploy/quick.example.json";
  int members = 24, rounds = 40, queries = 250;
  app.add_option("--program", program, "the broker")->check(CLI::ExistingFile);
  app.add_option("--config", config_path, "a configuration with @NAME@ for the name")
      ->check(CLI::ExistingFile);
  app.add_option("--members", members, "of the fleet")->check(CLI::Range(2, 200));
  app.add_option("--rounds", rounds, "")->check(CLI::Range(2, 10000));
  app.add_option("--queries", queries, "of each broker in a round")->check(CLI::Range(10, 100000));
  CLI11_PARSE(app, argc, argv);
  std::string folder = (std::filesystem::temp_directory_path() / "pearspar-cost-XXXXXX").string();
  if (!::mkdtemp(folder.data())) return 1;
  int status = 0;
  try {
    net::Loop loop;
    std::string config((std::istreambuf_iterator<char>(std::ifstream(config_path).rdbuf())), {});
    standins::NodeBehaviour behaviour;
    behaviour.delay = 1ms;
    standins::NodeStandin first(loop, {0x7f000001, 0}, behaviour, 1),
        second(loop, {0x7f000001, 0}, behaviour, 2);
    const std::string list = fmt::format(
        "membership {{ fixed {{ nodes {{ id: \"s-0\" address: \"{}\" cell: 0 zone: \"a\" kind: \"m1\" }} "
        "nodes {{ id: "
        "\"s-1\" address: \"{}\" cell: 1 zone: \"a\" kind: \"m1\" }} }} }}\n",
        first.address().text(), second.address().text());
    Broker off;
    start(loop, off, program, folder, "off", config, list);
    std::vector<Broker> fleet(static_cast<std::size_t>(members));
    for (std::size_t i = 0; i < fleet.size(); ++i) {
      std::string part = "fleet { name: \"cost\" listen: \"127.0.0.1:0\"";
      if (i > 0) part += fmt::format(" seeds: \"{}\"", fleet[0].speaks.text());
      start(loop, fleet[i], program, folder, fmt::format("on{}", i), config, list + part + " }\n");
    }
    const net::Time settled = loop.read_clock() + 5s;
    while (loop.read_clock() < settled) loop.run_once(50ms);
    Client to_off(loop, off.serves, 'a'), to_on(loop, fleet[0].serves, 'b');
    std::vector<double> p50s, p99s, all_off, all_on;
    for (int round = 0; round < rounds; ++round) {
      std::vector<double> took_off, took_on;
      for (int i = 0; i < queries; ++i) {
        took_off.push_back(to_off.ask());
        took_on.push_back(to_on.ask());
      }
      p50s.push_back(quantile(took_on, 0.5) / quantile(took_off, 0.5));
      p99s.push_back(quantile(took_on, 0.99) / quantile(took_off, 0.99));
      all_off.insert(all_off.end(), took_off.begin(), took_off.end());
      all_on.insert(all_on.end(), took_on.begin(), took_on.end());
    }
    auto line = [&](const char* what, const std::vector<double>& ratios, double share) {
      double mean = 0, square = 0;
      for (double each : ratios) mean += each / static_cast<double>(ratios.size());
      for (double each : ratios) square += (each - mean) * (each - mean);
      const double n = static_cast<double>(ratios.size());
      std::printf("%-4s off %.3f ms, on %.3f ms, by round %.4f +- %.4f times\n", what,
                  quantile(all_off, share) * 1000, quantile(all_on, share) * 1000, mean,
                  1.96 * std::sqrt(square / (n - 1) / n));
    };
    std::printf("%d members, %d rounds of %d queries each, real processes on loopback, by turns\n", members,
                rounds, queries);
    line("p50", p50s, 0.5);
    line("p99", p99s, 0.99);
    std::printf("peak memory: off %ld kB, on %ld kB\n", peak_kb(off.process->pid()),
                peak_kb(fleet[0].process->pid()));
  } catch (const std::exception& error) {
    std::fprintf(stderr, "pearspar-measure-cost: %s\n", error.what());
    status = 1;
  }
  std::error_code ignored;
  std::filesystem::remove_all(folder, ignored);
  return status;
}
