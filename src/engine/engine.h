// Queries, parts, attempts and the batches of the module between them. Free of I/O and given the time: what
// comes in becomes the module's events, its actions go out through the ports. Nothing here decides.
//
// Between calls: every query that was taken is open or has been answered once; every attempt that was sent
// has one end; the ids of the open queries differ. Calls only note what happened; the module runs in
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

struct Counters {
  std::uint64_t queries = 0;  // taken in: each of them ends in one of the next six
  std::uint64_t whole = 0;
  std::uint64_t partial = 0;
  std::uint64_t refused = 0;
  std::uint64_t failed = 0;
  std::uint64_t clients_left = 0;
  std::uint64_t out_of_time = 0;   // the module had not ended them by their deadline
  std::uint64_t turned_away = 0;   // before the module: all places were taken
  std::uint64_t attempts[8] = {};  // ended, by Outcome
  std::uint64_t sends = 0;
  std::uint64_t probes = 0;
  std::uint64_t batches = 0;
};

// The names by which zones and kinds stand in a list, in the order of the module's numbers.
struct Names {
  std::vector<std::string> zones;
  std::vector<std::string> kinds;
};

struct QueryRequestPart {
  int shard = 0;
  double weight = 0;
  std::uint64_t key = 0;  // 0 = none
  bool cost_known = false;
  Duration cost{};
};

struct QueryRequest {
  ClientId client = 0;
  std::string id;    // differs from those of all open queries
  std::string text;  // what each part carries
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
    full,         // `max_open` queries and parts are held: to be refused by whoever asks
    duplicate_id  // a query of that id is open
  };

  Engine(const Settings& settings, Names names, std::unique_ptr<Policy> policy, const Ports& ports);

  // The list as it was last had, before any other.
  void restore_members(net::Time now, const membership::MemberList& saved);
  // The module's first batch: where the list does not come by itself, it asks for it.
  void start(net::Time now);
  Admission submit(net::Time now, QueryRequest arrival);
  void client_left(net::Time now, ClientId client);
  void attempt_ended(const AttemptEnd& end, std::vector<double> report);
  void probe_ended(const ProbeEnd& end, std::vector<double> report);
  void members_told(net::Time now, const membership::MemberList& list);
  void members_failed();

  // Deadlines and the module's timers that have come due.
  void tick(net::Time now);
  // Hands the module what has come in, if its time has come.
  void end_turn(net::Time now);
  // When tick() or end_turn() has something to do next, if nothing comes in before.
  net::Time due() const;

  std::size_t open() const { return queries_.size(); }
  std::size_t open_parts() const { return parts_.size(); }
  std::size_t nodes() const { return nodes_.size(); }
  // A node was known once.
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
  struct Place {  // of a part
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

  void take_list(const membership::MemberList& list, MemberListForm form);
  Member member_of(const membership::Entry& entry) const;
  void note_gone(KnownNode& node);
  void forget_gone();
  void out_of_time(QueryId id);
  bool something_to_tell() const { return !events_.empty() || !list_news_.empty(); }
  void hand_batch();

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
  // The one place where a query ends: its slot and its parts are given back, and its client is answered.
  void end_query(QueryId id, const Result* result);

  Settings settings_;
  Names names_;
  std::unique_ptr<Policy> policy_;
  Ports ports_;
  net::Time now_{};  // of the call that is being made

  std::vector<Event> list_news_;  // told before all else in their batch
  std::vector<Event> events_;
  net::Time last_batch_{};
  std::multimap<net::Time, std::uint64_t> timers_;  // the module's
  std::set<std::pair<net::Time, QueryId>> deadlines_;

  net::SlotTable<Query> queries_;
  std::unordered_map<QueryId, net::SlotId> query_slots_;
  std::map<ClientId, QueryId> by_client_;
  std::set<std::string_view> open_ids_;      // those of the queries that are open, as slices of theirs
  std::unordered_map<PartId, Place> parts_;  // of open queries
  std::uint32_t last_id_ = 0;                // of queries and parts
  std::uint32_t last_ordinal_ = 0;
  std::map<NodeId, std::vector<Send>> sends_;  // of this batch, not yet written

  std::map<std::string, KnownNode, std::less<>> nodes_;
  NodeId last_node_ = 0;
  bool ready_ = false;
  Counters counters_;
};

}  // namespace pearspar::engine
