// Keeps the list of nodes up to date: the whole list once, then one watch after the other. Whatever goes
// wrong, the list that stands is kept and the next try is paced.
#pragma once

#include <cstdint>
#include <string>

#include "discovery/members.h"
#include "http/message.h"
#include "log/log.h"
#include "net/loop.h"
#include "net/socket.h"

namespace pearspar::discovery {

struct DiscoveryCounters {
  std::uint64_t lists = 0;    // whole ones
  std::uint64_t changes = 0;  // replies to a watch that held any
  std::uint64_t stale = 0;    // older than what stands
  std::uint64_t failures = 0;

  DiscoveryCounters& operator+=(const DiscoveryCounters& other) {
    lists += other.lists;
    changes += other.changes;
    stale += other.stale;
    failures += other.failures;
    return *this;
  }
};

class MembersUser {
 public:
  virtual ~MembersUser() = default;
  virtual void members_told(const MemberList& list) = 0;
  virtual void members_failed() = 0;
};

class Client {
 public:
  Client(net::Loop& loop, log::Logger& log, const net::Address& address, MembersUser& user)
      : loop_(loop), log_(log), address_(address), user_(user) {}

  void start();  // does nothing where it has started already
  void stop();
  // Asks for the whole list again.
  void fetch();
  // The connection that stands is the last one: once it ends, no other is made.
  void make_last() { last_ = true; }
  // Of the list that stands; -1 where there is none yet.
  std::int64_t revision() const { return revision_; }
  const DiscoveryCounters& counters() const { return counters_; }

 private:
  void connect();
  void ask();
  void on_ready(short events);
  void read();
  void write();
  void take_reply();
  bool take_list(const MemberList& list);  // true where it told anything
  void ask_again();
  void fail(const std::string& why);
  void disconnect();

  net::Loop& loop_;
  log::Logger& log_;
  net::Address address_;
  MembersUser& user_;
  bool started_ = false;
  bool last_ = false;
  bool want_whole_ = true;
  bool up_ = false;
  bool asked_ = false;
  bool asked_whole_ = false;
  net::Time asked_at_{};
  std::int64_t revision_ = -1;
  int failures_in_a_row_ = 0;
  int older_in_a_row_ = 0;
  net::Fd fd_;
  net::Watch watch_;
  net::Timer timer_;
  net::Buffer in_;
  std::string out_;
  http::MessageReader reader_{http::MessageKind::reply};
  DiscoveryCounters counters_;
};

}  // namespace pearspar::discovery
