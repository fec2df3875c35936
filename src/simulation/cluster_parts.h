// The processes of a simulated cluster; inside this package only.
#pragma once

#include <algorithm>
#include <deque>
#include <optional>

#include "altavia/reverse_proxy.h"
#include "edge_gateway/edge_gateway.h"
#include "simulation/cluster.h"
#include "simulation/cluster_http.h"

namespace pearspar::simulation {

constexpr std::size_t top_records = 20;
constexpr double min_shard_ratio = 0.5;
constexpr double in_touch_s = 4;  // `inTouchMs`

std::string between(const std::string& text, const std::string& from, const std::string& to);

// A process that can be killed, frozen, or made to wait for its disk. What happens to it meanwhile waits.
struct Life {
  World& world;
  std::function<Time()> busy_until = [] { return Time{}; };
  std::function<void()> after = [] {};
  std::shared_ptr<bool> alive = std::make_shared<bool>(true);
  Time frozen_until{};
  std::deque<std::function<void()>> waiting;
  bool draining = false;
  explicit Life(World& to) : world(to) {}
  ~Life() { *alive = false; }
  void run(std::function<void()> what) {
    waiting.push_back(std::move(what));
    drain();
  }
  void drain() {
    if (draining) return;
    Time ready = std::max(frozen_until, busy_until());
    if (ready > world.now()) {
      draining = true;
      world.at(ready, [this, alive = alive] {
        if (!*alive) return;
        draining = false;
        drain();
      });
      return;
    }
    draining = true;
    while (!waiting.empty() && std::max(frozen_until, busy_until()) <= world.now()) {
      auto what = std::move(waiting.front());
      waiting.pop_front();
      what();
      after();
    }
    draining = false;
    if (!waiting.empty()) drain();
  }
};

struct Cluster::Core {
  std::string address;
  SimDisk disk;
  bool first_start = true;
  bool gone = false;
  bool hears_callers = true;
  bool callers_hear = true;
  std::uint64_t starts = 0;
  double disk_since = 0;
  Duration clock_step{};  // of those that start on this machine
  struct Asked {
    std::string from;
    Answer answer;
    Checker::Call call;
  };
  struct Process : transport::TransportHandler {
    Life life;
    Port port;
    std::unique_ptr<control_plane::Member> member;
    std::map<control_plane::CallerId, Asked> askers;
    control_plane::CallerId next = 0;
    Time wake{};
    bool stopping = false;
    // Its clock: at what rate it runs, from when it started.
    double rate = 1;
    Time started;
    Duration step{};  // its time of day at its start, beside the others'
    Processor processor;
    Duration event_takes{};  // beside that
    Time slow_until{};
    Time slowed_until{};
    // A look at the clock that serves all calls of a turn, and those that have come since.
    std::optional<Time> look;
    std::deque<std::function<void()>> calls;
    // A freeze in the middle of a turn: after so many looks at the clock.
    int freeze_looks = -1;
    Duration freeze_span{};
    Process(World& world, Net& net, const std::string& address)
        : life(world), port(net, address, *this), started(world.now()), processor(world) {}
    Time busy_until() const { return std::max(processor.busy_until(), slowed_until); }
    Time own(Time at) const { return started + step + (at - started) * rate; }
    Time worlds(Time own) const { return started + (own - step - started) / rate; }
    Time now() const { return own(life.world.now()); }
    void link_up(transport::LinkId link, const std::string& address) override {
      member->link_up(now(), link, address);
    }
    void link_frame(transport::LinkId link, std::string_view frame) override {
      processor.take_bytes(frame.size());
      member->link_frame(now(), link, frame);
    }
    void link_down(transport::LinkId link) override { member->link_down(link); }
  };
  std::unique_ptr<Process> process;
  explicit Core(World& world) : disk(world) {}
};

struct Cluster::Edge {
  std::string address;
  std::string name;
  std::string door;  // where clients connect, with `http`
  std::size_t place = 0;
  std::uint64_t starts = 0;
  struct Process : transport::TransportHandler, dispatch::NodeClient {
    Cluster& cluster;
    Edge& edge;
    Life life;
    Port port;
    Processor processor;
    // The HTTP side as in service, on simulated streams; null where the dispatcher is called by itself.
    struct Service {
      Host host;
      std::unique_ptr<net::Loop> loop;
      std::unique_ptr<altavia::ReverseProxy> door;
      net::Timer second;
      explicit Service(Streams& streams) : host(streams) {}
    };
    std::unique_ptr<Service> service;
    std::unique_ptr<edge_gateway::EdgeGateway> alone;
    edge_gateway::EdgeGateway& gateway;
    catalog::Revision routed = 0;
    Time wake{};
    bool woken = false;
    std::unordered_map<std::uint64_t, std::string> open;  // request -> its id
    Process(Cluster& to, Edge& of, std::uint64_t number);
    ~Process() override;
    edge_gateway::EdgeGateway& make_gateway(std::uint64_t number);
    // Every second, on its own loop.
    void sweep();
    void link_up(transport::LinkId link, const std::string& address) override {
      gateway.link_up(link, address);
    }
    void link_down(transport::LinkId link) override { gateway.link_down(link); }
    void link_frame(transport::LinkId link, std::string_view frame) override {
      processor.take_bytes(frame.size());
      gateway.link_frame(life.world.now(), link, frame);
      tell_routes();
    }
    // Tells the judges of a revision that it has begun to route by.
    void tell_routes();
    bool cancel(dispatch::CallId, bool) override { return false; }  // its own wire lets calls run on
    bool start(dispatch::CallId call, const dispatch::NodeState& node, int most,
               dispatch::NodeRequest request, dispatch::Time end) override;
    void take_request(const std::string& id, const std::string& target, const std::string& lines,
                      const edge_gateway::QuotaIdentity& quota_identity);
    void finish(const std::string& id, const dispatch::ClientResponse& answer);
    void turn();
  };
  std::unique_ptr<Process> process;
};

struct Cluster::Node {
  std::string service;
  std::string address;
  std::string id;
  std::string version = "v1";
  VersionFault fault;
  bool stopped = false;  // for good
  std::uint64_t starts = 0;
  Time started{};
  bool up = false;
  bool dark = false;
  bool closing = false;
  bool acknowledged = false;
  bool retired = false;  // sends no heartbeats any more, but serves
  std::uint64_t calls = 0;
  int busy = 0;
  double factor = 1;
  std::deque<std::function<void()>> queue;
  std::size_t asks = 0;                // the member that it calls
  std::unique_ptr<NodeServer> server;  // with `http`
};

struct Cluster::Operator {
  int number = 0;
  std::uint64_t seen = 0;  // newest revision it knows of
  bool busy = false;
};

// An order on its way.
struct Cluster::Sent {
  Order order;
  std::string text;
  Operator* busy = nullptr;  // who waits for it, and sends no other
  bool over = false;
  int tries = 0;
  int settled_tries = 0;  // those that members could have answered, the core settled
  double sent = 0;        // first
  double waited = 0;      // see order_waited
  double served_at = 0;   // when the last try ended that could have been answered; 0 = the last could not
};

// An order of a roll-out on its way.
struct Cluster::SentRollout {
  RolloutOrder order;
  VersionFault fault;
  std::size_t number = 0;  // at the judge
  double sent_at = 0;      // first
  bool over = false;
  int tries = 0;
  int client_errors = 0;  // answers 4xx that are not definite
};

}  // namespace pearspar::simulation
