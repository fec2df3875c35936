// Traffic through the edges of a system of real processes: clients and index servers that misbehave, and a
// history of every request, kept outside the processes under test and judged after the run.
#pragma once

#include <atomic>
#include <cstdint>
#include <functional>
#include <limits>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "processes/configuration_judge.h"
#include "processes/processes.h"

namespace pearspar::processes {

constexpr double never = std::numeric_limits<double>::infinity();

// One try of a client.
struct ClientTry {
  std::string id;
  std::string edge;  // address of its front door
  std::string method;
  std::string path;
  std::string body;
  double sent_at = 0;       // the first byte
  double deadline_s = 0;    // as the client named it
  bool safe = true;         // its route may be repeated, in at least one configuration that may be in force
  bool probes = false;      // on a route that is not in every configuration
  bool kept = false;        // not the first request on its connection
  std::string behind;       // pipelined: the request before it, not answered yet when this one was sent
  bool all_sent = false;    // the edge has every byte of it
  int status = 0;           // 0: none came
  double whole_at = never;  // the last byte was handed to the socket
  double ended_at = never;  // the answer, or the end of the connection
  double left_at = never;   // the client closed its connection without waiting
};

// One request as it came to an index server.
struct Arrival {
  std::string id;
  std::string server;  // its id
  std::string service;
  std::string method;
  std::string path;
  std::string body;
  std::string stamp;
  std::string connection;  // the address that it came from
  double at = 0;
  double deadline_s = 0;      // as the edge handed it on
  double work_s = 0;          // how long the server means to work
  double stopped_at = never;  // the work was over, or its connection had ended
  bool ran = false;
  bool sound = true;  // the server answers it, and in good order
};

class TrafficHistory {
 public:
  explicit TrafficHistory(Judge& judge) : judge_(judge) {}

  double now() const { return judge_.now(); }
  void sent(const ClientTry& attempt);
  void sent_whole(const std::string& id);
  void left(const std::string& id);
  void closed(const std::string& id);  // by the edge, without an answer
  void answered(const std::string& id, int status, const std::string& head, const std::string& body);

  std::size_t arrived(const Arrival& arrival);
  void stopped(std::size_t arrival);
  void left_service(const std::string& server);  // its leave was acknowledged

  // From then on, and until `until`, nothing is promised of that edge but what holds for all.
  void troubled(const std::string& edge, double from, double until);
  // It was told to end in good order.
  void told_to_end(const std::string& edge, double at);

  void fault(const std::string& rule, const std::string& what) { judge_.fault(rule, what); }
  // Every rule over all that was seen; the faults go to the judge.
  void close(const std::vector<Change>& changes);
  // What became of each probe, as far as it shows the edge's configuration.
  std::vector<ProbeOutcome> probe_outcomes() const;
  // Broken rules of the edges' configurations go to the judge.
  void add_verdict(const ConfigurationVerdict& verdict);
  std::string summary() const;
  // All that is known of the requests that broken rules name, with those before them on their connections.
  std::string evidence() const;

 private:
  bool calm(const std::string& edge, double from, double until) const;
  // Decides which requests on routes that come and go could not be repeated.
  void settle_kinds(const std::vector<Change>& changes);
  void judge_arrivals();
  void judge_departures();
  void judge_ends();
  double told_to_end_before(const ClientTry& attempt) const;
  void fault_of(const std::string& id, const std::string& rule, const std::string& what);
  std::string told_of(const std::string& id) const;
  const ClientTry* find(const std::string& id) const;

  Judge& judge_;
  mutable std::mutex mutex_;
  std::map<std::string, ClientTry> tries_;  // by id
  std::vector<Arrival> arrivals_;
  std::map<std::string, std::string> stamped_;  // stamp -> id of the request
  std::map<std::string, double> left_service_;  // by server
  std::map<std::string, std::vector<std::pair<double, double>>> troubled_;
  std::map<std::string, std::vector<double>> ends_;
  std::vector<std::string> named_;  // requests of broken rules
  std::size_t once_ = 0;            // of those that settle_kinds() looked at
  std::size_t unrepeatable_ = 0;    // of them, those that no configuration in force let repeat
  std::string summary_;
};

// What the body of a server's answer is, by its stamp alone: whoever has the stamp can check the bytes.
std::string records_of(const std::string& stamp);
std::string bytes_of(const std::string& stamp);

// Index servers in threads of this process, each of which answers in any way that the protocol's page lists.
class MisbehavingServers {
 public:
  MisbehavingServers(Scene& scene, TrafficHistory& history, std::uint64_t seed);
  ~MisbehavingServers();
  // One of that service leaves and comes back as another.
  void leave(int number);

 private:
  class Server;
  std::vector<std::unique_ptr<Server>> servers_;
};

// Clients in threads of this process.
class MisbehavingClients {
 public:
  MisbehavingClients(Scene& scene, TrafficHistory& history, std::uint64_t seed, int threads);
  ~MisbehavingClients();

 private:
  std::vector<std::thread> threads_;
};

// A thread of this process for each of so many clients of each edge.
class EdgeThreads {
 public:
  // `run` gets the edge's address and the client's number; it returns once the scene is over.
  EdgeThreads(Scene& scene, std::uint64_t clients_per_edge,
              const std::function<void(const std::string& edge, std::uint64_t number)>& run);
  ~EdgeThreads();

 private:
  std::vector<std::thread> threads_;
};

// Clients that send what becomes unsafe while they wait, on connections that they keep.
class UnsafeClients {
 public:
  UnsafeClients(Scene& scene, TrafficHistory& history, std::uint64_t seed);

 private:
  EdgeThreads threads_;
};

// Probes of which configuration each edge goes by.
class ConfigurationProbes {
 public:
  ConfigurationProbes(Scene& scene, TrafficHistory& history, std::uint64_t seed);

 private:
  EdgeThreads threads_;
};

}  // namespace pearspar::processes
