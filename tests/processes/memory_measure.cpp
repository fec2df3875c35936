// pearspar-measure-memory: a member and an edge as real processes, whose allocations are refused one by one,
// from one on for good, or one in so many. Exit status 0: every answer was right, nothing acknowledged was
// lost, and whoever ended said so in its last line; 1: not so; 2: the run could not be made.
#include <fcntl.h>
#include <fmt/format.h>
#include <popt.h>
#include <signal.h>
#include <sys/mman.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <functional>
#include <limits>
#include <memory>
#include <new>
#include <string>
#include <vector>

#include "admin_client/admin_client.h"
#include "allocation/allocation.h"
#include "net/loop.h"
#include "processes/memory_faults.h"
#include "trial/process.h"

namespace {

using namespace std::chrono_literals;
using namespace pearspar;

// Of 127.0.0.0/8, by this process's id: two runs at once must not meet.
const std::string net_of_run = fmt::format("127.76.{}.", 1 + ::getpid() % 250);
const std::string control = net_of_run + "1:28729";
const std::string front_door = net_of_run + "2:28726";
const std::string ready_check = net_of_run + "2:28723";
constexpr std::uint64_t for_good = std::numeric_limits<std::uint64_t>::max();
constexpr std::uint64_t refused_at_random = 2000;  // one in so many
constexpr int costly_places = 60;                  // at the most, of what takes seconds each time
constexpr int orders_to_a_snapshot = 70;           // folded from 64 entries on
constexpr std::size_t record_bytes = 16, top = 5;

std::string configuration(std::uint64_t revision) {
  return fmt::format(
      R"({{"edition":{},"postalRoutes":[{{"name":"g","hostName":"h","pathPrefix":"/g/","lineKind":"safe",)"
      R"("deadlineMs":2000,"gatherFrom":["s0","s1"],"topN":{},"minShare":1,"tries":2}}],)"
      R"("depots":[{{"name":"s0"}},{{"name":"s1"}}]}})",
      revision, top);
}

// A process whose allocations can be refused.
class Subject {
 public:
  Subject(net::Loop& loop, std::string name, std::string settings, const std::string& folder,
          std::string program, std::string shim)
      : loop_(loop),
        name_(std::move(name)),
        settings_(folder + "/" + name_ + ".toml"),
        faults_(folder + "/" + name_ + ".faults"),
        program_(std::move(program)),
        shim_(std::move(shim)) {
    std::ofstream(settings_) << settings;
    const int file = ::open(faults_.c_str(), O_RDWR | O_CREAT, 0600);
    if (file < 0 || ::ftruncate(file, sizeof(processes::MemoryFaults)) != 0)
      throw std::runtime_error("no file to share");
    void* mapped =
        ::mmap(nullptr, sizeof(processes::MemoryFaults), PROT_READ | PROT_WRITE, MAP_SHARED, file, 0);
    ::close(file);
    if (mapped == MAP_FAILED) throw std::runtime_error("no memory to share");
    shared_ = new (mapped) processes::MemoryFaults{};
  }

  void start() {
    ended_ = false;
    status_ = 0;
    last_line_.clear();
    process_ = std::make_unique<trial::Process>(
        loop_,
        std::vector<std::string>{"/usr/bin/env", "LD_PRELOAD=" + shim_, "PEARSPAR_TRIAL_MEMORY=" + faults_,
                                 program_, "serve", "--settings", settings_},
        0,
        [this](std::string_view line) {
          last_line_ = line;
          reloads_ += line.find("\"event\":\"settings_read\"") != std::string_view::npos;
        },
        [this](int status) { ended_ = true, status_ = status; });
  }
  void kill() { process_.reset(); }
  void signal(int number) { process_->signal(number); }
  bool ended() const { return ended_; }
  int status() const { return status_; }
  const std::string& last_line() const { return last_line_; }
  int reloads() const { return reloads_; }
  std::uint64_t calls() const { return shared_->calls; }
  std::uint64_t failed() const { return shared_->failed; }

