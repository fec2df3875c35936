// A member's control office: calls of nodes and operators, settled where this member leads and passed on
// where it does not; the duty of keeping the list of nodes. Free of I/O.
//
// Always true: nothing definite is said but by a leader whose lease held at a moment after the call arrived.
// A change is answered 200 only when it is applied, that is, when a majority has it on disk; 412 only if it
// can never come into force. Every call is answered once, within call_timeout of its arrival at the first
// member, and what is over its time is refused before anything else is done.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "control_plane/followers.h"
#include "control_plane/pending_calls.h"
#include "control_plane/replicated_state.h"
#include "nuvolau/pool.h"
#include "pramperet/bursar.h"

namespace pearspar::control_plane {

inline constexpr std::string_view nodes_path = "/pearspar/nodes/";

// From its arrival at the first member, and over all that it is passed on to: callers move on after a second.
inline constexpr Duration call_timeout = std::chrono::milliseconds(850);
// For whoever is told 503.
inline constexpr double unavailable_retry_after_s = 0.2;

struct ControllerOptions {
  std::string inner_address;    // where other members reach this one
  std::string control_address;  // told to nodes for their later beats
  fanes::Life life = 0;
  std::string name;
  std::string zone;
  Duration heartbeat_interval = std::chrono::milliseconds(1200);
  nuvolau::PoolRules pool;  // of the budget that all edges share
  ReplicatedState::ConfigurationParser parse_configuration =
      averau::read_configuration;  // the program's checks
};

struct Reply {
  CallerId caller = 0;
  int status = 200;
  std::string body;
  bool requires_lease = false;  // true only if we still lead when it is said
};

struct MemberMessage {
  std::string address;
  fanes::Message message;
  bool requires_lease = false;
};

class Controller {
 public:
  Controller(ControllerOptions options, raft::Core& core, ReplicatedState& state);

  // A call by HTTP. It is answered exactly once, by take_replies().
  void call(Time now, CallerId caller, std::string_view method, std::string_view path,
            std::string_view if_match, std::string_view body);
  void message(Time now, LinkId link, const fanes::Message& message);
  void link_closed(LinkId link) { followers_.on_closed(link); }
  // What was on its way to that member over the link before is lost: calls passed on to it go again,
  // unchanged.
  void link_opened(Time now, const std::string& address);
  // To be called after every event and at due(): does what has become possible.
  void advance(Time now);
  Time due() const;

  std::vector<Reply> take_replies();
  std::vector<MemberMessage> take_messages() { return std::exchange(messages_, {}); }
  std::vector<LinkFrame> take_frames(Time now);
  // The first words on a link to another member.
  fanes::Hello hello() const;

  // The list of nodes as this member knows it, to be kept over a restart.
  std::string encode_nodes(Time now) const;
  void restore_nodes(Time now, const std::string& note);
  // Rises whenever the list has changed.
  std::uint64_t node_list_changes() const { return node_list_changes_; }

  const vazzoler::View& view() const { return view_; }
  const Followers& followers() const { return followers_; }
  const nuvolau::Pool& pool() const { return pool_; }
  const pramperet::Bursar& bursar() const { return bursar_; }
  bool is_active() const { return followers_.is_open(); }
  const CallLimiter& call_limiter() const { return call_limiter_; }

 private:
  static constexpr std::size_t max_calls = 1024;
  static constexpr std::size_t max_call_bytes = 32 << 20;
  static constexpr std::size_t max_reply_bytes = 32 << 20;  // of one turn
  // Of those, by way of other members: one frame holds it, and a link's queue twice as much.
  static constexpr std::size_t max_forwarded_reply_bytes = 3 << 20;

  // A change that was appended here. Who sends the same while it is under way waits with the first; who has
  // waited long enough is told so, and the change goes on.
  struct Proposal {
    std::vector<Request> callers;
    raft::Term term = 0;
    raft::Index index = 0;
    averau::Edition edition = 0;
    Digest digest;
  };
  struct PendingUpdate {
    Request request;
    fanes::Position at;
    Time until{};
  };

  // Leads, may speak, and can parse_configuration what stands.
  bool may_serve(Time now) const { return state_.may_serve() && core_.may_speak(now); }
  void accept(Time now, Request request);
  bool try_handle(Time now, Request& request);  // false: not yet
  bool handle_change(Time now, Request& request);
  bool parse_change(Request& request);  // false: it was refused
  void propose(Time now, Request& request);
  void handle_heartbeat(Time now, Request& request);
  void handle_leave(Time now, Request& request);
  void reply(const Request& request, int status, std::string body, bool requires_lease = true);
  void reply_error(const Request& request, int status, std::string_view what);
  void forward(Time now, Request& request);
  void redirect_forwarded(Time now);
  void on_answer(Time now, const fanes::CallAnswer& answer);
  void reject_expired(Time now);
  void activate(Time now);
  void deactivate(Time now);
  void finish_proposal(Time now);
  void finish_pending_updates(Time now);
  void expire_silent_nodes(Time now);
  void publish_configuration(Time now);
  void publish_members();
  void advance_quotas(Time now);
  void grant_tokens(Time now, LinkId link, const fanes::Want& want);
  void acknowledge_update(LinkId link, vazzoler::View::Taken taken);

  ControllerOptions options_;
  raft::Core& core_;
  ReplicatedState& state_;
  vazzoler::View view_;
  Followers followers_;
  nuvolau::Pool pool_;
  pramperet::Bursar bursar_;
  CallLimiter call_limiter_{max_calls, max_call_bytes};  // of all that wait below
  std::deque<Request> waiting_;  // for a leader, for the proposal before, for what it builds on
  std::optional<Proposal> proposal_;
  std::deque<PendingUpdate> pending_updates_;
  ForwardedCalls forwarded_;
  std::size_t reply_bytes_ = 0;
  std::size_t forwarded_reply_bytes_ = 0;
  std::map<std::string, Time> last_heartbeats_;  // of a leader: nodes, by id
  Time list_complete_at_{};
  Time next_expiry_{};
  std::vector<Reply> replies_;
  std::vector<MemberMessage> messages_;
  std::vector<LinkFrame> link_frames_;
  std::vector<std::string> published_members_;
  std::uint64_t node_list_changes_ = 0;
};

}  // namespace pearspar::control_plane
