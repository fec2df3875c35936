#include "peers/update_queue.h"

namespace pearspar::peers {

void UpdateQueue::add(const std::string& name, Priority priority) {
  const Id id{name, priority == Priority::record};
  if (auto found = keys_.find(id); found != keys_.end()) order_.erase(found->second);
  Key key{priority, 0, ++turn_, name};
  keys_[id] = key;
  order_.insert(key);
}

void UpdateQueue::drop(const std::string& name) {
  for (bool records : {false, true}) {
    auto found = keys_.find(Id{name, records});
    if (found == keys_.end()) continue;
    order_.erase(found->second);
    keys_.erase(found);
  }
}

}  // namespace pearspar::peers
