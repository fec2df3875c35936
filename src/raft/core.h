// The Raft state machine of one member: elections, log replication, leader lease and membership changes.
// No I/O and no clock: the host passes in messages and the time, and sends the outgoing messages.
//
// Invariants: the term and vote are on disk before they are sent; an entry is on disk before it is
// acknowledged; the commit index never decreases; a member that starts with an empty disk uses a new id.
#pragma once

#include <map>
#include <optional>
#include <random>
#include <string>
#include <system_error>
#include <utility>
#include <vector>

#include "raft/log.h"
#include "raft/snapshot_transfer.h"

namespace pearspar::raft {

// Timeouts of the protocol.
struct Timing {
  Duration heartbeat = std::chrono::milliseconds(80);
  // A member that hears nothing from a leader for a random time between these two starts an election. It
  // refuses to vote for another candidate until the minimum has passed.
  Duration min_election_timeout = std::chrono::milliseconds(400);
  Duration max_election_timeout = std::chrono::milliseconds(650);
  // Counted from the sending of a round that a majority has answered. Shorter than min_election_timeout, so
  // that it ends before another leader can be elected.
  Duration lease = std::chrono::milliseconds(300);
  Duration join_interval = std::chrono::milliseconds(250);
  // A voter that is silent for this long is removed if there are more voters than the target size. If it
  // returns it asks to join again.
  Duration silent_voter_timeout = std::chrono::milliseconds(1500);
  // Clocks may run at a rate between 1 - drift and 1 + drift of true time.
  double drift = 0.05;

  // Whether the lease ends before an election can succeed even if the leader's clock is slow and the voters'
  // clocks are fast: lease / (1 - drift) < min_election_timeout / (1 + drift). With 300 and 400 ms this holds
  // for a drift below 1/7.
  bool lease_is_safe() const { return lease * (1 + drift) < min_election_timeout * (1 - drift); }
};

struct Options {
  std::string address;                // own address, as the other members reach it
  std::vector<std::string> founders;  // initial voters when bootstrapping; the same list on each of them
  std::vector<std::string> seeds;     // addresses to ask for joining the group
  bool first_start = false;           // whether the group is being bootstrapped
  MemberId fresh_id = 0;              // id to use if the store is empty
  std::uint64_t seed = 0;             // of the random election timeouts
  std::size_t snapshot_after_entries = 64;
  std::size_t max_append_bytes = 1 << 20;        // of entries in one message
  std::size_t snapshot_chunk_bytes = 256 << 10;  // of snapshot state in one message
  Timing timing = {};
};

// The replicated state machine that committed entries are applied to.
class StateMachine {
 public:
  virtual ~StateMachine() = default;
  virtual void apply(const Entry& change) = 0;
  virtual std::string take_snapshot() const = 0;
  virtual void restore(const std::string& state) = 0;
};

// A message for the host to send.
struct OutgoingMessage {
  std::string address;
  Message message;
};

// Counts since the start of the process.
struct Counters {
  std::uint64_t refused_writes = 0;                // failed writes to the store
  std::uint64_t refused_messages = 0;              // violate the protocol
  std::uint64_t refused_snapshots = 0;             // too large, or other than announced
  std::uint64_t snapshot_transfers = 0;            // started as leader
  std::uint64_t snapshot_transfers_restarted = 0;  // retained entries would have exceeded their limit
  std::uint64_t chunks_sent = 0;
  std::uint64_t snapshots_installed = 0;  // received from a leader
};

// Id of a founder, derived from its address so that all founders agree on it.
MemberId founder_id(const std::string& address);

// One member of a Raft group.
class Core {
 public:
  enum class Role { follower, pre_candidate, candidate, leader };

  Core(Store& store, StateMachine& machine, Options options);

