// Which calls were refused, by path and status: counted for the metrics, and the newest kept for the log.
// Free of I/O.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace pearspar::control_plane {

// The paths of the control API, without the ids in them.
enum class CallPath {
  configuration,
  node,
  node_list,
  rollout_order,
  rollout,
  status,
  history,
  snapshot,
  allowance,
  unknown  // no call of this program
};
std::string_view name_of(CallPath path);

// A call that was answered with 4xx.
struct RefusedCall {
  std::string method;
  std::string path;  // its beginning
  int status = 0;
  std::string body;  // of the answer
};

class CallLog {
 public:
  struct Count {
    CallPath path;
    int status;
    std::uint64_t calls;
  };

  // Records the answer to a call that a node or an operator made at this member.
  void record(CallPath kind, std::string_view method, std::string_view path, int status,
              std::string_view body);
  // Calls that were refused or failed, by path and status.
  std::vector<Count> counts() const;
  // The refused calls since the last time, the oldest first.
  std::deque<RefusedCall> take_refused() { return std::exchange(refused_, {}); }

 private:
  static constexpr std::size_t max_refused = 32;  // kept for the log; later ones are only counted
  static constexpr std::size_t max_path_bytes = 128;

  std::map<std::pair<CallPath, int>, std::uint64_t> counts_;
  std::deque<RefusedCall> refused_;
};

}  // namespace pearspar::control_plane
