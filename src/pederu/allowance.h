// What may be sent a second time: over all edges, a service gets no more arrivals past the first of each
// request than `ratio` of the requests for it and `slack` besides, in any window. Each edge spends its own
// part: the ratio of its own requests, and a share of the slack by the number of edges; when that runs low it
// asks the leader for tokens of the share that all have together (nuvolau).
#pragma once

#include <array>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "nuvolau/pool.h"
#include "pederu/types.h"

namespace pearspar::pederu {

struct AllowanceRules {
  double ratio = 0;
  double slack = 0;
  Duration window = std::chrono::seconds(10);
};

class Allowance {
 public:
  void set(const AllowanceRules& rules) { rules_ = rules; }
  void set_edges(std::uint32_t edges) { edges_ = edges > 0 ? edges : 1; }

  void request(Time now, const std::string& service) { account(now, service).buckets[at_].requests += 1; }
  // Whether one more may be sent; if so it is counted.
  bool spend(Time now, const std::string& service);

  // What is to be asked for of the leader, by service; empty where nothing is short.
  std::vector<std::pair<std::string, std::uint32_t>> take_wanted(Time now);
  void granted(Time until, const std::string& service, std::uint32_t count);

 private:
  static constexpr int bucket_count = 20;  // a window
  // Of what the rule allows: an edge that starts anew has forgotten what its last life spent, and the windows
  // of requests and of arrivals are not cut alike.
  static constexpr double of_ratio = 0.7;
  static constexpr double of_slack = nuvolau::fixed_slack;
  static constexpr double low = 2;           // what is left of the own part when tokens are asked for
  static constexpr std::uint32_t batch = 4;  // tokens asked for at once

  struct Bucket {
    double requests = 0;
    double extra = 0;
  };
  struct Account {
    std::array<Bucket, bucket_count + 1> buckets{};
    std::int64_t turn = 0;                               // of the newest bucket
    std::vector<std::pair<Time, std::uint32_t>> tokens;  // until when, how many
    bool wanting = false;
  };
  Account& account(Time now, const std::string& service);
  void want(Account& account, const std::string& service);
  static bool spend_token(Time now, Account& account);

  AllowanceRules rules_;
  std::uint32_t edges_ = 1;
  std::unordered_map<std::string, Account> accounts_;
  std::vector<std::string> wanted_;
  std::size_t at_ = 0;  // the newest bucket of the account last asked for
};

}  // namespace pearspar::pederu
