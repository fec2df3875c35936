// One control call by hand: to any of the members, following a 307 twice, on to the next after a failure, a
// 5xx or a second of silence.
#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "net/loop.h"

namespace pearspar::admin_client {

struct AdminRequest {
  std::string method;
  std::string path;
  std::string headers;  // further lines, each with its end
  std::string body;
  std::string host;  // empty = the member's address
};

struct AdminReply {
  int status = 0;  // 0 = nobody has answered
  std::string body;
  std::string fault;  // why, where nobody has
  std::string from;   // who has
};

class AdminClient {
 public:
  AdminClient(net::Loop& loop, std::vector<std::string> members)
      : loop_(loop), members_(std::move(members)) {}

  // Asks one member after the other until one says something definite, or the time is over: then it is the
  // last word of any that tells why, rather than the silence of another.
  AdminReply call(const AdminRequest& request, net::Duration within);
  // Asks that one alone.
  AdminReply call_member(const std::string& member, const AdminRequest& request, net::Duration within);
  const std::vector<std::string>& members() const { return members_; }

 private:
  net::Loop& loop_;
  std::vector<std::string> members_;
  std::size_t next_ = 0;
};

}  // namespace pearspar::admin_client
