// A client's request while it is open, and what the dispatcher hears of the calls that it makes.
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

// How a call to a node has ended. Exactly one for each call, unless it was let go before.
enum class CallOutcome {
  answered,       // a whole answer with our id
  not_run,        // the node says that it did not run it
  misdirected,    // another node stands at the address, and did not run it
  no_connection,  // no connection came up: it was not sent
  broken,         // the connection ended, or carried something else, after it was sent: it may have run
};

struct CallResult {
  CallOutcome outcome = CallOutcome::no_connection;
  int status = 0;
  std::string_view postmark;                  // Postmark
  std::string_view content_type;              // Content-Type
  std::string_view headers;                   // further lines to be handed on
  std::string_view body;                      // holds during the call
  std::optional<std::size_t> content_length;  // that it names; an answer to HEAD names one and has no body
};

// A request as it is handed to a node. What is left of its time is told as it goes out, not as it is decided.
struct NodeRequest {
  std::string head;  // request line and headers, each with its end
  std::string addressee;
  std::string payload;

  std::string text(Duration left) const;
};

// A shard of a gathered request, or the one service of any other.
struct Part {
  std::string depot;
  std::vector<NodePtr> tried;
  std::vector<CallId> calls;  // out
  std::vector<FailedCall> failed;
  int tries = 0;
  bool wanted = false;  // it is sent at all
  bool in = false;
  bool over = false;   // it comes no more
  bool ran = false;    // it may have run somewhere
  bool trial = false;  // nobody there answers: sent to learn when that ends
  std::string postmark;
  std::string body;
  Time second_due = Time::max();  // when a second call pays
};

struct Request {
  std::shared_ptr<const RouteTable> routes;  // of the configuration that it began with: all parts are of one
  const averau::Route* route = nullptr;
  std::string head;     // request line and headers that are handed on
  std::string payload;  // body
  std::string id;
  Time arrived{};
  Time soft_end{};  // an answer after it earns less
  Time end{};       // nobody waits any more
  std::vector<Part> parts;
  bool asks_head = false;  // no answer to it has a body
  bool soft_over = false;  // the aim has passed
  bool done = false;       // answered; only its calls are still out
  Time due{};
};

// The final answer.
struct ClientResponse {
  int status = 0;
  double retry_after_s = 0;
  bool not_executed =
      false;  // ours: no node has run it, and none will. A node's own 404 or 503 may follow a run
  Reason reason = Reason::none;  // of a failure that is ours
  bool no_body = false;  // has no body by its nature; what content_length it names stands in `headers`
  std::string content_type;
  std::string headers;
  std::string body;
};

}  // namespace pearspar::dispatch
