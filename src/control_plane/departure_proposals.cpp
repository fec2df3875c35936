#include "control_plane/departure_proposals.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace pearspar::control_plane {

DepartureProposals::Ticket DepartureProposals::add(catalog::Departure departure) {
  auto found = std::find(waiting_.begin(), waiting_.end(), departure);
  if (found != waiting_.end()) return last_ + 1 - static_cast<Ticket>(waiting_.end() - found);
  waiting_.push_back(std::move(departure));
  return ++last_;
}

std::vector<catalog::Departure> DepartureProposals::next_batch() {
  if (index_) return {};
  auto end = waiting_.begin() + static_cast<std::ptrdiff_t>(std::min(waiting_.size(), max_batch));
  std::vector<catalog::Departure> batch(std::make_move_iterator(waiting_.begin()),
                                        std::make_move_iterator(end));
  waiting_.erase(waiting_.begin(), end);
  in_flight_ = last_ - waiting_.size();
  return batch;
}

void DepartureProposals::proposed(std::optional<raft::Index> index) {
  if (!index) return clear();
  index_ = index;
}

void DepartureProposals::on_applied(raft::Index applied) {
  if (!index_ || applied < *index_) return;
  committed_ = in_flight_;
  index_.reset();
}

// Tickets rise, so those that were committed before stay below the lost ones.
void DepartureProposals::clear() {
  waiting_.clear();
  index_.reset();
  lost_ = last_;
}

}  // namespace pearspar::control_plane
