// An edge, whole but for its sockets: the desk and who follows the core, joined. What the news say reaches
// the desk, what the desk learns or lacks reaches the core. Where the configuration names allowances,
// requests draw on them before they reach the desk, and answers wait (a little) until the draw is on disk.
// Free of I/O.
#pragma once

#include <deque>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "pederu/desk.h"
#include "pramperet/purse.h"
#include "subscription/follower.h"

namespace pearspar::vandelli {

using pederu::Duration;
using pederu::RequestId;
using pederu::Time;

// Of a request, where there are allowances.
struct Drawer {
  std::string holder;
  std::string key;
};

class Station {
 public:
  Station(transport::Transport& wire, subscription::FollowerOptions options, pederu::Calls& calls,
          const pederu::AllowanceRules& rules);

  void start(Time now) { follower_.start(now); }
  void link_up(transport::LinkId link, const std::string& address) { follower_.link_up(link, address); }
  void link_down(transport::LinkId link) { follower_.link_down(link); }
  void link_frame(Time now, transport::LinkId link, std::string_view frame);
  // After every event, and at due().
  void advance(Time now);
  Time due(Time now) const;

  // Null where there are none: then nothing of them is on a request's way.
  const catalog::QuotaRules* allowances() const { return purse_.rules(); }
  // Where it can be told at once, `answer` is set; else it follows in take_answers().
  RequestId arrive(Time now, const pederu::Arrival& arrival, const Drawer& drawer,
                   pederu::FinalAnswer& answer);
  // Its client has gone: what it drew stays drawn, since it may have run.
  void left(RequestId request);
  std::vector<std::pair<RequestId, pederu::FinalAnswer>> take_answers(Time now);

  // A configuration, and a list of nodes that is whole, or has been gathered for long enough.
  bool ready() const { return follower_.is_usable(); }
  // The revision that requests are routed by.
  catalog::Revision routed() const { return routed_; }

  pederu::Desk& desk() { return desk_; }
  const pederu::Desk& desk() const { return desk_; }
  subscription::Follower& follower() { return follower_; }
  const subscription::Follower& follower() const { return follower_; }
  const pramperet::Purse& purse() const { return purse_; }
  // This process ends: every request that is open is answered.
  void end_open(Time now);

 private:
  static constexpr std::size_t most_waiting = 2048;
  static constexpr std::size_t most_waiting_bytes = 8 << 20;
  // A request that waits for the leader's word on its allowance.
  struct Waiting {
    RequestId ticket;
    std::string method, target, host, id, head, body;
    double deadline_ms = 0;
    Time began{};
    Drawer drawer;
    std::string kind;
    Time until{};
  };
  // An answer that waits for its draw.
  struct Held {
    RequestId request;
    pederu::FinalAnswer answer;
    pramperet::Ticket draw;
    Time until{};
  };

  void take_news();
  void ask_for_tokens(Time now);
  void try_waiting(Time now);
  void ended(Time now, RequestId request, pederu::FinalAnswer answer);
  RequestId begin(Time now, const pederu::Arrival& arrival, const pramperet::Verdict& verdict,
                  pederu::FinalAnswer& answer);

  subscription::Follower follower_;
  pederu::Desk desk_;
  catalog::Revision routed_ = 0;
  bool began_ = false;  // this life has its first share of coverage
  pramperet::Purse purse_;
  std::deque<Waiting> waiting_;
  std::size_t waiting_bytes_ = 0;
  std::uint32_t next_ticket_ = 0;
  std::unordered_map<std::uint64_t, pramperet::Ticket> draws_;  // of open requests of the desk
  std::unordered_map<std::uint64_t, RequestId> names_;          // of those that waited: the desk's id -> ours
  std::unordered_map<std::uint64_t, RequestId> desk_ids_;       // the other way
  std::deque<Held> held_;
  std::vector<std::pair<RequestId, pederu::FinalAnswer>> answers_;
};

}  // namespace pearspar::vandelli
