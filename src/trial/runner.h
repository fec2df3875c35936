// Runs one schedule: real processes of the program behind the relay, the schedule's faults, and the judge
// over what the processes say in their logs.
#pragma once

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "judge/judge.h"
#include "net/loop.h"
#include "standins/node.h"
#include "trial/process.h"
#include "trial/relay.h"
#include "trial/schedule.h"

namespace pearspar::trial {

struct RunOptions {
  std::string program;
  std::string folder;        // for files and logs
  double slack_s = 0;        // that the machine may be late by
  bool chatty = false;       // each step and each line of the brokers to standard output
  int most_descriptors = 0;  // of each process; 0: as it comes
};

struct RunResult {
  judge::Report report;
  RelayCounters relay;
  double took_s = 0;
};

class Runner {
 public:
  Runner(const plan::Schedule& schedule, const RunOptions& options);
  // Throws std::runtime_error where the trial itself could not be made.
  RunResult run();

 private:
  struct Broker {
    int number = 0;
    std::string name;
    std::string folder;
    int place = -1;  // at the relay
    std::uint16_t port = 0;
    std::unique_ptr<Process> process;
    bool speaks = true;  // for its name; a twin that was started later does instead
    bool told_to_end = false;
    bool killed = false;
    bool stopped = false;
    bool yielded = false;
    bool port_taken = false;
    int tries = 0;
  };
  void start(int broker, bool elsewhere);
  void start_twin(int broker);
  void launch(Broker& broker);
  void end(Broker& broker, int status);
  void heard(Broker& broker, std::string_view line);
  void apply(const plan::Step& step);
  void set_network(const plan::Network& network);
  void calm();
  void pause(net::Duration time);
  void wait_until_agreed(double at_most_s);
  void deed(judge::Deed deed, const std::string& who, std::uint64_t run = 0);
  void hold(int broker, net::Time until, bool stop);
  double now() const { return (loop_.read_clock() - began_).count(); }
  void fault(const std::string& text) { faults_.push_back(text); }

  plan::Schedule schedule_;
  RunOptions options_;
  net::Loop loop_;
  net::Time began_;
  Relay relay_;
  std::vector<std::unique_ptr<standins::NodeStandin>> nodes_;
  std::deque<Broker> brokers_;  // by number; twins behind them
  std::vector<int> speaker_;    // which of them stands for each number
  std::vector<net::Address> seeds_;
  judge::Judge judge_;
  std::vector<net::Timer> timers_;
  std::vector<std::string> faults_;
  int port_turn_ = 0;
};

}  // namespace pearspar::trial
