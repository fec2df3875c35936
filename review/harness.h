// Parts that the cases share: the system's processes on loopback, a blocking HTTP client, index servers
// ("brokers" on the operators' pages), the operator's calls, and the record. Only the C++ library and POSIX.
#pragma once

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

namespace review {

using Clock = std::chrono::steady_clock;
inline const Clock::time_point started = Clock::now();
inline double now_s() { return std::chrono::duration<double>(Clock::now() - started).count(); }
inline void sleep_s(double s) { std::this_thread::sleep_for(std::chrono::duration<double>(s)); }

// What was sent, answered and run, one line each, with the seconds since the start.
class Record {
 public:
  explicit Record(const std::string& file) : out_(std::fopen(file.c_str(), "w")) {}
  ~Record() {
    if (out_) std::fclose(out_);
  }
  void line(const char* format, ...) __attribute__((format(printf, 2, 3))) {
    std::lock_guard lock(mutex_);
    if (!out_) return;
    std::fprintf(out_, "%9.3f  ", now_s());
    va_list args;
    va_start(args, format);
    std::vfprintf(out_, format, args);
    va_end(args);
    std::fputc('\n', out_);
    std::fflush(out_);
  }

 private:
  std::mutex mutex_;
  std::FILE* out_;
};
inline std::unique_ptr<Record> record;

struct Endpoint {
  std::string ip;
  int port = 0;
  std::string text() const { return ip + ":" + std::to_string(port); }
  static Endpoint parse(const std::string& text) {
    auto colon = text.rfind(':');
    return {text.substr(0, colon), std::atoi(text.c_str() + colon + 1)};
  }
};

inline sockaddr_in socket_address(const Endpoint& at) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(at.port));
  inet_pton(AF_INET, at.ip.c_str(), &address.sin_addr);
  return address;
}

// A connected socket, or -1.
inline int connect_to(const Endpoint& to, double timeout_s) {
  int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
  if (fd < 0) return -1;
  sockaddr_in address = socket_address(to);
  if (::connect(fd, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0) {
    pollfd wait{fd, POLLOUT, 0};
    int error = errno;
    socklen_t size = sizeof error;
    if (error != EINPROGRESS || ::poll(&wait, 1, static_cast<int>(timeout_s * 1000)) != 1 ||
        ::getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &size) != 0 || error != 0) {
      ::close(fd);
      return -1;
    }
  }
  int one = 1;
  ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
  return fd;
}

inline int listen_at(const Endpoint& at, int* port = nullptr) {
  int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  int one = 1;
  ::setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
  sockaddr_in address = socket_address(at);
  if (::bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0 || ::listen(fd, 256) != 0) {
    ::close(fd);
    return -1;
  }
  socklen_t size = sizeof address;
  ::getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size);
  if (port) *port = ntohs(address.sin_port);
  return fd;
}

