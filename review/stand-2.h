// What the scripts of the second review share: processes of the project on loopback addresses, a client, an operator
// and brokers that a case gives its own behaviour. Blocking sockets and threads; the standard library only.
#pragma once

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace stand {

using Clock = std::chrono::steady_clock;
inline const Clock::time_point began = Clock::now();
inline double seconds() { return std::chrono::duration<double>(Clock::now() - began).count(); }
inline void sleep_s(double s) { std::this_thread::sleep_for(std::chrono::duration<double>(s)); }

inline bool trouble() {
  const char* set = std::getenv("TROUBLE");
  return !set || std::string(set) != "0";
}

// ---- the record ----
inline std::mutex record_mutex;
inline FILE* record_file = nullptr;
inline void open_record(const std::string& path) {
  record_file = std::fopen(path.c_str(), "w");
  if (!record_file) std::exit(2);
}
__attribute__((format(printf, 1, 2))) inline void note(const char* format, ...) {
  std::lock_guard lock(record_mutex);
  std::fprintf(record_file, "%8.3f  ", seconds());
  va_list args;
  va_start(args, format);
  std::vfprintf(record_file, format, args);
  va_end(args);
  std::fputc('\n', record_file);
  std::fflush(record_file);
}

// ---- sockets ----
inline sockaddr_in socket_address(const std::string& ip, int port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(port));
  ::inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
  return address;
}
inline int listen_at(const std::string& ip, int port, const std::function<void(int)>& prepare = {}) {
  int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0), on = 1;
  ::setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  if (prepare) prepare(fd);
  sockaddr_in address = socket_address(ip, port);
  if (::bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0 || ::listen(fd, 512) != 0) {
    ::close(fd);
    return -1;
  }
  return fd;
}
inline int port_of(int fd) {
  sockaddr_in address{};
  socklen_t size = sizeof address;
  ::getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size);
  return ntohs(address.sin_port);
}
inline bool wait_for(int fd, short events, double s) {
  pollfd waiting{fd, events, 0};
  return ::poll(&waiting, 1, static_cast<int>(std::max(0.0, s) * 1000)) == 1;
}
inline int connect_to(const std::string& ip, int port, double within_s = 1.0) {
  int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0), on = 1;
  ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  sockaddr_in address = socket_address(ip, port);
  if (::connect(fd, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0 && errno != EINPROGRESS) {
    ::close(fd);
    return -1;
  }
  int error = 0;
  socklen_t size = sizeof error;
  if (!wait_for(fd, POLLOUT, within_s) || ::getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &size) != 0 || error != 0) {
    ::close(fd);
    return -1;
  }
  ::fcntl(fd, F_SETFL, ::fcntl(fd, F_GETFL) & ~O_NONBLOCK);
  return fd;
}
inline bool send_all(int fd, const std::string& bytes) {
  std::size_t at = 0;
  while (at < bytes.size()) {
    ssize_t put = ::send(fd, bytes.data() + at, bytes.size() - at, MSG_NOSIGNAL);
    if (put <= 0) return false;
    at += static_cast<std::size_t>(put);
  }
  return true;
}
inline void reset(int fd) {
  linger off{1, 0};
  ::setsockopt(fd, SOL_SOCKET, SO_LINGER, &off, sizeof off);
  ::close(fd);
}

// ---- messages ----
struct Head {
  std::string first;
  std::map<std::string, std::string> lines;  // names in lower case
  std::string get(const std::string& name) const {
    auto found = lines.find(name);
    return found == lines.end() ? "" : found->second;
  }
};
inline Head parse_head(const std::string& text) {
  Head head;
  std::size_t at = text.find("\r\n");
  head.first = text.substr(0, at);
  while (at != text.npos && at + 2 < text.size()) {
    std::size_t end = text.find("\r\n", at + 2);
    std::string line = text.substr(at + 2, end == text.npos ? text.npos : end - at - 2);
    std::size_t colon = line.find(':');
    if (colon != line.npos) {
      std::string name = line.substr(0, colon);
      for (char& c : name) c = static_cast<char>(std::tolower(c));
      std::size_t value = line.find_first_not_of(' ', colon + 1);
      head.lines[name] = value == line.npos ? "" : line.substr(value);
    }
    at = end;
  }
  return head;
}

