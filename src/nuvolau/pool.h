// The part of a service's slack that all edges share: the leader hands it out in tokens, each good for one
// call past the first. A token lives `life` from its asking and is in the rule's window for as long again as
// that is; so long it counts as out, whoever has it and whether it was spent. So in any window no more than
// `capacity` of them are spent, though edges and leaders come and go: a leader that begins can't know what
// the one before has handed out, and hands out nothing until all of that has run out. Free of I/O.
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <string>
#include <unordered_map>

namespace pearspar::nuvolau {

using Duration = std::chrono::duration<double>;
using Time = std::chrono::time_point<std::chrono::steady_clock, Duration>;

inline constexpr Duration token_life = std::chrono::seconds(2);  // at the edge, from its asking
// Of the rule's slack: what the leader hands out, and what edges have without asking, by their number. What
// is left covers edges that start anew and have forgotten what they spent.
inline constexpr double shared_slack = 0.35;
inline constexpr double fixed_slack = 0.25;

struct PoolRules {
  double slack = 0;  // of the rule, for each service
  Duration window = std::chrono::seconds(10);
};

class Pool {
 public:
  void set(const PoolRules& rules) { rules_ = rules; }
  // From here on this member leads.
  void open(Time now) {
    accounts_.clear();
    quiet_until_ = now + token_life + rules_.window;
  }
  // So many of those wanted; half of what is left at most, so that whoever asks next finds some.
  std::uint32_t grant(Time now, const std::string& service, std::uint32_t wanted);

  std::uint64_t granted() const { return granted_; }
  std::uint64_t refused() const { return refused_; }

 private:
  static constexpr std::size_t most_accounts = 4096;
  struct Account {
    std::deque<std::pair<Time, std::uint32_t>> out;  // until when, how many
    std::uint32_t sum = 0;
  };
  PoolRules rules_;
  Time quiet_until_{};
  std::unordered_map<std::string, Account> accounts_;
  std::uint64_t granted_ = 0;
  std::uint64_t refused_ = 0;
};

}  // namespace pearspar::nuvolau
