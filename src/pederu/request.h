// A client's request while it is open, and what the desk hears of the calls that it makes.
#pragma once

#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "pederu/failures.h"
#include "pederu/node_book.h"
#include "pederu/routes.h"
#include "pederu/types.h"

namespace pearspar::pederu {

// How a call to a node has ended. Exactly one for each call, unless it was let go before.
enum class Ending {
  answered,   // a whole answer with our id
  not_run,    // the node says that it did not run it
  misplaced,  // another node stands at the address, and did not run it
  no_way,     // no connection came up: it was not sent
  broken,     // the connection ended, or carried something else, after it was sent: it may have run
};

struct CallEnd {
  Ending ending = Ending::no_way;
  int status = 0;
  std::string_view stamp;             // Postmark
  std::string_view type;              // Content-Type
  std::string_view headers;           // further lines to be handed on
  std::string_view body;              // holds during the call
  std::optional<std::size_t> length;  // that it names; an answer to HEAD names one and has no body
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
  std::string service;
  std::vector<NodePtr> tried;
  std::vector<CallId> calls;  // out
  std::vector<FailedCall> failed;
  int tries = 0;
  bool wanted = false;  // it is sent at all
  bool in = false;
  bool over = false;   // it comes no more
  bool ran = false;    // it may have run somewhere
  bool trial = false;  // nobody there answers: sent to learn when that ends
  std::string stamp;
  std::string body;
  Time second_due = Time::max();  // when a second call pays
};

struct Request {
  std::shared_ptr<const Routes> routes;  // of the configuration that it began with: all parts are of one
  const catalog::Route* route = nullptr;
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
struct FinalAnswer {
  int status = 0;
  double retry_after_s = 0;
  bool unrun = false;  // ours: no node has run it, and none will. A node's own 404 or 503 may follow a run
  Reason reason = Reason::none;  // of a failure that is ours
  bool bare = false;             // has no body by its nature; what length it names stands in `headers`
  std::string type;
  std::string headers;
  std::string body;
};

}  // namespace pearspar::pederu
