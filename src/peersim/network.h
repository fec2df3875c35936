// A fleet's protocol core run in simulated time: brokers of any number, a network between them that loses,
// delays, doubles and spoils datagrams, and faults of processes. Deterministic by its seed. Every change of
// opinion goes to the judge.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <string>
#include <vector>

#include "judge/judge.h"
#include "peers/core.h"

namespace pearspar::peersim {

struct Link {
  double loss = 0;
  net::Duration delay = std::chrono::microseconds(300);
  net::Duration jitter = std::chrono::microseconds(400);  // up to so much more, evenly
  double twice = 0;
  double spoilt = 0;  // one bit flipped
  bool cut = false;
};

class Network {
 public:
  Network(std::uint64_t seed, const peers::Options& options, const judge::Terms& terms);

  // Brokers are named b000, b001, ... A second call with a number that has ended starts its next run.
  void start(int broker, int address = -1);
  void start_as(int broker, const std::string& name, std::uint64_t run);
  void kill(int broker);
  void leave(int broker);  // the last word comes 0.5 s later
  void stop(int broker);   // as SIGSTOP does: what comes waits, to a bound
  void resume(int broker);
  // Its loop is held for that long, which is no deed that the judge would excuse.
  void hold(int broker, net::Duration time);
  void calm();
  void restless();
  void troubled();

  std::function<Link(int from, int to)> link;  // asked for each datagram
  // Told of each datagram as it is sent, whether it comes or not.
  std::function<void(int from, const net::Address& to, const std::string& bytes)> tap;
  std::function<net::Duration(int broker)> clock_ahead;  // of the broker's clock

  void run_for(net::Duration time);
  double now() const { return now_; }
  // Anything may be sent from anywhere.
  void inject(const net::Address& from, int to, std::string bytes);

  peers::Core& core(int broker) { return *brokers_[static_cast<std::size_t>(broker)].core; }
  bool running(int broker) const {
    return broker < static_cast<int>(brokers_.size()) && brokers_[static_cast<std::size_t>(broker)].core;
  }
  int size() const { return static_cast<int>(brokers_.size()); }
  net::Address address(int broker) const;
  net::Time time_of(int broker) const;
  judge::Judge& judge() { return judge_; }
  judge::Report end() { return judge_.end(now_); }
  std::vector<peers::MemberEvent>& notes_of(int broker) {
    return brokers_[static_cast<std::size_t>(broker)].notes;
  }
  bool keep_notes = false;

 private:
  struct Broker {
    std::string name;
    net::Address address;
    std::unique_ptr<peers::Core> core;
    std::uint64_t run = 0;
    bool stopped = false;
    bool held = false;
    double tick_at = -1;
    double finish_at = -1;
    std::vector<std::pair<net::Address, std::string>> waiting;
    std::vector<peers::MemberEvent> notes;
    bool claimed_settled = false;
    std::uint64_t claimed_digest = 0;
    std::size_t claimed_in_force = 0;
  };
  struct Event {
    double at = 0;
    std::uint64_t order = 0;
    int to = 0;
    bool tick = false;
    bool wake = false;  // the end of a hold
    net::Address from;
    std::string bytes;
    bool operator>(const Event& other) const { return at != other.at ? at > other.at : order > other.order; }
  };
  Broker& broker(int number);
  void after(int number);  // takes what the core has to say
  void wake(int number);
  void deliver(int number, const net::Address& from, const std::string& bytes);

  std::mt19937_64 random_;
  peers::Options options_;
  judge::Judge judge_;
  double now_ = 0;
  std::uint64_t order_ = 0;
  std::vector<Broker> brokers_;
  std::map<net::Address, int, peers::AddressOrder> places_;
  std::priority_queue<Event, std::vector<Event>, std::greater<>> events_;
};

}  // namespace pearspar::peersim