  // Counted from the next call, as 1.
  void refuse(std::uint64_t from, std::uint64_t count, std::uint64_t one_in = 0) {
    shared_->one_in = one_in;
    shared_->fail_until = count == for_good ? for_good : calls() + from + count;
    shared_->fail_from = calls() + from;
  }
  // From the process's first call on.
  void refuse_from_start(std::uint64_t from, std::uint64_t count) {
    shared_->calls = 0;
    refuse(from, count);
  }
  void refuse_nothing() { shared_->fail_from = 0; }

  // It has ended for want of memory, and says what it was doing, how much it wanted and what it held.
  bool ended_with_a_word() const {
    return ended_ && WIFEXITED(status_) && WEXITSTATUS(status_) == allocation::out_of_memory_status &&
           last_line_.find("\"event\":\"out_of_memory\"") != std::string::npos &&
           last_line_.find("\"doing\":\"") != std::string::npos &&
           last_line_.find("\"wanted_bytes\":") != std::string::npos &&
           last_line_.find("\"held\":{") != std::string::npos;
  }

 private:
  net::Loop& loop_;
  const std::string name_, settings_, faults_, program_, shim_;
  processes::MemoryFaults* shared_ = nullptr;
  std::unique_ptr<trial::Process> process_;
  bool ended_ = false;
  int status_ = 0;
  std::string last_line_;
  int reloads_ = 0;  // as its log tells them
};

struct Options {
  int strides = 40;  // so many places of an operation, evenly; 0: every one
  double random_s = 4;
};

class Trial {
 public:
  Trial(const std::string& here, const Options& options)
      : options_(options),
        folder_(make_folder()),
        member_(loop_, "core", settings("core", net_of_run + "1", folder_ + "/data"), folder_,
                here + "/altavia", here + "/libpearspar_malloc_shim.so"),
        edge_(loop_, "edge", settings("edge", net_of_run + "2", ""), folder_, here + "/altavia",
              here + "/libpearspar_malloc_shim.so") {
    member_.start();
    edge_.start();
    for (int i = 0; i < 2; ++i)
      servers_.push_back(std::make_unique<trial::Process>(
          loop_,
          std::vector<std::string>{
              here + "/altavia-standin", "node", "--at", control, "--depot", fmt::format("s{}", i),
              "--listen", fmt::format("{}{}:28740", net_of_run, 11 + i), "--for", "100000", "--slots", "20"},
          0, [](std::string_view) {}, [](int) {}));
  }
  ~Trial() {
    std::error_code ignored;
    std::filesystem::remove_all(folder_, ignored);
  }

  int run() {
    if (!until(10s, [&] { return order(); }) || !until(10s, [&] { return request(); }))
      throw std::runtime_error("the system does not come up");
    one_by_one("an order", member_, [&] { return order(); });
    one_by_one("a beat", member_, [&] { return beat(); });
    one_by_one("a read", member_, [&] { return read(); });
    one_by_one("a gathered request", edge_, [&] { return request(); });
    one_by_one("a reload", edge_, [&] { return reload(); });
    one_by_one(
        "orders until a snapshot", member_,
        [&] {
          bool good = true;
          for (int i = 0; i < orders_to_a_snapshot; ++i) good = order() && good;
          return good && read();
        },
        true);
    one_in_many();
    starts();
    ends();
    for_good_from("an order", member_, [&] { order(); });
    for_good_from("a gathered request", edge_, [&] { request(); });
    std::printf("%d faults\n", faults_);
    return faults_ == 0 ? 0 : 1;
  }