// What a client sees. `whole`: the answer came as long as it says it is.
struct Answer {
  int status = 0;  // 0: none
  Head head;
  std::string body;
  bool whole = false;
  std::string end;  // why there is none
};
inline Answer read_answer(int fd, double within_s, std::string& in) {
  Answer answer;
  Clock::time_point until = Clock::now() + std::chrono::duration_cast<Clock::duration>(std::chrono::duration<double>(within_s));
  std::size_t head_end = std::string::npos, length = 0;
  while (true) {
    if (head_end == in.npos && (head_end = in.find("\r\n\r\n")) != in.npos) {
      answer.head = parse_head(in.substr(0, head_end));
      answer.status = std::atoi(answer.head.first.substr(std::min<std::size_t>(9, answer.head.first.size())).c_str());
      length = static_cast<std::size_t>(std::atoll(answer.head.get("content-length").c_str()));
      head_end += 4;
    }
    if (head_end != in.npos && in.size() >= head_end + length) {
      answer.body = in.substr(head_end, length);
      answer.whole = true;
      in.erase(0, head_end + length);
      return answer;
    }
    double left = std::chrono::duration<double>(until - Clock::now()).count();
    if (left <= 0 || !wait_for(fd, POLLIN, left)) return answer.end = "time is over", answer;
    char chunk[65536];
    ssize_t got = ::recv(fd, chunk, sizeof chunk, 0);
    if (got == 0) return answer.end = "closed", answer;
    if (got < 0) return answer.end = std::strerror(errno), answer;
    in.append(chunk, static_cast<std::size_t>(got));
  }
}
inline Answer call(const std::string& ip, int port, const std::string& request, double within_s) {
  Answer answer;
  int fd = connect_to(ip, port);
  if (fd < 0) return answer.end = "no connection", answer;
  std::string in;
  // The answer may come before all was sent.
  std::thread sender([&] { send_all(fd, request); });
  answer = read_answer(fd, within_s, in);
  ::shutdown(fd, SHUT_RDWR);
  sender.join();
  ::close(fd);
  return answer;
}
inline std::string new_id() {
  static std::mutex mutex;
  static std::mt19937_64 random{std::random_device{}()};
  std::lock_guard lock(mutex);
  char text[17];
  std::snprintf(text, sizeof text, "%016llx", static_cast<unsigned long long>(random()));
  return text;
}

// ---- processes of the project ----
struct System {
  std::string dir, net, program = "target/altavia";
  int inner = 0, control = 0, front = 0, ready = 0;
  std::map<std::string, pid_t> pids;
  std::vector<std::string> cores, edges;

