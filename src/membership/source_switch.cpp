#include "membership/source_switch.h"

#include <utility>

namespace pearspar::membership {

void SourceSwitch::start() {
  started_ = true;
  current_->start();
  if (pending_) pending_->start();
}

void SourceSwitch::stop() {
  started_ = false;
  current_->stop();
  if (pending_) pending_->stop();
}

void SourceSwitch::fetch() {
  started_ = true;
  (pending_ ? *pending_ : *current_).fetch();
}

void SourceSwitch::move(const MakeSource& make) {
  std::unique_ptr<Source> next = make(*this);
  if (next->where() == where()) return;
  log_.info("the list of nodes moves from {} to {}", where(), next->where());
  if (pending_) retired_counters_ += pending_->counters();
  pending_ = std::move(next);
  // The current source keeps reporting on its connection but does not reconnect.
  current_->stop_reconnecting();
  if (started_) pending_->start();
}

// The pending source has a revision exactly when its first list has arrived. It takes over at once, so that
// later, perhaps older, lists of the former source are ignored.
void SourceSwitch::members_told(const MemberList& list) {
  if (pending_ && pending_->revision() >= 0) {
    retired_counters_ += current_->counters();
    current_ = std::move(pending_);
    log_.info("{} has told its list, version {}", current_->where(), list.revision);
  }
  handler_.members_told(list);
}

SourceCounters SourceSwitch::counters() const {
  SourceCounters sum = retired_counters_;
  sum += current_->counters();
  if (pending_) sum += pending_->counters();
  return sum;
}

}  // namespace pearspar::membership
