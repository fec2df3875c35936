// One member of the core: votes, the log's replication, the lease, who is taken in and who leaves the count.
// Free of I/O: messages and time come in, messages go out, the store is asked in between.
//
// Always true between calls: a term and a vote are on disk before they are told; an entry is on disk before
// it is acknowledged; `commit` never falls; a member with an empty disk has another id than any before it.
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

struct Timing {
  Duration heartbeat = std::chrono::milliseconds(80);
  // Without a word of the leader for so long (drawn anew each time) a member stands for election; a vote for
  // another leader is refused for the least of it.
  Duration min_election_timeout = std::chrono::milliseconds(400);
  Duration max_election_timeout = std::chrono::milliseconds(650);
  // From the sending of a round that a majority has answered; under min_election_timeout, so that it ends
  // before anybody else capabilities be elected.
  Duration lease = std::chrono::milliseconds(300);
  Duration join_interval = std::chrono::milliseconds(250);
  // With more voters than wanted, who is silent for so long leaves the count. Wrongly removed, a member asks
  // to be taken in again.
  Duration silent_voter_timeout = std::chrono::milliseconds(1500);
  // Clocks run at a rate between 1 - drift and 1 + drift of true time.
  double drift = 0.05;

  // No vote for another while a lease lasts: the leader's clock may be slow and a voter's fast, so
  // lease / (1 - drift) < min_election_timeout / (1 + drift). With 300 and 400 ms that holds up to a drift of
  // 1/7, two clocks whose rates stand as 4 to 3.
  bool lease_is_safe() const { return lease * (1 + drift) < min_election_timeout * (1 - drift); }
};

struct Options {
  std::string address;                // ours, for the other members
  std::vector<std::string> founders;  // on the first start of all: the first voters, the same list everywhere
  std::vector<std::string> seeds;     // whom to ask to be taken in
  bool first_start = false;
  MemberId fresh_id = 0;  // for a start with an empty disk
  std::uint64_t seed = 0;
  std::size_t snapshot_after_entries = 64;       // entries kept before they are folded into a snapshot
  std::size_t max_append_bytes = 1 << 20;        // of entries, in one append
  std::size_t snapshot_chunk_bytes = 256 << 10;  // of a snapshot's state, in one piece
  Timing timing = {};
};

// What is agreed on.
class StateMachine {
 public:
  virtual ~StateMachine() = default;
  virtual void apply(const Entry& change) = 0;
  virtual std::string take_snapshot() const = 0;
  virtual void restore(const std::string& state) = 0;
};

struct OutgoingMessage {
  std::string address;
  Message message;
};

// Since the start of the process.
struct Counters {
  std::uint64_t refused_writes = 0;      // by the store
  std::uint64_t refused_messages = 0;    // that no member which keeps the rules capabilities have sent
  std::uint64_t refused_snapshots = 0;   // too large, or not what was announced
  std::uint64_t snapshot_transfers = 0;  // of snapshots, begun here
  std::uint64_t snapshot_transfers_restarted =
      0;                                  // since the entries behind them would have outgrown their bound
  std::uint64_t chunks_sent = 0;          // sent, with bytes
  std::uint64_t snapshots_installed = 0;  // snapshots of a leader
};

// The id of a founder, which all capabilities work out for themselves.
MemberId founder_id(const std::string& address);

class Core {
 public:
  enum class Role { follower, pre_candidate, candidate, leader };

  Core(Store& store, StateMachine& machine, Options options);

  // Reads the store; what the host kept there as its note comes back with it.
  std::error_code start(Time now, std::string* note = nullptr);
  // For after a restart: what is applied here, and the host's own. A lost note costs time, nothing else.
  std::error_code save_note(const std::string& note) { return store_.save_note(commit_, note); }
  void tick(Time now);
  Time due() const;
  void step(Time now, const Message& message);
  std::vector<OutgoingMessage> take_out() { return std::exchange(out_, {}); }

  // Where the change will stand in the log; nothing where we do not lead or the disk refuses.
  std::optional<Index> propose(Time now, std::string data);
  // Somebody else is to lead.
  void transfer_leadership(Time now);
  // An end was asked for: hands over, and has itself let go where a successor stands.
  void leave(Time now);
  // Whether those who stay hold what this member holds, or it is to come back and they capabilities do
  // without it.
  bool may_shut_down() const;
  void set_seeds(std::vector<std::string> seeds) { options_.seeds = std::move(seeds); }