  explicit System(int core_count = 3, int edge_count = 2) {
    char folder[] = "/tmp/review-2-XXXXXX";
    if (!::mkdtemp(folder)) std::exit(2);
    dir = folder;
    std::mt19937 random{std::random_device{}()};
    net = "127." + std::to_string(80 + random() % 100) + "." + std::to_string(random() % 250);
    for (int tries = 0; tries < 50 && !inner; ++tries) {
      int first = 20000 + static_cast<int>(random() % 9000);
      bool free = true;
      for (int port = first; port < first + 20; ++port) {
        int fd = listen_at(net + ".1", port);
        free = free && fd >= 0;
        if (fd >= 0) ::close(fd);
      }
      if (free) inner = first, control = first + 16, front = first + 17, ready = first + 18;
    }
    if (!inner || ::access(program.c_str(), X_OK) != 0) std::exit(2);
    for (int i = 1; i <= core_count; ++i) cores.push_back(net + "." + std::to_string(i));
    for (int i = 1; i <= edge_count; ++i) edges.push_back(net + "." + std::to_string(100 + i));
  }
  ~System() { end(); }
  void end() {
    for (auto& [name, pid] : pids) ::kill(pid, SIGCONT), ::kill(pid, SIGKILL);
    for (auto& [name, pid] : pids) ::waitpid(pid, nullptr, 0);
    pids.clear();
    std::error_code error;
    std::filesystem::remove_all(dir, error);
  }
  void write_settings(const std::string& ip, bool is_core, bool first_start) {
    std::ofstream out(dir + "/" + ip + ".toml");
    out << "nodeName = \"" << (is_core ? "sorting-" : "counter-") << ip << "\"\nrole = \"" << (is_core ? "core" : "edge")
        << "\"\nmachineClass = \"" << (is_core ? "sorting" : "counter") << "\"\nserves = [\""
        << (is_core ? "head_office" : "counter") << "\"]\nipAddress = \"" << ip
        << "\"\nzoneName = \"cankaya-salon\"\nregion = \"ankara\"\ninnerPortRange = [" << inner << "," << inner + 15
        << "]\nseedNodes = [";
    for (std::size_t i = 0; i < cores.size() && i < 3; ++i) out << (i ? "," : "") << '"' << cores[i] << ':' << control << '"';
    out << "]\nfirstStart = " << (first_start ? "true" : "false") << "\ncounted = " << (is_core ? "true" : "false") << "\n";
    if (is_core) out << "dataDir = \"" << dir << "/data-" << ip << "\"\n";
    out << "discovery = \"self_register\"\nentry = \"virtual_ip\"\nbeatMs = 1200\n"
           "rulesInForce = [\"base\",\"drain\",\"config\",\"cost\",\"retry\",\"recover\",\"scatter\"]\n[listenAddrs]\n";
    if (is_core)
      out << "controlPort = \"" << ip << ':' << control << "\"\n";
    else
      out << "frontDoor = \"" << ip << ':' << front << "\"\nreadyCheck = \"" << ip << ':' << ready << "\"\n";
    out << "[limits]\ncpuShare = 0.21\ncores = 1\nmemoryMb = 260\nfileLimit = 4100\nlinkMbps = 1000.0\ndiskMb = "
        << (is_core ? 128 : 0)
        << "\n[tolerance]\nmachineLosses = 1\nzones = 0\nregionLosses = 0\n[ruleBounds]\nseedLagS = 3\nreuseAfterS = 2\n"
           "inTouchMs = 4000\nackWithinMs = 5000\ncatchupS = 4\ndrainMs = 3000\ngracePeriodS = 6\nlostSlackMs = 200\n"
           "configWithinMs = 3000\nbackSlackMs = 250\nouterMs = 12000\nretryRatio = 0.2\nretryWindowS = 10\n"
           "retrySlack = 56\nrecoverS = 12\n";
  }
  void start(const std::string& ip, bool first_start) {
    bool is_core = std::find(cores.begin(), cores.end(), ip) != cores.end();
    write_settings(ip, is_core, first_start);
    std::string file = dir + "/" + ip + ".toml", log = dir + "/" + ip + ".log";
    pid_t pid = ::fork();
    if (pid == 0) {
      int out = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
      ::dup2(out, 1);
      ::dup2(out, 2);
      ::prctl(PR_SET_PDEATHSIG, SIGKILL);  // no process outlives the script
      ::setenv("PEARSPAR_CONFIG", file.c_str(), 1);
      ::execl(program.c_str(), program.c_str(), "serve", nullptr);
      ::_exit(127);
    }
    pids[ip] = pid;
    note("started %s, process %d", ip.c_str(), static_cast<int>(pid));
  }
  void start_all() {
    for (const std::string& ip : cores) start(ip, true);
    for (const std::string& ip : edges) start(ip, true);
  }
  bool is_ready(const std::string& edge) {
    return call(edge, ready, "GET /pearspar/ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n", 1).status == 200;
  }
  // Sent until it is taken, as the operator does; false where that does not happen in time.
  bool put_configuration(const std::string& text, int base, double within_s = 15) {
    double until = seconds() + within_s;
    for (std::size_t i = 0; seconds() < until; ++i) {
      Answer answer = call(cores[i % cores.size()], control,
                           "PUT /pearspar/config HTTP/1.1\r\nHost: x\r\nConnection: close\r\nIf-Match: " + std::to_string(base) +
                               "\r\nContent-Type: application/json\r\nContent-Length: " + std::to_string(text.size()) +
                               "\r\n\r\n" + text,
                           1.0);
      if (answer.status == 200) {
        note("the configuration on top of %d is acknowledged", base);
        return true;
      }
      sleep_s(0.1);
    }
    return false;
  }
  template <typename Condition>
  void need(const char* what, double within_s, Condition condition) {
    double until = seconds() + within_s;
    while (!condition()) {
      if (seconds() > until) {
        note("could not run: %s did not come", what);
        end();
        std::exit(2);
      }
      sleep_s(0.1);
    }
  }
};