 private:
  static std::string make_folder() {
    std::string name = (std::filesystem::temp_directory_path() / "pearspar-memory-XXXXXX").string();
    if (!::mkdtemp(name.data())) throw std::runtime_error("no folder");
    return name;
  }
  static std::string settings(const std::string& name, const std::string& ip, const std::string& data) {
    std::string text = fmt::format(
        "nodeName = \"{}\"\nipAddress = \"{}\"\nzoneName = \"a\"\ninnerPortRange = [27120,27130]\n"
        "seedNodes = [\"{}\"]\nfirstStart = true\nbeatMs = 400\n",
        name, ip, control);
    if (!data.empty()) text += fmt::format("dataDir = \"{}\"\n", data);
    text += "[listenAddrs]\n";
    text += !data.empty() ? fmt::format("controlPort = \"{}\"\n", control)
                          : fmt::format("frontDoor = \"{}\"\nreadyCheck = \"{}\"\n", front_door, ready_check);
    return text +
           "[limits]\nmemoryMb = 260\nfileLimit = 1024\n[ruleBounds]\ngracePeriodS = 1\nretryRatio = 0.2\n"
           "retrySlack = 56\nretryWindowS = 10\n";
  }

  bool until(net::Duration within, const std::function<bool()>& holds) {
    const net::Time end = loop_.read_clock() + within;
    while (loop_.read_clock() < end) {
      if (holds()) return true;
      loop_.run_once(net::Duration(0.01));
    }
    return false;
  }
  void rest(net::Duration span) {
    until(span, [] { return false; });
  }
  void fault(const std::string& what) {
    ++faults_;
    std::printf("FAULT: %s\n", what.c_str());
    std::fflush(stdout);
  }

  bool order() {
    admin_client::AdminClient caller(loop_, {control});
    const std::uint64_t next = revision_ + 1;
    const auto reply = caller.call_member(
        control,
        {"PUT", "/pearspar/config", fmt::format("If-Match: {}\r\n", revision_), configuration(next), ""}, 2s);
    if (reply.status != 200) {
      answered_ = fmt::format("order {}: {} {}{}", next, reply.status, reply.fault, reply.body);
      // Without a clear answer it may be in force.
      const auto now = caller.call_member(control, {"GET", "/pearspar/config", "", "", ""}, 2s);
      if (now.status == 200 && now.body == configuration(next)) revision_ = next;
      return false;
    }
    revision_ = next;
    return true;
  }
  bool read() {
    admin_client::AdminClient caller(loop_, {control});
    const auto reply = caller.call_member(control, {"GET", "/pearspar/config", "", "", ""}, 2s);
    return reply.status == 200 && reply.body == configuration(revision_);
  }
  bool beat() {
    admin_client::AdminClient caller(loop_, {control});
    return caller
               .call_member(
                   control,
                   {"PUT", "/pearspar/nodes/i-x", "",
                    fmt::format(R"({{"depot":"none","address":"127.76.1.99:1","zoneName":"a","edition":"v1",)"
                                R"("slotCount":1,"nodeState":"at_post","coldLeftMs":0,"callSeq":{}}})",
                                ++beats_),
                    ""},
                   2s)
               .status == 200;
  }
  bool request() {
    admin_client::AdminClient caller(loop_, {front_door});
    const auto reply = caller.call_member(
        front_door,
        {"GET", "/g/x", fmt::format("Request-Id: r{:x}\r\nDeadline-Ms: 2000\r\n", ++requests_), "", "h"}, 3s);
    answered_ = fmt::format("request r{:x}: {} {}, {} bytes", requests_, reply.status, reply.fault,
                            reply.body.size());
    return reply.status == 200 && reply.body.size() == top * record_bytes;
  }
  bool reload() {
    rest(150ms);  // a log that tells more than 20 lines a second drops some
    const int before = edge_.reloads();
    edge_.signal(SIGHUP);
    answered_ = "the settings were not read";
    return until(1s, [&] { return edge_.reloads() > before; }) && request();
  }

