// An edge, whole but for its sockets: the desk and who follows the core, joined. What the news say reaches
// the desk, what the desk learns or lacks reaches the core. Free of I/O.
#pragma once

#include "pederu/desk.h"
#include "vazzoler/follower.h"

namespace pearspar::vandelli {

using pederu::Time;

class Station {
 public:
  Station(puez::Wire& wire, vazzoler::FollowerOptions options, pederu::Calls& calls,
          const pederu::AllowanceRules& rules);

  void start(Time now) { follower_.start(now); }
  void link_up(puez::LinkId link) { follower_.link_up(link); }
  void link_down(puez::LinkId link) { follower_.link_down(link); }
  void link_frame(Time now, puez::LinkId link, std::string_view frame);
  // After every event, and at due().
  void advance(Time now);
  Time due() const { return std::min(desk_.due(), follower_.due()); }

  // A configuration, and a list of nodes that is whole, or has been gathered for long enough.
  bool ready() const { return follower_.knows_enough(); }
  // The edition that requests are routed by.
  averau::Edition routed() const { return routed_; }

  pederu::Desk& desk() { return desk_; }
  const pederu::Desk& desk() const { return desk_; }
  vazzoler::Follower& follower() { return follower_; }
  const vazzoler::Follower& follower() const { return follower_; }

 private:
  void take_news();
  void ask_for_tokens(Time now);

  vazzoler::Follower follower_;
  pederu::Desk desk_;
  averau::Edition routed_ = 0;
  bool began_ = false;  // this life has its first share of coverage
};

}  // namespace pearspar::vandelli
