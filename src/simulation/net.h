// Links between processes in the simulation, as TCP gives them: in order, with delay; behind a cut they hang
// and end when what was sent was not acknowledged in time; a process that is killed resets them, one that
// loses its power says nothing. Where machines have a bandwidth, what they send waits for its turn on the way
// out, and what they get on the way in. A link holds so much as transport::TcpTransport does, and ends
// beyond.
#pragma once

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "simulation/world.h"
#include "transport/transport.h"

namespace pearspar::simulation {

class Net;

// One life of a process, as the net sees it.
class Port : public transport::Transport {
 public:
  Port(Net& net, std::string address, transport::TransportHandler& user);
  ~Port() override;

  void set_targets(const std::vector<std::string>& addresses) override;
  bool send_to(const std::string& address, std::string_view frame) override;
  bool send(transport::LinkId link, std::string_view frame) override;

  // When what is sent now leaves: later than now where the process waits for its disk.
  std::function<Time()> leaves = [] { return Time{}; };
  // Told of the bytes of each frame that it sends.
  std::function<void(std::size_t bytes)> on_send = [](std::size_t) {};
  // Runs what happens to the process: now, or when it is awake again.
  std::function<void(std::function<void()>)> run = [](std::function<void()> what) { what(); };
  const std::string& address() const { return address_; }

 private:
  friend class Net;
  struct Dial {
    transport::LinkId link = 0;
    bool coming = false;
    Duration pause{};
    std::vector<std::string> queued;
    std::size_t queued_bytes = 0;
  };
  void dial(const std::string& address);
  void ended(transport::LinkId link, const std::string& address);

  Net& net_;
  std::string address_;
  transport::TransportHandler& user_;
  std::map<std::string, Dial> dials_;
};

class Net {
 public:
  explicit Net(World& world) : world_(world) {}

  void set_delay(Duration least, Duration most) { least_ = least, most_ = most; }
  // Between two machines, in place of that.
  void set_ways(std::function<Duration(const std::string& from, const std::string& to)> ways) {
    distances_ = std::move(ways);
  }
  // So much of the frames is lost once and comes after the least time that TCP waits to send again.
  void set_loss(double share) { loss_ = share; }
  // Of a machine, one way out and one way in, shared by its links in turns; 0 = without bounds.
  void set_bandwidth(const std::string& address, double bytes_per_s) { bandwidth_[address] = bytes_per_s; }
  // This share of a machine's links is reset: both ends are told, what is on its way is lost.
  void reset(const std::string& address, double share);
  // Links that ended since they held too much.
  std::uint64_t overfull() const { return overfull_; }
  // Nothing gets from one machine to the other.
  void cut(const std::string& from, const std::string& to) { cuts_.insert({from, to}); }
  void heal(const std::string& from, const std::string& to) { cuts_.erase({from, to}); }
  // All ways from and to a machine.
  void heal(const std::string& address) {
    std::erase_if(cuts_, [&](const auto& cut) { return cut.first == address || cut.second == address; });
  }
  void heal_all() { cuts_.clear(); }
  bool reaches(const std::string& from, const std::string& to) const { return !cuts_.count({from, to}); }
  // The process at the address is gone at once: with a word to the others, or without.
  void end(Port& port, bool silently);
  Duration delay() { return Duration(world_.uniform(least_.count(), most_.count())); }
  Duration delay(const std::string& from, const std::string& to) {
    return distances_ ? distances_(from, to) : delay();
  }
  World& world() { return world_; }
  std::uint64_t frames() const { return frames_; }
  std::uint64_t bytes() const { return bytes_; }
  std::uint64_t bytes_from(const std::string& address) const {
    auto found = bytes_from_.find(address);
    return found == bytes_from_.end() ? 0 : found->second;
  }

 private:
  friend class Port;
  struct Side {
    Port* port = nullptr;  // null once its process has ended
    std::string address;
    transport::LinkId id = 0;
    Time free{};                      // when the last frame that it sent arrives
    bool told = false;                // that the link has ended
    std::size_t held = 0;             // bytes sent that the other process has not taken yet
    std::deque<std::string> leaving;  // with a bandwidth: those that are not out yet
    double left = 0;                  // bytes of the first of them
    bool blocked = false;             // one has not come through a cut; those behind it wait
    std::deque<std::string> behind;
  };
  struct Link {
    Side dialled, accepted;
  };
  using LinkPtr = std::shared_ptr<Link>;

  // What so many bytes take on a machine's way in or out.
  Duration takes(const std::string& address, double bytes) const {
    auto found = bandwidth_.find(address);
    return Duration(found == bandwidth_.end() || found->second <= 0 ? 0 : bytes / found->second);
  }
  // A machine's network card.
  struct Way {
    std::deque<std::pair<LinkPtr, bool>> turns;  // links that have something to send
    bool busy = false;
    Time in_free{};
  };

  void connect(Port& from, const std::string& to);
  void transmit(const LinkPtr& link, bool by_dialler, std::string frame, Time from);
  void serve(const std::string& address);
  void depart(const LinkPtr& link, bool by_dialler, std::string frame, Time from);
  void arrive(const LinkPtr& link, bool by_dialler, std::string frame, int tries);
  void hand_in(const LinkPtr& link, bool by_dialler, std::string frame);
  bool overfills(const LinkPtr& link, bool by_dialler, std::size_t bytes);
  static Side& sender_of(const LinkPtr& link, bool by_dialler) {
    return by_dialler ? link->dialled : link->accepted;
  }
  void break_side(const LinkPtr& link, bool dialler);

  static constexpr Duration silence{1.2};
  static constexpr double again_s = 0.2;
  static constexpr double chunk = 16 << 10;          // bytes that a link sends in its turn
  static constexpr std::size_t most_held = 8 << 20;  // as transport::TcpTransport
  Duration resent() { return Duration(loss_ > 0 && world_.chance(loss_) ? 0.2 : 0); }

  double loss_ = 0;
  std::map<std::string, double> bandwidth_;
  std::map<std::string, Way> ways_;
  std::uint64_t overfull_ = 0;
  std::function<Duration(const std::string&, const std::string&)> distances_;
  World& world_;
  Duration least_{0.0003}, most_{0.002};
  std::set<std::pair<std::string, std::string>> cuts_;
  std::map<std::string, Port*> ports_;
  std::map<transport::LinkId, std::pair<LinkPtr, bool>>
      links_;  // by id: the link, and whether it is the dialler's
  transport::LinkId next_ = 0;
  std::uint64_t frames_ = 0;
  std::uint64_t bytes_ = 0;
  std::map<std::string, std::uint64_t> bytes_from_;
};

}  // namespace pearspar::simulation
