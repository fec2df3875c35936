// A whole system in one process and simulated time: members of the core on simulated disks, edges with their
// desks, index servers that beat, work, fail and leave, operators and clients. The code of the system is the
// one that runs in service; only sockets, disks and clocks are the rig's.
#pragma once

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "control_plane/member.h"
#include "dispatch/dispatcher.h"
#include "edge_gateway/edge_gateway.h"
#include "rollout/rollout_ledger.h"
#include "simulation/auditor.h"
#include "simulation/call_judge.h"
#include "simulation/checker.h"
#include "simulation/disk.h"
#include "simulation/lag_judge.h"
#include "simulation/net.h"
#include "simulation/processor.h"
#include "simulation/rollout_judge.h"
#include "simulation/streams.h"
#include "simulation/strikes.h"
#include "simulation/version_fault.h"
#include "subscription/follower.h"

namespace pearspar::altavia {
class ReverseProxy;
}

namespace pearspar::simulation {

struct ClusterOptions {
  int cores = 3;
  int edges = 8;
  int shards = 4;  // of the gathered route
  int nodes_per_shard = 4;
  int plain_nodes = 84;  // of the service that is asked alone
  int slots = 3;
  double sync_s = 0.0005;
  double requests_per_s = 0;  // by all clients together
  std::uint64_t seed = 1;
  bool lying_disks = false;  // they say that they have synced; for the table of guards
  double beat_s = 1.2;
  double retry_ratio = 0.2;
  double retry_slack = 56;
  bool shared_budget = true;    // the leader hands out tokens of the slack
  int more_routes = 0;          // in each configuration, beside the two that are asked
  bool lookups = false;         // two gathered requests in seven are on a route of their own
  bool ask_the_living = false;  // operators call members that are up; else any
  // Retrievals under an allowance: the configuration's "allowances", as JSON; empty = none.
  std::string allowances;
  std::vector<std::string> holders;  // that retrieve
  double retrievals_per_s = 0;
  bool http = false;  // clients and nodes speak to edges in bytes; else the dispatcher is called by itself
  double first_edge = 0;  // share of the requests that go to the first edge beside its own part
  int operators = 2;
  double clock_drift = 0;     // members' clocks run up to this part of their speed apart
  double disk_bytes_s = 0;    // beside each sync; 0 = bytes cost nothing
  std::size_t fat_note = 0;   // bytes of a note in each configuration
  double bandwidth = 0;       // of a member, in and out, bytes a second; 0 = without bounds
  double edge_bandwidth = 0;  // of an edge
  // About so many bytes of accounts are in the state from the start: members find them on their disks, as if
  // the core had lived before. (In service edges' reports make them; the rig would need hours of traffic.)
  std::size_t ballast = 0;
  // An edge in touch that goes by an older configuration so long after an acknowledgement breaks CONFIG:
  // `configWithinMs` of the small deployments.
  double config_within_s = 3;
  // Of the processes of members and edges: what work takes on a whole processor, and their shares of one.
  ProcessorCosts processor_costs;
  double core_processor_share = 1;
  double edge_processor_share = 1;
};

class Cluster {
 public:
  explicit Cluster(const ClusterOptions& options);
  ~Cluster();

  World& world() { return world_; }
  Net& net() { return net_; }
  Checker& checker() { return checker_; }
  void run(double seconds) { world_.run_until(world_.now() + Duration(seconds)); }

