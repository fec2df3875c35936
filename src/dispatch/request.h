// The state of an open client request, the calls to nodes that it makes, and its response.
#pragma once

#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "dispatch/failure_log.h"
#include "dispatch/load_balancer.h"
#include "dispatch/route_table.h"
#include "dispatch/types.h"

namespace pearspar::dispatch {

// How a call to a node ended. Each call has exactly one outcome unless it was cancelled.
enum class CallOutcome {
  answered,       // a complete answer that carries the request's id
  not_run,        // the node reports that it did not run the request
  misdirected,    // another node answers at the address; it did not run the request
  no_connection,  // no connection was established, so nothing was sent
  broken,         // the connection broke or carried an invalid answer: the request may have run
};

// The result of a call. The views are valid only during call_ended().
struct CallResult {
  CallOutcome outcome = CallOutcome::no_connection;
  int status = 0;
  std::string_view postmark;      // the Postmark header
  std::string_view content_type;  // the Content-Type header
  std::string_view headers;       // further header lines to be forwarded
  std::string_view body;
  std::optional<std::size_t> content_length;  // as the node declared it; after HEAD there is no body
};

// A request to a node. The remaining time is filled in when it is written, not when it is queued.
struct NodeRequest {
  std::string head;     // request line and header lines, each with its line end
  std::string node_id;  // the Addressee header
  std::string body;

  std::string text(Duration remaining) const;
};

// One shard of a gathered request, or the single service of any other request.
struct Part {
  std::string service;
  std::vector<NodePtr> tried_nodes;
  std::vector<CallId> calls;  // open
  std::vector<FailedCall> failed_calls;
  int tries = 0;
  bool selected = false;  // it is queried
  bool received = false;  // its answer has arrived
  bool closed = false;    // no answer will arrive
  bool may_have_run = false;
  bool is_probe = false;  // sent to an unresponsive service to detect its recovery
  std::string postmark;
  std::string body;
  Time hedge_at = Time::max();  // when a hedged call is sent
};

struct Request {
  // Of the configuration that was in force when the request arrived; all parts use it.
  std::shared_ptr<const RouteTable> routes;
  const catalog::Route* route = nullptr;
  bool confirmed = false;  // the routes were known to be those in force when the request was accepted
  // May run more than once. Not where the route may have been replaced by one that is not safe.
  bool repeatable = false;
  std::string head;  // request line and header lines to be forwarded
  std::string body;
  std::string id;
  Time arrived{};
  Time target_time{};  // when the route's latency target passes
  Time deadline{};
  std::vector<Part> parts;
  bool is_head = false;        // the method is HEAD: the response has no body
  bool target_passed = false;  // target_time has been handled
  bool done = false;           // answered; kept until its last call ends
  Time due{};
};

// The response to a client.
struct ClientResponse {
  int status = 0;
  double retry_after_s = 0;
  // No node has run the request and none will. False for a node's own 404 or 503, which may follow a run.
  bool not_executed = false;
  Reason reason = Reason::none;  // of a failure that this edge reports
  bool no_body = false;          // HEAD, 204, 304; a Content-Length may stand in `headers`
  std::string content_type;
  std::string headers;  // further header lines
  std::string body;
};

}  // namespace pearspar::dispatch
