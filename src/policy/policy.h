// Interface of the decision module: its settings, the events it is told and the actions it may request.
// The host (the broker, or the adapter to the simulator) translates between these types and its own
// protocol. The implementation starts in policy.cpp.
#pragma once

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>
#include <variant>
#include <vector>

namespace pearspar {

using Duration = std::chrono::duration<double>;  // seconds
using Time = std::chrono::time_point<std::chrono::steady_clock, Duration>;
using NodeId = std::uint32_t;
using QueryId = std::uint32_t;
using PartId = std::uint32_t;

// Whether a part may be executed more than once.
enum class Idempotency {
  idempotent,
  deduplicated,    // nodes drop repeats within ClassSettings::dedup_window
  non_idempotent,  // must not be repeated once an attempt may have been executed
};

// One class of queries.
struct ClassSettings {
  std::string name;
  Duration latency_target{};           // an answer within this earns its full worth
  double latency_target_per_work = 0;  // extension of the target, as a multiple of the query's work
  Duration client_timeout{};           // how long a client waits in total, over all its tries
  double worth = 0;                    // of a whole answer within the latency target
  double late_worth = 0;               // share of the worth of an answer after the latency target
  Idempotency idempotency = Idempotency::idempotent;
  Duration dedup_window{};    // deduplicated: repeats are dropped for this long after the first attempt
  double min_coverage = 1;    // least share of the weight for any answer
  double whole_coverage = 1;  // share of the weight that makes an answer whole
  double partial_worth = 0;   // a partial answer earns this x its share of the weight / whole_coverage
  int fetch_parts = 0;        // parts of the second step; 0 = the query has one step only
};

struct TenantSettings {
  std::string name;
  double quota_per_s = 0;
  double share = 0;
};

// How load reports of the nodes reach the broker.
enum class ReportSource {
  none,
  piggyback,  // with the outcome of each attempt
  pull,       // with the outcome of a probe
};

// What Member::rating tells about a node's speed.
enum class RatingKind { none, nominal, rough, live };

// Meaning of one value in a load report.
enum class ReportField { unknown, outstanding, backlog, utilization, recent_ms, throughput, errors_per_s };

// Settings of one broker; they do not change while it runs.
struct Settings {
  int broker_index = 0;  // of this broker, below broker_count
  int broker_count = 1;
  int zone = 0;
  std::vector<ClassSettings> classes;
  std::vector<TenantSettings> tenants;
  double over_share_worth = 1;
  bool worth_by_work = false;               // worth is per unit of work, not per query
  bool clients_mark_retries = false;        // QueryArrived::repeat is set by clients
  bool membership_by_subscription = false;  // the member list has to be subscribed to; else it is pushed

  int cells = 1;  // shard s is held by cells (s + j) mod cells, j in [0, cells_per_shard)
  int cells_per_shard = 1;
  int shards = 0;
  int parts_per_call = 1;  // sends to one node in one batch share a call, up to this number
  Duration call_cost{};    // work of a node for a call, beside that for its parts
  bool warm_keys = false;

  bool may_cancel = false;
  bool may_probe = false;
  bool may_message_peers = false;
  bool may_hedge = false;  // a part may have two attempts in flight at once
  bool may_send_retry_after = false;
  Duration max_retry_after{};
  Duration connect_timeout{};
  int max_attempts = 1;           // per part
  int max_open = 0;               // queries and parts open at once
  Duration min_batch_interval{};  // between two calls of Policy::handle

  Duration answer_slack{};         // how long after its deadline a query's final answer may come
  Duration drain_grace{};          // how long after the notice a draining node may still be sent to
  Duration subscribe_within{};     // a lost subscription is renewed within this
  double cold_load_multiple = 0;   // load at which a cold node fails, as a multiple of its capacity
  Duration cold_load_window{};     // window over which the load of a cold node is counted
  double cold_start_capacity = 1;  // share of its full capacity that a node has when it starts
  Duration warm_up_time{};         // until a started node has its full capacity
  bool has_retry_budget = false;
  double retry_budget_base = 0;   // further attempts that are always allowed in a window
  double retry_budget_ratio = 0;  // further attempts allowed for each arrival in the window
  Duration retry_budget_window{};

  ReportSource report_source = ReportSource::none;
  std::vector<ReportField> report_fields;
  RatingKind rating = RatingKind::none;