  Role role() const { return role_; }
  // Leads, has applied all that was committed before its term, and nobody else capabilities lead yet.
  bool holds_lease(Time now) const;
  Term term() const { return vote_.term; }
  MemberId self() const { return self_; }
  Index commit() const { return commit_; }
  Index applied() const { return applied_; }
  const Log& log() const { return log_; }
  // Empty where none is known.
  const std::string& leader_address() const { return leader_address_; }
  // Known members' addresses; before any is known, the seeds.
  std::vector<std::string> addresses() const;
  bool store_failed() const { return store_failed_; }
  const Counters& counters() const { return counters_; }
  // All that its next steps depend on, but for the moments themselves: for the search through its states.
  std::string describe(Time now) const;

 private:
  friend class Probe;  // of the search through its states (biella); nothing in service has one

  struct Peer {
    std::string address;
    bool voter = false;
    bool first_start = false;  // of a learner
    Time asked_to_leave{};     // last; out of the count at its own wish it is told of it, not taken in
    Index next = 1;
    Index match = 0;
    std::uint64_t capabilities = 0;
    InFlight flight;  // of entries, or of a part of a snapshot
    std::optional<OutgoingSnapshot> transfer;
    Time last_contact{};
    Time round_sent{};  // of the newest round that it answered
  };

  bool save_term(Term term, MemberId vote);
  void become_follower(Time now, Term term, MemberId leader, const std::string& address);
  void start_pre_vote(Time now, bool leadership_transfer);
  void start_election(Time now, bool leadership_transfer);
  void become_leader(Time now);
  void step_down(Time now);
  void reset_election_timer(Time now);
  void reset_candidate_timer(Time now);
  bool log_is_up_to_date(const Message& ask) const;
  bool leader_is_alive(Time now) const;

  void handle_tick(Time now);
  void dispatch(Time now, const Message& message);
  void on_vote_request(Time now, const Message& ask);
  void on_vote_response(Time now, const Message& vote);
  void on_append_entries(Time now, const Message& append);
  void on_install_snapshot(Time now, const Message& install);
  void on_snapshot_chunk(Time now, const Message& chunk);
  void on_snapshot_chunk_response(Time now, const Message& answer);
  void on_append_response(Time now, const Message& answer);
  void on_join(Time now, const Message& join);
  void on_leave(Time now, const Message& leave);
  void forward_to_leader(Time now, const Message& message);
  void send_leave(Time now);

  // Of what a leader says: false where it is none, or ours is the newer term (then it has been told so).
  bool accept_leader(Time now, const Message& word, Message& answer);
  bool has_valid_entries(const Message& append);
  Peer* find_responder(Time now, const Message& answer);
  std::error_code write_entries(Index from, std::vector<Entry>&& entries);
  void compact_log();
  void trim_log(Time now);
  bool begin_transfer(Peer& peer);
  void send_snapshot(Time now, MemberId id, Peer& peer, bool heartbeat);
  bool install_snapshot(const Snapshot& snapshot);

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
  bool has_live_majority(Time now, const Membership& next) const;
  bool must_stay(Time now, MemberId id) const;
  void update_told_to_stay(Time now, bool stay);
  std::optional<Membership> membership_without(Time now, MemberId id) const;
  std::optional<Membership> membership_without_leaver(Time now) const;
  std::optional<Membership> membership_without_replaced(Time now) const;
  std::optional<Membership> membership_with_newcomer(Time now) const;
  std::optional<Membership> membership_without_silent(Time now) const;
  void change_membership(Time now);
  bool append_local(Entry entry);
  Time majority_contact_time(Time now, bool rounds) const;
  void adopt_new_id(Time now);
  // What always holds between calls, against what held after the call before.
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
  Time last_leader_contact_{};  // also the start of the process: what was promised before it is kept
  Time due_{};                  // of the next step of our role
  Time join_due_{};
  bool leaving_ = false;       // an end was asked for
  Time leave_due_{};           // of saying so again
  bool told_to_stay_ = false;  // by a leader, or by our own count where we lead: see must_stay()
  Time stay_told_{};           // last
  std::map<MemberId, bool> votes_;
  std::map<MemberId, Peer> peers_;  // of a leader: voters but us, and newcomers
  Index term_start_ = 0;            // of a leader: its first entry
  std::uint64_t round_ = 0;
  std::map<std::uint64_t, Time> rounds_;  // when each was sent
  bool store_failed_ = false;
  Index compact_after_ = 0;                  // a fold that the disk refused is not tried with every entry
  std::shared_ptr<const Snapshot> sending_;  // the one that all snapshot_transfers under way send
  std::optional<IncomingSnapshot> incoming_;
  Counters counters_;
  Index checked_commit_ = 0;
  Term checked_term_ = 0;
  std::vector<OutgoingMessage> out_;
};

}  // namespace pearspar::raft
