// The dispatcher turns client requests into calls to nodes and the results of the calls into one response for
// each request. It combines routing, shard weights, coverage, load shedding, load balancing and the retry
// budget. It does no I/O; callers pass the current time.
#pragma once

#include <cstdint>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "dispatch/coverage_control.h"
#include "dispatch/load_shedder.h"
#include "dispatch/request.h"
#include "dispatch/retry_budget.h"
#include "dispatch/route_statistics.h"
#include "dispatch/shard_weights.h"
#include "dispatch/version_selector.h"

namespace pearspar::dispatch {

// Sends calls to nodes. Implemented by the connection layer.
class NodeClient {
 public:
  virtual ~NodeClient() = default;
  // Starts a call. False if no connection to the node is available; otherwise Dispatcher::call_ended()
  // follows, but never from within this call.
  virtual bool start(CallId call, const NodeState& node, int max_connections, NodeRequest request,
                     Time deadline) = 0;
  // Cancels a call whose answer is no longer needed. True if the call has ended with its connection, in which
  // case Dispatcher::call_ended() does not follow. A call of which bytes were sent ends only if
  // `even_if_sent`.
  virtual bool cancel(CallId call, bool even_if_sent) = 0;
};

// A request as received from a client. The views are valid only during Dispatcher::submit().
struct ClientRequest {
  std::string_view method;
  std::string_view target;
  std::string_view host;
  std::string_view id;
  double deadline_ms = 0;  // 0 = none given
  Time received_at{};      // when its first byte arrived; the deadline counts from here. Unset means now
  Time read_by{};          // a time after its last byte was read; unset means now
  std::string head;        // request line and header lines to be forwarded, each with its line end
  std::string_view body;
};

struct DispatcherCounters {
  std::uint64_t requests = 0;
  std::uint64_t gathered = 0;                  // requests on routes that gather
  std::uint64_t whole = 0;                     // gathered responses with all parts
  std::uint64_t partial = 0;                   // gathered responses that lack parts
  std::uint64_t single = 0;                    // other responses
  std::uint64_t refused = 0;                   // requests answered without running them
  std::uint64_t given_up = 0;                  // of `refused`: by load shedding
  std::uint64_t failed = 0;                    // requests that failed after they may have run
  std::uint64_t no_route = 0;                  // requests without a matching route
  std::uint64_t calls = 0;                     // calls to nodes
  std::uint64_t second_calls = 0;              // of `calls`: retries and hedged calls
  std::uint64_t unconfirmed_requests = 0;      // accepted while the routes were not confirmed
  std::uint64_t unconfirmed_gathered = 0;      // of those: sent to one shard of a route that gathers
  std::uint64_t unconfirmed_refused = 0;       // of those: refused, since several shards would run them
  std::uint64_t unconfirmed_second_calls = 0;  // of `second_calls`: those of such requests
  std::uint64_t outdated_requests = 0;         // refused since a newer configuration had not been received
  std::uint64_t withheld = 0;                  // retries and hedged calls that the retry budget did not allow
  std::uint64_t not_run = 0;                   // calls that the node reports as not run
  std::uint64_t misdirected = 0;               // calls that reached another node
  std::uint64_t no_connection = 0;
  std::uint64_t broken = 0;
  std::uint64_t late = 0;       // calls still open at the latency target
  std::uint64_t cancelled = 0;  // calls cancelled because the client disconnected
};

class Dispatcher {
 public:
  explicit Dispatcher(NodeClient& node_client) : node_client_(node_client) {}

  void set_routes(std::shared_ptr<const RouteTable> routes) { routes_ = std::move(routes); }
  // Until when the routes are known to be those in force; at first they are not. Requests accepted at other
  // times go to one service and are not repeated, since a newer configuration may not allow it.
  void set_routes_confirmed_until(Time until) { routes_confirmed_until_ = until; }
  bool routes_confirmed(Time now) const { return now <= routes_confirmed_until_; }
  // From when on the routes are known to have been replaced for too long: requests that arrive later are
  // refused. Time::max() where no newer ones are known.
  void set_routes_outdated_from(Time from) { routes_outdated_from_ = from; }
  // Whether the configuration in force is known to be the newest, so that it may refuse requests for good.
  bool routes_are_current(Time now) const { return routes_confirmed(now) && now < routes_outdated_from_; }
  bool routes_were_confirmed() const { return routes_confirmed_until_ != Time::min(); }
  void set_edges(std::uint32_t edges);
  void set_retry_budget(const RetryBudgetRules& rules) { retry_budget_.set_rules(rules); }
  LoadBalancer& load_balancer() { return load_balancer_; }
  // Without one, calls go to nodes of the versions that serve.
  void set_version_selector(VersionSelector& selector) { version_selector_ = &selector; }

