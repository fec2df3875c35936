// The following itself: links to all members of the core, whose newest leader's news fold into the view; the
// lease that acknowledgements renew; what is done when nobody leads. Free of I/O.
//
// Always true: news are taken of links to addresses that are tried as members, never of a link that somebody
// else has opened nor of another edge. What another edge says is only tried.
#pragma once

#include <algorithm>
#include <string>
#include <utility>
#include <vector>

#include "subscription/cluster_view.h"
#include "subscription/core_discovery.h"
#include "transport/transport.h"

namespace pearspar::subscription {

struct FollowerOptions {
  protocol::Incarnation incarnation = 0;
  std::string name;
  std::string zone;
  std::vector<std::string> seeds;  // inner addresses
  std::string address = {};        // where other edges may ask us; empty = nowhere
};

class Follower {
 public:
  Follower(transport::Transport& wire, FollowerOptions options);

  void start(Time now);
  void set_seeds(std::vector<std::string> seeds);
  void link_up(transport::LinkId link, const std::string& address);
  void link_down(transport::LinkId link);
  // True where the view has changed; false too for what is no frame of ours.
  bool frame(Time now, transport::LinkId link, std::string_view bytes);
  // True where the view has changed.
  bool tick(Time now);
  Time due() const { return std::min({touch_due_, provisional_due_, asking_.due()}); }
  // This incarnation ends: it holds no lease any more.
  void farewell();

  ClusterView& view() { return view_; }
  const ClusterView& view() const { return view_; }
  // A configuration, and a list of nodes that is whole, or has been gathered for long enough.
  // What acknowledgements tell of us: the share of the weight that we ask, in percent.
  void set_coverage(std::uint32_t percent) { coverage_ = percent; }
  // Asks the leader for tokens, where one is known and the question before was answered or is old.
  bool want(Time now, std::vector<protocol::Tokens> tokens);
  bool can_request_tokens(Time now) const { return leader_link_ != 0 && now >= want_due_; }
  // A question about the allowance; false where no leader is known.
  bool ask(const pramperet::Ask& ask);
  std::vector<pramperet::Tell> take_quota_replies() { return std::exchange(tells_, {}); }
  // What was granted since the last call, each good until the time with it.
  std::vector<std::pair<Time, protocol::Tokens>> take_granted_tokens() { return std::exchange(granted_, {}); }
  bool is_usable() const { return view_.is_usable() && listed_; }
  std::uint64_t unread() const { return unread_; }
  const std::vector<std::string>& cores() const { return cores_; }
  const CoreDiscovery& asking() const { return asking_; }

 private:
  std::string hello() const;
  std::string ack() const;
  bool taken(Time now, transport::LinkId link, ClusterView::ApplyResult taken);
  bool take_provisional(Time now);
  bool silent(Time now) const;
  void keep_links();
  void take_welcome(const protocol::Welcome& welcome);
  void hear_edge(transport::LinkId link, const protocol::Message& message);

  transport::Transport& wire_;
  FollowerOptions options_;
  ClusterView view_;
  std::vector<transport::LinkId> up_;     // to members
  std::vector<transport::LinkId> edges_;  // to edges that are asked
  CoreDiscovery asking_;
  bool lost_ = false;  // no leader was heard for long, and none has told since where the core is
  std::vector<std::string> cores_;
  raft::Term cores_term_ = 0;
  bool cores_by_leader_ = false;  // the leader of that term has told them
  bool listed_ = false;
  std::vector<protocol::StateSnapshot>
      provisional_;  // by members that do not lead, until we hear of one that does
  Time provisional_due_ = Time::max();
  bool has_nodes_ = false;
  Time first_nodes_{};
  Time news_{};  // last heard of a leader
  Time touch_due_{};
  transport::LinkId leader_link_ = 0;  // by which the newest news came; 0 = none
  std::uint32_t coverage_ = 100;
  std::uint64_t asked_ = 0;  // number of the newest question
  Time asked_at_{};
  Time want_due_{};
  std::vector<std::pair<Time, protocol::Tokens>> granted_;
  std::vector<pramperet::Tell> tells_;
  std::uint64_t unread_ = 0;
};

}  // namespace pearspar::subscription
