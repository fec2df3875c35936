// Client of the platform's discovery agent: fetches the full node list once, then follows changes by long
// polling. On errors the last list stays in use and requests are retried with backoff.
#pragma once

#include <cstdint>
#include <string>

#include "discovery/members.h"
#include "http/message.h"
#include "log/log.h"
#include "net/loop.h"
#include "net/socket.h"

namespace pearspar::discovery {

using membership::MembersHandler;

// A membership source that follows one discovery agent over HTTP.
class Client final : public membership::Source {
 public:
  Client(net::Loop& loop, log::Logger& log, const net::Address& address, MembersHandler& user)
      : loop_(loop), log_(log), address_(address), where_("discovery at " + address.text()), user_(user) {}

  const std::string& where() const override { return where_; }
  void start() override;
  void stop() override;
  void fetch() override;
  // Stops reconnecting: the current connection is used until it ends.
  void stop_reconnecting() override { no_reconnect_ = true; }
  std::int64_t revision() const override { return revision_; }
  membership::SourceCounters counters() const override { return counters_; }

 private:
  void connect();
  void send_request();
  void on_ready(short events);
  void read();
  void write();
  void handle_reply();
  bool apply_list(const MemberList& list);  // true if the user was notified
  void send_next_request();
  void fail(const std::string& why);
  void disconnect();

  net::Loop& loop_;
  log::Logger& log_;
  net::Address address_;
  std::string where_;
  MembersHandler& user_;
  bool started_ = false;
  bool no_reconnect_ = false;
  bool want_full_list_ = true;
  bool connected_ = false;
  bool request_pending_ = false;
  bool requested_full_list_ = false;
  net::Time requested_at_{};
  std::int64_t revision_ = -1;
  int consecutive_failures_ = 0;
  int consecutive_older_lists_ = 0;
  net::Fd fd_;
  net::Watch watch_;
  net::Timer timer_;
  net::Buffer in_;
  std::string out_;
  http::MessageReader reader_{http::MessageKind::reply};
  membership::SourceCounters counters_;
};

}  // namespace pearspar::discovery