inline bool write_all(int fd, std::string_view bytes, double timeout_s = 2) {
  const double end = now_s() + timeout_s;
  while (!bytes.empty()) {
    ssize_t n = ::send(fd, bytes.data(), bytes.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
    if (n > 0) {
      bytes.remove_prefix(static_cast<std::size_t>(n));
      continue;
    }
    if (errno != EAGAIN && errno != EINTR) return false;
    if (now_s() >= end) return false;
    pollfd wait{fd, POLLOUT, 0};
    ::poll(&wait, 1, 50);
  }
  return true;
}

struct Message {
  std::string start;
  std::vector<std::pair<std::string, std::string>> headers;
  std::string body;
  std::string header(const std::string& name) const {
    for (const auto& [key, value] : headers)
      if (::strcasecmp(key.c_str(), name.c_str()) == 0) return value;
    return {};
  }
  bool has(const std::string& name) const {
    for (const auto& each : headers)
      if (::strcasecmp(each.first.c_str(), name.c_str()) == 0) return true;
    return false;
  }
};

// Reads one message with a Content-Length. `buffer` keeps what follows it. False: end, reset or timeout.
inline bool read_message(int fd, std::string& buffer, Message& message, double timeout_s,
                         const std::atomic<bool>* stop = nullptr) {
  const double end = now_s() + timeout_s;
  std::size_t head = std::string::npos, length = 0;
  while (true) {
    if (head == std::string::npos && (head = buffer.find("\r\n\r\n")) != std::string::npos) {
      message = {};
      std::size_t at = 0;
      bool first = true;
      while (at < head) {
        std::size_t line_end = std::min(buffer.find("\r\n", at), head);
        std::string line = buffer.substr(at, line_end - at);
        at = line_end + 2;
        if (first) {
          message.start = line;
          first = false;
          continue;
        }
        std::size_t colon = line.find(':');
        if (colon == std::string::npos) return false;
        std::size_t value = line.find_first_not_of(" \t", colon + 1);
        message.headers.emplace_back(line.substr(0, colon), value == std::string::npos ? "" : line.substr(value));
      }
      length = static_cast<std::size_t>(std::atoll(message.header("Content-Length").c_str()));
    }
    if (head != std::string::npos && buffer.size() >= head + 4 + length) {
      message.body = buffer.substr(head + 4, length);
      buffer.erase(0, head + 4 + length);
      return true;
    }
    const double left = end - now_s();
    if (left <= 0 || (stop && *stop)) return false;
    pollfd wait{fd, POLLIN, 0};
    if (::poll(&wait, 1, static_cast<int>(std::min(left, 0.1) * 1000) + 1) <= 0) continue;
    char bytes[65536];
    ssize_t n = ::recv(fd, bytes, sizeof bytes, MSG_DONTWAIT);
    if (n > 0)
      buffer.append(bytes, static_cast<std::size_t>(n));
    else if (n == 0 || (errno != EAGAIN && errno != EINTR))
      return false;
  }
}

struct Reply {
  int status = 0;  // 0: none
  Message message;
};

// One call on a connection of its own.
inline Reply call(const Endpoint& to, const std::string& method, const std::string& path,
                  const std::string& headers, const std::string& body, double timeout_s) {
  Reply reply;
  int fd = connect_to(to, std::min(timeout_s, 1.0));
  if (fd < 0) return reply;
  std::string text = method + " " + path + " HTTP/1.1\r\nConnection: close\r\n" + headers;
  if (headers.find("Host:") == std::string::npos) text += "Host: " + to.text() + "\r\n";
  if (!body.empty() || method == "PUT" || method == "POST")
    text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
  text += "\r\n" + body;
  std::string buffer;
  if (write_all(fd, text) && read_message(fd, buffer, reply.message, timeout_s))
    reply.status = std::atoi(reply.message.start.c_str() + 9);
  ::close(fd);
  return reply;
}

// A small deployment: members of the core and edges, each with an address of its own; the ports are alike.
class Deployment {
 public:
  struct Machine {
    std::string name, ip, settings;
    bool core = false;
    pid_t pid = 0;
    double started_at = 0;
  };
  std::map<std::string, Machine> machines;
  std::filesystem::path folder;
  std::string net;
  int inner = 0, control = 0, front = 0, ready = 0;

  Deployment() {
    char name[] = "/tmp/review-XXXXXX";
    folder = ::mkdtemp(name);
    // Free addresses and ports: of this process's number, tried until the ports can be bound.
    for (int i = 0; i < 50; ++i) {
      int seed = (static_cast<int>(::getpid()) * 7 + i * 131) & 0xffff;
      net = "127." + std::to_string(64 + (seed & 63)) + "." + std::to_string(1 + (seed >> 6) % 250);
      int base = 21000 + (seed % 400) * 20;
      bool free = true;
      for (int port : {base, base + 16, base + 17, base + 18})
        for (int n : {1, 2, 3, 11, 12, 13}) {
          int fd = listen_at({net + "." + std::to_string(n), port});
          free = free && fd >= 0;
          if (fd >= 0) ::close(fd);
        }
      if (!free) continue;
      inner = base, control = base + 16, front = base + 17, ready = base + 18;
      return;
    }
  }
  ~Deployment() {
    for (auto& [name, machine] : machines)
      if (machine.pid > 0) ::kill(machine.pid, SIGCONT), ::kill(machine.pid, SIGTERM);
    const double end = now_s() + 7;
    for (auto& [name, machine] : machines) {
      while (machine.pid > 0 && now_s() < end && ::waitpid(machine.pid, nullptr, WNOHANG) == 0) sleep_s(0.02);
      if (machine.pid > 0 && ::kill(machine.pid, 0) == 0) {
        ::kill(machine.pid, SIGKILL);
        ::waitpid(machine.pid, nullptr, 0);
      }
    }
    std::error_code ignored;
    if (std::getenv("KEEP_LOGS")) std::filesystem::rename(folder, std::getenv("KEEP_LOGS"), ignored);
    else std::filesystem::remove_all(folder, ignored);
  }

  Endpoint control_of(int n) const { return {net + "." + std::to_string(n), control}; }
  Endpoint front_of(const std::string& name) const { return {machines.at(name).ip, front}; }
  Endpoint ready_of(const std::string& name) const { return {machines.at(name).ip, ready}; }
  std::vector<Endpoint> controls() const {
    std::vector<Endpoint> all;
    for (const auto& [name, machine] : machines)
      if (machine.core) all.push_back({machine.ip, control});
    return all;
  }

  void write_settings(Machine& machine, bool first_start, const std::string& seeds) {
    auto quoted = [](const std::string& text) { return "\"" + text + "\""; };
    std::string out = "nodeName = " + quoted(machine.name) + "\nipAddress = " + quoted(machine.ip) +
                      "\nzoneName = \"upper-hill\"\nregion = \"nairobi\"\ninnerPortRange = [" +
                      std::to_string(inner) + "," + std::to_string(inner + 15) + "]\nseedNodes = [" + seeds +
                      "]\nfirstStart = " + (first_start ? "true" : "false") + "\nbeatMs = 1200\n";
    if (machine.core)
      out += "machineClass = \"sorting\"\nrole = \"core\"\nserves = [\"head_office\"]\ncounted = true\ndataDir = " +
             quoted((folder / (machine.name + ".data")).string()) +
             "\n[listenAddrs]\ncontrolPort = " + quoted(machine.ip + ":" + std::to_string(control)) +
             "\n[limits]\nmemoryMb = 256\nfileLimit = 4096\n";
    else
      out += "machineClass = \"counter\"\nrole = \"edge\"\nserves = [\"counter\"]\ncounted = false\n[listenAddrs]\nfrontDoor = " +
             quoted(machine.ip + ":" + std::to_string(front)) +
             "\nreadyCheck = " + quoted(machine.ip + ":" + std::to_string(ready)) +
             "\n[limits]\nmemoryMb = 260\nfileLimit = 4100\n";
    out += "[tolerance]\nmachineLosses = 1\n[ruleBounds]\nseedLagS = 3\nreuseAfterS = 2\ninTouchMs = 4000\n"
           "ackWithinMs = 5000\ncatchupS = 4\ndrainMs = 3000\ngracePeriodS = 6\nlostSlackMs = 200\n"
           "configWithinMs = 3000\nbackSlackMs = 250\nouterMs = 12000\nretryRatio = 0.2\nretryWindowS = 10\n"
           "retrySlack = 54\nrecoverS = 12\n";
    machine.settings = (folder / (machine.name + ".toml")).string();
    std::ofstream(machine.settings) << out;
  }
  std::string seed_list() const {
    std::string seeds;
    for (int n = 1; n <= 3; ++n) seeds += (n > 1 ? ",\"" : "\"") + control_of(n).text() + "\"";
    return seeds;
  }
  void add(const std::string& name, int n, bool core) {
    Machine& machine = machines[name];
    machine.name = name;
    machine.ip = net + "." + std::to_string(n);
    machine.core = core;
  }
  // The deploy file's command: target/altavia serve, from the repository's root.
  void start(const std::string& name, bool first_start) {
    Machine& machine = machines[name];
    write_settings(machine, first_start, seed_list());
    const std::string log = (folder / (name + ".log")).string();
    pid_t pid = ::fork();
    if (pid == 0) {
      ::prctl(PR_SET_PDEATHSIG, SIGKILL);  // ends with the case, however that ends
      int out = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
      ::dup2(out, 1);
      ::dup2(out, 2);
      ::setenv("PEARSPAR_CONFIG", machine.settings.c_str(), 1);
      ::execl("target/altavia", "target/altavia", "serve", nullptr);
      ::_exit(127);
    }
    machine.pid = pid;
    machine.started_at = now_s();
    record->line("start %s (%s)", name.c_str(), machine.ip.c_str());
  }
  void kill(const std::string& name, int signal) {
    Machine& machine = machines[name];
    ::kill(machine.pid, signal);
    record->line("signal %d to %s", signal, name.c_str());
    if (signal != SIGKILL) return;
    ::waitpid(machine.pid, nullptr, 0);
    machine.pid = 0;
  }
  bool is_ready(const std::string& name) const { return call(ready_of(name), "GET", "/pearspar/ready", "", "", 1).status == 200; }
};

// Waits until `holds`; false where it does not come.
inline bool wait_until(double limit_s, const std::function<bool()>& holds) {
  const double end = now_s() + limit_s;
  while (now_s() < end) {
    if (holds()) return true;
    sleep_s(0.05);
  }
  return holds();
}

// A call of a broker or of the operator, as the pages say: on to the next member after a failure, a 5xx, a 408
// or 429, or a second of silence. `began` is set to the sending of the try that was answered.
inline Reply call_core(const std::vector<Endpoint>& members, std::size_t& next, const std::string& method,
                       const std::string& path, const std::string& headers, const std::string& body,
                       double limit_s) {
  const double end = now_s() + limit_s;
  double pause = 0.05;
  Reply reply;
  while (now_s() < end) {
    reply = call(members[next % members.size()], method, path, headers, body, 1.0);
    if (reply.status == 307) reply = call(Endpoint::parse(reply.message.header("Location").substr(7)), method, path, headers, body, 1.0);
    if (reply.status != 0 && reply.status < 500 && reply.status != 408 && reply.status != 429) return reply;
    ++next;
    sleep_s(pause);
    pause = std::min(pause * 1.5, 0.5);
  }
  return reply;
}

}  // namespace review