  // The route of a request, or null.
  const catalog::Route* route_of(const ClientRequest& request) const {
    return routes_ ? routes_->find(request.host, request.target) : nullptr;
  }
  // Accepts a request. If it is answered at once, `response` is set and the returned id is empty; otherwise
  // the response follows in take_responses().
  RequestId submit(Time now, const ClientRequest& client_request, ClientResponse& response);
  // The client has disconnected: no new calls are made, and calls that are idempotent or not yet sent are
  // cancelled. Other calls run to their end.
  void client_disconnected(RequestId request);
  // Answers every open request at shutdown: with the parts received if they suffice, otherwise with 504 (a
  // node may have run it).
  void finish_open_requests(Time now);
  void call_ended(Time now, CallId call, const CallResult& result);
  // Handles everything that has become due.
  void advance(Time now);
  Time due() const { return due_.empty() ? Time::max() : due_.begin()->first; }

  std::vector<std::pair<RequestId, ClientResponse>> take_responses() { return std::exchange(responses_, {}); }
  std::size_t open_requests() const { return requests_.size(); }
  const DispatcherCounters& counters() const { return counters_; }
  double coverage() const { return coverage_.share(); }
  void set_initial_coverage(double share) { coverage_.set_initial(share); }
  RetryBudget& retry_budget() { return retry_budget_; }
  const FailureLog& failure_log() const { return failure_log_; }
  const LoadShedder& load_shedder() const { return load_shedder_; }

 private:
  struct OpenCall {
    RequestId request;
    std::size_t part = 0;
    NodePtr node;
    Time started{};
    bool outcome_recorded = false;  // for coverage and load shedding
    std::size_t sent_bytes = 0;
  };

  bool plan_parts(Time now, Request& request, ClientResponse& response);
  bool plan_service(Time now, Request& request, ClientResponse& response);
  bool plan_shards(Time now, Request& request, ClientResponse& response);
  ClientResponse unconfirmed_response(const Request& request) const;
  bool admit(Time now, const catalog::Route& route, const std::vector<std::string>& services,
             std::size_t min_parts, ClientResponse& response, const Request& request);
  bool send_call(Time now, RequestId id, std::size_t part);
  bool send_call(Time now, RequestId id, std::size_t part, catalog::NodeGroup group, bool first_call);
  catalog::NodeGroup main_group(Time now, const std::string& service) const;
  bool is_responsive(Time now, const std::string& service) const;
  void report_version(Time now, const OpenCall& call, const CallResult& result);
  void count_second_call(const Request& request);
  void cancel_calls(Part& part, bool even_if_sent);
  void settle_part(Time now, RequestId id, std::size_t part, const CallResult& result);
  void check_gathered(Time now, RequestId id);
  void finish(Time now, RequestId id, ClientResponse response);
  ClientResponse merged_response(Request& request);
  ClientResponse node_response(const Request& request, const CallResult& result, int status) const;
  ClientResponse refusal_response(const Request& request, Reason reason) const;
  ClientResponse failure_response(Time now, const Request& request) const;
  void log_failure(Time now, const Request& request, const ClientResponse& response);
  void schedule(RequestId id, Request& request);
  void send_hedged_calls(Time now, RequestId id);
  void mark_late_calls(Time now, Request& request);
  void release_if_finished(RequestId id);
  void record_outcome(Time now, OpenCall& call, bool bad);
  int max_connections(const Request& request, const std::string& service) const;

  NodeClient& node_client_;
  VersionSelector* version_selector_ = nullptr;
  std::shared_ptr<const RouteTable> routes_;
  Time routes_confirmed_until_ = Time::min();
  Time routes_outdated_from_ = Time::max();
  LoadBalancer load_balancer_;
  ShardWeights weights_;
  CoverageControl coverage_;
  LoadShedder load_shedder_;
  RouteStatistics route_statistics_;
  RetryBudget retry_budget_;
  std::uint32_t edges_ = 1;
  bool shutting_down_ = false;
  std::uint64_t sequence_ = 0;
  net::SlotTable<Request> requests_;
  net::SlotTable<OpenCall> open_calls_;
  std::set<std::pair<Time, RequestId>> due_;
  std::vector<std::pair<RequestId, ClientResponse>> responses_;
  DispatcherCounters counters_;
  FailureLog failure_log_;
};

}  // namespace pearspar::dispatch
