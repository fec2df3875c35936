// Serves the calls of nodes and operators at a member: handles them where this member leads, and forwards
// them to the leader otherwise. As leader it also maintains the list of nodes. Free of I/O.
//
// Invariants: only a leader whose lease held after the call arrived gives a definite answer. A change is
// answered 200 only when it is applied, which implies that a majority has it on disk, and 412 only if it can
// never be applied. Every call is answered exactly once, within call_timeout of its arrival at the first
// member; expired calls are rejected before anything else is done.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "control_plane/call_log.h"
#include "control_plane/configuration_server.h"
#include "control_plane/departure_proposals.h"
#include "control_plane/followers.h"
#include "control_plane/pending_calls.h"
#include "control_plane/replicated_state.h"
#include "quota/quota_allocator.h"
#include "retry_tokens/token_pool.h"
#include "rollout/rollout_coordinator.h"
#include "rollout/rollout_order.h"

namespace pearspar::control_plane {

inline constexpr std::string_view nodes_path = "/pearspar/nodes/";
inline constexpr std::string_view rollouts_path = "/pearspar/rollouts";

// From a call's arrival at the first member on, forwarding included; callers give up after a second.
inline constexpr Duration call_timeout = std::chrono::milliseconds(850);
// Retry-After of 503 responses.
inline constexpr double unavailable_retry_after_s = 0.2;

struct ControllerOptions {
  std::string inner_address;    // where other members reach this one
  std::string control_address;  // told to nodes as the target of their heartbeats
  protocol::Incarnation incarnation = 0;
  std::string name;
  std::string zone;
  Duration heartbeat_interval = std::chrono::milliseconds(1200);
  retry_tokens::TokenPoolRules pool;  // the retry budget shared by all edges
  rollout::ExposureRules exposure;    // of new versions that are being rolled out
  // An operator may repeat an order of a roll-out for this long.
  Duration acknowledged_within = std::chrono::seconds(5);
  ReplicatedState::ConfigurationParser parse_configuration = catalog::parse_configuration;
};

// The answer to a call received by HTTP.
struct Reply {
  CallerId caller = 0;
  int status = 200;
  std::string body;
  bool requires_lease = false;  // may be sent only while the lease holds
};

// A message to another member.
struct MemberMessage {
  std::string address;
  protocol::Message message;
  bool requires_lease = false;
};

class Controller {
 public:
  Controller(ControllerOptions options, raft::Core& core, ReplicatedState& state);

  // A call received by HTTP. It is answered exactly once, by take_replies().
  void call(Time now, CallerId caller, std::string_view method, std::string_view path,
            std::string_view if_match, std::string_view body);
  // A message received from an edge or another member.
  void message(Time now, LinkId link, const protocol::Message& message);
  void link_closed(LinkId link);
  // A new link to a member: calls in flight on the previous link are lost, so they are sent again.
  void link_opened(Time now, const std::string& address);
  // Makes all progress that is possible; to be called after every event and at due().
  void advance(Time now);
  Time due() const;

  std::vector<Reply> take_replies();
  std::vector<MemberMessage> take_messages() { return std::exchange(messages_, {}); }
  std::vector<LinkFrame> take_frames(Time now);
  // A vote for an edge's lease, where this member does not lead and may give one.
  std::optional<protocol::LeaseVote> lease_vote(std::uint64_t number) const;
  // The first message on a link to another member.
  protocol::Hello hello() const;

  // The list of nodes as known here, to be stored and restored after a restart.
  std::string encode_nodes(Time now) const;
  void restore_nodes(Time now, const std::string& encoded);
  // Number of changes of the list so far.
  std::uint64_t node_list_changes() const { return node_list_changes_; }

  const subscription::ClusterView& view() const { return view_; }
  const Followers& followers() const { return followers_; }
  const ConfigurationServer& configuration_server() const { return configuration_server_; }
  const retry_tokens::TokenPool& pool() const { return pool_; }
  const quota::QuotaAllocator& quota_allocator() const { return quota_allocator_; }
  // Whether this member serves as the leader of the current term.
  bool is_active() const { return followers_.is_open(); }
  const CallLimiter& call_limiter() const { return call_limiter_; }
  // Calls that this member has refused, by its own answer or the leader's.
  const CallLog& call_log() const { return call_log_; }
  std::deque<RefusedCall> take_refused_calls() { return call_log_.take_refused(); }

 private:
  static constexpr std::size_t max_calls = 1024;
  static constexpr std::size_t max_call_bytes = 32 << 20;
  static constexpr std::size_t max_reply_bytes = 32 << 20;  // per turn
  // Per turn, of replies by way of other members; must fit into one frame.
  static constexpr std::size_t max_forwarded_reply_bytes = 3 << 20;

