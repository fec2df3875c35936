#include "peers/rumours.h"

namespace pearspar::peers {

void Rumours::add(const std::string& name, Worth worth) {
  const Id id{name, worth == Worth::record};
  if (auto found = keys_.find(id); found != keys_.end()) order_.erase(found->second);
  Key key{worth, 0, ++turn_, name};
  keys_[id] = key;
  order_.insert(key);
}

void Rumours::drop(const std::string& name) {
  for (bool records : {false, true}) {
    auto found = keys_.find(Id{name, records});
    if (found == keys_.end()) continue;
    order_.erase(found->second);
    keys_.erase(found);
  }
}

}  // namespace pearspar::peers
