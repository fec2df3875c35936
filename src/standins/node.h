// A stand-in node: takes parts in the platform's frames and answers each after a delay, or as its faults say.
// Written from the protocol; shares no code with the broker's own frames.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <random>
#include <string>
#include <string_view>

#include "net/listener.h"
#include "net/loop.h"
#include "net/slots.h"
#include "net/socket.h"
#include "standins/reserved_port.h"

namespace pearspar::standins {

struct NodeBehaviour {
  net::Duration delay = std::chrono::milliseconds(2);
  net::Duration jitter{};   // up to so much more, evenly
  double share_later = 0;   // of the parts: turned away
  double share_bad = 0;     // answered with an error
  double share_silent = 0;  // never answered
  double share_reset = 0;   // the connection ends instead
};

class NodeStandin {
 public:
  struct Part {
    std::string id;
    int shard = 0;
    std::int64_t wait_ms = 0;
    std::string text;
  };
  // The value that a part is answered with.
  using Value = std::function<std::string(const Part&)>;

  NodeStandin(net::Loop& loop, const net::Address& address, const NodeBehaviour& behaviour,
              std::uint64_t seed, Value value = {});

  net::Address address() const { return listener_.address(); }
  NodeBehaviour& behaviour() { return behaviour_; }
  std::uint64_t parts() const { return parts_; }
  std::uint64_t answered() const { return answered_; }
  std::uint64_t given_up() const { return given_up_; }
  // When the last part came; the clock's beginning where none did.
  net::Time last_part() const { return last_part_; }
  void go_down();  // the process dies: connections reset, new ones refused
  void come_up();

 private:
  struct Connection {
    net::Fd fd;
    net::Watch watch;
    net::Buffer in;
    std::string out;
    std::map<std::string, net::Timer> open;
  };
  void accept(net::Fd fd);
  void on_ready(net::SlotId id, short events);
  void take(net::SlotId id, char letter, std::string_view rest);
  void take_parts(net::SlotId id, std::string_view rest);
  void answer(net::SlotId id, const Part& part);
  void send(net::SlotId id, char letter, const std::string& rest);
  void write(net::SlotId id);
  void drop(net::SlotId id);
  bool chance(double share) { return std::uniform_real_distribution<double>(0, 1)(random_) < share; }

  net::Loop& loop_;
  NodeBehaviour behaviour_;
  std::mt19937_64 random_;
  Value value_;
  ReservedPort port_;
  net::Listener listener_;
  net::SlotTable<Connection> connections_;
  std::uint64_t parts_ = 0;
  std::uint64_t answered_ = 0;
  std::uint64_t given_up_ = 0;
  net::Time last_part_{};
};

}  // namespace pearspar::standins
