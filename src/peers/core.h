// The gossip membership protocol of a fleet of brokers (docs/fleet-view.md): SWIM with the Lifeguard
// extensions. Does no I/O: it is given the time and received datagrams, and returns datagrams to send,
// membership events and the time of its next timer. All decisions about members are made here and in
// member_status.h.
#pragma once

#include <cstdint>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "peers/member_table.h"
#include "peers/update_queue.h"
#include "peers/wire.h"

namespace pearspar::peers {

// Settings of the protocol.
struct Options {
  std::string fleet;
  net::Duration period = std::chrono::milliseconds(200);
  double suspicion_periods = 3;  // shortest suspicion, times max(1, log10 of the members)
  double suspicion_stretch = 6;  // longest suspicion as a multiple of the shortest, without confirmations
  std::size_t bytes_per_s = 64 * 1024;
  std::size_t max_members = 2048;
  net::Duration remember_gone = std::chrono::hours(4);
  std::vector<net::Address> seeds;
  // Switched off only in measurements: without them the protocol is plain SWIM.
  bool suspicion = true;
  bool local_health = true;
};

// What this broker announces of itself.
struct Self {
  std::string name;
  std::uint64_t run = 0;  // rises with each start under this name
  net::Address address;   // of the membership protocol's socket
  net::Address serves;    // where clients connect
  std::string zone;
  std::string region;
  std::string version;
};

// ---- the view given to readers ----

// One member as shown to readers.
struct MemberView {
  std::string name;
  std::uint64_t run = 0;
  std::uint64_t incarnation = 0;
  State state = State::joining;
  net::Time since{};  // by the local clock
  net::Address address;
  net::Address serves;
  std::string zone;
  std::string region;
  std::string version;
  RecordMap records;
};

// The whole view at one moment; immutable once published.
struct Snapshot {
  std::uint64_t number = 0;  // rises with each change
  std::string self;
  std::uint64_t digest = 0;  // of the members in force
  std::size_t in_force = 0;  // includes ourselves unless we yield or have left
  bool settled = false;
  net::Time settled_since{};
  bool smaller_part = false;  // we may be in the smaller part of a network partition
  bool yields = false;        // another process serves under our name
  std::vector<MemberView>
      members;  // by name, ourselves included; also gone and left members while remembered
};

// ---- membership events ----

// Why a member changed its state.
enum class Cause {
  own_update,
  own_probe,
  accusers,
  address_taken,
  reported,
  silence,
  suspicion_expired,
  own
};

// A change of one member's state.
struct MemberEvent {
  std::string name;
  std::uint64_t run = 0;
  std::uint64_t incarnation = 0;
  State before = State::gone;
  bool known_before = false;
  State after = State::gone;
  Cause cause = Cause::own_update;
  std::string by;  // the reporting member, if there is one
  int accusers = 0;
};
const char* text_of(Cause cause);

// A datagram to send.
struct Datagram {
  net::Address to;
  std::string bytes;
};

struct Counters {
  std::uint64_t sent = 0, sent_bytes = 0, received = 0, received_bytes = 0;
  std::uint64_t oversized = 0, malformed = 0, foreign = 0, other_format = 0, spoilt = 0;  // dropped
  std::uint64_t wrong_source = 0, repeated = 0, unproven = 0, too_many = 0, old_run = 0, not_for_us = 0;
  std::uint64_t namesakes = 0, wordless = 0, table_full = 0, shelf_full = 0;
  std::uint64_t unpaid = 0;  // datagrams not sent because the byte budget was exhausted
  std::uint64_t probes = 0, probes_failed = 0, asked_others = 0, refuted = 0, held_up = 0, removed = 0;
  std::uint64_t summaries = 0, pages = 0, startovers = 0, outruns = 0;
};

// The protocol engine of one broker.
class Core {
 public:
  Core(Options options, Self self, std::uint64_t seed, net::Time now);

  // ---- lifecycle and local state ----
  void ready(net::Time now);   // joining -> alive
  void leave(net::Time now);   // starts an orderly shutdown: leaving
  void finish(net::Time now);  // announces the end: left
  bool finished(net::Time now) const { return finish_by_ != net::Time::max() && now >= finish_by_; }
  // Publishes a record of ours to all members; an empty value withdraws it. False if it does not fit.
  bool publish(net::Time now, const std::string& key, const std::string& value);
  // Replaces the discovered seeds; those of the options stay.
  void set_discovered_seeds(std::vector<net::Address> seeds);

  // ---- event loop ----
  void receive(net::Time now, const net::Address& from, std::string_view bytes);
  void tick(net::Time now);
  net::Time due() const;
  std::vector<Datagram> take_datagrams() { return std::exchange(out_, {}); }
  std::vector<MemberEvent> take_events() { return std::exchange(events_, {}); }

  std::shared_ptr<const Snapshot> snapshot(net::Time now);
  const Counters& counters() const { return counters_; }
  int health() const { return health_; }  // Lifeguard's local health score; 0 is healthy
  std::uint64_t digest() const;
  std::size_t in_force() const { return table_.in_force().size() + (participates() ? 1 : 0); }
  bool settled(net::Time now) const;
  bool smaller_part() const;
  bool yields() const { return yields_; }
  const Self& self() const { return self_; }

