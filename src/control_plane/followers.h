// The subscribers of a leader (edges and other members) and the journal of changes that is pushed to them.
// The leader numbers each change; followers acknowledge positions and thereby renew their leases.
#pragma once

#include <algorithm>
#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "control_plane/neighbour_ring.h"
#include "protocol/messages.h"
#include "subscription/cluster_view.h"

namespace pearspar::control_plane {

using catalog::Duration;
using catalog::Time;
using LinkId = std::uint64_t;  // a connection, as numbered by the host

// An encoded message for one link.
struct LinkFrame {
  LinkId link;
  std::string bytes;
};

// Remaining time of a node's slow start.
std::uint32_t remaining_cold_ms(Time now, const catalog::Node& node);

// Tracks what each follower has been sent and has acknowledged, and produces the frames that it lacks.
class Followers {
 public:
  explicit Followers(subscription::ClusterView& view) : view_(view) {}

  // Starts leading in `term`: every follower is sent the full state. `complete` says whether the list of
  // nodes is known to be complete.
  void open(Time now, raft::Term term, bool complete);
  // Stops leading; links and follower records stay.
  void close();
  bool is_open() const { return open_; }
  // Whether the list of nodes is known to be complete.
  bool list_complete() const { return open_ && list_complete_; }

  // Appends a newly applied configuration, as a delta to the previous one where that is shorter.
  void add_configuration(Time now, const catalog::ConfigurationPtr& configuration);
  // Appends the versions of a service. Returns their position.
  protocol::Position add_service_versions(Time now, const catalog::ServiceVersions& versions);
  // Appends a change and applies it to the local view at once. Returns its position.
  protocol::Position add(Time now, protocol::Change change);
  // Marks the list of nodes as complete; followers whose list may differ are sent the full state again.
  void complete_list(Time now);

  void on_hello(Time now, LinkId link, const protocol::Hello& hello);
  void on_ack(Time now, LinkId link, const protocol::Ack& ack);
  // The follower's process or its link has ended.
  void on_closed(LinkId link);

  // Frames that are due: changes or full states for followers that lack them, pings for the others, and
  // answers to requests for a LeaseRenewal. To be called only while the leader holds its own lease.
  std::vector<LinkFrame> take_frames(Time now);
  Time due() const { return open_ ? std::min(ping_due_, changes_due_) : Time::max(); }

  // State for an edge that has none while no leader is known; its position precedes all others.
  std::string encode_provisional_state(Time now, const catalog::ConfigurationPtr& configuration,
                                       std::vector<catalog::ServiceVersions> service_versions) const;

  // Adds the list of nodes to a state that is to be sent or stored.
  void append_nodes(Time now, protocol::StateSnapshot& standing) const;

  std::size_t journal_bytes() const { return journal_bytes_; }
  // Whether all followers that hold a lease have acknowledged `at`.
  bool acknowledged(Time now, protocol::Position at) const;
  // Number of edges that hold a lease.
  std::uint32_t edges(Time now) const;
  // Mean coverage, in percent, of the edges that hold a lease; 100 where none has reported any.
  std::uint32_t coverage(Time now) const;

  struct Follower {
    protocol::Incarnation incarnation = 0;
    protocol::FollowerKind kind = protocol::FollowerKind::edge;
    std::string name;
    std::string zone;
    std::string address;       // where other edges reach it; empty: not reachable
    protocol::Position sent;   // position that the frames sent so far lead to
    protocol::Position acked;  // position last acknowledged
    catalog::Revision revision = 0;
    std::uint32_t coverage = 0;  // percent; 0: not reported
    Time last_heard{};
    bool fetches_configurations = false;     // asks any member for those that it lacks
    bool synced = false;                     // needs no full state in this term, only changes
    bool needs_list = false;                 // gets changes, and the whole list of nodes in its turn
    Time waiting_since{};                    // for a full state
    bool got_full_state = false;             // the last state sent was a full state
    Time retry_at{};                         // no full state before then: it could not read the last one
    std::size_t full_state_bytes = 0;        // of the full state that may be in flight
    protocol::Position full_state_position;  // position of that state
    Time state_sent_at{};
    std::uint64_t neighbours_version = 0;  // version of the ring last checked for it
    std::vector<std::string> neighbours;   // sent in this term
    bool list_unverified = false;          // the digest of its next acknowledgement is compared with ours
    bool is_waiting() const { return !synced || needs_list; }
  };
  using FollowerMap = std::map<LinkId, Follower>;
  const FollowerMap& all() const { return followers_; }
  static bool has_lease(Time now, const Follower& follower);

 private:
  static constexpr std::size_t max_changes = 4096;  // in the journal
  static constexpr std::size_t max_journal_bytes = std::size_t{8} << 20;

  // A full state that is shared by the followers synchronized within a short time; later changes follow from
  // the journal.
  struct EncodedState {
    std::string bytes;
    protocol::Position at;
    Time when{};
  };
  // The follower that acknowledges on a link that is not known as its own; end() if there is none.
  FollowerMap::iterator move_to_link(Time now, LinkId link, const protocol::Ack& ack);
  // What edges asked for since the last call: the leader's lease holds now, so its revision is in force.
  void add_lease_renewals(std::vector<LinkFrame>& frames);
  void await_full_state(Time now, Follower& follower);
  void await_list(Time now, Follower& follower);
  // Followers that wait for a full state: those that hold a lease first, then by the time they have waited.
  std::vector<std::pair<const LinkId, Follower>*> waiting_followers(Time now);
  void add_full_states(Time now, std::vector<LinkFrame>& frames);
  // Encoded changes, by the position that they follow and whether large configurations are left out.
  using Batches = std::map<std::pair<std::uint64_t, bool>, std::string>;
  void add_changes(Time now, LinkId link, Follower& follower, Batches& batches,
                   std::vector<LinkFrame>& frames);
  std::string pack_changes(const Follower& follower) const;
  std::string encode_full_state(Time now, catalog::Revision known, bool has_list) const;
  // Never older than the follower's own position, since followers ignore states that would take them back.
  const EncodedState& full_state_for(Time now, const Follower& follower, bool has_list);
  std::size_t bytes_in_flight(Time now) const;
  // Upper bound of the text bytes in the journal after a position.
  std::size_t backlog_bytes(protocol::Position after) const;
  void add_neighbour_frames(Time now, std::vector<LinkFrame>& frames);
  protocol::Position end() const { return {term_, first_ + journal_.size() - 1}; }

  subscription::ClusterView& view_;
  bool open_ = false;
  bool list_complete_ = false;
  raft::Term term_ = 0;
  std::uint64_t first_ = 1;  // number of the journal's first change
  std::deque<protocol::Change> journal_;
  std::size_t journal_bytes_ = 0;              // texts only
  std::deque<std::uint64_t> digests_;          // of the list of nodes after each change
  protocol::Position list_complete_position_;  // of the change that completed the list
  protocol::Position configuration_position_;  // of the newest configuration
  FollowerMap followers_;
  NeighbourRing neighbours_;
  std::map<LinkId, std::uint64_t> renewals_;  // newest request of each edge that is not answered yet
  // By the follower's revision of the configuration, and whether it has a list of an earlier term.
  std::map<std::pair<catalog::Revision, bool>, EncodedState> encoded_states_;
  bool all_synced_ = false;  // no follower waits for a full state
  Time ping_due_{};
  Time changes_due_ = Time::max();  // when the batch of new changes is sent
};

}  // namespace pearspar::control_plane