  // Members of the core, by place.
  std::size_t cores() const { return cores_.size(); }
  std::size_t member_count() const { return static_cast<std::size_t>(options_.cores); }
  bool core_up(std::size_t core) const;
  void kill_core(std::size_t core, double back_s, bool power = false);
  void wipe_core(std::size_t core, double back_s);
  void freeze_core(std::size_t core, double for_s);
  // Stands still in the middle of its next turn in which somebody waits for its answer: so many looks at its
  // clock after the turn's begin. What it says after that leaves when it goes on.
  void freeze_core_at(std::size_t core, int looks, double for_s);
  // Stands still just after a look at its clock, and takes the calls that come meanwhile by that look: what
  // it decides on them is late. (In service the clock is read after each message; this is the harder case.)
  void freeze_core_look(std::size_t core, double for_s);
  // Each event of it takes so long from now on.
  void slow_core(std::size_t core, double event_s, double for_s);
  // Whoever starts on its machine from now on has another time of day.
  void step_clock(std::size_t core, double by_s);
  // When its disk was last empty.
  double disk_since(std::size_t core) const;
  bool core_gone(std::size_t core) const;
  // SIGTERM: it hands over and ends when it says so, or when its grace is over. `back_s` below 0: for good,
  // its disk too.
  void stop_core(std::size_t core, double back_s);
  // An empty one at another address, told the seeds.
  void add_core(double after_s);
  SimDisk& disk(std::size_t core);
  // One of the core is gone for good, an empty one comes at another address.
  void replace_core(std::size_t core, double after_s);
  int leader() const;  // its place, -1 = none that may speak
  // Calls of operators and nodes do not get to it, or its answers not to them.
  void cut_callers(std::size_t core, bool in, bool out);
  // So many answers to operators and nodes are lost on their way.
  void lose_answers(double share) { lost_answers_ = share; }
  // Up, awake, in touch with its callers and with a majority of the core that is so too.
  bool core_serves(std::size_t core) const;
  // Whether a majority is so.
  bool majority_serves() const;
  // What a state of the ballast's size costs to get to a member that lacks it, others getting it too.
  double transfer_s() const;
  // Counts, and holds all up to there.
  bool caught_up(std::size_t core, raft::Index commit) const;
  // A member is being sent what it lacks.
  bool transfer_under_way() const;
  // From now on processes are told these; those that run too.
  void set_seeds(std::vector<std::string> seeds);
  // Edges that start from now on are told exactly these, also such as are gone.
  void set_seeds_of_added_edges(std::vector<std::string> seeds) { added_edge_seeds_ = std::move(seeds); }
  std::vector<std::string> seeds_of_added_edges() const {
    return added_edge_seeds_.empty() ? seeds() : added_edge_seeds_;
  }
  // Something is done until then: to the core, so that its answers may take long; to edges.
  void disturbed(double until_s);
  void edges_disturbed(double until_s);
  const control_plane::Member* member(std::size_t core) const;
  std::string core_address(std::size_t core) const;

  std::size_t edges() const { return edges_.size(); }
  void kill_edge(std::size_t edge, double back_s);
  void freeze_edge(std::size_t edge, double for_s);
  // As freeze_edge, but by a fault of its own, which excuses it from nothing.
  void stop_responding(std::size_t edge, double for_s);
  const subscription::Follower* follower(std::size_t edge) const;
  const dispatch::Dispatcher* dispatcher(std::size_t edge) const;
  std::string edge_address(std::size_t edge) const;

  std::size_t nodes() const { return nodes_.size(); }
  void crash_node(std::size_t node, double back_s, bool dark);
  // It never starts again.
  void forbid_node(std::size_t node);
  void slow_node(std::size_t node, double factor, double for_s);
  void leave_node(std::size_t node, double back_s);
  // Sends DELETE without being closing before, and serves for so long.
  void retire_node(std::size_t node, double serves_s);
  // Its next call goes to that member.
  void send_node_to(std::size_t node, std::size_t core);
  std::string node_service(std::size_t node) const;
  std::string node_address(std::size_t node) const;

  // The HTTP sides' troubles, with `http`.
  Strikes& strikes() { return strikes_; }
  Streams& streams() { return streams_; }
  const CallJudge& calls() const { return calls_; }
  std::uint64_t misplaced() const { return misplaced_; }
  // Of answers to clients in bytes, by kind of request and status.
  struct Heard {
    std::uint64_t count = 0;
    double longest_s = 0;
  };
  const std::map<std::string, Heard>& heard() const { return heard_; }
  const altavia::ReverseProxy* door(std::size_t edge) const;

