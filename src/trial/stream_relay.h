// Stands between processes that hold connections to each other: whoever connects to a place's known address
// reaches what really listens behind it. Who connects is told by its host address, so each ordered pair can
// be cut by itself.
#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <utility>

#include "net/buffer.h"
#include "net/loop.h"
#include "net/slots.h"
#include "net/socket.h"

namespace pearspar::trial {

struct StreamCounters {
  std::uint64_t came = 0, joined = 0, broken = 0, bytes = 0;
};

class StreamRelay {
 public:
  explicit StreamRelay(net::Loop& loop) : loop_(loop) {}

  // Throws std::system_error where the address cannot be had.
  void add(const net::Address& known, const net::Address& behind);
  // Nothing passes from one host to the other. Connections between them end after a while, as they do behind
  // a cut; with `holds` they stay, and what was sent arrives at the end of the cut.
  void cut(std::uint32_t from, std::uint32_t to, bool holds);
  void heal(std::uint32_t from, std::uint32_t to);
  const StreamCounters& counters() const { return counters_; }

 private:
  struct Place {
    net::Address behind;
    net::Fd fd;
    net::Watch watch;
  };
  struct End {
    net::Fd fd;
    net::Watch watch;
    std::string out;  // that waits to be written here
    bool over = false;
  };
  struct Pair {
    std::uint32_t from = 0, to = 0;
    net::Address behind;
    End ends[2];  // who connected, and what is behind
    net::Timer timer;
    bool up = false;
  };
  using Id = std::uint64_t;

  void accept_waiting(std::uint32_t to);
  void join(Id id);
  void on_ready(Id id, int end, short events);
  void arrange(Id id);
  void close_later(Id id, net::Duration after);
  bool cut_from(const Pair& pair, int end) const;
  bool passes(const Pair& pair) const { return !cut_from(pair, 0) && !cut_from(pair, 1); }
  bool held(const Pair& pair) const;
  void look_at(std::uint32_t one, std::uint32_t other);

  net::Loop& loop_;
  std::map<std::uint32_t, Place> places_;                         // by the host that others know
  std::map<std::pair<std::uint32_t, std::uint32_t>, bool> cuts_;  // whether it holds what was sent
  std::map<Id, Pair> pairs_;
  Id next_ = 0;
  StreamCounters counters_;
};

}  // namespace pearspar::trial