  // Loads the store and returns the host's saved note, if asked for. Fails if the timing makes leases unsafe.
  std::error_code start(Time now, std::string* note = nullptr);
  // Saves the commit index and opaque data of the host for the next start. Losing them is harmless.
  std::error_code save_note(const std::string& note) { return store_.save_note(commit_, note); }
  // Runs what is due; to be called at due() or later.
  void tick(Time now);
  Time due() const;
  // Handles a received message.
  void step(Time now, const Message& message);
  // Returns the messages to send and clears the queue.
  std::vector<OutgoingMessage> take_out() { return std::exchange(out_, {}); }

  // Appends a change and returns its index, or nullopt if this member is not the leader or the write fails.
  std::optional<Index> propose(Time now, std::string data);
  // Steps down and asks the most up-to-date live voter to start an election.
  void transfer_leadership(Time now);
  // Prepares a shutdown: transfers leadership and asks to be removed if there is a surplus voter.
  void leave(Time now);
  // Whether this member can stop without risk to the group: it has been removed by a committed entry, or it
  // is only restarting and the other voters can do without it.
  bool may_shut_down() const;
  void set_seeds(std::vector<std::string> seeds) { options_.seeds = std::move(seeds); }

  Role role() const { return role_; }
  // Whether this member is the leader, has committed an entry of its term and applied all committed entries,
  // and no other member can have been elected yet.
  bool holds_lease(Time now) const;
  Term term() const { return vote_.term; }
  MemberId self() const { return self_; }
  Index commit() const { return commit_; }
  Index applied() const { return applied_; }
  const Log& log() const { return log_; }
  // Empty if no leader is known.
  const std::string& leader_address() const { return leader_address_; }
  // Addresses of the voters, or the seeds if no voters are known.
  std::vector<std::string> addresses() const;
  // Whether the last write to the store failed.
  bool store_failed() const { return store_failed_; }
  const Counters& counters() const { return counters_; }
  // Serialises everything that future steps depend on, with times relative to `now`; identifies equal states
  // in the state-space search.
  std::string describe(Time now) const;

 private:
  friend class Probe;  // test access for the state-space search

  // What the leader knows of another voter, or of a member that asks to join or leave.
  struct Peer {
    std::string address;
    bool voter = false;
    bool first_start = false;  // it joins while the group is being bootstrapped
    Time asked_to_leave{};     // time of its last leave message; such a peer is not added as a voter
    Index next = 1;
    Index match = 0;
    std::uint64_t capabilities = 0;
    InFlight flight;
    std::optional<OutgoingSnapshot> transfer;
    Time last_contact{};
    Time round_sent{};  // sending time of the latest round that it answered
  };

  // Persists the term and vote; false if the write failed.
  bool save_term(Term term, MemberId vote);
  void become_follower(Time now, Term term, MemberId leader, const std::string& address);
  void start_pre_vote(Time now, bool leadership_transfer);
  void start_election(Time now, bool leadership_transfer);
  void become_leader(Time now);
  void step_down(Time now);
  void reset_election_timer(Time now);
  void reset_candidate_timer(Time now);
  bool log_is_up_to_date(const Message& request) const;
  bool leader_is_alive(Time now) const;

  void handle_tick(Time now);
  void dispatch(Time now, const Message& message);
  void on_vote_request(Time now, const Message& request);
  void on_vote_response(Time now, const Message& vote);
  void on_append_entries(Time now, const Message& append);
  void on_install_snapshot(Time now, const Message& install);
  void on_snapshot_chunk(Time now, const Message& chunk);
  void on_snapshot_chunk_response(Time now, const Message& response);
  void on_append_response(Time now, const Message& response);
  void on_join(Time now, const Message& join);
  void on_leave(Time now, const Message& leave);
  void forward_to_leader(Time now, const Message& message);
  void send_leave(Time now);

