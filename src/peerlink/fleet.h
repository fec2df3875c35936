// The fleet's view as a broker runs it: the protocol's core on one UDP socket and the loop's timers, its
// changes as log lines, the view and its counters as JSON. Nothing here decides about members.
#pragma once

#include <cstdint>
#include <memory>
#include <string>

#include "log/log.h"
#include "net/loop.h"
#include "net/socket.h"
#include "options/options.h"
#include "peers/core.h"

namespace pearspar::peerlink {

class Fleet {
 public:
  // `serves` is where clients come. Throws std::system_error where the socket cannot be had.
  Fleet(net::Loop& loop, log::Logger& log, const options::FleetOptions& options, const std::string& name,
        const net::Address& serves, std::uint64_t seed);

  void ready();  // may be said again
  void leave();
  void finish();  // the last word; done() some time later
  bool done() const;

  bool publish(const std::string& key, const std::string& value);
  void set_discovered_seeds(std::vector<net::Address> seeds);
  std::shared_ptr<const peers::Snapshot> snapshot() { return core_.snapshot(loop_.now()); }
  const net::Address& address() const { return core_.self().address; }

  std::string view_json();
  std::string counters_json() const;  // members of an object

 private:
  void readable();
  void flush();  // takes what the core has to log_event, and asks to be called when it is due
  void log_event(const peers::MemberEvent& note);
  void log_view();

  net::Loop& loop_;
  log::Logger& log_;
  net::Fd fd_;
  peers::Core core_;
  net::Watch watch_;
  net::Timer timer_;
  bool ready_ = false;
  std::uint64_t unsent_ = 0;  // the kernel would not take them
  // What was last said of the whole view.
  bool logged_settled_ = false;
  std::uint64_t logged_digest_ = 0;
  bool logged_smaller_part_ = false;
  std::uint64_t logged_stalls_ = 0;
};

}  // namespace pearspar::peerlink
