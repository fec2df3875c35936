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
#include "raft/transfer.h"

namespace pearspar::raft {

struct Timing {
  Duration heartbeat = std::chrono::milliseconds(80);
  // Without a word of the leader for so long (drawn anew each time) a member stands for election; a vote for
  // another leader is refused for the least of it.
  Duration least_silence = std::chrono::milliseconds(400);
  Duration most_silence = std::chrono::milliseconds(650);
  // From the sending of a round that a majority has answered; under least_silence, so that it ends before
  // anybody else can be elected.
  Duration lease = std::chrono::milliseconds(300);
  Duration join_every = std::chrono::milliseconds(250);
  // With more voters than wanted, who is silent for so long leaves the count. Wrongly removed, a member asks
  // to be taken in again.
  Duration gone_after = std::chrono::milliseconds(1500);
  // Clocks run at a rate between 1 - drift and 1 + drift of true time.
  double drift = 0.05;

  // No vote for another while a lease lasts: the leader's clock may be slow and a voter's fast, so
  // lease / (1 - drift) < least_silence / (1 + drift). With 300 and 400 ms that holds up to a drift of 1/7,
  // two clocks whose rates stand as 4 to 3.
  bool lease_ends_in_time() const { return lease * (1 + drift) < least_silence * (1 - drift); }
};

struct Options {
  std::string address;                // ours, for the other members
  std::vector<std::string> founders;  // on the first start of all: the first voters, the same list everywhere
  std::vector<std::string> seeds;     // whom to ask to be taken in
  bool first_start = false;
  MemberId fresh_id = 0;  // for a start with an empty disk
  std::uint64_t seed = 0;
  std::size_t fold_entries = 64;        // entries kept before they are folded into a snapshot
  std::size_t append_bytes = 1 << 20;   // of entries, in one append
  std::size_t piece_bytes = 256 << 10;  // of a snapshot's state, in one piece
  Timing timing = {};
};

// What is agreed on.
class StateMachine {
 public:
  virtual ~StateMachine() = default;
  virtual void apply(const Entry& change) = 0;
  virtual std::string fold() const = 0;
  virtual void restore(const std::string& state) = 0;
};

struct Outgoing {
  std::string address;
  Message message;
};

// Since the start of the process.
struct Counters {
  std::uint64_t refused_writes = 0;       // by the store
  std::uint64_t refused_messages = 0;     // that no member which keeps the rules can have sent
  std::uint64_t refused_snapshots = 0;    // too large, or not what was announced
  std::uint64_t transfers = 0;            // of snapshots, begun here
  std::uint64_t transfers_restarted = 0;  // since the entries behind them would have outgrown their bound
  std::uint64_t pieces = 0;               // sent, with bytes
  std::uint64_t installed = 0;            // snapshots of a leader
};

// The id of a founder, which all can work out for themselves.
MemberId founder_id(const std::string& address);

class Core {
 public:
  enum class Role { follower, pre_candidate, candidate, leader };

  Core(Store& store, StateMachine& machine, Options options);

  // Reads the store; what the host kept there as its note comes back with it.
  std::error_code start(Time now, std::string* note = nullptr);
  // For after a restart: what is applied here, and the host's own. A lost note costs time, nothing else.
  std::error_code keep_note(const std::string& note) { return store_.save_note(commit_, note); }
  void tick(Time now);
  Time due() const;
  void step(Time now, const Message& message);
  std::vector<Outgoing> take_out() { return std::exchange(out_, {}); }

  // Where the change will stand in the log; nothing where we do not lead or the disk refuses.
  std::optional<Index> propose(Time now, std::string data);
  // Somebody else is to lead.
  void hand_over(Time now);
  // An end was asked for: hands over, and has itself let go where a successor stands.
  void leave(Time now);
  // Whether those who stay hold what this member holds, or it is to come back and they can do without it.
  bool may_end() const;
  void set_seeds(std::vector<std::string> seeds) { options_.seeds = std::move(seeds); }