 private:
  enum class Stage { direct, indirect };
  struct Probe {
    Stage stage = Stage::direct;
    bool of_suspect = false;  // outside the probe round; does not affect our health score
    std::uint64_t id = 0;
    std::string target;
    std::uint64_t run = 0;
    net::Time due{};  // time of the next step
    int helpers = 0;
    int missed = 0;  // helpers that reported no answer from the target
  };
  struct Relay {
    std::uint64_t id = 0;               // probe id of our ping
    std::uint64_t requester_probe = 0;  // probe id of the requesting member
    net::Address requester;
    std::string requester_name;
    net::Time due{};
  };
  enum class SendBudget { always, if_any, if_plenty };

  // Incoming datagrams.
  void handle_unverified(net::Time now, const net::Address& from, const wire::Body& body, std::size_t size);
  void handle_verified(net::Time now, const net::Address& from, const wire::Body& body, std::size_t size);
  void handle_namesake(net::Time now, const net::Address& from, const wire::Body& body, std::size_t size);
  void handle_ack(net::Time now, const wire::Body& body);
  void handle_ping_request(net::Time now, const Member& requester, const wire::Ask& ask);
  void handle_summary(net::Time now, const Member& member, const wire::Summary& summary);
  void apply_news(net::Time now, const wire::News& news, const std::string& reporter);
  void apply_own_news(net::Time now, const wire::News& news);
  void apply_shelf(net::Time now, const wire::Shelf& shelf);
  bool within_rate_limit(net::Time now, Member& member);

  // Members.
  void set_status(net::Time now, Member& member, const MemberStatus& status, Cause cause,
                  const std::string& by);
  void confirm_suspicion(net::Time now, Member& member, std::uint32_t accuser);
  void suspect(net::Time now, Member& member, const MemberStatus& next, Cause cause, const std::string& by,
               std::vector<std::uint32_t> accusers);
  void suspect_locally(net::Time now, Member& member, Cause cause);
  void disseminate(net::Time now, const std::string& name, Priority priority);
  void declare_gone(net::Time now, Member& member);
  void forget_old(net::Time now);
  bool evict_oldest();
  net::Time suspicion_deadline_of(const Member& member) const;
  int confirmations_wanted() const;
  void raise_incarnation(net::Time now, std::uint64_t above);
  void encode_own_word();
  void reset_membership(net::Time now);
  void detect_stall(net::Time now);
  void degrade_health(int by);
  void improve_health();
  void changed(net::Time now);

  // Probes.
  void begin_period(net::Time now);
  void begin_probe(net::Time now, const Member& target, bool of_suspect);
  bool advance_probe(net::Time now, Probe& probe);
  void probe_suspects(net::Time now);
  Member* next_target();
  Member* random_member();
  void reconnect(net::Time now);
  void probe_namesake(net::Time now);

  // Outgoing datagrams.
  wire::Body body_for(const net::Address& to, const Member* member);
  bool send(net::Time now, const net::Address& to, const wire::Body& body, SendBudget budget);
  void piggyback(net::Time now, wire::Body& body, const Member* member, std::size_t room);
  void ping(net::Time now, const net::Address& to, const Member* member, std::uint64_t id, bool greet);
  void gossip(net::Time now);
  void start_sync(net::Time now, Member& member, bool eager);
  void send_verdict(net::Time now, Member& member);
  wire::News news_of(const Member& member, bool with_word) const;
  wire::News own_news() const;
  bool pack_records(const std::string& name, std::uint64_t run, const RecordMap& records, std::size_t room,
                    wire::Shelf& into) const;
  std::size_t room_in(const wire::Body& body) const;
  std::uint64_t cookie_for(const net::Address& address) const;
  std::uint64_t records_digest() const;
  std::array<std::uint64_t, summary_buckets> sums() const;
  bool participates() const { return !yields_ && phase_ != Phase::left; }
  net::Duration scaled_period() const;
  int transmit_limit() const;
  void refill(net::Time now);

  Options options_;
  Self self_;
  OwnStatus own_;
  Phase phase_ = Phase::joining;
  std::string word_;
  RecordMap own_records_;
  std::uint64_t records_version_ = 0;
  DatagramCodec codec_;
  std::mt19937_64 random_;
  std::uint64_t secret_;
  MemberTable table_;
  UpdateQueue updates_;
  Counters counters_;
  std::vector<Datagram> out_;
  std::vector<MemberEvent> events_;

  std::uint64_t number_ = 0;
  int health_ = 0;
  bool yields_ = false;
  net::Address namesake_;
  std::uint64_t namesake_run_ = 0;
  int namesake_pings_ = 0;

  std::vector<Probe> probes_;       // in progress
  std::vector<std::string> round_;  // names still to be probed in this round
  std::vector<Relay> relays_;
  std::set<std::pair<net::Time, std::string>> suspicion_deadlines_;
  net::Time next_period_;
  net::Time next_gossip_;
  net::Time last_gossip_;
  net::Time next_reconnect_;
  net::Time next_forget_;
  net::Time finish_by_ = net::Time::max();
  std::vector<net::Address> discovered_seeds_;
  std::vector<net::Address> former_addresses_;  // addresses of the members before the last reset

  double tokens_;
  net::Time tokens_at_;
  double unverified_tokens_;
  net::Time unverified_tokens_at_;

  net::Time changed_at_;    // last change of the members in force
  net::Time disagreed_at_;  // last time a digest differed from ours or a suspicion started
  net::Time heard_at_{};    // last verified datagram of any member
  net::Time last_compared_{};
  net::Time join_deadline_;  // until then seeds may still answer
  std::uint64_t snapshot_number_ = 0;
  std::shared_ptr<const Snapshot> snapshot_;
};

}  // namespace pearspar::peers
