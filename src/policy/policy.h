// The interface of pearspar's decision module: what it is told at start, what it may learn later and what it
// may ask for. The module itself is policy.cpp; whoever hosts it (the bench adapter or the broker)
// translates between these types and its own wire. Nothing here decides anything.
#pragma once

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>
#include <variant>
#include <vector>

namespace pearspar {

using Duration = std::chrono::duration<double>;
using Time = std::chrono::time_point<std::chrono::steady_clock, Duration>;
using NodeId = std::uint32_t;
using QueryId = std::uint32_t;
using PartId = std::uint32_t;

enum class Idempotency { idempotent, deduplicated, non_idempotent };

struct ClassSettings {
  std::string name;
  Duration latency_target{};           // an answer within this earns its full worth
  double latency_target_per_work = 0;  // extra time on the latency_target, as a multiple of the query's work
  Duration client_timeout{};           // how long a client waits in all, over all its tries
  double worth = 0;
  double late_worth = 0;  // share of the worth that is left between latency_target and give-up
  Idempotency idempotency = Idempotency::idempotent;
  Duration dedup_window{};    // deduplicated: repeats are dropped for so long after the first attempt
  double min_coverage = 1;    // least share of the weight for any answer
  double whole_coverage = 1;  // share of the weight that makes a whole answer
  double partial_worth = 0;   // an answer that is not whole earns this x share / whole_coverage
  int fetch_parts = 0;        // parts of a second step; 0 = one step only
};

struct TenantSettings {
  std::string name;
  double quota_per_s = 0;
  double share = 0;
};

enum class ReportSource { none, piggyback, pull };
enum class RatingKind { none, nominal, rough, live };
enum class ReportField { unknown, outstanding, backlog, utilization, recent_ms, throughput, errors_per_s };

struct Settings {
  int broker_index = 0;  // this broker's number among `broker_count`
  int broker_count = 1;
  int zone = 0;
  std::vector<ClassSettings> classes;
  std::vector<TenantSettings> tenants;
  double over_share_worth = 1;
  bool worth_by_work = false;
  bool clients_mark_retries = false;
  bool membership_by_subscription = false;

  int cells = 1;  // shard s is held by cells (s + j) mod cells, j in [0, cells_per_shard)
  int cells_per_shard = 1;
  int shards = 0;
  int parts_per_call = 1;  // sends to one node in one batch share a call, up to so many
  Duration call_cost{};    // node work that a call costs beside its parts
  bool warm_keys = false;

  bool may_cancel = false;
  bool may_probe = false;
  bool may_message_peers = false;
  bool may_hedge = false;  // a part may have two attempts out at once
  bool may_send_retry_after = false;
  Duration max_retry_after{};
  Duration connect_timeout{};
  int max_attempts = 1;           // for one part
  int max_open = 0;               // queries and parts held at once
  Duration min_batch_interval{};  // batches come at most this often

  Duration answer_slack{};
  Duration drain_grace{};
  Duration subscribe_within{};
  double cold_load_multiple = 0;
  Duration cold_load_window{};
  double cold_start_capacity = 1;
  Duration warm_up_time{};
  bool has_retry_budget = false;
  double retry_budget_base = 0;
  double retry_budget_ratio = 0;
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

struct Member {
  NodeId node = 0;
  int zone = 0;
  int kind = 0;
  int cell = 0;
  NodeStatus status = NodeStatus::ready;
  double rating = 1;
  bool start_known = false;
  Time started{};
};

enum class MemberListForm { delta, full, saved, failed };

struct MembersChanged {
  MemberListForm form = MemberListForm::delta;
  std::uint32_t version = 0;
  std::shared_ptr<const std::vector<Member>> members;  // null when form is `failed`
};

struct QueryArrived {
  QueryId query = 0;
  std::uint32_t ordinal = 0;  // ties later parts to this query
  int cls = 0;
  int tenant = 0;
  std::uint64_t key = 0;  // 0 = none
  Time deadline{};        // the client stops waiting for this try
  bool cost_known = false;
  Duration cost{};
  int parts = 0;  // how many parts follow
  bool repeat = false;
  bool write = false;
};

struct PartArrived {
  PartId part = 0;
  std::uint32_t ordinal = 0;
  int shard = 0;
  double weight = 0;  // share of its step's weight
  std::uint64_t key = 0;
  bool cost_known = false;
  Duration cost{};
};

enum class Outcome { error, ok, refused, timeout, connect_failed, reset, cancelled, not_sent };

struct AttemptEnded {
  PartId part = 0;
  NodeId node = 0;
  int attempt = 0;
  Outcome outcome = Outcome::error;
  Duration took{};
  bool part_open = false;
  std::vector<double> report;  // values in the order of Settings::report_fields, or empty
};

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
  std::uint64_t token = 0;
};

struct PeerMessage {
  std::uint32_t from = 0;
  std::string payload;
};

using Event = std::variant<MembersChanged, QueryArrived, PartArrived, AttemptEnded, StreamStarted, ProbeEnded,
                           ClientDisconnected, TimerFired, PeerMessage>;

// ---- actions ----

struct SendPart {
  PartId part = 0;
  NodeId node = 0;
  Duration max_wait{};  // 0 = as long as the client waits
};
struct CancelAttempt {
  PartId part = 0;
  int attempt = 0;
};
struct AnswerQuery {
  QueryId query = 0;
  bool whole = false;
};
struct RefuseQuery {
  QueryId query = 0;
  Duration retry_after{};  // 0 = no advice
};
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

// One broker's decisions. All state is the instance's own; time comes only from `now`, randomness only from
// the seed, so the same calls give the same actions.
class Policy {
 public:
  virtual ~Policy() = default;
  // Handles the events of one batch, in order, and appends the actions to take, in order.
  virtual void handle(Time now, const std::vector<Event>& events, std::vector<Action>& actions) = 0;
};

std::unique_ptr<Policy> make_policy(const Settings& settings, std::uint64_t seed);

}  // namespace pearspar