  // The least that it takes of a few runs: others may meet a configuration that comes, or a connection that
  // goes.
  std::uint64_t calls_of(Subject& subject, const std::function<void()>& operation) {
    std::uint64_t least = for_good;
    for (int i = 0; i < 4; ++i) {
      const std::uint64_t before = subject.calls();
      operation();
      least = std::min(least, subject.calls() - before);
    }
    return least;
  }
  std::vector<std::uint64_t> spread(std::uint64_t calls, bool costly = false) const {
    int places = options_.strides;
    if (costly && (places == 0 || places > costly_places)) places = costly_places;
    std::uint64_t step = 1;
    if (places > 0) step = std::max<std::uint64_t>(1, calls / static_cast<std::uint64_t>(places));
    std::vector<std::uint64_t> all;
    for (std::uint64_t at = 1; at <= calls; at += step) all.push_back(at);
    return all;
  }

  void one_by_one(const char* name, Subject& subject, const std::function<bool()>& operation,
                  bool costly = false) {
    const auto all = spread(calls_of(subject, operation), costly);
    if (all.empty()) return fault(fmt::format("{}: it allocates nothing", name));
    const std::uint64_t failed = subject.failed();
    int wrong = 0;
    for (const std::uint64_t place : all) {
      subject.refuse(place, 1);
      const bool good = operation();
      subject.refuse_nothing();
      if (subject.ended())
        return fault(fmt::format("{}: it ended at allocation {}: {}", name, place, subject.last_line()));
      if (!good && ++wrong <= 3)
        fault(fmt::format("{}: went wrong at allocation {}: {}", name, place, answered_));
    }
    if (subject.failed() == failed) fault(fmt::format("{}: nothing was refused", name));
    std::printf("%s: %zu places of %llu, %llu refused, %d wrong\n", name, all.size(),
                static_cast<unsigned long long>(all.back()),
                static_cast<unsigned long long>(subject.failed() - failed), wrong);
    std::fflush(stdout);
  }

  void one_in_many() {
    for (Subject* each : {&member_, &edge_}) each->refuse(1, for_good, refused_at_random);
    const std::uint64_t before = member_.failed() + edge_.failed();
    const net::Time end = loop_.read_clock() + net::Duration(options_.random_s);
    int orders = 0, requests = 0, wrong = 0;
    while (loop_.read_clock() < end) {
      for (const auto& operation : {std::function<bool()>([&] { return order(); }),
                                    std::function<bool()>([&] { return request(); })}) {
        if (operation()) continue;
        fault("one in many: " + answered_);
        ++wrong;
      }
      ++orders;
      ++requests;
    }
    for (Subject* each : {&member_, &edge_}) each->refuse_nothing();
    if (member_.ended() || edge_.ended()) fault("one in many: a process ended");
    std::printf("one in %llu: %d orders, %d requests, %llu refused, %d wrong\n",
                static_cast<unsigned long long>(refused_at_random), orders, requests,
                static_cast<unsigned long long>(member_.failed() + edge_.failed() - before), wrong);
    std::fflush(stdout);
  }

  bool comes_back(Subject& subject) {
    subject.refuse_nothing();
    if (subject.ended()) subject.start();
    const bool edge = &subject == &edge_;
    return until(10s, [&] { return edge ? request() : read(); });
  }
  bool stop(Subject& subject) {
    subject.signal(SIGTERM);
    return until(8s, [&] { return subject.ended(); });
  }

  // Before the reserve is there the process ends with a word; after that it goes on.
  void starts() {
    for (Subject* subject : {&member_, &edge_}) {
      const char* name = subject == &member_ ? "a member's start" : "an edge's start";
      subject->kill();
      subject->refuse_from_start(for_good / 2, 1);
      subject->start();
      if (!comes_back(*subject)) return fault(fmt::format("{}: it does not come back", name));
      const auto all = spread(subject->calls(), true);
      int ended = 0;
      for (const std::uint64_t place : all) {
        subject->kill();
        subject->refuse_from_start(place, 1);
        subject->start();
        const bool edge = subject == &edge_;
        until(10s, [&] { return subject->ended() || (edge ? request() : read()); });
        ended += subject->ended();
        if (subject->ended() && !subject->ended_with_a_word())
          fault(fmt::format("{}: it ended without a word at allocation {}, status {:#x}", name, place,
                            subject->status()));
        if (!comes_back(*subject))
          return fault(fmt::format("{}: it does not come back, allocation {}", name, place));
      }
      std::printf("%s: %zu places, %d ended with a word\n", name, all.size(), ended);
      std::fflush(stdout);
    }
  }

