// A fleet in one process and in simulated time: many brokers, each the engine and the decision module as they
// are, among nodes that queue, warm up, drain, die and fall silent, with one client population over all of
// them. It is a scripted stand-in: what happens when is said by whoever holds it (tests, the measurement),
// between calls of run_until(). One seed, one result.
//
// The nodes: so many cores, a waiting room, first come first served, called-off work goes on; a node that has
// just started works at a share of its speed, which rises evenly. It accounts, over all brokers, for what a
// cold node is sent within the span of the rule, and for what goes to a node after its drain was told.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "engine/engine.h"

namespace pearspar::fleet {

struct ClassLoad {
  double share = 0.5;     // of the queries
  int parts = 8;          // at shards in a row, from a random one
  double work = 0.05;     // of a part, seconds of one core at speed 1; drawn with a spread of a third
  bool skewed = false;    // weights fall as 1 / (rank); else they are even
  double patience = 1.7;  // seconds that its client waits in all
};

struct Shape {
  Settings settings;  // cells, shards, classes, rules, limits
  int brokers = 60;
  int nodes = 60;                // over the cells in turn
  int cores = 2;                 // of a node
  int room = 30;                 // parts that wait at a node
  double weakest = 0.7;          // the speed of every second node
  std::vector<int> weak_cells;   // all their nodes have that speed
  double rate = 60;              // queries a second, over all brokers
  std::vector<ClassLoad> loads;  // by class
  int client_tries = 3;          // after a refusal or a failure, while its patience lasts
  double client_pause = 0.3;
  double list_delay = 1;  // seconds until a change of the list is told, to each broker apart
};

struct Tally {
  std::uint64_t asked = 0;    // first tries
  std::uint64_t whole = 0;    // within the aim
  std::uint64_t partial = 0;  // within the aim
  std::uint64_t late = 0;
  std::uint64_t lost = 0;  // had no answer, or only refusals and failures
  double worth = 0;        // earned, where a whole answer within the aim earns 1
  double served() const { return asked == 0 ? 0 : worth / static_cast<double>(asked); }
};

struct Audit {
  std::uint64_t answered_twice = 0;
  std::uint64_t answered_late = 0;  // past the client's deadline
  std::uint64_t dishonest = 0;      // under the floor, or marked whole and not
  std::uint64_t after_grace = 0;    // sends to a node that was told to drain longer ago than the grace
  std::uint64_t pushed_over = 0;    // cold nodes that got more than the rule allows
  std::uint64_t too_many_tries = 0;
  std::uint64_t sum() const {
    return answered_twice + answered_late + dishonest + after_grace + pushed_over + too_many_tries;
  }
};

class Fleet {
 public:
  Fleet(Shape shape, std::uint64_t seed);
  ~Fleet();

  double now() const { return now_; }
  void run_until(double time);
  // Does it when that time has come.
  void at(double time, std::function<void()> what);

  // Load, as a multiple of the shape's rate.
  void set_load(double times) { load_ = times; }

  // Nodes by number, 0 and up; new ones get the next numbers. What is not said to be told stays unknown to
  // the brokers.
  int nodes() const { return static_cast<int>(nodes_.size()); }
  int zone_of(int node) const;
  void silence(int node, bool on);  // takes all, answers nothing; connections do not come up
  void slow(int node, double times);
  void kill(int node);          // connections are refused, work is lost
  void start(int node);         // after kill(): cold; tells the list
  void drain(int node);         // turns new work away; tells the list
  void remove(int node);        // dies; tells the list
  int add(int cell, int zone);  // cold; tells the list

  // A broker dies and comes back after `down` seconds with no memory but the list as it had it.
  void restart_broker(int broker, double down);
  // The list's changes are told so much later from now on.
  void set_list_delay(double seconds) { shape_.list_delay = seconds; }

  // From here on first tries count in the next window; the first is 0.
  void mark() { windows_.emplace_back(shape_.settings.classes.size()); }
  // Of the queries whose first try came in that window, by class; settled once their clients are gone.
  const std::vector<Tally>& tally(std::size_t window) const { return windows_.at(window); }
  const Audit& audit() const { return audit_; }
  std::uint64_t sends() const { return sends_; }
  std::uint64_t refused_unsent() const { return refused_unsent_; }

 private:
  struct Attempt {
    int node = 0;
    NodeId name = 0;
    double sent = 0;
    std::uint64_t job = 0;
  };
  struct Broker;
  struct Job {
    std::uint64_t id = 0;
    int broker = 0;
    int life = 0;
    PartId part = 0;
    int attempt = 0;
    double work = 0;
  };
  struct Node {
    membership::Entry entry;
    int zone = 0;
    double speed = 1;
    double slowed = 1;
    bool up = true, silent = false, draining = false;
    double started = -1e9;
    int life = 0;
    std::vector<Job> working;
    std::vector<Job> waiting;
    std::vector<double> cold_arrivals;
  };
  struct Client {
    int cls = 0;
    int home = 0;  // its broker
    double first = 0;
    double aim_at = 0, leaves = 0;
    int tries = 0;
    bool sent = false;  // a part of this try
    bool ended = false;
    int shard = 0;
    std::size_t window = 0;
  };

  void schedule(double time, std::function<void()> what);
  void arrive();
  void ask(std::uint64_t client);
  void settle(std::uint64_t client, double worth, bool whole);
  void ended_without(std::uint64_t client, double retry_after);
  void wake(int broker);
  void arm(int broker);
  void tell(int node);
  void deliver(int broker, std::int64_t revision);
  void take(int node, Job job);
  void begin(int node, Job job);
  void finish(int node, int life, std::uint64_t job);
  void end_attempt(int broker, int life, PartId part, int attempt, Outcome outcome);
  double capacity(const Node& node) const;
  void charge(Node& node);
  std::vector<double> weights(int cls) const;
  double uniform() { return static_cast<double>(random_() >> 11) * 0x1.0p-53; }
  void spawn(int broker);

  Shape shape_;
  std::mt19937_64 random_;
  double now_ = 0;
  double load_ = 1;
  std::multimap<double, std::function<void()>> queue_;
  std::vector<Node> nodes_;
  std::vector<membership::MemberList> history_;  // a change each, by revision
  std::vector<std::unique_ptr<Broker>> brokers_;
  std::map<std::uint64_t, Client> clients_;
  std::uint64_t last_client_ = 0, last_job_ = 0;
  std::vector<std::vector<Tally>> windows_;
  Audit audit_;
  std::uint64_t sends_ = 0, refused_unsent_ = 0;
};

}  // namespace pearspar::fleet