  Role role() const { return role_; }
  // Leads, has applied all that was committed before its term, and nobody else can lead yet.
  bool may_speak(Time now) const;
  Term term() const { return vote_.term; }
  MemberId self() const { return self_; }
  Index commit() const { return commit_; }
  Index applied() const { return applied_; }
  const Log& log() const { return log_; }
  // Empty where none is known.
  const std::string& leader_address() const { return leader_address_; }
  // Known members' addresses; before any is known, the seeds.
  std::vector<std::string> addresses() const;
  bool ill() const { return ill_; }
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
    std::uint64_t can = 0;
    Flight flight;  // of entries, or of a part of a snapshot
    std::optional<Transfer> transfer;
    Time heard{};
    Time round_sent{};  // of the newest round that it answered
  };

  bool save_term(Term term, MemberId vote);
  void follow(Time now, Term term, MemberId leader, const std::string& address);
  void stand(Time now, bool handed_over);
  void ask_for_votes(Time now, bool handed_over);
  void lead(Time now);
  void step_down(Time now);
  void draw_silence(Time now);
  void draw_patience(Time now);
  bool up_to_date(const Message& ask) const;
  bool leader_lives(Time now) const;

  void act(Time now);
  void take(Time now, const Message& message);
  void on_ask(Time now, const Message& ask);
  void on_vote(Time now, const Message& vote);
  void on_append(Time now, const Message& append);
  void on_install(Time now, const Message& install);
  void on_piece(Time now, const Message& piece);
  void on_piece_held(Time now, const Message& answer);
  void on_appended(Time now, const Message& answer);
  void on_join(Time now, const Message& join);
  void on_leave(Time now, const Message& leave);
  void pass_on(Time now, const Message& message);
  void say_leave(Time now);

  // Of what a leader says: false where it is none, or ours is the newer term (then it has been told so).
  bool heed(Time now, const Message& word, Message& answer);
  bool sound(const Message& append);
  Peer* answered(Time now, const Message& answer);
  std::error_code write_entries(Index from, std::vector<Entry>&& entries);
  void fold_log();
  void let_go(Time now);
  bool begin_transfer(Peer& peer);
  void send_snapshot(Time now, MemberId id, Peer& peer, bool heartbeat);
  bool take_snapshot(const Snapshot& snapshot);

  void broadcast(Time now);
  void send_to(Time now, MemberId id, Peer& peer, bool heartbeat);
  void send(const std::string& address, Message message);
  void ask_to_join();
  void sync_peers(Time now);
  void advance_commit(Time now);
  void apply_committed();
  bool lives(Time now, const Peer& peer) const;
  bool leaves(Time now, const Peer& peer) const;
  bool could_come(Time now, const Peer& peer) const;
  bool caught_up(Time now, const Peer& peer) const;
  bool stands_at(const std::string& address) const;
  bool can_stand(Time now, const Membership& next) const;
  bool must_stay(Time now, MemberId id) const;
  void note_whether_to_stay(Time now, bool stay);
  std::optional<Membership> without(Time now, MemberId id) const;
  std::optional<Membership> without_leaver(Time now) const;
  std::optional<Membership> make_room(Time now) const;
  std::optional<Membership> take_in(Time now) const;
  std::optional<Membership> drop_silent(Time now) const;
  void change_membership(Time now);
  bool append_own(Entry entry);
  Time majority_heard(Time now, bool rounds) const;
  void become_another(Time now);
  // What always holds between calls, against what held after the call before.
  void check_invariants();
  void fail(const std::error_code& error) {
    ill_ = static_cast<bool>(error);
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
  Time heard_leader_{};  // also the start of the process: what was promised before it is kept
  Time due_{};           // of the next step of our role
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
  bool ill_ = false;
  Index fold_after_ = 0;                     // a fold that the disk refused is not tried with every entry
  std::shared_ptr<const Snapshot> sending_;  // the one that all transfers under way send
  std::optional<Incoming> incoming_;
  Counters counters_;
  Index checked_commit_ = 0;
  Term checked_term_ = 0;
  std::vector<Outgoing> out_;
};

}  // namespace pearspar::raft