  void ends() {
    for (Subject* subject : {&member_, &edge_}) {
      const char* name = subject == &member_ ? "a member's end" : "an edge's end";
      const std::uint64_t before = subject->calls();
      if (!stop(*subject)) return fault(fmt::format("{}: it does not end", name));
      const auto all = spread(subject->calls() - before, true);
      int wrong = 0;
      for (const std::uint64_t place : all) {
        if (!comes_back(*subject))
          return fault(fmt::format("{}: it does not come back, allocation {}", name, place));
        subject->refuse(place, 1);
        stop(*subject);
        if (subject->status() != 0 && ++wrong <= 3)
          fault(fmt::format("{}: status {:#x} at allocation {}", name, subject->status(), place));
      }
      if (!comes_back(*subject)) return fault(fmt::format("{}: it does not come back", name));
      std::printf("%s: %zu places, %d wrong\n", name, all.size(), wrong);
      std::fflush(stdout);
    }
  }

  // All fail from there on: it ends with a word, and back it knows what it acknowledged.
  void for_good_from(const char* name, Subject& subject, const std::function<void()>& operation) {
    const auto all = spread(calls_of(subject, operation));
    int ended = 0;
    for (const std::uint64_t place : all) {
      const std::uint64_t failed = subject.failed();
      subject.refuse(place, for_good);
      operation();
      until(300ms, [&] { return subject.ended(); });
      ended += subject.ended();
      if (subject.failed() == failed) continue;  // it took fewer this time
      if (!subject.ended())
        fault(fmt::format("{}: it goes on without memory, allocation {}", name, place));
      else if (!subject.ended_with_a_word())
        fault(fmt::format("{}: it ended without a word at allocation {}, status {:#x}: {}", name, place,
                          subject.status(), subject.last_line()));
      const std::uint64_t sure = revision_;
      if (!comes_back(subject) && !settled_above(sure))
        return fault(fmt::format("{}: what was acknowledged is lost, allocation {}", name, place));
    }
    std::printf("%s, for good: %zu places, %d ended with a word\n", name, all.size(), ended);
    std::fflush(stdout);
  }
  // An order without a clear answer may have been taken.
  bool settled_above(std::uint64_t sure) {
    revision_ = sure + 1;
    return until(5s, [&] { return read(); });
  }

  net::Loop loop_;
  const Options options_;
  const std::string folder_;
  Subject member_, edge_;
  std::vector<std::unique_ptr<trial::Process>> servers_;
  std::uint64_t revision_ = 0, requests_ = 0, beats_ = 0;
  std::string answered_;  // what came last, where it was wrong
  int faults_ = 0;
};

}  // namespace

int main(int argc, const char** argv) {
  Options to;
  const poptOption options[] = {
      {"places", 'p', POPT_ARG_INT, &to.strides, 0, "so many of each operation, evenly (40); 0: every one",
       "N"},
      {"random", 'r', POPT_ARG_DOUBLE, &to.random_s, 0, "one in many is refused for so long (4)", "SECONDS"},
      POPT_AUTOHELP POPT_TABLEEND};
  poptContext context = poptGetContext("pearspar-measure-memory", argc, argv, options, 0);
  const int result = poptGetNextOpt(context);
  const bool bad = result < -1 || poptPeekArg(context);
  poptFreeContext(context);
  if (bad) {
    std::fprintf(stderr, "pearspar-measure-memory: the command line cannot be read (--help)\n");
    return 2;
  }
  try {
    return Trial(std::filesystem::read_symlink("/proc/self/exe").parent_path().string(), to).run();
  } catch (const std::exception& error) {
    std::fprintf(stderr, "pearspar-measure-memory: %s\n", error.what());
    return 2;
  }
}