  // Common handling of messages from a leader: follows it and prepares the response. False if the message
  // must be ignored, e.g. because its term is outdated.
  bool accept_leader(Time now, const Message& message, Message& response);
  bool has_valid_entries(const Message& append);
  // The peer that a response comes from, or null if it is outdated or this member is not the leader.
  Peer* find_responder(Time now, const Message& response);
  std::error_code write_entries(Index from, std::vector<Entry>&& entries);
  // Takes a snapshot of the applied state.
  void compact_log();
  // Drops entries that the snapshot covers and no reachable peer needs.
  void trim_log(Time now);
  bool begin_transfer(Peer& peer);
  void send_snapshot(Time now, MemberId id, Peer& peer, bool heartbeat);
  bool install_snapshot(const Snapshot& snapshot);

  // Starts a heartbeat round.
  void broadcast(Time now);
  void send_to(Time now, MemberId id, Peer& peer, bool heartbeat);
  void send(const std::string& address, Message message);
  void send_join();
  void sync_peers(Time now);
  void advance_commit(Time now);
  void apply_committed();
  bool is_alive(Time now, const Peer& peer) const;
  bool is_leaving(Time now, const Peer& peer) const;
  bool nearly_caught_up(Time now, const Peer& peer) const;
  bool caught_up(Time now, const Peer& peer) const;
  bool has_voter_at(const std::string& address) const;
  // Whether a majority of `next` is alive.
  bool has_live_majority(Time now, const Membership& next) const;
  // Whether a voter must not shut down until a new voter has been added.
  bool must_stay(Time now, MemberId id) const;
  void update_told_to_stay(Time now, bool stay);
  // Candidates for the next membership; nullopt if no such change is possible.
  std::optional<Membership> membership_without(Time now, MemberId id) const;
  std::optional<Membership> membership_without_leaver(Time now) const;
  std::optional<Membership> membership_without_replaced(Time now) const;
  std::optional<Membership> membership_with_newcomer(Time now) const;
  std::optional<Membership> membership_without_silent(Time now) const;
  // Proposes the next membership change, if any.
  void change_membership(Time now);
  // Appends an entry of the current term to the own log; false if the write failed.
  bool append_local(Entry entry);
  // Latest time at which a majority had been heard from; with `rounds`, at which a round was sent that a
  // majority has answered.
  Time majority_contact_time(Time now, bool rounds) const;
  // Replaces the own id after the store has lost data that this member had acknowledged.
  void adopt_new_id(Time now);
  // Checks the invariants that hold between calls.
  void check_invariants();
  void record_store_result(const std::error_code& error) {
    store_failed_ = static_cast<bool>(error);
    if (error) ++counters_.refused_writes;
  }

  Store& store_;
  StateMachine& machine_;
  Options options_;
  std::mt19937_64 random_;
  Log log_;
  Vote vote_;
  MemberId self_ = 0;
  Role role_ = Role::follower;
  MemberId leader_ = 0;
  std::string leader_address_;
  Index commit_ = 0;
  Index applied_ = 0;
  Time last_leader_contact_{};  // initially the start time, so that promises made before a restart are kept
  Time due_{};                  // next step of the current role
  Time join_due_{};
  bool leaving_ = false;  // a shutdown was requested
  Time leave_due_{};
  bool told_to_stay_ = false;  // by the leader; see must_stay()
  Time stay_told_{};           // last time the leader said so
  std::map<MemberId, bool> votes_;
  std::map<MemberId, Peer> peers_;  // of a leader: all other voters and joining members
  Index term_start_ = 0;            // of a leader: first entry of its term
  std::uint64_t round_ = 0;
  std::map<std::uint64_t, Time> rounds_;  // sending time of each recent round
  bool store_failed_ = false;
  Index compact_after_ = 0;                  // next index to compact at after a failed compaction
  std::shared_ptr<const Snapshot> sending_;  // shared by all transfers in progress
  std::optional<IncomingSnapshot> incoming_;
  Counters counters_;
  Index checked_commit_ = 0;
  Term checked_term_ = 0;
  std::vector<OutgoingMessage> out_;
};

}  // namespace pearspar::raft
