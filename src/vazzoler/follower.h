// The following itself: links to all members of the core, whose newest leader's news fold into the view; the
// lease that acknowledgements renew; what is done when nobody leads. Free of I/O.
#pragma once

#include <algorithm>
#include <string>
#include <vector>

#include "puez/wire.h"
#include "vazzoler/view.h"

namespace pearspar::vazzoler {

struct FollowerOptions {
  fanes::Life life = 0;
  std::string name;
  std::string zone;
  std::vector<std::string> seeds;  // inner addresses
};

class Follower {
 public:
  Follower(puez::Wire& wire, FollowerOptions options);

  void start(Time now);
  void set_seeds(std::vector<std::string> seeds);
  void link_up(puez::LinkId link);
  void link_down(puez::LinkId link) { std::erase(up_, link); }
  // True where the view has changed; false too for what is no frame of ours.
  bool frame(Time now, puez::LinkId link, std::string_view bytes);
  // True where the view has changed.
  bool tick(Time now);
  Time due() const { return std::min(touch_due_, provisional_due_); }
  // This life ends: it holds no lease any more.
  void farewell();

  View& view() { return view_; }
  const View& view() const { return view_; }
  // A configuration, and a list of nodes that is whole, or has been gathered for long enough.
  bool knows_enough() const { return view_.knows_enough() && listed_; }
  std::uint64_t unread() const { return unread_; }
  const std::vector<std::string>& cores() const { return cores_; }

 private:
  std::string hello() const;
  std::string ack() const;
  bool taken(Time now, puez::LinkId link, View::Taken taken);
  bool take_provisional(Time now);

  puez::Wire& wire_;
  FollowerOptions options_;
  View view_;
  std::vector<puez::LinkId> up_;
  std::vector<std::string> cores_;
  lagazuoi::Term cores_term_ = 0;
  bool listed_ = false;
  std::vector<fanes::Standing> provisional_;  // by members that do not lead, until we hear of one that does
  Time provisional_due_ = Time::max();
  bool has_nodes_ = false;
  Time first_nodes_{};
  Time news_{};  // last heard of a leader
  Time touch_due_{};
  std::uint64_t unread_ = 0;
};

}  // namespace pearspar::vazzoler
