// Processes: started so that they end with us, looked at through /proc; the members among them.
#include <fcntl.h>
#include <fmt/format.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/resource.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <stdexcept>
#include <system_error>

#include "admin_client/admin_client.h"
#include "measure/capacity.h"

namespace pearspar::measure {
namespace {

constexpr std::string_view net_of_ours = "127.79.0.";

std::string settings_text(std::size_t member, const Size& size, const std::string& folder,
                          const std::string& seeds) {
  return fmt::format(
      "nodeName = \"core{0}\"\nipAddress = \"{1}{0}\"\nzoneName = \"zone{0}\"\ninnerPortRange = "
      "[27120,27130]\n"
      "seedNodes = [{2}]\nfirstStart = true\nbeatMs = {3}\ndataDir = \"{4}/core{0}\"\n"
      "[listenAddrs]\ncontrolPort = \"{1}{0}:28729\"\n[limits]\nmemoryMb = 256\nfileLimit = "
      "20000\n[ruleBounds]\n"
      "gracePeriodS = 2\nretryRatio = 0.2\nretrySlack = 56\nretryWindowS = 10\n",
      member + 1, net_of_ours, seeds, size.beat_ms, folder);
}

}  // namespace

std::atomic<bool> interrupted{false};

Usage usage_of(pid_t pid) {
  Usage usage;
  std::string line;
  std::ifstream stat(fmt::format("/proc/{}/stat", pid));
  if (!std::getline(stat, line)) return usage;
  std::istringstream fields(line.substr(line.rfind(')') + 2));
  std::string field;
  for (int i = 0; i < 11; ++i) fields >> field;  // from the state to what is not wanted
  double user = 0, system = 0;
  fields >> user >> system;
  auto ticks = static_cast<double>(::sysconf(_SC_CLK_TCK));
  usage.cpu_s = (user + system) / ticks;
  usage.system_s = system / ticks;
  std::ifstream status(fmt::format("/proc/{}/status", pid));
  while (std::getline(status, line)) {
    if (line.starts_with("VmRSS:")) usage.rss_mb = std::atof(line.c_str() + 6) / 1024;
    if (line.starts_with("VmHWM:")) usage.peak_mb = std::atof(line.c_str() + 6) / 1024;
  }
  std::error_code error;
  for (std::filesystem::directory_iterator it(fmt::format("/proc/{}/fd", pid), error), end;
       !error && it != end; it.increment(error))
    ++usage.files;
  return usage;
}

void forget_peak(pid_t pid) { std::ofstream(fmt::format("/proc/{}/clear_refs", pid)) << 5; }

pid_t Processes::fork_one(const std::function<void()>& what) {
  pid_t parent = ::getpid();
  pid_t pid = ::fork();
  if (pid < 0) throw std::system_error(errno, std::generic_category(), "fork");
  if (pid == 0) {
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    if (::getppid() != parent) ::_exit(1);
    ::signal(SIGINT, SIG_IGN);  // the parent ends us
    ::signal(SIGTERM, SIG_DFL);
    what();
    ::_exit(1);
  }
  pids_.push_back(pid);
  return pid;
}

void Processes::end(pid_t pid) {
  if (std::erase(pids_, pid) == 0) return;
  ::kill(pid, SIGKILL);
  ::waitpid(pid, nullptr, 0);
}

Machine machine() {
  std::ifstream stat("/proc/stat");
  std::string name;
  stat >> name;
  auto ticks = static_cast<double>(::sysconf(_SC_CLK_TCK));
  Machine machine;
  for (int i = 0; i < 8; ++i) {  // user, nice, system, idle, iowait, irq, softirq, steal
    double spent = 0;
    stat >> spent;
    machine.all_s += spent / ticks;
    if (i != 3 && i != 4) machine.busy_s += spent / ticks;
  }
  return machine;
}

Processes::~Processes() {
  for (pid_t pid : pids_) ::kill(pid, SIGKILL);
  for (pid_t pid : pids_) ::waitpid(pid, nullptr, 0);
}

Members::Members(Processes& processes, std::string program, const Size& size) : processes_(processes) {
  std::string name = (std::filesystem::temp_directory_path() / "pearspar-capacity-XXXXXX").string();
  if (!::mkdtemp(name.data())) throw std::system_error(errno, std::generic_category(), name);
  folder_ = name;
  std::string seeds;
  for (int i = 1; i <= size.members; ++i) {
    control_.push_back(fmt::format("{}{}:28729", net_of_ours, i));
    inner_.push_back(fmt::format("{}{}:27120", net_of_ours, i));
    seeds += fmt::format("{}\"{}\"", i > 1 ? "," : "", control_.back());
  }
  for (std::size_t i = 0; i < control_.size(); ++i) {
    std::string file = fmt::format("{}/core{}.toml", folder_, i + 1);
    std::ofstream(file) << settings_text(i, size, folder_, seeds);
    std::string log = fmt::format("{}/core{}.log", folder_, i + 1);
    pids_.push_back(processes.fork_one([&] {
      int out = ::open(log.c_str(), O_CREAT | O_WRONLY | O_TRUNC | O_CLOEXEC, 0600);
      ::dup2(out, 1);
      ::dup2(out, 2);
      ::signal(SIGINT, SIG_DFL);
      ::setsid();  // where the kernel shares the processor between sessions: a share of its own
      if (size.nice != 0 && ::setpriority(PRIO_PROCESS, 0, size.nice) != 0) ::_exit(126);
      ::execl(program.c_str(), program.c_str(), "serve", "--settings", file.c_str(), nullptr);
      ::_exit(127);
    }));
  }
}

Members::~Members() {
  for (std::size_t i = 0; i < pids_.size(); ++i) kill(i);
  std::error_code error;
  std::filesystem::remove_all(folder_, error);
}

void Members::kill(std::size_t member) {
  if (pids_[member] > 0) processes_.end(pids_[member]);
  pids_[member] = 0;
}

double Members::sample(std::size_t member, std::string_view name) const {
  if (!up(member)) return 0;
  net::Loop loop;
  admin_client::AdminClient caller(loop, {});
  admin_client::AdminReply reply =
      caller.call_member(control_[member], {"GET", "/pearspar/metrics", "", "", ""}, net::Duration(2));
  std::istringstream lines(reply.body);
  for (std::string line; std::getline(lines, line);)
    if (line.starts_with(name) && line.size() > name.size() &&
        (line[name.size()] == ' ' || line[name.size()] == '{'))
      return std::atof(line.c_str() + line.rfind(' '));
  return 0;
}

int Members::leader() const {
  for (std::size_t i = 0; i < pids_.size(); ++i)
    if (sample(i, "altavia_leads") > 0) return static_cast<int>(i);
  return -1;
}

}  // namespace pearspar::measure
