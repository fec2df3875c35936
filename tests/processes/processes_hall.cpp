#include "processes/processes_hall.h"

#include <fmt/format.h>
#include <signal.h>
#include <sys/wait.h>

#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <fstream>

namespace pearspar::processes {
namespace {

// Fixed ports, below those that a system hands out, on addresses that nobody else uses: what a process
// listened to is still free when it comes back.
constexpr int control_port = 28729, inner_port = 27120, door_port = 28726, check_port = 28723,
              node_port = 28740;
constexpr int first_member = 1, first_behind = 101, first_edge = 51, first_node = 71;
constexpr int most_members = 40, most_nodes = 30;

net::Address address_of(const std::string& host, int port) {
  return net::Address::of(fmt::format("{}:{}", host, port));
}

}  // namespace

Hall::Hall(net::Loop& loop, Scene& scene, const RunOptions& options, bool relays)
    : loop_(loop), scene_(scene), options_(options), relays_(relays), relay_(loop) {}

std::string Hall::settings(const std::string& name, const std::string& ip, bool first_start, bool core,
                           const std::string& folder) const {
  std::string seeds;
  {
    std::lock_guard lock(scene_.mutex);
    for (const std::string& each : scene_.members) seeds += (seeds.empty() ? "\"" : ",\"") + each + "\"";
  }
  std::string text = fmt::format(
      "nodeName = \"{}\"\nipAddress = \"{}\"\nzoneName = \"a\"\ninnerPortRange = [{},{}]\nseedNodes = [{}]\n"
      "firstStart = {}\nbeatMs = 400\n",
      name, ip, inner_port, inner_port + 10, seeds, first_start);
  if (core) text += fmt::format("dataDir = \"{}\"\n", folder);
  text += "[listenAddrs]\n";
  if (core)
    text += fmt::format("controlPort = \"{}:{}\"\n", ip, control_port);
  else
    text += fmt::format("frontDoor = \"{0}:{1}\"\nreadyCheck = \"{0}:{2}\"\n", ip, door_port, check_port);
  return text +
         fmt::format(
             "[limits]\nmemoryMb = 256\nfileLimit = 1024\n[ruleBounds]\ngracePeriodS = 4\nretryRatio = 0.2\n"
             "retrySlack = 56\nretryWindowS = 10\nconfigWithinMs = {}\ninTouchMs = {}\n",
             config_within_ms, in_touch_ms);
}

std::vector<std::string> Hall::words(const std::string& program, const std::string& ip,
                                     const std::string& settings, bool listens) const {
  std::vector<std::string> all;
  if (relays_) {
    all = {
        "/usr/bin/env", "LD_PRELOAD=" + options_.programs.shim,
        fmt::format("PEARSPAR_TRIAL_PORT={}", inner_port), "PEARSPAR_TRIAL_HOME=" + ip,
        // A process's growth is its own then, not that of what the sanitizer keeps back.
        "ASAN_OPTIONS=verify_asan_link_order=0:quarantine_size_mb=1:allocator_release_to_os_interval_ms=200"};
    if (listens) {
      const std::size_t dot = ip.rfind('.');
      all.push_back(fmt::format("PEARSPAR_TRIAL_BEHIND={}{}", ip.substr(0, dot + 1),
                                std::atoi(ip.c_str() + dot + 1) + first_behind - first_member));
    }
  }
  for (const std::string& each : {program, std::string("serve"), std::string("--settings"), settings})
    all.push_back(each);
  return all;
}

int Hall::add_member(bool first_start, bool older) {
  const int number = members();
  const std::string ip = host(first_member + number);
  Member& member = members_.emplace_back();
  member.number = number;
  member.control = fmt::format("{}:{}", ip, control_port);
  member.folder = fmt::format("{}/core{}", options_.folder, number);
  member.older = older;
  {
    std::lock_guard lock(scene_.mutex);
    scene_.members.push_back(member.control);
  }
  if (relays_) relay_.add(address_of(ip, inner_port), address_of(host(first_behind + number), inner_port));
  if (!first_start) start_member(number, false);
  return number;
}

void Hall::start_member(int number, bool first_start) {
  Member& each = member(number);
  if (each.gone || up(number)) return;
  disturbs_core();
  const std::string name = fmt::format("core{}", number), file = options_.folder + "/" + name + ".toml";
  std::ofstream(file) << settings(name, host(first_member + number), first_start, true, each.folder);
  each.told_to_end = false;
  each.on_end = nullptr;
  const std::string& program =
      each.older && !options_.programs.older.empty() ? options_.programs.older : options_.programs.altavia;
  each.process = std::make_unique<trial::Process>(
      loop_, words(program, host(first_member + number), file, true), 0,
      [this, name](std::string_view line) { heard(name, 0, false, line); },
      [this, number, name](int status) {
        Member& ended = member(number);
        const bool well = WIFEXITED(status) && WEXITSTATUS(status) == 0;
        if (!ended.told_to_end || !well)
          scene_.judge.fault(
              "END", fmt::format("{} ended by itself, {} {}", name, WIFEXITED(status) ? "status" : "signal",
                                 WIFEXITED(status) ? WEXITSTATUS(status) : WTERMSIG(status)));
        if (auto then = std::exchange(ended.on_end, nullptr)) then(status);
      });
}

// By its owner's end, which waits for it: nobody is told.
void Hall::kill(int number) {
  disturbs_core();
  member(number).process.reset();
}

void Hall::signal(int number, int what) {
  if (!up(number)) return;
  disturbs_core();
  member(number).process->signal(what);
}

void Hall::end(int number, std::function<void(int)> then) {
  if (!up(number)) return;
  member(number).told_to_end = true;
  member(number).on_end = std::move(then);
  signal(number, SIGTERM);
}

void Hall::forget(int number) {
  Member& each = member(number);
  each.gone = true;
  disturbs_core();
  std::lock_guard lock(scene_.mutex);
  std::erase(scene_.members, each.control);
  scene_.standing.erase(each.control);
}

void Hall::wipe(int number) {
  std::error_code ignored;
  std::filesystem::remove_all(member(number).folder, ignored);
}

void Hall::copy_folder(int number, bool back) {
  const std::string here = member(number).folder, beside = here + ".past";
  std::error_code ignored;
  std::filesystem::remove_all(back ? here : beside, ignored);
  std::filesystem::copy(back ? beside : here, back ? here : beside, std::filesystem::copy_options::recursive,
                        ignored);
}

int Hall::by_control(const std::string& control) const {
  for (const Member& each : members_)
    if (each.control == control) return each.number;
  return -1;
}

void Hall::start_edge(int edge, bool older) {
  const std::string name = fmt::format("edge{}", edge), ip = host(first_edge + edge);
  const std::string file = options_.folder + "/" + name + ".toml";
  std::ofstream(file) << settings(name, ip, false, false, {});
  const bool first = edges_.count(edge) == 0;
  edges_[edge].reset();
  edges_told_to_end_.erase(edge);
  const std::uint32_t life = ++lives_;
  const std::string& program =
      older && !options_.programs.older.empty() ? options_.programs.older : options_.programs.altavia;
  edges_[edge] = std::make_unique<trial::Process>(
      loop_, words(program, ip, file, false), 0,
      [this, name, life](std::string_view line) { heard(name, life, true, line); },
      [this, name, edge](int status) {
        if (status != 0 || !edges_told_to_end_.count(edge))
          scene_.judge.fault("END", fmt::format("{} ended by itself, {:#x}", name, status));
      });
  if (!first) return;
  std::lock_guard lock(scene_.mutex);
  scene_.edges.push_back(fmt::format("{}:{}", ip, door_port));
}

void Hall::signal_edge(int edge, int number) {
  if (auto found = edges_.find(edge); found != edges_.end()) found->second->signal(number);
}

std::string Hall::front_door(int edge) const {
  return fmt::format("{}:{}", host(first_edge + edge), door_port);
}

void Hall::end_edge(int edge) {
  edges_told_to_end_.insert(edge);
  signal_edge(edge, SIGTERM);
}

void Hall::reload_edge(int edge) {
  const std::string name = fmt::format("edge{}", edge);
  std::ofstream(options_.folder + "/" + name + ".toml")
      << settings(name, host(first_edge + edge), false, false, {});
  signal_edge(edge, SIGHUP);
}

void Hall::stall_log(int edge, bool stalls) {
  if (auto found = edges_.find(edge); found != edges_.end()) found->second->stall(stalls);
}

std::pair<double, int> Hall::size_of_edge(int edge) const {
  const auto found = edges_.find(edge);
  if (found == edges_.end() || !found->second->running()) return {};
  const std::string folder = fmt::format("/proc/{}", found->second->pid());
  double resident_mb = 0;
  std::ifstream status(folder + "/status");
  for (std::string line; std::getline(status, line);)
    if (line.starts_with("VmRSS:")) resident_mb = std::atof(line.c_str() + 6) / 1024;
  std::error_code ignored;
  const std::filesystem::directory_iterator files(folder + "/fd", ignored);
  return {resident_mb, static_cast<int>(std::distance(files, std::filesystem::directory_iterator()))};
}

void Hall::cut_edge(int edge, const EdgeCut& cut) {
  const std::uint32_t self = address_of(host(first_edge + edge), 1).host;
  for (int i = 0; i < most_members; ++i) {
    if (cut.member >= 0 && cut.member != i) continue;
    const std::uint32_t peer = address_of(host(first_member + i), 1).host;
    if (cut.out) relay_.cut(self, peer, false);
    if (cut.in) relay_.cut(peer, self, false);
  }
}

void Hall::heal_edge(int edge) {
  const std::uint32_t self = address_of(host(first_edge + edge), 1).host;
  for (int i = 0; i < most_members; ++i) {
    const std::uint32_t peer = address_of(host(first_member + i), 1).host;
    relay_.heal(self, peer);
    relay_.heal(peer, self);
  }
}

void Hall::start_node(const std::string& service) {
  if (static_cast<int>(nodes_.size()) >= most_nodes) return;
  std::string members;
  for (const std::string& each : scene_.controls()) members += (members.empty() ? "" : ",") + each;
  const auto before = serving_.find(service);
  if (before != serving_.end()) nodes_[static_cast<std::size_t>(before->second)]->signal(SIGTERM);
  serving_[service] = static_cast<int>(nodes_.size());
  nodes_.push_back(std::make_unique<trial::Process>(
      loop_,
      std::vector<std::string>{
          options_.programs.standin, "node", "--at", members, "--depot", service, "--listen",
          fmt::format("{}:{}", host(first_node + static_cast<int>(nodes_.size())), node_port), "--for",
          "100000", "--slots", "20", "--drain-ms", "4500"},
      0,
      [this](std::string_view line) {
        if (options_.chatty) std::printf("%.*s\n", static_cast<int>(line.size()), line.data());
        if (line.find("asked late") != line.npos) scene_.judge.fault("DRAIN", std::string(line));
      },
      [](int) {}));
}

void Hall::heard(const std::string& who, std::uint32_t life, bool edge, std::string_view line) {
  if (options_.chatty) std::printf("%.*s\n", static_cast<int>(line.size()), line.data());
  std::ofstream& file = logs_.try_emplace(who, options_.folder + "/" + who + ".log").first->second;
  file << fmt::format("{:.3f} {}\n", scene_.judge.now(), line) << std::flush;
  if (line.find("Sanitizer") != line.npos || line.find("terminate called") != line.npos)
    scene_.judge.fault("END", fmt::format("{} says: {}", who, line));
  if (line.find("\"event\":\"invariant_broken\"") != line.npos)
    scene_.judge.fault("INVARIANT", fmt::format("{} says: {}", who, line));
  constexpr std::string_view mark = "\"event\":\"configuration\",\"edition\":";
  const std::size_t at = line.find(mark);
  if (edge && at != line.npos)
    scene_.judge.edge_goes_by(who, life,
                              std::strtoull(std::string(line.substr(at + mark.size())).c_str(), nullptr, 10));
}

void Hall::each_peer(int number, const std::function<void(std::uint32_t, std::uint32_t)>& what) const {
  auto number_of = [&](int last) { return address_of(host(last), 1).host; };
  const std::uint32_t self = number_of(first_member + number);
  for (int i = 0; i < most_members; ++i)
    if (i != number) what(self, number_of(first_member + i));
  for (const auto& [edge, process] : edges_) what(self, number_of(first_edge + edge));
}

void Hall::cut(int number, bool in, bool out, bool holds) {
  disturbs_core();
  each_peer(number, [&](std::uint32_t self, std::uint32_t peer) {
    if (out) relay_.cut(self, peer, holds);
    if (in) relay_.cut(peer, self, holds);
  });
}

void Hall::heal(int number) {
  disturbs_core();
  each_peer(number, [&](std::uint32_t self, std::uint32_t peer) {
    relay_.heal(self, peer);
    relay_.heal(peer, self);
  });
}

}  // namespace pearspar::processes
