// A member's control office: calls of nodes and operators, settled where this member leads and passed on
// where it does not; the duty of keeping the list of nodes. Free of I/O.
//
// Always true: nothing definite is said but by a leader whose lease held at a moment after the call arrived.
// A change is answered 200 only when it is applied, that is, when a majority has it on disk; 412 only if it
// can never come into force. Every call is answered once, within answer_within of its arrival at the first
// member, and what is over its time is refused before anything else is done.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "nuvolau/pool.h"
#include "pramperet/bursar.h"
#include "sennes/calls.h"
#include "sennes/followers.h"
#include "sennes/state.h"

namespace pearspar::sennes {

inline constexpr std::string_view nodes_path = "/pearspar/nodes/";

// From its arrival at the first member, and over all that it is passed on to: callers move on after a second.
inline constexpr Duration answer_within = std::chrono::milliseconds(850);
// For whoever is told 503.
inline constexpr double come_back_s = 0.2;

struct OfficeOptions {
  std::string inner_address;    // where other members reach this one
  std::string control_address;  // told to nodes for their later beats
  protocol::Incarnation incarnation = 0;
  std::string name;
  std::string zone;
  Duration beat = std::chrono::milliseconds(1200);
  nuvolau::PoolRules pool;                            // of the budget that all edges share
  State::Reader read = catalog::parse_configuration;  // the program's checks
};

struct Reply {
  Asker asker = 0;
  int status = 200;
  std::string body;
  bool by_lease = false;  // true only if we still lead when it is said
};

struct ToMember {
  std::string address;
  protocol::Message message;
  bool by_lease = false;
};

class Office {
 public:
  Office(OfficeOptions options, raft::Core& core, State& state);

  // A call by HTTP. It is answered exactly once, by take_replies().
  void call(Time now, Asker asker, std::string_view method, std::string_view path, std::string_view if_match,
            std::string_view body);
  void message(Time now, LinkId link, const protocol::Message& message);
  void link_closed(LinkId link) { followers_.on_closed(link); }
  // What was on its way to that member over the link before is lost: calls passed on to it go again,
  // unchanged.
  void link_opened(Time now, const std::string& address);
  // To be called after every event and at due(): does what has become possible.
  void advance(Time now);
  Time due() const;

  std::vector<Reply> take_replies();
  std::vector<ToMember> take_messages() { return std::exchange(messages_, {}); }
  std::vector<ToLink> take_news(Time now);
  // The first words on a link to another member.
  protocol::Hello hello() const;

  // The list of nodes as this member knows it, to be kept over a restart.
  std::string note(Time now) const;
  void recall(Time now, const std::string& note);
  // Rises whenever the list has changed.
  std::uint64_t list_changes() const { return list_changes_; }

  const subscription::ClusterView& view() const { return view_; }
  const Followers& followers() const { return followers_; }
  const nuvolau::Pool& pool() const { return pool_; }
  const pramperet::Bursar& bursar() const { return bursar_; }
  bool in_office() const { return followers_.is_open(); }
  const Room& room() const { return room_; }

 private:
  static constexpr std::size_t most_calls = 1024;
  static constexpr std::size_t most_call_bytes = 32 << 20;
  static constexpr std::size_t most_reply_bytes = 32 << 20;  // of one turn
  // Of those, by way of other members: one frame holds it, and a link's queue twice as much.
  static constexpr std::size_t most_passed_bytes = 3 << 20;

  // A change that was appended here. Who sends the same while it is under way waits with the first; who has
  // waited long enough is told so, and the change goes on.
  struct Proposal {
    std::vector<Request> callers;
    raft::Term term = 0;
    raft::Index index = 0;
    catalog::Revision revision = 0;
    Digest digest;
  };
  struct Spreading {
    Request request;
    protocol::Position at;
    Time until{};
  };

  // Leads, may speak, and can read what stands.
  bool may_serve(Time now) const { return state_.may_serve() && core_.may_speak(now); }
  void take_in(Time now, Request request);
  bool settle(Time now, Request& request);  // false: not yet
  bool settle_change(Time now, Request& request);
  bool read_order(Request& request);  // false: it was refused
  void propose(Time now, Request& request);
  void settle_beat(Time now, Request& request);
  void settle_leave(Time now, Request& request);
  void reply(const Request& request, int status, std::string body, bool by_lease = true);
  void reply_fault(const Request& request, int status, std::string_view what);
  void pass_on(Time now, Request& request);
  void look_after_passed(Time now);
  void on_answer(Time now, const protocol::ControlReply& answer);
  void refuse_expired(Time now);
  void open_office(Time now);
  void close_office(Time now);
  void finish_proposal(Time now);
  void finish_spreading(Time now);
  void expire(Time now);
  void tell_configuration(Time now);
  void tell_members();
  void keep_allowance(Time now);
  void grant(Time now, LinkId link, const protocol::TokenRequest& want);
  void follow(LinkId link, subscription::ClusterView::ApplyResult taken);

  OfficeOptions options_;
  raft::Core& core_;
  State& state_;
  subscription::ClusterView view_;
  Followers followers_;
  nuvolau::Pool pool_;
  pramperet::Bursar bursar_;
  Room room_{most_calls, most_call_bytes};  // of all that wait below
  std::deque<Request> waiting_;             // for a leader, for the proposal before, for what it builds on
  std::optional<Proposal> proposal_;
  std::deque<Spreading> spreading_;
  PassedCalls passed_;
  std::size_t reply_bytes_ = 0;
  std::size_t passed_bytes_ = 0;
  std::map<std::string, Time> heard_;  // of a leader: nodes, by id
  Time gathered_{};
  Time expire_due_{};
  std::vector<Reply> replies_;
  std::vector<ToMember> messages_;
  std::vector<ToLink> to_links_;
  std::vector<std::string> told_cores_;
  std::uint64_t list_changes_ = 0;
};

}  // namespace pearspar::sennes
