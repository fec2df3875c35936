#include "catalog/departures.h"

#include <algorithm>
#include <utility>

namespace pearspar::catalog {

void Departures::add(const Departure& departure) {
  if (has(departure)) return;
  records_.push_back(departure);
  retired_[departure.node_id] = departure.retired;
  ++total_;
  if (records_.size() > max_records) drop_oldest();
}

// A node's earlier record may be dropped while a later one is kept.
void Departures::drop_oldest() {
  const Departure& oldest = records_.front();
  auto found = retired_.find(oldest.node_id);
  if (found != retired_.end() && found->second == oldest.retired) retired_.erase(found);
  records_.pop_front();
}

bool Departures::has(const Departure& departure) const {
  auto found = retired_.find(departure.node_id);
  return found != retired_.end() && (found->second || !departure.retired);
}

void Departures::restore(std::uint64_t total, std::deque<Departure> records) {
  records_.clear();
  retired_.clear();
  for (const Departure& record : records) add(record);
  total_ = std::max<std::uint64_t>(total, records_.size());
}

}  // namespace pearspar::catalog
