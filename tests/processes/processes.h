// pearspar-measure-processes: whole systems of real processes on loopback under drawn schedules, and a judge
// that knows what operators, clients and edges' logs say. What its parts share.
#pragma once

#include <sys/types.h>

#include <atomic>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <vector>

#include "net/clock.h"
#include "processes/configuration_judge.h"
#include "simulation/checker.h"

namespace pearspar::processes {

// ---- What is to befall (processes_plan.cpp)

struct Step {
  double at = 0;
  std::string kind;
  int whom = -1;  // a member; -1: whoever leads then
  double for_s = 0;
};
struct Plan {
  std::uint64_t seed = 0;
  int members = 3;
  double troubled_s = 0;
  bool mixed = false;  // members and edges of two revisions of the program
  std::vector<Step> steps;
};
const std::vector<std::string>& kinds();
Plan draw_plan(std::uint64_t seed, int members, double troubled_s, bool mixed,
               const std::vector<std::string>& only, bool traffic = false);
// Members and edges stopped or half cut, with calm between in which the bound of configuration holds.
Plan draw_changes_plan(std::uint64_t seed, int members, double troubled_s);
std::string text_of(const Plan& plan);
// Throws std::runtime_error with the line that is no good.
Plan read_plan(const std::string& path);

// ---- What is seen (processes_judge.cpp). Every call locks it; times are taken inside, so that they rise.

struct Order {
  std::uint64_t base = 0, revision = 0;
  std::string text;
};
struct Told {
  std::vector<std::string> faults;
  std::uint64_t taken = 0, refused = 0, reads = 0, asked = 0, served = 0;
  std::vector<double> waits;  // of orders, until their first definite answer
};
class Judge {
 public:
  double now() const;
  void sent(const Order& order);
  // False where this is no definite answer.
  bool answered(const Order& order, int status, const std::string& why);
  void waited(double seconds);
  void read(double began, int status, const std::string& body);
  void edge_goes_by(const std::string& edge, std::uint64_t life, std::uint64_t revision);
  void client(const std::string& path, int status);
  void fault(const std::string& rule, const std::string& what);
  void settled(const std::string& edge, std::uint64_t revision);
  std::uint64_t newest() const;         // acknowledged or read
  std::vector<Change> changes() const;  // that may be or have been in force: all but those refused
  std::uint64_t acknowledged_before(double at) const;
  std::vector<std::pair<Order, int>> definite() const;
  Told finish();

 private:
  mutable std::mutex mutex_;
  simulation::Checker checker_;
  std::map<std::string, std::pair<Order, int>> settled_;  // by text: the definite answer
  std::map<std::pair<std::string, std::uint64_t>, std::uint64_t> edges_;
  std::map<std::uint64_t, Change> changes_;  // by revision: all that were ever sent
  std::map<std::uint64_t, int> undecided_;   // by revision: orders without a definite answer
  std::uint64_t newest_ = 0;
  Told told_;
};

// ---- What the members say of themselves (processes_callers.cpp)

struct Standing {
  bool answers = false;
  bool leads = false;
  std::uint64_t revision = 0;
  std::string id;                 // its own
  std::set<std::string> members;  // by host
};
// What all parts of one run know of it.
struct Scene {
  std::string net;  // "127.130.4."
  Judge judge;
  std::mutex mutex;
  std::vector<std::string> members;          // control addresses of all that are about
  std::vector<std::string> edges;            // front doors
  std::map<std::string, Standing> standing;  // by control address
  std::atomic<int> storm{0};                 // orders that go out without a pause
  std::atomic<bool> troubled{true};          // new orders
  std::atomic<bool> over{false};
  std::atomic<int> at_work{0};     // operators that have not ended
  bool probed = false;             // configurations have routes to be probed
  std::size_t remembered = 20000;  // changes, by all programs that take part

  std::vector<std::string> controls();
  std::string leader();  // control address, or empty
};
std::string configuration(std::uint64_t revision, const std::string& mark, int routes = 3,
                          bool probed = false);
void operate(Scene& scene, std::uint64_t seed, int number);  // an operator with a rival and lost answers
void read_on(Scene& scene, std::uint64_t seed);
void ask_on(Scene& scene, std::uint64_t seed);
void watch_on(Scene& scene);
// All is mended: everything taken stays taken, everything refused stays refused, all agree.
void close_books(Scene& scene);

// ---- One run (processes_run.cpp)

struct Programs {
  std::string altavia, older, standin, shim;
};
struct RunOptions {
  Programs programs;
  std::string folder;
  std::string net;
  int edges = 3;
  bool chatty = false;
  bool traffic = false;  // clients and index servers that misbehave, and more that befalls edges
};
struct Result {
  std::uint64_t seed = 0;
  Told told;
  std::vector<std::string> story;
  std::map<std::string, int> struck;
  int past = 0, past_found = 0;  // folders set back, and found out
  std::uint64_t cut_connections = 0;
  double took_s = 0;
  std::string traffic;  // what clients and index servers saw, in a line
  ConfigurationVerdict configurations;
  std::string evidence;  // all that is known of the requests that broken rules name
};
Result play(const Plan& plan, const RunOptions& options);

// ---- Restarts after thousands of changes (processes_restart.cpp)

int measure_restart(const RunOptions& options, int changes, int routes);

// ---- Requests while no leader is in reach (processes_leaderless.cpp)

// Prints for each trouble, by kind: requests served, refused with 503 and ended otherwise, and the longest
// time without an answer of 200.
int measure_leaderless(const RunOptions& options);

}  // namespace pearspar::processes
