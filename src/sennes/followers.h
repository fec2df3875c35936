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

#include "protocol/messages.h"
#include "sennes/neighbours.h"
#include "subscription/cluster_view.h"

namespace pearspar::sennes {

using catalog::Duration;
using catalog::Time;
using LinkId = std::uint64_t;  // a held connection, as the host numbers them

struct ToLink {
  LinkId link;
  std::string bytes;  // packed
};

// What is left of a node's slow start.
std::uint32_t cold_ms(Time now, const catalog::Node& node);

class Followers {
 public:
  explicit Followers(subscription::ClusterView& view) : view_(view) {}

  // From here on this member leads, in that term: all that follow it are told what stands.
  void open(Time now, raft::Term term, bool complete);
  // Not any more. Links stay.
  void close() { open_ = false; }
  bool is_open() const { return open_; }

  // The configuration that has been taken, as a change of the one before where that is shorter.
  void add_configuration(Time now, const catalog::ConfigurationPtr& configuration);
  // One change more, in force here at once.
  protocol::Position add(Time now, protocol::Change change);
  // The list of nodes is whole from here on: what stands is told anew.
  void complete(Time now);

  void on_hello(Time now, LinkId link, const protocol::Hello& hello);
  void on_ack(Time now, LinkId link, const protocol::Ack& ack);
  // Its incarnation or its link has ended.
  void on_closed(LinkId link);

  // What is due to be sent: news to whoever lacks them, pings.
  std::vector<ToLink> take_out(Time now);
  Time due() const { return open_ ? std::min(ping_due_, news_due_) : Time::max(); }

  // What this member knows without leading, for those that know nothing.
  std::string provisional(Time now, const catalog::ConfigurationPtr& configuration) const;

  // The nodes, into what is to be told or kept.
  void list(Time now, protocol::StateSnapshot& standing) const;

  std::size_t journal_bytes() const { return journal_bytes_; }
  // Whether all that hold a lease have acknowledged it.
  bool acknowledged(Time now, protocol::Position at) const;
  std::uint32_t edges(Time now) const;
  // Mean of what edges that hold a lease ask of the weight, in percent; whole where none has told.
  std::uint32_t coverage(Time now) const;
  struct Follower {
    protocol::Incarnation incarnation = 0;
    protocol::FollowerKind kind = protocol::FollowerKind::edge;
    std::string name;
    std::string zone;
    std::string address;  // where other edges may ask it; empty = nowhere
    protocol::Position sent;
    protocol::Position acked;
    catalog::Revision revision = 0;
    std::uint32_t coverage = 0;  // percent; 0 = not told
    Time heard{};
    bool knows = false;       // was told what stands in this term
    bool whole = false;       // what stands is what it was told last
    Time again{};             // not before then: it could not read what it was told
    std::size_t telling = 0;  // bytes of it that may still be on their way
    protocol::Position told;  // where it stood then
    Time told_at{};
    std::uint64_t neighbours_version = 0;  // of which it was told, or had nothing to be told
    std::vector<std::string> neighbours;   // that it was told in this term
    bool unproved = false;  // its list, since it was whole here: its next acknowledgement shows
  };
  const std::map<LinkId, Follower>& all() const { return followers_; }
  static bool lives(Time now, const Follower& follower);

 private:
  static constexpr std::size_t most_journal = 4096;
  static constexpr std::size_t most_journal_bytes = std::size_t{8} << 20;
  std::string standing(Time now, catalog::Revision known, bool has_list) const;
  // One packing serves all that are told within a while: the changes since then follow from the journal.
  struct Packed {
    std::string bytes;
    protocol::Position at;
    Time when{};
  };
  // Never older than what the follower has: it takes nothing that leads back.
  const Packed& packed(Time now, const Follower& follower, bool has_list);
  std::size_t on_their_way(Time now) const;
  std::size_t tail_bytes(protocol::Position after) const;  // of the texts of the journal behind it, or more
  void tell_neighbours(Time now, std::vector<ToLink>& out);
  protocol::Position end() const { return {term_, first_ + journal_.size() - 1}; }

  subscription::ClusterView& view_;
  bool open_ = false;
  bool complete_ = false;
  raft::Term term_ = 0;
  std::uint64_t first_ = 1;  // number of the journal's front
  std::deque<protocol::Change> journal_;
  std::size_t journal_bytes_ = 0;      // of its texts
  std::deque<std::uint64_t> digests_;  // of the list of nodes, after each of them
  protocol::Position whole_;           // since when it is whole in this term
  protocol::Position configured_;      // where the newest configuration stands in it
  std::map<LinkId, Follower> followers_;
  Neighbours neighbours_;
  // By the revision that the follower has, and whether it has a list from before.
  std::map<std::pair<catalog::Revision, bool>, Packed> packed_;
  bool all_told_ = false;  // nobody waits for what stands: nothing to look for until something is due
  Time ping_due_{};
  Time news_due_ = Time::max();  // of changes that wait for others to go with them
};

}  // namespace pearspar::sennes
