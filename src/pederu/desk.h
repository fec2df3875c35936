// The open requests: what comes in becomes calls to nodes, their endings become one final answer each. Joins
// routes, weights, coverage, the choice of nodes and the allowance; free of I/O, given the time.
#pragma once

#include <cstdint>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "pederu/admission.h"
#include "pederu/allowance.h"
#include "pederu/coverage.h"
#include "pederu/request.h"
#include "pederu/route_book.h"
#include "pederu/weights.h"

namespace pearspar::pederu {

// The desk's way to the nodes.
class Calls {
 public:
  virtual ~Calls() = default;
  // False where no connection is to be had there now. Else desk.ended() follows, never from within this call.
  virtual bool start(CallId call, const KnownNode& node, int most_connections, NodeRequest request,
                     Time end) = 0;
  // Nobody waits for its answer. True where it is over by this, and desk.ended() does not follow: its
  // connection ends. One of which something has been sent ends only with `even_if_sent`.
  virtual bool cancel(CallId call, bool even_if_sent) = 0;
};

// What the desk takes from a client's request; all but the strings' bytes hold during the call only.
struct Arrival {
  std::string_view method;
  std::string_view target;
  std::string_view host;
  std::string_view id;
  double deadline_ms = 0;  // 0 = the client named none
  Time began{};            // its first byte came; its time counts from there. Left out: now
  std::string head;        // lines to be handed on: request line, headers, each with its end
  std::string_view body;
};

struct DeskCounters {
  std::uint64_t requests = 0;
  std::uint64_t gathered = 0;
  std::uint64_t whole = 0;
  std::uint64_t partial = 0;
  std::uint64_t single = 0;
  std::uint64_t refused = 0;
  std::uint64_t given_up = 0;  // of those, since the services were asked for more than they can do
  std::uint64_t failed = 0;
  std::uint64_t no_route = 0;
  std::uint64_t calls = 0;
  std::uint64_t second_calls = 0;
  std::uint64_t withheld = 0;  // second calls that the allowance did not cover
  std::uint64_t not_run = 0;
  std::uint64_t misplaced = 0;
  std::uint64_t no_way = 0;
  std::uint64_t broken = 0;
  std::uint64_t late = 0;
  std::uint64_t cancelled = 0;  // calls whose client had gone
};

class Desk {
 public:
  explicit Desk(Calls& calls) : calls_(calls) {}

  void set_routes(std::shared_ptr<const Routes> routes) { routes_ = std::move(routes); }
  void set_edges(std::uint32_t edges);
  void set_allowance(const AllowanceRules& rules) { allowance_.set(rules); }
  NodeBook& nodes() { return nodes_; }

  // Its route; null where there is none.
  const catalog::Route* route_of(const Arrival& arrival) const {
    return routes_ ? routes_->find(arrival.host, arrival.target) : nullptr;
  }
  // Where it can be told at once, `answer` is set; else it follows in take_answers().
  RequestId arrive(Time now, const Arrival& arrival, FinalAnswer& answer);
  // Its client has gone: nothing new is begun, and calls that may be repeated, or of which nothing was sent,
  // end. What may not be repeated runs on.
  void left(RequestId request);
  // This process ends: every open request is answered now, with the parts that are in where they are enough,
  // else by 504, since a node may have run it.
  void end_open(Time now);
  void ended(Time now, CallId call, const CallEnd& end);
  // Does what has fallen due.
  void advance(Time now);
  Time due() const { return due_.empty() ? Time::max() : due_.begin()->first; }

  std::vector<std::pair<RequestId, FinalAnswer>> take_answers() { return std::exchange(answers_, {}); }
  std::size_t open() const { return requests_.size(); }
  const DeskCounters& counters() const { return counters_; }
  double coverage() const { return coverage_.share(); }
  void begin_coverage(double share) { coverage_.begin(share); }
  Allowance& allowance() { return allowance_; }
  const FailureLog& failures() const { return failures_; }
  const Admission& admission() const { return admission_; }

 private:
  struct Out {
    RequestId request;
    std::size_t part = 0;
    NodePtr node;
    Time started{};
    bool counted = false;  // its outcome has gone into the coverage
    std::size_t sent = 0;  // bytes of the request
  };

  bool plan(Time now, Request& request, FinalAnswer& answer);
  bool admitted(Time now, const catalog::Route& route, const std::vector<std::string>& services,
                std::size_t least, FinalAnswer& answer, const Request& request);
  bool send(Time now, RequestId id, std::size_t part);
  void cancel(Part& part, bool even_if_sent);
  void settle_part(Time now, RequestId id, std::size_t part, const CallEnd& end);
  void look(Time now, RequestId id);
  void finish(Time now, RequestId id, FinalAnswer answer);
  FinalAnswer gathered(Request& request);
  FinalAnswer single(const Request& request, const CallEnd& end, int status) const;
  FinalAnswer refusal(const Request& request, Reason reason) const;
  FinalAnswer failure(Time now, const Request& request) const;
  void note_failure(Time now, const Request& request, const FinalAnswer& answer);
  void schedule(RequestId id, Request& request);
  void second_calls(Time now, RequestId id);
  void note_late(Time now, Request& request);
  void release(RequestId id);
  void outcome(Time now, Out& out, bool bad);
  int connections_for(const Request& request, const std::string& service) const;

  Calls& calls_;
  std::shared_ptr<const Routes> routes_;
  NodeBook nodes_;
  Weights weights_;
  Coverage coverage_;
  Admission admission_;
  RouteBook book_;
  Allowance allowance_;
  std::uint32_t edges_ = 1;
  bool ending_ = false;
  std::uint64_t turn_ = 0;
  net::SlotTable<Request> requests_;
  net::SlotTable<Out> out_;
  std::set<std::pair<Time, RequestId>> due_;
  std::vector<std::pair<RequestId, FinalAnswer>> answers_;
  DeskCounters counters_;
  FailureLog failures_;
};

}  // namespace pearspar::pederu