  // What mistakes cost, as shares of the service: each is multiplied by its rate for a part.
  double price_probe = 0;
  double price_waste = 0;
  double price_cross_zone = 0;
  double price_late_fail = 0;
  double price_connection = 0;
  double price_handshake = 0;
  double price_peer = 0;
};

// ---- events ----

enum class NodeStatus { gone, ready, draining };

// An entry of the member list: one node.
struct Member {
  NodeId node = 0;
  int zone = 0;
  int kind = 0;
  int cell = 0;
  NodeStatus status = NodeStatus::ready;
  double rating = 1;
  bool start_known = false;
  Time started{};  // valid if start_known
};

enum class MemberListForm {
  delta,   // changed entries only
  full,    // all entries; nodes that are missing are gone
  saved,   // all entries, from a saved copy that may be out of date
  failed,  // no list: the subscription ended
};

struct MembersChanged {
  MemberListForm form = MemberListForm::delta;
  std::uint32_t version = 0;
  std::shared_ptr<const std::vector<Member>> members;  // null when form is `failed`
};

struct QueryArrived {
  QueryId query = 0;
  std::uint32_t ordinal = 0;  // the query's parts carry the same ordinal
  int cls = 0;                // index into Settings::classes
  int tenant = 0;
  std::uint64_t key = 0;  // 0 = none
  Time deadline{};        // the client stops waiting for this try
  bool cost_known = false;
  Duration cost{};  // work of the query; valid if cost_known
  int parts = 0;    // number of PartArrived events that follow
  bool repeat = false;
  bool write = false;
};

struct PartArrived {
  PartId part = 0;
  std::uint32_t ordinal = 0;  // of the query
  int shard = 0;
  double weight = 0;  // share of its step's weight
  std::uint64_t key = 0;
  bool cost_known = false;
  Duration cost{};
};

enum class Outcome {
  error,
  ok,
  refused,  // the node turned the attempt away; it was not executed
  timeout,
  connect_failed,  // the attempt was not executed
  reset,           // the connection broke; the attempt may have been executed
  cancelled,
  not_sent,  // the host dropped the attempt before it was sent
};

struct AttemptEnded {
  PartId part = 0;
  NodeId node = 0;
  int attempt = 0;  // index among the part's attempts
  Outcome outcome = Outcome::error;
  Duration took{};
  bool part_open = false;
  std::vector<double> report;  // values in the order of Settings::report_fields, or empty
};

// The first bytes of an attempt's answer have arrived.
struct StreamStarted {
  PartId part = 0;
  NodeId node = 0;
  int attempt = 0;
  Duration took{};
};

struct ProbeEnded {
  NodeId node = 0;
  Outcome outcome = Outcome::error;
  Duration took{};
  std::vector<double> report;
};

struct ClientDisconnected {
  QueryId query = 0;
};

struct TimerFired {
  std::uint64_t token = 0;  // of the SetTimer action
};

struct PeerMessage {
  std::uint32_t from = 0;
  std::string payload;
};

using Event = std::variant<MembersChanged, QueryArrived, PartArrived, AttemptEnded, StreamStarted, ProbeEnded,
                           ClientDisconnected, TimerFired, PeerMessage>;

// ---- actions ----

// Sends a new attempt of a part to a node.
struct SendPart {
  PartId part = 0;
  NodeId node = 0;
  Duration max_wait{};  // 0 = as long as the client waits
};
struct CancelAttempt {
  PartId part = 0;
  int attempt = 0;
};
// Answers a query with the parts that have been answered.
struct AnswerQuery {
  QueryId query = 0;
  bool whole = false;
};
// Refuses a query; the client may send it again.
struct RefuseQuery {
  QueryId query = 0;
  Duration retry_after{};  // 0 = no advice
};
// Fails a query of which a non-idempotent part may have been executed.
struct FailQuery {
  QueryId query = 0;
};
struct ProbeNode {
  NodeId node = 0;
};
struct SendToPeer {
  std::uint32_t to = 0;  // all bits set: every other broker
  std::string payload;
};
struct FetchMembers {};
struct SubscribeMembers {
  bool on = true;
};
struct SetTimer {
  Duration after{};
  std::uint64_t token = 0;
};
struct DropIdleConnections {
  NodeId node = 0;
};
struct LogLine {
  std::string text;
};

using Action =
    std::variant<SendPart, CancelAttempt, AnswerQuery, RefuseQuery, FailQuery, ProbeNode, SendToPeer,
                 FetchMembers, SubscribeMembers, SetTimer, DropIdleConnections, LogLine>;

// Decides for one broker. Instances share no state; time comes only from `now` and randomness only from the
// seed, so the same calls give the same actions.
class Policy {
 public:
  virtual ~Policy() = default;
  // Handles the events of one batch, in order, and appends the actions to take, in order.
  virtual void handle(Time now, const std::vector<Event>& events, std::vector<Action>& actions) = 0;
};

std::unique_ptr<Policy> make_policy(const Settings& settings, std::uint64_t seed);

}  // namespace pearspar
