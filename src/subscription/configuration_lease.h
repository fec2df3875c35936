// The lease under which an edge takes its configuration for the one in force. The leader renews it on
// request, or a majority of the members where none leads. It counts from the time at which the request was
// sent, so that neither a pause of a process nor a delay on the way makes it last longer. Free of I/O.
#pragma once

#include <cstdint>
#include <deque>
#include <set>
#include <vector>

#include "catalog/node_list.h"
#include "protocol/messages.h"

namespace pearspar::subscription {

using catalog::Duration;
using catalog::Time;

class ConfigurationLease {
 public:
  // `lifetime` is shorter than the time in which a change has to be in force everywhere.
  explicit ConfigurationLease(Duration lifetime) : lifetime_(lifetime) {}

  // Until when the lease holds; Time::min() if it was never granted.
  Time until() const { return until_; }
  // When the next request for renewal is due.
  Time request_due() const { return next_request_; }
  // Whether the leader's answers are so late that the other members are to be asked too.
  bool needs_votes(Time now) const;
  // Notes that a request is sent now. Returns its number, which the answers repeat.
  std::uint64_t request(Time now);
  // The leader has answered the request with this number. Unknown numbers have no effect.
  void renew(std::uint64_t number);
  // A member that does not lead has answered a request.
  void on_vote(const protocol::LeaseVote& vote);
  // Makes the lease hold until then, for a leader that does not answer requests.
  void extend(Time until);
  // Another leader is to be asked without delay.
  void on_leader_changed() { next_request_ = Time::min(); }

 private:
  struct Request {
    std::uint64_t number = 0;
    Time sent_at{};
    std::set<raft::MemberId> votes;
    raft::Index membership_index = 0;  // of the newest membership that a vote has named
    std::vector<raft::MemberId> voters;
  };

  Duration lifetime_;
  Time until_ = Time::min();
  Time next_request_ = Time::min();
  Duration retry_interval_{};  // while the lease is over
  std::uint64_t last_number_ = 0;
  std::deque<Request> unanswered_;  // ascending
};

}  // namespace pearspar::subscription
