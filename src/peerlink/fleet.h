// Runs the membership protocol of a broker on one UDP socket and the event loop's timers, logs its events,
// and renders the view and the counters as JSON. Makes no decisions about members.
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

// The membership of one broker in its fleet.
class Fleet {
 public:
  // `serves` is the address for clients. Throws std::system_error if the socket cannot be bound.
  Fleet(net::Loop& loop, log::Logger& log, const options::FleetOptions& options, const std::string& name,
        const net::Address& serves, std::uint64_t seed);

  void ready();  // idempotent
  void leave();
  void finish();  // announces that this broker has left; done() follows some time later
  bool done() const;

  bool publish(const std::string& key, const std::string& value);
  void set_discovered_seeds(std::vector<net::Address> seeds);
  std::shared_ptr<const peers::Snapshot> snapshot() { return core_.snapshot(loop_.now()); }
  const net::Address& address() const { return core_.self().address; }

  std::string view_json();
  std::string counters_json() const;  // without the enclosing braces

 private:
  void readable();
  void flush();  // sends the core's datagrams, logs its events and arms the timer
  void log_event(const peers::MemberEvent& event);
  void log_view();

  net::Loop& loop_;
  log::Logger& log_;
  net::Fd fd_;
  peers::Core core_;
  net::Watch watch_;
  net::Timer timer_;
  bool ready_ = false;
  std::uint64_t unsent_ = 0;  // datagrams refused by the kernel
  // What was last logged about the view.
  bool logged_settled_ = false;
  std::uint64_t logged_digest_ = 0;
  bool logged_smaller_part_ = false;
  std::uint64_t logged_stalls_ = 0;
};

}  // namespace pearspar::peerlink
