// Who follows the news of this member, over which link, how far; and the journal that they follow. A leader
// numbers changes here and pushes them; acknowledgements are counted; each holds a lease that they renew.
#pragma once

#include <algorithm>
#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "control_plane/neighbour_ring.h"
#include "fanes/messages.h"
#include "vazzoler/view.h"

namespace pearspar::control_plane {

using averau::Duration;
using averau::Time;
using LinkId = std::uint64_t;  // a held connection, as the host numbers them

struct LinkFrame {
  LinkId link;
  std::string bytes;  // packed
};

// What is left of a node's slow start.
std::uint32_t remaining_cold_ms(Time now, const averau::Node& node);

class Followers {
 public:
  explicit Followers(vazzoler::View& view) : view_(view) {}

  // From here on this member leads, in that term: all that follow it are told what stands.
  void open(Time now, raft::Term term, bool complete);
  // Not any more. Links stay.
  void close() { open_ = false; }
  bool is_open() const { return open_; }

  // The configuration that has been taken, as a change of the one before where that is shorter.
  void add_configuration(Time now, const averau::ConfigurationPtr& configuration);
  // One change more, in force here at once.
  fanes::Position add(Time now, fanes::Change change);
  // The list of nodes is got_full_state from here on: what stands is told anew.
  void complete_list(Time now);

  void on_hello(Time now, LinkId link, const fanes::Hello& hello);
  void on_ack(Time now, LinkId link, const fanes::Ack& ack);
  // Its life or its link has ended.
  void on_closed(LinkId link);

  // What is due to be sent: news to whoever lacks them, pings.
  std::vector<LinkFrame> take_frames(Time now);
  Time due() const { return open_ ? std::min(ping_due_, changes_due_) : Time::max(); }

  // What this member synced without leading, for those that know nothing.
  std::string encode_provisional_state(Time now, const averau::ConfigurationPtr& configuration) const;

  // The nodes, into what is to be told or kept.
  void append_nodes(Time now, fanes::Standing& standing) const;

  std::size_t journal_bytes() const { return journal_bytes_; }
  // Whether all that hold a lease have acknowledged it.
  bool acknowledged(Time now, fanes::Position at) const;
  std::uint32_t edges(Time now) const;
  // Mean of what edges that hold a lease ask of the weight, in percent; got_full_state where none has told.
  std::uint32_t coverage(Time now) const;
  struct Follower {
    fanes::Life life = 0;
    fanes::FollowerKind kind = fanes::FollowerKind::edge;
    std::string name;
    std::string zone;
    std::string address;  // where other edges may ask it; empty = nowhere
    fanes::Position sent;
    fanes::Position acked;
    averau::Edition edition = 0;
    std::uint32_t coverage = 0;  // percent; 0 = not told
    Time last_heard{};
    bool synced = false;                  // was told what stands in this term
    bool got_full_state = false;          // what stands is what it was told last
    Time retry_at{};                      // not before then: it could not read what it was told
    std::size_t full_state_bytes = 0;     // bytes of it that may still be on their way
    fanes::Position full_state_position;  // where it stood then
    Time state_sent_at{};
    std::uint64_t neighbours_version = 0;  // of which it was told, or had nothing to be told
    std::vector<std::string> neighbours;   // that it was told in this term
    bool list_unverified =
        false;  // its list, since it was got_full_state here: its next acknowledgement shows
  };
  const std::map<LinkId, Follower>& all() const { return followers_; }
  static bool has_lease(Time now, const Follower& follower);

 private:
  static constexpr std::size_t max_changes = 4096;
  static constexpr std::size_t max_journal_bytes = std::size_t{8} << 20;
  std::string encode_full_state(Time now, averau::Edition known, bool has_list) const;
  // One packing serves all that are told within a while: the changes since then follow from the journal.
  struct EncodedState {
    std::string bytes;
    fanes::Position at;
    Time when{};
  };
  // Never older than what the follower has: it takes nothing that leads back.
  const EncodedState& full_state_for(Time now, const Follower& follower, bool has_list);
  std::size_t bytes_in_flight(Time now) const;
  std::size_t backlog_bytes(fanes::Position after) const;  // of the texts of the journal behind it, or more
  void add_neighbour_frames(Time now, std::vector<LinkFrame>& out);
  fanes::Position end() const { return {term_, first_ + journal_.size() - 1}; }

  vazzoler::View& view_;
  bool open_ = false;
  bool list_complete_ = false;
  raft::Term term_ = 0;
  std::uint64_t first_ = 1;  // number of the journal's front
  std::deque<fanes::Change> journal_;
  std::size_t journal_bytes_ = 0;           // of its texts
  std::deque<std::uint64_t> digests_;       // of the list of nodes, after each of them
  fanes::Position list_complete_position_;  // since when it is got_full_state in this term
  fanes::Position configuration_position_;  // where the newest configuration stands in it
  std::map<LinkId, Follower> followers_;
  NeighbourRing neighbours_;
  // By the edition that the follower has, and whether it has a list from before.
  std::map<std::pair<averau::Edition, bool>, EncodedState> encoded_states_;
  bool all_synced_ = false;  // nobody waits for what stands: nothing to look for until something is due
  Time ping_due_{};
  Time changes_due_ = Time::max();  // of changes that wait for others to go with them
};

}  // namespace pearspar::control_plane
