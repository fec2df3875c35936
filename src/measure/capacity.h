// pearspar-measure-capacity: hollow edges and hollow index servers around real members, on loopback. What its
// parts share: boards in memory that all its processes see, the processes themselves, one size's figures.
#pragma once

#include <sys/types.h>

#include <array>
#include <atomic>
#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace pearspar::measure {

// Frames by the first field of each (protocol/messages.cpp); 0: none that is known.
inline constexpr std::size_t frame_kinds = 16;
inline constexpr std::array<std::string_view, frame_kinds> kind_names{
    "unknown",  "agreement", "hello",       "welcome", "standing", "changes", "ping", "ack",
    "farewell", "call",      "call_answer", "want",    "grant",    "ask",     "tell", "other"};
std::size_t kind_of(std::string_view frame);

using Count = std::atomic<std::uint64_t>;
inline std::uint64_t now_ns() {
  return static_cast<std::uint64_t>(
      std::chrono::nanoseconds(std::chrono::steady_clock::now().time_since_epoch()).count());
}

struct Flow {
  Count frames{0}, bytes{0};  // with the length before each frame
};

// One edge, written by its process.
struct EdgeBoard {
  Count revision{0}, revision_ns{0};  // newest in force, and since when
  Count term{0}, term_ns{0};          // of the newest news
  Count whole_term{0}, whole_ns{0};   // of the newest list that was told as whole
  Count nodes{0};                     // known here (full edges), or in the newest list
  Count links{0}, dialled{0};         // that are up now; that have come up
  std::array<Flow, frame_kinds> in, out;
};

// The index servers of one process.
inline constexpr std::size_t latency_steps = 32;  // each 1.5 times the one before, from 50 microseconds
struct ServerBoard {
  Count beats{0}, answered{0}, failed{0}, opened{0}, bytes_in{0}, bytes_out{0};
  std::array<Count, latency_steps> latency{};
};

struct Size {
  int edges = 30;
  int servers = 171;
  int members = 3;
  int full = 8;           // edges that keep the list and have a dispatcher, each in a process of its own
  int per_process = 200;  // of the others
  int servers_per_process = 2000;
  int routes = 100;
  double beat_ms = 1200;
  bool held = false;  // servers keep their connection between beats
  double rest_s = 8;
  double within_s = 60;  // for each step
  std::size_t memory_mb = 15000;
  bool elects = true;
  int nice = 0;  // of the members; below 0: before all else on the machine, where we have the right
};

// Serve until the process is ended; run in a process of their own.
struct EdgePart {
  EdgeBoard* boards = nullptr;
  int first = 0, count = 0;
  bool full = false;
};
[[noreturn]] void run_edges(const EdgePart& part, const std::vector<std::string>& seeds);
struct ServerPart {
  ServerBoard* board = nullptr;
  int first = 0, count = 0;
  double beat_ms = 1200;
  bool held = false;
};
[[noreturn]] void run_servers(const ServerPart& part, const std::vector<std::string>& members);
std::string beat_body(int server, std::string_view state, std::uint64_t call);
std::string server_id(int server);

// What a process has used.
struct Usage {
  double cpu_s = 0;
  double system_s = 0;  // of it, in the kernel
  double rss_mb = 0, peak_mb = 0;
  double files = 0;
};
Usage usage_of(pid_t pid);
void forget_peak(pid_t pid);  // the peak counts from here
// Of the whole machine, by everybody: processor time since its start, in use and at all.
struct Machine {
  double busy_s = 0, all_s = 0;
};
Machine machine();

// Ends everything that it started, whatever ends it: by its destructor, else by the kernel.
class Processes {
 public:
  ~Processes();
  pid_t fork_one(const std::function<void()>& what);
  void end(pid_t pid);
  const std::vector<pid_t>& all() const { return pids_; }

 private:
  std::vector<pid_t> pids_;
};

// Real members, as processes of the program.
class Members {
 public:
  Members(Processes& processes, std::string program, const Size& size);
  ~Members();
  const std::vector<std::string>& control() const { return control_; }
  const std::vector<std::string>& inner() const { return inner_; }
  pid_t pid(std::size_t member) const { return pids_[member]; }
  std::size_t count() const { return pids_.size(); }
  void kill(std::size_t member);
  bool up(std::size_t member) const { return pids_[member] > 0; }
  int leader() const;  // -1: nobody says so
  double sample(std::size_t member, std::string_view name) const;

 private:
  Processes& processes_;
  std::string folder_;
  std::vector<std::string> control_, inner_;
  std::vector<pid_t> pids_;
};

struct Figures {
  std::map<std::string, double> values;
  std::vector<std::string> walls;  // what did not come about, and why
};
struct Interrupted {};
extern std::atomic<bool> interrupted;
Figures measure_size(const Size& size, const std::string& program);

// A turn of the loop with so many idle connections, in microseconds of processor; 0 where they cannot be had.
double turn_us(int idle);

// A power of the number of edges, by regression on logarithms.
struct Fit {
  double slope = 0, error = 0;
  double low = 0, at = 0, high = 0;  // where it leads to; two errors of the prediction either way
  bool good = false;                 // at least three points
};
Fit fit(const std::vector<std::pair<double, double>>& points, double target);
std::string number(double value);  // three digits

// Reads what was measured (JSON) and prints the tables: slopes with their errors, the target beside the
// budgets, the arithmetic on paper. False where the file cannot be read.
bool print_sheet(const std::string& file);
std::string paper(const std::function<double(const std::string& key)>& at_target);

// The page's tables, made from the measured figures in a folder; each stands in the page between
// "<!-- table NAME -->" and "<!-- end -->". `check`: nothing is written, and false where one differs.
bool write_points(const std::string& from, const std::string& to);
bool write_page(const std::string& page, const std::string& folder, bool check);

}  // namespace pearspar::measure
