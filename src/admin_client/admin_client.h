// Client of the members' control API. It tries the members in turn: it follows up to two redirects (307) and
// goes on to the next member after a connection failure, a 5xx status or a timeout.
#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "net/loop.h"

namespace pearspar::admin_client {

// An HTTP request to the control API.
struct AdminRequest {
  std::string method;
  std::string path;
  std::string headers;  // additional header lines, each ending with CRLF
  std::string body;
  std::string host;  // Host header; empty = the member's address
};

// The response of a member, or why there is none.
struct AdminReply {
  int status = 0;  // HTTP status; 0 = no response
  std::string body;
  std::string fault;  // reason if status is 0; target address of a 307
  std::string from;   // address of the member called
};

// Blocks while it runs `loop` until the call has ended.
class AdminClient {
 public:
  AdminClient(net::Loop& loop, std::vector<std::string> members)
      : loop_(loop), members_(std::move(members)) {}

  // Calls the members in turn until one gives a final response (below 500, not 307) or the timeout expires.
  // In the latter case the last 5xx response is returned in preference to a connection failure.
  AdminReply call(const AdminRequest& request, net::Duration timeout);
  // Calls this member only, without following redirects.
  AdminReply call_member(const std::string& member, const AdminRequest& request, net::Duration timeout);
  const std::vector<std::string>& members() const { return members_; }

 private:
  net::Loop& loop_;
  std::vector<std::string> members_;
  std::size_t next_member_ = 0;
};

}  // namespace pearspar::admin_client