inline const char* limits =
    "\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":262144,\"headerWaitMs\":3000,\"idleLimitMs\":15000}";

// ---- a broker: says that it is there, and hands each connection to the case ----
class Broker {
 public:
  using Serve = std::function<void(Broker&, int fd)>;
  Broker(System& system, std::string depot, Serve serve, int slots = 3, std::function<void(int)> prepare = {})
      : system_(system), depot_(std::move(depot)), serve_(std::move(serve)), slots_(slots) {
    ip_ = system.net + ".200";
    listener_ = listen_at(ip_, 0, prepare);
    port_ = port_of(listener_);
    id = "i-" + new_id().substr(8);
    accepts_ = std::thread([this] { accept_all(); });
    beats_ = std::thread([this] {
      while (!ended_) {
        if (beating) say("at_post");
        for (int i = 0; i < 12 && !ended_; ++i) sleep_s(0.1);
      }
    });
  }
  ~Broker() {
    ended_ = true;
    ::shutdown(listener_, SHUT_RDWR);
    accepts_.join();
    beats_.join();
    ::close(listener_);
  }
  int say(const std::string& state) {
    std::string body = "{\"depot\":\"" + depot_ + "\",\"address\":\"" + ip_ + ":" + std::to_string(port_) +
                       "\",\"zoneName\":\"cankaya-salon\",\"edition\":\"v1\",\"slotCount\":" + std::to_string(slots_) +
                       ",\"nodeState\":\"" + state + "\",\"coldLeftMs\":0,\"callSeq\":" + std::to_string(++sequence_) + "}";
    for (std::size_t i = 0; i < 2 * system_.cores.size(); ++i) {
      const std::string& to = system_.cores[i % system_.cores.size()];
      Answer answer = call(to, system_.control,
                           "PUT /pearspar/nodes/" + id + " HTTP/1.1\r\nHost: x\r\nConnection: close\r\nContent-Type: "
                           "application/json\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body, 1.0);
      if (answer.status == 200) {
        acknowledged = true;
        return 200;
      }
    }
    return 0;
  }
  std::string id;
  std::atomic<bool> acknowledged = false, beating = true;
  const std::string& depot() const { return depot_; }

 private:
  void accept_all() {
    while (!ended_) {
      int fd = ::accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
      if (fd < 0) break;
      int on = 1;
      ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
      std::thread([this, fd] { serve_(*this, fd); }).detach();
    }
  }
  System& system_;
  std::string depot_, ip_;
  Serve serve_;
  int slots_, listener_ = -1, port_ = 0;
  std::atomic<int> sequence_ = 0;
  std::atomic<bool> ended_ = false;
  std::thread accepts_, beats_;
};

// Reads up to the end of a head; nothing where the connection ends before. `in` keeps what follows.
inline std::optional<Head> read_head(int fd, std::string& in, double within_s = 60) {
  while (true) {
    std::size_t end = in.find("\r\n\r\n");
    if (end != in.npos) {
      Head head = parse_head(in.substr(0, end));
      in.erase(0, end + 4);
      return head;
    }
    if (!wait_for(fd, POLLIN, within_s)) return std::nullopt;
    char chunk[4096];
    ssize_t got = ::recv(fd, chunk, sizeof chunk, 0);
    if (got <= 0) return std::nullopt;
    in.append(chunk, static_cast<std::size_t>(got));
  }
}
// Reads the rest of a body of that length.
inline bool read_body(int fd, std::string& in, std::size_t length) {
  while (in.size() < length) {
    char chunk[65536];
    ssize_t got = ::recv(fd, chunk, std::min(sizeof chunk, length - in.size()), 0);
    if (got <= 0) return false;
    in.append(chunk, static_cast<std::size_t>(got));
  }
  return true;
}

}  // namespace stand
