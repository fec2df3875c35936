// Puts the decision module between clients, nodes and discovery: what comes in on the sockets becomes its
// events, and its actions are carried out. Nothing here decides.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

#include "clients/front.h"
#include "clients/query.h"
#include "config/config.h"
#include "log/log.h"
#include "membership/switch.h"
#include "net/loop.h"
#include "net/slots.h"
#include "nodelink/links.h"
#include "options/options.h"
#include "policy/policy.h"
#include "registry/registration.h"

namespace pearspar::broker {

struct Counters {
  std::uint64_t queries = 0;  // taken in: each of them ends in one of the next six
  std::uint64_t whole = 0;
  std::uint64_t partial = 0;
  std::uint64_t refused = 0;
  std::uint64_t failed = 0;
  std::uint64_t clients_left = 0;
  std::uint64_t out_of_time = 0;   // the module had not ended them by their deadline
  std::uint64_t turned_away = 0;   // before the module: all places were taken
  std::uint64_t bad_queries = 0;   // before the module: no query, or of an unknown class or tenant
  std::uint64_t attempts[8] = {};  // ended, by Outcome
  std::uint64_t sends = 0;
  std::uint64_t probes = 0;
  std::uint64_t batches = 0;
};

class Broker : clients::FrontUser, nodelink::LinkUser, membership::MembersUser {
 public:
  Broker(net::Loop& loop, log::Logger& log, const config::Config& config, std::unique_ptr<Policy> policy,
         const options::Options& options = {});

  void start();
  // To be called after each turn of the loop: hands the module what has come in.
  void end_turn();

  // A new configuration, whole and checked: what can change while the broker runs takes effect, and a line
  // names what can't.
  void reload(const config::Config& config, const options::Options& options = {});

  // A planned end: queries are taken for a while yet, and what was taken is answered.
  void wind_down();
  bool done() const { return done_; }

  net::Address address() const { return front_.address(); }
  std::string counters_json() const;

 private:
  struct Part {
    PartId id = 0;
    int shard = 0;
    int attempts = 0;
    bool in = false;
    std::string value;
  };
  struct Query {
    net::SlotId connection;
    std::string id;
    std::string text;
    net::Time deadline{};
    net::Timer timer;
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

  // What comes in.
  void request_arrived(net::SlotId connection, const http::Message& message) override;
  void client_left(net::SlotId connection) override;
  void attempt_ended(const nodelink::AttemptEnd& end) override;
  void probe_ended(const nodelink::ProbeEnd& end) override;
  bool make_room() override;
  void members_told(const membership::MemberList& list) override;
  void members_failed() override;

  bool answer_own_paths(net::SlotId connection, const http::Message& message);
  void refuse_bad(net::SlotId connection, int status, std::string_view why, std::string_view allow = {});
  void take_query(net::SlotId connection, const clients::Query& asked, int cls, int tenant);
  void take_list(const membership::MemberList& list, ListForm form);
  void make_registration();
  void note_gone(KnownNode& node);
  void forget_gone();
  Member member_of(const membership::Entry& entry);
  void out_of_time(QueryId id);

  // What the module asks for.
  bool something_to_tell() const { return !events_.empty() || !list_news_.empty(); }
  void hand_batch();
  void act(const SendPart& send);
  void act(const CancelAttempt& cancel);
  void act(const AnswerQuery& answer);
  void act(const RefuseQuery& refuse);
  void act(const FailQuery& fail);
  void act(const ProbeNode& probe);
  void act(const TellPeer& tell);
  void act(const FetchMembers& fetch);
  void act(const SubscribeMembers& subscribe);
  void act(const SetTimer& timer);
  void act(const DropIdleConnections& drop);
  void act(const LogLine& line);

  void flush_sends();
  void flush_node(NodeId node, std::vector<Send>& sends);
  Query* find(QueryId id);
  void end_query(QueryId id, const clients::Answer* answer);

  net::Loop& loop_;
  log::Logger& log_;
  config::Config config_;
  options::Options options_;  // of the start
  clients::Front front_;
  nodelink::Links links_;
  membership::Switch members_;
  std::unique_ptr<Policy> policy_;

  std::vector<Event> list_news_;  // told before all else in their batch
  std::vector<Event> events_;
  net::Time last_batch_{};
  net::Timer batch_timer_;
  std::uint64_t last_timer_ = 0;
  std::map<std::uint64_t, net::Timer> timers_;  // the module's

  net::SlotTable<Query> queries_;
  std::unordered_map<QueryId, net::SlotId> query_slots_;
  std::map<net::SlotId, QueryId> by_connection_;
  std::set<std::string_view> open_ids_;      // those of the queries that are open, as slices of theirs
  std::unordered_map<PartId, Place> parts_;  // of open queries
  std::uint32_t last_id_ = 0;                // of queries and parts
  std::uint32_t last_ordinal_ = 0;
  std::map<NodeId, std::vector<Send>> sends_;  // of this batch, not yet written

  std::map<std::string, int, std::less<>> classes_;
  std::map<std::string, int, std::less<>> tenants_;
  std::map<std::string, KnownNode, std::less<>> nodes_;
  NodeId last_node_ = 0;
  bool ready_ = false;
  bool done_ = false;
  bool winding_down_ = false;
  bool listening_ended_ = false;
  net::Timer wind_down_timer_;
  std::unique_ptr<registry::Registration> registration_;  // where the operator asks for one
  Counters counters_;
};

}  // namespace pearspar::broker
