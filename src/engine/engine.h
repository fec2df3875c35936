// Runs queries under a dispatch policy: keeps their parts and attempts, passes incoming events to the policy
// in batches and carries out its actions through the ports. Performs no I/O, reads no clock and makes no
// dispatch decisions itself.
//
// Invariants between calls: each accepted query is open or has been answered once; each attempt ends exactly
// once; the ids of open queries are unique. Calls only record events; the policy runs in start() and
// end_turn().
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "engine/ports.h"
#include "membership/members.h"
#include "net/slots.h"
#include "policy/policy.h"

namespace pearspar::engine {

// Totals since the start of the process.
struct Counters {
  std::uint64_t queries = 0;  // accepted; each ends as one of the next six
  std::uint64_t whole = 0;
  std::uint64_t partial = 0;
  std::uint64_t refused = 0;
  std::uint64_t failed = 0;
  std::uint64_t clients_left = 0;
  std::uint64_t out_of_time = 0;   // still open at their deadline
  std::uint64_t turned_away = 0;   // rejected before the policy: `max_open` reached
  std::uint64_t attempts[8] = {};  // ended attempts by Outcome
  std::uint64_t sends = 0;
  std::uint64_t probes = 0;
  std::uint64_t batches = 0;
};

// Zone and kind names of the member list; the policy sees their indices.
struct Names {
  std::vector<std::string> zones;
  std::vector<std::string> kinds;
};

// One part of a requested query.
struct QueryRequestPart {
  int shard = 0;
  double weight = 0;
  std::uint64_t key = 0;  // 0 = none
  bool cost_known = false;
  Duration cost{};
};

// A client's query as it is submitted to the engine.
struct QueryRequest {
  ClientId client = 0;
  std::string id;    // unique among open queries
  std::string text;  // sent with each part
  int cls = 0;
  int tenant = 0;
  net::Time deadline{};
  bool repeat = false;
  std::vector<QueryRequestPart> parts;
};

class Engine {
 public:
  enum class Admission {
    accepted,
    full,         // `max_open` queries and parts are open
    duplicate_id  // a query with that id is open
  };

  Engine(const Settings& settings, Names names, std::unique_ptr<Policy> policy, const Ports& ports);

  // Loads the saved member list; called before any other list arrives.
  void restore_members(net::Time now, const membership::MemberList& saved);
  // Runs the policy's first batch, in which it may fetch or subscribe to the member list.
  void start(net::Time now);
  Admission submit(net::Time now, QueryRequest request);
  void client_left(net::Time now, ClientId client);
  void attempt_ended(const AttemptEnd& end, std::vector<double> report);
  void probe_ended(const ProbeEnd& end, std::vector<double> report);
  void members_told(net::Time now, const membership::MemberList& list);
  void members_failed();

  // Handles deadlines and policy timers that are due.
  void tick(net::Time now);
  // Passes recorded events to the policy if the minimum batch interval has elapsed.
  void end_turn(net::Time now);
  // When to call tick() and end_turn() next if no event arrives before.
  net::Time due() const;

  std::size_t open() const { return queries_.size(); }
  std::size_t open_parts() const { return parts_.size(); }
  std::size_t nodes() const { return nodes_.size(); }
  // Whether any node has ever been known.
  bool ready() const { return ready_; }
  const Counters& counters() const { return counters_; }

 private:
  struct Part {
    PartId id = 0;
    int shard = 0;
    int attempts = 0;
    bool in = false;
    std::string value;
  };
  struct Query {
    ClientId client = 0;
    std::string id;
    std::string text;
    net::Time deadline{};
    std::vector<Part> parts;
  };
  struct PartPosition {
    QueryId query = 0;
    std::size_t index = 0;
  };
  struct KnownNode {
    NodeId number = 0;
    Member member;
    net::Time gone_at{};
  };
  struct Send {
    Part* part = nullptr;
    Query* query = nullptr;
    int attempt = 0;
    net::Time give_up_at{};
  };

  void apply_list(const membership::MemberList& list, MemberListForm form);
  Member member_of(const membership::Entry& entry) const;
  void mark_gone(KnownNode& node);
  void forget_gone();
  void out_of_time(QueryId id);
  bool has_events() const { return !events_.empty() || !member_events_.empty(); }
  void run_batch();

  void act(const SendPart& send);
  void act(const CancelAttempt& cancel);
  void act(const AnswerQuery& answer);
  void act(const RefuseQuery& refuse);
  void act(const FailQuery& fail);
  void act(const ProbeNode& probe);
  void act(const SendToPeer& tell);
  void act(const FetchMembers& fetch);
  void act(const SubscribeMembers& subscribe);
  void act(const SetTimer& timer);
  void act(const DropIdleConnections& drop);
  void act(const LogLine& line);

  void flush_sends();
  void flush_node(NodeId node, std::vector<Send>& sends);
  Query* find(QueryId id);
  // Ends a query: releases its slot and parts and, if `result` is set, answers its client.
  void end_query(QueryId id, const Result* result);

  Settings settings_;
  Names names_;
  std::unique_ptr<Policy> policy_;
  Ports ports_;
  net::Time now_{};  // time of the current call

  std::vector<Event> member_events_;  // first in the next batch
  std::vector<Event> events_;
  net::Time last_batch_{};
  std::multimap<net::Time, std::uint64_t> timers_;  // tokens of policy timers
  std::set<std::pair<net::Time, QueryId>> deadlines_;

  net::SlotTable<Query> queries_;
  std::unordered_map<QueryId, net::SlotId> query_slots_;
  std::map<ClientId, QueryId> by_client_;
  std::set<std::string_view> open_ids_;             // views of Query::id
  std::unordered_map<PartId, PartPosition> parts_;  // parts of open queries
  std::uint32_t last_id_ = 0;                       // of queries and parts
  std::uint32_t last_ordinal_ = 0;
  std::map<NodeId, std::vector<Send>> sends_;  // of the current batch, not yet sent

  std::map<std::string, KnownNode, std::less<>> nodes_;
  NodeId last_node_ = 0;
  bool ready_ = false;
  Counters counters_;
};

}  // namespace pearspar::engine
