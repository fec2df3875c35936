// Where the list of nodes comes from, which may move while the broker runs: the place that stands serves
// until the new one has told its whole list, and then ends.
#pragma once

#include <memory>

#include "discovery/client.h"

namespace pearspar::discovery {

class Registry : MembersUser {
 public:
  Registry(net::Loop& loop, log::Logger& log, const net::Address& address, MembersUser& user)
      : loop_(loop), log_(log), user_(user), address_(address), current_(make_client()) {}

  void start();  // does nothing where it has started already
  void stop();
  // Asks for the whole list again.
  void fetch();
  // From here on the list comes from another place. Its versions count for themselves.
  void move(const net::Address& address);

  const net::Address& address() const { return address_; }
  bool moving() const { return coming_ != nullptr; }
  // Of the list that stands; -1 where there is none yet.
  std::int64_t revision() const { return current_->revision(); }
  DiscoveryCounters counters() const;

 private:
  std::unique_ptr<Client> make_client() {
    MembersUser& self = *this;
    return std::make_unique<Client>(loop_, log_, address_, self);
  }
  void members_told(const MemberList& list) override;
  void members_failed() override { user_.members_failed(); }

  net::Loop& loop_;
  log::Logger& log_;
  MembersUser& user_;
  net::Address address_;
  bool started_ = false;
  std::unique_ptr<Client> current_;
  std::unique_ptr<Client> coming_;
  DiscoveryCounters past_;  // of places that have been left
};

}  // namespace pearspar::discovery