  // The change that is being replicated. Callers that send the same change wait with the first one; the
  // change goes on when their deadlines have passed.
  struct Proposal {
    std::vector<Request> callers;
    raft::Term term = 0;
    raft::Index index = 0;
    catalog::Revision revision = 0;
    Digest digest;
  };
  // A leaving node's call, answered when its departure is committed, and all followers have acknowledged the
  // change or `until` has passed.
  struct PendingUpdate {
    Request request;
    protocol::Position at;
    Time until{};
    DepartureProposals::Ticket departure = DepartureProposals::recorded;
  };

  // An operator's order of a roll-out, answered when its entry is applied.
  struct PendingRollout {
    Request request;
    rollout::RolloutOrder order;
    std::optional<raft::Index> index;  // of the entry, once it was proposed
    bool repeated = false;             // another pending request has the same order
  };

  // Leads with a valid lease, and can parse the configuration in force.
  bool may_serve(Time now) const { return state_.may_serve() && core_.holds_lease(now); }
  void accept(Time now, Request request);
  bool try_handle(Time now, Request& request);  // false: it must wait
  bool handle_change(Time now, Request& request);
  bool parse_change(Request& request);  // false: it was answered
  void propose(Time now, Request& request);
  void handle_heartbeat(Time now, Request& request);
  void handle_leave(Time now, Request& request);
  void answer_when_recorded(Time now, Request& request, catalog::Departure departure);
  void propose_departures(Time now);
  void reject_lost_departures();
  void adopt_departures();
  bool handle_rollout_order(Time now, Request& request);
  void handle_rollout_read(Request& request);
  bool knows_service(const std::string& service) const;
  std::vector<std::string> listed_versions(const std::string& service) const;
  void add_version_records(std::vector<rollout::RolloutCommand>& commands) const;
  rollout::ServiceStatus rollout_status(Time now, const std::string& service) const;
  void propose_rollouts(Time now);
  void finish_rollout_orders();
  void reject_pending_rollouts(std::string_view reason);
  void publish_rollouts(Time now);
  std::vector<catalog::ServiceVersions> provisional_versions() const;
  void reply(const Request& request, int status, std::string body, bool requires_lease = true);
  void reply_error(const Request& request, int status, std::string_view what);
  void forward(Time now, Request& request);
  void redirect_forwarded(Time now);
  void on_answer(Time now, const protocol::ControlReply& answer);
  void reject_expired(Time now);
  void activate(Time now);
  void deactivate(Time now);
  void finish_proposal(Time now);
  void finish_pending_updates(Time now);
  void expire_silent_nodes(Time now);
  void publish_configuration(Time now);
  void publish_members();
  void advance_quotas(Time now);
  void report_rollout(Time now, LinkId link, const rollout::RolloutReport& report);
  void grant_tokens(Time now, LinkId link, const protocol::TokenRequest& want);
  void acknowledge_update(LinkId link, subscription::ClusterView::ApplyResult result);

  ControllerOptions options_;
  raft::Core& core_;
  ReplicatedState& state_;
  subscription::ClusterView view_;
  Followers followers_;
  ConfigurationServer configuration_server_{options_.zone};
  retry_tokens::TokenPool pool_;
  quota::QuotaAllocator quota_allocator_;
  CallLimiter call_limiter_{max_calls, max_call_bytes};  // of all pending calls
  CallLog call_log_;
  std::deque<Request> waiting_;  // for a leader, for the current proposal to end, or for their base
  std::optional<Proposal> proposal_;
  std::deque<PendingUpdate> pending_updates_;
  DepartureProposals departures_;
  std::uint64_t adopted_departures_ = 0;  // of the replicated state's, by their total
  rollout::RolloutCoordinator rollouts_{options_.exposure};
  std::deque<PendingRollout> pending_rollouts_;
  std::optional<raft::Index> rollout_entry_;  // in flight
  rollout::LogIndex published_versions_ = 0;  // followers have been sent all changes up to this entry
  std::map<std::string, protocol::Position> version_positions_;  // of the newest versions of a service
  ForwardedCalls forwarded_;
  std::size_t reply_bytes_ = 0;
  std::size_t forwarded_reply_bytes_ = 0;
  std::map<std::string, Time> last_heartbeats_;  // by node id; while leading
  Time list_complete_at_{};
  Time next_expiry_{};
  std::vector<Reply> replies_;
  std::vector<MemberMessage> messages_;
  std::vector<LinkFrame> link_frames_;
  std::vector<std::string> published_members_;
  std::uint64_t node_list_changes_ = 0;
};

}  // namespace pearspar::control_plane
