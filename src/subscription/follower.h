// The subscription of a process to the leader's updates: links to all members of the core, the ClusterView
// that is built from the updates of the newest leader, the lease that acknowledgements renew, and the search
// for a leader when none is heard of. Free of I/O. (Not to be confused with Raft's role of the same name.)
//
// Invariant: updates are accepted only on links that this process has dialled to members, never on accepted
// links or on links to other edges. Addresses received from other edges are only tried.
#pragma once

#include <algorithm>
#include <chrono>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "subscription/cluster_view.h"
#include "subscription/configuration_arrival.h"
#include "subscription/configuration_lease.h"
#include "subscription/configuration_watch.h"
#include "subscription/core_discovery.h"
#include "transport/transport.h"

namespace pearspar::subscription {

struct FollowerOptions {
  protocol::Incarnation incarnation = 0;
  std::string name;
  std::string zone;
  std::vector<std::string> seeds;  // addresses of members
  std::string address = {};        // where this edge accepts other edges; empty = nowhere
  // For how long the leader's answer confirms, from the request on, that the configuration is in force.
  // Shorter than the time in which a change has to be in force everywhere.
  Duration lease_lifetime = std::chrono::milliseconds(2900);
  // The same for an update of a leader that does not answer requests: shorter by the time that an update may
  // take to arrive.
  Duration confirmation_lifetime = std::chrono::milliseconds(2500);
  // For how long requests are served by a configuration that is known to have been replaced. A fraction of
  // the time in which a change has to be in force everywhere.
  Duration max_configuration_lag = std::chrono::milliseconds(1800);

  // Sets all three for a change that has to be in force everywhere within this time.
  void set_configuration_bound(Duration config_within);
};

class Follower {
 public:
  Follower(transport::Transport& transport, FollowerOptions options);

  void start(Time now);
  void set_seeds(std::vector<std::string> seeds);
  void link_up(transport::LinkId link, const std::string& address);
  void link_down(transport::LinkId link);
  // Returns whether the view has changed.
  bool link_frame(Time now, transport::LinkId link, std::string_view bytes);
  // Returns whether the view has changed.
  bool tick(Time now);
  Time due() const {
    return std::min({next_contact_, provisional_due_, discovery_.due(), watch_.due(), renewal_due()});
  }
  // Gives up the lease, before the process ends.
  void send_goodbye();

  ClusterView& view() { return view_; }
  const ClusterView& view() const { return view_; }
  // Until when the configuration counts as the one in force, since a leader has confirmed it. Time::min() if
  // none has: a member that does not lead may have handed on one that was replaced long ago.
  Time configuration_confirmed_until() const { return lease_.until(); }
  // Whether members have announced a newer configuration, and since when.
  const ConfigurationWatch& configuration_watch() const { return watch_; }
  // From whom the configuration came, and how late, for reports.
  const ConfigurationArrival& configuration_arrival() const { return arrival_; }
  std::optional<LateConfiguration> take_late_configuration() { return arrival_.take_late(); }
  // Sets this edge's coverage in percent, which acknowledgements report.
  void set_coverage(std::uint32_t percent) { coverage_ = percent; }
  // Requests retry tokens from the leader. Returns false where none was sent.
  bool request_tokens(Time now, std::vector<protocol::Tokens> tokens);
  // Whether a leader is known, and no token request is pending.
  bool can_request_tokens(Time now) const { return leader_link_ != 0 && now >= token_request_due_; }
  // Returns false where no leader is known.
  bool send_quota_request(const quota::QuotaRequest& request);
  // Returns false where no leader is known.
  bool send_rollout_report(const rollout::RolloutReport& report);
  std::vector<rollout::RolloutGrant> take_rollout_grants() { return std::exchange(rollout_grants_, {}); }
  // For how long no update of a leader has come.
  Duration leader_silence(Time now) const { return now - last_update_; }
  // The link on which the leader's last update arrived; 0 = none.
  transport::LinkId leader_link() const { return leader_link_; }
  // A time before which the leader's last update had not been sent yet. Time::min() if none has come.
  Time leader_heard_at() const { return leader_heard_at_; }
  std::vector<quota::QuotaReply> take_quota_replies() { return std::exchange(quota_replies_, {}); }
  // The tokens granted since the last call, each with the time at which it expires.
  std::vector<std::pair<Time, protocol::Tokens>> take_granted_tokens() {
    return std::exchange(granted_tokens_, {});
  }
  // Whether the view has a configuration and a list of nodes that is complete, or was awaited long enough.
  bool is_usable() const { return view_.is_usable() && list_complete_; }
  std::uint64_t unreadable_frames() const { return unreadable_frames_; }
  const std::vector<std::string>& core_addresses() const { return core_addresses_; }
  const CoreDiscovery& discovery() const { return discovery_; }

