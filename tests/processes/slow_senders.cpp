// pearspar-slow-senders: clients that begin long requests and never end them, against an edge and a member as
// real processes, each with the memory of its settings; and peers that begin long frames on a member's own
// links. Exit status 0: both stay inside it and serve others meanwhile; 1: not so; 2: the run could not be
// made.
#include <fmt/format.h>

#include <algorithm>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <functional>
#include <string>
#include <vector>

#include "admin_client/admin_client.h"
#include "net/loop.h"
#include "net/socket.h"
#include "trial/process.h"

namespace {

using namespace std::chrono_literals;
using namespace pearspar;

constexpr double memory_mb = 260;
constexpr int files = 4100;
constexpr const char* control = "127.78.1.1:28729";
constexpr const char* front_door = "127.78.1.2:28726";
constexpr const char* links = "127.78.1.1:27120";
constexpr const char* configuration =
    R"({"edition":1,"postalRoutes":[{"name":"s","hostName":"h","pathPrefix":"/s/","lineKind":"safe",)"
    R"("deadlineMs":3000,"depot":"p","tries":2}],"depots":[{"name":"p"}],)"
    R"("limits":{"maxHeaderBytes":16384,"maxBodyBytes":262144,"headerWaitMs":3000,"idleLimitMs":15000}})";

double peak_mb(pid_t pid) {
  std::ifstream status(fmt::format("/proc/{}/status", pid));
  for (std::string line; std::getline(status, line);)
    if (line.starts_with("VmHWM:")) return std::atof(line.c_str() + 6) / 1024;
  return 0;
}

std::string settings(const std::string& name, const std::string& ip, const std::string& listens,
                     const std::string& folder) {
  std::string text = fmt::format(
      "nodeName = \"{}\"\nipAddress = \"{}\"\nzoneName = \"a\"\ninnerPortRange = [27120,27130]\n"
      "seedNodes = [\"{}\"]\nfirstStart = true\nbeatMs = 400\n",
      name, ip, control);
  if (!folder.empty()) text += fmt::format("dataDir = \"{}\"\n", folder);
  return text + fmt::format(
                    "[listenAddrs]\n{}[limits]\nmemoryMb = {:.0f}\nfileLimit = {}\n[ruleBounds]\n"
                    "gracePeriodS = 6\nretryRatio = 0.2\nretrySlack = 56\nretryWindowS = 10\n",
                    listens, memory_mb, files);
}

// A request of which all but the last bytes come, on a connection that stays open.
class Sender {
 public:
  Sender(const net::Address& to, std::string text) : left_(std::move(text)) {
    int error = 0;
    fd_ = net::start_connect(to, error);
  }
  void go_on() {
    if (!fd_ || left_.empty()) return;
    std::size_t written = 0;
    if (net::write_from(fd_, left_, written) == net::IoResult::failed) fd_.reset();
    left_.erase(0, written);
  }

 private:
  net::Fd fd_;
  std::string left_;
};

// Connections that each begin something long, of which so many bytes come.
struct Pressure {
  const char* address;
  int connections;
  std::function<std::string(int connection)> beginning;
  std::size_t sent_bytes;
};

std::function<std::string(int)> request(const std::string& line, std::size_t length) {
  return [line, length](int number) {
    return fmt::format(
        "{} HTTP/1.1\r\nHost: h\r\nRequest-Id: r{}\r\nDeadline-Ms: 3000\r\n"
        "If-Match: 1\r\nContent-Length: {}\r\n\r\n",
        line, number, length);
  };
}

// A frame between the system's processes names its length first: four bytes, greatest first.
std::string frame(int /*connection*/) { return {"\0\x3d\x09\0", 4}; }

class Trial {
 public:
  explicit Trial(std::string program) : program_(std::move(program)) {
    std::string name = (std::filesystem::temp_directory_path() / "pearspar-senders-XXXXXX").string();
    if (!::mkdtemp(name.data())) throw std::runtime_error("no folder");
    folder_ = name;
  }
  ~Trial() {
    std::error_code ignored;
    std::filesystem::remove_all(folder_, ignored);
  }

