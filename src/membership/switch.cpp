#include "membership/switch.h"

#include <utility>

namespace pearspar::membership {

void Switch::start() {
  started_ = true;
  current_->start();
  if (coming_) coming_->start();
}

void Switch::stop() {
  started_ = false;
  current_->stop();
  if (coming_) coming_->stop();
}

void Switch::fetch() {
  started_ = true;
  (coming_ ? *coming_ : *current_).fetch();
}

void Switch::move(const MakeSource& make) {
  std::unique_ptr<Source> next = make(*this);
  if (next->where() == where()) return;
  log_.info("the list of nodes moves from {} to {}", where(), next->where());
  if (coming_) past_ += coming_->counters();
  coming_ = std::move(next);
  // What stands goes on telling while its connection does, but no other is made there.
  current_->make_last();
  if (started_) coming_->start();
}

// The source that was moved to has told its first list exactly when it has a version: it takes over at once,
// so that whatever the former one may yet say, perhaps older, no longer counts.
void Switch::members_told(const MemberList& list) {
  if (coming_ && coming_->revision() >= 0) {
    past_ += current_->counters();
    current_ = std::move(coming_);
    log_.info("{} has told its list, version {}", current_->where(), list.revision);
  }
  user_.members_told(list);
}

SourceCounters Switch::counters() const {
  SourceCounters sum = past_;
  sum += current_->counters();
  if (coming_) sum += coming_->counters();
  return sum;
}

}  // namespace pearspar::membership
