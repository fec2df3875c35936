#include "control_plane/call_log.h"

namespace pearspar::control_plane {

std::string_view name_of(CallPath path) {
  switch (path) {
    case CallPath::configuration:
      return "config";
    case CallPath::node:
      return "node";
    case CallPath::node_list:
      return "nodes";
    case CallPath::rollout_order:
      return "rollouts";
    case CallPath::rollout:
      return "rollout";
    case CallPath::status:
      return "status";
    case CallPath::history:
      return "history";
    case CallPath::snapshot:
      return "snapshot";
    case CallPath::allowance:
      return "allowance";
    case CallPath::unknown:
      break;
  }
  return "unknown";
}

void CallLog::record(CallPath kind, std::string_view method, std::string_view path, int status,
                     std::string_view body) {
  if (status < 400) return;
  ++counts_[{kind, status}];
  if (status >= 500 || refused_.size() >= max_refused) return;
  refused_.push_back(
      {std::string(method), std::string(path.substr(0, max_path_bytes)), status, std::string(body)});
}

std::vector<CallLog::Count> CallLog::counts() const {
  std::vector<Count> counts;
  for (const auto& [key, calls] : counts_) counts.push_back({key.first, key.second, calls});
  return counts;
}

}  // namespace pearspar::control_plane