 private:
  std::string hello() const;
  // `renewal`: the number of a request for the leader, or 0.
  std::string ack(std::uint64_t renewal = 0) const;
  bool leader_renews_leases() const;
  // Whether the edge's own configuration is the newest that it knows of.
  bool has_newest_configuration() const { return view_.configuration() && !watch_.is_behind(); }
  // When a renewal of the lease is to be requested; Time::max() where an answer could not renew it.
  Time renewal_due() const;
  void request_renewal(Time now);
  void handle_renewal(const protocol::LeaseRenewal& renewal);
  void handle_vote(const protocol::LeaseVote& vote);
  void set_leader_link(transport::LinkId link);
  bool handle_result(Time now, transport::LinkId link, ClusterView::ApplyResult result);
  bool handle_configuration(Time now, transport::LinkId link, const protocol::ConfigurationUpdate& update,
                            ConfigurationSource source);
  bool handle_provisional(Time now, transport::LinkId link, const protocol::StateSnapshot& snapshot);
  // To be called after the view has changed, before watch_ is told.
  void record_arrival(Time now, ConfigurationSource source);
  void request_configuration(Time now);
  bool apply_provisional(Time now);
  bool adopt_newer(Time now, const std::vector<protocol::StateSnapshot>& snapshots);
  bool leader_is_silent(Time now) const;
  void update_targets();
  void handle_welcome(transport::LinkId link, const protocol::Welcome& welcome);
  void handle_edge_message(transport::LinkId link, const protocol::Message& message);

  transport::Transport& transport_;
  FollowerOptions options_;
  ClusterView view_;
  ConfigurationWatch watch_;
  ConfigurationLease lease_;
  ConfigurationArrival arrival_;
  std::vector<transport::LinkId> member_links_;
  std::set<transport::LinkId> renewing_links_;  // to members that answer requests for renewal
  std::vector<transport::LinkId> edge_links_;   // to edges that are being queried
  CoreDiscovery discovery_;
  bool core_lost_ = false;  // the leader fell silent, and no leader has sent the members' addresses since
  std::vector<std::string> core_addresses_;
  raft::Term core_term_ = 0;       // in which core_addresses_ was received
  bool core_from_leader_ = false;  // whether core_addresses_ was sent by the leader of that term
  bool list_complete_ = false;
  std::vector<protocol::StateSnapshot> provisional_;  // from members other than the leader, while none leads
  Time provisional_due_ = Time::max();
  bool has_nodes_ = false;
  Time first_nodes_{};
  Time last_update_{};  // from a leader
  Time last_tick_{};    // what is received now may have arrived at any time since
  Time next_contact_{};
  transport::LinkId leader_link_ = 0;  // on which the last update arrived; 0 = none
  std::uint32_t coverage_ = 100;
  std::uint64_t token_request_ = 0;  // number of the newest one
  Time token_request_at_{};
  Time token_request_due_{};
  std::vector<std::pair<Time, protocol::Tokens>> granted_tokens_;
  std::vector<quota::QuotaReply> quota_replies_;
  std::vector<rollout::RolloutGrant> rollout_grants_;
  Time leader_heard_at_ = Time::min();
  std::uint64_t unreadable_frames_ = 0;
};

}  // namespace pearspar::subscription