  int run() {
    auto member = start("core", settings("core", "127.78.1.1", fmt::format("controlPort = \"{}\"\n", control),
                                         folder_ + "/core"));
    auto edge = start(
        "edge",
        settings("edge", "127.78.1.2",
                 fmt::format("frontDoor = \"{}\"\nreadyCheck = \"127.78.1.2:28723\"\n", front_door), ""));
    turn(1.5);
    admin_client::AdminClient caller(loop_, {control});
    const auto put = caller.call({"PUT", "/pearspar/config", "If-Match: 0\r\n", configuration, ""}, 5s);
    if (put.status != 200) throw std::runtime_error("no configuration was taken");
    turn(1);
    const auto edge_serves = [&] {
      const auto reply = caller.call_member(front_door, {"GET", "/none/", "Request-Id: q\r\n", "", "h"}, 2s);
      return reply.status == 404;  // no such route: the edge's own word, in good time
    };
    const auto member_serves = [&] {
      return caller.call_member(control, {"GET", "/pearspar/config", "", "", ""}, 2s).status == 200;
    };
    const bool edge_holds =
        press("edge", *edge, {front_door, 1880, request("POST /s/x", 262'000), 240'000}, edge_serves);
    const bool member_holds = press(
        "core", *member, {control, 900, request("PUT /pearspar/config", 1'000'000), 600'000}, member_serves);
    const bool links_hold = press("core's links", *member, {links, 400, frame, 1'000'000}, member_serves);
    return edge_holds && member_holds && links_hold && !ended_ ? 0 : 1;
  }

 private:
  std::unique_ptr<trial::Process> start(const std::string& name, const std::string& text) {
    const std::string file = folder_ + "/" + name + ".toml";
    std::ofstream(file) << text;
    return std::make_unique<trial::Process>(
        loop_, std::vector<std::string>{program_, "serve", "--settings", file}, files,
        [](std::string_view) {},
        [this, name](int status) {
          std::printf("%s ended by itself, %#x\n", name.c_str(), static_cast<unsigned>(status));
          ended_ = true;
        });
  }
  void turn(double seconds) {
    const net::Time until = loop_.read_clock() + net::Duration(seconds);
    while (loop_.read_clock() < until) loop_.run_once(net::Duration(0.02));
  }

  bool press(const char* name, const trial::Process& process, const Pressure& pressure,
             const std::function<bool()>& served) {
    std::vector<Sender> senders;
    for (int i = 0; i < pressure.connections; ++i) {
      senders.emplace_back(net::Address::of(pressure.address),
                           pressure.beginning(i) + std::string(pressure.sent_bytes, 'x'));
      if (i % 20 == 0) loop_.run_once(net::Duration(0.001));
    }
    bool others = true;
    const net::Time began = loop_.read_clock();
    net::Time asks = began + 500ms;
    while (loop_.read_clock() < began + 2500ms) {
      for (Sender& sender : senders) sender.go_on();
      loop_.run_once(net::Duration(0.005));
      if (loop_.read_clock() < asks) continue;
      asks = loop_.read_clock() + 500ms;
      others = served() && others;
    }
    const double peak = peak_mb(process.pid());
    std::printf("%s: %d that never end, peak %.0f MB of %.0f, others %s\n", name, pressure.connections, peak,
                memory_mb, others ? "are served" : "are not served");
    std::fflush(stdout);
    return others && peak > 0 && peak < memory_mb;
  }

  const std::string program_;
  std::string folder_;
  net::Loop loop_;
  bool ended_ = false;
};

}  // namespace

int main(int argc, char** argv) {
  const std::string here = std::filesystem::read_symlink("/proc/self/exe").parent_path().string();
  try {
    return Trial(argc > 1 ? argv[1] : here + "/altavia").run();
  } catch (const std::exception& error) {
    std::fprintf(stderr, "pearspar-slow-senders: %s\n", error.what());
    return 2;
  }
}
