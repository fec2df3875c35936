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
  // What stands goes on telling while its connection does, but no other is made there.
  current_->stop_reconnecting();
  if (started_) pending_->start();
}

// The source that was moved to has told its first list exactly when it has a version: it takes over at once,
// so that whatever the former one may yet say, perhaps older, no longer counts.
void SourceSwitch::members_told(const MemberList& list) {
  if (pending_ && pending_->revision() >= 0) {
    retired_counters_ += current_->counters();
    current_ = std::move(pending_);
    log_.info("{} has told its list, version {}", current_->where(), list.revision);
  }
  user_.members_told(list);
}

SourceCounters SourceSwitch::counters() const {
  SourceCounters sum = retired_counters_;
  sum += current_->counters();
  if (pending_) sum += pending_->counters();
  return sum;
}

}  // namespace pearspar::membership
