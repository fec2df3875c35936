// The processes of one run, their settings, folders and relays. All on one loop, in the thread that made it.
#pragma once

#include <deque>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "net/loop.h"
#include "processes/processes.h"
#include "trial/process.h"
#include "trial/stream_relay.h"

namespace pearspar::processes {

class Hall {
 public:
  Hall(net::Loop& loop, Scene& scene, const RunOptions& options, bool relays);

  struct Member {
    int number = 0;
    std::string control, folder;
    std::unique_ptr<trial::Process> process;
    bool gone = false;  // for good
    bool told_to_end = false;
    bool older = false;               // which revision of the program
    std::function<void(int)> on_end;  // once
  };
  // A member at an address of its own, with an empty folder.
  int add_member(bool first_start, bool older);
  void start_member(int member, bool first_start);
  void kill(int member);
  void signal(int member, int number);
  void end(int member, std::function<void(int)> then);  // SIGTERM
  void forget(int member);                              // it does not come back
  void wipe(int member);
  void copy_folder(int member, bool back);  // beside, or back from there
  // One that is there is killed first.
  void start_edge(int edge, bool older);
  void signal_edge(int edge, int number);
  // Between that edge and all members, or one of them, in one direction or both.
  struct EdgeCut {
    bool in = true, out = true;  // to the edge, from the edge
    int member = -1;             // -1: all
  };
  void cut_edge(int edge, const EdgeCut& cut);
  void heal_edge(int edge);
  void end_edge(int edge);                // SIGTERM; it is expected to end by itself then
  void reload_edge(int edge);             // its settings are written anew, then SIGHUP
  void stall_log(int edge, bool stalls);  // nobody reads what it writes
  std::string front_door(int edge) const;
  // Resident megabytes and open descriptors of an edge; zeros where it is down.
  std::pair<double, int> size_of_edge(int edge) const;
  // Each service has one; the next takes its place, and the one before leaves.
  void start_node(const std::string& service);

  Member& member(int number) { return members_[static_cast<std::size_t>(number)]; }
  int members() const { return static_cast<int>(members_.size()); }
  int by_control(const std::string& control) const;
  bool up(int number) { return member(number).process && member(number).process->running(); }
  // Between that member and all others, edges too.
  void cut(int member, bool in, bool out, bool holds);
  void heal(int member);
  // When members were killed, started, signalled, cut off or joined again.
  const std::vector<double>& core_disturbed() const { return core_disturbed_; }
  const trial::StreamCounters& relayed() const { return relay_.counters(); }

 private:
  std::string settings(const std::string& name, const std::string& ip, bool first_start, bool core,
                       const std::string& folder) const;
  std::vector<std::string> words(const std::string& program, const std::string& ip,
                                 const std::string& settings, bool listens) const;
  void heard(const std::string& who, std::uint32_t life, bool edge, std::string_view line);
  std::string host(int last) const { return scene_.net + std::to_string(last); }
  void disturbs_core() { core_disturbed_.push_back(scene_.judge.now()); }
  void each_peer(int member, const std::function<void(std::uint32_t, std::uint32_t)>& what) const;

  net::Loop& loop_;
  Scene& scene_;
  const RunOptions& options_;
  bool relays_;
  trial::StreamRelay relay_;
  std::map<std::string, std::ofstream> logs_;  // by process: what all its lives have said
  std::deque<Member> members_;
  std::map<int, std::unique_ptr<trial::Process>> edges_;
  std::map<std::string, int> serving_;  // service -> node
  std::vector<std::unique_ptr<trial::Process>> nodes_;
  std::set<int> edges_told_to_end_;
  std::uint32_t lives_ = 0;
  std::vector<double> core_disturbed_;
};

}  // namespace pearspar::processes