  // An operator's change on top of the newest revision it has seen; told to any member, again until it is
  // clear.
  void change(int operator_number);
  void read_back();
  // One order, as it is, until there is a clear answer.
  struct Order {
    int author = 0;
    std::uint64_t on_top_of = 0;
    std::uint64_t revision = 0;
    int first = -1;           // whom it goes to first; -1 = any
    bool only_there = false;  // and again and again
    double every_s = 0;       // asked again so often; 0 = with a pause that grows
    std::string from;         // the operator's place on the net, an address; empty = reaches everybody
  };
  // False where as many as may be are under way.
  bool order(const Order& order);
  // The same order to each member at once, beside its usual way.
  bool order_everywhere(const Order& order);
  std::uint64_t newest_seen(int operator_number) const;
  // Told of each clear answer to an operator.
  std::function<void(int member, int status)> order_ended = [](int, int) {};
  // Told of the time in which an order had no clear answer although the members that it was sent to could
  // have given one.
  std::function<void(double began, double waited)> order_waited = [](double, double) {};
  // An operator orders that a service is moved to servers of another version, which start when the order is
  // acknowledged, as many as serve it, and reads its state until it has ended. Returns the order's number.
  std::size_t order_rollout(const RolloutOrder& order, const VersionFault& fault = {});
  void read_rollout(const std::string& service);
  bool rollout_under_way(const std::string& service) const {
    return rollout_judge_.under_way(seconds(), service);
  }
  // Servers of a version start, ordered or not. Returns the place of the first.
  std::size_t start_version(const std::string& service, const std::string& version, int count,
                            const VersionFault& fault = {});
  RolloutJudge& rollout_judge() { return rollout_judge_; }
  std::string node_version(std::size_t node) const;
  // The node answers like that from now on.
  void set_node_fault(std::size_t node, const VersionFault& fault);
  bool node_up(std::size_t node) const;
  // The index is cut into other shards, by a change.
  void cut_index(int shards);

  // Cuts a machine off from the core's other machines, those that come later too; `all`: from edges as well.
  void cut_off(const std::string& address, bool in, bool out, bool all = false);
  // Also from the edges that stand in other zones: every second one.
  void cut_far_edges(const std::string& address, bool in, bool out);
  // Some of a machine's links are reset.
  void reset_links(std::size_t core, double share);
  void heal(const std::string& address);
  void heal_all();

  struct Totals {
    std::uint64_t asked = 0, served = 0, whole = 0, refused = 0, failed = 0;
    std::uint64_t changes_taken = 0, changes_refused = 0, unclear = 0;
  };
  const Totals& totals() const { return totals_; }
  // Of all clients together, from the next request on.
  void set_request_rate(double requests_per_s) { options_.requests_per_s = requests_per_s; }
  // One retrieval, asked for at so many edges at once.
  void retrieve_one(const std::string& holder, bool gathers, int copies);
  void stop_retrieving() { retrieving_ = false; }
  void set_allowances(const std::string& json) { options_.allowances = json; }
  // Routes beside the two that are asked, from the next change on.
  void set_more_routes(int routes) { options_.more_routes = routes; }
  const Auditor& auditor() const { return auditor_; }
  const LagJudge& lag_judge() const { return lag_judge_; }
  std::vector<std::string> audit(const std::vector<Auditor::Limit>& limits, bool exactly) const;
  const edge_gateway::EdgeGateway* gateway(std::size_t edge) const;
  // Told whenever an edge routes by another revision.
  std::function<void(std::size_t edge, std::uint64_t revision)> edge_told = [](std::size_t, std::uint64_t) {};
  std::vector<std::string> seeds() const;
  bool edge_in_touch() const;
  // After everything was mended: what must be so a while later.
  void check_settled();
  double seconds() const { return world_.now().time_since_epoch().count(); }

 private:
  struct Core;
  struct Edge;
  struct Node;
  struct NodeServer;
  struct Clients;
  struct Operator;
  struct Sent;
  struct SentRollout;
  struct Retrieval;
  using Answer = std::function<void(int status, const std::string& body)>;  // status 0 = none came

  void start_core(Core& core);
  void equip(Core& core);
  void lay_ballast();
  void start_edge(Edge& edge);
  Node& add_node(const std::string& service);
  void start_node(Node& node);
  Reach reach(const std::string& address);
  void beat(Node& node);
  void send_delete(Node& node);
  // A caller that waits for `waits_s` closes its connection then: who reads the call later drops it, as the
  // HTTP server does. 0: it stays.
  void call(std::string from, std::size_t core, std::string method, std::string path, std::string if_match,
            std::string body, Answer answer, double waits_s = 0);
  std::size_t member_to_ask();
  std::string configuration(std::uint64_t revision, int author) const;
  std::shared_ptr<Sent> make_order(const Order& order);
  void push(const std::shared_ptr<Sent>& sent);
  void answered(const std::shared_ptr<Sent>& sent, int member, int status);
  void count_wait(const std::shared_ptr<Sent>& sent, std::size_t member, bool served);
  void push_rollout(const std::shared_ptr<SentRollout>& sent);
  void follow_rollout(const std::shared_ptr<SentRollout>& sent);
  void stop_servers(const std::string& service, const std::string& kept);
  void drain_servers(const std::string& service, const std::string& version);
  // A request reaches a node.
  void arrived(Node& node, const std::string& id);
  // Whether this answer of the node's version is a failure.
  bool answers_badly(Node& node, const std::string& target);
  // Asked after each step of a member: it may die before a request reaches a server.
  void note_decisions(const control_plane::Member& member);
  double calm_seconds(double since) const;
  // An operator has this answer to its change.
  void change_answered(const Order& order, const std::string& text, int status);
  // Tells the judge of lags, again and again, who is out of touch now, and lets it judge.
  void judge_lags();
  bool is_running(const Core& core) const;
  std::vector<const Core*> members_with_majority() const;
  bool reaches_both_ways(const std::string& one, const std::string& other) const;
  void touched(const std::string& address);
  void cut(const std::string& address, const std::string& other);
  double settled_at() const;
  void judge_wait(const std::shared_ptr<Sent>& sent);
  void end_core(Core& core, bool silently);
  void finish_stop(Core& core, double asked, double back_s, std::shared_ptr<bool> alive);
  void ask();
  // A client's request by its name and path, and further lines of its head.
  void request(Edge& edge, const std::string& id, const std::string& target, const std::string& lines,
               const edge_gateway::QuotaIdentity& quota_identity);
  void count_for_services(Edge& edge, const std::string& id, const std::string& target);
  // What its client hears in the end; `stamps` and `missing` of a gathered answer.
  void heard(const std::string& id, int status, const std::string& stamps, const std::string& missing,
             const std::string& body);
  // One of the node's slots works, or will: `begins`, then `done`, unless the node ends before. False where
  // too many wait.
  bool work(Node& node, std::function<void()> begins, std::function<void()> done, std::function<void()> lost,
            double factor = 1);
  // A node's whole answer to `id`, as the judges are told of it.
  struct Made {
    std::string stamp, body;
  };
  Made make_answer(const Node& node, const std::string& id, bool good);
  void end_node(Node& node, bool dark);
  void retrieve();
  void try_retrieval(const std::shared_ptr<Retrieval>& retrieval);

  ClusterOptions options_;
  World world_;
  Net net_;
  Streams streams_{world_};
  Strikes strikes_{world_};
  Checker checker_;
  CallJudge calls_{[this](const std::string& rule, const std::string& what) { checker_.broken(rule, what); }};
  RolloutJudge rollout_judge_{
      [this](const std::string& rule, const std::string& what) { checker_.broken(rule, what); }};
  std::set<rollout::RolloutNumber> decided_rollouts_;  // that the judge was told of
  LagJudge lag_judge_;
  std::vector<std::unique_ptr<Core>> cores_;
  std::vector<std::unique_ptr<Edge>> edges_;
  std::vector<std::unique_ptr<Node>> nodes_;
  std::vector<std::unique_ptr<Operator>> operators_;
  std::unique_ptr<Clients> clients_;
  std::vector<std::string> shards_;  // as the newest change names them
  std::vector<std::string> services_;
  std::unordered_map<std::string, std::vector<std::string>> records_;  // by stamp
  std::unordered_map<std::string, std::string> stamp_services_;
  Totals totals_;
  Auditor auditor_;
  bool retrieving_ = true;
  std::uint64_t next_key_ = 0;
  std::unordered_map<std::string, std::function<void(int status)>> ended_;  // by request
  Time calm_since_{};                                     // nothing was done to edges or the core since
  Time core_calm_since_{};                                // nor to the core
  std::map<std::string, std::deque<Time>> service_load_;  // arrivals of the last second
  double lost_answers_ = 0;
  std::size_t orders_open_ = 0;
  struct CutOff {
    bool in = false, out = false, all = false;
  };
  std::map<std::string, CutOff> cut_off_;
  std::vector<std::string> added_edge_seeds_;
  std::vector<std::string> told_seeds_;  // empty = the first that stand
  std::uint64_t next_request_ = 0;
  std::map<std::string, Heard> heard_;
  std::uint64_t misplaced_ = 0;  // calls that met another node than the one they name
  std::uint64_t next_change_ = 0;
  int next_address_ = 10;
};

}  // namespace pearspar::simulation
